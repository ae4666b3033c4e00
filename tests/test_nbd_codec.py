"""The NBD codec: messages worked out by hand from the specification, splits, round trips, malformed input."""

import struct

import pytest
from hypothesis import given, settings, strategies as st

from harriertrack.protocol.nbd import extension
from harriertrack.protocol.nbd.client import (
    ClientConnection,
    ClientState,
    GreetingReceived,
    OptionEnded,
    Reply,
)
from harriertrack.protocol.nbd.server import (
    HandshakeAborted,
    Disconnect,
    ExportInfo,
    ExportOpened,
    ServerConnection,
)
from harriertrack.protocol.nbd.wire import (
    BASE_ALLOCATION,
    MAX_PAYLOAD,
    Command,
    CommandFlags,
    Errno,
    ProtocolViolation,
    Rep,
    TransmissionFlags,
)

ALL = TransmissionFlags(0b110111101101)
OPT = struct.Struct(">8sII")
REQ = struct.Struct(">IHHQQI")


class Exports:
    def __init__(self, min_block_size=1, flags=ALL):
        self.exports = {"disk": ExportInfo("disk", 1 << 20, flags, "a disk", min_block_size=min_block_size)}

    def names(self):
        return self.exports

    def find(self, name):
        return self.exports.get(name or "disk")

    def contexts(self, export, query):
        return (query,) if extension.head_of(query) is not None else ()


def option(number, data=b""):
    return OPT.pack(b"IHAVEOPT", number, len(data)) + data


def name(text):
    return struct.pack(">I", len(text)) + text.encode()


GO = option(7, name("disk") + struct.pack(">H", 0))
FLAGS = struct.pack(">I", 3)


def request(kind, cookie=1, offset=0, length=0, flags=0, data=b""):
    return REQ.pack(0x25609513, flags, kind, cookie, offset, length) + data


def opened_server(*sent, exports=None, structured=True):
    """Return a server connection in transmission, with its handshake replies discarded."""
    connection = ServerConnection(exports or Exports())
    events = connection.receive(FLAGS + (option(8) if structured else b"") + b"".join(sent) + GO)
    assert isinstance(events[-1], ExportOpened)
    connection.take_outgoing()
    return connection


def outgoing_bytes(connection):
    return b"".join(connection.take_outgoing())


def test_greeting_and_go_byte_for_byte():
    connection = ServerConnection(Exports())
    assert outgoing_bytes(connection) == b"NBDMAGIC" + b"IHAVEOPT" + b"\0\x03"
    events = connection.receive(FLAGS + GO)
    head = bytes.fromhex("0003e889045565a9 00000007")
    assert outgoing_bytes(connection) == (
        head
        + bytes.fromhex("00000003 0000000c 0000 0000000000100000 0d6d")
        + head
        + bytes.fromhex("00000001 00000000")
    )
    assert isinstance(events[0], ExportOpened) and events[0].export.name == "disk"


def test_export_name_with_and_without_zeroes():
    for flags, length in ((3, 10), (1, 134)):
        connection = ServerConnection(Exports())
        outgoing_bytes(connection)
        connection.receive(struct.pack(">I", flags) + option(1, b"disk"))
        reply = outgoing_bytes(connection)
        assert len(reply) == length and reply[:10] == bytes.fromhex("0000000000100000 0d6d")
    connection = ServerConnection(Exports())
    with pytest.raises(ProtocolViolation):
        connection.receive(FLAGS + option(1, b"nothing"))


def test_replies_byte_for_byte():
    connection = opened_server()
    connection.receive(request(0, cookie=0x1122, offset=16, length=4))
    connection.reply_read(0x1122, 16, [b"abcd"])
    assert (
        outgoing_bytes(connection)
        == bytes.fromhex("668e33ef 0001 0001 0000000000001122 0000000c 0000000000000010") + b"abcd"
    )
    connection.reply_error(7, Errno.EIO, "no")
    assert (
        outgoing_bytes(connection)
        == bytes.fromhex("668e33ef 0001 8001 0000000000000007 00000008 00000005 0002") + b"no"
    )
    connection.reply_done(8)
    assert outgoing_bytes(connection) == bytes.fromhex("668e33ef 0001 0000 0000000000000008 00000000")
    connection.reply_read(9, 0, [b"xy", 30])
    assert outgoing_bytes(connection) == (
        bytes.fromhex("668e33ef 0000 0001 0000000000000009 0000000a 0000000000000000")
        + b"xy"
        + bytes.fromhex("668e33ef 0001 0002 0000000000000009 0000000c 0000000000000002 0000001e")
    )
    simple = opened_server(structured=False)
    simple.reply_read(9, 0, [b"xy", 2])
    simple.reply_error(10, Errno.ENOSPC)
    assert outgoing_bytes(simple) == (
        bytes.fromhex("67446698 00000000 0000000000000009")
        + b"xy\0\0"
        + bytes.fromhex("67446698 0000001c 000000000000000a")
    )


def test_df_joins_pieces_into_one_chunk():
    connection = opened_server()
    connection.reply_read(9, 0, [b"xy", 2, b"z"], one_chunk=True)
    assert outgoing_bytes(connection)[20:] == bytes(8) + b"xy\0\0z"


@pytest.mark.parametrize(
    ("sent", "reply"),
    [
        (option(99, b"data"), Rep.ERR_UNSUP),
        (option(4), Rep.ERR_UNSUP),
        (option(5), Rep.ERR_UNSUP),
        (option(5, b"x"), Rep.ERR_INVALID),
        (option(8, b"x"), Rep.ERR_INVALID),
        (option(3, b"x"), Rep.ERR_INVALID),
        (option(6, name("other") + b"\0\0"), Rep.ERR_UNKNOWN),
        (option(6, name("disk") + b"\0\1"), Rep.ERR_INVALID),
        (option(6, b"\xff\xff\xff\xff"), Rep.ERR_INVALID),
        (option(6, b""), Rep.ERR_INVALID),
        (option(6, struct.pack(">I", 2) + b"\xc3\x28" + b"\0\0"), Rep.ERR_INVALID),
        (
            option(10, name("disk") + struct.pack(">I", 1) + name(BASE_ALLOCATION)),
            Rep.ERR_INVALID,
        ),  # structured replies were not negotiated
        (option(99, bytes(70_000)), Rep.ERR_TOO_BIG),
    ],
)
def test_option_error_replies_keep_the_connection_open(sent, reply):
    connection = ServerConnection(Exports())
    outgoing_bytes(connection)
    connection.receive(FLAGS + sent)
    assert struct.unpack_from(">QII", outgoing_bytes(connection))[2] == reply
    assert isinstance(connection.receive(GO)[-1], ExportOpened)


@pytest.mark.parametrize("sent", [
    struct.pack(">I", 4), FLAGS + b"IHAVEOPX" + bytes(8), FLAGS + OPT.pack(b"IHAVEOPT", 99, 1 << 30),
    struct.pack(">I", 0) + option(3), FLAGS + option(1, b"\xff\xfe"), FLAGS + OPT.pack(b"IHAVEOPT", 1, 80_000),
    FLAGS + GO + b"\0" * 28, FLAGS + GO + request(1, length=MAX_PAYLOAD + 1),
])  # fmt: skip
def test_violations_close_the_connection(sent):
    connection = ServerConnection(Exports())
    with pytest.raises(ProtocolViolation):
        connection.receive(sent)
    assert connection.receive(GO) == []  # further bytes are ignored


@pytest.mark.parametrize(
    ("sent", "error"),
    [
        (request(99), Errno.EINVAL),
        (request(0x4801), Errno.EINVAL),  # the extension was not negotiated
        (request(0, length=8, flags=0x100), Errno.EINVAL),
        (request(2 + 1, length=1), Errno.EINVAL),
        (request(0, offset=1 << 20, length=1), Errno.EINVAL),
        (request(0, offset=(1 << 64) - 1, length=0xFFFFFFFF), Errno.EINVAL),
        (request(1, offset=1 << 20, length=1, data=b"x"), Errno.ENOSPC),
        (request(4, offset=0, length=(1 << 20) + 1), Errno.ENOSPC),
        (request(7, length=512), Errno.EINVAL),  # no context was negotiated
        (request(6, length=512, flags=CommandFlags.FAST_ZERO), Errno.EINVAL),
        (request(1, length=4, flags=CommandFlags.DF, data=b"abcd"), Errno.EINVAL),
    ],
)
def test_request_error_replies_keep_the_connection_open(sent, error):
    connection = opened_server()
    assert connection.receive(sent) == []
    reply = outgoing_bytes(connection)
    assert struct.unpack_from(">I", reply, 20)[0] == error
    assert connection.receive(request(0, cookie=5, length=4))[0].cookie == 5


def test_read_only_alignment_and_unsupported_commands():
    read_only = opened_server(exports=Exports(flags=ALL | TransmissionFlags.READ_ONLY))
    read_only.receive(request(1, length=4, data=b"abcd"))
    assert struct.unpack_from(">I", outgoing_bytes(read_only), 20)[0] == Errno.EPERM
    bare = opened_server(exports=Exports(flags=TransmissionFlags.HAS_FLAGS))
    bare.receive(request(3) + request(4, length=4) + request(5, length=4) + request(6, length=4))
    assert [
        struct.unpack_from(">I", part, 16)[0] for part in outgoing_bytes(bare).split(b"\x66\x8e\x33\xef")[1:]
    ] == [22] * 4
    connection = ServerConnection(Exports(min_block_size=512))
    outgoing_bytes(connection)
    connection.receive(FLAGS + GO)
    refusal = struct.pack(">QII", 0x3E889045565A9, 7, Rep.ERR_BLOCK_SIZE_REQD)
    # The client must request the block size.
    assert connection.export is None and refusal in outgoing_bytes(connection)
    connection.receive(option(7, name("disk") + struct.pack(">HH", 1, 3)))
    assert connection.export is not None


def test_disc_and_abort():
    connection = opened_server()
    assert isinstance(connection.receive(request(2))[0], Disconnect)
    connection = ServerConnection(Exports())
    assert isinstance(connection.receive(FLAGS + option(2))[0], HandshakeAborted)
    assert outgoing_bytes(connection)[-20:] == bytes.fromhex("0003e889045565a9 00000002 00000001 00000000")


def test_meta_contexts_are_listed_selected_and_valid_for_their_export():
    connection = ServerConnection(Exports())
    outgoing_bytes(connection)
    connection.receive(FLAGS + option(8))
    outgoing_bytes(connection)
    connection.receive(option(9, name("disk") + struct.pack(">I", 0)))
    assert outgoing_bytes(connection)[20:] == struct.pack(">I", 0) + b"base:allocation" + bytes.fromhex(
        "0003e889045565a9 00000009 00000001 00000000"
    )
    extension_context = extension.context_of(0xABC)
    queries = (
        name("disk")
        + struct.pack(">I", 3)
        + name("other:thing")
        + name(BASE_ALLOCATION)
        + name(extension_context)
    )
    connection.receive(option(10, queries) + GO)
    assert connection.contexts == {1: BASE_ALLOCATION, 2: extension_context} and connection.has_extension
    connection.receive(request(7, cookie=3, length=1024))
    outgoing_bytes(connection)
    connection.reply_block_status(3, [(512, 0), (512, 3)])
    assert outgoing_bytes(connection)[16:] == struct.pack(">I", 20) + struct.pack(">IIIII", 1, 512, 0, 512, 3)


# -- client and server connected to each other

COMMANDS = st.sampled_from(["read", "write", "flush", "trim", "zero", "cache", "status"])
REQUEST_PLANS = st.lists(
    st.tuples(
        COMMANDS, st.integers(0, 4000), st.integers(1, 3000), st.sampled_from(["ok", "error", "holes"])
    ),
    max_size=12,
)


def run_dialogue(plan, split_sizes, structured=True):
    """Run a plan between a client and a server over streams that are split; return plan and replies in order."""
    client, connection = ClientConnection(), ServerConnection(Exports())
    rng = iter(split_sizes)

    def transfer(source, sink, events):
        data = b"".join(bytes(part) for part in source.take_outgoing())
        while data:
            size = next(rng, len(data)) or 1
            events.extend(sink.receive(data[:size]))
            data = data[size:]

    def exchange():
        client_events, server_events = [], []
        transfer(connection, client, client_events)
        transfer(client, connection, server_events)
        transfer(connection, client, client_events)
        return client_events, server_events

    assert isinstance(exchange()[0][0], GreetingReceived)
    if structured:
        client.send_structured_reply()
        assert exchange()[0][0].error == 0
        client.send_meta_contexts("disk", [BASE_ALLOCATION, extension.context_of(7)])
        assert list(exchange()[0][0].contexts.values()) == [BASE_ALLOCATION, extension.context_of(7)]
    client.send_go("disk")
    done = exchange()[0][0]
    assert isinstance(done, OptionEnded) and done.size == 1 << 20 and client.state is ClientState.TRANSMISSION
    kinds = {
        "read": Command.READ,
        "write": Command.WRITE,
        "flush": Command.FLUSH,
        "trim": Command.TRIM,
        "zero": Command.WRITE_ZEROES,
        "cache": Command.CACHE,
        "status": Command.BLOCK_STATUS,
    }
    plan = [step for step in plan if structured or step[0] != "status"]
    for cookie, (kind, offset, length, _) in enumerate(plan, start=1):
        data = bytes(length) if kind == "write" else b""
        byte_range = (0, 0) if kind == "flush" else (offset, length)
        client.request(kinds[kind], cookie, *byte_range, data=data)
    client_events, server_events = exchange()
    assert [event.cookie for event in server_events] == list(range(1, len(plan) + 1))
    for event in reversed(server_events):  # replies may be sent in any order
        kind, offset, length, outcome = plan[event.cookie - 1]
        if outcome == "error":
            connection.reply_error(event.cookie, Errno.EIO, "broken")
        elif kind == "read":
            pieces = (
                [b"r" * (length - length // 2), length // 2]
                if outcome == "holes" and length > 1
                else [b"r" * length]
            )
            connection.reply_read(event.cookie, offset, pieces, report=extension.Report(3, 1.5, (0.25,)))
        elif kind == "status":
            connection.reply_block_status(event.cookie, [(length, 3)])
        else:
            connection.reply_done(event.cookie)
    client_events = exchange()[0]
    assert client.in_flight == 0
    return plan, client_events


@given(REQUEST_PLANS, st.lists(st.integers(1, 40), max_size=400), st.booleans())
@settings(max_examples=80, deadline=None)
def test_replies_do_not_depend_on_how_the_streams_are_split(plan, split_sizes, structured):
    plan, unsplit = run_dialogue(plan, [], structured)
    _, split = run_dialogue(plan, split_sizes, structured)
    assert split == unsplit
    for reply in unsplit:
        kind, _, length, outcome = plan[reply.cookie - 1]
        assert bool(reply.error) == (outcome == "error")
        if kind == "read" and outcome != "error":
            assert len(reply.data) == length and reply.data.rstrip(b"\0") == b"r" * (
                length - length // 2 if outcome == "holes" and length > 1 else length
            )
            assert not structured or reply.report == extension.Report(3, 1.5, (0.25,))
        if kind == "status" and outcome != "error":
            assert reply.extents == [(length, 3)]


@given(st.binary(max_size=300), st.booleans())
@settings(max_examples=150, deadline=None)
def test_random_bytes_are_accepted_or_close_a_server_connection(data, in_transmission):
    connection = opened_server() if in_transmission else ServerConnection(Exports())
    try:
        connection.receive(data)
    except ProtocolViolation:
        assert connection.receive(b"x") == []


def opened_client():
    client = ClientConnection()
    client.receive(b"NBDMAGICIHAVEOPT\0\x03")
    client.send_structured_reply()
    client.receive(bytes.fromhex("0003e889045565a9 00000008 00000001 00000000"))
    client.send_go("disk")
    client.receive(
        bytes.fromhex(
            "0003e889045565a9 00000007 00000003 0000000c 0000 0000000000100000 05ed"
            "0003e889045565a9 00000007 00000001 00000000"
        )
    )
    return client


CHUNK = struct.Struct(">IHHQI")


def chunk(kind, data=b"", flags=1, cookie=1):
    return CHUNK.pack(0x668E33EF, flags, kind, cookie, len(data)) + data


@pytest.mark.parametrize("sent", [
    b"\0" * 20,
    chunk(0, cookie=2),  # no such request
    struct.pack(">IIQ", 0x67446698, 0, 1),  # simple reply to READ after structured ones were negotiated
    chunk(1, struct.pack(">Q", 0) + b"abcdX"),  # more than was requested
    chunk(1, struct.pack(">Q", 2) + b"cd"),  # a gap
    chunk(1, struct.pack(">Q", 0) + b"ab", 0) + chunk(1, struct.pack(">Q", 0) + b"ab"),  # the same data twice
    chunk(1, struct.pack(">Q", 0) + b"abc", 0) + chunk(1, struct.pack(">Q", 2) + b"cd"),  # overlap
    chunk(0),  # done without data
    chunk(1, b"\0\0"), chunk(2, b"\0"), chunk(0x8001, b"\0"), chunk(0x8001, struct.pack(">IH", 0, 0)),
    chunk(5, struct.pack(">III", 1, 4, 0)),  # a context that was not negotiated
    chunk(0x4801, bytes(14)),  # the extension was not negotiated
    chunk(77), CHUNK.pack(0x668E33EF, 1, 1, 1, 1 << 30),
])  # fmt: skip
def test_invalid_replies_close_a_client_connection(sent):
    client = opened_client()
    client.request(Command.READ, 1, 0, 4)
    with pytest.raises(ProtocolViolation):
        client.receive(sent)
    assert client.state is ClientState.CLOSED


def test_client_and_server_support_export_name_with_and_without_zeroes():
    client, connection = ClientConnection(), ServerConnection(Exports())
    client.receive(b"".join(connection.take_outgoing()))
    client.send_export_name("disk")
    connection.receive(b"".join(client.take_outgoing()))
    (done,) = client.receive(b"".join(connection.take_outgoing()))
    assert (done.size, done.flags) == (1 << 20, 0xD6D & ~TransmissionFlags.SEND_DF)
    assert client.state is ClientState.TRANSMISSION
    old_client = ClientConnection()
    old_client.receive(b"NBDMAGICIHAVEOPT\0\x01")  # a server without NO_ZEROES sends 124 zeroes
    old_client.send_export_name("disk")
    assert old_client.receive(bytes(133)) == [] and old_client.receive(b"\0")[0].size == 0


def test_unknown_error_chunk_type_is_an_error():
    client = opened_client()
    client.request(Command.READ, 1, 0, 4)
    (reply,) = client.receive(chunk(0x8FFF, struct.pack(">IH", 5, 2) + b"no"))
    assert reply == Reply(1, 5, "no") and not reply.never_ran


@given(st.binary(max_size=200))
@settings(max_examples=150, deadline=None)
def test_random_bytes_are_accepted_or_close_a_client_connection(data):
    client = opened_client()
    client.request(Command.READ, 1, 0, 4)
    try:
        client.receive(data)
    except ProtocolViolation:
        assert client.state is ClientState.CLOSED


def test_cookies_carry_key_and_attempt():
    assert extension.split_cookie(extension.cookie_of((1 << 56) - 1, 255)) == ((1 << 56) - 1, 255)
    for key, attempt in ((1 << 56, 0), (1, 256), (-1, 0)):
        with pytest.raises(ValueError, match="cookie"):
            extension.cookie_of(key, attempt)
    assert (
        extension.head_of("x-harriertrack:node1/zz") is None and extension.head_of("base:allocation") is None
    )
