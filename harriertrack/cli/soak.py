"""`harriertrack soak`: heads of the platform as processes, under faults drawn from seeds."""

from __future__ import annotations

import sys
import time
from pathlib import Path

import click
import msgspec

from harriertrack.cli.common import fail, seed_range
from harriertrack.lab.soak import plan as plans
from harriertrack.lab.soak.playing import SoakResult, play
from harriertrack.rules import platform, platform_recording as rec
from harriertrack.rules.recording_file import RecordingError, write_records

EXIT_RULES_BROKEN = 1
MAX_PRINTED_BREACHES = 5
MIN_SECONDS, MAX_SECONDS = 16, 3600


def _print_result(result: SoakResult, duration_s: float) -> None:
    plan = result.plan
    counts = ", ".join(f"{count} {outcome}" for outcome, count in sorted(result.counts().items()))
    verdict = f"{len(result.breaches)} BREACHES" if result.breaches else "all rules held"
    crowd = f", a crowd of {plan.crowd}" if plan.crowd else ""
    click.echo(
        f"seed {plan.seed}: {plan.heads} heads, {plan.nodes} nodes{crowd}, {len(plan.steps)} steps, "
        f"{duration_s:.0f} s; {counts}: {verdict}"
    )
    for breach in result.breaches[:MAX_PRINTED_BREACHES]:
        click.echo(f"  {breach}")


def _keep(result: SoakResult, folder: Path) -> None:
    """Write a failed run's plan, recording and logs."""
    seed = result.plan.seed
    (folder / f"soak-{seed}.plan.json").write_bytes(msgspec.json.format(msgspec.json.encode(result.plan)))
    write_records(folder / f"soak-{seed}.recording", result.records)
    for head, log in result.logs.items():
        (folder / f"soak-{seed}.{head}.log").write_text(log)
    click.echo(f"  kept as soak-{seed}.* in {folder}")


@click.command()
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--seeds", help="FROM..TO, a range of seeds that excludes TO, instead of one seed.")
@click.option(
    "--heads", type=click.IntRange(plans.MIN_HEADS, plans.MAX_HEADS), help="Default: drawn, 2 to 8."
)
@click.option(
    "--seconds",
    type=click.IntRange(MIN_SECONDS, MAX_SECONDS),
    default=28,
    show_default=True,
    help="Length of the timeline.",
)
@click.option(
    "--keep",
    type=click.Path(file_okay=False, path_type=Path),
    default=Path("."),
    show_default=True,
    help="Folder for the plans, recordings and logs of runs that fail.",
)
@click.option(
    "--judge",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="Play nothing: judge this recording.",
)
def soak(
    seed: int, seeds: str | None, heads: int | None, seconds: int, keep: Path, judge: Path | None
) -> None:
    """Soak heads of the platform: processes under drains, restarts and faults drawn from seeds.

    Plays the plan of each seed in real time on loopback, and checks its recording against the rules. Exit
    code 1 if one is broken.
    """
    if judge is not None:
        sys.exit(_judge(judge))
    try:
        keep.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        fail(f"--keep {keep}: {error.strerror}")
    failed_seeds = 0
    for one in seed_range(seeds, seed):
        began = time.monotonic()
        result = play(plans.draw(one, heads, seconds))
        _print_result(result, time.monotonic() - began)
        if result.breaches:
            failed_seeds += 1
            _keep(result, keep)
    sys.exit(EXIT_RULES_BROKEN if failed_seeds else 0)


def _judge(path: Path) -> int:
    try:
        breaches = platform.check(rec.read(path))
    except RecordingError as error:
        fail(str(error))
    for breach in breaches:
        click.echo(str(breach))
    click.echo(f"{len(breaches)} breaches")
    return EXIT_RULES_BROKEN if breaches else 0
