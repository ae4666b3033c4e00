"""A token bucket and a decaying sum: arithmetic only, no decisions. scheduler.py sets their parameters."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class Bucket:
    """A token bucket in units; the request that empties it may overdraw it."""

    updated_at: int
    rate: float = 0.0  # units a second
    capacity: float = 0.0
    level: float = 0.0

    def wait_us(self, now: int, units: float) -> int:
        """Return how long until it holds so many units."""
        return int(max(0.0, units - self.refill(now)) / max(self.rate, 1e-9) * 1e6)

    def level_at(self, now: int) -> float:
        """Return the level that a refill would bring it to."""
        return min(self.capacity, self.level + self.rate * (now - self.updated_at) / 1e6)

    def refill(self, now: int) -> float:
        """Refill it up to the present and return the level."""
        self.level = self.level_at(now)
        self.updated_at = now
        return self.level


@dataclass(slots=True, eq=False)
class DecayingSum:
    """A sum that decays exponentially with a time constant in microseconds, begun at a given time."""

    span_us: int
    began_at: int
    updated_at: int
    total: float = 0.0

    def add(self, now: int, amount: float) -> None:
        """Add an amount now."""
        self.total = self.total * math.exp((self.updated_at - now) / self.span_us) + amount
        self.updated_at = now

    def rate(self, now: int, least: int) -> float:
        """Return the mean rate a microsecond since it began, over `least` at minimum, corrected for decay."""
        self.add(now, 0.0)
        return self.total / (-math.expm1(-max(now - self.began_at, least, 1) / self.span_us) * self.span_us)
