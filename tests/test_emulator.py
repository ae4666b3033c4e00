"""The emulator: the days of the rigs with calls for messages, and what is its own."""

import msgspec
import pytest

from harriertrack.config.settings import ServiceTimeDistribution
from harriertrack.decisions.interface import NodeState
from harriertrack.lab import day as days, report
from harriertrack.lab.emulator import emulate
from harriertrack.lab.scores import score_recording
from harriertrack.rules import checker, recording as rec
from harriertrack.standin.service_times import ServiceTimes, distribution

ONE = ["calm", "saturday", "vanish", "zone_cut", "discovery_down"]
TWO = ["two-regions-calm", "two-regions-dark"]


def recording(name, seed=1):
    recorder = rec.Recorder()
    emulate(days.load(name), seed, recorder)
    return recorder.records


@pytest.mark.parametrize("name", ONE + TWO)
def test_rules_hold_on_an_emulated_day(name):
    records = recording(name)
    assert checker.summary(records)["served"] > 300
    assert [str(breach) for breach in checker.check(records)] == []


def test_same_seed_same_trace_to_the_byte_and_another_seed_another():
    first, again, other = (
        [msgspec.json.encode(one) for one in recording("saturday", seed)] for seed in (5, 5, 6)
    )
    assert first == again
    assert first != other


def test_a_head_that_ignores_drains_is_caught(monkeypatch):
    """The checker can fail on emulated days: a head that sends to draining nodes as to others."""
    from harriertrack.decisions import scheduler

    monkeypatch.setattr(
        scheduler.Scheduler, "_accepts_requests", lambda self, node: node.entry.state is not NodeState.GONE
    )
    assert {one.rule for one in checker.check(recording("drain"))} == {3}


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
def test_service_times_have_mean_one_and_the_stated_variation(kind, cv):
    wanted = 1.0 if kind is ServiceTimeDistribution.EXPONENTIAL else cv
    exact = distribution(kind, cv)
    assert exact.mean() == pytest.approx(1, rel=1e-6)
    assert exact.std() == pytest.approx(wanted, rel=1e-4)
    times = ServiceTimes(kind, cv, seed=3)
    drawn = [times.draw() for _ in range(20_000)]
    assert sum(drawn) / len(drawn) == pytest.approx(1, abs=0.08)


def test_impossible_variation_is_refused():
    with pytest.raises(ValueError, match="outside"):
        distribution(ServiceTimeDistribution.GAMMA, 50)


def test_scores_count_a_day_in_which_nothing_is_served():
    recorder = rec.Recorder()
    day = days.load("hang")
    dead = msgspec.structs.replace(
        day,
        shared=1.0,  # allocated beforehand: reads of what was never written would be answered by the head
        troubles=(msgspec.structs.replace(day.troubles[0], from_us=0, for_us=60_000_000, part=1.0),),
    )
    emulate(dead, 1, recorder)
    scores = score_recording(recorder.records, dead)
    assert scores.asked > 1000 and scores.served == 0 and scores.share == 0 and scores.worst_second == 0
    assert scores.attempts_per_served == 0 and scores.quantile_us("read", 99) == 0
    html = report.run_report([scores])
    assert "nothing was served on this day" in html
