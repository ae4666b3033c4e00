"""What happens to a fleet, as an S-expression: steps on time and on conditions.

`(fleet-day "name" (about "...") (processes 8) (figures (probe 300ms) ...) (step start)
(step agree (within 10s)) (step kill (who "head3")) ...)`. Steps come one after another; `agree` waits until
it is so. Who is named so that one file plays with any number of heads: `all`, `seeds` (the first two), `rest`
(who is not in `who`), a name, or a share of all by their order, as in `0..0.5`. Days that come with the
program lie in `lab/fleet/days/`.
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
EXPECT_ALL = (0,)  # of a market: all of its closes are to come to pass
# Who decides; who keeps a ledger; who runs what comes in stages; all in the zones of these.
ROLES = ("decider", "keeper", "new", "new-zone")
IN_REGION = {"region-a": 0, "region-b": 1}  # the heads of a region, on days of two
GROUPS = ("all", "seeds", "rest", "shelves", *IN_REGION, *ROLES)


SECOND = 1_000_000
TAKEN_UP_US = 5 * SECOND  # a calendar is on record and taken up by then, also on a busy machine


def proposal_lead_us(closing: ClosingSettings) -> int:
    """Return how long before a close a calendar without it has to be proposed."""
    return closing.notice_us + TAKEN_UP_US


class Verb(Enum):
    """What a step does."""

    START = "start"  # who is not running
    KILL = "kill"  # at once, SIGKILL
    STOP = "stop"  # stand still for `for`, SIGSTOP and SIGCONT
    STARVE = "starve"  # for `for`, stand still for a `share` of each `every`: no processor to be had
    LEAVE = "leave"  # asked to end, SIGTERM
    WEATHER = "weather"  # a fault between `who` and `other`, for `for` or until `heal`
    HEAL = "heal"  # all faults end
    DEMAND = "demand"  # from now on traffic goes to `who` alone, `times` as much of it as usual
    JUMP = "jump"  # for `for`, all traffic goes to one of `who` in turn, `every` so long
    ZONE = "zone"  # nothing passes between `who` and a `zone`'s nodes for `for`; all: they come back cold
    SLOW = "slow"  # the nodes of a `zone` work `times` slower for `for`
    WISH = "wish"  # an operator wishes a `zone` to be `out`, `in`, or has no wish
    PROPOSE = "propose"  # an operator proposes `body` as the next version of a `thing`
    CHANGE = "change"  # an operator wishes what is under way for a `thing` `paused`, `going` or `aborted`
    LIMIT = "limit"  # `who` go by limits `times` those of the day from now on; all: so does who comes later
    MARKET = "market"  # an operator gives market `number` a calendar that closes `after`, and resumes it
    NEAR_CLOSE = "near-close"  # wait until `ahead` past the next close that is due; below 0: before it
    CLOCK = "clock"  # the wall clocks of `who` are `ahead` from now on; simulated days only
    BACKUP = "backup"  # what the witness knows is kept aside
    DARK = "dark"  # the witness is gone for `for`; `old`: it comes back as of the backup
    AGREE = "agree"  # wait until the views of `who` agree, `within` at most
    DECIDED = "decided"  # wait until a `thing`'s newest version is in force or taken back, `within` at most;
    # `stage`: or until heads of that stage are named
    REST = "rest"  # let time pass: `for`
    DRAIN = "drain"  # a `part` of the nodes is listed as draining for `for`; simulated days only
    COLD = "cold"  # a `part` of the nodes is dark for `for`, and comes back cold; simulated days only
    QUIET = "quiet"  # from now on nothing is at fault: what still lasts is awaited, faults are healed


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
    one_way: bool = False  # what `who` sends to `other` alone is struck
    lost: Share = 0.0
    twice: Share = 0.0
    late_us: NonNegativeInt = 0
    jitter_us: NonNegativeInt = 0
    least_bytes: NonNegativeInt = 0
    later: bool = False  # who is started speaks as a later version of the program would
    fresh: bool = False  # started without the state that was kept on disk
    times: NonNegativeFloat = 1.0
    zone: str = ""
    wish: Literal["out", "in", ""] = ""
    thing: str = ""  # that changes
    body: str = ""
    plan: str = ""
    although: str = ""  # it was stopped before
    to: Literal["paused", "going", "aborted", ""] = ""
    stage: NonNegativeInt = 0  # of a rollout, from 1
    number: NonNegativeInt = 0  # of a market
    local: str = "UTC"  # its time zone
    after_us: tuple[NonNegativeInt, ...] = ()  # whole seconds past now, about
    expect_us: tuple[NonNegativeInt, ...] = EXPECT_ALL  # which of these are to come to pass
    # The last of these comes again so often, until the market has its next calendar.
    again_us: NonNegativeInt = 0
    ahead_us: int = 0  # of true time: the wall clock of who is started, or told so; of a close
    skew_us: NonNegativeInt = 0  # and up to so much more or less, drawn for each
    perhaps: bool = False  # an operator's word that may be refused, and is repeated while nobody answers
    old: bool = False
    clock_rate: Annotated[float, msgspec.Meta(ge=0.5, le=2)] = 1.0  # of who is started; processes only


class DayBudgets(BudgetParameters, frozen=True, kw_only=True):
    """What the heads of a day divide; the witness is the day's own."""

    ledgers: PositiveInt = 1
    budgets: tuple[BudgetSettings, ...] = ()


class EndSettings(SettingsStruct, frozen=True, kw_only=True):
    """What all heads run when the day is over: a thing, and its version; 0: what they were started with."""

    name: str
    version: NonNegativeInt = 0
    settled: bool = False  # whatever was decided last: all run the same, and nothing is under way


class FleetDaySettings(SettingsStruct, frozen=True, kw_only=True):
    """A day for a fleet."""

    name: Name
    about: str = ""
    processes: Annotated[int, msgspec.Meta(ge=2, le=400)] = 8
    shelves: PositiveInt = 3
    volumes: NonNegativeInt = 0  # 0: as many as heads
    hosts: PositiveInt = 2  # of each volume
    extent_bytes: BlockSize = 128 << 10
    moving: NonNegativeInt = 0  # volumes of two regions that each pair of heads has, with home in region a
    unit_us: PositiveInt = 200  # that a node works for a unit, on one of its four cores
    limit: NonNegativeFloat = 4.0  # of each third volume, in its usual rate
    limit_burst: NonNegativeFloat = 0.0  # 0: what a second brings
    limit_slack: NonNegativeFloat = 8.0  # units
    budgets: DayBudgets | None = None
    zones: ZonesSettings | None = None
    changes: ChangesSettings | None = None
    closing: ClosingSettings | None = None
    close_bound_us: PositiveInt = 1_000_000  # within which of a close every head has closed
    markets: PositiveInt = 1
    desks: bool = True  # each head has a volume of its own of each market; a rollout would take it away
    regions: bool = False  # heads in pairs, one in each region; markets' own volumes are of two regions
    wall: str = ""  # the instant, UTC, at which heads' clocks stand when the day begins; "": the machine's
    ends: tuple[EndSettings, ...] = ()
    launched: bool = False  # heads have launchers, and programs can change
    zones_at: Share = 1.0  # so many of each ten heads have zones; the others help themselves
    scoring: ScoringSettings | None = None
    scoring_later: ScoringSettings | None = None  # of who is started as a later version would be
    liars: tuple[str, ...] = ()  # heads that say of nodes the contrary of what they see
    sway: NonNegativeFloat = 3.4  # powers of two that a weight may go to and fro in ten seconds
    shared: Share = 1.0  # of the volumes: with several hosts each, and extents whose places are settled
    may_leave: tuple[str, ...] = ()  # zones that the fleet may leave on this day
    hears_us: NonNegativeInt = 0  # who starts while nobody uses a zone leaves it within this; 0: not judged
    rate: NonNegativeFloat = 8.0  # requests a second, a head
    detect_us: PositiveInt = 20_000_000  # the longest that a death may go unnoticed
    figures: FleetParameters = FleetParameters()
    steps: tuple[StepSettings, ...] = ()


def check(day: FleetDaySettings, where: str) -> None:
    """Check what the fields' types can't: what steps need. Raises SettingsError."""
    if day.regions and (day.budgets is None or not (day.closing or day.moving) or day.shared):
        raise SettingsError(f"{where}: regions: such a day has budgets, closing or moving, and (shared 0)")
    if day.moving and not day.regions:
        raise SettingsError(f"{where}: moving: only on a day of two regions")
    for number, step in enumerate(day.steps, start=1):
        at = f"{where}: step {number} {step.name.value}"
        for field, words in (("who", step.who), ("other", step.other), ("liars", day.liars)):
            for word in words:
                if word not in GROUPS and not NAMED.match(word) and not SPAN.match(word):
                    raise SettingsError(f"{at}: {field}: {word}: no name, group or share such as 0..0.5")
        if "rest" in step.who:
            raise SettingsError(f"{at}: who: rest is the rest of who")
        lasting = (Verb.STOP, Verb.STARVE, Verb.REST, Verb.JUMP, Verb.DARK, Verb.ZONE, Verb.SLOW,
                   Verb.DRAIN, Verb.COLD)  # fmt: skip
        if step.name in lasting and not step.for_us:
            raise SettingsError(f"{at}: for: is needed")
        if step.name in (Verb.ZONE, Verb.SLOW, Verb.WISH) and step.zone not in ZONES:
            raise SettingsError(f"{at}: zone: one of {', '.join(ZONES)}")
        if step.name in (Verb.PROPOSE, Verb.CHANGE) and (day.changes is None or not step.thing):
            raise SettingsError(f"{at}: thing: is needed, on a day with changes")
        if step.name is Verb.LIMIT and (day.changes is None or day.budgets is None or not step.times):
            raise SettingsError(f"{at}: times: is needed above 0, on a day with budgets and changes")
        if step.perhaps and step.name not in (Verb.PROPOSE, Verb.CHANGE, Verb.WISH, Verb.LIMIT, Verb.MARKET):
            raise SettingsError(f"{at}: perhaps: is for what operators say")
        staged = day.changes is not None and day.changes.rollout is not None
        if step.name is Verb.LIMIT and staged:
            raise SettingsError(f"{at}: with (rollout ...) the day does not bring settings about")
        if step.name is Verb.PROPOSE and step.thing in ("settings", "program") and not staged:
            raise SettingsError(f"{at}: thing: nobody brings {step.thing} about without (rollout ...)")
        if (step.name is Verb.CHANGE) != bool(step.to):
            raise SettingsError(f"{at}: to: a change, and no other step, is paused, going or aborted")
        if step.name is Verb.MARKET and (day.closing is None or step.number >= day.markets):
            raise SettingsError(f"{at}: number: no such market, or no (closing ...)")
        if step.name is Verb.NEAR_CLOSE and day.closing is None:
            raise SettingsError(f"{at}: there are no closes on this day")
        if (
            step.again_us
            and day.closing is not None
            and step.again_us < proposal_lead_us(day.closing) + SECOND
        ):
            raise SettingsError(f"{at}: again: leaves no time to stop it between two closes")
        if step.fresh and day.closing is not None:
            raise SettingsError(f"{at}: fresh: what was written and what closes purged is on a head's disk")
        if step.name is Verb.CLOCK and day.closing is None:
            raise SettingsError(f"{at}: clocks are of no matter on a day without (closing ...)")
        if step.name in (Verb.DARK, Verb.WISH, Verb.BACKUP) and day.budgets is None:
            raise SettingsError(f"{at}: there is no witness on a day without budgets")
        struck = step.cut or step.lost or step.twice or step.late_us or step.jitter_us
        if (step.name is Verb.WEATHER) != bool(struck):
            raise SettingsError(f"{at}: a weather, and no other step, has cut, lost, twice, late or jitter")


SIMULATED = (Verb.CLOCK, Verb.DRAIN, Verb.COLD)  # steps that only simulated days have


def parse(form: Form, source: str) -> FleetDaySettings:
    """Check a form of a fleet's day. Raises SettingsError with file, line and field."""
    day = bind(form, FleetDaySettings, source)
    check(day, f"{source}:{form.line}")
    return day


def names() -> list[str]:
    """Return the names of the days that come with the program."""
    folder = resources.files("harriertrack.lab.fleet") / "days"
    return sorted(one.name.removesuffix(".sexp") for one in folder.iterdir() if one.name.endswith(".sexp"))


def load(name: str) -> FleetDaySettings:
    """Read a day by its name, or by a file's path. Raises SettingsError."""
    if name in names():
        text = (resources.files("harriertrack.lab.fleet") / "days" / f"{name}.sexp").read_text()
        return parse(read_text(text, f"{name}.sexp"), f"{name}.sexp")
    if not Path(name).exists():
        raise SettingsError(f"{name}: no such day; `harriertrack fleet days` names them")
    return parse(read_file(name), name)


def without_views(day: FleetDaySettings) -> FleetDaySettings:
    """Return the same day for heads that have no view: nothing is waited for, time passes instead."""
    rest = StepSettings(name=Verb.REST, for_us=2_000_000)
    steps = tuple(rest if step.name is Verb.AGREE else step for step in day.steps)
    return msgspec.structs.replace(day, steps=steps)


def select_heads(words: tuple[str, ...], heads: list[str], but: tuple[str, ...] = ()) -> list[str]:
    """Return the heads that words name, in order; `rest` are those that are not in `but`."""
    found: dict[str, None] = {}
    for word in words:
        span = SPAN.match(word)
        if word == "all":
            found.update(dict.fromkeys(heads))
        elif word == "seeds":
            found.update(dict.fromkeys(heads[:2]))
        elif word == "rest":
            found.update(dict.fromkeys(name for name in heads if name not in but))
        elif span is not None:
            least, most = (round(float(part) * len(heads)) for part in span.groups())
            found.update(dict.fromkeys(heads[least:most]))
        elif word in IN_REGION:
            found.update(dict.fromkeys(heads[IN_REGION[word] :: len(IN_REGION)]))
        elif word in heads:
            found[word] = None
    return list(found)
