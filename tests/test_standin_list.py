"""The list service as a process: each entrance serves its own nodes, and follows changes of the file."""

import json
import signal
import subprocess
import sys
import time
import urllib.request

import pytest

from harriertrack.lab.fleet.processes import LoopbackAddresses
from harriertrack.membership import consul
from harriertrack.rules import recording as rec

COMMAND = [sys.executable, "-m", "harriertrack", "standin", "list"]


def settings_text(places, nodes):
    entrances = "".join(
        f'(entrance "{name}" (listen "{host}" {port})' + "".join(
            f' (node "{node}" (address "10.0.0.1" {where}) (shard 0) (state {state}))' for node, where, state in nodes[name]
        ) + ")" for name, (host, port) in places.items()
    )  # fmt: skip
    return f"(list-service {entrances})"


def query(place, index=0):
    url = f"http://{place[0]}:{place[1]}" + consul.query_target("shelf", index, 2_000_000)
    request = urllib.request.Request(url, headers={"User-Agent": "harriertrack/2a"})
    with urllib.request.urlopen(request, timeout=10) as response:
        return consul.parse_members(response.read()), int(response.headers["X-Consul-Index"])


@pytest.mark.real_time
def test_entrances_serve_their_own_nodes_and_follow_the_file(tmp_path):
    ports = LoopbackAddresses()
    places = {"a": ports.next(), "b": ports.next()}
    path, record = tmp_path / "list.sexp", tmp_path / "list.rec"
    path.write_text(settings_text(places, {"a": [("n0", 1, "up"), ("n1", 2, "up")], "b": [("n0", 9, "up")]}))
    process = subprocess.Popen(
        [*COMMAND, str(path), "--record", str(record)], stderr=subprocess.PIPE, text=True
    )
    try:
        deadline = time.monotonic() + 30
        while True:
            try:
                first, index = query(places["a"])
                break
            except OSError:
                assert time.monotonic() < deadline and process.poll() is None
                time.sleep(0.05)
        assert [(one.entry.node, one.address[1]) for one in first] == [("n0", 1), ("n1", 2)]
        assert [one.address[1] for one in query(places["b"])[0]] == [9]
        path.write_text("(list-service (entrance")  # half written: the previous lists stay in use
        path.write_text(settings_text(places, {"a": [("n0", 1, "draining")], "b": [("n0", 9, "up")]}))
        while len({one.entry.state.value for one in first}) < 2:
            assert time.monotonic() < deadline
            first, index = query(places["a"], index)
        assert {one.entry.node: one.entry.state.value for one in first}["n0"] == "draining"
    finally:
        process.send_signal(signal.SIGTERM)
        process.communicate(timeout=30)
    assert process.returncode == 0
    sent = [one for one in rec.read(str(record)) if isinstance(one, rec.NodeListed)]
    assert {one.head for one in sent} == {0x2A} and "draining" in {one.state for one in sent}
    assert json.loads(record.read_bytes().splitlines()[0])["what"] == "told"


@pytest.mark.parametrize(("bad", "why"), [
    ("(head)", "list-service"),
    ('(list-service (entrance "a" (listen "x" 1)) (entrance "a" (listen "x" 2)))', "twice"),
    ("(list-service (exit))", "exit"),
])  # fmt: skip
def test_a_bad_file_is_refused_in_one_line(tmp_path, bad, why):
    path = tmp_path / "list.sexp"
    path.write_text(bad)
    done = subprocess.run([*COMMAND, str(path)], capture_output=True, text=True)
    assert done.returncode == 2 and why in done.stderr and done.stderr.count("\n") == 1
