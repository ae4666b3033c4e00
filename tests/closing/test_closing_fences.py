"""Which requests fences admit, how sweeps complete, and how trims are paced."""

import random

import pytest

from harriertrack.decisions.fleet.closing.clocks import Interval
from harriertrack.decisions.fleet.closing.fences import BLIND_HINT_US, SWEEP_HINT_US, Fences, FenceState
from harriertrack.decisions.fleet.closing.schedule import Close, Purge, Schedule
from harriertrack.decisions.fleet.closing.sweeps import ALL_SLICES, SLICES, Sweep, SweepKey, SweepProgress
from harriertrack.decisions.fleet.closing.trims import TrimTarget, TrimQueue, TrimRules

PURGES = (Purge("m*", 0, 100),)
SCHEDULE = Schedule(1, "a", (Close(1, 1000, PURGES), Close(2, 2000, PURGES)))


def fences(done=0, sure=10_000, several=()):
    one = Fences(["m*"], {"c": done}, set(several).__contains__)
    one.confirm_until(sure)
    assert one.fence("c").set_schedule(SCHEDULE) == ""
    return one


def test_admission_before_during_and_after_a_close():
    one = fences()
    fence = one.fence("c")
    assert one.refusal_hint_us(Interval(800, 999), "m1", 0, 10) is None
    assert (
        one.refusal_hint_us(Interval(900, 1000), "m1", 0, 10) == 1000
        and fence.state(Interval(900, 1000)) is FenceState.CLOSING
    )
    assert one.refusal_hint_us(Interval(900, 1000), "m1", 100, 10) is None, "outside the range"
    assert one.refusal_hint_us(Interval(900, 1000), "other", 0, 10) is None
    assert fence.closes_to_purge(Interval(900, 1100), 10_000) == []
    (close,) = fence.closes_to_purge(Interval(1000, 1100), 10_000)
    assert one.refusal_hint_us(Interval(1000, 1100), "m1", 0, 10) is not None, "refused until it is on disk"
    fence.mark_purged(close.number)
    assert one.refusal_hint_us(Interval(1000, 1100), "m1", 0, 10) is None
    with pytest.raises(ValueError):
        fence.mark_purged(1)


def test_blind_head_refuses_all_volumes_of_calendars_and_purges_nothing():
    one = fences(sure=1500)
    assert (
        one.refusal_hint_us(None, "m1", 500, 10) == BLIND_HINT_US
        and one.refusal_hint_us(None, "other", 0, 10) is None
    )
    assert one.refusal_hint_us(Interval(1400, 1500), "m1", 500, 10) == BLIND_HINT_US
    assert [
        close.number for close in one.fence("c").closes_to_purge(Interval(3000, 3001), one.confirmed_until)
    ] == [1]


def test_schedule_that_contradicts_past_closes_is_rejected():
    fence = fences(done=1).fence("c")
    assert "another time" in fence.set_schedule(
        Schedule(2, "a", (Close(1, 999, PURGES), Close(2, 2000, PURGES)))
    )
    assert "ends with" in fence.set_schedule(Schedule(2, "a", ()))
    assert fence.schedule is SCHEDULE


def test_shared_volume_opens_when_its_sweep_is_on_record():
    one = fences(done=1, several=["m1"])
    now = Interval(1500, 1501)
    assert (
        one.refusal_hint_us(now, "m1", 0, 10) == SWEEP_HINT_US
        and one.refusal_hint_us(now, "m2", 0, 10) is None
    )
    assert one.refusal_hint_us(now, "m1", 100, 10) is None
    assert one.fence("c").set_schedule(SCHEDULE.with_swept("m1", 1)) == ""
    assert one.refusal_hint_us(now, "m1", 0, 10) is None


def test_slices_done_by_different_heads_complete_a_sweep():
    key, swept = SweepKey("c", 1, "m"), SweepProgress()
    first, second = Sweep.for_extents(key, range(40)), Sweep.for_extents(key, range(40))
    assert sorted(first.slice_order("a")) == list(range(SLICES)) and first.slice_order(
        "a"
    ) != first.slice_order("b")
    for extent in range(40):
        (first if extent % SLICES < 9 else second).mark_trimmed(extent)
    swept.record_done(key, first.done_slices)
    assert swept.completed() == [] and first.done_slices | second.done_slices == ALL_SLICES
    swept.record_done(key, second.done_slices)
    assert swept.completed() == [key]
    swept.forget(key)
    assert swept.completed() == []


# -- trims

RULES = TrimRules(rate=100.0, burst=2.0, in_flight=2, spread_us=0)
TARGETS = [TrimTarget("m", extent, 0) for extent in range(6)]


def trims():
    one = TrimQueue(RULES, 0)
    one.add(0, TARGETS, 0.0, {})
    return one


def test_burst_then_a_share_of_the_fleets_rate():
    one = trims()
    out = [one.take_next(0, 1), one.take_next(0, 1)]
    assert out == TARGETS[:2] and one.take_next(0, 1) is None
    for left in out:
        one.finish(0, left, True)
    assert one.take_next(5_000, 1) is None and one.take_next(10_000, 1) == TARGETS[2]
    assert one.take_next(30_000, 10) is None, "each of ten heads has a tenth of the rate"
    assert one.take_next(10_000 + 100_000, 10) == TARGETS[3]
    assert one.progress.done == 2 and len(one) == 4


def test_extent_with_a_waiting_client_comes_first_but_not_before_its_earliest_time():
    one = trims()
    one.prioritize(0, "m", 5)
    assert one.take_next(0, 1) == TARGETS[0] and one.take_next(0, 1) == TARGETS[1], (
        "all may start: the order stays"
    )
    late = TrimQueue(RULES, 0)
    late.add(0, TARGETS, 0.0, dict.fromkeys(TARGETS, 1_000_000))
    late.prioritize(0, "m", 5)
    assert late.take_next(999_999, 1) is None and late.take_next(1_000_000, 1) is not None
    spread = TrimQueue(TrimRules(spread_us=10_000_000), 0)
    spread.add(0, TARGETS, 0.5, {})
    assert spread.take_next(0, 1) is None
    spread.prioritize(0, "m", 5)
    assert spread.take_next(0, 1) == TARGETS[5]


def test_shard_with_failures_is_paused_with_growing_delays_and_others_continue():
    one = TrimQueue(TrimRules(rate=1000.0, burst=8.0, in_flight=2, spread_us=0), 0)
    one.add(0, [TrimTarget("m", extent, extent % 2) for extent in range(20)], 0.0, {})
    tried, done, now = [], 0, 0
    while len(tried) < 5:
        now += 10_000
        while (found := one.take_next(now, 1)) is not None:
            (tried.append(now) if found.shard == 0 else None)
            done += found.shard
            one.finish(now, found, found.shard == 1)
    assert done == 10 and len(one) == 10 and one.progress.failed == 5
    gaps = [after - before for before, after in zip(tried, tried[1:], strict=False)]
    assert gaps == sorted(gaps) and gaps[-1] >= 2 * gaps[0]
    assert one.failed_before(TrimTarget("m", 0, 0)) and not one.failed_before(TrimTarget("m", 18, 0))
    back = one.take_next(now + 5_000_000, 1)
    assert back is not None and one.take_next(now + 5_000_000, 1) is None, "one at a time until one succeeds"
    one.finish(now + 5_000_000, back, True)
    assert one.take_next(now + 5_000_000, 1) is not None is not one.take_next(now + 5_000_000, 1)


def test_trim_in_flight_at_another_close_is_repeated():
    one = trims()
    left = one.take_next(0, 1)
    one.add(0, [left], 0.0, {})
    one.finish(0, left, True)
    assert one.progress.done == 0
    found = []
    for turn in range(1, 7):
        found.append(one.take_next(100_000 * turn, 1))
        one.finish(100_000 * turn, found[-1], True)
    assert found.count(left) == 1 and one.progress.done == one.progress.requested == 6


def test_dropped_target_is_not_started():
    one = trims()
    one.drop(TARGETS[:5])
    assert one.take_next(0, 1) == TARGETS[5] and one.take_next(0, 1) is None and len(one) == 1


# -- several heads


@pytest.mark.parametrize("seed", range(40))
def test_heads_with_clocks_within_bounds_never_serve_two_generations_at_once(seed):
    """Whatever its clock error, delays, lost confirmations, unknown times and restarts from its disk."""
    rng = random.Random(seed)
    closes = tuple(Close(number, 1000 * number, PURGES) for number in range(1, 6))
    heads = [Fences(["m*"], {}) for _ in range(4)]
    for one in heads:
        assert one.fence("c").set_schedule(Schedule(1, "a", closes)) == ""
    served = set()
    for now in range(0, 6000, 7):
        for number, one in enumerate(heads):
            low, high = rng.randrange(60), rng.randrange(60)
            reading = None if rng.random() < 0.1 else Interval(now - low, now + high)
            if rng.random() < 0.2:
                # Sent a while ago: no other closes within the notice.
                one.confirm_until(now - rng.randrange(50) + 400)
            if rng.random() < 0.02:  # it restarts: its state on disk survives, the confirmation does not
                heads[number] = one = Fences(["m*"], {"c": one.fence("c").last_purged})
                assert one.fence("c").set_schedule(Schedule(1, "a", closes)) == ""
            if reading is not None and rng.random() < 0.3:
                for close in one.fence("c").closes_to_purge(reading, one.confirmed_until):
                    one.fence("c").mark_purged(close.number)
            if one.refusal_hint_us(reading, "m1", 0, 10) is None:
                assert one.fence("c").last_purged == now // 1000 if now < 6000 else 5
                served.add((number, one.fence("c").last_purged))
    assert len(served) >= 18, "each head serves in nearly every generation"


def test_target_dropped_in_flight_is_retried_only_for_another_close():
    one = trims()
    first, second = one.take_next(0, 1), one.take_next(0, 1)
    one.drop(TARGETS)
    one.add(0, [second], 0.0, {})
    one.finish(0, first, False)
    one.finish(0, second, False)
    assert [one.take_next(100_000 * turn, 1) for turn in range(1, 3)] == [second, None]
    one.finish(300_000, second, True)
    assert len(one) == 0 and one.progress.requested == one.progress.done == 1 and one.progress.failed == 0
