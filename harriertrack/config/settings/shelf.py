"""A storage node stand-in."""

from __future__ import annotations

from enum import Enum
from typing import Annotated

import msgspec

from harriertrack.config.settings.basis import Amount, BlockSize, Checked, Name, Port, Positive, Share, Whole
from harriertrack.config.settings.traffic import VolumeSettings


class Service(Enum):
    """How a storage node's service times are distributed around their mean."""

    FIXED = "fixed"
    EXPONENTIAL = "exponential"
    GAMMA = "gamma"
    LOGNORMAL = "lognormal"
    WEIBULL = "weibull"


class ShelfSettings(Checked, frozen=True, kw_only=True):
    """A storage node stand-in: an NBD server that models a node's time."""

    listen: tuple[str, Port] = ("127.0.0.1", 10810)
    name: Name = "shelf"
    shard: Whole = 0
    zone: str = ""
    extent_bytes: BlockSize = 1 << 20
    unit_bytes: BlockSize = 4096
    cores: Positive = 2
    unit_us: Whole = 500
    request_us: Whole = 100
    queue: Positive = 64
    remembers: Whole = 2
    discount: Share = 0.0
    deferred: Share = 0.0
    flush_us: Positive = 2_000_000
    service: Service = Service.FIXED
    service_cv: Annotated[float, msgspec.Meta(ge=0, le=10)] = 0.0
    window_us: Whole = 2_500_000
    cold_share: Share = 1.0
    warm_us: Whole = 0
    fall_multiple: Amount = 2.0
    fall_us: Positive = 2_000_000
    cold_units: Amount = 0.0
    extended: bool = True
    volumes: tuple[VolumeSettings, ...]
