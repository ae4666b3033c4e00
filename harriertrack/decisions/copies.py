"""Copies of a volume's writes from the holder's region to the other one: the decisions of the holder.

Pure: events in, actions out. `RegionView` says when a write may be acknowledged, `CatchUp` what the other
region holds while it is out of sync; both belong to one volume, and the caller carries the bytes.

| for a write that the home holds, if | it is | until |
| --- | --- | --- |
| both regions are in sync | open here | the other region has it, or is recorded as out of sync |
| the other is not, and holds the rest of its extents | open here, acknowledged | it has it, or misses it |
| the other is not | noted as missed on disk, acknowledged | |

A close that covers an open write ends it: the other region purges what it has of it by the same instant, and
rejects what arrives later under the generation before. If a close covers only some of a write's extents, the
rest is read back at home and copied again.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum, auto

from harriertrack.decisions.catchup import CatchUp
from harriertrack.decisions.regions import CopyDecision, RegionView


class WriteAction(Enum):
    """What to do with a write that the home holds."""

    ACKNOWLEDGE = auto()  # nothing else is to be done
    COPY_FIRST = auto()  # copy it, then acknowledge it
    ACKNOWLEDGE_AND_COPY = auto()  # acknowledge it, and copy it in the background


class CopyAction(Enum):
    """What to do next with a copy."""

    ENDED = auto()  # nothing: it ended meanwhile
    LEASE_LOST = auto()  # the lease has ended: end the copy as failed
    SEND = auto()
    NOTED_MISSED = auto()  # late, and the other region is out of sync: noted as missed; end it as served
    DROP_REGION = auto()  # late: have the other region recorded as out of sync
    WAIT = auto()  # late, and that record is being written


class CloseOverlap(Enum):
    """Which extents of a write were purged by a close during the write."""

    NONE = auto()
    PARTIAL = auto()  # some of its extents were purged
    FULL = auto()


def close_overlap(extents: range, is_purged: Callable[[int], bool]) -> CloseOverlap:
    """Return which of a write's extents were purged; `is_purged` tells whether an extent was."""
    count = sum(is_purged(extent) for extent in extents)
    if not count:
        return CloseOverlap.NONE
    return CloseOverlap.FULL if count == len(extents) else CloseOverlap.PARTIAL


@dataclass(slots=True)
class Copy:
    """A write being copied."""

    extents: range  # empty: a flush
    since: int


@dataclass(slots=True)
class Copies:
    """The open copies of one volume, by the numbers of the writes."""

    view: RegionView
    catch_up: CatchUp
    _open: dict[int, Copy] = field(default_factory=dict)
    dropping: bool = False  # the witness was asked to record that the other region is out of sync

    def __len__(self) -> int:
        return len(self._open)

    def __contains__(self, number: int) -> bool:
        return number in self._open

    def __iter__(self) -> Iterator[int]:
        return iter(list(self._open))

    def busy(self) -> set[int]:
        """Return the extents being written to."""
        return {extent for copy in self._open.values() for extent in copy.extents}

    def add_write(self, now: int, number: int, extents: range) -> WriteAction:
        """Add a write that the home holds, or (without extents) a flush that is done there."""
        match self.view.copy_decision(now):
            case CopyDecision.WAIT:
                found = WriteAction.COPY_FIRST
            case CopyDecision.LATER:
                self.view.add_behind(number, now)
                found = WriteAction.ACKNOWLEDGE_AND_COPY
            case _ if extents and self.catch_up.must_copy(extents):
                found = WriteAction.ACKNOWLEDGE_AND_COPY
            case _:
                self._note_missed(extents)
                return WriteAction.ACKNOWLEDGE
        self._open[number] = Copy(extents, now)
        return found

    def due_at(self, number: int) -> int:
        """Return by when the other region must have a write."""
        return self._open[number].since + self.view.bounds.copy_us

    def next_action(self, now: int, number: int, alive: bool, unsettled_us: int = 0) -> CopyAction:
        """Return what to do next with a copy.

        `alive`: the lease under which it was written is still held. `unsettled_us`: for this long the two
        heads may differ about a close; the time limit of the other region begins after that.
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
        """Handle a copy that the other region did not store in time."""
        if self.view.other not in self.view.in_sync:
            # Only these bytes are missed; while reachable, the other head goes on catching up with the rest.
            if not self.view.reachable(now):
                self.catch_up.stop_joining()
            self._note_missed(self._open[number].extents)
            return CopyAction.NOTED_MISSED
        if self.dropping:
            return CopyAction.WAIT
        self.dropping = True
        return CopyAction.DROP_REGION

    def finish(self, number: int) -> None:
        """End the copy of a write."""
        self._open.pop(number, None)
        self.view.remove_behind(number)

    def note_all_missed(self) -> None:
        """Note all open writes as missed; on disk when this returns, before the witness is updated."""
        for copy in self._open.values():
            self._note_missed(copy.extents)

    def region_dropped(self, recorded: bool) -> list[int]:
        """Handle the record that the other region is out of sync, or the lease's end; return the open writes.

        All of them end: as served if the record was made.
        """
        self.dropping = False
        self.catch_up.stop_joining()
        if recorded:
            self.note_all_missed()
        return list(self._open)

    def _note_missed(self, extents: Iterable[int]) -> None:
        touched = list(extents)
        if touched:
            self.catch_up.note_missed(touched)
