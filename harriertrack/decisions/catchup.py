"""What the holder of a volume knows of a region that catches up: which extents it holds already.

The log of what the other region misses names extents, or says `WHOLE`: anything may be missed. While the
other head pulls extents, new writes go on; each is either copied to it (it holds the extent, or has just read
it here and waits with later copies until it has stored what it read), or noted as missed. Pure: the log is
handed in.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import IntFlag
from typing import Protocol


class CatchUpStatus(IntFlag):
    """What the other head is told of an extent."""

    HELD = 0
    MISSED = 1
    UNCERTAIN = 2  # it may be missed: compare


class MissedExtents(Protocol):
    """The log on disk (`storage/missed.py`)."""

    whole: int

    def missed(self, volume: str) -> frozenset[int]:
        """Return the extents that the other region misses."""

    def miss(self, volume: str, extents: Iterable[int]) -> None:
        """Note extents as missed."""

    def copied(self, volume: str, extents: Iterable[int]) -> None:
        """The other region holds these extents now."""

    def purged(self, volume: str, gone: Callable[[int], bool]) -> None:
        """Forget the extents of which `gone` says so: a close purged them in both regions."""


@dataclass(slots=True)
class CatchUp:
    """One volume, while the other region is out of sync."""

    volume: str
    extents: int  # how many the volume has
    log: MissedExtents
    # The other head catches up: new writes are copied to it again where it holds the rest.
    joining: bool = False
    clean: bool = False  # it said that it misses nothing, and nothing was missed since
    # Extents that it read here for its copy and has not confirmed, and over which connection it read them.
    _read: dict[int, object] = field(default_factory=dict)
    _confirmed: set[int] = field(default_factory=set)  # what it holds, while the log says WHOLE

    def reset(self) -> None:
        """This head took the volume: nothing is known of the other one."""
        self.joining = self.clean = False
        self._read.clear()
        self._confirmed.clear()

    def stop_joining(self) -> None:
        """The other region was recorded as out of sync, or does not answer: it has to ask anew."""
        self.joining = self.clean = False

    def start_joining(self) -> None:
        """The other head asked what it misses: it catches up from now on."""
        self.joining = True

    def holds(self, extent: int) -> bool:
        """Whether the other region misses nothing of an extent."""
        missed = self.log.missed(self.volume)
        return extent in self._confirmed if self.log.whole in missed else extent not in missed

    def status_of(self, extent: int) -> CatchUpStatus:
        """Return what the other head is told of an extent."""
        if self.holds(extent):
            return CatchUpStatus.HELD
        return (
            CatchUpStatus.UNCERTAIN
            if self.log.whole in self.log.missed(self.volume)
            else CatchUpStatus.MISSED
        )

    def must_copy(self, extents: Iterable[int]) -> bool:
        """Whether a write to these extents is copied, so that the other region goes on holding them."""
        return self.joining and all(extent in self._read or self.holds(extent) for extent in extents)

    def note_missed(self, extents: Iterable[int]) -> None:
        """A write to these extents was not copied: on disk when this returns, before it is acknowledged."""
        touched = list(extents)
        self.log.miss(self.volume, touched)
        for extent in touched:
            self._read.pop(extent, None)
        self._confirmed.difference_update(touched)
        self.clean = False

    def note_read(self, extents: Iterable[int], reader: object) -> None:
        """The other head reads these extents here for its copy, with no write to them under way."""
        self._read.update(dict.fromkeys(extents, reader))

    def note_purged(self, gone: Callable[[int], bool]) -> None:
        """A close purged the extents of which `gone` says so, here; the other region does so by itself.

        Nothing of them is missed any more, and what was read of them before is not what is to be held now.
        """
        for extent in [one for one in self._read if gone(one)]:
            del self._read[extent]
        self.log.purged(self.volume, gone)

    def confirm_copied(self, extent: int, reader: object) -> None:
        """It stored an extent as it last read it; where a write was missed since, that does not count.

        Nor does what another connection says than the one it read over: that may be word of an earlier read.
        """
        if extent in self._read and self._read[extent] is reader:
            del self._read[extent]
            if self.log.whole in self.log.missed(self.volume):
                self._confirmed.add(extent)
            self.log.copied(self.volume, (extent,))

    def confirm_all_copied(self) -> None:
        """It says that it holds everything; it does if nothing was missed since it asked."""
        if len(self._confirmed) >= self.extents:
            self.log.copied(self.volume, (self.log.whole,))
            self._confirmed.clear()
        self.clean = self.joining and not self.log.missed(self.volume)

    @property
    def complete(self) -> bool:
        """Whether the other region may be recorded as in sync."""
        return self.joining and self.clean and not self.log.missed(self.volume)
