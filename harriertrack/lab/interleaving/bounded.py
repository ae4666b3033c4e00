"""Delay-bounded search: schedules with few deviations from the default order, for large state spaces.

Most violations need few deviations (Musuvathi and Qadeer, "Iterative context bounding", PLDI 2007; Emmi,
Qadeer and Rakamaric, "Delay-bounded scheduling", POPL 2011). Here tasks run until they wait, so the bound
counts not preemptions but turns: steps chosen instead of the one that the hub's own loop would run.
Schedules are explored by fewest turns, so the first counterexample has the minimum. The search is exhaustive
within the bound and uses no partial-order reduction: combined with a bound, it would prune schedules whose
equivalents lie outside the bound (Coons, Musuvathi, McKinley, "Bounded partial-order reduction", OOPSLA
2013).
"""

from __future__ import annotations

import heapq

from harriertrack.lab.interleaving.execution import NEVER, Execution, execute, following
from harriertrack.lab.interleaving.search import Limits, Meter, SearchResult
from harriertrack.lab.interleaving.world import Scenario


def turns(one: Execution) -> int:
    """Return how often a schedule deviates from the default order."""
    return sum(event.step != event.offered[0] for event in one.events)


def explore(scenario: Scenario, bound: int, limits: Limits = Limits(), newest: bool = False) -> SearchResult:  # noqa: B008
    """Run all schedules of at most `bound` turns, up to the first breach.

    Turns are counted from the default round-robin order or, with `newest`, from the order that runs the most
    recently enabled step first: a violation that needs one task far ahead has few turns only in that order.
    """
    found = SearchResult(bound=bound)
    meter = Meter(limits, found)
    queue: list[tuple[int, int, tuple[str, ...]]] = [(0, 0, ())]  # turns, steps, prefix
    while queue and not meter.over():
        used, _, prefix = heapq.heappop(queue)
        one = execute(scenario, following(prefix), newest)
        found.record(one, len(one.events) - max(0, len(prefix) - 1))
        if found.breach is not None:
            break
        if used < bound:
            ran = one.schedule
            for at in range(len(prefix), len(ran)):
                for name in one.events[at].offered[1:]:
                    if name.startswith(NEVER):
                        continue  # same as the default order
                    heapq.heappush(queue, (used + 1, at + 1, (*ran[:at], name)))
    found.whole = not queue and found.breach is None
    meter.over()
    return found
