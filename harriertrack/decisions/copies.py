"""A volume's writes between the home, which holds them, and the other region: what the holder does with them.

Pure: events in, what is to be done out. `RegionView` says when a write may be acknowledged, `CatchUp` what
the other region holds while it is out of sync; both are one volume's, and the caller carries the bytes.

| a write that the home holds | is | until |
| --- | --- | --- |
| both regions are in sync | open here | the other region has it, or is recorded as out of sync |
| the other is not, and holds the rest of its extents | open here, acknowledged | it has it, or misses it |
| the other is not | noted as missed on disk, acknowledged | |

A close that covers an open write ends it: the other region purges what it has of it by the same instant, and
turns down what comes later under the generation before. Where a close covers a part alone, what is left is
read back at home and copied anew.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum, auto

from harriertrack.decisions.catchup import CatchUp
from harriertrack.decisions.regions import CopyDecision, RegionView


class WriteAction(Enum):
    """What becomes of a write that the home holds."""

    ACKNOWLEDGE = auto()  # acknowledge it: nothing else is owed
    COPY_FIRST = auto()  # copy it, and acknowledge it then
    ACKNOWLEDGE_AND_COPY = auto()  # acknowledge it, and copy it


class CopyAction(Enum):
    """What a copy's turn brings."""

    ENDED = auto()  # it ended meanwhile
    LEASE_LOST = auto()  # the lease is over: end it as failed
    SEND = auto()
    NOTED_MISSED = auto()  # late, and the other region is out of sync: noted; end it as served
    DROP_REGION = auto()  # late: have the other region recorded as out of sync
    WAIT = auto()  # late, and that is under way


class CloseOverlap(Enum):
    """How a write stands to a close that came while it was under way."""

    NONE = auto()
    PARTIAL = auto()  # some of its extents were purged
    FULL = auto()


def close_overlap(extents: range, gone: Callable[[int], bool]) -> CloseOverlap:
    """Return how a write to these extents stands to a close; `gone` says of an extent that it was purged."""
    count = sum(gone(extent) for extent in extents)
    if not count:
        return CloseOverlap.NONE
    return CloseOverlap.FULL if count == len(extents) else CloseOverlap.PARTIAL


@dataclass(slots=True)
class Copy:
    """A write on its way."""

    extents: range  # none: a flush
    since: int


@dataclass(slots=True)
class Copies:
    """One volume's, by the writes' numbers."""

    view: RegionView
    catch_up: CatchUp
    _open: dict[int, Copy] = field(default_factory=dict)
    dropping: bool = False  # the witness is asked to record that the other region is out of sync

    def __len__(self) -> int:
        return len(self._open)

    def __contains__(self, number: int) -> bool:
        return number in self._open

    def __iter__(self) -> Iterator[int]:
        return iter(list(self._open))

    def busy(self) -> set[int]:
        """Return the extents that are written to."""
        return {extent for copy in self._open.values() for extent in copy.extents}

    def add_write(self, now: int, number: int, extents: range) -> WriteAction:
        """Take a write that the home holds, or (without extents) a flush that is done there."""
        match self.view.copy_decision(now):
            case CopyDecision.WAIT:
                found = WriteAction.COPY_FIRST
            case CopyDecision.LATER:
                self.view.add_behind(number, now)
                found = WriteAction.ACKNOWLEDGE_AND_COPY
            case _ if extents and self.catch_up.must_copy(extents):
                found = WriteAction.ACKNOWLEDGE_AND_COPY
            case _:
                self._miss(extents)
                return WriteAction.ACKNOWLEDGE
        self._open[number] = Copy(extents, now)
        return found

    def due_at(self, number: int) -> int:
        """Return by when the other region has to have a write."""
        return self._open[number].since + self.view.bounds.copy_us

    def next_action(self, now: int, number: int, alive: bool, unsettled_us: int = 0) -> CopyAction:
        """Take a copy's next turn.

        `alive`: the lease under which it was written stands. `unsettled_us`: for so long the two heads may
        stand on different sides of a close; the other region's time begins when that is over.
        """
        copy = self._open.get(number)
        if copy is None:
            return CopyAction.ENDED
        if not alive:
            return CopyAction.LEASE_LOST
        if unsettled_us:
            copy.since = now + unsettled_us
        return self.handle_late(now, number) if self.view.copy_overdue(copy.since, now) else CopyAction.SEND

    def handle_late(self, now: int, number: int) -> CopyAction:
        """The other region does not take a write in time."""
        if self.view.other not in self.view.in_sync:
            # Only these bytes are missed; the other head goes on catching up with the rest while it is there.
            if not self.view.reachable(now):
                self.catch_up.stop_joining()
            self._miss(self._open[number].extents)
            return CopyAction.NOTED_MISSED
        if self.dropping:
            return CopyAction.WAIT
        self.dropping = True
        return CopyAction.DROP_REGION

    def finish(self, number: int) -> None:
        """A write is not under way to the other region any more."""
        self._open.pop(number, None)
        self.view.remove_behind(number)

    def note_all_missed(self) -> None:
        """Note whatever is open as missed: on disk when this returns, before the witness hears of it."""
        for copy in self._open.values():
            self._miss(copy.extents)

    def region_dropped(self, stands: bool) -> list[int]:
        """The record that the other region is out of sync stands, or the lease is over; return what is open.

        All of that ends, as served if it stands.
        """
        self.dropping = False
        self.catch_up.stop_joining()
        if stands:
            self.note_all_missed()
        return list(self._open)

    def _miss(self, extents: Iterable[int]) -> None:
        touched = list(extents)
        if touched:
            self.catch_up.note_missed(touched)
