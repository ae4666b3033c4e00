"""Time to ready of heads that restart side by side, as processes: `python -m benchmarks.restarts [HEADS]`.

All heads come up, are killed at once, and start again at once; a head is ready when it answers so. Then as
many processes side by side that do no more than import what a head imports. All times count from the moment
before the first of the processes is started.
"""

from __future__ import annotations

import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from benchmarks.platform import SETTINGS
from harriertrack.lab.fleet.processes import LoopbackAddresses
from harriertrack.runtime.hub import Hub
from harriertrack.runtime.streams import SocketNetwork
from harriertrack.standin.platform import PlatformDiscovery, PlatformNode, answer, read_message

BOUND_S = 10.0  # the users' bound for nine in ten restarted heads
PATIENCE_S = 30.0  # their bound for each start
LOOK_US = 5_000
RUN = [sys.executable, "-B", "-m", "harriertrack.service"]
# The monotonic clock is one for all processes of a machine.
IMPORT = "import harriertrack.service.__main__, time; print(time.monotonic())"
ASK_READY = b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n"


class Heads:
    """Heads as processes on loopback, with nodes and a discovery of this process."""

    def __init__(self, count: int, folder: Path) -> None:
        self._hub = Hub()
        self._net = SocketNetwork(self._hub)
        self._nodes = [PlatformNode(self._hub, self._net, lambda got: answer(b"x")) for _ in range(8)]
        self._discovery = PlatformDiscovery(self._hub, self._net)
        for cell, node in enumerate(self._nodes):
            self._discovery.set_server(f"s{cell}", node.address, cell)
        # Any connection may take a port that was free a moment ago; these addresses are this process's own.
        addresses = LoopbackAddresses()
        self._folder, self._places = folder, [addresses.next() for _ in range(count)]
        self._processes: list[subprocess.Popen[bytes]] = []

    def measure(self) -> list[float]:
        """Start all heads, kill all, and return the seconds that each took to be ready again."""
        return self._hub.run(self._play)

    def _play(self) -> list[float]:
        with self._hub.scope("restarts") as scope:
            for one in (*self._nodes, self._discovery):
                one.start(scope)
            try:
                self._start()
                self._kill()
                return self._start()
            finally:
                self._kill()
                scope.cancel()

    def _start(self) -> list[float]:
        begun, ready = time.monotonic(), [0.0] * len(self._places)
        for environment in [self._environment(place) for place in self._places]:
            self._processes.append(subprocess.Popen(RUN, env=environment, stderr=subprocess.DEVNULL))
        with self._hub.scope("ready") as scope:
            for number, place in enumerate(self._places):
                scope.spawn("ready", self._until_ready, number, place, ready)
        return [then - begun for then in ready]

    def _until_ready(self, number: int, place: tuple[str, int], ready: list[float]) -> None:
        until = time.monotonic() + PATIENCE_S
        while time.monotonic() < until:
            try:
                stream = self._net.connect(place)
                stream.write(ASK_READY)
                head, _, _ = read_message(stream, b"")
                stream.close()
                if b" 200 " in head:
                    ready[number] = time.monotonic()
                    return
            except ConnectionError:
                pass
            self._hub.sleep(LOOK_US)
        raise TimeoutError(f"{place} is not ready")

    def _kill(self) -> None:
        for process in self._processes:
            process.kill()
        for process in self._processes:
            process.wait()
        self._processes = []

    def _environment(self, place: tuple[str, int]) -> dict[str, str]:
        name, listen = f"n{place[1]}", "{}:{}".format(*place)
        path = self._folder / f"{name}.json"
        discovery = f"127.0.0.1:{self._discovery.address[1]}"
        given = {
            "name": name, "listen": listen, "discovery": discovery, "seed": "1",
            "limits": {"sockets": 512}, "known": self._discovery.full_list(),
            "settings": {**SETTINGS, "discovery": "pushed"},
        }  # fmt: skip
        path.write_text(json.dumps(given))
        told = {"NAME": name, "LISTEN": listen, "DISCOVERY": discovery, "CONFIG": str(path)}
        return {**os.environ, **{f"PROXY_{name}": value for name, value in told.items()}}


def import_times(count: int) -> list[float]:
    """Return the seconds after which so many processes side by side have imported what a head does."""
    begun = time.monotonic()
    processes = [
        subprocess.Popen([sys.executable, "-B", "-c", IMPORT], stdout=subprocess.PIPE, text=True)
        for _ in range(count)
    ]
    return [float(process.communicate()[0]) - begun for process in processes]


def told(name: str, times: list[float]) -> str:
    """Return a line on some times."""
    within = sum(one <= BOUND_S for one in times)
    return (
        f"{name}: median {statistics.median(times):.2f} s, largest {max(times):.2f} s, "
        f"{within} of {len(times)} within {BOUND_S:.0f} s"
    )


def main() -> None:
    """Measure both and tell them beside the machine's load."""
    counts = [int(sys.argv[1])] if len(sys.argv) > 1 else [30, 1]
    print(f"load {os.getloadavg()[0]:.1f} before, {os.cpu_count()} processors")
    for count in counts:
        with tempfile.TemporaryDirectory(prefix="harriertrack-") as folder:
            ready = Heads(count, Path(folder)).measure()
        imports = import_times(count)
        print(told(f"{count} heads ready again", ready))
        print(told(f"{count} processes that import alone", imports))
        print(f"imports are {statistics.median(imports) / statistics.median(ready):.0%} of the median")


if __name__ == "__main__":
    main()
