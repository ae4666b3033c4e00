"""A head that is a process on loopback, with its nodes, discovery and usual clients on the test's hub."""

import copy
import random
from pathlib import Path

from harriertrack.lab.fleet.processes import LoopbackAddresses
from harriertrack.runtime.hub import DeadlineExceeded, Hub
from harriertrack.runtime.streams import SocketNetwork
from harriertrack.standin.platform import PlatformDiscovery, PlatformNode, answer, read_message
from tests.test_platform import MS, SETTINGS
from tests.test_platform_process import config, start

NODES = 16
DEADLINE_US = 1400 * MS
READY_US = 30_000 * MS


class ProcessSite:
    """A head process and what is around it; `run` runs a test in it, and samples the head's memory meanwhile."""

    def __init__(self, tmp_path, memory_mb, sockets=600):
        self.hub = Hub(seed=1)
        self.net, self.place = SocketNetwork(self.hub), LoopbackAddresses().next()
        self.tmp_path, self.memory_mb, self.sockets = tmp_path, memory_mb, sockets
        self.random = random.Random(7)
        self.highest, self.process = 0, None
        self.discovery = PlatformDiscovery(self.hub, self.net)
        self.nodes = [PlatformNode(self.hub, self.net, self.answer) for _ in range(NODES)]
        for shard, node in enumerate(self.nodes):
            self.discovery.set_server(f"s{shard}", node.address, shard)

    def answer(self, _got):
        """Return what a node answers."""
        return answer(b"goal")

    def request(self, number, writes=False, body=b""):
        """Return a request of a usual client."""
        head = (
            f"{'PUT /note' if writes else 'GET /look'}?object=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: h\r\n"
            f"X-Qos-Policy: gold\r\nX-Expires-In-Ms: {DEADLINE_US // MS}\r\nX-Trace-Id: {number:016x}\r\n"
            f"X-Placement: volume={number % 60:016x},units=1,shard={number % NODES},hosts=1\r\n"
        )
        if writes:
            head += f"Idempotency-Key: k{number}\r\nContent-Length: {len(body)}\r\n"
        return head.encode() + b"\r\n" + body

    def exchange(self, stream, message):
        """Send a request; return the status of its answer, 0 if there is none in time and some more."""
        try:
            stream.write(message)
            head, _, _ = read_message(stream, b"", self.hub.now() + DEADLINE_US + 1_000 * MS)
            return int(head.split(b" ")[1]) if head else 0
        except (OSError, DeadlineExceeded):
            return 0

    def connect(self):
        """Open a connection to the head; None if that fails."""
        try:
            return self.net.connect(self.place, self.hub.now() + 1_000 * MS)
        except (OSError, DeadlineExceeded):
            return None

    def _settings(self):
        given = config(self.place, self.discovery)
        settings = copy.deepcopy(SETTINGS)
        settings["familyInfo"]["slotsTotal"] = NODES
        limits = {"sockets": self.sockets, "memory_mb": self.memory_mb}
        return {**given, "settings": settings, "limits": limits}

    def _await_ready(self):
        until = self.hub.now() + READY_US
        while True:
            try:
                return self.net.connect(self.place).close()
            except ConnectionRefusedError:
                assert self.process.poll() is None and self.hub.now() < until, "the head does not listen"
                self.hub.sleep(20 * MS)

    def resident(self):
        """Return the resident bytes of the head: the process's own, and the pages of files."""
        lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        kib = [int(line.split()[1]) for line in lines if line.startswith(("RssAnon:", "RssFile:"))]
        return sum(kib) * 1024

    def _sample_memory(self):
        while self.process.poll() is None:
            self.highest = max(self.highest, self.resident())
            self.hub.sleep(20 * MS)

    def run(self, act):
        """Start everything, call `act`, and end the head; it must not have ended by itself."""
        self.hub.run(self._run, act)

    def _run(self, act):
        with self.hub.scope("site") as scope:
            for one in (*self.nodes, self.discovery):
                one.start(scope)
            self.process = start(self.tmp_path, self._settings())
            try:
                self._await_ready()
                scope.spawn("sample", self._sample_memory)
                act()
                assert self.process.poll() is None, "the head has ended"
            finally:
                self.process.kill()
                self.process.wait()
                self.process.stderr.close()
            scope.cancel()
