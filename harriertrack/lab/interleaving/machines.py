"""Every order of the events of pure machines: breadth first, so that the first breach is a shortest one.

A `Model` joins a few machines to one state (heads, what is on its way between them, time) and names the
events that can happen in it. States are copied by pickling; states that pickle alike are looked at once
(states that are equal may pickle differently, and are then looked at twice).
"""

from __future__ import annotations

import heapq
import pickle
import time
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Protocol

from harriertrack.lab.interleaving.search import Limits


class Model(Protocol):
    """What one adapter says of its machines."""

    name: str
    about: str

    def start(self) -> Any:
        """Return the first state: plain values and machines, which can be pickled."""

    def events(self, state: Any) -> Iterable[str]:
        """Name what can happen now."""

    def apply(self, state: Any, event: str) -> None:
        """Let it happen, in place."""

    def wrong(self, state: Any) -> str | None:
        """Return what must not be."""


@dataclass(slots=True)
class ModelResult:
    """What a search over a model saw."""

    states: int = 0
    steps: int = 0
    deepest: int = 0
    whole: bool = False
    breach: str = ""
    events: tuple[str, ...] = ()  # that lead to it
    seconds: float = 0.0


def explore(model: Model, limits: Limits = Limits(), turns: int | None = None) -> ModelResult:  # noqa: B008
    """Look at all states of a model, up to the first breach; `limits.schedules` bounds the states.

    `turns`: at most so often anything but the first of the events that a model names; fewest turns come
    first then, and of equal ones the shorter. Without, the breach that is found is a shortest one.
    """
    seen, began = ModelResult(states=1), time.process_time()
    start = pickle.dumps(pickle.loads(pickle.dumps(model.start())))
    ways: list[tuple[int, str]] = [(-1, "")]  # of each state: from which, by what
    known = {hash(start)}
    waiting = [(0, 0, 0, start)]  # turns, depth, number, state

    def way(at: int) -> tuple[str, ...]:
        events = []
        while at > 0:
            at, event = ways[at]
            events.append(event)
        return tuple(reversed(events))

    while waiting:
        seen.seconds = time.process_time() - began
        if seen.states >= limits.schedules or seen.seconds >= limits.seconds:
            return seen
        turned, deep, at, kept = heapq.heappop(waiting)
        for place, event in enumerate(model.events(pickle.loads(kept))):
            left = turned + (turns is not None and place > 0)
            if turns is not None and left > turns:
                break
            state = pickle.loads(kept)
            seen.steps += 1
            try:
                model.apply(state, event)
                wrong = model.wrong(state)
            except Exception as error:  # a machine that raises is a breach like any other
                wrong = f"{type(error).__name__}: {error}"
            if wrong is not None:
                seen.breach, seen.events = wrong, (*way(at), event)
                return seen
            form = pickle.dumps(state)
            if hash(form) not in known:
                known.add(hash(form))
                ways.append((at, event))
                seen.states += 1
                seen.deepest = max(seen.deepest, deep + 1)
                heapq.heappush(waiting, (left, deep + 1, len(ways) - 1, form))
    seen.whole = True
    seen.seconds = time.process_time() - began
    return seen


def replay(model: Model, events: Iterable[str]) -> str | None:
    """Let events happen in turn; return the first breach, if there is one."""
    state = model.start()
    for event in events:
        try:
            model.apply(state, event)
            wrong = model.wrong(state)
        except Exception as error:
            wrong = f"{type(error).__name__}: {error}"
        if wrong is not None:
            return wrong
    return None
