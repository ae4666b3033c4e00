"""The emulator: runs a day with any number of machines in simulated time, with calls in place of messages.

The production head (its core, decision module, admission limits of the front, link lifecycle, node list and,
with two regions, the complete region layer) runs on the virtual clock; storage nodes use the same model as
the nodes over sockets. Codecs and streams between clients, heads and storage nodes are left out: a message is
a call at its arrival time. The region layer's own connections carry little and remain in-memory streams.
docs/emulator.md states each assumption and which results of the emulator are valid.
"""

from __future__ import annotations

import gc
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any

from harriertrack.config.settings import NodeStandInSettings
from harriertrack.decisions import interface as api
from harriertrack.decisions.requests import Attempt, ClientRequest
from harriertrack.decisions.splitting import Kind, Outcome
from harriertrack.gateway.front import KINDS, error_of, error_of_rejection
from harriertrack.gateway.head import Head, Wiring
from harriertrack.gateway.links import COMMANDS, BaseLink, Links
from harriertrack.gateway.listing import Listing
from harriertrack.gateway.parts import HeadParts
from harriertrack.gateway.reception import CLOSING, QueuedRequest, Rejection
from harriertrack.lab.day import DaySettings, NetSettings
from harriertrack.lab.load import COMMANDS as CLIENT_COMMANDS, RECONNECT_US, Connection
from harriertrack.lab.model import SECTOR
from harriertrack.lab.regions import RegionRig
from harriertrack.lab.rig import HeadSlot, Rig
from harriertrack.membership.nodes import Member
from harriertrack.protocol.nbd.client import Reply
from harriertrack.protocol.nbd.server import Request
from harriertrack.rules import recording as rec
from harriertrack.runtime.hub import Cancelled, Event, Hub, Scope
from harriertrack.runtime.memory_streams import MemoryNetwork
from harriertrack.standin.list_service import ListService
from harriertrack.standin.node import ReceivedRequest, ShardStorage, UsageMeter
from harriertrack.standin.node_server import NodeServer


class NetworkDelays:
    """The emulated network between machines: message delays, drawn from a seed."""

    def __init__(self, hub: Hub, net: NetSettings, seed: int) -> None:
        self.hub, self.net = hub, net
        self._random = random.Random(seed)

    def delay(self, source: str, target: str) -> int:
        """Draw the delay in microseconds from one zone to another."""
        net = self.net
        base = net.same_zone_us if source == target else net.cross_zone_us
        return max(1, int(base * (1 + net.jitter * self._random.random())))

    def client_delay(self) -> int:
        """Draw the delay in microseconds between a client and its head."""
        return max(1, int(self.net.client_us * (1 + self.net.jitter * self._random.random())))


class EmulatedNode(NodeServer):
    """A storage node that links reach by calls instead of connections."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        self._open_links: dict[EmulatedLink, None] = {}
        self._is_up = False
        self.silent = False  # the machine is down and sends no resets, so callers get no answer at all

    def start(self, scope: Scope, cold: bool = False) -> None:
        """Start the node; its earlier links are reset."""
        self._reset_links()
        self._is_up, self.silent = True, False
        self.boot(cold)

    def stop(self, silent: bool = False) -> None:
        """Stop the node: its links are reset, or with `silent` just receive nothing more."""
        self._is_up, self.silent = False, silent
        self.shut_down()
        if silent:
            for link in self._open_links:
                link.is_severed = True
        else:
            self._reset_links()

    def _reset_links(self) -> None:
        links, self._open_links = self._open_links, {}
        for link in links:
            link.reset()

    @property
    def up(self) -> bool:
        """Whether links can be opened."""
        return self._is_up

    def accept_link(self, link: EmulatedLink) -> None:
        """Register a link that a head has opened."""
        self._open_links[link] = None
        self.storage.fence.admits(link.volume, link.epoch)

    def connection_closed(self, session: Any) -> None:
        """Forget a link that has ended."""
        self._open_links.pop(session, None)
        super().connection_closed(session)


class EmulatedLink(BaseLink):
    """One link of a head to a storage node for a volume: delayed calls in place of a connection."""

    _links: EmulatedLinks

    def __init__(self, links: EmulatedLinks, node_server: EmulatedNode | None, node: str, volume: str,
                 epoch: int) -> None:  # fmt: skip
        super().__init__(links, node, volume, epoch)
        self.is_severed = False  # no message passes any more, and neither side is notified
        self._node_server = node_server
        self._zone = node_server.settings.zone if node_server is not None else ""
        # Messages in one direction arrive in order whatever their delays, as on a TCP connection.
        self._last_arrival_at_node = self._last_arrival_at_head = 0

    # -- the head's side

    def dial(self) -> None:
        """Open the link after a handshake, or end it after one round trip (a refusal) or the dial limit."""
        now, delays = self._hub.now(), self._links.delays
        round_trip = delays.delay(self._links.zone, self._zone) + delays.delay(self._zone, self._links.zone)
        node_server = self._node_server
        if node_server is None or not (node_server.up or node_server.silent):
            self._at_head(now + round_trip, self._end)
        elif not node_server.up or self._is_cut_off():
            self._at_head(now + self._links.settings.limits.dial_us, self._end)
        else:
            self._at_head(now + delays.net.handshake_trips * round_trip, self._opened)

    def _opened(self) -> None:
        if self.lifecycle.closed:
            return
        if self._node_server is None or not self._node_server.up:
            self._end()
            return
        self._node_server.accept_link(self)
        self._send_waiting()

    def _request(self, cookie: int, attempt: Attempt) -> None:
        part = attempt.part
        kind = part.request.kind
        body = bytes(part.body()) if kind is Kind.WRITE else b""
        offset = 0 if kind is Kind.FLUSH else part.offset
        request = Request(cookie, COMMANDS[kind], self._links.flags(part.request.flags, kind), offset,
                          part.length, body)  # fmt: skip
        self._links.core.attempt_sent(attempt)
        self._to_node(lambda server: server.receive(self, request, self.volume, self._links.head_id, True))

    def _cancel(self, cookie: int) -> None:
        self._to_node(lambda node_server: node_server.cancel(self, cookie))

    def _close_if_spent(self) -> None:
        if self.lifecycle.can_close:
            self._end()

    def _end(self) -> None:
        """Close the link at the head, which learns of its end now."""
        if self.lifecycle.closed:
            return
        lost = self.lifecycle.close()
        self._links.link_closed(self, "")
        self._links.open_links.pop(self, None)
        if self._node_server is not None:
            node_server = self._node_server
            self._hub.at_outside(self._hub.now() + 1, lambda: node_server.connection_closed(self))
        now = self._hub.now()
        for attempt, result in lost:
            self._links.core.attempt_ended(now, attempt, result)

    def drop(self) -> None:
        """Reset the link, as the machine of a killed head does."""
        self.lifecycle.close()
        if self._node_server is not None:
            self._node_server.connection_closed(self)

    def _reply_received(self, cookie: int, result: api.Result, data: bytes, report: Any) -> None:
        if self.lifecycle.closed:
            return
        self.lifecycle.note_received(self._hub.now())
        attempt = self.lifecycle.match_reply(cookie)
        self._links.core.attempt_ended(self._hub.now(), attempt, result, data, report)
        self._close_if_spent()

    # -- messages

    def _is_cut_off(self) -> bool:
        server = self._node_server
        return self.is_severed or (server is not None and self._links.head_id in server.faults.cut_off)

    def _to_node(self, act: Callable[[EmulatedNode], None]) -> None:
        node_server = self._node_server
        assert node_server is not None
        arrival = self._hub.now() + self._links.delays.delay(self._links.zone, self._zone)
        self._last_arrival_at_node = max(self._last_arrival_at_node, arrival)

        def arrive() -> None:
            if not self._is_cut_off() and not self.lifecycle.closed and node_server.up:
                act(node_server)

        self._hub.at_outside(self._last_arrival_at_node, arrive)

    def _at_head(self, when: int, act: Callable[[], None]) -> None:
        self._hub.at_for(self._links.group, when, act)

    # -- the node's side (standin.node.NodeConnection)

    def reset(self) -> None:
        """Reset the link; the head learns of it one message delay later."""
        if not self._is_cut_off():
            self._at_head(self._hub.now() + self._links.delays.delay(self._zone, self._links.zone), self._end)
        self.is_severed = True

    def reply(self, work: ReceivedRequest, result: str, data: bytes) -> None:
        """Send a reply to the head."""
        if self._is_cut_off() or self._node_server is None:
            return
        report = self._node_server.record_reply(work, result)
        outcome = api.Result.FULL if result == "unseen" else api.Result.OK
        arrival = self._hub.now() + self._links.delays.delay(self._zone, self._links.zone)
        self._last_arrival_at_head = max(self._last_arrival_at_head, arrival)
        self._at_head(
            self._last_arrival_at_head,
            lambda: self._reply_received(work.request.cookie, outcome, data, report),
        )


class EmulatedLinks(Links):
    """All links of an emulated head."""

    def __init__(self, network: EmulatedNetwork, group: object, zone: str, head: HeadParts) -> None:
        super().__init__(head)
        self.emulated_network, self.group, self.zone, self.delays = network, group, zone, network.delays
        self.open_links: dict[EmulatedLink, None] = {}
        self._is_killed = False  # timers that still fire after the head was killed send nothing
        head.scope.spawn("links", self._until_killed)

    def _until_killed(self) -> None:
        try:
            Event(self.hub).wait()
        except Cancelled:
            self._is_killed = True
            for link in self.open_links:
                link.drop()
            raise

    def send(self, attempt: Attempt) -> None:
        """Send an attempt, unless the head was killed."""
        if not self._is_killed:
            super().send(attempt)

    def open(self, node: str, volume: str, epoch: int) -> BaseLink:
        """Start to open a link."""
        link = EmulatedLink(self, self.emulated_network.nodes.get(node), node, volume, epoch)
        self.open_links[link] = None
        link.dial()
        return link


class EmulatedListing(Listing):
    """A head's copy of the node list: the complete list arrives some time after each change."""

    def __init__(
        self, service: EmulatedListService, group: object, delays: NetworkDelays, head: HeadParts
    ) -> None:
        super().__init__(head)
        self._service, self._group, self._delays = service, group, delays
        self._is_subscribed = False
        self._version = 0
        self._recorded: dict[str, tuple[str, int]] = {}

    def subscribe(self, on: bool) -> None:
        """Start or stop following the list service."""
        if on and not self._is_subscribed:
            self._after_round_trip(self._fetch)
        self._is_subscribed = on
        if not on:
            self._service.subscribers.pop(self, None)

    def request_now(self) -> None:
        """Request the list, even if a call is under way."""
        requested_at = self._hub.now()
        self._after_round_trip(lambda: self._reply_received(requested_at))

    def _reply_received(self, requested_at: int) -> None:
        self._fetch()
        self._core.list_call_ended(requested_at, answered=True)

    def _after_round_trip(self, act: Callable[[], None]) -> None:
        round_trip = 2 * self._delays.delay("", "list") + self._service.response_delay_us
        self._hub.at_for(self._group, self._hub.now() + round_trip, act)

    def list_changed(self) -> None:
        """Fetch the list after the service has changed it."""
        self._after_round_trip(self._fetch)

    def call_refused(self) -> None:
        """End the pending call, because the service refuses calls from now on."""
        self._service.subscribers.pop(self, None)
        self._after_round_trip(self._fetch)

    def _fetch(self) -> None:
        if not self._is_subscribed or not self._service.is_alive(self):
            return
        if self._service.down:
            self._is_subscribed = False
            self._core.list_failed()
            return
        self._service.subscribers[self] = None
        if self._version == self._service.version:
            return
        self._version = self._service.version
        members = self._service.members()
        for member in members:
            entry = member.entry
            state = (entry.state.value, entry.started_us)
            if self._recorded.get(entry.node) != state:
                self._recorded[entry.node] = state
                self._service.record(self._head_id, entry)
        self._list_received(members)

    def _localised(self, member: Member) -> Member:
        return member  # all emulated machines share one clock


class EmulatedListService(ListService):
    """A list service that notifies its subscribers of each change by calls."""

    def __init__(self, hub: Hub, network: Any, recorder: rec.Recorder | None) -> None:
        self.subscribers: dict[EmulatedListing, None] = {}
        self.version = 0
        self._is_down = False
        self.killed_heads: set[int] = set()
        super().__init__(hub, network, recorder)

    def start(self, scope: Scope, address: tuple[str, int] = ("127.0.0.1", 0)) -> None:
        """Do nothing: heads are notified by calls, so nothing listens."""

    @property
    def down(self) -> bool:
        """Whether every call is refused."""
        return self._is_down

    @down.setter
    def down(self, down: bool) -> None:
        self._is_down = down
        if down:
            for subscriber in list(self.subscribers):
                subscriber.call_refused()

    def is_alive(self, listing: EmulatedListing) -> bool:
        """Whether the head of a node list still runs."""
        return listing._head_id not in self.killed_heads

    def set_member(self, member: Member) -> None:
        """Publish a node's state."""
        self._members[member.entry.node] = member
        self.version += 1
        for subscriber in list(self.subscribers):
            subscriber.list_changed()

    def members(self) -> list[Member]:
        """Return all published nodes."""
        return list(self._members.values())

    def record(self, head: int, entry: api.NodeEntry) -> None:
        """Record that a head receives a node's state for the first time."""
        if self._recorder is not None:
            self._recorder.add(rec.NodeListed(t=self._hub.now(), head=head, node=entry.node,
                                        state=entry.state.value, started_us=entry.started_us))  # fmt: skip


class EmulatedConnection(Connection):
    """A client's connection to a head, with delayed calls in place of messages."""

    def __init__(self, delays: NetworkDelays, hub: Hub, recorder: rec.Recorder, volume: str, slot: HeadSlot,
                 supports_hints: bool, patience_us: int) -> None:  # fmt: skip
        super().__init__(
            hub, MemoryNetwork(hub), recorder, volume, slot.name, None, supports_hints, patience_us
        )
        self._delays, self._slot = delays, slot
        self._open: dict[_OpenRequest, None] = {}
        self._is_connected = False
        self._connection_lost = Event(hub)
        self._unread: deque[tuple[_OpenRequest, ClientRequest]] = deque()  # not yet read by the head
        self._queued: QueuedRequest | None = None  # the request that waits for admission

    @property
    def up(self) -> bool:
        """Whether requests can be sent."""
        return self._is_connected

    def stay_connected(self, scope: Scope) -> None:
        """Open the connection, and reopen it after each loss (the connection's task)."""
        while True:
            if not self._is_connected and self.address is not None:
                self._hub.sleep(4 * self._delays.client_delay())
                if self.address is not None:
                    self._incarnation += 1
                    self._is_connected = True
                    self._connection_lost.clear()
                    self._connection_lost.wait()
            self._hub.sleep(RECONNECT_US)

    def disconnect(self) -> None:
        """Close the connection from the client's side."""
        if self._is_connected:
            self._recorder.add(rec.ClientLeft(t=self._hub.now(), client=self.name))
            self.connection_lost(self._slot.head)

    def connection_lost(self, head: Head | None) -> None:
        """Report the loss of the connection to both sides; the head learns of it one delay later."""
        self._is_connected = False
        self._connection_lost.set()
        lost, self._open = self._open, {}
        self._unread.clear()
        if (queued := self._queued) is not None and head is not None:
            self._hub.at_for(head, self._hub.now() + self._delays.client_delay(),
                             partial(head.reception.reject_queued, queued, CLOSING))  # fmt: skip
        self._queued = None
        for open_request in lost:
            if head is not None and open_request.request is not None:
                request = open_request.request
                self._hub.at_for(head, self._hub.now() + self._delays.client_delay(),
                                 partial(head.reception.client_left, request))  # fmt: skip
            open_request.on_reply(None)

    def start(self, kind: str, start: int, length: int, data: bytes,
              on_reply: Callable[[Reply | None], None]) -> None:  # fmt: skip
        """Send a request."""
        head, open_request = self._slot.head, _OpenRequest(self, on_reply)
        assert head is not None
        self._open[open_request] = None
        size = len(data) if kind == "write" else length * SECTOR

        def arrive() -> None:
            if open_request not in self._open:
                return  # the connection was lost in the meantime
            volume = head.core.volumes[self.volume]
            command = KINDS[CLIENT_COMMANDS[kind]]
            request = ClientRequest(
                volume, command, start * SECTOR, size, data, 0, open_request, arrived_at=arrival
            )
            self._unread.append((open_request, request))
            self._read_requests(head)

        arrival = self._hub.now() + self._delays.client_delay()
        self._hub.at_for(head, arrival, arrive)

    def _read_requests(self, head: Head) -> None:
        """Read the arrived requests at the head, until one of this connection waits for admission."""
        while self._unread and self._queued is None:
            open_request, request = self._unread.popleft()
            on_decision = partial(self._admission_decided, head, open_request, request)
            self._queued = head.reception.admit_or_queue(self, request, len(self._open) - 1, on_decision)

    def _admission_decided(
        self, head: Head, open_request: _OpenRequest, request: ClientRequest, rejection: Rejection | None
    ) -> None:
        waited, self._queued = self._queued is not None, None
        if open_request not in self._open:
            head.reception.release(request)
            return
        if rejection is not None:
            open_request.send_reply(Reply(0, *error_of_rejection(rejection)))
        else:
            open_request.request = request
            head.reception.submit(request)
        if waited:
            self._read_requests(head)

    def deliver(self, open_request: _OpenRequest, reply: Reply) -> None:
        """Deliver a reply to the client after a delay."""

        def arrive() -> None:
            if open_request in self._open:
                del self._open[open_request]
                open_request.on_reply(reply)

        self._hub.at_outside(self._hub.now() + self._delays.client_delay(), arrive)


@dataclass(slots=True, eq=False)
class _OpenRequest:
    """A request that a client has sent, with the path of its reply."""

    connection: EmulatedConnection
    on_reply: Callable[[Reply | None], None]
    request: ClientRequest | None = None

    def send_reply(self, reply: Reply) -> None:
        """Send a reply to the client."""
        self.connection.deliver(self, reply)

    def answer(self, request: ClientRequest) -> None:
        """Send the request's single final answer (called by the head)."""
        if request.outcome is not Outcome.SERVED:
            self.send_reply(Reply(0, *error_of(request)))
        elif request.kind is Kind.READ:
            self.send_reply(Reply(0, data=request.bytes_read()))
        else:
            self.send_reply(Reply(0))


@dataclass(slots=True)
class EmulatedNetwork:
    """The nodes that emulated links can reach, and the delays of the network."""

    delays: NetworkDelays
    nodes: dict[str, EmulatedNode] = field(default_factory=dict)


# Creates a variant of a head's decision module from its settings, its seed and a function that returns the
# actual wait at a node.
ModuleFactory = Callable[[api.Settings, int, Callable[[str], float]], Any]


class _EmulatedRigBase(Rig):
    """The factories that both emulated rigs override."""

    module_factory: ModuleFactory | None = None

    def __init__(self, hub: Hub, network: Any, day: DaySettings, seed: int, *more: Any) -> None:
        self.emulated_network = EmulatedNetwork(NetworkDelays(hub, day.net, seed + 1))
        super().__init__(hub, network, day, seed, *more)

    def new_list_service(self) -> ListService:
        """Create a list service."""
        return EmulatedListService(self.hub, self.network, self.recorder)

    def new_node(
        self, settings: NodeStandInSettings, storage: ShardStorage, meter: UsageMeter, seed: int
    ) -> NodeServer:
        """Create a storage node."""
        node = EmulatedNode(self.hub, self.network, settings, storage, self.recorder, meter, seed)
        node.address = ("127.0.0.1", 30_000 + len(self.emulated_network.nodes))
        self.emulated_network.nodes[settings.name] = node
        return node

    def new_connection(self, volume: str, slot: HeadSlot) -> Connection:
        """Create a client's connection to a head."""
        hints_and_patience = self.hints_and_patience(volume)
        return EmulatedConnection(
            self.emulated_network.delays, self.hub, self.recorder, volume, slot, *hints_and_patience
        )

    def wiring(self, slot: HeadSlot) -> Wiring:
        """Return a head's components: emulated links and node list, and the module's variant if any."""
        network, list_service = self.emulated_network, self.emulated_list_service_of(slot)

        def new_links(head: HeadParts) -> Links:
            return EmulatedLinks(network, slot.head, slot.zone, head)

        def new_listing(head: HeadParts) -> Listing:
            return EmulatedListing(list_service, slot.head, network.delays, head)

        if self.module_factory is None:
            return replace(super().wiring(slot), links=new_links, listing=new_listing)
        factory = self.module_factory
        return Wiring(
            new_links, new_listing, lambda settings, seed: factory(settings, seed, self.actual_wait_us)
        )

    def emulated_list_service_of(self, slot: HeadSlot) -> EmulatedListService:
        """Return the list service that a head uses."""
        return self.list_service  # type: ignore[return-value]

    def actual_wait_us(self, node_name: str) -> float:
        """Return the wait in microseconds of a request sent to a node now; infinite if it does not answer."""
        node = self.emulated_network.nodes[node_name]
        if not node.up or node.faults.hang or node.collapsed:
            return float("inf")
        return node.expected_wait_us()

    def kill_head(self, slot: HeadSlot) -> None:
        """Kill a head without a shutdown."""
        head = slot.head
        super().kill_head(slot)
        assert head is not None
        self.emulated_list_service_of(slot).killed_heads.add(head.head_id)
        for connection in slot.connections:
            assert isinstance(connection, EmulatedConnection)
            connection.connection_lost(None)


class EmulatedRig(_EmulatedRigBase):
    """An emulated rig with one region."""


class EmulatedRegionRig(_EmulatedRigBase, RegionRig):
    """An emulated rig with two regions."""

    def emulated_list_service_of(self, slot: HeadSlot) -> EmulatedListService:
        """Return the list service of a head's region."""
        return self.list_services[slot.zone]  # type: ignore[return-value]


def emulate(day: DaySettings, seed: int, recorder: rec.Recorder, module_factory: ModuleFactory | None = None,
            watch: Callable[[Rig], None] | None = None) -> Rig:  # fmt: skip
    """Run a day in the emulator, recording into `recorder`; return the rig in its final state.

    `module_factory` creates another decision module for every head; `watch` is called once, before the first
    request.
    """
    hub = Hub.virtual(seed)
    rig_class = EmulatedRegionRig if day.two_regions is not None else EmulatedRig
    rig = rig_class(hub, MemoryNetwork(hub), day, seed, recorder)
    rig.module_factory = module_factory
    if watch is not None:
        hub.at(hub.now(), lambda: watch(rig))
    thresholds = gc.get_threshold()
    # Requests and parts form reference cycles and most live long, so frequent collections would free little.
    gc.set_threshold(50_000, 20, 20)
    try:
        hub.run(rig.run)
    finally:
        gc.set_threshold(*thresholds)
    return rig
