"""The scripted days through the real head: every day on the virtual clock, the users' hard cases over loopback."""

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
def test_a_day_keeps_all_rules_on_the_virtual_clock(name):
    records = rig.play(days.load(name), 1, virtual=True).records
    assert [str(breach) for breach in checker.check(records)] == []
    counts = checker.summary(records)
    assert counts["requests"] > 900 and counts["served"] > 0.3 * counts["requests"]


@pytest.mark.parametrize("name", days.names())
def test_a_day_keeps_all_rules_through_nvme(name):
    records = rig.play(days.load(name), 1, virtual=True, front=Front.NVME).records
    assert [str(breach) for breach in checker.check(records)] == []
    counts = checker.summary(records)
    assert counts["requests"] > 900 and counts["served"] > 0.3 * counts["requests"]


@pytest.mark.real_time
@pytest.mark.parametrize("name", ["answer_lost", "hang", "saturday", "two-regions-dark"])
def test_a_day_keeps_all_rules_over_loopback(name):
    records = rig.play(days.load(name), 1, virtual=False).records
    assert [str(breach) for breach in checker.check(records)] == []
    counts = checker.summary(records)
    assert counts["requests"] == counts["served"] + counts["refused"] + counts["failed"] + counts["excused"]


@pytest.mark.real_time
def test_a_machine_that_stands_still_over_loopback_is_on_record():
    day = msgspec.structs.replace(days.load("calm"), length_us=600_000)
    hub, recorder = Hub(seed=1), rec.Recorder()
    played = rig.Rig(hub, SocketNetwork(hub), day, 1, recorder)
    began_at = []

    def hog():
        hub.sleep(rig.SETTLE_US + 100_000)
        began_at.append(hub.now())
        while hub.now() < began_at[0] + 300_000:
            pass

    def main():
        with hub.scope("machine") as scope:
            scope.spawn("hog", hog)
            played.run()

    hub.run(main)
    stood = [record for record in recorder.records if isinstance(record, rec.HeadPaused)]
    longest = max(stood, key=lambda record: record.us)
    # It is on record from its beginning: what was due right after that could not be answered either.
    assert longest.us >= 280_000 and longest.t <= began_at[0]
    assert {record.head for record in stood} == {slot.name for slot in played.heads}
    assert checker.check(recorder.records) == []


def test_every_kind_of_trouble_has_a_day():
    played = {trouble.name for name in days.names() for trouble in days.load(name).troubles}
    assert played == set(days.TroubleKind) == set(TROUBLES)
    assert regions.region_dark.__doc__  # its troubles are registered when it is imported


def test_a_seed_gives_the_same_recording_to_the_byte_whatever_the_hash_seed():
    digests = set()
    for hash_seed in ("1", "2"):
        done = subprocess.run([sys.executable, "-c", DIGEST], env={**os.environ, "PYTHONHASHSEED": hash_seed},
                              capture_output=True, text=True, check=True, timeout=100)  # fmt: skip
        digests.add(done.stdout)
    assert len(digests) == 1 and len(digests.pop().strip()) == hashlib.sha256().digest_size * 2


def test_the_commands_and_their_exit_codes(tmp_path):
    run = CliRunner().invoke
    path, broken = str(tmp_path / "run.jsonl"), tmp_path / "broken.jsonl"
    done = run(main, ["day", "run", "calm", "--virtual", "--json", path])
    assert (done.exit_code, "all rules held" in done.output) == (0, True)
    assert run(main, ["rules", path]).exit_code == 0
    records = rec.read(path)
    late = next(record for record in records if isinstance(record, rec.FinalAnswer))
    recorder = rec.Recorder(str(broken))
    for record in records:
        if record is not late:
            recorder.add(record)
    recorder.close()
    done = run(main, ["rules", str(broken)])
    assert done.exit_code == 1
    assert f"request {late.request} of {late.client}" in done.output and "no final answer" in done.output
    assert run(main, ["rules", str(tmp_path / "none")]).exit_code == 2
    assert run(main, ["day", "run", "none"]).exit_code == 2
    listed = run(main, ["day", "list"])
    assert listed.exit_code == 0 and len(listed.output.splitlines()) == len(days.names())
