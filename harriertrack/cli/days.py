"""`harriertrack day` and `harriertrack rules`: run scripted days, check recordings against the rules."""

from __future__ import annotations

import os
import sys
from concurrent.futures import ProcessPoolExecutor, as_completed

import click
import msgspec

from harriertrack.cli.common import EXIT_BAD_INPUT, fail
from harriertrack.config.sexp import SettingsError
from harriertrack.lab import day as days
from harriertrack.lab.emulator import emulate
from harriertrack.lab.fronts import Front
from harriertrack.lab.model import VolumeExhausted
from harriertrack.lab.rig import play
from harriertrack.rules import checker, recording as rec
from harriertrack.rules.breach import Breach
from harriertrack.rules.recording_file import RecordingError
from harriertrack.rules.run_history import AmbiguousRecording

EXIT_RULES_BROKEN = 1
MAX_PRINTED_BREACHES = 20


def print_breaches(breaches: list[Breach], prefix: str = "") -> None:
    """Print the first MAX_PRINTED_BREACHES breaches, each after a prefix, and how many more there are."""
    for breach in breaches[:MAX_PRINTED_BREACHES]:
        click.echo(f"{prefix}{breach}")
    if len(breaches) > MAX_PRINTED_BREACHES:
        click.echo(f"... and {len(breaches) - MAX_PRINTED_BREACHES} more")


def print_verdict(records: list[rec.Record]) -> int:
    """Print a recording's summary and the rules that it breaks; return the exit code."""
    try:
        counts, breaches = checker.summary(records), checker.check(records)
    except AmbiguousRecording as error:
        click.echo(f"harriertrack: {error}", err=True)
        return EXIT_BAD_INPUT
    click.echo("; ".join(f"{count} {kind}" for kind, count in counts.items()))
    print_breaches(breaches)
    broken = sorted({breach.rule for breach in breaches})
    click.echo(f"rules broken: {broken}" if broken else "all rules held")
    return EXIT_RULES_BROKEN if breaches else 0


@click.group()
def day() -> None:
    """Scripted days: run the production head under faults."""


@day.command("list")
def day_list() -> None:
    """List the built-in days."""
    for name in days.names():
        click.echo(f"{name:16} {days.load(name).about}")


def _load_day(name: str, plain: bool) -> days.DaySettings:
    settings = days.load(name)
    return msgspec.structs.replace(settings, plain=1.0) if plain else settings


def _run_and_check(name: str, plain: bool, seed: int, emulated: bool,
                   front: Front) -> tuple[int, dict[str, int], list[str]]:  # fmt: skip
    records = _run_day(_load_day(name, plain), seed, not emulated, emulated, front)
    return seed, checker.summary(records), [str(breach) for breach in checker.check(records)]


@day.command("run")
@click.argument("name")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="The first seed.")
@click.option(
    "--seeds", type=click.IntRange(1), default=1, help="How many seeds; with --virtual or --emulated only."
)
@click.option("--virtual", is_flag=True, help="On a virtual clock; the verdict is reproducible.")
@click.option("--emulated", is_flag=True, help="In the emulator: simulated time, any number of hosts.")
@click.option("--front", type=click.Choice([member.value for member in Front]), default="nbd",
              show_default=True, help="The front that clients connect to.")  # fmt: skip
@click.option("--plain", is_flag=True, help="No client understands hints: requests wait in the heads.")
@click.option(
    "--json",
    "recording_path",
    type=click.Path(dir_okay=False),
    help="Write the recording to this file as JSON lines.",
)
def day_run(name: str, seed: int, seeds: int, virtual: bool, emulated: bool, front: str, plain: bool,
            recording_path: str | None) -> None:  # fmt: skip
    """Run the day NAME (built in, or a file) and check it against the rules. Exit code 1 if one is broken."""
    try:
        settings = _load_day(name, plain)
    except SettingsError as error:
        fail(str(error))
    if virtual and emulated:
        fail("--virtual and --emulated exclude each other")
    if emulated and front != Front.NBD:
        fail("the emulator has no fronts; --front works with sockets or --virtual only")
    if seeds > 1:
        if not (virtual or emulated) or recording_path:
            fail("--seeds needs --virtual or --emulated and excludes --json")
        sys.exit(_run_seeds(name, plain, range(seed, seed + seeds), emulated, Front(front)))
    try:
        sys.exit(print_verdict(_run_day(settings, seed, virtual, emulated, Front(front), recording_path)))
    except (OSError, VolumeExhausted) as error:
        fail(str(error))


def _run_day(settings: days.DaySettings, seed: int, virtual: bool, emulated: bool, front: Front = Front.NBD,
             recording_path: str | None = None) -> list[rec.Record]:  # fmt: skip
    if not emulated:
        return play(settings, seed, virtual, recording_path, front=front).records
    recorder = rec.Recorder(recording_path)
    try:
        emulate(settings, seed, recorder)
    finally:
        recorder.close()
    return recorder.records


def _run_seeds(name: str, plain: bool, seeds: range, emulated: bool, front: Front) -> int:
    broken_seeds = 0
    with ProcessPoolExecutor(max_workers=os.cpu_count()) as pool:
        jobs = [pool.submit(_run_and_check, name, plain, seed, emulated, front) for seed in seeds]
        for job in as_completed(jobs):
            seed, counts, breaches = job.result()
            broken_seeds += bool(breaches)
            click.echo(f"seed {seed}: {counts['requests']} requests, {len(breaches)} breaches")
            for breach in breaches[:MAX_PRINTED_BREACHES]:
                click.echo(f"  {breach}")
    click.echo(f"{name}: all rules held on {len(seeds) - broken_seeds} of {len(seeds)} seeds")
    return EXIT_RULES_BROKEN if broken_seeds else 0


@click.command()
@click.argument("recording", type=click.Path())
def rules(recording: str) -> None:
    """Check a RECORDING against the rules. Exit code 1 if one is broken."""
    try:
        records = rec.read(recording)
    except RecordingError as error:
        fail(str(error))
    if not any(isinstance(record, rec.Facts) for record in records):
        fail(f"{recording}:1: the facts record, which holds the parameters of the rules, is missing")
    sys.exit(print_verdict(records))
