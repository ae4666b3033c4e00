"""`harriertrack fleet storm`: random days for a fleet from seeds, judged, and shrunk where they fail."""

from __future__ import annotations

import re
import sys
import tempfile
import time
from functools import partial
from pathlib import Path

import click

from harriertrack.cli.common import fail
from harriertrack.config.sexp import SettingsError
from harriertrack.lab.fleet.processes import Interrupted, check_for_processes, play_processes
from harriertrack.lab.fleet.scenario import FleetDaySettings
from harriertrack.lab.fleet.storm import drawing, figures, playing
from harriertrack.rules import recording as rec

SEED_RANGE = re.compile(r"(\d+)\.\.(\d+)\Z")
MINUTE_US = 60_000_000


def _seeds(text: str | None, seed: int) -> range:
    if text is None:
        return range(seed, seed + 1)
    match = SEED_RANGE.match(text)
    if match is None or int(match[1]) >= int(match[2]):
        fail(f"--seeds {text}: FROM..TO, such as 0..100, without the last")
    return range(int(match[1]), int(match[2]))


def _check_for_processes(day: FleetDaySettings) -> None:
    playing.check(day)
    check_for_processes(day)


def _over_processes(folder: Path, day: FleetDaySettings, recorder: rec.Recorder) -> object:
    with tempfile.TemporaryDirectory(prefix="harriertrack-", dir=folder) as place:
        try:
            return play_processes(day, day.processes, playing.SEED, recorder, Path(place))
        except Interrupted:
            raise KeyboardInterrupt from None  # no failure of the day's


@click.command()
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--seeds", help="FROM..TO in place of one seed, without the last.")
@click.option("--heads", type=click.IntRange(2, 400), default=6, show_default=True)
@click.option("--virtual", is_flag=True, help="In simulated time, where a seed repeats exactly.")
@click.option(
    "--minutes",
    type=click.FloatRange(0.1, 60),
    default=1.0,
    show_default=True,
    help="For which faults come; the quiet time after them is extra.",
)
@click.option(
    "--from",
    "source",
    type=click.Path(dir_okay=False),
    help="What storms are drawn from, as a file; otherwise what comes with the program.",
)
@click.option(
    "--keep",
    type=click.Path(file_okay=False),
    default=".",
    show_default=True,
    help="Where days that fail are written.",
)
@click.option("--tries", type=click.IntRange(0), help="Plays to shrink a failure: 150, over processes none.")
def storm(seed: int, seeds: str | None, heads: int, virtual: bool, minutes: float, source: str | None,
          keep: str, tries: int | None) -> None:  # fmt: skip
    """Draw a random day from each seed, play and judge it. Exit code 1 if a rule was broken.

    A day that breaks one is made smaller as long as it still does, and written: `fleet day FILE` plays it.
    """
    folder = Path(keep)
    try:
        told = figures.usual() if source is None else figures.read(source)
        folder.mkdir(parents=True, exist_ok=True)
    except (SettingsError, OSError) as error:
        fail(str(error))
    play = playing.in_simulated_time if virtual else partial(_over_processes, folder)
    checks = playing.check if virtual else _check_for_processes
    failed = 0
    for one in _seeds(seeds, seed):
        began = time.monotonic()
        try:
            day = drawing.draw(one, heads, int(minutes * MINUTE_US), told, checks)
            verdict = playing.judged(day, play)
        except (drawing.NoStorm, SettingsError) as error:
            fail(f"seed {one}: {error}")
        took = time.monotonic() - began
        state = f"{len(verdict.broken)} RULES BROKEN" if verdict.broken else "all rules held"
        click.echo(f"seed {one}: {heads} heads, {len(day.steps)} steps, {verdict.requests} requests, "
                   f"{verdict.length_us / 1e6:.0f} s in {took:.0f} s: {state}")  # fmt: skip
        if not verdict.broken:
            continue
        failed += 1
        for what, breaches in verdict.breaches.items():
            for breach in breaches[:3]:
                click.echo(f"  {what}: {breach}")
        left = tries if tries is not None else 150 if virtual else 0
        least = playing.shrunk(day, verdict.broken, left, play, _say) if left else day
        path = folder / f"storm-{one}-{heads}.sexp"
        playing.write(least, path, playing.judged(least, play).breaches if left else verdict.breaches)
        click.echo(f"  {len(least.steps)} steps of {len(day.steps)} kept in {path}")
    sys.exit(1 if failed else 0)


def _say(day: FleetDaySettings, left: int) -> None:
    click.echo(f"  {len(day.steps)} steps, {day.processes} heads; {left} plays left", err=True)
