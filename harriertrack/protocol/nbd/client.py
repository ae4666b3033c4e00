"""The client's side of an NBD connection.

The handshake negotiates one option at a time: send an option, pass the received bytes to `receive`, and wait
for its `OptionEnded`. In the transmission phase `request` queues a request; `receive` returns exactly one
`Reply` for it, whether the server sends a simple reply or structured reply chunks.
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
    """The server's greeting was received; options may be sent."""


@dataclass(slots=True)
class OptionEnded:
    """An option received its final reply; `error` is 0 or the type of the error reply."""

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
    """The complete reply to a request; `extents` are (length, status flags)."""

    cookie: int
    error: int = 0
    message: str = ""
    data: bytes = b""
    extents: list[tuple[int, int]] = field(default_factory=list)
    never_ran: bool = False  # extension: the server guarantees that the request never ran
    report: extension.Report | None = None


ClientEvent = GreetingReceived | OptionEnded | Reply


class ClientState(Enum):
    """Phase of the protocol."""

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
    pieces: dict[int, bytes | int] = field(default_factory=dict)  # by offset: data, or the length of a hole


class ClientConnection:
    """The client's side of one connection."""

    def __init__(self) -> None:
        self._inbox = ReceiveBuffer()
        self.state = ClientState.GREETING
        self.outgoing: list[bytes | memoryview] = []
        self.structured = False
        self.contexts: dict[int, str] = {}
        self._pending_option: OptionEnded | None = None
        self._no_zeroes = False
        self._pending: dict[int, _Pending] = {}

    def take_outgoing(self) -> list[bytes | memoryview]:
        """Return the bytes to send and clear the queue."""
        outgoing, self.outgoing = self.outgoing, []
        return outgoing

    @property
    def has_extension(self) -> bool:
        """Whether the harriertrack extension was negotiated."""
        return any(name.startswith(extension.NAMESPACE) for name in self.contexts.values())

    @property
    def in_flight(self) -> int:
        """Return how many requests have no reply yet."""
        return len(self._pending)

    # -- handshake

    def _send_option(self, option: Option, data: bytes = b"") -> None:
        if self.state is not ClientState.OPTIONS or self._pending_option is not None:
            raise ValueError(f"can't send option {option.name} in this state")
        self.outgoing.append(OPTION.pack(OPTION_MAGIC, option, len(data)) + data)
        self._pending_option = OptionEnded(option)

    def send_structured_reply(self) -> None:
        """Negotiate structured replies."""
        self._send_option(Option.STRUCTURED_REPLY)

    def send_list(self) -> None:
        """Request the names of the exports."""
        self._send_option(Option.LIST)

    def send_meta_contexts(self, export: str, queries: Sequence[str], list_only: bool = False) -> None:
        """Select meta contexts for an export, or only list those that match the queries."""
        body = (
            pack_string(export) + U32.pack(len(queries)) + b"".join(pack_string(query) for query in queries)
        )
        self._send_option(Option.LIST_META_CONTEXT if list_only else Option.SET_META_CONTEXT, body)

    def send_go(self, export: str, info_only: bool = False) -> None:
        """Select an export and start transmission, or only request information about it."""
        info_requests = U16.pack(1) + U16.pack(Info.BLOCK_SIZE)
        self._send_option(Option.INFO if info_only else Option.GO, pack_string(export) + info_requests)

    def send_export_name(self, export: str) -> None:
        """Select an export by EXPORT_NAME, the older option that has no error reply."""
        self._send_option(Option.EXPORT_NAME, export.encode())

    def send_abort(self) -> None:
        """Abort the handshake."""
        self._send_option(Option.ABORT)

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
        """Queue a request to be sent; `length` is ignored if there is data.

        Raises ValueError if the cookie is in flight or the connection is not in transmission.
        """
        if self.state is not ClientState.TRANSMISSION or cookie in self._pending:
            raise ValueError(
                f"can't send a request with cookie {cookie}: not in transmission, or it is in flight"
            )
        length = len(data) or length
        if command not in (Command.DISC, Command.CANCEL):
            self._pending[cookie] = _Pending(command, offset, length, Reply(cookie))
        self.outgoing.append(REQUEST.pack(REQUEST_MAGIC, flags, command, cookie, offset, length))
        if data:
            self.outgoing.append(data)

    def cancel(self, cookie: int) -> None:
        """Cancel an attempt (extension); a reply to it may still be received."""
        self.outgoing.append(REQUEST.pack(REQUEST_MAGIC, 0, Command.CANCEL, cookie, 0, 0))

    def disconnect(self) -> None:
        """Send DISC."""
        self.request(Command.DISC, 0)
        self.state = ClientState.CLOSED

    # -- receiving

    def receive(self, data: bytes) -> list[ClientEvent]:
        """Parse received bytes; return events. Raises ProtocolViolation if the connection must be closed."""
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
                return self._parse_reply(events)
            case ClientState.OPTIONS:
                return (
                    self._parse_export_size(events)
                    if self._is_export_name()
                    else self._parse_option_reply(events)
                )
            case ClientState.GREETING:
                return self._parse_greeting(events)
        return False

    def _parse_greeting(self, events: list[ClientEvent]) -> bool:
        fields = self._inbox.peek(GREETING)
        if fields is None:
            return False
        self._inbox.skip(GREETING.size)
        magic, option_magic, flags = fields
        if (magic, option_magic) != (NBD_MAGIC, OPTION_MAGIC):
            raise ProtocolViolation("the server is not an NBD server with newstyle negotiation")
        if not flags & HandshakeFlags.FIXED_NEWSTYLE:
            raise ProtocolViolation("the server does not support fixed newstyle negotiation")
        self._no_zeroes = bool(flags & HandshakeFlags.NO_ZEROES)
        self.outgoing.append(U32.pack(flags & (HandshakeFlags.FIXED_NEWSTYLE | HandshakeFlags.NO_ZEROES)))
        self.state = ClientState.OPTIONS
        events.append(GreetingReceived())
        return True

    def _is_export_name(self) -> bool:
        return self._pending_option is not None and self._pending_option.option == Option.EXPORT_NAME

    def _parse_export_size(self, events: list[ClientEvent]) -> bool:
        size = EXPORT_SIZE.size + (0 if self._no_zeroes else 124)
        fields = self._inbox.peek(EXPORT_SIZE)
        if fields is None or len(self._inbox) < size or self._pending_option is None:
            return False
        self._inbox.skip(size)
        self._pending_option.size, self._pending_option.flags = fields
        events.append(self._pending_option)
        self._pending_option, self.state = None, ClientState.TRANSMISSION
        return True

    def _parse_option_reply(self, events: list[ClientEvent]) -> bool:
        fields = self._inbox.peek(OPTION_REPLY)
        if fields is None:
            return False
        magic, option, kind, length = fields
        option_result = self._pending_option
        if (
            magic != OPTION_REPLY_MAGIC
            or option_result is None
            or option != option_result.option
            or length > MAX_OPTION
        ):
            raise ProtocolViolation(f"unexpected reply {kind:#x} to option {option}, {length} bytes")
        if len(self._inbox) < OPTION_REPLY.size + length:
            return False
        self._inbox.skip(OPTION_REPLY.size)
        data = self._inbox.consume(length)
        if kind & REP_ERROR:
            option_result.error, option_result.message = kind, data.decode("utf-8", "replace")
        elif kind == Rep.SERVER:
            option_result.names.append(unpack_string(data, 0, "export name")[0])
            return True
        elif kind == Rep.META_CONTEXT:
            option_result.contexts[U32.unpack_from(data)[0]] = data[4:].decode()
            return True
        elif kind == Rep.INFO:
            (info_type,) = U16.unpack_from(data)
            if info_type == Info.EXPORT:
                _, option_result.size, option_result.flags = INFO_EXPORT.unpack(data)
            elif info_type == Info.BLOCK_SIZE:
                option_result.block_sizes = INFO_BLOCK_SIZE.unpack(data)[1:]
            return True  # unknown information types are ignored
        elif kind != Rep.ACK:
            raise ProtocolViolation(f"unknown reply {kind:#x} to option {option}")
        else:
            self._handle_ack(option_result)
        self._pending_option = None
        events.append(option_result)
        return True

    def _handle_ack(self, option_result: OptionEnded) -> None:
        match option_result.option:
            case Option.STRUCTURED_REPLY:
                self.structured = True
            case Option.SET_META_CONTEXT:
                self.contexts = option_result.contexts
            case Option.GO:
                if not option_result.flags & TransmissionFlags.HAS_FLAGS:
                    raise ProtocolViolation("GO was acknowledged without NBD_INFO_EXPORT")
                self.state = ClientState.TRANSMISSION
            case Option.ABORT:
                self.state = ClientState.CLOSED

    def _parse_reply(self, events: list[ClientEvent]) -> bool:
        magic = self._inbox.peek(U32)
        if magic is None:
            return False
        if magic[0] == STRUCTURED_REPLY_MAGIC and self.structured:
            return self._parse_chunk(events)
        if magic[0] != SIMPLE_REPLY_MAGIC:
            raise ProtocolViolation(f"bad reply magic {magic[0]:#x}")
        fields = self._inbox.peek(SIMPLE_REPLY)
        if fields is None:
            return False
        _, error, cookie = fields
        pending = self._find_pending(cookie)
        if pending.command == Command.READ and self.structured:
            raise ProtocolViolation("simple reply to READ after structured replies were negotiated")
        length = pending.length if pending.command == Command.READ and not error else 0
        if len(self._inbox) < SIMPLE_REPLY.size + length:
            return False
        self._inbox.skip(SIMPLE_REPLY.size)
        pending.reply.error = error
        pending.reply.data = self._inbox.consume(length)
        del self._pending[cookie]
        events.append(pending.reply)
        return True

    def _find_pending(self, cookie: int) -> _Pending:
        pending = self._pending.get(cookie)
        if pending is None:
            raise ProtocolViolation(f"reply to cookie {cookie:#x}, which is not in flight")
        return pending

    def _parse_chunk(self, events: list[ClientEvent]) -> bool:
        fields = self._inbox.peek(CHUNK)
        if fields is None:
            return False
        _, flags, kind, cookie, length = fields
        pending = self._find_pending(cookie)
        if length > max(MAX_OPTION, pending.length + U64.size):
            raise ProtocolViolation(f"reply chunk of {length} bytes is too long")
        if len(self._inbox) < CHUNK.size + length:
            return False
        self._inbox.skip(CHUNK.size)
        self._handle_chunk(pending, kind, self._inbox.consume(length))
        if flags & CHUNK_DONE:
            del self._pending[cookie]
            self._assemble_read(pending)
            events.append(pending.reply)
        return True

    def _handle_chunk(self, pending: _Pending, kind: int, data: bytes) -> None:
        reply = pending.reply
        if kind & CHUNK_ERROR:
            reply.error, size = ERROR.unpack_from(data)
            if not reply.error or len(data) < ERROR.size + size:
                raise ProtocolViolation("error chunk without an error value, or with a truncated message")
            reply.message = data[ERROR.size : ERROR.size + size].decode("utf-8", "replace")
            reply.never_ran = kind == Chunk.ERROR_NEVER_RAN and self.has_extension
        elif kind == Chunk.OFFSET_DATA:
            (offset,) = U64.unpack_from(data)
            self._add_piece(pending, offset, data[U64.size :])
        elif kind == Chunk.OFFSET_HOLE:
            self._add_piece(pending, *HOLE.unpack(data))
        elif kind == Chunk.BLOCK_STATUS:
            (context,) = U32.unpack_from(data)
            if context not in self.contexts or (len(data) - U32.size) % EXTENT.size:
                raise ProtocolViolation(
                    f"block status of context {context} was not negotiated or is malformed"
                )
            reply.extents.extend(EXTENT.iter_unpack(data[U32.size :]))
        elif kind == Chunk.REPORT and self.has_extension:
            reply.report = extension.Report.unpack(data)
        elif kind != Chunk.NONE:
            raise ProtocolViolation(f"unknown chunk type {kind:#x}")

    def _add_piece(self, pending: _Pending, offset: int, piece: bytes | int) -> None:
        size = piece if isinstance(piece, int) else len(piece)
        end = pending.offset + pending.length
        if pending.command != Command.READ or not size or offset < pending.offset or offset + size > end:
            raise ProtocolViolation("data outside the requested range")
        if offset in pending.pieces:
            raise ProtocolViolation("two chunks of a read at the same offset")
        pending.pieces[offset] = piece

    def _assemble_read(self, pending: _Pending) -> None:
        if pending.command != Command.READ or pending.reply.error:
            return
        end, parts = pending.offset, []
        for offset, piece in sorted(pending.pieces.items()):
            if offset != end:
                raise ProtocolViolation("chunks of a read leave a gap or overlap")
            parts.append(bytes(piece))
            end += len(parts[-1])
        if end != pending.offset + pending.length:
            raise ProtocolViolation("chunks of a read do not cover the requested range")
        pending.reply.data = b"".join(parts)


def errno_name(error: int) -> str:
    """Return the name of an error value, for display."""
    return Errno(error).name if error in Errno._value2member_map_ else f"error {error}"
