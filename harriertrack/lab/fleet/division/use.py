"""What becomes of demand: in the heads' shares, at one bucket for all, and at an even part for each."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from harriertrack.decisions.bucket import Bucket

WAITS_US = 300_000  # what waits longer for a portion is turned away


@dataclass(slots=True)
class Tally:
    """What became of demand for a budget."""

    arrived: float = 0.0
    served: float = 0.0
    ideal: float = 0.0  # one bucket for all
    even: float = 0.0  # each head an even part


@dataclass(slots=True)
class DemandModel:
    """The same demand at one bucket, or at one for each head."""

    bucket: Bucket
    waiting: deque[int] = field(default_factory=deque)

    def serve(self, now: int, came: int) -> int:
        """Let units come, and serve what may be; return how many."""
        self.waiting.extend([now] * came)
        return serve(self.bucket, now, self.waiting, now)


def serve(bucket: Bucket, clock: int, waiting: deque[int], now: int) -> int:
    """Serve what waits as far as a bucket lets it, turn away what waited too long; return how many units."""
    while waiting and waiting[0] < now - WAITS_US:
        waiting.popleft()
    units = min(len(waiting), int(max(0.0, bucket.refill(clock))))
    bucket.level -= units
    for _ in range(units):
        waiting.popleft()
    return units
