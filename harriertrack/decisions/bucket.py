"""A token bucket: plain arithmetic, no decision. Rates and levels are set by scheduler.py."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class Bucket:
    """A token bucket in units that may be overdrawn by the request that empties it."""

    at: int
    rate: float = 0.0
    most: float = 0.0
    level: float = 0.0

    def wait(self, now: int, units: float) -> int:
        """How long until it holds so many units."""
        return int(max(0.0, units - self.now(now)) / max(self.rate, 1e-9) * 1e6)

    def now(self, now: int) -> float:
        """Fill up to the present and return the level."""
        self.level = min(self.most, self.level + self.rate * (now - self.at) / 1e6)
        self.at = now
        return self.level
