"""The module takes weights as a factor where it places new objects, and all else stands above them."""

from __future__ import annotations

import random

import pytest

from harriertrack.decisions.interface import (
    RequestArrived,
    Effect,
    AttemptEnded,
    DedupScope,
    ListKind,
    NodeEntry,
    NodesChanged,
    NodeState,
    Plan,
    RequestClass,
    Result,
    Send,
    Settings,
)
from harriertrack.decisions.scheduler import Scheduler

MS = 1000
SETTINGS = Settings(
    heads=2, classes=(RequestClass("write", 300 * MS, 900 * MS, effect=Effect.KEYED, group=DedupScope.CELL,
                                   window_us=2_000 * MS),),
    plans=(Plan("p", reserve=1000),), warm_us=8_000 * MS, cold_units=20, fall_multiple=2, fall_us=2_000 * MS,
    cold_share=0.25, max_attempts=3, max_hint_us=100 * MS,
)  # fmt: skip


class Fixed:
    """Weights that do not move."""

    def __init__(self, **factors: float) -> None:
        self.factors = factors

    def factor(self, node: str) -> float:
        return self.factors.get(node, 1.0)


def placed(weights, states=(NodeState.UP,) * 3, requests=600, seed=5, started=(0, 0, 0)):
    """Let requests arrive, each answered in its time; return where they went and all actions."""
    module, draws, now = Scheduler(SETTINGS, seed, weights=weights), random.Random(1), 100_000 * MS
    entries = [NodeEntry(f"n{at}", at, state, started_us=started[at]) for at, state in enumerate(states)]
    log = [module.handle(now, [NodesChanged(ListKind.FULL, entries)])]
    went: dict[str, int] = {"n0": 0, "n1": 0, "n2": 0}
    due: list[tuple[int, AttemptEnded]] = []
    for number in range(requests):
        now += 2 * MS
        events = [event for at, event in due if at <= now]
        due = [one for one in due if one[0] > now]
        ask = RequestArrived(number, "write", "p", "v", f"k{number}", -1, 1.0, 900 * MS)
        log.append(module.handle(now, [*events, ask]))
        for action in log[-1]:
            if isinstance(action, Send):
                went[action.node] += 1
                took = draws.randrange(3 * MS, 5 * MS)
                due.append((now + took, AttemptEnded(action.request, 0, action.node, Result.OK, took, True)))
    return went, log


def test_without_weights_and_with_even_ones_not_a_decision_differs():
    assert placed(None)[1] == placed(Fixed())[1]


@pytest.mark.parametrize("factor", [0.25, 4.0])
def test_a_weight_draws_new_objects_or_keeps_them_off(factor):
    even, swayed = placed(None)[0], placed(Fixed(n1=factor))[0]
    assert (swayed["n1"] > 1.5 * even["n1"]) if factor > 1 else (swayed["n1"] < 0.7 * even["n1"])
    assert sum(swayed.values()) == sum(even.values())


def test_drains_and_cold_nodes_stand_above_weights():
    assert placed(Fixed(n1=4.0), (NodeState.UP, NodeState.DRAINING, NodeState.UP))[0]["n1"] == 0
    cold = placed(Fixed(n1=4.0), started=(0, 99_999 * MS, 0))[0]
    assert cold["n1"] == placed(None, started=(0, 99_999 * MS, 0))[0]["n1"] == 0
