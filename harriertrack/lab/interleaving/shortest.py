"""Minimizes counterexamples: fewest turns (deviations from the default order), then fewest steps."""

from __future__ import annotations

from harriertrack.lab.interleaving import bounded, reduced
from harriertrack.lab.interleaving.execution import Event, Execution, Outcome, execute
from harriertrack.lab.interleaving.search import Limits, SearchResult
from harriertrack.lab.interleaving.world import Scenario


def _without_turn(scenario: Scenario, schedule: tuple[str, ...], at: int) -> Execution:
    """Run a schedule with the default step at one index; the replaced step runs once it is enabled."""
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
    """Remove turns from a counterexample for as long as it still violates an invariant."""
    again = True
    while again and tries > 0:
        again = False
        for at, event in enumerate(one.events):
            if event.step == event.offered[0] or tries <= 0:
                continue
            tries -= 1
            other = _without_turn(scenario, one.schedule, at)
            before = (bounded.turns(one), len(one.events))
            if other.outcome is Outcome.BREACH and (bounded.turns(other), len(other.events)) < before:
                one, again = other, True
                break
    return one


def find_breach(scenario: Scenario, bound: int, limits: Limits) -> SearchResult:
    """Search for a breach with bounded turns first, then by partial-order reduction.

    A counterexample of the bounded search has the minimum number of turns; one of the second is shrunk.
    """
    for newest in (False, True):
        found = bounded.explore(scenario, bound, limits, newest)
        if found.breach is not None:
            return found
    result = reduced.explore(scenario, limits)
    if result.breach is not None:
        result.breach = shrink(scenario, result.breach)
    return result
