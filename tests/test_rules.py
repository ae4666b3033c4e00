"""The checker of the rules catches a seeded fault of each kind: in forged recordings, and in wrong heads."""

import pytest

from harriertrack.decisions import interface as api, lifecycle, requests, scheduler
from harriertrack.decisions.requests import attempts
from harriertrack.gateway import front, head
from harriertrack.lab import day as days, rig
from harriertrack.membership import nodes
from harriertrack.rules import checker, recording as rec

S = 1_000_000
HEAD = 77


def facts(**changes):
    classes = [
        rec.ClassFacts(name="read", deadline_us=S, effect="safe"),
        rec.ClassFacts(name="once", deadline_us=S, effect="unsafe"),
        rec.ClassFacts(name="keyed", deadline_us=3 * S, effect="keyed", window_us=S),
        rec.ClassFacts(name="line", deadline_us=3 * S, effect="safe", in_order=True),
    ]
    values = dict(classes=classes, unit_bytes=4096, extent_bytes=1 << 20, answer_slack_us=1000, flight_us=1000,
                  drain_grace_us=S, fall_multiple=2.0, fall_us=S, cold_units=4, budget_free=3, budget_share=0.1,
                  budget_window_us=S, order_settle_us=1000)  # fmt: skip
    return rec.Facts(**{**values, **changes})


class Tale:
    """A recording in the making: one head, one client."""

    def __init__(self, **changes):
        self.records = [facts(**changes), rec.HeadLifecycle(t=0, head="h", number=HEAD, up=True)]

    def add(self, record):
        self.records.append(record)
        return self

    def take(self, number, t, kind="read", name="read", place=None, length=4096):
        place = number * 65536 if place is None else place
        return self.add(rec.RequestSent(t=t, head="h", client="c", request=number, volume="v", kind=kind, class_name=name,
                                 offset=place, length=length))  # fmt: skip

    def answer(self, number, t, outcome="served", **more):
        return self.add(rec.FinalAnswer(t=t, client="c", request=number, outcome=outcome, **more))

    def got(self, number, t, kind="read", attempt=0, node="n", shard=0, place=None, length=4096):
        place = number * 65536 if place is None else place
        return self.add(rec.AttemptReceived(t=t, node=node, shard=shard, head=HEAD, key=number, attempt=attempt, volume="v",
                                kind=kind, offset=place, length=length))  # fmt: skip

    def ran(self, number, t, attempt=0, result="done"):
        self.add(rec.AttemptExecuted(t=t, node="n", head=HEAD, key=number, attempt=attempt))
        return self.said(number, t, attempt, result)

    def said(self, number, t, attempt=0, result="done"):
        return self.add(
            rec.AttemptAnswered(t=t, node="n", head=HEAD, key=number, attempt=attempt, result=result)
        )

    def told(self, t, state="up", started=0):
        return self.add(rec.NodeListed(t=t, head=HEAD, node="n", state=state, started_us=started))

    def broken(self):
        return {breach.rule for breach in checker.check(self.records)}


def good():
    """A write, repeated in its rack and dropped there, a read, and a refusal."""
    return (
        Tale().take(1, 10, "write", "keyed").got(1, 20, "write").ran(1, 30).got(1, 500, "write", 1)
        .said(1, 510, 1, "repeat").answer(1, 520).take(2, 600).got(2, 610).ran(2, 620).answer(2, 630)
        .take(3, 700, "write", "once").answer(3, 710, "refused")
    )  # fmt: skip


def test_what_was_sent_in_time_may_lie_as_long_as_the_machine_stood_still():
    def tale(*stood):
        one = Tale().take(1, 0).answer(1, 100_000).got(1, 100_000 + 400_000)
        for t, us, machine in stood:
            one.add(rec.HeadPaused(t=t, head="h", us=us, machine=machine))
        return [breach.rule for breach in checker.check(one.records)]

    assert tale() == [1] and tale((150_000, 390_000, False)) == [1], "a head's standstill holds no network up"
    assert tale((110_000, 390_000, True), (110_000, 390_000, True)) == [1], "nor twice, for two heads"
    assert tale((110_000, 300_000, True), (420_000, 80_000, True)) == [1]
    assert tale((90_000, 420_000, True)) == []


def test_an_answer_may_be_late_by_as_long_as_the_machine_stood_still_after_its_time():
    """Two standstills with a moment between them: no head answers all that was due in the first in that moment."""
    late_us = facts().answer_slack_us + 130_000

    def tale(*stood):
        one = Tale().take(1, 0).answer(1, S + late_us)
        for after_us, us, machine in stood:
            one.add(rec.HeadPaused(t=S + after_us, head="h", us=us, machine=machine))
        return one.broken()

    assert tale() == {1} and tale((1_000, 130_000, False)) == {1}, "a head's own standstill is its own"
    assert tale((1_000, 120_000, True)) == {1} and tale((1_000, 130_000, True)) == set()


def test_a_good_recording_breaks_nothing():
    assert good().broken() == set()


FORGED = {
    "no answer": (1, lambda: good().take(9, 10)),
    "two answers": (1, lambda: good().answer(2, 640)),
    "an answer to nothing": (1, lambda: good().answer(99, 640)),
    "late": (1, lambda: good().take(9, 10).answer(9, S + 1012)),
    "sent after its answer": (1, lambda: good().got(2, 1700, attempt=1)),
    "ran twice": (2, lambda: good().ran(1, 600, 1)),
    "unsafe sent again": (2, lambda: good().take(9, 10, "write", "once").got(9, 11, "write").got(9, 12, "write", 1).answer(9, 13, "failed")),
    "keyed outside its rack": (2, lambda: good().take(9, 10, "write", "keyed").got(9, 11, "write").got(9, 12, "write", 1, "m", 1).answer(9, 13, "failed")),
    "keyed after its window": (2, lambda: good().take(9, 10, "write", "keyed").got(9, 11, "write").got(9, S + 1012, "write", 1).answer(9, S + 1013, "failed")),
    "refused though it ran": (2, lambda: good().take(9, 10, "write", "keyed").got(9, 11, "write").ran(9, 12).answer(9, 13, "refused")),
    "after a drain": (3, lambda: good().told(5).told(10, "draining").take(9, S + 900).got(9, S + 1011).answer(9, S + 1012)),
    "after a drain, by the sender's stamp": (3, lambda: good().told(10, "draining").add(rec.AttemptSent(t=S + 11, head=HEAD, key=9, attempt=0, node="n"))),
    "fell over": (4, lambda: good().add(rec.NodeLifecycle(t=9, node="n", state="fell"))),
    "out of order": (5, lambda: good().take(8, 10, name="line", place=0).take(9, 11, name="line", place=8192).got(9, 12, place=8192).got(8, 13, place=0).answer(8, 20).answer(9, 20)),
    "two of a key at once": (5, lambda: good().take(8, 10, name="line", place=0).take(9, 11, name="line", place=8192).got(8, 12, place=0).got(9, 13, place=8192).answer(8, 5000).answer(9, 5000)),
    "over its budget": (6, lambda: good().take(9, 10).got(9, 11).got(9, 12, attempt=1).got(9, 13, attempt=2).got(9, 14, attempt=3).answer(9, 15)),
    "other data": (0, lambda: good().take(9, 10).got(9, 11).answer(9, 14, data_ok=False)),
}  # fmt: skip


@pytest.mark.parametrize("name", FORGED)
def test_a_forged_recording_is_caught(name):
    rule, make = FORGED[name]
    assert make().broken() == {rule}


def cold(units, informed=True):
    tale = Tale().told(2 * S, started=S if informed else 0)
    tale.add(rec.NodeLifecycle(t=S, node="n", state="started", rate=20, cold_share=0.2, warm_us=10 * S))
    for number in range(100, 100 + units):
        tale.take(number, 2 * S + number).got(number, 2 * S + number + 1).answer(number, 2 * S + number + 2)
    return tale.broken()


def test_a_cold_node_pushed_over_is_caught_where_the_heads_knew():
    assert cold(5) == set()
    assert cold(30) == {4}
    assert cold(30, informed=False) == set()


def limited(times):
    tale = Tale(limits=[rec.LimitFacts(volume="v", rate=2, burst=4, slack=1)])
    for number, t in enumerate(times, start=1):
        tale.take(number, t).got(number, t + 1).answer(number, t + 2)
    return tale.broken()


def test_a_limit_passed_is_caught():
    assert limited([0] * 5) == set()
    assert limited([0] * 6) == {7}
    assert limited([0] * 5 + [S // 2, S]) == set()


def test_killed_heads_and_clients_that_left_are_owed_nothing():
    assert Tale().take(1, 10).add(rec.HeadLifecycle(t=20, head="h", number=0, up=False)).broken() == set()
    assert Tale().take(1, 10).add(rec.ClientLeft(t=20, client="c")).broken() == set()
    assert Tale().take(1, 10).got(1, 2000).add(rec.ClientLeft(t=20, client="c")).broken() == {1}


def test_what_was_sent_to_a_stopped_process_may_reach_it_only_when_it_goes_on():
    late = Tale().take(1, 2 * S).answer(1, 8 * S - 1)
    assert late.broken() == {1}
    late.add(rec.HeadPaused(t=S, head="h", us=6 * S))
    assert late.broken() == {1}, "what it had read before it stood still is due when it goes on"
    late.records[-1].unread = True
    assert late.broken() == set()
    assert Tale().take(1, 2 * S).answer(1, 9 * S).add(
        rec.HeadPaused(t=S, head="h", us=6 * S, unread=True)
    ).broken() == {1}


def test_clients_that_reuse_a_place_make_a_recording_ambiguous():
    tale = Tale().take(1, 10, place=0).take(2, 11, place=0).got(1, 12, place=0)
    with pytest.raises(checker.AmbiguousRecording):
        checker.check(tale.records)


def test_recordings_are_written_and_read(tmp_path):
    path = str(tmp_path / "run.jsonl")
    recorder = rec.Recorder(path)
    for record in good().records:
        recorder.add(record)
    recorder.close()
    assert rec.read(path) == good().records
    (tmp_path / "bad").write_text('{"what":"take"}\n')
    with pytest.raises(rec.RecordingError, match="bad:1"):
        rec.read(str(tmp_path / "bad"))


# -- wrong heads: the production head with one thing broken, in a whole day


def broken_in(name, monkeypatch=None, **changes):
    import msgspec

    day = msgspec.structs.replace(days.load(name), **changes)
    return {breach.rule for breach in checker.check(rig.play(day, 3, virtual=True).records)}


def settings_without(monkeypatch, **changes):
    import dataclasses

    made = head.module_settings
    monkeypatch.setattr(
        head, "module_settings", lambda settings: dataclasses.replace(made(settings), **changes)
    )


def test_a_head_that_swallows_answers(monkeypatch):
    answer, seen = front.Session.answer, []

    def forgetful(self, request):
        seen.append(request)
        if len(seen) % 100:
            answer(self, request)

    monkeypatch.setattr(front.Session, "answer", forgetful)
    assert 1 in broken_in("calm", length_us=3 * S)


def test_a_head_that_answers_twice(monkeypatch):
    done, seen = front.ServerConnection.reply_done, []

    def stutter(self, cookie, report=None):
        seen.append(cookie)
        for _ in range(1 if len(seen) % 50 else 2):
            done(self, cookie, report)

    monkeypatch.setattr(front.ServerConnection, "reply_done", stutter)
    assert 1 in broken_in("calm", length_us=3 * S)


def test_a_head_that_takes_silence_for_proof(monkeypatch):
    monkeypatch.setattr(attempts, "result_without_answer", lambda state, otherwise: api.Result.CONNECT_FAILED)
    assert 2 in broken_in("answer_reset")


def test_a_head_that_forgets_drains(monkeypatch):
    replace = nodes.NodeList.replace

    def blind(self, members, restored=False):
        up = [
            nodes.Member(
                api.NodeEntry(m.entry.node, m.entry.shard, api.NodeState.UP, m.entry.zone), m.address
            )
            for m in members
        ]
        return replace(self, up, restored)

    monkeypatch.setattr(nodes.NodeList, "replace", blind)
    assert 3 in broken_in("drain")


def test_a_head_that_knows_no_cold_nodes(monkeypatch):
    settings_without(monkeypatch, warm_us=0)
    monkeypatch.setattr(scheduler, "WINDOW_MIN", 32.0)  # a narrow window alone would spare them
    assert 4 in broken_in("mass_restart", rate=700.0, heads=8, volumes=16)


def test_a_head_without_order(monkeypatch):
    made = head.module_settings

    def unordered(settings):
        import dataclasses

        made_ = made(settings)
        classes = tuple(dataclasses.replace(one, in_order=False) for one in made_.classes)
        return dataclasses.replace(made_, classes=classes)

    monkeypatch.setattr(head, "module_settings", unordered)
    assert 5 in broken_in("order", rate=400.0)


def test_a_head_without_a_budget(monkeypatch):
    settings_without(monkeypatch, budget_window_us=0)
    assert 6 in broken_in("budget")


def test_a_head_without_limits(monkeypatch):
    settings_without(monkeypatch, plans=())
    assert 7 in broken_in("tenant_burst")


def test_a_head_that_mixes_up_data(monkeypatch):
    part = requests.Part.body
    monkeypatch.setattr(requests.Part, "body", lambda self: bytes(part(self))[::-1])
    assert 0 in broken_in("calm", length_us=4 * S)


def test_the_machines_refuse_illegal_steps():
    with pytest.raises(lifecycle.IllegalTransition):
        lifecycle.next_part_state(lifecycle.PartState.SERVED, lifecycle.PartStep.SEND)
    with pytest.raises(lifecycle.IllegalTransition):
        lifecycle.next_attempt_state(lifecycle.AttemptState.ENDED, lifecycle.AttemptStep.END)
    over = [state for state in lifecycle.PartState if state.is_final]
    assert not [key for key in lifecycle.PART_TRANSITIONS if key[0] in over]
