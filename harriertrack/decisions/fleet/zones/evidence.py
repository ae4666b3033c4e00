"""One head's observation of each zone: how many of the nodes that it used lately answer, and how many do not.

A node answers if any answer arrived within the window, whatever its result: full, late and refusing nodes are
up. It is silent if it got more than one request and no answer for a while. Nodes are counted rather than
requests, so that one bad node of eight says little about its zone. Pure.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from harriertrack.decisions.interface import AttemptEnded, Event, NodeEntry, RequestArrived, Result, Send

WINDOW_US = 2_000_000  # older observations are ignored
SILENT_US = 500_000  # without an answer to a request, after which a node counts as silent
MIN_REQUESTS = 2  # to a node before it can count as silent
MAX_ZONES = 16  # in one report: those with the most silent nodes
SLOT_US = 250_000  # counts cover the two complete slots before
GAIN = 0.2  # weight of one answer in a node's mean answer time
BEST_UP = 0.003  # the best time rises by this part with each answer: a node may have become slower for good
MAX_OPEN = 4096  # new objects that are remembered until they are answered
ANSWERS = (Result.OK, Result.ERROR, Result.FULL)
IGNORED = (Result.CANCELLED, Result.MOOT)  # say nothing about the node


@dataclass(frozen=True, slots=True)
class ZoneObservation:
    """A head's observation of a zone: nodes that answer, silent nodes, and the requests this is based on."""

    zone: str
    responding: int
    silent: int
    requests: int
    served: int = 0  # successful answers, in half a second
    movable: int = 0  # of these, new objects, which could have gone elsewhere
    reserved: int = 0  # of those, by plans with a reservation
    wasted: int = 0  # attempts at silent nodes, in half a second
    busy: int = 0  # percent of the answer time beyond the best answer time


@dataclass(slots=True)
class _Node:
    zone: str
    answered_at: int = -WINDOW_US
    unanswered_since: int = -1  # the first request since its last answer; -1: none
    requests: int = 0  # since its last answer
    lost: int = 0  # of those, ended without an answer
    latest: int = -WINDOW_US  # time of the latest request
    mean_us: float = 0.0  # of its answer times
    best_us: float = 0.0

    def is_silent(self, now: int) -> bool:
        """Whether the node does not answer."""
        silent = self.unanswered_since >= 0 and now - self.unanswered_since > SILENT_US
        return self.requests >= MIN_REQUESTS and (silent or self.lost >= MIN_REQUESTS)

    def record_answer(self, us: int) -> None:
        """Update the answer times with one answer."""
        self.mean_us += GAIN * (us - self.mean_us) if self.mean_us else us
        self.best_us = min(self.mean_us, self.best_us * (1 + BEST_UP)) if self.best_us else self.mean_us


@dataclass(slots=True)
class _Zone:
    """Counts of a zone by slot: served, movable, reserved and wasted."""

    slots: deque[tuple[int, list[int]]] = field(default_factory=lambda: deque(maxlen=3))

    def count(self, now: int, what: int) -> None:
        number = now // SLOT_US
        if not self.slots or self.slots[-1][0] != number:
            self.slots.append((number, [0, 0, 0, 0]))
        self.slots[-1][1][what] += 1

    def last_slots(self, now: int) -> list[int]:
        number = now // SLOT_US
        counted = [counts for slot, counts in self.slots if number - 2 <= slot < number]
        return [sum(column) for column in zip(*counted, strict=True)] if counted else [0, 0, 0, 0]


SERVED, MOVABLE, RESERVED, WASTED = range(4)


class Evidence:
    """What one head observes of all zones."""

    def __init__(self, reserving: Collection[str] = ()) -> None:
        """`reserving`: names of the plans with a reservation."""
        self._nodes: dict[str, _Node] = {}
        self._zones: dict[str, _Zone] = {}
        self._reserving = frozenset(reserving)
        self._new_objects: dict[int, bool] = {}  # in progress, and whether their plans have a reservation

    def set_nodes(self, entries: Iterable[NodeEntry]) -> None:
        """Apply the node list as announced, without the overlay of zone decisions."""
        fresh = {entry.node: entry.zone for entry in entries}
        for name in self._nodes.keys() - fresh.keys():
            del self._nodes[name]
        for name, zone in fresh.items():
            self._nodes.setdefault(name, _Node(zone)).zone = zone
        self._zones = {zone: self._zones.get(zone, _Zone()) for zone in fresh.values()}

    def record_send(self, now: int, send: Send) -> None:
        """Record an attempt sent to a node."""
        if (node := self._nodes.get(send.node)) is not None:
            if node.is_silent(now):
                self._zones[node.zone].count(now, WASTED)
            node.requests += 1
            node.latest = now
            if node.unanswered_since < 0:
                node.unanswered_since = now

    def record_result(self, now: int, event: AttemptEnded) -> None:
        """Record the end of an attempt."""
        node = self._nodes.get(event.node)
        if node is None or event.result in IGNORED:
            return
        if event.result in ANSWERS:
            node.answered_at, node.unanswered_since, node.requests, node.lost = now, -1, 0, 0
            if event.result is Result.OK:
                self._record_success(now, node, event)
        else:
            node.lost += 1

    def _record_success(self, now: int, node: _Node, event: AttemptEnded) -> None:
        node.record_answer(max(1, event.elapsed_us))
        zone = self._zones[node.zone]
        zone.count(now, SERVED)
        reserves = self._new_objects.pop(event.request, None)
        if reserves is not None:
            zone.count(now, MOVABLE)
            if reserves:
                zone.count(now, RESERVED)

    def record_arrival(self, request: RequestArrived) -> None:
        """Record the arrival of a request."""
        if request.shard < 0:
            while len(self._new_objects) >= MAX_OPEN:
                del self._new_objects[next(iter(self._new_objects))]  # no event reports refused requests
            self._new_objects[request.request] = request.plan in self._reserving

    def follow(self, now: int, events: Iterable[Event], actions: Iterable[object]) -> None:
        """Observe the events and actions of a module."""
        for event in events:
            if isinstance(event, AttemptEnded):
                self.record_result(now, event)
            elif isinstance(event, RequestArrived):
                self.record_arrival(event)
        for action in actions:
            if isinstance(action, Send):
                self.record_send(now, action)

    def forget_zone(self, zone: str) -> None:
        """Drop all observations of a zone whose use has stopped or resumed: they no longer apply."""
        for name, node in self._nodes.items():
            if node.zone == zone:
                self._nodes[name] = _Node(zone)

    def reachable_zones(self, now: int, part: float) -> set[str]:
        """Return the zones where at least this part of the lately requested nodes answered just now."""
        requested: dict[str, int] = {}
        answered: dict[str, int] = {}
        for node in self._nodes.values():
            if node.latest >= now - WINDOW_US:
                requested[node.zone] = requested.get(node.zone, 0) + 1
                answered[node.zone] = answered.get(node.zone, 0) + (node.answered_at > now - SILENT_US)
        return {zone for zone, number in requested.items() if answered[zone] >= max(1.0, part * number)}

    def report(self, now: int) -> tuple[ZoneObservation, ...]:
        """Return the present observations, zones with the most silent nodes first."""
        found: dict[str, list[int]] = {}
        busy: dict[str, list[float]] = {}
        for node in self._nodes.values():
            if node.latest < now - WINDOW_US:
                continue
            is_silent = node.is_silent(now)
            if is_silent or node.answered_at >= now - WINDOW_US:
                sums = found.setdefault(node.zone, [0, 0, 0])
                sums[is_silent] += 1
                sums[2] += node.requests
                busy.setdefault(node.zone, []).append(
                    1 - node.best_us / node.mean_us if node.mean_us else 0.0
                )
        observations = []
        for zone, (responding, silent, requests) in found.items():
            served, movable, reserved, wasted = self._zones[zone].last_slots(now)
            percent = round(100 * sum(busy[zone]) / len(busy[zone]))
            observations.append(
                ZoneObservation(
                    zone, responding, silent, requests, served, movable, reserved, wasted, percent
                )
            )
        return tuple(sorted(observations, key=lambda one: (-one.silent, one.zone))[:MAX_ZONES])
