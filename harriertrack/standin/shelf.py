"""A storage node stand-in ("shelf"): an NBD server with real stored bytes, a model of its time, and faults on
demand.

Time: `cores` requests run at once, each for `request_us` and `unit_us` for each unit, more when slow or cold,
less when its extent is among the last few taken. The others wait in one queue, and are turned away unseen
when it is full. Changes of one extent run in the order they came. A part of a write's work is put off and
done in one go every `flush_us`, when nothing else runs. A node that starts cold does only a share of its work
at first.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from harriertrack.config.settings import ShelfSettings
from harriertrack.decisions.splitting import cut, units_of
from harriertrack.membership.leases import Fence
from harriertrack.protocol.nbd import extension
from harriertrack.protocol.nbd.server import (
    Aborted,
    Disconnect,
    ExportInfo,
    Opened,
    Request,
    ServerConnection,
    ServerState,
)
from harriertrack.protocol.nbd.wire import Command, CommandFlags, Errno, ProtocolViolation, TransmissionFlags
from harriertrack.rules import recording as rec
from harriertrack.runtime.hub import Hub, Scope, Task
from harriertrack.runtime.streams import Listener, Network, Stream, StreamClosed

KIND_NAMES = {
    Command.READ: "read",
    Command.WRITE: "write",
    Command.TRIM: "trim",
    Command.WRITE_ZEROES: "write-zeroes",
    Command.FLUSH: "flush",
    Command.CACHE: "cache",
}
CHANGING = (Command.WRITE, Command.TRIM, Command.WRITE_ZEROES)
OFFERED = (
    TransmissionFlags.SEND_FLUSH
    | TransmissionFlags.SEND_FUA
    | TransmissionFlags.SEND_TRIM
    | TransmissionFlags.SEND_WRITE_ZEROES
    | TransmissionFlags.SEND_DF
    | TransmissionFlags.SEND_CACHE
)


class Rack:
    """What nodes of one shard have in common.

    The stored bytes, and the memory of writes that must not repeat.
    """

    def __init__(self, extent_bytes: int) -> None:
        self.extent_bytes = extent_bytes
        self.fence = Fence()
        self._extents: dict[tuple[str, int], bytearray] = {}
        self._seen: dict[tuple[int, int], Work] = {}
        self._order: deque[tuple[int, tuple[int, int]]] = deque()

    def read(self, volume: str, offset: int, length: int) -> bytes:
        """Return stored bytes; what was never written is zero."""
        parts = []
        for extent, start, size in cut(offset, length, self.extent_bytes):
            stored, at = self._extents.get((volume, extent)), start % self.extent_bytes
            parts.append(bytes(size) if stored is None else bytes(stored[at : at + size]))
        return b"".join(parts)

    def write(self, volume: str, offset: int, data: bytes) -> None:
        """Store bytes."""
        done = 0
        for extent, start, size in cut(offset, len(data), self.extent_bytes):
            stored = self._extents.setdefault((volume, extent), bytearray(self.extent_bytes))
            at = start % self.extent_bytes
            stored[at : at + size] = data[done : done + size]
            done += size

    def first(self, now: int, window_us: int, key: tuple[int, int], work: Work) -> Work:
        """Return the first work with this key inside the window: `work` itself if there was none."""
        while self._order and self._order[0][0] <= now:
            _, old = self._order.popleft()
            self._seen.pop(old, None)
        found = self._seen.setdefault(key, work)
        if found is work:
            self._order.append((now + window_us, key))
        return found

    def forget(self, key: tuple[int, int], work: Work) -> None:
        """Work that never ran is no reason to drop a repeat."""
        if self._seen.get(key) is work:
            del self._seen[key]


class Meter:
    """What all nodes served of each volume in the last finished period, in percent of its plan's rate."""

    def __init__(self, period_us: int, rates: dict[str, float]) -> None:
        self._period, self._rates = period_us, rates
        self._served: dict[tuple[str, int], float] = {}

    def add(self, now: int, volume: str, units: float) -> None:
        """Count units served."""
        key = (volume, now // self._period)
        self._served[key] = self._served.get(key, 0.0) + units

    def percent(self, now: int, volume: str) -> int:
        """Return 1 + the percentage; 0 if the volume has no rate."""
        rate = self._rates.get(volume, 0.0)
        if not rate:
            return 0
        units = self._served.get((volume, now // self._period - 1), 0.0)
        return 1 + int(100 * units * 1e6 / self._period / rate)


@dataclass(slots=True, eq=False)
class Work:
    """One request at the node."""

    session: Session
    request: Request
    volume: str
    head: int
    key: int
    attempt: int
    arrived: int
    started: bool = False
    done: bool = False
    cancelled: bool = False
    repeats: list[Work] = field(default_factory=list)


@dataclass(slots=True)
class Faults:
    """What is wrong with a node now; a day's script sets these."""

    hang: bool = False  # takes requests, does nothing, answers nothing
    lose_replies: float = 0.0  # does the work, but this share of answers never leaves
    reset_replies: float = 0.0  # does the work and breaks the connection instead of answering
    late_us: int = 0  # answers are sent so much later
    refuse: bool = False  # turns everything away unseen
    slow: float = 1.0  # work takes so many times as long
    cut_off: frozenset[int] = frozenset()  # numbers of heads between whom and the node nothing passes


class Shelf:
    """One storage node."""

    def __init__(
        self,
        hub: Hub,
        network: Network,
        settings: ShelfSettings,
        rack: Rack,
        recorder: rec.Recorder | None = None,
        meter: Meter | None = None,
        seed: int = 0,
    ) -> None:
        self.hub, self.settings, self.rack = hub, settings, rack
        self.recorder, self.meter = recorder, meter
        self.faults = Faults()
        self.started_at = 0
        self.address = settings.listen
        self.fallen = False
        self.random = random.Random(seed)
        self.exports = _Exports(settings)
        self._network = network
        self._listener: Listener | None = None
        self._sessions: dict[Session, Task] = {}
        self._queue: deque[Work] = deque()
        self._running: dict[Work, None] = {}
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

    def start(self, scope: Scope, cold: bool = False) -> None:
        """Come up and listen, cold if asked; raises OSError if the address is taken."""
        self._life += 1
        for session, task in list(self._sessions.items()):
            self._break(session, task)  # a machine that comes back resets connections from before
        self._listener = self._network.listen(self.address)
        self.address = self._listener.address
        self.fallen = False
        self.started_at = self.hub.now() if cold else 0
        self._arrivals.clear()
        self._arrived_units = 0.0
        settings = self.settings
        self._record_state("started", 1.0 if not cold else settings.cold_share)
        scope.spawn(f"{settings.name} accepts", self._accept, self._listener, scope)
        if settings.deferred:
            self._schedule_flush(self._life)

    def stop(self, silent: bool = False) -> None:
        """Go down: connections break, or with `silent` just say nothing any more. Waiting work is lost."""
        self._life += 1
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for work in [*self._queue, *self._running]:
            self._forget(work)
        self._queue.clear()
        self._running.clear()
        for session, task in list(self._sessions.items()):
            if silent:
                session.deaf = True
            else:
                self._break(session, task)
        self._record_state("stopped")

    def _break(self, session: Session, task: Task) -> None:
        self._sessions.pop(session, None)
        session.stream.abort()
        task.cancel()

    @property
    def up(self) -> bool:
        """Whether it listens."""
        return self._listener is not None

    def pause(self, us: int) -> None:
        """Stand still for so long: nothing starts or ends."""
        self._stands_until = max(self._stands_until, self.hub.now() + us)
        self._pump_later(self._stands_until)

    def wake(self) -> None:
        """Go on with what waits, after a fault that held it has passed."""
        self._pump()

    def _record_state(self, state: str, cold_share: float = 1.0) -> None:
        settings = self.settings
        rate = 1e6 * self._unit_rate()
        self.record(
            rec.Node(
                t=self.hub.now(),
                node=settings.name,
                state=state,
                rate=rate,
                cold_share=cold_share,
                warm_us=settings.warm_us,
            )
        )

    def record(self, record: rec.Record) -> None:
        """Add to the recording, if there is one."""
        if self.recorder is not None:
            self.recorder.add(record)

    def _accept(self, listener: Listener, scope: Scope) -> None:
        while True:
            try:
                stream = listener.accept()
            except StreamClosed:
                return
            session = Session(self, stream)
            self._sessions[session] = scope.spawn(f"{self.settings.name} serves", session.run)

    def left(self, session: Session) -> None:
        """A connection ended: what waits of it is dropped unseen, what runs goes on."""
        self._sessions.pop(session, None)
        for work in [work for work in self._queue if work.session is session]:
            self._queue.remove(work)
            self._forget(work)

    # -- work

    def capacity(self) -> float:
        """Return the share of its power that it has now."""
        settings = self.settings
        if not self.started_at or not settings.warm_us:
            return 1.0
        warm = min(1.0, (self.hub.now() - self.started_at) / settings.warm_us)
        return settings.cold_share + (1 - settings.cold_share) * warm

    def arrive(self, work: Work) -> None:
        """Take a request."""
        request, now = work.request, self.hub.now()
        units = units_of(request.length, self.settings.unit_bytes)
        self._weigh(now, units)
        if self.fallen or self.faults.hang:
            return
        changing = request.command in CHANGING
        if work.key and changing:
            first = self.rack.first(now, self.settings.window_us, (work.head, work.key), work)
            if first is not work:
                if first.done:
                    self._answer(work, "repeat")
                else:
                    first.repeats.append(work)
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
        if not self.started_at or now - self.started_at >= settings.warm_us:
            return
        self._arrivals.append((now, units))
        self._arrived_units += units
        while self._arrivals[0][0] <= now - settings.fall_us:
            self._arrived_units -= self._arrivals.popleft()[1]
        bears = settings.fall_multiple * self.capacity() * self._unit_rate() * settings.fall_us
        if self._arrived_units > max(bears * 1.2, settings.cold_units) and not self.fallen:
            self.fallen = True
            self._record_state("fell")
            self._queue.clear()

    def _forget(self, work: Work) -> None:
        if work.key and not work.started:
            self.rack.forget((work.head, work.key), work)

    def _pump_later(self, when: int) -> None:
        life = self._life
        self.hub.at(when, lambda: self._pump() if life == self._life else None)

    def _pump(self) -> None:
        """Start what may start."""
        if self.hub.now() < self._stands_until or self.faults.hang:
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

    def _fenced(self, work: Work) -> bool:
        return not self.rack.fence.admits(work.volume, work.session.epoch)

    def _extent(self, work: Work) -> int:
        return work.request.offset // self.settings.extent_bytes

    def _start(self, work: Work) -> None:
        settings, request = self.settings, work.request
        work.started = True
        self._running[work] = None
        place = (work.volume, self._extent(work))
        cost = settings.request_us + settings.unit_us * units_of(request.length, settings.unit_bytes)
        if place in self._recent and not work.attempt:
            cost *= 1 - settings.discount
        self._recent.append(place)
        if request.command in CHANGING:
            self._put_off += cost * settings.deferred
            cost *= 1 - settings.deferred
        self._finish_at(work, self.hub.now() + max(1, int(cost * self.faults.slow / self.capacity())))

    def _finish_at(self, work: Work, when: int) -> None:
        life = self._life

        def finish() -> None:
            if life != self._life:
                return
            if self.hub.now() < self._stands_until:  # it stood still: what runs ends later
                self._finish_at(work, self._stands_until)
            elif not self.faults.hang:
                self._finish(work)
            else:
                self._finish_at(work, self.hub.now() + 10_000)

        self.hub.at(when, finish)

    def _finish(self, work: Work) -> None:
        del self._running[work]
        request, now = work.request, self.hub.now()
        data = b""
        match request.command:
            case Command.READ:
                data = self.rack.read(work.volume, request.offset, request.length)
            case Command.WRITE:
                self.rack.write(work.volume, request.offset, request.data)
            case Command.TRIM | Command.WRITE_ZEROES:
                self.rack.write(work.volume, request.offset, bytes(request.length))
        work.done = True
        settings = self.settings
        self.record(rec.Ran(t=now, node=settings.name, head=work.head, key=work.key, attempt=work.attempt))
        if self.meter is not None:
            units = units_of(request.length, settings.unit_bytes)
            self.meter.add(now, work.volume, units)
            self._served[work.volume] = self._served.get(work.volume, 0.0) + units
            mine = (work.head, work.volume)
            self._served_to[mine] = self._served_to.get(mine, 0.0) + units
        self._answer(work, "done", data)
        for repeat in work.repeats:
            self._answer(repeat, "repeat")
        self._pump()

    def report(self, work: Work) -> extension.Report | None:
        """Return what an answer tells beside itself: the meter, service through other heads, the queue."""
        if self.meter is None or not work.head:
            return None
        served, mine = self._served.get(work.volume, 0.0), (work.head, work.volume)
        others = served - self._served_to.get(mine, 0.0)
        elsewhere, self._told_others[mine] = others - self._told_others.get(mine, 0.0), others
        percent = self.meter.percent(self.hub.now(), work.volume)
        return extension.Report(percent, elsewhere, (float(len(self._queue)),))

    def _schedule_flush(self, life: int) -> None:
        def flush() -> None:
            if life == self._life:
                if self._put_off and not self.faults.hang:
                    self.pause(int(self._put_off / self.settings.cores / self.capacity()))
                    self._put_off = 0.0
                self._schedule_flush(life)

        self.hub.at(self.hub.now() + self.settings.flush_us, flush)

    def cancel(self, session: Session, cookie: int) -> None:
        """Drop waiting work that nobody waits for; running work goes on."""
        for work in self._queue:
            if work.session is session and work.request.cookie == cookie:
                self._queue.remove(work)
                self._forget(work)
                self._answer(work, "unseen")
                return

    def _answer(self, work: Work, result: str, data: bytes = b"") -> None:
        faults = self.faults
        if result != "unseen":
            if faults.reset_replies and self.random.random() < faults.reset_replies:
                work.session.stream.abort()
                return
            if faults.lose_replies and self.random.random() < faults.lose_replies:
                return
        if faults.late_us:
            self.hub.at(self.hub.now() + faults.late_us, lambda: work.session.reply(work, result, data))
        else:
            work.session.reply(work, result, data)


class _Exports:
    def __init__(self, settings: ShelfSettings) -> None:
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


class Session:
    """One connection to a shelf."""

    def __init__(self, shelf: Shelf, stream: Stream) -> None:
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
                        case Opened():
                            self._volume = event.export.name
                            known = [extension.identity_of(name) for name in event.contexts]
                            self._head, self.epoch = next((one for one in known if one is not None), (0, 0))
                            shelf.rack.fence.admits(self._volume, self.epoch)
                        case Disconnect() | Aborted():
                            return
                if self._nbd.state is ServerState.CLOSED:
                    return
                self.stream.drain()
        except (OSError, ProtocolViolation):
            pass  # this connection alone suffers
        finally:
            shelf.left(self)
            self.stream.close()

    def _cut_off(self) -> bool:
        return self.deaf or self._head in self._shelf.faults.cut_off

    def _push(self) -> None:
        for data in self._nbd.take_outgoing():
            self.stream.write(data)

    def _request(self, request: Request) -> None:
        shelf = self._shelf
        key, attempt = extension.split_cookie(request.cookie) if self._nbd.extended else (0, 0)
        now = shelf.hub.now()
        work = Work(self, request, self._volume, self._head, key, attempt, now)
        shelf.record(
            rec.Got(
                t=now,
                node=shelf.settings.name,
                shard=shelf.settings.shard,
                head=self._head,
                key=key,
                attempt=attempt,
                volume=self._volume,
                kind=KIND_NAMES[request.command],
                offset=request.offset,
                length=request.length,
            )
        )
        shelf.arrive(work)

    def reply(self, work: Work, result: str, data: bytes) -> None:
        """Send an answer, if the connection is still there."""
        if self._cut_off():
            return
        shelf, request = self._shelf, work.request
        now = shelf.hub.now()
        shelf.record(
            rec.Said(
                t=now,
                node=shelf.settings.name,
                head=work.head,
                key=work.key,
                attempt=work.attempt,
                result=result,
            )
        )
        report = None
        if shelf.meter is not None:
            report = shelf.report(work)
        if result == "unseen":
            self._nbd.reply_error(request.cookie, Errno.ENOMEM, "the queue is full", unseen=True)
        elif request.command is Command.READ:
            pieces = [data] if data else []
            self._nbd.reply_read(
                request.cookie, request.offset, pieces, bool(request.flags & CommandFlags.DF), report
            )
        else:
            self._nbd.reply_done(request.cookie, report)
        self._push()
