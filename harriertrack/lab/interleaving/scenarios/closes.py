"""A close against writes and reads in flight, slow nodes, and a calendar that changes: one head, one node.

Production code are the core with its module, the guard, the carrier of closes and of their trims, the map of
extents. Represented are who decides (its word may come late, and the record after or before it), the link to
the node, and the node's bytes; a node turns down what comes under an older epoch than it has heard of.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any, cast

from harriertrack.config.settings import (
    ClassSettings,
    ClosingSettings,
    HeadSettings,
    Kind,
    NodeListSettings,
    PlanSettings,
    RuleSettings,
    VolumeSettings,
    module_settings,
    request_rules,
)
from harriertrack.decisions import Scheduler, interface as api
from harriertrack.decisions.epochs import Epochs
from harriertrack.decisions.fleet.budgets import Term
from harriertrack.decisions.fleet.changes.record import Version
from harriertrack.decisions.fleet.closing.calendars import CLOSES_SUFFIX
from harriertrack.decisions.fleet.closing.schedule import Plan, Purge, Schedule, compute_schedule
from harriertrack.decisions.requests import Attempt, ClientRequest, Core
from harriertrack.decisions.splitting import Outcome
from harriertrack.gateway.fleet.changes.carrier import Changes
from harriertrack.gateway.fleet.closing.carrier import Closing
from harriertrack.gateway.fleet.closing.messages import TOPIC, Answer, Ruling, decode_query, encode
from harriertrack.gateway.fleet.closing.record_encoding import digest_of, encode_schedule
from harriertrack.gateway.fleet.decider import FleetDecider
from harriertrack.gateway.parts import HeadParts
from harriertrack.lab.interleaving.observed import START
from harriertrack.lab.interleaving.world import Scenario, World
from harriertrack.membership.fleet.messages import Record, State
from harriertrack.membership.fleet.swim import Rules, Swim
from harriertrack.membership.nodes import Member, NodeList
from harriertrack.runtime.alarm import Alarm
from harriertrack.runtime.hub import Scope
from harriertrack.storage.extents import ExtentMap

HEAD, NODE, DECIDER, VOLUME, CALENDAR = "head", "node", "decider", "v", "tokyo"
EXTENT, BLOCK = 1 << 16, 512
NOTICE_US, ERROR_US = 200_000, 10_000
PURGES = (Purge(VOLUME),)
OLD = Plan(1, "tz", PURGES, ((START + 250_000, "first"), (START + 480_000, "second")))
NEW = Plan(2, "tz", PURGES, ((START + 250_000, "first"), (START + 420_000, "earlier")))
UNTIL_US = 600_000
LATE_US = 280_000  # of a record: more than the notice
SLOW_US = 90_000  # what a slow node takes for a request
READ_US, WRITE_US = 150_000, 120_000  # deadlines
TAKE_US = 2_000
READS = (40_000, 200_000, 245_000, 255_000, 262_000, 300_000, 400_000, 450_000, 530_000, 590_000)
WRITES = (10_000, 225_000, 290_000, 500_000)
SETTINGS = HeadSettings(
    state_dir="unused", node_list=NodeListSettings(file="unused"), extent_bytes=EXTENT, most_units=16,
    heads=1,
    classes=(
        ClassSettings(name="read", kinds=(Kind.READ, Kind.FLUSH), aim_us=READ_US // 2, deadline_us=READ_US,
                      effect=api.Effect.SAFE),
        ClassSettings(name="write", kinds=(Kind.WRITE, Kind.TRIM, Kind.ZERO), aim_us=WRITE_US // 2,
                      deadline_us=WRITE_US, effect=api.Effect.KEYED, window_us=WRITE_US),
    ),
    plans=(PlanSettings(name="p", rate=10_000, reserve=50),), rules=RuleSettings(),
    volumes=(VolumeSettings(name=VOLUME, size_bytes=2 * EXTENT, plan="p"),),
)  # fmt: skip
CLOSING = ClosingSettings(
    volumes=(VOLUME,), notice_us=NOTICE_US, ask_us=50_000, error_us=ERROR_US, spread_us=1
)


@dataclass(eq=False)
class _Client:
    """Who asked one thing, and what came of it."""

    kind: Kind
    taken_at: int
    tag: int = 0  # that it writes
    answers: int = 0
    ended_at: int = 0
    outcome: Outcome | None = None
    hears: Callable[[_Client, ClientRequest], None] = lambda _one, _request: None

    def answer(self, request: ClientRequest) -> None:
        """Take the answer."""
        self.answers += 1
        self.outcome = request.outcome
        self.hears(self, request)


class _Link:
    """What a core asks of its surroundings: a link to a node whose requests take as long as it likes."""

    def __init__(self, world: World) -> None:
        self._world, self._hub = world, world.hub
        self.core: Core
        self.alarm = Alarm(world.hub, lambda: self.core.flush(world.hub.now()))
        self.epochs = Epochs()
        self.bytes: dict[int, int] = {}  # at the node: by extent, the tag that was written
        self._epoch = 0  # the newest that the node heard of
        self.slow = self.struck = False  # now, ever

    def send(self, attempt: Attempt) -> None:
        """Start an attempt."""
        epoch, now = self.epochs.epoch_of(VOLUME), self._hub.now()
        self._hub.at_for(HEAD, now, lambda: self._leaves(attempt, epoch))

    def _leaves(self, attempt: Attempt, epoch: int) -> None:
        if not attempt.answer_needed:
            return  # it was given up before
        self.core.attempt_sent(attempt)
        takes = SLOW_US if self.slow else TAKE_US
        self._hub.at_for(NODE, self._hub.now() + takes, lambda: self._runs(attempt, epoch))

    def _runs(self, attempt: Attempt, epoch: int) -> None:
        part, result, data = attempt.part, api.Result.OK, b""
        if epoch < self._epoch:
            result = api.Result.CONNECT_FAILED  # it was not seen
        else:
            self._epoch = epoch
            match part.request.kind:
                case Kind.WRITE:
                    self.bytes[part.extent] = part.body()[0]
                case Kind.READ:
                    data = bytes([self.bytes.get(part.extent, 0)]) * part.length
                case Kind.TRIM:
                    self.bytes.pop(part.extent, None)
        self._hub.at_for(HEAD, self._hub.now(), lambda: self._answered(attempt, result, data))

    def _answered(self, attempt: Attempt, result: api.Result, data: bytes) -> None:
        if attempt.answer_needed:
            self.core.attempt_ended(self._hub.now(), attempt, result, data)

    def call_off(self, attempt: Attempt) -> None:
        """The node goes on."""

    def answer(self, request: ClientRequest) -> None:
        """Give the client its answer."""
        request.requester.answer(request)

    def subscribe(self, on: bool) -> None:
        """There is one list."""

    def ask_list(self) -> None:
        """There is one list."""

    def wake_at(self, when: int) -> None:
        """Flush at a time."""
        self.alarm.wake_at(when)

    def soon(self) -> None:
        """Flush at the end of this round."""
        self.alarm.soon()

    def note(self, text: str) -> None:
        """Nobody reads it."""


class _Decider:
    """Says what time it is, and which closes there are."""

    def __init__(self, world: World) -> None:
        self._hub = world.hub
        self.schedule, self.number = Schedule(), 0
        self.taker: Closing
        self.on_report: dict[str, Callable[[int, str, bytes], None]] = {}
        self.on_ruling: dict[str, Callable[[int, Term, bytes], None]] = {}
        self.record_late_us = 0

    def change(self, plan: Plan) -> None:
        """Work the closes out anew, once there are any."""
        hub = self._hub
        if plan is not OLD and not self.number:
            return
        self.schedule = compute_schedule(self.schedule, plan, hub.now() + ERROR_US, NOTICE_US)
        self.number += 1
        body = encode_schedule(self.schedule)
        version = Version(CALENDAR + CLOSES_SUFFIX, self.number, self.number - 1, body, "d", 1, "worked out")

        def comes() -> None:
            self.taker.apply(version.thing, version)

        hub.at_for(HEAD, hub.now() + self.record_late_us, comes)

    def report(self, _topic: str, body: bytes) -> None:
        """A head asks."""
        ask = decode_query(body)
        assert ask is not None
        self._hub.at_for(DECIDER, self._hub.now(), lambda: self._says(ask.at))

    def _says(self, asked_at: int) -> None:
        now, body = self._hub.now(), encode_schedule(self.schedule)
        answer = Answer("h", asked_at, now)
        said = encode(Ruling(now, digest_of({CALENDAR: body}), (-ERROR_US, ERROR_US), now, [answer], []))
        self._hub.at_for(HEAD, now, lambda: self.on_ruling[TOPIC](self._hub.now(), Term(1, 1), said))

    def deciding_term(self, _now: int) -> None:
        """No head decides here but this one."""

    def rule(self, _topic: str, _body: bytes) -> bool:
        """No head decides here but this one."""
        return False


def _close(changes: bool = False, late_at: int = 0) -> Callable[[World], None]:
    def build(world: World) -> None:
        hub, link, decider = world.hub, _Link(world), _Decider(world)
        clients: list[_Client] = []

        def heard(one: _Client, request: ClientRequest) -> None:
            one.ended_at = hub.now()
            if one.kind is Kind.READ and one.outcome is Outcome.SERVED:
                one.tag = request.bytes_read()[0]
                world.wrong += [said for said in [_stale(decider.schedule, clients, one)] if said]

        def ask(kind: Kind) -> None:
            one = _Client(kind, hub.now(), 0, hears=heard)
            if kind is Kind.WRITE:
                one.tag = sum(other.kind is kind for other in clients) + 1
            clients.append(one)
            data = bytes([one.tag]) * BLOCK if kind is Kind.WRITE else b""
            request = ClientRequest(link.core.volumes[VOLUME], kind, 0, BLOCK, data, 0, one)
            link.core.accept(hub.now(), request)

        def head() -> None:
            places = ExtentMap(None)
            with hub.scope(HEAD) as scope:
                nodes = NodeList()
                module = Scheduler(module_settings(SETTINGS), 1)
                core = Core(request_rules(SETTINGS), module, SETTINGS.volumes, link, nodes, places)
                link.core = core
                core.nodes_changed(nodes.replace([Member(api.NodeEntry("n", 0), ("n", 1))]))
                swim = Swim(Rules(fleet="f"), Record("h", 1, 1, 0, State.ALIVE, "x", 1), (), 1)
                swim.start(hub.now())
                user = cast(Changes, SimpleNamespace(register_user=lambda *_: None, write=None,
                                                     record=SimpleNamespace(revision=0)))  # fmt: skip
                closing = Closing(_parts(world, scope, core), CLOSING, swim, cast(FleetDecider, decider),
                                  user, places, link.epochs)  # fmt: skip
                decider.taker = closing
                closing.start()
                decider.change(OLD)
                scope.spawn("client", client)

        def client() -> None:
            moments = [(at, Kind.READ) for at in READS] + [(at, Kind.WRITE) for at in WRITES]
            for at, kind in sorted(moments, key=lambda one: one[0]):
                hub.sleep_until(START + at)
                ask(kind)

        def late() -> None:
            decider.record_late_us = LATE_US
            decider.change(NEW)

        def changes_late() -> None:
            hub.sleep_until(START + late_at)
            late()

        def slows() -> None:
            link.slow = link.struck = True

        def fast() -> None:
            link.slow = False

        world.spawn(HEAD, "head", head)
        if late_at:
            world.spawn(DECIDER, "changes the calendar", changes_late)
        world.fault("the node slows", NODE, slows)
        world.fault("the node is quick again", NODE, fast)
        world.fault("a client writes", HEAD, lambda: ask(Kind.WRITE) if hasattr(link, "core") else None)
        world.fault("a client reads", HEAD, lambda: ask(Kind.READ) if hasattr(link, "core") else None)
        if changes:
            world.fault("the calendar changes", DECIDER, lambda: decider.change(NEW))
            world.fault("it changes, and the record is late", DECIDER, late)

        def judge(_view: object) -> str | None:
            for one in clients:
                if one.answers > 1:
                    return f"a request was answered {one.answers} times"
            return None

        def finish() -> str | None:
            open_ = [one for one in clients if not one.answers and one.taken_at + READ_US < hub.now()]
            if open_:
                return f"a {open_[0].kind.value} of {open_[0].taken_at - START} us was never answered"
            if not link.struck and not any(one.kind is Kind.READ and one.tag for one in clients):
                return "no read brought anything"
            return None

        world.view = lambda: tuple((one.kind.value, one.tag, one.answers) for one in clients)
        world.judge, world.finish = judge, finish

    return build


def _parts(world: World, scope: Scope, core: Core) -> HeadParts:
    parts: Any = SimpleNamespace(
        hub=world.hub, scope=scope, settings=SETTINGS, core=core, network=world.network, name="h", wall=None,
        note=lambda *_args, **_fields: None,
    )  # fmt: skip
    return cast(HeadParts, parts)


def _generation(schedule: Schedule, at: int) -> int:
    """Return after which close an instant is."""
    return max((one.number for one in schedule.closes if one.at_us <= at), default=0)


def _stale(schedule: Schedule, clients: list[_Client], read: _Client) -> str | None:
    """Return what is wrong with what a read brought, if anything."""
    closed = _generation(schedule, read.ended_at)
    writes = [one for one in clients if one.kind is Kind.WRITE and one.answers]
    told = f"a read answered at {read.ended_at - START} us"
    source = next((one for one in clients if one.kind is Kind.WRITE and one.tag == read.tag), None)
    if source is not None and _generation(schedule, source.taken_at) < closed:
        return f"{told} brought what was written at {source.taken_at - START} us, before close {closed}"
    kept = [
        one for one in writes
        if one.outcome is Outcome.SERVED and one.ended_at < read.taken_at
        and _generation(schedule, one.taken_at) == closed
    ]  # fmt: skip
    if kept and (source is None or source.taken_at < max(one.taken_at for one in kept)):
        return f"{told} brought {read.tag} in place of {kept[-1].tag}, written after close {closed}"
    return None


SCENARIOS = (
    Scenario("close-write", "closes against reads and writes in flight, at a node that may be slow",
             _close(), until_us=UNTIL_US, most_steps=1500),
    Scenario("close-changes", "the same, and the calendar changes at any time",
             _close(changes=True), until_us=UNTIL_US, most_steps=1500),
    Scenario("close-late", "a calendar that changes, and the record comes after a close that it names",
             _close(late_at=180_000), until_us=UNTIL_US, most_steps=1500),
)  # fmt: skip
