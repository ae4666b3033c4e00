"""What is logged of the calls to discovery: failures, how overdue calls ended, recoveries."""

from __future__ import annotations

from harriertrack.runtime.hub import Hub
from harriertrack.service.discovery_call import DiscoveryCall
from harriertrack.service.log import Interval, Log, has_doubled

INTERVAL_US = 1_000_000  # failures in a row, and late ends, are logged so often at most
MOST_REASON = 200  # characters of a failure's reason


class DiscoveryLog:
    """Counts failures in a row, and logs them."""

    def __init__(self, hub: Hub, log: Log) -> None:
        self._hub, self._log = hub, log
        self._failures = 0  # in a row
        self._of_failures = Interval(hub, INTERVAL_US)
        self._of_late_ends = Interval(hub, INTERVAL_US)

    def failed(self, reason: str, began: int, again_us: int, version: int | None) -> None:
        """Log a call that failed or is overdue; where calls fail many times a second, one line a second."""
        self._failures += 1
        if has_doubled(self._failures):
            self._of_failures.begin()
        elif not self._of_failures.is_over():
            return
        self._log(
            "discovery failed",
            why=reason[:MOST_REASON],
            in_a_row=self._failures,
            took_us=self._hub.now() - began,
            again_us=again_us,
            version=version,
        )

    def ended_late(self, made: DiscoveryCall, open_calls: int, version: int | None) -> None:
        """Log how a call that was overdue has ended."""
        if self._of_late_ends.is_over():
            self._log(
                "discovery late",
                why=made.failure[:MOST_REASON] or "answered",
                took_us=self._hub.now() - made.began,
                open=open_calls,
                version=version,
            )

    def answered(self, made: DiscoveryCall, version: int | None) -> None:
        """Log the first answer after calls that failed or were overdue."""
        if self._failures:
            self._log(
                "discovery answered",
                after_failures=self._failures,
                took_us=self._hub.now() - made.began,
                version=version,
            )
        self._failures = 0
