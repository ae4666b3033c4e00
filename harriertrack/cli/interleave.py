"""`harriertrack interleave`: every order of a few tasks of production code, under a checker."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import msgspec

from harriertrack.cli.common import fail
from harriertrack.lab.interleaving import bounded, machines, plain, reduced, registry, shortest, trace
from harriertrack.lab.interleaving.execution import NotRepeatable, Outcome, replay
from harriertrack.lab.interleaving.models.registry import MODELS
from harriertrack.lab.interleaving.search import Found, Limits
from harriertrack.lab.interleaving.world import Scenario


class SavedSchedule(msgspec.Struct, frozen=True):
    """A schedule in a file."""

    scenario: str
    steps: tuple[str, ...]
    breach: str = ""


def _scenario(name: str) -> Scenario:
    try:
        return registry.SCENARIOS[name]
    except KeyError:
        fail(f"{name}: no such scenario; `harriertrack interleave --list` names them")


def _search(scenario: Scenario, turns: int | None, newest: bool, every: bool, limits: Limits) -> Found:
    if every:
        return plain.enumerate_all(scenario, limits)
    if turns is not None:
        return bounded.explore(scenario, turns, limits, newest)
    found = reduced.explore(scenario, limits)
    if found.breach is not None:
        found.breach = shortest.shrink(scenario, found.breach)
    return found


def _tell(name: str, found: Found) -> None:
    how = "whole" if found.whole else "found" if found.breach else "not whole"
    within = f" of at most {found.bound} turns" if found.bound is not None else ""
    click.echo(f"{name}: {how}; {found.schedules} schedules{within}, {found.cut} cut, {found.states} states, "
               f"{found.steps} steps, deepest {found.deepest}, {len(found.ends)} ends, "
               f"{found.seconds:.1f} s")  # fmt: skip


def _model(name: str, turns: int | None, limits: Limits) -> bool:
    """Explore a model of pure machines; return whether it is broken."""
    seen = machines.explore(MODELS[name], limits, turns)
    how = "whole" if seen.whole else "found" if seen.breach else "not whole"
    within = f" of at most {turns} turns" if turns is not None else ""
    click.echo(f"{name}: {how}; {seen.states} states{within}, {seen.steps} steps, deepest {seen.deepest}, "
               f"{seen.seconds:.1f} s")  # fmt: skip
    if seen.breach:
        for number, event in enumerate(seen.events, 1):
            click.echo(f"{number:4} {event}")
        click.echo(f"     BREACH: {seen.breach}")
    return bool(seen.breach)


def _replay(path: str) -> None:
    try:
        kept = msgspec.json.decode(Path(path).read_bytes(), type=SavedSchedule)
        one = replay(_scenario(kept.scenario), kept.steps)
    except (OSError, msgspec.MsgspecError, NotRepeatable) as error:
        fail(f"{path}: {error}")
    click.echo("\n".join(trace.lines(one)))
    sys.exit(1 if one.outcome is Outcome.BREACH else 0)


@click.command("interleave")
@click.argument("names", nargs=-1)
@click.option("--list", "listed", is_flag=True, help="Name all scenarios.")
@click.option("--turns", type=click.IntRange(0), help="Leave the usual order so often at most; no reduction.")
@click.option("--newest", is_flag=True, help="With --turns: count from the order in which who began goes on.")
@click.option("--every", is_flag=True, help="Every schedule, without reduction.")
@click.option("--schedules", type=click.IntRange(1), default=100_000, show_default=True, help="At most.")
@click.option("--seconds", type=click.FloatRange(0.1), default=60.0, show_default=True,
              help="Of processor time for each, at most.")  # fmt: skip
@click.option("--keep", type=click.Path(dir_okay=False), help="Write a breach's schedule here.")
@click.option("--replay", "replayed", type=click.Path(dir_okay=False), help="Run a schedule from a file.")
def interleave(names: tuple[str, ...], listed: bool, turns: int | None, newest: bool, every: bool,
               schedules: int, seconds: float, keep: str | None, replayed: str | None) -> None:  # fmt: skip
    """Explore the scenarios and models NAMES, all without a name; exit code 1 where one is broken."""
    known = {name: one.about for name, one in registry.SCENARIOS.items()}
    known |= {name: one.about for name, one in MODELS.items()}
    if listed:
        for name, about in known.items():
            click.echo(f"{name:28} {about}")
        return
    if replayed is not None:
        _replay(replayed)
    broken, limits = False, Limits(schedules, seconds)
    for name in names or known:
        if name in MODELS:
            broken = _model(name, turns, limits) or broken
            continue
        scenario = _scenario(name)
        found = _search(scenario, turns, newest, every, limits)
        _tell(name, found)
        if found.breach is not None:
            broken = True
            click.echo("\n".join(trace.lines(found.breach)))
            if keep is not None:
                kept = SavedSchedule(scenario.name, found.breach.schedule, found.breach.breach)
                Path(keep).write_bytes(msgspec.json.encode(kept))
    sys.exit(1 if broken else 0)
