"""Fleets of real heads under faults in simulated time, and the settings and scenarios that describe them."""

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


def test_head_settings_with_a_fleet_survive_a_round_trip():
    settings = head()
    assert settings.fleet.name == "a" and settings.fleet.seeds[0].address == ("10.0.0.2", 7946)
    assert cfg.parse(read_text(format_settings("head", settings), "w"), "w") == settings


@pytest.mark.parametrize(("text", "why"), [
    ('(fleet "a" (listen "localhost" 7946))', "listen"),
    ('(fleet "a" (listen "0.0.0.0" 7946))', "advertise"),
    ('(fleet "a" (listen "127.0.0.1" 7946) (seed "b" (address "b.example" 1)))', "seed b"),
    ('(fleet "a" (listen "127.0.0.1" 7946) (seed "b" (address "10.0.0.1" 1)) (seed "b" (address "10.0.0.2" 1)))', "twice"),
    ('(fleet "a" (listen "127.0.0.1" 7946) (answer 2s))', "answer"),
    ('(fleet "a b" (listen "127.0.0.1" 7946))', "name"),
])  # fmt: skip
def test_invalid_fleet_settings_are_rejected_with_their_field(text, why):
    with pytest.raises(SettingsError, match=why):
        head(text)


def test_a_head_without_a_fleet_loads_no_fleet_modules():
    import subprocess
    import sys

    code = "import sys, harriertrack.gateway.head, harriertrack.service.head; print(' '.join(sys.modules))"
    loaded = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    ).stdout.split()
    assert "harriertrack.gateway.head" in loaded
    fleet_modules = {name for name in loaded if "fleet" in name or name.endswith("datagrams")}
    assert fleet_modules <= {"harriertrack.config.settings.fleet"}  # the settings' structure only


# -- scenarios


@pytest.mark.parametrize(("text", "why"), [
    ("(step rest)", "for"),
    ("(step weather)", "cut"),
    ("(step kill (lost 0.5))", "weather"),
    ('(step kill (who "nobody"))', "nobody"),
    ('(step kill (who "rest"))', "rest"),
    ("(step explode)", "explode"),
])  # fmt: skip
def test_an_invalid_scenario_is_rejected(text, why):
    with pytest.raises(SettingsError, match=why):
        scenario.parse(read_text(f'(fleet-day "x" {text})', "x.sexp"), "x.sexp")


def test_heads_are_selected_by_group_fraction_and_name():
    heads = [f"head{number}" for number in range(10)]
    assert scenario.select_heads(("seeds", "head7"), heads) == ["head0", "head1", "head7"]
    assert scenario.select_heads(("0.5..0.7",), heads) == ["head5", "head6"]
    assert scenario.select_heads(("rest",), heads, ("head1",)) == [name for name in heads if name != "head1"]


def test_network_faults_affect_only_their_parties_directions_and_sizes():
    faults = NetworkFaults(1)
    number = faults.add(NetworkFault(frozenset("a"), frozenset("b"), both_directions=False, cut=True))
    assert not list(faults.draw_delays("a", "b", 9)) and list(faults.draw_delays("b", "a", 9)) == [0]
    faults.remove(number)
    faults.add(NetworkFault(frozenset("a"), frozenset("b"), lost=1.0, min_bytes=100))
    assert list(faults.draw_delays("b", "a", 99)) and not list(faults.draw_delays("b", "a", 100))
    faults.clear()
    faults.add(NetworkFault(frozenset("a"), frozenset("b"), duplicated=1.0, late_us=5))
    assert faults.added_delay_us("b", "a") == 5 and faults.added_delay_us("a", "c") == 0
    delays = list(faults.draw_delays("a", "b", 9))
    assert len(delays) == 2 and delays[0] == 5 and faults.traffic.duplicated == 1


# -- days


def play(name, heads=None, seed=1, **changes):
    day = msgspec.structs.replace(scenario.load(name), **changes)
    recorder = rec.Recorder()
    rig = simulate(day, heads or day.processes, seed, recorder)
    return rig, recorder.records, day


# Days of closes are run in tests/closing.
@pytest.mark.parametrize(
    "name", [name for name in scenario.names() if not name.startswith(("close-", "roll-", "settings-"))]
)
def test_a_fleet_day_keeps_all_rules_in_simulated_time(name):
    _, records, day = play(name)
    assert {rule: found for rule, found in check_all(records, day.detect_us).items() if found} == {}
    checks = [record for record in records if isinstance(record, rec.AgreementCheck)]
    assert len(checks) == sum(step.name is scenario.Verb.AGREE for step in day.steps) and checks[-1].reached
    assert sum(isinstance(record, rec.FinalAnswer) for record in records) > 300


def test_the_same_seed_gives_the_same_recording():
    first, second = (play("fleet-crash", 5)[1] for _ in range(2))
    assert [record for record in first if isinstance(record, rec.ViewReported)] == [
        record for record in second if isinstance(record, rec.ViewReported)
    ]


def test_the_rules_detect_a_fleet_that_never_agrees(monkeypatch):
    def never_expire(self, now):  # no suspect is ever declared dead
        self.first_at = now + 1_000_000_000
        return []

    monkeypatch.setattr(SuspectTimers, "run_out", never_expire)
    _, records, day = play("fleet-crash", 5)
    assert {1, 3} & {breach.rule for breach in fleet.check(records, day.detect_us)}


@pytest.mark.parametrize(
    ("owner", "safeguard", "min_ratio"),
    [(Swim, "_recover_from_pause", 3), (Member, "adjust_health", 2), (Updates, "_handle_own_record", 2)],
)
def test_each_safeguard_keeps_starved_members_from_suspecting_each_other(
    monkeypatch, owner, safeguard, min_ratio
):
    def count_suspicions():
        _, records, day = play("fleet-starved")
        count = sum(isinstance(one, rec.ViewReported) and one.state == "suspect" for one in records)
        return count, {breach.rule for breach in fleet.check(records, day.detect_us)}

    with_safeguard, broken = count_suspicions()
    assert not broken
    monkeypatch.setattr(owner, safeguard, lambda self, *_: None)
    without, broken = count_suspicions()
    assert without >= min_ratio * with_safeguard > 0 and (2 in broken) == (safeguard == "_handle_own_record")


def test_the_fleet_view_fails_no_requests_in_simulated_time():
    served_shares = {}
    for with_fleet in (True, False):
        day = scenario.load("fleet-join")
        steps = tuple(step for step in day.steps if with_fleet or step.name is not scenario.Verb.AGREE)
        recorder = rec.Recorder()
        simulate(msgspec.structs.replace(day, steps=(steps[0], scenario.StepSettings(name=scenario.Verb.REST, for_us=5_000_000))), 6, 3,
                 recorder, with_fleet)  # fmt: skip
        answers = [record for record in recorder.records if isinstance(record, rec.FinalAnswer)]
        served_shares[with_fleet] = sum(answer.outcome == "served" for answer in answers) / len(answers)
    assert served_shares[True] == served_shares[False] == 1.0
