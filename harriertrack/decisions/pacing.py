"""Whether a load generator kept to its schedule: which requests it sent late, and when a run is void.

An open-loop generator must send each request at its scheduled time, whatever the answers do. One that falls
delay measures itself: its run is marked void, and its results must not be quoted.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class RunValidity(Enum):
    """Whether the results of a run may be used."""

    GOOD = "good"
    VOID = "void"


@dataclass(frozen=True, slots=True)
class PacingRule:
    """The tolerated delay in microseconds, and the share of the requests that may exceed it."""

    late_us: int = 20_000
    late_share: float = 0.01
    worst_us: int = 500_000


class Pacing:
    """Counts how late requests are sent."""

    def __init__(self, rule: PacingRule) -> None:
        self.rule = rule
        self.planned = self.sent = self.late = self.unsent = self.worst_us = 0

    def record_sent(self, intended_us: int, now_us: int) -> None:
        """Record that a request scheduled for `intended_us` was sent."""
        delay = max(0, now_us - intended_us)
        self.planned += 1
        self.sent += 1
        self.late += delay > self.rule.late_us
        self.worst_us = max(self.worst_us, delay)

    def record_unsent(self) -> None:
        """Record that a request found no connection."""
        self.planned += 1
        self.unsent += 1

    @property
    def validity(self) -> RunValidity:
        """Return the validity so far."""
        return RunValidity.VOID if self.void_reason() else RunValidity.GOOD

    def void_reason(self) -> str:
        """Return why the run is void; "" if it is valid."""
        rule = self.rule
        if not self.planned:
            return "nothing was to be sent"
        if self.late > rule.late_share * self.planned:
            return (f"{self.late} of {self.planned} requests left more than {rule.late_us / 1000:g} ms late: "
                    "the generator fell behind")  # fmt: skip
        if self.worst_us > rule.worst_us:
            return f"a request left {self.worst_us / 1000:g} ms late: the generator stood still"
        if self.unsent > rule.late_share * self.planned:
            return f"{self.unsent} of {self.planned} requests found no connection"
        return ""
