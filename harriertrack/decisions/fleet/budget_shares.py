"""A head's shares of all budgets, as its scheduler module and its links use them.

A budget is opened at its fixed part when it is first used. Which budgets exist, and their totals, is
configured at start and may be changed in service. Pure: time is handed in.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from enum import Enum

from harriertrack.decisions.bucket import Bucket
from harriertrack.decisions.fleet.budgets import BudgetRules, BudgetShare, BudgetTotal, ledger_for
from harriertrack.decisions.fleet.holder import LeaseHolder
from harriertrack.decisions.interface import Plan, RequestArrived


class BudgetKind(Enum):
    """Kinds of budgets that heads divide."""

    LIMITS = "limits"  # of volumes, by their plans, in units
    ATTEMPTS = "attempts"  # further attempts, beyond each head's own share of its requests
    TRIALS = "trials"  # trial attempts at a silent node
    COLD = "cold"  # units sent to a cold node
    LIST_CALLS = "list-calls"
    TAKEOVERS = "takeovers"  # of volumes by a region that is not their home, and back
    CONNECTIONS = "connections"  # new connections to a node
    LINKS = "links"  # connections open to a node at a time


BUDGET_UNITS = {
    BudgetKind.TAKEOVERS: "volumes",
    BudgetKind.LIMITS: "units", BudgetKind.ATTEMPTS: "attempts", BudgetKind.COLD: "units",
    BudgetKind.LIST_CALLS: "calls",
    BudgetKind.TRIALS: "trials", BudgetKind.CONNECTIONS: "connections", BudgetKind.LINKS: "at a time",
}  # fmt: skip


@dataclass(frozen=True, slots=True)
class BudgetSpec:
    """One kind of budget: its fixed part, and its total unless plans or rules define that."""

    fixed: float
    rate: float = 0.0
    burst: float = 0.0


def budget_name(kind: BudgetKind, of: str = "") -> str:
    """Return a budget's name in messages between heads."""
    return f"{kind.value}/{of}" if of else kind.value


class BudgetShares:
    """One head's shares of all budgets."""

    def __init__(self, rules: BudgetRules, ledgers: int, name: str, instance: int, heads: int,
                 specs: Mapping[BudgetKind, BudgetSpec], now: int) -> None:  # fmt: skip
        self.rules, self.heads, self.specs = rules, heads, dict(specs)
        self.holders = [LeaseHolder(number, name, instance, rules, now) for number in range(ledgers)]
        # Called when a budget was opened or changed: requests are due.
        self.on_wake: Callable[[], None] = lambda: None

    def __iter__(self) -> Iterator[tuple[str, BudgetShare]]:
        for holder in self.holders:
            for name, held in holder.budgets.items():
                yield name, held.share

    def update_totals(self, now: int, before: Mapping[str, Plan], plans: Mapping[str, Plan],
                      specs: Mapping[BudgetKind, BudgetSpec]) -> None:  # fmt: skip
        """Apply changed totals of plans and specs to all budgets, open ones and those opened later.

        Fixed parts can't change: larger ones would be used before the shares are lowered for them. Raises
        ValueError for that, and for another set of budgets.
        """
        if {kind: one.fixed for kind, one in specs.items()} != self._fixed():
            raise ValueError("the set of divided budgets and their fixed parts can't change in service")
        changed = {}
        for name in sorted(set(before) | set(plans)) if BudgetKind.LIMITS in specs else ():
            old_plan, new_plan = before.get(name, Plan(name)), plans.get(name, Plan(name))
            source = budget_name(BudgetKind.LIMITS, name)
            changed[source] = (
                (old_plan.limit, old_plan.limit_burst),
                (new_plan.limit, new_plan.limit_burst),
            )
        for kind, one in specs.items():
            old_spec = self.specs[kind]
            if kind not in (BudgetKind.LIMITS, BudgetKind.COLD):  # COLD is given its total at each use
                changed[kind.value] = (old_spec.rate, old_spec.burst), (one.rate, one.burst)
        self.specs = dict(specs)
        for holder in self.holders:
            for source, (old, new) in changed.items():
                if old != new:
                    holder.update_source(now, source, old, new)
        self.on_wake()

    def _fixed(self) -> dict[BudgetKind, float]:
        return {kind: one.fixed for kind, one in self.specs.items()}

    def _open(self, now: int, kind: BudgetKind, of: str, rate: float, burst: float, hosts: int,
              plan: str = "") -> BudgetShare | None:  # fmt: skip
        spec = self.specs.get(kind)
        if spec is None or hosts < 2 or rate <= 0:
            return None
        name = budget_name(kind, of)
        holder = self.holders[ledger_for(name, len(self.holders))]
        opened = name not in holder.budgets
        one_by_one = kind not in (BudgetKind.LIMITS, BudgetKind.COLD, BudgetKind.LINKS)
        total = BudgetTotal(rate, burst, hosts, spec.fixed, float(one_by_one), kind is BudgetKind.LINKS,
                            budget_name(kind, plan))  # fmt: skip
        share = holder.open(now, name, total)
        if opened:
            self.on_wake()
        elif kind is BudgetKind.COLD:  # its total comes from the rules, with each call
            holder.update_total(now, name, total)
        return share

    # -- for the scheduler module

    def limit(self, now: int, request: RequestArrived, plan: Plan) -> Bucket | None:
        """Count a request against its volume's limit; return this head's share of the limit."""
        hosts = request.hosts or self.heads
        share = self._open(
            now, BudgetKind.LIMITS, request.volume, plan.limit, plan.limit_burst, hosts, plan.name
        )
        if share is not None and not request.attempts_made:
            share.record_demand(request.units)
        return share

    def further(self, now: int, draw: bool) -> bool:
        """Return whether a further attempt beyond the head's own share is allowed; `draw`: spend one."""
        share = self._open_configured(now, BudgetKind.ATTEMPTS)
        if share is None:
            return False
        if not draw:
            share.record_demand(1.0)
        if share.refill(now) < 1.0:
            return False
        share.level -= 1.0 if draw else 0.0
        return True

    def trial(self, now: int, node: str) -> bool:
        """Return whether this head may make a trial attempt at a silent node now, and count it."""
        return not self._wait_or_spend(now, self._open_configured(now, BudgetKind.TRIALS, node), False)

    def cold(self, now: int, node: str, rate: float, units: float) -> float:
        """Count units requested for a cold node; return this head's part of the node's `rate` per second."""
        share = self._open(now, BudgetKind.COLD, node, rate, rate, self.heads)
        if share is None:
            return rate / self.heads
        share.record_demand(units)
        share.refill(now)
        return share.rate

    # -- for the head

    def _open_configured(self, now: int, kind: BudgetKind, of: str = "") -> BudgetShare | None:
        spec = self.specs.get(kind)
        if spec is None:
            return None
        return self._open(now, kind, of, spec.rate, spec.burst, self.heads)

    def connection_wait(self, now: int, node: str, again: bool = False) -> int:
        """Return how long until a connection to a node may be opened; if that is now (0), count it.

        `again`: a repeated call for a connection that waits; its demand is counted already.
        """
        return self._wait_or_spend(now, self._open_configured(now, BudgetKind.CONNECTIONS, node), again)

    def list_call_wait(self, now: int, again: bool = False) -> int:
        """Return the same for a call for the node list."""
        return self._wait_or_spend(now, self._open_configured(now, BudgetKind.LIST_CALLS), again)

    def takeover_wait(self, now: int) -> int:
        """Return the same for a volume that is to change regions.

        Every call counts as demand: a volume may wait for seconds, and measured demand fades within one.
        """
        return self._wait_or_spend(now, self._open_configured(now, BudgetKind.TAKEOVERS), False)

    def _wait_or_spend(self, now: int, share: BudgetShare | None, again: bool) -> int:
        if share is None:
            return 0
        if not again:
            share.record_demand(1.0)
        wait = share.wait_us(now, 1.0)
        if not wait:
            share.level -= 1.0
        return wait

    def acquire_link(self, now: int, node: str) -> bool:
        """Acquire one of the links that may be open to a node; return whether one was free."""
        share = self._open_configured(now, BudgetKind.LINKS, node)
        return share is None or share.acquire(now)

    def add_link_waiters(self, now: int, node: str, more: int) -> None:
        """Add to the number of callers that wait for a link to a node; negative: fewer."""
        if (share := self._open_configured(now, BudgetKind.LINKS, node)) is not None:
            share.waiters += more

    def release_link(self, now: int, node: str) -> None:
        """Release one link to a node."""
        if (share := self._open_configured(now, BudgetKind.LINKS, node)) is not None:
            share.release()

    def excess_links(self, now: int) -> list[tuple[str, int]]:
        """Return the nodes with more open links than this head's share now, and the excess."""
        if BudgetKind.LINKS not in self.specs:
            return []
        found = []
        for name, share in self:
            if share.total.concurrent:
                share.refill(now)
                if share.excess:
                    found.append((name.partition("/")[2], share.excess))
        return found

    @property
    def divides_attempts(self) -> bool:
        """Whether further attempts beyond each head's own share are divided."""
        return BudgetKind.ATTEMPTS in self.specs
