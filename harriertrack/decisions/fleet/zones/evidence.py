"""What one head sees of each zone: how many of the nodes that it used lately answer, and how many do not.

A node answers if any answer came in the window, whatever it said: full, late and refusing nodes are there. It
does not if nothing came for a while though it was asked more than once. Counted are nodes, so that one bad
node of eight says little of its zone. Pure.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from harriertrack.decisions.interface import Ended, Event, NodeEntry, Result, Send

WINDOW_US = 2_000_000  # what was seen before is forgotten
SILENT_US = 500_000  # without an answer, after which a node that was asked does not answer
ASKED = 2  # times
MOST_ZONES = 16  # in one report: those with the most trouble
ANSWERS = (Result.OK, Result.ERROR, Result.FULL)
NOTHING = (Result.CANCELLED, Result.MOOT)  # say nothing of the node


@dataclass(frozen=True, slots=True)
class Sight:
    """What a head sees of a zone: nodes that answer, nodes that do not, and requests that say so."""

    zone: str
    good: int
    bad: int
    requests: int


@dataclass(slots=True)
class _Node:
    zone: str
    heard_at: int = -WINDOW_US
    asked_since: int = -1  # the first request since it was heard; -1: none
    asked: int = 0
    lost: int = 0  # of those, that ended without an answer
    latest: int = -WINDOW_US  # when it was asked last


class Evidence:
    """One head's."""

    def __init__(self) -> None:
        self._nodes: dict[str, _Node] = {}

    def listed(self, entries: Iterable[NodeEntry]) -> None:
        """Take the list, as it is told by those who keep it."""
        fresh = {entry.node: entry.zone for entry in entries}
        for name in self._nodes.keys() - fresh.keys():
            del self._nodes[name]
        for name, zone in fresh.items():
            self._nodes.setdefault(name, _Node(zone)).zone = zone

    def sent(self, now: int, send: Send) -> None:
        """A request goes to a node."""
        if (node := self._nodes.get(send.node)) is not None:
            node.asked += 1
            node.latest = now
            if node.asked_since < 0:
                node.asked_since = now

    def ended(self, now: int, event: Ended) -> None:
        """An attempt ended."""
        node = self._nodes.get(event.node)
        if node is None or event.result in NOTHING:
            return
        if event.result in ANSWERS:
            node.heard_at, node.asked_since, node.asked, node.lost = now, -1, 0, 0
        else:
            node.lost += 1

    def follow(self, now: int, events: Iterable[Event], actions: Iterable[object]) -> None:
        """See what a module heard and did."""
        for event in events:
            if isinstance(event, Ended):
                self.ended(now, event)
        for action in actions:
            if isinstance(action, Send):
                self.sent(now, action)

    def forget(self, zone: str) -> None:
        """Drop what was seen of a zone: it is used no more, or again, and that says nothing of it now."""
        for name, node in self._nodes.items():
            if node.zone == zone:
                self._nodes[name] = _Node(zone)

    def reached(self, now: int, part: float) -> set[str]:
        """Return the zones of whose nodes, of those that were asked lately, such a part answered just now."""
        asked: dict[str, int] = {}
        heard: dict[str, int] = {}
        for node in self._nodes.values():
            if node.latest >= now - WINDOW_US:
                asked[node.zone] = asked.get(node.zone, 0) + 1
                heard[node.zone] = heard.get(node.zone, 0) + (node.heard_at > now - SILENT_US)
        return {zone for zone, number in asked.items() if heard[zone] >= max(1.0, part * number)}

    def report(self, now: int) -> tuple[Sight, ...]:
        """Return what is seen now, the zones with the most trouble first."""
        found: dict[str, list[int]] = {}
        for node in self._nodes.values():
            if node.latest < now - WINDOW_US:
                continue
            silent = node.asked_since >= 0 and now - node.asked_since > SILENT_US
            bad = node.asked >= ASKED and (silent or node.lost >= ASKED)
            if bad or node.heard_at >= now - WINDOW_US:
                sums = found.setdefault(node.zone, [0, 0, 0])
                sums[bad] += 1
                sums[2] += node.asked
        sights = (Sight(zone, *sums) for zone, sums in found.items())
        return tuple(sorted(sights, key=lambda one: (-one.bad, one.zone))[:MOST_ZONES])
