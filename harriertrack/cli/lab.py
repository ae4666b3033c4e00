"""`harriertrack lab` and `harriertrack load`: experiments, hunts, reports, calibration, open-loop load."""

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
from harriertrack.lab.hunting import hunt_down, load_hunt, written
from harriertrack.lab.model import UsedUp
from harriertrack.lab.scores import Scores
from harriertrack.lab.traces import TraceError
from harriertrack.protocol.nbd.wire import ProtocolViolation
from harriertrack.runtime.hub import DeadlineExceeded, Hub
from harriertrack.runtime.streams import SocketNetwork
from harriertrack.storage import runlog

EXIT_VOID = 3
COUNTED_OUTCOMES = ("planned", "served", "refused", "failed")
workers_option = click.option("--workers", type=click.IntRange(1), default=os.cpu_count() or 1,
                              show_default="all cores", help="Runs at once.")  # fmt: skip


@click.group()
def lab() -> None:
    """The laboratory: what a change does, in simulated time."""


def _plan(path: str) -> ExperimentSettings:
    try:
        return experiments.load_plan(path)
    except SettingsError as error:
        fail(str(error))


def _log_path(plan: str, out: str | None) -> str:
    return out or f"{Path(plan).with_suffix('')}.results"


def _progress(done: int, every: int) -> None:
    click.echo(f"\r{done} of {every} runs", nl=done == every, err=True)


def _play(plan: ExperimentSettings, path: str, workers: int) -> dict[str, bytes]:
    try:
        log = runlog.RunLog(path)
    except runlog.RunLogError as error:
        fail(str(error))
    try:
        experiments.run_all(experiments.jobs_of(plan), log, workers, _progress)
    except (RevisionError, UsedUp) as error:
        fail(str(error))
    finally:
        log.close()
    return log.done


def _comparison(plan: ExperimentSettings, done: dict[str, bytes]) -> Comparison:
    try:
        return experiments.compare_plan(plan, experiments.results_of(plan, done))
    except ValueError as error:
        fail(f"{plan.name}: {error}; `lab run` plays what is missing")


def _done(path: str) -> dict[str, bytes]:
    try:
        return dict(runlog.read(path))
    except runlog.RunLogError as error:
        fail(str(error))


@lab.command("run")
@click.argument("plan", type=click.Path())
@click.option("--out", type=click.Path(dir_okay=False), help="The results file; by default PLAN.results.")
@workers_option
def lab_run(plan: str, out: str | None, workers: int) -> None:
    """Play what is missing of PLAN's runs; a run that was killed goes on where it stood."""
    checked = _plan(plan)
    _play(checked, _log_path(plan, out), workers)


@lab.command("compare")
@click.argument("plan", type=click.Path())
@click.option("--out", type=click.Path(dir_okay=False), help="The results file; by default PLAN.results.")
def lab_compare(plan: str, out: str | None) -> None:
    """Compare PLAN's variants with its first, in pairs of one day and seed."""
    checked = _plan(plan)
    compared = _comparison(checked, _done(_log_path(plan, out)))
    click.echo(report.as_text(report.verdict_rows(compared)))


@lab.command("sweep")
@click.argument("plan", type=click.Path())
@click.option("--out", type=click.Path(dir_okay=False), help="The results file; by default PLAN.results.")
@workers_option
def lab_sweep(plan: str, out: str | None, workers: int) -> None:
    """Play PLAN, whose (sweep ...) forms try values of figures, and compare."""
    checked = _plan(plan)
    if not checked.sweeps:
        fail(f"{plan}:1: sweep: the plan has none")
    done = _play(checked, _log_path(plan, out), workers)
    click.echo(report.as_text(report.verdict_rows(_comparison(checked, done))))


@lab.command("hunt")
@click.argument("settings", type=click.Path())
@click.option("--out", type=click.Path(dir_okay=False), help="Write the smallest day here.")
@workers_option
def lab_hunt(settings: str, out: str | None, workers: int) -> None:
    """Search days for the worst loss or a broken rule, and shrink what is found to the smallest day."""
    try:
        hunt = load_hunt(settings)
        found = hunt_down(hunt, workers, _tell_hunt)
    except SettingsError as error:
        fail(str(error))
    assert found.smallest is not None
    candidate, outcome = found.smallest
    text = written(days.load(hunt.day), candidate)
    broken = f"; rules broken: {list(outcome.broken)}" if outcome.broken else ""
    click.echo(f"{found.played} days played; the smallest loses {outcome.loss:.3f} of its worth{broken}")
    click.echo(text, nl=False)
    if out is not None:
        Path(out).write_text(text)


def _tell_hunt(hunt: FaultSearch) -> None:
    worst = hunt.ranked[0][1]
    now = hunt.smallest[1].loss if hunt.phase is Phase.SHRINK and hunt.smallest else worst.loss
    click.echo(
        f"{hunt.phase.value}: {hunt.played} days, worst loss {worst.loss:.3f}, now {now:.3f}", err=True
    )


@lab.command("report")
@click.argument("results", type=click.Path())
@click.argument("html", type=click.Path(dir_okay=False))
@click.option(
    "--plan", type=click.Path(), help="The plan of an experiment's results: shows its verdicts too."
)
@click.option("--day", "day_name", help="Of an experiment's results: the day shown; by default the first.")
@click.option("--seed", type=int, help="The seed shown; by default the first.")
@click.option("--variant", "variants", multiple=True, help="The variants shown, up to three.")
def lab_report(results: str, html: str, plan: str | None, day_name: str | None, seed: int | None,
               variants: tuple[str, ...]) -> None:  # fmt: skip
    """Make one HTML file of RESULTS: a load run's file, or the results of an experiment."""
    try:
        if _is_load(results):
            report.write(html, report.load_report(read_load_result(results)))
            return
        done = _done(results)
        runs = [msgspec.json.decode(body, type=Scores) for body in done.values()]
        chosen = choose_runs(runs, day_name, seed, variants)
        compared = _comparison(_plan(plan), done) if plan is not None else None
        same = (run for run in runs if (run.day, run.seed) == (chosen[0].day, chosen[0].seed))
        oracle = next((run for run in same if run.variant == experiments.ORACLE), None)
        report.write(html, report.run_report(chosen, compared, oracle))
    except OSError as error:
        fail(str(error))


def _is_load(path: str) -> bool:
    """Whether a file is a load run's, which is one JSON object; results of an experiment begin otherwise."""
    if not Path(path).is_file():
        return False
    with open(path, "rb") as file:
        return file.read(1) == b"{"


def read_load_result(path: str) -> LoadResult:
    """Read a load run's file, or end with what is wrong with it."""
    try:
        return msgspec.json.decode(Path(path).read_bytes(), type=LoadResult)
    except msgspec.MsgspecError as error:
        fail(f"{path}: not a load run's file: {error}")


def choose_runs(
    runs: list[Scores], day: str | None, seed: int | None, variants: tuple[str, ...]
) -> list[Scores]:
    """Choose the runs of one day and seed, of up to three variants; end if there are none."""
    day = day or (runs[0].day if runs else "")
    of_day = [run for run in runs if run.day == day]
    seed = seed if seed is not None else (of_day[0].seed if of_day else 0)
    chosen = [run for run in of_day if run.seed == seed and (not variants or run.variant in variants)][:3]
    if not chosen:
        fail(f"no results of day {day or '?'} with seed {seed}"
             + (f" and variants {', '.join(variants)}" if variants else ""))  # fmt: skip
    return chosen


@lab.command("calibrate")
@click.argument("day")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--seeds", type=click.IntRange(1), default=3, show_default=True, help="How many seeds.")
def lab_calibrate(day: str, seed: int, seeds: int) -> None:
    """Play DAY over loopback sockets and in the emulator. Exit code 1 where they differ too much."""
    try:
        chosen = days.load(day)
    except SettingsError as error:
        fail(str(error))
    figures = calibrate(chosen, range(seed, seed + seeds))
    table = [["figure", "sockets", "emulated", "may differ by", ""]]
    for one in figures:
        table.append([one.name, f"{one.sockets:.4g}", f"{one.emulated:.4g}", f"{one.bound:.4g}",
                      "" if one.within else "DIFFERS"])  # fmt: skip
    click.echo(report.as_text(table))
    sys.exit(0 if all(one.within for one in figures) else 1)


@click.command()
@click.argument("run", type=click.Path(dir_okay=False))
@click.argument("settings", type=click.Path())
@click.option("--quiet", is_flag=True, help="No progress.")
def load(run: str, settings: str, quiet: bool) -> None:
    """Load servers as SETTINGS say, and write the results to the file RUN.

    Exit code 3 if the generator fell behind its plan: then the run is void.
    """
    try:
        checked = load_settings(settings)
    except SettingsError as error:
        fail(str(error))
    hub = Hub.exact()
    results: list[LoadResult] = []

    def tell(step: LoadStep, pacing: Pacing) -> None:
        if not quiet:
            p99 = f", p99 {step.latency_us[2] / 1000:.1f} ms" if step.latency_us else ""
            counts = ", ".join(f"{getattr(step, what)} {what}" for what in COUNTED_OUTCOMES)
            late = f"{pacing.late} late so far"
            click.echo(f"{step.t_us / 1e6:.0f} s: {counts}{p99}; {late}", err=True)

    generator = Generator(hub, SocketNetwork(hub), checked, tell)
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
    for what, count in result.notes.items():
        click.echo(f"trace: {count} {what}")
    if is_void(result):
        click.echo(f"harriertrack: this run is void: {result.why}", err=True)
        sys.exit(EXIT_VOID)
