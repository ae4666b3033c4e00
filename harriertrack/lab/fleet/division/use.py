"""How much demand is served: with the heads' shares, one common bucket, or an even split."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from harriertrack.decisions.bucket import Bucket

MAX_WAIT_US = 300_000  # units that wait longer for a portion are rejected


@dataclass(slots=True)
class Tally:
    """Units of demand for a budget: arrived, served, and served by two reference models."""

    arrived: float = 0.0
    served: float = 0.0
    ideal: float = 0.0  # with one bucket for all heads
    even: float = 0.0  # with an even part for each head


@dataclass(slots=True)
class DemandModel:
    """A reference model: the same demand served from one bucket."""

    bucket: Bucket
    waiting: deque[int] = field(default_factory=deque)

    def serve(self, now: int, arrivals: int) -> int:
        """Queue arriving units, serve what the bucket allows, and return how many."""
        self.waiting.extend([now] * arrivals)
        return serve(self.bucket, now, self.waiting, now)


def serve(bucket: Bucket, clock: int, waiting: deque[int], now: int) -> int:
    """Reject units that waited too long, serve what a bucket allows, and return the number served."""
    while waiting and waiting[0] < now - MAX_WAIT_US:
        waiting.popleft()
    units = min(len(waiting), int(max(0.0, bucket.refill(clock))))
    bucket.level -= units
    for _ in range(units):
        waiting.popleft()
    return units
