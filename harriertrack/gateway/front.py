"""The NBD front: clients' connections, each request of which becomes a `ClientRequest` of the core.

A front makes no scheduling decisions: it parses requests, refuses those over a connection's limit, and
writes the core's answers. The error distinguishes refused from failed: ENOMEM (not done, a retry is safe,
the hint is in the message) and EIO (the effect is unknown).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import islice

from harriertrack.config.settings import HeadSettings
from harriertrack.decisions.command_turns import CommandTurn
from harriertrack.decisions.requests import ClientRequest, Origin, Part
from harriertrack.decisions.splitting import Kind, Outcome, merge_runs, split_at_extents
from harriertrack.gateway.connection import FrontConnection
from harriertrack.gateway.links import COMMANDS
from harriertrack.gateway.reception import CLOSING, Reception, Rejection
from harriertrack.gateway.regional import CLOSED, digest_of
from harriertrack.protocol.nbd.extension import (
    COPY_CONTEXT,
    HINTS_CONTEXT,
    RELAY_CONTEXT,
    Report,
    generation_of,
    identity_of,
)  # fmt: skip
from harriertrack.protocol.nbd.server import (
    Disconnect,
    ExportInfo,
    ExportOpened,
    HandshakeAborted,
    Request,
    ServerConnection,
    ServerEvent,
    ServerState,
)  # fmt: skip
from harriertrack.protocol.nbd.wire import (
    Command,
    CommandFlags,
    Errno,
    ExtentFlags,
    ProtocolViolation,
    TransmissionFlags,
)  # fmt: skip
from harriertrack.runtime.hub import DeadlineExceeded, Waiters
from harriertrack.runtime.streams import Listener, Stream

KINDS = {command: kind for kind, command in COMMANDS.items()}
REFUSED, FAILED = Errno.ENOMEM, Errno.EIO


def error_of_rejection(rejection: Rejection) -> tuple[Errno, str]:
    """Return the error and its text for a request that was not admitted."""
    return Errno.ESHUTDOWN if rejection.closing else REFUSED, rejection.why


def error_of(request: ClientRequest) -> tuple[Errno, str]:
    """Return the error and its text for a request that was not served."""
    if request.outcome is Outcome.REFUSED:
        if request.reason == CLOSING.why:
            return error_of_rejection(CLOSING)
        hint = f"; retry-after-us={request.hint_us}" if request.hint_us else ""
        return REFUSED, request.reason or f"refused: not done{hint}"
    return FAILED, "failed: nothing is known of its effect"


class VolumeExports:
    """The volumes as NBD exports."""

    def __init__(self, settings: HeadSettings) -> None:
        supported = TransmissionFlags.HAS_FLAGS | TransmissionFlags.SEND_FLUSH | TransmissionFlags.SEND_FUA
        supported |= (
            TransmissionFlags.SEND_TRIM | TransmissionFlags.SEND_WRITE_ZEROES | TransmissionFlags.SEND_DF
        )
        supported |= TransmissionFlags.CAN_MULTI_CONN
        if any(Kind.CACHE in one.kinds for one in settings.classes):
            supported |= TransmissionFlags.SEND_CACHE
        self._regional_volumes = {volume.name for volume in settings.volumes if volume.regions is not None}
        self._exports = {
            volume.name: ExportInfo(
                volume.name, volume.size_bytes,
                supported | TransmissionFlags.READ_ONLY if volume.read_only else supported,
                f"volume {volume.name}, plan {volume.plan}",
            )
            for volume in settings.volumes
        }  # fmt: skip

    def names(self) -> Iterable[str]:
        """Return the names of the volumes."""
        return self._exports

    def find(self, name: str) -> ExportInfo | None:
        """Return an export; "" names the only volume, if there is just one."""
        if not name and len(self._exports) == 1:
            return next(iter(self._exports.values()))
        return self._exports.get(name)

    def contexts(self, export: str, query: str) -> Iterable[str]:
        """Return the context that a query names: for clients with hints, or for the other region's head.

        The latter only if the volume spans two regions.
        """
        if query == HINTS_CONTEXT:
            return (query,)
        known = any(identity_of(query, prefix) for prefix in (RELAY_CONTEXT, COPY_CONTEXT))
        return (query,) if known and export in self._regional_volumes else ()


@dataclass(slots=True, eq=False)
class DigestRequester:
    """Receives the answer to the read that a DIGEST command needs."""

    session: Session
    cookie: int

    def answer(self, request: ClientRequest) -> None:
        """Handle the final answer."""
        self.session.answer_digest(self.cookie, request)


class Session(FrontConnection):
    """One client's connection."""

    def __init__(self, front: NbdFront, stream: Stream) -> None:
        super().__init__(front.reception, stream)
        self._nbd = ServerConnection(front.exports)
        self._open: dict[ClientRequest, int] = {}  # unanswered requests and their cookies
        self._answered = Waiters(front.reception.hub)
        self._turn = CommandTurn()
        self.volume = ""
        self.origin, self._epoch, self._generation = Origin.CLIENT, 0, 0
        self.chosen = self.counted = False  # it has a volume; it counts towards its cell's connections
        self.supports_hints, self.multipath, self.max_patience_us = False, False, 0

    def run(self) -> None:
        """Serve the connection until it ends (the session's task)."""
        front = self._reception
        try:
            self._serve()
        except (ProtocolViolation, DeadlineExceeded) as error:
            front.note("client closed", peer=self._stream.peer, why=str(error) or "too slow a handshake")
        except OSError as error:
            front.note("client broke", peer=self._stream.peer, why=str(error))
        finally:
            for request in self._open:
                front.client_left(request)
            self._push()
            self._stream.close()

    def _serve(self) -> None:
        """Handle what the client sends, until either side ends the connection."""
        front = self._reception
        self._push()
        deadline = front.hub.now() + front.settings.limits.handshake_us
        while data := self._read(deadline):
            if not self._handle_read(data, self._nbd.state is ServerState.TRANSMISSION):
                return
            if pause := front.shares.read_pause_us(self.volume, front.hub.now()):
                front.hub.sleep(pause)

    def _read(self, handshake_deadline: int) -> bytes:
        opened = self._nbd.state is ServerState.TRANSMISSION
        return self._stream.read(None if opened else handshake_deadline)

    def _receive(self, data: memoryview, unparsed: int) -> bool:
        front = self._reception
        events = self._nbd.receive(data)
        replies = self._push()  # error replies, which come without an event
        if not front.count_partial(self, self._nbd.partial_bytes + unparsed):
            return False
        for event in events:
            if not self._handle(event):
                return False
        if self._nbd.state is ServerState.CLOSED:
            return False
        if self._turn.is_over(len(events) + replies):
            front.hub.sleep(0)
        return True

    def _handle(self, event: ServerEvent) -> bool:
        """Handle an event; return whether the connection goes on."""
        match event:
            case Request(command=Command.TICK | Command.CAUGHT_UP | Command.DIGEST):
                self._peer_command(event)
            case Request():
                self._request(event)
            case ExportOpened():
                return self._open_export(event)
            case Disconnect():
                self._finish_open()
            case HandshakeAborted():
                return False
        return True

    def _open_export(self, event: ExportOpened) -> bool:
        front = self._reception
        self.volume = event.export.name
        if not self._identify(event.contexts):
            return False
        if not front.register_volume(self):
            front.note("client turned away", peer=self._stream.peer, volume=self.volume,
                       why="too many connections of its cell")  # fmt: skip
            return False
        front.note("client opened", peer=self._stream.peer, volume=self.volume,
                   hears_hints=self.supports_hints)  # fmt: skip
        return True

    def _push(self) -> int:
        """Write what is to be sent; return in how many pieces."""
        outgoing = self._nbd.take_outgoing()
        for data in outgoing:
            self._stream.write(data)
        return len(outgoing)

    def _finish_open(self) -> None:
        """After DISC, answer requests in flight before the connection closes (spec: NBD_CMD_DISC)."""
        self._reception.pass_on(self)
        while self._open:
            self._answered.wait()
        self._stream.drain()

    def _identify(self, contexts: Iterable[str]) -> bool:
        """Identify a client or the other region's head; return False for a holder that lost its lease."""
        for context in contexts:
            if context == HINTS_CONTEXT:
                self.supports_hints = True
            elif identity_of(context, RELAY_CONTEXT):
                self.origin, self._generation = Origin.RELAY, generation_of(context)
            elif identity := identity_of(context, COPY_CONTEXT):
                self.origin, self._epoch = Origin.COPY, identity[1]
                regional = self._reception.regional
                return regional is not None and regional.copy_opened(
                    self.volume, self._epoch, generation_of(context), self
                )
        return True

    def _peer_command(self, event: Request) -> None:
        regional, report = self._reception.regional, None
        if regional is None or self.origin is not Origin.RELAY:
            self._reject(event, Errno.EINVAL, "only the other region's head may say so")
            return
        if event.command is Command.DIGEST:
            self._digest(event)
            return
        if event.command is Command.TICK:
            report = Report(load=(regional.tick(bool(event.length)),))
        else:
            regional.caught(self.volume, event.offset, event.length, self._generation, self)
        self._nbd.reply_done(event.cookie, report)
        self._push()

    def _digest(self, event: Request) -> None:
        """Read a range as for a client, but reply with its digest."""
        volume = self._reception.core.volumes[self.volume]
        export = self._nbd.export
        if not event.length or export is None or event.offset + event.length > export.size:
            self._reject(event, Errno.EINVAL, "not a range of the volume")
            return
        requester = DigestRequester(self, event.cookie)
        self._reception.submit(
            ClientRequest(
                volume,
                Kind.READ,
                event.offset,
                event.length,
                b"",
                0,
                requester,
                origin=self.origin,
                tick=event.tick,
                reader=self,
                generation=self._generation,
            )
        )

    def answer_digest(self, cookie: int, request: ClientRequest) -> None:
        """Answer a DIGEST."""
        if request.outcome is Outcome.SERVED:
            digest = digest_of(request)
            self._nbd.reply_done(cookie, Report(load=(float(digest >> 32), float(digest & 0xFFFFFFFF))))
        else:
            self._nbd.reply_error(cookie, REFUSED, request.reason or "refused: not done")
        self._push()

    def _request(self, event: Request) -> None:
        front = self._reception
        if (
            event.command is Command.BLOCK_STATUS
            and self.origin is Origin.RELAY
            and front.regional is not None
        ):
            extents = front.regional.missing(self.volume, event.offset, event.length, self._generation)
            if extents is None:
                self._reject(event, REFUSED, CLOSED)
                return
            self._nbd.reply_block_status(event.cookie, extents, RELAY_CONTEXT)
            self._push()
            return
        if event.command is Command.BLOCK_STATUS:
            self._nbd.reply_block_status(event.cookie, list(self._status(event)))
            self._push()
            return
        volume = front.core.volumes[self.volume]
        kind = KINDS[event.command]
        catch_up_read = self.origin is Origin.RELAY and kind is Kind.READ and event.flags & CommandFlags.DF
        request = ClientRequest(
            volume, kind, event.offset, event.length, event.data, event.flags, self,
            origin=self.origin, epoch=self._epoch, tick=event.tick, reader=self if catch_up_read else None,
            generation=self._generation, arrived_at=self._stream.came_at,
        )  # fmt: skip
        if not self.supports_hints:
            # Accept waiting requests only as fast as the client reads answers.
            front.drain(self, self._stream)
        if rejection := front.wait_for_admission(self, request, self._stream, len(self._open)):
            self._reject(event, *error_of_rejection(rejection))
            return
        self._open[request] = event.cookie
        front.submit(request)

    def _reject(self, event: Request, error: Errno, why: str) -> None:
        self._nbd.reply_error(event.cookie, error, why)
        self._push()

    def _status(self, event: Request) -> Iterable[tuple[int, int]]:
        """Return the allocation status; extents that were never written are holes."""
        core, hole = self._reception.core, int(ExtentFlags.HOLE | ExtentFlags.ZERO)
        volume = core.volumes[self.volume]
        pieces = split_at_extents(event.offset, event.length, self._reception.settings.extent_bytes)
        runs = merge_runs(
            (length, hole if core.shard_of(volume, at) is None else 0) for at, _, length in pieces
        )
        return islice(runs, 1) if event.flags & CommandFlags.REQ_ONE else runs

    def answer(self, request: ClientRequest) -> None:
        """Write the final answer to a request."""
        cookie = self._open.pop(request)
        match request.outcome:
            case Outcome.SERVED if request.kind is Kind.READ:
                pieces = [piece.data if isinstance(piece, Part) else piece for piece in request.pieces]
                self._nbd.reply_read(cookie, request.offset, pieces, bool(request.flags & CommandFlags.DF))
            case Outcome.SERVED:
                self._nbd.reply_done(cookie)
            case _:
                self._nbd.reply_error(cookie, *error_of(request))
        self._push()
        self._answered.notify()


class NbdFront:
    """Serves NBD clients."""

    def __init__(self, reception: Reception) -> None:
        self.reception = reception
        self.exports = VolumeExports(reception.settings)

    def serve(self, listener: Listener) -> None:
        """Accept clients until the listener is closed (the front's task)."""
        self.reception.serve(listener, lambda stream: Session(self, stream))
