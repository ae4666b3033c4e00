"""What a close leaves on volumes that several heads serve, whose extents lie where they were allocated.

No head's map can say that such an extent was not written since: all its places are trimmed, and until that is
proven no head lets anything of the range pass. Who serves the volume shares the work without being told:
each goes through the range's slices in an order of its own and says which it has done; who decides puts on
record that all were. A slice that two did was done twice, which harms nothing before the range is open again.
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
    """Return to which slice an extent belongs."""
    return extent % SLICES


@dataclass(slots=True)
class Sweep:
    """One head's part in one sweep."""

    key: SweepKey
    remaining: dict[int, set[int]] = field(default_factory=dict)  # of each slice: what is to be trimmed

    @staticmethod
    def for_extents(key: SweepKey, extents: Iterable[int]) -> Sweep:
        """Begin the sweep of some extents."""
        left: dict[int, set[int]] = {number: set() for number in range(SLICES)}
        for extent in extents:
            left[slice_of(extent)].add(extent)
        return Sweep(key, left)

    @property
    def done_slices(self) -> int:
        """Return the slices that this head has done, a bit for each."""
        return sum(1 << number for number, extents in self.remaining.items() if not extents)

    def slice_order(self, head: str) -> list[int]:
        """Return the slices in this head's order."""
        return sorted(
            self.remaining, key=lambda number: crc32(f"{self.key.volume}\0{number}\0{head}".encode())
        )

    def mark_trimmed(self, extent: int) -> None:
        """An extent is trimmed."""
        self.remaining[slice_of(extent)].discard(extent)


class SweepProgress:
    """What who decides hears of sweeps, in one term."""

    def __init__(self) -> None:
        self._done: dict[SweepKey, int] = {}

    def record_done(self, key: SweepKey, done: int) -> None:
        """A head says which slices it has done."""
        self._done[key] = self._done.get(key, 0) | done

    def completed(self) -> list[SweepKey]:
        """Return the sweeps that are whole."""
        return sorted(key for key, done in self._done.items() if done & ALL_SLICES == ALL_SLICES)

    def forget(self, key: SweepKey) -> None:
        """It is on record."""
        self._done.pop(key, None)
