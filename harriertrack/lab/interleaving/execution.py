"""Executes one schedule of a scenario from the initial state.

The search is stateless: greenlets can't be copied, so every schedule is executed from the start. The explorer
selects each step by name through a `Pick`; executed steps are recorded as events with their dependency
footprints, which is all that the searches need.
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
NEVER = "never: "  # the fault does not occur: offered when no other step is enabled


class NotRepeatable(RuntimeError):
    """A recorded schedule can't be replayed: the scenario depends on state outside its world."""


class Outcome(Enum):
    """How a schedule ended."""

    REST = "rest"  # no step is enabled any more
    BREACH = "breach"
    CUT = "cut"  # the explorer abandoned the schedule


@dataclass(frozen=True, slots=True)
class Event:
    """An executed step."""

    step: str
    footprint: Footprint
    offered: tuple[str, ...]  # the enabled steps, in the hub's default order
    since: int  # index of the event that enabled it; -1: enabled from the start
    at: int  # microseconds since the start of the schedule
    alone: bool = False  # enabled only when nothing but faults is


# Maps the executed events and the enabled steps to the next step; None abandons the schedule.
Pick = Callable[[list[Event], tuple[str, ...]], str | None]


@dataclass(slots=True)
class Execution:
    """The result of one schedule."""

    events: list[Event] = field(default_factory=list)
    outcome: Outcome = Outcome.CUT
    breach: str = ""
    end: View = ()
    left: tuple[str, ...] = ()  # steps that were still enabled at the end

    @property
    def schedule(self) -> tuple[str, ...]:
        """Return the names of the executed steps."""
        return tuple(event.step for event in self.events)


class _Scheduler:
    """Chooses steps as a `Pick` selects them, and records their footprints."""

    def __init__(self, scenario: Scenario, pick: Pick, newest: bool) -> None:
        self._scenario, self._pick, self._newest = scenario, pick, newest
        self.world = World(self)
        self.names = Names(self.world.hub)
        self.found = Execution()
        self._view: View = ()
        self._since: dict[str, int] = {}
        self._running: tuple[str, str, tuple[str, ...], Step | Fault] | None = None
        self._live: set[int] = set()
        self._polled: set[str] = set()  # descriptor events delivered since a task last ran
        self._was_ready: set[Task] = set()

    def choose(self, steps: list[Step]) -> Step | None:
        """Return the step to run next; None ends the schedule."""
        while True:
            self._record_step(steps)
            found, world = self.found, self.world
            if (breach := world.breach(self._view)) is not None:
                return self._report_breach(breach)
            offered = self._enabled_steps(steps)
            faults = self._enabled_faults(rest=not offered)
            number = len(found.events)
            names = (*self._default_order(offered, number), *faults)
            if not names:
                if (breach := world.breach_at_end()) is not None:
                    return self._report_breach(breach)
                found.outcome, found.end = Outcome.REST, self._view
                return None
            if number >= self._scenario.most_steps:
                return self._report_breach(
                    f"it does not come to rest within {self._scenario.most_steps} steps"
                )
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

    def _default_order(self, offered: dict[str, tuple[Step, Name]], number: int) -> list[str]:
        """Return the default order, in which turns are counted; with `newest`, time passes last."""
        if not self._newest:
            return list(offered)
        return sorted(offered, key=lambda name: (name == TIME, -self._since.get(name, number)))

    def _enabled_faults(self, rest: bool) -> dict[str, Fault]:
        pending = [fault for fault in self.world.faults if not fault.done]
        never = {f"{NEVER}{fault.name}": fault for fault in pending if rest}
        return {**never, **{f"{FAULT}{fault.name}": fault for fault in pending}}

    def _report_breach(self, breach: str) -> Step | None:
        self.found.outcome, self.found.breach = Outcome.BREACH, breach
        return None

    def _enabled_steps(self, steps: list[Step]) -> dict[str, tuple[Step, Name]]:
        """Return the enabled steps: none of killed processes, none that breaks a channel's delivery order."""
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
                        continue  # the hub's round is not over
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

    def _record_step(self, steps: list[Step]) -> None:
        """Record the footprint of the step that ran last."""
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
                touched.read(CLOCK)  # a timer was cancelled: the next expiry may have changed
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
    """Run one schedule, from the start until the pick or an invariant violation ends it.

    Enabled steps are offered in the hub's default order or, with `newest`, most recently enabled first: a
    task that has started and those that respond to it then run as far as they can before any other.
    """
    scheduler = _Scheduler(scenario, pick, newest)
    world = scheduler.world

    def main() -> None:
        scenario.build(world)
        world.hub.park(lambda: None)

    try:
        world.hub.run(main)
    except Deadlock:
        pass
    finally:
        world.close(scheduler.names.tasks())
    return scheduler.found


def following(schedule: tuple[str, ...]) -> Pick:
    """Return a pick that follows a schedule and then the default order, without faults."""
    return lambda events, names: schedule[len(events)] if len(events) < len(schedule) else names[0]


def replay(scenario: Scenario, schedule: tuple[str, ...]) -> Execution:
    """Replay a recorded schedule, then continue in the hub's default order.

    Raises NotRepeatable if a step is not enabled: the code or the scenario has changed since.
    """
    return execute(scenario, following(schedule))
