"""The ledger of a term: shares by holder, changes not yet confirmed, and the division that follows from them.

A share counts with the most that its holder may have, until the holder confirmed less or its lease expired.
Each share has at most one unconfirmed change. Pure: `handle_request` answers a request, `rebalance` returns
updates to send.
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

MAX_EXPIRED = 4096  # expired tenures that are remembered, to reject their late requests
MIN_CHANGE = 1e-9  # of a total: smaller changes count as none

HolderId = tuple[str, int]  # name and process instance


@dataclass(slots=True)
class Holding:
    """One holder's entry for one budget."""

    holder: HolderId
    total: float = 0.0
    demand: float = 0.0
    granted: float = 0.0  # rate of the latest version
    committed: float = 0.0  # highest rate that the holder may still use
    version: int = 0
    confirmed: int = 0  # latest version that the holder applied
    tokens: float = 0.0  # granted along with the latest version


@dataclass(slots=True)
class Tenancy:
    """A holder in its present tenure."""

    tenure: int
    last_sequence: int = 0  # of its latest request
    expires_at: int = 0
    weight: float = 1.0
    holdings: dict[str, Holding] = field(default_factory=dict)
    unconfirmed: dict[str, None] = field(default_factory=dict)  # budgets with an unconfirmed change


@dataclass(slots=True)
class BudgetAccount:
    """All holdings of one budget."""

    holdings: dict[HolderId, Holding] = field(default_factory=dict)
    free_tokens: float = 0.0  # that belong to the unassigned part

    @property
    def total(self) -> float:
        """Return the lowest movable total that any holder reported, so that a lower one applies at once."""
        return min((holding.total for holding in self.holdings.values()), default=0.0)

    @property
    def committed(self) -> float:
        """Return the highest rate that all holders together may still use."""
        return sum(holding.committed for holding in self.holdings.values())


class Ledger:
    """All budgets of one ledger in one term."""

    def __init__(self, number: int, term: Term, opens_at: int, rules: BudgetRules) -> None:
        """Start without holders; nothing is granted before `opens_at`, when earlier leases have expired."""
        self.number, self.term, self.opens_at, self.rules = number, term, opens_at, rules
        self.tenancies: dict[HolderId, Tenancy] = {}
        self.accounts: dict[str, BudgetAccount] = {}
        self.moves = 0
        self._expired: dict[HolderId, int] = {}  # tenures that ended by expiry, latest last
        self._changed: dict[str, None] = {}
        self._next_round = opens_at

    # -- requests

    def handle_request(self, now: int, request: LeaseRequest) -> Grant | None:
        """Apply a holder's claims and return the answer.

        None if the request is of another term or an ended tenure, or if a later one arrived before it.
        """
        holder = (request.holder, request.instance)
        if request.term != self.term or request.tenure <= self._expired.get(holder, 0):
            return None
        tenancy = self.tenancies.get(holder)
        if tenancy is not None and tenancy.tenure != request.tenure:
            if request.tenure < tenancy.tenure:
                return None
            self._free(holder)  # a new tenure starts without shares
            tenancy = None
        if tenancy is None:
            tenancy = self.tenancies[holder] = Tenancy(request.tenure)
        if request.sequence <= tenancy.last_sequence:
            return None
        tenancy.last_sequence = request.sequence
        lease_us = min(request.lease_us, self.rules.lease_us)
        tenancy.expires_at = max(tenancy.expires_at, now + self.rules.granter_lease_us(lease_us))
        tenancy.weight = max(request.weight, 1e-3)
        for claim in request.claims:
            self._claim(holder, tenancy, claim)
        budgets = dict.fromkeys(claim.budget for claim in request.claims)
        budgets.update(tenancy.unconfirmed)
        first = next(paginate(budgets))  # the rest is sent with the next answer
        return self._grant(holder, tenancy, request.sequence, lease_us, first)

    def _claim(self, holder: HolderId, tenancy: Tenancy, claim: Claim) -> None:
        account = self.accounts.setdefault(claim.budget, BudgetAccount())
        holding = tenancy.holdings.get(claim.budget)
        if holding is None:
            holding = Holding(holder, version=claim.version, confirmed=claim.version)
            tenancy.holdings[claim.budget] = account.holdings[holder] = holding
        if (holding.total, holding.demand) != (claim.movable, claim.demand):
            holding.total, holding.demand = claim.movable, claim.demand
            self._changed[claim.budget] = None
        if holding.confirmed < claim.version == holding.version:
            holding.confirmed, holding.committed = holding.version, holding.granted
            account.free_tokens += max(0.0, claim.released)
            tenancy.unconfirmed.pop(claim.budget, None)
            self._changed[claim.budget] = None

    def _grant(
        self, holder: HolderId, tenancy: Tenancy, in_reply_to: int, lease_us: int, names: list[str]
    ) -> Grant:
        holdings = ((name, tenancy.holdings[name]) for name in names)
        shares = tuple(ShareUpdate(name, one.version, one.granted, one.tokens) for name, one in holdings)
        return Grant(self.number, self.term, *holder, tenancy.tenure, in_reply_to, lease_us, shares)

    # -- time

    def wake_at(self) -> int | None:
        """Return when to call `rebalance`; None while there is nothing to do."""
        expiry = min((tenancy.expires_at for tenancy in self.tenancies.values()), default=None)
        if self._changed:
            return max(self._next_round, self.opens_at) if expiry is None else min(expiry, self._next_round)
        return expiry

    def rebalance(self, now: int) -> list[Grant]:
        """Drop holders whose leases expired, divide changed budgets again, and return updates to send."""
        for holder in [holder for holder, tenancy in self.tenancies.items() if tenancy.expires_at <= now]:
            self._expired.pop(holder, None)
            self._expired[holder] = self.tenancies[holder].tenure
            self._free(holder)
            if len(self._expired) > MAX_EXPIRED:
                del self._expired[next(iter(self._expired))]
        if now < max(self._next_round, self.opens_at) or not self._changed:
            return []
        self._next_round = now + self.rules.round_us
        changed, self._changed = self._changed, {}
        updates: dict[HolderId, list[str]] = {}
        for name in changed:
            for holder in self._divide(name):
                updates.setdefault(holder, []).append(name)
        return list(self._pages(updates))

    def _pages(self, updates: dict[HolderId, list[str]]) -> Iterator[Grant]:
        for holder, names in updates.items():
            tenancy = self.tenancies[holder]
            for page in paginate(names):
                yield self._grant(holder, tenancy, 0, self.rules.lease_us, page)

    def _free(self, holder: HolderId) -> None:
        """Remove all holdings of a holder whose lease expired or that started a new tenure."""
        for name in self.tenancies.pop(holder).holdings:
            account = self.accounts[name]
            del account.holdings[holder]
            if account.holdings:
                self._changed[name] = None
            else:
                del self.accounts[name]
                self._changed.pop(name, None)

    # -- division

    def _divide(self, name: str) -> list[HolderId]:
        """Move shares of one budget toward the fair division; return the holders whose share changed."""
        account = self.accounts.get(name)
        if account is None:
            return []
        total, holdings = account.total, list(account.holdings.values())
        weights = [self.tenancies[one.holder].weight for one in holdings]
        claimants = [
            Claimant(one.granted, one.demand, weight) for one, weight in zip(holdings, weights, strict=True)
        ]
        targets, changed = divide(total, claimants), []
        settled = [holding.confirmed == holding.version for holding in holdings]
        free = max(0.0, total - account.committed)
        # After the total was lowered, unconfirmed changes are replaced too.
        lowered = account.committed > total * (1 + MIN_CHANGE)
        raised: list[tuple[float, Holding]] = []
        for holding, target, is_settled in zip(holdings, targets, settled, strict=True):
            if target < holding.granted - MIN_CHANGE * total and (is_settled or lowered):
                self._change(name, holding, target)
                changed.append(holding.holder)
            elif not is_settled:
                continue  # considered again once the present change is confirmed
            elif target > holding.granted + MIN_CHANGE * total:
                raised.append((target - holding.granted, holding))
            elif not holding.demand and not holding.granted and not holding.committed:
                del account.holdings[holding.holder]
                del self.tenancies[holding.holder].holdings[name]
        short = sum(more for more, _ in raised)
        part = min(1.0, free / short) if short > 0 else 0.0
        taken = part * short
        if part > MIN_CHANGE:
            handed = account.free_tokens * min(1.0, taken / free) if free > 0 else 0.0
            account.free_tokens -= handed
            for more, holding in raised:
                self._change(name, holding, holding.granted + part * more, handed * more / short)
                holding.committed = holding.granted
                changed.append(holding.holder)
        if not account.holdings:
            del self.accounts[name]
        return changed

    def _change(self, name: str, holding: Holding, rate: float, tokens: float = 0.0) -> None:
        holding.granted, holding.tokens = max(0.0, rate), tokens
        holding.version += 1
        self.moves += 1
        self.tenancies[holding.holder].unconfirmed[name] = None
