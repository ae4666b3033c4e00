"""`harriertrack fleet storm`: random fleet days from seeds; days that break a rule are shrunk."""

from __future__ import annotations

import sys
import tempfile
import time
from functools import partial
from pathlib import Path

import click

from harriertrack.cli.common import fail, seed_range
from harriertrack.config.sexp import SettingsError
from harriertrack.lab.fleet.processes import Interrupted, check_for_processes, play_processes
from harriertrack.lab.fleet.scenario import FleetDaySettings
from harriertrack.lab.fleet.storm import drawing, figures, playing
from harriertrack.rules import recording as rec

MINUTE_US = 60_000_000


def _check_for_processes(day: FleetDaySettings) -> None:
    playing.check(day)
    check_for_processes(day)


def _play_with_processes(folder: Path, day: FleetDaySettings, recorder: rec.Recorder) -> object:
    with tempfile.TemporaryDirectory(prefix="harriertrack-", dir=folder) as day_folder:
        try:
            return play_processes(day, day.processes, playing.SEED, recorder, Path(day_folder))
        except Interrupted:
            raise KeyboardInterrupt from None  # not a failure of the day


@click.command()
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--seeds", help="FROM..TO, a range of seeds that excludes TO, instead of one seed.")
@click.option("--heads", type=click.IntRange(2, 400), default=6, show_default=True)
@click.option("--virtual", is_flag=True, help="In simulated time; a seed is reproducible.")
@click.option(
    "--minutes",
    type=click.FloatRange(0.1, 60),
    default=1.0,
    show_default=True,
    help="Duration of the faults; the quiet period after them is extra.",
)
@click.option(
    "--from",
    "source",
    type=click.Path(dir_okay=False),
    help="A file with the distributions to draw from; default: the built-in one.",
)
@click.option(
    "--keep",
    type=click.Path(file_okay=False),
    default=".",
    show_default=True,
    help="Folder for days that fail.",
)
@click.option(
    "--tries", type=click.IntRange(0), help="Runs to shrink a failure; default: 150, with processes none."
)
def storm(seed: int, seeds: str | None, heads: int, virtual: bool, minutes: float, source: str | None,
          keep: str, tries: int | None) -> None:  # fmt: skip
    """Generate a random day from each seed, run it and check it against the rules.

    Exit code 1 if a rule is broken. A day that breaks one is shrunk as long as it still does, and written to
    a file for `fleet day FILE`.
    """
    folder = Path(keep)
    try:
        distributions = figures.usual() if source is None else figures.read(source)
        folder.mkdir(parents=True, exist_ok=True)
    except (SettingsError, OSError) as error:
        fail(str(error))
    play = playing.play_simulated if virtual else partial(_play_with_processes, folder)
    check = playing.check if virtual else _check_for_processes
    failed_seeds = 0
    for day_seed in seed_range(seeds, seed):
        started = time.monotonic()
        try:
            day = drawing.draw(day_seed, heads, int(minutes * MINUTE_US), distributions, check)
            verdict = playing.play_and_judge(day, play)
        except (drawing.NoStorm, SettingsError) as error:
            fail(f"seed {day_seed}: {error}")
        duration_s = time.monotonic() - started
        result = f"{len(verdict.broken_rules)} RULES BROKEN" if verdict.broken_rules else "all rules held"
        click.echo(f"seed {day_seed}: {heads} heads, {len(day.steps)} steps, {verdict.requests} requests, "
                   f"{verdict.length_us / 1e6:.0f} s in {duration_s:.0f} s: {result}")  # fmt: skip
        if not verdict.broken_rules:
            continue
        failed_seeds += 1
        for subject, breaches in verdict.breaches.items():
            for breach in breaches[:3]:
                click.echo(f"  {subject}: {breach}")
        max_runs = tries if tries is not None else 150 if virtual else 0
        smallest = (
            playing.shrink(day, verdict.broken_rules, max_runs, play, _print_progress) if max_runs else day
        )
        path = folder / f"storm-{day_seed}-{heads}.sexp"
        playing.write(
            smallest, path, playing.play_and_judge(smallest, play).breaches if max_runs else verdict.breaches
        )
        click.echo(f"  {len(smallest.steps)} steps of {len(day.steps)} kept in {path}")
    sys.exit(1 if failed_seeds else 0)


def _print_progress(day: FleetDaySettings, remaining_runs: int) -> None:
    click.echo(f"  {len(day.steps)} steps, {day.processes} heads; {remaining_runs} plays left", err=True)
