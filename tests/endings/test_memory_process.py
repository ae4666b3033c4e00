"""A head as a process keeps within its memory, whatever its nodes and clients hold it to."""

import json

import pytest

from harriertrack.standin.platform import PlatformNode, answer
from tests.endings.process_site import ProcessSite
from tests.test_platform import MS

SECONDS, RATE = 5, 150  # requests a second
BODY = b"x" * 65_536
LONG_LIST_BYTES = (4 << 20) - 1_000  # below what any head takes
UNFINISHED_BYTES = 700_000  # of an answer that never ends: below what one answer may have
UNFINISHED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n" % UNFINISHED_BYTES
    + b"n" * UNFINISHED_BYTES
)


class Load(ProcessSite):
    """Clients of which some send half a request, and nodes of which some never end an answer."""

    def __init__(self, tmp_path, memory_mb, unfinished, partial, large):
        super().__init__(tmp_path, memory_mb)
        self.unfinished, self.partial, self.large = unfinished, partial, large
        self.statuses = {}

    def answer(self, _got):
        if self.random.random() < self.unfinished:
            return UNFINISHED
        return answer(BODY if self.random.random() < self.large else b"goal")

    def ask(self, number):
        """Send a request, or one without its last byte, and wait for the answer or the end."""
        status, writes = 0, self.random.random() < 0.5
        body = BODY if writes and self.random.random() < self.large else b""
        request = self.request(number, writes, body)
        if self.random.random() < self.partial:
            request = self.request(number, True, BODY)[:-1]
        if (stream := self.connect()) is not None:
            status = self.exchange(stream, request)
            stream.close()
        self.statuses[status] = self.statuses.get(status, 0) + 1

    def ask_all(self):
        """Send all requests, and wait for all of them."""
        with self.hub.scope("clients") as clients:
            for number in range(SECONDS * RATE):
                clients.spawn("client", self.ask, number)
                self.hub.sleep(1_000 * MS // RATE)


@pytest.mark.real_time
@pytest.mark.parametrize("memory_mb", [48, 96])
@pytest.mark.parametrize(
    ("unfinished", "partial", "large"),
    [(0.3, 0.0, 0.0), (0.0, 0.4, 0.0), (0.0, 0.0, 1.0), (0.15, 0.2, 0.3)],
    ids=["answers never end", "half requests", "longest bodies", "all together"],
)
def test_a_head_keeps_within_its_memory(tmp_path, memory_mb, unfinished, partial, large):
    """Guards against a head that the platform kills, as answers and requests take more than its memory."""
    load = Load(tmp_path, memory_mb, unfinished, partial, large)
    load.run(load.ask_all)
    assert load.highest < memory_mb * (1 << 20), f"{load.highest >> 20} MiB of {memory_mb}, {load.statuses}"
    assert load.statuses.get(200, 0) > SECONDS * RATE // 10


class LongLists(ProcessSite):
    """Discovery that answers each call with a very long list, whole or without its last bytes."""

    def __init__(self, tmp_path, is_whole):
        super().__init__(tmp_path, 32)
        self.is_whole = is_whole
        self.source = PlatformNode(self.hub, self.net, self.long_list)
        self.nodes.append(self.source)  # started with the nodes

    def long_list(self, _got):
        content = json.dumps(self.discovery.full_list()).encode()
        message = answer(content + b" " * (LONG_LIST_BYTES - len(content)))
        return message if self.is_whole else message[:-100]

    def _settings(self):
        return {**super()._settings(), "discovery": "{}:{}".format(*self.source.address)}


@pytest.mark.real_time
@pytest.mark.parametrize("is_whole", [True, False])
def test_lists_that_would_fill_the_memory_are_not_taken_and_the_head_serves_on(tmp_path, is_whole):
    """Guards against lists of nodes that are bounded one by one, whatever memory the process has."""
    site = LongLists(tmp_path, is_whole)

    def act():
        statuses = set()
        for number in range(80):
            stream = site.connect()
            statuses.add(site.exchange(stream, site.request(number)))
            stream.close()
            site.hub.sleep(100 * MS)
        assert statuses == {200} and len(site.source.requests) > 2

    site.run(act)
    assert site.highest < 32 << 20, f"{site.highest >> 20} MiB"
