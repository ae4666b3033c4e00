"""Scripts of fleet experiments ("days") as S-expressions: timed steps and steps that wait for a condition.

`(fleet-day "name" (about "...") (processes 8) (figures (probe 300ms) ...) (step start)
(step agree (within 10s)) (step kill (who "head3")) ...)`. Steps run one after another; `agree` blocks until
the heads' views agree. Targets are written so that one file works with any number of heads: `all`, `seeds`
(the first two), `rest` (those that are not in `who`), a name, or a range of fractions of all heads in their
order, as in `0..0.5`. Built-in days are in `lab/fleet/days/`.
"""

from __future__ import annotations

import re
from enum import Enum
from importlib import resources
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from harriertrack.config.settings import (
    BlockSize,
    BudgetParameters,
    BudgetSettings,
    ChangesSettings,
    ClosingSettings,
    FleetParameters,
    Name,
    NonNegativeFloat,
    NonNegativeInt,
    PositiveInt,
    ScoringSettings,
    SettingsStruct,
    Share,
    ZonesSettings,
    read_file,
)
from harriertrack.config.sexp import Form, SettingsError, bind, read_text

SPAN = re.compile(r"(\d+(?:\.\d+)?)\.\.(\d+(?:\.\d+)?)\Z")
NAMED = re.compile(r"(?:head|node)\d+\Z|list\Z|witness\Z")
ZONES = ("z0", "z1", "z2")
EXPECT_ALL = (0,)  # default of `expect`: all of a market's closes must take place
# The deciding head; a head that holds a ledger; heads that run a new version; all heads in their zones.
ROLES = ("decider", "keeper", "new", "new-zone")
REGION_INDEXES = {"region-a": 0, "region-b": 1}  # groups of the heads of one region, on days of two regions
GROUPS = ("all", "seeds", "rest", "shelves", *REGION_INDEXES, *ROLES)


SECOND = 1_000_000
CALENDAR_APPLIED_US = 5 * SECOND  # a calendar is recorded and in use by then, also on a busy machine


def proposal_lead_us(closing: ClosingSettings) -> int:
    """Return how long before a close a calendar that drops it must be proposed."""
    return closing.notice_us + CALENDAR_APPLIED_US


class Verb(Enum):
    """The action of a step."""

    START = "start"  # start those of `who` that are not running
    KILL = "kill"  # kill at once, SIGKILL
    STOP = "stop"  # suspend for `for`, SIGSTOP and SIGCONT
    STARVE = "starve"  # for `for`, suspend for a `share` of each `every`, as if no processor were available
    LEAVE = "leave"  # ask to end, SIGTERM
    WEATHER = "weather"  # a network fault between `who` and `other`, for `for` or until `heal`
    HEAL = "heal"  # all faults end
    DEMAND = "demand"  # from now on traffic goes to `who` alone, at `times` its usual rate
    JUMP = "jump"  # for `for`, all traffic goes to one of `who` in turn, each for `every`
    ZONE = "zone"  # no traffic between `who` and a `zone`'s nodes for `for`; with all: nodes return cold
    SLOW = "slow"  # the nodes of a `zone` work `times` slower for `for`
    WISH = "wish"  # an operator requests that a `zone` be `out` or `in`, or withdraws the request
    PROPOSE = "propose"  # an operator proposes `body` as the next version of a `thing`
    CHANGE = (
        "change"  # an operator sets the version in progress of a `thing` to `paused`, `going` or `aborted`
    )
    LIMIT = "limit"  # `who` apply limits `times` those of the day from now on; all: also heads started later
    MARKET = "market"  # an operator gives market `number` a calendar with closes `after`, and resumes it
    NEAR_CLOSE = "near-close"  # wait until `ahead` past the next close that is due; below 0: before it
    CLOCK = "clock"  # the wall clocks of `who` are `ahead` of true time from now on; simulated days only
    BACKUP = "backup"  # the witness's state is saved as a backup
    DARK = "dark"  # the witness is down for `for`; `old`: it returns with the state of the backup
    AGREE = "agree"  # wait until the views of `who` agree, `within` at most
    DECIDED = "decided"  # wait until a `thing`'s newest version is in force or rolled back, `within` at most;
    # `stage`: or until the heads of that stage are selected
    REST = "rest"  # let time pass: `for`
    DRAIN = "drain"  # a `part` of the nodes is listed as draining for `for`; simulated days only
    COLD = "cold"  # a `part` of the nodes is down for `for`, and returns cold; simulated days only
    QUIET = "quiet"  # no faults from now on: waits for those in progress to end, heals network faults


class StepSettings(SettingsStruct, frozen=True, kw_only=True):
    """One step."""

    name: Verb
    who: tuple[str, ...] = ("all",)
    other: tuple[str, ...] = ("rest",)
    part: Share = 1.0  # of `who`, drawn from the seed
    for_us: NonNegativeInt = 0
    share: Share = 0.7
    every_us: PositiveInt = 200_000
    within_us: PositiveInt = 30_000_000
    cut: bool = False
    one_way: bool = False  # the fault affects only what `who` sends to `other`
    lost: Share = 0.0
    twice: Share = 0.0
    late_us: NonNegativeInt = 0
    jitter_us: NonNegativeInt = 0
    least_bytes: NonNegativeInt = 0
    later: bool = False  # started heads send datagrams as a later version of the program would
    fresh: bool = False  # heads start without their state on disk
    times: NonNegativeFloat = 1.0
    zone: str = ""
    wish: Literal["out", "in", ""] = ""
    thing: str = ""  # the versioned object of a change: settings, program, a calendar
    body: str = ""
    plan: str = ""
    although: str = ""  # why to propose it again after it was stopped before
    to: Literal["paused", "going", "aborted", ""] = ""
    stage: NonNegativeInt = 0  # of a rollout, from 1
    number: NonNegativeInt = 0  # of a market
    local: str = "UTC"  # the market's time zone
    after_us: tuple[NonNegativeInt, ...] = ()  # closes, from now; rounded up to whole seconds
    expect_us: tuple[NonNegativeInt, ...] = EXPECT_ALL  # which of these closes must take place
    # The last of these closes repeats with this period until the market has its next calendar.
    again_us: NonNegativeInt = 0
    ahead_us: int = 0  # of heads' wall clocks (start, clock): past true time; of near-close: past the close
    skew_us: NonNegativeInt = 0  # and up to this much more or less, drawn for each head
    perhaps: bool = False  # an operator's request that may be refused, and is repeated while unanswered
    old: bool = False
    clock_rate: Annotated[float, msgspec.Meta(ge=0.5, le=2)] = 1.0  # of started heads; processes only


class DayBudgets(BudgetParameters, frozen=True, kw_only=True):
    """The budgets that the heads of a day share; the rig provides the witness."""

    ledgers: PositiveInt = 1
    budgets: tuple[BudgetSettings, ...] = ()


class EndSettings(SettingsStruct, frozen=True, kw_only=True):
    """The version of a thing that all heads must run at the end of the day; 0: the one they started with."""

    name: str
    version: NonNegativeInt = 0
    settled: bool = False  # any version will do: all heads run the same one, and no change is in progress


class FleetDaySettings(SettingsStruct, frozen=True, kw_only=True):
    """A scripted experiment with a fleet."""

    name: Name
    about: str = ""
    processes: Annotated[int, msgspec.Meta(ge=2, le=400)] = 8
    shelves: PositiveInt = 3
    volumes: NonNegativeInt = 0  # 0: as many as heads
    hosts: PositiveInt = 2  # of each volume
    extent_bytes: BlockSize = 128 << 10
    moving: NonNegativeInt = 0  # two-region volumes of each pair of heads, with their home in region a
    unit_us: PositiveInt = 200  # a node's service time for a unit, on one of its four cores
    limit: NonNegativeFloat = 4.0  # of every third volume, as a multiple of its usual rate
    limit_burst: NonNegativeFloat = 0.0  # 0: one second's worth of the limit
    limit_slack: NonNegativeFloat = 8.0  # units
    budgets: DayBudgets | None = None
    zones: ZonesSettings | None = None
    changes: ChangesSettings | None = None
    closing: ClosingSettings | None = None
    close_bound_us: PositiveInt = 1_000_000  # every head must have closed within this time after a close
    markets: PositiveInt = 1
    desks: bool = True  # each head has its own volume in each market; a rollout would make it unavailable
    regions: bool = False  # heads in pairs, one in each region; the desks of markets span both regions
    wall: str = ""  # the heads' wall clock time (UTC) when the day begins; "": the machine's
    ends: tuple[EndSettings, ...] = ()
    launched: bool = False  # heads have launchers, and programs can change
    zones_at: Share = 1.0  # share of each ten heads that take part in zone decisions; the others act alone
    scoring: ScoringSettings | None = None
    scoring_later: ScoringSettings | None = None  # of heads that are started as a later version
    liars: tuple[str, ...] = ()  # heads that publish the inverse of the weights they measured
    sway: NonNegativeFloat = 3.4  # powers of two by which a weight may go back and forth in ten seconds
    shared: Share = 1.0  # share of volumes that have several hosts and extents with fixed placement
    may_leave: tuple[str, ...] = ()  # zones that the fleet may stop using on this day
    hears_us: NonNegativeInt = 0  # a head started while a zone is unused must leave it in time; 0: not judged
    rate: NonNegativeFloat = 8.0  # requests a second per head
    detect_us: PositiveInt = 20_000_000  # the longest time in which a death may go undetected
    figures: FleetParameters = FleetParameters()
    steps: tuple[StepSettings, ...] = ()


def check(day: FleetDaySettings, where: str) -> None:
    """Check constraints between fields, such as what each step requires. Raises SettingsError."""
    if day.regions and (day.budgets is None or not (day.closing or day.moving) or day.shared):
        raise SettingsError(f"{where}: regions: requires budgets, closing or moving, and (shared 0)")
    if day.moving and not day.regions:
        raise SettingsError(f"{where}: moving: only on a day of two regions")
    for number, step in enumerate(day.steps, start=1):
        at = f"{where}: step {number} {step.name.value}"
        for field, targets in (("who", step.who), ("other", step.other), ("liars", day.liars)):
            for target in targets:
                if target not in GROUPS and not NAMED.match(target) and not SPAN.match(target):
                    raise SettingsError(f"{at}: {field}: {target}: no name, group or range such as 0..0.5")
        if "rest" in step.who:
            raise SettingsError(f"{at}: who: rest is defined as those not in who, and can't be used here")
        timed = (Verb.STOP, Verb.STARVE, Verb.REST, Verb.JUMP, Verb.DARK, Verb.ZONE, Verb.SLOW,
                 Verb.DRAIN, Verb.COLD)  # fmt: skip
        if step.name in timed and not step.for_us:
            raise SettingsError(f"{at}: for: is needed")
        if step.name in (Verb.ZONE, Verb.SLOW, Verb.WISH) and step.zone not in ZONES:
            raise SettingsError(f"{at}: zone: one of {', '.join(ZONES)}")
        if step.name in (Verb.PROPOSE, Verb.CHANGE) and (day.changes is None or not step.thing):
            raise SettingsError(f"{at}: thing: is needed, on a day with changes")
        if step.name is Verb.LIMIT and (day.changes is None or day.budgets is None or not step.times):
            raise SettingsError(f"{at}: times: is needed above 0, on a day with budgets and changes")
        if step.perhaps and step.name not in (Verb.PROPOSE, Verb.CHANGE, Verb.WISH, Verb.LIMIT, Verb.MARKET):
            raise SettingsError(f"{at}: perhaps: only for requests of operators")
        staged = day.changes is not None and day.changes.rollout is not None
        if step.name is Verb.LIMIT and staged:
            raise SettingsError(f"{at}: with (rollout ...) the day can't set limits itself")
        if step.name is Verb.PROPOSE and step.thing in ("settings", "program") and not staged:
            raise SettingsError(f"{at}: thing: {step.thing} can't be rolled out without (rollout ...)")
        if (step.name is Verb.CHANGE) != bool(step.to):
            raise SettingsError(f"{at}: to: paused, going or aborted, for a change step and no other")
        if step.name is Verb.MARKET and (day.closing is None or step.number >= day.markets):
            raise SettingsError(f"{at}: number: no such market, or no (closing ...)")
        if step.name is Verb.NEAR_CLOSE and day.closing is None:
            raise SettingsError(f"{at}: no closes on a day without (closing ...)")
        if (
            step.again_us
            and day.closing is not None
            and step.again_us < proposal_lead_us(day.closing) + SECOND
        ):
            raise SettingsError(f"{at}: again: too short to replace the calendar between two closes")
        if step.fresh and day.closing is not None:
            raise SettingsError(f"{at}: fresh: would lose the record of writes and purges on the head's disk")
        if step.name is Verb.CLOCK and day.closing is None:
            raise SettingsError(f"{at}: clocks have no effect on a day without (closing ...)")
        if step.name in (Verb.DARK, Verb.WISH, Verb.BACKUP) and day.budgets is None:
            raise SettingsError(f"{at}: there is no witness on a day without budgets")
        has_fault = step.cut or step.lost or step.twice or step.late_us or step.jitter_us
        if (step.name is Verb.WEATHER) != bool(has_fault):
            raise SettingsError(
                f"{at}: weather, and no other step, needs one of cut, lost, twice, late, jitter"
            )


SIMULATED = (Verb.CLOCK, Verb.DRAIN, Verb.COLD)  # steps that only simulated days support


def parse(form: Form, source: str) -> FleetDaySettings:
    """Parse and check a `(fleet-day ...)` form. Raises SettingsError with file, line and field."""
    day = bind(form, FleetDaySettings, source)
    check(day, f"{source}:{form.line}")
    return day


def names() -> list[str]:
    """Return the names of the built-in days."""
    folder = resources.files("harriertrack.lab.fleet") / "days"
    return sorted(file.name.removesuffix(".sexp") for file in folder.iterdir() if file.name.endswith(".sexp"))


def load(name: str) -> FleetDaySettings:
    """Read a built-in day by its name, or any day by its file's path. Raises SettingsError."""
    if name in names():
        text = (resources.files("harriertrack.lab.fleet") / "days" / f"{name}.sexp").read_text()
        return parse(read_text(text, f"{name}.sexp"), f"{name}.sexp")
    if not Path(name).exists():
        raise SettingsError(f"{name}: no such day; `harriertrack fleet days` names them")
    return parse(read_file(name), name)


def without_views(day: FleetDaySettings) -> FleetDaySettings:
    """Return the day for heads without a fleet view: it rests where it would wait for views to agree."""
    rest = StepSettings(name=Verb.REST, for_us=2_000_000)
    steps = tuple(rest if step.name is Verb.AGREE else step for step in day.steps)
    return msgspec.structs.replace(day, steps=steps)


def select_heads(targets: tuple[str, ...], heads: list[str], excluded: tuple[str, ...] = ()) -> list[str]:
    """Return the heads that targets name, in order; `rest` are those that are not in `excluded`."""
    selected: dict[str, None] = {}
    for target in targets:
        span = SPAN.match(target)
        if target == "all":
            selected.update(dict.fromkeys(heads))
        elif target == "seeds":
            selected.update(dict.fromkeys(heads[:2]))
        elif target == "rest":
            selected.update(dict.fromkeys(name for name in heads if name not in excluded))
        elif span is not None:
            first, end = (round(float(fraction) * len(heads)) for fraction in span.groups())
            selected.update(dict.fromkeys(heads[first:end]))
        elif target in REGION_INDEXES:
            selected.update(dict.fromkeys(heads[REGION_INDEXES[target] :: len(REGION_INDEXES)]))
        elif target in heads:
            selected[target] = None
    return list(selected)
