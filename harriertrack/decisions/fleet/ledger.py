"""The ledger of a term: who holds which share, what is on its way, and what each is to hold next.

Of each share counts the most that its holder may have, until it said otherwise or its lease is over. One
change of a share is under way at a time. Pure: `ask` answers an ask, `round` returns what is to be told.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from harriertrack.decisions.fleet.budgets import (
    BudgetRules,
    Claim,
    Grant,
    LeaseRequest,
    ShareUpdate,
    Term,
    paginate,
)
from harriertrack.decisions.fleet.max_min import Claimant, divide

MOST_OVER = 4096  # holders whose leases ended that are remembered: what they say late is not believed
LEAST = 1e-9  # of a whole: less is nothing

HolderId = tuple[str, int]  # name and process


@dataclass(slots=True)
class Holding:
    """What one holder has of one budget."""

    holder: HolderId
    total: float = 0.0
    demand: float = 0.0
    granted: float = 0.0  # granted last
    committed: float = 0.0  # the most that it may have
    version: int = 0
    confirmed: int = 0
    tokens: float = 0.0  # that go with the latest version


@dataclass(slots=True)
class Tenancy:
    """A holder in its present tenure."""

    tenure: int
    last_sequence: int = 0  # of its latest ask
    expires_at: int = 0
    weight: float = 1.0
    holdings: dict[str, Holding] = field(default_factory=dict)
    unconfirmed: dict[str, None] = field(
        default_factory=dict
    )  # budgets with a change that it has not confirmed


@dataclass(slots=True)
class BudgetAccount:
    """One budget."""

    holdings: dict[HolderId, Holding] = field(default_factory=dict)
    free_tokens: float = 0.0  # that go with what nobody holds

    @property
    def total(self) -> float:
        """Return what may move: the least that anybody is told, so that a lower whole holds at once."""
        return min((slip.total for slip in self.holdings.values()), default=0.0)

    @property
    def committed(self) -> float:
        """Return what all holders together may have."""
        return sum(slip.committed for slip in self.holdings.values())


class Ledger:
    """All budgets of one ledger in one term."""

    def __init__(self, number: int, term: Term, opens_at: int, rules: BudgetRules) -> None:
        """Begin knowing nobody; nothing is granted before `opens_at`, when all earlier leases are over."""
        self.number, self.term, self.opens_at, self.rules = number, term, opens_at, rules
        self.tenancies: dict[HolderId, Tenancy] = {}
        self.accounts: dict[str, BudgetAccount] = {}
        self.moves = 0
        self._over: dict[HolderId, int] = {}  # the tenures that ended without a word, latest last
        self._changed: dict[str, None] = {}
        self._next_round = opens_at

    # -- asks

    def handle_request(self, now: int, ask: LeaseRequest) -> Grant | None:
        """Take what a holder says, and answer it.

        None if it speaks of another term or of a tenure that is over, or was overtaken by a later ask.
        """
        holder = (ask.holder, ask.instance)
        if ask.term != self.term or ask.tenure <= self._over.get(holder, 0):
            return None
        tenant = self.tenancies.get(holder)
        if tenant is not None and tenant.tenure != ask.tenure:
            if ask.tenure < tenant.tenure:
                return None
            self._free(holder)  # it let go of all that it had
            tenant = None
        if tenant is None:
            tenant = self.tenancies[holder] = Tenancy(ask.tenure)
        if ask.sequence <= tenant.last_sequence:
            return None
        tenant.last_sequence = ask.sequence
        lease_us = min(ask.lease_us, self.rules.lease_us)
        tenant.expires_at = max(tenant.expires_at, now + self.rules.granter_lease_us(lease_us))
        tenant.weight = max(ask.weight, 1e-3)
        for claim in ask.claims:
            self._claim(holder, tenant, claim)
        news = dict.fromkeys(claim.budget for claim in ask.claims)
        news.update(tenant.unconfirmed)
        first = next(paginate(news))  # what does not fit is told with the next
        return self._grant(holder, tenant, ask.sequence, lease_us, first)

    def _claim(self, holder: HolderId, tenant: Tenancy, claim: Claim) -> None:
        account = self.accounts.setdefault(claim.budget, BudgetAccount())
        slip = tenant.holdings.get(claim.budget)
        if slip is None:
            slip = Holding(holder, version=claim.version, confirmed=claim.version)
            tenant.holdings[claim.budget] = account.holdings[holder] = slip
        if (slip.total, slip.demand) != (claim.movable, claim.demand):
            slip.total, slip.demand = claim.movable, claim.demand
            self._changed[claim.budget] = None
        if slip.confirmed < claim.version == slip.version:
            slip.confirmed, slip.committed = slip.version, slip.granted
            account.free_tokens += max(0.0, claim.released)
            tenant.unconfirmed.pop(claim.budget, None)
            self._changed[claim.budget] = None

    def _grant(
        self, holder: HolderId, tenant: Tenancy, answers: int, lease_us: int, names: list[str]
    ) -> Grant:
        slips = ((name, tenant.holdings[name]) for name in names)
        shares = tuple(ShareUpdate(name, one.version, one.granted, one.tokens) for name, one in slips)
        return Grant(self.number, self.term, *holder, tenant.tenure, answers, lease_us, shares)

    # -- time

    def wake_at(self) -> int | None:
        """Return when `round` is to be called; None while nothing is to be done."""
        ends = min((tenant.expires_at for tenant in self.tenancies.values()), default=None)
        if self._changed:
            return max(self._next_round, self.opens_at) if ends is None else min(ends, self._next_round)
        return ends

    def rebalance(self, now: int) -> list[Grant]:
        """Let go of who is gone, divide anew what changed, and return what is to be told unasked."""
        for holder in [holder for holder, tenant in self.tenancies.items() if tenant.expires_at <= now]:
            self._over.pop(holder, None)
            self._over[holder] = self.tenancies[holder].tenure
            self._free(holder)
            if len(self._over) > MOST_OVER:
                del self._over[next(iter(self._over))]
        if now < max(self._next_round, self.opens_at) or not self._changed:
            return []
        self._next_round = now + self.rules.round_us
        changed, self._changed = self._changed, {}
        news: dict[HolderId, list[str]] = {}
        for name in changed:
            for holder in self._divide(name):
                news.setdefault(holder, []).append(name)
        return list(self._pages(news))

    def _pages(self, news: dict[HolderId, list[str]]) -> Iterator[Grant]:
        for holder, names in news.items():
            tenant = self.tenancies[holder]
            for page in paginate(names):
                yield self._grant(holder, tenant, 0, self.rules.lease_us, page)

    def _free(self, holder: HolderId) -> None:
        """Count nothing of a holder any more: its lease is over, or it said that it holds nothing."""
        for name in self.tenancies.pop(holder).holdings:
            account = self.accounts[name]
            del account.holdings[holder]
            if account.holdings:
                self._changed[name] = None
            else:
                del self.accounts[name]
                self._changed.pop(name, None)

    # -- dividing

    def _divide(self, name: str) -> list[HolderId]:
        """Move shares of one budget toward what is fair; return whose changed."""
        account = self.accounts.get(name)
        if account is None:
            return []
        whole, slips = account.total, list(account.holdings.values())
        weights = [self.tenancies[slip.holder].weight for slip in slips]
        wishes = [
            Claimant(slip.granted, slip.demand, weight) for slip, weight in zip(slips, weights, strict=True)
        ]
        targets, changed = divide(whole, wishes), []
        settled = [slip.confirmed == slip.version for slip in slips]
        free = max(0.0, whole - account.committed)
        lowered = account.committed > whole * (1 + LEAST)  # the whole was: what is under way is overtaken too
        raised: list[tuple[float, Holding]] = []
        for slip, target, still in zip(slips, targets, settled, strict=True):
            if target < slip.granted - LEAST * whole and (still or lowered):
                self._change(name, slip, target)
                changed.append(slip.holder)
            elif not still:
                continue  # asked for again once the present change is confirmed
            elif target > slip.granted + LEAST * whole:
                raised.append((target - slip.granted, slip))
            elif not slip.demand and not slip.granted and not slip.committed:
                del account.holdings[slip.holder]  # nothing of it is left
                del self.tenancies[slip.holder].holdings[name]
        short = sum(more for more, _ in raised)
        part = min(1.0, free / short) if short > 0 else 0.0
        taken = part * short
        if part > LEAST:
            handed = account.free_tokens * min(1.0, taken / free) if free > 0 else 0.0
            account.free_tokens -= handed
            for more, slip in raised:
                self._change(name, slip, slip.granted + part * more, handed * more / short)
                slip.committed = slip.granted
                changed.append(slip.holder)
        if not account.holdings:
            del self.accounts[name]
        return changed

    def _change(self, name: str, slip: Holding, rate: float, tokens: float = 0.0) -> None:
        slip.granted, slip.tokens = max(0.0, rate), tokens
        slip.version += 1
        self.moves += 1
        self.tenancies[slip.holder].unconfirmed[name] = None
