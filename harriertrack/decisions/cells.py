"""Cells: which racks and tenants belong together, the rules of such a map, and what a change of it moves.

A tenant's faults and overload stay in its cell. A cell is made of entire racks, because repeats of keyed
writes are dropped by rack: a rack in two cells would drop them for both or for neither. A map has a version;
maps are compared, never merged.

Pure: a good map is found by `planning/cells.py` (a solver) or `plan_greedily` here (the baseline); both are
checked by the same `find_violations`.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

TOLERANCE = 1e-6


@dataclass(frozen=True, slots=True)
class Rack:
    """A rack: its region, its nodes, and their total capacity in units a second."""

    name: str
    region: str
    nodes: tuple[str, ...]
    units: float
    shards: tuple[int, ...] = ()  # the shards whose data its nodes hold


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant: load and reserve in units a second, the bytes that a move copies, the regions of its data."""

    name: str
    load: float
    reserve: float
    size_bytes: int
    regions: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CellRules:
    """The rules for every cell, in each of its regions."""

    cells: int
    headroom: float = 0.7  # fraction of its capacity that expected load may use
    reserved: float = 0.6  # fraction of its capacity, without its largest rack, that reserves may use
    racks: int = 2  # the minimum in each region in which it has tenants
    large: float = 0.3  # of an equal cell's capacity: from there a tenant is large; a cell has at most one

    crowd: float = 1.5  # a cell holds at most this many times an equal share of all tenants, rounded up

    def most_tenants(self, tenants: int) -> int:
        """Return the most tenants that one cell may hold, of `tenants` in total."""
        return math.ceil(self.crowd * tenants / self.cells - TOLERANCE)

    def names(self) -> tuple[str, ...]:
        """Return the cells' names."""
        return tuple(f"cell{number}" for number in range(self.cells))


@dataclass(frozen=True, slots=True)
class Fleet:
    """The racks and tenants to divide into cells, and the rules."""

    racks: tuple[Rack, ...]
    tenants: tuple[Tenant, ...]
    rules: CellRules

    @property
    def regions(self) -> tuple[str, ...]:
        """Return the regions, in order."""
        return tuple(sorted({rack.region for rack in self.racks}))

    def capacity(self, region: str) -> float:
        """Return the total capacity of a region's racks."""
        return sum(rack.units for rack in self.racks if rack.region == region)

    def large(self) -> tuple[Tenant, ...]:
        """Return the large tenants: measured by an equal cell's capacity in the region that has least."""
        rules = self.rules
        even = {region: self.capacity(region) / rules.cells for region in self.regions}
        return tuple(
            one for one in self.tenants
            if any(one.load >= rules.large * even.get(region, 0.0) for region in one.regions)
        )  # fmt: skip


@dataclass(frozen=True, slots=True)
class CellMap:
    """The cell of each rack and tenant; a later version replaces an earlier one completely."""

    version: int
    racks: Mapping[str, str] = field(default_factory=dict)
    tenants: Mapping[str, str] = field(default_factory=dict)

    def nodes_of(self, fleet: Fleet, tenant: str) -> frozenset[str]:
        """Return the nodes that may serve a tenant; none if it is not in the map."""
        cell = self.tenants.get(tenant)
        mine = (rack for rack in fleet.racks if cell is not None and self.racks.get(rack.name) == cell)
        return frozenset(node for rack in mine for node in rack.nodes)


@dataclass(frozen=True, slots=True)
class MapChange:
    """What moves between one map and the next."""

    tenants: tuple[tuple[str, str, str], ...]  # name, from, to
    racks: tuple[tuple[str, str, str], ...]
    moved_bytes: int


def compute_change(fleet: Fleet, before: CellMap, after: CellMap) -> MapChange:
    """Return what a new map moves; what was not in the old one is placed, not moved."""
    sizes = {tenant.name: tenant.size_bytes for tenant in fleet.tenants}

    def moves(old: Mapping[str, str], new: Mapping[str, str]) -> tuple[tuple[str, str, str], ...]:
        return tuple((name, old[name], to) for name, to in sorted(new.items()) if old.get(name, to) != to)

    tenants = moves(before.tenants, after.tenants)
    return MapChange(tenants, moves(before.racks, after.racks), sum(sizes[name] for name, _, _ in tenants))


def find_violations(fleet: Fleet, cells: CellMap) -> list[str]:
    """Return a message for each rule that a map breaks; none if it is valid."""
    rules, names = fleet.rules, set(fleet.rules.names())
    found: list[str] = []
    for what, known, placed in (
        ("rack", {rack.name for rack in fleet.racks}, cells.racks),
        ("tenant", {tenant.name for tenant in fleet.tenants}, cells.tenants),
    ):
        found.extend(f"{what} {name} is in no cell" for name in sorted(known - placed.keys()))
        found.extend(f"{what} {name} is not part of this fleet" for name in sorted(placed.keys() - known))
        found.extend(f"{what} {name} is in {cell}, which does not exist"
                     for name, cell in sorted(placed.items()) if cell not in names)  # fmt: skip
    racks: dict[tuple[str, str], list[Rack]] = defaultdict(list)
    for rack in fleet.racks:
        racks[cells.racks.get(rack.name, ""), rack.region].append(rack)
    tenants: dict[tuple[str, str], list[Tenant]] = defaultdict(list)
    for tenant in fleet.tenants:
        for region in tenant.regions:
            tenants[cells.tenants.get(tenant.name, ""), region].append(tenant)
    for cell in rules.names():
        for region in fleet.regions:
            found.extend(
                _cell_violations(rules, f"{cell} in {region}", racks[cell, region], tenants[cell, region])
            )
        count = sum(one == cell for one in cells.tenants.values())
        most = rules.most_tenants(len(fleet.tenants))
        if count > most:
            found.append(f"{cell}: {count} tenants; at most {most} may share a cell")
        big = [one.name for one in fleet.large() if cells.tenants.get(one.name) == cell]
        if len(big) > 1:
            found.append(f"{cell}: the large tenants {', '.join(sorted(big))} would share all its nodes")
    return found


def _cell_violations(rules: CellRules, where: str, racks: list[Rack], tenants: list[Tenant]) -> Iterable[str]:
    if not tenants:
        return
    units = sum(rack.units for rack in racks)
    load, reserve = sum(one.load for one in tenants), sum(one.reserve for one in tenants)
    if len(racks) < rules.racks:
        yield f"{where}: {len(racks)} racks, but {rules.racks} are needed"
    if load > rules.headroom * units + TOLERANCE:
        yield f"{where}: load {load:g} exceeds {rules.headroom:g} of {units:g} units a second"
    left = units - max((rack.units for rack in racks), default=0.0)
    if reserve > rules.reserved * left + TOLERANCE:
        yield f"{where}: reserves of {reserve:g} exceed {rules.reserved:g} of {left:g}, the units less a rack"


def find_infeasibilities(fleet: Fleet) -> list[str]:
    """Return a message for each obvious reason, found without a search, why no valid map exists."""
    rules, found = fleet.rules, []
    for region in fleet.regions:
        mine = [one for one in fleet.tenants if region in one.regions]
        racks = [rack.units for rack in fleet.racks if rack.region == region]
        units, load = sum(racks), sum(one.load for one in mine)
        usable = rules.headroom * units
        if load > usable + TOLERANCE:
            found.append(f"capacity in {region}: load {load:g}, but only {usable:g} of {units:g} may be used")
        if mine and len(racks) < rules.racks:
            found.append(f"racks in {region}: {len(racks)}, but a cell needs {rules.racks}")
        reserve = sum(one.reserve for one in mine)
        guaranteed = rules.reserved * (units - max(racks, default=0.0))
        if reserve > guaranteed + TOLERANCE:
            found.append(
                f"reserves in {region}: {reserve:g}, but only {guaranteed:g} can be guaranteed without a rack"
            )
    unknown = sorted({region for one in fleet.tenants for region in one.regions} - set(fleet.regions))
    found.extend(f"region {region}: tenants need it, but it has no rack" for region in unknown)
    large = fleet.large()
    if len(large) > rules.cells:
        found.append(f"blast radius: {len(large)} large tenants, but only {rules.cells} cells")
    return found


def tenant_blast_radius(cells: CellMap) -> float:
    """Return the largest fraction of all tenants that share nodes with one tenant, itself included."""
    counts: dict[str, int] = defaultdict(int)
    for cell in cells.tenants.values():
        counts[cell] += 1
    return max(counts.values(), default=0) / max(1, len(cells.tenants))


def rack_blast_radius(fleet: Fleet, cells: CellMap) -> float:
    """Return the largest fraction of all tenants that depend on one rack through their cell."""
    return max((sum(cell == cells.racks.get(rack.name) for cell in cells.tenants.values())
                for rack in fleet.racks), default=0) / max(1, len(cells.tenants))  # fmt: skip


def single_cell_map(fleet: Fleet) -> CellMap:
    """Return the map with everything in one cell."""
    return CellMap(
        0, {rack.name: "cell0" for rack in fleet.racks}, {one.name: "cell0" for one in fleet.tenants}
    )


def plan_greedily(fleet: Fleet, before: CellMap) -> CellMap:
    """Divide by heuristics: what is placed stays, racks go to the smallest cell, tenants are placed by size.

    The baseline for the planner. Its map may break rules: see `find_violations`.
    """
    rules, names = fleet.rules, fleet.rules.names()
    racks = {name: cell for name, cell in before.racks.items() if cell in names}
    units: dict[tuple[str, str], float] = defaultdict(float)
    for rack in fleet.racks:
        if rack.name in racks:
            units[racks[rack.name], rack.region] += rack.units
    for rack in sorted(fleet.racks, key=lambda one: (-one.units, one.name)):
        if rack.name not in racks:
            smallest = min(names, key=lambda cell: (units[cell, rack.region], cell))
            racks[rack.name] = smallest
            units[smallest, rack.region] += rack.units
    loads: dict[tuple[str, str], float] = defaultdict(float)
    large = {one.name for one in fleet.large()}
    holds_large: set[str] = set()
    counts: dict[str, int] = defaultdict(int)
    most = rules.most_tenants(len(fleet.tenants))
    tenants: dict[str, str] = {}

    def fits(one: Tenant, cell: str) -> bool:
        if counts[cell] >= most or (one.name in large and cell in holds_large):
            return False
        return all(
            loads[cell, region] + one.load <= rules.headroom * units[cell, region] for region in one.regions
        )

    def utilisation(one: Tenant, cell: str) -> float:
        return max(
            (loads[cell, region] + one.load) / max(units[cell, region], 1e-9) for region in one.regions
        )

    for one in sorted(fleet.tenants, key=lambda one: (-one.load, one.name)):
        current = before.tenants.get(one.name)
        if current in names and current is not None and fits(one, current):
            cell = current
        else:
            cell = min(names, key=lambda name: (not fits(one, name), utilisation(one, name), name))
        tenants[one.name] = cell
        counts[cell] += 1
        holds_large |= {cell} if one.name in large else set()
        for region in one.regions:
            loads[cell, region] += one.load
    return CellMap(before.version + 1, racks, tenants)
