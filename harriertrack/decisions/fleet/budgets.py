"""Budgets of a fleet: what all heads together keep to, a rate with its burst or a number at a time.

A part of each is fixed: every head has it, whoever else is there. The rest moves: a *ledger* (ledger.py),
kept by one head in a *term* under the witness's lock, grants *shares* of it to *holders* (holder.py). Each
has one *lease* on all it was granted; a *tenure* is the time for which that was renewed without a gap.

Why the sum holds (docs/budgets.md has the argument in full):

- a lease counts from when its holder asked, by the holder's clock less the stated error, and from when the
  ask came, by the ledger's clock plus that error: it ends for the holder first;
- what a share is lowered by is given to nobody before its holder said that it let go, or its lease is over;
- a term grants nothing before all leases of former terms are over;
- tokens are handed on with the share that they belong to, and nothing else makes any.

Rates are units a second of whatever is divided; times are microseconds of the local clock.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from zlib import crc32

from harriertrack.decisions.bucket import Bucket

FLOAT_TOLERANCE = 1e-6  # of one: what floating point may add up to
PAGE_BYTES = 960  # bytes of claims or shares that fit one datagram
ENTRY_BYTES = 44  # of one, beside its budget's name


def paginate(names: Iterable[str]) -> Iterator[list[str]]:
    """Divide budgets over datagrams; there is one at least."""
    page: list[str] = []
    room = PAGE_BYTES
    for name in names:
        size = len(name.encode()) + ENTRY_BYTES
        if size > room and page:
            yield page
            page, room = [], PAGE_BYTES
        page.append(name)
        room -= size
    yield page


@dataclass(frozen=True, slots=True)
class BudgetRules:
    """The figures of the mechanism."""

    lease_us: int = 1_000_000
    ask_us: int = 300_000  # how often a lease is renewed
    quick_us: int = 50_000  # how soon news follows on news
    round_us: int = 50_000  # how often a ledger divides anew, while something changed
    clock_error: float = 0.001  # how far a clock's rate may be off, as a part of it
    term_us: int = 10_000_000  # the witness's session
    patience_us: int = 2_000_000  # without a word from a term, after which heads try to hold the next one
    contenders: int = 5  # how many heads do
    weight: float = 1.0  # of this head, when there is not enough for all

    def granter_lease_us(self, lease_us: int) -> int:
        """Return how long after an ask its lease may last, by the clock of who granted it."""
        return int(lease_us * (1 + self.clock_error)) + 1

    @property
    def settling_us(self) -> int:
        """Return how long after the last head was told a lower whole all together surely keep to it.

        Whoever renews its lease says so with that, and hears of its lower share with the next renewal; who
        loses more messages than that has its lease end. Without losses it takes two datagrams and a round.
        """
        return self.ask_us + self.round_us + 2 * self.granter_lease_us(self.lease_us)

    def holder_lease_us(self, lease_us: int) -> int:
        """Return how long after it asked a holder relies on its lease, by its own clock."""
        return int(lease_us * (1 - self.clock_error))


@dataclass(frozen=True, slots=True, order=True)
class Term:
    """For how long one head keeps a ledger: the witness's count of them, and a random number.

    A witness that was restored from a backup counts from an earlier number.
    """

    epoch: int
    nonce: int


@dataclass(frozen=True, slots=True)
class Claim:
    """What a holder says of one budget."""

    budget: str
    movable: float  # of it may move, as the holder is told
    demand: float  # by the holder, beyond its fixed part
    version: int  # of the share that it has now
    released: float  # tokens that it gave back when it took that version


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """A holder renews its lease, and says what changed."""

    ledger: int
    term: Term
    holder: str
    instance: int  # the process
    tenure: int
    sequence: int
    lease_us: int
    weight: float
    claims: tuple[Claim, ...] = ()


@dataclass(frozen=True, slots=True)
class ShareUpdate:
    """What a ledger says of one budget to a holder."""

    budget: str
    version: int
    rate: float
    tokens: float  # that come with this version


@dataclass(frozen=True, slots=True)
class Grant:
    """A ledger answers an ask, and renews the lease with it, or tells news (`answers` 0), and does not."""

    ledger: int
    term: Term
    holder: str
    instance: int
    tenure: int
    in_reply_to: int
    lease_us: int
    shares: tuple[ShareUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class BudgetTotal:
    """A budget as a head is told it: the whole, a second and at once, over how many heads, the fixed part."""

    rate: float  # or the number at a time
    burst: float
    hosts: int
    fixed: float
    min_burst: float = (
        0.0  # of things that are used one by one: so much each head may save up whatever its part
    )
    concurrent: bool = (
        False  # a number at a time: what is taken comes back when it is given back, not with time
    )
    source: str = ""  # who says it, the same for all budgets that change together: a plan, the rules

    @property
    def movable(self) -> float:
        """Return how much of it moves between heads, a second or at a time."""
        return (1 - self.fixed) * self.rate


def ledger_for(budget: str, ledgers: int) -> int:
    """Return which ledger keeps a budget."""
    return crc32(budget.encode()) % ledgers


@dataclass(slots=True)
class Lease:
    """Until when a holder may use what it was granted."""

    expires_at: int = 0


class BudgetShare(Bucket):
    """What a head has of a budget now: its fixed part, and its share while the lease lasts.

    Its store is filled by the clock less the stated error: a fast clock must not make units. It looks at the
    lease by itself, so that a head which stood still uses nothing on waking that has ended meanwhile.
    """

    __slots__ = (
        "total", "lease", "leased", "clock_factor", "requested", "requested_squares", "waiters",
    )  # fmt: skip

    def __init__(
        self, at: int, whole: BudgetTotal, lease: Lease, clock_error: float, age_us: int = 0
    ) -> None:
        """Begin with the fixed part; `age_us`: for how long the head surely used none of it."""
        super().__init__(at)
        self.total, self.lease, self.leased, self.clock_factor = whole, lease, 0.0, 1 - clock_error
        self.requested = self.requested_squares = 0.0  # asked of it since it was last measured
        self.waiters = 0  # of a number at a time: who would take one
        self._set(0.0)
        self.level = self.capacity if whole.concurrent else min(self.capacity, self.rate * age_us / 1e6)

    def _set(self, share: float) -> None:
        whole, self.leased = self.total, share
        # A share that was granted of a larger whole comes to no more than all that moves of a lowered one.
        used = min(share, whole.movable)
        part = whole.fixed / whole.hosts + (used / whole.rate if whole.rate > 0 else 0.0)
        if whole.concurrent:
            self.rate, self.capacity = 0.0, whole.rate * part
        else:
            self.rate, self.capacity = (
                self.clock_factor * whole.rate * part,
                max(whole.burst * part, whole.min_burst),
            )

    def record_demand(self, units: float) -> None:
        """Count what is asked of it, whatever becomes of that."""
        self.requested += units
        self.requested_squares += units * units

    def refill(self, now: int) -> float:
        """Fill up to the present and return the level."""
        if self.leased and now >= self.lease.expires_at:
            self.drop_leased(now)
        return super().refill(now)

    def drop_leased(self, now: int) -> None:
        """Let the share go: the lease is over, or holds no more; what came with it is gone too."""
        if self.leased:
            super().refill(max(self.updated_at, min(now, self.lease.expires_at)))
            before = self.capacity
            self._set(0.0)
            self.level = (
                self.level + self.capacity - before
                if self.total.concurrent
                else min(self.level, self.capacity)
            )

    def set_total(self, now: int, whole: BudgetTotal) -> None:
        """Go by another whole from now on: the store keeps its level, up to what fits a smaller one."""
        self.refill(now)
        before, self.total = self.capacity, whole
        self._set(self.leased)
        self.level = (
            self.level + self.capacity - before if whole.concurrent else min(self.level, self.capacity)
        )

    # -- of a number at a time

    @property
    def in_use(self) -> float:
        """Return how much is taken now."""
        return self.capacity - self.level

    @property
    def excess(self) -> int:
        """Return how much is to be given back at once: its share has ended."""
        return max(0, math.ceil(-self.level - FLOAT_TOLERANCE))

    def can_shrink_to(self, share: float) -> bool:
        """Whether it can let its share become this: of a number at a time only what is free can go."""
        return not self.total.concurrent or self.leased - share <= self.level + FLOAT_TOLERANCE

    def acquire(self, now: int) -> bool:
        """Take one if there is one."""
        if self.refill(now) < 1.0 - FLOAT_TOLERANCE:
            return False
        self.level -= 1.0
        return True

    def release(self) -> None:
        """Give one back."""
        self.level = min(self.capacity, self.level + 1.0)

    def set_leased(self, now: int, share: float, tokens: float) -> float:
        """Take another share, with tokens if it is larger; return those that go if it is smaller."""
        self.refill(now)
        before, level = self.capacity, self.level
        self._set(share)
        if self.total.concurrent:
            self.level = level + self.capacity - before
            return 0.0
        if self.capacity >= before:
            self.level = min(self.capacity, level + tokens)
            return 0.0
        self.level = min(level, level * self.capacity / before)
        return level - self.level
