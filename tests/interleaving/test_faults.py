"""Each seeded fault is found by its scenario or model, and its counterexample replays."""

import pytest
from faults import FAULTS

from harriertrack.lab.interleaving import bounded, machines, registry, trace
from harriertrack.lab.interleaving.execution import Outcome, replay
from harriertrack.lab.interleaving.models.registry import MODELS
from harriertrack.lab.interleaving.search import Limits

LIMITS = Limits(20_000, 20.0)


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.name)
def test_seeded_fault_is_found_and_its_counterexample_replays(fault):
    if fault.found_by in MODELS:
        model = MODELS[fault.found_by]
        with fault.injected():
            result = machines.explore(model, LIMITS, fault.turns)
            assert result.breach and machines.replay(model, result.events) == result.breach
        return
    scenario = registry.SCENARIOS[fault.found_by]
    with fault.injected():
        found = bounded.explore(scenario, fault.turns, LIMITS, fault.newest)
        assert found.breach is not None
        replayed = replay(scenario, found.breach.schedule)
        assert (replayed.outcome, replayed.breach) == (Outcome.BREACH, found.breach.breach)
        assert "BREACH" in trace.lines(replayed)[-1] and len(trace.lines(replayed)) > 2


def test_there_are_at_least_thirty_distinct_faults():
    assert len({fault.name for fault in FAULTS}) == len(FAULTS) >= 30
