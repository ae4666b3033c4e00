"""A head's part in one ledger: what it holds of each budget, what it could use, and how it asks.

It knows one term at a time, and drops everything when it turns to another or when its lease ends; dropping is
always safe. Only budgets that are in use cost anything. Pure: `asks` says what is to be sent, `granted` takes
answers and news.
"""

from __future__ import annotations

from dataclasses import replace

from harriertrack.decisions.bucket import Bucket
from harriertrack.decisions.fleet.budgets import (
    Ask,
    BudgetRules,
    Claim,
    Grant,
    Lease,
    Portion,
    Term,
    Whole,
    pages,
)
from harriertrack.decisions.fleet.held import Figures, Held, State

MORE = 0.1  # of what was told last: so much more is wanted before it is told, and only if it is not held
LESS = 0.3  # ... and so much less than what is needed of it


class Holder:
    """All that one head holds of one ledger."""

    def __init__(self, number: int, name: str, instance: int, rules: BudgetRules, born: int) -> None:
        self.number, self.name, self.instance, self.rules, self.born = number, name, instance, rules, born
        self.lease = Lease()
        self.term: Term | None = None
        self.tenure = 1
        self.held: dict[str, Held] = {}
        self.heard_at = born  # when a term said something last
        self.lapses = 0
        # What the store of a whole that was changed would hold if nobody used it, by who says it: what is
        # opened after the change gets no more than what was open kept.
        self._idle: dict[str, Bucket] = {}
        self._asked: dict[int, tuple[int, list[tuple[str, State]]]] = {}
        self._number = self._tenure_at = 0
        self._next_ask = self._next_quick = born

    # -- use

    def open(self, now: int, budget: str, whole: Whole) -> Portion:
        """Return the head's part of a budget, for use from now on."""
        held = self.held.get(budget)
        if held is None:
            portion = Portion(now, whole, self.lease, self.rules.clock_error, now - self.born)
            held = self.held[budget] = Held(portion, now)
            idle = self._idle.get(whole.says)
            if idle is not None and not whole.counted:
                portion.level = min(portion.level, idle.refill(now) * whole.fixed / whole.hosts)
        return held.portion

    def retell(self, now: int, says: str, before: Figures, after: Figures) -> None:
        """Go by another rate and burst of all that `says` stands for: what is in use, and what will be."""
        slow = 1 - self.rules.clock_error
        idle = self._idle.setdefault(says, Bucket(self.born, slow * before[0], before[1]))
        level = min(idle.refill(now), after[1])
        idle.rate, idle.capacity, idle.level = slow * after[0], after[1], level
        for name, held in self.held.items():
            if held.whole.says == says and after[0] > 0:  # else nobody asks for it, and it is forgotten
                self.take(now, name, replace(held.whole, rate=after[0], burst=after[1]))

    def take(self, now: int, budget: str, whole: Whole) -> None:
        """Take another whole of one budget that is in use; what is told again is nothing new."""
        held = self.held[budget]
        if whole != held.whole:
            held.retell(now, whole)
            self._next_quick = min(self._next_quick, now)

    def live(self, now: int) -> bool:
        """Whether the lease lasts."""
        return now < self.lease.until

    # -- terms

    def hear(self, now: int, term: Term) -> bool:
        """Hear of a term; return whether it is the one to ask now.

        A later one replaces an earlier one at once. An earlier number is of a witness that was restored, or
        of a head that does not know yet that its time is over: its turn comes once the present one is silent.
        """
        if term == self.term:
            self.heard_at = now
            return True
        silent = now >= self.heard_at + self.rules.patience_us and not self.live(now)
        if self.term is not None and term.epoch <= self.term.epoch and not silent:
            return False
        self._drop(now)
        self.term, self.heard_at, self._next_ask = term, now, now
        return True

    def _drop(self, now: int) -> None:
        """Let go of all that was granted."""
        for held in self.held.values():
            held.portion.lapse(now)
            held.version, held.released = 0, 0.0
            held.unsaid()
        self.lease.until = 0
        self.tenure += 1
        self._tenure_at = 0
        self._asked.clear()

    def _look(self, now: int) -> None:
        """Notice that the lease is over, or that none came of this tenure: for the ledger it may be over."""
        if self.lease.until:
            if not self.live(now):
                self.lapses += 1
                self._drop(now)
        elif self._tenure_at and now > self._tenure_at + self.rules.lease_us:
            self._drop(now)

    # -- asks

    def asks(self, now: int) -> list[Ask]:
        """Return what is to be sent now."""
        self._look(now)
        if now < self._next_quick:
            return []
        self._next_quick = now + self.rules.quick_us
        for held in self.held.values():
            held.measure(now)
        self._forget(now)
        if self.term is None:
            return []
        due = now >= self._next_ask
        news = [name for name, held in self.held.items() if self._is_news(now, held, due)]
        if not news and not (due and self._holds()):
            return []
        self._next_ask = now + self.rules.ask_us
        return [self._ask(now, self.term, page) for page in pages(news)]

    def _holds(self) -> bool:
        return any(held.portion.share or held.version for held in self.held.values())

    def _is_news(self, now: int, held: Held, due: bool) -> bool:
        state = held.state()
        known = held.sent if now < held.sent_at + self.rules.ask_us else held.told  # else it may be lost
        if state[1:] != held.told[1:]:
            return state[1:] != known[1:]
        wanted, told, share = state[0], known[0], held.portion.share
        if told < 0 or wanted > told:
            return wanted > max(share, told * (1 + MORE))
        # Less is told with the next ask. While there is not enough for all, it changes nothing until it is
        # less than the share.
        return due and wanted < told and wanted <= (1 - LESS) * min(told, share)

    def _ask(self, now: int, term: Term, page: list[str]) -> Ask:
        self._number += 1
        self._tenure_at = self._tenure_at or now
        claims, told = [], []
        for name in page:
            held = self.held[name]
            held.sent, held.sent_at = state, _ = held.state(), now
            told.append((name, state))
            wanted, version, released, moving = state
            claims.append(Claim(name, moving, wanted, version, released))
        self._asked[self._number] = (now, told)
        for number in [one for one, (at, _) in self._asked.items() if at < now - self.rules.lease_us]:
            del self._asked[number]
        return Ask(self.number, term, self.name, self.instance, self.tenure, self._number,
                   self.rules.lease_us, self.rules.weight, tuple(claims))  # fmt: skip

    def _forget(self, now: int) -> None:
        """Drop what is idle: nobody wants it, nothing is held of it, and its store is full."""
        idle = []
        for name, held in self.held.items():
            portion = held.portion
            if held.quick < 1e-6 * portion.whole.rate and not portion.share and not held.wanted:
                if held.state()[1:] == held.told[1:] and portion.refill(now) >= portion.capacity:
                    idle.append(name)
        for name in idle:
            del self.held[name]

    # -- grants

    def granted(self, now: int, grant: Grant) -> bool:
        """Take an answer or news; return whether something is to be confirmed."""
        self._look(now)
        if (grant.term, grant.instance, grant.tenure) != (self.term, self.instance, self.tenure):
            return False
        self.heard_at = now
        if (asked := self._asked.pop(grant.answers, None)) is not None:
            sent_at, told = asked
            lease_us = min(grant.lease_us, self.rules.lease_us)
            self.lease.until = max(self.lease.until, sent_at + self.rules.relied_us(lease_us))
            for name, state in told:
                if (held := self.held.get(name)) is not None:
                    held.confirmed(now, state)
        if not self.live(now):
            return False
        changed = False
        for share in grant.shares:
            held = self.held.get(share.budget)
            if held is None or share.version <= held.version or not held.portion.spares(share.rate):
                continue  # what can't be let go of yet is told again with the next answer
            held.version, changed = share.version, True
            held.released = held.portion.change(now, share.rate, max(0.0, share.tokens))
        if changed:
            self._next_quick = now
        return changed

    def wake_at(self) -> int | None:
        """Return when `asks` is to be called next; None while nothing is in use."""
        return self._next_quick if self.held else None
