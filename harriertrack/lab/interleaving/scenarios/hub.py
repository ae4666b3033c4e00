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

    waiter = world.spawn(HERE, "waits", waits, ends=True)
    world.spawn(HERE, "sets", flag.set, ends=True)
    world.spawn(HERE, "cancels", waiter.cancel, ends=True)

    def finish() -> str | None:
        cancelled = isinstance(waiter.error, Cancelled)
        if "cancelled" in said and not cancelled or len(said) > 2 or (cancelled and "went on" in said):
            return f"one end was wanted: {said}, {waiter.error!r}"
        return None if cancelled or "went on" in said else f"neither woken nor cancelled: {said}"

    world.view = lambda: (tuple(said), waiter.done, repr(waiter.error))
    world.finish = finish


def _deadline_against_wake(world: World) -> None:
    """A deadline and a wake at the same moment: the wait ends once, and leaves nothing behind."""
    hub, said = world.hub, list[str]()
    waiters = Waiters(hub)

    def waits() -> None:
        for turn in ("first", "second"):
            try:
                waiters.wait(hub.now() + SOON)
                said.append(f"{turn} woken at {hub.now() - began}")
            except DeadlineExceeded:
                said.append(f"{turn} late at {hub.now() - began}")
            if waiters.any():
                said.append("still waiting")

    def wakes() -> None:
        hub.sleep(SOON)
        waiters.notify()

    began = hub.now()
    world.spawn(HERE, "waits", waits, ends=True)
    world.spawn(HERE, "wakes", wakes, ends=True)

    def judge(_view: object) -> str | None:
        wrong = [one for one in said if one == "still waiting"]
        early = [one for one in said if "late" in one and int(one.rsplit(" ", 1)[1]) < SOON]
        return f"{(wrong + early)[0]}: {said}" if wrong or early else None

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


def _scope(world: World) -> None:
    """An error in one task of a scope ends the others and reaches the owner, wherever that is."""
    hub, ended = world.hub, list[str]()
    tasks: list[Task] = []

    def works() -> None:
        try:
            hub.sleep(SOON)
            hub.sleep(SOON)
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
                hub.sleep(SOON)
                ended.append("owner went on")
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
    Scenario("hub-answer-late", "answer against deadline", _answer_against_deadline, lag=True, until_us=40),
    Scenario("hub-scope-error", "a scope whose task fails", _scope, until_us=100),
    Scenario("hub-scope-cancel", "a scope whose owner is cancelled", _scope_cancelled, until_us=100),
)
