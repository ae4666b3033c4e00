"""The lifecycle of a link: what is sent when, and what its end proves, over generated orders of events."""

from dataclasses import dataclass

import pytest
from hypothesis import given, strategies as st

from harriertrack.decisions.interface import Result
from harriertrack.decisions.lifecycle import IllegalTransition
from harriertrack.decisions.link_lifecycle import LinkLifecycle, LinkState


@dataclass(eq=False)
class FakeAttempt:
    sent_at: int
    reported: bool = False
    changes: bool = False

    @property
    def answer_needed(self):
        return not self.reported

    @property
    def is_abandoned_change(self):
        return self.reported and self.changes


def attempt(sent_at=0):
    return FakeAttempt(sent_at)


def test_attempts_wait_for_the_handshake_and_are_sent_in_order():
    link, one, two = LinkLifecycle(8), attempt(), attempt()
    assert not link.add_attempt(1, one) and not link.add_attempt(2, two)
    assert link.complete_handshake() == [(1, one), (2, two)]
    assert link.add_attempt(3, attempt()) and link.busy
    with pytest.raises(IllegalTransition):
        link.complete_handshake()


def test_a_link_that_never_opened_proves_that_nothing_ran():
    link, one = LinkLifecycle(8), attempt()
    link.add_attempt(1, one)
    assert link.close() == [(one, Result.CONNECT_FAILED)] and link.close() == []
    with pytest.raises(IllegalTransition):
        link.add_attempt(2, attempt())


def test_an_open_link_that_breaks_proves_nothing():
    link, one = LinkLifecycle(8), attempt()
    link.complete_handshake()
    link.add_attempt(1, one)
    assert link.close() == [(one, Result.RESET)]


def test_cancelling_a_waiting_attempt_does_not_notify_the_node():
    link = LinkLifecycle(8)
    link.add_attempt(1, attempt())
    assert not link.call_off(1) and not link.retired and link.complete_handshake() == []


def test_an_unresponsive_link_is_replaced_and_closed_when_no_answer_is_needed():
    link, first, second = LinkLifecycle(8), attempt(100), attempt(100)
    link.complete_handshake()
    link.add_attempt(1, first)
    link.add_attempt(2, second)
    link.note_received(50)
    first.reported = True
    assert link.call_off(1) and link.retired and not link.can_close
    assert link.match_reply(2) is second and link.can_close


def test_a_replaced_link_that_may_deliver_an_abandoned_change_is_closed_whatever_else_is_open():
    """Guards against a change that was answered as failed and runs behind a later one."""
    link, read, write = LinkLifecycle(8), attempt(100), FakeAttempt(100, changes=True)
    link.complete_handshake()
    link.add_attempt(1, write)
    link.add_attempt(2, read)
    write.reported = True
    assert not link.can_close  # not replaced: a later change goes the same way, behind this one
    assert link.call_off(1) and link.retired and link.can_close


def test_a_responsive_link_stays_until_too_many_attempts_are_cancelled():
    link = LinkLifecycle(2)
    link.complete_handshake()
    link.note_received(1000)
    for cookie in range(4):
        link.add_attempt(cookie, attempt(10))
    assert link.call_off(0) and link.call_off(1) and not link.retired
    assert link.call_off(2) and link.retired


EVENTS = st.lists(
    st.tuples(st.sampled_from(["offer", "open", "call off", "answer", "receive"]), st.integers(0, 4))
)


@given(EVENTS)
def test_each_attempt_ends_in_exactly_one_way(events):
    """Each attempt is answered, cancelled while waiting, or returned by close(): exactly one of these."""
    link, ended, known = LinkLifecycle(2), [], {}
    for now, (event, cookie) in enumerate(events, start=1):
        match event:
            case "offer" if cookie not in known:
                known[cookie] = attempt(now)
                assert link.add_attempt(cookie, known[cookie]) is (link.state is LinkState.OPEN)
            case "open" if link.state is LinkState.DIALING:
                waiting = {known[one] for one in known if known[one] not in ended}
                assert {one for _, one in link.complete_handshake()} == waiting
            case "call off" if cookie in known and not known[cookie].reported:
                waits = link.state is LinkState.DIALING
                assert link.call_off(cookie) is (not waits and known[cookie] not in ended)
                known[cookie].reported = True
                if waits:
                    ended.append(known[cookie])
            case "answer" if link.open and cookie in known and known[cookie] not in ended:
                ended.append(link.match_reply(cookie))
            case "receive":
                link.note_received(now)
    ended.extend(one for one, _ in link.close())
    assert sorted(map(id, ended)) == sorted(map(id, known.values()))
    assert not link.busy
