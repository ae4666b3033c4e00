"""The NBD codec: vectors worked out by hand from the specification, splits, round trips, malformed input."""

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
    def __init__(self, least=1, flags=ALL):
        self.known = {"disk": ExportInfo("disk", 1 << 20, flags, "a disk", min_block_size=least)}

    def names(self):
        return self.known

    def find(self, name):
        return self.known.get(name or "disk")

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


def server(*sent, exports=None, structured=True):
    """A server connection in transmission, with what it said so far thrown away."""
    one = ServerConnection(exports or Exports())
    events = one.receive(FLAGS + (option(8) if structured else b"") + b"".join(sent) + GO)
    assert isinstance(events[-1], ExportOpened)
    one.take_outgoing()
    return one


def said(one):
    return b"".join(one.take_outgoing())


def test_greeting_and_go_by_hand():
    one = ServerConnection(Exports())
    assert said(one) == b"NBDMAGIC" + b"IHAVEOPT" + b"\0\x03"
    events = one.receive(FLAGS + GO)
    head = bytes.fromhex("0003e889045565a9 00000007")
    assert said(one) == (
        head
        + bytes.fromhex("00000003 0000000c 0000 0000000000100000 0d6d")
        + head
        + bytes.fromhex("00000001 00000000")
    )
    assert isinstance(events[0], ExportOpened) and events[0].export.name == "disk"


def test_export_name_with_and_without_zeroes():
    for flags, length in ((3, 10), (1, 134)):
        one = ServerConnection(Exports())
        said(one)
        one.receive(struct.pack(">I", flags) + option(1, b"disk"))
        answer = said(one)
        assert len(answer) == length and answer[:10] == bytes.fromhex("0000000000100000 0d6d")
    one = ServerConnection(Exports())
    with pytest.raises(ProtocolViolation):
        one.receive(FLAGS + option(1, b"nothing"))


def test_replies_by_hand():
    one = server()
    one.receive(request(0, cookie=0x1122, offset=16, length=4))
    one.reply_read(0x1122, 16, [b"abcd"])
    assert (
        said(one) == bytes.fromhex("668e33ef 0001 0001 0000000000001122 0000000c 0000000000000010") + b"abcd"
    )
    one.reply_error(7, Errno.EIO, "no")
    assert said(one) == bytes.fromhex("668e33ef 0001 8001 0000000000000007 00000008 00000005 0002") + b"no"
    one.reply_done(8)
    assert said(one) == bytes.fromhex("668e33ef 0001 0000 0000000000000008 00000000")
    one.reply_read(9, 0, [b"xy", 30])
    assert said(one) == (
        bytes.fromhex("668e33ef 0000 0001 0000000000000009 0000000a 0000000000000000")
        + b"xy"
        + bytes.fromhex("668e33ef 0001 0002 0000000000000009 0000000c 0000000000000002 0000001e")
    )
    simple = server(structured=False)
    simple.reply_read(9, 0, [b"xy", 2])
    simple.reply_error(10, Errno.ENOSPC)
    assert said(simple) == (
        bytes.fromhex("67446698 00000000 0000000000000009")
        + b"xy\0\0"
        + bytes.fromhex("67446698 0000001c 000000000000000a")
    )


def test_df_makes_one_chunk():
    one = server()
    one.reply_read(9, 0, [b"xy", 2, b"z"], one_chunk=True)
    assert said(one)[20:] == bytes(8) + b"xy\0\0z"


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
        ),  # not structured yet
        (option(99, bytes(70_000)), Rep.ERR_TOO_BIG),
    ],
)
def test_options_that_get_an_error_and_leave_the_connection_usable(sent, reply):
    one = ServerConnection(Exports())
    said(one)
    one.receive(FLAGS + sent)
    assert struct.unpack_from(">QII", said(one))[2] == reply
    assert isinstance(one.receive(GO)[-1], ExportOpened)


@pytest.mark.parametrize("sent", [
    struct.pack(">I", 4), FLAGS + b"IHAVEOPX" + bytes(8), FLAGS + OPT.pack(b"IHAVEOPT", 99, 1 << 30),
    struct.pack(">I", 0) + option(3), FLAGS + option(1, b"\xff\xfe"), FLAGS + OPT.pack(b"IHAVEOPT", 1, 80_000),
    FLAGS + GO + b"\0" * 28, FLAGS + GO + request(1, length=MAX_PAYLOAD + 1),
])  # fmt: skip
def test_violations_that_end_the_connection(sent):
    one = ServerConnection(Exports())
    with pytest.raises(ProtocolViolation):
        one.receive(sent)
    assert one.receive(GO) == []  # nothing more is taken


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
        (request(7, length=512), Errno.EINVAL),  # no context
        (request(6, length=512, flags=CommandFlags.FAST_ZERO), Errno.EINVAL),
        (request(1, length=4, flags=CommandFlags.DF, data=b"abcd"), Errno.EINVAL),
    ],
)
def test_requests_that_get_an_error_and_leave_the_connection_usable(sent, error):
    one = server()
    assert one.receive(sent) == []
    answer = said(one)
    assert struct.unpack_from(">I", answer, 20)[0] == error
    assert one.receive(request(0, cookie=5, length=4))[0].cookie == 5


def test_read_only_alignment_and_what_was_not_offered():
    read_only = server(exports=Exports(flags=ALL | TransmissionFlags.READ_ONLY))
    read_only.receive(request(1, length=4, data=b"abcd"))
    assert struct.unpack_from(">I", said(read_only), 20)[0] == Errno.EPERM
    bare = server(exports=Exports(flags=TransmissionFlags.HAS_FLAGS))
    bare.receive(request(3) + request(4, length=4) + request(5, length=4) + request(6, length=4))
    assert [struct.unpack_from(">I", part, 16)[0] for part in said(bare).split(b"\x66\x8e\x33\xef")[1:]] == [
        22
    ] * 4
    one = ServerConnection(Exports(least=512))
    said(one)
    one.receive(FLAGS + GO)
    refusal = struct.pack(">QII", 0x3E889045565A9, 7, Rep.ERR_BLOCK_SIZE_REQD)
    assert one.export is None and refusal in said(one)  # the client must ask for the block size
    one.receive(option(7, name("disk") + struct.pack(">HH", 1, 3)))
    assert one.export is not None


def test_disc_and_abort():
    one = server()
    assert isinstance(one.receive(request(2))[0], Disconnect)
    one = ServerConnection(Exports())
    assert isinstance(one.receive(FLAGS + option(2))[0], HandshakeAborted)
    assert said(one)[-20:] == bytes.fromhex("0003e889045565a9 00000002 00000001 00000000")


def test_meta_contexts_listed_set_and_bound_to_their_export():
    one = ServerConnection(Exports())
    said(one)
    one.receive(FLAGS + option(8))
    said(one)
    one.receive(option(9, name("disk") + struct.pack(">I", 0)))
    assert said(one)[20:] == struct.pack(">I", 0) + b"base:allocation" + bytes.fromhex(
        "0003e889045565a9 00000009 00000001 00000000"
    )
    ours = extension.context_of(0xABC)
    queries = name("disk") + struct.pack(">I", 3) + name("other:thing") + name(BASE_ALLOCATION) + name(ours)
    one.receive(option(10, queries) + GO)
    assert one.contexts == {1: BASE_ALLOCATION, 2: ours} and one.has_extension
    one.receive(request(7, cookie=3, length=1024))
    said(one)
    one.reply_block_status(3, [(512, 0), (512, 3)])
    assert said(one)[16:] == struct.pack(">I", 20) + struct.pack(">IIIII", 1, 512, 0, 512, 3)


# -- both sides against each other

COMMANDS = st.sampled_from(["read", "write", "flush", "trim", "zero", "cache", "status"])
PLANS = st.lists(
    st.tuples(
        COMMANDS, st.integers(0, 4000), st.integers(1, 3000), st.sampled_from(["ok", "error", "holes"])
    ),
    max_size=12,
)


def dialogue(plan, cuts, structured=True):
    """Run a client and a server against each other over streams that split anywhere; return replies in order."""
    client, one = ClientConnection(), ServerConnection(Exports())
    rng = iter(cuts)

    def carry(source, sink, events):
        data = b"".join(bytes(part) for part in source.take_outgoing())
        while data:
            size = next(rng, len(data)) or 1
            events.extend(sink.receive(data[:size]))
            data = data[size:]

    def turn():
        heard, asked = [], []
        carry(one, client, heard)
        carry(client, one, asked)
        carry(one, client, heard)
        return heard, asked

    assert isinstance(turn()[0][0], GreetingReceived)
    if structured:
        client.send_structured_reply()
        assert turn()[0][0].error == 0
        client.send_meta_contexts("disk", [BASE_ALLOCATION, extension.context_of(7)])
        assert list(turn()[0][0].contexts.values()) == [BASE_ALLOCATION, extension.context_of(7)]
    client.send_go("disk")
    done = turn()[0][0]
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
        place = (0, 0) if kind == "flush" else (offset, length)
        client.request(kinds[kind], cookie, *place, data=data)
    heard, asked = turn()
    assert [event.cookie for event in asked] == list(range(1, len(plan) + 1))
    for event in reversed(asked):  # answered in any order
        kind, offset, length, answer = plan[event.cookie - 1]
        if answer == "error":
            one.reply_error(event.cookie, Errno.EIO, "broken")
        elif kind == "read":
            pieces = (
                [b"r" * (length - length // 2), length // 2]
                if answer == "holes" and length > 1
                else [b"r" * length]
            )
            one.reply_read(event.cookie, offset, pieces, report=extension.Report(3, 1.5, (0.25,)))
        elif kind == "status":
            one.reply_block_status(event.cookie, [(length, 3)])
        else:
            one.reply_done(event.cookie)
    heard = turn()[0]
    assert client.in_flight == 0
    return plan, heard


@given(PLANS, st.lists(st.integers(1, 40), max_size=400), st.booleans())
@settings(max_examples=80, deadline=None)
def test_any_split_of_the_streams_gives_the_same_replies(plan, cuts, structured):
    plan, whole = dialogue(plan, [], structured)
    _, split = dialogue(plan, cuts, structured)
    assert split == whole
    for reply in whole:
        kind, _, length, answer = plan[reply.cookie - 1]
        assert bool(reply.error) == (answer == "error")
        if kind == "read" and answer != "error":
            assert len(reply.data) == length and reply.data.rstrip(b"\0") == b"r" * (
                length - length // 2 if answer == "holes" and length > 1 else length
            )
            assert not structured or reply.report == extension.Report(3, 1.5, (0.25,))
        if kind == "status" and answer != "error":
            assert reply.extents == [(length, 3)]


@given(st.binary(max_size=300), st.booleans())
@settings(max_examples=150, deadline=None)
def test_random_bytes_end_a_server_connection_or_are_taken(data, started):
    one = server() if started else ServerConnection(Exports())
    try:
        one.receive(data)
    except ProtocolViolation:
        assert one.receive(b"x") == []


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
    chunk(0, cookie=2),  # nobody asked
    struct.pack(">IIQ", 0x67446698, 0, 1),  # simple reply to READ after structured ones were negotiated
    chunk(1, struct.pack(">Q", 0) + b"abcdX"),  # more than was asked for
    chunk(1, struct.pack(">Q", 2) + b"cd"),  # a gap
    chunk(1, struct.pack(">Q", 0) + b"ab", 0) + chunk(1, struct.pack(">Q", 0) + b"ab"),  # twice
    chunk(1, struct.pack(">Q", 0) + b"abc", 0) + chunk(1, struct.pack(">Q", 2) + b"cd"),  # overlap
    chunk(0),  # done without data
    chunk(1, b"\0\0"), chunk(2, b"\0"), chunk(0x8001, b"\0"), chunk(0x8001, struct.pack(">IH", 0, 0)),
    chunk(5, struct.pack(">III", 1, 4, 0)),  # a context that was not negotiated
    chunk(0x4801, bytes(14)),  # the extension was not negotiated
    chunk(77), CHUNK.pack(0x668E33EF, 1, 1, 1, 1 << 30),
])  # fmt: skip
def test_a_client_ends_the_connection_on_a_reply_that_cannot_be(sent):
    client = opened_client()
    client.request(Command.READ, 1, 0, 4)
    with pytest.raises(ProtocolViolation):
        client.receive(sent)
    assert client.state is ClientState.CLOSED


def test_both_sides_speak_export_name_with_and_without_zeroes():
    client, one = ClientConnection(), ServerConnection(Exports())
    client.receive(b"".join(one.take_outgoing()))
    client.send_export_name("disk")
    one.receive(b"".join(client.take_outgoing()))
    (done,) = client.receive(b"".join(one.take_outgoing()))
    assert (done.size, done.flags) == (1 << 20, 0xD6D & ~TransmissionFlags.SEND_DF)
    assert client.state is ClientState.TRANSMISSION
    old = ClientConnection()
    old.receive(b"NBDMAGICIHAVEOPT\0\x01")  # a server that knows no NO_ZEROES sends them
    old.send_export_name("disk")
    assert old.receive(bytes(133)) == [] and old.receive(b"\0")[0].size == 0


def test_an_unknown_error_chunk_is_an_error():
    client = opened_client()
    client.request(Command.READ, 1, 0, 4)
    (reply,) = client.receive(chunk(0x8FFF, struct.pack(">IH", 5, 2) + b"no"))
    assert reply == Reply(1, 5, "no") and not reply.never_ran


@given(st.binary(max_size=200))
@settings(max_examples=150, deadline=None)
def test_random_bytes_end_a_client_connection_or_are_taken(data):
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
