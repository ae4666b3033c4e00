"""The node side: each attempt of the module has a connection to itself for as long as it lasts.

What the end of an attempt proves depends on its progress: until the last byte of the request has left this
process, the request has not run. Nothing is retried here.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from harriertrack.decisions import interface as api
from harriertrack.decisions.connection_pool import ConnectionPool, ConnectionState
from harriertrack.decisions.forwarded_requests import ForwardedRequests
from harriertrack.decisions.lifecycle import AttemptState
from harriertrack.decisions.payload_memory import PayloadMemory
from harriertrack.decisions.requests import Attempt, Core
from harriertrack.membership.nodes import Member
from harriertrack.protocol.platform.exchange import Answer, Exchange, IncompleteAnswer, InvalidAnswer
from harriertrack.runtime.hub import DeadlineExceeded, Hub, Scope
from harriertrack.runtime.streams import Network, Stream
from harriertrack.service.configuration import Bounds
from harriertrack.service.log import Log, is_power_of_two
from harriertrack.service.pending import PendingRequest

IDLE_CHECK_PERIOD_US = 500_000  # how often connections are checked for their idle timeout
PERCENT = re.compile(rb"[0-9]{1,6}(?:\.[0-9]{1,6})?")


@dataclass(slots=True)
class AnswerReport:
    """Load that a node reports with an answer; `used_percent` is its meter reading plus one, 0 for none."""

    used_percent: int = 0
    elsewhere: float = 0.0
    load: tuple[float, ...] = ()


@dataclass(slots=True)
class NodeCounts:
    """Counts of connections, answers and ends of attempts, for operators."""

    dialled: int = 0
    invalid_answers: int = 0
    surplus: int = 0
    no_capacity: int = 0
    ends: dict[api.Result, int] = field(default_factory=dict)


def attempt_result(answer: Answer) -> api.Result:
    """Return the result of the attempt that a complete answer belongs to."""
    if answer.status == 200:
        return api.Result.OK
    if answer.status in (503, 504) and answer.fields.get(b"x-never-ran") == b"1":
        return api.Result.FULL
    return api.Result.ERROR


def read_report(answer: Answer) -> AnswerReport:
    """Read the load figures of an answer; malformed ones count as absent."""
    used = answer.fields.get(b"x-iops-used") or b""
    return AnswerReport(int(float(used)) + 1 if PERCENT.fullmatch(used) else 0)


class StorageNodes:
    """All connections of a head to storage nodes."""

    def __init__(
        self,
        hub: Hub,
        network: Network,
        scope: Scope,
        core: Core,
        bounds: Bounds,
        memory: PayloadMemory,
        forwarded: ForwardedRequests,
        name: str,
        log: Log,
    ) -> None:
        self.hub, self.network, self.core, self.bounds, self.name = hub, network, core, bounds, name
        self.memory, self.forwarded = memory, forwarded
        self.pool: ConnectionPool[NodeConnection] = ConnectionPool(
            bounds.connections.nodes, bounds.idle_timeout_us
        )
        self.counts = NodeCounts()
        self._scope, self._log = scope, log
        self._connection_of: dict[Attempt, NodeConnection] = {}

    def send(self, attempt: Attempt) -> None:
        """Start an attempt over an idle connection that is still usable, else over a new one."""
        now, member = self.hub.now(), attempt.member
        assert isinstance(member, Member), "the core uses the list of members"
        entry = member.entry
        while (connection := self.pool.pick(entry.node, now)) is not None:
            if connection.is_usable:
                break
            connection.close()
        if connection is None and not self.pool.has_capacity:
            self.counts.no_capacity += 1
            # Not sent because this head is out of descriptors, which says nothing about the node.
            self.hub.at_end_of_round(lambda: self.core.attempt_ended(now, attempt, api.Result.MOOT))
            return
        if connection is None:
            self.counts.dialled += 1
            connection = NodeConnection(self, entry.node, member.address)
            victim = self.pool.add_dialing(connection, entry.node)
            if victim is not None:
                victim.close()
            self._connection_of[attempt] = connection
            connection.assign(attempt)
            self._scope.spawn(entry.node, connection.run)
        else:
            self._connection_of[attempt] = connection
            self.pool.transition(connection, ConnectionState.BUSY, now)
            connection.start(attempt)

    def call_off(self, attempt: Attempt) -> None:
        """Cancel an attempt: its connection is closed, or kept if it is still being established."""
        connection = self._connection_of.pop(attempt, None)
        if connection is not None:
            connection.call_off()

    def attempt_ended(
        self, attempt: Attempt, result: api.Result, at: int, answer: Answer | None = None
    ) -> None:
        """Report the result of an attempt, which was known at the time `at`, to the core."""
        self._connection_of.pop(attempt, None)
        self.counts.ends[result] = self.counts.ends.get(result, 0) + 1
        if answer is not None and result is api.Result.OK:
            self.core.attempt_ended(at, attempt, result, answer.body, read_report(answer))
        else:
            self.core.attempt_ended(at, attempt, result)

    def report_invalid_answer(self, node: str, why: str) -> None:
        """Count an answer that could not be parsed and log it at powers of two."""
        self.counts.invalid_answers += 1
        if is_power_of_two(self.counts.invalid_answers):
            self._log("spoilt answer", shelf=node, why=why[:120], so_far=self.counts.invalid_answers)

    def node_removed(self, node: str) -> None:
        """Close the idle connections to a node that was removed from the list."""
        for connection in self.pool.idle_connections(node):
            connection.close()

    def close_expired(self) -> None:
        """Close connections whose idle timeout has passed, periodically (a task)."""
        while True:
            self.hub.sleep(IDLE_CHECK_PERIOD_US)
            for connection in self.pool.expired(self.hub.now()):
                connection.close()


class NodeConnection:
    """One connection to a storage node."""

    def __init__(self, owner: StorageNodes, node: str, address: tuple[str, int]) -> None:
        self._owner, self._node, self._address = owner, node, address
        self._stream: Stream | None = None
        self._attempt: Attempt | None = None
        self._exchange: Exchange | None = None
        self._closed = False
        self._request_open = False  # a request was sent over it and its answer is not complete

    @property
    def is_usable(self) -> bool:
        """Whether it can carry a request: it is open and holds no unread bytes that belong to none."""
        return self._stream is not None and self._stream.silent()

    def assign(self, attempt: Attempt) -> None:
        """Assign an attempt before the connection is established."""
        self._attempt = attempt

    def start(self, attempt: Attempt) -> None:
        """Send an attempt's request if it may still begin; otherwise return the connection to the pool."""
        assert self._stream is not None
        owner = self._owner
        self._attempt = attempt
        pending = attempt.part.request.requester
        assert isinstance(pending, PendingRequest)
        parsed, body = pending.parsed, attempt.part.body()
        time_ms = max(1, (attempt.times_out_at - owner.hub.now()) // 1000)
        headers = [
            (b"Host", b"api.internal"), (b"X-Trace-Id", parsed.trace_id),
            (b"X-Expires-In-Ms", b"%d" % time_ms),
        ]  # fmt: skip
        if parsed.key:
            headers.append((b"Idempotency-Key", parsed.key))
        self._exchange = Exchange(
            b"PUT" if parsed.writes else b"GET",
            parsed.target,
            headers,
            len(body),
            owner.bounds.memory.answer,
        )
        # Checked last: the process may have been stopped since the attempt was decided.
        if not owner.core.may_begin(owner.hub.now(), attempt):
            self._return_unused(attempt)
            return
        self._request_open = True
        self._stream.write(self._exchange.request_head)
        self._stream.write(body)
        self._stream.push(lambda: self._request_sent(attempt))
        if attempt.state is AttemptState.DIALING:
            owner.memory.requests.hold(self, self._stream.buffered)

    def _request_sent(self, attempt: Attempt) -> None:
        """Handle that the last byte of a request has left this process."""
        owner, now = self._owner, self._owner.hub.now()
        pending = attempt.part.request.requester
        assert isinstance(pending, PendingRequest)
        owner.memory.requests.release(self)
        owner.forwarded.add(pending.identity, now)
        owner.core.attempt_sent(attempt, now)

    def _return_unused(self, attempt: Attempt) -> None:
        """Drop an attempt that may not begin: nothing was sent, so the connection can carry another."""
        self._release_attempt()
        now = self._owner.hub.now()
        self._owner.pool.transition(self, ConnectionState.IDLE, now)
        self._owner.hub.at_end_of_round(lambda: self._owner.attempt_ended(attempt, api.Result.MOOT, now))

    def run(self) -> None:
        """Connect, then receive answers until the connection ends (its task)."""
        owner, hub = self._owner, self._owner.hub
        try:
            deadline = hub.now() + owner.bounds.dial_timeout_us
            self._stream = owner.network.connect(self._address, deadline, owner.name)
            if self._closed:
                return
            self._connected()
            while self._receive(self._stream.read()):
                pass
        except IncompleteAnswer:
            pass  # a reset, by the protocol
        except InvalidAnswer as error:
            owner.report_invalid_answer(self._node, str(error))
            self._fail_attempt(api.Result.ERROR)
        except (OSError, DeadlineExceeded):
            pass  # affects this connection only
        finally:
            self.close()
            self._fail_attempt(api.Result.RESET)

    def _connected(self) -> None:
        """Send the assigned attempt if it may still begin; otherwise the new connection becomes idle."""
        owner, now = self._owner, self._owner.hub.now()
        if self._attempt is not None and not self._may_begin(now, self._attempt):
            self._fail_attempt(api.Result.MOOT)
        if self._attempt is None:
            owner.pool.transition(self, ConnectionState.IDLE, now)
        else:
            owner.pool.transition(self, ConnectionState.BUSY, now)
            self.start(self._attempt)

    def _may_begin(self, now: int, attempt: Attempt) -> bool:
        """Whether an attempt may still be sent; its client may have disconnected during the connect."""
        pending = attempt.part.request.requester
        assert isinstance(pending, PendingRequest)
        if pending.client_has_left(now):
            pending.session.abandon()
        return self._owner.core.may_begin(now, attempt)

    def _receive(self, data: bytes) -> bool:
        """Handle received bytes; return whether the connection stays open."""
        owner = self._owner
        if self._exchange is None or self._attempt is None:  # an end of an idle connection, or stray bytes
            owner.counts.surplus += bool(data)
            return False
        assert self._stream is not None
        held = self._exchange.held_bytes
        answer = self._exchange.receive(data)
        if answer is None:
            holder = owner.memory.answers.receive(self, self._exchange.held_bytes - held)
            if holder is not None:
                holder.give_up()
            return holder is not self
        if self._attempt.state is AttemptState.DIALING:  # the request was not fully sent: it never ran
            self._fail_attempt(
                api.Result.FULL if attempt_result(answer) is api.Result.FULL else api.Result.RESET
            )
            return False
        self._request_open = False
        attempt = self._attempt
        self._release_attempt()
        at = max(attempt.sent_at, self._stream.came_at)
        owner.attempt_ended(attempt, attempt_result(answer), at, answer)
        if not answer.reusable:
            owner.counts.surplus += 1
            return False
        owner.pool.transition(self, ConnectionState.IDLE, owner.hub.now())
        return True

    def _fail_attempt(self, result: api.Result) -> None:
        """End the attempt with the connection; the core derives what that proves from the attempt's state."""
        attempt = self._attempt
        self._release_attempt()
        if attempt is not None:
            self._owner.attempt_ended(attempt, result, self._owner.hub.now())

    def give_up(self) -> None:
        """Give up the answer that is being received, as the answers of all nodes take too much memory."""
        self._owner.report_invalid_answer(self._node, "too long for the memory that is left")
        self._fail_attempt(api.Result.ERROR)
        self.close()

    def _release_attempt(self) -> None:
        """Let go of the attempt, and free what was received of its answer."""
        self._owner.memory.answers.release(self)
        exchange, self._attempt, self._exchange = self._exchange, None, None
        if exchange is not None:
            exchange.close()

    def call_off(self) -> None:
        """Cancel the attempt, and close the connection if it is established."""
        self._release_attempt()
        if self._stream is not None:
            self.close()

    def close(self) -> None:
        """Close the connection, with a reset if a request is open: no more of that request may be delivered.

        Without the reset, bytes still buffered in this process or its system would reach the node once it
        reads again, or once a network partition between them is over.
        """
        self._closed = True
        self._owner.memory.requests.release(self)
        self._owner.pool.remove(self)
        if self._stream is not None:
            self._stream.abort() if self._request_open else self._stream.close()
