"""`harriertrack fleet day`: rehearsals of what can happen to a fleet."""

from __future__ import annotations

import sys
import tempfile
from contextlib import ExitStack
from pathlib import Path

import click

from harriertrack.cli.common import fail
from harriertrack.cli.days import print_breaches
from harriertrack.config.sexp import SettingsError
from harriertrack.lab.fleet import scenario
from harriertrack.lab.fleet.processes import FleetProcessError, play_processes
from harriertrack.lab.fleet.rig import simulate
from harriertrack.rules import checker, recording as rec
from harriertrack.rules.all_rules import check_all


@click.command("days")
def days() -> None:
    """Name the days for fleets that come with the program."""
    for name in scenario.names():
        click.echo(f"{name:18} {scenario.load(name).about}")


@click.command()
@click.argument("name")
@click.option("--processes", type=click.IntRange(2, 400), help="Heads; otherwise what the day says.")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--virtual", is_flag=True, help="In simulated time, where the verdict repeats exactly.")
@click.option("--without", is_flag=True, help="Heads without `(fleet ...)`, to compare.")
@click.option("--json", "path", type=click.Path(dir_okay=False), help="Write the recording, JSON lines.")
@click.option("--keep", type=click.Path(file_okay=False), help="A folder for settings and logs, kept.")
def day(name: str, processes: int | None, seed: int, virtual: bool, without: bool, path: str | None,
        keep: str | None) -> None:  # fmt: skip
    """Play the fleet's day NAME (or a file's) and judge it. Exit code 1 unless all rules are kept."""
    try:
        plan = scenario.load(name)
    except SettingsError as error:
        fail(str(error))
    if virtual and keep:
        fail("--keep goes with processes; simulated heads write nothing")
    heads = processes or plan.processes
    if without:
        plan = scenario.without_views(plan)
    recorder = rec.Recorder(path)
    try:
        with ExitStack() as stack:
            if virtual:
                simulate(plan, heads, seed, recorder, not without)
            else:
                folder = keep or stack.enter_context(tempfile.TemporaryDirectory(prefix="harriertrack-"))
                Path(folder).mkdir(parents=True, exist_ok=True)
                play_processes(plan, heads, seed, recorder, Path(folder), not without)
    except (FleetProcessError, SettingsError, OSError) as error:
        fail(str(error))
    finally:
        recorder.close()
    records = recorder.records
    for one in records:
        if isinstance(one, rec.AgreementCheck):
            end = f"after {one.after_us / 1e6:.2f} s" if one.reached else "NOT REACHED"
            click.echo(f"{len(one.members)} agree {end} (within {one.within_us / 1e6:g} s)")
    click.echo("; ".join(f"{count} {what}" for what, count in checker.summary(records).items()))
    judged = check_all(records, plan.detect_us)
    for what, breaches in judged.items():
        print_breaches(breaches, f"{what}: ")
    broken = any(judged.values())
    click.echo("rules broken" if broken else "all rules held")
    sys.exit(1 if broken else 0)
