"""Breadth-first model checking of pure state machines: the first counterexample is a shortest one.

A `Model` combines a few machines into one state (heads, messages in transit, time) and names the enabled
events. States are copied by pickling; states with the same pickle are visited once (equal states may pickle
differently, and are then visited twice).
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
    """A transition system over a few state machines."""

    name: str
    about: str

    def start(self) -> Any:
        """Return the initial state: plain values and machines, all picklable."""

    def events(self, state: Any) -> Iterable[str]:
        """Name the enabled events."""

    def apply(self, state: Any, event: str) -> None:
        """Apply an event to the state, in place."""

    def wrong(self, state: Any) -> str | None:
        """Return the violated invariant, if there is one."""


@dataclass(slots=True)
class ModelResult:
    """The result of a search over a model."""

    states: int = 0
    steps: int = 0
    deepest: int = 0
    whole: bool = False
    breach: str = ""
    events: tuple[str, ...] = ()  # the counterexample: events that lead to the breach
    seconds: float = 0.0


def explore(model: Model, limits: Limits = Limits(), turns: int | None = None) -> ModelResult:  # noqa: B008
    """Visit all reachable states of a model, up to the first breach; `limits.schedules` bounds the states.

    With `turns`, paths choose an event other than the first enabled one at most that often, and are explored
    by fewest turns, then by length. Without it, the counterexample found is a shortest one.
    """
    result, began = ModelResult(states=1), time.process_time()
    start = pickle.dumps(pickle.loads(pickle.dumps(model.start())))
    parents: list[tuple[int, str]] = [(-1, "")]  # by state: its predecessor, and the event between
    known = {hash(start)}
    waiting = [(0, 0, 0, start)]  # turns, depth, number, state

    def path_to(at: int) -> tuple[str, ...]:
        events = []
        while at > 0:
            at, event = parents[at]
            events.append(event)
        return tuple(reversed(events))

    while waiting:
        result.seconds = time.process_time() - began
        if result.states >= limits.schedules or result.seconds >= limits.seconds:
            return result
        turns_used, depth, at, pickled = heapq.heappop(waiting)
        for place, event in enumerate(model.events(pickle.loads(pickled))):
            next_turns = turns_used + (turns is not None and place > 0)
            if turns is not None and next_turns > turns:
                break
            state = pickle.loads(pickled)
            result.steps += 1
            try:
                model.apply(state, event)
                wrong = model.wrong(state)
            except Exception as error:  # an exception in a machine counts as a breach
                wrong = f"{type(error).__name__}: {error}"
            if wrong is not None:
                result.breach, result.events = wrong, (*path_to(at), event)
                return result
            encoded = pickle.dumps(state)
            if hash(encoded) not in known:
                known.add(hash(encoded))
                parents.append((at, event))
                result.states += 1
                result.deepest = max(result.deepest, depth + 1)
                heapq.heappush(waiting, (next_turns, depth + 1, len(parents) - 1, encoded))
    result.whole = True
    result.seconds = time.process_time() - began
    return result


def replay(model: Model, events: Iterable[str]) -> str | None:
    """Apply events in order; return the first breach, if there is one."""
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
