"""The description of a fleet for the cell planner: `(fleet "name" (cells 4) (rack ...) (tenant ...))`."""

from __future__ import annotations

from typing import Annotated

import msgspec

from harriertrack.config.settings import (
    Name,
    NonNegativeFloat,
    NonNegativeInt,
    PositiveInt,
    SettingsStruct,
    Share,
    find_duplicates,
    read_file,
)
from harriertrack.config.sexp import Form, SettingsError, bind
from harriertrack.decisions.cells import CellRules, Fleet, Rack, Tenant

PositiveShare = Annotated[float, msgspec.Meta(gt=0, le=1)]


class CellNode(SettingsStruct, frozen=True, kw_only=True):
    """A storage node and its capacity in units a second."""

    name: Name
    units: NonNegativeFloat


class RackSettings(SettingsStruct, frozen=True, kw_only=True):
    """A rack."""

    name: Name
    region: Name
    nodes: tuple[CellNode, ...]
    shards: tuple[NonNegativeInt, ...] = ()  # the shards whose data its nodes hold


class TenantSettings(SettingsStruct, frozen=True, kw_only=True):
    """A tenant: its expected load and reserve in units a second, its size, and the regions of its data."""

    name: Name
    load: NonNegativeFloat
    reserve: NonNegativeFloat = 0.0
    size_bytes: NonNegativeInt = 0
    regions: tuple[Name, ...]


class FleetSettings(SettingsStruct, frozen=True, kw_only=True):
    """The racks and tenants to divide into cells, and the rules; decisions/cells.py describes the rules."""

    name: Name
    cells: PositiveInt
    headroom: PositiveShare = 0.7
    reserved: PositiveShare = 0.6
    least_racks: PositiveInt = 2
    large: Share = 0.3
    crowd: Annotated[float, msgspec.Meta(ge=1, le=1000)] = 1.5
    racks: tuple[RackSettings, ...]
    tenants: tuple[TenantSettings, ...] = ()


def load_fleet(path: str) -> Fleet:
    """Read and validate a fleet. Raises SettingsError with file, line and field."""
    return parse_fleet(read_file(path), path)


def parse_fleet(form: Form, source: str) -> Fleet:
    """Validate a form `(fleet ...)`. Raises SettingsError."""
    settings = bind(form, FleetSettings, source)
    where = f"{source}:{form.line}"
    for section, names in (
        ("rack", [rack.name for rack in settings.racks]),
        ("node", [node.name for rack in settings.racks for node in rack.nodes]),
        ("tenant", [one.name for one in settings.tenants]),
    ):
        if duplicates := find_duplicates(names):
            raise SettingsError(f"{where}: {section} {min(duplicates)}: given twice")
    for rack in settings.racks:
        if not rack.nodes:
            raise SettingsError(f"{where}: rack {rack.name}: node: at least one is needed")
    for tenant in settings.tenants:
        if not tenant.regions:
            raise SettingsError(f"{where}: tenant {tenant.name}: regions: at least one is needed")
    racks = tuple(
        Rack(
            rack.name,
            rack.region,
            tuple(node.name for node in rack.nodes),
            sum(node.units for node in rack.nodes),
            rack.shards,
        )
        for rack in settings.racks
    )
    tenants = tuple(
        Tenant(one.name, one.load, one.reserve, one.size_bytes, one.regions) for one in settings.tenants
    )
    rules = CellRules(
        settings.cells,
        settings.headroom,
        settings.reserved,
        settings.least_racks,
        settings.large,
        settings.crowd,
    )
    return Fleet(racks, tenants, rules)
