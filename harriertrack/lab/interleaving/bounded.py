"""Schedules that leave the usual loop's order a few times only: for worlds too large to be seen whole.

Most breaches need few turns (Musuvathi and Qadeer, "Iterative context bounding", PLDI 2007; Emmi, Qadeer and
Rakamaric, "Delay-bounded scheduling", POPL 2011). Here tasks keep running until they wait, so what is counted
is not preemptions but turns: steps chosen in place of the one that the hub's own loop would run. Fewest turns
come first, so the first breach has the fewest. Nothing is left out within the bound, and no reduction is
used: with a bound it would leave out schedules that have no other to stand for them (Coons, Musuvathi,
McKinley, "Bounded partial-order reduction", OOPSLA 2013).
"""

from __future__ import annotations

import heapq

from harriertrack.lab.interleaving.execution import NEVER, Execution, execute, following
from harriertrack.lab.interleaving.search import Limits, Meter, SearchResult
from harriertrack.lab.interleaving.world import Scenario


def turns(one: Execution) -> int:
    """Return how often a schedule leaves the usual order."""
    return sum(event.step != event.offered[0] for event in one.events)


def explore(scenario: Scenario, bound: int, limits: Limits = Limits(), newest: bool = False) -> SearchResult:  # noqa: B008
    """Run all schedules of at most `bound` turns, up to the first breach.

    Turns are counted from the usual order, in which all go on side by side, or (`newest`) from one in which
    whoever began goes on for as long as it can: what needs one to be far ahead is few turns from that alone.
    """
    found = SearchResult(bound=bound)
    meter = Meter(limits, found)
    waiting: list[tuple[int, int, tuple[str, ...]]] = [(0, 0, ())]  # turns, steps, how it begins
    while waiting and not meter.over():
        left, _, begins = heapq.heappop(waiting)
        one = execute(scenario, following(begins), newest)
        found.record(one, len(one.events) - max(0, len(begins) - 1))
        if found.breach is not None:
            break
        if left < bound:
            ran = one.schedule
            for at in range(len(begins), len(ran)):
                for name in one.events[at].offered[1:]:
                    if name.startswith(NEVER):
                        continue  # as if nothing were said
                    heapq.heappush(waiting, (left + 1, at + 1, (*ran[:at], name)))
    found.whole = not waiting and found.breach is None
    meter.over()
    return found
