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
from harriertrack.decisions.regions import Copying, RegionView


class Held(Enum):
    """What becomes of a write that the home holds."""

    ANSWER = auto()  # acknowledge it: nothing else is owed
    COPY = auto()  # copy it, and acknowledge it then
    COPY_BEHIND = auto()  # acknowledge it, and copy it


class Turn(Enum):
    """What a copy's turn brings."""

    GONE = auto()  # it ended meanwhile
    LOST = auto()  # the lease is over: end it as failed
    SEND = auto()
    MISSED = auto()  # late, and the other region is out of sync: noted; end it as served
    DROP = auto()  # late: have the other region recorded as out of sync
    WAIT = auto()  # late, and that is under way


class Crossed(Enum):
    """How a write stands to a close that came while it was under way."""

    NOT = auto()
    PART = auto()  # some of its extents were purged
    WHOLE = auto()


def crossed(extents: range, gone: Callable[[int], bool]) -> Crossed:
    """Return how a write to these extents stands to a close; `gone` says of an extent that it was purged."""
    count = sum(gone(extent) for extent in extents)
    if not count:
        return Crossed.NOT
    return Crossed.WHOLE if count == len(extents) else Crossed.PART


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

    def held(self, now: int, number: int, extents: range) -> Held:
        """Take a write that the home holds, or (without extents) a flush that is done there."""
        match self.view.copying(now):
            case Copying.WAIT:
                found = Held.COPY
            case Copying.LATER:
                self.view.began_behind(number, now)
                found = Held.COPY_BEHIND
            case _ if extents and self.catch_up.copies(extents):
                found = Held.COPY_BEHIND
            case _:
                self._miss(extents)
                return Held.ANSWER
        self._open[number] = Copy(extents, now)
        return found

    def until(self, number: int) -> int:
        """Return by when the other region has to have a write."""
        return self._open[number].since + self.view.bounds.copy_us

    def turn(self, now: int, number: int, alive: bool, unsettled_us: int = 0) -> Turn:
        """Take a copy's next turn.

        `alive`: the lease under which it was written stands. `unsettled_us`: for so long the two heads may
        stand on different sides of a close; the other region's time begins when that is over.
        """
        copy = self._open.get(number)
        if copy is None:
            return Turn.GONE
        if not alive:
            return Turn.LOST
        if unsettled_us:
            copy.since = now + unsettled_us
        return self.late(now, number) if self.view.overdue(copy.since, now) else Turn.SEND

    def late(self, now: int, number: int) -> Turn:
        """The other region does not take a write in time."""
        if self.view.other not in self.view.in_sync:
            # Only these bytes are missed; the other head goes on catching up with the rest while it is there.
            if not self.view.reachable(now):
                self.catch_up.dropped()
            self._miss(self._open[number].extents)
            return Turn.MISSED
        if self.dropping:
            return Turn.WAIT
        self.dropping = True
        return Turn.DROP

    def ended(self, number: int) -> None:
        """A write is not under way to the other region any more."""
        self._open.pop(number, None)
        self.view.caught_up(number)

    def miss_all(self) -> None:
        """Note whatever is open as missed: on disk when this returns, before the witness hears of it."""
        for copy in self._open.values():
            self._miss(copy.extents)

    def dropped(self, stands: bool) -> list[int]:
        """The record that the other region is out of sync stands, or the lease is over; return what is open.

        All of that ends, as served if it stands.
        """
        self.dropping = False
        self.catch_up.dropped()
        if stands:
            self.miss_all()
        return list(self._open)

    def _miss(self, extents: Iterable[int]) -> None:
        touched = list(extents)
        if touched:
            self.catch_up.missed(touched)
