"""The checker of a fleet's views: each rule is kept by a good recording, and each seeded fault is found."""

import pytest

from harriertrack.rules import fleet, recording as rec

S = 1_000_000


def lived(t, member, how="started"):
    return rec.MemberLifecycle(t=t, member=member, how=how)


def viewed(t, member, about, state="alive", life=1, incarnation=0, there=0, digest="d", by=""):
    return rec.ViewReported(t=t, member=member, about=about, state=state, life=life, incarnation=incarnation, there=there,
                      digest=digest, by=by)  # fmt: skip


def agreed(t, *members, reached=True, after=1 * S, within=5 * S):
    return rec.AgreementCheck(t=t, members=list(members), within_us=within, after_us=after, reached=reached)


def good():
    """Three start and agree; c is killed and found dead; b is struck, comes back."""
    names = ("a", "b", "c")
    records = [lived(0, name) for name in names]
    records += [viewed(S, name, about) for name in names for about in names]
    records += [agreed(2 * S, *names), lived(60 * S, "c", "killed")]
    for name in ("a", "b"):
        records += [viewed(62 * S, name, "c", "suspect"), viewed(66 * S, name, "c", "dead", digest="e")]
        records.append(viewed(66 * S, name, name, digest="e"))
    records += [agreed(67 * S, "a", "b"), rec.ActiveFaults(t=100 * S, faults=1)]
    records += [viewed(105 * S, "a", "b", "dead", digest="f"), rec.ActiveFaults(t=110 * S, faults=0)]
    records += [viewed(112 * S, "a", "b", "alive", incarnation=1, digest="e"), agreed(113 * S, "a", "b")]
    return records


def broken(records, detect=20 * S):
    return [breach.rule for breach in fleet.check(records, detect)]


def test_a_good_recording_breaks_nothing():
    assert broken(good()) == []


def without(records, *gone):
    return [one for one in records if one not in gone]


@pytest.mark.parametrize(("rule", "spoil"), [
    (1, lambda all_: all_ + [agreed(114 * S, "a", "b", reached=False)]),
    (1, lambda all_: all_ + [agreed(114 * S, "a", "b", after=9 * S)]),
    (1, lambda all_: without(all_, viewed(S, "b", "a")) + [agreed(115 * S, "a", "b")]),
    (1, lambda all_: all_ + [viewed(114 * S, "a", "a", digest="other"), agreed(115 * S, "a", "b")]),
    (2, lambda all_: [*all_, viewed(50 * S, "a", "b", "dead")]),
    (3, lambda all_: without(all_, viewed(66 * S, "b", "c", "dead", digest="e"), agreed(67 * S, "a", "b"))),
    (4, lambda all_: [*all_, viewed(70 * S, "a", "c", "alive")]),
    (4, lambda all_: [*all_, viewed(70 * S, "a", "b", life=0, incarnation=9)]),
    (5, lambda all_: [*all_, viewed(70 * S, "a", "a", "dead", digest="e")]),
])  # fmt: skip
def test_each_seeded_fault_is_found(rule, spoil):
    assert rule in broken(spoil(good()))


def test_what_happens_under_faults_and_just_after_is_no_wrong_burial():
    records = [one for one in good() if one.t < 100 * S]
    records += [
        rec.ActiveFaults(t=100 * S, faults=1),
        rec.ActiveFaults(t=101 * S, faults=0),
        viewed(110 * S, "a", "b", "dead"),
    ]
    assert broken(records) == []
    assert 2 in broken([*records, viewed(200 * S, "b", "a", "dead")])


def test_that_an_earlier_life_is_dead_is_true():
    records = [one for one in good() if one.t < 60 * S]
    records += [lived(60 * S, "b", "killed"), lived(61 * S, "b"), viewed(62 * S, "a", "b", "dead")]
    assert broken(records) == []
    records += [viewed(63 * S, "b", "b", life=2), viewed(64 * S, "a", "b", life=2)]
    assert broken(records) == [] and broken([*records, viewed(65 * S, "a", "b", "dead", life=2)]) == [2]


def test_a_stopped_member_may_be_buried_and_a_new_life_holds_new_words():
    records = [one for one in good() if one.t < 60 * S]
    records += [lived(60 * S, "b", "stopped"), viewed(70 * S, "a", "b", "dead"), lived(80 * S, "a", "killed")]
    records += [lived(81 * S, "a"), viewed(82 * S, "a", "b", "alive")]
    assert broken(records) == []
