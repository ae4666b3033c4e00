"""A head as a process keeps within its memory, whatever its nodes and clients hold it to."""

import pytest

from harriertrack.standin.platform import answer
from tests.endings.process_site import ProcessSite
from tests.test_platform import MS

SECONDS, RATE = 5, 150  # requests a second
BODY = b"x" * 65_536
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
