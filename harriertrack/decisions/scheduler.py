"""The decisions of a head: what is sent, held or refused, and where new objects go.

The interface, its settings, events and actions, is decisions/interface.py. The mechanism is that of
DAOS QoS (see docs/design.md): a volume is a session that pays each request with credits; at each node
sessions under their reservation go first, then weighted turns, first in first out inside a session; a
window bounds what is out at a node; what would wait past its aim is refused on arrival with a hint.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from harriertrack.decisions.bucket import Bucket, DecayingSum
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

OPERATION_CREDITS = 128  # a session's requests out per head: the source's client figure
PAYLOAD_LARGEST = 16  # a session's payload pool in largest requests: roomy, yet it bounds one volume's bytes
WINDOW_START = 3.0  # a few: the other heads start at the same moment
WINDOW_MIN = 1.0  # a trickle: less would stop hearing from the node
WINDOW_MAX = 32.0  # the design's ceiling
WIDEN = 1.3  # widen while recent latency for each unit is under this multiple of its best
NARROW_AT = 1.7  # narrow while it is above this one
NARROW = 0.85  # one step down, at most one for each latency that has passed
BEST_RISE = 0.003  # the best rises by this part with each window answered: a node may have slowed for good
MEAN_GAIN = 0.05  # weight of one answer in the head's mean latency over all nodes
LATENCY_GAIN = 0.2  # weight of one answer in a node's mean latency
UNANSWERED_GAIN, FULL_GAIN = 0.2, 0.6  # ... of an unanswered attempt and of a full queue: surer signs
OVERDUE_US = 400_000  # an answer is overdue after this, above pauses and flushes ...
OVERDUE_TIMES = 4.0  # ... and after this many of its node's mean latencies
SILENT_AFTER = 4.0  # overdue in a row that make a node silent where answers get lost; else one is enough
LOSSY_START = 0.6  # part of the overdue attempts taken to be lost, not slow, until they tell
LOSSY_GAIN = 0.3  # weight of one overdue attempt in the part of them that were lost answers
TRIAL_US = 500_000  # a silent node gets one request this often, twice as rarely after each ...
TRIAL_MOST_US = 2_000_000  # ... up to this
COLD_SAFE = 0.6  # no pace is needed once this part of what the rules allow is the full capacity
SERVED_US = 10_000_000  # a node's served units fade out over this time
BACKGROUND_AIM = 3.0  # a class whose aim is this many times the shortest, and worth less, is background
RESUBSCRIBE_US, RESUBSCRIBE_MOST_US = 300_000, 4_000_000  # wait after a failed list call, doubled each time
STALL_US = 100_000  # a timer this late tells that the head itself stood still
ANSWER_TICKS = 2  # final answers are given this many ticks before the client's time is up
CANDIDATES = 16  # nodes looked at for a new object: its cost must not grow with the fleet
FORGET_US = 60_000_000  # what was idle or gone for this long is dropped
SPREAD = 0.3  # random part of a placement score: heads that see the same must not all pick the same node
AGE_US = 3_000_000  # half of what an answer told of a node's latency is forgotten for the head's mean
CROWDED = (0.6, 1.3)  # latency in shortest aims at which refusals of reserved work begin, and are most
CROWDED_SPARE = (0.4, 0.75)  # the same for work beyond the reserve and background work: it yields first
SPARSE_US = 1_000_000  # a node asked for this seldom shows no backlog of ours: only these signs tell
CROWDED_MAX = 0.9  # never all is refused, or the latency would never be heard again
METER_GAIN = 0.3  # weight of one meter reading


@dataclass(slots=True, eq=False)
class _Volume:
    """What counts for a volume as a whole: its hosts, reserve, limit and meter."""

    plan: Plan
    reserve: Bucket
    own_at: int
    hosts: int = 0
    limit: Bucket | None = None
    own: float = 0.0
    others: float = 0.0
    sessions: dict[bool, _Session] = field(default_factory=dict)


Volumes = dict[tuple[str, str], _Volume]  # by name and plan


@dataclass(slots=True, eq=False)
class _Session:
    volume: _Volume
    weight: float
    background: bool
    payload: float
    operations: int = OPERATION_CREDITS


@dataclass(slots=True, eq=False)
class _Work:
    ask: RequestArrived
    kind: RequestClass
    session: _Session
    aim_at: int
    end_at: int
    shard: int
    node: _Node | None = None  # where it is held
    out: set[int] = field(default_factory=set)  # attempts without an outcome
    tries: int = 0
    wait: int = 0  # when its limit lets it go
    risky_at: int | None = None  # when the first attempt that may have run was sent
    late: bool = False
    over: bool = False
    begun: bool = False
    charged: bool = False


@dataclass(slots=True, eq=False)
class _Attempt:
    sent_at: int
    units: float
    full: bool  # it filled the window
    overdue: bool = False


@dataclass(slots=True, eq=False)
class _Node:
    entry: NodeEntry
    told_at: int
    heard_at: int
    served: DecayingSum  # units it served us lately
    held: dict[_Session, deque[_Work]] = field(default_factory=dict)  # in the order of turns
    held_units: float = 0.0
    deficit: dict[_Session, float] = field(default_factory=dict)
    out: dict[tuple[int, int], _Attempt] = field(default_factory=dict)
    overdue: int = 0  # of these, so many are presumed lost and fill no window
    unheard: int = 0  # overdue ones since the last answer
    unreached: int = 0  # failed connections since the last answer
    coin: float = 0.0
    coin_at: int = -1_000_000_000
    asked_at: int = 0
    asked_key: str = ""
    gap_us: float = SPARSE_US  # mean time between requests for it
    look_at: int = 0
    window: float = WINDOW_START
    units: float = 0.0  # running means of what answers had and took
    elapsed: float = 0.0
    unit_us: float = 0.0  # the best time for a unit; 0: unheard, counts as average
    latency_us: float = 0.0
    narrowed_at: int = 0
    answered_at: int = 0  # when the latest of the answered attempts was sent
    silent_at: int = 0  # 0: not suspect
    trial_at: int = 0
    trial_wait: int = TRIAL_US
    cold_until: int = 0
    cold: Bucket = field(default_factory=lambda: Bucket(0))  # what we may send it while it is cold
    past: float = 0.0  # units a microsecond that it served us while it was last well, or the node it replaces
    scale: float = 1.0  # its size against the one of that time, 1 at most; 0: not known
    last_key: str = ""
    reserved: float = 0.0  # share of the latest sends that went first: turns get only the rest of the rate


class Scheduler:
    """The decision module of one head. Feed it batches of events; carry out what it returns."""

    def __init__(self, settings: Settings, seed: int = 0, volumes: Volumes | None = None,
                 portions: BudgetShares | None = None, weights: Weights | None = None) -> None:  # fmt: skip
        """Begin knowing nothing; modules of one head's cells share `volumes`, whose limits span the cells."""
        self._portions, self._weights = portions, weights
        self._random = random.Random(seed)
        self._volumes: Volumes = {} if volumes is None else volumes
        self._nodes: dict[str, _Node] = {}
        self._index()
        self._works: dict[int, _Work] = {}
        self._fullest: dict[str, int] = {}  # the most time that a try of a class came with
        self._order: dict[str, deque[_Work]] = {}
        self._rest: dict[str, int] = {}
        self._taken: deque[int] = deque()
        self._further: deque[int] = deque()
        self._heap: list[tuple[int, int, Callable[..., None], tuple]] = []
        self._serial = self._wake_at = 0
        self._list_wait = RESUBSCRIBE_US
        self._mean_latency, self._lossy, self._stalled = 0.0, LOSSY_START, False
        self._out: list[Action] = []
        self._touched: dict[_Node, None] = {}  # nodes to pump at the end of this batch
        self._now, self._born = 0, -1  # the time of the first batch, or of other settings
        self._told(settings)

    def _told(self, settings: Settings) -> None:
        self.settings = settings
        self._classes = {kind.name: kind for kind in settings.classes}
        self._plans = {plan.name: plan for plan in settings.plans}
        self._shortest = min(kind.aim_us for kind in settings.classes)
        self._dearest = max(kind.worth for kind in settings.classes)

    def _retold(self, settings: Settings) -> None:
        """Take other figures in service. A raise fills no store, nor one used for the first time; what
        came before keeps its time, and looks at its limit again when it was to."""
        self._born, self._fullest = self._now, {}
        longest = max(kind.deadline_us for kind in self._classes.values())
        self._at(self._now + longest, self._fullest.clear)  # by then all that came before is over
        self._told(settings)
        for volume in self._volumes.values():
            before, volume.plan = volume.plan, self._plans.get(volume.plan.name, volume.plan)
            self._share(volume)
            if volume.limit is None or volume.plan.limit <= 0 or type(volume.limit) is Bucket:
                self._limit(volume)  # else it is of what the fleet divides, and is carried over there
            for session in volume.sessions.values():
                session.weight *= max(volume.plan.weight, 0.01) / max(before.weight, 0.01)

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Take the events of one moment and return the actions, in order."""
        self._now = now
        if self._born < 0:
            self._born = now
            self._forget()
        actions: list[Action] = []
        touched: dict[_Node, None] = {}
        self._out, self._touched = actions, touched
        self._stalled = bool(self._heap) and now - self._heap[0][0] > STALL_US
        for event in events:
            match event:
                case RequestArrived():
                    self._arrived(event)
                case AttemptEnded():
                    self._on_attempt_ended(event)
                case NodesChanged():
                    self._list_news(event)
                    touched.update(dict.fromkeys(self._nodes.values()))
                case ClientLeft() if event.request in self._works:
                    self._close(self._works[event.request])
                case ResponseStarted() if event.request in self._works:
                    self._works[event.request].begun = True
                case SettingsChanged():
                    self._retold(event.settings)
                case TimerFired() if event.token == str(self._wake_at):
                    self._wake_at = 0
        while self._heap and self._heap[0][0] <= now:
            _, _, act, arguments = heapq.heappop(self._heap)
            act(*arguments)
        for node in list(touched):
            self._pump(node)
        if self._heap and (not self._wake_at or self._heap[0][0] < self._wake_at):
            self._wake_at = max(self._heap[0][0], now + 1)
            actions.append(SetTimer(str(self._wake_at), self._wake_at))
        return actions

    def _at(self, when: int, act: Callable[..., None], *arguments: object) -> None:
        self._serial += 1
        heapq.heappush(self._heap, (when, self._serial, act, arguments))

    def _list_news(self, news: NodesChanged) -> None:
        """Follow the list; a failed call or broken subscription is asked for again, ever more rarely."""
        if news.kind is ListKind.FAILED:
            wait = int(self._list_wait * (1 + self._random.random()))
            self._list_wait = min(self._list_wait * 2, RESUBSCRIBE_MOST_US)
            self._at(self._now + wait, lambda: self._out.append(Subscribe(True)))
            return
        if news.kind is not ListKind.RESTORED:
            self._list_wait = RESUBSCRIBE_US
        elif self.settings.list_on_request:
            self._out.append(Subscribe(True))
        told_at = min(news.announced_at or self._now, self._now)
        for entry in news.entries:
            node = self._nodes.get(entry.node)
            before = node.entry.started_us if node else 0
            if node is None:
                former = [old for old in self._nodes.values() if old.entry.shard == entry.shard]
                node = self._nodes[entry.node] = _Node(entry, told_at, self._now, self._fresh())
                self._succeed(node, max(former, key=self._was, default=None))
            elif entry.state is not node.entry.state or entry.started_us > before:
                self._was(node)
                if entry.state is not node.entry.state:
                    node.told_at, node.served = told_at, self._fresh()
            node.entry = entry
            if entry.started_us > before and self._now - entry.started_us < self.settings.warm_us:
                self._chill(node, entry.started_us)
        if news.kind is not ListKind.CHANGES:
            named = {entry.node for entry in news.entries}
            for name, node in self._nodes.items():
                if name not in named and node.entry.state is not NodeState.GONE:
                    self._was(node)
                    node.told_at, node.served = told_at, self._fresh()
                    node.entry = replace(node.entry, state=NodeState.GONE)
        self._index()
        lost = [node for node in self._nodes.values() if node.held and not self._sendable(node)]
        for work in [work for node in lost for queue in node.held.values() for work in queue]:
            self._unhold(work)
            self._route(work)

    def _index(self) -> None:
        """Keep the nodes by shard and those that are up, so that no request looks at the whole fleet."""
        self._up: list[_Node] = [node for node in self._nodes.values() if node.entry.state is NodeState.UP]
        self._shards: dict[int, list[_Node]] = {}
        for node in self._nodes.values():
            self._shards.setdefault(node.entry.shard, []).append(node)

    def _forget(self) -> None:
        """Drop what is long gone or idle: state must not grow over a long life."""
        self._at(self._now + FORGET_US, self._forget)
        before = self._now - FORGET_US
        for node in [node for node in self._nodes.values() if node.entry.state is NodeState.GONE]:
            if not node.out and node.told_at < before:
                del self._nodes[node.entry.node]
        for name, one in list(self._volumes.items()):
            if one.reserve.updated_at < before and (
                one.limit is None or one.limit.refill(self._now) >= one.limit.capacity
            ):
                del self._volumes[name]
        self._rest = {key: until for key, until in self._rest.items() if until > self._now}
        self._index()

    def _sendable(self, node: _Node) -> bool:
        """Nothing new goes to a node that is gone; of a drain's grace, half serves reads nobody else can."""
        state, grace = node.entry.state, self.settings.drain_grace_us // 2
        return state is NodeState.UP or (state is NodeState.DRAINING and self._now < node.told_at + grace)

    def _holder(self, shard: int) -> _Node | None:
        """The node that serves a shard: one that is up, else one in the grace of its drain."""
        able = [node for node in self._shards.get(shard, ()) if self._sendable(node)]
        return max(able, key=lambda n: (n.entry.state is NodeState.UP, n.entry.started_us), default=None)

    def _chill(self, node: _Node, since: int) -> None:
        """Treat a node as just started: all heads together send it little, and more as it warms."""
        node.cold_until = since + self.settings.warm_us
        node.window, node.silent_at = WINDOW_MIN, 0
        # Heads hear of a start together. A random debt of one request puts each anywhere in its own period:
        # together they send as much in the first window as in any, spread no wider than chance, which the
        # rule's slack (three deviations of a Poisson count) is for.
        mean = self.settings.mean_units
        node.cold = Bucket(self._now, capacity=mean, level=-mean * self._random.random())

    def _fresh(self) -> DecayingSum:
        return DecayingSum(SERVED_US, self._now, self._now)

    def _was(self, node: _Node) -> float:
        """Keep the rate at which a node served us up to now if it was well: what it gets while it is cold,
        silent or draining says nothing of what it bears."""
        if node.entry.state is NodeState.UP and not node.silent_at and self._now >= node.cold_until:
            node.past, node.scale = node.served.rate(self._now, self.settings.fall_us), 1.0
        return node.past

    def _succeed(self, node: _Node, former: _Node | None) -> None:
        """Go by what the former node of its shard served us, scaled to the size of this one: a smaller one
        bears less, and of one whose size nothing tells only what any cold node bears is known, if that is."""
        if former is None:
            return
        new, old = node.entry, former.entry
        if self.settings.list_has_sizes and new.size > 0 and old.size > 0:
            scale = min(1.0, new.size / old.size)
        else:
            same_kind = new.kind != "" and new.kind == old.kind
            scale = 1.0 if same_kind or not self.settings.cold_units else 0.0
        node.past, node.scale = former.past, former.scale * scale

    def _cold_wait(self, node: _Node) -> int:
        """How long until we may send a cold node a request.

        All heads together got no more than its full capacity, so if each keeps to a part of its own former
        rate, together they keep to that part of the capacity: what the rules allow in the mean for the least
        warmth they promise. Chance is allowed for beside it, three deviations of a count: from where they
        have their whole former rate, a head may save up as much. A head without such a past has its part of
        what any cold node bears.
        """
        settings, cold, growth = self.settings, node.cold, 1 - self.settings.cold_share
        before, capacity = (1 - growth * min(1.0, (node.cold_until - at) / max(1, settings.warm_us))
                            for at in (cold.updated_at, self._now))  # fmt: skip
        part = settings.fall_multiple * capacity * node.scale
        if self._now >= node.cold_until or COLD_SAFE * part >= 1:
            return 0
        bears = settings.cold_units / max(1.0, settings.fall_us * settings.cold_share)
        least = bears / settings.heads
        if self._portions is not None:
            least = self._portions.cold(self._now, node.entry.node, 1e6 * bears, settings.mean_units) / 1e6
        warm = max(settings.fall_multiple * node.past * node.scale, least)
        window = warm * capacity * settings.fall_us / settings.mean_units
        cold.capacity = settings.mean_units * max(1.0, window + 3 * window**0.5 if part >= 1 else 0.0)
        cold.rate = 1e6 * warm * (before + capacity) / 2  # of the time since it was looked at last
        cold.refill(self._now)
        cold.rate = 1e6 * warm * capacity
        return cold.wait_us(self._now, 0.0)

    def _owed(self, node: _Node, key: tuple[int, int]) -> None:
        """An answer is overdue: it no longer fills the window, and several in a row mean a silent node. One
        alone may be a lost answer: how many it takes follows the part of the overdue ones that were lost.
        Harm: a crawling node gets one more for each."""
        if (attempt := node.out.get(key)) is None:
            return
        self._unanswered(node, attempt)
        node.overdue, attempt.overdue = node.overdue + 1, True
        if attempt.sent_at > node.answered_at:
            node.unheard += 1
            if node.unheard > (SILENT_AFTER - 1) * self._lossy + 0.5:
                self._suspect(node, "silent")
        else:
            self._lossy += LOSSY_GAIN * (1 - self._lossy)
        self._pump(node)

    def _full(self, node: _Node) -> bool:
        return len(node.out) - node.overdue >= int(node.window)

    def _suspect(self, node: _Node, why: str) -> None:
        """Send no more than a trickle to a node that is silent or unreachable until it answers."""
        if not node.silent_at:
            self._was(node)
            self._out.append(Log(f"node {node.entry.node} {why}"))
            node.silent_at, node.trial_wait, node.window = self._now, TRIAL_US, WINDOW_MIN
        node.trial_at = self._now + node.trial_wait
        node.trial_wait = min(node.trial_wait * 2, TRIAL_MOST_US)
        self._at(node.trial_at, self._pump, node)

    def _heard(self, node: _Node, sent_at: int) -> None:
        """A node answered. One back after long, not with an old answer, may have restarted: it is cold."""
        if node.silent_at:
            self._out.append(Log(f"node {node.entry.node} back"))
            if sent_at > node.silent_at - OVERDUE_US and self._now - node.silent_at > OVERDUE_US * 5:
                self._chill(node, self._now)
            node.silent_at = 0
        for attempt in node.out.values() if node.overdue else ():
            if attempt.overdue and node.answered_at < attempt.sent_at < sent_at:
                self._lossy += LOSSY_GAIN * (1 - self._lossy)
        node.heard_at, node.answered_at = self._now, max(node.answered_at, sent_at)
        node.unheard = node.unreached = 0

    def _arrived(self, ask: RequestArrived) -> None:
        now, kind = self._now, self._classes.get(ask.class_name)
        if kind is None or ask.request in self._works:
            self._out.extend([Refuse(ask.request)] if kind is None else [])
            return
        if self.settings.budget_window_us and not (ask.further_part or ask.reoffered):
            self._taken.append(now)
        # A later try has less time left than a first one; its aim counts from the first, or the latest offer.
        full = self._fullest[kind.name] = max(self._fullest.get(kind.name, 0), ask.time_left_us)
        aim_at = now + kind.aim_us - (0 if ask.reoffered else full - ask.time_left_us)
        work = _Work(ask, kind, self._session(ask, kind), aim_at, now + ask.time_left_us, ask.shard)
        work.tries, work.charged = ask.attempts_made, ask.attempts_made > 0
        work.risky_at = now - ask.may_have_run_us if ask.may_have_run_us >= 0 else None
        if aim_at <= now:
            work.late, work.aim_at = ask.time_left_us > kind.aim_us, work.end_at
        self._works[ask.request] = work
        if kind.in_order and ask.key:
            self._order.setdefault(ask.key, deque()).append(work)
        self._at(max(now + 1, work.end_at - ANSWER_TICKS * self.settings.tick_us), self._give_up, work, 0)
        self._route(work)

    def _session(self, ask: RequestArrived, kind: RequestClass) -> _Session:
        volume = self._volumes.get((ask.volume, ask.plan))
        if volume is None:
            plan = self._plans.get(ask.plan) or Plan(ask.plan)
            store = Bucket(self._now, capacity=plan.reserve, level=plan.reserve)
            volume = self._volumes[(ask.volume, ask.plan)] = _Volume(plan, store, self._now)
        hosts = max(1, ask.hosts or self.settings.heads)
        if hosts > volume.hosts:
            volume.hosts = hosts
            self._share(volume)
            self._limit(volume)
        if self._portions is not None and volume.plan.limit > 0:
            volume.limit = self._portions.limit(self._now, ask, volume.plan) or volume.limit
        background = kind.aim_us >= BACKGROUND_AIM * self._shortest and kind.worth < self._dearest
        session = volume.sessions.get(background)
        if session is None:
            part = max(kind.worth, 0.01) / self._dearest if background else 1.0
            weight = max(volume.plan.weight, 0.01) * part
            pool = PAYLOAD_LARGEST * max(self.settings.most_units, 1.0)
            session = volume.sessions[background] = _Session(volume, weight, background, pool)
        return session

    def _limit(self, volume: _Volume) -> None:
        # What an earlier life of this head sent is unknown: the store starts empty, not full.
        part, most = volume.plan.limit / volume.hosts, volume.plan.limit_burst / volume.hosts
        level = 0.0 if volume.limit is None else min(volume.limit.refill(self._now), most)
        grown = part * (self._now - self._born) / 1e6 if volume.limit is None else 0.0
        volume.limit = Bucket(self._now, part, most, min(most, level + grown)) if part > 0 else None

    def _share(self, volume: _Volume) -> None:
        """Set this head's part of a reserve: the even slice, or what the meters say the others leave."""
        part = volume.plan.reserve / volume.hosts
        if self.settings.meter_us:
            part = max(part, volume.plan.reserve - volume.others)
        volume.reserve.refill(self._now)
        volume.reserve.rate, volume.reserve.capacity = part, part + self.settings.most_units

    def _route(self, work: _Work) -> None:
        """Hold a request at the node that serves it, or at a chosen one; refuse what would come too late."""
        node = self._place(work) if work.shard < 0 else self._holder(work.shard)
        # A silent node gets a safe request now and then: it earns nothing here, and its answer shows life.
        barred = work.kind.effect is not Effect.SAFE or (node is not None and self._now < node.trial_at)
        if node is not None and node.silent_at and not barred and self._portions is not None:
            barred = not self._portions.trial(self._now, node.entry.node)  # some for all heads, not from each
        if node is None or (node.silent_at and barred):
            return self._give_up(work, self.settings.max_hint_us)
        if node.silent_at:
            return self._hold(work, node)
        if work.ask.key != node.asked_key or not node.asked_key:  # else a client repeats, or a run goes on
            node.gap_us += LATENCY_GAIN * (min(self._now - node.asked_at, 2 * SPARSE_US) - node.gap_us)
            node.asked_at, node.asked_key = self._now, work.ask.key
        if work.ask.reoffered:  # refused for what it takes by itself it would never go, however idle the node
            work.aim_at = max(work.aim_at, self._now + 2 * self._service(work, node))
        limit, wait, busy = work.session.volume.limit, self._wait(work, node), node.held or self._full(node)
        wait = max(wait, self._cold_wait(node))
        if limit is not None and not work.charged:
            # What a head offers again by itself can come later at no cost: one unit's wait lets in no burst.
            queue = node.held.get(work.session, ()) if work.ask.reoffered else ()
            ahead = sum(held.ask.units for held in queue if not held.charged)
            wait = max(wait, limit.wait_us(self._now, ahead + work.ask.units))
        if wait > work.aim_at - self._now or (work.late and busy):
            self._give_up(work, wait)
        elif self._crowded(work, node):
            self._give_up(work, self.settings.max_hint_us)
        else:
            self._hold(work, node)

    def _latency(self, node: _Node) -> float:
        """A node's latency as last heard, aged toward the head's mean: sparse traffic corrects it rarely."""
        mean = self._mean_latency
        return mean + ((node.latency_us or mean) - mean) * AGE_US / (AGE_US + self._now - node.heard_at)

    def _crowded(self, work: _Work, node: _Node) -> bool:
        """Whether to refuse on signs that all heads together overrun the node, work beyond the reserve first.
        A head that seldom asks a node has no backlog there: order among heads must come from admission. Also
        guards against slow nodes. Harm: after a pause spare work is refused though the node is free again."""
        low, high = CROWDED if self._reserved(work.session) else CROWDED_SPARE
        pressure = min(CROWDED_MAX, (self._latency(node) / self._shortest - low) / (high - low))
        if self._now > node.coin_at + self._shortest:  # one draw for an aim: repeats at once get no other
            node.coin, node.coin_at = self._random.random(), self._now
        return node.coin < pressure * min(1.0, node.gap_us / SPARSE_US) ** 2

    def _hold(self, work: _Work, node: _Node, first: bool = False) -> None:
        work.node = node
        self._touched[node] = None
        queue = node.held.setdefault(work.session, deque())
        node.deficit.setdefault(work.session, 0.0)
        (queue.appendleft if first else queue.append)(work)
        node.held_units += work.ask.units
        if not work.late:
            self._at(max(work.aim_at - self._service(work, node), self._now + 1), self._expired, work)

    def _unhold(self, work: _Work) -> None:
        if (node := work.node) is None:
            return
        work.node = None
        node.held[work.session].remove(work)
        node.held_units -= work.ask.units
        if not node.held[work.session]:
            del node.held[work.session], node.deficit[work.session]

    def _expired(self, work: _Work) -> None:
        """A held request that can't be served by its aim makes room at once for one that can."""
        if work.node is None:
            return
        spare = work.aim_at - self._service(work, work.node) - self._now
        if spare > 0:
            self._at(self._now + spare, self._expired, work)
        else:
            self._give_up(work, self._wait(work, work.node))

    def _service(self, work: _Work, node: _Node) -> int:
        return int(self._latency(node) + (work.ask.units - self.settings.mean_units) * node.unit_us)

    def _give_up(self, work: _Work, hint: int) -> None:
        """Give the final answer: a refusal where trying again is harmless, else a failure."""
        if work.over or work.begun:
            return
        kind, never_ran = work.kind, work.risky_at is None and not work.out
        if (never_ran or kind.effect is Effect.SAFE
                or (kind.effect, kind.group) == (Effect.KEYED, DedupScope.ALL)):  # fmt: skip
            hint = min(max(0, int(hint)), self.settings.max_hint_us) if self.settings.may_hint else 0
            self._out.append(Refuse(work.ask.request, hint))
        else:
            self._out.append(Fail(work.ask.request))
        self._close(work)

    def _close(self, work: _Work) -> None:
        """The request is over: forget it, and call off what is still out."""
        self._unhold(work)
        if self.settings.may_cancel and not work.begun and not work.over:
            self._out.extend(Cancel(work.ask.request, attempt) for attempt in sorted(work.out))
        work.over = True
        self._settle(work)

    def _settle(self, work: _Work) -> None:
        """Drop a request that is over once all its attempts have outcomes; let its key's next one go."""
        if work.out:
            return
        self._works.pop(work.ask.request, None)
        line = self._order.get(work.ask.key) if work.kind.in_order else None
        if line and work in line:
            line.remove(work)
            if not line:
                del self._order[work.ask.key]
            elif line[0].node is not None:
                self._at(max(self._now, self._rest.get(work.ask.key, 0)), self._pump, line[0].node)

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        work, node = self._works.get(event.request), self._nodes.get(event.node)
        if work is None or node is None or event.attempt not in work.out:
            return
        work.out.remove(event.attempt)
        self._touched[node] = None
        attempt = node.out.pop((event.request, event.attempt))
        node.overdue -= attempt.overdue
        sent_at, units, session, result = attempt.sent_at, attempt.units, work.session, event.result
        session.operations += 1
        session.payload += units
        if result in (Result.OK, Result.ERROR):
            self._lossy -= LOSSY_GAIN * self._lossy * attempt.overdue  # it was slow, not lost
            self._heard(node, sent_at)
            if result is Result.OK:
                self._learn(node, event, units, attempt.full)
                self._meter(session.volume, event, units)
        elif result is Result.FULL:
            self._heard(node, sent_at)
            self._observe(node, 2 * self._shortest, units, FULL_GAIN)
        elif result in (Result.CANCELLED, Result.TIMEOUT):
            self._unanswered(node, attempt)
        elif result is Result.CONNECT_FAILED:
            # One connection may break by itself while the node serves others; the next try comes at once and
            # tells. Harm: a node that is gone without a word costs a second time-out.
            node.unreached += 1
            if node.unreached > 1:
                self._suspect(node, "unreachable")
        if result in (Result.TIMEOUT, Result.RESET, Result.CANCELLED) and work.kind.in_order:
            self._rest[work.ask.key] = self._now + self.settings.order_settle_us
        if not result.never_ran and work.risky_at is None:
            work.risky_at = sent_at
            if work.kind.effect is Effect.KEYED and work.kind.group is not DedupScope.ALL:
                work.shard = node.entry.shard
        work.over = work.over or event.request_over
        if work.over:
            self._settle(work)
        elif not work.out:
            self._again(work, node, result)

    def _again(self, work: _Work, node: _Node, result: Result) -> None:
        """Send a request again where its class, its attempts and the budget allow, else end it."""
        allowed = work.tries < self.settings.max_attempts and self._now < work.aim_at
        allowed = allowed and result is not Result.TIMEOUT and self._may_repeat(work)
        target = self._place(work) if work.shard < 0 else self._holder(work.shard)
        if not allowed or target is None or target.silent_at or (result is Result.FULL and target is node):
            # Back at a node that is suspect there is nothing to be had before it is tried again.
            served = target is not None and not target.silent_at
            self._give_up(work, self._wait(work, node) if served else self.settings.max_hint_us)
        else:
            self._hold(work, target, first=True)

    def _may_repeat(self, work: _Work) -> bool:
        """Whether another attempt can do no second effect now and keeps to the budget."""
        settings, kind, now = self.settings, work.kind, self._now
        forgets = work.kind.window_us if kind.effect is Effect.KEYED else 0
        if work.risky_at is not None and kind.effect is not Effect.SAFE and now >= work.risky_at + forgets:
            return False
        if not settings.budget_window_us or self._within_share():
            return True
        return self._portions is not None and self._portions.further(now, False)

    def _within_share(self) -> bool:
        """Whether one more further attempt keeps to this head's own share."""
        settings = self.settings
        for times in (self._taken, self._further):
            while times and times[0] < self._now - settings.budget_window_us + (times is self._taken):
                times.popleft()
        most = settings.budget_free + settings.budget_share * len(self._taken)
        return len(self._further) + 1 <= most

    def _observe(self, node: _Node, elapsed: float, units: float, gain: float) -> None:
        """Follow what a node's answers have and take, and the mean of all nodes."""
        # What a hang or a deep queue held for seconds says no more than "crowded".
        elapsed, mean = min(elapsed, 4 * self._shortest), self.settings.mean_units
        gain = 0.0 if self._stalled else gain  # a head that stood still reads its own delay
        if not node.units:
            node.units, node.elapsed = mean, (self._mean_latency or elapsed / units * mean)
        node.units += gain * (units - node.units)
        node.elapsed += gain * (elapsed - node.elapsed)
        node.latency_us = node.elapsed / node.units * mean
        self._mean_latency += MEAN_GAIN * (node.latency_us - self._mean_latency)

    def _unanswered(self, node: _Node, attempt: _Attempt) -> None:
        """An attempt that ends or is overdue without an answer says that a node takes at least so long: where
        clients leave early nothing else tells of a deep queue, and all service would go to those who left.
        Harm: lost answers look the same, so it counts the less the more of them there are."""
        least = 2 * (self._now - attempt.sent_at)
        if not attempt.overdue and least > 2 * self._latency(node) and attempt.sent_at > node.answered_at:
            self._observe(node, least, attempt.units, UNANSWERED_GAIN * (1 - self._lossy) ** 3)

    def _learn(self, node: _Node, event: AttemptEnded, units: float, full: bool) -> None:
        self._observe(node, max(1, event.elapsed_us), units, LATENCY_GAIN)
        unit = node.elapsed / node.units
        node.unit_us = min(unit, node.unit_us * (1 + BEST_RISE / node.window)) if node.unit_us else unit
        node.served.add(self._now, units)
        if unit < WIDEN * node.unit_us:
            if full:
                node.window = min(WINDOW_MAX, node.window + 1 / node.window)
        elif unit > NARROW_AT * node.unit_us and self._now - node.narrowed_at > node.latency_us:
            node.window, node.narrowed_at = max(WINDOW_MIN, node.window * NARROW), self._now

    def _meter(self, volume: _Volume, event: AttemptEnded, units: float) -> None:
        """Learn from the meters what the volume gets through other heads."""
        # A leaky sum over about two seconds tells our own rate.
        volume.own = volume.own * max(0.0, 1 - (self._now - volume.own_at) / 2e6) + units
        volume.own_at = self._now
        if event.used_percent > 0:
            others = max(0.0, (event.used_percent - 1) / 100 * volume.plan.rate - volume.own / 2.0)
            volume.others += METER_GAIN * (others - volume.others)
            self._share(volume)

    def _place(self, work: _Work) -> _Node | None:
        """Choose the node that would finish a new object first; suspect, cold and draining ones come last."""
        best, best_score = None, (True, float("inf"))
        up = self._up if len(self._up) <= CANDIDATES else self._random.sample(self._up, CANDIDATES)
        for node in (node for node in up if not node.silent_at):
            held = (node.held_units + work.ask.units) / self.settings.mean_units
            load = (len(node.out) + held) / node.window
            chance = 1 + SPREAD * self._random.random()
            chance /= self._weights.factor(node.entry.node) if self._weights is not None else 1.0
            last = node.unreached > 0 or node.cold_until > self._now
            score = (last, (self._latency(node) or 1.0) * (1 + load) * chance)
            if score < best_score:
                best, best_score = node, score
        return best

    def _wait(self, work: _Work, node: _Node) -> int:
        """How long a request would wait at a node and be served, from the present backlog and rate."""
        latency, mean, service = self._latency(node), self.settings.mean_units, self._service(work, node)
        if not node.held and not self._full(node):
            return service
        rate = max(node.window, 1.0) * mean / max(latency, 1.0)  # units a microsecond, by Little's law
        backlog = {session: sum(held.ask.units for held in queue) for session, queue in node.held.items()}
        own = backlog.pop(work.session, 0.0)
        if self._reserved(work.session):
            rivals = (session for session in backlog if self._reserved(session))
            ahead = own + sum(min(backlog[rival], rival.volume.reserve.level) for rival in rivals)
        else:
            turns = 1 + sum(session.weight for session in backlog) / work.session.weight
            ahead = min(own * turns, node.held_units) / (1 - min(node.reserved, 0.8))
        return int(ahead / rate + service)

    def _reserved(self, session: _Session) -> bool:
        """Whether a session is under its reservation at this head; background work never goes first."""
        return not session.background and session.volume.reserve.refill(self._now) > 0

    def _ready(self, work: _Work) -> bool:
        """Whether a held request may go now: credits, order, limit."""
        session, units = work.session, work.ask.units
        if session.operations < 1 or session.payload < units:
            return False
        if work.kind.in_order and (key := work.ask.key):
            if self._order[key][0] is not work or (not work.tries and self._now < self._rest.get(key, 0)):
                return False
        if ((limit := session.volume.limit) is not None and not work.charged
                and limit.refill(self._now) < units):  # fmt: skip
            if work.wait <= self._now:
                work.wait = self._now + limit.wait_us(self._now, units) + 1
                self._at(work.wait, self._pump, work.node)
            return False
        return not work.tries or self._may_repeat(work)

    def _first(self, queue: deque[_Work]) -> _Work | None:
        """The first request that may go: strictly the oldest, but a key that must wait blocks only itself."""
        for work in queue:
            if (ready := self._ready(work)) or not work.kind.in_order:
                return work if ready else None
        return None

    def _next(self, node: _Node) -> _Work | None:
        """Whose turn it is: sessions under their reservation, then deficit round robin by weight."""
        ready = {session: work for session, queue in node.held.items() if (work := self._first(queue))}
        for session, work in ready.items():
            if self._reserved(session):
                node.held[session] = node.held.pop(session)
                return work
        lightest = min((session.weight for session in ready), default=1.0)
        while ready:
            session = next(iter(node.held))
            if (work := ready.get(session)) is not None:
                # One key's consecutive requests share a turn: a node does them with less work.
                if node.deficit[session] >= work.ask.units or work.ask.key == node.last_key != "":
                    node.deficit[session] -= work.ask.units
                    return work
                node.deficit[session] += self.settings.mean_units * session.weight / lightest
            node.held[session] = node.held.pop(session)
        return None

    def _pump(self, node: _Node) -> None:
        """Send held requests while the node's window has room."""
        while node.held and self._sendable(node):
            if (self._now < node.trial_at) if node.silent_at else self._full(node):
                return
            if (work := self._next(node)) is None:
                return
            if wait := self._cold_wait(node):
                if node.look_at <= self._now:
                    node.look_at = self._now + wait + 1
                    self._at(node.look_at, self._pump, node)
                return
            if node.silent_at:
                self._suspect(node, "silent")
            self._send(work, node)

    def _send(self, work: _Work, node: _Node) -> None:
        session, volume, units, now = work.session, work.session.volume, work.ask.units, self._now
        self._unhold(work)
        node.reserved += 0.05 * (self._reserved(session) - node.reserved)
        session.operations -= 1
        session.payload -= units
        volume.reserve.level -= units
        if volume.limit is not None and not work.charged:
            volume.limit.level -= units
        work.charged = True
        if work.tries:
            if self._within_share() or self._portions is None or not self._portions.further(now, True):
                self._further.append(now)
        node.cold.level -= units
        node.last_key = work.ask.key
        work.out.add(work.tries)
        full = len(node.out) - node.overdue + 1 >= int(node.window)
        node.out[(work.ask.request, work.tries)] = _Attempt(now, units, full)
        expected = self._latency(node)
        self._at(now + int(max(OVERDUE_US, OVERDUE_TIMES * expected)), self._owed, node,
                 (work.ask.request, work.tries))  # fmt: skip
        work.tries += 1
        self._out.append(Send(work.ask.request, node.entry.node))
