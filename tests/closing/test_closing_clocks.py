"""Bounds on true time, from claims that heads exchange."""

import random

import pytest
from hypothesis import given, strategies as st

from harriertrack.decisions.fleet.closing.clocks import (
    ClockRules,
    Exchange,
    FleetClock,
    Interval,
    majority_interval,
    inconsistent_claims,
)
from harriertrack.decisions.fleet.closing.time_estimate import ClockQuery, TimeEstimator

RULES = ClockRules()


def test_majority_of_claims_wins_and_inconsistent_ones_are_found():
    claims = {"a": Interval(-10, 10), "b": Interval(0, 20), "c": Interval(5, 9), "d": Interval(500, 600)}
    truth = majority_interval(claims)
    assert truth == Interval(5, 9) and inconsistent_claims(claims, truth) == ["d"]


@given(st.data())
def test_majority_interval_contains_true_time_however_close_faulty_claims_are(data):
    claims = data.draw(st.integers(1, 9))
    correct = data.draw(st.integers(claims // 2 + 1, claims))
    off = [data.draw(st.integers(-10, 10)) for _ in range(correct)]
    off += [data.draw(st.integers(-40, 40)) for _ in range(claims - correct)]
    truth = majority_interval({str(at): Interval(one - 10, one + 10) for at, one in enumerate(off)})
    assert truth is not None and truth.low <= 0 <= truth.high


def test_no_majority_gives_no_time():
    assert majority_interval({"a": Interval(0, 1), "b": Interval(10, 11)}) is None
    assert majority_interval({"a": Interval(0, 1), "b": Interval(10, 11), "c": Interval(20, 21)}) is None


def test_impossible_stamps_give_no_offset():
    assert Exchange(sent_at=100, received_at=50, answered_at=400, returned_at=200).offset() is None


def test_wall_clock_jump_discards_the_bounds():
    clock = FleetClock(RULES)
    assert not clock.check_jump(0, 1000)
    clock.update(0, Interval(990, 1010))
    assert not clock.check_jump(10_000, 11_000 + RULES.step_us) and clock.reading(10_000) is not None
    assert clock.check_jump(20_000, 21_000 + 3 * RULES.step_us) and clock.reading(20_000) is None


def test_bounds_widen_with_age_and_narrower_ones_are_retained():
    clock = FleetClock(RULES)
    clock.update(0, Interval(-100, 100))
    clock.update(1_000_000, Interval(-5000, 0))
    narrow = clock.offset(1_000_000)
    assert narrow == Interval(-100 - 500, 0)
    assert clock.offset(2_000_000) == narrow.widened(500)


@pytest.mark.parametrize("seed", range(30))
def test_true_time_stays_within_bounds_while_most_clocks_are_correct(seed):
    """Monotonic clocks of any origin, wall clocks off by up to the stated error, any delays; a third are wrong."""
    rng = random.Random(seed)
    names = [f"h{number}" for number in range(7)]
    origin = {name: rng.randrange(10**9) for name in names}
    wrong = set(rng.sample(names, 2))
    off = {
        name: rng.choice([-1, 1]) * 10_000_000
        if name in wrong
        else rng.randint(-RULES.error_us, RULES.error_us)
        for name in names
    }
    decider = names[seed % 7]
    true, estimator = 10**15, TimeEstimator(RULES, 10_000_000)
    clocks, apart, seen = {name: FleetClock(RULES) for name in names}, {}, 0

    def mono(name):
        return true - 10**15 + origin[name]

    for _round in range(6):
        for name in names:
            if name == decider:
                continue
            at, wall_ahead = mono(name), true + off[name] - mono(name)
            true += rng.randrange(50_000)
            estimator.add_query(mono(decider), name, ClockQuery(at, wall_ahead, apart.get(name)))
            true += rng.randrange(50_000)
            own = Interval(true + off[decider] - mono(decider), true + off[decider] - mono(decider)).widened(
                RULES.error_us
            )
            truth, answered = estimator.estimate(mono(decider), own, len(names)), mono(decider)
            (echo,) = estimator.take_echoes(1000)
            true += rng.randrange(50_000)
            apart[name] = Exchange(echo.sent_at, echo.received_at, answered, mono(name)).offset()
            assert apart[name].low <= origin[decider] - origin[name] <= apart[name].high
            if truth is not None:
                seen += 1
                clocks[name].update(mono(name), truth.plus(apart[name]))
                reading = clocks[name].reading(mono(name))
                assert reading.low <= true <= reading.high
                assert reading.high - reading.low <= 2 * RULES.error_us + 200_000
    assert seen > 20 and set(estimator.faulty) == {"" if name == decider else name for name in wrong}


def test_estimate_does_not_wait_for_heads_without_calendars():
    estimator = TimeEstimator(RULES, 3_000_000, since=0)
    own = Interval(-RULES.error_us, RULES.error_us)
    there = 9
    for name in ("a", "b"):
        estimator.add_query(1_000_000, name, ClockQuery(0, 0, Interval(0, 0)))
    assert estimator.estimate(1_000_000, own, there) is None, "other heads may still send queries"
    for name in ("a", "b"):
        estimator.add_query(2_900_000, name, ClockQuery(0, 0, Interval(0, 0)))
    assert estimator.estimate(3_000_000, own, there) is not None
    estimator.add_query(3_000_000, "c", ClockQuery(0, 0, None))
    for name in ("d", "e", "f"):
        estimator.add_query(3_000_000, name, ClockQuery(0, 0, None))
    assert estimator.estimate(3_000_000, own, there) is None, (
        "there are no claims yet of most heads that send queries"
    )


def test_each_answer_is_sent_once_and_fits_into_a_datagram():
    from harriertrack.gateway.fleet.closing.messages import ANSWERS_BYTES, Answer, Ruling, encode
    from harriertrack.membership.fleet.topic_datagrams import MAX_TOPIC_BODY

    estimator, sent = TimeEstimator(RULES, 3_000_000), []
    for number in range(200):
        estimator.add_query(
            2**61, f"{number:064}" if number % 3 else f"h{number}", ClockQuery(2**61, 0, None)
        )
    while echoes := estimator.take_echoes(ANSWERS_BYTES):
        sent += [echo.head for echo in echoes]
        answers = [Answer(echo.head, echo.sent_at, echo.received_at) for echo in echoes]
        assert (
            len(encode(Ruling(2**61, 2**32, (-(2**61), 2**61), 2**61, answers, ["x" * 64] * 2)))
            <= MAX_TOPIC_BODY
        )
    assert len(sent) == len(set(sent)) == 200
