"""The client side: accepts connections, reads requests, hands them to the core and sends the answers.

Only limits, parsing and framing are done here. A connection carries one request at a time: while a request is
open, or its answer has not been sent, nothing more is read, and bytes that a client sends behind the request
are never forwarded. After the last answer of a connection, further bytes are discarded.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import count

from harriertrack.decisions.arrival_order import ArrivalOrder
from harriertrack.decisions.client_connections import (
    ACCEPTS_PER_ROUND,
    LINGER_BYTES,
    LINGER_US,
    MAX_BACKLOG,
    MAX_LATENESS_US,
    MAX_UNREAD_BYTES,
    READ_BYTES,
    TURNS_PER_ROUND,
    ClientConnections,
    ClientState,
)
from harriertrack.decisions.forwarded_requests import ForwardedRequests
from harriertrack.decisions.graceful_shutdown import GracefulShutdown
from harriertrack.decisions.payload_memory import PayloadMemory
from harriertrack.decisions.requests import ClientPlacement, ClientRequest, Core, Volume
from harriertrack.decisions.splitting import Kind, Outcome
from harriertrack.protocol.platform.request_parser import (
    BadRequest,
    PlatformRequest,
    ReadinessCheck,
    RequestParser,
    closing_answer,
)
from harriertrack.runtime.hub import Hub, Waiters
from harriertrack.runtime.streams import Listener, Stream, StreamClosed
from harriertrack.runtime.turns import TurnQueue
from harriertrack.service.configuration import Configuration
from harriertrack.service.log import Log, is_power_of_two
from harriertrack.service.pending import PendingRequest, PlatformVolume

EXPIRY_CHECK_PERIOD_US = 250_000  # how often overdue connections are checked for


@dataclass(slots=True)
class FrontCounts:
    """Counts of connections and how they ended, for operators."""

    accepted: int = 0
    evicted: int = 0  # closed because the connection limit was reached
    bad_requests: int = 0  # requests that were rejected as invalid
    overdue: int = 0
    unanswered: int = 0  # closed by the head before it sent any answer: each costs as much as a refusal


class Front:
    """All client connections of a head."""

    def __init__(
        self,
        hub: Hub,
        core: Core,
        configuration: Configuration,
        shutdown: GracefulShutdown,
        memory: PayloadMemory,
        forwarded: ForwardedRequests,
        log: Log,
    ) -> None:
        self.hub, self.core, self.shutdown, self.memory = hub, core, shutdown, memory
        self.forwarded = forwarded
        self.schema, self.deadlines = configuration.schema, configuration.deadlines
        self.ordered_classes = configuration.ordered_classes
        self._arrivals: ArrivalOrder[ClientConnection] = ArrivalOrder()  # connections with an ordered request
        self._request_held = Waiters(hub)
        self.connections: ClientConnections[ClientConnection] = ClientConnections(
            configuration.bounds.connections.clients, configuration.bounds.connections.used_clients
        )
        self.open_requests: dict[bytes, PendingRequest] = {}  # by their identity
        self.counts = FrontCounts()
        self.turns = TurnQueue(hub, TURNS_PER_ROUND)
        self._log = log

    def serve(self, listener: Listener) -> None:
        """Accept connections until the listener is closed (a task)."""
        for number in count(1):
            try:
                self._accept(listener.accept())
            except StreamClosed:
                return
            if number % ACCEPTS_PER_ROUND == 0:
                self.hub.sleep(0)  # during a flood of connections, let the open ones be served in between

    def hold(self, connection: ClientConnection, arrived_at: int) -> None:
        """Hold a connection's ordered request until all that arrived before it has been read."""
        self._arrivals.hold(connection, arrived_at)
        self._request_held.notify()

    def release(self, connection: ClientConnection) -> None:
        """Forget a connection, which ends."""
        self._arrivals.discard(connection)

    def admit_in_order(self, listener: Listener) -> None:
        """Admit ordered requests in the order in which they arrived (a task)."""
        while True:
            while not self._arrivals.begin_sweep():
                self._request_held.wait()
            self._accept_arrived(listener)
            self.turns.wait_for_all()
            for connection in self._arrivals.end_sweep():
                connection.admit_held()

    def _accept_arrived(self, listener: Listener) -> None:
        """Accept the connections that have arrived by now, with a round for the others in between."""
        for number in range(1, MAX_BACKLOG + 1):
            if (stream := listener.accept_now()) is None:
                return
            self._accept(stream)
            if number % ACCEPTS_PER_ROUND == 0:
                self.hub.sleep(0)

    def accept_pending(self, listener: Listener) -> None:
        """Accept the connections in the system's backlog: closing the listener would reset them."""
        for _ in range(MAX_BACKLOG):
            if (stream := listener.accept_now()) is None:
                return
            self._accept(stream)

    def _accept(self, stream: Stream) -> None:
        connection = ClientConnection(self, stream)
        self.counts.accepted += 1
        victim = self.connections.accept(connection, self.hub.now(), ClientConnection.silent)
        if victim is not None:
            self.counts.evicted += 1
            self._close(victim)
        if victim is not connection:
            connection.open()

    def close_expired(self) -> None:
        """Close overdue connections periodically (a task)."""
        while True:
            self.hub.sleep(EXPIRY_CHECK_PERIOD_US)
            if not all(connection.silent() for connection in self.connections.expired(self.hub.now())):
                self.turns.wait_for_all()  # received bytes are read first
            for connection in self.connections.expired(self.hub.now()):
                self._expire(connection)

    def _expire(self, connection: ClientConnection) -> None:
        state = self.connections.state(connection)
        if state in (ClientState.NEW, ClientState.IDLE) and not connection.silent():
            return  # its turn to be read has yet to come
        self.counts.overdue += state is not ClientState.LINGERING
        if state is ClientState.READING:
            connection.refuse(408, "no whole request came in time")
        else:
            self._close(connection)

    def close_all(self) -> None:
        """Close all connections: the head ends."""
        for connection in self.connections.all():
            connection.close()

    def close_idle(self) -> None:
        """Close the connections without a request; where bytes have been received they are read first."""
        for connection in self.connections.idle_connections(self.hub.now()):
            if connection.silent():
                self._close(connection)

    def refuse_partial(self) -> None:
        """Refuse partially received requests: the rest would arrive too late."""
        for connection in self.connections.partially_read():
            connection.refuse(503, "the head is leaving")

    def _close(self, connection: ClientConnection) -> None:
        self.counts.unanswered += not connection.answered
        connection.close()

    def report_bad_request(self, error: BadRequest, peer: str) -> None:
        """Count an invalid request, and log it at powers of two so that a flood can't fill the log."""
        self.counts.bad_requests += 1
        if is_power_of_two(self.counts.bad_requests):
            self._log("bad request", why=str(error)[:120], peer=peer, so_far=self.counts.bad_requests)


class ClientConnection:
    """One client's connection."""

    def __init__(self, front: Front, stream: Stream) -> None:
        self._front, self._stream = front, stream
        self._http = RequestParser(front.schema)
        self._request: ClientRequest | None = None
        self._held: PlatformRequest | None = None  # an ordered request, until its turn
        self._final = self._closed = False  # final: no further request is accepted over it
        self._discarded = 0  # bytes behind the final answer
        self.answered = False  # an answer was sent over it

    def open(self) -> None:
        """Begin to read."""
        self._await_bytes()

    def _await_bytes(self) -> None:
        self._stream.on_readable(self._ask_for_turn)

    def _ask_for_turn(self) -> None:
        if not self._closed:
            self._front.turns.add(self)

    def take_turn(self) -> None:
        """Read once, and do what follows from it; errors affect this connection only."""
        if self._closed:
            return
        try:
            data = self._stream.read_now(READ_BYTES)
        except OSError:
            self.close()
            return
        if data is None:
            self._await_bytes()
        elif not data:
            self.close()
        elif self._final:
            self._discard(len(data))
        else:
            self._receive(data)

    def _receive(self, data: bytes) -> None:
        """Parse received bytes, and hand over the request if it is whole."""
        try:
            if (parsed := self._parse(data)) is not None:
                self._accept_request(parsed)
        except BadRequest as error:
            self._reject(error)

    def _reject(self, error: BadRequest) -> None:
        self._front.report_bad_request(error, self._stream.peer)
        self.refuse(error.status, str(error))

    def _accept_request(self, parsed: PlatformRequest | ReadinessCheck) -> None:
        """Hand a request over; it is referenced by the core alone afterwards."""
        self._front.connections.transition(self, ClientState.BUSY, self._front.hub.now())
        if isinstance(parsed, ReadinessCheck):
            self._answer_readiness()
        elif parsed.class_name in self._front.ordered_classes:
            self._held = parsed
            self._front.hold(self, self._stream.last_byte_at)
        else:
            self._admit(parsed)

    def admit_held(self) -> None:
        """Hand over the ordered request: nothing that arrived before it is unread."""
        parsed, self._held = self._held, None
        try:
            if parsed is not None:
                self._admit(parsed)
        except BadRequest as error:
            self._reject(error)

    def _parse(self, data: bytes) -> PlatformRequest | ReadinessCheck | None:
        """Return the request that is complete with these bytes, if the head has the memory for it."""
        connections = self._front.connections
        held = self._http.held_bytes
        parsed = self._http.receive(data)
        if not self._has_memory_for(self._http.held_bytes - held, parsed is not None):
            return None
        if parsed is None:
            if connections.state(self) in (ClientState.NEW, ClientState.IDLE):
                connections.transition(self, ClientState.READING, self._front.hub.now())
            self._await_bytes()
        return parsed

    def _has_memory_for(self, size: int, is_complete: bool) -> bool:
        """Count received bytes; return whether this request is kept. Another's may be given up for it."""
        requests = self._front.memory.requests
        holder = requests.complete(self, size) if is_complete else requests.receive(self, size)
        if holder is not None:
            holder.give_up()
        return holder is not self

    def give_up(self) -> None:
        """Refuse the request that is being received, as the requests of all clients take too much memory."""
        self.refuse(503, "too many bytes of requests are held")

    def _discard(self, size: int) -> None:
        """Discard until the client closes too: closing with unread bytes would reset the connection and lose
        the answer. A client that keeps sending is closed soon, by the linger timeout.
        """
        self._discarded += size
        if self._discarded < LINGER_BYTES:
            self._await_bytes()

    def _answer_readiness(self) -> None:
        draining = self._front.shutdown.is_draining
        status, body = (503, b"leaving\n") if draining else (200, b"ready\n")
        self._send(self._front.hub.now(), status, body)

    def _admit(self, parsed: PlatformRequest) -> None:
        front = self._front
        now = front.hub.now()
        pending, body = PendingRequest(parsed, self, parsed.identity), parsed.take_body()
        if pending.client_has_left(now):
            self.close()
            return
        self._check_identity(pending.identity, now)
        if front.forwarded.is_full(now):
            self._send(now, 503, b"")
            return
        time_left_us = min(parsed.expires_ms * 1000, front.deadlines[parsed.class_name])
        volume = Volume(PlatformVolume(parsed.volume, parsed.plan, parsed.hosts))
        kind = Kind.WRITE if parsed.writes else Kind.READ
        # The client's deadline counts from when it sent the request: time in the receive queue is part of it.
        deadline = min(self._stream.came_at, now) + time_left_us
        request = ClientRequest(volume, kind, 0, len(body), body, 0, pending, deadline)
        self._request = request
        front.open_requests[pending.identity] = pending
        front.core.accept_placed(
            now,
            request,
            ClientPlacement(parsed.class_name, parsed.object, parsed.shard, parsed.units, parsed.second_try),
        )
        self._stream.watch_end(self.abandon)

    def _check_identity(self, identity: bytes, now: int) -> None:
        """Let a request pass whose id is not open and has not reached a node, else raise BadRequest."""
        other = self._front.open_requests.get(identity)
        if other is not None:
            if not other.session.has_left(now):
                raise BadRequest(409, "a request with this id is open")
            other.session.abandon()
        if identity in self._front.forwarded:
            raise BadRequest(409, "a request with this id was sent to a node")

    def send_answer(self, pending: PendingRequest, request: ClientRequest) -> None:
        """Send the final answer."""
        if self._request is not request:
            return
        self._request = None
        self._front.open_requests.pop(pending.identity, None)
        self._stream.watch_end(None)
        match request.outcome:
            case Outcome.SERVED:
                self._send(request.deadline, 200, request.bytes_read())
            case Outcome.REFUSED:
                self._send(request.deadline, 503, b"", request.hint_us)
            case _:
                self._send(request.deadline, 500, b"")
        request.release()

    def _send(self, deadline: int, status: int, body: bytes, retry_after_us: int = 0) -> None:
        """Send an answer that the client waits for until `deadline`; it is the final one while draining."""
        draining = self._front.shutdown.is_draining
        self._stream.write(self._http.answer_head(status, len(body), retry_after_us, close=draining))
        self._stream.write(body)
        keep_alive = self._http.start_next()
        self._start_sending(deadline + MAX_LATENESS_US, final=draining or not keep_alive)

    def refuse(self, status: int, why: str) -> None:
        """Answer with an error that explains why the connection accepts no further request."""
        self._http.close()
        self._stream.write(closing_answer(status, why))
        self._start_sending(self._front.hub.now() + LINGER_US, final=True)

    def _start_sending(self, until: int, final: bool) -> None:
        """Send the written bytes, until the time `until` at most."""
        connections = self._front.connections
        if connections.state(self) is None:
            return
        self.answered, self._final = True, final
        self._front.memory.requests.release(self)
        connections.start_sending(self, until, self._front.hub.now())
        self._stream.push(self._sent)
        if connections.state(self) is ClientState.SENDING:
            self._front.memory.answers.hold(self, self._stream.buffered)
            self._stream.watch_end(self.close)

    def _sent(self) -> None:
        """Handle that the last byte of an answer has left this process."""
        if self._closed:  # called by the close: not all bytes need have been sent
            return
        self._front.memory.answers.release(self)
        self._stream.watch_end(None)
        if self._final:
            self._stream.shut_sending()
        state = ClientState.LINGERING if self._final else ClientState.IDLE
        self._front.connections.transition(self, state, self._front.hub.now())
        self._await_bytes()

    def has_left(self, since: int) -> bool:
        """Whether the client has disconnected; polls if the last poll was before `since` (microseconds).

        It may have left, too, where so much is unread that the end of its connection can't arrive.
        """
        if self._stream.ended(since):
            return True
        return self._stream.unread(MAX_UNREAD_BYTES, since) >= MAX_UNREAD_BYTES

    def silent(self) -> bool:
        """Whether the connection holds no received bytes that are still unread."""
        return self._stream.silent()

    def abandon(self) -> None:
        """End the connection, whose client has disconnected; its open request is dropped."""
        self.close()

    def close(self) -> None:
        """Close the connection, and drop its open request, if there is one."""
        if self._closed:
            return
        self._closed = True
        self._held = None
        self._front.release(self)
        self._drop_request()
        self._http.close()
        self._front.turns.discard(self)
        self._front.memory.requests.release(self)
        self._front.memory.answers.release(self)
        self._front.connections.remove(self)
        self._stream.close()

    def _drop_request(self) -> None:
        request, self._request = self._request, None
        if request is not None:
            pending = request.requester
            assert isinstance(pending, PendingRequest)
            self._front.open_requests.pop(pending.identity, None)
            self._front.core.client_left(request)
            request.release()
