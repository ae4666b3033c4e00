"""The platform's rules find each kind of breach in made-up recordings of one head, and nothing in a correct one."""

import pytest

from harriertrack.rules import platform, platform_recording as rec
from harriertrack.rules.recording_file import RecordingError, write_records

MS, S = 1_000, 1_000_000
GRACE_US = 2 * S
START = 10 * S


class Recording:
    """Builds a recording of head `n`, node `s` and numbered requests; times are from START on."""

    def __init__(self, **changes):
        facts = dict(seed=1, pushed=False, crowd=False, drain_grace_us=GRACE_US, max_attempts=3, fall_us=2 * S,
                     fall_multiple=2.0, cold_share=0.2, warm_us=10 * S, limits=[rec.LimitFacts("v", 10, 4, 1)],
                     classes=[rec.ClassFacts("look", "safe"), rec.ClassFacts("note", "keyed", 1 * S),
                              rec.ClassFacts("post", "unsafe")])  # fmt: skip
        self.records, self.serial = [rec.RunFacts(**{**facts, **changes})], 0
        self.add(rec.NodeChanged, 0, node="s", state="in_service").started(0)

    def add(self, kind, t, **fields):
        self.records.append(kind(t=START + t, **fields))
        return self

    def sent(self, number, t, name="look", volume="", units=1.0, fresh=True, wait_us=1 * S):
        return self.add(rec.RequestSent, t, head="n", trace=f"{number}", class_name=name, wait_us=wait_us, volume=volume,
                        units=units, fresh=fresh)  # fmt: skip

    def answered(self, number, t, status=200, how=""):
        return self.add(rec.RequestEnded, t, trace=f"{number}", status=status, how=how)

    def attempt(self, number, t, node="s", never_ran=None):
        self.serial += 1
        self.add(rec.AttemptReceived, t, serial=self.serial, node=node, trace=f"{number}")
        if never_ran is not None:
            self.add(
                rec.AttemptAnswered, t, serial=self.serial, node=node, trace=f"{number}", never_ran=never_ran
            )
        return self

    def request(self, number, t, name="look", node="s", **options):
        return self.sent(number, t, name, **options).attempt(number, t + 5, node).answered(number, t + 10)

    def state(self, t, state, rate=0.0):
        return self.add(rec.NodeChanged, t, node="s", state=state, rate=rate)

    def told(self, t, state):
        return self.add(rec.ListWritten, t, head="n", version=2, full=False, states={"s": state})

    def started(self, t, state="in_service"):
        return self.add(rec.ProcessStarted, t, head="n", states={"s": state})

    def ended(self, t, status=0, planned=True):
        return self.add(rec.ProcessEnded, t, head="n", status=status, planned=planned)

    def signal(self, t, name):
        return self.add(rec.ProcessSignalled, t, head="n", signal=name)

    def broken(self):
        return {breach.rule for breach in platform.check(self.records)}


def test_a_correct_recording_breaks_no_rule():
    run = (
        Recording().request(1, 0).sent(2, S, "post").attempt(2, S + 5, never_ran=True).answered(2, S + 9, 503)
    )
    run.sent(3, 2 * S, "note").attempt(3, 2 * S + 5).attempt(3, 2 * S + 500 * MS).answered(
        3, 2 * S + 600 * MS
    )
    run.state(3 * S, "terminating").told(3 * S + 5, "terminating").request(4, 5 * S)
    run.state(8 * S, "in_service").request(5, 9 * S).ended(20 * S)
    assert platform.check(run.records) == []


RULE_1 = {
    "too late": lambda run: run.sent(1, 0).answered(1, 1_600 * MS),
    "silent": lambda run: run.sent(1, 0).answered(1, 1_700 * MS, 0, "silent"),
    "no end": lambda run: run.sent(1, 0),
    "two answers": lambda run: run.sent(1, 0).answered(1, 5).answered(1, 6),
    "closed on a new connection": lambda run: run.sent(1, 0).answered(1, 9, 0, "closed"),
    "forwarded, then closed": lambda run: (
        run.sent(1, 0, fresh=False).attempt(1, 5).answered(1, 9, 0, "not taken")
    ),
    "sent again to another connection": lambda run: run.sent(1, 0).attempt(1, 5).sent(1, 9).answered(1, 20),
    "sent after its end": lambda run: run.sent(1, 0).answered(1, 9).attempt(1, 100 * MS),
    "sent after its client left": lambda run: run.sent(1, 0).answered(1, 9, 0, "left").attempt(1, 200 * MS),
    "lost at a planned end": lambda run: run.sent(1, 0).ended(5).answered(1, 9, 0, "reset"),
    "nobody asked": lambda run: run.attempt(1, 5),
}


@pytest.mark.parametrize("name", RULE_1)
def test_an_answer_that_is_missing_or_wrong_is_found(name):
    assert RULE_1[name](Recording()).broken() == {1}


ALLOWED = {
    "killed without notice": lambda run: run.sent(1, 0).ended(5, -9, False).answered(1, 9, 0, "reset"),
    "stopped meanwhile": lambda run: (
        run.sent(1, 0).signal(5, "SIGSTOP").signal(3 * S, "SIGCONT").answered(1, 1_700 * MS, 0, "silent")
    ),
    "answered after a stop": lambda run: (
        run.sent(1, 0).signal(5, "SIGSTOP").signal(3 * S, "SIGCONT").answered(1, 3 * S + 9)
    ),
    "the recorder was late": lambda run: (
        run.add(rec.RecorderDelayed, 1 * S, us=S).sent(1, 0).answered(1, 1_900 * MS)
    ),
}


@pytest.mark.parametrize("name", ALLOWED)
def test_what_no_head_can_answer_is_allowed(name):
    assert ALLOWED[name](Recording()).broken() == set()


def test_a_stop_that_ended_before_the_request_excuses_nothing():
    run = (
        Recording()
        .signal(0, "SIGSTOP")
        .signal(S, "SIGCONT")
        .sent(1, 2 * S)
        .answered(1, 3_700 * MS, 0, "silent")
    )
    assert run.broken() == {1}


def test_attempts_without_a_request_are_found_however_many():
    """Heads of another run, left behind, once called for their list where this run had a node."""
    run = Recording()
    for t in range(5):
        run.attempt("", t)
    assert run.broken() == {1, 6}


RULE_2 = {
    "unsafe twice": lambda run: run.sent(1, 0, "post").attempt(1, 5).attempt(1, 9).answered(1, 20),
    "keyed at another node": lambda run: (
        run.sent(1, 0, "note").attempt(1, 5).attempt(1, 9, "t").answered(1, 20)
    ),
    "keyed after its window": lambda run: (
        run.sent(1, 0, "note", wait_us=3 * S).attempt(1, 5).attempt(1, 1_100 * MS).answered(1, 2 * S)
    ),
    "refused": lambda run: run.sent(1, 0, "post").attempt(1, 5).answered(1, 20, 503),
}


@pytest.mark.parametrize("name", RULE_2)
def test_an_effect_that_may_come_twice_is_found(name):
    assert RULE_2[name](Recording()).broken() == {2}


DRAINS = {
    "told by an answer": (lambda run: run.told(5, "terminating"), 5),
    "told to an earlier process": (lambda run: run.told(5, "terminating").started(S), 5),
    "told again by a saved list": (lambda run: run.told(5, "terminating").started(S, "terminating"), 5),
    "told by a saved list alone": (lambda run: run.started(S, "terminating"), S),
    "told again": (lambda run: run.told(5, "terminating").told(S, "terminating"), 5),
    "gone meanwhile": (lambda run: run.told(5, "terminating").state(S, "terminated").told(S, "terminated"), 5),
    "never told": (lambda run: run, 6 * S),
    "never told, watches silent": (lambda run: run.add(rec.WatchesSilenced, -4 * S), 2 * S),
    "a watch opened after a silence": (
        lambda run: run.add(rec.WatchesSilenced, -4 * S).told(-1 * S, "in_service"), 6 * S
    ),
    "never told, after an outage": (
        lambda run: run.add(rec.OutageChanged, -9, begins=True).add(rec.OutageChanged, S, begins=False), 7 * S
    ),
}  # fmt: skip


@pytest.mark.parametrize("name", DRAINS)
def test_a_drain_counts_from_when_the_head_was_first_told_of_it(name):
    tell, counts_from = DRAINS[name]
    over = counts_from + GRACE_US
    assert tell(Recording().state(0, "terminating")).request(1, over + 40 * MS).broken() == set()
    assert tell(Recording().state(0, "terminating")).request(1, over + 60 * MS).broken() == {3}


@pytest.mark.parametrize(("reload_at", "counts_from"), [(None, 0), (-S, 3 * S)])
def test_a_pushed_drain_counts_at_once_or_four_seconds_after_a_new_configuration(reload_at, counts_from):
    run = Recording(pushed=True).state(0, "terminating")
    if reload_at is not None:
        run.signal(reload_at, "SIGHUP")
    over = counts_from + GRACE_US
    assert run.request(1, over + 40 * MS).broken() == set()
    assert run.request(2, over + 60 * MS).broken() == {3}


def test_a_node_that_is_back_may_get_requests_even_before_the_head_is_told():
    run = (
        Recording()
        .state(0, "terminating")
        .told(5, "terminating")
        .state(4 * S, "in_service")
        .request(1, 5 * S)
    )
    assert run.broken() == set()


@pytest.mark.parametrize(("count", "broken"), [(16, set()), (30, {4})])
def test_a_cold_node_that_gets_more_than_it_bears_is_found(count, broken):
    """It bears 2 x 10 x 0.2 x 2 s = 8 requests, and 3 x root of 8 + 3 by chance."""
    run = Recording().state(0, "in_service", rate=10.0).told(1, "in_service")
    for number in range(count):
        run.request(number, 10 + number * 20 * MS)
    assert run.broken() == broken


def test_a_cold_node_whose_start_no_head_was_told_of_is_not_spared():
    run = Recording().state(0, "in_service", rate=10.0)
    for number in range(30):
        run.request(number, 10 + number * 20 * MS)
    assert run.broken() == set()


def test_too_many_attempts_and_a_passed_limit_are_found():
    run = Recording().sent(1, 0)
    for t in range(4):
        run.attempt(1, 5 + t)
    assert run.answered(1, 20).broken() == {6}
    run = Recording()
    for number in range(9):
        run.request(number, number, volume="v")
    assert run.broken() == {7}


@pytest.mark.parametrize(("status", "planned", "broken"), [(1, False, {0}), (0, False, {0}), (-6, True, {0}), (0, True, set())])  # fmt: skip
def test_a_process_that_ends_by_itself_is_found(status, planned, broken):
    assert Recording().ended(S, status, planned).broken() == broken


@pytest.mark.parametrize(("held_mib", "broken"), [(32, False), (33, True)])
def test_a_process_that_passes_its_memory_limit_is_found(held_mib, broken):
    recording = Recording(memory_bytes=32 << 20)
    recording.add(rec.MemorySampled, 5 * S, head="n", held_bytes=held_mib << 20)
    assert [breach.rule for breach in platform.check(recording.records)] == [0] * broken


@pytest.mark.parametrize(("first", "again", "broken"), [(True, False, 0), (True, True, 1), (False, True, 0)])
def test_an_id_that_is_sent_again_after_its_client_had_left_is_found(first, again, broken):
    recording = Recording().sent(1, 0, wait_us=3 * S)
    if first:
        recording.attempt(1, 5 * MS)
    recording.answered(1, 20 * MS, status=0, how="left")
    recording.add(rec.RequestReturned, 300 * MS, trace="1", status=200)
    if again:
        recording.attempt(1, 320 * MS)
    assert [breach.rule for breach in platform.check(recording.records)] == [2] * broken


def test_requests_of_hostile_clients_are_not_judged():
    recording = Recording(first_hostile_id="f" * 16).attempt("f" * 16, 1 * S)
    assert platform.check(recording.records) == []
    assert platform.check(Recording().attempt("f" * 16, 1 * S).records)


def test_recordings_are_written_and_read(tmp_path):
    records = Recording().request(1, 0).records
    write_records(tmp_path / "one", records)
    assert rec.read(tmp_path / "one") == records
    (tmp_path / "one").write_text('{"what":"unknown"}\n')
    with pytest.raises(RecordingError, match="one:1"):
        rec.read(tmp_path / "one")
