"""A clock that runs fast or slow, for tests of clock errors."""

from __future__ import annotations

from harriertrack.runtime.hub import RealClock


class RatedClock(RealClock):
    """The machine's monotonic clock at another rate, and its wall clock ahead by `ahead_us`."""

    def __init__(self, rate: float, ahead_us: int = 0) -> None:
        self._rate, self._began, self._ahead_us = rate, super().now(), ahead_us

    def now(self) -> int:
        """Return the current time in microseconds."""
        return self._began + int((super().now() - self._began) * self._rate)

    def wall(self) -> int:
        """Return the time since 1970 in microseconds."""
        return super().wall() + self._ahead_us
