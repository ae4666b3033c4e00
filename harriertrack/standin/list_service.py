"""A list service stand-in: the part of Consul's health API that heads use, with blocking queries.

Source: Consul HTTP API, /v1/health/service/:service and "Blocking Queries". Faults: `down` (turns calls
away), `slow_us` (answers late), `queue` (serves many callers in turn). Each list that goes out is recorded as
told to the head that asked.
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
    """Knows nodes, and tells whoever asks; a head names itself in its User-Agent."""

    def __init__(self, hub: Hub, network: Network, recorder: rec.Recorder | None = None) -> None:
        self._hub, self._network, self._recorder = hub, network, recorder
        self._members: dict[str, Member] = {}
        self._index = 1
        self._wall_ahead = hub.clock.wall() - hub.now()
        self._changed = Waiters(hub)
        self._listener: Listener | None = None
        self.address = ("127.0.0.1", 0)
        self.down = False
        self.response_delay_us = 0
        self.queue: CallQueue | None = None

    def start(self, scope: Scope, address: tuple[str, int] = ("127.0.0.1", 0)) -> None:
        """Listen for questions."""
        self._listener = self._network.listen(address)
        self.address = self._listener.address
        scope.spawn("list service", serve, self._listener, scope, "list question", self._handle)

    def stop(self) -> None:
        """Stop listening."""
        if self._listener is not None:
            self._listener.close()

    def set_member(self, member: Member) -> None:
        """Tell a node's state from now on."""
        self._members[member.entry.node] = member
        self._index += 1
        self._changed.notify()

    def set_state(self, node: str, state: NodeState, started_us: int | None = None) -> None:
        """Change a known node's state, and its start where it is new."""
        before = self._members[node]
        entry = before.entry
        started = entry.started_us if started_us is None else started_us
        self.set_member(Member(replace(entry, state=state, started_us=started), before.address))

    def _handle(self, asked: HttpRequest) -> HttpResponse | None:
        if self.down:
            return None
        target = urlsplit(asked.target)
        if asked.method != "GET" or not target.path.startswith("/v1/health/service/"):
            return HttpResponse(404)
        query = parse_qs(target.query)
        self._block(int(query.get("index", ["0"])[0]), query.get("wait", ["0ms"])[0])
        if self.queue is not None and not self.queue.wait(continues_watch=False):
            return HttpResponse(503)
        if self.response_delay_us:
            self._hub.sleep(self.response_delay_us)
        if self.down:
            return None
        members = list(self._members.values())
        self._record(asked.agent, members)
        body = encode_members([self._on_wire(member) for member in members])
        return HttpResponse(
            200, body, (("X-Consul-Index", str(self._index)), ("Content-Type", "application/json"))
        )

    def _on_wire(self, member: Member) -> Member:
        """Tell starts as wall-clock time, as machines with clocks of their own must."""
        entry = member.entry
        started = entry.started_us + self._wall_ahead if entry.started_us else 0
        return Member(replace(entry, started_us=started), member.address)

    def _block(self, index: int, wait: str) -> None:
        until = self._hub.now() + int(wait.removesuffix("ms") or 0) * 1000
        try:
            while index and self._index <= index:
                self._changed.wait(until)
        except DeadlineExceeded:
            pass

    def _record(self, agent: str, members: list[Member]) -> None:
        number = agent.removeprefix("harriertrack/")
        if self._recorder is None or number == agent:
            return
        for member in members:
            entry = member.entry
            self._recorder.add(
                rec.NodeListed(
                    t=self._hub.now(),
                    head=int(number, 16),
                    node=entry.node,
                    state=entry.state.value,
                    started_us=entry.started_us,
                )
            )
