"""One budget that a head uses: its share, its measured demand, and the claim state known to the ledger.

Pure: time is handed in.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace

from harriertrack.decisions.fleet.budgets import FLOAT_TOLERANCE, BudgetShare, BudgetTotal

# Time constants of measured demand: it rises quickly, as far as the rise is significant, and falls slowly, so
# that fluctuating demand leaves the shares where they are.
RISE_US = 150_000
FALL_US = 500_000
SIGNIFICANCE = 2.0  # standard deviations of the quick mean that are attributed to chance
NO_DEMAND = 1e-3  # of the total rate: less demand counts as none

ClaimState = tuple[float, int, float, float]  # demand, version, released tokens, movable part of the total
RateAndBurst = tuple[float, float]  # of a total


@dataclass(slots=True)
class HeldBudget:
    """One budget that is in use."""

    share: BudgetShare
    measured_at: int
    recent_rate: float = 0.0  # demand per second, quick mean
    steady_rate: float = 0.0  # demand per second, slow mean
    recent_squares: float = 0.0  # sum of squared requests per second, quick mean
    version: int = 0
    released: float = 0.0  # tokens given back by applying this version
    pending_total: BudgetTotal | None = None  # configured; a higher rate waits until the ledger confirmed it
    confirmed: ClaimState = field(init=False)  # by the ledger
    last_sent: ClaimState = field(init=False)
    sent_at: int = 0

    def __post_init__(self) -> None:
        self.reset_confirmed()

    def reset_confirmed(self) -> None:
        """Start over with a ledger that has no state of this budget."""
        self.confirmed = self.last_sent = (-1.0, 0, 0.0, self.share.total.movable)

    @property
    def total(self) -> BudgetTotal:
        """Return the total as configured at this head."""
        return self.pending_total or self.share.total

    def set_total(self, now: int, total: BudgetTotal) -> None:
        """Apply a changed total: a lower rate at once, a higher one once the ledger confirmed it."""
        at_once = replace(total, rate=min(total.rate, self.share.total.rate))
        self.pending_total = total if at_once != total else None
        self.share.set_total(now, at_once)

    def confirm(self, now: int, state: ClaimState) -> None:
        """Record that the ledger received this state."""
        self.confirmed = state
        if self.pending_total is not None and state[3] == self.pending_total.movable:
            self.share.set_total(now, self.pending_total)
            self.pending_total = None

    @property
    def demand(self) -> float:
        """Return what could be used per second beyond the fixed part."""
        total = self.share.total
        if total.concurrent:
            now = self.share.in_use + self.share.waiters
            return max(0.0, max(now, self.steady_rate) - total.rate * total.fixed / total.hosts)
        # The variance of an exponential mean of random arrivals: their squares over twice its time constant.
        lower_bound = self.recent_rate - SIGNIFICANCE * math.sqrt(self.recent_squares * 1e6 / (2 * RISE_US))
        demand = self.recent_rate if lower_bound > self.steady_rate else self.steady_rate
        if demand < NO_DEMAND * total.rate:
            return 0.0
        return max(0.0, demand - total.rate * total.fixed / total.hosts)

    def measure(self, now: int) -> None:
        """Update the means of demand with what was requested since the last call."""
        passed = now - self.measured_at
        if passed <= 0:
            return
        share, gain = self.share, 1 - math.exp(-passed / RISE_US)
        rate, squares = share.requested * 1e6 / passed, share.requested_squares * 1e6 / passed
        if share.total.concurrent:
            rate = share.in_use + share.waiters
            rate = 0.0 if rate < FLOAT_TOLERANCE and self.steady_rate < NO_DEMAND * share.total.rate else rate
        share.requested, share.requested_squares, self.measured_at = 0.0, 0.0, now
        self.recent_rate += gain * (rate - self.recent_rate)
        self.recent_squares += gain * (squares - self.recent_squares)
        self.steady_rate += (1 - math.exp(-passed / FALL_US)) * (rate - self.steady_rate)

    def claim_state(self) -> ClaimState:
        """Return the state that the ledger should have."""
        return self.demand, self.version, self.released, self.total.movable
