"""The client's side of a connection.

The handshake goes one option at a time: ask, feed bytes, take the `OptionDone`. In transmission `request`
adds a request and returns nothing; its one `Reply` comes from `receive`, whatever kinds of replies the server
sends.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from harriertrack.protocol.nbd import extension
from harriertrack.protocol.nbd.wire import (
    CHUNK,
    CHUNK_DONE,
    CHUNK_ERROR,
    ERROR,
    EXPORT_SIZE,
    EXTENT,
    GREETING,
    HOLE,
    INFO_BLOCK_SIZE,
    INFO_EXPORT,
    MAX_OPTION,
    MAX_PAYLOAD,
    NBD_MAGIC,
    OPTION,
    OPTION_MAGIC,
    OPTION_REPLY,
    OPTION_REPLY_MAGIC,
    REP_ERROR,
    REQUEST,
    REQUEST_MAGIC,
    SIMPLE_REPLY,
    SIMPLE_REPLY_MAGIC,
    STRUCTURED_REPLY_MAGIC,
    U16,
    U32,
    U64,
    Chunk,
    Command,
    Errno,
    HandshakeFlags,
    Info,
    Option,
    ProtocolViolation,
    Rep,
    TransmissionFlags,
    pack_string,
    unpack_string,
)  # fmt: skip
from harriertrack.protocol.receive_buffer import ReceiveBuffer


@dataclass(slots=True)
class GreetingReceived:
    """The server is there; options may be asked."""


@dataclass(slots=True)
class OptionEnded:
    """An option is answered: with what it brought, or with an error."""

    option: int
    error: int = 0
    message: str = ""
    size: int = 0
    flags: int = 0
    block_sizes: tuple[int, int, int] = (1, 4096, MAX_PAYLOAD)
    names: list[str] = field(default_factory=list)
    contexts: dict[int, str] = field(default_factory=dict)


@dataclass(slots=True)
class Reply:
    """The one reply to a request."""

    cookie: int
    error: int = 0
    message: str = ""
    data: bytes = b""
    extents: list[tuple[int, int]] = field(default_factory=list)
    never_ran: bool = False  # extension: proven that it never ran
    report: extension.Report | None = None


ClientEvent = GreetingReceived | OptionEnded | Reply


class ClientState(Enum):
    """Where a connection is."""

    GREETING = "greeting"
    OPTIONS = "options"
    TRANSMISSION = "transmission"
    CLOSED = "closed"


@dataclass(slots=True)
class _Pending:
    command: int
    offset: int
    length: int
    reply: Reply
    pieces: dict[int, bytes | int] = field(default_factory=dict)  # by offset: data, or a number of zeroes


class ClientConnection:
    """One connection, seen from the client."""

    def __init__(self) -> None:
        self._inbox = ReceiveBuffer()
        self.state = ClientState.GREETING
        self.outgoing: list[bytes | memoryview] = []
        self.structured = False
        self.contexts: dict[int, str] = {}
        self._asked: OptionEnded | None = None
        self._asked_export_name = False
        self._no_zeroes = False
        self._pending: dict[int, _Pending] = {}

    def take_outgoing(self) -> list[bytes | memoryview]:
        """Return what is to be sent and forget it."""
        outgoing, self.outgoing = self.outgoing, []
        return outgoing

    @property
    def has_extension(self) -> bool:
        """Whether the project's extension was negotiated."""
        return any(name.startswith(extension.NAMESPACE) for name in self.contexts.values())

    @property
    def in_flight(self) -> int:
        """How many requests have no reply yet."""
        return len(self._pending)

    # -- handshake

    def _ask(self, option: Option, data: bytes = b"") -> None:
        if self.state is not ClientState.OPTIONS or self._asked is not None:
            raise ValueError(f"can't ask {option.name} now")
        self.outgoing.append(OPTION.pack(OPTION_MAGIC, option, len(data)) + data)
        self._asked = OptionEnded(option)

    def send_structured_reply(self) -> None:
        """Ask for structured replies."""
        self._ask(Option.STRUCTURED_REPLY)

    def send_list(self) -> None:
        """Ask for the names of the exports."""
        self._ask(Option.LIST)

    def send_meta_contexts(self, export: str, queries: Sequence[str], listing: bool = False) -> None:
        """Ask to use these meta contexts with an export, or only to list what matches."""
        body = (
            pack_string(export) + U32.pack(len(queries)) + b"".join(pack_string(query) for query in queries)
        )
        self._ask(Option.LIST_META_CONTEXT if listing else Option.SET_META_CONTEXT, body)

    def send_go(self, export: str, info_only: bool = False) -> None:
        """Ask to use an export, or only about it."""
        wanted = U16.pack(1) + U16.pack(Info.BLOCK_SIZE)
        self._ask(Option.INFO if info_only else Option.GO, pack_string(export) + wanted)

    def send_export_name(self, export: str) -> None:
        """Use an export the old way, which has no error reply."""
        self._ask(Option.EXPORT_NAME, export.encode())

    def send_abort(self) -> None:
        """Say that we leave."""
        self._ask(Option.ABORT)

    # -- transmission

    def request(
        self,
        command: Command,
        cookie: int,
        offset: int = 0,
        length: int = 0,
        data: bytes | memoryview = b"",
        flags: int = 0,
    ) -> None:
        """Add a request to what is outgoing; `length` is that of the data where there is some.

        Raises ValueError for a cookie that is in flight, or outside transmission.
        """
        if self.state is not ClientState.TRANSMISSION or cookie in self._pending:
            raise ValueError(f"can't send cookie {cookie} now")
        length = len(data) or length
        if command not in (Command.DISC, Command.CANCEL):
            self._pending[cookie] = _Pending(command, offset, length, Reply(cookie))
        self.outgoing.append(REQUEST.pack(REQUEST_MAGIC, flags, command, cookie, offset, length))
        if data:
            self.outgoing.append(data)

    def cancel(self, cookie: int) -> None:
        """Call an attempt off (extension); its reply may still come."""
        self.outgoing.append(REQUEST.pack(REQUEST_MAGIC, 0, Command.CANCEL, cookie, 0, 0))

    def disconnect(self) -> None:
        """Say that we leave."""
        self.request(Command.DISC, 0)
        self.state = ClientState.CLOSED

    # -- receiving

    def receive(self, data: bytes) -> list[ClientEvent]:
        """Take bytes; return what they mean. Raises ProtocolViolation where the connection must be closed."""
        self._inbox.add(data)
        events: list[ClientEvent] = []
        try:
            while self._step(events):
                pass
        except ProtocolViolation:
            self.state = ClientState.CLOSED
            raise
        except (ValueError, struct.error) as error:
            self.state = ClientState.CLOSED
            raise ProtocolViolation(str(error)) from error
        return events

    def _step(self, events: list[ClientEvent]) -> bool:
        match self.state:
            case ClientState.TRANSMISSION:
                return self._reply(events)
            case ClientState.OPTIONS:
                return self._export_size(events) if self._is_export_name() else self._option_reply(events)
            case ClientState.GREETING:
                return self._greeting(events)
        return False

    def _greeting(self, events: list[ClientEvent]) -> bool:
        head = self._inbox.peek(GREETING)
        if head is None:
            return False
        self._inbox.skip(GREETING.size)
        magic, option_magic, flags = head
        if (magic, option_magic) != (NBD_MAGIC, OPTION_MAGIC):
            raise ProtocolViolation("not an NBD server of the newstyle")
        if not flags & HandshakeFlags.FIXED_NEWSTYLE:
            raise ProtocolViolation("the server is not fixed newstyle")
        self._no_zeroes = bool(flags & HandshakeFlags.NO_ZEROES)
        self.outgoing.append(U32.pack(flags & (HandshakeFlags.FIXED_NEWSTYLE | HandshakeFlags.NO_ZEROES)))
        self.state = ClientState.OPTIONS
        events.append(GreetingReceived())
        return True

    def _is_export_name(self) -> bool:
        return self._asked is not None and self._asked.option == Option.EXPORT_NAME

    def _export_size(self, events: list[ClientEvent]) -> bool:
        size = EXPORT_SIZE.size + (0 if self._no_zeroes else 124)
        head = self._inbox.peek(EXPORT_SIZE)
        if head is None or len(self._inbox) < size or self._asked is None:
            return False
        self._inbox.skip(size)
        self._asked.size, self._asked.flags = head
        events.append(self._asked)
        self._asked, self.state = None, ClientState.TRANSMISSION
        return True

    def _option_reply(self, events: list[ClientEvent]) -> bool:
        head = self._inbox.peek(OPTION_REPLY)
        if head is None:
            return False
        magic, option, kind, length = head
        asked = self._asked
        if magic != OPTION_REPLY_MAGIC or asked is None or option != asked.option or length > MAX_OPTION:
            raise ProtocolViolation(f"reply {kind:#x} to option {option} was not asked for")
        if len(self._inbox) < OPTION_REPLY.size + length:
            return False
        self._inbox.skip(OPTION_REPLY.size)
        data = self._inbox.consume(length)
        if kind & REP_ERROR:
            asked.error, asked.message = kind, data.decode("utf-8", "replace")
        elif kind == Rep.SERVER:
            asked.names.append(unpack_string(data, 0, "export name")[0])
            return True
        elif kind == Rep.META_CONTEXT:
            asked.contexts[U32.unpack_from(data)[0]] = data[4:].decode()
            return True
        elif kind == Rep.INFO:
            (what,) = U16.unpack_from(data)
            if what == Info.EXPORT:
                _, asked.size, asked.flags = INFO_EXPORT.unpack(data)
            elif what == Info.BLOCK_SIZE:
                asked.block_sizes = INFO_BLOCK_SIZE.unpack(data)[1:]
            return True  # kinds of information we don't know are skipped
        elif kind != Rep.ACK:
            raise ProtocolViolation(f"unknown reply {kind:#x} to option {option}")
        else:
            self._acknowledged(asked)
        self._asked = None
        events.append(asked)
        return True

    def _acknowledged(self, asked: OptionEnded) -> None:
        match asked.option:
            case Option.STRUCTURED_REPLY:
                self.structured = True
            case Option.SET_META_CONTEXT:
                self.contexts = asked.contexts
            case Option.GO:
                if not asked.flags & TransmissionFlags.HAS_FLAGS:
                    raise ProtocolViolation("GO was acknowledged without the export's size")
                self.state = ClientState.TRANSMISSION
            case Option.ABORT:
                self.state = ClientState.CLOSED

    def _reply(self, events: list[ClientEvent]) -> bool:
        magic = self._inbox.peek(U32)
        if magic is None:
            return False
        if magic[0] == STRUCTURED_REPLY_MAGIC and self.structured:
            return self._chunk(events)
        if magic[0] != SIMPLE_REPLY_MAGIC:
            raise ProtocolViolation(f"bad reply magic {magic[0]:#x}")
        head = self._inbox.peek(SIMPLE_REPLY)
        if head is None:
            return False
        _, error, cookie = head
        pending = self._find(cookie)
        if pending.command == Command.READ and self.structured:
            raise ProtocolViolation("a simple reply to READ after structured replies were negotiated")
        length = pending.length if pending.command == Command.READ and not error else 0
        if len(self._inbox) < SIMPLE_REPLY.size + length:
            return False
        self._inbox.skip(SIMPLE_REPLY.size)
        pending.reply.error = error
        pending.reply.data = self._inbox.consume(length)
        del self._pending[cookie]
        events.append(pending.reply)
        return True

    def _find(self, cookie: int) -> _Pending:
        pending = self._pending.get(cookie)
        if pending is None:
            raise ProtocolViolation(f"a reply to cookie {cookie:#x}, which is not in flight")
        return pending

    def _chunk(self, events: list[ClientEvent]) -> bool:
        head = self._inbox.peek(CHUNK)
        if head is None:
            return False
        _, flags, kind, cookie, length = head
        pending = self._find(cookie)
        if length > max(MAX_OPTION, pending.length + U64.size):
            raise ProtocolViolation(f"a chunk of {length} bytes")
        if len(self._inbox) < CHUNK.size + length:
            return False
        self._inbox.skip(CHUNK.size)
        self._take_chunk(pending, kind, self._inbox.consume(length))
        if flags & CHUNK_DONE:
            del self._pending[cookie]
            self._finish(pending)
            events.append(pending.reply)
        return True

    def _take_chunk(self, pending: _Pending, kind: int, data: bytes) -> None:
        reply = pending.reply
        if kind & CHUNK_ERROR:
            reply.error, size = ERROR.unpack_from(data)
            if not reply.error or len(data) < ERROR.size + size:
                raise ProtocolViolation("an error chunk without an error")
            reply.message = data[ERROR.size : ERROR.size + size].decode("utf-8", "replace")
            reply.never_ran = kind == Chunk.ERROR_NEVER_RAN and self.has_extension
        elif kind == Chunk.OFFSET_DATA:
            (offset,) = U64.unpack_from(data)
            self._place(pending, offset, data[U64.size :])
        elif kind == Chunk.OFFSET_HOLE:
            self._place(pending, *HOLE.unpack(data))
        elif kind == Chunk.BLOCK_STATUS:
            (context,) = U32.unpack_from(data)
            if context not in self.contexts or (len(data) - U32.size) % EXTENT.size:
                raise ProtocolViolation(f"block status of context {context}")
            reply.extents.extend(EXTENT.iter_unpack(data[U32.size :]))
        elif kind == Chunk.REPORT and self.has_extension:
            reply.report = extension.Report.unpack(data)
        elif kind != Chunk.NONE:
            raise ProtocolViolation(f"unknown chunk type {kind:#x}")

    def _place(self, pending: _Pending, offset: int, piece: bytes | int) -> None:
        size = piece if isinstance(piece, int) else len(piece)
        end = pending.offset + pending.length
        if pending.command != Command.READ or not size or offset < pending.offset or offset + size > end:
            raise ProtocolViolation("data outside of what was asked for")
        if offset in pending.pieces:
            raise ProtocolViolation("the same data twice")
        pending.pieces[offset] = piece

    def _finish(self, pending: _Pending) -> None:
        if pending.command != Command.READ or pending.reply.error:
            return
        at, parts = pending.offset, []
        for offset, piece in sorted(pending.pieces.items()):
            if offset != at:
                raise ProtocolViolation("a read's chunks leave a gap or overlap")
            parts.append(bytes(piece))
            at += len(parts[-1])
        if at != pending.offset + pending.length:
            raise ProtocolViolation("a read's chunks do not cover it")
        pending.reply.data = b"".join(parts)


def errno_name(error: int) -> str:
    """Name an error value for people."""
    return Errno(error).name if error in Errno._value2member_map_ else f"error {error}"
