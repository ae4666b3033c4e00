"""A model of a storage node's queue and service times, shared by nodes over sockets and emulated nodes.

`cores` requests run at once, each for `request_us` plus `unit_us` per unit, multiplied by a draw from the
service time distribution; longer when the node is slow or cold, shorter when the request's extent was
accessed recently. Other requests wait in one queue, and are refused as unseen when it is full. Requests
to one extent run in order of arrival. A part of a write's cost is deferred and done at once every
`flush_us`, while nothing else starts or ends. A node that starts cold has only a share of its capacity at
first. docs/emulator.md states each assumption.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from harriertrack.config.settings import NodeStandInSettings
from harriertrack.decisions.splitting import split_at_extents, units_of
from harriertrack.membership.leases import Fence
from harriertrack.protocol.nbd import extension
from harriertrack.protocol.nbd.server import Request
from harriertrack.protocol.nbd.wire import Command
from harriertrack.rules import recording as rec
from harriertrack.standin.service_times import ServiceTimes

KIND_NAMES = {
    Command.READ: "read",
    Command.WRITE: "write",
    Command.TRIM: "trim",
    Command.WRITE_ZEROES: "write-zeroes",
    Command.FLUSH: "flush",
    Command.CACHE: "cache",
}
MODIFYING_COMMANDS = (Command.WRITE, Command.TRIM, Command.WRITE_ZEROES)


class Timing(Protocol):
    """The clock and timers of a node."""

    def now(self) -> int:
        """Return the time in microseconds."""

    def at(self, when: int, act: Callable[[], None]) -> object:
        """Call `act` at a time in microseconds."""


class NodeConnection(Protocol):
    """The connection on which a request arrived."""

    @property
    def epoch(self) -> int:
        """Return the epoch of the lease under which its requests are sent; 0: none."""

    def reply(self, work: ReceivedRequest, result: str, data: bytes) -> None:
        """Send a reply; `result` is done, repeat (of a request that ran) or unseen (never started)."""

    def reset(self) -> None:
        """Reset the connection."""


class ShardStorage:
    """The state that the nodes of one shard share.

    It holds the stored bytes, and the keys of recent writes, which must not run again.
    """

    def __init__(self, extent_bytes: int) -> None:
        self.extent_bytes = extent_bytes
        self.fence = Fence()
        self._extents: dict[tuple[str, int], bytearray] = {}
        self._first_by_key: dict[tuple[int, int], ReceivedRequest] = {}
        self._key_expiry: deque[tuple[int, tuple[int, int]]] = deque()

    def read(self, volume: str, offset: int, length: int) -> bytes:
        """Return stored bytes, zero where nothing was written."""
        parts = []
        for extent, start, size in split_at_extents(offset, length, self.extent_bytes):
            stored, at = self._extents.get((volume, extent)), start % self.extent_bytes
            parts.append(bytes(size) if stored is None else bytes(stored[at : at + size]))
        return b"".join(parts)

    def write(self, volume: str, offset: int, data: bytes) -> None:
        """Store bytes."""
        written = 0
        for extent, start, size in split_at_extents(offset, len(data), self.extent_bytes):
            stored = self._extents.setdefault((volume, extent), bytearray(self.extent_bytes))
            at = start % self.extent_bytes
            stored[at : at + size] = data[written : written + size]
            written += size

    def register(
        self, now: int, window_us: int, key: tuple[int, int], work: ReceivedRequest
    ) -> ReceivedRequest:
        """Return the first request with this key inside the window; if there is none, store `work`."""
        while self._key_expiry and self._key_expiry[0][0] <= now:
            _, expired = self._key_expiry.popleft()
            self._first_by_key.pop(expired, None)
        first = self._first_by_key.setdefault(key, work)
        if first is work:
            self._key_expiry.append((now + window_us, key))
        return first

    def forget(self, key: tuple[int, int], work: ReceivedRequest) -> None:
        """Remove the key of a request that never ran, so that a repeat of it can run."""
        if self._first_by_key.get(key) is work:
            del self._first_by_key[key]


class UsageMeter:
    """Units served by all nodes for each volume in the last complete period, relative to its plan's rate."""

    def __init__(self, period_us: int, rates: dict[str, float]) -> None:
        self._period_us, self._rates = period_us, rates
        self._served: dict[tuple[str, int], float] = {}

    def add(self, now: int, volume: str, units: float) -> None:
        """Count units served."""
        key = (volume, now // self._period_us)
        self._served[key] = self._served.get(key, 0.0) + units

    def encoded_percent(self, now: int, volume: str) -> int:
        """Return 1 + the percentage of the rate, as reports encode it; 0 if the volume has no rate."""
        rate = self._rates.get(volume, 0.0)
        if not rate:
            return 0
        units = self._served.get((volume, now // self._period_us - 1), 0.0)
        return 1 + int(100 * units * 1e6 / self._period_us / rate)


@dataclass(slots=True, eq=False)
class ReceivedRequest:
    """A request as the node received it, and its state there."""

    connection: NodeConnection
    request: Request
    volume: str
    head: int
    key: int
    attempt: int
    arrived_at_us: int
    started: bool = False
    done: bool = False
    cancelled: bool = False
    duplicates: list[ReceivedRequest] = field(default_factory=list)  # answered when this one is done


@dataclass(slots=True)
class Faults:
    """The faults of a node now; a day's script sets these."""

    hang: bool = False  # accepts requests, but runs and answers none
    lose_replies: float = 0.0  # this share of requests runs, but is not answered
    reset_replies: float = 0.0  # this share runs, then the connection is reset instead of an answer
    late_us: int = 0  # additional delay of answers
    refuse: bool = False  # refuses all requests as unseen
    slow: float = 1.0  # factor on service times
    poison: frozenset[str] = frozenset()  # requests to these volumes reset their connection
    fatal: bool = False  # `poison` also kills the node: sets `fatal_request_received`
    cut_off: frozenset[int] = frozenset()  # ids of heads that exchange no traffic with the node


class NodeModel:
    """A storage node without its connections."""

    def __init__(
        self,
        timing: Timing,
        settings: NodeStandInSettings,
        storage: ShardStorage,
        recorder: rec.Recorder | None = None,
        meter: UsageMeter | None = None,
        seed: int = 0,
    ) -> None:
        self.timing, self.settings, self.storage = timing, settings, storage
        self.recorder, self.meter = recorder, meter
        self.faults = Faults()
        self.started_at_us = 0
        self.collapsed = False
        self.fatal_request_received = False  # the owner of the node then stops it
        self.random = random.Random(seed)
        self._service = ServiceTimes(settings.service, settings.service_cv, seed)
        self._queue: deque[ReceivedRequest] = deque()
        self._running: dict[ReceivedRequest, None] = {}
        self._recent_extents: deque[tuple[str, int]] = deque(maxlen=max(1, settings.remembers))
        self._arrivals: deque[tuple[int, float]] = deque()
        self._arrived_units = 0.0
        self._deferred_us = 0.0
        self._served: dict[str, float] = {}  # units served, by volume
        self._served_to: dict[tuple[int, str], float] = {}  # units served, by head and volume
        self._reported_others: dict[
            tuple[int, str], float
        ] = {}  # units served to other heads, as last reported to each
        self._paused_until = 0
        self._incarnation = 0

    # -- start and stop

    def boot(self, cold: bool) -> None:
        """Start with an empty queue."""
        self._incarnation += 1
        self.collapsed = self.fatal_request_received = False
        self.started_at_us = self.timing.now() if cold else 0
        self._arrivals.clear()
        self._arrived_units = 0.0
        settings = self.settings
        self._record_state("started", 1.0 if not cold else settings.cold_share)
        if settings.deferred:
            self._schedule_flush(self._incarnation)

    def shut_down(self) -> None:
        """Stop: waiting and running requests are lost, and the shard does not treat them as done."""
        self._incarnation += 1
        for work in [*self._queue, *self._running]:
            work.started = False  # it was interrupted, so a repeat has to run
            self._forget(work)
        self._queue.clear()
        self._running.clear()
        self._record_state("stopped")

    def pause(self, us: int) -> None:
        """Pause for some time: no request starts or ends."""
        self._paused_until = max(self._paused_until, self.timing.now() + us)
        self._start_waiting_at(self._paused_until)

    def resume(self) -> None:
        """Start waiting requests, after a fault that blocked them has ended."""
        self._start_waiting()

    @property
    def queue_length(self) -> int:
        """Return the number of waiting requests."""
        return len(self._queue)

    def expected_wait_us(self) -> float:
        """Return how many microseconds a request that arrived now would wait, given the queue."""
        cost = self.settings.request_us + self.settings.unit_us
        ahead = len(self._queue) + max(0, len(self._running) - self.settings.cores + 1)
        pause_us = max(0, self._paused_until - self.timing.now())
        return pause_us + ahead * cost * self.faults.slow / self.capacity() / self.settings.cores

    def _record_state(self, state: str, cold_share: float = 1.0) -> None:
        settings = self.settings
        self.record(
            rec.NodeLifecycle(
                t=self.timing.now(),
                node=settings.name,
                state=state,
                rate=1e6 * self._unit_rate(),
                cold_share=cold_share,
                warm_us=settings.warm_us,
            )
        )

    def record(self, record: rec.Record) -> None:
        """Add a record to the recording, if there is one."""
        if self.recorder is not None:
            self.recorder.add(record)

    def connection_closed(self, connection: NodeConnection) -> None:
        """Drop the waiting requests of a closed connection; running ones continue."""
        for work in [work for work in self._queue if work.connection is connection]:
            self._queue.remove(work)
            self._forget(work)

    def receive(
        self, connection: NodeConnection, request: Request, volume: str, head: int, extended: bool
    ) -> None:
        """Record and admit a request that arrived on a connection."""
        key, attempt = extension.split_cookie(request.cookie) if extended else (0, 0)
        work = ReceivedRequest(connection, request, volume, head, key, attempt, self.timing.now())
        self.record(
            rec.AttemptReceived(
                t=work.arrived_at_us,
                node=self.settings.name,
                shard=self.settings.shard,
                head=head,
                key=key,
                attempt=attempt,
                volume=volume,
                kind=KIND_NAMES[request.command],
                offset=request.offset,
                length=request.length,
            )
        )
        self.admit_request(work)

    def record_reply(self, work: ReceivedRequest, result: str) -> extension.Report | None:
        """Record a reply that is sent now; return the report to send with it."""
        self.record(
            rec.AttemptAnswered(
                t=self.timing.now(),
                node=self.settings.name,
                head=work.head,
                key=work.key,
                attempt=work.attempt,
                result=result,
            )
        )
        return self.make_report(work)

    # -- requests

    def capacity(self) -> float:
        """Return the current share of full capacity; below 1 while it warms up."""
        settings = self.settings
        if not self.started_at_us or not settings.warm_us:
            return 1.0
        warm = min(1.0, (self.timing.now() - self.started_at_us) / settings.warm_us)
        return settings.cold_share + (1 - settings.cold_share) * warm

    def admit_request(self, work: ReceivedRequest) -> None:
        """Queue a request, or answer it at once: repeats, refusals and faults."""
        request, now = work.request, self.timing.now()
        units = units_of(request.length, self.settings.unit_bytes)
        self._check_cold_load(now, units)
        if self.collapsed or self.faults.hang:
            return
        if work.volume in self.faults.poison:
            self.fatal_request_received = self.fatal_request_received or self.faults.fatal
            work.connection.reset()
            return
        changing = request.command in MODIFYING_COMMANDS
        if work.key and changing:
            first = self.storage.register(now, self.settings.window_us, (work.head, work.key), work)
            if first is not work:
                if first.done:
                    self._answer(work, "repeat")
                else:
                    first.duplicates.append(work)
                return
        if self.faults.refuse or self._is_fenced(work) or len(self._queue) >= self.settings.queue:
            self._forget(work)
            self._answer(work, "unseen")
            return
        self._queue.append(work)
        self._start_waiting()

    def _unit_rate(self) -> float:
        """Return the warm capacity in units per microsecond, for requests of one unit."""
        return self.settings.cores / max(1, self.settings.unit_us + self.settings.request_us)

    def _check_cold_load(self, now: int, units: float) -> None:
        """Make a cold node collapse under too much load.

        It collapses if more than a multiple of its current capacity arrives within `fall_us`.
        """
        settings = self.settings
        if not self.started_at_us or now - self.started_at_us >= settings.warm_us:
            return
        self._arrivals.append((now, units))
        self._arrived_units += units
        while self._arrivals[0][0] <= now - settings.fall_us:
            self._arrived_units -= self._arrivals.popleft()[1]
        bearable_units = settings.fall_multiple * self.capacity() * self._unit_rate() * settings.fall_us
        if self._arrived_units > max(bearable_units * 1.2, settings.cold_units) and not self.collapsed:
            self.collapsed = True
            self._record_state("fell")
            self._queue.clear()

    def _forget(self, work: ReceivedRequest) -> None:
        if work.key and not work.started:
            self.storage.forget((work.head, work.key), work)

    def _start_waiting_at(self, when: int) -> None:
        incarnation = self._incarnation
        self.timing.at(when, lambda: self._start_waiting() if incarnation == self._incarnation else None)

    def _start_waiting(self) -> None:
        """Start waiting requests while cores are free."""
        if self.timing.now() < self._paused_until or self.faults.hang:
            return
        busy = {(work.volume, self._extent_of(work)) for work in self._running}
        while self._queue and len(self._running) < self.settings.cores:
            # Requests to one extent keep their order: each waits for the previous ones on its extent.
            for work in self._queue:
                extent_key = (work.volume, self._extent_of(work))
                if extent_key not in busy:
                    break
                busy.add(extent_key)
            else:
                return
            self._queue.remove(work)
            if self._is_fenced(work):  # a request under a newer lease arrived while it waited
                self._forget(work)
                self._answer(work, "unseen")
                continue
            busy.add(extent_key)
            self._start(work)

    def _is_fenced(self, work: ReceivedRequest) -> bool:
        return not self.storage.fence.admits(work.volume, work.connection.epoch)

    def _extent_of(self, work: ReceivedRequest) -> int:
        return work.request.offset // self.settings.extent_bytes

    def _start(self, work: ReceivedRequest) -> None:
        settings, request = self.settings, work.request
        work.started = True
        self._running[work] = None
        extent_key = (work.volume, self._extent_of(work))
        cost = settings.request_us + settings.unit_us * units_of(request.length, settings.unit_bytes)
        cost *= self._service.draw()
        if extent_key in self._recent_extents and not work.attempt:
            cost *= 1 - settings.discount
        self._recent_extents.append(extent_key)
        if request.command in MODIFYING_COMMANDS:
            self._deferred_us += cost * settings.deferred
            cost *= 1 - settings.deferred
        self._finish_at(work, self.timing.now() + max(1, int(cost * self.faults.slow / self.capacity())))

    def _finish_at(self, work: ReceivedRequest, when: int) -> None:
        incarnation = self._incarnation

        def finish() -> None:
            if incarnation != self._incarnation:
                return
            if self.timing.now() < self._paused_until:  # it was paused, so running requests end later
                self._finish_at(work, self._paused_until)
            elif not self.faults.hang:
                self._finish(work)
            else:
                self._finish_at(work, self.timing.now() + 10_000)

        self.timing.at(when, finish)

    def _finish(self, work: ReceivedRequest) -> None:
        del self._running[work]
        request, now = work.request, self.timing.now()
        data = b""
        match request.command:
            case Command.READ:
                data = self.storage.read(work.volume, request.offset, request.length)
            case Command.WRITE:
                self.storage.write(work.volume, request.offset, request.data)
            case Command.TRIM | Command.WRITE_ZEROES:
                self.storage.write(work.volume, request.offset, bytes(request.length))
        work.done = True
        settings = self.settings
        self.record(
            rec.AttemptExecuted(t=now, node=settings.name, head=work.head, key=work.key, attempt=work.attempt)
        )
        if self.meter is not None:
            units = units_of(request.length, settings.unit_bytes)
            self.meter.add(now, work.volume, units)
            self._served[work.volume] = self._served.get(work.volume, 0.0) + units
            head_volume = (work.head, work.volume)
            self._served_to[head_volume] = self._served_to.get(head_volume, 0.0) + units
        self._answer(work, "done", data)
        for duplicate in work.duplicates:
            self._answer(duplicate, "repeat")
        self._start_waiting()

    def make_report(self, work: ReceivedRequest) -> extension.Report | None:
        """Return the report for a reply: the meter, the queue, and units newly served to other heads."""
        if self.meter is None or not work.head:
            return None
        served, head_volume = self._served.get(work.volume, 0.0), (work.head, work.volume)
        served_to_others = served - self._served_to.get(head_volume, 0.0)
        newly_served = served_to_others - self._reported_others.get(head_volume, 0.0)
        self._reported_others[head_volume] = served_to_others
        percent = self.meter.encoded_percent(self.timing.now(), work.volume)
        return extension.Report(percent, newly_served, (float(len(self._queue)),))

    def _schedule_flush(self, incarnation: int) -> None:
        def flush() -> None:
            if incarnation == self._incarnation:
                if self._deferred_us and not self.faults.hang:
                    self.pause(int(self._deferred_us / self.settings.cores / self.capacity()))
                    self._deferred_us = 0.0
                self._schedule_flush(incarnation)

        self.timing.at(self.timing.now() + self.settings.flush_us, flush)

    def cancel(self, connection: NodeConnection, cookie: int) -> None:
        """Drop a waiting request that its client cancelled; a running one continues."""
        for work in self._queue:
            if work.connection is connection and work.request.cookie == cookie:
                self._queue.remove(work)
                self._forget(work)
                self._answer(work, "unseen")
                return

    def _answer(self, work: ReceivedRequest, result: str, data: bytes = b"") -> None:
        faults = self.faults
        if result != "unseen":
            if faults.reset_replies and self.random.random() < faults.reset_replies:
                work.connection.reset()
                return
            if faults.lose_replies and self.random.random() < faults.lose_replies:
                return
        if faults.late_us:
            self.timing.at(
                self.timing.now() + faults.late_us, lambda: work.connection.reply(work, result, data)
            )
        else:
            work.connection.reply(work, result, data)
