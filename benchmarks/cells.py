"""The cell planner on fleets of 40, 300 and 2,000 nodes: time, distance from the best, movement.

    python -m benchmarks.cells [SECONDS]

Each fleet is planned, then changes: a tenth of its tenants double their load, one rack in twenty goes. The
new plan is set beside the rules of thumb (`plan_greedily`). Prints a table.
"""

from __future__ import annotations

import random
import sys
import time
from dataclasses import replace

from harriertrack.decisions.cells import (
    CellMap,
    CellRules,
    Fleet,
    Rack,
    Tenant,
    compute_change,
    find_violations,
    plan_greedily,
    rack_blast_radius,
    tenant_blast_radius,
)
from harriertrack.planning.cells import movement_cost, plan

LOAD = 0.42  # of the poorer region's capacity


def fleet_of(nodes: int, seed: int) -> Fleet:
    """Draw a fleet of two regions with racks of four to six nodes and tenants of very unequal size."""
    rng = random.Random(seed)
    racks: list[Rack] = []
    placed = 0
    while placed < nodes:
        count = min(nodes - placed, rng.randint(4, 6))
        names = tuple(f"node{placed + number}" for number in range(count))
        racks.append(Rack(f"rack{len(racks)}", "ab"[len(racks) % 2], names, count * rng.uniform(400, 600)))
        placed += count
    capacity = min(sum(rack.units for rack in racks if rack.region == region) for region in "ab")
    cells = max(2, len(racks) // 8)
    parts = [rng.paretovariate(1.3) for _ in range(nodes)]
    parts = [min(part, 0.25 * sum(parts) / cells) for part in parts]
    whole = sum(parts)
    tenants = tuple(
        Tenant(f"tenant{number}", LOAD * capacity * part / whole, 0.5 * LOAD * capacity * part / whole,
               int(part * (4 << 30)), ("a", "b") if rng.random() < 0.6 else (rng.choice("ab"),))
        for number, part in enumerate(parts)
    )  # fmt: skip
    return Fleet(tuple(racks), tenants, CellRules(cells))


def changed(fleet: Fleet, seed: int) -> Fleet:
    """Return the fleet after a while: some tenants grew, some racks are gone."""
    rng = random.Random(seed + 1)
    grown = {one.name for one in rng.sample(fleet.tenants, max(1, len(fleet.tenants) // 10))}
    tenants = tuple(replace(one, load=2 * one.load) if one.name in grown else one for one in fleet.tenants)
    gone = {rack.name for rack in rng.sample(fleet.racks, max(1, len(fleet.racks) // 20))}
    return Fleet(tuple(rack for rack in fleet.racks if rack.name not in gone), tenants, fleet.rules)


def main(seconds: float) -> None:
    """Plan all sizes and print one row each."""
    print("| nodes | racks | cells | tenants | what | s | outcome | distance | tenants moved | racks moved | "
          "cost GiB | rules broken | one tenant touches | a rack touches |")  # fmt: skip
    print("| --- " * 14 + "|")
    for nodes in (40, 300, 2000):
        fleet = fleet_of(nodes, 3)
        began = time.perf_counter()
        first = plan(fleet, CellMap(0), seconds)
        _row(
            fleet,
            "first",
            time.perf_counter() - began,
            first.outcome.value,
            first.optimality_gap,
            CellMap(0),
            first.cells,
        )
        if first.cells is None:
            continue
        later = changed(fleet, 3)
        known = {rack.name for rack in later.racks}
        kept = {name: cell for name, cell in first.cells.racks.items() if name in known}
        before = CellMap(first.cells.version, kept, first.cells.tenants)
        began = time.perf_counter()
        again = plan(later, before, seconds)
        _row(
            later,
            "after changes",
            time.perf_counter() - began,
            again.outcome.value,
            again.optimality_gap,
            before,
            again.cells,
        )
        began = time.perf_counter()
        thumb = plan_greedily(later, before)
        _row(later, "rules of thumb", time.perf_counter() - began, "", 0.0, before, thumb)


def _row(fleet: Fleet, what: str, took: float, outcome: str, distance: float, before: CellMap,
         after: CellMap | None) -> None:  # fmt: skip
    nodes = sum(len(rack.nodes) for rack in fleet.racks)
    start = f"| {nodes} | {len(fleet.racks)} | {fleet.rules.cells} | {len(fleet.tenants)} | "
    start += f"{what} | {took:.1f} | {outcome} |"
    if after is None:
        print(start + " |" * 7, flush=True)
        return
    moved = compute_change(fleet, before, after)
    print(f"{start} {distance:.1%} | {len(moved.tenants)} | {len(moved.racks)} | "
          f"{movement_cost(fleet, before, after) / 1024:.0f} | {len(find_violations(fleet, after))} | "
          f"{tenant_blast_radius(after):.1%} | {rack_blast_radius(fleet, after):.1%} |",
          flush=True)  # fmt: skip


if __name__ == "__main__":
    main(float(sys.argv[1]) if len(sys.argv) > 1 else 60.0)
