"""Head processes that are killed together, each at another stage of its client's request, and start again."""

import time

import pytest

from harriertrack.lab.fleet.processes import LoopbackAddresses
from harriertrack.runtime.hub import Hub
from harriertrack.runtime.streams import SocketNetwork
from harriertrack.standin.platform import NO_RESPONSE, PlatformDiscovery, PlatformNode, answer, read_message
from tests.test_platform import VOLUME
from tests.test_platform_process import config, start

MS = 1000
TIMEOUT_S = 60  # more than a start needs, even on a busy machine
REQUESTS = 4  # on one connection to the restarted head


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
        self.holding, self.number = True, 0
        self.shelf = PlatformNode(self.hub, self.net, self.serve, delay_us=1 * MS)
        self.discovery = PlatformDiscovery(self.hub, self.net)
        self.discovery.set_server("s0", self.shelf.address, 0)
        places = LoopbackAddresses()
        self.places = [places.next() for _ in range(5)]
        self.folders = [folder / f"n{number}" for number in range(5)]
        self.processes = []
        for path in self.folders:
            path.mkdir()

    def serve(self, got):
        is_held = self.holding and got.fields["x-trace-id"].startswith("f")
        return NO_RESPONSE if is_held else answer(got.fields["x-trace-id"].encode())

    def until(self, condition):
        deadline = time.monotonic() + TIMEOUT_S
        while not condition():
            assert time.monotonic() < deadline, "the condition never became true"
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

    def exchange(self, stream, message):
        """Send a request; return (status, body) of its answer, None if the connection ends without a complete one."""
        try:
            stream.write(message)
            head, body, more = read_message(stream, b"", self.hub.now() + TIMEOUT_S * 1000 * MS)
        except ConnectionError:
            return None
        assert not more, "more than one answer"
        return (int(head.split(b" ")[1]), body) if head else None

    def next_number(self):
        """Return a new request number."""
        self.number += 1
        return self.number

    def repeat_until_served(self, place, stream=None):
        """Send requests until one is served, on a new connection after each end; return the last connection."""
        deadline = time.monotonic() + TIMEOUT_S
        while True:
            assert time.monotonic() < deadline, "no request was served"
            number = self.next_number()
            try:
                stream = stream or self.net.connect(place)
                reply = self.exchange(stream, request(number))
            except ConnectionError:
                stream = reply = None
            if reply is None:
                stream = None
            elif reply[0] == 200:
                assert reply[1] == b"%016x" % number
                return stream
            self.hub.sleep(20 * MS)

    def use_restarted_head(self, place, served):
        """Repeat a request until it is served, then send more over the connection that served it."""
        stream = self.repeat_until_served(place)
        for _ in range(REQUESTS - 1):
            stream = self.repeat_until_served(place, stream)
        assert self.exchange(stream, b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n") == (200, b"ready\n")
        served.append(place)

    def read_to_end(self, stream):
        """Read a connection to the killed head up to its end; return the received bytes."""
        data = b""
        try:
            while more := stream.read(self.hub.now() + TIMEOUT_S * 1000 * MS):
                data += more
        except ConnectionError:
            pass
        return data


@pytest.mark.real_time
def test_heads_killed_at_five_stages_of_a_request_serve_each_repeat_once_after_their_restart(tmp_path):
    site = Restarts(tmp_path)
    held = request(0xF << 60)  # the node receives it and does not answer

    def prepare_connections():
        """Bring each head's client to another stage; return the connections."""
        for place in site.places:
            site.repeat_until_served(place).close()
        streams = [site.net.connect(place) for place in site.places]
        streams[4] = site.repeat_until_served(site.places[4], streams[4])
        streams[1].write(held[:40])  # half of the request line
        streams[3].write(held)
        site.until(lambda: any(got.fields["x-trace-id"].startswith("f") for got in site.shelf.requests))
        streams[2].write(held)  # complete, and perhaps not yet read when the kill follows
        return streams

    def main():
        with site.hub.scope("test") as scope:
            site.shelf.start(scope)
            site.discovery.start(scope)
            site.start()
            try:
                streams = prepare_connections()
                streams.append(site.net.connect(site.places[0]))  # accepted at most, without a request
                site.kill()
                assert all(site.read_to_end(stream).count(b"HTTP/1.1") <= 1 for stream in streams)
                site.holding, before, served = False, len(site.shelf.requests), []
                with site.hub.scope("clients") as clients:
                    for place in site.places:
                        clients.spawn("client", site.use_restarted_head, place, served)
                    site.hub.sleep(50 * MS)  # their connects are refused meanwhile
                    site.start()
                assert sorted(served) == sorted(site.places)
                traces = [got.fields["x-trace-id"] for got in site.shelf.requests[before:]]
                assert len(traces) == len(set(traces)) >= 5 * REQUESTS
            finally:
                site.kill()
            scope.cancel()

    site.hub.run(main)
