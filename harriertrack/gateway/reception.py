"""What all fronts of a head share: who is let in, which requests are taken, and what becomes of those whose
client leaves.

A front is codec and mapping; it asks here before it takes a request, and hears of the answer through the
request's token.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import Protocol

from harriertrack.config.settings import HeadSettings
from harriertrack.decisions.admission import Admission, ConnectionBounds, WaitingRequest
from harriertrack.decisions.requests import ANSWER_TICKS, ClientRequest, Core, Origin
from harriertrack.decisions.retry_queue import waits_in_head
from harriertrack.decisions.shares import ShareLimits, Shares
from harriertrack.gateway.regional import Regional
from harriertrack.gateway.regional_retries import RegionalRetries
from harriertrack.runtime.hub import Hub, Scope, Timer, Waiters
from harriertrack.runtime.streams import Listener, Stream, StreamClosed

TICK_US = 100_000  # how often the shares hear how busy the loop is


class AdmissionClient(Protocol):
    """Who asks over one connection."""

    @property
    def supports_hints(self) -> bool:
        """Whether it comes again by itself after a refusal, when that says so."""

    multipath: bool  # it knows other ways to a volume of two regions
    max_patience_us: int  # how long it may be kept waiting; 0: whatever its volume allows

    def __hash__(self) -> int:
        """Tell connections apart."""


class FrontSession(AdmissionClient, Protocol):
    """A client's connection, whatever it speaks."""

    origin: Origin
    volume: str  # "" until it has chosen one, or if it uses several
    chosen: bool
    counted: bool  # among its cell's connections

    def run(self) -> None:
        """Serve the connection until it ends (its task)."""


@dataclass(frozen=True, slots=True)
class Rejection:
    """A request that is not taken: nothing was done, and unless the head stops trying again is harmless."""

    why: str
    closing: bool = False


CLOSING = Rejection("shutting down", closing=True)
GONE = Rejection("the client left")
TOO_MUCH = Rejection("refused: not done; too much is open")


@dataclass(slots=True, eq=False)
class QueuedRequest(WaitingRequest[AdmissionClient]):
    """A request at the door, and who is told how it goes on: None (it was taken), or why it is not."""

    request: ClientRequest
    then: Callable[[Rejection | None], None]
    timer: Timer | None = None


class Reception:
    """One head's."""

    def __init__(self, hub: Hub, settings: HeadSettings, core: Core, scope: Scope, note: Callable[..., None],
                 regional: Regional | None, cells: Mapping[str, str] | None) -> None:  # fmt: skip
        self.hub, self.settings, self.core, self.note = hub, settings, core, note
        self.regional, self.visits = regional, None
        if regional is not None:
            self.visits = RegionalRetries(hub, regional, core.rules.patience, settings.tick_us, self.release)
        self.sessions = 0
        self._choosing = 0  # of these, so many have not chosen their volume
        cells = cells or {volume.name: "" for volume in settings.volumes}
        self._divided = len(set(cells.values())) > 1
        self.shares = Shares(self._share_limits(), cells)
        self.door: Admission[AdmissionClient] = Admission(self._door_bounds(), self.shares)
        self._counted: dict[
            ClientRequest, tuple[AdmissionClient, int]
        ] = {}  # clients' requests, and their bytes
        self._knocks: dict[QueuedRequest, None] = {}
        self.closing = False
        self.scope = scope

    # -- bounds

    @property
    def _may_choose(self) -> int:
        # Who has not chosen yet is of no cell: cells' parts are safe from them.
        connections = self.settings.limits.connections
        return max(1, connections // 4) if self._divided else connections

    def _share_limits(self) -> ShareLimits:
        limits = self.settings.limits
        connections = limits.connections
        if self._divided:
            connections = max(1, connections - self._may_choose)
        return ShareLimits(connections, limits.held, limits.held_bytes, limits.borrow)

    def _door_bounds(self) -> ConnectionBounds:
        return ConnectionBounds(self.settings.limits.in_flight, self.settings.limits.in_flight_bytes)

    def apply_settings(self, settings: HeadSettings) -> None:
        """Go by other bounds from now on; who is in stays, and nobody new comes in before there is room."""
        self.settings = settings
        self.shares.limits, self.door.bounds = self._share_limits(), self._door_bounds()
        if self.visits is not None:
            self.visits.set_rules(self.hub.now(), self.core.rules.patience)
        self._let_in()

    # -- connections

    def serve(self, listener: Listener, make: Callable[[Stream], FrontSession]) -> None:
        """Accept clients until the listener is closed (a front's task)."""
        while True:
            try:
                stream = listener.accept()
            except StreamClosed:
                return
            if self.sessions >= self.settings.limits.connections or self._choosing >= self._may_choose:
                self.note("client turned away", peer=stream.peer, why="too many connections")
                stream.close()
                continue
            self.sessions += 1
            self._choosing += 1
            guest = make(stream)
            task = self.scope.spawn(f"client {stream.peer}", guest.run)
            task.on_done.append(partial(self._left, guest))

    def _left(self, guest: FrontSession, _task: object) -> None:
        self.sessions -= 1
        self._choosing -= not guest.chosen
        if guest.counted:
            self.shares.disconnect(guest.volume)

    def register_volume(self, guest: FrontSession) -> bool:
        """A connection has chosen its volume; False: its cell has no room for it."""
        self._choosing -= 1
        guest.chosen = True
        # The other head's connections are few, and what they carry is bounded there.
        guest.counted = guest.origin is Origin.CLIENT and self.shares.try_connect(guest.volume)
        return guest.counted or guest.origin is not Origin.CLIENT

    def monitor_load(self) -> None:
        """Tell the shares how busy the loop is (a task)."""
        hub = self.hub
        while True:
            began, idle = hub.now(), hub.idle_us
            hub.sleep(TICK_US)
            now = hub.now()
            self.shares.update_load(now, max(0.0, 1 - (hub.idle_us - idle) / max(1, now - began)))
            self._let_in()

    # -- requests

    def try_admit(
        self, guest: AdmissionClient, request: ClientRequest, open_requests: int
    ) -> Rejection | None:
        """Return why a request is not taken; None: it is to be taken now.

        `open_requests` is how many its connection has open.
        """
        if self.closing:
            return CLOSING
        limits = self.settings.limits
        if request.origin is not Origin.CLIENT:  # the other head's work is bounded there
            return TOO_MUCH if open_requests >= limits.in_flight or self.core.at_capacity() else None
        size = len(request.data)
        why = "too much is open" if self.core.at_capacity() else ""
        if why := why or self.door.try_admit(self.hub.now(), guest, request.volume.settings.name, size):
            return Rejection(f"refused: not done; {why}")
        self._counted[request] = guest, size
        return None

    def admit_or_queue(self, guest: AdmissionClient, request: ClientRequest, open_requests: int,
               then: Callable[[Rejection | None], None]) -> QueuedRequest | None:  # fmt: skip
        """Say by `then` whether a request is taken: at once, or for a client that waits when there is room.

        Its connection is not read from until then. Returns what waits at the door, or None.
        """
        settings = request.volume.settings
        # Where there is another path (ANA) a host is told so at once, and goes there by itself.
        elsewhere = guest.multipath and self.regional is not None and settings.name in self.regional.volumes
        if (
            request.origin is Origin.CLIENT
            and waits_in_head(settings.waiting, guest.supports_hints)
            and not elsewhere
        ):
            request.patience_us = min(settings.patience_us, guest.max_patience_us or settings.patience_us)
        now, full = self.hub.now(), self.core.at_capacity()
        if not request.patience_us or self.closing:
            then(self.try_admit(guest, request, open_requests))
            return None
        knock = QueuedRequest(guest, settings.name, len(request.data), request, then)
        if self.door.admit_or_queue(now, knock, full):
            self._counted[request] = guest, knock.size
            then(None)
            return None
        # The last moment at which "not done" is still an honest answer.
        last = (request.arrived_at or now) + request.patience_us - ANSWER_TICKS * self.settings.tick_us
        knock.timer = self.hub.at(last, partial(self.reject_queued, knock, TOO_MUCH))
        self._knocks[knock] = None
        return knock

    def wait_for_admission(self, guest: FrontSession, request: ClientRequest, stream: Stream,
              open_requests: int) -> Rejection | None:  # fmt: skip
        """Bring a request through the door; meanwhile its connection is not read from.

        Returns None (it is to be taken now), or why it is not. Raises StreamClosed if its client leaves.
        """
        answers: list[Rejection | None] = []
        told = Waiters(self.hub)

        def then(away: Rejection | None) -> None:
            answers.append(away)
            told.notify()

        knock = self.admit_or_queue(guest, request, open_requests, then)
        if knock is not None:
            # Nobody reads here, and yet a client that leaves takes its requests along.
            stream.watch_end(lambda: self.reject_queued(knock, GONE))
            try:
                while not answers:
                    told.wait()
            except BaseException:
                self.reject_queued(knock, GONE)
                self.release(request)  # it may have been let in just now
                raise
            finally:
                stream.watch_end(None)
        if answers[0] is GONE:
            raise StreamClosed("the client left")
        return answers[0]

    def reject_queued(self, knock: QueuedRequest, why: Rejection) -> None:
        """A request that waits at the door is not taken any more."""
        if knock in self._knocks:
            self.door.discard(knock)
            self._answer_knock(knock, why)

    def _answer_knock(self, knock: QueuedRequest, away: Rejection | None) -> None:
        del self._knocks[knock]
        assert knock.timer is not None
        knock.timer.cancel()
        knock.then(away)

    def _let_in(self) -> None:
        if not self._knocks:
            return
        room = self.settings.limits.held - self.core.open_parts
        for entrant in self.door.admit_waiting(self.hub.now(), room):
            assert isinstance(entrant, QueuedRequest)
            self._counted[entrant.request] = entrant.connection, entrant.size
            self._answer_knock(entrant, None)

    def close(self) -> None:
        """Take no more, and keep nothing waiting that was not sent."""
        self.closing = True
        for knock in list(self._knocks):
            self.reject_queued(knock, CLOSING)
        self.core.stop_waiting(CLOSING.why)
        if self.visits is not None:
            self.visits.close(CLOSING.why)

    def submit(self, request: ClientRequest) -> None:
        """Hand a request to the core, or to the layer of volumes of two regions."""
        if self.regional is not None and request.volume.settings.name in self.regional.volumes:
            if self.visits is not None and request.patience_us:
                self.visits.submit(request)
            else:
                self.regional.submit(request)
        else:
            self.core.accept(self.hub.now(), request)

    def release(self, request: ClientRequest) -> None:
        """A request has its answer, or nobody waits for it any more: its room is free again."""
        counted = self._counted.pop(request, None)
        if counted is not None:
            guest, size = counted
            self.door.release(guest, request.volume.settings.name, size)
            if self._knocks:
                self.hub.at_end_of_round(self._let_in)

    def client_left(self, request: ClientRequest) -> None:
        """The request's client left."""
        self.release(request)
        if self.regional is not None and request.volume.settings.name in self.regional.volumes:
            if self.visits is not None and request.patience_us:
                self.visits.client_left(request)
            else:
                self.regional.client_left(request)
        else:
            self.core.client_left(request)
