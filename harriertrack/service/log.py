"""What a head logs: one line an event, and recurring events no more often than helps."""

from __future__ import annotations

from typing import Protocol

from harriertrack.runtime.hub import Hub


class Log(Protocol):
    """Writes one line."""

    def __call__(self, event: str, **fields: object) -> None:
        """Log an event with its fields."""


def has_doubled(count: int) -> bool:
    """Whether to log the so-many-th event of a kind: when their number has doubled. No flood fills a log."""
    return count & (count - 1) == 0


class Interval:
    """Lets an event be logged once in a while."""

    def __init__(self, hub: Hub, interval_us: int) -> None:
        self._hub, self._interval_us = hub, interval_us
        self._logged_at = hub.now() - interval_us

    def is_over(self) -> bool:
        """Whether the last event of which this was asked or told is so long ago; it begins anew if so."""
        if self._hub.now() - self._logged_at < self._interval_us:
            return False
        self.begin()
        return True

    def begin(self) -> None:
        """An event is logged now."""
        self._logged_at = self._hub.now()
