"""Grant and return of a budget's lease at two heads: the lock, requests and grants, a frozen head.

Production code: the carrier of budgets, the locks at the witness, the lease holder, ledger and candidate.
Demand moves from one head to the other while datagrams arrive in any order.
"""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

from harriertrack.config.settings import FleetBudgetSettings
from harriertrack.decisions.fleet.budget_shares import BudgetShares
from harriertrack.decisions.fleet.budgets import BudgetTotal
from harriertrack.gateway.fleet.budgets import Budgets, rules_of
from harriertrack.gateway.parts import HeadParts
from harriertrack.lab.interleaving.observed import START
from harriertrack.lab.interleaving.scenarios.witness import WITNESS, witness_of
from harriertrack.lab.interleaving.world import Scenario, World
from harriertrack.membership.fleet.messages import Record, State
from harriertrack.membership.fleet.swim import Rules, Swim
from harriertrack.runtime.hub import Scope

NAMES = ("a", "b")
BUDGET, BUDGET_TOTAL = "limits/v", BudgetTotal(100.0, 20.0, 2, 0.1)
SETTINGS = FleetBudgetSettings(
    witness=(WITNESS, 8500), timeout_us=300_000, lease_us=400_000, ask_us=200_000, quick_us=100_000,
    round_us=50_000, clock_error=0.05, patience_us=100_000, term_us=1_000_000,
)  # fmt: skip
DEMAND_MOVES_US, UNTIL_US = 900_000, 1_500_000
DEMAND_US = 100_000
FREEZE_AT_US, FREEZE_US = DEMAND_MOVES_US - 20_000, 600_000  # longer than a lease


class _Head:
    """One head with its budget shares and carrier."""

    def __init__(self, world: World, name: str) -> None:
        hub = world.hub
        self._world, self.name = world, name
        self.budget_shares = BudgetShares(
            rules_of(SETTINGS), 1, name, 10 + NAMES.index(name), 2, {}, hub.now()
        )
        self.budgets: Budgets | None = None

    @property
    def busy(self) -> bool:
        """Whether this head has the demand: a has all of it at first, b later."""
        return (self._world.hub.now() < START + DEMAND_MOVES_US) == (self.name == NAMES[0])

    def run(self) -> None:
        """Run the head until the end of the scenario (a task)."""
        world, hub = self._world, self._world.hub
        with hub.scope(self.name) as scope:
            swim = Swim(Rules(fleet="f"), _member(self.name), (), 1)
            swim.start(hub.now())
            for other in NAMES:
                swim.view.apply(hub.now(), _member(other))
            port = world.posts.bind(
                ("x", 1 + NAMES.index(self.name)), lambda data, source: self._receive(data, source)
            )
            self.budgets = Budgets(self._parts(scope), SETTINGS, self.budget_shares, "f", swim, port.send,
                                   lambda _node, _number: None)  # fmt: skip
            self.budgets.start()
            scope.spawn("demand", self._demand)

    def _receive(self, data: bytes, source: tuple[str, int]) -> None:
        if self.budgets is not None:
            self.budgets.receive(data, source)

    def _parts(self, scope: Scope) -> HeadParts:
        world = self._world
        parts: Any = SimpleNamespace(hub=world.hub, network=world.network, scope=scope,
                                     note=lambda *_args, **_fields: None)  # fmt: skip
        return cast(HeadParts, parts)

    def _demand(self) -> None:
        hub, (holder,) = self._world.hub, self.budget_shares.holders
        while True:
            budget = holder.open(hub.now(), BUDGET, BUDGET_TOTAL)
            if self.busy:
                budget.record_demand(BUDGET_TOTAL.rate * DEMAND_US / 1e6)
            hub.sleep(DEMAND_US)

    def leased_share(self, now: int) -> float:
        """Return the leased share that the head may use now, beyond its fixed part."""
        (holder,) = self.budget_shares.holders
        held = holder.budgets.get(BUDGET)
        return held.share.leased if held is not None and holder.lease_valid(now) else 0.0

    def ledger_epoch(self, now: int) -> int:
        """Return the epoch of the term in which the head holds the ledger; 0: it does not."""
        if self.budgets is None:
            return 0
        candidate = self.budgets._locks[0].candidate
        return (
            candidate.ledger.term.epoch if candidate.holds_term(now) and candidate.ledger is not None else 0
        )


def _budgets(freezes: bool = False, may_be_killed: bool = False) -> Callable[[World], None]:
    def build(world: World) -> None:
        hub = world.hub
        witness_of(world)
        heads = [_Head(world, name) for name in NAMES]
        highest_shares = [0.0, 0.0]  # the largest share of each head so far

        for head in heads:
            world.spawn(head.name, "head", head.run)

        def freeze_a() -> None:
            hub.sleep_until(START + FREEZE_AT_US)
            hub.freeze("a", FREEZE_US)

        if freezes:
            world.spawn("machine", "a stands still", freeze_a)
            world.fault("b stands still", "b", lambda: hub.freeze("b", FREEZE_US))
        if may_be_killed:
            world.may_die("a")
            world.may_die("b")

        def judge(_view: object) -> str | None:
            now = hub.now()
            shares = [head.leased_share(now) if head.name not in world.dead else 0.0 for head in heads]
            highest_shares[:] = [max(pair) for pair in zip(highest_shares, shares, strict=True)]
            if sum(shares) > BUDGET_TOTAL.movable * (1 + 1e-9):
                return f"{sum(shares):.1f} of {BUDGET_TOTAL.movable:.1f} are in use: {shares}"
            ledger_holders = [
                head.name for head in heads if head.name not in world.dead and head.ledger_epoch(now)
            ]
            return f"{ledger_holders} keep the ledger at one time" if len(ledger_holders) > 1 else None

        def finish() -> str | None:
            if freezes or world.dead or min(highest_shares) > BUDGET_TOTAL.movable / 2:
                return None
            return f"the heads never had more than {highest_shares[0]:.1f} and {highest_shares[1]:.1f}"

        world.view = lambda: tuple(
            (round(head.leased_share(hub.now()), 6), head.ledger_epoch(hub.now())) for head in heads
        )
        world.judge, world.finish = judge, finish

    return build


def _member(name: str) -> Record:
    number = 1 + NAMES.index(name)
    return Record(name, 1, number, 0, State.ALIVE, "x", number)


SCENARIOS = (
    Scenario("budgets-return", "a budget's lease goes from one head to the other", _budgets(),
             until_us=UNTIL_US, most_steps=1500),
    Scenario("budgets-stands", "the same, and who has most stands still for longer than its lease",
             _budgets(freezes=True), until_us=UNTIL_US, most_steps=1500),
    Scenario("budgets-dies", "the same, and a head may be killed, the ledger's keeper too",
             _budgets(may_be_killed=True), until_us=UNTIL_US, most_steps=1500),
)  # fmt: skip
