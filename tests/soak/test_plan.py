"""Plans of soak runs: drawn from seeds alone, within what the platform's page allows."""

from typing import get_args

import msgspec
import pytest

from harriertrack.decisions.settings_parser import parse_settings
from harriertrack.lab.soak.plan import (
    HOSTILE_SOCKETS,
    MAX_FEW_CONNECTIONS,
    MAX_HOSTILE_CONNECTIONS,
    MEMORY_MB,
    HostileClients,
    HostileKind,
    MAX_CROWD,
    MAX_HEADS,
    MAX_KILL_DEADLINE_US,
    MS,
    QUIET_US,
    SECOND,
    Drain,
    HeadPause,
    HeadRestart,
    Plan,
    Step,
    draw,
)

SEEDS = range(60)


def test_a_seed_determines_the_plan():
    assert draw(3) == draw(3) != draw(4)


@pytest.mark.parametrize("seed", [0, 1, 2])
def test_a_plan_round_trips_through_json(seed):
    plan = draw(seed)
    assert msgspec.json.decode(msgspec.json.encode(plan), type=Plan) == plan


def test_all_kinds_of_steps_crowds_and_both_ways_of_discovery_are_drawn():
    plans = [draw(seed) for seed in SEEDS]
    kinds = {type(step) for plan in plans for step in plan.steps}
    assert kinds == set(get_args(Step))
    assert {plan.crowd > 0 for plan in plans} == {True, False}
    assert {plan.settings["discovery"] for plan in plans} == {"on_request", "pushed"}
    restarts = [step for plan in plans for step in plan.steps if isinstance(step, HeadRestart)]
    assert {step.planned for step in restarts} == {step.older_list for step in restarts} == {True, False}


@pytest.mark.parametrize("heads", [None, MAX_HEADS])
def test_crowds_fit_into_the_descriptors_of_one_process(heads):
    plans = [draw(seed, heads) for seed in SEEDS]
    assert 0 < max(plan.heads * plan.crowd for plan in plans) <= MAX_CROWD


def test_the_kill_comes_at_the_earliest_that_the_page_allows():
    for plan in map(draw, SEEDS):
        longest_us = max(lane["giveUpUs"] for lane in plan.settings["lanes"])
        assert plan.kill_after_us == min(longest_us, 3 * SECOND) + 700 * MS <= MAX_KILL_DEADLINE_US + 700 * MS


def test_settings_are_valid_and_the_end_is_quiet():
    for plan in map(draw, SEEDS):
        parse_settings(plan.settings)
        assert all(step.at <= plan.length_us - QUIET_US for step in plan.steps)
        assert len({step.head for step in plan.steps if isinstance(step, HeadRestart | HeadPause)}) == sum(
            isinstance(step, HeadRestart | HeadPause) for step in plan.steps
        )


def test_hostile_clients_of_all_kinds_are_drawn_for_some_runs_and_leave_places_for_usual_ones():
    plans = [draw(seed) for seed in SEEDS]
    steps = [step for plan in plans for step in plan.steps if isinstance(step, HostileClients)]
    assert {step.kind for step in steps} == set(HostileKind)
    for plan in plans:
        hostile = [step for step in plan.steps if isinstance(step, HostileClients)]
        few = all(step.connections <= MAX_FEW_CONNECTIONS for step in hostile)
        assert few or (plan.sockets == HOSTILE_SOCKETS and not plan.crowd)
        assert all(0 < step.connections <= MAX_HOSTILE_CONNECTIONS for step in hostile)
    assert {plan.memory_mb for plan in plans} == set(MEMORY_MB)


def test_a_node_drains_again_only_after_it_was_back():
    for plan in map(draw, SEEDS):
        back_at = dict.fromkeys(range(plan.nodes), 0)
        for step in plan.steps:
            if isinstance(step, Drain):
                assert step.at >= back_at[step.node]
                back_at[step.node] = step.at + step.for_us
