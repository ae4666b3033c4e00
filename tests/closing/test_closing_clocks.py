"""Bounds on true time, from what heads hear of each other."""

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


def test_most_claims_win_and_liars_are_found():
    claims = {"a": Interval(-10, 10), "b": Interval(0, 20), "c": Interval(5, 9), "d": Interval(500, 600)}
    truth = majority_interval(claims)
    assert truth == Interval(5, 9) and inconsistent_claims(claims, truth) == ["d"]


@given(st.data())
def test_true_time_is_among_what_most_claims_allow_however_little_the_others_are_off(data):
    claims = data.draw(st.integers(1, 9))
    sane = data.draw(st.integers(claims // 2 + 1, claims))
    off = [data.draw(st.integers(-10, 10)) for _ in range(sane)]
    off += [data.draw(st.integers(-40, 40)) for _ in range(claims - sane)]
    truth = majority_interval({str(at): Interval(one - 10, one + 10) for at, one in enumerate(off)})
    assert truth is not None and truth.low <= 0 <= truth.high


def test_no_majority_is_no_time():
    assert majority_interval({"a": Interval(0, 1), "b": Interval(10, 11)}) is None
    assert majority_interval({"a": Interval(0, 1), "b": Interval(10, 11), "c": Interval(20, 21)}) is None


def test_stamps_that_can_not_be_say_nothing():
    assert Exchange(sent_at=100, received_at=50, answered_at=400, returned_at=200).offset() is None


def test_a_wall_clock_that_jumps_leaves_nothing_known():
    clock = FleetClock(RULES)
    assert not clock.check_jump(0, 1000)
    clock.update(0, Interval(990, 1010))
    assert not clock.check_jump(10_000, 11_000 + RULES.step_us) and clock.reading(10_000) is not None
    assert clock.check_jump(20_000, 21_000 + 3 * RULES.step_us) and clock.reading(20_000) is None


def test_doubt_grows_with_age_and_a_narrower_word_is_kept():
    clock = FleetClock(RULES)
    clock.update(0, Interval(-100, 100))
    clock.update(1_000_000, Interval(-5000, 0))
    narrow = clock.offset(1_000_000)
    assert narrow == Interval(-100 - 500, 0)
    assert clock.offset(2_000_000) == narrow.widened(500)


@pytest.mark.parametrize("seed", range(30))
def test_true_time_is_always_inside_while_most_clocks_are_sane(seed):
    """Heads with monotonic clocks of any origin, walls off by up to the stated error, any ways; a third lie."""
    rng = random.Random(seed)
    names = [f"h{number}" for number in range(7)]
    origin = {name: rng.randrange(10**9) for name in names}
    lying = set(rng.sample(names, 2))
    off = {
        name: rng.choice([-1, 1]) * 10_000_000
        if name in lying
        else rng.randint(-RULES.error_us, RULES.error_us)
        for name in names
    }
    decider = names[seed % 7]
    true, keeper = 10**15, TimeEstimator(RULES, 10_000_000)
    clocks, apart, seen = {name: FleetClock(RULES) for name in names}, {}, 0

    def mono(name):
        return true - 10**15 + origin[name]

    for _round in range(6):
        for name in names:
            if name == decider:
                continue
            at, wall_ahead = mono(name), true + off[name] - mono(name)
            true += rng.randrange(50_000)
            keeper.add_query(mono(decider), name, ClockQuery(at, wall_ahead, apart.get(name)))
            true += rng.randrange(50_000)
            own = Interval(true + off[decider] - mono(decider), true + off[decider] - mono(decider)).widened(
                RULES.error_us
            )
            truth, answered = keeper.estimate(mono(decider), own, len(names)), mono(decider)
            (echo,) = keeper.take_echoes(1000)
            true += rng.randrange(50_000)
            apart[name] = Exchange(echo.sent_at, echo.received_at, answered, mono(name)).offset()
            assert apart[name].low <= origin[decider] - origin[name] <= apart[name].high
            if truth is not None:
                seen += 1
                clocks[name].update(mono(name), truth.plus(apart[name]))
                reading = clocks[name].reading(mono(name))
                assert reading.low <= true <= reading.high
                assert reading.high - reading.low <= 2 * RULES.error_us + 200_000
    assert seen > 20 and set(keeper.faulty) == {"" if name == decider else name for name in lying}


def test_heads_that_know_no_calendars_are_not_waited_for():
    keeper, own, there = (
        TimeEstimator(RULES, 3_000_000, since=0),
        Interval(-RULES.error_us, RULES.error_us),
        9,
    )
    for name in ("a", "b"):
        keeper.add_query(1_000_000, name, ClockQuery(0, 0, Interval(0, 0)))
    assert keeper.estimate(1_000_000, own, there) is None, "others may yet ask"
    for name in ("a", "b"):
        keeper.add_query(2_900_000, name, ClockQuery(0, 0, Interval(0, 0)))
    assert keeper.estimate(3_000_000, own, there) is not None
    keeper.add_query(3_000_000, "c", ClockQuery(0, 0, None))
    for name in ("d", "e", "f"):
        keeper.add_query(3_000_000, name, ClockQuery(0, 0, None))
    assert keeper.estimate(3_000_000, own, there) is None, "most of those that ask are not known yet"


def test_answers_go_out_once_each_as_many_as_a_datagram_holds():
    from harriertrack.gateway.fleet.closing.messages import ANSWERS_BYTES, Answer, Ruling, encode
    from harriertrack.membership.fleet.budgeting import MOST_TOPIC_BODY

    keeper, sent = TimeEstimator(RULES, 3_000_000), []
    for number in range(200):
        keeper.add_query(2**61, f"{number:064}" if number % 3 else f"h{number}", ClockQuery(2**61, 0, None))
    while echoes := keeper.take_echoes(ANSWERS_BYTES):
        sent += [echo.head for echo in echoes]
        answers = [Answer(echo.head, echo.sent_at, echo.received_at) for echo in echoes]
        assert (
            len(encode(Ruling(2**61, 2**32, (-(2**61), 2**61), 2**61, answers, ["x" * 64] * 2)))
            <= MOST_TOPIC_BODY
        )
    assert len(sent) == len(set(sent)) == 200
