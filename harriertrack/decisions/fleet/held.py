"""One budget that a head uses: what it has of it, what it could use, and what the ledger knows of that.

Pure: time is handed in.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace

from harriertrack.decisions.fleet.budgets import EXACT, Portion, Whole

RISE_US = 150_000  # time constants of what is asked of a budget: quickly up, as far as that is no chance,
FALL_US = 500_000  # and slowly down, for demand that swings is to leave shares where they are
SURE = 2.0  # standard deviations of a quick reading that are put down to chance
IDLE = 1e-3  # of a whole: less demand is none

State = tuple[float, int, float, float]  # wanted, version, released, and how much may move
Figures = tuple[float, float]  # of a whole: its rate and its burst


@dataclass(slots=True)
class Held:
    """One budget that is in use."""

    portion: Portion
    measured_at: int
    quick: float = 0.0  # asked for a second, lately
    steady: float = 0.0  # ... and for longer
    spread: float = 0.0  # the sum of squares a second, lately
    version: int = 0
    released: float = 0.0  # tokens, by taking this version
    raised: Whole | None = None  # what is told now; its rate is not used before the ledger knows it
    told: State = field(init=False)  # as the ledger confirmed
    sent: State = field(init=False)  # ... as sent last
    sent_at: int = 0

    def __post_init__(self) -> None:
        self.unsaid()

    def unsaid(self) -> None:
        """Begin with a ledger that knows nothing of it."""
        self.told = self.sent = (-1.0, 0, 0.0, self.portion.whole.moving)

    @property
    def whole(self) -> Whole:
        """Return the whole as the head is told it."""
        return self.raised or self.portion.whole

    def retell(self, now: int, whole: Whole) -> None:
        """Go by another whole: at once by what is less, by more once the ledger knows."""
        at_once = replace(whole, rate=min(whole.rate, self.portion.whole.rate))
        self.raised = whole if at_once != whole else None
        self.portion.retell(now, at_once)

    def confirmed(self, now: int, state: State) -> None:
        """The ledger knows what was said."""
        self.told = state
        if self.raised is not None and state[3] == self.raised.moving:
            self.portion.retell(now, self.raised)
            self.raised = None

    @property
    def wanted(self) -> float:
        """Return what could be used a second beyond the fixed part."""
        whole = self.portion.whole
        if whole.counted:
            now = self.portion.used + self.portion.waiting
            return max(0.0, max(now, self.steady) - whole.rate * whole.fixed / whole.hosts)
        # An exponential mean of arrivals at random has the variance of their squares by twice its time.
        surely = self.quick - SURE * math.sqrt(self.spread * 1e6 / (2 * RISE_US))
        demand = self.quick if surely > self.steady else self.steady
        if demand < IDLE * whole.rate:
            return 0.0
        return max(0.0, demand - whole.rate * whole.fixed / whole.hosts)

    def measure(self, now: int) -> None:
        """Follow what is asked for."""
        passed = now - self.measured_at
        if passed <= 0:
            return
        portion, gain = self.portion, 1 - math.exp(-passed / RISE_US)
        rate, squares = portion.came * 1e6 / passed, portion.squared * 1e6 / passed
        if portion.whole.counted:
            rate = portion.used + portion.waiting
            rate = 0.0 if rate < EXACT and self.steady < IDLE * portion.whole.rate else rate
        portion.came, portion.squared, self.measured_at = 0.0, 0.0, now
        self.quick += gain * (rate - self.quick)
        self.spread += gain * (squares - self.spread)
        self.steady += (1 - math.exp(-passed / FALL_US)) * (rate - self.steady)

    def state(self) -> State:
        """Return what the ledger should know."""
        return self.wanted, self.version, self.released, self.whole.moving
