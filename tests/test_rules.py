"""The request rules find each kind of breach in made-up recordings, and in days of heads with a seeded fault."""

import pytest

from harriertrack.decisions import interface as api, lifecycle, requests, scheduler
from harriertrack.decisions.drain_grace import DrainGrace
from harriertrack.decisions.requests import attempts
from harriertrack.gateway import front, head
from harriertrack.lab import day as days, rig
from harriertrack.membership import nodes
from harriertrack.rules import checker, recording as rec
from harriertrack.rules.run_history import AmbiguousRecording
from harriertrack.rules.recording_file import RecordingError

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


class RecordingBuilder:
    """Builds a recording of one head and one client; requests without an offset use distinct ones."""

    def __init__(self, **changes):
        self.records = [facts(**changes), rec.HeadLifecycle(t=0, head="h", number=HEAD, up=True)]

    def add(self, record):
        self.records.append(record)
        return self

    def request(self, number, t, kind="read", name="read", offset=None, length=4096):
        offset = number * 65536 if offset is None else offset
        return self.add(rec.RequestSent(t=t, head="h", client="c", request=number, volume="v", kind=kind, class_name=name,
                                 offset=offset, length=length))  # fmt: skip

    def answer(self, number, t, outcome="served", **more):
        return self.add(rec.FinalAnswer(t=t, client="c", request=number, outcome=outcome, **more))

    def received(self, number, t, kind="read", attempt=0, node="n", shard=0, offset=None, length=4096):
        offset = number * 65536 if offset is None else offset
        return self.add(rec.AttemptReceived(t=t, node=node, shard=shard, head=HEAD, key=number, attempt=attempt, volume="v",
                                kind=kind, offset=offset, length=length))  # fmt: skip

    def executed(self, number, t, attempt=0, result="done"):
        self.add(rec.AttemptExecuted(t=t, node="n", head=HEAD, key=number, attempt=attempt))
        return self.node_answered(number, t, attempt, result)

    def node_answered(self, number, t, attempt=0, result="done"):
        return self.add(
            rec.AttemptAnswered(t=t, node="n", head=HEAD, key=number, attempt=attempt, result=result)
        )

    def listed(self, t, state="up", started=0):
        return self.add(rec.NodeListed(t=t, head=HEAD, node="n", state=state, started_us=started))

    def broken_rules(self):
        return {breach.rule for breach in checker.check(self.records)}


def correct_run():
    """A write whose retry its rack drops as a duplicate, a read, and a refused write."""
    return (
        RecordingBuilder().request(1, 10, "write", "keyed").received(1, 20, "write").executed(1, 30).received(1, 500, "write", 1)
        .node_answered(1, 510, 1, "repeat").answer(1, 520).request(2, 600).received(2, 610).executed(2, 620).answer(2, 630)
        .request(3, 700, "write", "once").answer(3, 710, "refused")
    )  # fmt: skip


def test_an_attempt_in_flight_may_be_delayed_by_a_pause_of_the_whole_machine():
    def rules_broken(*pauses):
        run = RecordingBuilder().request(1, 0).answer(1, 100_000).received(1, 100_000 + 400_000)
        for t, us, machine in pauses:
            run.add(rec.HeadPaused(t=t, head="h", us=us, machine=machine))
        return [breach.rule for breach in checker.check(run.records)]

    assert rules_broken() == [1] and rules_broken((150_000, 390_000, False)) == [1], (
        "a pause of one head does not delay the network"
    )
    assert rules_broken((110_000, 390_000, True), (110_000, 390_000, True)) == [1], (
        "a pause recorded for two heads counts once"
    )
    assert rules_broken((110_000, 300_000, True), (420_000, 80_000, True)) == [1]
    assert rules_broken((90_000, 420_000, True)) == []


def test_an_answer_may_be_late_by_machine_pauses_after_its_deadline():
    """Between two pauses a head may have too little time to answer all requests that came due in the first."""
    late_us = facts().answer_slack_us + 130_000

    def rules_broken(*pauses):
        run = RecordingBuilder().request(1, 0).answer(1, S + late_us)
        for after_us, us, machine in pauses:
            run.add(rec.HeadPaused(t=S + after_us, head="h", us=us, machine=machine))
        return run.broken_rules()

    assert rules_broken() == {1} and rules_broken((1_000, 130_000, False)) == {1}, (
        "a pause of one head excuses no late answer after its deadline"
    )
    assert rules_broken((1_000, 120_000, True)) == {1} and rules_broken((1_000, 130_000, True)) == set()


def test_a_correct_recording_breaks_no_rule():
    assert correct_run().broken_rules() == set()


FAULTY_RECORDINGS = {
    "no answer": (1, lambda: correct_run().request(9, 10)),
    "two answers": (1, lambda: correct_run().answer(2, 640)),
    "an answer to nothing": (1, lambda: correct_run().answer(99, 640)),
    "late": (1, lambda: correct_run().request(9, 10).answer(9, S + 1012)),
    "sent after its answer": (1, lambda: correct_run().received(2, 1700, attempt=1)),
    "ran twice": (2, lambda: correct_run().executed(1, 600, 1)),
    "unsafe sent again": (2, lambda: correct_run().request(9, 10, "write", "once").received(9, 11, "write").received(9, 12, "write", 1).answer(9, 13, "failed")),
    "keyed outside its rack": (2, lambda: correct_run().request(9, 10, "write", "keyed").received(9, 11, "write").received(9, 12, "write", 1, "m", 1).answer(9, 13, "failed")),
    "keyed after its window": (2, lambda: correct_run().request(9, 10, "write", "keyed").received(9, 11, "write").received(9, S + 1012, "write", 1).answer(9, S + 1013, "failed")),
    "refused though it ran": (2, lambda: correct_run().request(9, 10, "write", "keyed").received(9, 11, "write").executed(9, 12).answer(9, 13, "refused")),
    "after a drain": (3, lambda: correct_run().listed(5).listed(10, "draining").request(9, S + 900).received(9, S + 1011).answer(9, S + 1012)),
    "after a drain, by the sender's stamp": (3, lambda: correct_run().listed(10, "draining").add(rec.AttemptSent(t=S + 11, head=HEAD, key=9, attempt=0, node="n"))),
    "fell over": (4, lambda: correct_run().add(rec.NodeLifecycle(t=9, node="n", state="fell"))),
    "out of order": (5, lambda: correct_run().request(8, 10, name="line", offset=0).request(9, 11, name="line", offset=8192).received(9, 12, offset=8192).received(8, 13, offset=0).answer(8, 20).answer(9, 20)),
    "two of a key at once": (5, lambda: correct_run().request(8, 10, name="line", offset=0).request(9, 11, name="line", offset=8192).received(8, 12, offset=0).received(9, 13, offset=8192).answer(8, 5000).answer(9, 5000)),
    "over its budget": (6, lambda: correct_run().request(9, 10).received(9, 11).received(9, 12, attempt=1).received(9, 13, attempt=2).received(9, 14, attempt=3).answer(9, 15)),
    "other data": (0, lambda: correct_run().request(9, 10).received(9, 11).answer(9, 14, data_ok=False)),
}  # fmt: skip


@pytest.mark.parametrize("name", FAULTY_RECORDINGS)
def test_each_fault_in_a_recording_is_found(name):
    rule, make = FAULTY_RECORDINGS[name]
    assert make().broken_rules() == {rule}


def cold_node_rules(units, informed=True):
    run = RecordingBuilder().listed(2 * S, started=S if informed else 0)
    run.add(rec.NodeLifecycle(t=S, node="n", state="started", rate=20, cold_share=0.2, warm_us=10 * S))
    for number in range(100, 100 + units):
        run.request(number, 2 * S + number).received(number, 2 * S + number + 1).answer(
            number, 2 * S + number + 2
        )
    return run.broken_rules()


def test_overload_of_a_cold_node_is_found_if_the_heads_knew_that_it_had_started():
    assert cold_node_rules(5) == set()
    assert cold_node_rules(30) == {4}
    assert cold_node_rules(30, informed=False) == set()


def limit_rules(times):
    run = RecordingBuilder(limits=[rec.LimitFacts(volume="v", rate=2, burst=4, slack=1)])
    for number, t in enumerate(times, start=1):
        run.request(number, t).received(number, t + 1).answer(number, t + 2)
    return run.broken_rules()


@pytest.mark.parametrize(("returned", "broken"), [(False, {3}), (True, set())])
def test_a_drain_that_a_head_was_told_of_counts_for_its_next_process_too(returned, broken):
    run = RecordingBuilder().listed(100, "draining")
    later = HEAD + 1
    run.add(rec.HeadLifecycle(t=200, head="h", number=0, up=False))
    run.add(rec.HeadLifecycle(t=S, head="h", number=later, up=True))
    for state in ("up", "draining") if returned else ("draining",):
        run.add(rec.NodeListed(t=S + 500, head=later, node="n", state=state, started_us=0))
    run.add(rec.AttemptSent(t=S + 2000, head=later, key=1, attempt=0, node="n"))
    assert run.broken_rules() == broken


def test_a_cold_start_that_a_head_was_told_of_counts_for_its_next_process_too():
    run = RecordingBuilder().listed(100, started=100)
    run.add(rec.NodeLifecycle(t=100, node="n", state="started", rate=10.0, cold_share=0.2, warm_us=10 * S))
    later = HEAD + 1
    run.add(rec.HeadLifecycle(t=200, head="h", number=later, up=True))
    for number in range(1, 12):
        offset = number * 65536
        run.request(number, 1000 * number).add(
            rec.AttemptReceived(t=1000 * number + 5, node="n", shard=0, head=later, key=number, attempt=0, volume="v",
                                kind="read", offset=offset, length=4096)
        ).answer(number, 1000 * number + 10)  # fmt: skip
    assert 4 in run.broken_rules()


def test_requests_of_an_earlier_process_add_nothing_to_the_budget_of_the_next():
    """Each process counts from its start: what an earlier one took allows it no further attempts."""
    run, later = RecordingBuilder(), HEAD + 1
    for number in range(1, 21):
        run.request(number, number).received(number, number + 1).answer(number, number + 2)
    run.add(rec.HeadLifecycle(t=100, head="h", number=later, up=True))
    for number in (21, 22):
        run.request(number, number * 10)
        for attempt in range(3):
            run.add(
                rec.AttemptReceived(t=number * 10 + attempt, node="n", shard=0, head=later, key=number, attempt=attempt,
                                    volume="v", kind="read", offset=number * 65536, length=4096)
            )  # fmt: skip
        run.answer(number, number * 10 + 3)
    assert run.broken_rules() == {6}


def test_an_exceeded_limit_is_found():
    assert limit_rules([0] * 5) == set()
    assert limit_rules([0] * 6) == {7}
    assert limit_rules([0] * 5 + [S // 2, S]) == set()


def test_requests_of_killed_heads_and_disconnected_clients_need_no_answer():
    assert (
        RecordingBuilder()
        .request(1, 10)
        .add(rec.HeadLifecycle(t=20, head="h", number=0, up=False))
        .broken_rules()
        == set()
    )
    assert RecordingBuilder().request(1, 10).add(rec.ClientLeft(t=20, client="c")).broken_rules() == set()
    assert RecordingBuilder().request(1, 10).received(1, 2000).add(
        rec.ClientLeft(t=20, client="c")
    ).broken_rules() == {1}


def test_a_request_to_a_stopped_process_may_be_read_only_when_it_resumes():
    late = RecordingBuilder().request(1, 2 * S).answer(1, 8 * S - 1)
    assert late.broken_rules() == {1}
    late.add(rec.HeadPaused(t=S, head="h", us=6 * S))
    assert late.broken_rules() == {1}, "a request read before the pause is due when the head resumes"
    late.records[-1].unread = True
    assert late.broken_rules() == set()
    assert RecordingBuilder().request(1, 2 * S).answer(1, 9 * S).add(
        rec.HeadPaused(t=S, head="h", us=6 * S, unread=True)
    ).broken_rules() == {1}


def test_clients_that_reuse_an_offset_make_a_recording_ambiguous():
    run = RecordingBuilder().request(1, 10, offset=0).request(2, 11, offset=0).received(1, 12, offset=0)
    with pytest.raises(AmbiguousRecording):
        checker.check(run.records)


def test_recordings_are_written_and_read(tmp_path):
    path = str(tmp_path / "run.jsonl")
    recorder = rec.Recorder(path)
    for record in correct_run().records:
        recorder.add(record)
    recorder.close()
    assert rec.read(path) == correct_run().records
    (tmp_path / "bad").write_text('{"what":"take"}\n')
    with pytest.raises(RecordingError, match="bad:1"):
        rec.read(str(tmp_path / "bad"))


# -- days of the production head with one seeded fault


def rules_broken_in_day(name, monkeypatch=None, **changes):
    import msgspec

    day = msgspec.structs.replace(days.load(name), **changes)
    return {breach.rule for breach in checker.check(rig.play(day, 3, virtual=True).records)}


def change_module_settings(monkeypatch, **changes):
    import dataclasses

    original = head.module_settings
    monkeypatch.setattr(
        head, "module_settings", lambda settings: dataclasses.replace(original(settings), **changes)
    )


def test_a_head_that_loses_answers(monkeypatch):
    answer, seen = front.Session.answer, []

    def lossy_answer(self, request):
        seen.append(request)
        if len(seen) % 100:
            answer(self, request)

    monkeypatch.setattr(front.Session, "answer", lossy_answer)
    assert 1 in rules_broken_in_day("calm", length_us=3 * S)


def test_a_head_that_answers_twice(monkeypatch):
    done, seen = front.ServerConnection.reply_done, []

    def duplicate_reply(self, cookie, report=None):
        seen.append(cookie)
        for _ in range(1 if len(seen) % 50 else 2):
            done(self, cookie, report)

    monkeypatch.setattr(front.ServerConnection, "reply_done", duplicate_reply)
    assert 1 in rules_broken_in_day("calm", length_us=3 * S)


def test_a_head_that_takes_a_missing_answer_as_proof_of_no_execution(monkeypatch):
    monkeypatch.setattr(attempts, "result_without_answer", lambda state, otherwise: api.Result.CONNECT_FAILED)
    assert 2 in rules_broken_in_day("answer_reset")


def test_a_head_that_ignores_drains(monkeypatch):
    replace = nodes.NodeList.replace

    def replace_with_all_up(self, members, restored=False):
        up = [
            nodes.Member(
                api.NodeEntry(m.entry.node, m.entry.shard, api.NodeState.UP, m.entry.zone), m.address
            )
            for m in members
        ]
        return replace(self, up, restored)

    monkeypatch.setattr(nodes.NodeList, "replace", replace_with_all_up)
    assert 3 in rules_broken_in_day("drain")


def test_a_head_whose_restart_begins_the_grace_of_a_drain_anew(monkeypatch):
    accepts_requests = DrainGrace.accepts_requests

    def accepts_in_first_list(self, state, now, grace_us):
        if state is api.NodeState.DRAINING and self.left_service_at is None:
            self.left_service_at = now
        return accepts_requests(self, state, now, grace_us)

    monkeypatch.setattr(DrainGrace, "accepts_requests", accepts_in_first_list)
    assert 3 in rules_broken_in_day("drain-restart")


def test_a_head_that_treats_cold_nodes_as_warm(monkeypatch):
    change_module_settings(monkeypatch, warm_us=0)
    monkeypatch.setattr(scheduler, "WINDOW_MIN", 32.0)  # a small window alone would protect cold nodes
    assert 4 in rules_broken_in_day("mass_restart", rate=700.0, heads=8, volumes=16)


def test_a_head_without_order(monkeypatch):
    original = head.module_settings

    def unordered(settings):
        import dataclasses

        made = original(settings)
        classes = tuple(dataclasses.replace(one, in_order=False) for one in made.classes)
        return dataclasses.replace(made, classes=classes)

    monkeypatch.setattr(head, "module_settings", unordered)
    assert 5 in rules_broken_in_day("order", rate=400.0)


def test_a_head_without_a_budget(monkeypatch):
    change_module_settings(monkeypatch, budget_window_us=0)
    assert 6 in rules_broken_in_day("budget")


def test_a_head_without_limits(monkeypatch):
    change_module_settings(monkeypatch, plans=())
    assert 7 in rules_broken_in_day("tenant_burst")


def test_a_head_that_corrupts_data(monkeypatch):
    body = requests.Part.body
    monkeypatch.setattr(requests.Part, "body", lambda self: bytes(body(self))[::-1])
    assert 0 in rules_broken_in_day("calm", length_us=4 * S)


def test_the_state_machines_reject_illegal_transitions():
    with pytest.raises(lifecycle.IllegalTransition):
        lifecycle.next_part_state(lifecycle.PartState.SERVED, lifecycle.PartStep.SEND)
    with pytest.raises(lifecycle.IllegalTransition):
        lifecycle.next_attempt_state(lifecycle.AttemptState.ENDED, lifecycle.AttemptStep.END)
    final_states = [state for state in lifecycle.PartState if state.is_final]
    assert not [key for key in lifecycle.PART_TRANSITIONS if key[0] in final_states]
