"""Fleets of processes with faults between them, and what operators see of one."""

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from harriertrack.lab.fleet import scenario
from harriertrack.lab.fleet.processes import FleetProcessError, Places, play_processes
from harriertrack.membership.fleet.telling import document_from
from harriertrack.rules import checker, fleet, recording as rec

HEADS = 6
COMMAND = [sys.executable, "-m", "harriertrack", "fleet"]


def running(folder):
    """Return the ids of processes that were started with settings of a folder."""
    found = []
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit():
            try:
                line = (entry / "cmdline").read_bytes().decode()
            except OSError:
                continue
            if str(folder) in line and "harriertrack" in line:
                found.append(int(entry.name))
    return found


@pytest.mark.timeout(240)
@pytest.mark.parametrize("name", scenario.names())
def test_a_fleet_day_keeps_all_rules_over_processes(name, tmp_path):
    day, recorder = scenario.load(name), rec.Recorder()
    play_processes(day, HEADS, 1, recorder, tmp_path)
    assert checker.check(recorder.records) == []
    assert fleet.check(recorder.records, day.detect_us) == []
    assert any(isinstance(one, rec.Got) for one in recorder.records), "nodes' recordings are part of it"
    assert not running(tmp_path)


SMALL = """(fleet-day "small" (processes 3) (shelves 1) (rate 2)
  (figures (probe 300ms) (answer 150ms) (gossip 60ms) (reach 1s) (note 500ms) (slack 3))
  (step start) (step agree (within 30s)) %s)"""


def small(tmp_path, steps):
    path = tmp_path / "small.sexp"
    path.write_text(SMALL % steps)
    return str(path)


def fleet_command(*arguments):
    return subprocess.run([*COMMAND, *arguments], capture_output=True, text=True, timeout=100)


@pytest.mark.timeout(200)
def test_operators_see_members_and_why(tmp_path):
    """While a day plays, its heads are asked."""
    day = subprocess.Popen([*COMMAND, "day", small(tmp_path, '(step kill (who "head2")) (step rest (for 60s))'),
                            "--keep", str(tmp_path / "kept")], stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)  # fmt: skip
    try:
        settings, until, told = str(tmp_path / "kept" / "head0.sexp"), time.monotonic() + 80, None
        while told is None or {one.name: one.state for one in told.members}.get("head2") != "dead":
            assert time.monotonic() < until and day.poll() is None, told
            done = fleet_command("members", "--settings", settings, "--json")
            told = document_from(done.stdout.encode()) if done.returncode == 0 else None
        assert told.there == 2 and told.standing == "in"
        table = fleet_command("members", "--settings", settings).stdout
        assert "head2" in table and "dead" in table and told.digest in table
        why = fleet_command("explain", "head2", "--settings", settings)
        assert why.returncode == 0 and "by the word of head" in why.stdout and "suspect" in why.stdout
        one = json.loads(fleet_command("explain", "head1", "--settings", settings, "--json").stdout)
        assert one["state"] == "alive" and one["about"]["volumes"] > 0
        watched = fleet_command("watch", "--settings", settings, "--times", "1").stdout
        assert "head2: unknown -> dead" in watched
        assert fleet_command("explain", "nobody", "--settings", settings).returncode == 2
    finally:
        day.send_signal(signal.SIGINT)
        _, said = day.communicate(timeout=60)
    assert day.returncode == 2 and "interrupted" in said
    assert not running(tmp_path), "an interrupted day ends what it started"


def test_bad_places_and_settings_are_one_line(tmp_path):
    host, port = Places().next()
    nobody = f"{host}:{port}"
    for arguments in (["members"], ["members", "--at", "x"], ["members", "--at", nobody], ["day", "nothing"],
                      ["day", small(tmp_path, "(step rest)")], ["explain", "a", "--at", "1.2.3.4:99999"]):  # fmt: skip
        done = fleet_command(*arguments)
        assert done.returncode == 2 and done.stderr.count("\n") == 1 and "Traceback" not in done.stderr, done.stderr


@pytest.mark.timeout(200)
def test_a_head_that_ends_by_itself_ends_the_day_and_all_else(tmp_path):
    day = scenario.load(small(tmp_path, "(step rest (for 60s))"))

    def spoil(rig):
        launch = rig.launch

        def strange(slot, step):
            if slot.name == "head1":
                rig.path("head1.sexp").write_text("(head")
            launch(slot, step)

        rig.launch = strange

    with pytest.raises(FleetProcessError, match="head1 ended by itself"):
        play_processes(day, 3, 1, rec.Recorder(), tmp_path, started=spoil)
    assert not running(tmp_path)


def test_the_rig_ends_only_what_it_started(tmp_path):
    other = subprocess.Popen([sys.executable, "-c", "import time; time.sleep(60)"])
    try:
        day = scenario.load(small(tmp_path, ""))
        play_processes(day, 2, 1, rec.Recorder(), tmp_path)
        assert other.poll() is None and os.getpid()
    finally:
        other.kill()
        other.wait()
