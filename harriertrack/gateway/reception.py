"""Shared by all fronts of a head: connection limits, admission of requests, cleanup when a client leaves.

A front only decodes and maps requests. It checks with the reception before it accepts a request, and receives
the answer through the request's `requester`.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import Protocol

from harriertrack.config.settings import HeadSettings
from harriertrack.decisions.admission import Admission, ConnectionBounds, WaitingRequest
from harriertrack.decisions.payload_memory import MemoryBudget
from harriertrack.decisions.requests import ANSWER_TICKS, ClientRequest, Core, Origin
from harriertrack.decisions.retry_queue import waits_in_head
from harriertrack.decisions.shares import ShareLimits, Shares
from harriertrack.gateway.ordered_reads import OrderedReads, Reader
from harriertrack.gateway.regional import Regional
from harriertrack.gateway.regional_retries import RegionalRetries
from harriertrack.runtime.hub import Hub, Scope, Timer, Waiters
from harriertrack.runtime.streams import HIGH_WATER, Listener, Stream, StreamClosed

LOAD_CHECK_US = 100_000  # how often the load of the event loop is reported to the shares


class AdmissionClient(Protocol):
    """The traits of a connection that decide how its requests are admitted."""

    @property
    def supports_hints(self) -> bool:
        """Whether the client retries by itself after a refusal, when the retry hint says so."""

    multipath: bool  # the client has other paths to a volume of two regions
    max_patience_us: int  # the longest that a request may wait; 0: as long as its volume allows

    def __hash__(self) -> int:
        """Hash by identity, so that connections are distinct keys."""


class FrontSession(AdmissionClient, Protocol):
    """A client's connection, in whatever protocol."""

    origin: Origin
    volume: str  # "" until the client has chosen one, or if it uses several
    chosen: bool
    counted: bool  # it counts towards its cell's share of the connections

    def run(self) -> None:
        """Serve the connection until it ends (its task)."""

    def give_up(self) -> None:
        """Break the connection, whose incomplete request takes too much memory."""

    def is_quiet(self) -> bool:
        """Whether all its answers have been sent, and all that has arrived was read."""

    def part(self) -> None:
        """Send no more, and discard what arrives until the client closes too."""


@dataclass(frozen=True, slots=True)
class Rejection:
    """Why a request was not admitted: nothing was done, and unless the head is stopping a retry is safe."""

    why: str
    closing: bool = False


CLOSING = Rejection("shutting down", closing=True)
HALF_SENT = "too many bytes of half-sent requests are held"
CLIENT_LEFT = Rejection("the client left")
OVERLOADED = Rejection("refused: not done; too much is open")


@dataclass(slots=True, eq=False)
class QueuedRequest(WaitingRequest[AdmissionClient]):
    """A request waiting for admission; `then` gets None once it is admitted, or why it is rejected."""

    request: ClientRequest
    then: Callable[[Rejection | None], None]
    timer: Timer | None = None


class Reception:
    """Admits the connections and requests of one head's clients."""

    def __init__(self, hub: Hub, settings: HeadSettings, core: Core, scope: Scope, note: Callable[..., None],
                 regional: Regional | None, cells: Mapping[str, str] | None) -> None:  # fmt: skip
        self.hub, self.settings, self.core, self.note = hub, settings, core, note
        self.regional, self.regional_retries = regional, None
        if regional is not None:
            self.regional_retries = RegionalRetries(
                hub, regional, core.rules.patience, settings.tick_us, self.release
            )
        self._sessions: dict[FrontSession, None] = {}
        self._choosing = 0  # how many sessions have not chosen their volume yet
        cells = cells or {volume.name: "" for volume in settings.volumes}
        self._divided = len(set(cells.values())) > 1
        self.shares = Shares(self._share_limits(), cells)
        self.admission: Admission[AdmissionClient] = Admission(self._connection_bounds(), self.shares)
        # Clients' admitted requests, their connections and their bytes.
        self._counted: dict[ClientRequest, tuple[AdmissionClient, int]] = {}
        self._queued: dict[QueuedRequest, None] = {}
        # Admitted ordered requests whose connections have yet to submit them: none may overtake them.
        self._resuming: dict[QueuedRequest, None] = {}
        # Bytes of requests that are not whole, by connection: each may be as long as the longest request.
        self.partial_requests = MemoryBudget(settings.limits.held_bytes)
        self.closing = False
        self.scope = scope
        self._ordered_reads = OrderedReads(hub) if settings.has_ordered_classes else None
        if self._ordered_reads is not None:
            scope.spawn("ordered reads", self._ordered_reads.run)

    # -- bounds

    @property
    def _choosing_limit(self) -> int:
        # Connections without a volume belong to no cell and must not use up the cells' shares.
        connections = self.settings.limits.connections
        return max(1, connections // 4) if self._divided else connections

    def _share_limits(self) -> ShareLimits:
        limits = self.settings.limits
        connections = limits.connections
        if self._divided:
            connections = max(1, connections - self._choosing_limit)
        return ShareLimits(connections, limits.held, limits.held_bytes, limits.borrow)

    def _connection_bounds(self) -> ConnectionBounds:
        return ConnectionBounds(self.settings.limits.in_flight, self.settings.limits.in_flight_bytes)

    def apply_settings(self, settings: HeadSettings) -> None:
        """Apply new limits; open sessions and requests stay, new ones wait until they fit in the limits."""
        self.settings = settings
        self.shares.limits, self.admission.bounds = self._share_limits(), self._connection_bounds()
        if self.regional_retries is not None:
            self.regional_retries.set_rules(self.hub.now(), self.core.rules.patience)
        self._admit_queued()

    # -- connections

    @property
    def sessions(self) -> int:
        """Return how many connections of clients are open."""
        return len(self._sessions)

    def serve(self, listener: Listener, make: Callable[[Stream], FrontSession]) -> None:
        """Accept clients until the listener is closed (a front's task)."""
        while True:
            try:
                stream = listener.accept()
            except StreamClosed:
                return
            if self.sessions >= self.settings.limits.connections or self._choosing >= self._choosing_limit:
                self.note("client turned away", peer=stream.peer, why="too many connections")
                stream.close()
                continue
            self._choosing += 1
            session = make(stream)
            self._sessions[session] = None
            task = self.scope.spawn(f"client {stream.peer}", session.run)
            task.on_done.append(partial(self._session_ended, session))

    def _session_ended(self, session: FrontSession, _task: object) -> None:
        del self._sessions[session]
        self.pass_on(session)
        self.partial_requests.release(session)
        self._choosing -= not session.chosen
        if session.counted:
            self.shares.disconnect(session.volume)

    def register_volume(self, session: FrontSession) -> bool:
        """Record the volume that a connection chose; False if its cell's share of connections is used up."""
        self._choosing -= 1
        session.chosen = True
        # The other region's head opens few connections, and limits their requests itself.
        session.counted = session.origin is Origin.CLIENT and self.shares.try_connect(session.volume)
        return session.counted or session.origin is not Origin.CLIENT

    def monitor_load(self) -> None:
        """Report the load of the event loop to the shares (a task)."""
        hub = self.hub
        while True:
            started_at, idle = hub.now(), hub.idle_us
            hub.sleep(LOAD_CHECK_US)
            now = hub.now()
            self.shares.update_load(now, max(0.0, 1 - (hub.idle_us - idle) / max(1, now - started_at)))
            self._admit_queued()

    def count_partial(self, session: FrontSession, held: int) -> bool:
        """Count the bytes of an incomplete request that a connection holds; return whether it is kept.

        Where all together are too many, the connection that holds most is closed.
        """
        victim = self.partial_requests.update(session, held)
        if victim is not None:
            victim.give_up()
        return victim is not session

    # -- the order of reads

    def take_turn(self, session: Reader, stream: Stream) -> None:
        """Wait until a connection may handle its last read: in order of arrival if a class asks for it."""
        if self._ordered_reads is not None:
            self._ordered_reads.take_turn(session, stream.last_byte_at)

    def pass_on(self, session: Reader) -> None:
        """Let other connections handle theirs: this one has handled its read, or has to wait."""
        if self._ordered_reads is not None:
            self._ordered_reads.pass_on(session)

    def drain(self, session: Reader, stream: Stream) -> None:
        """Wait until a client has read enough of its answers for its requests to be handled."""
        if stream.buffered >= HIGH_WATER:
            self.pass_on(session)
            stream.drain()

    # -- requests

    def try_admit(
        self, session: AdmissionClient, request: ClientRequest, open_requests: int
    ) -> Rejection | None:
        """Admit a request now (None), or return why it is rejected.

        `open_requests` is how many requests its connection has open.
        """
        if self.closing:
            return CLOSING
        limits = self.settings.limits
        if request.origin is not Origin.CLIENT:  # admission of these is the other region's head's task
            return OVERLOADED if open_requests >= limits.in_flight or self.core.at_capacity() else None
        size = len(request.data)
        is_ordered = self.core.is_ordered(request)
        why = "too much is open" if self._must_queue(is_ordered) else ""
        if why := why or self.admission.try_admit(
            self.hub.now(), session, request.volume.settings.name, size, is_ordered
        ):
            return Rejection(f"refused: not done; {why}")
        self._counted[request] = session, size
        return None

    def _must_queue(self, is_ordered: bool) -> bool:
        """Whether no request, or no ordered one, can be admitted at once."""
        return self.core.at_capacity() or (is_ordered and bool(self._resuming))

    def admit_or_queue(self, session: AdmissionClient, request: ClientRequest, open_requests: int,
                       then: Callable[[Rejection | None], None]) -> QueuedRequest | None:  # fmt: skip
        """Call `then` with the decision on a request: at once, or once capacity is free if it may wait.

        Its connection is not read from until then. Returns the queued request, or None if it was decided.
        """
        settings = request.volume.settings
        # Where there is another path (ANA), a host gets the refusal at once and switches to it by itself.
        elsewhere = session.multipath and self.regional is not None and settings.name in self.regional.volumes
        if (
            request.origin is Origin.CLIENT
            and waits_in_head(settings.waiting, session.supports_hints)
            and not elsewhere
        ):
            request.patience_us = min(settings.patience_us, session.max_patience_us or settings.patience_us)
        now, is_ordered = self.hub.now(), self.core.is_ordered(request)
        if not request.patience_us or self.closing:
            then(self.try_admit(session, request, open_requests))
            return None
        queued = QueuedRequest(
            session, settings.name, len(request.data), request, then, is_ordered=is_ordered
        )
        if self.admission.admit_or_queue(now, queued, self._must_queue(is_ordered)):
            self._counted[request] = session, queued.size
            then(None)
            return None
        # The latest time at which "not done" can still reach the client before its deadline.
        last = (request.arrived_at or now) + request.patience_us - ANSWER_TICKS * self.settings.tick_us
        queued.timer = self.hub.at(last, partial(self.reject_queued, queued, OVERLOADED))
        self._queued[queued] = None
        return queued

    def wait_for_admission(self, session: FrontSession, request: ClientRequest, stream: Stream,
                           open_requests: int) -> Rejection | None:  # fmt: skip
        """Wait until a request is admitted or rejected; meanwhile its connection is not read from.

        Returns None (admitted), or why it was rejected. Raises StreamClosed if its client leaves.
        """
        decisions: list[Rejection | None] = []
        decided = Waiters(self.hub)

        def then(rejection: Rejection | None) -> None:
            decisions.append(rejection)
            decided.notify()

        queued = self.admit_or_queue(session, request, open_requests, then)
        if queued is not None:
            # The stream is not read meanwhile: watch its end, to drop the request of a client that left.
            stream.watch_end(lambda: self.reject_queued(queued, CLIENT_LEFT))
            try:
                self.pass_on(session)
                while not decisions:
                    decided.wait()
            except BaseException:
                self.reject_queued(queued, CLIENT_LEFT)
                self.release(request)  # it may have just been admitted
                raise
            finally:
                self._resuming.pop(queued, None)
                stream.watch_end(None)
        if decisions[0] is CLIENT_LEFT:
            raise StreamClosed("the client left")
        return decisions[0]

    def reject_queued(self, queued: QueuedRequest, why: Rejection) -> None:
        """Reject a request that waits for admission, if it still does."""
        if queued in self._queued:
            self.admission.discard(queued)
            self._decide_queued(queued, why)

    def _decide_queued(self, queued: QueuedRequest, rejection: Rejection | None) -> None:
        del self._queued[queued]
        assert queued.timer is not None
        queued.timer.cancel()
        queued.then(rejection)

    def _admit_queued(self) -> None:
        if not self._queued:
            return
        free = self.settings.limits.held - self.core.open_parts
        for queued in self.admission.admit_waiting(self.hub.now(), free):
            assert isinstance(queued, QueuedRequest)
            self._counted[queued.request] = queued.connection, queued.size
            if queued.is_ordered:
                self._resuming[queued] = None
            self._decide_queued(queued, None)

    def close(self) -> None:
        """Admit no more requests, and refuse those that wait and were not sent."""
        self.closing = True
        for queued in list(self._queued):
            self.reject_queued(queued, CLOSING)
        self.core.stop_waiting(CLOSING.why)
        if self.regional_retries is not None:
            self.regional_retries.close(CLOSING.why)

    def unquiet_sessions(self) -> int:
        """Return how many connections have unsent answers or unread requests."""
        return sum(not session.is_quiet() for session in self._sessions)

    def part(self) -> None:
        """End all connections in order: their clients read to the end of what they were sent."""
        for session in list(self._sessions):
            session.part()

    def submit(self, request: ClientRequest) -> None:
        """Pass a request to the core, or to the layer for volumes of two regions."""
        if self.regional is not None and request.volume.settings.name in self.regional.volumes:
            if self.regional_retries is not None and request.patience_us:
                self.regional_retries.submit(request)
            else:
                self.regional.submit(request)
        else:
            self.core.accept(self.hub.now(), request)

    def release(self, request: ClientRequest) -> None:
        """Free the capacity of a request that was answered, or whose client left."""
        counted = self._counted.pop(request, None)
        if counted is not None:
            session, size = counted
            self.admission.release(session, request.volume.settings.name, size)
            if self._queued:
                self.hub.at_end_of_round(self._admit_queued)

    def client_left(self, request: ClientRequest) -> None:
        """Drop a request whose client left."""
        self.release(request)
        if self.regional is not None and request.volume.settings.name in self.regional.volumes:
            if self.regional_retries is not None and request.patience_us:
                self.regional_retries.client_left(request)
            else:
                self.regional.client_left(request)
        else:
            self.core.client_left(request)
