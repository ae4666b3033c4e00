"""The launcher: its state machine, recovery from a kill at any moment, real children; plans and reports."""

import os
import subprocess
import sys
import time

import pytest
from hypothesis import given, settings, strategies as st

from harriertrack.config.rollout import load_launcher, read_plan, read_program
from harriertrack.config.sexp import SettingsError
from harriertrack.decisions.fleet.changes.record import Version
from harriertrack.decisions.fleet.rollout.launch_state import (
    Exit, Terminate, IllegalPhase, Save, SavedState, LaunchStateMachine, LaunchRules, Phase, Program, Start,
)  # fmt: skip
from harriertrack.decisions.fleet.rollout.plan import DEFAULT_PLAN, Measure
from harriertrack.gateway.fleet.rollout.launcher import child as children
from harriertrack.gateway.fleet.rollout.launcher.files import LauncherFiles, connect_to_launcher
from harriertrack.gateway.fleet.rollout.launcher.launcher import Launcher, InvalidProgram, command_of
from harriertrack.gateway.fleet.rollout.program_user import HANDING_OVER, ProgramUser
from harriertrack.gateway.fleet.rollout.reports import (
    ReportAssembler,
    MalformedReport,
    encode_counts,
    encode_volumes,
)
from harriertrack.membership.fleet.topic_datagrams import MAX_TOPIC_BODY
from harriertrack.decisions.fleet.rollout.answer_counts import Tally
from harriertrack.decisions.fleet.rollout.evidence import Report
from harriertrack.runtime.hub import Hub

S = 1_000_000
RULES = LaunchRules(ready_us=10 * S, prove_us=20 * S, drain_us=5 * S, tries=3)
BAD = (3,)  # versions that exit at once


class Machine:
    """A host with one child; the state on disk survives the launcher."""

    def __init__(self, bad=BAD, mute=()):
        self.bad, self.mute, self.now = bad, mute, 0
        self.disk, self.child, self.end_requested, self.starts, self.wanted = SavedState(), None, 0, [], None
        self.launch()

    def launch(self):
        self.launcher = LaunchStateMachine(RULES, self.disk)
        self.launcher.begin(self.now, 7 if self.child is not None else 0)
        self.act()

    def act(self):
        for action in self.launcher.take_actions():
            match action:
                case Save(saved):
                    self.disk = saved
                case Start(program, rejected, _):
                    assert self.child is None, "never two children"
                    self.child, self.end_requested = program.number, 0
                    self.starts.append((program.number, rejected))
                    self.launcher.record_start("t")
                    self.launcher.record_child(7)
                    self.act()
                case Terminate(force):
                    self.end_requested = self.now if not force else -1
                case Exit():
                    self.launcher = None
                    return

    def run(self, seconds):
        for _ in range(seconds * 2):
            self.now += S // 2
            if self.child is not None:
                if self.end_requested or self.child in self.bad:
                    self.child = None
                    self.launcher.child_ended(self.now, "signal 11 ended it")
                elif self.child not in self.mute:
                    self.launcher.child_ready(self.now)
            if self.launcher is not None:
                if self.wanted is not None and self.launcher.phase is not Phase.IDLE:
                    # The file persists until it is replaced.
                    self.launcher.request_program(self.now, self.wanted)
                self.launcher.advance(self.now)
                self.act()


def test_repeatedly_exiting_version_is_replaced_by_the_last_good_one():
    host = Machine()
    host.run(30)
    host.wanted = Program(2)
    host.run(30)
    assert (host.child, host.disk.good.number) == (2, 2)
    host.wanted = Program(3)
    host.run(30)
    assert host.child == 2 and host.disk.fell == 3 and "3 times" in host.disk.why
    assert [number for number, _ in host.starts] == [0, 2, 3, 3, 3, 2] and host.starts[-1] == (2, 3), (
        "the good version is passed the number of the failed one"
    )
    host.wanted = Program(3)
    host.run(5)
    assert host.child == 2, "a version given up is not tried again"


def test_version_not_ready_in_time_is_given_up():
    host = Machine(bad=(), mute=(4,))
    host.run(2)
    host.wanted = Program(4)
    host.run(60)
    assert host.child == 0 and host.disk.fell == 4


def test_good_version_is_always_restarted_with_growing_delays():
    host = Machine(bad=(0,))
    host.run(200)
    assert 5 < len(host.starts) < 20 and host.disk.fell == 0


@settings(max_examples=60, deadline=None)
@given(st.lists(st.integers(1, 25), max_size=8), st.sampled_from([2, 3, 4]))
def test_launcher_reaches_the_same_state_wherever_it_is_killed(kills, version):
    host = Machine(mute=(4,))
    host.run(3)
    host.wanted = Program(version)
    for seconds in kills:
        host.launch()  # another incarnation, from the disk, with any child that runs
        host.run(seconds)
    host.run(150)
    assert host.child == (2 if version == 2 else 0)
    assert host.disk.fell == (0 if version == 2 else version)


def test_illegal_transition_raises():
    with pytest.raises(IllegalPhase):
        LaunchStateMachine(RULES)._set_phase(0, Phase.RUNNING)


def test_damaged_state_file_counts_as_missing(tmp_path):
    files = LauncherFiles(str(tmp_path))
    files.save_state(SavedState(good=Program(5), fell=6, why="w"))
    assert LauncherFiles(str(tmp_path)).saved_state() == SavedState(good=Program(5), fell=6, why="w")
    data = (tmp_path / "state").read_bytes()
    for broken in (data[:-1], b"", data.replace(b"5", b"7")):
        (tmp_path / "state").write_bytes(broken)
        assert files.saved_state() is None


def launcher_file(tmp_path, extra=""):
    path = tmp_path / "launch.sexp"
    path.write_text(f'(launch "h" (head "{tmp_path}/head.sexp") (state "{tmp_path}/launch") {extra})')
    return str(path)


def test_only_programs_below_the_allowed_folders_are_started(tmp_path):
    inside = tmp_path / "opt" / "2.0"
    (inside / "bin").mkdir(parents=True)
    (inside / "bin" / "harriertrack").touch()
    launch_settings = load_launcher(launcher_file(tmp_path, f'(folders "{tmp_path}/opt")'))
    assert command_of(launch_settings, Program(1, folder=str(inside)))[1:] == [
        "head",
        f"{tmp_path}/head.sexp",
    ]
    for folder, why in ((f"{tmp_path}/opt/../other", "not below"), (f"{tmp_path}/opt/1.0", "is not there")):
        with pytest.raises(InvalidProgram, match=why):
            command_of(launch_settings, Program(1, folder=folder))


def test_head_rejects_programs_without_a_launcher_and_hands_over_with_one(tmp_path):
    two = Version("program", 2, 1, '(program "b" (arguments "--x"))', "ann", 1, "w")
    assert ProgramUser(None).apply("program", two) == "no launcher started this head"
    of = connect_to_launcher(
        {
            "HARRIERTRACK_LAUNCH": str(tmp_path),
            "HARRIERTRACK_LAUNCH_VERSION": "1",
            "HARRIERTRACK_LAUNCH_FELL": "3 not ready in time",
        }
    )
    assert ProgramUser(of).apply("program", two) == HANDING_OVER
    assert LauncherFiles(str(tmp_path)).requested_program() == read_program(two)
    assert (
        ProgramUser(of).apply("program", Version("program", 3, 1, '(program "c")', "a", 1, "w"))
        == "not ready in time"
    )
    assert "expected (program" in ProgramUser(of).apply(
        "program", Version("program", 4, 1, "(settings)", "a", 1, "w")
    )
    assert connect_to_launcher({}) is None


CHILD = """import os, sys, time
sys.path.insert(0, {root!r})
from harriertrack.gateway.fleet.rollout.launcher.files import connect_to_launcher
if "--bad" in sys.argv: sys.exit(3)
connect_to_launcher(dict(os.environ)).report_ready()
time.sleep(60)
"""


@pytest.fixture
def host(tmp_path, monkeypatch):
    """A launcher on a hub of its own whose programs are small scripts."""
    from harriertrack.gateway.fleet.rollout.launcher import launcher as module

    script = tmp_path / "child.py"
    script.write_text(CHILD.format(root=os.getcwd()))
    monkeypatch.setattr(module, "OWN_COMMAND", (sys.executable, str(script)))
    launch_settings = load_launcher(launcher_file(tmp_path, "(prove 300ms) (tries 2) (drain 2s)"))
    events = []
    hub = Hub()
    one = Launcher(hub, launch_settings, lambda event, **fields: events.append((event, fields)))

    def play(steps):
        def main():
            with hub.scope("test") as scope:
                task = scope.spawn("launcher", one.run)
                steps(one, hub)
                one.stop()
                while not task.done:
                    hub.sleep(20_000)

        hub.run(main)
        return events

    return play, one, tmp_path


def until(hub, true, most_s=20):
    ends = time.monotonic() + most_s
    while not true():
        assert time.monotonic() < ends
        hub.sleep(20_000)


@pytest.mark.real_time
def test_real_child_is_replaced_found_again_and_ended(host):
    play, one, folder = host
    files = LauncherFiles(str(folder / "launch"))

    def steps(one, hub):
        until(hub, lambda: one.machine.phase is Phase.RUNNING)
        files.request_program(Program(2, arguments=("--bad",)))
        until(hub, lambda: one.machine.saved.fell == 2 and one.machine.phase is Phase.RUNNING)
        assert one.machine.saved.runs == 0
        files.request_program(Program(4))
        until(hub, lambda: one.machine.saved.good.number == 4)
        found = Launcher(Hub(), load_launcher(str(folder / "launch.sexp")), lambda *_, **__: None)
        assert found._child is not None and found._child.pid == one.machine.saved.child, (
            "another incarnation finds it"
        )
        kept = one.machine.saved
        found_by_token = children.find(0, kept.token)
        assert found_by_token is not None and found_by_token.pid == kept.child, "also by its token alone"
        assert children.find(0, "unknown") is None and children.find(kept.child, "") is None

    events = play(steps)
    pid = [fields["pid"] for event, fields in events if event == "launch: head starts"][-1]
    with pytest.raises(ProcessLookupError):
        os.kill(pid, 0)


def test_command_reports_invalid_settings(tmp_path):
    path = tmp_path / "l.sexp"
    path.write_text('(launch "h" (head "x"))')
    done = subprocess.run(
        [sys.executable, "-m", "harriertrack", "launch", str(path)], capture_output=True, text=True
    )
    assert done.returncode == 2 and "l.sexp:1" in done.stderr and "state" in done.stderr


# -- plans and reports


@pytest.mark.parametrize(("text", "why"), [
    ('(plan (stage "a" (heads 1)))', "the last one has"),
    ('(plan (stage "a" (heads 1) (share 0.5)) (stage "b" (share 1)))', "either heads or share"),
    ('(plan (stage "a" (heads 1)) (stage "a" (share 1)))', "given twice"),
    ('(plan (bounds (times 1)))', "times"),
    ('(plan (soak 3s))', "unknown setting soak"),
    ('(settings)', "expected .plan"),
])  # fmt: skip
def test_invalid_plan_is_reported_with_its_field(text, why):
    with pytest.raises(SettingsError, match=why):
        read_plan(text, "p", DEFAULT_PLAN)


def test_plan_overrides_the_default():
    plan = read_plan(
        '(plan (away 3) (alone yes) (compares "failed" "slow") (stage "x" (heads 2) (soak 5s)) (stage "y" (share 1)))',
        "p",
        DEFAULT_PLAN,
    )
    assert (plan.away, plan.alone, plan.measures) == (3, True, (Measure.FAILED, Measure.SLOW))
    assert (
        plan.stages[0].heads == 2 and plan.stages[0].soak_us == 5 * S and plan.bounds == DEFAULT_PLAN.bounds
    )
    assert read_plan("(plan)", "p", DEFAULT_PLAN) == DEFAULT_PLAN


def test_reports_fit_into_a_topic_and_round_trip():
    classes = {f"class{number:03}": Tally(10**9 + number, 5, 6, 7, 8, [10**6] * 16) for number in range(40)}
    report = Report(
        "h", 9, {"settings": 3, "program": 4}, classes, 1 << 30, 10**9, {"program": (5, "w" * 500)}, 2
    )
    data = encode_counts(report)
    assert len(data) <= MAX_TOPIC_BODY
    received = ReportAssembler("h")
    read = received.handle_report(data)
    assert read.versions == report.versions and set(read.classes) < set(classes) and len(read.classes) >= 5
    assert all(read.classes[name] == classes[name] for name in read.classes)
    assert received.volumes is None
    for body in encode_volumes(9, list(range(10**9, 10**9 + 400))):
        assert len(body) <= MAX_TOPIC_BODY and received.handle_report(body) is None
    assert len(received.volumes) == 400
    next_incarnation = next(iter(encode_volumes(10, [1] * 151)))
    assert received.handle_report(next_incarnation) is None and received.volumes is None, (
        "nothing is known of the new incarnation yet"
    )


@given(st.binary(max_size=60))
def test_arbitrary_bytes_are_rejected_or_decoded(data):
    received = ReportAssembler("h")
    try:
        report = received.handle_report(data)
    except MalformedReport:
        report = None
    assert report is None or report.head == "h"
