"""A token bucket and a fading sum: plain arithmetic, no decision. What they hold is set by scheduler.py."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class Bucket:
    """A token bucket in units that may be overdrawn by the request that empties it."""

    updated_at: int
    rate: float = 0.0
    capacity: float = 0.0
    level: float = 0.0

    def wait_us(self, now: int, units: float) -> int:
        """How long until it holds so many units."""
        return int(max(0.0, units - self.refill(now)) / max(self.rate, 1e-9) * 1e6)

    def refill(self, now: int) -> float:
        """Fill up to the present and return the level."""
        self.level = min(self.capacity, self.level + self.rate * (now - self.updated_at) / 1e6)
        self.updated_at = now
        return self.level


@dataclass(slots=True, eq=False)
class DecayingSum:
    """A sum that fades over a span of microseconds, kept since a stated time."""

    span: int
    since: int
    at: int
    total: float = 0.0

    def add(self, now: int, amount: float) -> None:
        """Count something now."""
        self.total = self.total * math.exp((self.at - now) / self.span) + amount
        self.at = now

    def rate(self, now: int, least: int) -> float:
        """Return the mean rate a microsecond; of a life of `least` or more the sum holds only that much."""
        self.add(now, 0.0)
        return self.total / (-math.expm1(-max(now - self.since, least, 1) / self.span) * self.span)
