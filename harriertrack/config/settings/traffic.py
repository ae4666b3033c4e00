"""Classes of requests, plans, and volumes with the regions that share them."""

from __future__ import annotations

from typing import Annotated

import msgspec

from harriertrack.config.settings.basis import Amount, Checked, InService, Name, Port, Positive, Share, Whole
from harriertrack.decisions import interface as api
from harriertrack.decisions.regions import Mode
from harriertrack.decisions.retry_queue import WaitMode
from harriertrack.decisions.splitting import Kind


class ClassSettings(Checked, frozen=True, kw_only=True):
    """A class of requests, and which requests belong to it: the first class whose kind and size fit."""

    name: Name
    kinds: tuple[Kind, ...]
    at_least_bytes: Whole = 0
    aim_us: InService[Positive]
    deadline_us: InService[Positive]
    worth: Amount = 1.0
    late_worth: Share = 0.0
    effect: api.Effect = api.Effect.UNSAFE
    group: api.DedupScope = api.DedupScope.CELL
    window_us: Whole = 0
    in_order: bool = False


class PlanSettings(Checked, frozen=True, kw_only=True):
    """A service plan, per volume over all heads."""

    name: Name
    rate: InService[Amount] = 0.0
    reserve: InService[Amount] = 0.0
    limit: InService[Amount] = 0.0
    limit_burst: InService[Amount] = 0.0
    limit_slack: InService[Amount] = 0.0
    weight: InService[Amount] = 1.0
    price: InService[Amount] = 1.0


class VolumeRegionSettings(Checked, frozen=True, kw_only=True):
    """A volume of two regions: where it belongs, and when a write is acknowledged."""

    home: Name
    mode: Mode = Mode.BOTH
    copy_us: Positive = 400_000
    behind_us: Positive = 2_000_000
    behind_writes: Positive = 1_000
    takeover_us: Whole = 300_000
    settle_us: Whole = 2_000_000


class RegionSettings(Checked, frozen=True, kw_only=True):
    """The head's region, the other one, that one's head, and the witness."""

    name: Name
    other: Name
    peer: tuple[str, Port]
    witness: tuple[str, Port]
    ttl_us: Positive = 3_000_000
    clock_error: Annotated[float, msgspec.Meta(ge=0, le=0.1)] = 0.01
    tick_us: Positive = 100_000
    fresh_us: Positive = 1_000_000


class VolumeSettings(Checked, frozen=True, kw_only=True):
    """A volume, which is one export. `shards` names where its extents were allocated beforehand, in turn."""

    name: Name
    size_bytes: Positive
    plan: Name
    hosts: Positive = 1
    shards: tuple[Whole, ...] = ()
    read_only: bool = False
    tenant: str = ""  # whose it is, for cells; empty: the volume's own name
    waiting: WaitMode = WaitMode.BY_CLIENT
    patience_us: Positive = 300_000_000  # how long clients that wait are kept waiting before they are refused
    regions: VolumeRegionSettings | None = None
