"""The heads' view of their fleet: single SWIM members, and many of them on a simulated network."""

import random

import msgspec
import pytest

from harriertrack.lab.fleet.swarm import Swarm
from harriertrack.membership.fleet import messages
from harriertrack.membership.fleet.messages import (
    Draft,
    Kind,
    ProcessInstance,
    MalformedDatagram,
    Note,
    Record,
    State,
    decode,
    encode_item,
)
from harriertrack.membership.fleet.dissemination import DisseminationQueue, transmit_limit
from harriertrack.membership.fleet.suspicion import Suspicion, min_timeout_us, expected_confirmations
from harriertrack.membership.fleet.swim import Rules, LogEvent, Send, MembershipState, Swim
from harriertrack.membership.fleet.swim.prober import Prober
from harriertrack.membership.fleet.swim.updates import Updates
from harriertrack.membership.fleet.view import View

S = 1_000_000


def record(name="m1", started=1, instance=1, incarnation=0, state=State.ALIVE, port=2, by=""):
    return Record(name, started, instance, incarnation, state, "10.0.0.1", port, "a", "z", "", by)


def swarm(count, seed=1, loss=0.0, **rules):
    one = Swarm(Rules(**rules), seed)
    for number in range(count):
        one.start(f"m{number}")
    assert one.run_until_agreed(60 * S) >= 0
    one.loss = loss
    one.seen.clear()
    return one


def changes_to(one, state, since=0):
    return [seen for seen in one.seen if seen.change.after.state is state and seen.t >= since]


# -- records and views


def test_records_in_any_order_make_the_same_view():
    rng = random.Random(3)
    records = [
        record(
            f"m{rng.randrange(6)}",
            rng.randrange(1, 3),
            rng.randrange(1, 3),
            rng.randrange(3),
            State(rng.randrange(4)),
        )
        for _ in range(200)
    ]
    first = None
    for _ in range(5):
        rng.shuffle(records)
        view = View()
        for one in records:
            view.apply(0, one)
        state = (
            sorted(row.record.precedence for row in view),
            view.digest,
            view.summary,
            sorted(view.present),
        )
        assert first is None or state == first
        first = state
    assert len(view) == 6


def test_a_record_that_is_not_newer_changes_nothing():
    view = View()
    assert view.apply(5, record(incarnation=2)).before is None
    for old in (
        record(incarnation=2),
        record(incarnation=1, state=State.DEAD),
        record(started=0, incarnation=9),
    ):
        assert view.apply(6, old) is None
    change = view.apply(7, record(started=2, state=State.ALIVE))
    assert change.process_changed and view.find("m1").since == 7


def test_digests_show_presence_and_summaries_show_differences():
    here, there = View(), View()
    for one in ("a", "b", "c"):
        here.apply(0, record(one))
        there.apply(0, record(one))
    assert here.digest == there.digest and not here.differing(there.summary)
    there.apply(1, record("b", state=State.SUSPECT))
    assert here.digest == there.digest, "a suspect is present until it is declared dead"
    (bucket,) = here.differing(there.summary)
    assert [row.record.name for row in here.rows_in(frozenset((bucket,))) if row.record.name == "b"] == ["b"]
    there.apply(2, record("b", state=State.DEAD))
    assert here.digest != there.digest and "b" not in there.present
    here.apply(3, record("b", state=State.LEFT))
    assert here.digest == there.digest and not here.differing(there.summary)


def test_a_note_belongs_to_a_process_and_the_newest_is_valid():
    view = View()
    assert not view.apply_note(Note("m1", 1, 1, 1, b"x")), "of an unknown member"
    view.apply(0, record())
    assert view.apply_note(Note("m1", 1, 1, 2, b"x")) and not view.apply_note(Note("m1", 1, 1, 1, b"old"))
    assert not view.apply_note(Note("m1", 2, 1, 9, b"of an unknown process"))
    view.apply(0, record(started=2))
    assert view.find("m1").note is None


# -- datagrams


def draft(**more):
    return Draft("fleet", Kind.PING, "m1", ProcessInstance(1, 2), 7, 9, **more)


def test_a_datagram_never_exceeds_its_size_limit():
    full = draft(summary=tuple((1 << 32) - 1 for _ in range(messages.BUCKETS)))
    count = 0
    while full.add(encode_item(record("n" * 64, 1 << 40, 1 << 62, by="b" * 64))):
        count += 1
    notes = 0
    while full.add_note(encode_item(Note("n", 1, 1, 1, b"z" * 60))):
        notes += 1
    data = full.pack()
    datagram = decode(data)
    assert (
        len(data) <= messages.MAX_DATAGRAM_BYTES
        and count == len(datagram.records) > 2
        and notes == len(datagram.notes)
    )


def test_garbage_is_counted_and_changes_nothing():
    rng = random.Random(1)
    one = Swim(Rules(), record("m0"), seed=1)
    one.start(0)
    good = draft(target="m0")
    good.add(encode_item(record("m1")))
    data = good.pack()
    for at in range(400):
        bad = bytearray(data)
        for _ in range(rng.randrange(1, 4)):
            bad[rng.randrange(len(bad))] = rng.randrange(256)
        one.receive(1000 + at, bytes(bad[: rng.randrange(len(bad) + 1)]), ("10.9.9.9", 9))
    for bad in (b"", b"\x00", b"[" * 500, b"\x9f" * 1300, msgspec.msgpack.encode([1] * 20)):
        one.receive(2000, bad, ("10.9.9.9", 9))
    assert one.counts.garbage > 300 and one.counts.came == 405
    assert one.view.find("m0").record.state is State.ALIVE


def test_another_fleet_and_an_unsupported_version_are_ignored():
    one = Swim(Rules(), record("m0"), seed=1)
    one.start(0)
    other = Draft("other", Kind.PING, "m1", ProcessInstance(1, 2), 7, 9, "m0")
    one.receive(1, other.pack(), ("10.0.0.1", 2))
    newer = msgspec.msgpack.decode(draft(target="m0").pack())
    newer[0], newer[1] = 2, 2
    one.receive(2, msgspec.msgpack.encode(newer), ("10.0.0.1", 2))
    assert not [action for action in one.take_actions() if isinstance(action, Send)]
    assert (one.counts.strangers, one.counts.too_new) == (1, 1)


def test_a_later_version_with_more_fields_is_read_and_an_earlier_one_with_fewer():
    datagram = msgspec.msgpack.decode(draft(target="m0").pack())
    datagram[1] = 7
    datagram += [[], "a field of a later version"]
    one = Swim(Rules(), record("m0"), seed=1)
    one.start(0)
    one.receive(1, msgspec.msgpack.encode(datagram), ("10.0.0.1", 2))
    one.receive(2, msgspec.msgpack.encode(datagram[:10]), ("10.0.0.1", 2))
    sent = [decode(action.data) for action in one.take_actions() if isinstance(action, Send)]
    assert [answer.kind for answer in sent] == [Kind.ACK, Kind.ACK]
    with pytest.raises(MalformedDatagram):
        decode(msgspec.msgpack.encode(datagram[:8]))


def test_view_comparisons_are_answered_at_a_limited_rate():
    one = Swim(Rules(pages=5), record("m0"), seed=1)
    one.start(0)
    request = Draft("fleet", Kind.SYNC, "", ProcessInstance(1, 2), 0, 0, summary=(1,) * 32).pack()
    for at in range(50):
        one.receive(1 + at, request, ("10.9.9.9", 9))
    assert one.counts.sent == 5 and one.counts.turned_down == 45


def test_members_beyond_the_limit_are_rejected():
    one = Swim(Rules(members=10), record("m0"), seed=1)
    one.start(0)
    for number in range(1, 30):
        datagram = draft()
        datagram.add(encode_item(record(f"m{number}")))
        one.receive(number, datagram.pack(), ("10.0.0.1", 2))
    assert len(one.view) == 10 and one.counts.turned_down == 20


# -- dissemination and suspicion


def test_updates_are_sent_least_sent_first_and_a_limited_number_of_times():
    queue = DisseminationQueue()
    for name in ("a", "b"):
        queue.add(name, name.encode())
    sent = []
    accepted = [0]

    def add(update):
        accepted[0] += 1
        if accepted[0] > 1:
            return False
        sent.append(update)
        return True

    for _ in range(4):
        accepted[0] = 0
        queue.fill(add, 2)
    assert sent == [b"a", b"b", b"a", b"b"] and not len(queue)
    queue.add("a", b"1")
    queue.add("a", b"2")
    out = []
    queue.fill(lambda update: out.append(update) is None, 1)
    assert out == [b"2"] and "a" not in queue
    assert [transmit_limit(4, n) for n in (1, 9, 99, 200)] == [4, 4, 8, 12]


def test_a_suspicion_timeout_shrinks_with_confirmations():
    assert min_timeout_us(S, 4, 8) == 4 * S and min_timeout_us(S, 4, 100) == 8 * S
    assert [expected_confirmations(3, n) for n in (2, 4, 5, 9)] == [0, 0, 3, 3]
    one = Suspicion(0, 4 * S, 24 * S, 3, ["a"])
    ends = [one.expires_at]
    assert not one.confirm("a")
    for name in ("b", "c", "d"):
        assert one.confirm(name)
        ends.append(one.expires_at)
    assert not one.confirm("e")
    assert ends[0] == 24 * S and ends[-1] == 4 * S and ends == sorted(ends, reverse=True)
    assert Suspicion(0, 4 * S, 24 * S, 0, ["a"]).expires_at == 4 * S


# -- many members


@pytest.mark.parametrize("count", [2, 5, 40])
def test_members_that_start_at_once_agree_and_none_is_suspected_at_rest(count):
    one = swarm(count)
    one.run(120 * S)
    assert one.is_agreed() and not one.seen
    assert all(member.state is MembershipState.JOINED for member in one.members.values())


def test_seeds_that_start_later():
    one = Swarm(Rules(), 2)
    for number in (2, 3, 4):
        one.start(f"m{number}")
    one.run(30 * S)
    assert {member.state for member in one.members.values()} == {MembershipState.ALONE}
    for number in (0, 1):
        one.start(f"m{number}")
    assert one.run_until_agreed(15 * S) >= 0


def test_a_killed_member_alone_is_declared_dead_within_the_bound():
    one = swarm(8)
    one.kill("m5")
    settled_after = one.run_until_agreed(40 * S)
    assert 5 * S < settled_after < 30 * S
    assert {seen.change.after.name for seen in changes_to(one, State.DEAD)} == {"m5"}
    row = one.members["m1"].view.find("m5")
    assert [entry.record.state for entry in row.history] == [State.ALIVE, State.SUSPECT, State.DEAD]
    assert row.history[1].record.by in one.members


def test_leaving_is_known_at_once_and_not_a_death():
    one = swarm(8)
    one.leave("m5")
    assert one.run_until_agreed(3 * S, [name for name in one.members if name != "m5"]) >= 0
    one.run(3 * S, lambda: one.members["m5"].leave_complete)
    assert one.members["m5"].leave_complete
    one.kill("m5")
    one.run(60 * S)
    assert one.is_agreed() and not changes_to(one, State.DEAD) and not changes_to(one, State.SUSPECT)


def test_all_but_one_are_killed_and_restart():
    one = swarm(8)
    for number in range(8):
        if number != 6:
            one.kill(f"m{number}")
    # It can not exclude that it is cut off itself: its health score slows down its probes.
    assert one.run(150 * S, lambda: one.members["m6"].state is MembershipState.ALONE)
    for number in range(2, 8):  # without the seeds
        if number != 6:
            one.start(f"m{number}")
    assert one.run_until_agreed(90 * S) >= 0


def test_a_restart_before_the_death_is_detected_is_a_new_process_at_once():
    one = swarm(8)
    one.kill("m5")
    one.run(100_000)
    one.start("m5")
    assert one.run_until_agreed(5 * S) >= 0
    one.run(60 * S)
    assert not changes_to(one, State.DEAD) and one.is_agreed()


def test_a_restart_with_a_clock_set_back_still_joins():
    one = swarm(8)
    one.kill("m5")
    one.run(100_000)
    one.start("m5", started=5)
    assert one.run_until_agreed(10 * S) >= 0
    assert one.members["m5"].me.started > 1_700_000_000_000


def test_of_two_processes_with_one_name_the_later_has_it_until_it_dies():
    one = swarm(8)
    one.run(5 * S)
    one.start("m5", address=("10.0.0.1", 77), process="later")
    others = [name for name in one.members if name != "m5"]
    assert one.run_until_agreed(30 * S, others) >= 0
    one.run(20 * S)
    displaced = one.members["m5"]
    assert displaced.state is MembershipState.DISPLACED and any(
        "displaced" in event.event for _, _, event in one.said
    )
    sent = displaced.counts.sent
    one.run(60 * S)
    assert displaced.counts.sent - sent < 10, "a displaced process only observes"
    one.kill("later")
    assert (
        one.run(120 * S, lambda: displaced.state is MembershipState.JOINED)
        and one.run_until_agreed(20 * S) >= 0
    )


def test_a_member_paused_for_a_minute_declares_none_dead_and_rejoins():
    one = swarm(8)
    one.stop("m5")
    one.run(60 * S)
    assert one.is_agreed([name for name in one.members if name != "m5"])
    resumed_at = one.now
    one.resume("m5")
    assert one.run_until_agreed(5 * S) >= 0
    one.run(60 * S)
    assert {seen.change.after.name for seen in changes_to(one, State.DEAD, resumed_at)} <= {"m5"}
    assert one.members["m5"].counts.stood == 1 and one.members["m5"].counts.refuted == 1


def test_without_recovery_from_the_pause_it_would_declare_others_dead(monkeypatch):
    monkeypatch.setattr(Swim, "_recover_from_pause", lambda self, now: None)
    declared = 0
    for seed in range(6):
        one = swarm(8, seed)
        # It suspects a member just before its pause.
        one.members["m5"]._updates.suspect(one.now, one.members["m5"].view.find("m3"), "m5")
        one.stop("m5")
        one.run(60 * S)
        resumed_at = one.now
        one.resume("m5")
        one.run(5 * S)
        declared += any(
            seen.member == "m5" and seen.change.after.name != "m5"
            for seen in changes_to(one, State.DEAD, resumed_at)
        )
    assert declared, "the test would not detect the fault"


def test_partitioned_halves_with_changes_on_both_sides_rejoin():
    one = swarm(10)
    left = {f"m{number}" for number in range(5)} | {"m20"}
    one.cut = lambda a, b: (a in left) != (b in left)
    one.run(60 * S)
    one.kill("m2")
    one.start("m20")  # its seeds are on its side of the partition
    one.kill("m7")
    one.run(120 * S)
    one.start("m7")
    one.run(400 * S)
    assert one.is_agreed([name for name in one.members if name in left])
    healed_at = one.now
    one.cut = lambda a, b: False
    assert one.run_until_agreed(40 * S) >= 0
    one.run(60 * S)
    assert one.is_agreed() and not changes_to(one, State.DEAD, healed_at + 5 * S)


def test_three_partitions_healed_in_two_steps():
    one = swarm(9)
    part = {name: int(name[1:]) // 3 for name in one.members}
    one.cut = lambda a, b: part[a] != part[b]
    one.run(120 * S)
    one.cut = lambda a, b: (part[a] == 2) != (part[b] == 2)
    assert one.run_until_agreed(60 * S, [name for name in one.members if part[name] != 2]) >= 0
    one.cut = lambda a, b: False
    assert one.run_until_agreed(60 * S) >= 0


def test_two_members_cut_off_from_each_other_but_not_from_others_stay_alive():
    one = swarm(8)
    one.cut = lambda a, b: {a, b} == {"m1", "m2"}
    one.run(300 * S)
    assert one.is_agreed() and not changes_to(one, State.DEAD) and not changes_to(one, State.SUSPECT)


def test_without_indirect_pings_they_would_be_suspected(monkeypatch):
    monkeypatch.setattr(Prober, "_request_indirect_pings", lambda self, probe: setattr(probe, "helpers", 0))
    one = swarm(8)
    one.cut = lambda a, b: {a, b} == {"m1", "m2"}
    one.run(60 * S)
    assert changes_to(one, State.SUSPECT), "the test would not detect the fault"


def test_a_member_that_receives_but_can_not_send_is_declared_dead_alone():
    one = swarm(8)
    one.cut = lambda a, b: a == "m5"
    one.run(60 * S)
    others = [name for name in one.members if name != "m5"]
    assert one.is_agreed(others) and "m5" not in one.members["m1"].view.present
    assert {seen.change.after.name for seen in changes_to(one, State.DEAD) if seen.member != "m5"} == {"m5"}
    one.cut = lambda a, b: False
    assert one.run_until_agreed(40 * S) >= 0


def test_loss_of_a_third_of_datagrams_declares_none_dead():
    one = swarm(12, loss=1 / 3)
    one.run(120 * S)
    dead = changes_to(one, State.DEAD)
    one.loss = 0.0
    assert one.run_until_agreed(30 * S) >= 0
    assert len({(seen.t, seen.change.after.name) for seen in dead}) == 0


def lossy(seed):
    one = Swarm(Rules(), seed)
    for number in range(8):
        one.start(f"m{number}")
    assert one.run_until_agreed(120 * S) >= 0
    one.loss = 0.3
    one.run(300 * S)
    return changes_to(one, State.DEAD)


def test_a_refutation_that_was_lost_is_sent_again(monkeypatch):
    assert not lossy(7)
    handle = Updates._handle_own_record

    def without_resending(self, now, record):
        me = self._member.me
        if record.process != me.process or record.incarnation >= me.incarnation:
            handle(self, now, record)

    monkeypatch.setattr(Updates, "_handle_own_record", without_resending)
    assert lossy(7), "the test would not detect the fault"


def test_a_slow_member_lowers_its_health_before_it_declares_others_dead():
    one = swarm(12)
    one.late_us = lambda a, b: 700_000 if "m5" in (a, b) else 0
    one.run(120 * S)
    slow = one.members["m5"]
    assert slow.health_score > 0 and not [
        seen for seen in changes_to(one, State.DEAD) if seen.change.after.name != "m5"
    ]
    one.late_us = lambda a, b: 0
    assert one.run_until_agreed(30 * S) >= 0


def test_an_address_reused_by_another_member():
    one = swarm(8)
    one.kill("m5")
    one.run(100_000)
    one.start("m9", address=one.address("m5"))
    assert one.run_until_agreed(40 * S) >= 0
    assert "m9" in one.members["m1"].view.present and "m5" not in one.members["m1"].view.present
    assert one.members["m9"].counts.misdirected > 0


def test_records_of_an_earlier_process_are_ignored():
    one = swarm(8)
    old = one.members["m5"].me
    one.kill("m5")
    one.run(100_000)
    fresh = one.start("m5").me
    assert one.run_until_agreed(5 * S) >= 0
    for state in State:
        datagram = Draft("fleet", Kind.GOSSIP, "m6", ProcessInstance(1, 2), 0, 0)
        datagram.add(encode_item(msgspec.structs.replace(old, state=state, incarnation=99)))
        one.members["m1"].receive(one.now, datagram.pack(), ("10.0.0.1", 7))
    assert one.members["m1"].view.find("m5").record.process == fresh.process and one.is_agreed()


def test_notes_reach_all_and_the_newest_is_valid():
    one = swarm(20)
    for version in range(3):
        one.members["m5"].set_note(one.now, b"load %d" % version)
        one.run(3 * S)
    one.run(20 * S)
    assert {member.view.find("m5").note.payload for member in one.members.values()} == {b"load 2"}
    with pytest.raises(ValueError):
        one.members["m5"].set_note(one.now, bytes(257))


def test_dead_members_are_forgotten_and_do_not_return():
    one = swarm(6, forget_us=60 * S)
    one.kill("m5")
    one.run(200 * S)
    assert all(member.view.find("m5") is None for member in one.members.values()) and one.is_agreed()


def test_traffic_of_a_member_does_not_grow_with_the_fleet():
    rates = []
    for count in (10, 60):
        one = swarm(count)
        before = sum(member.counts.sent for member in one.members.values())
        one.run(60 * S)
        rates.append((sum(member.counts.sent for member in one.members.values()) - before) / count / 60)
    assert 1.9 < rates[0] < 2.4 and abs(rates[1] / rates[0] - 1) < 0.1


def test_the_same_seed_gives_the_same_run():
    runs = []
    for _ in range(2):
        one = swarm(6, seed=9, loss=0.1)
        one.kill("m3")
        one.run(30 * S)
        runs.append([(seen.t, seen.member, seen.change.after) for seen in one.seen])
    assert runs[0] == runs[1] and runs[0]


def test_a_refutation_is_logged():
    one = Swim(Rules(), record("m0", started=5, instance=5), seed=1)
    one.start(0)
    datagram = draft()
    datagram.add(encode_item(record("m0", 5, 5, 0, State.SUSPECT, by="m1")))
    one.receive(1, datagram.pack(), ("10.0.0.1", 2))
    assert one.me.incarnation == 1 and one.health_score == 1
    assert [action.event for action in one.take_actions() if isinstance(action, LogEvent)] == [
        "fleet: objected"
    ]


def test_members_that_datagrams_name_are_bounded_and_known_ones_go_on_changing(monkeypatch):
    """Guards against a view that grows with every name that anybody sends."""
    monkeypatch.setattr("harriertrack.membership.fleet.view.MAX_MEMBERS", 5)
    view = View()
    for number in range(20):
        view.apply(1, record(f"m{number}"))
    assert len(view) == 5
    assert view.apply(2, record("m4", incarnation=3)) is not None
    assert view.apply(2, record("m9")) is None and view.find("m9") is None
