"""Election of a ledger's owner: heads compete for its lock at the witness, in an order that all can compute.

A term begins when the lock was acquired and ends, by the owner's own clock, before the witness can give the
lock to another head. Its ledger opens once all leases of earlier terms have expired: one lease time after the
lock was acquired. A head that is given an epoch no higher than one it has seen waits for a whole session
more: the witness was restored from a backup, and may have given the lock away under a live owner.

An owner that most heads can't reach could hold the lock forever while those heads have only their fixed
parts. So a head that finds the lock held but receives nothing from its owner records at the witness how many
heads it sees, and an owner that sees fewer gives the lock back.

Pure: `next_call` returns the call to make to the witness, `handle_acquire` and `handle_renewal` take its
result.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from zlib import crc32

from harriertrack.decisions.fleet.budgets import BudgetRules, Term
from harriertrack.decisions.fleet.ledger import Ledger

RENEWALS = 4  # in a session
RANK_PARTS = 2  # each next rank waits longer by the patience divided by this


class CandidateState(Enum):
    """A head's state in the election for one ledger."""

    IDLE = "away"  # another head owns it, or none does
    ACQUIRING = "taking"
    HOLDING = "keeping"
    LEFT = "left"  # it gave the lock back, and does not compete again


class WitnessCall(Enum):
    """Calls to the witness."""

    ACQUIRE = "take"  # create a session, and acquire the lock with it
    RENEW = "renew"  # renew the session, and check that it still holds the lock


@dataclass(frozen=True, slots=True)
class LockAcquired:
    """The lock was acquired; the previous holder may have granted leases of up to `lease_us`."""

    epoch: int
    lease_us: int = 0


@dataclass(frozen=True, slots=True)
class LockHeld:
    """Another head holds the lock."""

    epoch: int


def rank(key: int | str, me: str, present: Iterable[str]) -> int:
    """Return how many of the present heads precede this one in the order for a key (a ledger's number)."""

    def position(name: str) -> tuple[int, str]:
        return crc32(f"{key}\0{name}".encode()), name

    mine = position(me)
    return sum(position(name) < mine for name in present)


class Candidate:
    """One head's candidacy for a ledger."""

    def __init__(self, number: int, rules: BudgetRules, seed: int, now: int) -> None:
        self.number, self.rules = number, rules
        self.state = CandidateState.IDLE
        self.ledger: Ledger | None = None
        self.valid_until = 0  # end of the term by the local clock
        self.highest_epoch = 0  # that was seen
        self._random = random.Random(seed)
        self._last_contact = now
        self._next = now
        self._calling = False
        self._found_epoch, self._found_since = 0, now  # epoch of the holder found last, and since when

    def holds_term(self, now: int) -> bool:
        """Whether this head owns the ledger at this time."""
        return self.state is CandidateState.HOLDING and now < self.valid_until

    def observe_term(self, now: int, term: Term) -> None:
        """Record that a head announced its term."""
        self.highest_epoch = max(self.highest_epoch, term.epoch)
        if self.ledger is None or term != self.ledger.term:
            self._last_contact = now

    def observe_release(self, now: int) -> None:
        """Record that the lock was given back: the first in rank competes without waiting."""
        self._last_contact = now - self.rules.patience_us

    def check_expiry(self, now: int) -> bool:
        """End the term if its time has passed; return whether it ended just now."""
        if self.state is CandidateState.HOLDING and now >= self.valid_until:
            self._end_term(now)
            return True
        return False

    def _end_term(self, now: int) -> None:
        self.state, self.ledger, self.valid_until = CandidateState.IDLE, None, 0
        self._last_contact = now

    def must_wait(self, now: int) -> bool:
        """Whether this head has nothing to do whatever its rank."""
        return self.state is CandidateState.HOLDING or now < max(
            self._next, self._last_contact + self.rules.patience_us
        )

    def next_call(self, now: int, rank: int) -> WitnessCall | None:
        """Return the call to make to the witness now; at most one is in progress."""
        self.check_expiry(now)
        if self._calling or self.state is CandidateState.LEFT or now < self._next:
            return None
        if self.state is CandidateState.HOLDING:
            self._next = now + self.rules.term_us // RENEWALS
            return self._begin(WitnessCall.RENEW)
        patience = self.rules.patience_us
        if (
            rank >= self.rules.contenders
            or now < self._last_contact + patience + rank * patience // RANK_PARTS
        ):
            return None
        self._next = now + int(patience * (0.25 + 0.25 * self._random.random()))
        self.state = CandidateState.ACQUIRING
        return self._begin(WitnessCall.ACQUIRE)

    def _begin(self, call: WitnessCall) -> WitnessCall:
        self._calling = True
        return call

    def handle_acquire(
        self, now: int, requested_at: int, found: LockAcquired | LockHeld | None
    ) -> Ledger | None:
        """Process the result of ACQUIRE; return the ledger of the new term if one begins."""
        self._calling = False
        if self.state is not CandidateState.ACQUIRING:
            return None
        self.state = CandidateState.IDLE
        if isinstance(found, LockHeld) and found.epoch != self._found_epoch:
            self._found_epoch, self._found_since = found.epoch, now
        if not isinstance(found, LockAcquired):
            return None
        rules = self.rules
        self.valid_until = requested_at + self._safe_us
        if now >= self.valid_until:
            return None
        earlier_us = rules.granter_lease_us(max(rules.lease_us, found.lease_us))
        if found.epoch <= self.highest_epoch:
            earlier_us += int(rules.term_us * (1 + 2 * rules.clock_error))
        self.state, self.highest_epoch = CandidateState.HOLDING, max(self.highest_epoch, found.epoch)
        term = Term(found.epoch, self._random.getrandbits(62))
        self.ledger = Ledger(self.number, term, now + earlier_us, rules)
        self._next = now + rules.term_us // RENEWALS
        return self.ledger

    def holder_silent(self, now: int) -> bool:
        """Whether the lock's holder has been silent for longer than the lock of a dead holder would last."""
        since = max(self._found_since, self._last_contact)
        return self._found_epoch > 0 and now >= since + self.rules.term_us + self.rules.patience_us

    def resign_if_outnumbered(self, now: int, reported: int, seen: int) -> bool:
        """End the term if a head that this one does not reach sees more heads than it does."""
        if self.state is not CandidateState.HOLDING or reported <= seen:
            return False
        self._end_term(now)
        self._last_contact = now + self.rules.term_us  # lets others acquire the lock first
        return True

    @property
    def _safe_us(self) -> int:
        return int(self.rules.term_us * (1 - 2 * self.rules.clock_error))

    def handle_renewal(self, now: int, requested_at: int, holds: bool | None) -> None:
        """Process whether the lock is still held; None: no answer, which proves nothing."""
        self._calling = False
        if self.state is not CandidateState.HOLDING:
            return
        if holds is None:
            self._next = now + self.rules.term_us // (4 * RENEWALS)
        elif holds:
            self.valid_until = max(self.valid_until, requested_at + self._safe_us)
        else:
            self._end_term(now)
        self.check_expiry(now)

    def leave(self, now: int) -> bool:
        """Stop taking part; return whether the lock has to be given back."""
        was_holding = self.state is CandidateState.HOLDING
        self._end_term(now)
        self.state = CandidateState.LEFT
        return was_holding

    def wake_at(self, now: int, rank: int) -> int:
        """Return when `next_call` may next return a call."""
        if self.state is CandidateState.HOLDING:
            return self.valid_until if self._calling else min(self._next, self.valid_until)
        patience = self.rules.patience_us
        if self._calling or self.state is CandidateState.LEFT or rank >= self.rules.contenders:
            return now + patience
        return max(self._next, self._last_contact + patience + rank * patience // RANK_PARTS)
