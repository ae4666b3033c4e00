"""Well-known scheduling policies with the decision module's interface, as the baselines of measurements.

Each takes the same events and returns the same actions, so a head runs on it unchanged. None implements all
rules of the product: no pacing of cold nodes, only even shares of a reserve, no budget (each request is sent
once). Only the lab uses them.

- `Fifo`: every request is sent at once, in order of arrival; the nodes' queues do the waiting.
- `LeastOutstanding` and `PowerOfTwo`: the same, with new objects at the node with the fewest requests of this
  head in flight, among all nodes or among two drawn ones (Mitzenmacher, "The Power of Two Choices", 2001).
- `Tags`: a fixed window at each node, filled by reservation, limit and weight tags as in mClock and dmClock
  (Gulati et al., OSDI 2010); each head has an even share.
- `Oracle`: knows every node's true queue and refuses on arrival what can't be served by its aim.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from math import inf

from harriertrack.decisions.drain_grace import DrainGrace
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

ANSWER_TICKS = 2  # final answers are given this many ticks before the client's deadline
RESUBSCRIBE_US = 500_000
TAG_WINDOW = 8  # requests of one head in flight at a node under tags
RETRY, GIVE_UP, PUMP = "r", "g", "p"
QueueWait = Callable[[str], float]  # the true wait in a node's queue, in microseconds


def no_queue_wait(_node: str) -> float:
    """Return no wait: the policy doesn't know the queues."""
    return 0.0


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request between its arrival and its final answer."""

    arrival: RequestArrived
    kind: RequestClass
    deadline: int
    node: str = ""
    out: set[int] = field(default_factory=set)
    attempts: int = 0
    may_have_run: bool = False


class Baseline:
    """Node list, deadlines and final answers of all baselines; subclasses choose where and when to send."""

    def __init__(self, settings: Settings, seed: int = 0, queue_wait: QueueWait = no_queue_wait) -> None:
        self.settings = settings
        self._random = random.Random(seed)
        self._queue_wait = queue_wait
        self._classes = {one.name: one for one in settings.classes}
        self._plans = {plan.name: plan for plan in settings.plans}
        self._nodes: dict[str, NodeEntry] = {}
        self._graces: dict[str, DrainGrace] = {}
        self._works: dict[int, PendingRequest] = {}
        self._outstanding: dict[str, int] = {}
        self._actions: list[Action] = []
        self._now = 0

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Process the events of one moment and return the actions, in order."""
        self._now, self._actions = now, []
        for event in events:
            match event:
                case RequestArrived():
                    self._on_request_arrived(event)
                case AttemptEnded():
                    self._on_attempt_ended(event)
                case NodesChanged():
                    self._on_nodes_changed(event)
                case ClientLeft() if (work := self._works.get(event.request)) is not None:
                    self._close(work)
                case TimerFired():
                    self._on_timer(event.token)
        return self._actions

    # -- decisions of a subclass

    def dispatch(self, work: PendingRequest, node: str) -> None:
        """Send a request to the node that serves it, or queue it."""
        self.send(work, node)

    def place(self) -> str | None:
        """Choose a node for a new object."""
        up = self.nodes_up()
        return self._random.choice(up) if up else None

    def pump(self, node: str) -> None:
        """Send queued requests to a node at which an attempt ended."""

    def dequeue(self, work: PendingRequest) -> None:
        """Remove an ended request from its queue."""

    # -- node list

    def _on_nodes_changed(self, change: NodesChanged) -> None:
        if change.kind is ListKind.FAILED:
            self._actions.append(SetTimer(RETRY, self._now + RESUBSCRIBE_US))
            return
        if change.kind is ListKind.RESTORED and self.settings.list_on_request:
            self._actions.append(Subscribe(True))
        announced_at = min(change.announced_at or self._now, self._now)
        for entry in self._changed_entries(change):
            before = self._nodes.get(entry.node)
            grace = self._graces.setdefault(entry.node, DrainGrace())
            if before is not None:
                grace.note_change(before.state, entry.state, announced_at)
            self._nodes[entry.node] = entry

    def _changed_entries(self, change: NodesChanged) -> list[NodeEntry]:
        """Return the entries of an update, with those that a full list names no more as gone."""
        if change.kind is ListKind.CHANGES:
            return change.entries
        named = {entry.node for entry in change.entries}
        absent = [entry for entry in self._nodes.values() if entry.node not in named]
        return [*change.entries, *(replace(entry, state=NodeState.GONE) for entry in absent)]

    def nodes_up(self) -> list[str]:
        """Return the nodes that are up, in the order of the list."""
        return [entry.node for entry in self._nodes.values() if entry.state is NodeState.UP]

    def serving_node(self, shard: int) -> str | None:
        """Return the node that serves a shard: one that is up, else one in the first half of its grace."""
        best: NodeEntry | None = None
        for entry in self._nodes.values():
            if entry.shard != shard:
                continue
            if entry.state is NodeState.UP:
                if best is None or best.state is not NodeState.UP or entry.started_us > best.started_us:
                    best = entry
            elif best is None and self._accepts_requests(entry):
                best = entry
        return best.node if best is not None else None

    def _accepts_requests(self, entry: NodeEntry) -> bool:
        grace_us = self.settings.drain_grace_us
        return self._graces[entry.node].accepts_requests(entry.state, self._now, grace_us)

    # -- requests

    def _on_request_arrived(self, event: RequestArrived) -> None:
        kind = self._classes.get(event.class_name)
        if kind is None:
            self._actions.append(Refuse(event.request))
            return
        work = self._works[event.request] = PendingRequest(event, kind, self._now + event.time_left_us)
        last = max(self._now + 1, work.deadline - ANSWER_TICKS * self.settings.tick_us)
        self._actions.append(SetTimer(f"{GIVE_UP}{event.request}", last))
        node = self.place() if event.shard < 0 else self.serving_node(event.shard)
        if node is None:
            self.give_up(work)
            return
        work.node = node
        self.dispatch(work, node)

    def _on_timer(self, token: str) -> None:
        if token == RETRY:
            self._actions.append(Subscribe(True))
        elif token.startswith(GIVE_UP):
            if (work := self._works.get(int(token[1:]))) is not None:
                self.give_up(work)
        elif token.startswith(PUMP):
            self.pump(token[1:])

    def send(self, work: PendingRequest, node: str) -> None:
        """Send an attempt."""
        self._actions.append(Send(work.arrival.request, node))
        work.out.add(work.attempts)
        work.attempts += 1
        self._outstanding[node] = self._outstanding.get(node, 0) + 1

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
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
        """Update estimates from an outcome."""

    def give_up(self, work: PendingRequest, hint: int = 0) -> None:
        """Give the final answer: a refusal where a retry is harmless, else a failure."""
        if (work.may_have_run or work.out) and work.kind.effect is not Effect.SAFE:
            self._actions.append(Fail(work.arrival.request))
        else:
            hint = min(max(0, hint), self.settings.max_hint_us) if self.settings.may_hint else 0
            self._actions.append(Refuse(work.arrival.request, hint))
        self._close(work)

    def _close(self, work: PendingRequest) -> None:
        self._works.pop(work.arrival.request, None)
        self.dequeue(work)
        if self.settings.may_cancel:
            self._actions.extend(Cancel(work.arrival.request, attempt) for attempt in sorted(work.out))


class Fifo(Baseline):
    """Plain first in, first out."""


class LeastOutstanding(Baseline):
    """New objects go to the node with the fewest requests of this head in flight."""

    def place(self) -> str | None:
        """Choose the node with the fewest requests in flight; of equals the first in the list."""
        return min(self.nodes_up(), key=lambda node: self._outstanding.get(node, 0), default=None)


class PowerOfTwo(Baseline):
    """New objects go to the less busy of two drawn nodes."""

    def place(self) -> str | None:
        """Draw two nodes and choose the one with fewer requests in flight."""
        up = self.nodes_up()
        drawn = self._random.sample(up, min(2, len(up)))
        return min(drawn, key=lambda node: self._outstanding.get(node, 0), default=None)


class Oracle(Baseline):
    """Knows every queue: sends what can be served by its aim, and refuses the rest on arrival."""

    def __init__(self, settings: Settings, seed: int = 0, queue_wait: QueueWait = no_queue_wait) -> None:
        super().__init__(settings, seed, queue_wait)
        self._service_us = 0.0  # shortest recent time of a request of the mean size

    def place(self) -> str | None:
        """Choose the node with the shortest true wait."""
        return min(self.nodes_up(), key=self._queue_wait, default=None)

    def dispatch(self, work: PendingRequest, node: str) -> None:
        """Send a request that can be served by its aim, else refuse it."""
        wait = self._queue_wait(node)
        service = self._service_us * work.arrival.units / max(1.0, self.settings.mean_units)
        late = wait + service - work.kind.aim_us
        if late > 0:
            self.give_up(work, self.settings.max_hint_us if late == inf else int(late))
        else:
            self.send(work, node)

    def learn(self, event: AttemptEnded) -> None:
        """Follow the shortest times, which contain no queueing."""
        if event.result is not Result.OK:
            return
        elapsed_us = float(event.elapsed_us)
        if not self._service_us or elapsed_us < self._service_us:
            self._service_us = elapsed_us
        else:
            self._service_us += 0.002 * (elapsed_us - self._service_us)


@dataclass(slots=True, eq=False)
class _Tagged:
    work: PendingRequest
    reservation: float
    limit: float
    share: float


@dataclass(slots=True, eq=False)
class _Session:
    plan: Plan
    hosts: int
    reservation: float = -inf  # tags of its latest request
    limit: float = -inf
    share: float = -inf


class Tags(Baseline):
    """Reservation, limit and share tags at each node, over a fixed window.

    Tags are times in microseconds. A request dispatched by its share tag moves the session's later
    reservation tags back, as in mClock, so that shares don't use up reservations.
    """

    def __init__(self, settings: Settings, seed: int = 0, queue_wait: QueueWait = no_queue_wait) -> None:
        super().__init__(settings, seed, queue_wait)
        self._queues: dict[str, list[_Tagged]] = {}
        self._sessions: dict[tuple[str, str], _Session] = {}  # by node and volume

    def dispatch(self, work: PendingRequest, node: str) -> None:
        """Tag a request and queue it until its tags allow sending."""
        self._queues.setdefault(node, []).append(self._tag(work, node))
        self.pump(node)

    def _tag(self, work: PendingRequest, node: str) -> _Tagged:
        arrival, now = work.arrival, float(self._now)
        session = self._sessions.get((node, arrival.volume))
        if session is None:
            hosts = max(1, arrival.hosts or self.settings.heads)
            plan = self._plans.get(arrival.plan) or Plan(arrival.plan)
            session = self._sessions[node, arrival.volume] = _Session(plan, hosts)
        plan, part = session.plan, 1e6 * arrival.units * session.hosts
        session.reservation = max(session.reservation + part / plan.reserve, now) if plan.reserve else inf
        session.limit = max(session.limit + part / plan.limit, now) if plan.limit else now
        session.share = max(session.share + part / max(plan.weight, 0.01), now)
        return _Tagged(work, session.reservation, session.limit, session.share)

    def dequeue(self, work: PendingRequest) -> None:
        """Remove an ended request from its queue."""
        queue = self._queues.get(work.node)
        if queue is not None:
            queue[:] = [one for one in queue if one.work is not work]

    def _next(self, queue: list[_Tagged]) -> _Tagged | None:
        due = min(queue, key=lambda one: one.reservation, default=None)
        if due is not None and due.reservation <= self._now:
            return due
        within = [one for one in queue if one.limit <= self._now]
        chosen = min(within, key=lambda one: one.share, default=None)
        if chosen is not None:
            arrival = chosen.work.arrival
            session = self._sessions[chosen.work.node, arrival.volume]
            if session.plan.reserve:
                back = 1e6 * arrival.units * session.hosts / session.plan.reserve
                session.reservation -= back
                for one in self._later(queue, chosen):
                    one.reservation -= back
        return chosen

    def _later(self, queue: list[_Tagged], chosen: _Tagged) -> Iterator[_Tagged]:
        volume = chosen.work.arrival.volume
        return (one for one in queue if one is not chosen and one.work.arrival.volume == volume)

    def pump(self, node: str) -> None:
        """Send by tags while the window is not full; set a timer for the next due tag."""
        queue = self._queues.get(node)
        while queue and self._outstanding.get(node, 0) < TAG_WINDOW:
            chosen = self._next(queue)
            if chosen is None:
                due = min(min(one.reservation, one.limit) for one in queue)
                self._actions.append(SetTimer(f"{PUMP}{node}", max(self._now + 1, int(due) + 1)))
                return
            queue.remove(chosen)
            if self.serving_node(self._nodes[node].shard) != node:
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
