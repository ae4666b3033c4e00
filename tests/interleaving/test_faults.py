"""Each seeded fault is found, by the scenario or model that stands beside it, and replays from its trace."""

import pytest
from faults import FAULTS

from harriertrack.lab.interleaving import bounded, machines, registry, trace
from harriertrack.lab.interleaving.execution import Outcome, replay
from harriertrack.lab.interleaving.models.registry import MODELS
from harriertrack.lab.interleaving.search import Limits

ENOUGH = Limits(20_000, 20.0)


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.name)
def test_a_seeded_fault_is_found_and_its_trace_shows_it_again(fault):
    if fault.found_by in MODELS:
        model = MODELS[fault.found_by]
        with fault.injected():
            seen = machines.explore(model, ENOUGH, fault.turns)
            assert seen.breach and machines.replay(model, seen.events) == seen.breach
        return
    scenario = registry.SCENARIOS[fault.found_by]
    with fault.injected():
        found = bounded.explore(scenario, fault.turns, ENOUGH, fault.newest)
        assert found.breach is not None
        again = replay(scenario, found.breach.schedule)
        assert (again.outcome, again.breach) == (Outcome.BREACH, found.breach.breach)
        assert "BREACH" in trace.lines(again)[-1] and len(trace.lines(again)) > 2


def test_there_are_thirty_faults_and_more():
    assert len({fault.name for fault in FAULTS}) == len(FAULTS) >= 30
