"""The gateway's fronts beside clients that send half requests, or unsound commands at full speed."""

import gc
from collections import Counter

import pytest

from harriertrack.config.settings import LimitSettings
from harriertrack.protocol.nbd.server import ServerConnection
from harriertrack.protocol.nbd.wire import OPTION, OPTION_MAGIC, REQUEST, REQUEST_MAGIC, Command, Option
from harriertrack.protocol.nvme.transport import ControllerConnection
from harriertrack.protocol.nvme.wire import Sqe
from harriertrack.protocol.receive_buffer import ReceiveBuffer
from harriertrack.runtime.streams import SocketStream
from tests.test_head import EXTENT, both, play
from tests.test_nvme_front import NVME, host

MIB = 1 << 20
HELD_BYTES = 4 * MIB
CLIENTS = 16
COMMANDS = 40_000
MOST_IN_A_ROUND = (
    1_000  # commands of one connection: the size of a turn, and what is parsed with its last one
)
UNKNOWN_OPCODE = 0xC5


def command(kind, offset, length, data=b""):
    """Return a command as a client sends it."""
    return REQUEST.pack(REQUEST_MAGIC, 0, kind, 1, offset, length) + data


def received_bytes():
    """Return the bytes that connections have received and not parsed."""
    return sum(len(one) for one in gc.get_objects() if type(one) is ReceiveBuffer)


@both
def test_half_sent_writes_are_bounded_over_all_connections(real):
    """Guards against a head that holds the longest write for every connection that never ends one."""

    def test(site):
        for _ in range(CLIENTS):
            site.client()._stream.write(command(Command.WRITE, 0, MIB, b"x" * (MIB - 1)))
            site.hub.sleep(20_000)
        assert 0 < received_bytes() <= HELD_BYTES
        usual = site.client()
        assert usual.call(Command.WRITE, 0, 2 * EXTENT, b"y" * (2 * EXTENT)).error == 0
        assert bytes(usual.call(Command.READ, 0, EXTENT).data) == b"y" * EXTENT
        closed = [more for event, more in site.notes if event == "client closed"]
        assert len(closed) >= CLIENTS - HELD_BYTES // MIB and "half-sent" in str(closed[0]["why"])

    play(test, real, limits=LimitSettings(held_bytes=HELD_BYTES))


class Ignored(dict):
    """Callbacks of a client that does not care about its replies."""

    def pop(self, *_key):
        return lambda _reply: None


def count_by_round(monkeypatch, hub, owner, name):
    """Count the calls of a method for each round of a hub."""
    counts, method = Counter(), getattr(owner, name)

    def counted(self, *arguments):
        counts[hub.round] += 1
        return method(self, *arguments)

    monkeypatch.setattr(owner, name, counted)
    return counts


FLOODS = {
    "past the end": command(Command.READ, 1 << 40, 512),
    "unknown": command(99, 0, 0),
    "status of all": command(Command.BLOCK_STATUS, 0, 64 * EXTENT),
    "reads": command(Command.READ, 0, 512),
}


@both
@pytest.mark.parametrize("flood", FLOODS)
def test_commands_at_full_speed_take_a_bounded_part_of_a_round(real, flood, monkeypatch):
    """Guards against a client whose commands are all answered before anybody else's."""

    def test(site):
        usual, hostile = site.client(), site.client()
        counts = count_by_round(monkeypatch, site.hub, ServerConnection, "_parse_request")
        hostile._callbacks = Ignored()
        hostile._stream.write(FLOODS[flood] * COMMANDS)
        assert usual.call(Command.READ, 0, 512).error == 0
        site.hub.sleep(100_000)
        assert sum(counts.values()) > MOST_IN_A_ROUND
        assert max(counts.values()) <= MOST_IN_A_ROUND

    play(test, real)


@both
def test_options_at_full_speed_take_a_bounded_part_of_a_round_and_of_memory(real, monkeypatch):
    """Guards against a handshake that lists all exports for each of thousands of options."""

    def test(site):
        counts = count_by_round(monkeypatch, site.hub, ServerConnection, "_handle_list")
        stream = site.net.connect(site.head.address, site.hub.now() + 1_000_000)
        stream.read()
        stream.write((1).to_bytes(4, "big") + OPTION.pack(OPTION_MAGIC, Option.LIST, 0) * COMMANDS)
        site.hub.sleep(100_000)
        assert 0 < max(counts.values()) <= 2 * MOST_IN_A_ROUND
        stream.close()

    play(test, real)


@both
def test_unsound_nvme_commands_at_full_speed_take_a_bounded_part_of_a_round(real, monkeypatch):
    def test(site):
        client = host(site)
        queue = client.io(site.scope)
        counts = count_by_round(monkeypatch, site.hub, ControllerConnection, "_handle")
        queue._callbacks = Ignored()
        for number in range(100):  # as many as the queue allows, again and again
            queue._nvme.submit(Sqe(UNKNOWN_OPCODE, number, 1, (0,) * 6), b"", in_capsule=False)
        batch = b"".join(queue._nvme.take_outgoing())
        queue._stream.write(batch * (COMMANDS // 100))
        site.hub.sleep(100_000)
        assert 0 < max(counts.values()) <= MOST_IN_A_ROUND

    play(test, real, nvme=NVME)


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
