"""What one head has of all budgets, as its module and its links ask for it.

A budget that is used for the first time is opened then, at its fixed part; which of them there are, and how
much they are in all, is told at the start, and anew in service. Pure: time is handed in.
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
    """What is divided."""

    LIMITS = "limits"  # of volumes' plans, in units
    ATTEMPTS = "attempts"  # further ones, beyond each head's own share of its requests
    TRIALS = "trials"  # of a node that is silent
    COLD = "cold"  # units for a node that has just started
    LIST_CALLS = "list-calls"
    TAKEOVERS = "takeovers"  # of volumes by the region that is not their home, and back
    CONNECTIONS = "connections"  # new ones, to a node
    LINKS = "links"  # connections that are open to a node at a time


BUDGET_UNITS = {
    BudgetKind.TAKEOVERS: "volumes",
    BudgetKind.LIMITS: "units", BudgetKind.ATTEMPTS: "attempts", BudgetKind.COLD: "units",
    BudgetKind.LIST_CALLS: "calls",
    BudgetKind.TRIALS: "trials", BudgetKind.CONNECTIONS: "connections", BudgetKind.LINKS: "at a time",
}  # fmt: skip


@dataclass(frozen=True, slots=True)
class BudgetSpec:
    """One kind of budget: the part that is fixed, and the whole where no plan or rule says it."""

    fixed: float
    rate: float = 0.0
    burst: float = 0.0


def budget_name(use: BudgetKind, of: str = "") -> str:
    """Return what a budget is called between heads."""
    return f"{use.value}/{of}" if of else use.value


class BudgetShares:
    """One head's portions."""

    def __init__(self, rules: BudgetRules, ledgers: int, name: str, instance: int, heads: int,
                 specs: Mapping[BudgetKind, BudgetSpec], now: int) -> None:  # fmt: skip
        self.rules, self.heads, self.specs = rules, heads, dict(specs)
        self.holders = [LeaseHolder(number, name, instance, rules, now) for number in range(ledgers)]
        self.on_wake: Callable[[], None] = lambda: None  # something is in use that was not: asks are due

    def __iter__(self) -> Iterator[tuple[str, BudgetShare]]:
        for holder in self.holders:
            for name, held in holder.budgets.items():
                yield name, held.share

    def update_totals(self, now: int, before: Mapping[str, Plan], plans: Mapping[str, Plan],
               divided: Mapping[BudgetKind, BudgetSpec]) -> None:  # fmt: skip
        """Go by other wholes from now on, those of plans and the others: of what is in use, and what will be.

        The parts that are fixed can't change: larger ones would be used before shares are lowered for them.
        Raises ValueError for that, and for another list of what is divided.
        """
        if {use: one.fixed for use, one in divided.items()} != self._fixed():
            raise ValueError("what is divided, and the part of it that is fixed, can't change")
        changed = {}
        for name in sorted(set(before) | set(plans)) if BudgetKind.LIMITS in divided else ():
            was, told = before.get(name, Plan(name)), plans.get(name, Plan(name))
            says = budget_name(BudgetKind.LIMITS, name)
            changed[says] = (was.limit, was.limit_burst), (told.limit, told.limit_burst)
        for use, one in divided.items():
            was_one = self.specs[use]
            if use not in (BudgetKind.LIMITS, BudgetKind.COLD):  # told whenever it is asked for
                changed[use.value] = (was_one.rate, was_one.burst), (one.rate, one.burst)
        self.specs = dict(divided)
        for holder in self.holders:
            for says, (old, new) in changed.items():
                if old != new:
                    holder.update_source(now, says, old, new)
        self.on_wake()

    def _fixed(self) -> dict[BudgetKind, float]:
        return {use: one.fixed for use, one in self.specs.items()}

    def _open(self, now: int, use: BudgetKind, of: str, rate: float, burst: float, hosts: int,
              plan: str = "") -> BudgetShare | None:  # fmt: skip
        divided = self.specs.get(use)
        if divided is None or hosts < 2 or rate <= 0:
            return None
        name = budget_name(use, of)
        holder = self.holders[ledger_for(name, len(self.holders))]
        fresh = name not in holder.budgets
        one_by_one = use not in (BudgetKind.LIMITS, BudgetKind.COLD, BudgetKind.LINKS)
        whole = BudgetTotal(rate, burst, hosts, divided.fixed, float(one_by_one), use is BudgetKind.LINKS,
                      budget_name(use, plan))  # fmt: skip
        portion = holder.open(now, name, whole)
        if fresh:
            self.on_wake()
        elif use is BudgetKind.COLD:  # the rules say it, to whoever asks
            holder.update_total(now, name, whole)
        return portion

    # -- for the module

    def limit(self, now: int, ask: RequestArrived, plan: Plan) -> Bucket | None:
        """Count what a request asks of its volume's limit; return what this head has of that."""
        hosts = ask.hosts or self.heads
        portion = self._open(
            now, BudgetKind.LIMITS, ask.volume, plan.limit, plan.limit_burst, hosts, plan.name
        )
        if portion is not None and not ask.attempts_made:
            portion.record_demand(ask.units)
        return portion

    def further(self, now: int, draw: bool) -> bool:
        """Return whether an attempt beyond the head's own share may be made; `draw`: it is."""
        portion = self._simple(now, BudgetKind.ATTEMPTS)
        if portion is None:
            return False
        if not draw:
            portion.record_demand(1.0)
        if portion.refill(now) < 1.0:
            return False
        portion.level -= 1.0 if draw else 0.0
        return True

    def trial(self, now: int, node: str) -> bool:
        """Return whether this head may try a silent node now, and count it."""
        return not self._one(now, self._simple(now, BudgetKind.TRIALS, node), False)

    def cold(self, now: int, node: str, rate: float, units: float) -> float:
        """Count units asked of a cold node; return this head's part of what it bears, `rate` a second."""
        portion = self._open(now, BudgetKind.COLD, node, rate, rate, self.heads)
        if portion is None:
            return rate / self.heads
        portion.record_demand(units)
        portion.refill(now)
        return portion.rate

    # -- for the head

    def _simple(self, now: int, use: BudgetKind, of: str = "") -> BudgetShare | None:
        divided = self.specs.get(use)
        if divided is None:
            return None
        return self._open(now, use, of, divided.rate, divided.burst, self.heads)

    def connection_wait(self, now: int, node: str, again: bool = False) -> int:
        """Return how long until a connection to a node may be opened, and count it if that is now (0).

        `again`: it was asked for before, and waits.
        """
        return self._one(now, self._simple(now, BudgetKind.CONNECTIONS, node), again)

    def list_call_wait(self, now: int, again: bool = False) -> int:
        """Return the same for a call for the node list."""
        return self._one(now, self._simple(now, BudgetKind.LIST_CALLS), again)

    def takeover_wait(self, now: int) -> int:
        """Return the same for a volume that is to change regions.

        One that waits is counted each time: it waits for seconds, and what a head asked for is forgotten
        within one.
        """
        return self._one(now, self._simple(now, BudgetKind.TAKEOVERS), False)

    def _one(self, now: int, portion: BudgetShare | None, again: bool) -> int:
        if portion is None:
            return 0
        if not again:
            portion.record_demand(1.0)
        wait = portion.wait_us(now, 1.0)
        if not wait:
            portion.level -= 1.0
        return wait

    def acquire_link(self, now: int, node: str) -> bool:
        """Take one of the links that may be open to a node, if one is to be had."""
        portion = self._simple(now, BudgetKind.LINKS, node)
        return portion is None or portion.acquire(now)

    def add_link_waiters(self, now: int, node: str, more: int) -> None:
        """Hear that so many more, or fewer, wait for a link to a node."""
        if (portion := self._simple(now, BudgetKind.LINKS, node)) is not None:
            portion.waiters += more

    def release_link(self, now: int, node: str) -> None:
        """Take one back."""
        if (portion := self._simple(now, BudgetKind.LINKS, node)) is not None:
            portion.release()

    def excess_links(self, now: int) -> list[tuple[str, int]]:
        """Return to which nodes more links are open than this head has now, and how many more."""
        if BudgetKind.LINKS not in self.specs:
            return []
        found = []
        for name, portion in self:
            if portion.total.concurrent:
                portion.refill(now)
                if portion.excess:
                    found.append((name.partition("/")[2], portion.excess))
        return found

    @property
    def divides_attempts(self) -> bool:
        """Whether further attempts beyond each head's own share are divided."""
        return BudgetKind.ATTEMPTS in self.specs
