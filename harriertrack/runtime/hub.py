"""The hub: tasks are greenlets, and one loop runs them, their timers and their descriptors.

The loop depends on two objects: a clock and a poller. On a real machine these are the monotonic clock and
`select.poll`; in simulated time the clock jumps to the next timer as soon as nothing can run, and there are
no descriptors. Tasks run the same code in both.

One round of the loop: run the ready tasks, run the end-of-round callbacks (where a head passes all events of
the moment to its decision module at once), then wait for descriptors or the next timer.
"""

from __future__ import annotations

import errno
import heapq
import random
import select
import time
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, Protocol, TypeVar

from greenlet import getcurrent, greenlet

READ = select.POLLIN
WRITE = select.POLLOUT
BROKEN = select.POLLERR | select.POLLHUP | select.POLLNVAL
MIN_WAIT_US = 500  # a shorter poll returned events that were already pending
POLL_PAUSE_S = 0.001  # pause of the loop when the system has no memory for a poll
SUSPENDED_US = 20_000  # a poll that returns this late means that the process was suspended
PRUNE_AT = 512  # cancelled timers are removed once there are at least this many and over half of the heap


Answer = TypeVar("Answer")


class Cancelled(BaseException):
    """Thrown into a task that is cancelled; not an Exception, so that no handler catches it by mistake."""


class DeadlineExceeded(Exception):
    """An operation did not finish by its deadline."""


class Deadlock(RuntimeError):
    """In simulated time, no task can run and no timer is pending, but the main task is not done."""


class Clock(Protocol):
    """The hub's source of time, in whole microseconds; never goes back."""

    def now(self) -> int:
        """Return the current time in microseconds."""

    def wall(self) -> int:
        """Return the time since 1970 in microseconds, which machines share and which may step."""


class Poller(Protocol):
    """What the hub waits for events with when no task is ready."""

    def wait(self, until: int | None) -> list[tuple[int, int]]:
        """Wait for descriptors, until a time in microseconds or forever; return (descriptor, events)."""

    def watch(self, fd: int, events: int) -> None:
        """Watch a descriptor for these events; 0 stops watching it."""


class RealClock:
    """The machine's monotonic clock: comparable between processes of one machine."""

    def now(self) -> int:
        """Return the current time in microseconds."""
        return time.monotonic_ns() // 1000

    def wall(self) -> int:
        """Return the time since 1970 in microseconds."""
        return time.time_ns() // 1000


class PollPoller:
    """`select.poll` with the hub's clock.

    `poll` takes whole milliseconds. Timers are up to one late, unless `exact`, which polls without waiting
    during the last millisecond.
    """

    def __init__(self, clock: Clock, exact: bool = False) -> None:
        self._clock = clock
        self._round_up_us = 0 if exact else 999
        self._poll = select.poll()
        self._watched: dict[int, int] = {}

    def watch(self, fd: int, events: int) -> None:
        """Watch a descriptor for these events; 0 stops watching it."""
        if events == self._watched.get(fd, 0):
            return
        if events:
            self._poll.register(fd, events)
            self._watched[fd] = events
        else:
            self._poll.unregister(fd)
            del self._watched[fd]

    def wait(self, until: int | None) -> list[tuple[int, int]]:
        """Wait for descriptors, until a time in microseconds or forever."""
        left = None if until is None else max(0, (until - self._clock.now() + self._round_up_us) // 1000)
        try:
            return self._poll.poll(left)
        except OSError as error:
            if error.errno != errno.ENOMEM:  # any other error means that the descriptors are wrong
                raise
            time.sleep(POLL_PAUSE_S)
            return []  # pending events are still reported by the next poll


class VirtualTime:
    """Clock and poller in one: time does not advance while tasks run, then jumps to the next timer."""

    def __init__(self, start: int = 1_000_000_000) -> None:
        self._now = start

    def now(self) -> int:
        """Return the simulated time in microseconds."""
        return self._now

    def wall(self) -> int:
        """Return the simulated time: all simulated machines have one clock."""
        return self._now

    def watch(self, fd: int, events: int) -> None:
        """Raise RuntimeError: there are no descriptors in simulated time."""
        raise RuntimeError("there are no descriptors in simulated time")

    def wait(self, until: int | None) -> list[tuple[int, int]]:
        """Jump to the next timer."""
        if until is None:
            raise Deadlock("no task can run and no timer is pending")
        self._now = max(self._now, until)
        return []


class Timer:
    """A callback that is due at a time, unless it is cancelled."""

    __slots__ = ("at", "act", "group", "_hub")

    def __init__(self, hub: Hub, at: int, act: Callable[[], None]) -> None:
        self.at = at
        self.act: Callable[[], None] | None = act
        self.group = hub._group
        self._hub = hub

    def cancel(self) -> None:
        """Drop the callback; cancelling twice, or after it ran, does nothing."""
        if self.act is not None:
            self.act = None
            self._hub._timer_cancelled()


class Task:
    """One greenlet of the hub. It ends by returning, raising, or being cancelled."""

    __slots__ = (
        "name", "group", "error", "result", "done", "on_done",
        "_glet", "_hub", "_unwait", "_cancelling", "_scheduled",
    )  # fmt: skip

    def __init__(self, hub: Hub, name: str, run: Callable[..., Any], args: tuple) -> None:
        self.name, self._hub = name, hub
        self.group = hub._group
        self.error: BaseException | None = None
        self.result: Any = None
        self.done = False
        self.on_done: list[Callable[[Task], None]] = []
        self._unwait: Callable[[], None] | None = None
        self._cancelling = self._scheduled = False
        self._glet = greenlet(lambda *_: self._body(run, args), parent=hub._loop_glet)

    def _body(self, run: Callable[..., Any], args: tuple) -> None:
        try:
            if self._cancelling:
                raise Cancelled(self.name)
            self.result = run(*args)
        except Cancelled as error:  # its traceback would keep the locals of the task, and the task itself
            self.error = error.with_traceback(None)
        except BaseException as error:  # stored for the scope that joins the task
            self.error = error
        self.done = True
        self._hub._task_ended(self)

    def cancel(self) -> None:
        """Throw `Cancelled` into the task at its current or next wait; no effect once the task is done."""
        if self.done or self._cancelling:
            return
        self._cancelling = True
        if self._glet is not getcurrent():
            self._hub._wake(self)


class Hub:
    """The event loop. All waits of a process go through one hub."""

    def __init__(self, clock: Clock | None = None, poller: Poller | None = None, seed: int = 0,
                 stall_us: int = 100_000, input_since: int | None = None) -> None:  # fmt: skip
        self.clock = clock or RealClock()
        self.poller = poller or PollPoller(self.clock)
        self.random = random.Random(seed)
        self.stall_us = stall_us
        self.stalls = 0
        self.longest_round_us = 0
        self.idle_us = 0  # time spent waiting; the rest is the loop's own work
        self.on_stall: Callable[[int], None] | None = None
        self.on_task_error: Callable[[Task], None] | None = None
        self._timers: list[tuple[int, int, Timer]] = []
        self._serial = self._cancelled = self._polls = 0
        # What the last poll has found arrived no earlier; `input_since`: the same for the first poll, whose
        # input may have arrived before there was a hub.
        self.found_since = self.polled_at = self.clock.now() if input_since is None else input_since
        self._ready: deque[tuple[Task, BaseException | None]] = deque()
        self._end_of_round: dict[Callable[[], None], object] = {}
        self._group: object = None  # group of the running task or callback
        self._frozen: dict[object, list[Callable[[], None]]] = {}  # by group: what to run when it is thawed
        self._handlers: dict[int, FdHandler] = {}
        self._loop_glet = greenlet(self._loop)
        self._current: Task | None = None
        self._stop: Task | None = None

    @classmethod
    def exact(cls) -> Hub:
        """Make a hub whose timers are not up to a millisecond late, at the cost of a busy processor."""
        clock = RealClock()
        return cls(clock, PollPoller(clock, exact=True))

    @classmethod
    def virtual(cls, seed: int = 0, start: int = 1_000_000_000) -> Hub:
        """Make a hub in simulated time."""
        time_ = VirtualTime(start)
        return cls(time_, time_, seed)

    # -- running

    def run(self, main: Callable[..., Any], *args: Any) -> Any:
        """Run a task and the tasks that it starts; return its result or raise its error."""
        task = self.spawn("main", main, *args)
        self._loop_glet = greenlet(self._loop)
        task._glet.parent = self._loop_glet
        self._stop = task
        self._loop_glet.switch()
        if task.error is not None:
            raise task.error
        return task.result

    def _loop(self) -> None:
        stop, ready = self._stop, self._ready
        while stop is not None and not stop.done:
            began = self.clock.now()
            for _ in range(len(ready)):
                task, error = ready.popleft()
                self._resume(task, error)
            while self._end_of_round:
                self._run_end_of_round()
            self._check_stall(began)
            if stop.done:
                return
            until = began if ready else self._next_timer()
            self._polls += 1
            slept = self.clock.now()
            polled = self.poller.wait(until)
            now = self.clock.now()
            self.idle_us += now - slept
            if now - slept < MIN_WAIT_US:  # already pending: it arrived at some time since the last poll
                self.found_since = self.polled_at
            else:  # it arrived just now, or while the process was suspended
                self.found_since = now if until is None or now < until + SUSPENDED_US else until
            self.polled_at = now
            for fd, events in polled:
                # An earlier handler of this round may have closed this descriptor and opened another with the
                # same number: the new handler is not called for events of the old descriptor.
                handler = self._handlers.get(fd)
                if handler is not None and handler.added_at_poll < self._polls:
                    handler.on_events(events)
            self._run_timers()

    def _run_end_of_round(self) -> None:
        callbacks, self._end_of_round = self._end_of_round, {}
        for callback, group in callbacks.items():
            self._call(group, callback)

    def _check_stall(self, began: int) -> None:
        took = self.clock.now() - began
        self.longest_round_us = max(self.longest_round_us, took)
        if took >= self.stall_us:
            self.stalls += 1
            if self.on_stall is not None:
                self.on_stall(took)

    def _resume(self, task: Task, error: BaseException | None) -> None:
        if task.group in self._frozen:
            self._frozen[task.group].append(lambda: self._ready.append((task, error)))
            return
        task._scheduled = False
        if task.done:
            return
        if task._cancelling and task._unwait is not None:
            error = Cancelled(task.name)  # also at its deadline: the canceller has no more use for the task
        if task._unwait is not None:
            unwait, task._unwait = task._unwait, None
            unwait()
        self._current, self._group = task, task.group
        if task._glet.parent is not self._loop_glet and not task._glet:
            task._glet.parent = self._loop_glet
        try:
            task._glet.throw(error) if error is not None and task._glet else task._glet.switch()
        finally:
            self._current = self._group = None

    def _task_ended(self, task: Task) -> None:
        if task.error is not None and not isinstance(task.error, Cancelled):
            if not task.on_done and self.on_task_error is not None and task is not self._stop:
                self.on_task_error(task)
        for callback in task.on_done:
            callback(task)

    def spawn(self, name: str, run: Callable[..., Any], *args: Any) -> Task:
        """Start a task; it first runs in the next round. Prefer `Scope.spawn`, which bounds its lifetime."""
        task = Task(self, name, run, args)
        self._wake(task)
        return task

    def _wake(self, task: Task, error: BaseException | None = None) -> None:
        if not task._scheduled and not task.done:
            task._scheduled = True
            self._ready.append((task, error))

    @property
    def round(self) -> int:
        """Return the number of the current round of the loop."""
        return self._polls

    # -- waiting

    def park(self, unwait: Callable[[], None], deadline: int | None = None) -> None:
        """Let the current task wait until `Hub.unpark`; `unwait` removes whatever would wake it.

        Raises DeadlineExceeded at the deadline (microseconds), Cancelled if the task is cancelled.
        """
        task = self._current
        if task is None:
            raise RuntimeError("only a task can wait")
        if task._cancelling:
            unwait()
            raise Cancelled(task.name)
        timer = None
        if deadline is not None:
            timer = self.at(deadline, lambda: self._wake(task, DeadlineExceeded()))
        task._unwait = unwait
        try:
            self._loop_glet.switch()
        finally:
            if timer is not None:
                timer.cancel()

    def unpark(self, task: Task) -> None:
        """Let a waiting task continue in this round or the next."""
        self._wake(task)

    def current(self) -> Task:
        """Return the task that runs now."""
        if self._current is None:
            raise RuntimeError("no task is running")
        return self._current

    def now(self) -> int:
        """Return the time in microseconds."""
        return self.clock.now()

    def sleep(self, us: int) -> None:
        """Let the current task wait for `us` microseconds."""
        task = self.current()
        timer = self.at(self.now() + us, lambda: self._wake(task))
        self.park(timer.cancel)

    def sleep_until(self, when: int) -> None:
        """Let the current task wait until a time in microseconds."""
        self.sleep(max(0, when - self.now()))

    # -- timers and end-of-round callbacks

    def at(self, when: int, act: Callable[[], None]) -> Timer:
        """Call `act` at a time in microseconds, outside any task; it must not wait."""
        timer = Timer(self, when, act)
        self._serial += 1
        heapq.heappush(self._timers, (when, self._serial, timer))
        return timer

    def at_outside(self, when: int, act: Callable[[], None]) -> Timer:
        """Call `act` at a time even if the current group is frozen then: for network and machine events."""
        return self.at_for(None, when, act)

    def at_for(self, group: object, when: int, act: Callable[[], None]) -> Timer:
        """Call `act` at a time as part of a group: later, if the group is frozen then."""
        before, self._group = self._group, group
        timer = self.at(when, act)
        self._group = before
        return timer

    def _timer_cancelled(self) -> None:
        self._cancelled += 1
        if self._cancelled >= PRUNE_AT and self._cancelled * 2 > len(self._timers):
            self._timers = [item for item in self._timers if item[2].act is not None]
            heapq.heapify(self._timers)
            self._cancelled = 0

    def _next_timer(self) -> int | None:
        timers = self._timers
        while timers and timers[0][2].act is None:
            heapq.heappop(timers)
            self._cancelled -= 1
        return timers[0][0] if timers else None

    def _run_timers(self) -> None:
        now = self.clock.now()
        while (due := self._next_timer()) is not None and due <= now:
            timer = heapq.heappop(self._timers)[2]
            act, timer.act = timer.act, None
            if act is not None:
                self._call(timer.group, act)

    def _call(self, group: object, act: Callable[[], None]) -> None:
        if group in self._frozen:
            self._frozen[group].append(lambda: self._call(group, act))
            return
        self._group = group
        try:
            act()
        finally:
            self._group = None

    def enter_group(self, group: object) -> None:
        """Put the current task, and whatever it starts from now on, into a group that can be frozen."""
        self._group = self.current().group = group

    def freeze(self, group: object, us: int) -> None:
        """Suspend a group of tasks for `us` microseconds, like a machine that stops for a while.

        Its timers that fall due meanwhile run late, all at once.
        """
        if group in self._frozen:
            return
        self._frozen[group] = []
        self.at_outside(self.now() + us, lambda: self._thaw(group))

    def _thaw(self, group: object) -> None:
        for act in self._frozen.pop(group):
            act()

    def at_end_of_round(self, callback: Callable[[], None]) -> None:
        """Call `callback` once when all ready tasks have run, however often it is scheduled."""
        self._end_of_round[callback] = self._group

    # -- descriptors

    def add_handler(self, handler: FdHandler) -> None:
        """Call a handler for its descriptor's events; one handler per descriptor."""
        handler.added_at_poll = self._polls
        self._handlers[handler.fd] = handler
        self.poller.watch(handler.fd, handler.interest)

    def set_interest(self, handler: FdHandler, events: int) -> None:
        """Change which events a handler is called for; 0 for none."""
        if events != handler.interest:
            handler.interest = events
            self.poller.watch(handler.fd, events)

    def remove_handler(self, handler: FdHandler) -> None:
        """Remove a handler; call this before its descriptor is closed."""
        if self._handlers.get(handler.fd) is handler:
            del self._handlers[handler.fd]
            self.poller.watch(handler.fd, 0)

    # -- structured lifetimes

    @contextmanager
    def scope(self, name: str = "scope") -> Iterator[Scope]:
        """Open a scope: leaving it waits for its tasks; an error inside or in a task cancels the others."""
        scope = Scope(self, name)
        try:
            yield scope
        except BaseException as error:
            scope.cancel()
            scope._join(quiet=True)
            if scope._error is not None and isinstance(error, Cancelled) and scope._stopped_owner:
                raise scope._error from None
            raise
        scope._join(quiet=False)


class FdHandler:
    """A callback for the events of a descriptor."""

    def __init__(self, fd: int, interest: int, on_events: Callable[[int], None]) -> None:
        self.fd, self.interest, self.on_events = fd, interest, on_events
        self.added_at_poll = 0  # events of this poll belong to an earlier descriptor with this number


class Scope:
    """A group of tasks with a common lifetime."""

    def __init__(self, hub: Hub, name: str) -> None:
        self._hub, self.name = hub, name
        self._tasks: dict[Task, None] = {}
        self._owner = hub._current
        self._error: BaseException | None = None
        self._joining = self._cancelled = False
        self._stopped_owner = False  # the scope cancelled its owner because a task failed

    def spawn(self, name: str, run: Callable[..., Any], *args: Any) -> Task:
        """Start a task of this scope."""
        task = self._hub.spawn(name, run, *args)
        self._tasks[task] = None
        task.on_done.append(self._ended)
        if self._cancelled:
            task.cancel()  # a task started during clean-up must not outlive the scope
        return task

    def cancel(self) -> None:
        """Cancel all tasks of the scope, including those that are started in it later."""
        self._cancelled = True
        for task in list(self._tasks):
            task.cancel()

    def _ended(self, task: Task) -> None:
        del self._tasks[task]
        if task.error is not None and not isinstance(task.error, Cancelled):
            if self._error is None:
                self._error = task.error
                self.cancel()
                if self._owner is not None and not self._joining and not self._owner._cancelling:
                    self._stopped_owner = True
                    self._owner.cancel()
        if self._joining and not self._tasks and self._owner is not None:
            self._hub.unpark(self._owner)

    def _join(self, quiet: bool) -> None:
        owner = self._owner
        self._joining = True
        if owner is not None and self._stopped_owner:
            owner._cancelling = False
        cancelled: BaseException | None = None
        while self._tasks:
            try:
                if owner is not None and owner._cancelling:
                    owner._cancelling, cancelled = False, Cancelled(owner.name)
                    self.cancel()
                self._hub.park(lambda: None)
            except Cancelled as error:
                cancelled = error
                if owner is not None:
                    owner._cancelling = False
                self.cancel()
        if owner is not None:
            owner._cancelling = cancelled is not None or (owner._cancelling and not self._stopped_owner)
        if self._error is not None and not quiet:
            raise self._error
        if cancelled is not None and not quiet:
            raise cancelled


class Waiters:
    """Tasks that wait for one condition to change."""

    def __init__(self, hub: Hub) -> None:
        self._hub = hub
        self._waiting: dict[Task, None] = {}

    def wait(self, deadline: int | None = None) -> None:
        """Wait for the next `notify`. Raises DeadlineExceeded at the deadline (microseconds)."""
        task = self._hub.current()
        self._waiting[task] = None
        self._hub.park(lambda: self._waiting.pop(task, None), deadline)

    def any(self) -> bool:
        """Whether any task waits."""
        return bool(self._waiting)

    def notify(self) -> None:
        """Wake all waiting tasks."""
        for task in self._waiting:
            self._hub.unpark(task)


def answer_of(hub: Hub, ask: Callable[[Callable[[Answer], None]], None],
              deadline: int | None = None) -> Answer:  # fmt: skip
    """Call `ask` with a callback, wait until that is called, and return its argument.

    Raises DeadlineExceeded at the deadline (microseconds).
    """
    answers: list[Answer] = []
    waiters = Waiters(hub)

    def then(answer: Answer) -> None:
        answers.append(answer)
        waiters.notify()

    ask(then)
    while not answers:
        waiters.wait(deadline)
    return answers[0]


class Event:
    """A flag that tasks can wait for."""

    def __init__(self, hub: Hub) -> None:
        self._set = False
        self._waiters = Waiters(hub)

    def set(self) -> None:
        """Set the flag and wake all waiting tasks."""
        self._set = True
        self._waiters.notify()

    def clear(self) -> None:
        """Clear the flag."""
        self._set = False

    def wait(self, deadline: int | None = None) -> None:
        """Wait until the flag is set. Raises DeadlineExceeded at the deadline (microseconds)."""
        while not self._set:
            self._waiters.wait(deadline)
