"""Every schedule, one after another: what the other searches are compared with."""

from __future__ import annotations

from dataclasses import dataclass

from harriertrack.lab.interleaving.execution import Event, execute
from harriertrack.lab.interleaving.search import Limits, Meter, SearchResult
from harriertrack.lab.interleaving.world import Scenario


@dataclass(slots=True)
class _Turn:
    names: tuple[str, ...]
    at: int = 0


def enumerate_all(scenario: Scenario, limits: Limits = Limits()) -> SearchResult:  # noqa: B008
    """Run all schedules of a scenario, depth first, up to the first breach."""
    found, turns = SearchResult(), list[_Turn]()
    meter = Meter(limits, found)

    def pick(events: list[Event], names: tuple[str, ...]) -> str:
        if len(events) == len(turns):
            turns.append(_Turn(names))
        turn = turns[len(events)]
        return turn.names[turn.at]

    while not meter.over():
        before = len(turns)
        found.record(execute(scenario, pick), len(turns) - before + 1)
        if found.breach is not None:
            break
        while turns and turns[-1].at + 1 == len(turns[-1].names):
            turns.pop()
        if not turns:
            found.whole = True
            break
        turns[-1].at += 1
    meter.over()
    return found
