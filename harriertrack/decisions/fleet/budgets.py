"""Budgets of a fleet: limits on what all heads together may use, either a rate with a burst or a concurrency.

A part of each budget is fixed: every head always has its even share of that part. The rest is movable: a
*ledger* (ledger.py), run by one head for a *term* under a lock of the witness, grants *shares* of it to
*holders* (holder.py). Each holder has one *lease* that covers all its shares; a *tenure* is a span in which
that lease was renewed without a gap.

Why the total is never exceeded (docs/budgets.md has the argument in full):

- a lease starts, for its holder, when the request was sent, by the holder's clock less the stated error; for
  the ledger, when the request arrived, by the ledger's clock plus that error: it ends for the holder first;
- what is taken from a share is granted to another holder only after the first one confirmed the lower share
  or its lease expired;
- a new term grants nothing before all leases of earlier terms have expired;
- tokens move together with the share that they belong to, and are created in no other way.

Rates are units per second of whatever is divided; times are microseconds of the local clock.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from zlib import crc32

from harriertrack.decisions.bucket import Bucket

FLOAT_TOLERANCE = 1e-6  # of one token: accumulated rounding error
PAGE_BYTES = 960  # bytes of claims or share updates that fit one datagram
ENTRY_BYTES = 44  # of one entry, without its budget's name


def paginate(names: Iterable[str]) -> Iterator[list[str]]:
    """Split budget names into lists that each fit one datagram; yields at least one list."""
    page: list[str] = []
    free = PAGE_BYTES
    for name in names:
        size = len(name.encode()) + ENTRY_BYTES
        if size > free and page:
            yield page
            page, free = [], PAGE_BYTES
        page.append(name)
        free -= size
    yield page


@dataclass(frozen=True, slots=True)
class BudgetRules:
    """Parameters of leases, ledgers and terms."""

    lease_us: int = 1_000_000
    ask_us: int = 300_000  # how often a lease is renewed
    quick_us: int = 50_000  # shortest time between two requests
    round_us: int = 50_000  # how often a ledger redistributes shares while something has changed
    clock_error: float = 0.001  # bound on the error of a clock's rate, as a fraction
    term_us: int = 10_000_000  # length of the session at the witness
    patience_us: int = 2_000_000  # without a message of the term before heads compete for the lock
    contenders: int = 5  # how many heads compete
    weight: float = 1.0  # of this head when demand exceeds the total

    def granter_lease_us(self, lease_us: int) -> int:
        """Return the longest time after a request that its lease may last, by the granting head's clock."""
        return int(lease_us * (1 + self.clock_error)) + 1

    @property
    def settling_us(self) -> int:
        """Return how long after the last head received a lower total the sum is sure to be within it.

        A holder reports the lower total with a renewal and receives its lower share with the next one; the
        lease of a holder that loses more messages than that expires. Without losses it takes two datagrams
        and one round.
        """
        return self.ask_us + self.round_us + 2 * self.granter_lease_us(self.lease_us)

    def holder_lease_us(self, lease_us: int) -> int:
        """Return how long after its request a holder may rely on the lease, by its own clock."""
        return int(lease_us * (1 - self.clock_error))


@dataclass(frozen=True, slots=True, order=True)
class Term:
    """One head's period as the owner of a ledger: the lock's epoch at the witness and a random number.

    The nonce tells terms apart when a witness restored from a backup repeats earlier epochs.
    """

    epoch: int
    nonce: int


@dataclass(frozen=True, slots=True)
class Claim:
    """A holder's report on one budget."""

    budget: str
    movable: float  # movable part of the total that the holder is configured with
    demand: float  # beyond its fixed part
    version: int  # of the share that the holder has applied
    released: float  # tokens given back when it applied that version


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """A holder's request to renew its lease, with claims for the budgets that changed."""

    ledger: int
    term: Term
    holder: str
    instance: int  # identifies the process
    tenure: int
    sequence: int
    lease_us: int
    weight: float
    claims: tuple[Claim, ...] = ()


@dataclass(frozen=True, slots=True)
class ShareUpdate:
    """The share of one budget that a ledger grants to a holder."""

    budget: str
    version: int
    rate: float
    tokens: float  # granted along with this version


@dataclass(frozen=True, slots=True)
class Grant:
    """An answer, which renews the lease, or an unsolicited update (`in_reply_to` 0), which does not."""

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
    """A budget as configured at a head: its rate and burst for all hosts together, and the fixed part."""

    rate: float  # units per second, or the number that may be in use at a time
    burst: float
    hosts: int
    fixed: float
    min_burst: float = 0.0  # of each head whatever its part, for budgets that are spent in whole units
    concurrent: bool = False  # limits a number in use: refilled by releases, not by time
    source: str = ""  # plan or setting that defines it; shared by all budgets that change together

    @property
    def movable(self) -> float:
        """Return the part that moves between heads, per second or at a time."""
        return (1 - self.fixed) * self.rate


def ledger_for(budget: str, ledgers: int) -> int:
    """Return the number of the ledger that a budget belongs to."""
    return crc32(budget.encode()) % ledgers


@dataclass(slots=True)
class Lease:
    """Time until which a holder may use its granted shares."""

    expires_at: int = 0


class BudgetShare(Bucket):
    """A head's part of a budget: its fixed part, and its leased share while the lease is valid.

    The bucket is refilled by the clock less the stated error, so that a fast clock creates no units. Every
    use checks the lease: a head that was suspended must not spend an expired share when it resumes.
    """

    __slots__ = (
        "total", "lease", "leased", "clock_factor", "requested", "requested_squares", "waiters",
    )  # fmt: skip

    def __init__(
        self, at: int, total: BudgetTotal, lease: Lease, clock_error: float, age_us: int = 0
    ) -> None:
        """Start with the fixed part; `age_us`: for how long the head is known to have used none of it."""
        super().__init__(at)
        self.total, self.lease, self.leased, self.clock_factor = total, lease, 0.0, 1 - clock_error
        self.requested = self.requested_squares = 0.0  # since demand was last measured
        self.waiters = 0  # of a concurrency budget: callers waiting for one
        self._resize(0.0)
        self.level = self.capacity if total.concurrent else min(self.capacity, self.rate * age_us / 1e6)

    def _resize(self, leased: float) -> None:
        total, self.leased = self.total, leased
        # A share granted from a larger total counts for at most the movable part of the lowered total.
        used = min(leased, total.movable)
        part = total.fixed / total.hosts + (used / total.rate if total.rate > 0 else 0.0)
        if total.concurrent:
            self.rate, self.capacity = 0.0, total.rate * part
        else:
            self.rate = self.clock_factor * total.rate * part
            self.capacity = max(total.burst * part, total.min_burst)

    def record_demand(self, units: float) -> None:
        """Count requested units, whether or not they are granted."""
        self.requested += units
        self.requested_squares += units * units

    def refill(self, now: int) -> float:
        """Refill up to the present and return the level."""
        if self.leased and now >= self.lease.expires_at:
            self.drop_leased(now)
        return super().refill(now)

    def drop_leased(self, now: int) -> None:
        """Drop the leased share and its tokens, as of the lease's expiry if that has passed."""
        if self.leased:
            super().refill(max(self.updated_at, min(now, self.lease.expires_at)))
            before = self.capacity
            self._resize(0.0)
            self.level = (
                self.level + self.capacity - before
                if self.total.concurrent
                else min(self.level, self.capacity)
            )

    def set_total(self, now: int, total: BudgetTotal) -> None:
        """Apply a changed total: the level stays, capped at the new capacity."""
        self.refill(now)
        before, self.total = self.capacity, total
        self._resize(self.leased)
        self.level = (
            self.level + self.capacity - before if total.concurrent else min(self.level, self.capacity)
        )

    # -- concurrency budgets

    @property
    def in_use(self) -> float:
        """Return the number in use."""
        return self.capacity - self.level

    @property
    def excess(self) -> int:
        """Return how many are in use beyond the present share, to be released at once."""
        return max(0, math.ceil(-self.level - FLOAT_TOLERANCE))

    def can_shrink_to(self, leased: float) -> bool:
        """Whether the share can be lowered to this; of a concurrency budget only what is free can go."""
        return not self.total.concurrent or self.leased - leased <= self.level + FLOAT_TOLERANCE

    def acquire(self, now: int) -> bool:
        """Acquire one if one is free."""
        if self.refill(now) < 1.0 - FLOAT_TOLERANCE:
            return False
        self.level -= 1.0
        return True

    def release(self) -> None:
        """Release one."""
        self.level = min(self.capacity, self.level + 1.0)

    def set_leased(self, now: int, leased: float, tokens: float) -> float:
        """Apply another share, adding tokens if it is larger; return the released ones if it is smaller."""
        self.refill(now)
        before, level = self.capacity, self.level
        self._resize(leased)
        if self.total.concurrent:
            self.level = level + self.capacity - before
            return 0.0
        if self.capacity >= before:
            self.level = min(self.capacity, level + tokens)
            return 0.0
        self.level = min(level, level * self.capacity / before)
        return level - self.level
