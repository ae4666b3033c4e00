"""The settings of a head."""

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
    """Parameters of the scheduling rules; zero means that a rule does not apply."""

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
    """Limits on a head's memory and connections."""

    connections: Reloadable[PositiveInt] = 1024
    in_flight: Reloadable[PositiveInt] = 128
    in_flight_bytes: Reloadable[PositiveInt] = 32 << 20  # of the open writes of one connection
    offers: Reloadable[Annotated[float, msgspec.Meta(ge=1, le=1e6)]] = 2_000.0  # parts a second that waited
    held: Reloadable[PositiveInt] = 20_000
    held_bytes: PositiveInt = 256 << 20  # of the data of open writes
    # The part of `connections`, `held` and `held_bytes` that cells may use beyond their even shares.
    borrow: Reloadable[Share] = 0.0
    orphans: PositiveInt = 1024
    dial_us: Reloadable[PositiveInt] = 250_000
    idle_us: Reloadable[PositiveInt] = 30_000_000
    handshake_us: Reloadable[PositiveInt] = 10_000_000


class Digest(StrEnum):
    """Parts of an NVMe/TCP PDU that a CRC32C may protect."""

    HEADER = "header"
    DATA = "data"


class NvmeSettings(SettingsStruct, frozen=True, kw_only=True):
    """The NVMe/TCP front."""

    listen: tuple[str, Port]
    nqn: Annotated[str, msgspec.Meta(pattern=r"^nqn\.\d{4}-\d{2}\.[^\s:]+:\S+$", max_length=223)]
    digests: tuple[Digest, ...] = (Digest.HEADER, Digest.DATA)  # granted to hosts that request them
    queues: Annotated[int, msgspec.Meta(ge=1, le=1024)] = 64  # I/O queues of one controller
    entries: Annotated[int, msgspec.Meta(ge=32, le=1024)] = 128  # commands of one queue
    asked_bytes: PositiveInt = 8 << 20  # of one queue: write data that was requested and has not arrived
    patience_us: PositiveInt = 20_000_000  # of waiting commands: hosts reset a controller that stays silent


class HeadSettings(SettingsStruct, frozen=True, kw_only=True):
    """All settings of a head."""

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
    cell_map: str = ""  # path of a cell map; empty: the fleet is a single cell
    nvme: NvmeSettings | None = None
    fleet: FleetSettings | None = None  # None: the head knows of no other heads
    classes: tuple[ClassSettings, ...]
    plans: tuple[PlanSettings, ...]
    volumes: tuple[VolumeSettings, ...]

    @property
    def has_ordered_classes(self) -> bool:
        """Whether a class asks that its requests run in the order in which they arrive."""
        return any(one.in_order for one in self.classes)
