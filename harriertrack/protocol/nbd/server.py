"""The server's side of an NBD connection.

`ServerConnection.receive` parses received bytes and returns events; bytes to send are queued in `outgoing`.
An error of the client has one of three results, as the specification requires: an error reply to an option,
an error reply to a request, or `ProtocolViolation`, after which the connection must be closed.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from harriertrack.protocol.nbd import extension
from harriertrack.protocol.nbd.wire import (
    BASE_ALLOCATION,
    CHUNK,
    CHUNK_DONE,
    ERROR,
    EXPORT_SIZE,
    EXTENT,
    GREETING,
    HOLE,
    INFO_BLOCK_SIZE,
    INFO_EXPORT,
    MAX_OPTION,
    MAX_PAYLOAD,
    MAX_QUERIES,
    MAX_SKIPPED,
    NBD_MAGIC,
    OPTION,
    OPTION_MAGIC,
    OPTION_REPLY,
    OPTION_REPLY_MAGIC,
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
    CommandFlags,
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

_WRITE, _DISC = int(Command.WRITE), int(Command.DISC)
_EXTENSION_COMMANDS = frozenset(map(int, (Command.CANCEL, Command.TICK, Command.CAUGHT_UP, Command.DIGEST)))
# Flags valid for a command; any other is EINVAL. The specification allows FUA on all commands.
# Plain integers, because arithmetic on IntFlag is many times slower and every request is checked.
_VALID_FLAGS = {
    Command.READ: int(CommandFlags.FUA | CommandFlags.DF),
    Command.WRITE: int(CommandFlags.FUA),
    Command.FLUSH: int(CommandFlags.FUA),
    Command.TRIM: int(CommandFlags.FUA),
    Command.CACHE: int(CommandFlags.FUA),
    Command.WRITE_ZEROES: int(CommandFlags.FUA | CommandFlags.NO_HOLE),
    Command.BLOCK_STATUS: int(CommandFlags.FUA | CommandFlags.REQ_ONE),
}
_REQUIRED_FLAGS = {
    Command.FLUSH: int(TransmissionFlags.SEND_FLUSH),
    Command.TRIM: int(TransmissionFlags.SEND_TRIM),
    Command.CACHE: int(TransmissionFlags.SEND_CACHE),
    Command.WRITE_ZEROES: int(TransmissionFlags.SEND_WRITE_ZEROES),
}
_COMMANDS = {int(command): command for command in _VALID_FLAGS}
_MODIFYING_COMMANDS = (Command.WRITE, Command.TRIM, Command.WRITE_ZEROES)
_DF, _READ_ONLY = int(CommandFlags.DF), int(TransmissionFlags.READ_ONLY)


@dataclass(frozen=True, slots=True)
class ExportInfo:
    """An export as the server describes it; sizes are bytes."""

    name: str
    size: int
    flags: TransmissionFlags
    description: str = ""
    min_block_size: int = 1
    preferred_block_size: int = 4096
    max_payload: int = MAX_PAYLOAD


class Exports(Protocol):
    """Looks up the exports of a server."""

    def names(self) -> Iterable[str]:
        """Return the names of exports for LIST."""

    def find(self, name: str) -> ExportInfo | None:
        """Return an export, or None; "" is the name of the default export."""

    def contexts(self, export: str, query: str) -> Iterable[str]:
        """Return the names of the meta contexts other than `base:allocation` that a query selects."""


@dataclass(slots=True)
class ExportOpened:
    """The client selected an export, which ends the handshake."""

    export: ExportInfo
    contexts: tuple[str, ...]


@dataclass(slots=True)
class Request:
    """A valid request, which must be replied to (except CANCEL)."""

    cookie: int
    command: Command
    flags: int
    offset: int
    length: int
    data: bytes = b""
    tick: int = 0  # extension: the newest of this server's ticks that the client has received


@dataclass(slots=True)
class Disconnect:
    """The client sent DISC: reply to the requests in flight, then close the connection."""


@dataclass(slots=True)
class HandshakeAborted:
    """The client sent ABORT during the handshake: send the outgoing bytes, then close the connection."""


ServerEvent = ExportOpened | Request | Disconnect | HandshakeAborted


class ServerState(Enum):
    """Phase of the protocol."""

    FLAGS = "client flags"
    OPTIONS = "options"
    TRANSMISSION = "transmission"
    CLOSED = "closed"


class ServerConnection:
    """The server's side of one connection."""

    def __init__(self, exports: Exports) -> None:
        self._exports = exports
        self._inbox = ReceiveBuffer()
        self._skip_bytes = 0  # remaining data of a too long option, to be discarded
        self.state = ServerState.FLAGS
        self.outgoing: list[bytes] = []
        self.export: ExportInfo | None = None
        self._export_flags = 0  # the export's transmission flags as a plain integer
        self.structured = False
        self.contexts: dict[int, str] = {}
        self._context_export = ""
        self._fixed_newstyle = self._no_zeroes = False
        flags = HandshakeFlags.FIXED_NEWSTYLE | HandshakeFlags.NO_ZEROES
        self.outgoing.append(GREETING.pack(NBD_MAGIC, OPTION_MAGIC, flags))

    @property
    def partial_bytes(self) -> int:
        """Return how many bytes of an incomplete request or option are held."""
        return len(self._inbox)

    def take_outgoing(self) -> list[bytes]:
        """Return the bytes to send and clear the queue."""
        outgoing, self.outgoing = self.outgoing, []
        return outgoing

    def receive(self, data: bytes | memoryview) -> list[ServerEvent]:
        """Parse received bytes; return events. Raises ProtocolViolation if the connection must be closed."""
        self._inbox.add(data)
        events: list[ServerEvent] = []
        try:
            while self._step(events):
                pass
        except ProtocolViolation:
            self.state = ServerState.CLOSED
            raise
        return events

    def _step(self, events: list[ServerEvent]) -> bool:
        if self.state is ServerState.TRANSMISSION:
            return self._parse_request(events)
        if self.state is ServerState.OPTIONS:
            return self._parse_option(events)
        if self.state is ServerState.FLAGS:
            return self._parse_client_flags()
        return False

    # -- handshake

    def _parse_client_flags(self) -> bool:
        fields = self._inbox.peek(U32)
        if fields is None:
            return False
        self._inbox.skip(U32.size)
        (flags,) = fields
        if flags & ~int(HandshakeFlags.FIXED_NEWSTYLE | HandshakeFlags.NO_ZEROES):
            raise ProtocolViolation(f"unknown client flags {flags:#x}")
        self._fixed_newstyle = bool(flags & HandshakeFlags.FIXED_NEWSTYLE)
        self._no_zeroes = bool(flags & HandshakeFlags.NO_ZEROES)
        self.state = ServerState.OPTIONS
        return True

    def _parse_option(self, events: list[ServerEvent]) -> bool:
        inbox = self._inbox
        if self._skip_bytes:
            step = min(self._skip_bytes, len(inbox))
            inbox.skip(step)
            self._skip_bytes -= step
            return step > 0
        fields = inbox.peek(OPTION)
        if fields is None:
            return False
        magic, option, length = fields
        if magic != OPTION_MAGIC:
            raise ProtocolViolation(f"bad option magic {magic:#x}")
        if not self._fixed_newstyle and option != Option.EXPORT_NAME:
            raise ProtocolViolation("a client without fixed newstyle may send only EXPORT_NAME")
        if length > MAX_OPTION:
            if length > MAX_SKIPPED or option == Option.EXPORT_NAME:
                raise ProtocolViolation(f"option {option} with {length} bytes")
            inbox.skip(OPTION.size)
            self._skip_bytes = length
            self._reply_to_option(option, Rep.ERR_TOO_BIG, f"at most {MAX_OPTION} bytes".encode())
            return True
        if len(inbox) < OPTION.size + length:
            return False
        inbox.skip(OPTION.size)
        data = inbox.consume(length)
        match option:
            case Option.EXPORT_NAME:
                self._handle_export_name(data, events)
            case Option.ABORT:
                self._reply_to_option(option, Rep.ACK)
                self.state = ServerState.CLOSED
                events.append(HandshakeAborted())
            case Option.LIST:
                self._handle_list(data)
            case Option.INFO | Option.GO:
                self._handle_info(option, data, events)
            case Option.STRUCTURED_REPLY:
                if data:
                    self._reply_to_option(option, Rep.ERR_INVALID, b"this option has no data")
                else:
                    self.structured = True
                    self._reply_to_option(option, Rep.ACK)
            case Option.LIST_META_CONTEXT | Option.SET_META_CONTEXT:
                self._handle_meta_context(option, data)
            case Option.STARTTLS if data:
                self._reply_to_option(option, Rep.ERR_INVALID, b"this option has no data")
            case _:  # includes STARTTLS: this server does not support TLS
                self._reply_to_option(option, Rep.ERR_UNSUP)
        return True

    def _reply_to_option(self, option: int, kind: Rep, data: bytes = b"") -> None:
        self.outgoing.append(OPTION_REPLY.pack(OPTION_REPLY_MAGIC, option, kind, len(data)) + data)

    def _start_transmission(self, export: ExportInfo, events: list[ServerEvent]) -> None:
        self.export, self._export_flags = export, int(export.flags)
        self.state = ServerState.TRANSMISSION
        # Contexts are valid only for the export that they were negotiated for.
        if self._context_export != export.name:
            self.contexts = {}
        events.append(ExportOpened(export, tuple(self.contexts.values())))

    def _handle_export_name(self, data: bytes, events: list[ServerEvent]) -> None:
        # NBD_OPT_EXPORT_NAME has no error reply, so the specification requires the connection to be closed.
        try:
            name = data.decode("utf-8")
        except UnicodeDecodeError as error:
            raise ProtocolViolation("export name is not UTF-8") from error
        export = self._exports.find(name)
        if export is None:
            raise ProtocolViolation(f"no export {name[:80]!r}")
        zeroes = b"" if self._no_zeroes else bytes(124)
        self.outgoing.append(EXPORT_SIZE.pack(export.size, self._transmission_flags(export)) + zeroes)
        self._start_transmission(export, events)

    def _transmission_flags(self, export: ExportInfo) -> int:
        flags = export.flags | TransmissionFlags.HAS_FLAGS
        if not self.structured:
            flags &= ~TransmissionFlags.SEND_DF
        return int(flags)

    def _handle_list(self, data: bytes) -> None:
        if data:
            self._reply_to_option(Option.LIST, Rep.ERR_INVALID, b"this option has no data")
            return
        for name in self._exports.names():
            self._reply_to_option(Option.LIST, Rep.SERVER, pack_string(name))
        self._reply_to_option(Option.LIST, Rep.ACK)

    def _handle_info(self, option: int, data: bytes, events: list[ServerEvent]) -> None:
        try:
            name, position = unpack_string(data, 0, "export name")
            (count,) = U16.unpack_from(data, position)
            if len(data) != position + 2 + 2 * count:
                raise ValueError("the number of information requests does not fit")
            info_types = {U16.unpack_from(data, position + 2 + 2 * index)[0] for index in range(count)}
        except (ValueError, struct.error) as error:
            self._reply_to_option(option, Rep.ERR_INVALID, str(error).encode()[:MAX_OPTION])
            return
        export = self._exports.find(name)
        if export is None:
            self._reply_to_option(option, Rep.ERR_UNKNOWN, b"no such export")
            return
        self._reply_to_option(
            option, Rep.INFO, INFO_EXPORT.pack(Info.EXPORT, export.size, self._transmission_flags(export))
        )
        if Info.NAME in info_types:
            self._reply_to_option(option, Rep.INFO, U16.pack(Info.NAME) + export.name.encode())
        if Info.DESCRIPTION in info_types and export.description:
            self._reply_to_option(option, Rep.INFO, U16.pack(Info.DESCRIPTION) + export.description.encode())
        sizes = (export.min_block_size, export.preferred_block_size, export.max_payload)
        if Info.BLOCK_SIZE in info_types or export.min_block_size > 1:
            self._reply_to_option(option, Rep.INFO, INFO_BLOCK_SIZE.pack(Info.BLOCK_SIZE, *sizes))
        if option == Option.GO and export.min_block_size > 1 and Info.BLOCK_SIZE not in info_types:
            self._reply_to_option(option, Rep.ERR_BLOCK_SIZE_REQD, b"ask for NBD_INFO_BLOCK_SIZE")
            return
        self._reply_to_option(option, Rep.ACK)
        if option == Option.GO:
            self._start_transmission(export, events)

    def _handle_meta_context(self, option: int, data: bytes) -> None:
        try:
            name, position = unpack_string(data, 0, "export name")
            (count,) = U32.unpack_from(data, position)
            if count > MAX_QUERIES:
                self._reply_to_option(option, Rep.ERR_TOO_BIG, f"at most {MAX_QUERIES} queries".encode())
                return
            position += 4
            queries = []
            for _ in range(count):
                query, position = unpack_string(data, position, "query")
                queries.append(query)
            if position != len(data):
                raise ValueError("data after the last query")
            if not self.structured:
                raise ValueError("structured replies must be negotiated first")
        except (ValueError, struct.error) as error:
            self._reply_to_option(option, Rep.ERR_INVALID, str(error).encode()[:MAX_OPTION])
            return
        export = self._exports.find(name)
        if export is None:
            self._reply_to_option(option, Rep.ERR_UNKNOWN, b"no such export")
            return
        list_only = option == Option.LIST_META_CONTEXT
        selected: dict[str, None] = {}  # in the order of the queries, without duplicates
        if list_only and not queries:
            queries = [BASE_ALLOCATION]
        for query in queries:
            if query == BASE_ALLOCATION or (list_only and query == "base:"):
                selected[BASE_ALLOCATION] = None
            else:
                selected.update(dict.fromkeys(self._exports.contexts(export.name, query)))
        if not list_only:
            self.contexts = dict(enumerate(selected, start=1))
            self._context_export = export.name
        for context_id, context in enumerate(selected, start=1):
            self._reply_to_option(
                option, Rep.META_CONTEXT, U32.pack(0 if list_only else context_id) + context.encode()
            )
        self._reply_to_option(option, Rep.ACK)

    # -- transmission

    def _parse_request(self, events: list[ServerEvent]) -> bool:
        inbox = self._inbox
        fields = inbox.peek(REQUEST)
        if fields is None:
            return False
        magic, flags, kind, cookie, offset, length = fields
        if magic != REQUEST_MAGIC:
            raise ProtocolViolation(f"bad request magic {magic:#x}")
        data = b""
        if kind == _WRITE:
            if length > MAX_PAYLOAD:
                raise ProtocolViolation(f"a write of {length} bytes; at most {MAX_PAYLOAD}")
            if len(inbox) < REQUEST.size + length:
                return False
            inbox.skip(REQUEST.size)
            data = inbox.consume(length)
        else:
            inbox.skip(REQUEST.size)
            if kind == _DISC:
                self.state = ServerState.CLOSED
                events.append(Disconnect())
                return False
            if kind in _EXTENSION_COMMANDS and self.has_extension:
                tick = flags >> extension.TICK_SHIFT
                events.append(Request(cookie, Command(kind), 0, offset, length, b"", tick))
                return True
        tick = flags >> extension.TICK_SHIFT if self.has_extension else 0
        flags -= tick << extension.TICK_SHIFT
        error, message = self._check(kind, flags, offset, length)
        if error:
            self.reply_error(cookie, error, message)
        else:
            events.append(Request(cookie, _COMMANDS[kind], flags, offset, length, data, tick))
        return True

    def _check(self, kind: int, flags: int, offset: int, length: int) -> tuple[Errno, str]:
        """Return the error and message for a request that protocol or export do not allow, else OK."""
        export, export_flags = self.export, self._export_flags
        assert export is not None
        if (command := _COMMANDS.get(kind)) is None:
            return Errno.EINVAL, f"unknown command {kind}"
        if flags and flags & ~_VALID_FLAGS[command]:
            return Errno.EINVAL, f"flags {flags:#x} with {command.name}"
        if flags & _DF and not self.structured:
            return Errno.EINVAL, "DF needs structured replies"
        if (required := _REQUIRED_FLAGS.get(command)) is not None and not export_flags & required:
            return Errno.EINVAL, f"{command.name} was not offered"
        if command is Command.FLUSH:
            return (Errno.EINVAL, "FLUSH has no offset or length") if offset or length else (Errno.OK, "")
        if export_flags & _READ_ONLY and command in _MODIFYING_COMMANDS:
            return Errno.EPERM, "read-only export"
        if offset + length > export.size:
            # The specification requires ENOSPC for writes past the end, EINVAL for other commands.
            return (
                Errno.ENOSPC if command in _MODIFYING_COMMANDS else Errno.EINVAL
            ), "past the end of the export"
        if command in (Command.READ, Command.WRITE) and length > export.max_payload:
            return Errno.EOVERFLOW, f"at most {export.max_payload} bytes"
        if command is Command.BLOCK_STATUS and (not self.contexts or not length):
            return Errno.EINVAL, "BLOCK_STATUS needs a negotiated context and a length"
        if export.min_block_size > 1 and (offset % export.min_block_size or length % export.min_block_size):
            return Errno.EINVAL, f"not aligned to {export.min_block_size} bytes"
        return Errno.OK, ""

    @property
    def has_extension(self) -> bool:
        """Whether the harriertrack extension was negotiated."""
        return any(name.startswith(extension.NAMESPACE) for name in self.contexts.values())

    def _send_chunk(self, cookie: int, flags: int, kind: int, header: bytes = b"", data: bytes = b"") -> None:
        length = len(header) + len(data)
        self.outgoing.append(CHUNK.pack(STRUCTURED_REPLY_MAGIC, flags, kind, cookie, length) + header)
        if data:
            self.outgoing.append(data)

    def reply_done(self, cookie: int, report: extension.Report | None = None) -> None:
        """Reply to a request with success and no data."""
        if not self.structured:
            self.outgoing.append(SIMPLE_REPLY.pack(SIMPLE_REPLY_MAGIC, 0, cookie))
            return
        self._send_report(cookie, report)
        self._send_chunk(cookie, CHUNK_DONE, Chunk.NONE)

    def _send_report(self, cookie: int, report: extension.Report | None) -> None:
        if report is not None and self.has_extension:
            self._send_chunk(cookie, 0, Chunk.REPORT, report.pack())

    def reply_error(self, cookie: int, error: Errno, message: str = "", never_ran: bool = False) -> None:
        """Reply to a request with an error; `never_ran` (extension) guarantees that it never ran."""
        if not self.structured:
            self.outgoing.append(SIMPLE_REPLY.pack(SIMPLE_REPLY_MAGIC, error, cookie))
            return
        text = message.encode()[: MAX_OPTION // 16]
        kind = Chunk.ERROR_NEVER_RAN if never_ran and self.has_extension else Chunk.ERROR
        self._send_chunk(cookie, CHUNK_DONE, kind, ERROR.pack(error, len(text)) + text)

    def reply_read(self, cookie: int, offset: int, pieces: Sequence[bytes | int], one_chunk: bool = False,
                   report: extension.Report | None = None) -> None:  # fmt: skip
        """Reply to a READ with its data from `offset` on; a number is the length of a hole.

        `one_chunk` (the DF flag) joins several pieces into one chunk, with holes as zeroes.
        """
        if not self.structured:
            self.outgoing.append(SIMPLE_REPLY.pack(SIMPLE_REPLY_MAGIC, 0, cookie))
            self.outgoing.extend(bytes(piece) for piece in pieces)
            return
        self._send_report(cookie, report)
        if one_chunk and len(pieces) > 1:
            pieces = [b"".join(bytes(piece) for piece in pieces)]
        for index, piece in enumerate(pieces):
            done = CHUNK_DONE if index == len(pieces) - 1 else 0
            if isinstance(piece, int):
                self._send_chunk(cookie, done, Chunk.OFFSET_HOLE, HOLE.pack(offset, piece))
                offset += piece
            else:
                self._send_chunk(cookie, done, Chunk.OFFSET_DATA, U64.pack(offset), piece)
                offset += len(piece)
        if not pieces:
            self._send_chunk(cookie, CHUNK_DONE, Chunk.NONE)

    def reply_block_status(
        self, cookie: int, extents: Sequence[tuple[int, int]], context: str = BASE_ALLOCATION
    ) -> None:
        """Reply to BLOCK_STATUS with (length, flags) of extents; `context` is a prefix of the name."""
        context_ids = [context_id for context_id, name in self.contexts.items() if name.startswith(context)]
        if not context_ids:
            self.reply_error(cookie, Errno.EINVAL, f"{context} was not negotiated")
            return
        body = b"".join(EXTENT.pack(length, flags) for length, flags in extents)
        self._send_chunk(cookie, CHUNK_DONE, Chunk.BLOCK_STATUS, U32.pack(context_ids[0]) + body)
