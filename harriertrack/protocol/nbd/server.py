"""The server's side of a connection.

`ServerConnection.receive` takes bytes and returns events; what is to be sent gathers in `outgoing`. What the
peer does wrong has one of three answers, as the specification asks: an error reply to an option, an error
reply to a request, or `ProtocolViolation`, after which the connection is to be closed.
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
_OURS = frozenset(map(int, (Command.CANCEL, Command.TICK, Command.CAUGHT_UP, Command.DIGEST)))
# Flags that mean something on a command; any other is EINVAL. FUA may stand on all (spec: command flags).
# Plain
# numbers: arithmetic on IntFlag is many times dearer, and this is looked at for each request.
_FLAGS = {
    Command.READ: int(CommandFlags.FUA | CommandFlags.DF),
    Command.WRITE: int(CommandFlags.FUA),
    Command.FLUSH: int(CommandFlags.FUA),
    Command.TRIM: int(CommandFlags.FUA),
    Command.CACHE: int(CommandFlags.FUA),
    Command.WRITE_ZEROES: int(CommandFlags.FUA | CommandFlags.NO_HOLE),
    Command.BLOCK_STATUS: int(CommandFlags.FUA | CommandFlags.REQ_ONE),
}
_NEEDS = {
    Command.FLUSH: int(TransmissionFlags.SEND_FLUSH),
    Command.TRIM: int(TransmissionFlags.SEND_TRIM),
    Command.CACHE: int(TransmissionFlags.SEND_CACHE),
    Command.WRITE_ZEROES: int(TransmissionFlags.SEND_WRITE_ZEROES),
}
_COMMANDS = {int(command): command for command in _FLAGS}
_CHANGES = (Command.WRITE, Command.TRIM, Command.WRITE_ZEROES)
_DF, _READ_ONLY = int(CommandFlags.DF), int(TransmissionFlags.READ_ONLY)


@dataclass(frozen=True, slots=True)
class ExportInfo:
    """What a server says of an export; sizes are bytes."""

    name: str
    size: int
    flags: TransmissionFlags
    description: str = ""
    min_block_size: int = 1
    preferred_block_size: int = 4096
    max_payload: int = MAX_PAYLOAD


class Exports(Protocol):
    """Where a server side looks its exports up."""

    def names(self) -> Iterable[str]:
        """Return the names that LIST tells."""

    def find(self, name: str) -> ExportInfo | None:
        """Return an export; "" asks for the default one."""

    def contexts(self, export: str, query: str) -> Iterable[str]:
        """Return the names of the meta contexts that a query selects beside `base:allocation`."""


@dataclass(slots=True)
class ExportOpened:
    """The handshake is over: the client uses this export."""

    export: ExportInfo
    contexts: tuple[str, ...]


@dataclass(slots=True)
class Request:
    """A request that is within the protocol and the export; its reply is owed."""

    cookie: int
    command: Command
    flags: int
    offset: int
    length: int
    data: bytes = b""
    tick: int = 0  # extension: the newest tick of ours that the sender had


@dataclass(slots=True)
class Disconnect:
    """The client asked to end: answer what is in flight, then close."""


@dataclass(slots=True)
class HandshakeAborted:
    """The client left during the handshake: send what is outgoing, then close."""


ServerEvent = ExportOpened | Request | Disconnect | HandshakeAborted


class ServerState(Enum):
    """Where a connection is."""

    FLAGS = "client flags"
    OPTIONS = "options"
    TRANSMISSION = "transmission"
    CLOSED = "closed"


class ServerConnection:
    """One connection, seen from the server."""

    def __init__(self, exports: Exports) -> None:
        self._exports = exports
        self._inbox = ReceiveBuffer()
        self._skip = 0  # option data still to be thrown away
        self.state = ServerState.FLAGS
        self.outgoing: list[bytes] = []
        self.export: ExportInfo | None = None
        self._offered = 0  # the export's flags as a plain number
        self.structured = False
        self.contexts: dict[int, str] = {}
        self._context_export = ""
        self._fixed = self._no_zeroes = False
        flags = HandshakeFlags.FIXED_NEWSTYLE | HandshakeFlags.NO_ZEROES
        self.outgoing.append(GREETING.pack(NBD_MAGIC, OPTION_MAGIC, flags))

    def take_outgoing(self) -> list[bytes]:
        """Return what is to be sent and forget it."""
        outgoing, self.outgoing = self.outgoing, []
        return outgoing

    def receive(self, data: bytes) -> list[ServerEvent]:
        """Take bytes; return what they mean. Raises ProtocolViolation where the connection must be closed."""
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
            return self._request(events)
        if self.state is ServerState.OPTIONS:
            return self._option(events)
        if self.state is ServerState.FLAGS:
            return self._client_flags()
        return False

    # -- handshake

    def _client_flags(self) -> bool:
        head = self._inbox.peek(U32)
        if head is None:
            return False
        self._inbox.skip(U32.size)
        (flags,) = head
        if flags & ~int(HandshakeFlags.FIXED_NEWSTYLE | HandshakeFlags.NO_ZEROES):
            raise ProtocolViolation(f"unknown client flags {flags:#x}")
        self._fixed = bool(flags & HandshakeFlags.FIXED_NEWSTYLE)
        self._no_zeroes = bool(flags & HandshakeFlags.NO_ZEROES)
        self.state = ServerState.OPTIONS
        return True

    def _option(self, events: list[ServerEvent]) -> bool:
        inbox = self._inbox
        if self._skip:
            step = min(self._skip, len(inbox))
            inbox.skip(step)
            self._skip -= step
            return step > 0
        head = inbox.peek(OPTION)
        if head is None:
            return False
        magic, option, length = head
        if magic != OPTION_MAGIC:
            raise ProtocolViolation(f"bad option magic {magic:#x}")
        if not self._fixed and option != Option.EXPORT_NAME:
            raise ProtocolViolation("a client that is not fixed newstyle may only name an export")
        if length > MAX_OPTION:
            if length > MAX_SKIPPED or option == Option.EXPORT_NAME:
                raise ProtocolViolation(f"option {option} with {length} bytes")
            inbox.skip(OPTION.size)
            self._skip = length
            self._reply(option, Rep.ERR_TOO_BIG, f"at most {MAX_OPTION} bytes".encode())
            return True
        if len(inbox) < OPTION.size + length:
            return False
        inbox.skip(OPTION.size)
        data = inbox.consume(length)
        match option:
            case Option.EXPORT_NAME:
                self._export_name(data, events)
            case Option.ABORT:
                self._reply(option, Rep.ACK)
                self.state = ServerState.CLOSED
                events.append(HandshakeAborted())
            case Option.LIST:
                self._list(data)
            case Option.INFO | Option.GO:
                self._info(option, data, events)
            case Option.STRUCTURED_REPLY:
                if data:
                    self._reply(option, Rep.ERR_INVALID, b"this option has no data")
                else:
                    self.structured = True
                    self._reply(option, Rep.ACK)
            case Option.LIST_META_CONTEXT | Option.SET_META_CONTEXT:
                self._meta(option, data)
            case Option.STARTTLS if data:
                self._reply(option, Rep.ERR_INVALID, b"this option has no data")
            case _:  # STARTTLS among them: this server has no TLS
                self._reply(option, Rep.ERR_UNSUP)
        return True

    def _reply(self, option: int, kind: Rep, data: bytes = b"") -> None:
        self.outgoing.append(OPTION_REPLY.pack(OPTION_REPLY_MAGIC, option, kind, len(data)) + data)

    def _open(self, export: ExportInfo, events: list[ServerEvent]) -> None:
        self.export, self._offered = export, int(export.flags)
        self.state = ServerState.TRANSMISSION
        if self._context_export != export.name:  # contexts hold for the export they were asked for
            self.contexts = {}
        events.append(ExportOpened(export, tuple(self.contexts.values())))

    def _export_name(self, data: bytes, events: list[ServerEvent]) -> None:
        # This option has no error reply: all that is left is to close (spec: NBD_OPT_EXPORT_NAME).
        try:
            name = data.decode("utf-8")
        except UnicodeDecodeError as error:
            raise ProtocolViolation("export name is not UTF-8") from error
        export = self._exports.find(name)
        if export is None:
            raise ProtocolViolation(f"no export {name[:80]!r}")
        zeroes = b"" if self._no_zeroes else bytes(124)
        self.outgoing.append(EXPORT_SIZE.pack(export.size, self._flags(export)) + zeroes)
        self._open(export, events)

    def _flags(self, export: ExportInfo) -> int:
        flags = export.flags | TransmissionFlags.HAS_FLAGS
        if not self.structured:
            flags &= ~TransmissionFlags.SEND_DF
        return int(flags)

    def _list(self, data: bytes) -> None:
        if data:
            self._reply(Option.LIST, Rep.ERR_INVALID, b"this option has no data")
            return
        for name in self._exports.names():
            self._reply(Option.LIST, Rep.SERVER, pack_string(name))
        self._reply(Option.LIST, Rep.ACK)

    def _info(self, option: int, data: bytes, events: list[ServerEvent]) -> None:
        try:
            name, at = unpack_string(data, 0, "export name")
            (count,) = U16.unpack_from(data, at)
            if len(data) != at + 2 + 2 * count:
                raise ValueError("the number of information requests does not fit")
            wanted = {U16.unpack_from(data, at + 2 + 2 * number)[0] for number in range(count)}
        except (ValueError, struct.error) as error:
            self._reply(option, Rep.ERR_INVALID, str(error).encode()[:MAX_OPTION])
            return
        export = self._exports.find(name)
        if export is None:
            self._reply(option, Rep.ERR_UNKNOWN, b"no such export")
            return
        self._reply(option, Rep.INFO, INFO_EXPORT.pack(Info.EXPORT, export.size, self._flags(export)))
        if Info.NAME in wanted:
            self._reply(option, Rep.INFO, U16.pack(Info.NAME) + export.name.encode())
        if Info.DESCRIPTION in wanted and export.description:
            self._reply(option, Rep.INFO, U16.pack(Info.DESCRIPTION) + export.description.encode())
        sizes = (export.min_block_size, export.preferred_block_size, export.max_payload)
        if Info.BLOCK_SIZE in wanted or export.min_block_size > 1:
            self._reply(option, Rep.INFO, INFO_BLOCK_SIZE.pack(Info.BLOCK_SIZE, *sizes))
        if option == Option.GO and export.min_block_size > 1 and Info.BLOCK_SIZE not in wanted:
            self._reply(option, Rep.ERR_BLOCK_SIZE_REQD, b"ask for NBD_INFO_BLOCK_SIZE")
            return
        self._reply(option, Rep.ACK)
        if option == Option.GO:
            self._open(export, events)

    def _meta(self, option: int, data: bytes) -> None:
        try:
            name, at = unpack_string(data, 0, "export name")
            (count,) = U32.unpack_from(data, at)
            if count > MAX_QUERIES:
                self._reply(option, Rep.ERR_TOO_BIG, f"at most {MAX_QUERIES} queries".encode())
                return
            at += 4
            queries = []
            for _ in range(count):
                query, at = unpack_string(data, at, "query")
                queries.append(query)
            if at != len(data):
                raise ValueError("data after the last query")
            if not self.structured:
                raise ValueError("structured replies must be negotiated first")
        except (ValueError, struct.error) as error:
            self._reply(option, Rep.ERR_INVALID, str(error).encode()[:MAX_OPTION])
            return
        export = self._exports.find(name)
        if export is None:
            self._reply(option, Rep.ERR_UNKNOWN, b"no such export")
            return
        listing = option == Option.LIST_META_CONTEXT
        chosen: dict[str, None] = {}
        if listing and not queries:
            queries = [BASE_ALLOCATION]
        for query in queries:
            if query == BASE_ALLOCATION or (listing and query == "base:"):
                chosen[BASE_ALLOCATION] = None
            else:
                chosen.update(dict.fromkeys(self._exports.contexts(export.name, query)))
        if not listing:
            self.contexts = dict(enumerate(chosen, start=1))
            self._context_export = export.name
        for number, context in enumerate(chosen, start=1):
            self._reply(option, Rep.META_CONTEXT, U32.pack(0 if listing else number) + context.encode())
        self._reply(option, Rep.ACK)

    # -- transmission

    def _request(self, events: list[ServerEvent]) -> bool:
        inbox = self._inbox
        head = inbox.peek(REQUEST)
        if head is None:
            return False
        magic, flags, kind, cookie, offset, length = head
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
            if kind in _OURS and self.has_extension:
                token = flags >> extension.TICK_SHIFT
                events.append(Request(cookie, Command(kind), 0, offset, length, b"", token))
                return True
        token = flags >> extension.TICK_SHIFT if self.has_extension else 0
        flags -= token << extension.TICK_SHIFT
        error, why = self._check(kind, flags, offset, length)
        if error:
            self.reply_error(cookie, error, why)
        else:
            events.append(Request(cookie, _COMMANDS[kind], flags, offset, length, data, token))
        return True

    def _check(self, kind: int, flags: int, offset: int, length: int) -> tuple[Errno, str]:
        """Return EINVAL and the like for what the export or the protocol does not allow, else OK."""
        export, offered = self.export, self._offered
        assert export is not None
        if (command := _COMMANDS.get(kind)) is None:
            return Errno.EINVAL, f"unknown command {kind}"
        if flags and flags & ~_FLAGS[command]:
            return Errno.EINVAL, f"flags {flags:#x} with {command.name}"
        if flags & _DF and not self.structured:
            return Errno.EINVAL, "DF needs structured replies"
        if (need := _NEEDS.get(command)) is not None and not offered & need:
            return Errno.EINVAL, f"{command.name} was not offered"
        if command is Command.FLUSH:
            return (Errno.EINVAL, "FLUSH has no offset or length") if offset or length else (Errno.OK, "")
        if offered & _READ_ONLY and command in _CHANGES:
            return Errno.EPERM, "read-only export"
        if offset + length > export.size:
            # Writes past the end are told apart (spec: ENOSPC for writes, EINVAL for the rest).
            return (Errno.ENOSPC if command in _CHANGES else Errno.EINVAL), "past the end of the export"
        if command in (Command.READ, Command.WRITE) and length > export.max_payload:
            return Errno.EOVERFLOW, f"at most {export.max_payload} bytes"
        if command is Command.BLOCK_STATUS and (not self.contexts or not length):
            return Errno.EINVAL, "BLOCK_STATUS needs a negotiated context and a length"
        if export.min_block_size > 1 and (offset % export.min_block_size or length % export.min_block_size):
            return Errno.EINVAL, f"not aligned to {export.min_block_size} bytes"
        return Errno.OK, ""

    @property
    def has_extension(self) -> bool:
        """Whether the project's extension was negotiated."""
        return any(name.startswith(extension.NAMESPACE) for name in self.contexts.values())

    def _chunk(self, cookie: int, flags: int, kind: int, head: bytes = b"", data: bytes = b"") -> None:
        length = len(head) + len(data)
        self.outgoing.append(CHUNK.pack(STRUCTURED_REPLY_MAGIC, flags, kind, cookie, length) + head)
        if data:
            self.outgoing.append(data)

    def reply_done(self, cookie: int, report: extension.Report | None = None) -> None:
        """Answer a request without data as done."""
        if not self.structured:
            self.outgoing.append(SIMPLE_REPLY.pack(SIMPLE_REPLY_MAGIC, 0, cookie))
            return
        self._report(cookie, report)
        self._chunk(cookie, CHUNK_DONE, Chunk.NONE)

    def _report(self, cookie: int, report: extension.Report | None) -> None:
        if report is not None and self.has_extension:
            self._chunk(cookie, 0, Chunk.REPORT, report.pack())

    def reply_error(self, cookie: int, error: Errno, message: str = "", never_ran: bool = False) -> None:
        """Answer a request with an error; `never_ran` (extension) proves that it never ran."""
        if not self.structured:
            self.outgoing.append(SIMPLE_REPLY.pack(SIMPLE_REPLY_MAGIC, error, cookie))
            return
        text = message.encode()[: MAX_OPTION // 16]
        kind = Chunk.ERROR_NEVER_RAN if never_ran and self.has_extension else Chunk.ERROR
        self._chunk(cookie, CHUNK_DONE, kind, ERROR.pack(error, len(text)) + text)

    def reply_read(self, cookie: int, offset: int, pieces: Sequence[bytes | int], one_chunk: bool = False,
                   report: extension.Report | None = None) -> None:  # fmt: skip
        """Answer a READ with its data from `offset` on: bytes, or a number for so many zeroes.

        `one_chunk` is the DF flag: no holes apart and no second chunk.
        """
        if not self.structured:
            self.outgoing.append(SIMPLE_REPLY.pack(SIMPLE_REPLY_MAGIC, 0, cookie))
            self.outgoing.extend(bytes(piece) for piece in pieces)
            return
        self._report(cookie, report)
        if one_chunk and len(pieces) > 1:
            pieces = [b"".join(bytes(piece) for piece in pieces)]
        for number, piece in enumerate(pieces):
            done = CHUNK_DONE if number == len(pieces) - 1 else 0
            if isinstance(piece, int):
                self._chunk(cookie, done, Chunk.OFFSET_HOLE, HOLE.pack(offset, piece))
                offset += piece
            else:
                self._chunk(cookie, done, Chunk.OFFSET_DATA, U64.pack(offset), piece)
                offset += len(piece)
        if not pieces:
            self._chunk(cookie, CHUNK_DONE, Chunk.NONE)

    def reply_block_status(
        self, cookie: int, extents: Sequence[tuple[int, int]], context: str = BASE_ALLOCATION
    ) -> None:
        """Answer BLOCK_STATUS for one context, by the start of its name, with (length, flags)."""
        told = [number for number, name in self.contexts.items() if name.startswith(context)]
        if not told:
            self.reply_error(cookie, Errno.EINVAL, f"{context} was not negotiated")
            return
        body = b"".join(EXTENT.pack(length, flags) for length, flags in extents)
        self._chunk(cookie, CHUNK_DONE, Chunk.BLOCK_STATUS, U32.pack(told[0]) + body)
