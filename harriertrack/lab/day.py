"""A day: machines, load, troubles and a seed, as an S-expression.

`(day "name" (about "...") (length 12s) (nodes 4) ... (trouble hang (from 3s) (for 4s) (part 0.25)))`. Days
that come with the program lie in `lab/days/`.
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
    """The kinds of trouble a day can hold; docs/operators/days.md says what each does."""

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
    """One trouble: when, for how long, on which part of the machines, and how much."""

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
    """A day of two regions, `a` and `b`, each with one head and the day's nodes."""

    mode: Mode = Mode.BOTH
    delay_us: NonNegativeInt = 5_000
    jitter_us: NonNegativeInt = 1_000
    ttl_us: PositiveInt = 1_500_000
    clock_error: Share = 0.01
    clock_rate: NonNegativeFloat = 1.0  # of the witness's clock
    copy_us: PositiveInt = 400_000
    behind_us: PositiveInt = 1_000_000


class NetSettings(SettingsStruct, frozen=True, kw_only=True):
    """How long messages take in the emulator; on a rig with sockets the machine decides."""

    client_us: NonNegativeInt = 50
    same_zone_us: NonNegativeInt = 200
    cross_zone_us: NonNegativeInt = 600
    jitter: Share = 0.2  # a message takes up to this much longer
    handshake_trips: PositiveInt = 4  # round trips until a new link carries requests


class DaySettings(SettingsStruct, frozen=True, kw_only=True):
    """A day."""

    name: Name
    about: str = ""
    length_us: PositiveInt = 12_000_000
    heads: PositiveInt = 2
    nodes: PositiveInt = 4
    zones: tuple[str, ...] = ("here",)
    rate: NonNegativeFloat = 120.0
    volumes: PositiveInt = 6
    shared: Share = 0.5
    hosts: PositiveInt = 2  # of a shared volume
    beside: tuple[VolumeSettings, ...] = ()  # further volumes, on which no flow goes
    cells: PositiveInt = 1  # shards and volumes are dealt to them in turn
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
    plain: Share = 0.0  # of the volumes: their clients hear no hints, and wait in the head
    patience_us: PositiveInt = 20_000_000  # of these clients
    heeds_hints: bool = False  # the others come again when a refusal's hint says so, no sooner
    write_deadline_us: PositiveInt = 2_500_000
    move_deadline_us: PositiveInt = 400_000
    limit: NonNegativeFloat = 4.0  # of a volume on the plan with a limit, in its usual rate
    limit_burst: NonNegativeFloat = 0.0  # 0: what a second brings
    limit_slack: NonNegativeFloat = 8.0  # units
    net: NetSettings = NetSettings()
    two_regions: TwoRegionSettings | None = None
    troubles: tuple[TroubleSettings, ...] = ()


def parse(form: Form, source: str) -> DaySettings:
    """Check a form of a day. Raises SettingsError with file, line and field."""
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
    """Return the names of the days that come with the program."""
    folder = resources.files("harriertrack.lab") / "days"
    return sorted(path.name.removesuffix(".sexp") for path in folder.iterdir() if path.name.endswith(".sexp"))


def load(name: str) -> DaySettings:
    """Read a day by its name, or by a file's path. Raises SettingsError."""
    if name in names():
        text = (resources.files("harriertrack.lab") / "days" / f"{name}.sexp").read_text()
        return parse(read_text(text, f"{name}.sexp"), f"{name}.sexp")
    if not Path(name).exists():
        raise SettingsError(f"{name}: no such day; `harriertrack day list` names them")
    return parse(read_file(name), name)
