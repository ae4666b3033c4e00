"""One budget that a head uses: what it has of it, what it could use, and what the ledger knows of that.

Pure: time is handed in.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace

from harriertrack.decisions.fleet.budgets import FLOAT_TOLERANCE, BudgetShare, BudgetTotal

RISE_US = 150_000  # time constants of what is asked of a budget: quickly up, as far as that is no chance,
FALL_US = 500_000  # and slowly down, for demand that swings is to leave shares where they are
SURE = 2.0  # standard deviations of a quick reading that are put down to chance
IDLE = 1e-3  # of a whole: less demand is none

ClaimState = tuple[float, int, float, float]  # wanted, version, released, and how much may move
RateAndBurst = tuple[float, float]  # of a whole: its rate and its burst


@dataclass(slots=True)
class HeldBudget:
    """One budget that is in use."""

    share: BudgetShare
    measured_at: int
    recent_rate: float = 0.0  # asked for a second, lately
    steady_rate: float = 0.0  # ... and for longer
    recent_squares: float = 0.0  # the sum of squares a second, lately
    version: int = 0
    released: float = 0.0  # tokens, by taking this version
    pending_total: BudgetTotal | None = (
        None  # what is told now; its rate is not used before the ledger knows it
    )
    confirmed: ClaimState = field(init=False)  # as the ledger confirmed
    last_sent: ClaimState = field(init=False)  # ... as sent last
    sent_at: int = 0

    def __post_init__(self) -> None:
        self.reset_confirmed()

    def reset_confirmed(self) -> None:
        """Begin with a ledger that knows nothing of it."""
        self.confirmed = self.last_sent = (-1.0, 0, 0.0, self.share.total.movable)

    @property
    def total(self) -> BudgetTotal:
        """Return the whole as the head is told it."""
        return self.pending_total or self.share.total

    def set_total(self, now: int, whole: BudgetTotal) -> None:
        """Go by another whole: at once by what is less, by more once the ledger knows."""
        at_once = replace(whole, rate=min(whole.rate, self.share.total.rate))
        self.pending_total = whole if at_once != whole else None
        self.share.set_total(now, at_once)

    def confirm(self, now: int, state: ClaimState) -> None:
        """The ledger knows what was said."""
        self.confirmed = state
        if self.pending_total is not None and state[3] == self.pending_total.movable:
            self.share.set_total(now, self.pending_total)
            self.pending_total = None

    @property
    def demand(self) -> float:
        """Return what could be used a second beyond the fixed part."""
        whole = self.share.total
        if whole.concurrent:
            now = self.share.in_use + self.share.waiters
            return max(0.0, max(now, self.steady_rate) - whole.rate * whole.fixed / whole.hosts)
        # An exponential mean of arrivals at random has the variance of their squares by twice its time.
        surely = self.recent_rate - SURE * math.sqrt(self.recent_squares * 1e6 / (2 * RISE_US))
        demand = self.recent_rate if surely > self.steady_rate else self.steady_rate
        if demand < IDLE * whole.rate:
            return 0.0
        return max(0.0, demand - whole.rate * whole.fixed / whole.hosts)

    def measure(self, now: int) -> None:
        """Follow what is asked for."""
        passed = now - self.measured_at
        if passed <= 0:
            return
        portion, gain = self.share, 1 - math.exp(-passed / RISE_US)
        rate, squares = portion.requested * 1e6 / passed, portion.requested_squares * 1e6 / passed
        if portion.total.concurrent:
            rate = portion.in_use + portion.waiters
            rate = 0.0 if rate < FLOAT_TOLERANCE and self.steady_rate < IDLE * portion.total.rate else rate
        portion.requested, portion.requested_squares, self.measured_at = 0.0, 0.0, now
        self.recent_rate += gain * (rate - self.recent_rate)
        self.recent_squares += gain * (squares - self.recent_squares)
        self.steady_rate += (1 - math.exp(-passed / FALL_US)) * (rate - self.steady_rate)

    def claim_state(self) -> ClaimState:
        """Return what the ledger should know."""
        return self.demand, self.version, self.released, self.total.movable
