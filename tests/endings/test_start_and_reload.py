"""Signals at each stage of a process's start, and invalid new configurations, over loopback sockets.

The process is started as on the platform, by `run` of the deploy file. The stages of a start are read from the
kernel: the program has replaced the shell, the signals are blocked, their handlers are installed.
"""

import json
import os
import re
import signal
import subprocess
import sys
import tomllib
from contextlib import contextmanager
from pathlib import Path

import pytest

from harriertrack.lab.fleet.processes import LoopbackAddresses
from harriertrack.runtime.hub import Hub
from harriertrack.runtime.streams import SocketNetwork
from harriertrack.standin.platform import PlatformDiscovery, PlatformNode, answer, read_message
from tests.test_platform import MS, SETTINGS, VOLUME

ROOT = Path(__file__).parents[2]
RUN = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"].replace(
    ".venv/bin/python", sys.executable
)
TIMEOUT_US = 30_000_000
BOTH_SIGNALS = 1 << (signal.SIGHUP - 1) | 1 << (signal.SIGTERM - 1)
REQUEST = (
    "GET /look?object=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: h\r\nX-Qos-Policy: gold\r\nX-Expires-In-Ms: 250\r\n"
    f"X-Placement: volume={VOLUME},units=1,shard=0,hosts=1\r\nX-Trace-Id: "
)


class ProcessSite:
    """A head as a process; its storage node and two sources of the list run in the test."""

    def __init__(self, tmp_path, hub, scope):
        self.hub, self.net, self.place, self.number = hub, SocketNetwork(hub), LoopbackAddresses().next(), 0
        self.scope = scope
        self.shelf = PlatformNode(hub, self.net, lambda got: answer(b"goal"), delay_us=1000)
        self.old, self.fresh = PlatformDiscovery(hub, self.net), PlatformDiscovery(hub, self.net)
        for one in (self.shelf, self.old, self.fresh):
            one.start(scope)
        for one in (self.old, self.fresh):
            one.set_server("s0", self.shelf.address, 0)
        self.path, self.log = tmp_path / "config.json", tmp_path / "log"
        self.process = None
        settings = json.loads(json.dumps(SETTINGS))
        for lane in settings["lanes"]:  # so that it shuts down within 0.8 s
            lane |= {"aimUs": 100 * MS, "giveUpUs": 250 * MS}
        self.given = {
            "name": "n1", "listen": "{}:{}".format(*self.place), "discovery": f"127.0.0.1:{self.old.address[1]}",
            "seed": "1f", "limits": {"sockets": 256}, "known": self.old.full_list(), "settings": settings,
        }  # fmt: skip

    def start(self, command=("/bin/sh", "-c", RUN)):
        self.write()
        environment = {**os.environ, "PROXY_NAME": "n1", "PROXY_LISTEN": self.given["listen"],
                       "PROXY_DISCOVERY": "x", "PROXY_CONFIG": str(self.path)}  # fmt: skip
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stderr=log)

    def write(self, text=None):
        """Replace the file atomically: the process may be reading it."""
        new_path = self.path.with_suffix(".new")
        new_path.write_text(json.dumps(self.given) if text is None else text)
        new_path.replace(self.path)

    def logged(self):
        return self.log.read_text()

    def until(self, condition):
        deadline = self.hub.now() + TIMEOUT_US
        while not condition():
            assert self.hub.now() < deadline, f"the condition never became true; {self.logged()}"
            self.hub.sleep(1 * MS)

    def signal_mask(self, name):
        """Return a signal mask of the process, as the kernel reports it."""
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(rf"^{name}:\s*([0-9a-f]+)", text, re.MULTILINE)[1], 16)

    def state(self):
        """Return the process's state in one letter; T: stopped."""
        return Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()[0]

    def has_replaced_shell(self):
        """Whether the program has replaced the shell."""
        return b"harriertrack.service" in Path(f"/proc/{self.process.pid}/cmdline").read_bytes().split(b"\0")

    def blocks_signals(self):
        return self.signal_mask("SigBlk") & BOTH_SIGNALS == BOTH_SIGNALS

    def handles_signals(self):
        return self.signal_mask("SigCgt") & BOTH_SIGNALS == BOTH_SIGNALS

    def ready(self):
        return "\nready" in "\n" + self.logged()

    def serves_a_request(self):
        self.number += 1
        stream = self.net.connect(self.place)
        stream.write(f"{REQUEST}{self.number:016x}\r\n\r\n".encode())
        head, body, _ = read_message(stream, b"", self.hub.now() + 5_000_000)
        stream.close()
        return (int(head.split(b" ")[1]), body) == (200, b"goal")

    def send(self, *signals):
        for number in signals:
            self.process.send_signal(number)

    def assert_reload_refused(self):
        """Send SIGHUP; wait for the log line that refuses the file, and check that the head still serves."""
        before = self.logged().count("configuration not taken")
        self.send(signal.SIGHUP)
        self.until(lambda: self.logged().count("configuration not taken") > before)
        assert self.serves_a_request()

    def assert_shuts_down(self):
        self.until(lambda: self.process.poll() is not None)
        assert self.process.returncode == 0, self.logged()
        assert "leaving" in self.logged() and "Traceback" not in self.logged()


@contextmanager
def killed_at_end(process_site):
    try:
        yield
    finally:
        if process_site.process is not None:
            process_site.process.kill()
            process_site.process.wait()


def play(tmp_path, act):
    hub = Hub()

    def main():
        with hub.scope("test") as scope:
            site = ProcessSite(tmp_path, hub, scope)
            with killed_at_end(site):
                act(site)
            scope.cancel()

    hub.run(main)


START_STAGES = {
    "replaced": ProcessSite.has_replaced_shell,
    "blocked": ProcessSite.blocks_signals,
    "handled": ProcessSite.handles_signals,
}


@pytest.mark.real_time
@pytest.mark.parametrize("later_us", [0, 30 * MS, 100 * MS])
@pytest.mark.parametrize("stage", START_STAGES)
def test_a_new_configuration_at_any_stage_of_a_start_is_applied(tmp_path, stage, later_us):
    def act(site):
        site.start()
        site.until(lambda: START_STAGES[stage](site))
        site.hub.sleep(later_us)
        site.given["discovery"] = f"127.0.0.1:{site.fresh.address[1]}"
        site.write()
        site.send(signal.SIGHUP, signal.SIGHUP)
        site.until(lambda: site.fresh.calls and site.ready())
        assert site.serves_a_request()
        site.send(signal.SIGHUP, signal.SIGTERM)
        site.assert_shuts_down()

    play(tmp_path, act)


@pytest.mark.real_time
def test_a_start_logs_its_first_step_and_has_one_thread(tmp_path):
    """Twice, a starting process hung in a futex, with no line in its log; a single thread can't wait for another."""

    def act(site):
        site.start()
        site.until(site.ready)
        first, second = site.logged().split("\n")[:2]
        assert first.startswith("starting name=n1 ") and second.startswith("ready ")
        assert os.listdir(f"/proc/{site.process.pid}/task") == [str(site.process.pid)]

    play(tmp_path, act)


@pytest.mark.real_time
@pytest.mark.parametrize(
    "signals", [(signal.SIGTERM,), (signal.SIGTERM,) * 2, (signal.SIGHUP, signal.SIGTERM)]
)
@pytest.mark.parametrize("stage", ["blocked", "handled"])
def test_a_head_that_is_stopped_while_it_starts_shuts_down_cleanly(tmp_path, stage, signals):
    def act(site):
        site.start()
        site.until(lambda: START_STAGES[stage](site))
        site.send(*signals)
        site.assert_shuts_down()

    play(tmp_path, act)


@pytest.mark.real_time
def test_no_file_of_a_reload_harms_a_running_head(tmp_path):
    """Each invalid file is refused as a whole, with one log line; the configuration in use stays until the next
    valid one."""

    def act(site):
        site.start()
        site.until(site.ready)
        valid = json.dumps(site.given)
        moved = valid.replace(site.given["discovery"], f"127.0.0.1:{site.fresh.address[1]}")
        invalid = ["", "{", moved[: len(moved) // 2], moved.replace(site.given["listen"], "127.0.0.1:9"),
                 moved.replace('"n1"', '"n2"'), moved.replace('"permissions": {', '"permissions": [{}], "x": {'),
                 moved.replace('"nInstances": 2', '"nInstances": null'), '{"settings":' * 100_000]  # fmt: skip
        assert len({moved, *invalid}) == len(invalid) + 1
        for text in invalid:
            site.write(text)
            site.assert_reload_refused()
        site.path.unlink()
        site.path.mkdir()
        site.assert_reload_refused()
        assert site.logged().count("configuration not taken") == len(invalid) + 1 and not site.fresh.calls
        site.path.rmdir()
        site.write(moved)
        site.send(signal.SIGHUP)
        site.until(lambda: site.fresh.calls)
        assert site.serves_a_request() and len(site.logged().split("\n")) < 30
        site.send(signal.SIGTERM)
        site.assert_shuts_down()

    play(tmp_path, act)
