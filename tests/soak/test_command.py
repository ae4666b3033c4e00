"""The command `harriertrack soak`: its options, its exit codes, and what it leaves behind."""

import contextlib
import os
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


def heads_in(folder):
    """Return the processes of heads whose configuration is in a folder."""
    found = []
    for path in Path("/proc").glob("[0-9]*/environ"):
        with contextlib.suppress(OSError):
            found += [path] if f"PROXY_CONFIG={folder}".encode() in path.read_bytes() else []
    return found


@pytest.mark.real_time
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
@pytest.mark.parametrize("count", [1, 2, 3])
def test_a_run_that_is_ended_leaves_no_heads_behind(tmp_path, number, count):
    """Heads that went on called for their list where a later run had a node."""
    environment = {**os.environ, "TMPDIR": str(tmp_path)}
    process = subprocess.Popen([*COMMAND, "--keep", str(tmp_path)], env=environment, stdout=subprocess.DEVNULL,
                               stderr=subprocess.DEVNULL)  # fmt: skip
    deadline = time.monotonic() + 20
    while len(heads_in(tmp_path)) < count and time.monotonic() < deadline:
        time.sleep(0.002)
    assert heads_in(tmp_path)
    process.send_signal(number)
    assert process.wait(20) != 0 and not heads_in(tmp_path)
