"""The platform's head as a process on loopback sockets."""

import json
import os
import signal
import socket
import subprocess
import sys
import time

import pytest

from harriertrack.lab.fleet.processes import LoopbackAddresses
from harriertrack.runtime.hub import Hub
from harriertrack.runtime.streams import SocketNetwork
from harriertrack.standin.platform import PlatformDiscovery, PlatformNode, answer, read_message
from tests.test_platform import SETTINGS, VOLUME

RUN = [sys.executable, "-m", "harriertrack.service"]


def start(tmp_path, given):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(given))
    environment = {**os.environ, "PROXY_NAME": "n1", "PROXY_LISTEN": given["listen"], "PROXY_DISCOVERY": "x",
                   "PROXY_CONFIG": str(path)}  # fmt: skip
    return subprocess.Popen(RUN, env=environment, stderr=subprocess.PIPE, text=True)


def config(place, discovery):
    return {"name": "n1", "listen": "{}:{}".format(*place), "discovery": f"127.0.0.1:{discovery.address[1]}",
            "seed": "1f", "limits": {"sockets": 256}, "known": discovery.full_list(), "settings": SETTINGS}  # fmt: skip


def test_imports_only_what_a_head_needs():
    code = "import sys, harriertrack.service.__main__; print(' '.join(sys.modules))"
    loaded = set(
        subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True
        ).stdout.split()
    )
    assert "httptools" in loaded
    unwanted = {"numpy", "lmdb", "scipy", "matplotlib", "ortools", "hdrh", "click", "structlog", "jinja2", "sexpdata",
                "asyncio", "threading", "harriertrack.gateway.front", "harriertrack.protocol.nbd.server",
                "harriertrack.protocol.nvme.controller", "harriertrack.storage.extents"}  # fmt: skip
    assert not loaded & (unwanted - {"threading"})


@pytest.mark.parametrize(("change", "expected"), [
    (lambda given: given["limits"].update(sockets=3), "limits.sockets"),
    (lambda given: given.update(settings={}), "lanes"),
])  # fmt: skip
def test_invalid_configuration_logs_one_line_and_exits_with_status_2(tmp_path, change, expected):
    hub = Hub()
    place, discovery = LoopbackAddresses().next(), PlatformDiscovery(hub, SocketNetwork(hub))
    given = config(place, discovery)
    change(given)
    process = start(tmp_path, given)
    _, output = process.communicate(timeout=30)
    assert (
        process.returncode == 2 and expected in output and "config.json" in output and output.count("\n") == 1
    )
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(place)


@pytest.mark.real_time
def test_head_serves_reloads_its_configuration_and_shuts_down(tmp_path):
    hub = Hub()
    net, place = SocketNetwork(hub), LoopbackAddresses().next()
    shelf = PlatformNode(hub, net, lambda got: answer(b"goal"), delay_us=1000)
    discovery, new_discovery = PlatformDiscovery(hub, net), PlatformDiscovery(hub, net)
    for one in (discovery, new_discovery):
        one.set_server("s0", shelf.address, 0)
    given = config(place, discovery)
    request = (
        f"GET /look?object=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: h\r\nX-Qos-Policy: gold\r\nX-Expires-In-Ms: 1400\r\n"
        f"X-Placement: volume={VOLUME},units=1,shard=0,hosts=1\r\nX-Trace-Id: "
    )

    def ask(stream, text):
        stream.write(text.encode())
        head, body, _ = read_message(stream, b"", hub.now() + 5_000_000)
        return int(head.split(b" ")[1]), body

    def connect_to_head():
        until = time.monotonic() + 30
        while True:
            try:
                return net.connect(place)
            except ConnectionRefusedError:
                assert time.monotonic() < until, "the head does not listen"
                hub.sleep(20_000)

    def main():
        with hub.scope("test") as scope:
            for one in (shelf, discovery, new_discovery):
                one.start(scope)
            process = start(tmp_path, given)
            try:
                stream = connect_to_head()
                assert ask(stream, "GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")[0] == 200
                assert ask(stream, f"{request}{1:016x}\r\n\r\n") == (200, b"goal")
                given["discovery"] = f"127.0.0.1:{new_discovery.address[1]}"
                (tmp_path / "config.json").write_text("{")
                process.send_signal(signal.SIGHUP)  # malformed: the previous one stays in force
                assert ask(stream, f"{request}{2:016x}\r\n\r\n") == (200, b"goal")
                (tmp_path / "config.json").write_text(json.dumps(given))
                process.send_signal(signal.SIGHUP)
                until = time.monotonic() + 30
                while not new_discovery.calls:
                    assert time.monotonic() < until, "the head does not call the new address of discovery"
                    hub.sleep(10_000)
                process.send_signal(signal.SIGTERM)
                assert ask(stream, f"{request}{3:016x}\r\n\r\n") == (200, b"goal")
                while process.poll() is None:
                    assert time.monotonic() < until, "the head does not exit"
                    hub.sleep(20_000)
                assert process.returncode == 0
                output = process.stderr.read()
                assert "configuration not taken" in output and "Traceback" not in output
            finally:
                process.kill()
                process.wait()
            scope.cancel()

    hub.run(main)
