"""The core of a head with a scripted port: events reach the module, and its actions are executed."""

import pytest

from harriertrack.config.settings import (
    ClassSettings,
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
from harriertrack.decisions.lifecycle import PartState
from harriertrack.decisions.splitting import Outcome, class_of, split_at_extents, units_of, request_outcome
from harriertrack.decisions.requests.state import MIN_PRUNED_TIMERS
from harriertrack.decisions.requests import ClientRequest, Core
from harriertrack.membership.nodes import Member, NodeList
from harriertrack.storage.extents import ExtentMap

MS = 1000
EXTENT = 1 << 16
CLASSES = (
    ClassSettings(
        name="read",
        kinds=(Kind.READ, Kind.FLUSH),
        aim_us=300 * MS,
        deadline_us=1500 * MS,
        effect=api.Effect.SAFE,
    ),
    ClassSettings(
        name="write",
        kinds=(Kind.WRITE, Kind.TRIM, Kind.ZERO),
        aim_us=500 * MS,
        deadline_us=2500 * MS,
        effect=api.Effect.KEYED,
        window_us=2500 * MS,
    ),
)


class Port:
    """Records the calls of the core."""

    def __init__(self):
        self.sent, self.called_off, self.answers, self.notes, self.subscribed = [], [], [], [], []
        self.wake = None

    def send(self, attempt):
        self.sent.append(attempt)

    def call_off(self, attempt):
        self.called_off.append(attempt)

    def answer(self, request):
        self.answers.append(request)

    def subscribe(self, on):
        self.subscribed.append(on)

    def ask_list(self):
        self.list_requested = True

    def wake_at(self, when):
        self.wake = when

    def soon(self):
        pass

    def note(self, text):
        self.notes.append(text)


class Rig:
    def __init__(self, nodes=3, shards=(), extents=None, **changes):
        values = dict(
            state_dir="unused",
            node_list=NodeListSettings(file="unused"),
            classes=CLASSES,
            extent_bytes=EXTENT,
            most_units=16,
            plans=(PlanSettings(name="p", rate=100, reserve=50),),
            rules=RuleSettings(),
            volumes=(VolumeSettings(name="v", size_bytes=16 * EXTENT, plan="p", shards=shards),),
            heads=2,
        )
        self.settings = HeadSettings(**{**values, **changes})
        self.port, self.now = Port(), 10_000_000
        self.extents = extents or ExtentMap(None)
        self.nodes = NodeList()
        module = Scheduler(module_settings(self.settings), 1)
        self.core = Core(
            request_rules(self.settings), module, self.settings.volumes, self.port, self.nodes, self.extents
        )
        self.members = [Member(api.NodeEntry(f"n{at}", at), ("h", at)) for at in range(nodes)]
        self.flush()
        self.core.nodes_changed(self.nodes.replace(self.members))
        self.flush()

    def flush(self):
        self.core.flush(self.now)

    def run(self, us):
        until = self.now + us
        while self.port.wake is not None and self.port.wake <= until:
            self.now, self.port.wake = max(self.now, self.port.wake), None
            self.flush()
        self.now = until

    def ask(self, kind, offset=0, length=512, data=b""):
        request = ClientRequest(self.core.volumes["v"], kind, offset, len(data) or length, data, 0, None)
        self.core.accept(self.now, request)
        self.flush()
        return request

    def end(self, attempt, result=api.Result.OK, data=b"", sent=True):
        if sent:
            self.core.attempt_sent(attempt)
        self.now += 5 * MS
        self.core.attempt_ended(self.now, attempt, result, data)
        self.flush()


def test_later_writes_go_to_the_shard_where_the_first_was_placed():
    rig = Rig()
    first, second = rig.ask(Kind.WRITE, data=b"a" * 512), rig.ask(Kind.WRITE, offset=512, data=b"b" * 512)
    (attempt,) = rig.port.sent  # the second waits for the first to be placed
    assert second.parts[0].state is PartState.AWAITING_PLACEMENT
    rig.end(attempt)
    assert rig.port.answers == [first] and first.outcome is Outcome.SERVED
    assert rig.extents.shard_of("v", 0) == attempt.member.entry.shard
    assert rig.port.sent[1].member == attempt.member
    assert rig.port.sent[1].part.body() == b"b" * 512


def test_a_queued_write_is_released_when_the_first_is_refused_unsent():
    rig = Rig(nodes=0)
    first, second = rig.ask(Kind.WRITE, data=b"a"), rig.ask(Kind.WRITE, data=b"b")
    assert [one.outcome for one in (first, second)] == [Outcome.REFUSED] * 2 and not rig.port.sent
    assert (
        rig.extents.shard_of("v", 0) is None and not rig.core._placement.queues and not rig.core._state.parts
    )


def test_a_write_accepted_before_the_placement_is_committed_goes_to_its_shard():
    rig = Rig()
    rig.ask(Kind.WRITE, data=b"a")
    attempt = rig.port.sent[0]
    rig.core.attempt_sent(attempt)
    rig.core.attempt_ended(rig.now, attempt, api.Result.OK)
    request = ClientRequest(rig.core.volumes["v"], Kind.WRITE, 8, 1, b"b", 0, None)
    rig.core.accept(rig.now, request)  # before the flush that records the placement
    rig.flush()
    assert (
        rig.port.sent[1].member == attempt.member
        and rig.port.sent[1].part.shard == attempt.member.entry.shard
    )


def test_a_queued_write_is_answered_although_the_first_hangs():
    rig = Rig()
    first = rig.ask(Kind.WRITE, data=b"a")
    rig.core.attempt_sent(rig.port.sent[0])
    rig.now += 100 * MS
    second = rig.ask(Kind.WRITE, data=b"b")
    rig.run(3_000 * MS)
    assert first.outcome is Outcome.FAILED  # it may have run
    assert second.outcome is not None and rig.core.open_requests == 0
    assert len(rig.port.answers) == 2


def test_reads_of_unwritten_ranges_need_no_node():
    rig = Rig(nodes=0)
    request = rig.ask(Kind.READ, offset=EXTENT - 100, length=200)
    assert request.outcome is Outcome.SERVED and request.pieces == [100, 100]
    assert rig.ask(Kind.TRIM, length=EXTENT).outcome is Outcome.SERVED
    assert rig.ask(Kind.FLUSH, length=0).outcome is Outcome.SERVED
    assert rig.ask(Kind.WRITE, length=0).outcome is Outcome.SERVED


def test_a_split_read_is_answered_when_all_parts_are_served():
    rig = Rig(shards=(0, 1))
    request = rig.ask(Kind.READ, offset=EXTENT - 100, length=200)
    one, two = rig.port.sent
    assert [(a.part.offset, a.part.length, a.member.entry.shard) for a in (one, two)] == [
        (EXTENT - 100, 100, 0),
        (EXTENT, 100, 1),
    ]
    rig.end(two, data=b"2" * 100)
    assert not rig.port.answers
    rig.end(one, data=b"1" * 100)
    assert rig.port.answers == [request]
    assert b"".join(piece.data for piece in request.pieces) == b"1" * 100 + b"2" * 100
    assert not rig.core._state.parts


def test_a_split_write_fails_with_its_first_failed_part_and_cancels_the_rest():
    rig = Rig(shards=(0, 1))
    request = rig.ask(Kind.WRITE, offset=EXTENT - 100, data=b"w" * 200)
    one, two = rig.port.sent
    rig.core.attempt_sent(two)
    rig.end(one, api.Result.FULL)
    assert request.outcome is Outcome.FAILED  # the other part may have run
    assert rig.port.answers == [request] and rig.port.called_off == [two]
    rig.end(two, sent=False)  # a late reply changes nothing
    assert rig.port.answers == [request] and not rig.core._state.parts
    assert rig.core.counts.failed == 1 and rig.core.open_requests == 0


def test_a_request_with_an_unsent_part_can_be_refused():
    rig = Rig(shards=(0, 1))
    request = rig.ask(Kind.WRITE, offset=EXTENT - 100, data=b"w" * 200)
    one, two = rig.port.sent  # the second still waits for its link
    rig.end(one, api.Result.FULL)
    assert request.outcome is Outcome.REFUSED and rig.port.called_off == [two]
    assert rig.port.answers == [request] and not rig.core._state.parts


def test_an_unsent_write_is_refused_not_failed():
    rig = Rig(shards=(0,))
    request = rig.ask(Kind.WRITE, data=b"w")
    for attempt in range(2):  # the link broke before it opened; the module retries once immediately
        rig.end(rig.port.sent[attempt], api.Result.RESET, sent=False)
    assert request.outcome is Outcome.REFUSED


def test_a_lost_keyed_write_is_resent_in_its_rack_with_the_same_key():
    rig = Rig()
    rig.ask(Kind.WRITE, data=b"w")
    first = rig.port.sent[0]
    rig.end(first, api.Result.RESET)
    second = rig.port.sent[1]
    assert (second.part.number, second.number) == (first.part.number, 1)
    assert second.member == first.member


def test_on_plain_nodes_a_lost_write_is_not_resent():
    rig = Rig(plain_nodes=True)
    assert module_settings(rig.settings).classes[1].effect is api.Effect.UNSAFE
    request = rig.ask(Kind.WRITE, data=b"w")
    rig.end(rig.port.sent[0], api.Result.RESET)
    assert len(rig.port.sent) == 1 and request.outcome is Outcome.FAILED


def test_a_client_that_leaves_gets_no_answer_and_its_attempts_are_cancelled():
    rig = Rig(shards=(0,))
    request = rig.ask(Kind.READ)
    rig.core.attempt_sent(rig.port.sent[0])
    rig.core.client_left(request)
    rig.flush()
    assert rig.port.called_off == rig.port.sent and not rig.port.answers
    rig.end(rig.port.sent[0], sent=False)
    assert not rig.core._state.parts and rig.core.open_requests == 0
    rig.core.client_left(request)  # a second call does nothing
    assert rig.core.counts.clients_left == 1


def test_a_read_without_a_reply_is_answered_before_its_deadline():
    rig = Rig(shards=(0,))
    start = rig.now
    request = rig.ask(Kind.READ)
    rig.core.attempt_sent(rig.port.sent[0])
    rig.run(1500 * MS)
    assert request.outcome is Outcome.REFUSED and rig.now <= start + 1500 * MS
    assert rig.port.called_off == rig.port.sent
    assert not rig.core._state.parts or all(part.open_attempts for part in rig.core._state.parts.values())


def test_a_flush_goes_to_shards_with_writes_and_only_once():
    rig = Rig(shards=(0, 1))
    rig.end([rig.ask(Kind.WRITE, data=b"w"), rig.port.sent[-1]][1])
    before = len(rig.port.sent)
    flush = rig.ask(Kind.FLUSH, length=0)
    shards = {attempt.member.entry.shard for attempt in rig.port.sent[before:]}
    assert shards == {0, 1}  # shard 1 too: an earlier incarnation may have written there
    for attempt in rig.port.sent[before:]:
        rig.end(attempt)
    assert flush.outcome is Outcome.SERVED
    assert rig.ask(Kind.FLUSH, length=0).outcome is Outcome.SERVED and len(rig.port.sent) == before + 2


def test_a_write_during_a_flush_needs_another_flush():
    rig = Rig(shards=(0,))
    rig.ask(Kind.FLUSH, length=0)
    flush = rig.port.sent[-1]
    rig.ask(Kind.WRITE, data=b"w")
    rig.end(rig.port.sent[-1])
    rig.end(flush)
    assert rig.core.volumes["v"].dirty


def test_failed_list_calls_reach_the_module_which_subscribes_again():
    rig = Rig()
    asked = len(rig.port.subscribed)
    assert asked == 1
    rig.core.list_failed()
    rig.flush()
    rig.run(2_000 * MS)
    assert len(rig.port.subscribed) == asked + 1


def test_a_removed_node_gets_no_new_requests():
    rig = Rig(nodes=1, shards=(0,))
    entry = rig.members[0].entry
    gone = Member(api.NodeEntry(entry.node, 0, api.NodeState.GONE), ("h", 0))
    rig.core.nodes_changed(rig.nodes.replace([gone]))
    rig.flush()
    assert rig.ask(Kind.READ).outcome is Outcome.REFUSED and not rig.port.sent


def test_placements_are_on_disk_before_the_answer(monkeypatch):
    rig, order = Rig(), []
    place, answer = rig.extents.place, rig.port.answer
    monkeypatch.setattr(rig.extents, "place", lambda placements: (order.append("disk"), place(placements)))
    monkeypatch.setattr(rig.port, "answer", lambda request: (order.append("answer"), answer(request)))
    rig.ask(Kind.WRITE, data=b"w")
    rig.end(rig.port.sent[0])
    assert order == ["disk", "answer"]


def test_splitting_and_units():
    assert list(split_at_extents(10, 0, 100)) == []
    assert list(split_at_extents(90, 220, 100)) == [(0, 90, 10), (1, 100, 100), (2, 200, 100), (3, 300, 10)]
    assert [units_of(length, 4096) for length in (0, 1, 4096, 4097)] == [1, 1, 1, 2]
    classes = [("big", frozenset("r"), 100), ("all", frozenset("rw"), 0)]
    assert [class_of(classes, *one) for one in (("r", 100), ("r", 99), ("w", 500), ("x", 1))] == [
        "big",
        "all",
        "all",
        None,
    ]


@pytest.mark.parametrize(
    ("given_up", "others", "changes", "outcome"),
    [
        (PartState.REFUSED, [], True, Outcome.REFUSED),
        (PartState.FAILED, [], False, Outcome.FAILED),
        (PartState.REFUSED, [(PartState.SERVED, False)], False, Outcome.REFUSED),
        (PartState.REFUSED, [(PartState.SERVED, False)], True, Outcome.FAILED),
        (PartState.REFUSED, [(PartState.IN_FLIGHT, True)], True, Outcome.FAILED),
        (PartState.REFUSED, [(PartState.SUBMITTED, True)], True, Outcome.FAILED),
        (
            PartState.REFUSED,
            [(PartState.SUBMITTED, False), (PartState.AWAITING_PLACEMENT, False)],
            True,
            Outcome.REFUSED,
        ),
    ],
)
def test_request_outcome_from_parts(given_up, others, changes, outcome):
    assert request_outcome(given_up, others, changes) is outcome


def test_the_timers_of_parts_that_are_over_are_removed_long_before_they_are_due():
    """Guards against memory that grows with answered requests for as long as their deadline."""
    rig, timers = Rig(), []
    for _ in range(3 * MIN_PRUNED_TIMERS):
        rig.ask(Kind.READ)
        rig.ask(Kind.WRITE, data=b"a" * 512)
        rig.end(rig.port.sent[-1])
        rig.now -= 5 * MS
        timers.append(len(rig.core._state.timers))
    assert max(timers) <= 2 * MIN_PRUNED_TIMERS
