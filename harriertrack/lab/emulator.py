"""The emulator: a day with as many machines as one likes, in simulated time, without a byte on a wire.

The production head (its core, decision module, front's bounds, link life, node list and, where there are two
regions, the whole region layer) runs on the virtual clock; storage nodes are the model that the nodes over
sockets run on. What is left out are codecs and streams between clients, heads and storage nodes: a message
is a call at the moment of its arrival. The region layer's own connections, which carry little, stay streams
in memory. docs/emulator.md states each assumption and what the emulator may be trusted for.
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
from harriertrack.runtime.streams import MemoryNetwork
from harriertrack.standin.list_service import ListService
from harriertrack.standin.node import ReceivedRequest, ShardStorage, UsageMeter
from harriertrack.standin.node_server import NodeServer


class Air:
    """What lies between the machines: how long a message takes, drawn from the seed."""

    def __init__(self, hub: Hub, net: NetSettings, seed: int) -> None:
        self.hub, self.net = hub, net
        self._random = random.Random(seed)

    def delay(self, here: str, there: str) -> int:
        """Draw the microseconds from one zone to another."""
        net = self.net
        base = net.same_zone_us if here == there else net.cross_zone_us
        return max(1, int(base * (1 + net.jitter * self._random.random())))

    def client_delay(self) -> int:
        """Draw the microseconds between a client and its head."""
        return max(1, int(self.net.client_us * (1 + self.net.jitter * self._random.random())))


class EmulatedShelf(NodeServer):
    """A storage node that links reach by calls instead of connections."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        self._callers: dict[EmulatedLink, None] = {}
        self._running_here = False
        self.mute = False  # the machine is gone without a reset: who calls gets no answer at all

    def start(self, scope: Scope, cold: bool = False) -> None:
        """Come up; links from before are reset."""
        self._reset_callers()
        self._running_here, self.mute = True, False
        self.boot(cold)

    def stop(self, silent: bool = False) -> None:
        """Go down: links break, or with `silent` just hear nothing any more."""
        self._running_here, self.mute = False, silent
        self.shut_down()
        if silent:
            for caller in self._callers:
                caller.deaf = True
        else:
            self._reset_callers()

    def _reset_callers(self) -> None:
        callers, self._callers = self._callers, {}
        for caller in callers:
            caller.reset()

    @property
    def up(self) -> bool:
        """Whether links can be opened."""
        return self._running_here

    def came(self, link: EmulatedLink) -> None:
        """A link was opened."""
        self._callers[link] = None
        self.storage.fence.admits(link.volume, link.epoch)

    def connection_closed(self, session: Any) -> None:
        """A link ended."""
        self._callers.pop(session, None)
        super().connection_closed(session)


class EmulatedLink(BaseLink):
    """One link of a head to a storage node for a volume: messages in place of a connection."""

    _links: EmulatedLinks

    def __init__(self, links: EmulatedLinks, shelf: EmulatedShelf | None, node: str, volume: str,
                 epoch: int) -> None:  # fmt: skip
        super().__init__(links, node, volume, epoch)
        self.deaf = False  # nothing passes any more, and nobody is told
        self._shelf = shelf
        self._zone = shelf.settings.zone if shelf is not None else ""
        # One TCP connection keeps the order of its messages, however long each takes.
        self._last_there = self._last_back = 0

    # -- the head's side

    def dial(self) -> None:
        """Open the link: some round trips, or a refusal after one, or nothing until the dial's limit."""
        now, air = self._hub.now(), self._links.air
        trip = air.delay(self._links.zone, self._zone) + air.delay(self._zone, self._links.zone)
        shelf = self._shelf
        if shelf is None or not (shelf.up or shelf.mute):
            self._at_head(now + trip, self._end)
        elif not shelf.up or self._cut_off():
            self._at_head(now + self._links.settings.limits.dial_us, self._end)
        else:
            self._at_head(now + air.net.handshake_trips * trip, self._opened)

    def _opened(self) -> None:
        if self.lifecycle.closed:
            return
        if self._shelf is None or not self._shelf.up:
            self._end()
            return
        self._shelf.came(self)
        self._send_waiting()

    def _request(self, cookie: int, attempt: Attempt) -> None:
        part = attempt.part
        kind = part.request.kind
        body = bytes(part.body()) if kind is Kind.WRITE else b""
        offset = 0 if kind is Kind.FLUSH else part.offset
        request = Request(cookie, COMMANDS[kind], self._links.flags(part.request.flags, kind), offset,
                          part.length, body)  # fmt: skip
        self._links.core.attempt_sent(attempt)
        self._to_node(lambda shelf: shelf.receive(self, request, self.volume, self._links.head_id, True))

    def _cancel(self, cookie: int) -> None:
        self._to_node(lambda shelf: shelf.cancel(self, cookie))

    def _close_if_spent(self) -> None:
        if self.lifecycle.can_close:
            self._end()

    def _end(self) -> None:
        """The link is gone, as the head learns now."""
        if self.lifecycle.closed:
            return
        lost = self.lifecycle.close()
        self._links.link_closed(self, "")
        self._links.living.pop(self, None)
        if self._shelf is not None:
            shelf = self._shelf
            self._hub.at_outside(self._hub.now() + 1, lambda: shelf.connection_closed(self))
        now = self._hub.now()
        for attempt, result in lost:
            self._links.core.attempt_ended(now, attempt, result)

    def drop(self) -> None:
        """The head died: its machine resets the link."""
        self.lifecycle.close()
        if self._shelf is not None:
            self._shelf.connection_closed(self)

    def _answered(self, cookie: int, result: api.Result, data: bytes, report: Any) -> None:
        if self.lifecycle.closed:
            return
        self.lifecycle.note_received(self._hub.now())
        attempt = self.lifecycle.match_reply(cookie)
        self._links.core.attempt_ended(self._hub.now(), attempt, result, data, report)
        self._close_if_spent()

    # -- messages

    def _cut_off(self) -> bool:
        shelf = self._shelf
        return self.deaf or (shelf is not None and self._links.head_id in shelf.faults.cut_off)

    def _to_node(self, act: Callable[[EmulatedShelf], None]) -> None:
        shelf = self._shelf
        assert shelf is not None
        now = self._hub.now()
        self._last_there = max(self._last_there, now + self._links.air.delay(self._links.zone, self._zone))

        def arrive() -> None:
            if not self._cut_off() and not self.lifecycle.closed and shelf.up:
                act(shelf)

        self._hub.at_outside(self._last_there, arrive)

    def _at_head(self, when: int, act: Callable[[], None]) -> None:
        self._hub.at_for(self._links.group, when, act)

    # -- the node's side (standin.node.NodeConnection)

    def reset(self) -> None:
        """Break with a reset, which the head learns a little later."""
        if not self._cut_off():
            self._at_head(self._hub.now() + self._links.air.delay(self._zone, self._links.zone), self._end)
        self.deaf = True

    def reply(self, work: ReceivedRequest, result: str, data: bytes) -> None:
        """Carry an answer to the head."""
        if self._cut_off() or self._shelf is None:
            return
        report = self._shelf.record_reply(work, result)
        outcome = api.Result.FULL if result == "unseen" else api.Result.OK
        now = self._hub.now()
        self._last_back = max(self._last_back, now + self._links.air.delay(self._zone, self._links.zone))
        self._at_head(self._last_back, lambda: self._answered(work.request.cookie, outcome, data, report))


class EmulatedLinks(Links):
    """All links of an emulated head."""

    def __init__(self, world: World, group: object, zone: str, head: HeadParts) -> None:
        super().__init__(head)
        self.world, self.group, self.zone, self.air = world, group, zone, world.air
        self.living: dict[EmulatedLink, None] = {}
        self._dead = False  # the head was killed: timers that still come find nothing to send over
        head.scope.spawn("links", self._until_killed)

    def _until_killed(self) -> None:
        try:
            Event(self.hub).wait()
        except Cancelled:
            self._dead = True
            for link in self.living:
                link.drop()
            raise

    def send(self, attempt: Attempt) -> None:
        """Send an attempt, while the head lives."""
        if not self._dead:
            super().send(attempt)

    def open(self, node: str, volume: str, epoch: int) -> BaseLink:
        """Begin to open a link."""
        link = EmulatedLink(self, self.world.shelves.get(node), node, volume, epoch)
        self.living[link] = None
        link.dial()
        return link


class EmulatedListing(Listing):
    """A head's view of the node list: whole lists that arrive some time after each change."""

    def __init__(self, listing: EmulatedListService, group: object, air: Air, head: HeadParts) -> None:
        super().__init__(head)
        self._service, self._group, self._air = listing, group, air
        self._on = False
        self._version = 0
        self._seen: dict[str, tuple[str, int]] = {}

    def subscribe(self, on: bool) -> None:
        """Follow from now on, or stop."""
        if on and not self._on:
            self._later(self._fetch)
        self._on = on
        if not on:
            self._service.followers.pop(self, None)

    def request_now(self) -> None:
        """Ask for the list, whatever is under way."""
        asked_at = self._hub.now()
        self._later(lambda: self._asked(asked_at))

    def _asked(self, asked_at: int) -> None:
        self._fetch()
        self._core.list_call_ended(asked_at, answered=True)

    def _later(self, act: Callable[[], None]) -> None:
        trip = 2 * self._air.delay("", "list") + self._service.response_delay_us
        self._hub.at_for(self._group, self._hub.now() + trip, act)

    def changed(self) -> None:
        """The service knows something new."""
        self._later(self._fetch)

    def broken(self) -> None:
        """The service turns calls away: a waiting one is closed."""
        self._service.followers.pop(self, None)
        self._later(self._fetch)

    def _fetch(self) -> None:
        if not self._on or not self._service.alive(self):
            return
        if self._service.down:
            self._on = False
            self._core.list_failed()
            return
        self._service.followers[self] = None
        if self._version == self._service.version:
            return
        self._version = self._service.version
        members = self._service.members()
        for member in members:
            entry = member.entry
            news = (entry.state.value, entry.started_us)
            if self._seen.get(entry.node) != news:
                self._seen[entry.node] = news
                self._service.record(self._head_id, entry)
        self._list_received(members)

    def _localised(self, member: Member) -> Member:
        return member  # the emulator has one clock


class EmulatedListService(ListService):
    """Tells its followers of each change by calls."""

    def __init__(self, hub: Hub, network: Any, recorder: rec.Recorder | None) -> None:
        self.followers: dict[EmulatedListing, None] = {}
        self.version = 0
        self._turned_away = False
        self.dead: set[int] = set()
        super().__init__(hub, network, recorder)

    def start(self, scope: Scope, address: tuple[str, int] = ("127.0.0.1", 0)) -> None:
        """Nothing listens: heads are told by calls."""

    @property
    def down(self) -> bool:
        """Whether every call is turned away."""
        return self._turned_away

    @down.setter
    def down(self, down: bool) -> None:
        self._turned_away = down
        if down:
            for one in list(self.followers):
                one.broken()

    def alive(self, listing: EmulatedListing) -> bool:
        """Whether the head that asks still runs."""
        return listing._head_id not in self.dead

    def set_member(self, member: Member) -> None:
        """Tell a node's state from now on."""
        self._members[member.entry.node] = member
        self.version += 1
        for one in list(self.followers):
            one.changed()

    def members(self) -> list[Member]:
        """Return what it knows."""
        return list(self._members.values())

    def record(self, head: int, entry: api.NodeEntry) -> None:
        """Record what a head is told of a node that it did not know."""
        if self._recorder is not None:
            self._recorder.add(rec.NodeListed(t=self._hub.now(), head=head, node=entry.node,
                                        state=entry.state.value, started_us=entry.started_us))  # fmt: skip


class EmulatedConnection(Connection):
    """A client's connection to a head, by calls."""

    def __init__(self, air: Air, hub: Hub, recorder: rec.Recorder, volume: str, slot: HeadSlot,
                 supports_hints: bool, patience_us: int) -> None:  # fmt: skip
        super().__init__(
            hub, MemoryNetwork(hub), recorder, volume, slot.name, None, supports_hints, patience_us
        )
        self._air, self._slot = air, slot
        self._open: dict[_Asker, None] = {}
        self._here = False
        self._broke = Event(hub)
        self._unread: deque[tuple[_Asker, ClientRequest]] = deque()  # what the head does not read yet
        self._knock: QueuedRequest | None = None

    @property
    def up(self) -> bool:
        """Whether requests can be sent."""
        return self._here

    def stay_connected(self, scope: Scope) -> None:
        """Open the connection, and open it again after each break (the connection's task)."""
        while True:
            if not self._here and self.address is not None:
                self._hub.sleep(4 * self._air.client_delay())
                if self.address is not None:
                    self._lives += 1
                    self._here = True
                    self._broke.clear()
                    self._broke.wait()
            self._hub.sleep(RECONNECT_US)

    def leave(self) -> None:
        """Break the connection from the client's side."""
        if self._here:
            self._recorder.add(rec.ClientLeft(t=self._hub.now(), client=self.name))
            self.broken(self._slot.head)

    def broken(self, head: Head | None) -> None:
        """The connection is gone: both sides learn it, the head a little later."""
        self._here = False
        self._broke.set()
        lost, self._open = self._open, {}
        self._unread.clear()
        if (knock := self._knock) is not None and head is not None:
            self._hub.at_for(head, self._hub.now() + self._air.client_delay(),
                             partial(head.reception.reject_queued, knock, CLOSING))  # fmt: skip
        self._knock = None
        for asker in lost:
            if head is not None and asker.request is not None:
                request = asker.request
                self._hub.at_for(head, self._hub.now() + self._air.client_delay(),
                                 partial(head.reception.client_left, request))  # fmt: skip
            asker.then(None)

    def start(self, kind: str, start: int, length: int, data: bytes,
              then: Callable[[Reply | None], None]) -> None:  # fmt: skip
        """Send a request."""
        head, asker = self._slot.head, _Asker(self, then)
        assert head is not None
        self._open[asker] = None
        size = len(data) if kind == "write" else length * SECTOR

        def arrive() -> None:
            if asker not in self._open:
                return  # the connection broke before
            volume = head.core.volumes[self.volume]
            command = KINDS[CLIENT_COMMANDS[kind]]
            request = ClientRequest(volume, command, start * SECTOR, size, data, 0, asker, arrived_at=when)
            self._unread.append((asker, request))
            self._read_on(head)

        when = self._hub.now() + self._air.client_delay()
        self._hub.at_for(head, when, arrive)

    def _read_on(self, head: Head) -> None:
        """The head reads what came, unless a request of this connection waits at its door."""
        while self._unread and self._knock is None:
            asker, request = self._unread.popleft()
            entered = partial(self._entered, head, asker, request)
            self._knock = head.reception.admit_or_queue(self, request, len(self._open) - 1, entered)

    def _entered(self, head: Head, asker: _Asker, request: ClientRequest, away: Rejection | None) -> None:
        waited, self._knock = self._knock is not None, None
        if asker not in self._open:
            head.reception.release(request)
            return
        if away is not None:
            asker.give(Reply(0, *error_of_rejection(away)))
        else:
            asker.request = request
            head.reception.submit(request)
        if waited:
            self._read_on(head)

    def deliver(self, asker: _Asker, reply: Reply) -> None:
        """Bring a reply to the client."""

        def arrive() -> None:
            if asker in self._open:
                del self._open[asker]
                asker.then(reply)

        self._hub.at_outside(self._hub.now() + self._air.client_delay(), arrive)


@dataclass(slots=True, eq=False)
class _Asker:
    """One request's way back."""

    connection: EmulatedConnection
    then: Callable[[Reply | None], None]
    request: ClientRequest | None = None

    def give(self, reply: Reply) -> None:
        """Send a reply back."""
        self.connection.deliver(self, reply)

    def answer(self, request: ClientRequest) -> None:
        """Take the one final answer."""
        if request.outcome is not Outcome.SERVED:
            self.give(Reply(0, *error_of(request)))
        elif request.kind is Kind.READ:
            self.give(Reply(0, data=request.bytes_read()))
        else:
            self.give(Reply(0))


@dataclass(slots=True)
class World:
    """What emulated links need to know of the other machines."""

    air: Air
    shelves: dict[str, EmulatedShelf] = field(default_factory=dict)


# A variant of the module for a head: from its settings and seed, and a look at the true state of the nodes.
ModuleFactory = Callable[[api.Settings, int, Callable[[str], float]], Any]


class _Emulated(Rig):
    """What the two emulated rigs have in common."""

    maker: ModuleFactory | None = None

    def __init__(self, hub: Hub, network: Any, day: DaySettings, seed: int, *more: Any) -> None:
        self.world = World(Air(hub, day.net, seed + 1))
        super().__init__(hub, network, day, seed, *more)

    def new_list_service(self) -> ListService:
        """Make a list service."""
        return EmulatedListService(self.hub, self.network, self.recorder)

    def new_node(
        self, settings: NodeStandInSettings, rack: ShardStorage, meter: UsageMeter, seed: int
    ) -> NodeServer:
        """Make a storage node."""
        shelf = EmulatedShelf(self.hub, self.network, settings, rack, self.recorder, meter, seed)
        shelf.address = ("127.0.0.1", 30_000 + len(self.world.shelves))
        self.world.shelves[settings.name] = shelf
        return shelf

    def new_connection(self, volume: str, slot: HeadSlot) -> Connection:
        """Make a client's connection to a head."""
        manners = self.hints_and_patience(volume)
        return EmulatedConnection(self.world.air, self.hub, self.recorder, volume, slot, *manners)

    def wiring(self, slot: HeadSlot) -> Wiring:
        """Wire a head to calls instead of connections, and to a variant of the module."""
        world, listing = self.world, self.listing_for(slot)

        def links(head: HeadParts) -> Links:
            return EmulatedLinks(world, slot.head, slot.zone, head)

        def listed(head: HeadParts) -> Listing:
            return EmulatedListing(listing, slot.head, world.air, head)

        if self.maker is None:
            return replace(super().wiring(slot), links=links, listing=listed)
        maker = self.maker
        return Wiring(links, listed, lambda settings, seed: maker(settings, seed, self.true_wait))

    def listing_for(self, slot: HeadSlot) -> EmulatedListService:
        """Return the list service that a head asks."""
        return self.list_service  # type: ignore[return-value]

    def true_wait(self, node: str) -> float:
        """Return what a request would wait at a node now, in microseconds; infinite if nothing answers."""
        shelf = self.world.shelves[node]
        if not shelf.up or shelf.faults.hang or shelf.collapsed:
            return float("inf")
        return shelf.expected_wait_us()

    def kill_head(self, slot: HeadSlot) -> None:
        """Kill a head outright."""
        head = slot.head
        super().kill_head(slot)
        assert head is not None
        self.listing_for(slot).dead.add(head.head_id)
        for connection in slot.connections:
            assert isinstance(connection, EmulatedConnection)
            connection.broken(None)


class EmulatedRig(_Emulated):
    """A day of one region, emulated."""


class EmulatedRegionRig(_Emulated, RegionRig):
    """A day of two regions, emulated."""

    def listing_for(self, slot: HeadSlot) -> EmulatedListService:
        """Return the list service of a head's region."""
        return self.listings[slot.zone]  # type: ignore[return-value]


def emulate(day: DaySettings, seed: int, recorder: rec.Recorder, maker: ModuleFactory | None = None,
            watch: Callable[[Rig], None] | None = None) -> Rig:  # fmt: skip
    """Play a day in the emulator into a recorder; return its rig as it is at the end.

    `maker` puts another module into every head; `watch` is called once, before the first request.
    """
    hub = Hub.virtual(seed)
    kind = EmulatedRegionRig if day.two_regions is not None else EmulatedRig
    rig = kind(hub, MemoryNetwork(hub), day, seed, recorder)
    rig.maker = maker
    if watch is not None:
        hub.at(hub.now(), lambda: watch(rig))
    before = gc.get_threshold()
    gc.set_threshold(50_000, 20, 20)  # requests and parts refer to each other, and most live for long
    try:
        hub.run(rig.run)
    finally:
        gc.set_threshold(*before)
    return rig
