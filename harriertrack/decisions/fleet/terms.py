"""Who keeps a ledger: heads try to hold its lock at the witness, in an order that all know without asking.

A term begins when the lock was taken and ends, by the holder's own clock, before the witness can give it to
another. Its ledger opens once all leases of former terms are over: a lease after it was taken. Who finds
that the witness counts from an earlier number than was heard of waits for a whole session more: the witness
was restored from a backup, and may have given the lock away under a living holder.

A keeper whom most heads do not reach would hold the lock for ever while they have their fixed parts alone. So
who finds the lock held and hears nothing of its holder says at the witness how many heads it sees, and a
keeper that sees fewer gives the lock back.

Pure: `step` says what is to be asked of the witness, `taken` and `renewed` hear how that ended.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from zlib import crc32

from harriertrack.decisions.fleet.budgets import BudgetRules, Term
from harriertrack.decisions.fleet.ledger import Ledger

RENEWS = 4  # times in a session
RANK_PARTS = 2  # of the patience: so much longer waits each next in line


class CandidateState(Enum):
    """What a head is to a ledger."""

    IDLE = "away"  # somebody else keeps it, or nobody
    ACQUIRING = "taking"
    HOLDING = "keeping"
    LEFT = "left"  # it gave the lock back, or never wants it


class WitnessCall(Enum):
    """What is asked of the witness."""

    ACQUIRE = "take"  # a session, and the lock under it
    RENEW = "renew"  # the session, and look whether the lock is still held under it


@dataclass(frozen=True, slots=True)
class LockAcquired:
    """The lock was taken, as its `epoch`-th holder; its last one's leases may have been `lease_us` long."""

    epoch: int
    lease_us: int = 0


@dataclass(frozen=True, slots=True)
class LockHeld:
    """The lock is another's, as its `epoch`-th holder."""

    epoch: int


def rank(line: int | str, me: str, present: Iterable[str]) -> int:
    """Return how many of those who are there come before this head in a line; a ledger's is its number."""

    def place(name: str) -> tuple[int, str]:
        return crc32(f"{line}\0{name}".encode()), name

    mine = place(me)
    return sum(place(name) < mine for name in present)


class Candidate:
    """One head's part in who keeps a ledger."""

    def __init__(self, number: int, rules: BudgetRules, seed: int, now: int) -> None:
        self.number, self.rules = number, rules
        self.state = CandidateState.IDLE
        self.ledger: Ledger | None = None
        self.valid_until = 0  # of the term
        self.highest_epoch = 0  # epoch that was heard of
        self._random = random.Random(seed)
        self._heard_at = now
        self._next = now
        self._calling = False
        self._held, self._held_since = 0, now  # whose lock was found, and since when

    def holds_term(self, now: int) -> bool:
        """Whether this head keeps the ledger, and may say so."""
        return self.state is CandidateState.HOLDING and now < self.valid_until

    def observe_term(self, now: int, term: Term) -> None:
        """Hear that somebody keeps it."""
        self.highest_epoch = max(self.highest_epoch, term.epoch)
        if self.ledger is None or term != self.ledger.term:
            self._heard_at = now

    def observe_release(self, now: int) -> None:
        """Hear that the lock was given back: the first in line need not be patient."""
        self._heard_at = now - self.rules.patience_us

    def check_expiry(self, now: int) -> bool:
        """End the term if its time is over; return whether it ended just now."""
        if self.state is CandidateState.HOLDING and now >= self.valid_until:
            self._end(now)
            return True
        return False

    def _end(self, now: int) -> None:
        self.state, self.ledger, self.valid_until = CandidateState.IDLE, None, 0
        self._heard_at = now

    def must_wait(self, now: int) -> bool:
        """Whether its place in the line says nothing yet of what it is to do."""
        return self.state is CandidateState.HOLDING or now < max(
            self._next, self._heard_at + self.rules.patience_us
        )

    def next_call(self, now: int, rank: int) -> WitnessCall | None:
        """Return what is to be asked of the witness now, one thing at a time."""
        self.check_expiry(now)
        if self._calling or self.state is CandidateState.LEFT or now < self._next:
            return None
        if self.state is CandidateState.HOLDING:
            self._next = now + self.rules.term_us // RENEWS
            return self._call(WitnessCall.RENEW)
        patience = self.rules.patience_us
        if rank >= self.rules.contenders or now < self._heard_at + patience + rank * patience // RANK_PARTS:
            return None
        self._next = now + int(patience * (0.25 + 0.25 * self._random.random()))
        self.state = CandidateState.ACQUIRING
        return self._call(WitnessCall.ACQUIRE)

    def _call(self, call: WitnessCall) -> WitnessCall:
        self._calling = True
        return call

    def handle_acquire(self, now: int, asked_at: int, found: LockAcquired | LockHeld | None) -> Ledger | None:
        """Hear how taking ended; return the ledger of the term that begins, if one does."""
        self._calling = False
        if self.state is not CandidateState.ACQUIRING:
            return None
        self.state = CandidateState.IDLE
        if isinstance(found, LockHeld) and found.epoch != self._held:
            self._held, self._held_since = found.epoch, now
        if not isinstance(found, LockAcquired):
            return None
        rules = self.rules
        self.valid_until = asked_at + self._safe_us
        if now >= self.valid_until:
            return None
        earlier = rules.granter_lease_us(max(rules.lease_us, found.lease_us))
        if found.epoch <= self.highest_epoch:
            earlier += int(rules.term_us * (1 + 2 * rules.clock_error))
        self.state, self.highest_epoch = CandidateState.HOLDING, max(self.highest_epoch, found.epoch)
        term = Term(found.epoch, self._random.getrandbits(62))
        self.ledger = Ledger(self.number, term, now + earlier, rules)
        self._next = now + rules.term_us // RENEWS
        return self.ledger

    def holder_silent(self, now: int) -> bool:
        """Whether the lock's holder has been silent for so long that its renewals can't be the reason."""
        since = max(self._held_since, self._heard_at)
        return self._held > 0 and now >= since + self.rules.term_us + self.rules.patience_us

    def resign_if_outnumbered(self, now: int, claimed: int, there: int) -> bool:
        """Give the term up if somebody whom this head does not reach sees more heads than it does."""
        if self.state is not CandidateState.HOLDING or claimed <= there:
            return False
        self._end(now)
        self._heard_at = now + self.rules.term_us  # others come first
        return True

    @property
    def _safe_us(self) -> int:
        return int(self.rules.term_us * (1 - 2 * self.rules.clock_error))

    def handle_renewal(self, now: int, asked_at: int, holds: bool | None) -> None:
        """Hear whether the lock is still held; None: no answer, which proves nothing."""
        self._calling = False
        if self.state is not CandidateState.HOLDING:
            return
        if holds is None:
            self._next = now + self.rules.term_us // (4 * RENEWS)
        elif holds:
            self.valid_until = max(self.valid_until, asked_at + self._safe_us)
        else:
            self._end(now)
        self.check_expiry(now)

    def leave(self, now: int) -> bool:
        """Keep it no longer; return whether the lock is to be given back."""
        kept = self.state is CandidateState.HOLDING
        self._end(now)
        self.state = CandidateState.LEFT
        return kept

    def wake_at(self, now: int, rank: int) -> int:
        """Return when `step` may have something to do."""
        if self.state is CandidateState.HOLDING:
            return self.valid_until if self._calling else min(self._next, self.valid_until)
        patience = self.rules.patience_us
        if self._calling or self.state is CandidateState.LEFT or rank >= self.rules.contenders:
            return now + patience
        return max(self._next, self._heard_at + patience + rank * patience // RANK_PARTS)
