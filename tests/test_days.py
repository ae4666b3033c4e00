"""Scripted days with production heads: all on the virtual clock, the users' hard cases also over loopback."""

import hashlib
import os
import subprocess
import sys

import msgspec
import pytest
from click.testing import CliRunner

from harriertrack.cli.main import main
from harriertrack.lab import day as days, regions, rig
from harriertrack.lab.fronts import Front
from harriertrack.lab.troubles import TROUBLES
from harriertrack.rules import checker, recording as rec
from harriertrack.runtime.hub import Hub
from harriertrack.runtime.streams import SocketNetwork

DIGEST = """
import hashlib, msgspec
from harriertrack.lab import day, rig
records = rig.play(day.load("saturday"), 4, virtual=True).records
print(hashlib.sha256(b"".join(map(msgspec.json.encode, records))).hexdigest())
"""


@pytest.mark.parametrize("name", days.names())
def test_all_rules_hold_on_the_virtual_clock(name):
    records = rig.play(days.load(name), 1, virtual=True).records
    assert [str(breach) for breach in checker.check(records)] == []
    counts = checker.summary(records)
    assert counts["requests"] > 900 and counts["served"] > 0.3 * counts["requests"]


@pytest.mark.parametrize("name", days.names())
def test_all_rules_hold_through_the_nvme_front(name):
    records = rig.play(days.load(name), 1, virtual=True, front=Front.NVME).records
    assert [str(breach) for breach in checker.check(records)] == []
    counts = checker.summary(records)
    assert counts["requests"] > 900 and counts["served"] > 0.3 * counts["requests"]


@pytest.mark.real_time
@pytest.mark.parametrize("name", ["answer_lost", "hang", "saturday", "two-regions-dark"])
def test_all_rules_hold_over_loopback(name):
    records = rig.play(days.load(name), 1, virtual=False).records
    assert [str(breach) for breach in checker.check(records)] == []
    counts = checker.summary(records)
    assert counts["requests"] == counts["served"] + counts["refused"] + counts["failed"] + counts["excused"]


@pytest.mark.real_time
def test_a_pause_of_the_machine_is_recorded_over_loopback():
    day = msgspec.structs.replace(days.load("calm"), length_us=600_000)
    hub, recorder = Hub(seed=1), rec.Recorder()
    day_rig = rig.Rig(hub, SocketNetwork(hub), day, 1, recorder)
    blocked_at_us = []

    def block_the_hub():
        hub.sleep(rig.SETTLE_US + 100_000)
        blocked_at_us.append(hub.now())
        while hub.now() < blocked_at_us[0] + 300_000:
            pass

    def main():
        with hub.scope("machine") as scope:
            scope.spawn("hog", block_the_hub)
            day_rig.run()

    hub.run(main)
    pauses = [record for record in recorder.records if isinstance(record, rec.HeadPaused)]
    longest = max(pauses, key=lambda record: record.us)
    # The recorded pause includes its start, because answers due right after that are late too.
    assert longest.us >= 280_000 and longest.t <= blocked_at_us[0]
    assert {record.head for record in pauses} == {slot.name for slot in day_rig.heads}
    assert checker.check(recorder.records) == []


def test_every_kind_of_trouble_has_a_day():
    kinds = {trouble.name for name in days.names() for trouble in days.load(name).troubles}
    assert kinds == set(days.TroubleKind) == set(TROUBLES)
    assert regions.region_dark.__doc__  # importing `regions` registers its troubles


def test_a_seed_gives_the_same_recording_with_any_hash_seed():
    digests = set()
    for hash_seed in ("1", "2"):
        process = subprocess.run(
            [sys.executable, "-c", DIGEST],
            env={**os.environ, "PYTHONHASHSEED": hash_seed},
            capture_output=True,
            text=True,
            check=True,
            timeout=100,
        )
        digests.add(process.stdout)
    assert len(digests) == 1 and len(digests.pop().strip()) == hashlib.sha256().digest_size * 2


def test_commands_and_their_exit_codes(tmp_path):
    run = CliRunner().invoke
    path, incomplete = str(tmp_path / "run.jsonl"), tmp_path / "incomplete.jsonl"
    result = run(main, ["day", "run", "calm", "--virtual", "--json", path])
    assert (result.exit_code, "all rules held" in result.output) == (0, True)
    assert run(main, ["rules", path]).exit_code == 0
    records = rec.read(path)
    answer = next(record for record in records if isinstance(record, rec.FinalAnswer))
    recorder = rec.Recorder(str(incomplete))
    for record in records:
        if record is not answer:
            recorder.add(record)
    recorder.close()
    result = run(main, ["rules", str(incomplete)])
    assert result.exit_code == 1
    assert f"request {answer.request} of {answer.client}" in result.output
    assert "no final answer" in result.output
    assert run(main, ["rules", str(tmp_path / "none")]).exit_code == 2
    assert run(main, ["day", "run", "none"]).exit_code == 2
    listed = run(main, ["day", "list"])
    assert listed.exit_code == 0 and len(listed.output.splitlines()) == len(days.names())
