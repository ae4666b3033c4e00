"""Placement of new extents, and exclusive holds of extents."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from harriertrack.decisions.lifecycle import PartState, PartStep, next_part_state
from harriertrack.decisions.requests.model import Part
from harriertrack.decisions.requests.port import HoldOwner
from harriertrack.decisions.requests.state import CoreState, PartTimeout
from harriertrack.decisions.requests.submission import Submission


@dataclass(slots=True, eq=False)
class Hold:
    """A held extent: later requests for it wait. `earlier_parts` are the earlier ones that are still open."""

    owner: HoldOwner
    earlier_parts: set[int]
    purged: bool = False  # by a close: held until the bytes left on the shard are trimmed


class _NoOwner:
    """The owner of a purged extent's hold; needs no notification."""

    def held(self) -> None:
        """Do nothing."""


_NO_OWNER = _NoOwner()


class Placement:
    """Places new extents, and queues parts until their extent is placed or its hold ends."""

    def __init__(self, state: CoreState, submission: Submission) -> None:
        self._state, self._submission = state, submission
        self.queues: dict[tuple[str, int], deque[Part]] = {}  # the first of each queue places its extent
        self._holds: dict[tuple[str, int], Hold] = {}
        self._acquired: list[Hold] = []  # holds whose owners are still to be notified
        self._placements: list[tuple[str, int, int]] = []
        self._released: list[tuple[str, int]] = []

    def submit_or_queue(self, now: int, part: Part) -> None:
        """Submit a part to the module, or queue it while another part places the same new extent.

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
            queue = self.queues.setdefault(key, deque())
            queue.append(part)
            part.queued_for_placement = True
            # If the extent was just released, the part before may have placed it.
            if held or queue[0] is not part or key in self._released:
                if part.state is PartState.QUEUED:
                    part.state = next_part_state(part.state, PartStep.AWAIT_PLACEMENT)
                if held and self._state.close_guard is not None and self._holds[key].purged:
                    self._state.close_guard.prioritize_trim(*key)
                self._state.schedule(self._state.last_answer(part.request), PartTimeout(part.number))
                return
            part.places_extent = True
        self._submission.submit(now, part)

    def parts_in_queue(self, part: Part) -> list[Part]:
        """Return the placement queue of a part's extent."""
        return list(self.queues.get((part.request.volume.settings.name, part.extent), ()))

    def add_placement(self, part: Part, shard: int) -> None:
        """Note the shard where a part that places its extent was served."""
        self._placements.append((part.request.volume.settings.name, part.extent, shard))

    def write_placements(self) -> None:
        """Write new placements to disk, before any answer that relies on them."""
        if self._placements:
            placements, self._placements = self._placements, []
            self._state.placements.place(placements)

    def withdraw(self, part: Part) -> None:
        """Dequeue a part that the module no longer has, or never had, and let the parts behind it go on."""
        self._submission.withdraw(part)
        hold = self._holds.get((part.request.volume.settings.name, part.extent)) if self._holds else None
        if (
            hold is not None
            and part.number in hold.earlier_parts
            and (part.state.is_final or not part.may_have_effect)
        ):
            hold.earlier_parts.discard(part.number)
            if not hold.earlier_parts:
                self._acquired.append(hold)
        if part.queued_for_placement:
            key = (part.request.volume.settings.name, part.extent)
            self.queues[key].remove(part)
            part.queued_for_placement = False
            if part.places_extent:
                part.places_extent = False
                self._holds.pop(key, None)
                self._released.append(key)

    def release_queued(self, now: int) -> None:
        """Submit the parts that waited for an extent's placement or release.

        If the extent is placed, all go to its shard; else the first of them places it.
        """
        if not self._released:
            return
        released, self._released = self._released, []
        for key in released:
            if key in self._holds:  # held again meanwhile: the queued parts wait on
                continue
            queue = self.queues.get(key, deque())
            shard = self._state.placements.shard_of(*key)
            while queue:
                part = queue[0]
                if shard is None:
                    part.places_extent = True
                    self._submission.submit(now, part)
                    break
                part.shard = shard
                queue.popleft()
                part.queued_for_placement = False
                self._submission.submit(now, part)
            if not queue:
                self.queues.pop(key, None)

    def hold_extent(self, volume: str, extent: int, owner: HoldOwner) -> None:
        """Hold an extent exclusively. Raises ValueError if it is held already, or was never placed."""
        key, state = (volume, extent), self._state
        if key in self._holds or state.placements.shard_of(*key) is None:
            raise ValueError(f"extent {extent} of {volume} is held already, or was never placed")
        earlier_parts = {
            part.number for part in state.parts.values()
            if part.extent == extent and part.request.volume.settings.name == volume
            and part.state is not PartState.AWAITING_PLACEMENT and not part.state.is_final
            and (part.state is not PartState.QUEUED or part.may_have_effect)
        }  # fmt: skip
        self._holds[key] = hold = Hold(owner, earlier_parts)
        if not earlier_parts:
            self._acquired.append(hold)
        state.request_flush()

    def release_extent(self, volume: str, extent: int, purged: bool = False) -> None:
        """End the hold of an extent; with `purged`, that of a purged extent."""
        key = (volume, extent)
        hold = self._holds.get(key)
        if hold is not None and hold.purged is purged:
            del self._holds[key]
            self._released.append(key)
            self._state.request_flush()

    def hold_purged(self, places: Iterable[tuple[str, int]]) -> None:
        """Hold these (volume, extent) until they are released as purged."""
        for key in places:
            if (before := self._holds.get(key)) is not None and not before.purged:
                self._acquired.append(before)  # its owner will find that the extent has no placement
                self._state.request_flush()
            self._holds[key] = Hold(_NO_OWNER, set(), purged=True)

    def notify_owners(self) -> None:
        """Notify the owners of the holds that were acquired."""
        acquired, self._acquired = self._acquired, []
        for hold in acquired:
            hold.owner.held()
