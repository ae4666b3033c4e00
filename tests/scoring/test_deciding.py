"""The pure logic of scoring: scores to weights, scorer states, aggregation, damping, pages."""

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
    IllegalScorerStep,
    ScorerAnswer,
    ScorerGuard,
    ScorerState,
)
from harriertrack.decisions.fleet.scoring.score_validation import ScorerFault
from harriertrack.decisions.fleet.scoring.weights import normalise
from harriertrack.decisions.interface import (
    AttemptEnded,
    ListKind,
    NodeEntry,
    NodeState,
    NodesChanged,
    Result,
    Send,
)

RULES = ScoringRules()
S = 1_000_000
A, B = (
    NodeObservation(n, z, 5, us, evidence=50, age_us=0) for n, z, us in (("a", "z0", 1000), ("b", "z1", 4000))
)
SNAPSHOT = Snapshot("z0", (A, B))


def test_each_scorer_prefers_by_its_criterion():
    by_latency = latency.LeastLatency(**base.check_parameters(latency.PARAMETERS, {})).score(SNAPSHOT)
    assert by_latency["a"] == pytest.approx(4 * by_latency["b"])
    full = Snapshot("z0", (replace(A, fill=0.8), B))
    by_fill = fill.FillAware(**base.check_parameters(fill.PARAMETERS, {})).score(full)
    assert by_fill["b"] == pytest.approx(5 * by_fill["a"])
    by_cost = cost.CostByZone(**base.check_parameters(cost.PARAMETERS, {"lateness": 0.0})).score(SNAPSHOT)
    assert by_cost["a"] == pytest.approx(2 * by_cost["b"])


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
def test_weights_are_bounded_with_a_mean_of_zero(scores):
    logs = normalise(scores)
    assert all(-MAX_LOG_WEIGHT <= log <= MAX_LOG_WEIGHT for log in logs.values())
    assert abs(sum(logs.values())) < 1e-6
    best = max(scores, key=scores.__getitem__)
    assert logs[best] == max(logs.values())


def _query(guard, now, scorer, took_us=100, snapshot=SNAPSHOT):
    answers = []
    for query in guard.next_queries(now, snapshot):
        try:
            answers.append(ScorerAnswer(query, scorer(query), took_us=took_us))
        except Exception as error:
            answers.append(ScorerAnswer(query, raised=repr(error)))
    return guard.handle_answers(now, answers) if answers else None


def _scorer_with_state():
    scored = []

    def score(snapshot):
        scored.append(snapshot)
        return {"a": float(len(scored))}

    return score


FAULTY_SCORERS = [
    (lambda p: 1 / 0, ScorerFault.RAISED), (lambda p: [1.0], ScorerFault.FORM),
    (lambda p: {"a": math.nan}, ScorerFault.NUMBER), (lambda p: {"a": True}, ScorerFault.NUMBER),
    (lambda p: {"a": math.inf}, ScorerFault.TOO_MUCH),
    (lambda p: {"a": -1.0}, ScorerFault.TOO_LITTLE), (lambda p: {"c": 1.0}, ScorerFault.UNASKED),
    (lambda p: {"a": 1.0, "b": 1.0, "c": 1.0}, ScorerFault.TOO_MUCH), (_scorer_with_state(), ScorerFault.STATE),
]  # fmt: skip


@pytest.mark.parametrize(("scorer", "fault"), FAULTY_SCORERS)
def test_a_faulty_scorer_is_suspended_for_twice_as_long_each_time(scorer, fault):
    guard, now, spans = ScorerGuard(RULES), 0, []
    for _ in range(3):
        assert _query(guard, now, scorer) is False
        assert (guard.state, guard.fault, guard.scores) == (ScorerState.SUSPENDED, fault, {})
        assert guard.next_queries(guard.suspended_until - 1, SNAPSHOT) == ()
        spans.append(guard.suspended_until - now)
        now = guard.suspended_until
    assert spans == [RULES.suspend_us, 2 * RULES.suspend_us, 4 * RULES.suspend_us]
    assert _query(guard, now, lambda p: {"a": 1.0}) is True and guard.scores == {"a": 1.0}


def test_state_that_shows_only_later_is_detected():
    round_number = [0]

    def drifting(snapshot):
        return {"a": 1.0 + round_number[0] // 100}

    guard = ScorerGuard(RULES)
    for at in range(200):
        round_number[0] = at
        fresh = Snapshot("z0", (replace(A, served=at), B))
        if _query(guard, at * S, drifting, snapshot=fresh) is False:
            break
    # The reference snapshot is repeated every fourth round.
    assert guard.fault is ScorerFault.STATE and round_number[0] == 103


def test_slow_and_hanging_scorers_are_suspended():
    guard = ScorerGuard(RULES)
    assert _query(guard, 0, lambda p: {"a": 1.0}, took_us=RULES.slow_us + 1) is False
    assert guard.fault is ScorerFault.SLOW
    hung = ScorerGuard(RULES)
    assert hung.next_queries(0, SNAPSHOT)
    for _ in range(RULES.hung_looks - 1):
        assert hung.next_queries(60 * S, SNAPSHOT) == () and hung.state is ScorerState.PENDING
    assert hung.next_queries(60 * S, SNAPSHOT) == () and hung.state is ScorerState.HUNG
    assert hung.next_queries(10**12, SNAPSHOT) == ()  # its call is still running: no second one begins
    assert hung.handle_answers(10**12, ()) is False and hung.next_queries(10**12, SNAPSHOT)
    with pytest.raises(IllegalScorerStep):
        ScorerGuard(RULES).handle_answers(0, ())


LOGS = st.floats(-MAX_LOG_WEIGHT, MAX_LOG_WEIGHT)
HONEST = st.lists(st.tuples(LOGS, st.floats(0, 300), st.integers(0, 20 * S)), min_size=4, max_size=80)


@given(HONEST, st.lists(st.tuples(LOGS, st.floats(0, 300)), max_size=20), st.integers(0, 5))
@settings(max_examples=120, deadline=None)
def test_a_fifth_of_faulty_heads_moves_nothing_past_the_quartiles_of_the_others(honest, wrong, silent):
    limit = (len(honest) + silent) // 4  # the faulty heads are a fifth of all then
    opinions = [Opinion(*one) for one in honest]
    faulty = [Opinion(log, evidence, 0) for log, evidence in wrong[:limit]]
    voters = len(honest) + silent + limit
    votes = [(one.log, vote) for one in opinions if (vote := vote_weight(one, RULES))]
    neutral = voters - limit - len(votes)
    votes += [(0.0, 0.5)] * neutral
    total = sum(vote for _, vote in votes)

    def quantile(fraction):
        before = 0.0
        for value, vote in sorted(votes):
            before += vote
            if before >= fraction * total - 1e-9:
                return value
        return sorted(votes)[-1][0]

    # Faulty heads without an opinion count as an equal share, as do all voters without one.
    found = aggregate(opinions + faulty, voters, RULES)
    abstaining = limit - sum(vote_weight(one, RULES) > 0 for one in faulty)
    low, high = quantile(0.25), quantile(0.75)
    if abstaining:
        low, high = min(low, 0.0), max(high, 0.0)
    assert low - 1e-9 <= found <= high + 1e-9


def test_evidence_is_summed_over_heads_before_it_is_compared_with_the_minimum():
    """No head has enough evidence on a slow node that all avoid, but all of them together do."""
    few = Opinion(-1.5, 0.75, 0)
    assert aggregate([few], 20, RULES) == 0.0, "one head's three quarters of an answer is chance"
    assert aggregate([few] * 12, 20, RULES) == -1.5
    assert aggregate([few] * 3, 20, RULES) == 0.0, "most have no opinion"
    assert build_entries({"n": few}) != [[], []] and {1} == {
        entry.evidence for page in build_entries({"n": few}) for entry in page
    }


def test_votes_fade_with_age_and_the_median_is_weighted():
    assert [vote_weight(Opinion(1, 400, age), RULES) for age in (0, RULES.stale_us)] == [1.0, 0.0]
    assert vote_weight(Opinion(1, 0.2, 0), RULES) == 0 and vote_weight(Opinion(1, 1, 0), RULES) > 0.5
    assert weighted_median([(1, 1), (3, 1), (2, 1)]) == 2 and weighted_median([(0, 1), (1, 1)]) == 0.5
    strong = [Opinion(1.0, 400, 0)] * 3
    assert aggregate(strong, 8, RULES) == 1.0 and aggregate(strong, 12, RULES) == 0.0
    assert aggregate([Opinion(1.0, 400, 14 * S)] * 3, 8, RULES) == 0.0  # old votes are not enough


def test_weights_move_at_their_rate_and_settle_if_the_best_node_keeps_changing():
    one, logs = DampedWeight(0), []
    for at in range(1, 21):
        before = one.log
        one.move(at * S // 2, 2.0, RULES)
        assert one.log - before <= RULES.rate / 2 + 1e-9
    assert one.log == 2.0
    alternating = DampedWeight(0)
    for at in range(1, 121):
        logs.append(alternating.move(at * S // 2, 2.0 if (at // 2) % 2 else -2.0, RULES))
    late = logs[60:]
    assert max(late) - min(late) < 0.15 < max(logs[:6]) - min(logs[:6])
    resumed = DampedWeight(0)
    assert resumed.move(60 * S, 2.0, RULES) <= RULES.rate  # a standstill is not made up in one step


def test_weights_are_bounded_by_the_utilisation_and_unknown_nodes_get_an_equal_share():
    assert weight_ceiling(replace(A, fill=0.0), RULES) == MAX_LOG_WEIGHT
    assert weight_ceiling(replace(A, fill=0.5), RULES) == 1.0
    assert weight_ceiling(replace(A, fill=1.0), RULES) == 0.0
    for idle in (replace(A, cold=True), replace(A, evidence=1), NodeObservation("new"), None):
        assert weight_ceiling(idle, RULES) == 0.0


def test_observations_follow_the_events_and_actions_of_the_module():
    observer, entry = NodeObserver("z0", 10 * S), NodeEntry("a", 0, NodeState.UP, "z0")
    observer.follow(S, [NodesChanged(ListKind.FULL, [entry])], [])
    assert observer.snapshot(S).nodes[0].cold and observer.snapshot(S).nodes[0].age_us == -1
    for at in range(40):
        now = 20 * S + at * 100_000
        observer.follow(now, [], [Send(at, "a")])
        result = Result.FULL if at % 4 == 0 else Result.OK
        observer.follow(now + 1000, [AttemptEnded(at, 0, "a", result, 1000 if at < 20 else 4000, True)], [])
    node = observer.snapshot(24 * S).nodes[0]
    assert not node.cold and 0.2 < node.refused < 0.3 and 0.5 < node.fill < 0.75 and node.evidence > 20
    later = observer.snapshot(24 * S + HALF_LIFE_US).nodes[0]
    assert later.evidence == pytest.approx(node.evidence / 2) and later.age_us > node.age_us
    observer.follow(30 * S, [], [Send(1, "a")])
    observer.follow(34 * S, [AttemptEnded(1, 0, "a", Result.OK, 1000, True)], [])
    assert observer.snapshot(34 * S).nodes[0].cold  # it left a request unanswered for long
    observer.follow(35 * S, [NodesChanged(ListKind.FULL, [])], [])
    assert observer.snapshot(35 * S).nodes == ()


def test_pages_contain_differences_and_stay_within_the_byte_rate():
    names = [f"node{number}" for number in range(200)]
    publisher, published = Publisher(7, RULES), []
    for step in range(240):
        logs = {name: Opinion(2.0 if (at + step // 40) % 2 else -2.0, 50, 0) for at, name in enumerate(names)}
        if (page := publisher.next_page(step * S // 2, logs)) is not None:
            published.append((step, page))
    total = sum(page.bytes for _, page in published)
    assert total <= RULES.say_bytes * 120 + 212 and {page.number for _, page in published} == set(
        range(PAGE_COUNT)
    )
    steady = Publisher(7, RULES)
    one = {"node1": Opinion(1.0, 50, 0)}
    pages = [steady.next_page(at * S, one) for at in range(12)]
    assert sum(page is not None for page in pages) == 3  # at once, and again every five seconds
    assert (
        pages[0].entries[0].steps * WEIGHT_STEP == 1.0
        and pages[0].number == node_number("node1") % PAGE_COUNT
    )
    assert steady.next_page(20 * S, {}).entries == ()  # an empty page withdraws the entry


def test_a_few_heads_publish_at_a_time_and_they_rotate():
    names = [f"head{number}" for number in range(200)]
    turns = [select_publishers(names, turn, 32) for turn in range(30)]
    assert {len(one) for one in turns} == {32} and len(frozenset.union(*turns)) == 200
    assert select_publishers(names[:9], 0, 32) == frozenset(names[:9])


def _fleet(heads, scores, us=40 * S, faulty=(), cut=()):
    """Run heads that receive each other's pages at once; return their weights."""
    space = Namespace("x", 1)
    shared = {f"head{number}": SharedWeights(RULES) for number in range(heads)}
    present = frozenset(shared)
    for one in shared.values():
        one.set_scorers({"x": space})
    snapshot = Snapshot("z0", tuple(replace(A, node=node) for node in sorted(scores)))
    for now in range(0, us, RULES.look_us):
        for name, one in shared.items():
            guard = one.by_scorer["x"].guard
            own = {node: 1 / score for node, score in scores.items()} if name in faulty else scores
            guard.handle_answers(
                now, [ScorerAnswer(query, own) for query in guard.next_queries(now, snapshot)]
            )
            for page in one.update(now, HeadContext(name, now, snapshot, present, lambda _space: present)):
                for other, receiver in shared.items():
                    if other != name and name not in cut and other not in cut:
                        assert receiver.receive(now, name, page)
    return {name: one.factors for name, one in shared.items()}


def test_heads_converge_and_a_fifth_of_faulty_heads_does_not_change_the_weights():
    scores = {"a": 4.0, "b": 1.0, "c": 1.0, "d": 0.25}
    plain = _fleet(10, scores)
    with_faults = _fleet(10, scores, faulty=("head3", "head7"))
    for node in scores:
        assert len({round(one.factor(node), 6) for one in plain.values()}) == 1
        assert with_faults["head0"].factor(node) == pytest.approx(plain["head0"].factor(node), abs=0.05)
    assert plain["head0"].factor("a") == pytest.approx(4.0) and plain["head0"].factor("unknown") == 1.0


def test_an_isolated_head_falls_back_to_equal_shares():
    found = _fleet(10, {"a": 4.0, "b": 0.25}, cut=("head9",))
    assert found["head9"].factor("a") == 1.0 and found["head0"].factor("a") == pytest.approx(4.0)
