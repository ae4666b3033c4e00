"""Experiments: variants of the project on days and seeds, run on all cores, resumable, compared in pairs.

`(experiment "name" (seeds 20) (day "saturday") (variant "now") (variant "fifo" (module fifo)))`. The first
variant is the base. A variant may give the heads another scheduling module, change named constants of the
scheduler, salt the seeds of the heads' own randomness, or be a revision of the project.
"""

from __future__ import annotations

import hashlib
import io
import os
import subprocess
import sys
import tarfile
import tempfile
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec

from harriertrack.config.settings import (
    Name,
    NonNegativeFloat,
    NonNegativeInt,
    PositiveInt,
    SettingsStruct,
    find_duplicates,
    read_file,
)
from harriertrack.config.sexp import Form, SettingsError, bind
from harriertrack.decisions import scheduler
from harriertrack.decisions.baselines import BASELINES
from harriertrack.decisions.scheduler import Scheduler
from harriertrack.decisions.verdicts import JudgedComparison, judge
from harriertrack.lab import day as days
from harriertrack.lab.day import DaySettings
from harriertrack.lab.emulator import ModuleFactory, emulate
from harriertrack.lab.scores import Scores, score_recording
from harriertrack.lab.statistics import compare
from harriertrack.lab.watch import NodeSampler
from harriertrack.rules import recording as rec
from harriertrack.storage.runlog import RunLog

ORACLE = "oracle"
Module = Literal["scheduler", "fifo", "least-outstanding", "two-choices", "tags", "oracle"]


class ConstantSettings(SettingsStruct, frozen=True, kw_only=True):
    """A constant of the scheduler's module, by its name there, and its value in a variant."""

    name: Name
    value: float


class VariantSettings(SettingsStruct, frozen=True, kw_only=True):
    """One variant: what its heads run, and what differs from the current code."""

    name: Name
    module: Module = "scheduler"
    constants: tuple[ConstantSettings, ...] = ()
    salt: NonNegativeInt = 0  # added to the seeds of the heads' own randomness; the day stays the same
    revision: str = ""  # a Git revision of the project, whose lab.job must understand this form of jobs


class DayChoice(SettingsStruct, frozen=True, kw_only=True):
    """A day by name or file, with changes that scale it."""

    name: str
    heads: NonNegativeInt = 0  # 0: as the day has it
    nodes: NonNegativeInt = 0
    volumes: NonNegativeInt = 0
    load: Annotated[float, msgspec.Meta(gt=0, le=1000)] = 1.0  # factor on the day's rate


class SweepSettings(SettingsStruct, frozen=True, kw_only=True):
    """A constant of the scheduler's module and the values to try, each as a variant of its own."""

    name: Name
    values: tuple[float, ...]


class ExperimentSettings(SettingsStruct, frozen=True, kw_only=True):
    """The plan of an experiment."""

    name: Name
    about: str = ""
    seeds: PositiveInt = 10
    first_seed: NonNegativeInt = 1
    confidence: Annotated[float, msgspec.Meta(ge=0.5, lt=1)] = 0.95
    margin: NonNegativeFloat = 0.002  # smaller differences of the share of worth do not matter
    oracle: bool = True  # run the oracle too, so that reports give the shares relative to it
    days: tuple[DayChoice, ...]
    variants: tuple[VariantSettings, ...] = ()
    sweeps: tuple[SweepSettings, ...] = ()


@dataclass(frozen=True, slots=True)
class Job:
    """One run: a variant on a day with a seed."""

    variant: VariantSettings
    day: DaySettings
    seed: int

    @property
    def key(self) -> str:
        """Return the result's key in the log; a changed day or variant of the same name has another key."""
        inputs = msgspec.json.encode((self.variant, self.day))
        digest = hashlib.sha256(inputs).hexdigest()[:12]
        return f"{self.variant.name}/{self.day.name}/{self.seed}/{digest}"


def load_plan(path: str) -> ExperimentSettings:
    """Read and validate a plan. Raises SettingsError that names file, line and field."""
    return parse_plan(read_file(path), path)


def parse_plan(form: Form, source: str) -> ExperimentSettings:
    """Validate a plan that was read as a form. Raises SettingsError."""
    plan = bind(form, ExperimentSettings, source)
    where = f"{source}:{form.line}"
    if not plan.days:
        raise SettingsError(f"{where}: day: at least one is needed")
    variants = list_variants(plan)
    if not variants:
        raise SettingsError(f"{where}: variant: at least one is needed")
    if find_duplicates(variant.name for variant in variants):
        raise SettingsError(f"{where}: variant: a name is given twice")
    for variant in variants:
        for constant in variant.constants:
            if not isinstance(getattr(scheduler, constant.name, None), int | float):
                raise SettingsError(f"{where}: constant {constant.name}: the module has no such figure")
        if variant.constants and variant.module != "scheduler":
            raise SettingsError(f"{where}: variant {variant.name}: figures belong to the scheduler")
    for choice in plan.days:
        resolve_day(choice)
    return plan


def list_variants(plan: ExperimentSettings) -> list[VariantSettings]:
    """Return the plan's variants: the named ones, those of sweeps, and the oracle if wanted and not named.

    A plan with sweeps only gets an unchanged variant as its base.
    """
    variants = list(plan.variants)
    if plan.sweeps and not variants:
        variants.append(VariantSettings(name="now"))
    for sweep in plan.sweeps:
        for value in sweep.values:
            variants.append(
                VariantSettings(
                    name=f"{sweep.name}:{value:g}",
                    constants=(ConstantSettings(name=sweep.name, value=value),),
                )
            )
    if plan.oracle and variants and not any(variant.module == "oracle" for variant in variants):
        variants.append(VariantSettings(name=ORACLE, module="oracle"))
    return variants


def resolve_day(choice: DayChoice) -> DaySettings:
    """Load a chosen day and apply its changes. Raises SettingsError."""
    day = days.load(choice.name)
    changes: dict[str, Any] = {"rate": day.rate * choice.load}
    sizes = {field: getattr(choice, field) for field in ("heads", "nodes", "volumes")}
    changes |= {field: size for field, size in sizes.items() if size}
    return msgspec.structs.replace(day, **changes)


def list_jobs(plan: ExperimentSettings) -> list[Job]:
    """Return all runs of a plan, by seed first, so that an interrupted experiment has complete pairs."""
    chosen = [resolve_day(choice) for choice in plan.days]
    return [
        Job(variant, day, seed)
        for seed in range(plan.first_seed, plan.first_seed + plan.seeds)
        for day in chosen
        for variant in list_variants(plan)
    ]


# -- execution


def module_maker(variant: VariantSettings) -> ModuleFactory | None:
    """Return the factory of a variant's modules; None for the head's default."""
    if variant.module != "scheduler":
        return BASELINES[variant.module]
    if variant.salt:
        return lambda settings, seed, _node_wait: Scheduler(settings, seed + variant.salt)
    return None


class ConstantOverrides:
    """Context that sets a variant's constants in the scheduler's module and restores them at its end."""

    def __init__(self, constants: Iterable[ConstantSettings]) -> None:
        self._overrides = {constant.name: constant.value for constant in constants}
        self._previous: dict[str, float] = {}

    def __enter__(self) -> None:
        for name, value in self._overrides.items():
            self._previous[name] = getattr(scheduler, name)
            setattr(scheduler, name, type(self._previous[name])(value))

    def __exit__(self, *_error: object) -> None:
        for name, value in self._previous.items():
            setattr(scheduler, name, value)


def play_in_process(job: Job) -> Scores:
    """Play one run in this process and return its scores."""
    recorder, sampler = rec.Recorder(), NodeSampler()
    with ConstantOverrides(job.variant.constants):
        emulate(job.day, job.seed, recorder, module_maker(job.variant), sampler.start)
    return score_recording(recorder.records, job.day, job.variant.name, job.seed, sampler.steps)


class RevisionError(Exception):
    """A revision that does not exist or can't play a run."""


def run_job(job: Job) -> bytes:
    """Play one run and return its scores as JSON; a variant of a revision runs in a process of its code."""
    if not job.variant.revision:
        return msgspec.json.encode(play_in_process(job))
    variant = msgspec.structs.replace(job.variant, revision="")
    request = msgspec.json.encode((variant, job.day, job.seed))
    root = _export_revision(job.variant.revision)
    process = subprocess.run(
        [sys.executable, "-m", "harriertrack.lab.job"],
        input=request, capture_output=True, cwd=root, env={**os.environ, "PYTHONPATH": root}, check=False,
    )  # fmt: skip
    if process.returncode:
        reason = process.stderr.decode(errors="replace").strip().rpartition("\n")[2]
        raise RevisionError(f"revision {job.variant.revision} can't play this run: {reason}")
    return process.stdout


_exported_revisions: dict[str, tempfile.TemporaryDirectory[str]] = {}


def _export_revision(revision: str) -> str:
    """Return a directory with the package as of a revision; it is removed when this process ends."""
    if revision not in _exported_revisions:
        repository = Path(__file__).resolve().parents[2]
        export = subprocess.run(["git", "archive", "--format=tar", revision, "harriertrack"], cwd=repository,
                                capture_output=True, check=False)  # fmt: skip
        if export.returncode:
            raise RevisionError(f"revision {revision}: {export.stderr.decode(errors='replace').strip()}")
        folder = tempfile.TemporaryDirectory(prefix="harriertrack-")
        with tarfile.open(fileobj=io.BytesIO(export.stdout)) as archive:
            archive.extractall(folder.name, filter="data")
        _exported_revisions[revision] = folder
    return _exported_revisions[revision].name


def run_all(jobs: list[Job], log: RunLog, workers: int, on_progress: Callable[[int, int], None]) -> None:
    """Play the runs that the log lacks and store each when it is done.

    `on_progress` is called with the counts of finished runs and of all runs.
    """
    missing = [job for job in jobs if job.key not in log.done]
    done = len(jobs) - len(missing)
    on_progress(done, len(jobs))
    if workers == 1:
        for job in missing:
            log.add(job.key, run_job(job))
            done += 1
            on_progress(done, len(jobs))
        return
    with ProcessPoolExecutor(max_workers=workers) as pool:
        running = {pool.submit(run_job, job): job for job in missing}
        try:
            for future in as_completed(running):
                log.add(running[future].key, future.result())
                done += 1
                on_progress(done, len(jobs))
        finally:
            pool.shutdown(cancel_futures=True)


# -- comparison


@dataclass(frozen=True, slots=True)
class Comparison:
    """The variants of a plan compared with its base, over all days: one judgement for each variant."""

    base: str
    judged: list[JudgedComparison]
    shares: dict[str, float]  # mean share by variant
    broken: dict[str, int]  # runs with a broken rule, by variant
    pairs: int
    oracle: str = ""  # name of the oracle's variant, if there is one

    def share_of_oracle(self, variant: str) -> float | None:
        """Return a variant's mean share divided by the oracle's; None without an oracle's result."""
        oracle_share = self.shares.get(self.oracle, 0.0)
        return self.shares[variant] / oracle_share if oracle_share else None


def iter_results(plan: ExperimentSettings, done: dict[str, bytes]) -> Iterator[tuple[Job, Scores]]:
    """Yield the finished runs of a plan with their scores."""
    for job in list_jobs(plan):
        if (body := done.get(job.key)) is not None:
            yield job, msgspec.json.decode(body, type=Scores)


def compare_plan(plan: ExperimentSettings, results: Iterable[tuple[Job, Scores]],
                 score: Callable[[Scores], float] = lambda scores: scores.share) -> Comparison:  # fmt: skip
    """Compare the score of each variant with the base, in pairs of the same day and seed.

    Raises ValueError without pairs.
    """
    variants = list_variants(plan)
    oracle = next((variant.name for variant in variants if variant.module == "oracle"), "")
    named = {variant.name for variant in plan.variants}
    base, *others = [variant.name for variant in variants if variant.name in named or variant.name != oracle]
    values: dict[str, dict[tuple[str, int], float]] = {}
    broken: dict[str, int] = {}
    for job, scores in results:
        values.setdefault(job.variant.name, {})[job.day.name, job.seed] = score(scores)
        broken[job.variant.name] = broken.get(job.variant.name, 0) + bool(scores.broken)
    compared = []
    pairs = 0
    for name in others:
        common = sorted(values.get(base, {}).keys() & values.get(name, {}).keys())
        pairs = max(pairs, len(common))
        differences = [values[name][pair] - values[base][pair] for pair in common]
        compared.append(compare(name, differences, plan.confidence))
    shares = {name: sum(by_pair.values()) / len(by_pair) for name, by_pair in values.items()}
    judged = judge(compared, 1 - plan.confidence, plan.margin) if compared else []
    return Comparison(base, judged, shares, broken, pairs, oracle)
