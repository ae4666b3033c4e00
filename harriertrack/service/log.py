"""The log of a head: one line per event, and rate limits for recurring events."""

from __future__ import annotations

from typing import Protocol

from harriertrack.runtime.hub import Hub


class Log(Protocol):
    """Writes one line."""

    def __call__(self, event: str, **fields: object) -> None:
        """Log an event with its fields."""


def is_power_of_two(count: int) -> bool:
    """Whether to log event number `count` of a kind: at powers of two, so that a flood can't fill the log."""
    return count & (count - 1) == 0


class LogInterval:
    """Limits how often an event is logged: once per interval."""

    def __init__(self, hub: Hub, interval_us: int) -> None:
        self._hub, self._interval_us = hub, interval_us
        self._logged_at = hub.now() - interval_us

    def allow(self) -> bool:
        """Return whether the interval is over since the last logged event; if so, start the next one."""
        if self._hub.now() - self._logged_at < self._interval_us:
            return False
        self.restart()
        return True

    def restart(self) -> None:
        """Start the interval now, as an event is logged."""
        self._logged_at = self._hub.now()
