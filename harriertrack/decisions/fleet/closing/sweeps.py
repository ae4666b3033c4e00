"""Sweeps of volumes that several heads serve, whose extents were allocated beforehand, after a close.

No head's map shows that such an extent was not written since: all its locations are trimmed, and until that
is proven no head admits requests for the range. The heads that serve the volume share the work without
coordination: each processes the slices of the range in an order of its own and reports which are done; the
deciding head records when all are. A slice that two heads did was done twice, which is harmless before the
range is open again.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from zlib import crc32

SLICES = 16
ALL_SLICES = (1 << SLICES) - 1


@dataclass(frozen=True, slots=True, order=True)
class SweepKey:
    """The sweep of one volume after one close."""

    calendar: str
    number: int
    volume: str


def slice_of(extent: int) -> int:
    """Return the slice of an extent."""
    return extent % SLICES


@dataclass(slots=True)
class Sweep:
    """One head's part in one sweep."""

    key: SweepKey
    remaining: dict[int, set[int]] = field(default_factory=dict)  # by slice: extents still to trim

    @staticmethod
    def for_extents(key: SweepKey, extents: Iterable[int]) -> Sweep:
        """Return the sweep of the given extents, not yet begun."""
        left: dict[int, set[int]] = {number: set() for number in range(SLICES)}
        for extent in extents:
            left[slice_of(extent)].add(extent)
        return Sweep(key, left)

    @property
    def done_slices(self) -> int:
        """Return a bit mask of the slices that this head has completed."""
        return sum(1 << number for number, extents in self.remaining.items() if not extents)

    def slice_order(self, head: str) -> list[int]:
        """Return the slices in the order in which a head processes them."""
        return sorted(
            self.remaining, key=lambda number: crc32(f"{self.key.volume}\0{number}\0{head}".encode())
        )

    def mark_trimmed(self, extent: int) -> None:
        """Mark an extent as trimmed."""
        self.remaining[slice_of(extent)].discard(extent)


class SweepProgress:
    """The progress of sweeps as reported to the deciding head during one term."""

    def __init__(self) -> None:
        self._done: dict[SweepKey, int] = {}

    def record_done(self, key: SweepKey, done: int) -> None:
        """Add the slices that a head reports as done."""
        self._done[key] = self._done.get(key, 0) | done

    def completed(self) -> list[SweepKey]:
        """Return the sweeps of which all slices are done."""
        return sorted(key for key, done in self._done.items() if done & ALL_SLICES == ALL_SLICES)

    def forget(self, key: SweepKey) -> None:
        """Drop a sweep that is on record."""
        self._done.pop(key, None)
