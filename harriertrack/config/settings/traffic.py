"""Request classes, plans, and volumes with the regions that share them."""

from __future__ import annotations

from typing import Annotated

import msgspec

from harriertrack.config.settings.basis import (
    Name,
    NonNegativeFloat,
    NonNegativeInt,
    Port,
    PositiveInt,
    Reloadable,
    SettingsStruct,
    Share,
)
from harriertrack.decisions import interface as api
from harriertrack.decisions.regions import Mode
from harriertrack.decisions.retry_queue import WaitMode
from harriertrack.decisions.splitting import Kind


class ClassSettings(SettingsStruct, frozen=True, kw_only=True):
    """A class of requests. A request belongs to the first class that matches its kind and size."""

    name: Name
    kinds: tuple[Kind, ...]
    at_least_bytes: NonNegativeInt = 0
    aim_us: Reloadable[PositiveInt]
    deadline_us: Reloadable[PositiveInt]
    worth: NonNegativeFloat = 1.0
    late_worth: Share = 0.0
    effect: api.Effect = api.Effect.UNSAFE
    group: api.DedupScope = api.DedupScope.CELL
    window_us: NonNegativeInt = 0
    in_order: bool = False


class PlanSettings(SettingsStruct, frozen=True, kw_only=True):
    """A service plan; its rates and limits are per volume, over all heads."""

    name: Name
    rate: Reloadable[NonNegativeFloat] = 0.0
    reserve: Reloadable[NonNegativeFloat] = 0.0
    limit: Reloadable[NonNegativeFloat] = 0.0
    limit_burst: Reloadable[NonNegativeFloat] = 0.0
    limit_slack: Reloadable[NonNegativeFloat] = 0.0
    weight: Reloadable[NonNegativeFloat] = 1.0
    price: Reloadable[NonNegativeFloat] = 1.0


class VolumeRegionSettings(SettingsStruct, frozen=True, kw_only=True):
    """A volume of two regions: its home region, and when a write is acknowledged."""

    home: Name
    mode: Mode = Mode.BOTH
    copy_us: PositiveInt = 400_000
    behind_us: PositiveInt = 2_000_000
    behind_writes: PositiveInt = 1_000
    takeover_us: NonNegativeInt = 300_000
    settle_us: NonNegativeInt = 2_000_000


class RegionSettings(SettingsStruct, frozen=True, kw_only=True):
    """The head's region, the other region and its head (`peer`), and the witness."""

    name: Name
    other: Name
    peer: tuple[str, Port]
    witness: tuple[str, Port]
    ttl_us: PositiveInt = 3_000_000
    clock_error: Annotated[float, msgspec.Meta(ge=0, le=0.1)] = 0.01
    tick_us: PositiveInt = 100_000
    fresh_us: PositiveInt = 1_000_000


class VolumeSettings(SettingsStruct, frozen=True, kw_only=True):
    """A volume, which is one export. `shards`: where its extents were allocated in advance, in turn."""

    name: Name
    size_bytes: PositiveInt
    plan: Name
    hosts: PositiveInt = 1
    shards: tuple[NonNegativeInt, ...] = ()
    read_only: bool = False
    tenant: str = ""  # its owner, for cells; empty: the volume's own name
    waiting: WaitMode = WaitMode.BY_CLIENT
    patience_us: PositiveInt = 300_000_000  # how long a request of a client waits before it is refused
    regions: VolumeRegionSettings | None = None
