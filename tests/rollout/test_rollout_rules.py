"""The checker of rollouts finds seeded breaches and none in a correct rollout; simulated days pass it."""

import msgspec
import pytest

from harriertrack.lab.fleet import scenario
from harriertrack.lab.fleet.rehearsal import rehearsal_of
from harriertrack.lab.fleet.rig import simulate
from harriertrack.rules import budgets, changes, checker, fleet, recording as rec, rollout

S = 1_000_000
HEADS = [f"head{number}" for number in range(6)]
ZONES = {name: f"z{number % 3}" for number, name in enumerate(HEADS)}
HOSTS = {name: [f"vol{number % 3}", f"vol{(number + 1) % 3}"] for number, name in enumerate(HEADS)}


def step(t, standing, stage, heads, by="head0", epoch=1, version=1, thing="program"):
    return rec.RolloutStep(
        t=t * S,
        by=by,
        epoch=epoch,
        thing=thing,
        version=version,
        standing=standing,
        stage=stage,
        heads=heads,
        why="",
    )


def handover_began(t, head, version=1):
    return rec.HeadHandover(t=t * S, head=head, away=True, version=version)


def handover_ended(t, head, version=1):
    return rec.HeadHandover(t=t * S, head=head, away=False, version=version)


def facts(thing="program", version=1):
    return rec.RolloutFacts(
        t=0, thing=thing, version=version, zones=ZONES, volumes=HOSTS, away=1, back_away=2, missing=0.1,
        stages=[rec.StageFacts(heads=1, share=0), rec.StageFacts(heads=0, share=0.5), rec.StageFacts(heads=0, share=1)],
    )  # fmt: skip


def correct_rollout():
    """Return the records of a correct rollout."""
    found = [rec.RolloutExpected(t=0, thing="program", version=1), facts()]
    found += [rec.MemberLifecycle(t=0, member=name, how="started") for name in HEADS]
    named = []
    for at, name in enumerate(HEADS):
        stage, t = (1 if at == 0 else 2 if at < 3 else 3), 10 + 10 * at
        named = [*named, name]
        found += [step(t, "going", stage, list(named)), handover_began(t + 1, name), rec.MemberLifecycle(t=(t + 1) * S, member=name, how="leaving"),
                  rec.MemberLifecycle(t=(t + 2) * S, member=name, how="started"), handover_ended(t + 3, name)]  # fmt: skip
    return [*found, step(100, "in force", 3, [])]


def broken_rules(*more, drop=lambda _one: False):
    return {
        breach.rule for breach in rollout.check([*(one for one in correct_rollout() if not drop(one)), *more])
    }


def test_correct_rollout_breaks_no_rule():
    assert broken_rules() == set()
    assert rollout.check([rec.MemberLifecycle(t=0, member="head0", how="started")]) == []


@pytest.mark.parametrize(("rule", "fault"), [
    (1, [step(12, "going", 1, ["head0", "head1"])]),
    (1, [step(44, "going", 2, HEADS[:4])]),
    (1, [handover_ended(15, "head5")]),
    (2, [step(95, "back", 3, HEADS), step(97, "going", 3, HEADS)]),
    (2, [step(95, "back", 3, HEADS)]),
    (2, [step(20.5, "back", 2, ["head0"]), step(21, "back", 2, []), handover_ended(99, "head1")]),
    (3, [handover_began(21.5, "head4")]),
    (3, [handover_began(21.5, "head2")]),
    (3, [rec.MemberLifecycle(t=5 * S, member=name, how="killed") for name in ("head2", "head3", "head5")]),
    (4, [rec.MemberLifecycle(t=15 * S, member="head0", how="stopped")]),
    (4, [rec.MemberLifecycle(t=15 * S, member="head0", how="killed")]),
    (4, [rec.HeadsPartitioned(t=15 * S, heads=["head0"]), rec.HeadsPartitioned(t=45 * S, heads=[])]),
    (5, [step(30, "going", 2, HEADS[:3], by="head5")]),
    (5, [facts("settings"), step(35, "going", 1, ["head1"], thing="settings")]),
    (6, [rec.HeadHandover(t=101 * S, head="head3", away=False, version=0)]),
    (6, [rec.MemberLifecycle(t=101 * S, member="head3", how="started")]),
])  # fmt: skip
def test_each_seeded_fault_is_found(rule, fault):
    assert rule in broken_rules(*fault)


def test_stage_that_ends_before_its_head_changed_is_found():
    assert 4 in broken_rules(
        drop=lambda one: isinstance(one, rec.HeadHandover) and not one.away and one.head == "head0"
    )


def test_rehearsal_is_parsed():
    assert rehearsal_of("refuse:read:0.5").part == 0.5 and rehearsal_of("crash:1.5").crash_us == 1_500_000
    assert rehearsal_of("mute").mute
    for text in ("", "refuse:read", "refuse:read:2", "crash:x", "crash:1:2"):
        with pytest.raises(ValueError, match="expected"):
            rehearsal_of(text)


@pytest.mark.parametrize("name", ["roll-crashing", "roll-settings"])
def test_rollout_day_in_simulated_time(name):
    day = msgspec.structs.replace(scenario.load(name), rate=10.0)
    recorder = rec.Recorder()
    simulate(day, 5, 3, recorder)
    records = recorder.records
    found = [
        rollout.check(records),
        checker.check(records),
        fleet.check(records, day.detect_us),
        budgets.check(records),
        changes.check(records),
    ]
    assert found == [[]] * 5
    states = {(one.thing, one.version): one.standing for one in records if isinstance(one, rec.RolloutStep)}
    assert states == (
        {("program", 1): "stopped"}
        if name == "roll-crashing"
        else {("settings", 1): "in force", ("settings", 2): "stopped"}
    )
