"""The extent map survives being killed; what it holds is what was placed."""

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


def test_placed_is_found_again(tmp_path):
    path = str(tmp_path / "map")
    one = ExtentMap(path)
    one.place([("v", 1 << 40, 3), ("w", 0, 1), ("v", 7, 2)])
    one.place([])
    one.close()
    two = ExtentMap(path)
    assert list(two.placed("v")) == [(7, 2), (1 << 40, 3)] and two.shard_of("w", 0) == 1
    assert two.shard_of("v", 8) is None and two.commits == 0
    two.close()


def test_killed_at_random_moments_it_is_never_torn(tmp_path):
    path, begun = str(tmp_path / "map"), 0
    for round_ in range(6):
        writer = subprocess.Popen(
            [sys.executable, "-c", WRITER, path, str(begun)], stdout=subprocess.PIPE, text=True
        )
        for _ in range(20 + 17 * round_):
            acknowledged = int(writer.stdout.readline())
        os.kill(writer.pid, signal.SIGKILL)
        rest = writer.stdout.read().split("\n")
        acknowledged = max([acknowledged, *(int(line) for line in rest[:-1] if line)])
        writer.wait()
        extents = ExtentMap(path)
        held = dict(extents.placed("vol"))
        extents.close()
        # Both extents of each transaction, or neither; none that was acknowledged is missing.
        assert len(held) % 2 == 0 and set(held) == set(range(len(held)))
        assert len(held) // 2 - 1 >= acknowledged
        assert all(shard == extent // 2 % 7 for extent, shard in held.items())
        begun = len(held) // 2


def test_what_is_no_map_is_turned_down(tmp_path):
    (tmp_path / "map").mkdir()
    (tmp_path / "map" / "data.mdb").write_bytes(b"nonsense" * 2000)
    with pytest.raises(ExtentMapError):
        ExtentMap(str(tmp_path / "map"))


def test_what_is_placed_anew_leaves_bytes_behind_until_they_are_forgotten(tmp_path):
    path = str(tmp_path / "map")
    one = ExtentMap(path)
    one.place([("v", 1, 3), ("v", 2, 3), ("w\u00ff", 1, 3)])
    assert one.left("v") == []
    one.place([("v", 1, 5), ("v", 2, 5), ("w\u00ff", 1, 4)])
    one.place([("v", 1, 6)])
    one.close()
    two = ExtentMap(path)
    assert two.left("v") == [(1, 3), (1, 5), (2, 3)] and two.left("w\u00ff") == [(1, 3)]
    assert list(two.placed("v")) == [(1, 6), (2, 5)] and list(two.placed("w\u00ff")) == [(1, 4)]
    two.forgot("v", 1, 3)
    two.place([("v", 2, 3)])  # back where it was: in use, not left behind
    two.place([("v", 2, 3)])
    assert two.left("v") == [(1, 5), (2, 5)]
    two.close()
    three = ExtentMap(path)
    assert three.left("v") == [(1, 5), (2, 5)] and three.shard_of("v", 2) == 3
    three.close()


def test_an_older_map_is_taken_over(tmp_path):
    path = str(tmp_path / "map")
    one = ExtentMap(path)
    one.place([("v", 1, 3)])
    with one._env.begin(write=True) as change:
        change.put(b"format", b"1")
    one.close()
    two = ExtentMap(path)
    assert list(two.placed("v")) == [(1, 3)]
    with two._env.begin() as look:
        assert look.get(b"format") == b"2"
    two.close()
