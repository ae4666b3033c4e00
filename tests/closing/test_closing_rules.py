"""The checker of rule 10 finds each kind of breach, and none in a compliant day."""

import pytest

from harriertrack.rules import closing, recording as rec

S = 1_000_000
SIZE = 128 << 10
BOUND = S // 2
AT = 10 * S
FACTS = rec.Facts(
    classes=[], unit_bytes=4096, extent_bytes=SIZE, answer_slack_us=0, flight_us=0, drain_grace_us=0
)
DUE = rec.CloseDue(t=S, calendar="calendar/x", at=AT, bound_us=BOUND, volumes=["v"], end=8 * SIZE)


def client_write(t, value, is_write=True, outcome="served", offset=0, took=10_000):
    return rec.BlockOperation(t=t, ended=t + took, client="c", head="h0", volume="v", offset=offset, is_write=is_write,
                    outcome=outcome, value=value)  # fmt: skip


def client_read(t, value, **more):
    return client_write(t, value, is_write=False, **more)


_NUMBER = iter(range(1, 10**9))


def attempt(t, kind, length=4096, offset=0, sent=True):
    key = next(_NUMBER)
    one = [rec.AttemptSent(t=t, head=1, key=key, attempt=0, node="n0")] if sent else []
    return [
        *one,
        rec.AttemptReceived(
            t=t + 100,
            node="n0",
            shard=0,
            head=1,
            key=key,
            attempt=0,
            volume="v",
            kind=kind,
            offset=offset,
            length=length,
        ),
        rec.AttemptExecuted(t=t + 200, node="n0", head=1, key=key, attempt=0),
    ]


def close_done(t=AT + 100_000, number=1, at=AT, head="h0"):
    return rec.CloseDone(t=t, head=head, calendar="calendar/x", number=number, at=at)


STARTED = [rec.MemberLifecycle(t=0, member=head, how="started") for head in ("h0", "h1")]
CLOSED = [close_done(head="h0"), close_done(head="h1")]


def findings(*records):
    flat = [one for record in records for one in (record if isinstance(record, list) else [record])]
    return [breach.why for breach in closing.check([FACTS, DUE, *flat])]


def test_compliant_day():
    assert findings(
        STARTED, CLOSED, client_write(5 * S, 1), client_read(6 * S, 1), client_read(AT, 0, outcome="refused"), client_read(AT + S, 0), client_write(11 * S, 2),
        client_read(12 * S, 2), attempt(5 * S, "write"), attempt(AT + S, "trim", SIZE), attempt(AT + 2 * S, "write"), attempt(AT + 3 * S, "read"),
    ) == []  # fmt: skip


def test_old_byte_is_a_breach_only_after_the_bound():
    assert findings(STARTED, CLOSED, client_write(5 * S, 1), client_read(AT + BOUND - 20_000, 1)) == []
    (why,) = findings(STARTED, CLOSED, client_write(5 * S, 1), client_read(AT + BOUND, 1))
    assert "read 1" in why


def test_lost_new_byte_is_a_breach():
    (why,) = findings(
        STARTED,
        CLOSED,
        client_write(5 * S, 1),
        client_read(AT + S, 0),
        client_write(11 * S, 2),
        client_read(12 * S, 0),
    )
    assert "read 0" in why
    (why,) = findings(
        STARTED, CLOSED, client_write(5 * S, 1, offset=9 * SIZE), client_read(AT + S, 0, offset=9 * SIZE)
    )
    assert "may be [1]" in why, "outside the range nothing is purged"


@pytest.mark.parametrize("seen", [0, 2])
def test_write_across_the_close_counts_as_before_or_after_consistently(seen):
    across = client_write(AT - 50_000, 2, took=100_000)
    assert findings(STARTED, CLOSED, across, client_read(AT + S, seen), client_read(AT + 2 * S, seen)) == []
    assert (
        len(findings(STARTED, CLOSED, across, client_read(AT + S, seen), client_read(AT + 2 * S, 2 - seen)))
        == 1
    )


def test_write_of_unknown_outcome_must_not_reappear_after_the_close():
    lost = client_write(5 * S, 7, outcome="lost")
    assert (
        findings(STARTED, CLOSED, lost, client_read(6 * S, 7))
        == []
        == findings(STARTED, CLOSED, lost, client_read(AT + S, 0))
    )
    assert len(findings(STARTED, CLOSED, lost, client_read(AT + S, 7))) == 1
    assert findings(STARTED, CLOSED, client_write(5 * S, 7, outcome="refused"), client_read(6 * S, 0)) == []


@pytest.mark.parametrize(
    ("records", "finding"),
    [
        ([close_done(head="h0"), close_done(head="h1", at=AT + S)], "elsewhere"),
        ([*CLOSED, close_done(t=AT + S, head="h1")], "after 1"),
        ([close_done(head="h0"), close_done(head="h1", number=2)], "after 0"),
        ([close_done(head="h0"), close_done(t=AT - 100_000, head="h1")], "early"),
        ([close_done(head="h0")], "not done at h1"),
        ([], "0 generations"),
        (
            [
                *CLOSED,
                close_done(t=AT + S, number=2, at=AT + S),
                close_done(t=AT + S, number=2, at=AT + S, head="h1"),
            ],
            "nobody asked",
        ),
    ],
)
def test_each_close_is_one_generation_everywhere(records, finding):
    assert any(finding in why for why in findings(STARTED, records, rec.ClientLeft(t=20 * S, client="c")))


def test_killed_head_needs_no_close():
    assert (
        findings(STARTED, close_done(head="h0"), rec.MemberLifecycle(t=AT - S, member="h1", how="killed"))
        == []
    )


@pytest.mark.parametrize(
    ("records", "finding"),
    [
        ([attempt(5 * S, "write")], "never trimmed"),
        ([attempt(5 * S, "write"), attempt(AT + S, "read"), attempt(AT + 2 * S, "trim", SIZE)], "read where"),
        (
            [attempt(5 * S, "write"), attempt(AT + S, "write"), attempt(AT + 2 * S, "trim", SIZE)],
            "write where",
        ),
        ([attempt(AT + S, "write"), attempt(AT + 2 * S, "trim", SIZE)], "trimmed over"),
        ([attempt(5 * S, "write"), attempt(AT + S, "trim", SIZE // 2)], "never trimmed"),
    ],
)
def test_nodes_are_trimmed_before_they_are_used_again(records, finding):
    assert any(finding in why for why in findings(STARTED, CLOSED, *records))


def test_write_sent_before_the_close_and_received_late_is_not_a_new_write():
    late = attempt(AT + S, "write", sent=False)  # the time at which its head sent it is unknown
    assert findings(STARTED, CLOSED, late, attempt(AT + 2 * S, "trim", SIZE)) == []
