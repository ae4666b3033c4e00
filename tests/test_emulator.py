"""The emulator: rules and determinism of emulated days, service times, and scores."""

import msgspec
import pytest

from harriertrack.config.settings import ServiceTimeDistribution
from harriertrack.decisions.interface import NodeState
from harriertrack.lab import day as days, report
from harriertrack.lab.emulator import emulate
from harriertrack.lab.scores import score_recording
from harriertrack.rules import checker, recording as rec
from harriertrack.standin.service_times import ServiceTimes, distribution

ONE_REGION_DAYS = ["calm", "saturday", "vanish", "zone_cut", "discovery_down"]
TWO_REGION_DAYS = ["two-regions-calm", "two-regions-dark"]


def record_day(name, seed=1):
    recorder = rec.Recorder()
    emulate(days.load(name), seed, recorder)
    return recorder.records


@pytest.mark.parametrize("name", ONE_REGION_DAYS + TWO_REGION_DAYS)
def test_rules_hold_on_an_emulated_day(name):
    records = record_day(name)
    assert checker.summary(records)["served"] > 300
    assert [str(breach) for breach in checker.check(records)] == []


def test_recordings_are_equal_for_the_same_seed_only():
    first, again, other = (
        [msgspec.json.encode(record) for record in record_day("saturday", seed)] for seed in (5, 5, 6)
    )
    assert first == again
    assert first != other


def test_a_head_that_ignores_drains_is_caught(monkeypatch):
    """Guards against a checker that never fails on emulated days: here heads still send to draining nodes."""
    from harriertrack.decisions import scheduler

    monkeypatch.setattr(
        scheduler.Scheduler, "_accepts_requests", lambda self, node: node.entry.state is not NodeState.GONE
    )
    assert {breach.rule for breach in checker.check(record_day("drain"))} == {3}


@pytest.mark.parametrize(
    "kind",
    [
        ServiceTimeDistribution.EXPONENTIAL,
        ServiceTimeDistribution.GAMMA,
        ServiceTimeDistribution.LOGNORMAL,
        ServiceTimeDistribution.WEIBULL,
    ],
)
@pytest.mark.parametrize("cv", [0.3, 1.0, 2.0])
def test_service_times_have_mean_one_and_the_given_variation(kind, cv):
    expected_cv = 1.0 if kind is ServiceTimeDistribution.EXPONENTIAL else cv
    exact = distribution(kind, cv)
    assert exact.mean() == pytest.approx(1, rel=1e-6)
    assert exact.std() == pytest.approx(expected_cv, rel=1e-4)
    times = ServiceTimes(kind, cv, seed=3)
    drawn = [times.draw() for _ in range(20_000)]
    assert sum(drawn) / len(drawn) == pytest.approx(1, abs=0.08)


def test_impossible_variation_is_rejected():
    with pytest.raises(ValueError, match="outside"):
        distribution(ServiceTimeDistribution.GAMMA, 50)


def test_scores_of_a_day_on_which_nothing_is_served():
    recorder = rec.Recorder()
    day = days.load("hang")
    all_hang = msgspec.structs.replace(
        day,
        # Extents of shared volumes are preallocated; the head itself answers reads of unallocated ones.
        shared=1.0,
        troubles=(msgspec.structs.replace(day.troubles[0], from_us=0, for_us=60_000_000, part=1.0),),
    )
    emulate(all_hang, 1, recorder)
    scores = score_recording(recorder.records, all_hang)
    assert scores.asked > 1000 and scores.served == 0 and scores.share == 0 and scores.worst_second == 0
    assert scores.attempts_per_served == 0 and scores.quantile_us("read", 99) == 0
    html = report.run_report([scores])
    assert "nothing was served on this day" in html
