"""Short soak runs with fixed seeds: heads keep all rules, and a seeded fault in them is found."""

import sys

import msgspec
import pytest

from harriertrack.lab.soak.plan import HeadRestart, draw
from harriertrack.lab.soak.playing import play
from tests.soak.faulty_head import FAULTS

SECONDS = 16
# The rule that each fault breaks, and a seed whose plan provokes it.
BROKEN = {
    "begin_graces_anew": (3, 1), "end_at_once": (1, 1), "repeat_what_may_have_run": (2, 3), "ignore_limits": (7, 1),
    "ignore_drains": (3, 1),
}  # fmt: skip


def described(result):
    lines = [str(breach) for breach in result.breaches[:5]]
    return "\n".join([*lines, *(f"{head}: {log[-2000:]}" for head, log in result.logs.items())])


@pytest.mark.real_time
@pytest.mark.parametrize("seed", [1, 2, 3, 7])
def test_heads_keep_all_rules(seed):
    plan = draw(seed, seconds=SECONDS)
    result = play(plan)
    assert not result.breaches, described(result)
    assert result.counts()["200"] > 100
    restarts = sum(isinstance(step, HeadRestart) for step in plan.steps)
    started = sum(log.count("\nready ") for log in result.logs.values())
    assert started == plan.heads + restarts and "Traceback" not in described(result)


@pytest.mark.real_time
@pytest.mark.parametrize("fault", FAULTS)
def test_a_seeded_fault_is_found(fault):
    rule, seed = BROKEN[fault]
    plan = draw(seed, heads=3, seconds=SECONDS)
    if fault == "ignore_limits":
        plan = tight_limit(plan)
    if fault == "end_at_once":
        plan = msgspec.structs.replace(plan, clients=6, gap_us=15_000)
    result = play(plan, (sys.executable, "-B", "-m", "tests.soak.faulty_head", fault))
    assert rule in {breach.rule for breach in result.breaches}, described(result)


def tight_limit(plan):
    """Return the plan with a limit that its requests reach."""
    settings = msgspec.json.decode(msgspec.json.encode(plan.settings))
    settings["contracts"][1].update(ceilingRate=0.1, mostAtOnce=2, capSlack=0)
    return msgspec.structs.replace(plan, settings=settings)
