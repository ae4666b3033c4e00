"""Exhaustive enumeration of schedules: the baseline that the other searches are compared with."""

from __future__ import annotations

from dataclasses import dataclass

from harriertrack.lab.interleaving.execution import Event, execute
from harriertrack.lab.interleaving.search import Limits, Meter, SearchResult
from harriertrack.lab.interleaving.world import Scenario


@dataclass(slots=True)
class _Choice:
    names: tuple[str, ...]
    at: int = 0


def enumerate_all(scenario: Scenario, limits: Limits = Limits()) -> SearchResult:  # noqa: B008
    """Run all schedules of a scenario, depth first, up to the first breach."""
    found, choices = SearchResult(), list[_Choice]()
    meter = Meter(limits, found)

    def pick(events: list[Event], names: tuple[str, ...]) -> str:
        if len(events) == len(choices):
            choices.append(_Choice(names))
        choice = choices[len(events)]
        return choice.names[choice.at]

    while not meter.over():
        before = len(choices)
        found.record(execute(scenario, pick), len(choices) - before + 1)
        if found.breach is not None:
            break
        while choices and choices[-1].at + 1 == len(choices[-1].names):
            choices.pop()
        if not choices:
            found.whole = True
            break
        choices[-1].at += 1
    meter.over()
    return found
