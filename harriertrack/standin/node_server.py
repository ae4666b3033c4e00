"""A storage node stand-in ("shelf"): an NBD server with real stored bytes, a model of its time, and faults on
demand. What it does with its time is `node.NodeModel`.
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

OFFERED = (
    TransmissionFlags.SEND_FLUSH
    | TransmissionFlags.SEND_FUA
    | TransmissionFlags.SEND_TRIM
    | TransmissionFlags.SEND_WRITE_ZEROES
    | TransmissionFlags.SEND_DF
    | TransmissionFlags.SEND_CACHE
)


class NodeServer(NodeModel):
    """One storage node over a network."""

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
        """Come up and listen, cold if asked; raises OSError if the address is taken."""
        for session, task in list(self._sessions.items()):
            self._break(session, task)  # a machine that comes back resets connections from before
        self._listener = self._network.listen(self.address)
        self.address = self._listener.address
        self.boot(cold)
        scope.spawn(f"{self.settings.name} accepts", self._accept, self._listener, scope)

    def stop(self, silent: bool = False) -> None:
        """Go down: connections break, or with `silent` just say nothing any more. Waiting work is lost."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        self.shut_down()
        for session, task in list(self._sessions.items()):
            if silent:
                session.deaf = True
            else:
                self._break(session, task)

    def _break(self, session: NodeSession, task: Task) -> None:
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

    def connection_closed(self, session: NodeConnection) -> None:
        """A connection ended."""
        self._sessions.pop(session, None)  # type: ignore[call-overload]
        super().connection_closed(session)


class _Exports:
    def __init__(self, settings: NodeStandInSettings) -> None:
        self._extended = settings.extended
        self._exports = {
            volume.name: ExportInfo(volume.name, volume.size_bytes, OFFERED) for volume in settings.volumes
        }

    def names(self) -> Iterable[str]:
        return self._exports

    def find(self, name: str) -> ExportInfo | None:
        return self._exports.get(name)

    def contexts(self, export: str, query: str) -> Iterable[str]:
        return (query,) if self._extended and extension.identity_of(query) is not None else ()


class NodeSession:
    """One connection to a shelf."""

    def __init__(self, shelf: NodeServer, stream: Stream) -> None:
        self._shelf, self.stream = shelf, stream
        self._nbd = ServerConnection(shelf.exports)
        self._head = self.epoch = 0
        self._volume = ""
        self.deaf = False  # the machine went silent: nothing passes any more

    def run(self) -> None:
        """Serve the connection until it ends."""
        shelf = self._shelf
        try:
            self._push()
            while data := self.stream.read():
                if self._cut_off():
                    continue
                events = self._nbd.receive(data)
                self._push()
                for event in events:
                    match event:
                        case Request(command=Command.BLOCK_STATUS):
                            self._nbd.reply_block_status(event.cookie, [(event.length, 0)])
                            self._push()
                        case Request(command=Command.CANCEL):
                            shelf.cancel(self, event.cookie)
                        case Request():
                            self._request(event)
                        case ExportOpened():
                            self._volume = event.export.name
                            known = [extension.identity_of(name) for name in event.contexts]
                            self._head, self.epoch = next((one for one in known if one is not None), (0, 0))
                            shelf.storage.fence.admits(self._volume, self.epoch)
                        case Disconnect() | HandshakeAborted():
                            return
                if self._nbd.state is ServerState.CLOSED:
                    return
                self.stream.drain()
        except (OSError, ProtocolViolation):
            pass  # this connection alone suffers
        finally:
            shelf.connection_closed(self)
            self.stream.close()

    def _cut_off(self) -> bool:
        return self.deaf or self._head in self._shelf.faults.cut_off

    def _push(self) -> None:
        for data in self._nbd.take_outgoing():
            self.stream.write(data)

    def _request(self, request: Request) -> None:
        self._shelf.receive(self, request, self._volume, self._head, self._nbd.has_extension)

    def reset(self) -> None:
        """Break the connection with a reset."""
        self.stream.abort()

    def reply(self, work: ReceivedRequest, result: str, data: bytes) -> None:
        """Send an answer, if the connection is still there."""
        if self._cut_off():
            return
        request, report = work.request, self._shelf.record_reply(work, result)
        if result == "unseen":
            self._nbd.reply_error(request.cookie, Errno.ENOMEM, "the queue is full", never_ran=True)
        elif request.command is Command.READ:
            pieces = [data] if data else []
            self._nbd.reply_read(
                request.cookie, request.offset, pieces, bool(request.flags & CommandFlags.DF), report
            )
        else:
            self._nbd.reply_done(request.cookie, report)
        self._push()
