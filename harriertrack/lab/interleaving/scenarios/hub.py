"""The hub's own promises, whatever the order: a wake, a cancel and a deadline end a wait once."""

from __future__ import annotations

from harriertrack.lab.interleaving.world import Scenario, World
from harriertrack.runtime.hub import Cancelled, DeadlineExceeded, Event, Task, Waiters, answer_of

HERE = "here"
SOON = 10


def _cancel_against_wake(world: World) -> None:
    """A task waits for a flag; one sets it, one cancels the task: it ends once, and its last words count."""
    hub, said, flag = world.hub, list[str](), Event(world.hub)

    def waits() -> None:
        try:
            flag.wait()
            said.append("woken")
            hub.sleep(0)  # a cancel that came meanwhile is thrown at this wait
            said.append("went on")
        except Cancelled:
            said.append("cancelled")
            raise

    def cancels() -> None:
        waiter.cancel()
        alone.cancel()

    waiter = world.spawn(HERE, "waits", waits, ends=True)
    alone = world.spawn(HERE, "waits alone", Event(hub).wait, ends=True)
    world.spawn(HERE, "sets", flag.set, ends=True)
    world.spawn(HERE, "cancels", cancels, ends=True)

    def finish() -> str | None:
        cancelled = isinstance(waiter.error, Cancelled)
        if "cancelled" in said and not cancelled or len(said) > 2 or (cancelled and "went on" in said):
            return f"one end was wanted: {said}, {waiter.error!r}"
        return None if cancelled or "went on" in said else f"neither woken nor cancelled: {said}"

    world.view = lambda: (tuple(said), waiter.done, repr(waiter.error))
    world.finish = finish


def _two_wait(world: World) -> None:
    """Two tasks wait for one flag, which is raised and lowered again: a wake is for all who waited."""
    hub, said, flag = world.hub, list[str](), Event(world.hub)

    def waits(name: str) -> None:
        flag.wait(hub.now() + 2 * SOON)
        said.append(name)

    def sets() -> None:
        hub.sleep(SOON)
        flag.set()

    for name in ("one", "two"):
        world.spawn(HERE, name, waits, name, ends=True)
    world.spawn(HERE, "sets", sets, ends=True)
    world.view = lambda: (tuple(sorted(said)),)
    world.finish = lambda: None if len(said) == 2 else f"of two that waited {said} went on"


def _late_starter(world: World) -> None:
    """A task that starts another while its scope is cancelled: the other ends with the scope."""
    hub, ended = world.hub, list[str]()

    def never() -> None:
        try:
            Event(hub).wait()
        finally:
            ended.append("child")

    def owner() -> None:
        with hub.scope() as scope:

            def starts() -> None:
                try:
                    hub.sleep(SOON)
                finally:
                    scope.spawn("child", never)
                    ended.append("starter")

            scope.spawn("starts", starts)

    mine = world.spawn(HERE, "owner", owner, ends=True)
    world.spawn(HERE, "cancels", mine.cancel, ends=True)
    world.view = lambda: (tuple(ended), mine.done)


def _deadline_against_cancel(world: World) -> None:
    """A wait whose deadline comes as its task is cancelled: who cancels is done with the task."""
    hub, said = world.hub, list[str]()

    def waits() -> None:
        try:
            Event(hub).wait(hub.now() + SOON)
        except DeadlineExceeded:
            said.append("late")
            if waiter._cancelling:
                world.wrong.append("a task that is cancelled went on by its deadline")

    def cancels() -> None:
        hub.at(hub.now() + SOON, waiter.cancel)

    waiter = world.spawn(HERE, "waits", waits, ends=True)
    world.spawn(HERE, "cancels", cancels, ends=True)
    world.view = lambda: (tuple(said), waiter.done, repr(waiter.error))


def _deadline_against_wake(world: World) -> None:
    """A deadline and a wake at the same moment: the wait ends once, and leaves nothing behind."""
    hub, said = world.hub, list[str]()
    waiters = Waiters(hub)

    def waits() -> None:
        for turn in ("first", "second"):
            due = hub.now() + SOON
            try:
                waiters.wait(due)
                said.append(f"{turn} woken")
            except DeadlineExceeded:
                said.append(f"{turn} late")
                if hub.now() < due:
                    world.wrong.append(f"late {due - hub.now()} us before the deadline")
            if waiters.any():
                world.wrong.append("it still waits")

    def wakes() -> None:
        for _ in range(2):
            hub.sleep(SOON // 2)
            if waiters.any():
                notified.append(hub.now())
            waiters.notify()

    notified: list[int] = []
    world.spawn(HERE, "waits", waits, ends=True)
    world.spawn(HERE, "wakes", wakes, ends=True)

    def judge(_view: object) -> str | None:
        woken = sum("woken" in one for one in said)
        return f"{woken} wakes of {len(notified)}: {said}" if woken > len(notified) else None

    def finish() -> str | None:
        turns = [one.split()[0] for one in said]
        return None if turns == ["first", "second"] else f"each wait ends once: {said}"

    world.view, world.judge, world.finish = lambda: (tuple(said),), judge, finish


def _answer_against_deadline(world: World) -> None:
    """An answer that comes late is nobody's: not of the next question, and not of a task that is over."""
    hub, got = world.hub, list[object]()
    late: list[object] = []

    def asks() -> None:
        for number in (1, 2):

            def ask(then: object, number: int = number) -> None:
                late.append(then)
                hub.at(hub.now() + SOON, lambda: then(number))  # type: ignore[operator]

            try:
                got.append(answer_of(hub, ask, hub.now() + SOON))
            except DeadlineExceeded:
                got.append(-number)

    world.spawn(HERE, "asks", asks, ends=True)
    world.view = lambda: (tuple(got),)
    world.finish = lambda: None if [abs(int(str(one))) for one in got] == [1, 2] else f"crossed: {got}"


def _scope(world: World, joins: bool = False) -> None:
    """An error in one task of a scope ends the others and reaches the owner, wherever that is."""
    hub, ended = world.hub, list[str]()
    tasks: list[Task] = []

    def works() -> None:
        try:
            Event(hub).wait()
        finally:
            ended.append("works")

    def fails() -> None:
        hub.sleep(SOON)
        ended.append("fails")
        raise ValueError("as meant")

    def owner() -> None:
        try:
            with hub.scope() as scope:
                tasks.extend((scope.spawn("works", works), scope.spawn("fails", fails)))
                if not joins:
                    Event(hub).wait()
        except ValueError:
            ended.append("owner heard")
            if not all(one.done for one in tasks):
                world.wrong.append("a task outlives its scope")
        hub.sleep(SOON)  # the scope's own cancel is spent: it must not end this
        ended.append("owner ends")

    world.spawn(HERE, "owner", owner, ends=True)
    world.view = lambda: (tuple(sorted(ended)),)
    told = {"owner heard", "owner ends"}
    world.finish = lambda: None if told <= set(ended) else f"the error is lost: {ended}"


def _scope_cancelled(world: World) -> None:
    """A scope's owner is cancelled while its tasks end by themselves: nothing is left of them."""
    hub, ended = world.hub, list[str]()
    tasks: list[Task] = []

    def works(name: str) -> None:
        try:
            hub.sleep(SOON)
            ended.append(name)
        except Cancelled:
            ended.append(f"{name} cancelled")
            hub.sleep(0)  # it has something to put away
            raise

    def owner() -> None:
        try:
            with hub.scope() as scope:
                tasks.append(scope.spawn("one", works, "one"))
                tasks.append(scope.spawn("two", works, "two"))
        finally:
            if not all(one.done for one in tasks):
                world.wrong.append("a task outlives its scope")

    def cancels() -> None:
        hub.sleep(SOON)
        mine.cancel()

    mine = world.spawn(HERE, "owner", owner, ends=True)
    world.spawn(HERE, "cancels", cancels, ends=True)
    world.view = lambda: (tuple(sorted(ended)), mine.done)
    world.finish = lambda: None if len(ended) == 2 or not tasks else f"a task did not end: {ended}"


SCENARIOS = (
    Scenario("hub-cancel-wake", "cancel against wake", _cancel_against_wake),
    Scenario("hub-deadline-wake", "deadline against wake", _deadline_against_wake, lag=True, until_us=40),
    Scenario("hub-deadline-cancel", "deadline against cancel", _deadline_against_cancel, until_us=40),
    Scenario("hub-answer-late", "answer against deadline", _answer_against_deadline, lag=True, until_us=40),
    Scenario("hub-two-wait", "two tasks that wait for one flag", _two_wait, until_us=100),
    Scenario("hub-late-starter", "a task started while its scope ends", _late_starter, until_us=100),
    Scenario("hub-scope-error", "a scope whose task fails", _scope, until_us=100),
    Scenario(
        "hub-scope-join",
        "the same while its owner waits for its end",
        lambda world: _scope(world, joins=True),
        until_us=100,
    ),
    Scenario("hub-scope-cancel", "a scope whose owner is cancelled", _scope_cancelled, until_us=100),
)
