"""`harriertrack fleet day`: scripted days with faults for a fleet of heads."""

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
    """List the built-in fleet days."""
    for name in scenario.names():
        click.echo(f"{name:18} {scenario.load(name).about}")


@click.command()
@click.argument("name")
@click.option("--processes", type=click.IntRange(2, 400), help="Number of heads; default: the day's.")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--virtual", is_flag=True, help="In simulated time; the verdict is reproducible.")
@click.option("--without", is_flag=True, help="Heads without `(fleet ...)`, for comparison.")
@click.option("--json", "recording_path", type=click.Path(dir_okay=False),
              help="Write the recording to this file as JSON lines.")  # fmt: skip
@click.option(
    "--keep", type=click.Path(file_okay=False), help="Folder for settings and logs; default: a temporary one."
)
def day(name: str, processes: int | None, seed: int, virtual: bool, without: bool,
        recording_path: str | None, keep: str | None) -> None:  # fmt: skip
    """Run the fleet day NAME (built in, or a file) and check it against the rules.

    Exit code 1 if one is broken.
    """
    try:
        plan = scenario.load(name)
    except SettingsError as error:
        fail(str(error))
    if virtual and keep:
        fail("--keep excludes --virtual: simulated heads write no files")
    heads = processes or plan.processes
    if without:
        plan = scenario.without_views(plan)
    recorder = rec.Recorder(recording_path)
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
    for record in records:
        if isinstance(record, rec.AgreementCheck):
            result = f"after {record.after_us / 1e6:.2f} s" if record.reached else "NOT REACHED"
            click.echo(f"{len(record.members)} agree {result} (within {record.within_us / 1e6:g} s)")
    click.echo("; ".join(f"{count} {kind}" for kind, count in checker.summary(records).items()))
    breaches_by_subject = check_all(records, plan.detect_us)
    for subject, breaches in breaches_by_subject.items():
        print_breaches(breaches, f"{subject}: ")
    broken = any(breaches_by_subject.values())
    click.echo("rules broken" if broken else "all rules held")
    sys.exit(1 if broken else 0)
