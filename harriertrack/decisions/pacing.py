"""Whether a load generator kept to its plan: what it sent late, and when a run is void.

An open-loop generator must send each request at its drawn time whatever the answers do. One that falls behind
measures itself; its run says so and is void, and no figure of it may be quoted.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class RunValidity(Enum):
    """What a run's figures are good for."""

    GOOD = "good"
    VOID = "void"


@dataclass(frozen=True, slots=True)
class PacingRule:
    """What is still on time, in microseconds, and the part of the requests that may be later than that."""

    late_us: int = 20_000
    late_share: float = 0.01
    worst_us: int = 500_000


class Pacing:
    """Follows how late requests leave."""

    def __init__(self, rule: PacingRule) -> None:
        self.rule = rule
        self.planned = self.sent = self.late = self.unsent = self.worst_us = 0

    def record_sent(self, intended_us: int, now_us: int) -> None:
        """A request left the generator; its time was `intended_us`."""
        behind = max(0, now_us - intended_us)
        self.planned += 1
        self.sent += 1
        self.late += behind > self.rule.late_us
        self.worst_us = max(self.worst_us, behind)

    def record_unsent(self) -> None:
        """A request had no connection to leave over."""
        self.planned += 1
        self.unsent += 1

    @property
    def validity(self) -> RunValidity:
        """Return the verdict so far."""
        return RunValidity.VOID if self.void_reason() else RunValidity.GOOD

    def void_reason(self) -> str:
        """Return why the run is void; "" if it is not."""
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
