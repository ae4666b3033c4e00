"""The nodes' side: each attempt of the module goes over a connection of its own for as long as it lasts.

What an attempt's end proves follows from how far it came: until the last byte of the request has left this
process it never ran. Nothing is sent again here.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from harriertrack.decisions import interface as api
from harriertrack.decisions.connection_pool import ConnectionPool, ConnectionState
from harriertrack.decisions.lifecycle import AttemptState
from harriertrack.decisions.requests import Attempt, Core
from harriertrack.membership.nodes import Member
from harriertrack.protocol.platform.exchange import Answer, Exchange, Spoilt
from harriertrack.runtime.hub import DeadlineExceeded, Hub, Scope
from harriertrack.runtime.streams import Network, Stream
from harriertrack.service.calls import Call
from harriertrack.service.configuration import Bounds
from harriertrack.service.log import Log, has_doubled

LOOK_US = 500_000  # how often idle connections are looked through
PERCENT = re.compile(rb"[0-9]{1,6}(?:\.[0-9]{1,6})?")


@dataclass(slots=True)
class Beside:
    """What a node told beside its answer; `used_percent` is the meter's figure plus one, 0 for none."""

    used_percent: int = 0
    elsewhere: float = 0.0
    load: tuple[float, ...] = ()


@dataclass(slots=True)
class NodeCounts:
    """What became of connections and answers, for operators."""

    dialled: int = 0
    spoilt: int = 0
    surplus: int = 0
    no_room: int = 0
    ends: dict[api.Result, int] = field(default_factory=dict)


def result_of(answer: Answer) -> api.Result:
    """Return what a whole answer says of its attempt."""
    if answer.status == 200:
        return api.Result.OK
    if answer.status in (503, 504) and answer.fields.get(b"x-never-ran") == b"1":
        return api.Result.FULL
    return api.Result.ERROR


def beside_of(answer: Answer) -> Beside:
    """Return what can be read of what came beside an answer."""
    used = answer.fields.get(b"x-iops-used") or b""
    return Beside(int(float(used)) + 1 if PERCENT.fullmatch(used) else 0)


class StorageNodes:
    """All connections of a head to storage nodes."""

    def __init__(self, hub: Hub, network: Network, scope: Scope, core: Core, bounds: Bounds, name: str,
                 log: Log) -> None:  # fmt: skip
        self.hub, self.network, self.core, self.bounds, self.name = hub, network, core, bounds, name
        self.pool: ConnectionPool[NodeConnection] = ConnectionPool(bounds.ways, bounds.idle_us)
        self.counts = NodeCounts()
        self._scope, self._log = scope, log
        self._connection_of: dict[Attempt, NodeConnection] = {}

    def send(self, attempt: Attempt) -> None:
        """Start an attempt over an idle connection that is still good, else over a new one."""
        now, member = self.hub.now(), attempt.member
        assert isinstance(member, Member), "the core was given the list of members"
        entry = member.entry
        while (connection := self.pool.pick(entry.node, now)) is not None:
            if connection.fit:
                break
            connection.close()
        if connection is None and not self.pool.has_capacity:
            self.counts.no_room += 1
            # Not sent, for want of this head's own descriptors: that says nothing of the node.
            self.hub.at_end_of_round(lambda: self.core.attempt_ended(now, attempt, api.Result.MOOT))
            return
        if connection is None:
            self.counts.dialled += 1
            connection = NodeConnection(self, entry.node, member.address)
            victim = self.pool.add_dialing(connection, entry.node)
            if victim is not None:
                victim.close()
            self._connection_of[attempt] = connection
            connection.offer(attempt)
            self._scope.spawn(entry.node, connection.run)
        else:
            self._connection_of[attempt] = connection
            self.pool.transition(connection, ConnectionState.BUSY, now)
            connection.start(attempt)

    def call_off(self, attempt: Attempt) -> None:
        """Nobody waits for an attempt any more: its connection is closed, or if it is not up yet kept."""
        connection = self._connection_of.pop(attempt, None)
        if connection is not None:
            connection.call_off()

    def ended(self, attempt: Attempt, result: api.Result, at: int, answer: Answer | None = None) -> None:
        """Tell the core an attempt's outcome, which came at a time."""
        self._connection_of.pop(attempt, None)
        self.counts.ends[result] = self.counts.ends.get(result, 0) + 1
        if answer is not None and result is api.Result.OK:
            self.core.attempt_ended(at, attempt, result, answer.body, beside_of(answer))
        else:
            self.core.attempt_ended(at, attempt, result)

    def spoilt(self, node: str, why: str) -> None:
        """An answer could not be read: say so now and then."""
        self.counts.spoilt += 1
        if has_doubled(self.counts.spoilt):
            self._log("spoilt answer", shelf=node, why=why[:120], so_far=self.counts.spoilt)

    def gone(self, node: str) -> None:
        """A node is gone from the list: nothing more goes over its idle connections."""
        for connection in self.pool.idle_connections(node):
            connection.close()

    def watch(self) -> None:
        """Close connections that have idled for long, for ever (a task)."""
        while True:
            self.hub.sleep(LOOK_US)
            for connection in self.pool.expired(self.hub.now()):
                connection.close()


class NodeConnection:
    """One connection to a node."""

    def __init__(self, owner: StorageNodes, node: str, address: tuple[str, int]) -> None:
        self._owner, self._node, self._address = owner, node, address
        self._stream: Stream | None = None
        self._attempt: Attempt | None = None
        self._exchange: Exchange | None = None
        self._closed = False
        self._open = False  # a request went out over it, of which the answer is not whole

    @property
    def fit(self) -> bool:
        """Whether it can carry a request: it is open, and nothing has come that belongs to none."""
        return self._stream is not None and self._stream.silent()

    def offer(self, attempt: Attempt) -> None:
        """Take an attempt before the connection is up."""
        self._attempt = attempt

    def start(self, attempt: Attempt) -> None:
        """Send an attempt's request if it may still begin, else keep the connection."""
        assert self._stream is not None
        owner = self._owner
        self._attempt = attempt
        call = attempt.part.request.requester
        assert isinstance(call, Call)
        asked = call.asked
        left = max(1, (attempt.times_out_at - owner.hub.now()) // 1000)
        headers = [
            (b"Host", b"api.internal"), (b"X-Trace-Id", asked.trace), (b"X-Expires-In-Ms", b"%d" % left),
        ]  # fmt: skip
        if asked.key:
            headers.append((b"Idempotency-Key", asked.key))
        self._exchange = Exchange(
            b"PUT" if asked.writes else b"GET", asked.target, headers, asked.body, owner.bounds.answer
        )
        # Looked at last: the process may have stood still since this was decided.
        if not owner.core.may_begin(owner.hub.now(), attempt):
            self._keep(attempt)
            return
        self._open = True
        self._stream.write(self._exchange.request)
        self._stream.push(lambda: owner.core.attempt_sent(attempt, owner.hub.now()))

    def _keep(self, attempt: Attempt) -> None:
        """Let an attempt go that may not begin: nothing was sent, and the connection can carry another."""
        self._attempt = self._exchange = None
        now = self._owner.hub.now()
        self._owner.pool.transition(self, ConnectionState.IDLE, now)
        self._owner.hub.at_end_of_round(lambda: self._owner.ended(attempt, api.Result.MOOT, now))

    def run(self) -> None:
        """Dial, then take answers until the connection ends (its task)."""
        owner, hub = self._owner, self._owner.hub
        try:
            deadline = hub.now() + owner.bounds.dial_us
            self._stream = owner.network.connect(self._address, deadline, owner.name)
            if self._closed:
                return
            self._up()
            while self._take(self._stream.read()):
                pass
        except Spoilt as error:
            owner.spoilt(self._node, str(error))
            self._lost(api.Result.ERROR)
        except (OSError, DeadlineExceeded):
            pass  # this connection alone suffers
        finally:
            self.close()
            self._lost(api.Result.RESET)

    def _up(self) -> None:
        """The connection is up: send its attempt if that may still begin, else keep the connection."""
        owner, now = self._owner, self._owner.hub.now()
        if self._attempt is not None and not self._may_begin(now, self._attempt):
            self._lost(api.Result.MOOT)
        if self._attempt is None:
            owner.pool.transition(self, ConnectionState.IDLE, now)
        else:
            owner.pool.transition(self, ConnectionState.BUSY, now)
            self.start(self._attempt)

    def _may_begin(self, now: int, attempt: Attempt) -> bool:
        """Whether an attempt may still be sent; its client may have gone while the connection came up."""
        call = attempt.part.request.requester
        assert isinstance(call, Call)
        if call.client_left(now):
            call.session.leave()
        return self._owner.core.may_begin(now, attempt)

    def _take(self, data: bytes) -> bool:
        """Take bytes; return whether the connection goes on."""
        owner = self._owner
        if not data or self._exchange is None or self._attempt is None:  # an end, or bytes of no answer
            owner.counts.surplus += bool(data)
            return False
        assert self._stream is not None
        answer = self._exchange.receive(data)
        if answer is None:
            return True
        if self._attempt.state is AttemptState.DIALING:  # before its request has left: it never ran
            self._lost(api.Result.FULL if result_of(answer) is api.Result.FULL else api.Result.RESET)
            return False
        self._open = False
        attempt, self._attempt, self._exchange = self._attempt, None, None
        at = max(attempt.sent_at, self._stream.came_at)
        owner.ended(attempt, result_of(answer), at, answer)
        if not answer.reusable:
            owner.counts.surplus += 1
            return False
        owner.pool.transition(self, ConnectionState.IDLE, owner.hub.now())
        return True

    def _lost(self, result: api.Result) -> None:
        """The connection is over; what that proves of its attempt, the core knows from how far it came."""
        attempt, self._attempt, self._exchange = self._attempt, None, None
        if attempt is not None:
            self._owner.ended(attempt, result, self._owner.hub.now())

    def call_off(self) -> None:
        """Nobody waits for the attempt any more."""
        self._attempt = self._exchange = None
        if self._stream is not None:
            self.close()

    def close(self) -> None:
        """Close the connection, with a reset where a request is open: nothing of that may come any more.

        What this process or its system still holds of it would reach the node whenever that reads, or once
        a cut between them is over.
        """
        self._closed = True
        self._owner.pool.remove(self)
        if self._stream is not None:
            self._stream.abort() if self._open else self._stream.close()
