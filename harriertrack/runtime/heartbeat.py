"""A callback at fixed times, for as long as a process serves."""

from __future__ import annotations

from collections.abc import Callable

from harriertrack.runtime.hub import Hub, Timer


class Heartbeat:
    """Calls `act` each `period_us`; after a standstill once, and from then on as before."""

    def __init__(self, hub: Hub, period_us: int, act: Callable[[], None]) -> None:
        self._hub, self._period_us, self._act = hub, period_us, act
        self._timer: Timer | None = None

    def start(self) -> None:
        """Begin; the first call comes after one period."""
        self._timer = self._hub.at(self._hub.now() + self._period_us, self._beat)

    def _beat(self) -> None:
        self.start()
        self._act()

    def cancel(self) -> None:
        """Call no more."""
        if self._timer is not None:
            self._timer.cancel()
