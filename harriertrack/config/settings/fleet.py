"""A head as a member of a fleet: membership, budgets that heads divide, zones, changes and closes."""

from __future__ import annotations

from enum import Enum
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
from harriertrack.config.settings.scoring import ScoringSettings


class FleetSeedSettings(SettingsStruct, frozen=True, kw_only=True):
    """A member that the head contacts to join the fleet."""

    name: Name
    address: tuple[str, Port]


class BudgetName(Enum):
    """Budgets that heads divide among themselves; decisions/fleet/budget_shares.py describes each."""

    LIMITS = "limits"
    ATTEMPTS = "attempts"
    TRIALS = "trials"
    COLD = "cold"
    LIST_CALLS = "list-calls"
    TAKEOVERS = "takeovers"
    CONNECTIONS = "connections"
    LINKS = "links"


class BudgetSettings(SettingsStruct, frozen=True, kw_only=True):
    """One kind of budget. The totals of limits are given by the plans, those of cold nodes by the rules."""

    name: BudgetName
    fixed: Share = 0.1  # the part that is divided evenly in advance and never moves
    whole: Reloadable[NonNegativeFloat] = 0.0  # total per second; of links: at a time
    burst: Reloadable[NonNegativeFloat] = 0.0  # that may be used at once


class BudgetParameters(SettingsStruct, frozen=True, kw_only=True):
    """Parameters of leases, ledgers and terms; decisions/fleet/budgets.py describes each."""

    lease_us: PositiveInt = 1_000_000
    ask_us: PositiveInt = 300_000
    quick_us: PositiveInt = 50_000
    round_us: PositiveInt = 50_000
    clock_error: Annotated[float, msgspec.Meta(ge=0, le=0.2)] = 0.001
    term_us: PositiveInt = 10_000_000
    patience_us: PositiveInt = 2_000_000
    contenders: PositiveInt = 5
    weight: Annotated[float, msgspec.Meta(ge=0.01, le=100)] = 1.0


class FleetBudgetSettings(BudgetParameters, frozen=True, kw_only=True):
    """The budgets that heads divide by demand, and the witness that has the locks of their ledgers."""

    witness: tuple[str, Port]
    timeout_us: PositiveInt = 1_000_000
    ledgers: Annotated[int, msgspec.Meta(ge=1, le=64)] = 1
    budgets: tuple[BudgetSettings, ...] = ()


class ZonesSettings(SettingsStruct, frozen=True, kw_only=True):
    """How the fleet leaves zones and returns; decisions/fleet/zones/zone_decision.py describes each."""

    gone: Reloadable[Share] = 0.8
    gone_us: Reloadable[PositiveInt] = 300_000
    fresh_us: Reloadable[PositiveInt] = 1_500_000
    heads: Reloadable[PositiveInt] = 2
    wait_us: Reloadable[PositiveInt] = 1_000_000
    most_wait_us: Reloadable[PositiveInt] = 60_000_000
    tries: Reloadable[PositiveInt] = 3
    turn_us: Reloadable[PositiveInt] = 3_000_000
    answers: Reloadable[Share] = 0.7
    first: Reloadable[Annotated[float, msgspec.Meta(gt=0, le=1)]] = 0.1
    growth: Reloadable[Annotated[float, msgspec.Meta(gt=1, le=10)]] = 3.0
    step_us: Reloadable[PositiveInt] = 500_000
    hurts: Reloadable[Share] = 0.2
    calm_us: Reloadable[PositiveInt] = 120_000_000
    told_us: Reloadable[PositiveInt] = 3_000_000


class RolloutSettings(SettingsStruct, frozen=True, kw_only=True):
    """A head's part in rollouts, which bring a version to the fleet in stages."""

    report_us: PositiveInt = 1_000_000  # interval of a head's reports on its answers
    look_us: PositiveInt = 1_000_000  # interval in which the deciding head checks what is due


class ChangesSettings(SettingsStruct, frozen=True, kw_only=True):
    """How a head follows the fleet's record of changes, which is stored at the budgets' witness."""

    look_us: PositiveInt = 1_000_000  # interval in which the deciding head checks for changes by operators
    spread_us: PositiveInt = 2_000_000  # heads that learn of a newer record fetch it spread over this time
    rollout: RolloutSettings | None = None  # None: the head applies versions, but decides no rollouts


class ClosingSettings(SettingsStruct, frozen=True, kw_only=True):
    """Purges at a market's local close; decisions/fleet/closing describes each parameter.

    `volumes`: patterns of the volumes of this head that calendars may purge.
    """

    volumes: tuple[str, ...]
    notice_us: Annotated[int, msgspec.Meta(ge=1_000_000)] = 60_000_000
    ask_us: PositiveInt = 5_000_000
    error_us: PositiveInt = 250_000  # the largest distance of a correct machine's wall clock from true time
    drift: Annotated[float, msgspec.Meta(ge=0, le=0.05)] = 0.0005
    rate: Annotated[float, msgspec.Meta(gt=0, le=1e6)] = 200.0  # trims per second of all heads together
    burst: Annotated[float, msgspec.Meta(ge=1, le=1e4)] = 8.0
    in_flight: PositiveInt = 4
    spread_us: NonNegativeInt = 500_000


class FleetParameters(SettingsStruct, frozen=True, kw_only=True):
    """Parameters of the fleet's membership protocol; membership/fleet/swim/rules.py describes each."""

    probe_us: Reloadable[PositiveInt] = 1_000_000
    answer_us: Reloadable[PositiveInt] = 500_000
    helpers: Reloadable[PositiveInt] = 3
    suspicion: Reloadable[Annotated[float, msgspec.Meta(ge=1, le=100)]] = 5.0
    slack: Reloadable[Annotated[float, msgspec.Meta(ge=1, le=100)]] = 6.0
    confirmations: Reloadable[PositiveInt] = 3
    gossip_us: Reloadable[PositiveInt] = 200_000
    fanout: Reloadable[PositiveInt] = 3
    repeats: Reloadable[Annotated[float, msgspec.Meta(ge=1, le=100)]] = 6.0
    sync_us: Reloadable[PositiveInt] = 30_000_000
    reach_us: Reloadable[PositiveInt] = 10_000_000
    recent_us: Reloadable[PositiveInt] = 30_000_000
    forget_us: Reloadable[PositiveInt] = 24 * 3600 * 1_000_000
    members: Annotated[int, msgspec.Meta(ge=2, le=10_000)] = 1024
    note_us: Reloadable[PositiveInt] = 5_000_000
    topic_bytes: Annotated[int, msgspec.Meta(ge=300, le=1_000_000)] = 2000
    leave_us: Reloadable[PositiveInt] = 1_000_000


class FleetSettings(FleetParameters, frozen=True, kw_only=True):
    """A head's membership of a fleet."""

    name: Annotated[str, msgspec.Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9._:-]+$")]
    listen: tuple[str, Port]  # for datagrams, and over TCP for queries of the view
    advertise: tuple[str, Port] = ("", 0)  # the address at which others reach it, if a different one
    fleet: Annotated[str, msgspec.Meta(min_length=1, max_length=64)] = "fleet"
    cell: Annotated[str, msgspec.Meta(max_length=64)] = ""
    seeds: tuple[FleetSeedSettings, ...] = ()
    budgets: FleetBudgetSettings | None = None  # None: each head uses an even share
    zones: ZonesSettings | None = None  # None: each head reacts alone when a zone fails
    changes: ChangesSettings | None = None  # None: settings and program stay as at the head's start
    closing: ClosingSettings | None = None  # None: nothing is purged at closes
    scoring: ScoringSettings | None = None  # None: heads share no weights of nodes
