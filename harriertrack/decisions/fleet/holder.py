"""A head's part in one ledger: what it holds of each budget, what it could use, and how it asks.

It knows one term at a time, and drops everything when it turns to another or when its lease ends; dropping is
always safe. Only budgets that are in use cost anything. Pure: `asks` says what is to be sent, `granted` takes
answers and news.
"""

from __future__ import annotations

from dataclasses import replace

from harriertrack.decisions.bucket import Bucket
from harriertrack.decisions.fleet.budgets import (
    BudgetRules,
    BudgetShare,
    BudgetTotal,
    Claim,
    Grant,
    Lease,
    LeaseRequest,
    Term,
    paginate,
)
from harriertrack.decisions.fleet.held_budget import ClaimState, HeldBudget, RateAndBurst

MORE = 0.1  # of what was told last: so much more is wanted before it is told, and only if it is not held
LESS = 0.3  # ... and so much less than what is needed of it


class LeaseHolder:
    """All that one head holds of one ledger."""

    def __init__(self, number: int, name: str, instance: int, rules: BudgetRules, born: int) -> None:
        self.number, self.name, self.instance, self.rules, self.started_at = (
            number,
            name,
            instance,
            rules,
            born,
        )
        self.lease = Lease()
        self.term: Term | None = None
        self.tenure = 1
        self.budgets: dict[str, HeldBudget] = {}
        self.last_contact = born  # when a term said something last
        self.lapses = 0
        # What the store of a whole that was changed would hold if nobody used it, by who says it: what is
        # opened after the change gets no more than what was open kept.
        self._idle: dict[str, Bucket] = {}
        self._asked: dict[int, tuple[int, list[tuple[str, ClaimState]]]] = {}
        self._number = self._tenure_at = 0
        self._next_ask = self._next_quick = born

    # -- use

    def open(self, now: int, budget: str, whole: BudgetTotal) -> BudgetShare:
        """Return the head's part of a budget, for use from now on."""
        held = self.budgets.get(budget)
        if held is None:
            portion = BudgetShare(now, whole, self.lease, self.rules.clock_error, now - self.started_at)
            held = self.budgets[budget] = HeldBudget(portion, now)
            idle = self._idle.get(whole.source)
            if idle is not None and not whole.concurrent:
                portion.level = min(portion.level, idle.refill(now) * whole.fixed / whole.hosts)
        return held.share

    def update_source(self, now: int, says: str, before: RateAndBurst, after: RateAndBurst) -> None:
        """Go by another rate and burst of all that `says` stands for: what is in use, and what will be."""
        slow = 1 - self.rules.clock_error
        idle = self._idle.setdefault(says, Bucket(self.started_at, slow * before[0], before[1]))
        level = min(idle.refill(now), after[1])
        idle.rate, idle.capacity, idle.level = slow * after[0], after[1], level
        for name, held in self.budgets.items():
            if held.total.source == says and after[0] > 0:  # else nobody asks for it, and it is forgotten
                self.update_total(now, name, replace(held.total, rate=after[0], burst=after[1]))

    def update_total(self, now: int, budget: str, whole: BudgetTotal) -> None:
        """Take another whole of one budget that is in use; what is told again is nothing new."""
        held = self.budgets[budget]
        if whole != held.total:
            held.set_total(now, whole)
            self._next_quick = min(self._next_quick, now)

    def lease_valid(self, now: int) -> bool:
        """Whether the lease lasts."""
        return now < self.lease.expires_at

    # -- terms

    def observe_term(self, now: int, term: Term) -> bool:
        """Hear of a term; return whether it is the one to ask now.

        A later one replaces an earlier one at once. An earlier number is of a witness that was restored, or
        of a head that does not know yet that its time is over: its turn comes once the present one is silent.
        """
        if term == self.term:
            self.last_contact = now
            return True
        silent = now >= self.last_contact + self.rules.patience_us and not self.lease_valid(now)
        if self.term is not None and term.epoch <= self.term.epoch and not silent:
            return False
        self._drop(now)
        self.term, self.last_contact, self._next_ask = term, now, now
        return True

    def _drop(self, now: int) -> None:
        """Let go of all that was granted."""
        for held in self.budgets.values():
            held.share.drop_leased(now)
            held.version, held.released = 0, 0.0
            held.reset_confirmed()
        self.lease.expires_at = 0
        self.tenure += 1
        self._tenure_at = 0
        self._asked.clear()

    def _look(self, now: int) -> None:
        """Notice that the lease is over, or that none came of this tenure: for the ledger it may be over."""
        if self.lease.expires_at:
            if not self.lease_valid(now):
                self.lapses += 1
                self._drop(now)
        elif self._tenure_at and now > self._tenure_at + self.rules.lease_us:
            self._drop(now)

    # -- asks

    def due_requests(self, now: int) -> list[LeaseRequest]:
        """Return what is to be sent now."""
        self._look(now)
        if now < self._next_quick:
            return []
        self._next_quick = now + self.rules.quick_us
        for held in self.budgets.values():
            held.measure(now)
        self._forget(now)
        if self.term is None:
            return []
        due = now >= self._next_ask
        news = [name for name, held in self.budgets.items() if self._is_news(now, held, due)]
        if not news and not (due and self._holds()):
            return []
        self._next_ask = now + self.rules.ask_us
        return [self._ask(now, self.term, page) for page in paginate(news)]

    def _holds(self) -> bool:
        return any(held.share.leased or held.version for held in self.budgets.values())

    def _is_news(self, now: int, held: HeldBudget, due: bool) -> bool:
        state = held.claim_state()
        known = (
            held.last_sent if now < held.sent_at + self.rules.ask_us else held.confirmed
        )  # else it may be lost
        if state[1:] != held.confirmed[1:]:
            return state[1:] != known[1:]
        wanted, told, share = state[0], known[0], held.share.leased
        if told < 0 or wanted > told:
            return wanted > max(share, told * (1 + MORE))
        # Less is told with the next ask. While there is not enough for all, it changes nothing until it is
        # less than the share.
        return due and wanted < told and wanted <= (1 - LESS) * min(told, share)

    def _ask(self, now: int, term: Term, page: list[str]) -> LeaseRequest:
        self._number += 1
        self._tenure_at = self._tenure_at or now
        claims, told = [], []
        for name in page:
            held = self.budgets[name]
            held.last_sent, held.sent_at = state, _ = held.claim_state(), now
            told.append((name, state))
            wanted, version, released, moving = state
            claims.append(Claim(name, moving, wanted, version, released))
        self._asked[self._number] = (now, told)
        for number in [one for one, (at, _) in self._asked.items() if at < now - self.rules.lease_us]:
            del self._asked[number]
        return LeaseRequest(self.number, term, self.name, self.instance, self.tenure, self._number,
                   self.rules.lease_us, self.rules.weight, tuple(claims))  # fmt: skip

    def _forget(self, now: int) -> None:
        """Drop what is idle: nobody wants it, nothing is held of it, and its store is full."""
        idle = []
        for name, held in self.budgets.items():
            portion = held.share
            if held.recent_rate < 1e-6 * portion.total.rate and not portion.leased and not held.demand:
                if held.claim_state()[1:] == held.confirmed[1:] and portion.refill(now) >= portion.capacity:
                    idle.append(name)
        for name in idle:
            del self.budgets[name]

    # -- grants

    def apply_grant(self, now: int, grant: Grant) -> bool:
        """Take an answer or news; return whether something is to be confirmed."""
        self._look(now)
        if (grant.term, grant.instance, grant.tenure) != (self.term, self.instance, self.tenure):
            return False
        self.last_contact = now
        if (asked := self._asked.pop(grant.in_reply_to, None)) is not None:
            sent_at, told = asked
            lease_us = min(grant.lease_us, self.rules.lease_us)
            self.lease.expires_at = max(self.lease.expires_at, sent_at + self.rules.holder_lease_us(lease_us))
            for name, state in told:
                if (held := self.budgets.get(name)) is not None:
                    held.confirm(now, state)
        if not self.lease_valid(now):
            return False
        changed = False
        for share in grant.shares:
            held = self.budgets.get(share.budget)
            if held is None or share.version <= held.version or not held.share.can_shrink_to(share.rate):
                continue  # what can't be let go of yet is told again with the next answer
            held.version, changed = share.version, True
            held.released = held.share.set_leased(now, share.rate, max(0.0, share.tokens))
        if changed:
            self._next_quick = now
        return changed

    def wake_at(self) -> int | None:
        """Return when `asks` is to be called next; None while nothing is in use."""
        return self._next_quick if self.budgets else None
