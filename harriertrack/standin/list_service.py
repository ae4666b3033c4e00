"""A list service stand-in: the part of Consul's health API that heads use, with blocking queries.

Source: Consul HTTP API, /v1/health/service/:service and "Blocking Queries". Faults: `down` (resets the
connections of all calls), `response_delay_us` (late responses), `queue` (many callers are served one after
another). Each list that is sent is recorded with the head that requested it.
"""

from __future__ import annotations

from dataclasses import replace
from urllib.parse import parse_qs, urlsplit

from harriertrack.decisions.interface import NodeState
from harriertrack.membership.consul import encode_members
from harriertrack.membership.nodes import Member
from harriertrack.rules import recording as rec
from harriertrack.runtime.hub import DeadlineExceeded, Hub, Scope, Waiters
from harriertrack.runtime.streams import Listener, Network
from harriertrack.standin.http import HttpRequest, HttpResponse, serve
from harriertrack.standin.queue import CallQueue


class ListService:
    """Serves the list of nodes; a head identifies itself in its User-Agent field."""

    def __init__(self, hub: Hub, network: Network, recorder: rec.Recorder | None = None) -> None:
        self._hub, self._network, self._recorder = hub, network, recorder
        self._members: dict[str, Member] = {}
        self._index = 1
        self._wall_clock_offset_us = hub.clock.wall() - hub.now()
        self._changed = Waiters(hub)
        self._listener: Listener | None = None
        self.address = ("127.0.0.1", 0)
        self.down = False
        self.response_delay_us = 0
        self.queue: CallQueue | None = None

    def start(self, scope: Scope, address: tuple[str, int] = ("127.0.0.1", 0)) -> None:
        """Listen for requests."""
        self._listener = self._network.listen(address)
        self.address = self._listener.address
        scope.spawn("list service", serve, self._listener, scope, "list question", self._handle)

    def stop(self) -> None:
        """Stop listening."""
        if self._listener is not None:
            self._listener.close()

    def set_member(self, member: Member) -> None:
        """Add or replace a node in the list, and wake blocking queries."""
        self._members[member.entry.node] = member
        self._index += 1
        self._changed.notify()

    def set_state(self, node: str, state: NodeState, started_us: int | None = None) -> None:
        """Change the state of a listed node, and its start time if one is given."""
        current = self._members[node]
        entry = current.entry
        started = entry.started_us if started_us is None else started_us
        self.set_member(Member(replace(entry, state=state, started_us=started), current.address))

    def _handle(self, request: HttpRequest) -> HttpResponse | None:
        if self.down:
            return None
        target = urlsplit(request.target)
        if request.method != "GET" or not target.path.startswith("/v1/health/service/"):
            return HttpResponse(404)
        query = parse_qs(target.query)
        self._wait_for_change(int(query.get("index", ["0"])[0]), query.get("wait", ["0ms"])[0])
        if self.queue is not None and not self.queue.wait(continues_watch=False):
            return HttpResponse(503)
        if self.response_delay_us:
            self._hub.sleep(self.response_delay_us)
        if self.down:
            return None
        members = list(self._members.values())
        self._record_sent(request.agent, members)
        body = encode_members([self._with_wall_clock_start(member) for member in members])
        return HttpResponse(
            200, body, (("X-Consul-Index", str(self._index)), ("Content-Type", "application/json"))
        )

    def _with_wall_clock_start(self, member: Member) -> Member:
        """Return the member with its start in wall-clock time: machines do not share a monotonic clock."""
        entry = member.entry
        started = entry.started_us + self._wall_clock_offset_us if entry.started_us else 0
        return Member(replace(entry, started_us=started), member.address)

    def _wait_for_change(self, index: int, wait: str) -> None:
        deadline = self._hub.now() + int(wait.removesuffix("ms") or 0) * 1000
        try:
            while index and self._index <= index:
                self._changed.wait(deadline)
        except DeadlineExceeded:
            pass

    def _record_sent(self, agent: str, members: list[Member]) -> None:
        head_id = agent.removeprefix("harriertrack/")
        if self._recorder is None or head_id == agent:
            return
        for member in members:
            entry = member.entry
            self._recorder.add(
                rec.NodeListed(
                    t=self._hub.now(),
                    head=int(head_id, 16),
                    node=entry.node,
                    state=entry.state.value,
                    started_us=entry.started_us,
                )
            )
