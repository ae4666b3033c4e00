"""A day: a scripted experiment of machines, load and faults ("troubles"), written as an S-expression.

`(day "name" (about "...") (length 12s) (nodes 4) ... (trouble hang (from 3s) (for 4s) (part 0.25)))`. The
seed of a run is given separately. The built-in days are files in `lab/days/`.
"""

from __future__ import annotations

from enum import Enum
from importlib import resources
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from harriertrack.config.settings import (
    Name,
    NonNegativeFloat,
    NonNegativeInt,
    PositiveInt,
    RuleSettings,
    ServiceTimeDistribution,
    SettingsStruct,
    Share,
    VolumeSettings,
    read_file,
)
from harriertrack.config.sexp import Form, SettingsError, bind, read_text
from harriertrack.decisions.regions import Mode


class TroubleKind(Enum):
    """The faults that a day can inject; docs/operators/days.md describes the effect of each."""

    ANSWER_LOST = "answer_lost"
    BALANCER_ROLL = "balancer_roll"
    BALANCER_STALL = "balancer_stall"
    DISCOVERY_DOWN = "discovery_down"
    DRAIN = "drain"
    GIVE_UP = "give_up"
    HANG = "hang"
    HOT_KEY = "hot_key"
    MASS_RESTART = "mass_restart"
    NEIGHBOUR = "neighbour"
    PAUSES = "pauses"
    PREEMPT = "preempt"
    RECONNECT = "reconnect"
    RETRY_ABUSE = "retry_abuse"
    SCAN = "scan"
    SLOW = "slow"
    TENANT_BURST = "tenant_burst"
    VANISH = "vanish"
    ZONE_CUT = "zone_cut"
    BAD_RELEASE = "bad_release"
    CELL_MOVE = "cell_move"
    REGION_DARK = "region_dark"
    REGION_CUT = "region_cut"
    LINK_SLOW = "link_slow"
    LINK_BLOCK = "link_block"
    LINK_FLAP = "link_flap"
    WITNESS_DOWN = "witness_down"
    WAITING_KILL = "waiting_kill"


class TroubleSettings(SettingsStruct, frozen=True, kw_only=True):
    """One fault: its start and duration, the fraction of the machines that it affects, and its severity."""

    name: TroubleKind
    from_us: NonNegativeInt
    for_us: PositiveInt = 4_000_000
    part: Share = 0.25
    size: NonNegativeFloat = 2.0
    every_us: PositiveInt = 1_000_000
    how: Literal["silence", "reset", "kill", "there", "back"] = "silence"
    plan: str = ""
    region: str = "a"


class TwoRegionSettings(SettingsStruct, frozen=True, kw_only=True):
    """Settings of a day with two regions, `a` and `b`; each has one head and the day's number of nodes."""

    mode: Mode = Mode.BOTH
    delay_us: NonNegativeInt = 5_000
    jitter_us: NonNegativeInt = 1_000
    ttl_us: PositiveInt = 1_500_000
    clock_error: Share = 0.01
    clock_rate: NonNegativeFloat = 1.0  # speed of the witness's clock relative to the heads' clocks
    copy_us: PositiveInt = 400_000
    behind_us: PositiveInt = 1_000_000


class NetSettings(SettingsStruct, frozen=True, kw_only=True):
    """Message delays in the emulator. Over sockets, delays are whatever the machine takes."""

    client_us: NonNegativeInt = 50
    same_zone_us: NonNegativeInt = 200
    cross_zone_us: NonNegativeInt = 600
    jitter: Share = 0.2  # a delay is extended by up to this fraction
    handshake_trips: PositiveInt = 4  # round trips before a new link carries requests


class DaySettings(SettingsStruct, frozen=True, kw_only=True):
    """All settings of a day."""

    name: Name
    about: str = ""
    length_us: PositiveInt = 12_000_000
    heads: PositiveInt = 2
    nodes: PositiveInt = 4
    zones: tuple[str, ...] = ("here",)
    rate: NonNegativeFloat = 120.0
    volumes: PositiveInt = 6
    shared: Share = 0.5
    hosts: PositiveInt = 2  # heads that serve each shared volume
    beside: tuple[VolumeSettings, ...] = ()  # further volumes, which get no load
    cells: PositiveInt = 1  # shards and volumes are assigned to cells round-robin
    volume_bytes: PositiveInt = 8 << 20
    extent_bytes: PositiveInt = 128 << 10
    unit_bytes: PositiveInt = 4096
    most_sectors: PositiveInt = 32
    cores: PositiveInt = 2
    request_us: NonNegativeInt = 4_000
    unit_us: NonNegativeInt = 4_000
    service: ServiceTimeDistribution = ServiceTimeDistribution.FIXED
    service_cv: Annotated[float, msgspec.Meta(ge=0, le=10)] = 0.0
    queue: PositiveInt = 48
    discount: Share = 0.4
    remembers: NonNegativeInt = 2
    deferred: Share = 0.3
    flush_us: PositiveInt = 2_000_000
    cold_share: Share = 0.25
    warm_us: NonNegativeInt = 8_000_000
    notice_us: NonNegativeInt = 700_000
    retries: NonNegativeInt = 1
    backoff_us: PositiveInt = 100_000
    rules: RuleSettings = RuleSettings(
        drain_grace_us=2_000_000,
        fall_multiple=2.0,
        fall_us=2_000_000,
        cold_share=0.25,
        warm_us=8_000_000,
        cold_units=24,
    )
    in_order: bool = False
    plain: Share = 0.0  # fraction of volumes whose clients support no hints; their requests wait in the head
    patience_us: PositiveInt = 20_000_000  # how long the requests of these clients may wait
    heeds_hints: bool = False  # whether the other clients delay a retry as a refusal's hint says
    write_deadline_us: PositiveInt = 2_500_000
    move_deadline_us: PositiveInt = 400_000
    limit: NonNegativeFloat = 4.0  # rate limit of the `basic` plan, as a multiple of a volume's usual rate
    limit_burst: NonNegativeFloat = 0.0  # 0: one second's worth of the limit, at least 64 units
    limit_slack: NonNegativeFloat = 8.0  # units
    net: NetSettings = NetSettings()
    two_regions: TwoRegionSettings | None = None
    troubles: tuple[TroubleSettings, ...] = ()


def parse(form: Form, source: str) -> DaySettings:
    """Bind and check the form of a day. Raises SettingsError with file, line and field."""
    day = bind(form, DaySettings, source)
    for trouble in day.troubles:
        if trouble.from_us >= day.length_us:
            raise SettingsError(
                f"{source}:{form.line}: trouble {trouble.name.value}: begins after the day's end"
            )
    if day.cells > 1 and day.shared and day.two_regions is None:
        raise SettingsError(f"{source}:{form.line}: cells: such a day has (shared 0)")
    if day.volume_bytes % day.extent_bytes or day.extent_bytes % day.unit_bytes:
        raise SettingsError(f"{source}:{form.line}: extent: does not divide the volume into whole units")
    return day


def names() -> list[str]:
    """Return the names of the built-in days."""
    folder = resources.files("harriertrack.lab") / "days"
    return sorted(path.name.removesuffix(".sexp") for path in folder.iterdir() if path.name.endswith(".sexp"))


def load(name: str) -> DaySettings:
    """Read a built-in day by its name, or a day's file by its path. Raises SettingsError."""
    if name in names():
        text = (resources.files("harriertrack.lab") / "days" / f"{name}.sexp").read_text()
        return parse(read_text(text, f"{name}.sexp"), f"{name}.sexp")
    if not Path(name).exists():
        raise SettingsError(f"{name}: no such day; `harriertrack day list` names them")
    return parse(read_file(name), name)
