"""What one head has of all budgets, as its module and its links ask for it.

A budget that is used for the first time is opened then, at its fixed part; which of them there are, and how
much they are in all, is told at the start, and anew in service. Pure: time is handed in.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from enum import Enum

from harriertrack.decisions.bucket import Bucket
from harriertrack.decisions.fleet.budgets import BudgetRules, Portion, Whole, ledger_of
from harriertrack.decisions.fleet.holder import Holder
from harriertrack.decisions.interface import Plan, RequestArrived


class Use(Enum):
    """What is divided."""

    LIMITS = "limits"  # of volumes' plans, in units
    ATTEMPTS = "attempts"  # further ones, beyond each head's own share of its requests
    TRIALS = "trials"  # of a node that is silent
    COLD = "cold"  # units for a node that has just started
    LIST_CALLS = "list-calls"
    TAKEOVERS = "takeovers"  # of volumes by the region that is not their home, and back
    CONNECTIONS = "connections"  # new ones, to a node
    LINKS = "links"  # connections that are open to a node at a time


UNITS = {
    Use.TAKEOVERS: "volumes",
    Use.LIMITS: "units", Use.ATTEMPTS: "attempts", Use.COLD: "units", Use.LIST_CALLS: "calls",
    Use.TRIALS: "trials", Use.CONNECTIONS: "connections", Use.LINKS: "at a time",
}  # fmt: skip


@dataclass(frozen=True, slots=True)
class Divided:
    """One kind of budget: the part that is fixed, and the whole where no plan or rule says it."""

    fixed: float
    rate: float = 0.0
    burst: float = 0.0


def budget_name(use: Use, of: str = "") -> str:
    """Return what a budget is called between heads."""
    return f"{use.value}/{of}" if of else use.value


class Portions:
    """One head's portions."""

    def __init__(self, rules: BudgetRules, ledgers: int, name: str, instance: int, heads: int,
                 divided: Mapping[Use, Divided], now: int) -> None:  # fmt: skip
        self.rules, self.heads, self.divided = rules, heads, dict(divided)
        self.holders = [Holder(number, name, instance, rules, now) for number in range(ledgers)]
        self.woken: Callable[[], None] = lambda: None  # something is in use that was not: asks are due

    def __iter__(self) -> Iterator[tuple[str, Portion]]:
        for holder in self.holders:
            for name, held in holder.held.items():
                yield name, held.portion

    def retell(self, now: int, before: Mapping[str, Plan], plans: Mapping[str, Plan],
               divided: Mapping[Use, Divided]) -> None:  # fmt: skip
        """Go by other wholes from now on, those of plans and the others: of what is in use, and what will be.

        The parts that are fixed can't change: larger ones would be used before shares are lowered for them.
        Raises ValueError for that, and for another list of what is divided.
        """
        if {use: one.fixed for use, one in divided.items()} != self._fixed():
            raise ValueError("what is divided, and the part of it that is fixed, can't change")
        changed = {}
        for name in sorted(set(before) | set(plans)) if Use.LIMITS in divided else ():
            was, told = before.get(name, Plan(name)), plans.get(name, Plan(name))
            says = budget_name(Use.LIMITS, name)
            changed[says] = (was.limit, was.limit_burst), (told.limit, told.limit_burst)
        for use, one in divided.items():
            was_one = self.divided[use]
            if use not in (Use.LIMITS, Use.COLD):  # told whenever it is asked for
                changed[use.value] = (was_one.rate, was_one.burst), (one.rate, one.burst)
        self.divided = dict(divided)
        for holder in self.holders:
            for says, (old, new) in changed.items():
                if old != new:
                    holder.retell(now, says, old, new)
        self.woken()

    def _fixed(self) -> dict[Use, float]:
        return {use: one.fixed for use, one in self.divided.items()}

    def _open(self, now: int, use: Use, of: str, rate: float, burst: float, hosts: int,
              plan: str = "") -> Portion | None:  # fmt: skip
        divided = self.divided.get(use)
        if divided is None or hosts < 2 or rate <= 0:
            return None
        name = budget_name(use, of)
        holder = self.holders[ledger_of(name, len(self.holders))]
        fresh = name not in holder.held
        one_by_one = use not in (Use.LIMITS, Use.COLD, Use.LINKS)
        whole = Whole(rate, burst, hosts, divided.fixed, float(one_by_one), use is Use.LINKS,
                      budget_name(use, plan))  # fmt: skip
        portion = holder.open(now, name, whole)
        if fresh:
            self.woken()
        elif use is Use.COLD:  # the rules say it, to whoever asks
            holder.take(now, name, whole)
        return portion

    # -- for the module

    def limit(self, now: int, ask: RequestArrived, plan: Plan) -> Bucket | None:
        """Count what a request asks of its volume's limit; return what this head has of that."""
        hosts = ask.hosts or self.heads
        portion = self._open(now, Use.LIMITS, ask.volume, plan.limit, plan.limit_burst, hosts, plan.name)
        if portion is not None and not ask.attempts_made:
            portion.asked(ask.units)
        return portion

    def further(self, now: int, draw: bool) -> bool:
        """Return whether an attempt beyond the head's own share may be made; `draw`: it is."""
        portion = self._simple(now, Use.ATTEMPTS)
        if portion is None:
            return False
        if not draw:
            portion.asked(1.0)
        if portion.refill(now) < 1.0:
            return False
        portion.level -= 1.0 if draw else 0.0
        return True

    def trial(self, now: int, node: str) -> bool:
        """Return whether this head may try a silent node now, and count it."""
        return not self._one(now, self._simple(now, Use.TRIALS, node), False)

    def cold(self, now: int, node: str, rate: float, units: float) -> float:
        """Count units asked of a cold node; return this head's part of what it bears, `rate` a second."""
        portion = self._open(now, Use.COLD, node, rate, rate, self.heads)
        if portion is None:
            return rate / self.heads
        portion.asked(units)
        portion.refill(now)
        return portion.rate

    # -- for the head

    def _simple(self, now: int, use: Use, of: str = "") -> Portion | None:
        divided = self.divided.get(use)
        if divided is None:
            return None
        return self._open(now, use, of, divided.rate, divided.burst, self.heads)

    def connection(self, now: int, node: str, again: bool = False) -> int:
        """Return how long until a connection to a node may be opened, and count it if that is now (0).

        `again`: it was asked for before, and waits.
        """
        return self._one(now, self._simple(now, Use.CONNECTIONS, node), again)

    def list_call(self, now: int, again: bool = False) -> int:
        """Return the same for a call for the node list."""
        return self._one(now, self._simple(now, Use.LIST_CALLS), again)

    def takeover(self, now: int) -> int:
        """Return the same for a volume that is to change regions.

        One that waits is counted each time: it waits for seconds, and what a head asked for is forgotten
        within one.
        """
        return self._one(now, self._simple(now, Use.TAKEOVERS), False)

    def _one(self, now: int, portion: Portion | None, again: bool) -> int:
        if portion is None:
            return 0
        if not again:
            portion.asked(1.0)
        wait = portion.wait_us(now, 1.0)
        if not wait:
            portion.level -= 1.0
        return wait

    def link(self, now: int, node: str) -> bool:
        """Take one of the links that may be open to a node, if one is to be had."""
        portion = self._simple(now, Use.LINKS, node)
        return portion is None or portion.take(now)

    def link_wanted(self, now: int, node: str, more: int) -> None:
        """Hear that so many more, or fewer, wait for a link to a node."""
        if (portion := self._simple(now, Use.LINKS, node)) is not None:
            portion.waiting += more

    def link_closed(self, now: int, node: str) -> None:
        """Take one back."""
        if (portion := self._simple(now, Use.LINKS, node)) is not None:
            portion.give()

    def links_over(self, now: int) -> list[tuple[str, int]]:
        """Return to which nodes more links are open than this head has now, and how many more."""
        if Use.LINKS not in self.divided:
            return []
        found = []
        for name, portion in self:
            if portion.whole.counted:
                portion.refill(now)
                if portion.over:
                    found.append((name.partition("/")[2], portion.over))
        return found

    @property
    def divides_attempts(self) -> bool:
        """Whether further attempts beyond each head's own share are divided."""
        return Use.ATTEMPTS in self.divided
