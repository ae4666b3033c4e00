"""The cell planner: finds the map that satisfies the rules and moves least, with CP-SAT (OR-Tools).

Each rack and each tenant is assigned to one cell. The cost is the amount of data that moves: a tenant's
bytes, and a fixed cost for a rack, because its nodes' contents move with it. An infeasible plan is explained
by a minimal set of kinds of rules that conflict. A search that runs out of time returns the best map found
and a bound on its distance from the optimum.
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

UNIT_SCALE = 1000  # units a second are scaled to integers, which CP-SAT needs
RACK_MOVE_BYTES = 64 << 30  # a rack that changes its cell counts as this many bytes moved
COST_UNIT_BYTES = 1 << 20  # costs are in MiB


class PlanOutcome(Enum):
    """The outcome of planning."""

    BEST = "best"  # proven optimal
    FOUND = "found"  # a feasible map, not proven optimal
    INFEASIBLE = "impossible"
    TIMED_OUT = "nothing yet"  # the time limit expired before a map was found


@dataclass(frozen=True, slots=True)
class PlanResult:
    """A plan, or the reasons why there is none."""

    outcome: PlanOutcome
    cells: CellMap | None = None
    cost: int = 0  # MiB moved, with RACK_MOVE_BYTES for each rack
    bound: int = 0  # lower bound on the cost of any map
    reasons: tuple[str, ...] = ()

    @property
    def optimality_gap(self) -> float:
        """Return how far the cost may be above the optimum, as a fraction of the cost."""
        return (self.cost - self.bound) / self.cost if self.cost else 0.0


class _CellModel:
    """The constraint model of one fleet."""

    def __init__(self, fleet: Fleet, before: CellMap) -> None:
        self.fleet, self.before = fleet, before
        self.model = cp_model.CpModel()
        self.cells = fleet.rules.names()
        self.racks = {
            (rack.name, cell): self.model.new_bool_var(f"{rack.name}@{cell}")
            for rack in fleet.racks for cell in self.cells
        }  # fmt: skip
        self.tenants = {
            (one.name, cell): self.model.new_bool_var(f"{one.name}@{cell}")
            for one in fleet.tenants for cell in self.cells
        }  # fmt: skip
        for rack in fleet.racks:
            self.model.add_exactly_one(self.racks[rack.name, cell] for cell in self.cells)
        for one in fleet.tenants:
            self.model.add_exactly_one(self.tenants[one.name, cell] for cell in self.cells)
        # A literal enforces each kind of rule, so that an infeasible plan names the kinds that conflict.
        self.rule_literals: list[tuple[cp_model.IntVar, str]] = []
        for region in fleet.regions:
            self._add_region_rules(region)
        self._add_blast_radius_rules()
        self.cost = self._movement_cost()

    def _rule_literal(self, description: str) -> cp_model.IntVar:
        literal = self.model.new_bool_var(description)
        self.rule_literals.append((literal, description))
        return literal

    def _add_region_rules(self, region: str) -> None:
        fleet, rules, model = self.fleet, self.fleet.rules, self.model
        racks = [rack for rack in fleet.racks if rack.region == region]
        tenants = [one for one in fleet.tenants if region in one.regions]
        capacity_rule = self._rule_literal(
            f"capacity in {region}: no more than {rules.headroom:g} of a cell's units loaded"
        )
        reserve_rule = self._rule_literal(
            f"reserves in {region}: kept without a cell's largest rack, within "
            f"{rules.reserved:g} of what is left"
        )
        rack_count_rule = self._rule_literal(
            f"racks in {region}: at least {rules.racks} in a cell with tenants there"
        )
        max_units = round(UNIT_SCALE * max((rack.units for rack in racks), default=0.0))
        units_of = [round(UNIT_SCALE * rack.units) for rack in racks]
        loads, reserves = (
            [round(UNIT_SCALE * getattr(one, what)) for one in tenants] for what in ("load", "reserve")
        )
        for cell in self.cells:
            racks_here = [self.racks[rack.name, cell] for rack in racks]
            tenants_here = [self.tenants[one.name, cell] for one in tenants]
            units = cp_model.LinearExpr.weighted_sum(racks_here, units_of)
            load = cp_model.LinearExpr.weighted_sum(tenants_here, loads)
            reserve = cp_model.LinearExpr.weighted_sum(tenants_here, reserves)
            model.add(1000 * load <= round(1000 * rules.headroom) * units).only_enforce_if(capacity_rule)
            used = model.new_bool_var(f"{cell} used in {region}")
            for one in tenants_here:
                model.add_implication(one, used)
            model.add(cp_model.LinearExpr.sum(racks_here) >= rules.racks).only_enforce_if(
                [rack_count_rule, used]
            )
            largest = model.new_int_var(0, max_units, f"largest rack of {cell} in {region}")
            for is_here, rack_units in zip(racks_here, units_of, strict=True):
                model.add(largest >= rack_units).only_enforce_if(is_here)
            permille = round(1000 * rules.reserved)
            model.add(1000 * reserve <= permille * units - permille * largest).only_enforce_if(
                [reserve_rule, used]
            )

    def _add_blast_radius_rules(self) -> None:
        large: tuple[Tenant, ...] = self.fleet.large()
        large_rule = self._rule_literal("blast radius: no two large tenants in one cell")
        max_tenants = self.fleet.rules.most_tenants(len(self.fleet.tenants))
        count_rule = self._rule_literal(f"blast radius: no more than {max_tenants} tenants in one cell")
        for cell in self.cells:
            tenants_here = cp_model.LinearExpr.sum(
                [self.tenants[one.name, cell] for one in self.fleet.tenants]
            )
            self.model.add(tenants_here <= max_tenants).only_enforce_if(count_rule)
            if len(large) > 1:
                large_here = cp_model.LinearExpr.sum([self.tenants[one.name, cell] for one in large])
                self.model.add(large_here <= 1).only_enforce_if(large_rule)

    def _movement_cost(self) -> cp_model.LinearExprT:
        moved: list[cp_model.LinearExprT] = []
        costs: list[int] = []
        for one in self.fleet.tenants:
            stays = self.tenants.get((one.name, self.before.tenants.get(one.name, "")))
            if stays is not None:
                moved.append(stays.negated())
                costs.append(max(1, one.size_bytes // COST_UNIT_BYTES))
        for rack in self.fleet.racks:
            stays = self.racks.get((rack.name, self.before.racks.get(rack.name, "")))
            if stays is not None:
                moved.append(stays.negated())
                costs.append(RACK_MOVE_BYTES // COST_UNIT_BYTES)
        return cp_model.LinearExpr.weighted_sum(moved, costs)

    def add_hint(self, cells: CellMap) -> None:
        """Start the search from a map, whether or not it satisfies the rules."""
        for assignment, variables in ((cells.racks, self.racks), (cells.tenants, self.tenants)):
            for (name, cell), variable in variables.items():
                self.model.add_hint(variable, assignment.get(name) == cell)

    def solution(self, solver: cp_model.CpSolver) -> CellMap:
        """Return the map that the solver found."""
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
    """Find the map that satisfies the rules and moves least from `before`, within a time limit.

    With one worker the search is deterministic, unless the time limit ends it.
    """
    if reasons := find_infeasibilities(fleet):
        return PlanResult(PlanOutcome.INFEASIBLE, reasons=tuple(reasons))
    cell_model = _CellModel(fleet, before)
    for literal, _ in cell_model.rule_literals:
        cell_model.model.add(literal == 1)
    cell_model.model.minimize(cell_model.cost)
    start = before if not find_violations(fleet, before) else plan_greedily(fleet, before)
    cell_model.add_hint(start)
    solver = _solver(seconds, seed, workers)
    status = solver.solve(cell_model.model)
    if status == cp_model.INFEASIBLE:
        return PlanResult(PlanOutcome.INFEASIBLE, reasons=explain(fleet, before, seconds, seed))
    if status not in (cp_model.OPTIMAL, cp_model.FEASIBLE):
        if not find_violations(fleet, start):  # the time limit expired before the search used its hint
            hint = CellMap(before.version + 1, start.racks, start.tenants)
            bound = max(0, round(solver.best_objective_bound))
            return PlanResult(PlanOutcome.FOUND, hint, movement_cost(fleet, before, hint), bound)
        return PlanResult(PlanOutcome.TIMED_OUT, reasons=(f"no map was found in {seconds:g} s",))
    cells = cell_model.solution(solver)
    if violations := find_violations(fleet, cells):  # the solver used rounded numbers
        raise RuntimeError(f"the planner's map breaks a rule: {violations[0]}")
    outcome = PlanOutcome.BEST if status == cp_model.OPTIMAL else PlanOutcome.FOUND
    return PlanResult(outcome, cells, round(solver.objective_value), round(solver.best_objective_bound))


def explain(fleet: Fleet, before: CellMap, seconds: float = 30.0, seed: int = 1) -> tuple[str, ...]:
    """Return a minimal set of kinds of rules that conflict: without any one of them there would be a map."""
    cell_model = _CellModel(fleet, before)
    needed = cell_model.rule_literals

    def is_feasible(kinds: list[tuple[cp_model.IntVar, str]]) -> bool:
        cell_model.model.clear_assumptions()
        cell_model.model.add_assumptions([literal for literal, _ in kinds])
        return _solver(seconds, seed, 1).solve(cell_model.model) != cp_model.INFEASIBLE

    for kind in cell_model.rule_literals:
        fewer = [one for one in needed if one is not kind]
        if not is_feasible(fewer):
            needed = fewer
    return tuple(description for _, description in needed)


def movement_cost(fleet: Fleet, before: CellMap, after: CellMap) -> int:
    """Return the cost of a change as the planner computes it: MiB moved, RACK_MOVE_BYTES for each rack."""
    moved = compute_change(fleet, before, after)
    sizes = {one.name: max(1, one.size_bytes // COST_UNIT_BYTES) for one in fleet.tenants}
    return sum(sizes[name] for name, _, _ in moved.tenants) + len(moved.racks) * (
        RACK_MOVE_BYTES // COST_UNIT_BYTES
    )
