"""The hub's guarantees in any order of steps: a wake, a cancel or a deadline ends a wait exactly once."""

from __future__ import annotations

from harriertrack.lab.interleaving.world import Scenario, World
from harriertrack.runtime.hub import Cancelled, DeadlineExceeded, Event, Task, Waiters, answer_of

HERE = "here"
DELAY_US = 10


def _cancel_races_wake(world: World) -> None:
    """One task sets the flag that another waits for, a third cancels the waiter: it ends exactly once."""
    hub, events, flag = world.hub, list[str](), Event(world.hub)

    def wait() -> None:
        try:
            flag.wait()
            events.append("woken")
            hub.sleep(0)  # a cancel that arrived in between is raised by this wait
            events.append("went on")
        except Cancelled:
            events.append("cancelled")
            raise

    def cancel_both() -> None:
        waiter.cancel()
        lone_waiter.cancel()

    waiter = world.spawn(HERE, "waits", wait, ends=True)
    lone_waiter = world.spawn(HERE, "waits alone", Event(hub).wait, ends=True)
    world.spawn(HERE, "sets", flag.set, ends=True)
    world.spawn(HERE, "cancels", cancel_both, ends=True)

    def finish() -> str | None:
        cancelled = isinstance(waiter.error, Cancelled)
        if "cancelled" in events and not cancelled or len(events) > 2 or (cancelled and "went on" in events):
            return f"one end was wanted: {events}, {waiter.error!r}"
        return None if cancelled or "went on" in events else f"neither woken nor cancelled: {events}"

    world.view = lambda: (tuple(events), waiter.done, repr(waiter.error))
    world.finish = finish


def _two_waiters(world: World) -> None:
    """Two tasks wait for one flag: setting it wakes all that wait."""
    hub, woken, flag = world.hub, list[str](), Event(world.hub)

    def wait(name: str) -> None:
        flag.wait(hub.now() + 2 * DELAY_US)
        woken.append(name)

    def set_flag() -> None:
        hub.sleep(DELAY_US)
        flag.set()

    for name in ("one", "two"):
        world.spawn(HERE, name, wait, name, ends=True)
    world.spawn(HERE, "sets", set_flag, ends=True)
    world.view = lambda: (tuple(sorted(woken)),)
    world.finish = lambda: None if len(woken) == 2 else f"of two that waited {woken} went on"


def _spawn_in_cancelled_scope(world: World) -> None:
    """A task spawns another while their scope is being cancelled: the new task ends with the scope."""
    hub, ended = world.hub, list[str]()

    def wait_forever() -> None:
        try:
            Event(hub).wait()
        finally:
            ended.append("child")

    def owner() -> None:
        with hub.scope() as scope:

            def spawn_child() -> None:
                try:
                    hub.sleep(DELAY_US)
                finally:
                    scope.spawn("child", wait_forever)
                    ended.append("starter")

            scope.spawn("starts", spawn_child)

    owner_task = world.spawn(HERE, "owner", owner, ends=True)
    world.spawn(HERE, "cancels", owner_task.cancel, ends=True)
    world.view = lambda: (tuple(ended), owner_task.done)


def _deadline_races_cancel(world: World) -> None:
    """The deadline of a wait passes as its task is cancelled: the cancel takes precedence."""
    hub, events = world.hub, list[str]()

    def wait() -> None:
        try:
            Event(hub).wait(hub.now() + DELAY_US)
        except DeadlineExceeded:
            events.append("late")
            if waiter._cancelling:
                world.wrong.append("a task that is cancelled went on by its deadline")

    def cancel_at_deadline() -> None:
        hub.at(hub.now() + DELAY_US, waiter.cancel)

    waiter = world.spawn(HERE, "waits", wait, ends=True)
    world.spawn(HERE, "cancels", cancel_at_deadline, ends=True)
    world.view = lambda: (tuple(events), waiter.done, repr(waiter.error))


def _deadline_races_wake(world: World) -> None:
    """A deadline and a wake at the same time: the wait ends once, and its waiter is removed."""
    hub, events = world.hub, list[str]()
    waiters = Waiters(hub)

    def wait_twice() -> None:
        for round_name in ("first", "second"):
            due = hub.now() + DELAY_US
            try:
                waiters.wait(due)
                events.append(f"{round_name} woken")
            except DeadlineExceeded:
                events.append(f"{round_name} late")
                if hub.now() < due:
                    world.wrong.append(f"late {due - hub.now()} us before the deadline")
            if waiters.any():
                world.wrong.append("it still waits")

    def wake_twice() -> None:
        for _ in range(2):
            hub.sleep(DELAY_US // 2)
            if waiters.any():
                notified_at_us.append(hub.now())
            waiters.notify()

    notified_at_us: list[int] = []
    world.spawn(HERE, "waits", wait_twice, ends=True)
    world.spawn(HERE, "wakes", wake_twice, ends=True)

    def judge(_view: object) -> str | None:
        woken = sum("woken" in one for one in events)
        return f"{woken} wakes of {len(notified_at_us)}: {events}" if woken > len(notified_at_us) else None

    def finish() -> str | None:
        rounds = [one.split()[0] for one in events]
        return None if rounds == ["first", "second"] else f"each wait ends once: {events}"

    world.view, world.judge, world.finish = lambda: (tuple(events),), judge, finish


def _answer_races_deadline(world: World) -> None:
    """A late answer is discarded: it reaches neither the next query nor a task that has ended."""
    hub, results = world.hub, list[object]()
    callbacks: list[object] = []

    def query_twice() -> None:
        for number in (1, 2):

            def query(deliver: object, number: int = number) -> None:
                callbacks.append(deliver)
                hub.at(hub.now() + DELAY_US, lambda: deliver(number))  # type: ignore[operator]

            try:
                results.append(answer_of(hub, query, hub.now() + DELAY_US))
            except DeadlineExceeded:
                results.append(-number)

    world.spawn(HERE, "asks", query_twice, ends=True)
    world.view = lambda: (tuple(results),)
    world.finish = lambda: (
        None if [abs(int(str(one))) for one in results] == [1, 2] else f"crossed: {results}"
    )


def _scope_error(world: World, waits_in_join: bool = False) -> None:
    """An error in one task of a scope ends the others and is raised in the owner, wherever it waits."""
    hub, ended = world.hub, list[str]()
    tasks: list[Task] = []

    def wait_forever() -> None:
        try:
            Event(hub).wait()
        finally:
            ended.append("works")

    def fail() -> None:
        hub.sleep(DELAY_US)
        ended.append("fails")
        raise ValueError("as meant")

    def owner() -> None:
        try:
            with hub.scope() as scope:
                tasks.extend((scope.spawn("works", wait_forever), scope.spawn("fails", fail)))
                if not waits_in_join:
                    Event(hub).wait()
        except ValueError:
            ended.append("owner heard")
            if not all(one.done for one in tasks):
                world.wrong.append("a task outlives its scope")
        hub.sleep(DELAY_US)  # the scope's own cancel was consumed: it must not end this sleep
        ended.append("owner ends")

    world.spawn(HERE, "owner", owner, ends=True)
    world.view = lambda: (tuple(sorted(ended)),)
    expected = {"owner heard", "owner ends"}
    world.finish = lambda: None if expected <= set(ended) else f"the error is lost: {ended}"


def _scope_cancelled(world: World) -> None:
    """The owner of a scope is cancelled while its tasks end by themselves: no task outlives the scope."""
    hub, ended = world.hub, list[str]()
    tasks: list[Task] = []

    def work(name: str) -> None:
        try:
            hub.sleep(DELAY_US)
            ended.append(name)
        except Cancelled:
            ended.append(f"{name} cancelled")
            hub.sleep(0)  # it still waits while it cleans up
            raise

    def owner() -> None:
        try:
            with hub.scope() as scope:
                tasks.append(scope.spawn("one", work, "one"))
                tasks.append(scope.spawn("two", work, "two"))
        finally:
            if not all(one.done for one in tasks):
                world.wrong.append("a task outlives its scope")

    def cancel_owner() -> None:
        hub.sleep(DELAY_US)
        owner_task.cancel()

    owner_task = world.spawn(HERE, "owner", owner, ends=True)
    world.spawn(HERE, "cancels", cancel_owner, ends=True)
    world.view = lambda: (tuple(sorted(ended)), owner_task.done)
    world.finish = lambda: None if len(ended) == 2 or not tasks else f"a task did not end: {ended}"


SCENARIOS = (
    Scenario("hub-cancel-wake", "cancel against wake", _cancel_races_wake),
    Scenario("hub-deadline-wake", "deadline against wake", _deadline_races_wake, lag=True, until_us=40),
    Scenario("hub-deadline-cancel", "deadline against cancel", _deadline_races_cancel, until_us=40),
    Scenario("hub-answer-late", "answer against deadline", _answer_races_deadline, lag=True, until_us=40),
    Scenario("hub-two-wait", "two tasks that wait for one flag", _two_waiters, until_us=100),
    Scenario(
        "hub-late-starter", "a task started while its scope ends", _spawn_in_cancelled_scope, until_us=100
    ),
    Scenario("hub-scope-error", "a scope whose task fails", _scope_error, until_us=100),
    Scenario(
        "hub-scope-join",
        "the same while its owner waits for its end",
        lambda world: _scope_error(world, waits_in_join=True),
        until_us=100,
    ),
    Scenario("hub-scope-cancel", "a scope whose owner is cancelled", _scope_cancelled, until_us=100),
)
