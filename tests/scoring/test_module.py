"""The decision module applies weights to the placement of new objects, after all other rules."""

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
    """Constant weights."""

    def __init__(self, **factors: float) -> None:
        self.factors = factors

    def factor(self, node: str) -> float:
        return self.factors.get(node, 1.0)


def place(weights, states=(NodeState.UP,) * 3, requests=600, seed=5, started=(0, 0, 0)):
    """Send requests, each answered after its latency; return the counts by node and all actions."""
    module, draws, now = Scheduler(SETTINGS, seed, weights=weights), random.Random(1), 100_000 * MS
    entries = [NodeEntry(f"n{at}", at, state, started_us=started[at]) for at, state in enumerate(states)]
    log = [module.handle(now, [NodesChanged(ListKind.FULL, entries)])]
    counts: dict[str, int] = {"n0": 0, "n1": 0, "n2": 0}
    pending: list[tuple[int, AttemptEnded]] = []
    for number in range(requests):
        now += 2 * MS
        events = [event for at, event in pending if at <= now]
        pending = [one for one in pending if one[0] > now]
        request = RequestArrived(number, "write", "p", "v", f"k{number}", -1, 1.0, 900 * MS)
        log.append(module.handle(now, [*events, request]))
        for action in log[-1]:
            if isinstance(action, Send):
                counts[action.node] += 1
                latency = draws.randrange(3 * MS, 5 * MS)
                pending.append(
                    (now + latency, AttemptEnded(action.request, 0, action.node, Result.OK, latency, True))
                )
    return counts, log


def test_no_weights_and_equal_weights_lead_to_the_same_decisions():
    assert place(None)[1] == place(Fixed())[1]


@pytest.mark.parametrize("factor", [0.25, 4.0])
def test_a_weight_attracts_or_repels_new_objects(factor):
    equal, weighted = place(None)[0], place(Fixed(n1=factor))[0]
    assert (weighted["n1"] > 1.5 * equal["n1"]) if factor > 1 else (weighted["n1"] < 0.7 * equal["n1"])
    assert sum(weighted.values()) == sum(equal.values())


def test_drains_and_cold_starts_take_precedence_over_weights():
    assert place(Fixed(n1=4.0), (NodeState.UP, NodeState.DRAINING, NodeState.UP))[0]["n1"] == 0
    cold = place(Fixed(n1=4.0), started=(0, 99_999 * MS, 0))[0]
    assert cold["n1"] == place(None, started=(0, 99_999 * MS, 0))[0]["n1"] == 0
