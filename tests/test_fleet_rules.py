"""The rules of membership views: a correct recording breaks none, and each seeded fault is found."""

import pytest

from harriertrack.rules import fleet, recording as rec

S = 1_000_000


def lifecycle(t, member, how="started"):
    return rec.MemberLifecycle(t=t, member=member, how=how)


def view(t, member, about, state="alive", life=1, incarnation=0, there=0, digest="d", by=""):
    return rec.ViewReported(t=t, member=member, about=about, state=state, life=life, incarnation=incarnation, there=there,
                      digest=digest, by=by)  # fmt: skip


def agreement(t, *members, reached=True, after=1 * S, within=5 * S):
    return rec.AgreementCheck(t=t, members=list(members), within_us=within, after_us=after, reached=reached)


def correct_run():
    """Three members start and agree; c is killed and detected; a fault makes b dead for a while at a."""
    names = ("a", "b", "c")
    records = [lifecycle(0, name) for name in names]
    records += [view(S, name, about) for name in names for about in names]
    records += [agreement(2 * S, *names), lifecycle(60 * S, "c", "killed")]
    for name in ("a", "b"):
        records += [view(62 * S, name, "c", "suspect"), view(66 * S, name, "c", "dead", digest="e")]
        records.append(view(66 * S, name, name, digest="e"))
    records += [agreement(67 * S, "a", "b"), rec.ActiveFaults(t=100 * S, faults=1)]
    records += [view(105 * S, "a", "b", "dead", digest="f"), rec.ActiveFaults(t=110 * S, faults=0)]
    records += [view(112 * S, "a", "b", "alive", incarnation=1, digest="e"), agreement(113 * S, "a", "b")]
    return records


def broken_rules(records, detect=20 * S):
    return [breach.rule for breach in fleet.check(records, detect)]


def test_a_correct_recording_breaks_no_rule():
    assert broken_rules(correct_run()) == []


def without(records, *removed):
    return [one for one in records if one not in removed]


@pytest.mark.parametrize(("rule", "add_fault"), [
    (1, lambda correct: correct + [agreement(114 * S, "a", "b", reached=False)]),
    (1, lambda correct: correct + [agreement(114 * S, "a", "b", after=9 * S)]),
    (1, lambda correct: without(correct, view(S, "b", "a")) + [agreement(115 * S, "a", "b")]),
    (1, lambda correct: correct + [view(114 * S, "a", "a", digest="other"), agreement(115 * S, "a", "b")]),
    (2, lambda correct: [*correct, view(50 * S, "a", "b", "dead")]),
    (3, lambda correct: without(correct, view(66 * S, "b", "c", "dead", digest="e"), agreement(67 * S, "a", "b"))),
    (4, lambda correct: [*correct, view(70 * S, "a", "c", "alive")]),
    (4, lambda correct: [*correct, view(70 * S, "a", "b", life=0, incarnation=9)]),
    (5, lambda correct: [*correct, view(70 * S, "a", "a", "dead", digest="e")]),
])  # fmt: skip
def test_each_seeded_fault_is_found(rule, add_fault):
    assert rule in broken_rules(add_fault(correct_run()))


def test_a_false_death_during_or_just_after_a_fault_is_no_breach():
    records = [one for one in correct_run() if one.t < 100 * S]
    records += [
        rec.ActiveFaults(t=100 * S, faults=1),
        rec.ActiveFaults(t=101 * S, faults=0),
        view(110 * S, "a", "b", "dead"),
    ]
    assert broken_rules(records) == []
    assert 2 in broken_rules([*records, view(200 * S, "b", "a", "dead")])


def test_an_earlier_instance_of_a_member_may_be_dead():
    records = [one for one in correct_run() if one.t < 60 * S]
    records += [lifecycle(60 * S, "b", "killed"), lifecycle(61 * S, "b"), view(62 * S, "a", "b", "dead")]
    assert broken_rules(records) == []
    records += [view(63 * S, "b", "b", life=2), view(64 * S, "a", "b", life=2)]
    assert broken_rules(records) == [] and broken_rules(
        [*records, view(65 * S, "a", "b", "dead", life=2)]
    ) == [2]


def test_a_stopped_member_may_be_dead_and_a_restarted_observer_begins_a_new_view():
    records = [one for one in correct_run() if one.t < 60 * S]
    records += [
        lifecycle(60 * S, "b", "stopped"),
        view(70 * S, "a", "b", "dead"),
        lifecycle(80 * S, "a", "killed"),
    ]
    records += [lifecycle(81 * S, "a"), view(82 * S, "a", "b", "alive")]
    assert broken_rules(records) == []
