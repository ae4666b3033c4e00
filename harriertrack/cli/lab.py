"""`harriertrack lab` and `harriertrack load`: experiments, fault searches, reports, calibration, load."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click
import msgspec

from harriertrack.cli.common import fail, run_until_signal
from harriertrack.config.sexp import SettingsError
from harriertrack.decisions.fault_search import FaultSearch, Phase
from harriertrack.decisions.pacing import Pacing
from harriertrack.gateway.client import NbdClientError
from harriertrack.lab import day as days, experiments, report
from harriertrack.lab.calibration import calibrate
from harriertrack.lab.experiments import Comparison, ExperimentSettings, RevisionError
from harriertrack.lab.generator import Generator, LoadResult, LoadStep, is_void, load_settings
from harriertrack.lab.hunting import format_day, load_hunt, run_hunt
from harriertrack.lab.model import VolumeExhausted
from harriertrack.lab.scores import Scores
from harriertrack.lab.traces import TraceError
from harriertrack.protocol.nbd.wire import ProtocolViolation
from harriertrack.runtime.hub import DeadlineExceeded, Hub
from harriertrack.runtime.streams import SocketNetwork
from harriertrack.storage import runlog

EXIT_VOID = 3
COUNTED_OUTCOMES = ("planned", "served", "refused", "failed")
workers_option = click.option("--workers", type=click.IntRange(1), default=os.cpu_count() or 1,
                              show_default="all cores", help="Concurrent runs.")  # fmt: skip


@click.group()
def lab() -> None:
    """The laboratory: measure the effect of a change in simulated time."""


def _load_plan(path: str) -> ExperimentSettings:
    try:
        return experiments.load_plan(path)
    except SettingsError as error:
        fail(str(error))


def _results_path(plan: str, out: str | None) -> str:
    return out or f"{Path(plan).with_suffix('')}.results"


def _print_progress(done: int, total: int) -> None:
    click.echo(f"\r{done} of {total} runs", nl=done == total, err=True)


def _play_missing_runs(plan: ExperimentSettings, path: str, workers: int) -> dict[str, bytes]:
    try:
        log = runlog.RunLog(path)
    except runlog.RunLogError as error:
        fail(str(error))
    try:
        experiments.run_all(experiments.list_jobs(plan), log, workers, _print_progress)
    except (RevisionError, VolumeExhausted) as error:
        fail(str(error))
    finally:
        log.close()
    return log.done


def _compare(plan: ExperimentSettings, done: dict[str, bytes]) -> Comparison:
    try:
        return experiments.compare_plan(plan, experiments.iter_results(plan, done))
    except ValueError as error:
        fail(f"{plan.name}: {error}; `lab run` plays the missing runs")


def _read_results(path: str) -> dict[str, bytes]:
    try:
        return dict(runlog.read(path))
    except runlog.RunLogError as error:
        fail(str(error))


@lab.command("run")
@click.argument("plan", type=click.Path())
@click.option("--out", type=click.Path(dir_okay=False), help="The results file; by default PLAN.results.")
@workers_option
def lab_run(plan: str, out: str | None, workers: int) -> None:
    """Play the runs of PLAN that its results file lacks; an interrupted experiment is resumed."""
    experiment = _load_plan(plan)
    _play_missing_runs(experiment, _results_path(plan, out), workers)


@lab.command("compare")
@click.argument("plan", type=click.Path())
@click.option("--out", type=click.Path(dir_okay=False), help="The results file; by default PLAN.results.")
def lab_compare(plan: str, out: str | None) -> None:
    """Compare PLAN's variants with its first, in pairs of one day and seed."""
    experiment = _load_plan(plan)
    comparison = _compare(experiment, _read_results(_results_path(plan, out)))
    click.echo(report.as_text(report.verdict_rows(comparison)))


@lab.command("sweep")
@click.argument("plan", type=click.Path())
@click.option("--out", type=click.Path(dir_okay=False), help="The results file; by default PLAN.results.")
@workers_option
def lab_sweep(plan: str, out: str | None, workers: int) -> None:
    """Play PLAN, whose (sweep ...) forms list values of parameters to try, and compare."""
    experiment = _load_plan(plan)
    if not experiment.sweeps:
        fail(f"{plan}:1: sweep: the plan has none")
    done = _play_missing_runs(experiment, _results_path(plan, out), workers)
    click.echo(report.as_text(report.verdict_rows(_compare(experiment, done))))


@lab.command("hunt")
@click.argument("settings", type=click.Path())
@click.option("--out", type=click.Path(dir_okay=False), help="Write the smallest day to this file.")
@workers_option
def lab_hunt(settings: str, out: str | None, workers: int) -> None:
    """Search for a day with the worst loss or a broken rule, and shrink it to the smallest such day."""
    try:
        hunt_settings = load_hunt(settings)
        search = run_hunt(hunt_settings, workers, _print_search_progress)
    except SettingsError as error:
        fail(str(error))
    assert search.smallest is not None
    candidate, outcome = search.smallest
    text = format_day(days.load(hunt_settings.day), candidate)
    broken = f"; rules broken: {list(outcome.broken)}" if outcome.broken else ""
    click.echo(f"{search.played} days played; the smallest loses {outcome.loss:.3f} of its worth{broken}")
    click.echo(text, nl=False)
    if out is not None:
        Path(out).write_text(text)


def _print_search_progress(search: FaultSearch) -> None:
    worst = search.ranked[0][1]
    current = search.smallest[1].loss if search.phase is Phase.SHRINK and search.smallest else worst.loss
    click.echo(
        f"{search.phase.value}: {search.played} days, worst loss {worst.loss:.3f}, now {current:.3f}",
        err=True,
    )


@lab.command("report")
@click.argument("results", type=click.Path())
@click.argument("html", type=click.Path(dir_okay=False))
@click.option(
    "--plan", type=click.Path(), help="For an experiment's results: its plan, to show the verdicts too."
)
@click.option("--day", "day_name", help="For an experiment's results: the day to show; by default the first.")
@click.option("--seed", type=int, help="The seed to show; by default the first.")
@click.option("--variant", "variants", multiple=True, help="The variants to show, up to three.")
def lab_report(results: str, html: str, plan: str | None, day_name: str | None, seed: int | None,
               variants: tuple[str, ...]) -> None:  # fmt: skip
    """Write an HTML report of RESULTS: a load run's file, or the results of an experiment."""
    try:
        if _is_load_result(results):
            report.write(html, report.load_report(read_load_result(results)))
            return
        done = _read_results(results)
        runs = [msgspec.json.decode(body, type=Scores) for body in done.values()]
        chosen = choose_runs(runs, day_name, seed, variants)
        comparison = _compare(_load_plan(plan), done) if plan is not None else None
        same_day_and_seed = (run for run in runs if (run.day, run.seed) == (chosen[0].day, chosen[0].seed))
        oracle = next((run for run in same_day_and_seed if run.variant == experiments.ORACLE), None)
        report.write(html, report.run_report(chosen, comparison, oracle))
    except OSError as error:
        fail(str(error))


def _is_load_result(path: str) -> bool:
    """Return whether a file is a load run's: one JSON object, unlike the results of an experiment."""
    if not Path(path).is_file():
        return False
    with open(path, "rb") as file:
        return file.read(1) == b"{"


def read_load_result(path: str) -> LoadResult:
    """Read a load run's file; exit with an error if it is invalid."""
    try:
        return msgspec.json.decode(Path(path).read_bytes(), type=LoadResult)
    except msgspec.MsgspecError as error:
        fail(f"{path}: not a load run's file: {error}")


def choose_runs(
    runs: list[Scores], day: str | None, seed: int | None, variants: tuple[str, ...]
) -> list[Scores]:
    """Return the runs of one day and seed, of up to three variants; exit with an error if there are none."""
    day = day or (runs[0].day if runs else "")
    day_runs = [run for run in runs if run.day == day]
    seed = seed if seed is not None else (day_runs[0].seed if day_runs else 0)
    chosen = [run for run in day_runs if run.seed == seed and (not variants or run.variant in variants)][:3]
    if not chosen:
        fail(f"no results of day {day or '?'} with seed {seed}"
             + (f" and variants {', '.join(variants)}" if variants else ""))  # fmt: skip
    return chosen


@lab.command("calibrate")
@click.argument("day")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--seeds", type=click.IntRange(1), default=3, show_default=True, help="How many seeds.")
def lab_calibrate(day: str, seed: int, seeds: int) -> None:
    """Play DAY over loopback sockets and in the emulator. Exit code 1 if a figure differs too much."""
    try:
        day_settings = days.load(day)
    except SettingsError as error:
        fail(str(error))
    figures = calibrate(day_settings, range(seed, seed + seeds))
    table = [["figure", "sockets", "emulated", "may differ by", ""]]
    for figure in figures:
        table.append([figure.name, f"{figure.sockets:.4g}", f"{figure.emulated:.4g}", f"{figure.bound:.4g}",
                      "" if figure.is_within_bound else "DIFFERS"])  # fmt: skip
    click.echo(report.as_text(table))
    sys.exit(0 if all(figure.is_within_bound for figure in figures) else 1)


@click.command()
@click.argument("run", type=click.Path(dir_okay=False))
@click.argument("settings", type=click.Path())
@click.option("--quiet", is_flag=True, help="Print no progress.")
def load(run: str, settings: str, quiet: bool) -> None:
    """Load servers as SETTINGS specify, and write the results to the file RUN.

    Exit code 3 if the generator fell behind its plan, which makes the run void.
    """
    try:
        load_plan = load_settings(settings)
    except SettingsError as error:
        fail(str(error))
    hub = Hub.exact()
    results: list[LoadResult] = []

    def print_step(step: LoadStep, pacing: Pacing) -> None:
        if not quiet:
            p99 = f", p99 {step.latency_us[2] / 1000:.1f} ms" if step.latency_us else ""
            counts = ", ".join(f"{getattr(step, outcome)} {outcome}" for outcome in COUNTED_OUTCOMES)
            late = f"{pacing.late} late so far"
            click.echo(f"{step.t_us / 1e6:.0f} s: {counts}{p99}; {late}", err=True)

    generator = Generator(hub, SocketNetwork(hub), load_plan, print_step)
    try:
        out = open(run, "wb")
    except OSError as error:
        fail(f"{run}: {error.strerror}")
    with out:
        try:
            run_until_signal(hub, lambda: results.append(generator.run()), lambda: None)
        except (NbdClientError, ProtocolViolation, DeadlineExceeded, TraceError) as error:
            fail(str(error) or "a server did not answer")
        out.write(msgspec.json.encode(results[0]))
    result = results[0]
    click.echo(f"{result.sent} of {result.planned} sent; {result.served} served, {result.refused} refused, "
               f"{result.failed} failed, {result.unanswered} unanswered")  # fmt: skip
    for note, count in result.notes.items():
        click.echo(f"trace: {count} {note}")
    if is_void(result):
        click.echo(f"harriertrack: this run is void: {result.why}", err=True)
        sys.exit(EXIT_VOID)
