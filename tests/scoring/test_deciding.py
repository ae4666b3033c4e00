"""The pure parts: scores to weights, votes, joining, damping, pages."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest
from hypothesis import given, settings, strategies as st

from harriertrack.decisions.fleet.scoring.damping import DampedWeight, weight_ceiling
from harriertrack.decisions.fleet.scoring.aggregation import Opinion, aggregate, vote_weight, weighted_median
from harriertrack.decisions.fleet.scoring.snapshot import NodeObservation, Snapshot
from harriertrack.decisions.fleet.scoring.rules import MAX_LOG_WEIGHT, ScoringRules
from harriertrack.decisions.fleet.scoring.scorers import base, cost, fill, latency
from harriertrack.decisions.fleet.scoring.scorers.base import Namespace
from harriertrack.decisions.fleet.scoring.shared_weights import HeadContext, SharedWeights
from harriertrack.decisions.fleet.scoring.observer import HALF_LIFE_US, NodeObserver
from harriertrack.decisions.fleet.scoring.weight_exchange import (
    PAGE_COUNT,
    WEIGHT_STEP,
    Publisher,
    build_entries,
    node_number,
    select_publishers,
)
from harriertrack.decisions.fleet.scoring.scorer_guard import (
    ScorerAnswer,
    IllegalScorerStep,
    ScorerState,
    ScorerGuard,
)
from harriertrack.decisions.fleet.scoring.score_validation import ScorerFault
from harriertrack.decisions.fleet.scoring.weights import normalise
from harriertrack.decisions.interface import (
    AttemptEnded,
    ListKind,
    NodeEntry,
    NodesChanged,
    NodeState,
    Result,
    Send,
)

RULES = ScoringRules()
S = 1_000_000
A, B = (
    NodeObservation(n, z, 5, us, evidence=50, age_us=0) for n, z, us in (("a", "z0", 1000), ("b", "z1", 4000))
)
PICTURE = Snapshot("z0", (A, B))


def test_scorers_prefer_what_they_are_named_for():
    quick = latency.LeastLatency(**base.check_parameters(latency.PARAMETERS, {})).score(PICTURE)
    assert quick["a"] == pytest.approx(4 * quick["b"])
    full = Snapshot("z0", (replace(A, fill=0.8), B))
    free = fill.FillAware(**base.check_parameters(fill.PARAMETERS, {})).score(full)
    assert free["b"] == pytest.approx(5 * free["a"])
    near = cost.CostByZone(**base.check_parameters(cost.PARAMETERS, {"lateness": 0.0})).score(PICTURE)
    assert near["a"] == pytest.approx(2 * near["b"])


@pytest.mark.parametrize("given_", [{"power": math.nan}, {"power": 99}, {"pwer": 1.0}, {"power": "1"}])
def test_parameters_are_checked_by_name(given_):
    with pytest.raises(base.BadParameters, match=next(iter(given_))):
        base.check_parameters(latency.PARAMETERS, given_)


def test_another_version_or_parameter_is_another_namespace():
    same = Namespace("x", 1, (("power", 1.0),))
    assert same.number == Namespace("x", 1, (("power", 1.0),)).number
    others = {Namespace("x", 2, same.parameters).number, Namespace("x", 1, (("power", 2.0),)).number}
    assert same.number not in others and len(others) == 2


@given(st.dictionaries(st.text(max_size=3), st.floats(1e-9, 1e9), min_size=1, max_size=30))
@settings(max_examples=50, deadline=None)
def test_weights_are_bounded_and_even_in_the_mean(scores):
    logs = normalise(scores)
    assert all(-MAX_LOG_WEIGHT <= log <= MAX_LOG_WEIGHT for log in logs.values())
    assert abs(sum(logs.values())) < 1e-6
    best = max(scores, key=scores.__getitem__)
    assert logs[best] == max(logs.values())


def _ask(voter, now, scorer, took_us=100, seen=PICTURE):
    answers = []
    for picture in voter.next_queries(now, seen):
        try:
            answers.append(ScorerAnswer(picture, scorer(picture), took_us=took_us))
        except Exception as error:
            answers.append(ScorerAnswer(picture, raised=repr(error)))
    return voter.handle_answers(now, answers) if answers else None


def _state():
    known = []

    def score(picture):
        known.append(picture)
        return {"a": float(len(known))}

    return score


WRONG = [
    (lambda p: 1 / 0, ScorerFault.RAISED), (lambda p: [1.0], ScorerFault.FORM),
    (lambda p: {"a": math.nan}, ScorerFault.NUMBER), (lambda p: {"a": True}, ScorerFault.NUMBER),
    (lambda p: {"a": math.inf}, ScorerFault.TOO_MUCH),
    (lambda p: {"a": -1.0}, ScorerFault.TOO_LITTLE), (lambda p: {"c": 1.0}, ScorerFault.UNASKED),
    (lambda p: {"a": 1.0, "b": 1.0, "c": 1.0}, ScorerFault.TOO_MUCH), (_state(), ScorerFault.STATE),
]  # fmt: skip


@pytest.mark.parametrize(("scorer", "fault"), WRONG)
def test_a_scorer_that_does_wrong_loses_its_vote_for_ever_longer(scorer, fault):
    voter, now, spans = ScorerGuard(RULES), 0, []
    for _ in range(3):
        assert _ask(voter, now, scorer) is False
        assert (voter.state, voter.fault, voter.scores) == (ScorerState.SUSPENDED, fault, {})
        assert voter.next_queries(voter.suspended_until - 1, PICTURE) == ()
        spans.append(voter.suspended_until - now)
        now = voter.suspended_until
    assert spans == [RULES.suspend_us, 2 * RULES.suspend_us, 4 * RULES.suspend_us]
    assert _ask(voter, now, lambda p: {"a": 1.0}) is True and voter.scores == {"a": 1.0}


def test_state_that_shows_only_later_is_found():
    started = [0]

    def drifting(picture):
        return {"a": 1.0 + started[0] // 100}

    voter = ScorerGuard(RULES)
    for at in range(200):
        started[0] = at
        fresh = Snapshot("z0", (replace(A, served=at), B))
        if _ask(voter, at * S, drifting, seen=fresh) is False:
            break
    assert voter.fault is ScorerFault.STATE and started[0] == 103  # asked the kept picture each fourth time


def test_a_slow_scorer_and_one_that_hangs_lose_their_vote():
    voter = ScorerGuard(RULES)
    assert _ask(voter, 0, lambda p: {"a": 1.0}, took_us=RULES.slow_us + 1) is False
    assert voter.fault is ScorerFault.SLOW
    hung = ScorerGuard(RULES)
    assert hung.next_queries(0, PICTURE)
    for _ in range(RULES.hung_looks - 1):
        assert hung.next_queries(60 * S, PICTURE) == () and hung.state is ScorerState.PENDING
    assert hung.next_queries(60 * S, PICTURE) == () and hung.state is ScorerState.HUNG
    assert hung.next_queries(10**12, PICTURE) == ()  # its call still runs: no second one is begun
    assert hung.handle_answers(10**12, ()) is False and hung.next_queries(10**12, PICTURE)
    with pytest.raises(IllegalScorerStep):
        ScorerGuard(RULES).handle_answers(0, ())


LOGS = st.floats(-MAX_LOG_WEIGHT, MAX_LOG_WEIGHT)
HONEST = st.lists(st.tuples(LOGS, st.floats(0, 300), st.integers(0, 20 * S)), min_size=4, max_size=80)


@given(HONEST, st.lists(st.tuples(LOGS, st.floats(0, 300)), max_size=20), st.integers(0, 5))
@settings(max_examples=120, deadline=None)
def test_a_fifth_that_lies_moves_nothing_past_the_quartiles_of_the_others(honest, lies, silent):
    most = (len(honest) + silent) // 4  # liars are a fifth of all then
    told = [Opinion(*one) for one in honest]
    liars = [Opinion(log, evidence, 0) for log, evidence in lies[:most]]
    voters = len(honest) + silent + most
    votes = [(one.log, vote) for one in told if (vote := vote_weight(one, RULES))]
    neutral = voters - most - len(votes)
    votes += [(0.0, 0.5)] * neutral
    total = sum(vote for _, vote in votes)

    def quantile(part):
        before = 0.0
        for value, vote in sorted(votes):
            before += vote
            if before >= part * total - 1e-9:
                return value
        return sorted(votes)[-1][0]

    # Those liars that say nothing count as an even share: so do voters who are not heard.
    found = aggregate(told + liars, voters, RULES)
    quiet = most - sum(vote_weight(one, RULES) > 0 for one in liars)
    low, high = quantile(0.25), quantile(0.75)
    if quiet:
        low, high = min(low, 0.0), max(high, 0.0)
    assert low - 1e-9 <= found <= high + 1e-9


def test_evidence_is_pooled_before_it_is_judged():
    """A node that all avoid for being slow is known to nobody, and well known to all of them together."""
    few = Opinion(-1.5, 0.75, 0)
    assert aggregate([few], 20, RULES) == 0.0, "one head's three quarters of an answer is chance"
    assert aggregate([few] * 12, 20, RULES) == -1.5
    assert aggregate([few] * 3, 20, RULES) == 0.0, "most have no opinion"
    assert build_entries({"n": few}) != [[], []] and {1} == {
        entry.evidence for page in build_entries({"n": few}) for entry in page
    }


def test_opinions_fade_to_none_and_the_median_is_the_median():
    assert [vote_weight(Opinion(1, 400, age), RULES) for age in (0, RULES.stale_us)] == [1.0, 0.0]
    assert vote_weight(Opinion(1, 0.2, 0), RULES) == 0 and vote_weight(Opinion(1, 1, 0), RULES) > 0.5
    assert weighted_median([(1, 1), (3, 1), (2, 1)]) == 2 and weighted_median([(0, 1), (1, 1)]) == 0.5
    strong = [Opinion(1.0, 400, 0)] * 3
    assert aggregate(strong, 8, RULES) == 1.0 and aggregate(strong, 12, RULES) == 0.0
    assert aggregate([Opinion(1.0, 400, 14 * S)] * 3, 8, RULES) == 0.0  # as old ones they are not enough


def test_weights_move_at_their_rate_and_come_to_rest_where_the_best_node_changes():
    one, seen = DampedWeight(0), []
    for at in range(1, 21):
        before = one.log
        one.move(at * S // 2, 2.0, RULES)
        assert one.log - before <= RULES.rate / 2 + 1e-9
    assert one.log == 2.0
    restless = DampedWeight(0)
    for at in range(1, 121):
        seen.append(restless.move(at * S // 2, 2.0 if (at // 2) % 2 else -2.0, RULES))
    late = seen[60:]
    assert max(late) - min(late) < 0.15 < max(seen[:6]) - min(seen[:6])
    stood = DampedWeight(0)
    assert stood.move(60 * S, 2.0, RULES) <= RULES.rate  # no windfall after a standstill


def test_gains_are_bounded_by_what_a_node_bears_and_idleness_is_no_merit():
    assert weight_ceiling(replace(A, fill=0.0), RULES) == MAX_LOG_WEIGHT
    assert weight_ceiling(replace(A, fill=0.5), RULES) == 1.0
    assert weight_ceiling(replace(A, fill=1.0), RULES) == 0.0
    for idle in (replace(A, cold=True), replace(A, evidence=1), NodeObservation("new"), None):
        assert weight_ceiling(idle, RULES) == 0.0


def test_sights_draw_what_the_module_hears_and_does():
    sights, entry = NodeObserver("z0", 10 * S), NodeEntry("a", 0, NodeState.UP, "z0")
    sights.follow(S, [NodesChanged(ListKind.FULL, [entry])], [])
    assert sights.snapshot(S).nodes[0].cold and sights.snapshot(S).nodes[0].age_us == -1
    for at in range(40):
        now = 20 * S + at * 100_000
        sights.follow(now, [], [Send(at, "a")])
        result = Result.FULL if at % 4 == 0 else Result.OK
        sights.follow(now + 1000, [AttemptEnded(at, 0, "a", result, 1000 if at < 20 else 4000, True)], [])
    seen = sights.snapshot(24 * S).nodes[0]
    assert not seen.cold and 0.2 < seen.refused < 0.3 and 0.5 < seen.fill < 0.75 and seen.evidence > 20
    later = sights.snapshot(24 * S + HALF_LIFE_US).nodes[0]
    assert later.evidence == pytest.approx(seen.evidence / 2) and later.age_us > seen.age_us
    sights.follow(30 * S, [], [Send(1, "a")])
    sights.follow(34 * S, [AttemptEnded(1, 0, "a", Result.OK, 1000, True)], [])
    assert sights.snapshot(34 * S).nodes[0].cold  # it was silent though asked
    sights.follow(35 * S, [NodesChanged(ListKind.FULL, [])], [])
    assert sights.snapshot(35 * S).nodes == ()


def test_pages_are_deltas_and_keep_to_the_bytes():
    names = [f"node{number}" for number in range(200)]
    speaker, said = Publisher(7, RULES), []
    for step in range(240):
        logs = {name: Opinion(2.0 if (at + step // 40) % 2 else -2.0, 50, 0) for at, name in enumerate(names)}
        if (page := speaker.next_page(step * S // 2, logs)) is not None:
            said.append((step, page))
    total = sum(page.bytes for _, page in said)
    assert total <= RULES.say_bytes * 120 + 212 and {page.number for _, page in said} == set(
        range(PAGE_COUNT)
    )
    quiet = Publisher(7, RULES)
    one = {"node1": Opinion(1.0, 50, 0)}
    pages = [quiet.next_page(at * S, one) for at in range(12)]
    assert sum(page is not None for page in pages) == 3  # at once, and again each five seconds
    assert (
        pages[0].entries[0].steps * WEIGHT_STEP == 1.0
        and pages[0].number == node_number("node1") % PAGE_COUNT
    )
    assert quiet.next_page(20 * S, {}).entries == ()  # what holds no more is taken back


def test_few_speak_for_many_and_take_turns():
    names = [f"head{number}" for number in range(200)]
    turns = [select_publishers(names, turn, 32) for turn in range(30)]
    assert {len(one) for one in turns} == {32} and len(frozenset.union(*turns)) == 200
    assert select_publishers(names[:9], 0, 32) == frozenset(names[:9])


def _fleet(heads, scores, us=40 * S, liars=(), cut=()):
    """Play heads that look and hear each other at once; return their weights."""
    space = Namespace("x", 1)
    shared = {f"head{number}": SharedWeights(RULES) for number in range(heads)}
    there = frozenset(shared)
    for one in shared.values():
        one.set_scorers({"x": space})
    picture = Snapshot("z0", tuple(replace(A, node=node) for node in sorted(scores)))
    for now in range(0, us, RULES.look_us):
        for name, one in shared.items():
            voter = one.by_scorer["x"].guard
            mine = {node: 1 / score for node, score in scores.items()} if name in liars else scores
            voter.handle_answers(
                now, [ScorerAnswer(asked, mine) for asked in voter.next_queries(now, picture)]
            )
            for page in one.update(now, HeadContext(name, now, picture, there, lambda _space: there)):
                for other, its in shared.items():
                    if other != name and name not in cut and other not in cut:
                        assert its.receive(now, name, page)
    return {name: one.factors for name, one in shared.items()}


def test_heads_come_to_the_same_weights_and_a_fifth_of_liars_does_not_change_them():
    scores = {"a": 4.0, "b": 1.0, "c": 1.0, "d": 0.25}
    plain = _fleet(10, scores)
    lied = _fleet(10, scores, liars=("head3", "head7"))
    for node in scores:
        assert len({round(one.factor(node), 6) for one in plain.values()}) == 1
        assert lied["head0"].factor(node) == pytest.approx(plain["head0"].factor(node), abs=0.05)
    assert plain["head0"].factor("a") == pytest.approx(4.0) and plain["head0"].factor("unknown") == 1.0


def test_a_head_that_is_cut_off_falls_back_to_even_shares():
    found = _fleet(10, {"a": 4.0, "b": 0.25}, cut=("head9",))
    assert found["head9"].factor("a") == 1.0 and found["head0"].factor("a") == pytest.approx(4.0)
