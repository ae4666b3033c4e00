"""Settings of a storage node stand-in."""

from __future__ import annotations

from enum import Enum
from typing import Annotated

import msgspec

from harriertrack.config.settings.basis import (
    BlockSize,
    Name,
    NonNegativeFloat,
    NonNegativeInt,
    Port,
    PositiveInt,
    SettingsStruct,
    Share,
)
from harriertrack.config.settings.traffic import VolumeSettings


class ServiceTimeDistribution(Enum):
    """The distribution of a storage node's service times around their mean."""

    FIXED = "fixed"
    EXPONENTIAL = "exponential"
    GAMMA = "gamma"
    LOGNORMAL = "lognormal"
    WEIBULL = "weibull"


class NodeStandInSettings(SettingsStruct, frozen=True, kw_only=True):
    """A storage node stand-in: an NBD server that simulates a node's service times."""

    listen: tuple[str, Port] = ("127.0.0.1", 10810)
    name: Name = "shelf"
    shard: NonNegativeInt = 0
    zone: str = ""
    extent_bytes: BlockSize = 1 << 20
    unit_bytes: BlockSize = 4096
    cores: PositiveInt = 2
    unit_us: NonNegativeInt = 500
    request_us: NonNegativeInt = 100
    queue: PositiveInt = 64
    remembers: NonNegativeInt = 2
    discount: Share = 0.0
    deferred: Share = 0.0
    flush_us: PositiveInt = 2_000_000
    service: ServiceTimeDistribution = ServiceTimeDistribution.FIXED
    service_cv: Annotated[float, msgspec.Meta(ge=0, le=10)] = 0.0
    window_us: NonNegativeInt = 2_500_000
    cold_share: Share = 1.0
    warm_us: NonNegativeInt = 0
    fall_multiple: NonNegativeFloat = 2.0
    fall_us: PositiveInt = 2_000_000
    cold_units: NonNegativeFloat = 0.0
    extended: bool = True
    volumes: tuple[VolumeSettings, ...]
