"""Maps of cells: `(cell-map (version 3) (rack "r1" (cell "cell0") (shards 0 1)) (tenant ...))`."""

from __future__ import annotations

import getpass
import os
import socket
from collections.abc import Iterable, Mapping
from datetime import UTC, datetime
from pathlib import Path

from harriertrack.config.settings import (
    Name,
    NonNegativeInt,
    SettingsStruct,
    VolumeSettings,
    find_duplicates,
    read_file,
)
from harriertrack.config.sexp import SettingsError, bind
from harriertrack.decisions.cell_scheduler import HeadCellMap
from harriertrack.decisions.cells import CellMap


class RackPlacement(SettingsStruct, frozen=True, kw_only=True):
    """A rack, its cell, and the shards that its nodes hold."""

    name: Name
    cell: Name
    shards: tuple[NonNegativeInt, ...] = ()


class TenantPlacement(SettingsStruct, frozen=True, kw_only=True):
    """A tenant and its cell."""

    name: Name
    cell: Name


class MapChange(SettingsStruct, frozen=True, kw_only=True):
    """One time that a map was put in force."""

    version: NonNegativeInt
    by: str
    on: str  # which machine
    at: str  # ISO 8601, UTC


class CellMapSettings(SettingsStruct, frozen=True, kw_only=True):
    """A map of cells, and who put it and those before it in force."""

    version: NonNegativeInt
    changes: tuple[MapChange, ...] = ()
    racks: tuple[RackPlacement, ...] = ()
    tenants: tuple[TenantPlacement, ...] = ()


def read_map(path: str) -> CellMapSettings:
    """Read and check a map. Raises SettingsError with file, line and field."""
    form = read_file(path)
    given = bind(form, CellMapSettings, path)
    for what, names in (
        ("rack", [one.name for one in given.racks]),
        ("tenant", [one.name for one in given.tenants]),
        ("shard", [str(shard) for rack in given.racks for shard in rack.shards]),
    ):
        if twice := find_duplicates(names):
            raise SettingsError(f"{path}:{form.line}: {what} {min(twice)}: given twice")
    return given


def load_map(path: str) -> CellMap:
    """Return a map as the planner has it. Raises SettingsError."""
    return to_cell_map(read_map(path))


def to_cell_map(given: CellMapSettings) -> CellMap:
    """Return a map as the planner has it."""
    racks = {one.name: one.cell for one in given.racks}
    return CellMap(given.version, racks, {one.name: one.cell for one in given.tenants})


def load_head_cell_map(path: str, volumes: Iterable[VolumeSettings]) -> HeadCellMap:
    """Return what a head needs of a map: its volumes' cells, by tenant. Raises SettingsError.

    A volume whose tenant the map does not place would be served by nobody: that is an error.
    """
    given = read_map(path)
    tenants = {one.name: one.cell for one in given.tenants}
    placed: dict[str, str] = {}
    for volume in volumes:
        tenant = volume.tenant or volume.name
        if tenant not in tenants:
            raise SettingsError(f"{path}:1: cell-map: tenant {tenant} of volume {volume.name} is in no cell")
        placed[volume.name] = tenants[tenant]
    shards = {shard: rack.cell for rack in given.racks for shard in rack.shards}
    return HeadCellMap(given.version, shards, placed)


def record_map_change(version: int) -> MapChange:
    """Return that this user puts a version in force here and now."""
    now = datetime.now(UTC).isoformat(timespec="seconds")
    return MapChange(version=version, by=getpass.getuser(), on=socket.gethostname(), at=now)


def format_map(
    cells: CellMap, shards: Mapping[str, tuple[int, ...]], changes: Iterable[MapChange] = ()
) -> str:
    """Return a map as an S-expression; `shards` are those of each rack."""
    lines = [f"(cell-map (version {cells.version})"]
    for one in changes:
        lines.append(f'  (change (version {one.version}) (by "{one.by}") (on "{one.on}") (at "{one.at}"))')
    for name, cell in sorted(cells.racks.items()):
        held = "".join(f" {shard}" for shard in shards.get(name, ()))
        lines.append(f'  (rack "{name}" (cell "{cell}")' + (f" (shards{held}))" if held else ")"))
    lines.extend(f'  (tenant "{name}" (cell "{cell}"))' for name, cell in sorted(cells.tenants.items()))
    return "\n".join(lines) + ")\n"


def save_map(
    path: str, cells: CellMap, shards: Mapping[str, tuple[int, ...]], changes: Iterable[MapChange] = ()
) -> None:
    """Write a map; a reader sees the old one or the new one, also after a crash. Raises OSError."""
    beside = Path(f"{path}.new")
    with open(beside, "w", encoding="utf-8") as file:
        file.write(format_map(cells, shards, changes))
        file.flush()
        os.fsync(file.fileno())
    beside.replace(path)
