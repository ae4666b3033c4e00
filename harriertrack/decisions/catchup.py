"""What the holder of a volume knows of a region that is catching up: which extents that already holds.

The log of what the other region misses names extents, or says `WHOLE`: anything may be missed. While the
other head pulls extents, new writes go on; each is either copied to it (it holds the extent, or has just read
it here and delays later copies until it has stored what it read), or noted as missed. Pure: the log is passed
in.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import IntFlag
from typing import Protocol


class CatchUpStatus(IntFlag):
    """What is reported to the other head about an extent."""

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

    def mark_copied(self, volume: str, extents: Iterable[int]) -> None:
        """Remove extents that the other region holds now."""

    def remove_purged(self, volume: str, is_purged: Callable[[int], bool]) -> None:
        """Remove the extents for which `is_purged` is true: a close purged them in both regions."""


@dataclass(slots=True)
class CatchUp:
    """The state of one volume while the other region is out of sync."""

    volume: str
    extents: int  # of the volume
    log: MissedExtents
    # The other head is catching up: new writes to extents that it holds are copied to it again.
    joining: bool = False
    clean: bool = False  # the other head reported that it misses nothing, and nothing was missed since
    # Extents that the other head read here and has not confirmed, with the connection that it used.
    _read: dict[int, object] = field(default_factory=dict)
    _confirmed: set[int] = field(default_factory=set)  # extents that it holds, while the log says WHOLE

    def reset(self) -> None:
        """Start without knowledge of the other region: this head just acquired the volume."""
        self.joining = self.clean = False
        self._read.clear()
        self._confirmed.clear()

    def stop_joining(self) -> None:
        """Handle that the other region was recorded as out of sync, or does not answer: it must ask again."""
        self.joining = self.clean = False

    def start_joining(self) -> None:
        """Handle the other head's request for what it misses: from now on it is catching up."""
        self.joining = True

    def holds(self, extent: int) -> bool:
        """Whether the other region misses nothing of an extent."""
        missed = self.log.missed(self.volume)
        return extent in self._confirmed if self.log.whole in missed else extent not in missed

    def status_of(self, extent: int) -> CatchUpStatus:
        """Return what is reported to the other head about an extent."""
        if self.holds(extent):
            return CatchUpStatus.HELD
        return (
            CatchUpStatus.UNCERTAIN
            if self.log.whole in self.log.missed(self.volume)
            else CatchUpStatus.MISSED
        )

    def must_copy(self, extents: Iterable[int]) -> bool:
        """Whether a write to these extents is copied, so that the other region still holds them after it."""
        return self.joining and all(extent in self._read or self.holds(extent) for extent in extents)

    def note_missed(self, extents: Iterable[int]) -> None:
        """Note a write that was not copied; on disk when this returns, before the write is acknowledged."""
        touched = list(extents)
        self.log.miss(self.volume, touched)
        for extent in touched:
            self._read.pop(extent, None)
        self._confirmed.difference_update(touched)
        self.clean = False

    def note_read(self, extents: Iterable[int], reader: object) -> None:
        """Note that the other head reads these extents for its copy, with no write to them in progress."""
        self._read.update(dict.fromkeys(extents, reader))

    def note_purged(self, is_purged: Callable[[int], bool]) -> None:
        """Forget the extents that a close purged here (`is_purged`); the other region purges its copy itself.

        They are not missed any more, and what was read of them before must not be stored now.
        """
        for extent in [one for one in self._read if is_purged(one)]:
            del self._read[extent]
        self.log.remove_purged(self.volume, is_purged)

    def confirm_copied(self, extent: int, reader: object) -> None:
        """Note that the other head stored an extent as last read; ignored if a write was missed since.

        Also ignored from another connection than the one used to read: it may confirm an earlier read.
        """
        if extent in self._read and self._read[extent] is reader:
            del self._read[extent]
            if self.log.whole in self.log.missed(self.volume):
                self._confirmed.add(extent)
            self.log.mark_copied(self.volume, (extent,))

    def confirm_all_copied(self) -> None:
        """Handle the report that the other head holds everything: it does if nothing was missed since."""
        if len(self._confirmed) >= self.extents:
            self.log.mark_copied(self.volume, (self.log.whole,))
            self._confirmed.clear()
        self.clean = self.joining and not self.log.missed(self.volume)

    @property
    def complete(self) -> bool:
        """Whether the other region may be recorded as in sync."""
        return self.joining and self.clean and not self.log.missed(self.volume)
