"""Runs of storms: a few seeds, a fault that is found, shrunk and written, and the command."""

import subprocess
import sys

import msgspec
import pytest
from click.testing import CliRunner

from harriertrack.cli.main import main
from harriertrack.config.sexp import SettingsError, read_text
from harriertrack.lab.fleet import scenario
from harriertrack.lab.fleet.processes import check_for_processes
from harriertrack.lab.fleet.rig import simulate
from harriertrack.lab.fleet.scenario import FleetDaySettings, StepSettings, Verb
from harriertrack.lab.fleet.storm import playing
from harriertrack.rules import budgets, recording as rec, rollout
from harriertrack.runtime.memory_streams import MemoryNetwork
from tests.known_red import ROOT
from tests.storms import faults

S = 1_000_000


@pytest.mark.parametrize("seed", [3, 4])
def test_storms_keep_all_rules(seed):
    verdict = playing.play_and_judge(faults.storm(seed))
    assert verdict.broken_rules == frozenset() and verdict.requests > 100
    assert verdict.length_us > faults.LENGTH_US


def test_a_seed_determines_the_recording():
    day = FleetDaySettings(name="x", processes=3, rate=4, steps=(
        StepSettings(name=Verb.START), StepSettings(name=Verb.AGREE), StepSettings(name=Verb.KILL, part=0.4),
        StepSettings(name=Verb.START), StepSettings(name=Verb.QUIET), StepSettings(name=Verb.AGREE),
    ))  # fmt: skip
    recorders = [rec.Recorder() for _ in range(2)]
    for one in recorders:
        simulate(day, 3, playing.SEED, one)
    assert recorders[0].records == recorders[1].records


def test_an_exception_that_ends_a_run_is_a_breach(monkeypatch):
    day = FleetDaySettings(name="x", processes=2, steps=(StepSettings(name=Verb.START),))

    def breaks(*_args):
        raise ValueError("no such thing")

    monkeypatch.setattr(MemoryNetwork, "connect", breaks)
    assert playing.play_and_judge(day).broken_rules == {("play: ValueError", 0)}


def test_steps_for_simulated_time_only_are_rejected_before_processes_start():
    day = FleetDaySettings(name="x", steps=(StepSettings(name=Verb.COLD, for_us=S),))
    with pytest.raises(SettingsError, match="step 1 cold: in simulated time only"):
        check_for_processes(day)


# -- rules that are checked at the end of the quiet period

STARTED = [rec.MemberLifecycle(t=1, member=name, how="started") for name in ("a", "b")]
OWNED = rec.LedgerOwnership(t=2, head="a", ledger=0, keeps=True)
QUIET = rec.FaultsOver(t=3)


def ask(t, number):
    return rec.ShareRequested(
        t=t, holder="b", instance=1, ledger=0, term=(1, 1), tenure=1, number=number, applied=[]
    )


def grant(t, number):
    return rec.ShareGranted(t=t, holder="b", instance=1, ledger=0, term=(1, 1), tenure=1, answers=number,
                            lease_us=S, shares=[])  # fmt: skip


@pytest.mark.parametrize(("records", "why"), [
    ([OWNED, QUIET, ask(8 * S, 1), grant(8 * S + 1, 1), ask(9 * S, 2)], ""),
    ([OWNED, ask(8 * S, 1)], ""),  # no record says that faults are over
    ([OWNED, grant(5, 0), QUIET, ask(8 * S, 1)], "asks ledger 0, and has no lease"),
    ([OWNED, QUIET, rec.MemberLifecycle(t=4, member="a", how="killed")], "nobody keeps it"),
    ([OWNED, QUIET, rec.LedgerOwnership(t=4, head="b", ledger=0, keeps=True)], "a, b keeps it"),
])  # fmt: skip
def test_every_head_has_a_lease_and_every_ledger_one_owner_after_the_quiet_period(records, why):
    first = grant(4 * S, 0)  # it shows how long leases are
    found = budgets.check([*STARTED, *records, *([first] if OWNED in records and "ask" in why else [])])
    assert [one.why for one in found] == ([why] if why else [])


def test_versions_are_settled_after_the_quiet_period():
    facts = rec.RolloutFacts(t=1, thing="settings", version=1, zones={"a": "z0", "b": "z1"}, volumes={},
                             stages=[rec.StageFacts(heads=1, share=0)], away=1, back_away=1, missing=0)  # fmt: skip
    end = rec.RolloutExpected(t=0, thing="settings", version=0, settled=True)
    going = rec.RolloutStep(
        t=5, by="a", epoch=1, thing="settings", version=1, standing="going", stage=1, heads=["a"], why=""
    )
    applied = rec.VersionApplied(t=6, head="a", thing="settings", version=1)
    reasons = [one.why for one in rollout.check([facts, end, *STARTED, going, applied, QUIET])]
    assert reasons == ["at the end heads run {'a': 1, 'b': 0}", "version 1 is going at the end"]
    assert rollout.check([facts, end, *STARTED, going, applied]) == []
    stopped = msgspec.structs.replace(going, t=7, standing="stopped", heads=[])
    back = msgspec.structs.replace(applied, t=8, version=0)
    assert rollout.check([facts, end, *STARTED, going, applied, stopped, back, QUIET]) == []


# -- faults that are found and shrunk

NEVER_DEAD = next(one for one in faults.FAULTS if one.name == "the dead are never found")
DAY = """(fleet-day "x" (processes 4) (rate 2) (figures (probe 300ms) (answer 150ms) (gossip 60ms) (slack 3))
  (budgets (clock-error 0.01) (term 2s) (patience 1s) (budget cold (fixed 0.3)))
  (step start) (step agree) (step slow (zone "z1") (times 2) (for 1s)) (step demand (times 3)) (step rest (for 1s))
  (step kill (who "head1")) (step stop (who "head2") (for 400ms)) (step rest (for 1s)) (step backup)
  (step quiet) (step start (who "head0" "head2" "head3")) (step agree (within 12s)))"""


def test_a_fault_is_found_shrunk_and_written_as_a_failing_day(tmp_path):
    day = scenario.parse(read_text(DAY, "x"), "x")
    with NEVER_DEAD.injected():
        verdict = playing.play_and_judge(day)
        assert ("views", 1) in verdict.broken_rules
        smallest = playing.shrink(day, verdict.broken_rules, 16)
        again = playing.play_and_judge(smallest)
        playing.write(smallest, tmp_path / "least.sexp", again.breaches)
        remaining = [step.name for step in smallest.steps]
        assert remaining[:2] == [Verb.START, Verb.KILL] and len(remaining) <= 6
        read = scenario.load(str(tmp_path / "least.sexp"))
        assert "views: rule 1" in read.about
        assert ("views", 1) in playing.play_and_judge(read).broken_rules
    assert not playing.play_and_judge(smallest).broken_rules


@pytest.mark.parametrize("fault", faults.FAULTS, ids=lambda fault: fault.name)
def test_each_seeded_fault_can_be_injected(fault):
    """A fault replaces a text of its function, so a rename can leave it without one."""
    with fault.injected():
        pass


def test_the_command_prints_each_seed_and_rejects_invalid_options(tmp_path):
    runner = CliRunner()
    result = runner.invoke(main, ["fleet", "storm", "--virtual", "--heads", "3", "--minutes", "0.1", "--seed", "3",
                                "--keep", str(tmp_path)])  # fmt: skip
    assert result.exit_code == 0 and "seed 3: 3 heads" in result.output and "all rules held" in result.output
    assert not list(tmp_path.iterdir())
    for words, why in ((["--seeds", "5..5"], "FROM..TO"), (["--from", "no.sexp"], "no.sexp")):
        done = subprocess.run(
            [sys.executable, "-m", "harriertrack", "fleet", "storm", *words], capture_output=True, text=True
        )
        assert done.returncode == 2 and why in done.stderr and done.stderr.count("\n") == 1


def test_a_resumed_head_sends_nothing_to_a_node_that_began_draining_meanwhile():
    day = scenario.load(str(ROOT / "docs/measurements/storm-drain.sexp"))
    verdict = playing.play_and_judge(day)
    assert verdict.requests > 100 and verdict.broken_rules == frozenset()
