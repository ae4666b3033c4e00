"""One schedule of each kind: schedules that differ by exchanges of independent steps alone are of one kind.

Dynamic partial-order reduction with source sets and sleep sets (Abdulla, Aronis, Jonsson, Sagonas, "Optimal
dynamic partial order reduction", POPL 2014, algorithm 1; Flanagan and Godefroid, POPL 2005). Here a step's
footprint is known once it has run, so races are looked for after each run, and a step that a later one took
away (a timer called off, a process killed) counts as racing with that one.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from harriertrack.lab.interleaving.execution import Event, Execution, Outcome, execute
from harriertrack.lab.interleaving.footprints import Footprint
from harriertrack.lab.interleaving.search import Limits, Meter, SearchResult
from harriertrack.lab.interleaving.world import Scenario


@dataclass(slots=True)
class _Node:
    """A state on the present path."""

    names: tuple[str, ...]  # what may run
    sleep: dict[str, Footprint]  # what need not run here first: other paths stand for that
    chosen: str = ""
    todo: dict[str, None] = field(default_factory=dict)
    done: dict[str, Footprint] = field(default_factory=dict)

    def turn(self) -> bool:
        """Choose what is still to be looked at; return whether anything is."""
        for name in self.todo:
            if name not in self.done and name not in self.sleep:
                self.chosen = name
                return True
        return False


def _bits(positions: list[int]) -> int:
    return sum(1 << at for at in positions)


class Reduced:
    """The search."""

    def __init__(self, scenario: Scenario, limits: Limits = Limits()) -> None:  # noqa: B008
        self._scenario, self._limits = scenario, limits
        self._nodes: list[_Node] = []
        self._before: list[int] = []  # of each event of the path, which ones it follows from, as bits

    def run(self) -> SearchResult:
        """Run one schedule of each kind, up to the first breach."""
        found, nodes = SearchResult(), self._nodes
        meter = Meter(self._limits, found)
        while not meter.over():
            start = max(0, len(nodes) - 1)  # the last node's choice is the first new event
            one = execute(self._scenario, self._pick)
            found.record(one, len(one.events) - start)
            if one.outcome is Outcome.BREACH:
                break
            self._learn(one, start)
            while nodes and not nodes[-1].turn():
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
        return node.chosen if node.turn() else None

    def _learn(self, one: Execution, start: int) -> None:
        """Find the races of the new events, and what is to be looked at for them."""
        events, before = one.events, self._before
        del before[start:]
        for at in range(start, len(events)):
            event = events[at]
            self._nodes[at].done[event.step] = event.footprint
            meets = [i for i in range(at) if event.footprint.depends_on(events[i].footprint)]
            follows = _bits(meets) | (1 << event.since if event.since >= 0 else 0)
            closed = follows
            for i in range(at):
                if follows >> i & 1:
                    closed |= before[i]
            before.append(closed)
            later = 0
            for i in range(at):
                if closed >> i & 1:
                    later |= before[i]
            for i in meets:
                if event.alone and event.step not in events[i].offered:
                    continue  # it waited for that one
                if i != event.since and not later >> i & 1:
                    self._race(events, i, at)
        self._taken_away(one, start)

    def _race(self, events: list[Event], first: int, second: int) -> None:
        """Let what leads to the second event be tried before the first."""
        node, before = self._nodes[first], self._before
        free = [i for i in range(first + 1, second) if not before[i] >> first & 1] + [second]
        among = _bits(free)
        heads = [events[i].step for i in free if not before[i] & among]
        if any(name in node.todo or name in node.sleep for name in heads):
            return
        able = [name for name in heads if name in node.names]
        node.todo.update(dict.fromkeys(able[:1] or node.names))

    def _taken_away(self, one: Execution, start: int) -> None:
        """What could run before an event and not after it is tried before it too."""
        events = one.events
        for at in range(max(0, start), len(events)):
            after = events[at + 1].offered if at + 1 < len(events) else one.left
            gone = [name for name in events[at].offered if name not in after and name != events[at].step]
            self._nodes[at].todo.update(dict.fromkeys(gone))


def explore(scenario: Scenario, limits: Limits = Limits()) -> SearchResult:  # noqa: B008
    """Run one schedule of each kind of a scenario, up to the first breach."""
    return Reduced(scenario, limits).run()
