"""A close against writes and reads in flight, slow nodes, and a calendar that changes: one head, one node.

Production code: the core with its scheduler module, the guard, the carrier of closes and their trims, and the
extent map. Modelled: the decider (its ruling may be late, and the record may arrive before or after it), the
link to the node, and the node's bytes. The node rejects requests with an epoch older than the newest it saw.
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
LATE_US = 280_000  # delay of a late record: longer than the notice
SLOW_US = 90_000  # service time of a request at a slow node
READ_US, WRITE_US = 150_000, 120_000  # deadlines
NODE_SERVICE_US = 2_000
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
    """The requester of one request, and the outcome of that request."""

    kind: Kind
    accepted_at_us: int
    tag: int = 0  # the byte written or read
    answers: int = 0
    ended_at_us: int = 0
    outcome: Outcome | None = None
    on_answer: Callable[[_Client, ClientRequest], None] = lambda _one, _request: None

    def answer(self, request: ClientRequest) -> None:
        """Record the answer."""
        self.answers += 1
        self.outcome = request.outcome
        self.on_answer(self, request)


class _Link:
    """The core's environment: a link to one node whose response time is under the scenario's control."""

    def __init__(self, world: World) -> None:
        self._world, self._hub = world, world.hub
        self.core: Core
        self.alarm = Alarm(world.hub, lambda: self.core.flush(world.hub.now()))
        self.epochs = Epochs()
        self.bytes: dict[int, int] = {}  # at the node: the written tag, by extent
        self._epoch = 0  # the newest epoch that the node received
        self.slow = self.was_slow = False  # now; at any time so far

    def send(self, attempt: Attempt) -> None:
        """Start an attempt."""
        epoch, now = self.epochs.epoch_of(VOLUME), self._hub.now()
        self._hub.at_for(HEAD, now, lambda: self._send_to_node(attempt, epoch))

    def _send_to_node(self, attempt: Attempt, epoch: int) -> None:
        if not attempt.answer_needed:
            return  # it was cancelled before
        self.core.attempt_sent(attempt)
        service_us = SLOW_US if self.slow else NODE_SERVICE_US
        self._hub.at_for(NODE, self._hub.now() + service_us, lambda: self._run_at_node(attempt, epoch))

    def _run_at_node(self, attempt: Attempt, epoch: int) -> None:
        part, result, data = attempt.part, api.Result.OK, b""
        if epoch < self._epoch:
            result = api.Result.CONNECT_FAILED  # rejected by its epoch: it did not run
        else:
            self._epoch = epoch
            match part.request.kind:
                case Kind.WRITE:
                    self.bytes[part.extent] = part.body()[0]
                case Kind.READ:
                    data = bytes([self.bytes.get(part.extent, 0)]) * part.length
                case Kind.TRIM:
                    self.bytes.pop(part.extent, None)
        self._hub.at_for(HEAD, self._hub.now(), lambda: self._deliver_answer(attempt, result, data))

    def _deliver_answer(self, attempt: Attempt, result: api.Result, data: bytes) -> None:
        if attempt.answer_needed:
            self.core.attempt_ended(self._hub.now(), attempt, result, data)

    def call_off(self, attempt: Attempt) -> None:
        """Does nothing: the node completes the request all the same."""

    def answer(self, request: ClientRequest) -> None:
        """Deliver the answer to the client."""
        request.requester.answer(request)

    def subscribe(self, on: bool) -> None:
        """Does nothing: the node list never changes."""

    def ask_list(self) -> None:
        """Does nothing: the node list never changes."""

    def wake_at(self, when: int) -> None:
        """Flush at a time."""
        self.alarm.wake_at(when)

    def soon(self) -> None:
        """Flush at the end of this round."""
        self.alarm.soon()

    def note(self, text: str) -> None:
        """Does nothing: notes are not checked."""


class _Decider:
    """The decider: announces the time and the schedule of closes."""

    def __init__(self, world: World) -> None:
        self._hub = world.hub
        self.schedule, self.number = Schedule(), 0
        self.closing: Closing
        self.on_report: dict[str, Callable[[int, str, bytes], None]] = {}
        self.on_ruling: dict[str, Callable[[int, Term, bytes], None]] = {}
        self.record_late_us = 0

    def change(self, plan: Plan) -> None:
        """Recompute the schedule; a new plan before the first one is ignored."""
        hub = self._hub
        if plan is not OLD and not self.number:
            return
        self.schedule = compute_schedule(self.schedule, plan, hub.now() + ERROR_US, NOTICE_US)
        self.number += 1
        body = encode_schedule(self.schedule)
        version = Version(CALENDAR + CLOSES_SUFFIX, self.number, self.number - 1, body, "d", 1, "worked out")

        def deliver_record() -> None:
            self.closing.apply(version.thing, version)

        hub.at_for(HEAD, hub.now() + self.record_late_us, deliver_record)

    def report(self, _topic: str, body: bytes) -> None:
        """Answer a head's query."""
        query = decode_query(body)
        assert query is not None
        self._hub.at_for(DECIDER, self._hub.now(), lambda: self._send_ruling(query.at))

    def _send_ruling(self, query_at_us: int) -> None:
        now, body = self._hub.now(), encode_schedule(self.schedule)
        answer = Answer("h", query_at_us, now)
        ruling = encode(Ruling(now, digest_of({CALENDAR: body}), (-ERROR_US, ERROR_US), now, [answer], []))
        self._hub.at_for(HEAD, now, lambda: self.on_ruling[TOPIC](self._hub.now(), Term(1, 1), ruling))

    def deciding_term(self, _now: int) -> None:
        """Does nothing: the decider is modelled, and the head never has the term."""

    def rule(self, _topic: str, _body: bytes) -> bool:
        """Does nothing: the decider is modelled, and the head never has the term."""
        return False


def _close(changes: bool = False, late_at: int = 0) -> Callable[[World], None]:
    def build(world: World) -> None:
        hub, link, decider = world.hub, _Link(world), _Decider(world)
        clients: list[_Client] = []

        def check_answer(requester: _Client, request: ClientRequest) -> None:
            requester.ended_at_us = hub.now()
            if requester.kind is Kind.READ and requester.outcome is Outcome.SERVED:
                requester.tag = request.bytes_read()[0]
                world.wrong += [
                    error for error in [_stale_read_error(decider.schedule, clients, requester)] if error
                ]

        def send_request(kind: Kind) -> None:
            requester = _Client(kind, hub.now(), 0, on_answer=check_answer)
            if kind is Kind.WRITE:
                requester.tag = sum(other.kind is kind for other in clients) + 1
            clients.append(requester)
            data = bytes([requester.tag]) * BLOCK if kind is Kind.WRITE else b""
            request = ClientRequest(link.core.volumes[VOLUME], kind, 0, BLOCK, data, 0, requester)
            link.core.accept(hub.now(), request)

        def head() -> None:
            extent_map = ExtentMap(None)
            with hub.scope(HEAD) as scope:
                nodes = NodeList()
                module = Scheduler(module_settings(SETTINGS), 1)
                core = Core(request_rules(SETTINGS), module, SETTINGS.volumes, link, nodes, extent_map)
                link.core = core
                core.nodes_changed(nodes.replace([Member(api.NodeEntry("n", 0), ("n", 1))]))
                swim = Swim(Rules(fleet="f"), Record("h", 1, 1, 0, State.ALIVE, "x", 1), (), 1)
                swim.start(hub.now())
                record = SimpleNamespace(revision=0)
                changes_carrier = cast(
                    Changes, SimpleNamespace(register_user=lambda *_: None, record=record, write=None)
                )
                closing = Closing(_parts(world, scope, core), CLOSING, swim, cast(FleetDecider, decider),
                                  changes_carrier, extent_map, link.epochs)  # fmt: skip
                decider.closing = closing
                closing.start()
                decider.change(OLD)
                scope.spawn("client", client)

        def client() -> None:
            request_times = [(at, Kind.READ) for at in READS] + [(at, Kind.WRITE) for at in WRITES]
            for at, kind in sorted(request_times, key=lambda one: one[0]):
                hub.sleep_until(START + at)
                send_request(kind)

        def change_with_late_record() -> None:
            decider.record_late_us = LATE_US
            decider.change(NEW)

        def change_during_run() -> None:
            hub.sleep_until(START + late_at)
            change_with_late_record()

        def slow_down() -> None:
            link.slow = link.was_slow = True

        def fast() -> None:
            link.slow = False

        world.spawn(HEAD, "head", head)
        if late_at:
            world.spawn(DECIDER, "changes the calendar", change_during_run)
        world.fault("the node slows", NODE, slow_down)
        world.fault("the node is quick again", NODE, fast)
        world.fault(
            "a client writes", HEAD, lambda: send_request(Kind.WRITE) if hasattr(link, "core") else None
        )
        world.fault(
            "a client reads", HEAD, lambda: send_request(Kind.READ) if hasattr(link, "core") else None
        )
        if changes:
            world.fault("the calendar changes", DECIDER, lambda: decider.change(NEW))
            world.fault("it changes, and the record is late", DECIDER, change_with_late_record)

        def judge(_view: object) -> str | None:
            for requester in clients:
                if requester.answers > 1:
                    return f"a request was answered {requester.answers} times"
            return None

        def finish() -> str | None:
            unanswered = [
                one for one in clients if not one.answers and one.accepted_at_us + READ_US < hub.now()
            ]
            if unanswered:
                first = unanswered[0]
                return f"a {first.kind.value} of {first.accepted_at_us - START} us was never answered"
            if not link.was_slow and not any(one.kind is Kind.READ and one.tag for one in clients):
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
    """Return the number of the last close at or before an instant."""
    return max((one.number for one in schedule.closes if one.at_us <= at), default=0)


def _stale_read_error(schedule: Schedule, clients: list[_Client], read: _Client) -> str | None:
    """Return an error if a read returned data from before a close, or missed a later write."""
    closed = _generation(schedule, read.ended_at_us)
    writes = [one for one in clients if one.kind is Kind.WRITE and one.answers]
    read_text = f"a read answered at {read.ended_at_us - START} us"
    source = next((one for one in clients if one.kind is Kind.WRITE and one.tag == read.tag), None)
    if source is not None and _generation(schedule, source.accepted_at_us) < closed:
        written_at_us = source.accepted_at_us - START
        return f"{read_text} brought what was written at {written_at_us} us, before close {closed}"
    current_writes = [
        one for one in writes
        if one.outcome is Outcome.SERVED and one.ended_at_us < read.accepted_at_us
        and _generation(schedule, one.accepted_at_us) == closed
    ]  # fmt: skip
    if current_writes and (
        source is None or source.accepted_at_us < max(one.accepted_at_us for one in current_writes)
    ):
        expected = current_writes[-1].tag
        return f"{read_text} brought {read.tag} in place of {expected}, written after close {closed}"
    return None


SCENARIOS = (
    Scenario("close-write", "closes against reads and writes in flight, at a node that may be slow",
             _close(), until_us=UNTIL_US, most_steps=1500),
    Scenario("close-changes", "the same, and the calendar changes at any time",
             _close(changes=True), until_us=UNTIL_US, most_steps=1500),
    Scenario("close-late", "a calendar that changes, and the record comes after a close that it names",
             _close(late_at=180_000), until_us=UNTIL_US, most_steps=1500),
)  # fmt: skip
