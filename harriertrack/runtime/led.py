"""A hub whose next step is chosen from outside: same tasks, timers and waits, without the loop's order.

`Hub` runs ready tasks first in, first out, then the end-of-round callbacks, then descriptor handlers and
timers. Code must not depend on more of that order than the hub promises. A `SteppedHub` offers all steps that
could run now to a `StepChooser` (for example a checker of interleavings) and runs the chosen one. Only the
loop is replaced: a head's own hub has no code for this.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from harriertrack.runtime.hub import Deadlock, FdHandler, Hub, Poller, Task, Timer, VirtualTime


class StepKind(Enum):
    """What a step would run."""

    TASK = "task"  # a woken task continues
    CALLBACK = "callback"  # an end-of-round callback
    EVENT = "event"  # a descriptor's handler
    TIMER = "timer"  # a timer that is due
    TIME = "time"  # nothing runs: the clock moves to the next timer


@dataclass(frozen=True, slots=True, eq=False)
class Step:
    """A step that could run now, and the group that it belongs to (None: no group)."""

    kind: StepKind
    what: Task | Callable[[], None] | FdHandler | Timer | None
    group: object = None
    error: BaseException | None = None  # thrown into the task
    events: int = 0  # of the descriptor
    at: int = 0  # due time of a timer, or the next time of the clock


class StepChooser(Protocol):
    """Chooses the next step."""

    def choose(self, steps: list[Step]) -> Step | None:
        """Return one of the steps, given in the order of the usual loop; None ends the hub's run."""


class SteppedHub(Hub):
    """A hub in simulated time whose steps are chosen by a `StepChooser`."""

    def __init__(
        self, chooser: StepChooser, time: VirtualTime, poller: Poller | None = None, seed: int = 0
    ) -> None:
        """Accept a poller for descriptors that exist in simulated time only; its `wait` must not block."""
        super().__init__(time, poller or time, seed)
        self._chooser, self._time = chooser, time

    def _loop(self) -> None:
        stop = self._stop
        while stop is not None and not stop.done:
            step = self._chooser.choose(self.steps())
            if step is None:
                raise Deadlock("no step was chosen, though the main task is not done")
            self._do(step)

    def steps(self) -> list[Step]:
        """Return all steps that could run now; the chooser must handle frozen groups."""
        now = self.now()
        found = [Step(StepKind.TASK, task, task.group, error) for task, error in self._ready]
        found += [Step(StepKind.CALLBACK, act, group) for act, group in self._end_of_round.items()]
        if self.poller is not self._time:
            self._polls += 1
            for fd, events in self.poller.wait(now):
                if (handler := self._handlers.get(fd)) is not None:
                    found.append(Step(StepKind.EVENT, handler, events=events))
        live = sorted((item for item in self._timers if item[2].act is not None), key=lambda item: item[:2])
        found += [Step(StepKind.TIMER, timer, timer.group, at=at) for at, _, timer in live if at <= now]
        later = next((at for at, _, _ in live if at > now), None)
        if later is not None:
            found.append(Step(StepKind.TIME, None, at=later))
        return found

    def _do(self, step: Step) -> None:
        match step.what:
            case Task() as task:
                self._ready.remove((task, step.error))
                self._resume(task, step.error)
            case Timer() as timer:
                self._timers = [item for item in self._timers if item[2] is not timer]
                heapq.heapify(self._timers)
                act, timer.act = timer.act, None
                if act is not None:
                    self._call(timer.group, act)
            case FdHandler() as handler:
                handler.on_events(step.events)
            case None:
                self._time.wait(step.at)
            case callback:
                self._call(self._end_of_round.pop(callback), callback)
