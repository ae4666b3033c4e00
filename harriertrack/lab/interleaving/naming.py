"""Names of steps that are invariant under exchanges of independent steps.

Steps are numbered per place and kind: the steps of a place are created by steps of that place, in an order
that no exchange of independent steps alters. Global numbers would differ between two schedules that are
equivalent up to such exchanges.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from harriertrack.lab.interleaving.wires import Place, arrival, place_name
from harriertrack.runtime.hub import Task, Timer
from harriertrack.runtime.led import Step, StepKind, SteppedHub

TIME = "time passes"
EVENT_NAMES = {"Hub.park": "deadline", "Hub.sleep": "sleep is over", "Hub.freeze": "thaw"}


@dataclass(frozen=True, slots=True)
class Name:
    """A step's name, its place, and the channel within which steps keep their order."""

    text: str
    place: Place  # "": unknown
    channel: str = ""


def _called(act: Callable[[], None]) -> str:
    name = str(getattr(act, "__qualname__", type(act).__name__)).removesuffix(".<locals>.<lambda>")
    return EVENT_NAMES.get(name, name)


class Names:
    """Assigns names to steps as they are created."""

    def __init__(self, hub: SteppedHub) -> None:
        self._hub = hub
        self._counts: dict[str, int] = {}
        self._tasks: dict[Task, Name] = {}
        self._timers: dict[int, tuple[Timer, Name]] = {}
        self._callbacks: dict[Callable[[], None], Name] = {}
        self._serial = 0

    def _number(self, label: str) -> str:
        self._counts[label] = number = self._counts.get(label, 0) + 1
        return f"{label} #{number}" if number > 1 else label

    def _task(self, task: Task) -> Name:
        if task not in self._tasks:
            place = place_name(task.group)
            self._tasks[task] = Name(self._number(f"{place}: {task.name}"), place)
        return self._tasks[task]

    def _timer(self, timer: Timer, maker: Place) -> Name:
        assert timer.act is not None
        delivery = arrival(timer.act)
        if delivery is None:
            place = place_name(timer.group)
            return Name(self._number(f"{place}: {_called(timer.act)}"), place)
        what, place, channel = delivery
        return Name(self._number(f"{channel or f'from {maker}'}: {what}"), place, channel)

    def learn(self, maker: Place) -> bool:
        """Name what the step of `maker` made; return whether it made a timer."""
        for task, _ in self._hub._ready:
            self._task(task)
        for callback, group in self._hub._end_of_round.items():
            if callback not in self._callbacks:
                place = place_name(group)
                self._callbacks[callback] = Name(self._number(f"{place}: {_called(callback)}"), place)
        new_timers = sorted(item[1:] for item in self._hub._timers if item[1] > self._serial)
        for serial, timer in new_timers:
            self._serial = serial
            if timer.act is not None:
                # The entry references the timer, so that its id is not reused.
                self._timers[id(timer)] = (timer, self._timer(timer, maker))
        return bool(new_timers)

    def of(self, step: Step) -> Name:
        """Return a step's name."""
        match step.what:
            case Task() as task:
                return self._task(task)
            case Timer() as timer:
                name = self._timers[id(timer)][1]
                if (
                    not name.channel
                    and timer.act is not None
                    and (delivery := arrival(timer.act)) is not None
                ):
                    return Name(name.text, delivery[1])  # a port may be bound while a datagram is in transit
                return name
            case None:
                return Name(TIME, "")
        if step.kind is StepKind.CALLBACK:
            return self._callbacks[step.what]  # type: ignore[index]
        return Name(f"descriptor {step.what.fd} {step.events}", "")  # type: ignore[union-attr]

    def ran(self, step: Step) -> None:
        """Forget a callback that ran: if it is registered again, it is a new step."""
        if step.kind is StepKind.CALLBACK:
            self._callbacks.pop(step.what, None)  # type: ignore[arg-type]

    def tasks(self) -> list[Task]:
        """Return all tasks that were named."""
        return list(self._tasks)
