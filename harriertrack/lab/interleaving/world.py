"""The system under exploration: production code in a few places on one hub, and its invariants.

A scenario builds a new world for each schedule. Invariants are checked on a *view*: a tuple of plain values,
each read from one place. `judge` checks the view after every step and returns the violation; `finish` checks
the end of a schedule, when no step is enabled any more.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from dataclasses import dataclass

from harriertrack.lab.interleaving.footprints import FootprintRecorder
from harriertrack.lab.interleaving.observed import ObservedRandom, ObservedTime
from harriertrack.lab.interleaving.wires import Place, Posts, Wires, place_name
from harriertrack.runtime.hub import Cancelled, Task
from harriertrack.runtime.led import StepChooser, SteppedHub

View = tuple[Hashable, ...]


@dataclass(slots=True)
class Fault:
    """An event that may occur once, at any time or never: a kill, an operator's command."""

    name: str
    place: Place
    act: Callable[[], None]
    done: bool = False


class World:
    """The hub, clock, networks and invariants of one schedule."""

    def __init__(self, chooser: StepChooser, seed: int = 0) -> None:
        self.touched = FootprintRecorder()
        self.time = ObservedTime(self.touched)
        self.hub = SteppedHub(chooser, self.time, None, seed)
        self.hub.random = ObservedRandom(self.touched, seed)
        self.network, self.posts = Wires(self.hub, self.touched), Posts(self.hub, self.touched)
        self.dead: set[Place] = set()
        self.faults: list[Fault] = []
        self.tasks: list[Task] = []
        self.wrong: list[str] = []  # violations that tasks reported
        self.view: Callable[[], View] = lambda: ()
        self.judge: Callable[[View], str | None] = lambda _view: None
        self.finish: Callable[[], str | None] = lambda: None
        self.ends: set[Task] = set()
        self.hub.on_task_error = self._failed

    # -- building

    def spawn(self, place: Place, name: str, run: Callable[..., object], *args: object,
              ends: bool = False) -> Task:  # fmt: skip
        """Start a task in a place; with `ends`, it is a violation if the task never ends."""
        before = self.hub.current().group
        self.hub.enter_group(place)
        task = self.hub.spawn(name, run, *args)
        self.hub.enter_group(before)
        self.tasks.append(task)
        if ends:
            self.ends.add(task)
        return task

    def fault(self, name: str, place: Place, act: Callable[[], None]) -> None:
        """Add a fault that the explorer may inject once, at any scheduling point."""
        self.faults.append(Fault(name, place, act))

    def may_die(self, place: Place) -> None:
        """Add a fault that kills a process at any of its scheduling points."""
        self.fault(f"kill {place}", place, lambda: self.kill(place))

    def kill(self, place: Place) -> None:
        """Kill a process, as part of a fault."""
        self.dead.add(place)
        self.network.break_all(place)
        self.posts.break_all(place)

    # -- invariants

    def _failed(self, task: Task) -> None:
        self.wrong.append(f"{place_name(task.group)}: {task.name} failed: {task.error!r}")

    def breach(self, view: View) -> str | None:
        """Return the violation in the current state, if there is one."""
        return self.wrong[0] if self.wrong else self.judge(view)

    def breach_at_end(self) -> str | None:
        """Return the violation at the end of a schedule, if there is one."""
        for task in self.tasks:
            if task in self.ends and not task.done and place_name(task.group) not in self.dead:
                return f"{place_name(task.group)}: {task.name} waits for ever"
        return self.finish()

    # -- cleanup

    def close(self, tasks: list[Task]) -> None:
        """Cancel the greenlets that still wait: they would keep this world in memory."""
        self.hub.on_task_error = None
        for task in tasks:
            task.on_done.clear()
            if not task.done and task._glet:
                task._unwait = None
                task._glet.throw(Cancelled)


@dataclass(frozen=True, slots=True)
class Scenario:
    """How a world is built, and the limits of its schedules."""

    name: str
    about: str
    build: Callable[[World], None]  # runs as a task that belongs to no place
    lag: bool = False  # time may pass while steps are enabled: a slow machine
    until_us: int = 60_000_000  # the clock does not advance past this
    most_steps: int = 400  # more is a violation: the schedule does not terminate
