"""A storage node stand-in ("shelf" in settings): an NBD server with stored bytes and faults on demand.

`node.NodeModel` models its queue and service times.
"""

from __future__ import annotations

from collections.abc import Iterable

from harriertrack.config.settings import NodeStandInSettings
from harriertrack.protocol.nbd import extension
from harriertrack.protocol.nbd.server import (
    Disconnect,
    ExportInfo,
    ExportOpened,
    HandshakeAborted,
    Request,
    ServerConnection,
    ServerState,
)
from harriertrack.protocol.nbd.wire import Command, CommandFlags, Errno, ProtocolViolation, TransmissionFlags
from harriertrack.rules import recording as rec
from harriertrack.runtime.hub import Hub, Scope, Task
from harriertrack.runtime.streams import Listener, Network, Stream, StreamClosed
from harriertrack.standin.node import NodeConnection, NodeModel, ReceivedRequest, ShardStorage, UsageMeter

TRANSMISSION_FLAGS = (
    TransmissionFlags.SEND_FLUSH
    | TransmissionFlags.SEND_FUA
    | TransmissionFlags.SEND_TRIM
    | TransmissionFlags.SEND_WRITE_ZEROES
    | TransmissionFlags.SEND_DF
    | TransmissionFlags.SEND_CACHE
)


class NodeServer(NodeModel):
    """A storage node that listens on a network."""

    def __init__(
        self,
        hub: Hub,
        network: Network,
        settings: NodeStandInSettings,
        storage: ShardStorage,
        recorder: rec.Recorder | None = None,
        meter: UsageMeter | None = None,
        seed: int = 0,
    ) -> None:
        super().__init__(hub, settings, storage, recorder, meter, seed)
        self.address = settings.listen
        self.exports = _Exports(settings)
        self._network = network
        self._listener: Listener | None = None
        self._sessions: dict[NodeSession, Task] = {}

    def start(self, scope: Scope, cold: bool = False) -> None:
        """Start and listen; raises OSError if the address is in use."""
        for session, task in list(self._sessions.items()):
            self._reset_session(session, task)  # a restarted machine resets its old connections
        self._listener = self._network.listen(self.address)
        self.address = self._listener.address
        self.boot(cold)
        scope.spawn(f"{self.settings.name} accepts", self._accept, self._listener, scope)

    def stop(self, silent: bool = False) -> None:
        """Stop; reset connections, or leave them open without traffic (`silent`); drop waiting requests."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        self.shut_down()
        for session, task in list(self._sessions.items()):
            if silent:
                session.silenced = True
            else:
                self._reset_session(session, task)

    def _reset_session(self, session: NodeSession, task: Task) -> None:
        self._sessions.pop(session, None)
        session.stream.abort()
        task.cancel()

    @property
    def up(self) -> bool:
        """Whether it listens."""
        return self._listener is not None

    def _accept(self, listener: Listener, scope: Scope) -> None:
        while True:
            try:
                stream = listener.accept()
            except StreamClosed:
                return
            session = NodeSession(self, stream)
            self._sessions[session] = scope.spawn(f"{self.settings.name} serves", session.run)

    def connection_closed(self, connection: NodeConnection) -> None:
        """Handle a closed connection."""
        self._sessions.pop(connection, None)  # type: ignore[call-overload]
        super().connection_closed(connection)


class _Exports:
    def __init__(self, settings: NodeStandInSettings) -> None:
        self._extended = settings.extended
        self._exports = {
            volume.name: ExportInfo(volume.name, volume.size_bytes, TRANSMISSION_FLAGS)
            for volume in settings.volumes
        }

    def names(self) -> Iterable[str]:
        return self._exports

    def find(self, name: str) -> ExportInfo | None:
        return self._exports.get(name)

    def contexts(self, export: str, query: str) -> Iterable[str]:
        return (query,) if self._extended and extension.identity_of(query) is not None else ()


class NodeSession:
    """A connection to a storage node."""

    def __init__(self, server: NodeServer, stream: Stream) -> None:
        self._server, self.stream = server, stream
        self._nbd = ServerConnection(server.exports)
        self._head = self.epoch = 0
        self._volume = ""
        self.silenced = False  # the machine vanished: nothing is received or sent any more

    def run(self) -> None:
        """Serve the connection until it ends."""
        server = self._server
        try:
            self._send_outgoing()
            while data := self.stream.read():
                if self._is_cut_off():
                    continue
                events = self._nbd.receive(data)
                self._send_outgoing()
                for event in events:
                    match event:
                        case Request(command=Command.BLOCK_STATUS):
                            self._nbd.reply_block_status(event.cookie, [(event.length, 0)])
                            self._send_outgoing()
                        case Request(command=Command.CANCEL):
                            server.cancel(self, event.cookie)
                        case Request():
                            self._handle_request(event)
                        case ExportOpened():
                            self._volume = event.export.name
                            identities = [extension.identity_of(name) for name in event.contexts]
                            self._head, self.epoch = next(
                                (one for one in identities if one is not None), (0, 0)
                            )
                            server.storage.fence.admits(self._volume, self.epoch)
                        case Disconnect() | HandshakeAborted():
                            return
                if self._nbd.state is ServerState.CLOSED:
                    return
                self.stream.drain()
        except (OSError, ProtocolViolation):
            pass  # only this connection fails
        finally:
            server.connection_closed(self)
            self.stream.close()

    def _is_cut_off(self) -> bool:
        return self.silenced or self._head in self._server.faults.cut_off

    def _send_outgoing(self) -> None:
        for data in self._nbd.take_outgoing():
            self.stream.write(data)

    def _handle_request(self, request: Request) -> None:
        self._server.receive(self, request, self._volume, self._head, self._nbd.has_extension)

    def reset(self) -> None:
        """Reset the connection."""
        self.stream.abort()

    def reply(self, work: ReceivedRequest, result: str, data: bytes) -> None:
        """Send a reply, unless the connection is cut off."""
        if self._is_cut_off():
            return
        request, report = work.request, self._server.record_reply(work, result)
        if result == "unseen":
            self._nbd.reply_error(request.cookie, Errno.ENOMEM, "the queue is full", never_ran=True)
        elif request.command is Command.READ:
            chunks = [data] if data else []
            self._nbd.reply_read(
                request.cookie, request.offset, chunks, bool(request.flags & CommandFlags.DF), report
            )
        else:
            self._nbd.reply_done(request.cookie, report)
        self._send_outgoing()
