"""One schedule of a scenario, from the start: greenlets can't be copied, so every schedule is run anew.

The explorer names each step it wants, by a `Pick`; what ran is kept as events with their footprints, which is
all that the searches need.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from harriertrack.lab.interleaving.footprints import CLOCK, SEEN, Footprint
from harriertrack.lab.interleaving.naming import TIME, Name, Names
from harriertrack.lab.interleaving.observed import START
from harriertrack.lab.interleaving.wires import place_name
from harriertrack.lab.interleaving.world import Fault, Scenario, View, World
from harriertrack.runtime.hub import Deadlock, Task
from harriertrack.runtime.led import Step, StepKind

FAULT = "fault: "
NEVER = "never: "  # this fault will not happen: said when nothing else can run


class NotRepeatable(RuntimeError):
    """A schedule that ran before does not run again: the scenario depends on what is not its own."""


class Outcome(Enum):
    """How a schedule ended."""

    REST = "rest"  # nothing can run any more
    BREACH = "breach"
    CUT = "cut"  # the explorer wants no more of it


@dataclass(frozen=True, slots=True)
class Event:
    """A step that ran."""

    step: str
    footprint: Footprint
    offered: tuple[str, ...]  # what could have run instead, in the usual loop's order
    since: int  # the event after which it could run; -1: from the start
    at: int  # microseconds since the start
    alone: bool = False  # it can run only when nothing but faults can


# From what ran and what may run now to what runs; None: no more of this schedule.
Pick = Callable[[list[Event], tuple[str, ...]], str | None]


@dataclass(slots=True)
class Execution:
    """What came of one schedule."""

    events: list[Event] = field(default_factory=list)
    outcome: Outcome = Outcome.CUT
    breach: str = ""
    end: View = ()
    left: tuple[str, ...] = ()  # what could still run at the end

    @property
    def schedule(self) -> tuple[str, ...]:
        """Return the names of what ran."""
        return tuple(event.step for event in self.events)


class _Led:
    """Chooses as a `Pick` says, and watches."""

    def __init__(self, scenario: Scenario, pick: Pick, newest: bool) -> None:
        self._scenario, self._pick, self._newest = scenario, pick, newest
        self.world = World(self)
        self.names = Names(self.world.hub)
        self.found = Execution()
        self._view: View = ()
        self._since: dict[str, int] = {}
        self._running: tuple[str, str, tuple[str, ...], Step | Fault] | None = None
        self._live: set[int] = set()
        self._polled: set[str] = set()  # descriptors' events that were handed over since a task ran last
        self._was_ready: set[Task] = set()

    def choose(self, steps: list[Step]) -> Step | None:
        """Return the step that runs next."""
        while True:
            self._note(steps)
            found, world = self.found, self.world
            if (breach := world.breach(self._view)) is not None:
                return self._end(breach)
            offered = self._offer(steps)
            faults = self._faults(rest=not offered)
            number = len(found.events)
            names = (*self._ordered(offered, number), *faults)
            if not names:
                if (breach := world.breach_at_end()) is not None:
                    return self._end(breach)
                found.outcome, found.end = Outcome.REST, self._view
                return None
            if number >= self._scenario.most_steps:
                return self._end(f"it does not come to rest within {self._scenario.most_steps} steps")
            self._since = {name: self._since.get(name, number - 1) for name in names}
            chosen = self._pick(found.events, names)
            if chosen is None:
                found.left = names
                return None
            if chosen not in names:
                raise NotRepeatable(f"step {number}: {chosen!r} can't run; what can: {names}")
            self._was_ready = {task for task, _ in world.hub._ready}
            if chosen in offered:
                step, name = offered[chosen]
                if step.kind is StepKind.EVENT:
                    self._polled.add(chosen)
                else:
                    self._polled.clear()
                self._running = (chosen, name.place, names, step)
                self.names.ran(step)
                return step
            fault = faults[chosen]
            self._running = (chosen, fault.place, names, fault)
            fault.done = True
            if chosen.startswith(FAULT):
                world.hub._call(fault.place, fault.act)
            steps = world.hub.steps()

    def _ordered(self, offered: dict[str, tuple[Step, Name]], number: int) -> list[str]:
        """Return the order that a schedule keeps to but for its turns: time passes last."""
        if not self._newest:
            return list(offered)
        return sorted(offered, key=lambda name: (name == TIME, -self._since.get(name, number)))

    def _faults(self, rest: bool) -> dict[str, Fault]:
        open_ = [one for one in self.world.faults if not one.done]
        never = {f"{NEVER}{one.name}": one for one in open_ if rest}
        return {**never, **{f"{FAULT}{one.name}": one for one in open_}}

    def _end(self, breach: str) -> Step | None:
        self.found.outcome, self.found.breach = Outcome.BREACH, breach
        return None

    def _offer(self, steps: list[Step]) -> dict[str, tuple[Step, Name]]:
        """Return what may run: nothing of the dead, nothing out of an order that the networks keep."""
        named = [(step, self.names.of(step)) for step in steps]
        dead = self.world.dead
        named = [(step, name) for step, name in named if name.place not in dead]
        ready = {name.place for step, name in named if step.kind is StepKind.TASK}
        ending = {name.place for step, name in named if step.kind is StepKind.CALLBACK} - ready
        offered: dict[str, tuple[Step, Name]] = {}
        channels: set[str] = set()
        due: dict[str, int] = {}
        for step, name in named:
            match step.kind:
                case StepKind.CALLBACK:
                    if name.place in ready:
                        continue  # the round is not over
                case StepKind.TIMER | StepKind.EVENT:
                    first = name.text not in self._polled
                    if name.channel:
                        first = name.channel not in channels
                        channels.add(name.channel)
                    elif step.kind is StepKind.TIMER:
                        first = step.at <= due.setdefault(name.place, step.at)
                    if not first or name.place in ending:
                        continue
                case StepKind.TIME:
                    late = bool(offered) and not self._scenario.lag
                    if late or step.at > START + self._scenario.until_us:
                        continue
            offered[name.text] = (step, name)
        return offered

    def _note(self, steps: list[Step]) -> None:
        """Keep what the step before did."""
        world, running = self.world, self._running
        touched = world.touched
        maker = running[1] if running is not None else ""
        if self.names.learn(maker):
            touched.read(CLOCK)
        live = {id(item[2]) for item in world.hub._timers if item[2].act is not None}
        if running is None:
            touched.finish_step()
        else:
            chosen, place, names, step = running
            done = {id(step.what)} if isinstance(step, Step) else set()
            if self._live - live - done:
                touched.read(CLOCK)  # a timer was called off: the next moment may be another one
            alone = chosen.startswith(NEVER) or (chosen == TIME and not self._scenario.lag)
            if alone:
                touched.mark_unknown()
            elif chosen == TIME:
                pass
            elif place:
                touched.write(place)
            else:
                touched.mark_unknown()
            for task, _ in world.hub._ready:
                if task not in self._was_ready:
                    touched.write(place_name(task.group))
            footprint = touched.finish_step()
            view = world.view()
            if view != self._view:
                footprint = Footprint(footprint.reads, footprint.writes | {SEEN}, footprint.known)
            touched.finish_step()
            at = world.time.peek() - START
            self.found.events.append(Event(chosen, footprint, names, self._since.pop(chosen), at, alone))
        self._view, self._live, self._running = world.view(), live, None
        touched.finish_step()


def execute(scenario: Scenario, pick: Pick, newest: bool = False) -> Execution:
    """Run one schedule, from the start to where the pick or a breach ends it.

    What can run is offered in the usual loop's order, or `newest` first: then whoever began goes on, with all
    who answer it, as far as it comes.
    """
    led = _Led(scenario, pick, newest)
    world = led.world

    def main() -> None:
        scenario.build(world)
        world.hub.park(lambda: None)

    try:
        world.hub.run(main)
    except Deadlock:
        pass
    finally:
        world.close(led.names.tasks())
    return led.found


def following(schedule: tuple[str, ...]) -> Pick:
    """Return a pick that follows a schedule, and then the order of what is offered, without faults."""
    return lambda events, names: schedule[len(events)] if len(events) < len(schedule) else names[0]


def replay(scenario: Scenario, schedule: tuple[str, ...]) -> Execution:
    """Run a schedule that was found, and from its end on as the usual loop would.

    Raises NotRepeatable if it can't be run: the code or the scenario has changed since.
    """
    return execute(scenario, following(schedule))
