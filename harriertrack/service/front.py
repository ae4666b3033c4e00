"""The clients' side: connections are taken, requests read and handed to the core, answers sent.

Bounds, parsing and framing only. One request at a time on a connection: while one is open nothing more is
read, and what a client sends behind it is not passed on.
"""

from __future__ import annotations

from dataclasses import dataclass

from harriertrack.decisions.callers import Callers, CallerState
from harriertrack.decisions.leaving import Leaving
from harriertrack.decisions.requests import ClientRequest, Core, Placed, Volume
from harriertrack.decisions.splitting import Kind, Outcome
from harriertrack.protocol.platform.asked import Asked, BadRequest, CallerConnection, Ready, parting
from harriertrack.runtime.hub import Hub, Scope, Waiters
from harriertrack.runtime.streams import Listener, Stream, StreamClosed
from harriertrack.service.calls import Call, Note, PlatformVolume, worth_saying
from harriertrack.service.configuration import Configuration

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

    def __init__(self, hub: Hub, scope: Scope, core: Core, configuration: Configuration, leaving: Leaving,
                 note: Note) -> None:  # fmt: skip
        self.hub, self.core, self.leaving = hub, core, leaving
        self.forms, self.deadlines = configuration.forms, configuration.deadlines
        self.callers: Callers[Caller] = Callers(configuration.bounds.callers, configuration.bounds.asked)
        self.open: dict[bytes, Call] = {}  # by the client's id
        self.counts = FrontCounts()
        self._scope, self._note = scope, note

    def serve(self, listener: Listener) -> None:
        """Take connections until the listener is closed (a task)."""
        while True:
            try:
                stream = listener.accept()
            except StreamClosed:
                return
            caller = Caller(self, stream)
            self.counts.taken += 1
            victim = self.callers.came(caller, self.hub.now())
            if victim is not None:
                self.counts.turned_away += 1
                self._close(victim)
            if victim is not caller:
                self._scope.spawn("caller", caller.run)

    def watch(self) -> None:
        """End overdue connections, for ever (a task)."""
        while True:
            self.hub.sleep(LOOK_US)
            for caller in self.callers.overdue(self.hub.now()):
                self.counts.overdue += 1
                self._close(caller, 408, "no whole request came in time")

    def part(self) -> None:
        """Close the connections over which nothing is asked."""
        for caller in self.callers.idle():
            self._close(caller)

    def _close(self, caller: Caller, status: int = 0, why: str = "") -> None:
        self.counts.unanswered += not caller.answered
        caller.end(status, why)

    def told_bad(self, error: BadRequest, peer: str) -> None:
        """A request could not be taken: say so now and then, a flood of them must not flood the log."""
        self.counts.bad += 1
        if worth_saying(self.counts.bad):
            self._note("bad request", why=str(error)[:120], peer=peer, so_far=self.counts.bad)


class Caller:
    """One client's connection."""

    def __init__(self, front: Front, stream: Stream) -> None:
        self._front, self._stream = front, stream
        self._http = CallerConnection(front.forms)
        self._request: ClientRequest | None = None
        self._answered = Waiters(front.hub)
        self._closed = False
        self.answered = False  # something was answered over it

    def run(self) -> None:
        """Serve the connection until it ends (its task)."""
        try:
            while (asked := self._read()) is not None:
                if isinstance(asked, Ready):
                    self._tell_ready()
                else:
                    self._take(asked)
                    while self._request is not None:
                        self._answered.wait()
                if self._closed or not self._http.again():
                    break
        except BadRequest as error:
            self._front.told_bad(error, self._stream.peer)
            self._stream.write(parting(error.status, str(error)))
        except OSError:
            pass  # this connection alone suffers
        finally:
            self._leave()
            self.end()

    def _read(self) -> Asked | Ready | None:
        """Wait for a request that is whole; None for the end of the connection."""
        callers = self._front.callers
        while data := self._stream.read():
            asked = self._http.receive(data)
            if asked is not None:
                callers.step(self, CallerState.BUSY, self._front.hub.now())
                return asked
            if callers.state(self) in (CallerState.NEW, CallerState.IDLE):
                callers.step(self, CallerState.READING, self._front.hub.now())
        return None

    def _tell_ready(self) -> None:
        leaves = self._front.leaving.leaves
        status, body = (503, b"leaving\n") if leaves else (200, b"ready\n")
        self._send(status, body)

    def _take(self, asked: Asked) -> None:
        front = self._front
        if asked.trace in front.open:
            raise BadRequest(409, "a request with this id is open")
        now = front.hub.now()
        left = min(asked.expires_ms * 1000, front.deadlines[asked.class_name])
        call = Call(asked, self)
        volume = Volume(PlatformVolume(asked.volume, asked.plan, asked.hosts))
        kind = Kind.WRITE if asked.writes else Kind.READ
        # The client counts from its sending: bytes that waited here unread have used up some of its time.
        deadline = min(self._stream.came_at, now) + left
        request = ClientRequest(volume, kind, 0, len(asked.body), asked.body, 0, call, deadline)
        self._request = request
        front.open[asked.trace] = call
        front.core.take_placed(
            now, request, Placed(asked.class_name, asked.object, asked.shard, asked.units, asked.repeat)
        )
        self._stream.watch_end(self._leave)

    def give(self, call: Call, request: ClientRequest) -> None:
        """Send the one final answer."""
        if self._request is not request:
            return
        self._request = None
        self._front.open.pop(call.asked.trace, None)
        self._stream.watch_end(None)
        match request.outcome:
            case Outcome.SERVED:
                self._send(200, request.bytes_read())
            case Outcome.REFUSED:
                self._send(503, b"", request.hint_us)
            case _:
                self._send(500, b"")
        self._answered.notify()

    def _send(self, status: int, body: bytes, retry_after_us: int = 0) -> None:
        """Send an answer; the connection idles from now on, or ends if the head leaves."""
        if self._closed:
            return
        leaves, self.answered = self._front.leaving.leaves, True
        self._stream.write(self._http.answer(status, len(body), retry_after_us, close=leaves))
        self._stream.write(body)
        self._front.callers.step(self, CallerState.IDLE, self._front.hub.now())

    def _leave(self) -> None:
        """The client is gone: if a request of it is open, nobody waits for its answer."""
        request, self._request = self._request, None
        if request is not None:
            call = request.token
            assert isinstance(call, Call)
            self._front.open.pop(call.asked.trace, None)
            self._front.core.client_gone(request)
            self._answered.notify()
            self._closed = True

    def end(self, status: int = 0, why: str = "") -> None:
        """Close the connection; where something of a request was read, say why."""
        if status and self._front.callers.state(self) is CallerState.READING:
            self._stream.write(parting(status, why))
        self._closed = True
        self._front.callers.gone(self)
        self._stream.close()
