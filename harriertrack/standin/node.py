"""What a storage node does with its time: a model that nodes over sockets and emulated ones have in common.

Time: `cores` requests run at once, each for `request_us` and `unit_us` for each unit, times a draw of the
service distribution, more when slow or cold, less when its extent is among the last few taken. The others
wait in one queue, and are turned away unseen when it is full. Changes of one extent run in the order they
came. A part of a write's work is put off and done in one go every `flush_us`, when nothing else runs. A node
that starts cold does only a share of its work at first. docs/emulator.md states each assumption.
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
    """The clock and timers that a node lives by."""

    def now(self) -> int:
        """Return the time in microseconds."""

    def at(self, when: int, act: Callable[[], None]) -> object:
        """Call `act` at a time."""


class NodeConnection(Protocol):
    """A connection that requests came over."""

    @property
    def epoch(self) -> int:
        """Return the epoch of the lease that its requests come under; 0: none."""

    def reply(self, work: ReceivedRequest, result: str, data: bytes) -> None:
        """Carry an answer back: done, repeat or unseen."""

    def reset(self) -> None:
        """Break the connection with a reset."""


class ShardStorage:
    """What nodes of one shard have in common.

    The stored bytes, and the memory of writes that must not repeat.
    """

    def __init__(self, extent_bytes: int) -> None:
        self.extent_bytes = extent_bytes
        self.fence = Fence()
        self._extents: dict[tuple[str, int], bytearray] = {}
        self._seen: dict[tuple[int, int], ReceivedRequest] = {}
        self._order: deque[tuple[int, tuple[int, int]]] = deque()

    def read(self, volume: str, offset: int, length: int) -> bytes:
        """Return stored bytes; what was never written is zero."""
        parts = []
        for extent, start, size in split_at_extents(offset, length, self.extent_bytes):
            stored, at = self._extents.get((volume, extent)), start % self.extent_bytes
            parts.append(bytes(size) if stored is None else bytes(stored[at : at + size]))
        return b"".join(parts)

    def write(self, volume: str, offset: int, data: bytes) -> None:
        """Store bytes."""
        done = 0
        for extent, start, size in split_at_extents(offset, len(data), self.extent_bytes):
            stored = self._extents.setdefault((volume, extent), bytearray(self.extent_bytes))
            at = start % self.extent_bytes
            stored[at : at + size] = data[done : done + size]
            done += size

    def register(
        self, now: int, window_us: int, key: tuple[int, int], work: ReceivedRequest
    ) -> ReceivedRequest:
        """Return the first work with this key inside the window: `work` itself if there was none."""
        while self._order and self._order[0][0] <= now:
            _, old = self._order.popleft()
            self._seen.pop(old, None)
        found = self._seen.setdefault(key, work)
        if found is work:
            self._order.append((now + window_us, key))
        return found

    def forget(self, key: tuple[int, int], work: ReceivedRequest) -> None:
        """Work that never ran is no reason to drop a repeat."""
        if self._seen.get(key) is work:
            del self._seen[key]


class UsageMeter:
    """What all nodes served of each volume in the last finished period, in percent of its plan's rate."""

    def __init__(self, period_us: int, rates: dict[str, float]) -> None:
        self._period, self._rates = period_us, rates
        self._served: dict[tuple[str, int], float] = {}

    def add(self, now: int, volume: str, units: float) -> None:
        """Count units served."""
        key = (volume, now // self._period)
        self._served[key] = self._served.get(key, 0.0) + units

    def encoded_percent(self, now: int, volume: str) -> int:
        """Return 1 + the percentage; 0 if the volume has no rate."""
        rate = self._rates.get(volume, 0.0)
        if not rate:
            return 0
        units = self._served.get((volume, now // self._period - 1), 0.0)
        return 1 + int(100 * units * 1e6 / self._period / rate)


@dataclass(slots=True, eq=False)
class ReceivedRequest:
    """One request at the node."""

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
    duplicates: list[ReceivedRequest] = field(default_factory=list)


@dataclass(slots=True)
class Faults:
    """What is wrong with a node now; a day's script sets these."""

    hang: bool = False  # takes requests, does nothing, answers nothing
    lose_replies: float = 0.0  # does the work, but this share of answers never leaves
    reset_replies: float = 0.0  # does the work and breaks the connection instead of answering
    late_us: int = 0  # answers are sent so much later
    refuse: bool = False  # turns everything away unseen
    slow: float = 1.0  # work takes so many times as long
    poison: frozenset[str] = frozenset()  # a request of these volumes breaks its connection ...
    fatal: bool = False  # ... or kills the node: `struck_down` tells
    cut_off: frozenset[int] = frozenset()  # numbers of heads between whom and the node nothing passes


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
        self.fatal_request_received = False  # a fatal request came: whoever runs the node stops it
        self.random = random.Random(seed)
        self._service = ServiceTimes(settings.service, settings.service_cv, seed)
        self._queue: deque[ReceivedRequest] = deque()
        self._running: dict[ReceivedRequest, None] = {}
        self._recent: deque[tuple[str, int]] = deque(maxlen=max(1, settings.remembers))
        self._arrivals: deque[tuple[int, float]] = deque()
        self._arrived_units = 0.0
        self._put_off = 0.0
        self._served: dict[str, float] = {}  # units, by volume
        self._served_to: dict[tuple[int, str], float] = {}  # ... by head and volume
        self._told_others: dict[tuple[int, str], float] = {}  # what each head was told of the others
        self._stands_until = 0
        self._life = 0

    # -- life

    def boot(self, cold: bool) -> None:
        """Come up with nothing waiting, cold if asked."""
        self._life += 1
        self.collapsed = self.fatal_request_received = False
        self.started_at_us = self.timing.now() if cold else 0
        self._arrivals.clear()
        self._arrived_units = 0.0
        settings = self.settings
        self._record_state("started", 1.0 if not cold else settings.cold_share)
        if settings.deferred:
            self._schedule_flush(self._life)

    def shut_down(self) -> None:
        """Go down: waiting and running work is lost, and no rack remembers it as done."""
        self._life += 1
        for work in [*self._queue, *self._running]:
            work.started = False  # what ran was cut off: a repeat runs anew
            self._forget(work)
        self._queue.clear()
        self._running.clear()
        self._record_state("stopped")

    def pause(self, us: int) -> None:
        """Stand still for so long: nothing starts or ends."""
        self._stands_until = max(self._stands_until, self.timing.now() + us)
        self._pump_later(self._stands_until)

    def resume(self) -> None:
        """Go on with what waits, after a fault that held it has passed."""
        self._pump()

    @property
    def queue_length(self) -> int:
        """How many requests wait."""
        return len(self._queue)

    def expected_wait_us(self) -> float:
        """Return how many microseconds a request that came now would wait, by the work it finds here."""
        cost = self.settings.request_us + self.settings.unit_us
        ahead = len(self._queue) + max(0, len(self._running) - self.settings.cores + 1)
        still = max(0, self._stands_until - self.timing.now())
        return still + ahead * cost * self.faults.slow / self.capacity() / self.settings.cores

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
        """Add to the recording, if there is one."""
        if self.recorder is not None:
            self.recorder.add(record)

    def connection_closed(self, session: NodeConnection) -> None:
        """A connection ended: what waits of it is dropped unseen, what runs goes on."""
        for work in [work for work in self._queue if work.connection is session]:
            self._queue.remove(work)
            self._forget(work)

    def receive(
        self, session: NodeConnection, request: Request, volume: str, head: int, extended: bool
    ) -> None:
        """Take a request as it comes off a connection."""
        key, attempt = extension.split_cookie(request.cookie) if extended else (0, 0)
        work = ReceivedRequest(session, request, volume, head, key, attempt, self.timing.now())
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
        """Record an answer that leaves now; return what is told beside it."""
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

    # -- work

    def capacity(self) -> float:
        """Return the share of its power that it has now."""
        settings = self.settings
        if not self.started_at_us or not settings.warm_us:
            return 1.0
        warm = min(1.0, (self.timing.now() - self.started_at_us) / settings.warm_us)
        return settings.cold_share + (1 - settings.cold_share) * warm

    def admit_request(self, work: ReceivedRequest) -> None:
        """Take a request."""
        request, now = work.request, self.timing.now()
        units = units_of(request.length, self.settings.unit_bytes)
        self._weigh(now, units)
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
        if self.faults.refuse or self._fenced(work) or len(self._queue) >= self.settings.queue:
            self._forget(work)
            self._answer(work, "unseen")
            return
        self._queue.append(work)
        self._pump()

    def _unit_rate(self) -> float:
        """Return how many units a microsecond it does when warm, in requests of one unit."""
        return self.settings.cores / max(1, self.settings.unit_us + self.settings.request_us)

    def _weigh(self, now: int, units: float) -> None:
        """Fall over if a cold node was sent too much.

        For `fall_us` more than a multiple of what it can do.
        """
        settings = self.settings
        if not self.started_at_us or now - self.started_at_us >= settings.warm_us:
            return
        self._arrivals.append((now, units))
        self._arrived_units += units
        while self._arrivals[0][0] <= now - settings.fall_us:
            self._arrived_units -= self._arrivals.popleft()[1]
        bears = settings.fall_multiple * self.capacity() * self._unit_rate() * settings.fall_us
        if self._arrived_units > max(bears * 1.2, settings.cold_units) and not self.collapsed:
            self.collapsed = True
            self._record_state("fell")
            self._queue.clear()

    def _forget(self, work: ReceivedRequest) -> None:
        if work.key and not work.started:
            self.storage.forget((work.head, work.key), work)

    def _pump_later(self, when: int) -> None:
        life = self._life
        self.timing.at(when, lambda: self._pump() if life == self._life else None)

    def _pump(self) -> None:
        """Start what may start."""
        if self.timing.now() < self._stands_until or self.faults.hang:
            return
        busy = {(work.volume, self._extent(work)) for work in self._running}
        while self._queue and len(self._running) < self.settings.cores:
            # Changes of one extent keep their order: a request waits for those before it on its extent.
            for work in self._queue:
                place = (work.volume, self._extent(work))
                if place not in busy:
                    break
                busy.add(place)
            else:
                return
            self._queue.remove(work)
            if self._fenced(work):  # a newer holder came while it waited
                self._forget(work)
                self._answer(work, "unseen")
                continue
            busy.add(place)
            self._start(work)

    def _fenced(self, work: ReceivedRequest) -> bool:
        return not self.storage.fence.admits(work.volume, work.connection.epoch)

    def _extent(self, work: ReceivedRequest) -> int:
        return work.request.offset // self.settings.extent_bytes

    def _start(self, work: ReceivedRequest) -> None:
        settings, request = self.settings, work.request
        work.started = True
        self._running[work] = None
        place = (work.volume, self._extent(work))
        cost = settings.request_us + settings.unit_us * units_of(request.length, settings.unit_bytes)
        cost *= self._service.draw()
        if place in self._recent and not work.attempt:
            cost *= 1 - settings.discount
        self._recent.append(place)
        if request.command in MODIFYING_COMMANDS:
            self._put_off += cost * settings.deferred
            cost *= 1 - settings.deferred
        self._finish_at(work, self.timing.now() + max(1, int(cost * self.faults.slow / self.capacity())))

    def _finish_at(self, work: ReceivedRequest, when: int) -> None:
        life = self._life

        def finish() -> None:
            if life != self._life:
                return
            if self.timing.now() < self._stands_until:  # it stood still: what runs ends later
                self._finish_at(work, self._stands_until)
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
            mine = (work.head, work.volume)
            self._served_to[mine] = self._served_to.get(mine, 0.0) + units
        self._answer(work, "done", data)
        for repeat in work.duplicates:
            self._answer(repeat, "repeat")
        self._pump()

    def make_report(self, work: ReceivedRequest) -> extension.Report | None:
        """Return what an answer tells beside itself: the meter, service through other heads, the queue."""
        if self.meter is None or not work.head:
            return None
        served, mine = self._served.get(work.volume, 0.0), (work.head, work.volume)
        others = served - self._served_to.get(mine, 0.0)
        elsewhere, self._told_others[mine] = others - self._told_others.get(mine, 0.0), others
        percent = self.meter.encoded_percent(self.timing.now(), work.volume)
        return extension.Report(percent, elsewhere, (float(len(self._queue)),))

    def _schedule_flush(self, life: int) -> None:
        def flush() -> None:
            if life == self._life:
                if self._put_off and not self.faults.hang:
                    self.pause(int(self._put_off / self.settings.cores / self.capacity()))
                    self._put_off = 0.0
                self._schedule_flush(life)

        self.timing.at(self.timing.now() + self.settings.flush_us, flush)

    def cancel(self, session: NodeConnection, cookie: int) -> None:
        """Drop waiting work that nobody waits for; running work goes on."""
        for work in self._queue:
            if work.connection is session and work.request.cookie == cookie:
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
