"""Scheduling decisions of a head: which requests are sent, queued or refused, and where new objects go.

Settings, events and actions are defined in decisions/interface.py. The mechanism is that of DAOS QoS (see
docs/design.md): a volume is a session that pays for each request with credits. At each node, sessions under
their reservation go first, then weighted round robin, first in first out inside a session. A window bounds
the requests in flight at a node. A request that would wait past its aim is refused on arrival with a hint.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from harriertrack.decisions.bucket import Bucket, DecayingSum
from harriertrack.decisions.drain_grace import DrainGrace
from harriertrack.decisions.interface import (
    Action,
    AttemptEnded,
    BudgetShares,
    Cancel,
    ClientLeft,
    DedupScope,
    Effect,
    Event,
    Fail,
    ListKind,
    Log,
    NodeEntry,
    NodesChanged,
    NodeState,
    Plan,
    Refuse,
    RequestArrived,
    RequestClass,
    ResponseStarted,
    Result,
    Send,
    SetTimer,
    Settings,
    SettingsChanged,
    Subscribe,
    TimerFired,
    Weights,
)  # fmt: skip
from harriertrack.decisions.module_timers import ModuleTimers
from harriertrack.decisions.volume_accounts import (
    MAX_IDLE_VOLUMES,
    Session,
    Volume,
    Volumes,
    drop_forgettable,
    drop_idle,
)

PAYLOAD_LARGEST = 16  # a session's payload pool, in requests of the largest size: ample, but bounds its bytes
WINDOW_START = 3.0  # small: the other heads start at the same moment
WINDOW_MIN = 1.0  # still a trickle: with less, the node's recovery would go unnoticed
WINDOW_MAX = 32.0  # the design's upper bound
WIDEN = 1.3  # widen while the recent latency per unit is below this multiple of its best value
NARROW_AT = 1.7  # narrow while it is above this multiple
NARROW = 0.85  # factor of one narrowing step; at most one step per mean latency
BEST_RISE = 0.003  # the best latency rises by this share per answered window: a node may slow down for good
MEAN_GAIN = 0.05  # weight of one answer in the head's mean latency over all nodes
LATENCY_GAIN = 0.2  # weight of one answer in a node's mean latency
UNANSWERED_GAIN, FULL_GAIN = 0.2, 0.6  # the same for an unanswered attempt and a full queue (surer signs)
OVERDUE_US = 400_000  # an answer is overdue after this, which exceeds usual pauses and flushes ...
OVERDUE_TIMES = 4.0  # ... and after this many mean latencies of its node
SILENT_AFTER = 4.0  # overdue in a row that make a node silent where answers get lost; elsewhere one is enough
LOST_SHARE_START = 0.6  # share of overdue attempts assumed to be lost, not slow, until there is evidence
LOST_SHARE_GAIN = 0.3  # weight of one overdue attempt in that share
TRIAL_US = 500_000  # interval between requests to a silent node, doubled after each ...
TRIAL_MAX_US = 2_000_000  # ... up to this
UNSAFE_TRIAL_US = 10_000_000  # how long a due trial waits for a safe request, which may be lost at no cost
COLD_UNPACED = 0.6  # pacing of a cold node ends once this share of the permitted rate is its full capacity
SERVED_DECAY_US = 10_000_000  # decay time of the sum of units that a node served
BACKGROUND_AIM = 3.0  # a class is background if its aim is this many times the shortest and its worth is less
RESUBSCRIBE_US, RESUBSCRIBE_MAX_US = 300_000, 4_000_000  # delay after a failed list call, doubled each time
STALL_US = 100_000  # a timer that fires this late shows that the head itself was stalled
ANSWER_TICKS = 2  # final answers are given this many ticks before the client's deadline
CANDIDATES = 16  # nodes compared for a new object: the cost must not grow with the fleet
IDLE_STATE_US = 60_000_000  # nodes that left and volumes that were idle for this long are dropped
SCORE_JITTER = 0.3  # random share of a placement score: heads with equal data must not all pick one node
AGING_US = 3_000_000  # at this age a node's latency counts half, the mean of all nodes the other half
CROWDED = (0.6, 1.3)  # latency, in shortest aims, at which refusals of reserved work begin and peak
CROWDED_UNRESERVED = (0.4, 0.75)  # the same for work beyond the reserve and background work: it yields first
SPARSE_US = 1_000_000  # a head that uses a node this rarely has no backlog there: only latency shows overload
CROWDED_MAX = 0.9  # some requests always pass, or a lower latency would never be observed
METER_GAIN = 0.3  # weight of one meter reading


@dataclass(slots=True, eq=False)
class _Work:
    arrival: RequestArrived
    kind: RequestClass
    session: Session
    aim_at: int
    deadline: int
    shard: int
    node: _Node | None = None  # whose queue it is in
    out: set[int] = field(default_factory=set)  # attempts in flight
    tries: int = 0
    limit_until: int = 0  # when its volume's limit admits it
    risky_at: int | None = None  # when the first attempt that may have run was sent ...
    risky_node: NodeEntry | None = None  # ... and to which node, as it was listed then
    late: bool = False  # its aim had passed on arrival
    done: bool = False
    streaming: bool = False
    charged: bool = False  # against its volume's limit


@dataclass(slots=True, eq=False)
class _Attempt:
    sent_at: int
    entry: NodeEntry  # of its node, as listed when it was sent
    units: float
    filled_window: bool
    overdue: bool = False


@dataclass(slots=True, eq=False)
class _Node:
    entry: NodeEntry
    state_since: int  # when its state was announced to this head
    last_seen: int
    served: DecayingSum  # units that it served this head
    held: dict[Session, deque[_Work]] = field(default_factory=dict)  # queues, in round-robin order
    held_units: float = 0.0
    deficit: dict[Session, float] = field(default_factory=dict)
    out: dict[tuple[int, int], _Attempt] = field(default_factory=dict)  # attempts in flight
    overdue: int = 0  # attempts in flight that are presumed lost and don't count against the window
    unanswered: int = 0  # attempts that became overdue since the last answer
    connect_failures: int = 0  # since the last answer
    refusal_draw: float = 0.0  # random number that decides refusals
    draw_at: int = -1_000_000_000
    last_request_at: int = 0
    last_request_key: str = ""
    gap_us: float = SPARSE_US  # mean time between requests to it
    pump_at: int = 0
    window: float = WINDOW_START
    mean_units: float = 0.0  # running means of answered attempts
    mean_elapsed: float = 0.0
    best_us: float = 0.0  # best time per unit; 0: no answer yet, counts as average
    latency_us: float = 0.0
    narrowed_at: int = 0
    last_answered: int = 0  # send time of the newest answered attempt
    silent_at: int = 0  # 0: not suspected
    trial_at: int = 0
    trial_wait_us: int = TRIAL_US
    cold_until: int = 0
    cold_bucket: Bucket = field(default_factory=lambda: Bucket(0))  # send allowance while it is cold
    past_rate: float = 0.0  # units/us that it, or the node it replaces, served this head when last healthy
    size_ratio: float = 1.0  # its size relative to the node of that time, at most 1; 0: unknown
    last_key: str = ""
    reserved_share: float = 0.0  # share of recent sends under a reservation: round robin has the rest
    grace: DrainGrace = field(default_factory=DrainGrace)


def _is_obsolete(arguments: tuple) -> bool:
    """Whether a timer with these arguments concerns a request that has its final answer."""
    return bool(arguments) and isinstance(arguments[0], _Work) and arguments[0].done


class Scheduler:
    """The decision module of one head: takes batches of events and returns the actions to carry out."""

    def __init__(self, settings: Settings, seed: int = 0, volumes: Volumes | None = None,
                 shares: BudgetShares | None = None, weights: Weights | None = None) -> None:  # fmt: skip
        """Start without state; the modules of a head's cells share `volumes`, whose limits span the cells."""
        self._shares, self._weights = shares, weights
        self._random = random.Random(seed)
        self._volumes: Volumes = {} if volumes is None else volumes
        self._crowded_at = MAX_IDLE_VOLUMES  # the number of volumes at which idle ones are looked for
        self._nodes: dict[str, _Node] = {}
        self._index_nodes()
        self._works: dict[int, _Work] = {}
        self._longest_left: dict[str, int] = {}  # longest time left on arrival, by class
        self._lines: dict[str, deque[_Work]] = {}
        self._settled: dict[str, int] = {}  # by key: when an attempt without an answer has taken effect
        self._request_times: deque[int] = deque()  # of clients' requests in the budget's window
        self._extra_times: deque[int] = deque()  # of further attempts in the budget's window
        self._timers = ModuleTimers(_is_obsolete)
        self._wake_at = 0
        self._resubscribe_wait = RESUBSCRIBE_US
        self._mean_latency, self._lost_share, self._stalled = 0.0, LOST_SHARE_START, False
        self._actions: list[Action] = []
        self._to_pump: dict[_Node, None] = {}  # nodes whose queues are served at the end of this batch
        self._now, self._started_at = 0, -1  # time of the first batch or of the last change of settings
        self._apply_settings(settings)

    def _apply_settings(self, settings: Settings) -> None:
        self.settings = settings
        self._classes = {kind.name: kind for kind in settings.classes}
        self._plans = {plan.name: plan for plan in settings.plans}
        self._shortest_aim = min(kind.aim_us for kind in settings.classes)
        self._highest_worth = max(kind.worth for kind in settings.classes)

    def _change_settings(self, settings: Settings) -> None:
        """Apply changed settings at run time. A raised limit fills no bucket, neither an existing nor a new
        one; earlier requests keep their times and check their limit again when they were due to."""
        self._started_at, self._longest_left = self._now, {}
        longest = max(kind.deadline_us for kind in self._classes.values())
        self._at(self._now + longest, self._longest_left.clear)  # by then all earlier requests are over
        self._apply_settings(settings)
        for volume in self._volumes.values():
            before, volume.plan = volume.plan, self._plans.get(volume.plan.name, volume.plan)
            self._set_reserve_share(volume)
            if volume.limit is None or volume.plan.limit <= 0 or type(volume.limit) is Bucket:
                self._set_limit(volume)  # else a share of a fleet-wide budget: that carries its level over
            for session in volume.sessions.values():
                session.weight *= max(volume.plan.weight, 0.01) / max(before.weight, 0.01)

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Process the events of one moment and return the actions, in order."""
        self._now = now
        if self._started_at < 0:
            self._started_at = now
            self._drop_idle_state()
        actions: list[Action] = []
        to_pump: dict[_Node, None] = {}
        self._actions, self._to_pump = actions, to_pump
        next_timer = self._timers.next_at()
        self._stalled = next_timer is not None and now - next_timer > STALL_US
        for event in events:
            match event:
                case RequestArrived():
                    self._on_request_arrived(event)
                case AttemptEnded():
                    self._on_attempt_ended(event)
                case NodesChanged():
                    self._on_nodes_changed(event)
                    to_pump.update(dict.fromkeys(self._nodes.values()))
                case ClientLeft() if event.request in self._works:
                    self._close(self._works[event.request])
                case ResponseStarted() if event.request in self._works:
                    self._works[event.request].streaming = True
                case SettingsChanged():
                    self._change_settings(event.settings)
                case TimerFired() if event.token == str(self._wake_at):
                    self._wake_at = 0
        while (due := self._timers.take_due(now)) is not None:
            due.act(*due.arguments)
        for node in list(to_pump):
            self._pump(node)
        next_timer = self._timers.next_at()
        if next_timer is not None and (not self._wake_at or next_timer < self._wake_at):
            self._wake_at = max(next_timer, now + 1)
            actions.append(SetTimer(str(self._wake_at), self._wake_at))
        return actions

    def _at(self, when: int, act: Callable[..., None], *arguments: object) -> None:
        self._timers.add(when, act, arguments)

    def _on_nodes_changed(self, change: NodesChanged) -> None:
        """Apply the node list; a failed list call is repeated with exponential backoff and jitter."""
        if change.kind is ListKind.FAILED:
            wait = int(self._resubscribe_wait * (1 + self._random.random()))
            self._resubscribe_wait = min(self._resubscribe_wait * 2, RESUBSCRIBE_MAX_US)
            self._at(self._now + wait, lambda: self._actions.append(Subscribe(True)))
            return
        if change.kind is not ListKind.RESTORED:
            self._resubscribe_wait = RESUBSCRIBE_US
        elif self.settings.list_on_request:
            self._actions.append(Subscribe(True))
        announced_at = min(change.announced_at or self._now, self._now)
        for entry in change.entries:
            node = self._nodes.get(entry.node)
            before = node.entry.started_us if node else 0
            if node is None:
                predecessor = [old for old in self._nodes.values() if old.entry.shard == entry.shard]
                node = self._nodes[entry.node] = _Node(entry, announced_at, self._now, self._new_served_sum())
                self._inherit_past_rate(node, max(predecessor, key=self._update_past_rate, default=None))
            elif entry.state is not node.entry.state or entry.started_us > before:
                self._update_past_rate(node)
                if entry.state is not node.entry.state:
                    node.grace.note_change(node.entry.state, entry.state, announced_at)
                    node.state_since, node.served = announced_at, self._new_served_sum()
            node.entry = entry
            if entry.started_us > before and self._now - entry.started_us < self.settings.warm_us:
                self._mark_cold(node, entry.started_us)
        if change.kind is not ListKind.CHANGES:
            named = {entry.node for entry in change.entries}
            for name, node in self._nodes.items():
                if name not in named and node.entry.state is not NodeState.GONE:
                    self._update_past_rate(node)
                    node.grace.note_change(node.entry.state, NodeState.GONE, announced_at)
                    node.state_since, node.served = announced_at, self._new_served_sum()
                    node.entry = replace(node.entry, state=NodeState.GONE)
        self._index_nodes()
        lost = [node for node in self._nodes.values() if node.held and not self._accepts_requests(node)]
        for work in [work for node in lost for queue in node.held.values() for work in queue]:
            self._dequeue(work)
            self._route(work)

    def _index_nodes(self) -> None:
        """Index the nodes by shard and those that are up, so that no request scans the whole fleet."""
        self._up: list[_Node] = [node for node in self._nodes.values() if node.entry.state is NodeState.UP]
        self._by_shard: dict[int, list[_Node]] = {}
        for node in self._nodes.values():
            self._by_shard.setdefault(node.entry.shard, []).append(node)

    def _drop_idle_state(self) -> None:
        """Drop nodes that left and idle volumes: state must not grow while the process runs."""
        self._at(self._now + IDLE_STATE_US, self._drop_idle_state)
        before = self._now - IDLE_STATE_US
        for node in [node for node in self._nodes.values() if node.entry.state is NodeState.GONE]:
            if not node.out and node.state_since < before:
                del self._nodes[node.entry.node]
        drop_idle(self._volumes, self._now, before)
        self._settled = {key: until for key, until in self._settled.items() if until > self._now}
        self._index_nodes()

    def _bound_volumes(self) -> None:
        """Drop volumes early where there are many, so that their number follows that of open requests."""
        if len(self._volumes) < self._crowded_at:
            return
        longest_us = max(kind.deadline_us for kind in self._classes.values())
        drop_idle(self._volumes, self._now, self._now - longest_us)
        drop_forgettable(self._volumes, self._now)
        self._crowded_at = max(MAX_IDLE_VOLUMES, 2 * len(self._volumes))

    def _accepts_requests(self, node: _Node) -> bool:
        """Whether a node may get new requests: it is up, or draining and in the first half of the grace."""
        return node.grace.accepts_requests(node.entry.state, self._now, self.settings.drain_grace_us)

    def _serving_node(self, work: _Work) -> _Node | None:
        """Return the node that serves a request's shard: one that is up, else one in its drain's grace."""
        able = [
            node
            for node in self._by_shard.get(work.shard, ())
            if self._accepts_requests(node) and self._in_dedup_zone(work, node)
        ]
        return max(able, key=lambda n: (n.entry.state is NodeState.UP, n.entry.started_us), default=None)

    def _mark_cold(self, node: _Node, since: int) -> None:
        """Treat a node as just started: all heads together send it little, and more as it warms up."""
        node.cold_until = since + self.settings.warm_us
        node.window, node.silent_at = WINDOW_MIN, 0
        # All heads learn of a start at once. A random initial debt of up to one request spreads their first
        # sends over a period, so that together they send as much in the first window as in any other. The
        # rule's slack (three standard deviations of a Poisson count) covers the variation that remains.
        mean = self.settings.mean_units
        node.cold_bucket = Bucket(self._now, capacity=mean, level=-mean * self._random.random())

    def _new_served_sum(self) -> DecayingSum:
        return DecayingSum(SERVED_DECAY_US, self._now, self._now)

    def _update_past_rate(self, node: _Node) -> float:
        """Store the rate at which a node served this head, if it was healthy until now: its rate while cold,
        silent or draining shows nothing about its capacity. Return the stored rate."""
        if node.entry.state is NodeState.UP and not node.silent_at and self._now >= node.cold_until:
            node.past_rate, node.size_ratio = node.served.rate(self._now, self.settings.fall_us), 1.0
        return node.past_rate

    def _inherit_past_rate(self, node: _Node, predecessor: _Node | None) -> None:
        """Adopt the past rate of the shard's previous node, scaled by size: a smaller node can take less. For
        a node of unknown size only what any cold node can take is known, if the settings give that."""
        if predecessor is None:
            return
        new, old = node.entry, predecessor.entry
        if self.settings.list_has_sizes and new.size > 0 and old.size > 0:
            scale = min(1.0, new.size / old.size)
        else:
            same_kind = new.kind != "" and new.kind == old.kind
            scale = 1.0 if same_kind or not self.settings.cold_units else 0.0
        node.past_rate, node.size_ratio = predecessor.past_rate, predecessor.size_ratio * scale

    def _cold_wait(self, node: _Node) -> int:
        """Return how long until this head may send a request to a cold node; 0: now.

        Before, all heads together sent at most the node's full capacity. If each keeps to a fraction of its
        own past rate, together they keep to that fraction of the capacity: the mean that the rules allow at
        the lowest warm-up that they guarantee. Random variation of three standard deviations of a count is
        allowed on top: once its whole past rate is allowed, a head may save up that much. A head without a
        past rate gets its share of what any cold node can take.
        """
        settings, cold, growth = self.settings, node.cold_bucket, 1 - self.settings.cold_share
        before, capacity = (1 - growth * min(1.0, (node.cold_until - at) / max(1, settings.warm_us))
                            for at in (cold.updated_at, self._now))  # fmt: skip
        allowed = settings.fall_multiple * capacity * node.size_ratio
        if self._now >= node.cold_until or COLD_UNPACED * allowed >= 1:
            return 0
        safe_rate = settings.cold_units / max(1.0, settings.fall_us * settings.cold_share)
        least = safe_rate / settings.heads
        if self._shares is not None:
            least = self._shares.cold(self._now, node.entry.node, 1e6 * safe_rate, settings.mean_units) / 1e6
        base_rate = max(settings.fall_multiple * node.past_rate * node.size_ratio, least)
        window = base_rate * capacity * settings.fall_us / settings.mean_units
        cold.capacity = settings.mean_units * max(1.0, window + 3 * window**0.5 if allowed >= 1 else 0.0)
        cold.rate = 1e6 * base_rate * (before + capacity) / 2  # mean since the last refill
        cold.refill(self._now)
        cold.rate = 1e6 * base_rate * capacity
        return cold.wait_us(self._now, 0.0)

    def _on_overdue(self, node: _Node, key: tuple[int, int]) -> None:
        """Handle an overdue answer: it no longer fills the window, and several in a row mark the node silent.
        One alone may be a lost answer: the number needed follows the share of overdue attempts that were
        lost. Drawback: a very slow node gets one more request for each."""
        if (attempt := node.out.get(key)) is None:
            return
        self._observe_unanswered(node, attempt)
        node.overdue, attempt.overdue = node.overdue + 1, True
        if attempt.sent_at > node.last_answered:
            node.unanswered += 1
            if node.unanswered > (SILENT_AFTER - 1) * self._lost_share + 0.5:
                self._mark_suspect(node, "silent")
        else:
            self._lost_share += LOST_SHARE_GAIN * (1 - self._lost_share)
        self._pump(node)

    def _full(self, node: _Node) -> bool:
        return len(node.out) - node.overdue >= int(node.window)

    def _mark_suspect(self, node: _Node, why: str) -> None:
        """Send only occasional trial requests to a silent or unreachable node until it answers."""
        if not node.silent_at:
            self._update_past_rate(node)
            self._actions.append(Log(f"node {node.entry.node} {why}"))
            node.silent_at, node.trial_wait_us, node.window = self._now, TRIAL_US, WINDOW_MIN
        node.trial_at = self._now + node.trial_wait_us
        node.trial_wait_us = min(node.trial_wait_us * 2, TRIAL_MAX_US)
        self._at(node.trial_at, self._pump, node)

    def _on_answer(self, node: _Node, sent_at: int) -> None:
        """Record an answer. After a long silence, unless it is old, it may follow a restart: cold."""
        if node.silent_at:
            self._actions.append(Log(f"node {node.entry.node} back"))
            if sent_at > node.silent_at - OVERDUE_US and self._now - node.silent_at > OVERDUE_US * 5:
                self._mark_cold(node, self._now)
            node.silent_at = 0
        for attempt in node.out.values() if node.overdue else ():
            if attempt.overdue and node.last_answered < attempt.sent_at < sent_at:
                self._lost_share += LOST_SHARE_GAIN * (1 - self._lost_share)
        node.last_seen, node.last_answered = self._now, max(node.last_answered, sent_at)
        node.unanswered = node.connect_failures = 0

    def _on_request_arrived(self, event: RequestArrived) -> None:
        now, kind = self._now, self._classes.get(event.class_name)
        if kind is None or event.request in self._works:
            self._actions.extend([Refuse(event.request)] if kind is None else [])
            return
        if self.settings.budget_window_us and not (event.further_part or event.reoffered):
            self._request_times.append(now)
            self._trim_budget_times()
        # A client's retry has less time left; its aim counts from the first try, or from the latest re-offer.
        full = self._longest_left[kind.name] = max(self._longest_left.get(kind.name, 0), event.time_left_us)
        aim_at = now + kind.aim_us - (0 if event.reoffered else full - event.time_left_us)
        work = _Work(event, kind, self._session(event, kind), aim_at, now + event.time_left_us, event.shard)
        work.tries, work.charged = event.attempts_made, event.attempts_made > 0
        work.risky_at = now - event.may_have_run_us if event.may_have_run_us >= 0 else None
        work.risky_node = event.may_have_run_on
        if aim_at <= now:
            work.late, work.aim_at = event.time_left_us > kind.aim_us, work.deadline
        self._works[event.request] = work
        work.session.volume.open_requests += 1
        if kind.in_order and event.key:
            self._lines.setdefault(event.key, deque()).append(work)
        self._at(max(now + 1, work.deadline - ANSWER_TICKS * self.settings.tick_us), self._give_up, work, 0)
        self._route(work)

    def _session(self, arrival: RequestArrived, kind: RequestClass) -> Session:
        volume = self._volumes.get((arrival.volume, arrival.plan))
        if volume is None:
            self._bound_volumes()
            plan = self._plans.get(arrival.plan) or Plan(arrival.plan)
            store = Bucket(self._now, capacity=plan.reserve, level=plan.reserve)
            volume = self._volumes[(arrival.volume, arrival.plan)] = Volume(plan, store, self._now)
        hosts = max(1, arrival.hosts or self.settings.heads)
        if hosts > volume.hosts:
            volume.hosts = hosts
            self._set_reserve_share(volume)
            self._set_limit(volume)
        if self._shares is not None and volume.plan.limit > 0:
            volume.limit = self._shares.limit(self._now, arrival, volume.plan) or volume.limit
        background = kind.aim_us >= BACKGROUND_AIM * self._shortest_aim and kind.worth < self._highest_worth
        session = volume.sessions.get(background)
        if session is None:
            part = max(kind.worth, 0.01) / self._highest_worth if background else 1.0
            weight = max(volume.plan.weight, 0.01) * part
            pool = PAYLOAD_LARGEST * max(self.settings.most_units, 1.0)
            session = volume.sessions[background] = Session(volume, weight, background, pool)
        return session

    def _set_limit(self, volume: Volume) -> None:
        # What an earlier incarnation of this head sent is unknown: the bucket starts empty, not full.
        part, most = volume.plan.limit / volume.hosts, volume.plan.limit_burst / volume.hosts
        level = 0.0 if volume.limit is None else min(volume.limit.refill(self._now), most)
        grown = part * (self._now - self._started_at) / 1e6 if volume.limit is None else 0.0
        volume.limit = Bucket(self._now, part, most, min(most, level + grown)) if part > 0 else None

    def _set_reserve_share(self, volume: Volume) -> None:
        """Set this head's share of a reserve: an even share, or what other heads leave by the meters."""
        part = volume.plan.reserve / volume.hosts
        if self.settings.meter_us:
            part = max(part, volume.plan.reserve - volume.others_rate)
        volume.reserve.refill(self._now)
        volume.reserve.rate, volume.reserve.capacity = part, part + self.settings.most_units

    def _route(self, work: _Work) -> None:
        """Queue a request at the node that serves it, or at a chosen one; refuse it if it would be late."""
        node = self._choose_node(work) if work.shard < 0 else self._serving_node(work)
        # A silent node gets a safe request now and then: a refusal earns nothing either, and an answer would
        # show that the node is up. Where none comes for long, another one is its trial.
        patience = 0 if work.kind.effect is Effect.SAFE else UNSAFE_TRIAL_US
        barred = node is not None and self._now < node.trial_at + patience
        if node is not None and node.silent_at and not barred and self._shares is not None:
            # the heads share one budget of trials
            barred = not self._shares.trial(self._now, node.entry.node)
        if node is None or (node.silent_at and barred):
            return self._give_up(work, self.settings.max_hint_us)
        if node.silent_at:
            return self._enqueue(work, node)
        # A repeated key is a retry or a sequential run, not a new request.
        if work.arrival.key != node.last_request_key or not node.last_request_key:
            node.gap_us += LATENCY_GAIN * (min(self._now - node.last_request_at, 2 * SPARSE_US) - node.gap_us)
            node.last_request_at, node.last_request_key = self._now, work.arrival.key
        if work.arrival.reoffered:  # else one whose own service exceeds its aim would never be sent
            work.aim_at = max(work.aim_at, self._now + 2 * self._service_us(work, node))
        limit, wait, busy = work.session.volume.limit, self._wait(work, node), node.held or self._full(node)
        wait = max(wait, self._cold_wait(node))
        if limit is not None and not work.charged:
            # A re-offer can come later at no cost, so it also waits for the units queued ahead: the refill of
            # one unit must not admit a burst.
            queue = node.held.get(work.session, ()) if work.arrival.reoffered else ()
            ahead = sum(held.arrival.units for held in queue if not held.charged)
            wait = max(wait, limit.wait_us(self._now, ahead + work.arrival.units))
        if wait > work.aim_at - self._now or (work.late and busy):
            self._give_up(work, wait)
        elif self._is_crowded(work, node):
            self._give_up(work, self.settings.max_hint_us)
        else:
            self._enqueue(work, node)

    def _latency(self, node: _Node) -> float:
        """Return a node's latency, aged toward the mean of all nodes: sparse traffic seldom updates it."""
        mean = self._mean_latency
        return mean + ((node.latency_us or mean) - mean) * AGING_US / (AGING_US + self._now - node.last_seen)

    def _is_crowded(self, work: _Work, node: _Node) -> bool:
        """Whether to refuse as latency shows that all heads together overload a node, unreserved work first.
        A head that rarely uses a node has no queue there, so only admission can order work among heads. Also
        guards against slow nodes. Drawback: after a pause, unreserved work is refused at a free node."""
        low, high = CROWDED if self._under_reservation(work.session) else CROWDED_UNRESERVED
        pressure = min(CROWDED_MAX, (self._latency(node) / self._shortest_aim - low) / (high - low))
        if self._now > node.draw_at + self._shortest_aim:  # one draw per aim, also for retries
            node.refusal_draw, node.draw_at = self._random.random(), self._now
        return node.refusal_draw < pressure * min(1.0, node.gap_us / SPARSE_US) ** 2

    def _enqueue(self, work: _Work, node: _Node, first: bool = False) -> None:
        work.node = node
        self._to_pump[node] = None
        queue = node.held.setdefault(work.session, deque())
        node.deficit.setdefault(work.session, 0.0)
        (queue.appendleft if first else queue.append)(work)
        node.held_units += work.arrival.units
        if not work.late:
            self._at(max(work.aim_at - self._service_us(work, node), self._now + 1), self._check_aim, work)

    def _dequeue(self, work: _Work) -> None:
        if (node := work.node) is None:
            return
        work.node = None
        node.held[work.session].remove(work)
        node.held_units -= work.arrival.units
        if not node.held[work.session]:
            del node.held[work.session], node.deficit[work.session]

    def _check_aim(self, work: _Work) -> None:
        """Give up a queued request that can't be served by its aim, in favour of others that can."""
        if work.node is None:
            return
        spare = work.aim_at - self._service_us(work, work.node) - self._now
        if spare > 0:
            self._at(self._now + spare, self._check_aim, work)
        else:
            self._give_up(work, self._wait(work, work.node))

    def _service_us(self, work: _Work, node: _Node) -> int:
        return int(self._latency(node) + (work.arrival.units - self.settings.mean_units) * node.best_us)

    def _give_up(self, work: _Work, hint: int) -> None:
        """Give the final answer: a refusal where a retry is harmless, else a failure."""
        if work.done or work.streaming:
            return
        kind, never_ran = work.kind, work.risky_at is None and not work.out
        if (never_ran or kind.effect is Effect.SAFE
                or (kind.effect, kind.group) == (Effect.KEYED, DedupScope.ALL)):  # fmt: skip
            hint = min(max(0, int(hint)), self.settings.max_hint_us) if self.settings.may_hint else 0
            self._actions.append(Refuse(work.arrival.request, hint))
        else:
            self._actions.append(Fail(work.arrival.request))
        self._close(work)

    def _close(self, work: _Work) -> None:
        """End a request: remove it from its queue and cancel its attempts in flight."""
        self._dequeue(work)
        if self.settings.may_cancel and not work.streaming and not work.done:
            self._actions.extend(Cancel(work.arrival.request, attempt) for attempt in sorted(work.out))
        work.done = True
        self._forget_if_done(work)

    def _forget_if_done(self, work: _Work) -> None:
        """Drop an ended request once no attempt is in flight, and let the next one of its key go."""
        if work.out:
            return
        if self._works.pop(work.arrival.request, None) is not None:
            work.session.volume.open_requests -= 1
        line = self._lines.get(work.arrival.key) if work.kind.in_order else None
        if line and work in line:
            line.remove(work)
            if not line:
                del self._lines[work.arrival.key]
            elif line[0].node is not None:
                self._at(max(self._now, self._settled.get(work.arrival.key, 0)), self._pump, line[0].node)

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        work, node = self._works.get(event.request), self._nodes.get(event.node)
        if work is None or node is None or event.attempt not in work.out:
            return
        work.out.remove(event.attempt)
        self._to_pump[node] = None
        attempt = node.out.pop((event.request, event.attempt))
        node.overdue -= attempt.overdue
        sent_at, units, session, result = attempt.sent_at, attempt.units, work.session, event.result
        session.operation_credits += 1
        session.payload_credits += units
        if result in (Result.OK, Result.ERROR):
            self._lost_share -= LOST_SHARE_GAIN * self._lost_share * attempt.overdue  # slow, not lost
            self._on_answer(node, sent_at)
            if result is Result.OK:
                self._on_served(node, event, units, attempt.filled_window)
                self._on_meter_reading(session.volume, event, units)
        elif result is Result.FULL:
            self._on_answer(node, sent_at)
            self._update_latency(node, 2 * self._shortest_aim, units, FULL_GAIN)
        elif result in (Result.CANCELLED, Result.TIMEOUT):
            self._observe_unanswered(node, attempt)
        elif result is Result.CONNECT_FAILED:
            # A single connection may fail while the node serves others; the immediate retry shows which.
            # Drawback: a node that disappeared without notice costs a second time-out.
            node.connect_failures += 1
            if node.connect_failures > 1:
                self._mark_suspect(node, "unreachable")
        if result in (Result.TIMEOUT, Result.RESET, Result.CANCELLED) and work.kind.in_order:
            self._settled[work.arrival.key] = self._now + self.settings.order_settle_us
        if not result.never_ran and work.risky_at is None:
            work.risky_at, work.risky_node = sent_at, attempt.entry
            if work.kind.effect is Effect.KEYED and work.kind.group is not DedupScope.ALL:
                work.shard = attempt.entry.shard
        work.done = work.done or event.request_over
        if work.done:
            self._forget_if_done(work)
        elif not work.out:
            self._retry_or_give_up(work, node, result)

    def _retry_or_give_up(self, work: _Work, node: _Node, result: Result) -> None:
        """Queue another attempt if the class, the attempts so far and the budget allow it, else give up."""
        allowed = work.tries < self.settings.max_attempts and self._now < work.aim_at
        allowed = allowed and result is not Result.TIMEOUT and self._may_repeat(work)
        target = self._choose_node(work) if work.shard < 0 else self._serving_node(work)
        if not allowed or target is None or target.silent_at or (result is Result.FULL and target is node):
            # A suspected node serves nothing before its next trial: give the longest hint.
            served = target is not None and not target.silent_at
            self._give_up(work, self._wait(work, node) if served else self.settings.max_hint_us)
        else:
            self._enqueue(work, target, first=True)

    def _may_repeat(self, work: _Work) -> bool:
        """Whether another attempt can have no second effect and is within the budget."""
        settings, kind, now = self.settings, work.kind, self._now
        dedup_us = work.kind.window_us if kind.effect is Effect.KEYED else 0
        if work.risky_at is not None and kind.effect is not Effect.SAFE and now >= work.risky_at + dedup_us:
            return False
        if not settings.budget_window_us or self._within_own_budget():
            return True
        return self._shares is not None and self._shares.further(now, False)

    def _in_dedup_zone(self, work: _Work, node: _Node) -> bool:
        """Whether a node drops a repeat of a request that may have run, where a class's group is the zone.

        The group `cell` is held by the request's shard. Nodes of an unknown zone share none.
        """
        ran_on, entry = work.risky_node, node.entry
        if ran_on is None or work.kind.effect is not Effect.KEYED or work.kind.group is not DedupScope.ZONE:
            return True
        return entry.zone == ran_on.zone and (entry.zone != "" or entry.node == ran_on.node)

    def _within_own_budget(self) -> bool:
        """Whether one more repeated attempt is within this head's own share of the budget."""
        self._trim_budget_times()
        most = self.settings.budget_free + self.settings.budget_share * len(self._request_times)
        return len(self._extra_times) + 1 <= most

    def _trim_budget_times(self) -> None:
        for times in (self._request_times, self._extra_times):
            begin = self._now - self.settings.budget_window_us + (times is self._request_times)
            while times and times[0] < begin:
                times.popleft()

    def _update_latency(self, node: _Node, elapsed: float, units: float, gain: float) -> None:
        """Update a node's running means of size and latency, and the mean latency of all nodes."""
        # Seconds in a hang or a deep queue mean no more than "crowded".
        elapsed, mean = min(elapsed, 4 * self._shortest_aim), self.settings.mean_units
        gain = 0.0 if self._stalled else gain  # a stalled head would measure its own delay
        if not node.mean_units:
            node.mean_units, node.mean_elapsed = mean, (self._mean_latency or elapsed / units * mean)
        node.mean_units += gain * (units - node.mean_units)
        node.mean_elapsed += gain * (elapsed - node.mean_elapsed)
        node.latency_us = node.mean_elapsed / node.mean_units * mean
        self._mean_latency += MEAN_GAIN * (node.latency_us - self._mean_latency)

    def _observe_unanswered(self, node: _Node, attempt: _Attempt) -> None:
        """Count an attempt without an answer as a lower bound of latency: where clients leave early nothing
        else shows a deep queue, and all service would go to requests whose clients left. Drawback: lost
        answers look the same, so its weight falls as their share grows."""
        least = 2 * (self._now - attempt.sent_at)
        if not attempt.overdue and least > 2 * self._latency(node) and attempt.sent_at > node.last_answered:
            self._update_latency(node, least, attempt.units, UNANSWERED_GAIN * (1 - self._lost_share) ** 3)

    def _on_served(self, node: _Node, event: AttemptEnded, units: float, full: bool) -> None:
        self._update_latency(node, max(1, event.elapsed_us), units, LATENCY_GAIN)
        unit = node.mean_elapsed / node.mean_units
        node.best_us = min(unit, node.best_us * (1 + BEST_RISE / node.window)) if node.best_us else unit
        node.served.add(self._now, units)
        if unit < WIDEN * node.best_us:
            if full:
                node.window = min(WINDOW_MAX, node.window + 1 / node.window)
        elif unit > NARROW_AT * node.best_us and self._now - node.narrowed_at > node.latency_us:
            node.window, node.narrowed_at = max(WINDOW_MIN, node.window * NARROW), self._now

    def _on_meter_reading(self, volume: Volume, event: AttemptEnded, units: float) -> None:
        """Derive from the node's meter what the volume gets through other heads."""
        # A leaky sum over about two seconds gives this head's own rate.
        volume.own_units = volume.own_units * max(0.0, 1 - (self._now - volume.own_updated_at) / 2e6) + units
        volume.own_updated_at = self._now
        if event.used_percent > 0:
            others = max(0.0, (event.used_percent - 1) / 100 * volume.plan.rate - volume.own_units / 2.0)
            volume.others_rate += METER_GAIN * (others - volume.others_rate)
            self._set_reserve_share(volume)

    def _choose_node(self, work: _Work) -> _Node | None:
        """Choose the node expected to finish a new object first; unreachable and cold nodes come last."""
        best, best_score = None, (True, float("inf"))
        up = self._up if len(self._up) <= CANDIDATES else self._random.sample(self._up, CANDIDATES)
        for node in (node for node in up if not node.silent_at):
            held = (node.held_units + work.arrival.units) / self.settings.mean_units
            load = (len(node.out) + held) / node.window
            chance = 1 + SCORE_JITTER * self._random.random()
            chance /= self._weights.factor(node.entry.node) if self._weights is not None else 1.0
            last = node.connect_failures > 0 or node.cold_until > self._now
            score = (last, (self._latency(node) or 1.0) * (1 + load) * chance)
            if score < best_score:
                best, best_score = node, score
        return best

    def _wait(self, work: _Work, node: _Node) -> int:
        """Estimate the time until a request would be served at a node, from the current backlog and rate."""
        latency, mean, service = self._latency(node), self.settings.mean_units, self._service_us(work, node)
        if not node.held and not self._full(node):
            return service
        rate = max(node.window, 1.0) * mean / max(latency, 1.0)  # units a microsecond, by Little's law
        backlog = {session: sum(held.arrival.units for held in queue) for session, queue in node.held.items()}
        own = backlog.pop(work.session, 0.0)
        if self._under_reservation(work.session):
            rivals = (session for session in backlog if self._under_reservation(session))
            ahead = own + sum(min(backlog[rival], rival.volume.reserve.level) for rival in rivals)
        else:
            turns = 1 + sum(session.weight for session in backlog) / work.session.weight
            ahead = min(own * turns, node.held_units) / (1 - min(node.reserved_share, 0.8))
        return int(ahead / rate + service)

    def _under_reservation(self, session: Session) -> bool:
        """Whether a session is under its reservation at this head; background work never goes first."""
        return not session.background and session.volume.reserve.refill(self._now) > 0

    def _may_send(self, work: _Work) -> bool:
        """Whether a queued request may be sent now: credits, order, limit."""
        session, units = work.session, work.arrival.units
        if session.operation_credits < 1 or session.payload_credits < units:
            return False
        if work.kind.in_order and (key := work.arrival.key):
            if self._lines[key][0] is not work or (not work.tries and self._now < self._settled.get(key, 0)):
                return False
        if ((limit := session.volume.limit) is not None and not work.charged
                and limit.refill(self._now) < units):  # fmt: skip
            if work.limit_until <= self._now:
                work.limit_until = self._now + limit.wait_us(self._now, units) + 1
                self._at(work.limit_until, self._pump, work.node)
            return False
        if not work.tries:
            return True
        return self._may_repeat(work) and (work.node is None or self._in_dedup_zone(work, work.node))

    def _first_ready(self, queue: deque[_Work]) -> _Work | None:
        """Return the first sendable request: strictly the oldest, but a waiting key blocks only itself."""
        for work in queue:
            if (ready := self._may_send(work)) or not work.kind.in_order:
                return work if ready else None
        return None

    def _next_to_send(self, node: _Node) -> _Work | None:
        """Choose the next request: sessions under their reservation, then weighted deficit round robin."""
        ready = {session: work for session, queue in node.held.items() if (work := self._first_ready(queue))}
        for session, work in ready.items():
            if self._under_reservation(session):
                node.held[session] = node.held.pop(session)
                return work
        lightest = min((session.weight for session in ready), default=1.0)
        while ready:
            session = next(iter(node.held))
            if (work := ready.get(session)) is not None:
                # Consecutive requests of one key share a turn: they cost the node less.
                if node.deficit[session] >= work.arrival.units or work.arrival.key == node.last_key != "":
                    node.deficit[session] -= work.arrival.units
                    return work
                node.deficit[session] += self.settings.mean_units * session.weight / lightest
            node.held[session] = node.held.pop(session)
        return None

    def _pump(self, node: _Node) -> None:
        """Send queued requests while the node's window is not full."""
        while node.held and self._accepts_requests(node):
            if (self._now < node.trial_at) if node.silent_at else self._full(node):
                return
            if (work := self._next_to_send(node)) is None:
                return
            if wait := self._cold_wait(node):
                if node.pump_at <= self._now:
                    node.pump_at = self._now + wait + 1
                    self._at(node.pump_at, self._pump, node)
                return
            if node.silent_at:
                self._mark_suspect(node, "silent")
            self._send(work, node)

    def _send(self, work: _Work, node: _Node) -> None:
        session, volume, units, now = work.session, work.session.volume, work.arrival.units, self._now
        self._dequeue(work)
        node.reserved_share += 0.05 * (self._under_reservation(session) - node.reserved_share)
        session.operation_credits -= 1
        session.payload_credits -= units
        volume.reserve.level -= units
        if volume.limit is not None and not work.charged:
            volume.limit.level -= units
        work.charged = True
        if work.tries:
            if self._within_own_budget() or self._shares is None or not self._shares.further(now, True):
                self._extra_times.append(now)
        node.cold_bucket.level -= units
        node.last_key = work.arrival.key
        work.out.add(work.tries)
        full = len(node.out) - node.overdue + 1 >= int(node.window)
        node.out[(work.arrival.request, work.tries)] = _Attempt(now, node.entry, units, full)
        expected = self._latency(node)
        self._at(now + int(max(OVERDUE_US, OVERDUE_TIMES * expected)), self._on_overdue, node,
                 (work.arrival.request, work.tries))  # fmt: skip
        work.tries += 1
        self._actions.append(Send(work.arrival.request, node.entry.node))
