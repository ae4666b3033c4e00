"""`harriertrack cells`: plan the assignment of racks and tenants to cells, put a map in force, show a map."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from harriertrack.cli.common import fail
from harriertrack.config import cells as maps
from harriertrack.config.sexp import SettingsError
from harriertrack.decisions.cells import (
    CellMap,
    Fleet,
    compute_change,
    find_violations,
    plan_greedily,
    rack_blast_radius,
    single_cell_map,
    tenant_blast_radius,
)
from harriertrack.planning import cells as planner, settings as planning_settings

EXIT_NO_PLAN = 1


@click.group()
def cells() -> None:
    """Plan, apply and show cells, which confine a tenant's failures to its nodes."""


def _load_fleet(path: str) -> Fleet:
    try:
        return planning_settings.load_fleet(path)
    except SettingsError as error:
        fail(str(error))


def _load_map(path: str) -> maps.CellMapSettings:
    try:
        return maps.read_map(path)
    except SettingsError as error:
        fail(str(error))


@cells.command("plan")
@click.argument("fleet", type=click.Path())
@click.option("--now", "current_map", type=click.Path(), help="The current map; default: an empty map.")
@click.option(
    "--out", type=click.Path(dir_okay=False), help="Write the new map to this file; default: nowhere."
)
@click.option("--seconds", type=click.FloatRange(0.1), default=30.0, show_default=True)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
def cells_plan(fleet: str, current_map: str | None, out: str | None, seconds: float, seed: int) -> None:
    """Find the map for FLEET that satisfies its rules and moves least. Exit code 1 if there is none."""
    fleet_plan = _load_fleet(fleet)
    before = maps.to_cell_map(_load_map(current_map)) if current_map else CellMap(0)
    planned = planner.plan(fleet_plan, before, seconds, seed)
    if planned.cells is None:
        click.echo(f"harriertrack: no plan: {planned.outcome.value}", err=True)
        for line in planned.reasons:
            click.echo(f"  {line}", err=True)
        sys.exit(EXIT_NO_PLAN)
    _print_change(fleet_plan, before, planned.cells)
    proven = "proven the least" if planned.outcome is planner.PlanOutcome.BEST else (
        f"at most {planned.optimality_gap:.1%} above the least")  # fmt: skip
    click.echo(f"cost {planned.cost} MiB, {proven}; by rules of thumb "
               f"{_greedy_plan_cost(fleet_plan, before)}")  # fmt: skip
    if out is None:
        click.echo("nothing was written; --out writes the map")
        return
    try:
        maps.save_map(out, planned.cells, {rack.name: rack.shards for rack in fleet_plan.racks})
    except OSError as error:
        fail(f"{out}: {error.strerror}")


def _greedy_plan_cost(fleet: Fleet, before: CellMap) -> str:
    greedy_plan = plan_greedily(fleet, before)
    broken = find_violations(fleet, greedy_plan)
    return f"{planner.movement_cost(fleet, before, greedy_plan)} MiB" + (
        f", with {len(broken)} rules broken" if broken else ""
    )


def _print_change(fleet: Fleet, before: CellMap, after: CellMap) -> None:
    change = compute_change(fleet, before, after)
    for kind, moves in (("tenant", change.tenants), ("rack", change.racks)):
        for name, old_cell, new_cell in moves:
            click.echo(f"{kind} {name}: {old_cell} to {new_cell}")
    click.echo(
        f"{len(change.tenants)} tenants with {change.moved_bytes >> 20} MiB "
        f"and {len(change.racks)} racks move"
    )
    for description, blast_radius in (
        ("one tenant touches", tenant_blast_radius),
        ("the loss of a rack touches", lambda cell_map: rack_blast_radius(fleet, cell_map)),
    ):
        click.echo(
            f"{description} at most {blast_radius(after):.1%} of the tenants; "
            f"without cells {blast_radius(single_cell_map(fleet)):.1%}"
        )


@cells.command("apply")
@click.argument("fleet", type=click.Path())
@click.argument("next_map", type=click.Path())
@click.argument("in_force", type=click.Path())
@click.option("--yes", is_flag=True, help="Write the map; without this option, only show what would move.")
def cells_apply(fleet: str, next_map: str, in_force: str, yes: bool) -> None:
    """Replace IN_FORCE, the file that heads follow, by NEXT_MAP. Exit code 1 if a rule forbids it."""
    fleet_plan, after = _load_fleet(fleet), maps.to_cell_map(_load_map(next_map))
    current = _load_map(in_force) if Path(in_force).exists() else maps.CellMapSettings(version=0)
    before = maps.to_cell_map(current)
    broken = find_violations(fleet_plan, after)
    if after.version <= before.version:
        broken.insert(0, f"version {after.version} is not newer than {before.version}, which is in force")
    if broken:
        for line in broken:
            click.echo(f"harriertrack: {line}", err=True)
        sys.exit(EXIT_NO_PLAN)
    _print_change(fleet_plan, before, after)
    if not yes:
        click.echo("nothing was written; --yes puts the map in force")
        return
    try:
        changes = (*current.changes, maps.record_map_change(after.version))
        maps.save_map(in_force, after, {rack.name: rack.shards for rack in fleet_plan.racks}, changes)
    except OSError as error:
        fail(f"{in_force}: {error.strerror}")


@cells.command("show")
@click.argument("fleet", type=click.Path())
@click.argument("cell_map", type=click.Path())
def cells_show(fleet: str, cell_map: str) -> None:
    """Show CELL_MAP for FLEET: each cell's racks, tenants and load. Exit code 1 if it violates a rule."""
    fleet_plan, current = _load_fleet(fleet), _load_map(cell_map)
    planned = maps.to_cell_map(current)
    click.echo(f"version {planned.version}")
    for change in current.changes:
        click.echo(f"  {change.version} put in force by {change.by} on {change.on} at {change.at}")
    for cell in fleet_plan.rules.names():
        racks = [rack for rack in fleet_plan.racks if planned.racks.get(rack.name) == cell]
        tenants = [tenant for tenant in fleet_plan.tenants if planned.tenants.get(tenant.name) == cell]
        click.echo(f"{cell}: {len(racks)} racks, {sum(len(rack.nodes) for rack in racks)} nodes, "
                   f"{len(tenants)} tenants")  # fmt: skip
        for region in fleet_plan.regions:
            units = sum(rack.units for rack in racks if rack.region == region)
            load = sum(tenant.load for tenant in tenants if region in tenant.regions)
            reserve = sum(tenant.reserve for tenant in tenants if region in tenant.regions)
            click.echo(f"  {region}: {units:g} units a second, load {load:g}, reserves {reserve:g}")
    broken = find_violations(fleet_plan, planned)
    for line in broken:
        click.echo(line)
    sys.exit(EXIT_NO_PLAN if broken else 0)
