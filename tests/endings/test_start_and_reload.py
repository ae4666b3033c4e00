"""Signals at each moment of a process's start, and new configurations that can't be used, over loopback sockets.

The process is started as the platform does, by `run` of the deploy file. Instants of a start are read off the
kernel: the program has taken the shell's place, the signals are blocked, their handlers stand.
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

from harriertrack.lab.fleet.processes import Places
from harriertrack.runtime.hub import Hub
from harriertrack.runtime.streams import SocketNetwork
from harriertrack.standin.platform import PlatformDiscovery, PlatformNode, answer, read_message
from tests.test_platform import MS, SETTINGS, VOLUME

ROOT = Path(__file__).parents[2]
RUN = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"].replace(
    ".venv/bin/python", sys.executable
)
PATIENCE_US = 30_000_000
BOTH_BLOCKED = 1 << (signal.SIGHUP - 1) | 1 << (signal.SIGTERM - 1)
REQUEST = (
    "GET /look?object=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: h\r\nX-Qos-Policy: gold\r\nX-Expires-In-Ms: 250\r\n"
    f"X-Placement: volume={VOLUME},units=1,shard=0,hosts=1\r\nX-Trace-Id: "
)


class ProcessSite:
    """A head as a process; its shelf and two sources of the list are here."""

    def __init__(self, tmp_path, hub, scope):
        self.hub, self.net, self.place, self.number = hub, SocketNetwork(hub), Places().next(), 0
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
        for lane in settings["lanes"]:  # so it leaves within 0.8 s
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
        """Replace the file as a whole: the process may be reading it."""
        fresh = self.path.with_suffix(".new")
        fresh.write_text(json.dumps(self.given) if text is None else text)
        fresh.replace(self.path)

    def logged(self):
        return self.log.read_text()

    def until(self, holds):
        deadline = self.hub.now() + PATIENCE_US
        while not holds():
            assert self.hub.now() < deadline, f"the condition never held; {self.logged()}"
            self.hub.sleep(1 * MS)

    def status(self, name):
        """Return a mask of the process's signals as the kernel has it."""
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(rf"^{name}:\s*([0-9a-f]+)", text, re.MULTILINE)[1], 16)

    def state(self):
        """Return the process's state, T where it is stopped."""
        return Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()[0]

    def replaced(self):
        """Whether the program has taken the shell's place."""
        return b"harriertrack.service" in Path(f"/proc/{self.process.pid}/cmdline").read_bytes().split(b"\0")

    def blocked(self):
        return self.status("SigBlk") & BOTH_BLOCKED == BOTH_BLOCKED

    def handled(self):
        return self.status("SigCgt") & BOTH_BLOCKED == BOTH_BLOCKED

    def ready(self):
        return "\nready" in "\n" + self.logged()

    def serves(self):
        self.number += 1
        stream = self.net.connect(self.place)
        stream.write(f"{REQUEST}{self.number:016x}\r\n\r\n".encode())
        head, body, _ = read_message(stream, b"", self.hub.now() + 5_000_000)
        stream.close()
        return (int(head.split(b" ")[1]), body) == (200, b"goal")

    def send(self, *signals):
        for number in signals:
            self.process.send_signal(number)

    def is_refused(self):
        """Send SIGHUP; wait for the line that refuses the file, and see that the head serves on."""
        before = self.logged().count("configuration not taken")
        self.send(signal.SIGHUP)
        self.until(lambda: self.logged().count("configuration not taken") > before)
        assert self.serves()

    def leaves(self):
        self.until(lambda: self.process.poll() is not None)
        assert self.process.returncode == 0, self.logged()
        assert "leaving" in self.logged() and "Traceback" not in self.logged()


@contextmanager
def ended(process_site):
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
            with ended(site):
                act(site)
            scope.cancel()

    hub.run(main)


START = {"replaced": ProcessSite.replaced, "blocked": ProcessSite.blocked, "handled": ProcessSite.handled}


@pytest.mark.real_time
@pytest.mark.parametrize("later_us", [0, 30 * MS, 100 * MS])
@pytest.mark.parametrize("moment", START)
def test_a_new_configuration_at_any_moment_of_a_start_is_followed(tmp_path, moment, later_us):
    def act(site):
        site.start()
        site.until(lambda: START[moment](site))
        site.hub.sleep(later_us)
        site.given["discovery"] = f"127.0.0.1:{site.fresh.address[1]}"
        site.write()
        site.send(signal.SIGHUP, signal.SIGHUP)
        site.until(lambda: site.fresh.calls and site.ready())
        assert site.serves()
        site.send(signal.SIGHUP, signal.SIGTERM)
        site.leaves()

    play(tmp_path, act)


@pytest.mark.real_time
def test_a_start_tells_its_first_step_and_has_one_thread(tmp_path):
    """Seen twice: a process that stood in a futex at its start, with no line in its log. One thread waits for no other."""

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
@pytest.mark.parametrize("moment", ["blocked", "handled"])
def test_a_head_that_is_asked_to_leave_while_it_starts_leaves_in_order(tmp_path, moment, signals):
    def act(site):
        site.start()
        site.until(lambda: START[moment](site))
        site.send(*signals)
        site.leaves()

    play(tmp_path, act)


@pytest.mark.real_time
def test_no_file_that_comes_with_a_reload_hurts_a_running_head(tmp_path):
    """Each that can't be used is refused whole, in one line; the running configuration stays, and is replaced
    by the next one that can be used."""

    def act(site):
        site.start()
        site.until(site.ready)
        whole = json.dumps(site.given)
        moved = whole.replace(site.given["discovery"], f"127.0.0.1:{site.fresh.address[1]}")
        wrong = ["", "{", moved[: len(moved) // 2], moved.replace(site.given["listen"], "127.0.0.1:9"),
                 moved.replace('"n1"', '"n2"'), moved.replace('"permissions": {', '"permissions": [{}], "x": {'),
                 moved.replace('"nInstances": 2', '"nInstances": null'), '{"settings":' * 100_000]  # fmt: skip
        assert len({moved, *wrong}) == len(wrong) + 1
        for text in wrong:
            site.write(text)
            site.is_refused()
        site.path.unlink()
        site.path.mkdir()
        site.is_refused()
        assert site.logged().count("configuration not taken") == len(wrong) + 1 and not site.fresh.calls
        site.path.rmdir()
        site.write(moved)
        site.send(signal.SIGHUP)
        site.until(lambda: site.fresh.calls)
        assert site.serves() and len(site.logged().split("\n")) < 30
        site.send(signal.SIGTERM)
        site.leaves()

    play(tmp_path, act)
