"""The NVMe/TCP transport, both sides, without I/O.

`receive` takes bytes and returns events; what is to be sent gathers until `take_outgoing`. A connection is
one queue. What the peer does wrong in a PDU is fatal to the connection: a termination request with the status
that the specification asks for is left to be sent, and the last event is `Broken`. What is wrong with one
command, or with the digest of its data, ends that command alone.

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
    LEAST_H2C_DATA,
    MOST_ALIGN,
    MOST_TERM_BYTES,
    R2T,
    SQE_BYTES,
    TERM,
    UNDIGESTED,
    WITH_DATA,
    Cqe,
    DigestFlags,
    Fatal,
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

BODY = COMMON.size  # where a PDU's own header fields begin
NO_DIGESTS = DigestFlags(0)
MOST_DATA_PDU = 1 << 20  # the most data that this program puts in one PDU


class ConnectionState(Enum):
    """Where a connection is."""

    INIT = auto()  # ICReq or ICResp has not come
    READY = auto()
    CLOSED = auto()  # a termination request was sent or came


@dataclass(frozen=True, slots=True)
class Initialized:
    """The connection may carry commands."""

    header_digest: bool
    data_digest: bool


@dataclass(frozen=True, slots=True)
class ConnectionTerminated:
    """The connection is to be closed once what is left was sent."""

    fes: int
    reason: str
    by_peer: bool = False


@dataclass(frozen=True, slots=True)
class CommandSubmitted:
    """A command came, with all of its data."""

    sqe: Sqe
    data: bytes


@dataclass(frozen=True, slots=True)
class ResponseReceived:
    """A command ended."""

    cqe: Cqe
    data: bytes


Event = Initialized | ConnectionTerminated | CommandSubmitted | ResponseReceived


@dataclass(frozen=True, slots=True)
class Received:
    """One PDU, checked as far as its type alone allows."""

    kind: Pdu
    flags: int
    header: bytes
    data: bytes
    intact: bool  # its data's digest is right

    def fields(self) -> tuple[int, int, int, int]:
        """Return the four numbers of a data PDU or an R2T."""
        a, b, c, d = DATA.unpack_from(self.header, BODY)
        return a, b, c, d


class _Side:
    """What both sides do alike: cut PDUs out of the stream, check them, and write them."""

    from_host: bool  # what the peer sends

    def __init__(self, most_data: int) -> None:
        self.state = ConnectionState.INIT
        self.header_digest = self.data_digest = False
        self._align_in = self._align_out = 0  # dwords, zero-based: of data that comes, and that goes
        self._most_data = most_data  # that one PDU of the peer's may bring
        self._inbox = ReceiveBuffer()
        self._out: list[bytes] = []

    def take_outgoing(self) -> list[bytes]:
        """Return what is to be sent, and forget it."""
        out, self._out = self._out, []
        return out

    def receive(self, data: bytes) -> list[Event]:
        """Take bytes of the peer; return what they mean."""
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
        except Fatal as fatal:
            events.append(self._terminate(fatal, fatal.header or header))
        return events

    def _handle(self, pdu: Received) -> Iterator[Event]:
        raise NotImplementedError

    def _terminate(self, fatal: Fatal, header: bytes) -> ConnectionTerminated:
        kind = Pdu.C2H_TERM if self.from_host else Pdu.H2C_TERM
        body = header[: MOST_TERM_BYTES - HLEN[kind]]
        common = COMMON.pack(kind, 0, HLEN[kind], 0, HLEN[kind] + len(body))
        self._out.append(common + TERM.pack(fatal.fes, fatal.fei) + body)
        self.state = ConnectionState.CLOSED
        return ConnectionTerminated(fatal.fes, str(fatal))

    # -- what comes

    def _pdus(self) -> Iterator[Received]:
        while (common := self._inbox.peek(COMMON)) is not None:
            kind, digest, tail = self._check(common)
            _, flags, hlen, pdo, plen = common
            if len(self._inbox) < plen:
                return
            raw = self._inbox.consume(plen)
            header = raw[:hlen]
            if digest:
                (sent,) = DIGEST.unpack_from(raw, hlen)
                if sent != crc32c(header):
                    raise Fatal(Fes.HEADER_DIGEST, "a header's digest is wrong", sent, header)
            data = raw[pdo : plen - tail] if kind in WITH_DATA and pdo else b""
            intact = not tail or DIGEST.unpack_from(raw, plen - tail)[0] == crc32c(data)
            yield Received(kind, flags, header, data, intact)

    def _check(self, common: tuple[int, ...]) -> tuple[Pdu, int, int]:
        """Check a common header; return the type, and how long its digests are. Raises Fatal."""
        number, flags, hlen, pdo, plen = common
        shown = COMMON.pack(*common)

        def wrong(at: int, why: str) -> Fatal:
            return Fatal(Fes.INVALID_HEADER, why, at, shown)

        try:
            kind = Pdu(number)
        except ValueError:
            raise wrong(0, f"PDU type {number:#x} is unknown") from None
        if (kind in FROM_HOST) is not self.from_host:
            raise wrong(0, f"{kind.name} comes from the other side alone")
        begins = kind in (Pdu.IC_REQ, Pdu.IC_RESP)
        ends = kind in (Pdu.H2C_TERM, Pdu.C2H_TERM)
        if begins is not (self.state is ConnectionState.INIT) and not ends:
            raise Fatal(Fes.SEQUENCE, f"{kind.name} does not belong here", header=shown)
        if hlen != HLEN[kind]:
            raise wrong(2, f"{kind.name} of a header of {hlen} bytes")
        digest = DIGEST.size if self.header_digest and kind not in UNDIGESTED else 0
        if bool(flags & Flags.HDGST) is not bool(digest):
            raise wrong(1, "a header digest where none was agreed on, or none where one was")
        if ends:
            if not hlen <= plen <= MOST_TERM_BYTES:
                raise wrong(4, f"{kind.name} of {plen} bytes")
            return kind, 0, 0
        bare = hlen + digest
        if kind not in WITH_DATA or (kind is Pdu.CAPSULE_CMD and plen == bare):
            if plen != bare:
                raise wrong(4, f"{kind.name} of {plen} bytes")
            return kind, digest, 0
        if pdo < bare or pdo % ((self._align_in + 1) * 4):
            raise wrong(3, f"data at {pdo}")
        tail = DIGEST.size if self.data_digest else 0
        if bool(flags & Flags.DDGST) is not bool(tail):
            raise wrong(1, "a data digest where none was agreed on, or none where one was")
        if plen <= pdo + tail:
            raise wrong(4, f"{kind.name} of {plen} bytes")
        if plen - pdo - tail > self._most_data:
            raise Fatal(Fes.LIMIT_EXCEEDED, f"{plen - pdo - tail} bytes of data in one PDU", header=shown)
        return kind, digest, tail

    # -- what goes

    def _put(self, kind: Pdu, body: bytes, data: bytes | memoryview = b"", flags: int = 0) -> None:
        hlen = BODY + len(body)
        bare = hlen + (DIGEST.size if self.header_digest else 0)
        pdo = aligned(bare, self._align_out) if data else 0
        tail = DIGEST.size if data and self.data_digest else 0
        flags |= Flags.HDGST if self.header_digest else 0
        flags |= Flags.DDGST if tail else 0
        plen = pdo + len(data) + tail if data else bare
        header = COMMON.pack(kind, flags, hlen, pdo, plen) + body
        parts = [header]
        if self.header_digest:
            parts.append(DIGEST.pack(crc32c(header)))
        if data:
            parts += (bytes(pdo - bare), bytes(data))
            if tail:
                parts.append(DIGEST.pack(crc32c(bytes(data))))
        self._out.append(b"".join(parts))

    def _put_data(self, kind: Pdu, cid: int, tag: int, data: memoryview, at: int, most: int,
                  last: int) -> None:  # fmt: skip
        """Send data from offset `at` of the command's, in PDUs of at most `most`; `last` flags the last."""
        done = 0
        while done < len(data):
            piece = data[done : done + most]
            flags = last if done + len(piece) == len(data) else 0
            self._put(kind, DATA.pack(cid, tag, at + done, len(piece)), piece, flags)
            done += len(piece)


@dataclass(frozen=True, slots=True)
class Limits:
    """What a controller offers on a connection; lengths in bytes."""

    align: int = 0  # CPDA: of the data that hosts send, in dwords, zero-based
    most_h2c: int = 128 << 10  # MAXH2CDATA
    in_capsule: int = 8 << 10  # data that a command's capsule may bring
    max_transfer: int = 1 << 20  # of one command (MDTS)
    r2t: int = 128 << 10  # asked for by one R2T
    requested_bytes: int = 8 << 20  # of all commands whose data is asked for; one is always, however large
    digests: DigestFlags = DigestFlags.HEADER | DigestFlags.DATA

    def __post_init__(self) -> None:
        if not 0 <= self.align <= MOST_ALIGN or self.most_h2c < LEAST_H2C_DATA or self.most_h2c % 4:
            raise ValueError("alignment or MAXH2CDATA are outside the specification's bounds")


@dataclass(slots=True, eq=False)
class RequestedBytes:
    """What all connections of one head have asked for; each may always have one command's."""

    limit: int
    used: int = 0


@dataclass(slots=True)
class _Incoming:
    """A command whose data is asked for."""

    sqe: Sqe
    data: bytearray
    asked: int = 0
    got: int = 0
    tags: int = 0  # R2Ts whose data has not all come
    torn: bool = False  # a digest of its data was wrong


@dataclass(slots=True)
class _Asked:
    """An R2T; data for a command that has ended meanwhile (`into` None) is let go."""

    cid: int
    at: int
    length: int
    into: _Incoming | None
    got: int = 0


class ControllerConnection(_Side):
    """A queue, at the controller. `depth` and `flow_off` are set once its Connect command is accepted."""

    from_host = True

    def __init__(self, limits: Limits, together: RequestedBytes | None = None) -> None:
        super().__init__(max(limits.most_h2c, limits.in_capsule))
        self._together = together or RequestedBytes(limits.requested_bytes)
        self.limits = limits
        self.depth = 32  # commands at a time, until Connect says how many
        self.flow_control_disabled = (
            False  # no submission queue flow control: then reads may end without a capsule
        )
        self._sqhd = 0
        self._open: dict[int, Sqe] = {}
        self._incoming: dict[int, _Incoming] = {}
        self._asked: dict[int, _Asked] = {}
        self._unasked: deque[_Incoming] = deque()  # commands whose data is not asked for yet
        self._granted = 0  # bytes of those whose data is
        self._tag = 0
        self._most_r2t = 1

    @property
    def open(self) -> dict[int, Sqe]:
        """Return the commands without a completion, by their ids."""
        return self._open

    def complete(self, cqe: Cqe) -> None:
        """End a command. Raises KeyError if it is not open."""
        del self._open[cqe.cid]
        if (one := self._incoming.pop(cqe.cid, None)) is not None:
            self._let_go(one)
        for asked in self._asked.values():
            if asked.cid == cqe.cid:
                asked.into = None
        self._respond(cqe)

    def complete_read(self, cid: int, data: bytes) -> None:
        """End a command with success and the data that it asked for. Raises KeyError if it is not open."""
        del self._open[cid]
        last = Flags.LAST_PDU | (Flags.SUCCESS if self.flow_control_disabled else 0)
        self._put_data(Pdu.C2H_DATA, cid, 0, memoryview(data), 0, MOST_DATA_PDU, last)
        if not self.flow_control_disabled or not data:
            self._respond(Cqe(cid))

    def _respond(self, cqe: Cqe) -> None:
        self._put(Pdu.CAPSULE_RESP, replace(cqe, sqhd=self._sqhd).pack())

    def _handle(self, pdu: Received) -> Iterator[Event]:
        match pdu.kind:
            case Pdu.IC_REQ:
                yield self._begin(pdu)
            case Pdu.CAPSULE_CMD:
                yield from self._command(pdu)
            case _:
                yield from self._data(pdu)

    def _begin(self, pdu: Received) -> Event:
        version, align, digests, most_r2t = INIT.unpack_from(pdu.header, BODY)
        if version:
            raise Fatal(Fes.UNSUPPORTED, f"PDU format version {version}", BODY)
        if align > MOST_ALIGN:
            raise Fatal(Fes.INVALID_HEADER, f"alignment of {align} dwords", BODY + 2)
        digests &= self.limits.digests
        body = INIT.pack(0, self.limits.align, digests, self.limits.most_h2c)
        self._put(Pdu.IC_RESP, body.ljust(INIT_BYTES - BODY, b"\0"))
        self.header_digest, self.data_digest = (
            bool(digests & DigestFlags.HEADER),
            bool(digests & DigestFlags.DATA),
        )
        self._align_in, self._align_out = self.limits.align, align
        self._most_r2t = most_r2t + 1
        self.state = ConnectionState.READY
        return Initialized(self.header_digest, self.data_digest)

    def _command(self, pdu: Received) -> Iterator[Event]:
        sqe = Sqe.unpack(pdu.header[BODY : BODY + SQE_BYTES])
        if len(self._open) >= self.depth:
            raise Fatal(Fes.SEQUENCE, f"more than {self.depth} commands at a time")
        self._sqhd = (self._sqhd + 1) % self.depth
        if sqe.cid in self._open:
            self._respond(Cqe(sqe.cid, Status.ID_CONFLICT))
            return
        self._open[sqe.cid] = sqe
        status = self._wrong(sqe, pdu)
        if status is not Status.SUCCESS:
            self.complete(Cqe(sqe.cid, status))
        elif sqe.to_controller and sqe.length and sqe.sgl == Sgl.TRANSPORT:
            one = self._incoming[sqe.cid] = _Incoming(sqe, bytearray())
            self._unasked.append(one)
            self._ask_next()
        else:
            yield CommandSubmitted(sqe, pdu.data[: sqe.length] if sqe.to_controller else b"")

    def _wrong(self, sqe: Sqe, pdu: Received) -> Status:
        """Return what is wrong with where a command's data is said to be."""
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

    def _ask_next(self) -> None:
        """Ask for the data of commands in the order they came, while no more than the bound is on its way."""
        while self._unasked:
            one = self._unasked[0]
            length, together = one.sqe.length, self._together
            beyond = (
                self._granted + length > self.limits.requested_bytes
                or together.used + length > together.limit
            )
            if self._granted and beyond:
                return
            self._unasked.popleft()
            self._granted += length
            together.used += length
            one.data = bytearray(one.sqe.length)
            self._ask(one)

    def _let_go(self, one: _Incoming) -> None:
        """A command has its data, or ended without it."""
        if one.data:
            self._granted -= one.sqe.length
            self._together.used -= one.sqe.length
        else:
            self._unasked.remove(one)
        self._ask_next()

    def release(self) -> None:
        """The connection is gone: what it had asked for will not come."""
        self._together.used -= self._granted
        self._granted = 0
        self._unasked.clear()
        self._incoming.clear()

    def _ask(self, one: _Incoming) -> None:
        while one.asked < len(one.data) and one.tags < self._most_r2t:
            length = min(self.limits.r2t, len(one.data) - one.asked)
            self._tag = (self._tag + 1) % (1 << 16)
            while self._tag in self._asked:
                self._tag = (self._tag + 1) % (1 << 16)
            self._asked[self._tag] = _Asked(one.sqe.cid, one.asked, length, one)
            self._put(Pdu.R2T, R2T.pack(one.sqe.cid, self._tag, one.asked, length))
            one.asked += length
            one.tags += 1

    def _data(self, pdu: Received) -> Iterator[Event]:
        cid, tag, at, length = pdu.fields()
        asked = self._asked.get(tag)
        if asked is None:
            raise Fatal(Fes.INVALID_HEADER, f"data for transfer tag {tag}, which was not given", BODY + 2)
        if cid != asked.cid:
            raise Fatal(Fes.INVALID_HEADER, f"data for command {cid} with another's tag", BODY)
        if length != len(pdu.data):
            raise Fatal(Fes.INVALID_HEADER, f"{len(pdu.data)} bytes of data, not {length}", BODY + 8)
        if length > self.limits.most_h2c:
            raise Fatal(Fes.LIMIT_EXCEEDED, f"{length} bytes of data in one PDU")
        if at != asked.at + asked.got or asked.got + length > asked.length:
            raise Fatal(Fes.OUT_OF_RANGE, f"{length} bytes at {at} were not asked for")
        asked.got += length
        ended = asked.got == asked.length
        if bool(pdu.flags & Flags.LAST_PDU) is not ended:
            raise Fatal(Fes.INVALID_HEADER, "the last PDU of a transfer says so, and no other", 1)
        if ended:
            del self._asked[tag]
        one = asked.into
        if one is None:
            return
        one.data[at : at + length] = pdu.data
        one.got += length
        one.torn = one.torn or not pdu.intact
        one.tags -= ended
        if one.got < len(one.data):
            self._ask(one)
            return
        del self._incoming[cid]
        self._let_go(one)
        if one.torn:
            self.complete(Cqe(cid, Status.TRANSIENT_TRANSPORT))
        else:
            yield CommandSubmitted(one.sqe, bytes(one.data))


@dataclass(slots=True)
class _Sent:
    """A command at the host, until its end."""

    sqe: Sqe
    data: memoryview
    into: bytearray = field(default_factory=bytearray)
    torn: bool = False


class HostConnection(_Side):
    """A queue, at the host."""

    from_host = False

    def __init__(self, align: int = 0, most_r2t: int = 1, digests: DigestFlags = NO_DIGESTS) -> None:
        super().__init__(MOST_DATA_PDU)
        if not 0 <= align <= MOST_ALIGN or most_r2t < 1:
            raise ValueError("alignment or number of R2Ts are outside the specification's bounds")
        self._asks, self._align_in, self._most_r2t = digests, align, most_r2t
        self._most_h2c = LEAST_H2C_DATA
        self._sent: dict[int, _Sent] = {}
        self.sqhd = 0  # the controller's newest word of it

    def send_ic_req(self) -> None:
        """Ask for a connection."""
        body = INIT.pack(0, self._align_in, self._asks, self._most_r2t - 1)
        self._put(Pdu.IC_REQ, body.ljust(INIT_BYTES - BODY, b"\0"))

    def submit(self, sqe: Sqe, data: bytes = b"", in_capsule: bool = False) -> None:
        """Send a command; its data goes in its capsule, or when the controller asks for it.

        `sqe.length` says how much data it expects if it sends none. Raises ValueError for an id in use.
        """
        if sqe.cid in self._sent:
            raise ValueError(f"command {sqe.cid} has not ended")
        kind = Sgl.IN_CAPSULE if data and in_capsule else Sgl.TRANSPORT
        sqe = replace(sqe, sgl=kind, length=len(data) or sqe.length)
        self._sent[sqe.cid] = _Sent(sqe, memoryview(data))
        self._put(Pdu.CAPSULE_CMD, sqe.pack(), data if in_capsule else b"")

    def _handle(self, pdu: Received) -> Iterator[Event]:
        match pdu.kind:
            case Pdu.IC_RESP:
                yield self._begun(pdu)
            case Pdu.CAPSULE_RESP:
                yield from self._ended(Cqe.unpack(pdu.header[BODY:]), capsule=True)
            case Pdu.R2T:
                self._asked(pdu)
            case _:
                yield from self._data(pdu)

    def _begun(self, pdu: Received) -> Event:
        version, align, digests, most_h2c = INIT.unpack_from(pdu.header, BODY)
        if version:
            raise Fatal(Fes.UNSUPPORTED, f"PDU format version {version}", BODY)
        if align > MOST_ALIGN:
            raise Fatal(Fes.INVALID_HEADER, f"alignment of {align} dwords", BODY + 2)
        if digests & ~self._asks:
            raise Fatal(Fes.INVALID_HEADER, "digests that were not asked for", BODY + 3)
        if most_h2c < LEAST_H2C_DATA:
            raise Fatal(Fes.INVALID_HEADER, f"MAXH2CDATA of {most_h2c}", BODY + 4)
        self.header_digest, self.data_digest = (
            bool(digests & DigestFlags.HEADER),
            bool(digests & DigestFlags.DATA),
        )
        self._align_out, self._most_h2c = align, most_h2c
        self.state = ConnectionState.READY
        return Initialized(self.header_digest, self.data_digest)

    def _known(self, cid: int) -> _Sent:
        sent = self._sent.get(cid)
        if sent is None:
            raise Fatal(Fes.INVALID_HEADER, f"command {cid} is not open", BODY)
        return sent

    def _asked(self, pdu: Received) -> None:
        cid, tag, at, length = pdu.fields()
        sent = self._known(cid)
        if not length or at + length > len(sent.data) or sent.sqe.sgl != Sgl.TRANSPORT:
            raise Fatal(Fes.OUT_OF_RANGE, f"asked for {length} bytes at {at} of {len(sent.data)}")
        self._put_data(
            Pdu.H2C_DATA, cid, tag, sent.data[at : at + length], at, self._most_h2c, Flags.LAST_PDU
        )

    def _data(self, pdu: Received) -> Iterator[Event]:
        cid, _, at, length = pdu.fields()
        sent = self._known(cid)
        if length != len(pdu.data):
            raise Fatal(Fes.INVALID_HEADER, f"{len(pdu.data)} bytes of data, not {length}", BODY + 8)
        if at != len(sent.into) or at + length > sent.sqe.length or not sent.sqe.to_host:
            raise Fatal(Fes.OUT_OF_RANGE, f"{length} bytes at {at} of {sent.sqe.length}")
        if pdu.flags & Flags.SUCCESS and not pdu.flags & Flags.LAST_PDU:
            raise Fatal(Fes.INVALID_HEADER, "success before the last of the data", 1)
        sent.into += pdu.data
        sent.torn = sent.torn or not pdu.intact
        if pdu.flags & Flags.SUCCESS:
            yield from self._ended(Cqe(cid))

    def _ended(self, cqe: Cqe, capsule: bool = False) -> Iterator[Event]:
        sent = self._known(cqe.cid)
        del self._sent[cqe.cid]
        if capsule:
            self.sqhd = cqe.sqhd
        if sent.torn and cqe.status == Status.SUCCESS:
            cqe = replace(cqe, status=Status.TRANSIENT_TRANSPORT)
        yield ResponseReceived(cqe, bytes(sent.into) if cqe.status == Status.SUCCESS else b"")
