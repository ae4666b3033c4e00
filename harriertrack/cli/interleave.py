"""`harriertrack interleave`: model checking of all schedules of a few tasks of production code."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import msgspec

from harriertrack.cli.common import fail
from harriertrack.lab.interleaving import bounded, machines, plain, reduced, registry, shortest, trace
from harriertrack.lab.interleaving.execution import NotRepeatable, Outcome, replay
from harriertrack.lab.interleaving.models.registry import MODELS
from harriertrack.lab.interleaving.search import Limits, SearchResult
from harriertrack.lab.interleaving.world import Scenario


class SavedSchedule(msgspec.Struct, frozen=True):
    """A schedule in a file. Field names are keys of the file."""

    scenario: str
    steps: tuple[str, ...]
    breach: str = ""


def _find_scenario(name: str) -> Scenario:
    try:
        return registry.SCENARIOS[name]
    except KeyError:
        fail(f"{name}: no such scenario; `harriertrack interleave --list` names them")


def _search(scenario: Scenario, turns: int | None, newest: bool, every: bool, limits: Limits) -> SearchResult:
    if every:
        return plain.enumerate_all(scenario, limits)
    if turns is not None:
        return bounded.explore(scenario, turns, limits, newest)
    found = reduced.explore(scenario, limits)
    if found.breach is not None:
        found.breach = shortest.shrink(scenario, found.breach)
    return found


def _print_result(name: str, found: SearchResult) -> None:
    result = "whole" if found.whole else "found" if found.breach else "not whole"
    bound = f" of at most {found.bound} turns" if found.bound is not None else ""
    click.echo(f"{name}: {result}; {found.schedules} schedules{bound}, {found.cut} cut, "
               f"{found.states} states, {found.steps} steps, deepest {found.deepest}, "
               f"{len(found.ends)} ends, {found.seconds:.1f} s")  # fmt: skip


def _explore_model(name: str, turns: int | None, limits: Limits) -> bool:
    """Explore a model of pure state machines; return whether a check failed."""
    seen = machines.explore(MODELS[name], limits, turns)
    result = "whole" if seen.whole else "found" if seen.breach else "not whole"
    bound = f" of at most {turns} turns" if turns is not None else ""
    click.echo(f"{name}: {result}; {seen.states} states{bound}, {seen.steps} steps, deepest {seen.deepest}, "
               f"{seen.seconds:.1f} s")  # fmt: skip
    if seen.breach:
        for number, event in enumerate(seen.events, 1):
            click.echo(f"{number:4} {event}")
        click.echo(f"     BREACH: {seen.breach}")
    return bool(seen.breach)


def _replay(path: str) -> None:
    try:
        saved = msgspec.json.decode(Path(path).read_bytes(), type=SavedSchedule)
        execution = replay(_find_scenario(saved.scenario), saved.steps)
    except (OSError, msgspec.MsgspecError, NotRepeatable) as error:
        fail(f"{path}: {error}")
    click.echo("\n".join(trace.lines(execution)))
    sys.exit(1 if execution.outcome is Outcome.BREACH else 0)


@click.command("interleave")
@click.argument("names", nargs=-1)
@click.option("--list", "list_names", is_flag=True, help="List all scenarios and models.")
@click.option(
    "--turns", type=click.IntRange(0), help="Deviate from the usual order at most this often; no reduction."
)
@click.option(
    "--newest",
    is_flag=True,
    help="With --turns: count from the order that prefers what became runnable last.",
)
@click.option("--every", is_flag=True, help="Run every schedule, without reduction.")
@click.option("--schedules", type=click.IntRange(1), default=100_000, show_default=True,
              help="Largest number of schedules.")  # fmt: skip
@click.option("--seconds", type=click.FloatRange(0.1), default=60.0, show_default=True,
              help="Limit of processor time for each scenario or model.")  # fmt: skip
@click.option("--keep", type=click.Path(dir_okay=False), help="Write the schedule of a breach to this file.")
@click.option("--replay", "replay_path", type=click.Path(dir_okay=False), help="Run a schedule from a file.")
def interleave(names: tuple[str, ...], list_names: bool, turns: int | None, newest: bool, every: bool,
               schedules: int, seconds: float, keep: str | None,
               replay_path: str | None) -> None:  # fmt: skip
    """Explore the scenarios and models NAMES, all by default; exit code 1 if a check fails."""
    known = {name: scenario.about for name, scenario in registry.SCENARIOS.items()}
    known |= {name: model.about for name, model in MODELS.items()}
    if list_names:
        for name, about in known.items():
            click.echo(f"{name:28} {about}")
        return
    if replay_path is not None:
        _replay(replay_path)
    broken, limits = False, Limits(schedules, seconds)
    for name in names or known:
        if name in MODELS:
            broken = _explore_model(name, turns, limits) or broken
            continue
        scenario = _find_scenario(name)
        found = _search(scenario, turns, newest, every, limits)
        _print_result(name, found)
        if found.breach is not None:
            broken = True
            click.echo("\n".join(trace.lines(found.breach)))
            if keep is not None:
                saved = SavedSchedule(scenario.name, found.breach.schedule, found.breach.breach)
                Path(keep).write_bytes(msgspec.json.encode(saved))
    sys.exit(1 if broken else 0)
