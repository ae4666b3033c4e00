"""A machine whose clock runs fast or slow, for rehearsals."""

from __future__ import annotations

from harriertrack.runtime.hub import RealClock


class RatedClock(RealClock):
    """The machine's monotonic clock at another rate; its wall clock is the machine's."""

    def __init__(self, rate: float) -> None:
        self._rate, self._began = rate, super().now()

    def now(self) -> int:
        """Return the present time in microseconds."""
        return self._began + int((super().now() - self._began) * self._rate)
