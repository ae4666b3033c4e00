"""The NVMe/TCP transport, host and controller side, without I/O.

`receive` parses received bytes and returns events; PDUs to send are queued until `take_outgoing`. A
connection is one queue. An invalid PDU of the peer is fatal to the connection: a termination request with the
status that the specification requires is queued, and the last event is `ConnectionTerminated`. An error of
one command, or in the digest of its data, fails only that command.

Sources: NVM Express TCP Transport Specification 1.0, sections 3.3 to 3.6.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from enum import Enum, auto

from harriertrack.protocol.nvme.wire import (
    COMMON,
    DATA,
    DIGEST,
    FROM_HOST,
    HLEN,
    INIT,
    INIT_BYTES,
    MAX_ALIGN,
    MAX_TERM_BYTES,
    MIN_H2C_DATA,
    R2T,
    SQE_BYTES,
    TERM,
    UNDIGESTED,
    WITH_DATA,
    Cqe,
    DigestFlags,
    FatalTransportError,
    Fes,
    Flags,
    Pdu,
    Sgl,
    Sqe,
    Status,
    aligned,
    crc32c,
)  # fmt: skip
from harriertrack.protocol.receive_buffer import ReceiveBuffer

BODY = COMMON.size  # the offset of the PDU-specific header, after the common header
NO_DIGESTS = DigestFlags(0)
MAX_DATA_PDU = 1 << 20  # the most data that is sent in one PDU


class ConnectionState(Enum):
    """State of a connection."""

    INIT = auto()  # ICReq or ICResp was not received yet
    READY = auto()
    CLOSED = auto()  # a termination request was sent or received


@dataclass(frozen=True, slots=True)
class Initialized:
    """The connection was initialized: commands may be sent."""

    header_digest: bool
    data_digest: bool


@dataclass(frozen=True, slots=True)
class ConnectionTerminated:
    """The connection must be closed, after the outgoing bytes were sent."""

    fes: int
    reason: str
    by_peer: bool = False


@dataclass(frozen=True, slots=True)
class CommandSubmitted:
    """A command and all of its data were received."""

    sqe: Sqe
    data: bytes


@dataclass(frozen=True, slots=True)
class ResponseReceived:
    """A command completed; `data` is what a successful one transferred to the host."""

    cqe: Cqe
    data: bytes


Event = Initialized | ConnectionTerminated | CommandSubmitted | ResponseReceived


@dataclass(frozen=True, slots=True)
class ReceivedPdu:
    """A PDU with a valid common header."""

    kind: Pdu
    flags: int
    header: bytes
    data: bytes
    intact: bool  # the data digest is correct or not in use

    def transfer_fields(self) -> tuple[int, int, int, int]:
        """Return command id, transfer tag, offset and length of a data PDU or an R2T."""
        cid, tag, offset, length = DATA.unpack_from(self.header, BODY)
        return cid, tag, offset, length


class _Connection:
    """Common part of both sides: splits the stream into PDUs, checks their headers, and builds PDUs."""

    from_host: bool  # whether the received PDUs are the host's

    def __init__(self, max_pdu_data: int) -> None:
        self.state = ConnectionState.INIT
        self.header_digest = self.data_digest = False
        self._align_in = self._align_out = 0  # of received and sent data; dwords, zero-based
        self._max_pdu_data = max_pdu_data  # bytes of data in one received PDU
        self._inbox = ReceiveBuffer()
        self._outgoing: list[bytes] = []

    def take_outgoing(self) -> list[bytes]:
        """Return the bytes to send and clear the queue."""
        outgoing, self._outgoing = self._outgoing, []
        return outgoing

    @property
    def partial_bytes(self) -> int:
        """Return how many bytes of an incomplete PDU are held."""
        return len(self._inbox)

    def receive(self, data: bytes | memoryview) -> list[Event]:
        """Parse bytes received from the peer; return events."""
        events: list[Event] = []
        if self.state is ConnectionState.CLOSED:
            return events
        self._inbox.add(data)
        header = b""
        try:
            for pdu in self._pdus():
                header = pdu.header
                if pdu.kind in (Pdu.H2C_TERM, Pdu.C2H_TERM):
                    self.state = ConnectionState.CLOSED
                    fes, _ = TERM.unpack_from(pdu.header, BODY)
                    events.append(ConnectionTerminated(fes, "the peer ended the connection", by_peer=True))
                    break
                events.extend(self._handle(pdu))
        except FatalTransportError as error:
            events.append(self._terminate(error, error.header or header))
        return events

    def _handle(self, pdu: ReceivedPdu) -> Iterator[Event]:
        raise NotImplementedError

    def _terminate(self, error: FatalTransportError, header: bytes) -> ConnectionTerminated:
        kind = Pdu.C2H_TERM if self.from_host else Pdu.H2C_TERM
        body = header[: MAX_TERM_BYTES - HLEN[kind]]
        common = COMMON.pack(kind, 0, HLEN[kind], 0, HLEN[kind] + len(body))
        self._outgoing.append(common + TERM.pack(error.fes, error.fei) + body)
        self.state = ConnectionState.CLOSED
        return ConnectionTerminated(error.fes, str(error))

    # -- receiving

    def _pdus(self) -> Iterator[ReceivedPdu]:
        while (common := self._inbox.peek(COMMON)) is not None:
            kind, header_digest_size, data_digest_size = self._check_header(common)
            _, flags, hlen, pdo, plen = common
            if len(self._inbox) < plen:
                return
            raw = self._inbox.consume(plen)
            header = raw[:hlen]
            if header_digest_size:
                (received_digest,) = DIGEST.unpack_from(raw, hlen)
                if received_digest != crc32c(header):
                    raise FatalTransportError(
                        Fes.HEADER_DIGEST, "incorrect header digest", received_digest, header
                    )
            data = raw[pdo : plen - data_digest_size] if kind in WITH_DATA and pdo else b""
            intact = not data_digest_size or DIGEST.unpack_from(raw, plen - data_digest_size)[0] == crc32c(
                data
            )
            yield ReceivedPdu(kind, flags, header, data, intact)

    def _check_header(self, common: tuple[int, ...]) -> tuple[Pdu, int, int]:
        """Check a common header; return the type, and the lengths of header and data digest.

        Raises FatalTransportError.
        """
        number, flags, hlen, pdo, plen = common
        packed = COMMON.pack(*common)

        def invalid_field(offset: int, reason: str) -> FatalTransportError:
            return FatalTransportError(Fes.INVALID_HEADER, reason, offset, packed)

        try:
            kind = Pdu(number)
        except ValueError:
            raise invalid_field(0, f"unknown PDU type {number:#x}") from None
        if (kind in FROM_HOST) is not self.from_host:
            raise invalid_field(0, f"{kind.name} is sent only by the other side")
        is_initialization = kind in (Pdu.IC_REQ, Pdu.IC_RESP)
        is_termination = kind in (Pdu.H2C_TERM, Pdu.C2H_TERM)
        if is_initialization is not (self.state is ConnectionState.INIT) and not is_termination:
            raise FatalTransportError(Fes.SEQUENCE, f"unexpected {kind.name} in this state", header=packed)
        if hlen != HLEN[kind]:
            raise invalid_field(2, f"{kind.name} with HLEN {hlen}")
        header_digest_size = DIGEST.size if self.header_digest and kind not in UNDIGESTED else 0
        if bool(flags & Flags.HDGST) is not bool(header_digest_size):
            raise invalid_field(1, "the HDGST flag does not match the negotiated header digest")
        if is_termination:
            if not hlen <= plen <= MAX_TERM_BYTES:
                raise invalid_field(4, f"{kind.name} with PLEN {plen}")
            return kind, 0, 0
        header_end = hlen + header_digest_size
        if kind not in WITH_DATA or (kind is Pdu.CAPSULE_CMD and plen == header_end):
            if plen != header_end:
                raise invalid_field(4, f"{kind.name} with PLEN {plen}")
            return kind, header_digest_size, 0
        if pdo < header_end or pdo % ((self._align_in + 1) * 4):
            raise invalid_field(3, f"{kind.name} with PDO {pdo}")
        data_digest_size = DIGEST.size if self.data_digest else 0
        if bool(flags & Flags.DDGST) is not bool(data_digest_size):
            raise invalid_field(1, "the DDGST flag does not match the negotiated data digest")
        if plen <= pdo + data_digest_size:
            raise invalid_field(4, f"{kind.name} with PLEN {plen}")
        if plen - pdo - data_digest_size > self._max_pdu_data:
            raise FatalTransportError(
                Fes.LIMIT_EXCEEDED, f"{plen - pdo - data_digest_size} bytes of data in one PDU", header=packed
            )
        return kind, header_digest_size, data_digest_size

    # -- sending

    def _queue_pdu(self, kind: Pdu, body: bytes, data: bytes | memoryview = b"", flags: int = 0) -> None:
        hlen = BODY + len(body)
        header_end = hlen + (DIGEST.size if self.header_digest else 0)
        pdo = aligned(header_end, self._align_out) if data else 0
        data_digest_size = DIGEST.size if data and self.data_digest else 0
        flags |= Flags.HDGST if self.header_digest else 0
        flags |= Flags.DDGST if data_digest_size else 0
        plen = pdo + len(data) + data_digest_size if data else header_end
        header = COMMON.pack(kind, flags, hlen, pdo, plen) + body
        parts = [header]
        if self.header_digest:
            parts.append(DIGEST.pack(crc32c(header)))
        if data:
            parts += (bytes(pdo - header_end), bytes(data))
            if data_digest_size:
                parts.append(DIGEST.pack(crc32c(bytes(data))))
        self._outgoing.append(b"".join(parts))

    def _queue_data(self, kind: Pdu, cid: int, tag: int, data: memoryview, offset: int, max_pdu_data: int,
                    last_flags: int) -> None:  # fmt: skip
        """Queue a command's data from `offset` on, in PDUs of limited size; `last_flags` go into the last."""
        sent = 0
        while sent < len(data):
            piece = data[sent : sent + max_pdu_data]
            flags = last_flags if sent + len(piece) == len(data) else 0
            self._queue_pdu(kind, DATA.pack(cid, tag, offset + sent, len(piece)), piece, flags)
            sent += len(piece)


@dataclass(frozen=True, slots=True)
class Limits:
    """What a controller offers on a connection; lengths in bytes."""

    align: int = 0  # CPDA: alignment of the data in the host's PDUs, in dwords, zero-based
    max_h2c_data: int = 128 << 10  # MAXH2CDATA
    in_capsule: int = 8 << 10  # data in a command capsule
    max_transfer: int = 1 << 20  # data of one command (MDTS)
    max_r2t_bytes: int = 128 << 10  # data requested by one R2T
    # Data of all commands whose data is requested; that of one command is always requested, however large.
    requested_bytes: int = 8 << 20
    digests: DigestFlags = DigestFlags.HEADER | DigestFlags.DATA

    def __post_init__(self) -> None:
        if not 0 <= self.align <= MAX_ALIGN or self.max_h2c_data < MIN_H2C_DATA or self.max_h2c_data % 4:
            raise ValueError("CPDA or MAXH2CDATA are outside the specification's bounds")


@dataclass(slots=True, eq=False)
class RequestedBytes:
    """The requested data of all connections of one head; each may always request that of one command."""

    limit: int
    used: int = 0


@dataclass(slots=True)
class _Transfer:
    """The transfer of a command's data by R2Ts."""

    sqe: Sqe
    data: bytearray
    requested: int = 0  # bytes
    received: int = 0  # bytes
    open_r2ts: int = 0  # R2Ts whose data was not received completely
    corrupted: bool = False  # a data digest was incorrect


@dataclass(slots=True)
class _R2t:
    """An R2T; its data is discarded if the command has completed (`transfer` is None)."""

    cid: int
    offset: int
    length: int
    transfer: _Transfer | None
    received: int = 0


class ControllerConnection(_Connection):
    """A queue, controller side. Set `depth` and `flow_control_disabled` when Connect is accepted."""

    from_host = True

    def __init__(self, limits: Limits, shared_requested: RequestedBytes | None = None) -> None:
        super().__init__(max(limits.max_h2c_data, limits.in_capsule))
        self._shared_requested = shared_requested or RequestedBytes(limits.requested_bytes)
        self.limits = limits
        self.depth = 32  # commands at a time, until Connect sets the size of the queue
        self.flow_control_disabled = False  # if set, a successful read needs no response capsule
        self._sqhd = 0
        self._open_commands: dict[int, Sqe] = {}
        self._transfers: dict[int, _Transfer] = {}  # by command id
        self._r2ts: dict[int, _R2t] = {}  # by transfer tag
        self._waiting_transfers: deque[_Transfer] = deque()  # not requested yet
        self._requested_bytes = 0  # of the commands whose data is requested
        self._last_tag = 0
        self._max_r2t = 1

    @property
    def open_commands(self) -> dict[int, Sqe]:
        """Return the commands without a completion, by command id."""
        return self._open_commands

    def complete(self, cqe: Cqe) -> None:
        """Complete a command. Raises KeyError if it is not open."""
        del self._open_commands[cqe.cid]
        if (transfer := self._transfers.pop(cqe.cid, None)) is not None:
            self._release_transfer(transfer)
        for r2t in self._r2ts.values():
            if r2t.cid == cqe.cid:
                r2t.transfer = None
        self._send_response(cqe)

    def complete_read(self, cid: int, data: bytes) -> None:
        """Complete a command with success and its data. Raises KeyError if it is not open."""
        del self._open_commands[cid]
        last_flags = Flags.LAST_PDU | (Flags.SUCCESS if self.flow_control_disabled else 0)
        self._queue_data(Pdu.C2H_DATA, cid, 0, memoryview(data), 0, MAX_DATA_PDU, last_flags)
        if not self.flow_control_disabled or not data:
            self._send_response(Cqe(cid))

    def _send_response(self, cqe: Cqe) -> None:
        self._queue_pdu(Pdu.CAPSULE_RESP, replace(cqe, sqhd=self._sqhd).pack())

    def _handle(self, pdu: ReceivedPdu) -> Iterator[Event]:
        match pdu.kind:
            case Pdu.IC_REQ:
                yield self._handle_ic_req(pdu)
            case Pdu.CAPSULE_CMD:
                yield from self._handle_command(pdu)
            case _:
                yield from self._handle_data(pdu)

    def _handle_ic_req(self, pdu: ReceivedPdu) -> Event:
        version, align, digests, max_r2t = INIT.unpack_from(pdu.header, BODY)
        if version:
            raise FatalTransportError(Fes.UNSUPPORTED, f"PDU format version {version}", BODY)
        if align > MAX_ALIGN:
            raise FatalTransportError(Fes.INVALID_HEADER, f"HPDA of {align} dwords", BODY + 2)
        digests &= self.limits.digests
        body = INIT.pack(0, self.limits.align, digests, self.limits.max_h2c_data)
        self._queue_pdu(Pdu.IC_RESP, body.ljust(INIT_BYTES - BODY, b"\0"))
        self.header_digest = bool(digests & DigestFlags.HEADER)
        self.data_digest = bool(digests & DigestFlags.DATA)
        self._align_in, self._align_out = self.limits.align, align
        self._max_r2t = max_r2t + 1
        self.state = ConnectionState.READY
        return Initialized(self.header_digest, self.data_digest)

    def _handle_command(self, pdu: ReceivedPdu) -> Iterator[Event]:
        sqe = Sqe.unpack(pdu.header[BODY : BODY + SQE_BYTES])
        if len(self._open_commands) >= self.depth:
            raise FatalTransportError(Fes.SEQUENCE, f"more than {self.depth} commands at a time")
        self._sqhd = (self._sqhd + 1) % self.depth
        if sqe.cid in self._open_commands:
            self._send_response(Cqe(sqe.cid, Status.ID_CONFLICT))
            return
        self._open_commands[sqe.cid] = sqe
        status = self._check_data_pointer(sqe, pdu)
        if status is not Status.SUCCESS:
            self.complete(Cqe(sqe.cid, status))
        elif sqe.to_controller and sqe.length and sqe.sgl == Sgl.TRANSPORT:
            transfer = self._transfers[sqe.cid] = _Transfer(sqe, bytearray())
            self._waiting_transfers.append(transfer)
            self._request_waiting_transfers()
        else:
            yield CommandSubmitted(sqe, pdu.data[: sqe.length] if sqe.to_controller else b"")

    def _check_data_pointer(self, sqe: Sqe, pdu: ReceivedPdu) -> Status:
        """Return the error in a command's data pointer or in-capsule data, or success."""
        if sqe.flags >> 6 != 1:
            return Status.INVALID_FIELD
        if not sqe.length:
            return Status.SUCCESS
        if sqe.sgl == Sgl.IN_CAPSULE and sqe.to_controller:
            if sqe.sgl_address:
                return Status.SGL_OFFSET
            if sqe.length > len(pdu.data) or sqe.length > self.limits.in_capsule:
                return Status.SGL_LENGTH
            return Status.SUCCESS if pdu.intact else Status.TRANSIENT_TRANSPORT
        if sqe.sgl != Sgl.TRANSPORT:
            return Status.SGL_TYPE
        return Status.INVALID_FIELD if sqe.length > self.limits.max_transfer else Status.SUCCESS

    def _request_waiting_transfers(self) -> None:
        """Request the data of waiting commands in order of arrival, within the limits on requested data."""
        while self._waiting_transfers:
            transfer = self._waiting_transfers[0]
            length, shared = transfer.sqe.length, self._shared_requested
            exceeds_limit = (
                self._requested_bytes + length > self.limits.requested_bytes
                or shared.used + length > shared.limit
            )
            if self._requested_bytes and exceeds_limit:
                return
            self._waiting_transfers.popleft()
            self._requested_bytes += length
            shared.used += length
            transfer.data = bytearray(transfer.sqe.length)
            self._send_r2ts(transfer)

    def _release_transfer(self, transfer: _Transfer) -> None:
        """End a transfer that is complete or whose command was completed; request waiting ones."""
        if transfer.data:
            self._requested_bytes -= transfer.sqe.length
            self._shared_requested.used -= transfer.sqe.length
        else:
            self._waiting_transfers.remove(transfer)
        self._request_waiting_transfers()

    def release(self) -> None:
        """Release the requested data when the connection has ended: it will not be received."""
        self._shared_requested.used -= self._requested_bytes
        self._requested_bytes = 0
        self._waiting_transfers.clear()
        self._transfers.clear()

    def _send_r2ts(self, transfer: _Transfer) -> None:
        while transfer.requested < len(transfer.data) and transfer.open_r2ts < self._max_r2t:
            length = min(self.limits.max_r2t_bytes, len(transfer.data) - transfer.requested)
            self._last_tag = (self._last_tag + 1) % (1 << 16)
            while self._last_tag in self._r2ts:
                self._last_tag = (self._last_tag + 1) % (1 << 16)
            self._r2ts[self._last_tag] = _R2t(transfer.sqe.cid, transfer.requested, length, transfer)
            self._queue_pdu(Pdu.R2T, R2T.pack(transfer.sqe.cid, self._last_tag, transfer.requested, length))
            transfer.requested += length
            transfer.open_r2ts += 1

    def _handle_data(self, pdu: ReceivedPdu) -> Iterator[Event]:
        cid, tag, offset, length = pdu.transfer_fields()
        r2t = self._r2ts.get(tag)
        if r2t is None:
            raise FatalTransportError(Fes.INVALID_HEADER, f"data for unknown transfer tag {tag}", BODY + 2)
        if cid != r2t.cid:
            raise FatalTransportError(
                Fes.INVALID_HEADER, f"data for command {cid} with another command's transfer tag", BODY
            )
        if length != len(pdu.data):
            raise FatalTransportError(
                Fes.INVALID_HEADER,
                f"DATAL is {length}, but there are {len(pdu.data)} bytes of data",
                BODY + 8,
            )
        if length > self.limits.max_h2c_data:
            raise FatalTransportError(Fes.LIMIT_EXCEEDED, f"{length} bytes of data in one PDU")
        if offset != r2t.offset + r2t.received or r2t.received + length > r2t.length:
            raise FatalTransportError(Fes.OUT_OF_RANGE, f"{length} bytes at {offset} were not requested")
        r2t.received += length
        is_last = r2t.received == r2t.length
        if bool(pdu.flags & Flags.LAST_PDU) is not is_last:
            raise FatalTransportError(
                Fes.INVALID_HEADER, "the LAST_PDU flag does not match the end of the transfer", 1
            )
        if is_last:
            del self._r2ts[tag]
        transfer = r2t.transfer
        if transfer is None:
            return
        transfer.data[offset : offset + length] = pdu.data
        transfer.received += length
        transfer.corrupted = transfer.corrupted or not pdu.intact
        transfer.open_r2ts -= is_last
        if transfer.received < len(transfer.data):
            self._send_r2ts(transfer)
            return
        del self._transfers[cid]
        self._release_transfer(transfer)
        if transfer.corrupted:
            self.complete(Cqe(cid, Status.TRANSIENT_TRANSPORT))
        else:
            yield CommandSubmitted(transfer.sqe, bytes(transfer.data))


@dataclass(slots=True)
class _SentCommand:
    """A command of the host that has not completed."""

    sqe: Sqe
    data: memoryview
    received: bytearray = field(default_factory=bytearray)
    corrupted: bool = False  # a data digest was incorrect


class HostConnection(_Connection):
    """A queue, host side."""

    from_host = False

    def __init__(self, align: int = 0, max_r2t: int = 1, digests: DigestFlags = NO_DIGESTS) -> None:
        super().__init__(MAX_DATA_PDU)
        if not 0 <= align <= MAX_ALIGN or max_r2t < 1:
            raise ValueError("HPDA or MAXR2T are outside the specification's bounds")
        self._requested_digests, self._align_in, self._max_r2t = digests, align, max_r2t
        self._max_h2c_data = MIN_H2C_DATA
        self._commands: dict[int, _SentCommand] = {}
        self.sqhd = 0  # the submission queue head of the last response capsule

    def send_ic_req(self) -> None:
        """Request initialization of the connection."""
        body = INIT.pack(0, self._align_in, self._requested_digests, self._max_r2t - 1)
        self._queue_pdu(Pdu.IC_REQ, body.ljust(INIT_BYTES - BODY, b"\0"))

    def submit(self, sqe: Sqe, data: bytes = b"", in_capsule: bool = False) -> None:
        """Send a command, with its data in the capsule or on request of the controller.

        `sqe.length` is the length of the data to receive if none is sent. Raises ValueError for an id in use.
        """
        if sqe.cid in self._commands:
            raise ValueError(f"command {sqe.cid} has not completed")
        sgl = Sgl.IN_CAPSULE if data and in_capsule else Sgl.TRANSPORT
        sqe = replace(sqe, sgl=sgl, length=len(data) or sqe.length)
        self._commands[sqe.cid] = _SentCommand(sqe, memoryview(data))
        self._queue_pdu(Pdu.CAPSULE_CMD, sqe.pack(), data if in_capsule else b"")

    def _handle(self, pdu: ReceivedPdu) -> Iterator[Event]:
        match pdu.kind:
            case Pdu.IC_RESP:
                yield self._handle_ic_resp(pdu)
            case Pdu.CAPSULE_RESP:
                yield from self._complete(Cqe.unpack(pdu.header[BODY:]), capsule=True)
            case Pdu.R2T:
                self._handle_r2t(pdu)
            case _:
                yield from self._handle_data(pdu)

    def _handle_ic_resp(self, pdu: ReceivedPdu) -> Event:
        version, align, digests, max_h2c_data = INIT.unpack_from(pdu.header, BODY)
        if version:
            raise FatalTransportError(Fes.UNSUPPORTED, f"PDU format version {version}", BODY)
        if align > MAX_ALIGN:
            raise FatalTransportError(Fes.INVALID_HEADER, f"CPDA of {align} dwords", BODY + 2)
        if digests & ~self._requested_digests:
            raise FatalTransportError(Fes.INVALID_HEADER, "digests that were not requested", BODY + 3)
        if max_h2c_data < MIN_H2C_DATA:
            raise FatalTransportError(Fes.INVALID_HEADER, f"MAXH2CDATA of {max_h2c_data}", BODY + 4)
        self.header_digest = bool(digests & DigestFlags.HEADER)
        self.data_digest = bool(digests & DigestFlags.DATA)
        self._align_out, self._max_h2c_data = align, max_h2c_data
        self.state = ConnectionState.READY
        return Initialized(self.header_digest, self.data_digest)

    def _find_command(self, cid: int) -> _SentCommand:
        command = self._commands.get(cid)
        if command is None:
            raise FatalTransportError(Fes.INVALID_HEADER, f"command {cid} is not open", BODY)
        return command

    def _handle_r2t(self, pdu: ReceivedPdu) -> None:
        cid, tag, offset, length = pdu.transfer_fields()
        command = self._find_command(cid)
        if not length or offset + length > len(command.data) or command.sqe.sgl != Sgl.TRANSPORT:
            raise FatalTransportError(
                Fes.OUT_OF_RANGE, f"R2T for {length} bytes at {offset} of {len(command.data)}"
            )
        self._queue_data(
            Pdu.H2C_DATA, cid, tag, command.data[offset : offset + length], offset, self._max_h2c_data,
            Flags.LAST_PDU,
        )  # fmt: skip

    def _handle_data(self, pdu: ReceivedPdu) -> Iterator[Event]:
        cid, _, offset, length = pdu.transfer_fields()
        command = self._find_command(cid)
        if length != len(pdu.data):
            raise FatalTransportError(
                Fes.INVALID_HEADER,
                f"DATAL is {length}, but there are {len(pdu.data)} bytes of data",
                BODY + 8,
            )
        if offset != len(command.received) or offset + length > command.sqe.length or not command.sqe.to_host:
            raise FatalTransportError(
                Fes.OUT_OF_RANGE, f"data of {length} bytes at {offset} of {command.sqe.length}"
            )
        if pdu.flags & Flags.SUCCESS and not pdu.flags & Flags.LAST_PDU:
            raise FatalTransportError(Fes.INVALID_HEADER, "the SUCCESS flag without LAST_PDU", 1)
        command.received += pdu.data
        command.corrupted = command.corrupted or not pdu.intact
        if pdu.flags & Flags.SUCCESS:
            yield from self._complete(Cqe(cid))

    def _complete(self, cqe: Cqe, capsule: bool = False) -> Iterator[Event]:
        command = self._find_command(cqe.cid)
        del self._commands[cqe.cid]
        if capsule:
            self.sqhd = cqe.sqhd
        if command.corrupted and cqe.status == Status.SUCCESS:
            cqe = replace(cqe, status=Status.TRANSIENT_TRANSPORT)
        yield ResponseReceived(cqe, bytes(command.received) if cqe.status == Status.SUCCESS else b"")
