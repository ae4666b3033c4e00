"""The checker of weights reports violations, and nothing else."""

from __future__ import annotations

import pytest

from harriertrack.rules import recording as rec, scoring

S = 1_000_000
FACTS = rec.WeightFacts(t=0, most=2.0, rate=0.5, fresh_us=15 * S, sway=1.25, notes_bytes=4000, liars=["b"],
                        broken=["bad"])  # fmt: skip


def weights(at, used, head="a", own=None, joined=None):
    own = {"x": {"n": used}} if own is None else {"x": {"n": own}}
    joined = own if joined is None else {"x": {"n": joined}}
    return rec.Weights(t=int(at * S), head=head, used={"n": used}, own=own, joined=joined)


def started(at, head="a"):
    return rec.MemberLifecycle(t=int(at * S), member=head, how="started")


GOOD = [
    FACTS, *(started(1, name) for name in "abdef"),
    *(weights(2 + at / 2, min(2.0, at / 4)) for at in range(60)),
    *(weights(2 + at / 2, -2.0, head="b") for at in range(60)),
    rec.NotesSent(t=9 * S, head="a", us=S, bytes=4000),
    rec.ScorerVote(t=9 * S, head="a", scorer="bad", has=False, why="raised"),
]  # fmt: skip


def test_a_valid_day_has_no_violation_and_a_day_without_weights_is_not_checked():
    assert scoring.check(GOOD) == []
    assert scoring.check(GOOD[1:]) == []


FAULTS = [
    ("clamp left out", 1, [weights(40, 2.5, own=2.0)]),
    ("no rate", 2, [weights(40, 2.0), weights(40.5, 0.2, own=2.0, joined=1.0)]),
    ("mean in place of the median", 3, [weights(40, 2.0, own=1.0, joined=-0.5)]),
    ("opinions never go stale", 3, [weights(70, 0.0, own=0.0, joined=2.0)]),
    ("no damping", 4, [weights(40 + at / 2, 1.0 + 0.4 * (at % 2), own=2.0) for at in range(12)]),
    ("a restart excuses no oscillation after it", 4,
     [started(40), *(weights(51 + at / 2, 0.4 * (at % 2), own=2.0) for at in range(12))]),
    ("no bound on notes", 5, [rec.NotesSent(t=40 * S, head="a", us=S, bytes=4001)]),
    ("a good scorer is suspended", 6, [rec.ScorerVote(t=40 * S, head="a", scorer="x", has=False, why="?")]),
    ("a broken one is not suspended", 6,
     [started(40, "c"),
      rec.Weights(t=60 * S, head="c", used={}, own={"bad": {}}, joined={"bad": {}})]),
]  # fmt: skip


@pytest.mark.parametrize(("what", "rule", "more"), FAULTS, ids=[one[0] for one in FAULTS])
def test_each_injected_fault_is_reported(what, rule, more):
    assert {one.rule for one in scoring.check([*GOOD, *more])} == {rule}


def test_reports_of_a_faulty_head_are_not_checked_against_it():
    assert scoring.check([*GOOD, weights(40, -2.0, head="b", own=2.0, joined=-2.0)]) == []
