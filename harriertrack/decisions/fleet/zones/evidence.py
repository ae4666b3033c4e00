"""What one head sees of each zone: how many of the nodes that it used lately answer, and how many do not.

A node answers if any answer came in the window, whatever it said: full, late and refusing nodes are there. It
does not if nothing came for a while though it was asked more than once. Counted are nodes, so that one bad
node of eight says little of its zone. Pure.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from harriertrack.decisions.interface import AttemptEnded, Event, NodeEntry, RequestArrived, Result, Send

WINDOW_US = 2_000_000  # what was seen before is forgotten
SILENT_US = 500_000  # without an answer, after which a node that was asked does not answer
ASKED = 2  # times
MOST_ZONES = 16  # in one report: those with the most trouble
SLOT_US = 250_000  # counts are of the two whole slots before
GAIN = 0.2  # weight of one answer in what a node's answers take
BEST_UP = 0.003  # the best rises by this part with each answer: a node may have slowed for good
MOST_OPEN = 4096  # new objects that are remembered until they are answered
ANSWERS = (Result.OK, Result.ERROR, Result.FULL)
NOTHING = (Result.CANCELLED, Result.MOOT)  # say nothing of the node


@dataclass(frozen=True, slots=True)
class ZoneObservation:
    """What a head sees of a zone: nodes that answer, nodes that do not, and requests that say so."""

    zone: str
    responding: int
    silent: int
    requests: int
    served: int = 0  # requests that it answered well, in half a second
    movable: int = 0  # ... that were new objects: they could have gone elsewhere
    reserved: int = 0  # ... and of plans with a reservation
    wasted: int = 0  # attempts at nodes that do not answer, in half a second
    busy: int = 0  # percent: how much longer than at best its answers take, of their whole time


@dataclass(slots=True)
class _Node:
    zone: str
    heard_at: int = -WINDOW_US
    asked_since: int = -1  # the first request since it was heard; -1: none
    asked: int = 0
    lost: int = 0  # of those, that ended without an answer
    latest: int = -WINDOW_US  # when it was asked last
    takes: float = 0.0  # us, mean of its answers
    best: float = 0.0

    def bad(self, now: int) -> bool:
        """Whether it does not answer."""
        silent = self.asked_since >= 0 and now - self.asked_since > SILENT_US
        return self.asked >= ASKED and (silent or self.lost >= ASKED)

    def took(self, us: int) -> None:
        """It answered after so long."""
        self.takes += GAIN * (us - self.takes) if self.takes else us
        self.best = min(self.takes, self.best * (1 + BEST_UP)) if self.best else self.takes


@dataclass(slots=True)
class _Zone:
    """What was counted of a zone: served, moved, reserved and wasted, by slot."""

    slots: deque[tuple[int, list[int]]] = field(default_factory=lambda: deque(maxlen=3))

    def count(self, now: int, what: int) -> None:
        number = now // SLOT_US
        if not self.slots or self.slots[-1][0] != number:
            self.slots.append((number, [0, 0, 0, 0]))
        self.slots[-1][1][what] += 1

    def lately(self, now: int) -> list[int]:
        number = now // SLOT_US
        counted = [counts for slot, counts in self.slots if number - 2 <= slot < number]
        return [sum(column) for column in zip(*counted, strict=True)] if counted else [0, 0, 0, 0]


SERVED, MOVED, RESERVED, WASTED = range(4)


class Evidence:
    """One head's."""

    def __init__(self, reserving: Collection[str] = ()) -> None:
        """Begin; `reserving`: the plans with a reservation."""
        self._nodes: dict[str, _Node] = {}
        self._zones: dict[str, _Zone] = {}
        self._reserving = frozenset(reserving)
        self._new: dict[int, bool] = {}  # new objects under way, and whether their plans reserve

    def set_nodes(self, entries: Iterable[NodeEntry]) -> None:
        """Take the list, as it is told by those who keep it."""
        fresh = {entry.node: entry.zone for entry in entries}
        for name in self._nodes.keys() - fresh.keys():
            del self._nodes[name]
        for name, zone in fresh.items():
            self._nodes.setdefault(name, _Node(zone)).zone = zone
        self._zones = {zone: self._zones.get(zone, _Zone()) for zone in fresh.values()}

    def record_send(self, now: int, send: Send) -> None:
        """A request goes to a node."""
        if (node := self._nodes.get(send.node)) is not None:
            if node.bad(now):
                self._zones[node.zone].count(now, WASTED)
            node.asked += 1
            node.latest = now
            if node.asked_since < 0:
                node.asked_since = now

    def record_result(self, now: int, event: AttemptEnded) -> None:
        """An attempt ended."""
        node = self._nodes.get(event.node)
        if node is None or event.result in NOTHING:
            return
        if event.result in ANSWERS:
            node.heard_at, node.asked_since, node.asked, node.lost = now, -1, 0, 0
            if event.result is Result.OK:
                self._served(now, node, event)
        else:
            node.lost += 1

    def _served(self, now: int, node: _Node, event: AttemptEnded) -> None:
        node.took(max(1, event.elapsed_us))
        zone = self._zones[node.zone]
        zone.count(now, SERVED)
        reserves = self._new.pop(event.request, None)
        if reserves is not None:
            zone.count(now, MOVED)
            if reserves:
                zone.count(now, RESERVED)

    def record_arrival(self, ask: RequestArrived) -> None:
        """A request came."""
        if ask.shard < 0:
            while len(self._new) >= MOST_OPEN:
                del self._new[next(iter(self._new))]  # of those that were refused nobody tells
            self._new[ask.request] = ask.plan in self._reserving

    def follow(self, now: int, events: Iterable[Event], actions: Iterable[object]) -> None:
        """See what a module heard and did."""
        for event in events:
            if isinstance(event, AttemptEnded):
                self.record_result(now, event)
            elif isinstance(event, RequestArrived):
                self.record_arrival(event)
        for action in actions:
            if isinstance(action, Send):
                self.record_send(now, action)

    def forget_zone(self, zone: str) -> None:
        """Drop what was seen of a zone: it is used no more, or again, and that says nothing of it now."""
        for name, node in self._nodes.items():
            if node.zone == zone:
                self._nodes[name] = _Node(zone)

    def reachable_zones(self, now: int, part: float) -> set[str]:
        """Return the zones of whose nodes, of those that were asked lately, such a part answered just now."""
        asked: dict[str, int] = {}
        heard: dict[str, int] = {}
        for node in self._nodes.values():
            if node.latest >= now - WINDOW_US:
                asked[node.zone] = asked.get(node.zone, 0) + 1
                heard[node.zone] = heard.get(node.zone, 0) + (node.heard_at > now - SILENT_US)
        return {zone for zone, number in asked.items() if heard[zone] >= max(1.0, part * number)}

    def report(self, now: int) -> tuple[ZoneObservation, ...]:
        """Return what is seen now, the zones with the most trouble first."""
        found: dict[str, list[int]] = {}
        busy: dict[str, list[float]] = {}
        for node in self._nodes.values():
            if node.latest < now - WINDOW_US:
                continue
            bad = node.bad(now)
            if bad or node.heard_at >= now - WINDOW_US:
                sums = found.setdefault(node.zone, [0, 0, 0])
                sums[bad] += 1
                sums[2] += node.asked
                busy.setdefault(node.zone, []).append(1 - node.best / node.takes if node.takes else 0.0)
        sights = []
        for zone, (good, silent, requests) in found.items():
            served, moved, reserved, wasted = self._zones[zone].lately(now)
            percent = round(100 * sum(busy[zone]) / len(busy[zone]))
            sights.append(
                ZoneObservation(zone, good, silent, requests, served, moved, reserved, wasted, percent)
            )
        return tuple(sorted(sights, key=lambda one: (-one.silent, one.zone))[:MOST_ZONES])
