"""The clients' side: connections are taken, requests read and handed to the core, answers sent.

Bounds, parsing and framing only. One request at a time on a connection: while one is open, or its answer has
not left, nothing more is read, and what a client sends behind it is not passed on. After a last answer what
still comes is discarded.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import count

from harriertrack.decisions.client_connections import (
    ACCEPTS_PER_ROUND,
    LINGER_BYTES,
    LINGER_US,
    MAX_BACKLOG,
    MAX_LATENESS_US,
    ClientConnections,
    ClientState,
)
from harriertrack.decisions.graceful_shutdown import GracefulShutdown
from harriertrack.decisions.requests import ClientPlacement, ClientRequest, Core, Volume
from harriertrack.decisions.splitting import Kind, Outcome
from harriertrack.protocol.platform.asked import Asked, BadRequest, Ready, RequestParser, parting
from harriertrack.runtime.hub import Hub, Scope, Waiters
from harriertrack.runtime.streams import Listener, Stream, StreamClosed
from harriertrack.service.calls import Call, PlatformVolume
from harriertrack.service.configuration import Configuration
from harriertrack.service.log import Log, has_doubled

LOOK_US = 250_000  # how often overdue connections are looked for


@dataclass(slots=True)
class FrontCounts:
    """What became of connections, for operators."""

    taken: int = 0
    turned_away: int = 0  # for want of room
    bad: int = 0  # requests that could not be taken
    overdue: int = 0
    unanswered: int = 0  # closed here before anything was answered over them: each is priced as a refusal


class Front:
    """All clients of a head."""

    def __init__(
        self,
        hub: Hub,
        scope: Scope,
        core: Core,
        configuration: Configuration,
        leaving: GracefulShutdown,
        log: Log,
    ) -> None:
        self.hub, self.core, self.leaving = hub, core, leaving
        self.forms, self.deadlines = configuration.forms, configuration.deadlines
        self.connections: ClientConnections[ClientConnection] = ClientConnections(
            configuration.bounds.callers, configuration.bounds.asked
        )
        self.open: dict[bytes, Call] = {}  # by the client's id
        self.counts = FrontCounts()
        self._scope, self._log = scope, log

    def serve(self, listener: Listener) -> None:
        """Take connections until the listener is closed (a task)."""
        for taken in count(1):
            try:
                self._take(listener.accept())
            except StreamClosed:
                return
            if taken % ACCEPTS_PER_ROUND == 0:
                self.hub.sleep(0)  # a flood waits while what came over others has its turn

    def take_waiting(self, listener: Listener) -> None:
        """Take the connections that the system has made: closing the listener would reset them."""
        for _ in range(MAX_BACKLOG):
            if (stream := listener.accept_now()) is None:
                return
            self._take(stream)

    def _take(self, stream: Stream) -> None:
        connection = ClientConnection(self, stream)
        self.counts.taken += 1
        victim = self.connections.accept(connection, self.hub.now(), ClientConnection.silent)
        if victim is not None:
            self.counts.turned_away += 1
            self._close(victim)
        if victim is not connection:
            self._scope.spawn("client", connection.run)

    def watch(self) -> None:
        """End overdue connections, for ever (a task)."""
        while True:
            self.hub.sleep(LOOK_US)
            if not all(connection.silent() for connection in self.connections.expired(self.hub.now())):
                self.hub.sleep(0)  # what has come is read first
            for connection in self.connections.expired(self.hub.now()):
                state = self.connections.state(connection)
                self.counts.overdue += state is not ClientState.LINGERING
                if state is ClientState.READING:
                    connection.refuse(408, "no whole request came in time")
                else:
                    self._close(connection)

    def part(self) -> None:
        """Close the connections over which nothing is asked; where something has come it is read first."""
        for connection in self.connections.idle_connections(self.hub.now()):
            if connection.silent():
                self._close(connection)

    def refuse_half_read(self) -> None:
        """Refuse the requests of which a part has come: the rest would come too late."""
        for connection in self.connections.partially_read():
            connection.refuse(503, "the head is leaving")

    def _close(self, connection: ClientConnection) -> None:
        self.counts.unanswered += not connection.answered
        connection.end()

    def told_bad(self, error: BadRequest, peer: str) -> None:
        """A request could not be taken: say so now and then, a flood of them must not flood the log."""
        self.counts.bad += 1
        if has_doubled(self.counts.bad):
            self._log("bad request", why=str(error)[:120], peer=peer, so_far=self.counts.bad)


class ClientConnection:
    """One client's connection."""

    def __init__(self, front: Front, stream: Stream) -> None:
        self._front, self._stream = front, stream
        self._http = RequestParser(front.forms)
        self._request: ClientRequest | None = None
        self._changed = Waiters(front.hub)  # the answer has left, or the connection is closed
        self._last = self._closed = False  # last: nothing more is taken over it
        self.answered = False  # something was answered over it

    def run(self) -> None:
        """Serve the connection until it ends (its task)."""
        try:
            self._serve()
            if self._last:
                self._discard()
        except OSError:
            pass  # this connection alone suffers
        finally:
            self.leave()
            self.end()

    def _serve(self) -> None:
        """Take one request after another until the client ends, or its last answer is given."""
        try:
            while not self._closed and (asked := self._read()) is not None:
                if isinstance(asked, Ready):
                    self._tell_ready()
                else:
                    self._take(asked)
                while self._occupied:
                    self._changed.wait()
        except BadRequest as error:
            self._front.told_bad(error, self._stream.peer)
            self.refuse(error.status, str(error))

    @property
    def _occupied(self) -> bool:
        """Whether a request is open, or its answer has not left; a client that has gone waits for neither."""
        state = self._front.connections.state(self)
        return not self._closed and state in (ClientState.BUSY, ClientState.SENDING)

    def _read(self) -> Asked | Ready | None:
        """Wait for a request that is whole; None for the end of the connection."""
        connections = self._front.connections
        while data := self._stream.read():
            if self._last:  # what comes behind a last answer is not even parsed
                return None
            asked = self._http.receive(data)
            if asked is not None:
                connections.transition(self, ClientState.BUSY, self._front.hub.now())
                return asked
            if connections.state(self) in (ClientState.NEW, ClientState.IDLE):
                connections.transition(self, ClientState.READING, self._front.hub.now())
        return None

    def _discard(self) -> None:
        """Read on without use until the client ends too: closing over unread bytes takes the answer along."""
        left = LINGER_BYTES
        while left > 0 and (data := self._stream.read()):
            left -= len(data)
        while left <= 0 and not self._closed:  # it sends without end: its time to linger is up soon
            self._changed.wait()

    def _tell_ready(self) -> None:
        leaves = self._front.leaving.is_draining
        status, body = (503, b"leaving\n") if leaves else (200, b"ready\n")
        self._send(self._front.hub.now(), status, body)

    def _take(self, asked: Asked) -> None:
        front = self._front
        now = front.hub.now()
        call = Call(asked, self)
        if call.client_left(now):
            self._closed = True
            return
        other = front.open.get(asked.trace)
        if other is not None:
            if not other.session.left(now):
                raise BadRequest(409, "a request with this id is open")
            other.session.leave()
        left = min(asked.expires_ms * 1000, front.deadlines[asked.class_name])
        volume = Volume(PlatformVolume(asked.volume, asked.plan, asked.hosts))
        kind = Kind.WRITE if asked.writes else Kind.READ
        # The client counts from its sending: bytes that waited here unread have used up some of its time.
        deadline = min(self._stream.came_at, now) + left
        request = ClientRequest(volume, kind, 0, len(asked.body), asked.body, 0, call, deadline)
        self._request = request
        front.open[asked.trace] = call
        front.core.accept_placed(
            now,
            request,
            ClientPlacement(asked.class_name, asked.object, asked.shard, asked.units, asked.repeat),
        )
        self._stream.watch_end(self.leave)

    def give(self, call: Call, request: ClientRequest) -> None:
        """Send the one final answer."""
        if self._request is not request:
            return
        self._request = None
        self._front.open.pop(call.asked.trace, None)
        self._stream.watch_end(None)
        match request.outcome:
            case Outcome.SERVED:
                self._send(request.deadline, 200, request.bytes_read())
            case Outcome.REFUSED:
                self._send(request.deadline, 503, b"", request.hint_us)
            case _:
                self._send(request.deadline, 500, b"")

    def _send(self, deadline: int, status: int, body: bytes, retry_after_us: int = 0) -> None:
        """Send an answer that is awaited until a time; it is the last one if the head leaves."""
        leaves = self._front.leaving.is_draining
        self._stream.write(self._http.answer(status, len(body), retry_after_us, close=leaves))
        self._stream.write(body)
        kept = self._http.again()
        self._send_off(deadline + MAX_LATENESS_US, last=leaves or not kept)

    def refuse(self, status: int, why: str) -> None:
        """Say why nothing more is taken over the connection."""
        self._stream.write(parting(status, why))
        self._send_off(self._front.hub.now() + LINGER_US, last=True)

    def _send_off(self, until: int, last: bool) -> None:
        """Let what is written leave, until a time at most."""
        connections = self._front.connections
        if connections.state(self) is None:
            return
        self.answered, self._last = True, last
        connections.start_sending(self, until, self._front.hub.now())
        self._stream.push(self._sent)
        if connections.state(self) is ClientState.SENDING:
            self._stream.watch_end(self.end)

    def _sent(self) -> None:
        """The last byte of an answer has left this process."""
        if self._closed:  # as far as that went when it was closed
            return
        self._stream.watch_end(None)
        if self._last:
            self._stream.shut_sending()
        state = ClientState.LINGERING if self._last else ClientState.IDLE
        self._front.connections.transition(self, state, self._front.hub.now())
        self._changed.notify()

    def left(self, since: int) -> bool:
        """Whether the client has gone; looks anew if the last look was before `since` (microseconds)."""
        return self._stream.ended(since)

    def silent(self) -> bool:
        """Whether nothing has come over the connection that was not read, as of now."""
        return self._stream.silent()

    def leave(self) -> None:
        """The client has gone: if a request of it is open, nobody waits for its answer."""
        request, self._request = self._request, None
        if request is not None:
            call = request.requester
            assert isinstance(call, Call)
            self._front.open.pop(call.asked.trace, None)
            self._front.core.client_left(request)
            self._closed = True
            self._changed.notify()

    def end(self) -> None:
        """Close the connection."""
        self._closed = True
        self._front.connections.remove(self)
        self._stream.close()
        self._changed.notify()
