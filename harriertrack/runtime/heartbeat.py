"""A periodic callback."""

from __future__ import annotations

from collections.abc import Callable

from harriertrack.runtime.hub import Hub, Timer


class Heartbeat:
    """Calls `act` every `period_us`; after a standstill, missed periods lead to one call only."""

    def __init__(self, hub: Hub, period_us: int, act: Callable[[], None]) -> None:
        self._hub, self._period_us, self._act = hub, period_us, act
        self._timer: Timer | None = None

    def start(self) -> None:
        """Start; the first call is after one period."""
        self._timer = self._hub.at(self._hub.now() + self._period_us, self._beat)

    def _beat(self) -> None:
        self.start()
        self._act()

    def cancel(self) -> None:
        """Stop the calls."""
        if self._timer is not None:
            self._timer.cancel()
