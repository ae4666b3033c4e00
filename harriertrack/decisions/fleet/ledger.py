"""The ledger of a term: who holds which share, what is on its way, and what each is to hold next.

Of each share counts the most that its holder may have, until it said otherwise or its lease is over. One
change of a share is under way at a time. Pure: `ask` answers an ask, `round` returns what is to be told.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from harriertrack.decisions.fleet.budgets import Ask, BudgetRules, Claim, Grant, Share, Term, pages
from harriertrack.decisions.fleet.dividing import Wish, divide

MOST_OVER = 4096  # holders whose leases ended that are remembered: what they say late is not believed
LEAST = 1e-9  # of a whole: less is nothing

Holder = tuple[str, int]  # name and process


@dataclass(slots=True)
class Slip:
    """What one holder has of one budget."""

    holder: Holder
    whole: float = 0.0
    wanted: float = 0.0
    rate: float = 0.0  # granted last
    counted: float = 0.0  # the most that it may have
    version: int = 0
    applied: int = 0
    tokens: float = 0.0  # that go with the latest version


@dataclass(slots=True)
class Tenant:
    """A holder in its present tenure."""

    tenure: int
    number: int = 0  # of its latest ask
    until: int = 0
    weight: float = 1.0
    slips: dict[str, Slip] = field(default_factory=dict)
    untold: dict[str, None] = field(default_factory=dict)  # budgets with a change that it has not confirmed


@dataclass(slots=True)
class Account:
    """One budget."""

    slips: dict[Holder, Slip] = field(default_factory=dict)
    tokens: float = 0.0  # that go with what nobody holds

    @property
    def whole(self) -> float:
        """Return what may move: the least that anybody is told, so that a lower whole holds at once."""
        return min((slip.whole for slip in self.slips.values()), default=0.0)

    @property
    def counted(self) -> float:
        """Return what all holders together may have."""
        return sum(slip.counted for slip in self.slips.values())


class Ledger:
    """All budgets of one ledger in one term."""

    def __init__(self, number: int, term: Term, opens_at: int, rules: BudgetRules) -> None:
        """Begin knowing nobody; nothing is granted before `opens_at`, when all earlier leases are over."""
        self.number, self.term, self.opens_at, self.rules = number, term, opens_at, rules
        self.tenants: dict[Holder, Tenant] = {}
        self.accounts: dict[str, Account] = {}
        self.moves = 0
        self._over: dict[Holder, int] = {}  # the tenures that ended without a word, latest last
        self._changed: dict[str, None] = {}
        self._next_round = opens_at

    # -- asks

    def ask(self, now: int, ask: Ask) -> Grant | None:
        """Take what a holder says, and answer it.

        None if it speaks of another term or of a tenure that is over, or was overtaken by a later ask.
        """
        holder = (ask.holder, ask.instance)
        if ask.term != self.term or ask.tenure <= self._over.get(holder, 0):
            return None
        tenant = self.tenants.get(holder)
        if tenant is not None and tenant.tenure != ask.tenure:
            if ask.tenure < tenant.tenure:
                return None
            self._free(holder)  # it let go of all that it had
            tenant = None
        if tenant is None:
            tenant = self.tenants[holder] = Tenant(ask.tenure)
        if ask.number <= tenant.number:
            return None
        tenant.number = ask.number
        lease_us = min(ask.lease_us, self.rules.lease_us)
        tenant.until = max(tenant.until, now + self.rules.counted_us(lease_us))
        tenant.weight = max(ask.weight, 1e-3)
        for claim in ask.claims:
            self._claim(holder, tenant, claim)
        news = dict.fromkeys(claim.budget for claim in ask.claims)
        news.update(tenant.untold)
        first = next(pages(news))  # what does not fit is told with the next
        return self._grant(holder, tenant, ask.number, lease_us, first)

    def _claim(self, holder: Holder, tenant: Tenant, claim: Claim) -> None:
        account = self.accounts.setdefault(claim.budget, Account())
        slip = tenant.slips.get(claim.budget)
        if slip is None:
            slip = Slip(holder, version=claim.version, applied=claim.version)
            tenant.slips[claim.budget] = account.slips[holder] = slip
        if (slip.whole, slip.wanted) != (claim.whole, claim.wanted):
            slip.whole, slip.wanted = claim.whole, claim.wanted
            self._changed[claim.budget] = None
        if slip.applied < claim.version == slip.version:
            slip.applied, slip.counted = slip.version, slip.rate
            account.tokens += max(0.0, claim.released)
            tenant.untold.pop(claim.budget, None)
            self._changed[claim.budget] = None

    def _grant(self, holder: Holder, tenant: Tenant, answers: int, lease_us: int, names: list[str]) -> Grant:
        slips = ((name, tenant.slips[name]) for name in names)
        shares = tuple(Share(name, one.version, one.rate, one.tokens) for name, one in slips)
        return Grant(self.number, self.term, *holder, tenant.tenure, answers, lease_us, shares)

    # -- time

    def wake_at(self) -> int | None:
        """Return when `round` is to be called; None while nothing is to be done."""
        ends = min((tenant.until for tenant in self.tenants.values()), default=None)
        if self._changed:
            return max(self._next_round, self.opens_at) if ends is None else min(ends, self._next_round)
        return ends

    def round(self, now: int) -> list[Grant]:
        """Let go of who is gone, divide anew what changed, and return what is to be told unasked."""
        for holder in [holder for holder, tenant in self.tenants.items() if tenant.until <= now]:
            self._over.pop(holder, None)
            self._over[holder] = self.tenants[holder].tenure
            self._free(holder)
            if len(self._over) > MOST_OVER:
                del self._over[next(iter(self._over))]
        if now < max(self._next_round, self.opens_at) or not self._changed:
            return []
        self._next_round = now + self.rules.round_us
        changed, self._changed = self._changed, {}
        news: dict[Holder, list[str]] = {}
        for name in changed:
            for holder in self._divide(name):
                news.setdefault(holder, []).append(name)
        return list(self._pages(news))

    def _pages(self, news: dict[Holder, list[str]]) -> Iterator[Grant]:
        for holder, names in news.items():
            tenant = self.tenants[holder]
            for page in pages(names):
                yield self._grant(holder, tenant, 0, self.rules.lease_us, page)

    def _free(self, holder: Holder) -> None:
        """Count nothing of a holder any more: its lease is over, or it said that it holds nothing."""
        for name in self.tenants.pop(holder).slips:
            account = self.accounts[name]
            del account.slips[holder]
            if account.slips:
                self._changed[name] = None
            else:
                del self.accounts[name]
                self._changed.pop(name, None)

    # -- dividing

    def _divide(self, name: str) -> list[Holder]:
        """Move shares of one budget toward what is fair; return whose changed."""
        account = self.accounts.get(name)
        if account is None:
            return []
        whole, slips = account.whole, list(account.slips.values())
        weights = [self.tenants[slip.holder].weight for slip in slips]
        wishes = [Wish(slip.rate, slip.wanted, weight) for slip, weight in zip(slips, weights, strict=True)]
        targets, changed = divide(whole, wishes), []
        settled = [slip.applied == slip.version for slip in slips]
        free = max(0.0, whole - account.counted)
        lowered = account.counted > whole * (1 + LEAST)  # the whole was: what is under way is overtaken too
        raised: list[tuple[float, Slip]] = []
        for slip, target, still in zip(slips, targets, settled, strict=True):
            if target < slip.rate - LEAST * whole and (still or lowered):
                self._change(name, slip, target)
                changed.append(slip.holder)
            elif not still:
                continue  # asked for again once the present change is confirmed
            elif target > slip.rate + LEAST * whole:
                raised.append((target - slip.rate, slip))
            elif not slip.wanted and not slip.rate and not slip.counted:
                del account.slips[slip.holder]  # nothing of it is left
                del self.tenants[slip.holder].slips[name]
        short = sum(more for more, _ in raised)
        part = min(1.0, free / short) if short > 0 else 0.0
        taken = part * short
        if part > LEAST:
            handed = account.tokens * min(1.0, taken / free) if free > 0 else 0.0
            account.tokens -= handed
            for more, slip in raised:
                self._change(name, slip, slip.rate + part * more, handed * more / short)
                slip.counted = slip.rate
                changed.append(slip.holder)
        if not account.slips:
            del self.accounts[name]
        return changed

    def _change(self, name: str, slip: Slip, rate: float, tokens: float = 0.0) -> None:
        slip.rate, slip.tokens = max(0.0, rate), tokens
        slip.version += 1
        self.moves += 1
        self.tenants[slip.holder].untold[name] = None
