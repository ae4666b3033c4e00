"""Requests that wait after a refusal with a hint: in the core, and in a head whose client tolerates no error."""

import random

import msgspec
import pytest
from test_core import MS, Rig as CoreRig
from test_head import EXTENT, play

from harriertrack.config.settings import ClassSettings, Kind, LimitSettings, PlanSettings, VolumeSettings
from harriertrack.decisions import interface as api
from harriertrack.decisions.lifecycle import PartState, PartStep
from harriertrack.decisions.retry_queue import WaitMode
from harriertrack.decisions.requests import Attempt, ClientRequest, core
from harriertrack.decisions.requests.completion import Completion
from harriertrack.decisions.requests.admission import Admission
from harriertrack.decisions.splitting import Outcome
from harriertrack.gateway.client import NbdClient
from harriertrack.lab import day as days, rig
from harriertrack.lab.exercise import Exercise, Load
from harriertrack.protocol.nbd.wire import Command, Errno
from harriertrack.rules import checker

PATIENCE = 60_000 * MS


class Rig(CoreRig):
    """The core with a module that refuses, on arrival, the requests in `refuse`."""

    def __init__(self, **more):
        super().__init__(**more)
        self.module, self.refuse, self.arrived = self.core._module, set(), []
        self.core._module = self

    def handle(self, now, events):
        passed, actions = [], []
        for event in events:
            if isinstance(event, api.RequestArrived):
                self.arrived.append(event)
                if event.request in self.refuse:
                    actions.append(api.Refuse(event.request, 20 * MS))
                    continue
            passed.append(event)
        return actions + self.module.handle(now, passed)

    def submit_refused(self, kind, offset=0, length=512, data=b"", patience=PATIENCE):
        request = ClientRequest(self.core.volumes["v"], kind, offset, len(data) or length, data, 0, None,
                                patience_us=patience)  # fmt: skip
        self.refuse.add(self.core._state.last_part_number + 1)
        self.core.accept(self.now, request)
        self.flush()
        return request

    def write(self, offset=0):
        request = self.ask(Kind.WRITE, offset, data=b"x" * 512)
        self.end(self.port.sent[-1])
        assert request.outcome is Outcome.SERVED
        return request


def test_a_refused_request_waits_and_is_served_once_with_the_same_key():
    rig = Rig()
    rig.write()
    request = rig.submit_refused(Kind.READ)
    (part,) = request.parts
    assert (
        part.state is PartState.QUEUED
        and rig.core.waiting_parts == 1
        and rig.port.answers == rig.port.answers[:1]
    )
    rig.run(25 * MS)
    assert rig.core.waiting_parts == 1 and [one.reoffered for one in rig.arrived[-2:]] == [False, True]
    rig.refuse.clear()
    rig.run(500 * MS)
    attempt = rig.port.sent[-1]
    assert attempt.part is part and part.state is PartState.IN_FLIGHT
    rig.end(attempt, data=b"x" * 512)
    assert rig.port.answers[1:] == [request] and request.outcome is Outcome.SERVED
    assert not rig.core._state.parts and rig.core.counts.served == 2


def test_a_client_that_accepts_hints_is_refused_on_arrival():
    rig = Rig()
    rig.write()
    request = rig.submit_refused(Kind.READ, patience=0)
    assert request.outcome is Outcome.REFUSED and request.hint_us == 20 * MS


def test_a_waiting_write_is_refused_just_before_its_deadline():
    rig = Rig()
    rig.write()
    request = rig.submit_refused(Kind.WRITE, data=b"y", patience=3_000 * MS)
    rig.run(2_997 * MS)
    assert request.outcome is None
    rig.run(2 * MS)
    assert request.outcome is Outcome.REFUSED and rig.core.waiting_parts == 0
    assert not [one for one in rig.port.sent if one.part.request is request]
    # A probe of the silent shard.
    assert {one.request.kind for one in rig.core._state.parts.values()} <= {Kind.FLUSH}


def test_a_reoffered_request_without_answer_is_offered_again_as_a_further_attempt():
    rig = Rig()
    rig.write()
    request = rig.submit_refused(Kind.READ)
    rig.refuse.clear()
    rig.run(30 * MS)
    first = rig.port.sent[-1]
    rig.core.attempt_sent(first)
    rig.run(1_600 * MS)  # an offer lasts until its class's deadline
    assert rig.port.called_off[-1:] == [first] and request.outcome is None
    while rig.port.sent[-1] is first:
        rig.run(20 * MS)
    again = rig.port.sent[-1]
    assert again.part is first.part and again.number >= 1 and rig.arrived[-1].attempts_made >= 1
    rig.end(again, data=b"z" * 512)
    assert request.outcome is Outcome.SERVED
    rig.core.attempt_ended(rig.now, first, api.Result.OK, b"late")
    rig.flush()
    assert rig.port.answers.count(request) == 1


def write_without_answer():
    rig = Rig()
    rig.write()
    request = rig.submit_refused(Kind.WRITE, data=b"y" * 512)
    rig.refuse.clear()
    rig.run(30 * MS)
    attempt = rig.port.sent[-1]
    rig.core.attempt_sent(attempt)
    return rig, request, attempt


def test_a_write_to_a_new_extent_whose_connection_never_opens_is_offered_again():
    """Day waiting-kill, seed 3, in the emulator: the head ended with StopIteration, as nothing may have run anywhere."""
    rig = Rig()
    request = rig.submit_refused(Kind.WRITE, data=b"y" * 512)
    rig.refuse.clear()
    rig.run(30 * MS)
    (first,) = rig.port.sent
    rig.run(3_000 * MS)
    assert request.outcome is None and rig.port.called_off[0] is first
    again = rig.port.sent[-1]
    assert again is not first and again.part is first.part
    rig.end(again)
    assert request.outcome is Outcome.SERVED


def test_a_write_that_may_have_run_is_repeated_only_while_its_rack_drops_duplicates():
    rig, request, first = write_without_answer()
    rig.run(10_000 * MS)
    assert request.outcome is None and rig.core.waiting_parts == 0
    again = [one for one in rig.port.sent if one.part is first.part and one is not first]
    assert all(one.sent_at < first.sent_at + 2_500 * MS and one.member is first.member for one in again)
    for one in again:
        rig.core.attempt_ended(rig.now, one, api.Result.RESET)
    rig.core.attempt_ended(rig.now, first, api.Result.RESET)
    rig.flush()
    assert request.outcome is Outcome.FAILED and not rig.core._state.parts  # no more outcome is expected


def test_a_first_write_that_may_have_run_is_repeated_at_that_node_and_its_extent_placed_there():
    rig = Rig()
    request = rig.submit_refused(Kind.WRITE, data=b"y" * 512)
    rig.refuse.clear()
    rig.run(30 * MS)
    unreached = rig.port.sent[-1]
    rig.end(unreached, api.Result.CONNECT_FAILED, sent=False)
    first = rig.port.sent[-1]
    assert first is not unreached
    rig.core.attempt_sent(first)
    rig.core.attempt_ended(rig.now + MS, first, api.Result.RESET)
    rig.now += 2 * MS
    rig.flush()
    rig.run(700 * MS)  # queued at that node until its aim, given up, held back, offered again
    again = rig.port.sent[-1]
    assert again is not first and again.member is first.member
    rig.end(again)
    assert request.outcome is Outcome.SERVED and rig.extents.shard_of("v", 0) == first.member.entry.shard
    assert not rig.core._placement.queues


def test_a_late_answer_to_a_cancelled_write_serves_the_waiting_client():
    rig, request, first = write_without_answer()
    rig.run(10_000 * MS)
    rig.core.attempt_ended(rig.now, first, api.Result.OK)
    rig.flush()
    assert request.outcome is Outcome.SERVED and rig.port.answers.count(request) == 1
    for one in rig.port.sent[2:]:
        rig.core.attempt_ended(rig.now, one, api.Result.RESET)
    rig.flush()
    assert not rig.core._state.parts and rig.port.answers.count(request) == 1


def test_later_requests_queue_behind_waiting_ones_and_are_dropped_with_their_client():
    rig = Rig()
    rig.write()
    first = rig.submit_refused(Kind.READ)
    later = rig.submit_refused(Kind.READ, offset=512)
    assert len([one for one in rig.arrived if one.request == later.parts[0].number]) == 0  # not even offered
    rig.core.client_left(first)
    rig.flush()
    rig.refuse.clear()
    rig.run(30 * MS)
    assert [attempt.part.request for attempt in rig.port.sent[1:]] == [later]
    rig.core.client_left(later)
    rig.end(rig.port.sent[-1])
    assert not rig.core._state.parts and rig.core.waiting_parts == 0


def test_a_waiting_request_follows_its_extent_to_another_shard():
    rig = Rig()
    rig.write()
    request = rig.submit_refused(Kind.READ)
    was = request.parts[0].shard
    rig.extents.place([("v", 0, (was + 1) % 3)])
    rig.refuse.clear()
    rig.run(30 * MS)
    assert rig.port.sent[-1].member.entry.shard == (was + 1) % 3


def test_an_extent_held_for_a_move_does_not_wait_for_waiting_requests():
    rig, notified = Rig(), []
    rig.write()
    rig.submit_refused(Kind.READ)
    rig.core.hold_extent("v", 0, type("Holder", (), {"held": lambda self: notified.append(1)})())
    rig.flush()
    assert notified == [1]
    rig.refuse.clear()
    rig.run(100 * MS)
    assert len(rig.port.sent) == 1  # it waits for the move now
    rig.core.release_extent("v", 0)
    rig.flush()
    assert len(rig.port.sent) == 2


IN_ORDER = (
    ClassSettings(name="read", kinds=(Kind.READ, Kind.FLUSH), aim_us=300 * MS, deadline_us=1500 * MS, effect=api.Effect.SAFE),
    ClassSettings(name="write", kinds=(Kind.WRITE, Kind.TRIM, Kind.ZERO), aim_us=500 * MS, deadline_us=2500 * MS,
                  effect=api.Effect.KEYED, window_us=2500 * MS, in_order=True),
)  # fmt: skip


def test_a_class_in_order_keeps_its_order_while_its_oldest_waits():
    rig = Rig(classes=IN_ORDER)
    rig.write()
    first = rig.submit_refused(Kind.WRITE, data=b"a" * 512)
    rig.refuse = {first.parts[0].number}
    second = ClientRequest(
        rig.core.volumes["v"], Kind.WRITE, 512, 512, b"b" * 512, 0, None, patience_us=PATIENCE
    )
    rig.core.accept(rig.now, second)
    impatient = rig.ask(Kind.WRITE, 1024, data=b"c" * 512)
    assert impatient.outcome is Outcome.REFUSED  # it may not overtake, and its client doesn't wait
    rig.run(200 * MS)
    assert len(rig.port.sent) == 1
    rig.refuse.clear()
    rig.run(1_000 * MS)
    assert [one.part.request for one in rig.port.sent[1:]] == [first]
    rig.end(rig.port.sent[-1])
    rig.run(10 * MS)
    assert [one.part.request for one in rig.port.sent[1:]] == [first, second]


def test_requests_in_order_queued_behind_a_refused_one_are_withdrawn_from_the_module():
    rig = Rig(classes=IN_ORDER)
    rig.write()
    blocker = rig.ask(Kind.WRITE, 4096, data=b"o" * 512)  # in flight: later requests in order are queued
    requests = []
    for at in range(2):
        request = ClientRequest(
            rig.core.volumes["v"], Kind.WRITE, at * 512, 512, b"b" * 512, 0, None, patience_us=PATIENCE
        )
        rig.core.accept(rig.now, request)
        requests.append(request)
    rig.flush()
    assert [one.parts[0].state for one in requests] == [PartState.SUBMITTED] * 2
    rig.core._admission.handle_refusal(rig.now, requests[0].parts[0], 20 * MS)
    # As if the module had given it up.
    rig.core._state.queue_event(api.ClientLeft(requests[0].parts[0].number))
    rig.flush()
    assert [one.parts[0].state for one in requests] == [PartState.QUEUED] * 2
    rig.end(rig.port.sent[-1])
    assert blocker.outcome is Outcome.SERVED
    for _ in range(2):
        rig.run(1_000 * MS)
        rig.end(rig.port.sent[-1])
    assert [one.part.request for one in rig.port.sent[2:]] == requests
    assert not rig.core._retry_queue.in_order and not rig.core._submission.in_order


def test_a_closing_core_refuses_all_waiting_requests():
    rig = Rig()
    rig.write()
    requests = [rig.submit_refused(Kind.READ, offset=at * 512) for at in range(3)]
    rig.core.stop_waiting("shutting down")
    rig.flush()
    assert [one.outcome for one in requests] == [Outcome.REFUSED] * 3 and not rig.core._state.parts
    assert requests[0].reason == "shutting down"


# -- a whole head and a client that tolerates no error


def exercise(site, load, us, export="disk", seed=1):
    one = Exercise(site.hub, site.net, site.head.address, export, load, seed)
    found = one.run(site.scope, us)
    assert found.errors == [] and found.done > 50
    return found


PATIENT = (
    ClassSettings(name="read", kinds=(Kind.READ, Kind.FLUSH), aim_us=300 * MS, deadline_us=1500 * MS, effect=api.Effect.SAFE),
    ClassSettings(name="write", kinds=(Kind.WRITE, Kind.TRIM, Kind.ZERO), aim_us=500 * MS, deadline_us=30_000 * MS,
                  effect=api.Effect.KEYED, window_us=2500 * MS),
)  # fmt: skip
LOADS = [Load(8, 16, 512, EXTENT), Load(1, 128, 512, EXTENT)]


@pytest.mark.parametrize("load", LOADS, ids=["8x16", "1x128"])
@pytest.mark.parametrize("seed", [1, 2])
def test_a_strict_client_at_full_depth_meets_no_error(load, seed):
    def test(site):
        for shelf in site.shelves:
            shelf.faults.slow = 20
        exercise(site, load, 6_000 * MS, seed=seed)
        assert site.head.core.counts.refused == 0 and site.head.core.resubmissions > 0

    play(test, classes=PATIENT)


@pytest.mark.real_time
def test_a_strict_client_meets_no_error_over_sockets():
    def test(site):
        exercise(site, Load(4, 16, 512, EXTENT), 1_500 * MS)

    play(test, real=True, classes=PATIENT)


@pytest.mark.parametrize("fault", ["slow", "down", "hang"])
def test_a_strict_client_meets_no_error_while_a_node_is_faulty(fault):
    def test(site):
        def inject_fault():
            site.hub.sleep(2_500 * MS)
            shelf = site.shelves[0]
            if fault == "slow":
                shelf.faults.slow = 20
                site.hub.sleep(4_000 * MS)
                shelf.faults.slow = 1
            elif fault == "hang":  # longer than every class's aim and a read's deadline
                shelf.faults.hang = True
                site.hub.sleep(5_000 * MS)
                shelf.faults.hang = False
                shelf.resume()
            else:
                shelf.stop()
                site.hub.sleep(2_000 * MS)
                shelf.start(site.scope)

        site.scope.spawn("inject_fault", inject_fault)
        exercise(site, Load(4, 8, 512, EXTENT), 9_000 * MS)
        assert site.head.core.counts.refused == 0 and site.head.core.counts.waited > 0

    # Requests in flight may be repeated while the rack drops duplicates, so its window must outlast the fault.
    play(
        test,
        classes=(PATIENT[0], msgspec.structs.replace(PATIENT[1], window_us=20_000 * MS)),
        window_us=20_000 * MS,
    )


def test_a_volume_with_a_limit_is_slowed_to_it_without_errors():
    limit = 100.0  # units of 4 KiB a second: a tenth of this client's unlimited rate

    def test(site):
        began = site.hub.now()
        found = exercise(site, Load(2, 16, 4096, 8192, 4096, span=16 * EXTENT), 10_000 * MS)
        elapsed = (site.hub.now() - began) / 1e6
        units = sum(
            max(1, -(-got.length // 4096))
            for got in site.recorder.records
            if type(got).__name__ == "AttemptReceived"
        )
        assert 0.6 * limit * elapsed < units < limit * elapsed + 64 and site.head.core.counts.refused == 0
        assert found.done > 300

    plan = PlanSettings(name="p", rate=100, reserve=50, limit=limit, limit_burst=16, limit_slack=1)
    play(test, classes=PATIENT, plans=(plan,))


def test_one_request_a_second_and_128_in_flight():
    def test(site):
        client = NbdClient(site.hub, site.net)
        client.open(site.head.address)
        client.go(site.scope, "disk")
        replies, began = [], site.hub.now()
        for number in range(128):
            client.start(
                Command.WRITE,
                number * 4096,
                0,
                b"a" * 4096,
                lambda reply: replies.append((site.hub.now(), reply)),
            )
        site.hub.sleep(60_000 * MS)
        assert 40 <= len(replies) <= 80 and site.head.core.resubmissions < 60 * 20  # offers stay few
        site.hub.sleep(90_000 * MS)
        assert len(replies) == 128 and not any(reply.error for _, reply in replies)
        assert replies[-1][0] - began > 120_000 * MS

    plan = PlanSettings(name="p", rate=1, reserve=1, limit=1, limit_burst=16, limit_slack=1)
    play(test, classes=PATIENT, plans=(plan,))


def test_waiting_requests_are_dropped_when_their_client_leaves():
    def test(site):
        for shelf in site.shelves:
            shelf.faults.hang = True
        client = NbdClient(site.hub, site.net)
        client.open(site.head.address)
        client.go(site.scope, "disk")
        for number in range(300):  # above the bound in flight: the rest waits for admission and in the socket
            client.start(Command.WRITE, number * 4096, 0, b"a" * 4096, lambda reply: None)
        site.hub.sleep(3_000 * MS)
        reception = site.head.reception
        assert site.head.core.open_requests == 128 and len(reception.admission) == 1
        client.abort()
        site.hub.sleep(5 * MS)
        assert site.head.core.open_requests == 0 and len(reception.admission) == 0 and reception.sessions == 0
        assert not reception._counted and not site.head.core.waiting_parts
        got = sum(type(one).__name__ == "AttemptReceived" for one in site.recorder.records)
        for shelf in site.shelves:
            shelf.faults.hang = False
            shelf.resume()
        site.hub.sleep(5_000 * MS)
        assert sum(type(one).__name__ == "AttemptReceived" for one in site.recorder.records) == got

    play(test, classes=PATIENT)


def test_nodes_hung_for_longer_than_every_deadline_while_thousands_wait():
    def test(site):
        writer = site.client("shared")
        for extent in range(60):
            assert writer.call(Command.WRITE, extent * EXTENT, data=b"a" * 512).error == 0
        for shelf in site.shelves:
            shelf.faults.hang = True
        replies, clients = [], []
        for _ in range(16):
            client = NbdClient(site.hub, site.net)
            client.open(site.head.address)
            client.go(site.scope, "shared")
            clients.append(client)
            for at in range(128):
                kind = Command.READ if at % 2 else Command.WRITE
                data = b"" if at % 2 else b"b" * 512
                client.start(kind, at % 60 * EXTENT + 4096, 512 * (at % 2), data, replies.append)
        site.hub.sleep(35_000 * MS)
        assert site.head.core.waiting_parts > 1900 and site.head.core.resubmissions < 35 * 100
        assert all(reply.error == Errno.EIO for reply in replies) and len(replies) < 20  # sent into it
        for shelf in site.shelves:
            shelf.faults.hang = False
            shelf.resume()
        site.hub.sleep(60_000 * MS)
        assert len(replies) > 16 * 128 - 20  # lost answers are awaited while their clients wait
        site.hub.sleep(220_000 * MS)
        assert len(replies) == 16 * 128 and sum(reply.error != 0 for reply in replies) < 20
        assert not site.head.core.waiting_parts and not site.head.core.open_requests

    play(test, classes=PATIENT)


def test_a_waiting_flood_delays_no_neighbour_and_stays_bounded():
    def median(site, flooded):
        client = NbdClient(site.hub, site.net)
        client.open(site.head.address)
        client.go(site.scope, "shared")
        elapsed = []
        for at in range(200):
            began = site.hub.now()
            assert client.call(Command.READ, (at % 60) * EXTENT, 4096).error == 0
            elapsed.append(site.hub.now() - began)
            site.hub.sleep(20 * MS)
        client.close()
        return sorted(elapsed)[100]

    def test(site):
        calm = median(site, False)
        flood = [NbdClient(site.hub, site.net) for _ in range(4)]
        for client in flood:
            client.open(site.head.address)
            client.go(site.scope, "disk")

            def again(reply, client=client):
                if reply is not None:
                    client.start(
                        Command.WRITE, random.Random(1).randrange(60) * EXTENT, 0, b"f" * 4096, again
                    )

            for _ in range(1000):
                again(0)
        site.hub.sleep(1_000 * MS)
        assert median(site, True) < 8 * calm
        assert site.head.core.open_parts <= 200
        for client in flood:
            client.abort()

    plans = (PlanSettings(name="p", rate=100, reserve=50),)
    play(test, classes=PATIENT, plans=plans, limits=LimitSettings(held=200, in_flight=128))


def test_a_flush_behind_waiting_writes_is_answered_and_a_stopped_head_refuses_what_waits():
    def test(site):
        client = NbdClient(site.hub, site.net)
        client.open(site.head.address)
        client.go(site.scope, "disk")
        assert client.call(Command.WRITE, 0, data=b"a" * 4096).error == 0
        site.shelves[0].faults.hang = site.shelves[1].faults.hang = True
        replies = []
        for number in range(60):
            client.start(Command.WRITE, (number % 60) * EXTENT, 0, b"a" * 4096, replies.append)
        client.start(Command.FLUSH, 0, 0, b"", replies.append)
        site.hub.sleep(4_000 * MS)
        assert not replies and site.head.core.waiting_parts > 20
        site.head.stop()
        site.hub.sleep(5 * MS)
        # A request that was sent and may run can't be reported as not done.
        assert len(replies) > 20 and {reply.error for reply in replies} == {Errno.ESHUTDOWN, Errno.EIO}
        site.shelves[0].faults.hang = site.shelves[1].faults.hang = False
        for shelf in site.shelves:
            shelf.resume()
        site.hub.sleep(10_500 * MS)
        assert site.task.done

    play(test, classes=PATIENT)


def test_a_volume_set_to_refuse_also_refuses_clients_without_hints():
    def test(site):
        client = NbdClient(site.hub, site.net)
        client.open(site.head.address)
        client.go(site.scope, "disk")
        for shelf in site.shelves:
            shelf.faults.hang = True
        replies = []
        for number in range(200):
            client.start(Command.WRITE, number * 4096, 0, b"a" * 4096, replies.append)
        site.hub.sleep(1_000 * MS)
        assert {reply.error for reply in replies} == {Errno.ENOMEM} and len(replies) >= 72

    volume = VolumeSettings(name="disk", size_bytes=64 * EXTENT, plan="p", waiting=WaitMode.REFUSE)
    play(test, classes=PATIENT, volumes=(volume,))


def test_after_a_stall_the_age_of_requests_counts_from_when_their_bytes_may_have_arrived():
    def test(site):
        client = NbdClient(site.hub, site.net)
        client.open(site.head.address)
        client.go(site.scope, "disk")
        assert client.call(Command.WRITE, 0, data=b"a" * 4096).error == 0
        replies, requested_at = [], site.hub.now()
        site.hub.freeze(site.head, 5_000 * MS)
        for number in range(100):
            client.start(Command.READ, number % 8 * 512, 512, b"", replies.append)
        site.hub.sleep(6_000 * MS)
        assert len(replies) == 100 and not any(reply.error for reply in replies)
        hinted = site.client()
        site.hub.freeze(site.head, 1_400 * MS)
        hinted.start(Command.READ, 0, 512, b"", replies.append)
        requested_at = site.hub.now()
        for shelf in site.shelves:
            shelf.faults.hang = True
        while len(replies) < 101:
            site.hub.sleep(MS)
        assert replies[-1].error == Errno.ENOMEM and site.hub.now() - requested_at <= 1_501 * MS

    play(test, classes=PATIENT)


# -- the rule checker on faulty heads


class AnswersTwice(Completion):
    """A faulty head that answers again when a re-offered request is served."""

    def part_served(self, part, attempt, data):
        super().part_served(part, attempt, data)
        if part.has_waited and part.request.outcome is Outcome.SERVED and len(part.request.parts) == 1:
            session, cookie = part.request.requester, part.request.requester._open[part.request]
            hub = self._state.port.hub
            hub.at(hub.now() + MS, lambda: (session._nbd.reply_done(cookie), session._push()))


class SendsAfter(Completion):
    """A faulty head that sends a request again although its client has its answer."""

    def give_up(self, part, step, hint=0):
        super().give_up(part, step, hint)
        if part.has_waited and part.shard >= 0 and not part.open_attempts:
            port = self._state.port
            late = Attempt(part, len(part.attempts), port.core.nodes.find("node0"), 0)
            part.attempts.append(late)
            part.open_attempts += 1
            port.hub.at(port.hub.now() + 10 * MS, lambda: port.send(late))


class GivesUpEarly(Admission):
    """A faulty head that refuses requests that waited for half a second."""

    def resubmit(self, now, part):
        if now > part.request.deadline - part.request.patience_us + 500 * MS:
            self._completion.give_up(part, PartStep.REFUSE)
        else:
            super().resubmit(now, part)


@pytest.mark.parametrize("fault, rule, patience", [
    (AnswersTwice, 1, 20_000), (SendsAfter, 2, 1_600), (GivesUpEarly, 9, 20_000),
])  # fmt: skip
def test_the_checker_detects_faults_of_second_offers(monkeypatch, fault, rule, patience):
    monkeypatch.setattr(core, fault.__base__.__name__, fault)
    day = msgspec.structs.replace(days.load("plain-clients"), patience_us=patience * MS, plain=1.0)
    assert rule in {one.rule for one in checker.check(rig.play(day, 1, virtual=True).records)}
