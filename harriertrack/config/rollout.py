"""Plans of rollouts, bodies of programs, and the settings of a launcher, as S-expressions.

`(plan (away 2) (before 2min) (stage "one" (heads 1) (soak 60s) (least 200)) (stage "half" (share 0.5)) ...)`
lies in a version's `plan`, `(program "2.1" (folder "/opt/harriertrack/2.1") (level 2))` in the body of one of
`program`. What a plan does not say is as usual.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from harriertrack.config.settings.basis import (
    NonNegativeFloat,
    NonNegativeInt,
    PositiveInt,
    SettingsStruct,
    Share,
    find_duplicates,
)
from harriertrack.config.settings.reading import read_file
from harriertrack.config.sexp import SettingsError, bind, form_keyword, read_text
from harriertrack.decisions.fleet.changes.record import Kind, Version
from harriertrack.decisions.fleet.rollout.launch_state import LaunchRules, Program
from harriertrack.decisions.fleet.rollout.plan import DEFAULT_PLAN, Bounds, Measure, Plan, Stage

MOST_STAGES = 32
_STAGE, _BOUNDS, _RULES = Stage(""), Bounds(), LaunchRules()
Label = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Times = Annotated[float, msgspec.Meta(gt=1, le=1000)]
Chance = Annotated[float, msgspec.Meta(gt=0, lt=0.5)]


class StageSettings(SettingsStruct, frozen=True, kw_only=True):
    """One stage; decisions/fleet/rollout/plan.py tells what each figure is."""

    name: Label
    heads: NonNegativeInt = 0
    share: Share = 0.0
    zones: tuple[str, ...] = ()
    cells: tuple[str, ...] = ()
    regions: tuple[str, ...] = ()
    soak_us: NonNegativeInt = _STAGE.soak_us
    least: NonNegativeInt = _STAGE.least


class BoundsSettings(SettingsStruct, frozen=True, kw_only=True):
    """What counts as worse."""

    times: Times = _BOUNDS.times
    more: Annotated[float, msgspec.Meta(gt=0, le=1)] = _BOUNDS.more
    wrongly: Chance = _BOUNDS.wrongly
    missed: Chance = _BOUNDS.missed
    early: Chance = _BOUNDS.early
    falls: PositiveInt = _BOUNDS.falls
    crashes: NonNegativeInt = _BOUNDS.crashes
    memory: NonNegativeFloat = _BOUNDS.memory
    processor: NonNegativeFloat = _BOUNDS.processor


class PlanSettings(SettingsStruct, frozen=True, kw_only=True):
    """A plan."""

    stages: Annotated[tuple[StageSettings, ...], msgspec.Meta(max_length=MOST_STAGES)] = ()
    away: PositiveInt = DEFAULT_PLAN.away
    away_share: Share = DEFAULT_PLAN.away_share
    back_away: PositiveInt = DEFAULT_PLAN.back_away
    back_share: Share = DEFAULT_PLAN.back_share
    alone: bool = DEFAULT_PLAN.alone
    missing: Share = DEFAULT_PLAN.missing
    before_us: NonNegativeInt = DEFAULT_PLAN.before_us
    settle_us: NonNegativeInt = DEFAULT_PLAN.settle_us
    ready_us: PositiveInt = DEFAULT_PLAN.ready_us
    patience_us: PositiveInt = DEFAULT_PLAN.patience_us
    compares: tuple[Measure, ...] = tuple(Measure)
    bounds: BoundsSettings = BoundsSettings()


class ProgramSettings(SettingsStruct, frozen=True, kw_only=True):
    """A version of the program."""

    name: Label
    folder: str = ""  # of its environment, with bin/harriertrack in it; empty: the launcher's own
    arguments: tuple[str, ...] = ()  # more, after those of the launcher's settings
    level: NonNegativeInt = 0  # the highest feature level that it understands; 0: it does not say


class LaunchSettings(SettingsStruct, frozen=True, kw_only=True):
    """A head's launcher."""

    name: Label
    head: str  # the file of the head's settings
    state: str  # a folder of the launcher's own
    folders: tuple[str, ...] = ()  # below which environments of programs lie; others are not started
    arguments: tuple[str, ...] = ()  # of every head, such as "--log" "json"
    ready_us: PositiveInt = _RULES.ready_us
    prove_us: PositiveInt = _RULES.prove_us
    drain_us: PositiveInt = _RULES.drain_us
    tries: PositiveInt = _RULES.tries


def plan_of_version(version: Version) -> Plan:
    """Return the plan of a version, what is usual if it names none. Raises SettingsError."""
    if not version.plan.strip():
        return DEFAULT_PLAN
    return read_plan(version.plan, f"plan of {version.thing} {version.number}", DEFAULT_PLAN)


def read_plan(text: str, source: str, usually: Plan) -> Plan:
    """Read a plan. Raises SettingsError with line and field."""
    form = read_text(text, source)
    if form_keyword(form, source) != "plan":
        raise SettingsError(f"{source}:{form.line}: expected (plan ...)")
    told = bind(form, PlanSettings, source)
    at = f"{source}:{form.line}: plan"
    if twice := find_duplicates(one.name for one in told.stages):
        raise SettingsError(f"{at}: stage {twice[0]}: given twice")
    for one in told.stages:
        if bool(one.heads) == bool(one.share):
            raise SettingsError(f"{at}: stage {one.name}: say either heads or share")
    if told.stages and not _everywhere(told.stages[-1]):
        raise SettingsError(f"{at}: stage {told.stages[-1].name}: the last one has (share 1), everywhere")
    stages = tuple(Stage(**{name: getattr(one, name) for name in StageSettings.__struct_fields__})
                   for one in told.stages)  # fmt: skip
    bounds = Bounds(**{name: getattr(told.bounds, name) for name in BoundsSettings.__struct_fields__})
    figures = {name: getattr(told, name) for name in PlanSettings.__struct_fields__
               if name not in ("stages", "compares", "bounds")}  # fmt: skip
    return Plan(stages or usually.stages, measures=told.compares, bounds=bounds, **figures)


def _everywhere(stage: StageSettings) -> bool:
    return stage.share == 1.0 and not (stage.zones or stage.cells or stage.regions)


def read_program(version: Version) -> Program:
    """Return what a version of `program` says is to be started. Raises SettingsError."""
    source = f"{version.thing} {version.number}"
    form = read_text(version.body, source)
    if form_keyword(form, source) != Kind.PROGRAM.value:
        raise SettingsError(f"{source}:{form.line}: expected (program ...)")
    told = bind(form, ProgramSettings, source)
    return Program(version.number, told.name, told.folder, told.arguments, told.level)


def load_launcher(path: str) -> LaunchSettings:
    """Read a launcher's file, `(launch "head7" (head ...) (state ...))`. Raises SettingsError."""
    form = read_file(path)
    if form_keyword(form, path) != "launch":
        raise SettingsError(f"{path}:{form.line}: expected (launch ...)")
    return bind(form, LaunchSettings, path)
