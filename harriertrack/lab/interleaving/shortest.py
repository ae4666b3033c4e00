"""From a breach to its shortest schedule: fewest turns from the usual order, then fewest steps."""

from __future__ import annotations

from harriertrack.lab.interleaving import bounded, reduced
from harriertrack.lab.interleaving.execution import Event, Execution, Outcome, execute
from harriertrack.lab.interleaving.search import Limits, SearchResult
from harriertrack.lab.interleaving.world import Scenario


def _without(scenario: Scenario, schedule: tuple[str, ...], at: int) -> Execution:
    """Run a schedule with the usual step at one place, and what was left out of it as soon as it can run."""
    rest = list(schedule[at:])

    def pick(events: list[Event], names: tuple[str, ...]) -> str:
        number = len(events)
        if number < at:
            return schedule[number]
        chosen = names[0] if number == at else next((one for one in rest if one in names), names[0])
        if chosen in rest:
            rest.remove(chosen)
        return chosen

    return execute(scenario, pick)


def shrink(scenario: Scenario, one: Execution, tries: int = 300) -> Execution:
    """Take turns out of a breach's schedule for as long as it stays a breach."""
    again = True
    while again and tries > 0:
        again = False
        for at, event in enumerate(one.events):
            if event.step == event.offered[0] or tries <= 0:
                continue
            tries -= 1
            other = _without(scenario, one.schedule, at)
            before = (bounded.turns(one), len(one.events))
            if other.outcome is Outcome.BREACH and (bounded.turns(other), len(other.events)) < before:
                one, again = other, True
                break
    return one


def find_breach(scenario: Scenario, bound: int, limits: Limits) -> SearchResult:
    """Look for a breach: by few turns first, then, if that shows none, through all kinds of schedules.

    A breach of the first search has the fewest turns there are; one of the second is shrunk.
    """
    for newest in (False, True):
        found = bounded.explore(scenario, bound, limits, newest)
        if found.breach is not None:
            return found
    every = reduced.explore(scenario, limits)
    if every.breach is not None:
        every.breach = shrink(scenario, every.breach)
    return every
