"""`harriertrack cells`: plan which racks and tenants belong together, and show a map."""

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
from harriertrack.planning import cells as planner, settings as files

EXIT_NO_PLAN = 1


@click.group()
def cells() -> None:
    """Cells: trouble of a tenant stays among its own nodes."""


def _fleet(path: str) -> Fleet:
    try:
        return files.load_fleet(path)
    except SettingsError as error:
        fail(str(error))


def _map(path: str) -> maps.CellMapSettings:
    try:
        return maps.read_map(path)
    except SettingsError as error:
        fail(str(error))


@cells.command("plan")
@click.argument("fleet", type=click.Path())
@click.option("--now", type=click.Path(), help="Today's map; without one everything is placed anew.")
@click.option("--out", type=click.Path(dir_okay=False), help="Write the new map here; without it nothing is.")
@click.option("--seconds", type=click.FloatRange(0.1), default=30.0, show_default=True)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
def cells_plan(fleet: str, now: str | None, out: str | None, seconds: float, seed: int) -> None:
    """Find the map for FLEET that keeps to its rules and moves least. Exit code 1 if there is none."""
    given, before = _fleet(fleet), maps.to_cell_map(_map(now)) if now else CellMap(0)
    planned = planner.plan(given, before, seconds, seed)
    if planned.cells is None:
        click.echo(f"harriertrack: no plan: {planned.outcome.value}", err=True)
        for line in planned.reasons:
            click.echo(f"  {line}", err=True)
        sys.exit(EXIT_NO_PLAN)
    _tell_change(given, before, planned.cells)
    proven = "proven the least" if planned.outcome is planner.PlanOutcome.BEST else (
        f"at most {planned.optimality_gap:.1%} above the least")  # fmt: skip
    click.echo(f"cost {planned.cost} MiB, {proven}; by rules of thumb "
               f"{_thumb(given, before)}")  # fmt: skip
    if out is None:
        click.echo("nothing was written; --out writes the map")
        return
    try:
        maps.save_map(out, planned.cells, {rack.name: rack.shards for rack in given.racks})
    except OSError as error:
        fail(f"{out}: {error.strerror}")


def _thumb(fleet: Fleet, before: CellMap) -> str:
    by_thumb = plan_greedily(fleet, before)
    broken = find_violations(fleet, by_thumb)
    return f"{planner.movement_cost(fleet, before, by_thumb)} MiB" + (
        f", with {len(broken)} rules broken" if broken else ""
    )


def _tell_change(fleet: Fleet, before: CellMap, after: CellMap) -> None:
    moved = compute_change(fleet, before, after)
    for what, moves in (("tenant", moved.tenants), ("rack", moved.racks)):
        for name, here, there in moves:
            click.echo(f"{what} {name}: {here} to {there}")
    click.echo(
        f"{len(moved.tenants)} tenants with {moved.moved_bytes >> 20} MiB and {len(moved.racks)} racks move"
    )
    for name, share in (
        ("one tenant touches", tenant_blast_radius),
        ("the loss of a rack touches", lambda one: rack_blast_radius(fleet, one)),
    ):
        click.echo(
            f"{name} at most {share(after):.1%} of the tenants; "
            f"without cells {share(single_cell_map(fleet)):.1%}"
        )


@cells.command("apply")
@click.argument("fleet", type=click.Path())
@click.argument("next_map", type=click.Path())
@click.argument("in_force", type=click.Path())
@click.option("--yes", is_flag=True, help="Do it; without this, only say what would move.")
def cells_apply(fleet: str, next_map: str, in_force: str, yes: bool) -> None:
    """Put NEXT_MAP in the place of IN_FORCE, the file that heads follow. Exit code 1 if it may not be."""
    given, after = _fleet(fleet), maps.to_cell_map(_map(next_map))
    standing = _map(in_force) if Path(in_force).exists() else maps.CellMapSettings(version=0)
    before = maps.to_cell_map(standing)
    broken = find_violations(given, after)
    if after.version <= before.version:
        broken.insert(0, f"version {after.version} is not newer than {before.version}, which is in force")
    if broken:
        for line in broken:
            click.echo(f"harriertrack: {line}", err=True)
        sys.exit(EXIT_NO_PLAN)
    _tell_change(given, before, after)
    if not yes:
        click.echo("nothing was written; --yes puts the map in force")
        return
    try:
        changes = (*standing.changes, maps.record_map_change(after.version))
        maps.save_map(in_force, after, {rack.name: rack.shards for rack in given.racks}, changes)
    except OSError as error:
        fail(f"{in_force}: {error.strerror}")


@cells.command("show")
@click.argument("fleet", type=click.Path())
@click.argument("cell_map", type=click.Path())
def cells_show(fleet: str, cell_map: str) -> None:
    """Show CELL_MAP for FLEET: each cell's racks, tenants and load. Exit code 1 if it breaks a rule."""
    given, standing = _fleet(fleet), _map(cell_map)
    known = maps.to_cell_map(standing)
    click.echo(f"version {known.version}")
    for one in standing.changes:
        click.echo(f"  {one.version} put in force by {one.by} on {one.on} at {one.at}")
    for cell in given.rules.names():
        racks = [rack for rack in given.racks if known.racks.get(rack.name) == cell]
        tenants = [one for one in given.tenants if known.tenants.get(one.name) == cell]
        click.echo(f"{cell}: {len(racks)} racks, {sum(len(rack.nodes) for rack in racks)} nodes, "
                   f"{len(tenants)} tenants")  # fmt: skip
        for region in given.regions:
            units = sum(rack.units for rack in racks if rack.region == region)
            load = sum(one.load for one in tenants if region in one.regions)
            reserve = sum(one.reserve for one in tenants if region in one.regions)
            click.echo(f"  {region}: {units:g} units a second, load {load:g}, reserves {reserve:g}")
    broken = find_violations(given, known)
    for line in broken:
        click.echo(line)
    sys.exit(EXIT_NO_PLAN if broken else 0)
