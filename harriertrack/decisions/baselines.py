"""Well-known ways to schedule, as modules with the decision module's interface: what it is measured against.

Each takes the same events and returns the same actions, so a head runs on it unchanged; none holds all of
the product's rules (no cold rule, no shares of a reserve beyond their even slice, no budget: they send each
request once). The laboratory alone uses them.

- `Fifo`: everything goes out at once, in the order it came; the nodes' queues do the waiting.
- `LeastOutstanding` and `PowerOfTwo`: the same, with new objects where this head has least out, among all
  nodes or among two drawn ones (Mitzenmacher, "The Power of Two Choices", 2001).
- `Tags`: a fixed window at each node, filled by reservation, limit and weight tags as mClock and dmClock have
  them (Gulati et al., OSDI 2010), each head with its even slice.
- `Oracle`: sees every node's true queue and refuses on arrival what can't be served by its aim.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from math import inf

from harriertrack.decisions.interface import (
    Action,
    AttemptEnded,
    Cancel,
    ClientLeft,
    Effect,
    Event,
    Fail,
    ListKind,
    NodeEntry,
    NodesChanged,
    NodeState,
    Plan,
    Refuse,
    RequestArrived,
    RequestClass,
    Result,
    Send,
    SetTimer,
    Settings,
    Subscribe,
    TimerFired,
)

ANSWER_TICKS = 2  # final answers are given this many ticks before the client's time is up
RESUBSCRIBE_US = 500_000
TAG_WINDOW = 8  # requests out at a node by one head under tags
RETRY, GIVE_UP, PUMP = "r", "g", "p"
Look = Callable[[str], float]


def blind(_node: str) -> float:
    """See nothing."""
    return 0.0


@dataclass(slots=True, eq=False)
class Waiting:
    """A request between its arrival and its final answer."""

    ask: RequestArrived
    kind: RequestClass
    end_at: int
    node: str = ""
    out: set[int] = field(default_factory=set)
    tries: int = 0
    may_have_run: bool = False


class Baseline:
    """What all baselines share: the list, deadlines, final answers; each says where and when to send."""

    def __init__(self, settings: Settings, seed: int = 0, look: Look = blind) -> None:
        self.settings = settings
        self._random = random.Random(seed)
        self._look = look
        self._classes = {one.name: one for one in settings.classes}
        self._plans = {plan.name: plan for plan in settings.plans}
        self._nodes: dict[str, NodeEntry] = {}
        self._told_at: dict[str, int] = {}
        self._works: dict[int, Waiting] = {}
        self._outstanding: dict[str, int] = {}
        self._actions: list[Action] = []
        self._now = 0

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Take the events of one moment and return the actions, in order."""
        self._now, self._actions = now, []
        for event in events:
            match event:
                case RequestArrived():
                    self._arrived(event)
                case AttemptEnded():
                    self._ended(event)
                case NodesChanged():
                    self._list_news(event)
                case ClientLeft() if (work := self._works.get(event.request)) is not None:
                    self._close(work)
                case TimerFired():
                    self._woken(event.token)
        return self._actions

    # -- what a baseline decides

    def dispatch(self, work: Waiting, node: str) -> None:
        """Send a request to the node that serves it, or hold it."""
        self.send(work, node)

    def place(self) -> str | None:
        """Choose a node for a new object."""
        up = self.up()
        return self._random.choice(up) if up else None

    def pump(self, node: str) -> None:
        """Something ended at a node: send what was held for it."""

    def unhold(self, work: Waiting) -> None:
        """Forget a held request that is over."""

    # -- the list

    def _list_news(self, news: NodesChanged) -> None:
        if news.kind is ListKind.FAILED:
            self._actions.append(SetTimer(RETRY, self._now + RESUBSCRIBE_US))
            return
        if news.kind is ListKind.RESTORED and self.settings.list_on_request:
            self._actions.append(Subscribe(True))
        for entry in news.entries:
            before = self._nodes.get(entry.node)
            if before is None or before.state is not entry.state:
                self._told_at[entry.node] = self._now
            self._nodes[entry.node] = entry

    def up(self) -> list[str]:
        """Return the nodes that are up, in the order of the list."""
        return [entry.node for entry in self._nodes.values() if entry.state is NodeState.UP]

    def holder(self, shard: int) -> str | None:
        """Return the node that serves a shard: one that is up, else one in the first half of its grace."""
        best: NodeEntry | None = None
        for entry in self._nodes.values():
            if entry.shard != shard:
                continue
            grace = self._told_at[entry.node] + self.settings.drain_grace_us // 2
            if entry.state is NodeState.UP:
                if best is None or best.state is not NodeState.UP or entry.started_us > best.started_us:
                    best = entry
            elif entry.state is NodeState.DRAINING and self._now < grace and best is None:
                best = entry
        return best.node if best is not None else None

    # -- the life of a request

    def _arrived(self, ask: RequestArrived) -> None:
        kind = self._classes.get(ask.class_name)
        if kind is None:
            self._actions.append(Refuse(ask.request))
            return
        work = self._works[ask.request] = Waiting(ask, kind, self._now + ask.time_left_us)
        last = max(self._now + 1, work.end_at - ANSWER_TICKS * self.settings.tick_us)
        self._actions.append(SetTimer(f"{GIVE_UP}{ask.request}", last))
        node = self.place() if ask.shard < 0 else self.holder(ask.shard)
        if node is None:
            self.give_up(work)
            return
        work.node = node
        self.dispatch(work, node)

    def _woken(self, token: str) -> None:
        if token == RETRY:
            self._actions.append(Subscribe(True))
        elif token.startswith(GIVE_UP):
            if (work := self._works.get(int(token[1:]))) is not None:
                self.give_up(work)
        elif token.startswith(PUMP):
            self.pump(token[1:])

    def send(self, work: Waiting, node: str) -> None:
        """Send an attempt."""
        self._actions.append(Send(work.ask.request, node))
        work.out.add(work.tries)
        work.tries += 1
        self._outstanding[node] = self._outstanding.get(node, 0) + 1

    def _ended(self, event: AttemptEnded) -> None:
        work = self._works.get(event.request)
        self._outstanding[event.node] = max(0, self._outstanding.get(event.node, 0) - 1)
        if work is not None:
            work.out.discard(event.attempt)
            work.may_have_run = work.may_have_run or not event.result.never_ran
            if event.request_over or event.result is Result.OK:
                self._works.pop(event.request, None)
            elif not work.out:
                self.give_up(work)
        self.learn(event)
        self.pump(event.node)

    def learn(self, event: AttemptEnded) -> None:
        """Learn from an outcome."""

    def give_up(self, work: Waiting, hint: int = 0) -> None:
        """Give the final answer: a refusal where trying again is harmless, else a failure."""
        if (work.may_have_run or work.out) and work.kind.effect is not Effect.SAFE:
            self._actions.append(Fail(work.ask.request))
        else:
            hint = min(max(0, hint), self.settings.max_hint_us) if self.settings.may_hint else 0
            self._actions.append(Refuse(work.ask.request, hint))
        self._close(work)

    def _close(self, work: Waiting) -> None:
        self._works.pop(work.ask.request, None)
        self.unhold(work)
        if self.settings.may_cancel:
            self._actions.extend(Cancel(work.ask.request, attempt) for attempt in sorted(work.out))


class Fifo(Baseline):
    """Plain first in, first out."""


class LeastOutstanding(Baseline):
    """New objects go where this head has least out."""

    def place(self) -> str | None:
        """Choose the node with least out; the first listed of equals."""
        return min(self.up(), key=lambda node: self._outstanding.get(node, 0), default=None)


class PowerOfTwo(Baseline):
    """New objects go to the less busy of two drawn nodes."""

    def place(self) -> str | None:
        """Draw two nodes and choose the one with less out."""
        up = self.up()
        drawn = self._random.sample(up, min(2, len(up)))
        return min(drawn, key=lambda node: self._outstanding.get(node, 0), default=None)


class Oracle(Baseline):
    """Sees every queue: sends what can be served by its aim, and refuses the rest on arrival."""

    def __init__(self, settings: Settings, seed: int = 0, look: Look = blind) -> None:
        super().__init__(settings, seed, look)
        self._service_us = 0.0  # the least that a request of the mean size took lately

    def place(self) -> str | None:
        """Choose the node with the shortest true wait."""
        return min(self.up(), key=self._look, default=None)

    def dispatch(self, work: Waiting, node: str) -> None:
        """Send what will make its aim."""
        wait = self._look(node)
        service = self._service_us * work.ask.units / max(1.0, self.settings.mean_units)
        late = wait + service - work.kind.aim_us
        if late > 0:
            self.give_up(work, self.settings.max_hint_us if late == inf else int(late))
        else:
            self.send(work, node)

    def learn(self, event: AttemptEnded) -> None:
        """Follow the shortest times, which hold no waiting."""
        if event.result is not Result.OK:
            return
        mine = float(event.elapsed_us)
        if not self._service_us or mine < self._service_us:
            self._service_us = mine
        else:
            self._service_us += 0.002 * (mine - self._service_us)


@dataclass(slots=True, eq=False)
class _Tagged:
    work: Waiting
    reservation: float
    limit: float
    share: float


@dataclass(slots=True, eq=False)
class _Session:
    plan: Plan
    hosts: int
    reservation: float = -inf  # the tags of its latest request
    limit: float = -inf
    share: float = -inf


class Tags(Baseline):
    """Reservation, limit and share tags at each node, over a fixed window.

    Times of tags are microseconds. A request dispatched by its share moves the session's later reservation
    tags back, as mClock has it, so that shares do not use reservations up.
    """

    def __init__(self, settings: Settings, seed: int = 0, look: Look = blind) -> None:
        super().__init__(settings, seed, look)
        self._held: dict[str, list[_Tagged]] = {}
        self._sessions: dict[tuple[str, str], _Session] = {}  # by node and volume

    def dispatch(self, work: Waiting, node: str) -> None:
        """Give a request its tags and hold it until its turn."""
        self._held.setdefault(node, []).append(self._tag(work, node))
        self.pump(node)

    def _tag(self, work: Waiting, node: str) -> _Tagged:
        ask, now = work.ask, float(self._now)
        session = self._sessions.get((node, ask.volume))
        if session is None:
            hosts = max(1, ask.hosts or self.settings.heads)
            plan = self._plans.get(ask.plan) or Plan(ask.plan)
            session = self._sessions[node, ask.volume] = _Session(plan, hosts)
        plan, part = session.plan, 1e6 * ask.units * session.hosts
        session.reservation = max(session.reservation + part / plan.reserve, now) if plan.reserve else inf
        session.limit = max(session.limit + part / plan.limit, now) if plan.limit else now
        session.share = max(session.share + part / max(plan.weight, 0.01), now)
        return _Tagged(work, session.reservation, session.limit, session.share)

    def unhold(self, work: Waiting) -> None:
        """Forget a held request that is over."""
        held = self._held.get(work.node)
        if held is not None:
            held[:] = [one for one in held if one.work is not work]

    def _next(self, held: list[_Tagged]) -> _Tagged | None:
        due = min(held, key=lambda one: one.reservation, default=None)
        if due is not None and due.reservation <= self._now:
            return due
        within = [one for one in held if one.limit <= self._now]
        chosen = min(within, key=lambda one: one.share, default=None)
        if chosen is not None:
            ask = chosen.work.ask
            session = self._sessions[chosen.work.node, ask.volume]
            if session.plan.reserve:
                back = 1e6 * ask.units * session.hosts / session.plan.reserve
                session.reservation -= back
                for one in self._later(held, chosen):
                    one.reservation -= back
        return chosen

    def _later(self, held: list[_Tagged], chosen: _Tagged) -> Iterator[_Tagged]:
        volume = chosen.work.ask.volume
        return (one for one in held if one is not chosen and one.work.ask.volume == volume)

    def pump(self, node: str) -> None:
        """Send by tags while the window has room; wake when the next tag is due."""
        held = self._held.get(node)
        while held and self._outstanding.get(node, 0) < TAG_WINDOW:
            chosen = self._next(held)
            if chosen is None:
                due = min(min(one.reservation, one.limit) for one in held)
                self._actions.append(SetTimer(f"{PUMP}{node}", max(self._now + 1, int(due) + 1)))
                return
            held.remove(chosen)
            if self.holder(self._nodes[node].shard) != node:
                self.give_up(chosen.work)
            else:
                self.send(chosen.work, node)


BASELINES: dict[str, type[Baseline]] = {
    "fifo": Fifo,
    "least-outstanding": LeastOutstanding,
    "two-choices": PowerOfTwo,
    "tags": Tags,
    "oracle": Oracle,
}
