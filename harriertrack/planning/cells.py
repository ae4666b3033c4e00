"""The cell planner: the map that keeps to the rules and moves least, by CP-SAT (OR-Tools).

Racks and tenants each get one cell. What is minimised is what moves: a tenant's bytes, and for a rack a fixed
price, for its nodes' contents leave with it. A plan that can't be is explained by the least set of rules that
rule it out together; a search that runs out of time tells the best found and how far it may be from the best.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ortools.sat.python import cp_model

from harriertrack.decisions.cells import (
    CellMap,
    Fleet,
    Tenant,
    compute_change,
    find_infeasibilities,
    find_violations,
    plan_greedily,
)

SCALE = 1000  # units a second as whole numbers
RACK_PRICE = 64 << 30  # a rack that changes its cell counts as so many bytes moved
GRAIN = 1 << 20  # bytes are counted in MiB


class PlanOutcome(Enum):
    """What came of planning."""

    BEST = "best"
    FOUND = "found"  # a map, which may not be the best
    INFEASIBLE = "impossible"
    TIMED_OUT = "nothing yet"  # the time was up before a map was found


@dataclass(frozen=True, slots=True)
class PlanResult:
    """A plan, or why there is none."""

    outcome: PlanOutcome
    cells: CellMap | None = None
    cost: int = 0  # MiB moved, racks at their price
    bound: int = 0  # no map costs less
    reasons: tuple[str, ...] = ()

    @property
    def optimality_gap(self) -> float:
        """Return how far the cost may be from the best, as a part of the cost."""
        return (self.cost - self.bound) / self.cost if self.cost else 0.0


class _Search:
    """The model of one fleet."""

    def __init__(self, fleet: Fleet, before: CellMap) -> None:
        self.fleet, self.before = fleet, before
        self.model = cp_model.CpModel()
        self.names = fleet.rules.names()
        self.racks = {
            (rack.name, cell): self.model.new_bool_var(f"{rack.name}@{cell}")
            for rack in fleet.racks for cell in self.names
        }  # fmt: skip
        self.tenants = {
            (one.name, cell): self.model.new_bool_var(f"{one.name}@{cell}")
            for one in fleet.tenants for cell in self.names
        }  # fmt: skip
        for rack in fleet.racks:
            self.model.add_exactly_one(self.racks[rack.name, cell] for cell in self.names)
        for one in fleet.tenants:
            self.model.add_exactly_one(self.tenants[one.name, cell] for cell in self.names)
        # Each kind of rule hangs on a switch, so that an impossible plan names the kinds that rule it out.
        self.switches: list[tuple[cp_model.IntVar, str]] = []
        for region in fleet.regions:
            self._region(region)
        self._blast_radius()
        self.cost = self._movement()

    def _switch(self, words: str) -> cp_model.IntVar:
        switch = self.model.new_bool_var(words)
        self.switches.append((switch, words))
        return switch

    def _region(self, region: str) -> None:
        fleet, rules, model = self.fleet, self.fleet.rules, self.model
        racks = [rack for rack in fleet.racks if rack.region == region]
        tenants = [one for one in fleet.tenants if region in one.regions]
        capacity = self._switch(
            f"capacity in {region}: no more than {rules.headroom:g} of a cell's units loaded"
        )
        reserves = self._switch(f"reserves in {region}: kept without a cell's largest rack, within "
                                f"{rules.reserved:g} of what is left")  # fmt: skip
        spread = self._switch(f"racks in {region}: at least {rules.racks} in a cell with tenants there")
        largest = round(SCALE * max((rack.units for rack in racks), default=0.0))
        units_of = [round(SCALE * rack.units) for rack in racks]
        loads, kept = ([round(SCALE * getattr(one, what)) for one in tenants] for what in ("load", "reserve"))
        for cell in self.names:
            here = [self.racks[rack.name, cell] for rack in racks]
            held = [self.tenants[one.name, cell] for one in tenants]
            units = cp_model.LinearExpr.weighted_sum(here, units_of)
            load = cp_model.LinearExpr.weighted_sum(held, loads)
            reserve = cp_model.LinearExpr.weighted_sum(held, kept)
            model.add(1000 * load <= round(1000 * rules.headroom) * units).only_enforce_if(capacity)
            used = model.new_bool_var(f"{cell} used in {region}")
            for one in held:
                model.add_implication(one, used)
            model.add(cp_model.LinearExpr.sum(here) >= rules.racks).only_enforce_if([spread, used])
            most = model.new_int_var(0, largest, f"largest rack of {cell} in {region}")
            for variable, its in zip(here, units_of, strict=True):
                model.add(most >= its).only_enforce_if(variable)
            part = round(1000 * rules.reserved)
            model.add(1000 * reserve <= part * units - part * most).only_enforce_if([reserves, used])

    def _blast_radius(self) -> None:
        large: tuple[Tenant, ...] = self.fleet.large()
        switch = self._switch("blast radius: no two large tenants in one cell")
        most = self.fleet.rules.most_tenants(len(self.fleet.tenants))
        even = self._switch(f"blast radius: no more than {most} tenants in one cell")
        for cell in self.names:
            held = cp_model.LinearExpr.sum([self.tenants[one.name, cell] for one in self.fleet.tenants])
            self.model.add(held <= most).only_enforce_if(even)
            if len(large) > 1:
                both = cp_model.LinearExpr.sum([self.tenants[one.name, cell] for one in large])
                self.model.add(both <= 1).only_enforce_if(switch)

    def _movement(self) -> cp_model.LinearExprT:
        moved: list[cp_model.LinearExprT] = []
        prices: list[int] = []
        for one in self.fleet.tenants:
            kept = self.tenants.get((one.name, self.before.tenants.get(one.name, "")))
            if kept is not None:
                moved.append(kept.negated())
                prices.append(max(1, one.size_bytes // GRAIN))
        for rack in self.fleet.racks:
            kept = self.racks.get((rack.name, self.before.racks.get(rack.name, "")))
            if kept is not None:
                moved.append(kept.negated())
                prices.append(RACK_PRICE // GRAIN)
        return cp_model.LinearExpr.weighted_sum(moved, prices)

    def hint(self, cells: CellMap) -> None:
        """Begin the search from a map, whether or not it keeps to the rules."""
        for placed, variables in ((cells.racks, self.racks), (cells.tenants, self.tenants)):
            for (name, cell), variable in variables.items():
                self.model.add_hint(variable, placed.get(name) == cell)

    def read(self, solver: cp_model.CpSolver) -> CellMap:
        """Return the map that was found."""
        return CellMap(
            self.before.version + 1,
            {name: cell for (name, cell), one in self.racks.items() if solver.boolean_value(one)},
            {name: cell for (name, cell), one in self.tenants.items() if solver.boolean_value(one)},
        )


def _solver(seconds: float, seed: int, workers: int) -> cp_model.CpSolver:
    solver = cp_model.CpSolver()
    solver.parameters.max_time_in_seconds = seconds
    solver.parameters.random_seed = seed
    solver.parameters.num_workers = workers
    return solver


def plan(fleet: Fleet, before: CellMap, seconds: float = 30.0, seed: int = 1, workers: int = 8) -> PlanResult:
    """Find the map that keeps to the rules and moves least from `before`, within a time.

    With one worker the search is the same each time, as long as the time is not what ends it.
    """
    if why := find_infeasibilities(fleet):
        return PlanResult(PlanOutcome.INFEASIBLE, reasons=tuple(why))
    search = _Search(fleet, before)
    for switch, _ in search.switches:
        search.model.add(switch == 1)
    search.model.minimize(search.cost)
    start = before if not find_violations(fleet, before) else plan_greedily(fleet, before)
    search.hint(start)
    solver = _solver(seconds, seed, workers)
    status = solver.solve(search.model)
    if status == cp_model.INFEASIBLE:
        return PlanResult(PlanOutcome.INFEASIBLE, reasons=explain(fleet, before, seconds, seed))
    if status not in (cp_model.OPTIMAL, cp_model.FEASIBLE):
        if not find_violations(fleet, start):  # the time went before the search had even looked at its hint
            kept = CellMap(before.version + 1, start.racks, start.tenants)
            bound = max(0, round(solver.best_objective_bound))
            return PlanResult(PlanOutcome.FOUND, kept, movement_cost(fleet, before, kept), bound)
        return PlanResult(PlanOutcome.TIMED_OUT, reasons=(f"no map was found in {seconds:g} s",))
    cells = search.read(solver)
    if broken := find_violations(fleet, cells):  # the solver's whole numbers against the rules themselves
        raise RuntimeError(f"the planner's map breaks a rule: {broken[0]}")
    outcome = PlanOutcome.BEST if status == cp_model.OPTIMAL else PlanOutcome.FOUND
    return PlanResult(outcome, cells, round(solver.objective_value), round(solver.best_objective_bound))


def explain(fleet: Fleet, before: CellMap, seconds: float = 30.0, seed: int = 1) -> tuple[str, ...]:
    """Return the kinds of rules that rule every map out together: without any of them there would be one."""
    search = _Search(fleet, before)
    needed = search.switches

    def possible(kinds: list[tuple[cp_model.IntVar, str]]) -> bool:
        search.model.clear_assumptions()
        search.model.add_assumptions([switch for switch, _ in kinds])
        return _solver(seconds, seed, 1).solve(search.model) != cp_model.INFEASIBLE

    for kind in search.switches:
        fewer = [one for one in needed if one is not kind]
        if not possible(fewer):
            needed = fewer
    return tuple(words for _, words in needed)


def movement_cost(fleet: Fleet, before: CellMap, after: CellMap) -> int:
    """Return what a change costs as the planner counts it: MiB moved, racks at their price."""
    moved = compute_change(fleet, before, after)
    sizes = {one.name: max(1, one.size_bytes // GRAIN) for one in fleet.tenants}
    return sum(sizes[name] for name, _, _ in moved.tenants) + len(moved.racks) * (RACK_PRICE // GRAIN)
