"""A fleet as an S-expression: `(fleet "name" (cells 4) (rack ...) (tenant ...))`."""

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

Part = Annotated[float, msgspec.Meta(gt=0, le=1)]


class CellNode(SettingsStruct, frozen=True, kw_only=True):
    """A storage node: what it does in units a second."""

    name: Name
    units: NonNegativeFloat


class RackSettings(SettingsStruct, frozen=True, kw_only=True):
    """A rack."""

    name: Name
    region: Name
    nodes: tuple[CellNode, ...]
    shards: tuple[NonNegativeInt, ...] = ()  # whose data its nodes hold, as heads know it


class TenantSettings(SettingsStruct, frozen=True, kw_only=True):
    """A tenant: expected load and reserve in units a second, its size, the regions that hold it."""

    name: Name
    load: NonNegativeFloat
    reserve: NonNegativeFloat = 0.0
    size_bytes: NonNegativeInt = 0
    regions: tuple[Name, ...]


class FleetSettings(SettingsStruct, frozen=True, kw_only=True):
    """What there is to be divided, and the rules of the cells."""

    name: Name
    cells: PositiveInt
    headroom: Part = 0.7
    reserved: Part = 0.6
    least_racks: PositiveInt = 2
    large: Share = 0.3
    crowd: Annotated[float, msgspec.Meta(ge=1, le=1000)] = 1.5
    racks: tuple[RackSettings, ...]
    tenants: tuple[TenantSettings, ...] = ()


def load_fleet(path: str) -> Fleet:
    """Read and check a fleet. Raises SettingsError with file, line and field."""
    return parse_fleet(read_file(path), path)


def parse_fleet(form: Form, source: str) -> Fleet:
    """Check a form of a fleet. Raises SettingsError."""
    given = bind(form, FleetSettings, source)
    where = f"{source}:{form.line}"
    for what, names in (
        ("rack", [rack.name for rack in given.racks]),
        ("node", [node.name for rack in given.racks for node in rack.nodes]),
        ("tenant", [one.name for one in given.tenants]),
    ):
        if twice := find_duplicates(names):
            raise SettingsError(f"{where}: {what} {min(twice)}: given twice")
    for rack in given.racks:
        if not rack.nodes:
            raise SettingsError(f"{where}: rack {rack.name}: node: at least one is needed")
    for one in given.tenants:
        if not one.regions:
            raise SettingsError(f"{where}: tenant {one.name}: regions: at least one is needed")
    racks = tuple(
        Rack(
            one.name,
            one.region,
            tuple(node.name for node in one.nodes),
            sum(n.units for n in one.nodes),
            one.shards,
        )
        for one in given.racks
    )
    tenants = tuple(
        Tenant(one.name, one.load, one.reserve, one.size_bytes, one.regions) for one in given.tenants
    )
    rules = CellRules(
        given.cells, given.headroom, given.reserved, given.least_racks, given.large, given.crowd
    )
    return Fleet(racks, tenants, rules)
