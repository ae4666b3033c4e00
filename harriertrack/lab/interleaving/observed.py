"""The clock and random numbers of an explored hub, which record accesses in the step's footprint."""

from __future__ import annotations

import random

from harriertrack.lab.interleaving.footprints import CLOCK, RANDOM, FootprintRecorder
from harriertrack.runtime.hub import VirtualTime

START = 1_000_000_000


class ObservedTime(VirtualTime):
    """Simulated time; reads and advances are recorded in the step's footprint."""

    def __init__(self, touched: FootprintRecorder, start: int = START) -> None:
        super().__init__(start)
        self._touched = touched

    def now(self) -> int:
        """Return the simulated time in microseconds."""
        self._touched.read(CLOCK)
        return super().now()

    def wall(self) -> int:
        """Return the simulated time."""
        return self.now()

    def peek(self) -> int:
        """Return the time without recording a read, for the explorer itself."""
        return self._now

    def wait(self, until: int | None) -> list[tuple[int, int]]:
        """Advance to the next timer."""
        self._touched.write(CLOCK)
        return super().wait(until)


class ObservedRandom(random.Random):
    """Random numbers from one shared sequence: any two steps that draw from it are dependent."""

    def __init__(self, touched: FootprintRecorder, seed: int) -> None:
        super().__init__(seed)
        self._touched = touched

    def random(self) -> float:
        """Draw from [0, 1)."""
        self._touched.write(RANDOM)
        return super().random()

    def getrandbits(self, k: int, /) -> int:
        """Draw `k` random bits."""
        self._touched.write(RANDOM)
        return super().getrandbits(k)
