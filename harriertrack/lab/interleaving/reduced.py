"""Partial-order reduction: one schedule per equivalence class under exchanges of independent steps.

Dynamic partial-order reduction with source sets and sleep sets (Abdulla, Aronis, Jonsson, Sagonas, "Optimal
dynamic partial order reduction", POPL 2014, algorithm 1; Flanagan and Godefroid, POPL 2005). Here a step's
footprint is known only after it has run, so races are detected after each execution, and a step that a later
one disabled (a cancelled timer, a killed process) counts as racing with that one.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from harriertrack.lab.interleaving.execution import Event, Execution, Outcome, execute
from harriertrack.lab.interleaving.footprints import Footprint
from harriertrack.lab.interleaving.search import Limits, Meter, SearchResult
from harriertrack.lab.interleaving.world import Scenario


@dataclass(slots=True)
class _Node:
    """A state on the current path."""

    names: tuple[str, ...]  # enabled steps
    sleep: dict[str, Footprint]  # sleep set: steps that explored paths already cover from here
    chosen: str = ""
    todo: dict[str, None] = field(default_factory=dict)
    done: dict[str, Footprint] = field(default_factory=dict)

    def choose_next(self) -> bool:
        """Choose the next unexplored step of the source set; return whether there is one."""
        for name in self.todo:
            if name not in self.done and name not in self.sleep:
                self.chosen = name
                return True
        return False


def _bits(positions: list[int]) -> int:
    return sum(1 << at for at in positions)


class Reduced:
    """Depth-first search with source sets and sleep sets."""

    def __init__(self, scenario: Scenario, limits: Limits = Limits()) -> None:  # noqa: B008
        self._scenario, self._limits = scenario, limits
        self._nodes: list[_Node] = []
        self._before: list[int] = []  # by event of the path: the events that happen before it, as a bit set

    def run(self) -> SearchResult:
        """Run one schedule per equivalence class, up to the first breach."""
        found, nodes = SearchResult(), self._nodes
        meter = Meter(self._limits, found)
        while not meter.over():
            start = max(0, len(nodes) - 1)  # the last node's choice is the first new event
            one = execute(self._scenario, self._pick)
            found.record(one, len(one.events) - start)
            if one.outcome is Outcome.BREACH:
                break
            self._add_backtrack_points(one, start)
            while nodes and not nodes[-1].choose_next():
                nodes.pop()
            if not nodes:
                found.whole = True
                break
        meter.over()
        return found

    def _pick(self, events: list[Event], names: tuple[str, ...]) -> str | None:
        nodes, number = self._nodes, len(events)
        if number < len(nodes):
            return nodes[number].chosen
        sleep: dict[str, Footprint] = {}
        if events:
            parent, ran = nodes[-1], events[-1].footprint
            others = {**parent.sleep, **parent.done}
            sleep = {name: one for name, one in others.items()
                     if name != parent.chosen and name in names and not one.depends_on(ran)}  # fmt: skip
        node = _Node(names, sleep)
        nodes.append(node)
        node.todo.update(dict.fromkeys([name for name in names if name not in sleep][:1]))
        return node.chosen if node.choose_next() else None

    def _add_backtrack_points(self, one: Execution, start: int) -> None:
        """Detect the races of the new events and add backtrack points that reverse them."""
        events, before = one.events, self._before
        del before[start:]
        for at in range(start, len(events)):
            event = events[at]
            self._nodes[at].done[event.step] = event.footprint
            dependent = [i for i in range(at) if event.footprint.depends_on(events[i].footprint)]
            direct = _bits(dependent) | (1 << event.since if event.since >= 0 else 0)
            closed = direct
            for i in range(at):
                if direct >> i & 1:
                    closed |= before[i]
            before.append(closed)
            later = 0
            for i in range(at):
                if closed >> i & 1:
                    later |= before[i]
            for i in dependent:
                if event.alone and event.step not in events[i].offered:
                    continue  # the earlier event enabled it, so the two do not race
                if i != event.since and not later >> i & 1:
                    self._race(events, i, at)
        self._reverse_disabled(one, start)

    def _race(self, events: list[Event], first: int, second: int) -> None:
        """Add a step that leads to the second event to the source set at the first one."""
        node, before = self._nodes[first], self._before
        free = [i for i in range(first + 1, second) if not before[i] >> first & 1] + [second]
        among = _bits(free)
        initials = [events[i].step for i in free if not before[i] & among]
        if any(name in node.todo or name in node.sleep for name in initials):
            return
        enabled = [name for name in initials if name in node.names]
        node.todo.update(dict.fromkeys(enabled[:1] or node.names))

    def _reverse_disabled(self, one: Execution, start: int) -> None:
        """Also explore the steps that an event disabled before that event."""
        events = one.events
        for at in range(max(0, start), len(events)):
            after = events[at + 1].offered if at + 1 < len(events) else one.left
            gone = [name for name in events[at].offered if name not in after and name != events[at].step]
            self._nodes[at].todo.update(dict.fromkeys(gone))


def explore(scenario: Scenario, limits: Limits = Limits()) -> SearchResult:  # noqa: B008
    """Run one schedule per equivalence class of a scenario, up to the first breach."""
    return Reduced(scenario, limits).run()
