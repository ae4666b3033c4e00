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
from harriertrack.lab.interleaving.search import Found, Limits, Meter
from harriertrack.lab.interleaving.world import Scenario


def turns(one: Execution) -> int:
    """Return how often a schedule leaves the usual order."""
    return sum(event.step != event.offered[0] for event in one.events)


def explore(scenario: Scenario, bound: int, limits: Limits = Limits()) -> Found:  # noqa: B008
    """Run all schedules of at most `bound` turns, up to the first breach."""
    found = Found(bound=bound)
    meter = Meter(limits, found)
    waiting: list[tuple[int, int, tuple[str, ...]]] = [(0, 0, ())]  # turns, steps, how it begins
    while waiting and not meter.over():
        left, _, begins = heapq.heappop(waiting)
        one = execute(scenario, following(begins))
        found.take(one, len(one.events) - max(0, len(begins) - 1))
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
