"""Heads as processes that are killed at once, each at another instant of its client's request, and start again."""

import time

import pytest

from harriertrack.lab.fleet.processes import Places
from harriertrack.runtime.hub import Hub
from harriertrack.runtime.streams import SocketNetwork
from harriertrack.standin.platform import NO_RESPONSE, PlatformDiscovery, PlatformNode, answer, read_message
from tests.test_platform import VOLUME
from tests.test_platform_process import config, start

MS = 1000
PATIENCE_S = 60  # no healthy start needs it, also on a busy machine
REQUESTS = 4  # on one connection to the later life


def request(number):
    return (
        f"GET /look?object={number:016x} HTTP/1.1\r\nHost: h\r\nX-Qos-Policy: gold\r\nX-Expires-In-Ms: 1400\r\n"
        f"X-Placement: volume={VOLUME},units=1,shard=0,hosts=1\r\nX-Trace-Id: {number:016x}\r\n\r\n"
    ).encode()


class Restarts:
    """A node, discovery and five heads; each head has one client that repeats until it is served."""

    def __init__(self, folder):
        self.hub = Hub()
        self.net = SocketNetwork(self.hub)
        self.mute, self.number = True, 0
        self.shelf = PlatformNode(self.hub, self.net, self.serve, delay_us=1 * MS)
        self.discovery = PlatformDiscovery(self.hub, self.net)
        self.discovery.set_server("s0", self.shelf.address, 0)
        places = Places()
        self.places = [places.next() for _ in range(5)]
        self.folders = [folder / f"n{number}" for number in range(5)]
        self.processes = []
        for one in self.folders:
            one.mkdir()

    def serve(self, got):
        held = self.mute and got.fields["x-trace-id"].startswith("f")
        return NO_RESPONSE if held else answer(got.fields["x-trace-id"].encode())

    def until(self, holds):
        deadline = time.monotonic() + PATIENCE_S
        while not holds():
            assert time.monotonic() < deadline, "the condition never held"
            self.hub.sleep(2 * MS)

    def start(self):
        self.processes = [
            start(folder, config(place, self.discovery))
            for folder, place in zip(self.folders, self.places, strict=True)
        ]

    def kill(self):
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.communicate()

    def ask(self, stream, message):
        """Return (status, body) of one answer, None where the connection ends without a whole one."""
        try:
            stream.write(message)
            head, body, more = read_message(stream, b"", self.hub.now() + PATIENCE_S * 1000 * MS)
        except ConnectionError:
            return None
        assert not more, "more than one answer"
        return (int(head.split(b" ")[1]), body) if head else None

    def fresh(self):
        """Return the number of a new try."""
        self.number += 1
        return self.number

    def repeat(self, place, stream=None):
        """Try until served, on a new connection after each end; return the connection that served."""
        deadline = time.monotonic() + PATIENCE_S
        while True:
            assert time.monotonic() < deadline, "it never served"
            number = self.fresh()
            try:
                stream = stream or self.net.connect(place)
                got = self.ask(stream, request(number))
            except ConnectionError:
                stream = got = None
            if got is None:
                stream = None
            elif got[0] == 200:
                assert got[1] == b"%016x" % number
                return stream
            self.hub.sleep(20 * MS)

    def later_life(self, place, served):
        """Repeat the first request, then go on over the connection that served it."""
        stream = self.repeat(place)
        for _ in range(REQUESTS - 1):
            stream = self.repeat(place, stream)
        assert self.ask(stream, b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n") == (200, b"ready\n")
        served.append(place)

    def ended(self, stream):
        """Read a connection of the earlier life to its end; return what came."""
        data = b""
        try:
            while more := stream.read(self.hub.now() + PATIENCE_S * 1000 * MS):
                data += more
        except ConnectionError:
            pass
        return data


@pytest.mark.real_time
def test_heads_killed_at_five_instants_of_a_request_serve_each_repeat_once_in_their_next_life(tmp_path):
    site = Restarts(tmp_path)
    held = request(0xF << 60)  # the node gets it and does not answer

    def earlier_life():
        """Bring each head's client to another instant; return the connections."""
        for place in site.places:
            site.repeat(place).close()
        streams = [site.net.connect(place) for place in site.places]
        streams[4] = site.repeat(site.places[4], streams[4])
        streams[1].write(held[:40])  # half a line
        streams[3].write(held)
        site.until(lambda: any(got.fields["x-trace-id"].startswith("f") for got in site.shelf.requests))
        streams[2].write(held)  # whole, and read or not; the kill comes next
        return streams

    def main():
        with site.hub.scope("test") as scope:
            site.shelf.start(scope)
            site.discovery.start(scope)
            site.start()
            try:
                streams = earlier_life()
                streams.append(site.net.connect(site.places[0]))  # at most accepted
                site.kill()
                assert all(site.ended(stream).count(b"HTTP/1.1") <= 1 for stream in streams)
                site.mute, before, served = False, len(site.shelf.requests), []
                with site.hub.scope("clients") as clients:
                    for place in site.places:
                        clients.spawn("client", site.later_life, place, served)
                    site.hub.sleep(50 * MS)  # they are refused meanwhile
                    site.start()
                assert sorted(served) == sorted(site.places)
                traces = [got.fields["x-trace-id"] for got in site.shelf.requests[before:]]
                assert len(traces) == len(set(traces)) >= 5 * REQUESTS
            finally:
                site.kill()
            scope.cancel()

    site.hub.run(main)
