"""Log lines of the calls to discovery: failures, how overdue calls ended, recoveries."""

from __future__ import annotations

from harriertrack.runtime.hub import Hub
from harriertrack.service.discovery_call import DiscoveryCall
from harriertrack.service.log import Log, LogInterval, is_power_of_two

INTERVAL_US = 1_000_000  # consecutive failures, and late ends, are logged at most once per interval
MAX_REASON_LENGTH = 200  # characters of a failure's reason


class DiscoveryLog:
    """Counts consecutive failures and logs them."""

    def __init__(self, hub: Hub, log: Log) -> None:
        self._hub, self._log = hub, log
        self._failures = 0  # consecutive
        self._of_failures = LogInterval(hub, INTERVAL_US)
        self._of_late_ends = LogInterval(hub, INTERVAL_US)

    def log_failure(self, reason: str, started_at: int, delay_us: int, version: int | None) -> None:
        """Log a call that failed or is overdue, one line a second at most once failures recur."""
        self._failures += 1
        if is_power_of_two(self._failures):
            self._of_failures.restart()
        elif not self._of_failures.allow():
            return
        self._log(
            "discovery failed",
            why=reason[:MAX_REASON_LENGTH],
            in_a_row=self._failures,
            took_us=self._hub.now() - started_at,
            again_us=delay_us,
            version=version,
        )

    def log_late_end(self, call: DiscoveryCall, open_calls: int, version: int | None) -> None:
        """Log how an overdue call ended."""
        if self._of_late_ends.allow():
            self._log(
                "discovery late",
                why=call.failure[:MAX_REASON_LENGTH] or "answered",
                took_us=self._hub.now() - call.started_at,
                open=open_calls,
                version=version,
            )

    def log_recovery(self, call: DiscoveryCall, version: int | None) -> None:
        """Log the first answer after calls that failed or were overdue."""
        if self._failures:
            self._log(
                "discovery answered",
                after_failures=self._failures,
                took_us=self._hub.now() - call.started_at,
                version=version,
            )
        self._failures = 0
