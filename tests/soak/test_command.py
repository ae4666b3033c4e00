"""The command `harriertrack soak`: its options, its exit codes, and what it leaves behind."""

import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from harriertrack.rules.recording_file import write_records
from tests.soak.test_platform_rules import Recording

COMMAND = (sys.executable, "-B", "-c", "from harriertrack.cli.main import main; main()", "soak")
S = 1_000_000


def soak(*options):
    return subprocess.run([*COMMAND, *map(str, options)], capture_output=True, text=True, timeout=60)


@pytest.mark.parametrize(
    "options",
    [("--heads", 1), ("--heads", 31), ("--seconds", 15), ("--seconds", "x"), ("--seed", -1), ("--seeds", "3"),
     ("--seeds", "5..5"), ("--keep", "/dev/null/x"), ("--judge", "/no/such/file")],
)  # fmt: skip
def test_a_bad_option_ends_the_command_and_is_named(options):
    result = soak(*options)
    assert result.returncode == 2
    assert options[0] in result.stderr


@pytest.mark.parametrize(("status", "code"), [(0, 0), (1, 1)])
def test_a_recording_is_judged(tmp_path, status, code):
    path = tmp_path / "one.recording"
    write_records(path, Recording().request(1, 0).ended(S, status).records)
    result = soak("--judge", path)
    assert (result.returncode, result.stdout.splitlines()[-1]) == (code, f"{code} breaches")


def heads_of(process):
    """Return the ids of the processes that a process has started."""
    children = Path(f"/proc/{process.pid}/task/{process.pid}/children")
    return [int(number) for number in children.read_text().split()]


@pytest.mark.real_time
def test_a_run_that_is_ended_leaves_no_heads_behind(tmp_path):
    """Heads that went on called for their list where a later run had a node."""
    process = subprocess.Popen([*COMMAND, "--keep", str(tmp_path)], stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)  # fmt: skip
    deadline = time.monotonic() + 20
    while len(heads_of(process)) < 2 and time.monotonic() < deadline:
        time.sleep(0.02)
    heads = heads_of(process)
    process.send_signal(signal.SIGTERM)
    assert heads and process.wait(20) != 0
    assert not [head for head in heads if Path(f"/proc/{head}").exists()]
