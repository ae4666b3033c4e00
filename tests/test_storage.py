"""The extent map survives kills and returns exactly the recorded placements."""

import os
import signal
import subprocess
import sys

import pytest

from harriertrack.storage.extents import ExtentMap, ExtentMapError

WRITER = """
import sys
from harriertrack.storage.extents import ExtentMap
extents = ExtentMap(sys.argv[1])
done = int(sys.argv[2])
while True:
    extents.place([("vol", done * 2, done % 7), ("vol", done * 2 + 1, done % 7)])
    print(done, flush=True)
    done += 1
"""


def test_placements_survive_reopening(tmp_path):
    path = str(tmp_path / "map")
    written = ExtentMap(path)
    written.place([("v", 1 << 40, 3), ("w", 0, 1), ("v", 7, 2)])
    written.place([])
    written.close()
    reopened = ExtentMap(path)
    assert list(reopened.placements_of("v")) == [(7, 2), (1 << 40, 3)] and reopened.shard_of("w", 0) == 1
    assert reopened.shard_of("v", 8) is None and reopened.commits == 0
    reopened.close()


def test_kills_at_random_moments_leave_whole_transactions(tmp_path):
    path, first = str(tmp_path / "map"), 0
    for round_ in range(6):
        writer = subprocess.Popen(
            [sys.executable, "-c", WRITER, path, str(first)], stdout=subprocess.PIPE, text=True
        )
        for _ in range(20 + 17 * round_):
            acknowledged = int(writer.stdout.readline())
        os.kill(writer.pid, signal.SIGKILL)
        rest = writer.stdout.read().split("\n")
        acknowledged = max([acknowledged, *(int(line) for line in rest[:-1] if line)])
        writer.wait()
        extents = ExtentMap(path)
        stored = dict(extents.placements_of("vol"))
        extents.close()
        # Both extents of each transaction or neither are there, and no acknowledged placement is missing.
        assert len(stored) % 2 == 0 and set(stored) == set(range(len(stored)))
        assert len(stored) // 2 - 1 >= acknowledged
        assert all(shard == extent // 2 % 7 for extent, shard in stored.items())
        first = len(stored) // 2


def test_a_file_that_is_no_map_is_rejected(tmp_path):
    (tmp_path / "map").mkdir()
    (tmp_path / "map" / "data.mdb").write_bytes(b"nonsense" * 2000)
    with pytest.raises(ExtentMapError):
        ExtentMap(str(tmp_path / "map"))


def test_moved_extents_are_left_behind_until_they_are_forgotten(tmp_path):
    path = str(tmp_path / "map")
    written = ExtentMap(path)
    written.place([("v", 1, 3), ("v", 2, 3), ("w\u00ff", 1, 3)])
    assert written.leftovers("v") == []
    written.place([("v", 1, 5), ("v", 2, 5), ("w\u00ff", 1, 4)])
    written.place([("v", 1, 6)])
    written.close()
    reopened = ExtentMap(path)
    assert reopened.leftovers("v") == [(1, 3), (1, 5), (2, 3)] and reopened.leftovers("w\u00ff") == [(1, 3)]
    assert list(reopened.placements_of("v")) == [(1, 6), (2, 5)] and list(
        reopened.placements_of("w\u00ff")
    ) == [(1, 4)]
    reopened.remove_leftover("v", 1, 3)
    reopened.place([("v", 2, 3)])  # at its former shard again: in use, not left behind
    reopened.place([("v", 2, 3)])
    assert reopened.leftovers("v") == [(1, 5), (2, 5)]
    reopened.close()
    reopened_again = ExtentMap(path)
    assert reopened_again.leftovers("v") == [(1, 5), (2, 5)] and reopened_again.shard_of("v", 2) == 3
    reopened_again.close()


def test_a_map_of_the_older_format_is_upgraded(tmp_path):
    path = str(tmp_path / "map")
    written = ExtentMap(path)
    written.place([("v", 1, 3)])
    with written._env.begin(write=True) as transaction:
        transaction.put(b"format", b"1")
    written.close()
    reopened = ExtentMap(path)
    assert list(reopened.placements_of("v")) == [(1, 3)]
    with reopened._env.begin() as reader:
        assert reader.get(b"format") == b"2"
    reopened.close()
