"""Experiments: variants of the project on days and seeds, run on all cores, resumable, compared in pairs.

`(experiment "name" (seeds 20) (day "saturday") (variant "now") (variant "fifo" (module fifo)))`. The first
variant is the base. A variant may put another module into the heads, change named figures of the decision
module, salt the heads' own randomness, or be a revision of the project.
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
from harriertrack.lab.emulator import ModuleMaker, emulate
from harriertrack.lab.scores import Scores, score_recording
from harriertrack.lab.statistics import compare
from harriertrack.lab.watch import Watch
from harriertrack.rules import recording as rec
from harriertrack.storage.runlog import RunLog

ORACLE = "oracle"
Module = Literal["scheduler", "fifo", "least-outstanding", "two-choices", "tags", "oracle"]


class ConstantSettings(SettingsStruct, frozen=True, kw_only=True):
    """A figure of the decision module that a variant changes, by its name there."""

    name: Name
    value: float


class VariantSettings(SettingsStruct, frozen=True, kw_only=True):
    """One variant."""

    name: Name
    module: Module = "scheduler"
    constants: tuple[ConstantSettings, ...] = ()
    salt: NonNegativeInt = 0  # added to the seeds of the heads' own randomness; the day stays the same
    revision: str = ""  # of the project's repository, which must have a laboratory of this form


class DayChoice(SettingsStruct, frozen=True, kw_only=True):
    """A day by name or file, with changes that make it larger or smaller."""

    name: str
    heads: NonNegativeInt = 0  # 0: as the day has it
    nodes: NonNegativeInt = 0
    volumes: NonNegativeInt = 0
    load: Annotated[float, msgspec.Meta(gt=0, le=1000)] = 1.0  # times the day's rate


class SweepSettings(SettingsStruct, frozen=True, kw_only=True):
    """A figure of the decision module and the values that it is tried at, each a variant of its own."""

    name: Name
    values: tuple[float, ...]


class ExperimentSettings(SettingsStruct, frozen=True, kw_only=True):
    """A plan."""

    name: Name
    about: str = ""
    seeds: PositiveInt = 10
    first_seed: NonNegativeInt = 1
    confidence: Annotated[float, msgspec.Meta(ge=0.5, lt=1)] = 0.95
    margin: NonNegativeFloat = 0.002  # differences of worth that nobody would notice
    oracle: bool = True  # play the oracle beside the variants, so that the distance from it is on the page
    days: tuple[DayChoice, ...]
    variants: tuple[VariantSettings, ...] = ()
    sweeps: tuple[SweepSettings, ...] = ()


@dataclass(frozen=True, slots=True)
class Job:
    """One run."""

    variant: VariantSettings
    day: DaySettings
    seed: int

    @property
    def key(self) -> str:
        """Name what the result depends on: another day or variant under the same name is another run."""
        what = msgspec.json.encode((self.variant, self.day))
        digest = hashlib.sha256(what).hexdigest()[:12]
        return f"{self.variant.name}/{self.day.name}/{self.seed}/{digest}"


def load_plan(path: str) -> ExperimentSettings:
    """Read and check a plan. Raises SettingsError with file, line and field."""
    return parse_plan(read_file(path), path)


def parse_plan(form: Form, source: str) -> ExperimentSettings:
    """Check a form of a plan. Raises SettingsError."""
    plan = bind(form, ExperimentSettings, source)
    where = f"{source}:{form.line}"
    if not plan.days:
        raise SettingsError(f"{where}: day: at least one is needed")
    variants = variants_of(plan)
    if not variants:
        raise SettingsError(f"{where}: variant: at least one is needed")
    if find_duplicates(one.name for one in variants):
        raise SettingsError(f"{where}: variant: a name is given twice")
    for variant in variants:
        for constant in variant.constants:
            if not isinstance(getattr(scheduler, constant.name, None), int | float):
                raise SettingsError(f"{where}: constant {constant.name}: the module has no such figure")
        if variant.constants and variant.module != "scheduler":
            raise SettingsError(f"{where}: variant {variant.name}: figures belong to the scheduler")
    for choice in plan.days:
        days_of(choice)
    return plan


def variants_of(plan: ExperimentSettings) -> list[VariantSettings]:
    """Return the plan's variants, those of its sweeps after the others; a sweep alone gets a base first.

    The oracle, where the plan wants it and does not name it, comes last.
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
    if plan.oracle and variants and not any(one.module == "oracle" for one in variants):
        variants.append(VariantSettings(name=ORACLE, module="oracle"))
    return variants


def days_of(choice: DayChoice) -> DaySettings:
    """Return a chosen day with its changes. Raises SettingsError."""
    day = days.load(choice.name)
    changes: dict[str, Any] = {"rate": day.rate * choice.load}
    sizes = {field: getattr(choice, field) for field in ("heads", "nodes", "volumes")}
    changes |= {field: size for field, size in sizes.items() if size}
    return msgspec.structs.replace(day, **changes)


def list_jobs(plan: ExperimentSettings) -> list[Job]:
    """Return all runs of a plan: seeds outermost, so that a stopped sweep has whole pairs."""
    chosen = [days_of(choice) for choice in plan.days]
    return [
        Job(variant, day, seed)
        for seed in range(plan.first_seed, plan.first_seed + plan.seeds)
        for day in chosen
        for variant in variants_of(plan)
    ]


# -- running


def maker_of(variant: VariantSettings) -> ModuleMaker | None:
    """Return what makes a variant's modules; None for the head's own."""
    if variant.module != "scheduler":
        return BASELINES[variant.module]
    if variant.salt:
        return lambda settings, seed, _look: Scheduler(settings, seed + variant.salt)
    return None


class ConstantOverrides:
    """Puts a variant's figures into the decision module while it runs."""

    def __init__(self, constants: Iterable[ConstantSettings]) -> None:
        self._wanted = {one.name: one.value for one in constants}
        self._before: dict[str, float] = {}

    def __enter__(self) -> None:
        for name, value in self._wanted.items():
            self._before[name] = getattr(scheduler, name)
            setattr(scheduler, name, type(self._before[name])(value))

    def __exit__(self, *_error: object) -> None:
        for name, value in self._before.items():
            setattr(scheduler, name, value)


def run_here(job: Job) -> Scores:
    """Play one run in this process."""
    recorder, watch = rec.Recorder(), Watch()
    with ConstantOverrides(job.variant.constants):
        emulate(job.day, job.seed, recorder, maker_of(job.variant), watch.begin)
    return score_recording(recorder.records, job.day, job.variant.name, job.seed, watch.steps)


class RevisionError(Exception):
    """A revision that can't be run."""


def run_job(job: Job) -> bytes:
    """Play one run, in a process of its revision if it names one; return its scores as JSON."""
    if not job.variant.revision:
        return msgspec.json.encode(run_here(job))
    plain = msgspec.structs.replace(job.variant, revision="")
    asked = msgspec.json.encode((plain, job.day, job.seed))
    root = _export(job.variant.revision)
    done = subprocess.run(
        [sys.executable, "-m", "harriertrack.lab.job"],
        input=asked, capture_output=True, cwd=root, env={**os.environ, "PYTHONPATH": root}, check=False,
    )  # fmt: skip
    if done.returncode:
        why = done.stderr.decode(errors="replace").strip().rpartition("\n")[2]
        raise RevisionError(f"revision {job.variant.revision} has no laboratory that can play this: {why}")
    return done.stdout


_exports: dict[str, tempfile.TemporaryDirectory[str]] = {}


def _export(revision: str) -> str:
    """Return a directory with the project as of a revision; it lives as long as this process."""
    if revision not in _exports:
        here = Path(__file__).resolve().parents[2]
        packed = subprocess.run(["git", "archive", "--format=tar", revision, "harriertrack"], cwd=here,
                                capture_output=True, check=False)  # fmt: skip
        if packed.returncode:
            raise RevisionError(f"revision {revision}: {packed.stderr.decode(errors='replace').strip()}")
        folder = tempfile.TemporaryDirectory(prefix="harriertrack-")
        with tarfile.open(fileobj=io.BytesIO(packed.stdout)) as archive:
            archive.extractall(folder.name, filter="data")
        _exports[revision] = folder
    return _exports[revision].name


def run_all(jobs: list[Job], log: RunLog, workers: int, told: Callable[[int, int], None]) -> None:
    """Play the runs that the log lacks, each kept as soon as it is done; `told` hears (done, all)."""
    missing = [job for job in jobs if job.key not in log.done]
    done = len(jobs) - len(missing)
    told(done, len(jobs))
    if workers == 1:
        for job in missing:
            log.add(job.key, run_job(job))
            done += 1
            told(done, len(jobs))
        return
    with ProcessPoolExecutor(max_workers=workers) as pool:
        running = {pool.submit(run_job, job): job for job in missing}
        try:
            for future in as_completed(running):
                log.add(running[future].key, future.result())
                done += 1
                told(done, len(jobs))
        finally:
            pool.shutdown(cancel_futures=True)


# -- comparing


@dataclass(frozen=True, slots=True)
class Comparison:
    """What a plan's results say of its variants beside the base, one for each variant, over all days."""

    base: str
    judged: list[JudgedComparison]
    shares: dict[str, float]  # mean share by variant
    broken: dict[str, int]  # runs with a broken rule, by variant
    pairs: int
    oracle: str = ""  # the variant that is the oracle, if there is one

    def share_of_oracle(self, variant: str) -> float | None:
        """Return a variant's mean share as a part of the oracle's; None without one."""
        best = self.shares.get(self.oracle, 0.0)
        return self.shares[variant] / best if best else None


def iter_results(plan: ExperimentSettings, done: dict[str, bytes]) -> Iterator[tuple[Job, Scores]]:
    """Yield the plan's runs that are done."""
    for job in list_jobs(plan):
        if (body := done.get(job.key)) is not None:
            yield job, msgspec.json.decode(body, type=Scores)


def compare_plan(plan: ExperimentSettings, results: Iterable[tuple[Job, Scores]],
                 of: Callable[[Scores], float] = lambda scores: scores.share) -> Comparison:  # fmt: skip
    """Compare each variant with the base in pairs of one day and seed. Raises ValueError without pairs."""
    variants = variants_of(plan)
    oracle = next((one.name for one in variants if one.module == "oracle"), "")
    named = {one.name for one in plan.variants}
    base, *others = [one.name for one in variants if one.name in named or one.name != oracle]
    values: dict[str, dict[tuple[str, int], float]] = {}
    broken: dict[str, int] = {}
    for job, scores in results:
        values.setdefault(job.variant.name, {})[job.day.name, job.seed] = of(scores)
        broken[job.variant.name] = broken.get(job.variant.name, 0) + bool(scores.broken)
    compared = []
    pairs = 0
    for name in others:
        both = sorted(values.get(base, {}).keys() & values.get(name, {}).keys())
        pairs = max(pairs, len(both))
        differences = [values[name][at] - values[base][at] for at in both]
        compared.append(compare(name, differences, plan.confidence))
    shares = {name: sum(one.values()) / len(one) for name, one in values.items()}
    judged = judge(compared, 1 - plan.confidence, plan.margin) if compared else []
    return Comparison(base, judged, shares, broken, pairs, oracle)
