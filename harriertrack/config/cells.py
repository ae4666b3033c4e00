"""Cell maps: `(cell-map (version 3) (rack "r1" (cell "cell0") (shards 0 1)) (tenant ...))`."""

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
    """A rack, its cell, and the shards whose data its nodes hold."""

    name: Name
    cell: Name
    shards: tuple[NonNegativeInt, ...] = ()


class TenantPlacement(SettingsStruct, frozen=True, kw_only=True):
    """A tenant and its cell."""

    name: Name
    cell: Name


class MapChange(SettingsStruct, frozen=True, kw_only=True):
    """When, where and by whom a version of a map was put in force."""

    version: NonNegativeInt
    by: str
    on: str  # host name of the machine
    at: str  # ISO 8601, UTC


class CellMapSettings(SettingsStruct, frozen=True, kw_only=True):
    """A cell map, and when and by whom each of its versions was put in force."""

    version: NonNegativeInt
    changes: tuple[MapChange, ...] = ()
    racks: tuple[RackPlacement, ...] = ()
    tenants: tuple[TenantPlacement, ...] = ()


def read_map(path: str) -> CellMapSettings:
    """Read and validate a cell map. Raises SettingsError with file, line and field."""
    form = read_file(path)
    settings = bind(form, CellMapSettings, path)
    for section, names in (
        ("rack", [one.name for one in settings.racks]),
        ("tenant", [one.name for one in settings.tenants]),
        ("shard", [str(shard) for rack in settings.racks for shard in rack.shards]),
    ):
        if duplicates := find_duplicates(names):
            raise SettingsError(f"{path}:{form.line}: {section} {min(duplicates)}: given twice")
    return settings


def load_map(path: str) -> CellMap:
    """Read a cell map in the planner's form. Raises SettingsError."""
    return to_cell_map(read_map(path))


def to_cell_map(settings: CellMapSettings) -> CellMap:
    """Convert a cell map to the planner's form."""
    racks = {one.name: one.cell for one in settings.racks}
    return CellMap(settings.version, racks, {one.name: one.cell for one in settings.tenants})


def load_head_cell_map(path: str, volumes: Iterable[VolumeSettings]) -> HeadCellMap:
    """Read the part of a cell map that a head uses: the cells of shards and of its volumes, by their tenants.

    A volume whose tenant is in no cell would be served by no node, which is an error. Raises SettingsError.
    """
    settings = read_map(path)
    tenants = {one.name: one.cell for one in settings.tenants}
    volume_cells: dict[str, str] = {}
    for volume in volumes:
        tenant = volume.tenant or volume.name
        if tenant not in tenants:
            raise SettingsError(f"{path}:1: cell-map: tenant {tenant} of volume {volume.name} is in no cell")
        volume_cells[volume.name] = tenants[tenant]
    shards = {shard: rack.cell for rack in settings.racks for shard in rack.shards}
    return HeadCellMap(settings.version, shards, volume_cells)


def record_map_change(version: int) -> MapChange:
    """Return the entry for a version that the current user puts in force now, on this machine."""
    now = datetime.now(UTC).isoformat(timespec="seconds")
    return MapChange(version=version, by=getpass.getuser(), on=socket.gethostname(), at=now)


def format_map(
    cells: CellMap, shards: Mapping[str, tuple[int, ...]], changes: Iterable[MapChange] = ()
) -> str:
    """Format a cell map as an S-expression; `shards`: the shards of each rack."""
    lines = [f"(cell-map (version {cells.version})"]
    for one in changes:
        lines.append(f'  (change (version {one.version}) (by "{one.by}") (on "{one.on}") (at "{one.at}"))')
    for name, cell in sorted(cells.racks.items()):
        numbers = "".join(f" {shard}" for shard in shards.get(name, ()))
        lines.append(f'  (rack "{name}" (cell "{cell}")' + (f" (shards{numbers}))" if numbers else ")"))
    lines.extend(f'  (tenant "{name}" (cell "{cell}"))' for name, cell in sorted(cells.tenants.items()))
    return "\n".join(lines) + ")\n"


def save_map(
    path: str, cells: CellMap, shards: Mapping[str, tuple[int, ...]], changes: Iterable[MapChange] = ()
) -> None:
    """Write a cell map atomically: readers see the old or the new one, also after a crash. Raises OSError."""
    temporary = Path(f"{path}.new")
    with open(temporary, "w", encoding="utf-8") as file:
        file.write(format_map(cells, shards, changes))
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
