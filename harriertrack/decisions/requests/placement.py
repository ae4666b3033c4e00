"""Extents that get their place, and extents that are kept to somebody for a while."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from harriertrack.decisions.lifecycle import PartState, PartStep, next_part_state
from harriertrack.decisions.requests.model import Part
from harriertrack.decisions.requests.port import HoldOwner
from harriertrack.decisions.requests.state import CoreState
from harriertrack.decisions.requests.submission import Submission


@dataclass(slots=True, eq=False)
class Hold:
    """An extent that is kept: later requests wait. `left` are the earlier ones that are still open."""

    owner: HoldOwner
    earlier_parts: set[int]
    purged: bool = False  # by a close: until what that left is trimmed


class _Nobody:
    """Keeps an extent for nobody who would have to hear of it."""

    def held(self) -> None:
        """Take note that no earlier request for the extent is open any more."""


_NOBODY = _Nobody()


class Placement:
    """Who waits until another one has placed an extent, or let it go."""

    def __init__(self, state: CoreState, submission: Submission) -> None:
        self._state, self._submission = state, submission
        self.queues: dict[tuple[str, int], deque[Part]] = {}  # the first of each places its extent
        self._holds: dict[tuple[str, int], Hold] = {}
        self._held: list[Hold] = []  # holds that have become so
        self._placements: list[tuple[str, int, int]] = []
        self._released: list[tuple[str, int]] = []

    def submit_or_queue(self, now: int, part: Part) -> None:
        """Tell the module of a part, or let it wait while another one places the same new extent.

        Two first writes to one extent must not be placed on two shards; the second waits for the first's end.
        """
        key = (part.request.volume.settings.name, part.extent)
        held = key in self._holds
        if part.request.moving:
            if part.shard < 0:
                part.places_extent = True
                part.queued_for_placement = True
                self.queues.setdefault(key, deque()).appendleft(part)
        elif part.extent >= 0 and (part.shard < 0 or held or key in self.queues):
            part.shard = -1
            line = self.queues.setdefault(key, deque())
            line.append(part)
            part.queued_for_placement = True
            if held or line[0] is not part or key in self._released:  # the one before may just have placed it
                if part.state is PartState.QUEUED:
                    part.state = next_part_state(part.state, PartStep.AWAIT_PLACEMENT)
                if held and self._state.close_guard is not None and self._holds[key].purged:
                    self._state.close_guard.awaited(*key)
                self._state.schedule(self._state.last_answer(part.request), part)
                return
            part.places_extent = True
        self._submission.submit(now, part)

    def parts_in_queue(self, part: Part) -> list[Part]:
        """Return who stands in line for a part's extent."""
        return list(self.queues.get((part.request.volume.settings.name, part.extent), ()))

    def add_placement(self, part: Part, shard: int) -> None:
        """A part was served that places its extent."""
        self._placements.append((part.request.volume.settings.name, part.extent, shard))

    def write_placements(self) -> None:
        """Write down what was placed: on disk before any answer that promises it."""
        if self._placements:
            placements, self._placements = self._placements, []
            self._state.placements.place(placements)

    def withdraw(self, part: Part) -> None:
        """The module has nothing of a part any more, or never had: who waits for its placement may go on."""
        self._submission.withdraw(part)
        hold = self._holds.get((part.request.volume.settings.name, part.extent)) if self._holds else None
        if (
            hold is not None
            and part.number in hold.earlier_parts
            and (part.state.is_final or not part.may_have_effect)
        ):
            hold.earlier_parts.discard(part.number)
            if not hold.earlier_parts:
                self._held.append(hold)
        if part.queued_for_placement:
            key = (part.request.volume.settings.name, part.extent)
            self.queues[key].remove(part)
            part.queued_for_placement = False
            if part.places_extent:
                part.places_extent = False
                self._holds.pop(key, None)
                self._released.append(key)

    def release_queued(self, now: int) -> None:
        """Let parts go on that waited for an extent's placement.

        To where it was placed, or one to place it.
        """
        if not self._released:
            return
        released, self._released = self._released, []
        for key in released:
            if key in self._holds:  # held again in the meantime: those who wait go on waiting
                continue
            line = self.queues.get(key, deque())
            shard = self._state.placements.shard_of(*key)
            while line:
                part = line[0]
                if shard is None:
                    part.places_extent = True
                    self._submission.submit(now, part)
                    break
                part.shard = shard
                line.popleft()
                part.queued_for_placement = False
                self._submission.submit(now, part)
            if not line:
                self.queues.pop(key, None)

    def hold_extent(self, volume: str, extent: int, holder: HoldOwner) -> None:
        """Keep an extent to somebody. Raises ValueError if it is kept already, or was never placed."""
        key, state = (volume, extent), self._state
        if key in self._holds or state.placements.shard_of(*key) is None:
            raise ValueError(f"extent {extent} of {volume} is held already, or was never placed")
        left = {
            part.number for part in state.parts.values()
            if part.extent == extent and part.request.volume.settings.name == volume
            and part.state is not PartState.AWAITING_PLACEMENT and not part.state.is_final
            and (part.state is not PartState.QUEUED or part.may_have_effect)
        }  # fmt: skip
        self._holds[key] = hold = Hold(holder, left)
        if not left:
            self._held.append(hold)
        state.request_flush()

    def release_extent(self, volume: str, extent: int, purged: bool = False) -> None:
        """Keep an extent no more that was kept to somebody, or was purged."""
        key = (volume, extent)
        hold = self._holds.get(key)
        if hold is not None and hold.purged is purged:
            del self._holds[key]
            self._released.append(key)
            self._state.request_flush()

    def hold_purged(self, places: Iterable[tuple[str, int]]) -> None:
        """Let requests for these (volume, extent) wait until they are freed as purged."""
        for key in places:
            if (before := self._holds.get(key)) is not None and not before.purged:
                self._held.append(before)  # its holder finds that the extent is nowhere
                self._state.request_flush()
            self._holds[key] = Hold(_NOBODY, set(), purged=True)

    def notify_owners(self) -> None:
        """Tell those whose extents have become theirs."""
        held, self._held = self._held, []
        for hold in held:
            hold.owner.held()
