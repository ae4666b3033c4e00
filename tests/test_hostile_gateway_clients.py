"""The gateway's fronts beside clients that send half requests, or unsound commands at full speed."""

from collections import Counter

import pytest

from harriertrack.protocol.nbd.wire import REQUEST, REQUEST_MAGIC, Command
from harriertrack.runtime.streams import SocketStream
from tests.test_head import play

MIB = 1 << 20


def command(kind, offset, length, data=b""):
    """Return a command as a client sends it."""
    return REQUEST.pack(REQUEST_MAGIC, 0, kind, 1, offset, length) + data


@pytest.mark.real_time
def test_a_peer_that_sends_at_full_speed_is_read_once_in_a_round():
    """Guards against a connection that is read for as long as its peer sends, while others wait."""
    reads = Counter()

    def test(site):
        read_now = SocketStream.read_now

        def counted(stream, most):
            data = read_now(stream, most)
            reads[stream, site.hub.round] += data is not None
            return data

        SocketStream.read_now = counted
        try:
            usual, hostile = site.client(), site.client()
            hostile._stream.write(command(Command.WRITE, 0, 8 * MIB, b"x" * (8 * MIB)) * 4)
            assert usual.call(Command.READ, 0, 512).error == 0
            site.hub.sleep(200_000)
        finally:
            SocketStream.read_now = read_now
        assert max(reads.values()) == 1

    play(test, real=True)
