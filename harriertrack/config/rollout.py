"""Rollout plans, versions of the program, and launcher settings, as S-expressions.

`(plan (away 2) (before 2min) (stage "one" (heads 1) (soak 60s) (least 200)) (stage "half" (share 0.5)) ...)`
is the `plan` of a version, `(program "2.1" (folder "/opt/harriertrack/2.1") (level 2))` the body of a version
of `program`. Settings that a plan does not give have their defaults.
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

MAX_STAGES = 32
_STAGE, _BOUNDS, _RULES = Stage(""), Bounds(), LaunchRules()
Label = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Multiple = Annotated[float, msgspec.Meta(gt=1, le=1000)]
ErrorRate = Annotated[float, msgspec.Meta(gt=0, lt=0.5)]


class StageSettings(SettingsStruct, frozen=True, kw_only=True):
    """One stage; decisions/fleet/rollout/plan.py describes each field."""

    name: Label
    heads: NonNegativeInt = 0
    share: Share = 0.0
    zones: tuple[str, ...] = ()
    cells: tuple[str, ...] = ()
    regions: tuple[str, ...] = ()
    soak_us: NonNegativeInt = _STAGE.soak_us
    least: NonNegativeInt = _STAGE.least


class BoundsSettings(SettingsStruct, frozen=True, kw_only=True):
    """Thresholds and error rates of the comparison of versions."""

    times: Multiple = _BOUNDS.times
    more: Annotated[float, msgspec.Meta(gt=0, le=1)] = _BOUNDS.more
    wrongly: ErrorRate = _BOUNDS.wrongly
    missed: ErrorRate = _BOUNDS.missed
    early: ErrorRate = _BOUNDS.early
    falls: PositiveInt = _BOUNDS.falls
    crashes: NonNegativeInt = _BOUNDS.crashes
    memory: NonNegativeFloat = _BOUNDS.memory
    processor: NonNegativeFloat = _BOUNDS.processor


class PlanSettings(SettingsStruct, frozen=True, kw_only=True):
    """A rollout plan."""

    stages: Annotated[tuple[StageSettings, ...], msgspec.Meta(max_length=MAX_STAGES)] = ()
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
    folder: str = ""  # of its environment, which contains bin/harriertrack; empty: the launcher's own
    arguments: tuple[str, ...] = ()  # additional ones, after those of the launcher's settings
    level: NonNegativeInt = 0  # the highest feature level that it supports; 0: not stated


class LaunchSettings(SettingsStruct, frozen=True, kw_only=True):
    """Settings of a head's launcher."""

    name: Label
    head: str  # path of the head's settings
    state: str  # folder for the launcher's own state
    folders: tuple[str, ...] = ()  # of programs' environments; programs elsewhere are not started
    arguments: tuple[str, ...] = ()  # of every head, such as "--log" "json"
    ready_us: PositiveInt = _RULES.ready_us
    prove_us: PositiveInt = _RULES.prove_us
    drain_us: PositiveInt = _RULES.drain_us
    tries: PositiveInt = _RULES.tries


def plan_of_version(version: Version) -> Plan:
    """Return the plan of a version, or the default if it has none. Raises SettingsError."""
    if not version.plan.strip():
        return DEFAULT_PLAN
    return read_plan(version.plan, f"plan of {version.thing} {version.number}", DEFAULT_PLAN)


def read_plan(text: str, source: str, default: Plan) -> Plan:
    """Parse and validate a plan; `default` supplies its stages if it has none. Raises SettingsError."""
    form = read_text(text, source)
    if form_keyword(form, source) != "plan":
        raise SettingsError(f"{source}:{form.line}: expected (plan ...)")
    settings = bind(form, PlanSettings, source)
    where = f"{source}:{form.line}: plan"
    if duplicates := find_duplicates(one.name for one in settings.stages):
        raise SettingsError(f"{where}: stage {duplicates[0]}: given twice")
    for one in settings.stages:
        if bool(one.heads) == bool(one.share):
            raise SettingsError(f"{where}: stage {one.name}: say either heads or share")
    if settings.stages and not _covers_fleet(settings.stages[-1]):
        raise SettingsError(
            f"{where}: stage {settings.stages[-1].name}: the last one has (share 1), everywhere"
        )
    stages = tuple(Stage(**{name: getattr(one, name) for name in StageSettings.__struct_fields__})
                   for one in settings.stages)  # fmt: skip
    bounds = Bounds(**{name: getattr(settings.bounds, name) for name in BoundsSettings.__struct_fields__})
    fields = {name: getattr(settings, name) for name in PlanSettings.__struct_fields__
               if name not in ("stages", "compares", "bounds")}  # fmt: skip
    return Plan(stages or default.stages, measures=settings.compares, bounds=bounds, **fields)


def _covers_fleet(stage: StageSettings) -> bool:
    return stage.share == 1.0 and not (stage.zones or stage.cells or stage.regions)


def read_program(version: Version) -> Program:
    """Return the program that a version of `program` describes. Raises SettingsError."""
    source = f"{version.thing} {version.number}"
    form = read_text(version.body, source)
    if form_keyword(form, source) != Kind.PROGRAM.value:
        raise SettingsError(f"{source}:{form.line}: expected (program ...)")
    settings = bind(form, ProgramSettings, source)
    return Program(version.number, settings.name, settings.folder, settings.arguments, settings.level)


def load_launcher(path: str) -> LaunchSettings:
    """Read the settings of a launcher, `(launch "head7" (head ...) (state ...))`. Raises SettingsError."""
    form = read_file(path)
    if form_keyword(form, path) != "launch":
        raise SettingsError(f"{path}:{form.line}: expected (launch ...)")
    return bind(form, LaunchSettings, path)
