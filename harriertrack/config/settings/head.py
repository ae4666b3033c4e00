"""Everything that a head is told at its start."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

import msgspec

from harriertrack.config.settings.basis import (
    BlockSize,
    NonNegativeFloat,
    NonNegativeInt,
    Port,
    PositiveInt,
    Reloadable,
    SettingsStruct,
    Share,
)
from harriertrack.config.settings.fleet import FleetSettings
from harriertrack.config.settings.nodes import NodeListSettings
from harriertrack.config.settings.traffic import ClassSettings, PlanSettings, RegionSettings, VolumeSettings


class RuleSettings(SettingsStruct, frozen=True, kw_only=True):
    """The figures of the rules; zero means that a thing does not apply."""

    drain_grace_us: Reloadable[NonNegativeInt] = 2_000_000
    fall_multiple: Reloadable[NonNegativeFloat] = 2.0
    fall_us: Reloadable[NonNegativeInt] = 2_000_000
    cold_share: Reloadable[Share] = 1.0
    warm_us: Reloadable[NonNegativeInt] = 0
    cold_units: Reloadable[NonNegativeFloat] = 0.0
    budget_free: Reloadable[NonNegativeFloat] = 0.0
    budget_share: Reloadable[NonNegativeFloat] = 0.0
    budget_window_us: Reloadable[NonNegativeInt] = 0
    order_settle_us: Reloadable[NonNegativeInt] = 0


class LimitSettings(SettingsStruct, frozen=True, kw_only=True):
    """What bounds a head's memory and connections."""

    connections: Reloadable[PositiveInt] = 1024
    in_flight: Reloadable[PositiveInt] = 128
    in_flight_bytes: Reloadable[PositiveInt] = 32 << 20  # of the open writes of one connection
    offers: Reloadable[Annotated[float, msgspec.Meta(ge=1, le=1e6)]] = 2_000.0  # a second, of what waited
    held: Reloadable[PositiveInt] = 20_000
    held_bytes: PositiveInt = 256 << 20  # of open writes
    borrow: Reloadable[Share] = 0.0  # the part of these that cells may use beyond their even parts
    orphans: PositiveInt = 1024
    dial_us: Reloadable[PositiveInt] = 250_000
    idle_us: Reloadable[PositiveInt] = 30_000_000
    handshake_us: Reloadable[PositiveInt] = 10_000_000


class Digest(StrEnum):
    """What NVMe/TCP may protect with a CRC32C."""

    HEADER = "header"
    DATA = "data"


class NvmeSettings(SettingsStruct, frozen=True, kw_only=True):
    """The NVMe/TCP front."""

    listen: tuple[str, Port]
    nqn: Annotated[str, msgspec.Meta(pattern=r"^nqn\.\d{4}-\d{2}\.[^\s:]+:\S+$", max_length=223)]
    digests: tuple[Digest, ...] = (Digest.HEADER, Digest.DATA)  # granted to hosts that ask
    queues: Annotated[int, msgspec.Meta(ge=1, le=1024)] = 64  # for I/O, of one controller
    entries: Annotated[int, msgspec.Meta(ge=32, le=1024)] = 128  # of one queue
    asked_bytes: PositiveInt = 8 << 20  # of one queue's commands: data that was asked for and is on its way
    patience_us: PositiveInt = 20_000_000  # hosts that wait do so no longer: theirs reset a mute controller


class HeadSettings(SettingsStruct, frozen=True, kw_only=True):
    """Everything that a head is told at its start."""

    listen: tuple[str, Port] = ("127.0.0.1", 10809)
    state_dir: str
    heads: PositiveInt = 1
    zone: str = ""
    seed: NonNegativeInt = 0
    extent_bytes: BlockSize = 1 << 20
    unit_bytes: BlockSize = 4096
    mean_units: NonNegativeFloat = 1.0
    most_units: NonNegativeFloat = 256.0
    tick_us: PositiveInt = 1000
    max_attempts: Reloadable[Annotated[int, msgspec.Meta(ge=1, le=255)]] = 3
    may_cancel: Reloadable[bool] = True
    max_hint_us: Reloadable[NonNegativeInt] = 500_000
    meter_us: NonNegativeInt = 0
    plain_nodes: bool = False
    node_list: NodeListSettings
    rules: RuleSettings = RuleSettings()
    limits: LimitSettings = LimitSettings()
    region: RegionSettings | None = None
    cell_map: str = ""  # a file; empty: the whole fleet is one cell
    nvme: NvmeSettings | None = None
    fleet: FleetSettings | None = None  # None: the head knows of no other
    classes: tuple[ClassSettings, ...]
    plans: tuple[PlanSettings, ...]
    volumes: tuple[VolumeSettings, ...]
