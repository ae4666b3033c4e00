"""Scorers in a head: discovery of packages, threads, selection by settings and record, operators' views."""

from __future__ import annotations

import subprocess
import sys
import threading

import msgspec
import pytest

from harriertrack.cli.scoring import node_rows, scorer_lines
from harriertrack.config.settings import ParameterSettings, ScorerSettings
from harriertrack.config.sexp import SettingsError
from harriertrack.decisions.fleet.changes.record import Version
from harriertrack.decisions.fleet.scoring.snapshot import NodeObservation, Snapshot
from harriertrack.decisions.fleet.scoring.scorers.base import Parameter, ScorerKind
from harriertrack.decisions.fleet.scoring.scorer_guard import ScorerState
from harriertrack.gateway.fleet.scoring.scorer_runner import ThreadRunner
from harriertrack.gateway.fleet.scoring.carrier import create_scoring_state
from harriertrack.gateway.fleet.scoring.selection import InvalidScorer, ScorerSelection
from harriertrack.gateway.fleet.scoring.plugins import discover_kinds, scorers
from harriertrack.lab.fleet import scenario
from harriertrack.lab.fleet.rig import simulate
from harriertrack.rules import recording as rec, scoring as score_rules
from tests.test_fleet_days import head

SNAPSHOT = Snapshot("z0", (NodeObservation("a", evidence=9, age_us=0, latency_us=5.0),))


class Plugin:
    """A plugin that provides the given kinds."""

    def __init__(self, *kinds):
        self.kinds = kinds

    @scorers
    def harriertrack_scorers(self):
        return self.kinds


class Constant:
    def __init__(self, power=1.0):
        self.power = power

    def score(self, snapshot):
        return {node.node: self.power for node in snapshot.nodes}


KIND = ScorerKind("steady", 3, (Parameter("power", 1.0, 0.5, 2.0),), Constant)


def test_plugins_are_found_and_invalid_ones_are_logged_and_skipped():
    notes = []
    kinds = discover_kinds(lambda event, **fields: notes.append((event, fields["why"])),
                  [Plugin(KIND, "no kind"), Plugin(KIND), Plugin(ScorerKind("Bad Name", 1, (), Constant))])  # fmt: skip
    assert {("steady", 3), ("least-latency", 1), ("fill-aware", 1), ("cost-by-zone", 1)} == set(kinds)
    reasons = " ".join(why for _, why in notes)
    assert "str is no ScorerKind" in reasons and "there already" in reasons and "Bad Name" in reasons


def test_a_package_is_found_by_its_entry_point_and_a_broken_one_affects_no_other(tmp_path):
    for name, code in (
        ("good", "from harriertrack.lab.fleet.weights import harriertrack_scorers"),
        ("bad", "1 / 0"),
    ):
        (tmp_path / f"{name}_scorers.py").write_text(code)
        info = tmp_path / f"{name}-1.dist-info"
        info.mkdir()
        (info / "METADATA").write_text(f"Metadata-Version: 2.1\nName: {name}\nVersion: 1\n")
        (info / "entry_points.txt").write_text(f"[harriertrack.scorers]\n{name} = {name}_scorers\n")
    run = subprocess.run([sys.executable, "-m", "harriertrack", "fleet", "scorers"], capture_output=True, text=True,
                         env={"PYTHONPATH": str(tmp_path), "PATH": ""}, check=True)  # fmt: skip
    assert (
        "broken-nan 1" in run.stdout and "least-latency 1" in run.stdout and "ZeroDivisionError" in run.stdout
    )


def test_a_scorer_runs_on_a_thread_and_a_hanging_one_blocks_nothing():
    resume = threading.Event()

    class Hangs:
        def score(self, snapshot):
            resume.wait(30)
            raise LookupError("x" * 500)

    runner = ThreadRunner(Hangs(), "hangs")
    runner.start_round([SNAPSHOT])
    assert runner.answers() is None
    resume.set()
    while (answers := runner.answers()) is None:
        pass
    assert answers[0].raised.startswith("LookupError: x") and len(answers[0].raised) < 200
    runner.close()


BODY = '(scorer "main" (kind "steady") (version 3) (parameter "power" (value %s)))'


def version(number, body):
    return Version("scorer/main", number, number - 1, body, "me", 0, "because")


def test_the_record_replaces_scorers_of_the_settings_completely_or_not_at_all():
    kinds = discover_kinds(lambda *_, **__: None, [Plugin(KIND)])
    selection = ScorerSelection(kinds, [ScorerSettings(name="main", kind="least-latency")])
    before = selection.selected()["main"].namespace
    for body, why in ((BODY % 9, "power"), ("(scorer", "brackets"), ('(scorer "main" (kind "none"))', "none"),
                      ('(scorer "main" (kind "steady") (version 4))', "version 4")):  # fmt: skip
        with pytest.raises(InvalidScorer, match=why):
            selection.apply("scorer/main", version(1, body))
        assert selection.selected()["main"].namespace == before
    selection.apply("scorer/main", version(2, BODY % 2))
    assert (
        selection.selected()["main"].make().power == 2.0
        and selection.selected()["main"].thing == "scorer/main"
    )
    selection.apply("scorer/main", version(3, " "))
    assert selection.selected() == {}
    selection.apply("scorer/main", None)
    assert selection.selected()["main"].namespace == before
    selection.apply("scorer/two", version(1, BODY % 1))
    with pytest.raises(InvalidScorer, match="more than 2"):
        selection.apply("scorer/three", version(1, BODY % 1))


def test_invalid_settings_are_reported_with_their_field():
    one = head(
        '(fleet "a" (listen "127.0.0.1" 7946) (scoring (scorer "least-latency" (parameter "power" (value 2)))))'
    )
    assert one.fleet.scoring.scorers[0].parameters == (ParameterSettings(name="power", value=2.0),)
    scoring = one.fleet.scoring
    assert create_scoring_state(one, scoring, print).selection.selected()
    wrong = msgspec.structs.replace(scoring, scorers=(ScorerSettings(name="unknown"),))
    with pytest.raises(SettingsError, match="fleet: scoring: no scorer unknown"):
        create_scoring_state(one, wrong, print)


def short(name, seconds, **changes):
    """Return the beginning of a day, with a rest of `seconds` at its end."""
    day = scenario.load(name)
    steps = (
        *day.steps[:2],
        msgspec.structs.replace(day.steps[-1], name=scenario.Verb.REST, for_us=seconds * 1_000_000),
    )
    return msgspec.structs.replace(day, steps=steps, **changes)


def test_operators_see_own_and_aggregated_weights_and_suspended_scorers():
    documents = []

    class DocumentRecorder(rec.Recorder):
        def add(self, one):
            super().add(one)
            if isinstance(one, rec.Weights) and one.t > 1_009_000_000 and not documents:
                documents.append(rig.heads[0].head.fleet.services.scoring.document(one.t))

    from harriertrack.lab.fleet.rig import SimulatedFleet
    from harriertrack.runtime.hub import Hub
    from harriertrack.runtime.memory_streams import MemoryNetwork

    hub = Hub.virtual(1)
    day = short("score-broken-plugin", 10)
    rig = SimulatedFleet(hub, MemoryNetwork(hub), day, 4, 1, DocumentRecorder())
    hub.run(rig.run)
    lines, rows = list(scorer_lines(documents[0])), node_rows(documents[0])
    assert any("broken-state" in line and "no vote for" in line for line in lines)
    assert any("answered an equal picture otherwise" in line for line in lines)
    assert len(rows) == 7 and rows[1][0].startswith("node0") and len(rows[0]) == 10


@pytest.mark.parametrize(("fault", "rule"), [
    ("the mean in place of the median", 3), ("a vote is never lost", 6), ("no bound on notes", 5),
])  # fmt: skip
def test_a_fault_in_the_code_is_found_by_a_day(fault, rule, monkeypatch):
    day = short("score-liar", 12)
    if rule == 3:

        def mean(votes):
            votes = list(votes)
            return sum(value * vote for value, vote in votes) / sum(vote for _, vote in votes)

        monkeypatch.setattr("harriertrack.decisions.fleet.scoring.aggregation.weighted_median", mean)
    elif rule == 6:
        from harriertrack.decisions.fleet.scoring.scorer_guard import ScorerGuard

        day = short("score-broken-plugin", 12)
        monkeypatch.setattr(
            ScorerGuard, "_suspend", lambda self, *_: setattr(self, "state", ScorerState.ACTIVE)
        )
    else:
        monkeypatch.setattr("harriertrack.membership.fleet.topics.TopicNotes.refill",
                            lambda self, _now: setattr(self, "_tokens", 1e9))  # fmt: skip
        settings = msgspec.structs.replace(
            day.scoring, say_us=100_000, look_us=100_000, say_bytes=5000, again_us=100_000
        )
        figures = msgspec.structs.replace(day.figures, topic_bytes=1000)
        day = msgspec.structs.replace(day, scoring=settings, figures=figures)
    recorder = rec.Recorder()
    simulate(day, 5, 1, recorder)
    assert rule in {one.rule for one in score_rules.check(recorder.records)}


def test_a_scorer_of_the_record_runs_from_the_copy_on_disk_while_the_witness_is_down():
    from harriertrack.config.settings import ChangesSettings
    from harriertrack.decisions.fleet.changes.record import Record
    from harriertrack.decisions.fleet.changes.version_state import VersionState
    from harriertrack.lab.fleet.rig import SimulatedFleet
    from harriertrack.lab.fleet.scenario import DayBudgets
    from harriertrack.membership.fleet.change_record import encode
    from harriertrack.runtime.hub import Hub
    from harriertrack.runtime.memory_streams import MemoryNetwork
    from harriertrack.storage.changes import ChangesCache

    body = '(scorer "main" (kind "least-latency") (parameter "power" (value %s)))'
    versions = [
        Version(thing, number, 0, body % power, "me", 0, "because", standing=VersionState.IN_FORCE)
        for thing, number, power in (("scorer/main", 1, 2), ("scorer/other", 1, 99))
    ]
    hub, recorder = Hub.virtual(1), rec.Recorder()
    day = short("score-plain", 4, budgets=DayBudgets(), changes=ChangesSettings())
    rig = SimulatedFleet(hub, MemoryNetwork(hub), day, 3, 1, recorder)
    for number in range(3):
        cache = ChangesCache(None)
        cache.write(encode(Record(1, 1, 0, tuple(versions))))
        rig._changes[f"head{number}"] = cache
    rig.witness.down = True
    hub.run(rig.run)
    applied = {
        (one.head, one.thing, one.version, bool(one.why))
        for one in recorder.records
        if isinstance(one, rec.VersionApplied)
    }
    assert {("head0", "scorer/main", 1, False), ("head0", "scorer/other", 1, True)} <= applied
    weights = [one for one in recorder.records if isinstance(one, rec.Weights) and one.head == "head0"]
    assert set(weights[-1].joined) == {"main", "least-latency"}
