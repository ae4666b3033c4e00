"""`harriertrack day` and `harriertrack rules`: play days, judge recordings."""

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
from harriertrack.lab.model import UsedUp
from harriertrack.lab.rig import play
from harriertrack.rules import checker, recording as rec

EXIT_RULES_BROKEN = 1
MAX_PRINTED_BREACHES = 20


def print_breaches(breaches: list[checker.Breach], of: str = "") -> None:
    """Tell breaches, up to some, each after what it is of."""
    for breach in breaches[:MAX_PRINTED_BREACHES]:
        click.echo(f"{of}{breach}")
    if len(breaches) > MAX_PRINTED_BREACHES:
        click.echo(f"... and {len(breaches) - MAX_PRINTED_BREACHES} more")


def print_verdict(records: list[rec.Record]) -> int:
    """Tell what a recording holds and which rules it breaks; return the exit code."""
    try:
        counts, breaches = checker.summary(records), checker.check(records)
    except checker.AmbiguousRecording as error:
        click.echo(f"harriertrack: {error}", err=True)
        return EXIT_BAD_INPUT
    click.echo("; ".join(f"{count} {what}" for what, count in counts.items()))
    print_breaches(breaches)
    broken = sorted({one.rule for one in breaches})
    click.echo(f"rules broken: {broken}" if broken else "all rules held")
    return EXIT_RULES_BROKEN if breaches else 0


@click.group()
def day() -> None:
    """Scripted days: trouble pushed through the real head."""


@day.command("list")
def day_list() -> None:
    """Name the days that come with the program."""
    for name in days.names():
        click.echo(f"{name:16} {days.load(name).about}")


def _load(name: str, plain: bool) -> days.DaySettings:
    settings = days.load(name)
    return msgspec.structs.replace(settings, plain=1.0) if plain else settings


def _judge(name: str, plain: bool, seed: int, emulated: bool,
           front: Front) -> tuple[int, dict[str, int], list[str]]:  # fmt: skip
    records = _records(_load(name, plain), seed, not emulated, emulated, front)
    return seed, checker.summary(records), [str(breach) for breach in checker.check(records)]


@day.command("run")
@click.argument("name")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="The (first) seed.")
@click.option("--seeds", type=click.IntRange(1), default=1, help="How many seeds (virtual only).")
@click.option("--virtual", is_flag=True, help="On the virtual clock, where the verdict repeats exactly.")
@click.option("--emulated", is_flag=True, help="In the emulator: simulated time, any number of machines.")
@click.option("--front", type=click.Choice([one.value for one in Front]), default="nbd", show_default=True,
              help="Through which front clients come.")  # fmt: skip
@click.option("--plain", is_flag=True, help="No client hears hints: all wait in their heads.")
@click.option("--json", "path", type=click.Path(dir_okay=False), help="Write the recording, JSON lines.")
def day_run(name: str, seed: int, seeds: int, virtual: bool, emulated: bool, front: str, plain: bool,
            path: str | None) -> None:  # fmt: skip
    """Play the day NAME (or a file's) and judge it. Exit code 1 if a rule is broken."""
    try:
        settings = _load(name, plain)
    except SettingsError as error:
        fail(str(error))
    if virtual and emulated:
        fail("choose one of --virtual and --emulated")
    if emulated and front != Front.NBD:
        fail("the emulator has no fronts; --front goes with sockets or --virtual")
    if seeds > 1:
        if not (virtual or emulated) or path:
            fail("--seeds needs --virtual or --emulated and takes no --json")
        sys.exit(_many(name, plain, range(seed, seed + seeds), emulated, Front(front)))
    try:
        sys.exit(print_verdict(_records(settings, seed, virtual, emulated, Front(front), path)))
    except (OSError, UsedUp) as error:
        fail(str(error))


def _records(settings: days.DaySettings, seed: int, virtual: bool, emulated: bool, front: Front = Front.NBD,
             path: str | None = None) -> list[rec.Record]:  # fmt: skip
    if not emulated:
        return play(settings, seed, virtual, path, front=front).records
    recorder = rec.Recorder(path)
    try:
        emulate(settings, seed, recorder)
    finally:
        recorder.close()
    return recorder.records


def _many(name: str, plain: bool, seeds: range, emulated: bool, front: Front) -> int:
    broken = 0
    with ProcessPoolExecutor(max_workers=os.cpu_count()) as pool:
        jobs = [pool.submit(_judge, name, plain, seed, emulated, front) for seed in seeds]
        for job in as_completed(jobs):
            seed, counts, breaches = job.result()
            broken += bool(breaches)
            click.echo(f"seed {seed}: {counts['requests']} requests, {len(breaches)} breaches")
            for breach in breaches[:MAX_PRINTED_BREACHES]:
                click.echo(f"  {breach}")
    click.echo(f"{name}: all rules held on {len(seeds) - broken} of {len(seeds)} seeds")
    return EXIT_RULES_BROKEN if broken else 0


@click.command()
@click.argument("recording", type=click.Path())
def rules(recording: str) -> None:
    """Judge a RECORDING by the rules. Exit code 1 if one is broken."""
    try:
        records = rec.read(recording)
    except rec.RecordingError as error:
        fail(str(error))
    if not any(isinstance(record, rec.Facts) for record in records):
        fail(f"{recording}:1: the figures of the rules (facts) are missing")
    sys.exit(print_verdict(records))
