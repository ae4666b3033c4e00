"""Fleets of real heads under faults, in simulated time; the settings and scenarios that say what happens."""

import msgspec
import pytest

from harriertrack.config import settings as cfg
from harriertrack.config.sexp import SettingsError, read_text
from harriertrack.config.formatting import format_settings
from harriertrack.lab.fleet import scenario
from harriertrack.lab.fleet.rig import simulate
from harriertrack.membership.fleet.swim import Swim
from harriertrack.membership.fleet.swim.member import Member
from harriertrack.membership.fleet.swim.suspects import SuspectTimers
from harriertrack.membership.fleet.swim.updates import Updates
from harriertrack.rules import fleet, recording as rec
from harriertrack.rules.all_rules import check_all
from harriertrack.standin.relay import NetworkFault, NetworkFaults
from tests.test_settings import VALID_HEAD

FLEET = """(fleet "a" (listen "127.0.0.1" 7946) (seed "b" (address "10.0.0.2" 7946)))"""


def head(extra=FLEET):
    return cfg.parse(read_text(VALID_HEAD.rstrip().removesuffix(")") + extra + ")", "h.sexp"), "h.sexp")


# -- settings


def test_a_head_with_a_fleet_is_read_and_written_back():
    one = head()
    assert one.fleet.name == "a" and one.fleet.seeds[0].address == ("10.0.0.2", 7946)
    assert cfg.parse(read_text(format_settings("head", one), "w"), "w") == one


@pytest.mark.parametrize(("text", "why"), [
    ('(fleet "a" (listen "localhost" 7946))', "listen"),
    ('(fleet "a" (listen "0.0.0.0" 7946))', "advertise"),
    ('(fleet "a" (listen "127.0.0.1" 7946) (seed "b" (address "b.example" 1)))', "seed b"),
    ('(fleet "a" (listen "127.0.0.1" 7946) (seed "b" (address "10.0.0.1" 1)) (seed "b" (address "10.0.0.2" 1)))', "twice"),
    ('(fleet "a" (listen "127.0.0.1" 7946) (answer 2s))', "answer"),
    ('(fleet "a b" (listen "127.0.0.1" 7946))', "name"),
])  # fmt: skip
def test_a_fleet_that_can_not_be_is_told_with_its_field(text, why):
    with pytest.raises(SettingsError, match=why):
        head(text)


def test_a_head_without_a_fleet_loads_nothing_of_it():
    import subprocess
    import sys

    code = "import sys, harriertrack.gateway.head, harriertrack.service.head; print(' '.join(sys.modules))"
    loaded = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    ).stdout.split()
    assert "harriertrack.gateway.head" in loaded
    of_fleets = {name for name in loaded if "fleet" in name or name.endswith("datagrams")}
    assert of_fleets <= {"harriertrack.config.settings.fleet"}  # how its settings are written, and no more


# -- scenarios


@pytest.mark.parametrize(("text", "why"), [
    ("(step rest)", "for"),
    ("(step weather)", "cut"),
    ("(step kill (lost 0.5))", "weather"),
    ('(step kill (who "nobody"))', "nobody"),
    ('(step kill (who "rest"))', "rest"),
    ("(step explode)", "explode"),
])  # fmt: skip
def test_a_scenario_that_can_not_be_is_told(text, why):
    with pytest.raises(SettingsError, match=why):
        scenario.parse(read_text(f'(fleet-day "x" {text})', "x.sexp"), "x.sexp")


def test_who_is_named_whatever_the_number_of_heads():
    heads = [f"head{number}" for number in range(10)]
    assert scenario.select_heads(("seeds", "head7"), heads) == ["head0", "head1", "head7"]
    assert scenario.select_heads(("0.5..0.7",), heads) == ["head5", "head6"]
    assert scenario.select_heads(("rest",), heads, ("head1",)) == [name for name in heads if name != "head1"]


def test_the_weather_strikes_whom_it_says():
    one = NetworkFaults(1)
    number = one.add(NetworkFault(frozenset("a"), frozenset("b"), both_directions=False, cut=True))
    assert not list(one.draw_delays("a", "b", 9)) and list(one.draw_delays("b", "a", 9)) == [0]
    one.remove(number)
    one.add(NetworkFault(frozenset("a"), frozenset("b"), lost=1.0, min_bytes=100))
    assert list(one.draw_delays("b", "a", 99)) and not list(one.draw_delays("b", "a", 100))
    one.clear()
    one.add(NetworkFault(frozenset("a"), frozenset("b"), duplicated=1.0, late_us=5))
    assert one.added_delay_us("b", "a") == 5 and one.added_delay_us("a", "c") == 0
    times = list(one.draw_delays("a", "b", 9))
    assert len(times) == 2 and times[0] == 5 and one.traffic.duplicated == 1


# -- days


def play(name, heads=None, seed=1, **changes):
    day = msgspec.structs.replace(scenario.load(name), **changes)
    recorder = rec.Recorder()
    rig = simulate(day, heads or day.processes, seed, recorder)
    return rig, recorder.records, day


# Days of closes are played in tests/closing.
@pytest.mark.parametrize(
    "name", [name for name in scenario.names() if not name.startswith(("close-", "roll-", "settings-"))]
)
def test_a_fleet_day_keeps_all_rules_in_simulated_time(name):
    _, records, day = play(name)
    assert {what: found for what, found in check_all(records, day.detect_us).items() if found} == {}
    asked = [one for one in records if isinstance(one, rec.AgreementCheck)]
    assert len(asked) == sum(step.name is scenario.Verb.AGREE for step in day.steps) and asked[-1].reached
    assert sum(isinstance(one, rec.FinalAnswer) for one in records) > 300


def test_one_seed_one_recording():
    first, second = (play("fleet-crash", 5)[1] for _ in range(2))
    assert [one for one in first if isinstance(one, rec.ViewReported)] == [
        one for one in second if isinstance(one, rec.ViewReported)
    ]


def test_a_fleet_that_never_agrees_is_found(monkeypatch):
    def never(self, now):  # nobody is ever held dead
        self.first_at = now + 1_000_000_000
        return []

    monkeypatch.setattr(SuspectTimers, "run_out", never)
    _, records, day = play("fleet-crash", 5)
    assert {1, 3} & {breach.rule for breach in fleet.check(records, day.detect_us)}


@pytest.mark.parametrize(
    ("where", "care", "more"),
    [(Swim, "_recover_from_pause", 3), (Member, "adjust_health", 2), (Updates, "_handle_own_record", 2)],
)
def test_what_keeps_starved_members_from_suspecting_each_other(monkeypatch, where, care, more):
    def suspicions():
        _, records, day = play("fleet-starved")
        seen = sum(isinstance(one, rec.ViewReported) and one.state == "suspect" for one in records)
        return seen, {breach.rule for breach in fleet.check(records, day.detect_us)}

    with_care, broken = suspicions()
    assert not broken
    monkeypatch.setattr(where, care, lambda self, *_: None)
    without, broken = suspicions()
    assert without >= more * with_care > 0 and (2 in broken) == (care == "_handle_own_record")


def test_the_view_costs_requests_nothing_in_simulated_time():
    answers = {}
    for with_fleet in (True, False):
        day = scenario.load("fleet-join")
        steps = tuple(step for step in day.steps if with_fleet or step.name is not scenario.Verb.AGREE)
        recorder = rec.Recorder()
        simulate(msgspec.structs.replace(day, steps=(steps[0], scenario.StepSettings(name=scenario.Verb.REST, for_us=5_000_000))), 6, 3,
                 recorder, with_fleet)  # fmt: skip
        story = [one for one in recorder.records if isinstance(one, rec.FinalAnswer)]
        answers[with_fleet] = sum(one.outcome == "served" for one in story) / len(story)
    assert answers[True] == answers[False] == 1.0
