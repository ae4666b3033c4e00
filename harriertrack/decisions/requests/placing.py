"""Extents that get their place, and extents that are kept to somebody for a while."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from harriertrack.decisions.life import PartState, PartStep, step_part
from harriertrack.decisions.requests.arriving import Arriving
from harriertrack.decisions.requests.board import Board
from harriertrack.decisions.requests.model import Part
from harriertrack.decisions.requests.port import Holder


@dataclass(slots=True, eq=False)
class Hold:
    """An extent that is kept: later requests wait. `left` are the earlier ones that are still open."""

    holder: Holder
    left: set[int]
    purged: bool = False  # by a close: until what that left is trimmed


class _Nobody:
    """Keeps an extent for nobody who would have to hear of it."""

    def held(self) -> None:
        """Take note that no earlier request for the extent is open any more."""


_NOBODY = _Nobody()


class Placing:
    """Who waits until another one has placed an extent, or let it go."""

    def __init__(self, board: Board, arriving: Arriving) -> None:
        self._board, self._arriving = board, arriving
        self.lines: dict[tuple[str, int], deque[Part]] = {}  # the first of each places its extent
        self._holds: dict[tuple[str, int], Hold] = {}
        self._held: list[Hold] = []  # holds that have become so
        self._placements: list[tuple[str, int, int]] = []
        self._released: list[tuple[str, int]] = []

    def queue(self, now: int, part: Part) -> None:
        """Tell the module of a part, or let it wait while another one places the same new extent.

        Two first writes to one extent must not be placed on two shards; the second waits for the first's end.
        """
        key = (part.request.volume.settings.name, part.extent)
        held = key in self._holds
        if part.request.moving:
            if part.shard < 0:
                part.places = True
                part.lined = True
                self.lines.setdefault(key, deque()).appendleft(part)
        elif part.extent >= 0 and (part.shard < 0 or held or key in self.lines):
            part.shard = -1
            line = self.lines.setdefault(key, deque())
            line.append(part)
            part.lined = True
            if held or line[0] is not part or key in self._released:  # the one before may just have placed it
                if part.state is PartState.KEPT:
                    part.state = step_part(part.state, PartStep.PLACE)
                if held and self._board.closings is not None and self._holds[key].purged:
                    self._board.closings.awaited(*key)
                self._board.push(self._board.last_answer(part.request), part)
                return
            part.places = True
        self._arriving.tell(now, part)

    def line(self, part: Part) -> list[Part]:
        """Return who stands in line for a part's extent."""
        return list(self.lines.get((part.request.volume.settings.name, part.extent), ()))

    def placed(self, part: Part, shard: int) -> None:
        """A part was served that places its extent."""
        self._placements.append((part.request.volume.settings.name, part.extent, shard))

    def record(self) -> None:
        """Write down what was placed: on disk before any answer that promises it."""
        if self._placements:
            placements, self._placements = self._placements, []
            self._board.places.place(placements)

    def leave(self, part: Part) -> None:
        """The module has nothing of a part any more, or never had: who waits for its placement may go on."""
        self._arriving.leave(part)
        hold = self._holds.get((part.request.volume.settings.name, part.extent)) if self._holds else None
        if hold is not None and part.number in hold.left and (part.state.over or not part.touched):
            hold.left.discard(part.number)
            if not hold.left:
                self._held.append(hold)
        if part.lined:
            key = (part.request.volume.settings.name, part.extent)
            self.lines[key].remove(part)
            part.lined = False
            if part.places:
                part.places = False
                self._holds.pop(key, None)
                self._released.append(key)

    def release(self, now: int) -> None:
        """Let parts go on that waited for an extent's placement.

        To where it was placed, or one to place it.
        """
        if not self._released:
            return
        released, self._released = self._released, []
        for key in released:
            if key in self._holds:  # held again in the meantime: those who wait go on waiting
                continue
            line = self.lines.get(key, deque())
            shard = self._board.places.shard_of(*key)
            while line:
                part = line[0]
                if shard is None:
                    part.places = True
                    self._arriving.tell(now, part)
                    break
                part.shard = shard
                line.popleft()
                part.lined = False
                self._arriving.tell(now, part)
            if not line:
                self.lines.pop(key, None)

    def hold(self, volume: str, extent: int, holder: Holder) -> None:
        """Keep an extent to somebody. Raises ValueError if it is kept already, or was never placed."""
        key, board = (volume, extent), self._board
        if key in self._holds or board.places.shard_of(*key) is None:
            raise ValueError(f"extent {extent} of {volume} is held already, or was never placed")
        left = {
            part.number for part in board.parts.values()
            if part.extent == extent and part.request.volume.settings.name == volume
            and part.state is not PartState.WAITING and not part.state.over
            and (part.state is not PartState.KEPT or part.touched)
        }  # fmt: skip
        self._holds[key] = hold = Hold(holder, left)
        if not left:
            self._held.append(hold)
        board.soon()

    def free(self, volume: str, extent: int, purged: bool = False) -> None:
        """Keep an extent no more that was kept to somebody, or was purged."""
        key = (volume, extent)
        hold = self._holds.get(key)
        if hold is not None and hold.purged is purged:
            del self._holds[key]
            self._released.append(key)
            self._board.soon()

    def keep_purged(self, places: Iterable[tuple[str, int]]) -> None:
        """Let requests for these (volume, extent) wait until they are freed as purged."""
        for key in places:
            if (before := self._holds.get(key)) is not None and not before.purged:
                self._held.append(before)  # its holder finds that the extent is nowhere
                self._board.soon()
            self._holds[key] = Hold(_NOBODY, set(), purged=True)

    def tell_holders(self) -> None:
        """Tell those whose extents have become theirs."""
        held, self._held = self._held, []
        for hold in held:
            hold.holder.held()
