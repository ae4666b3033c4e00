"""The life of a link: what is sent when, and what its end proves, over all short orders of events."""

from dataclasses import dataclass

import pytest
from hypothesis import given, strategies as st

from harriertrack.decisions.interface import Result
from harriertrack.decisions.lifecycle import IllegalTransition
from harriertrack.decisions.link_lifecycle import LinkLifecycle, LinkState


@dataclass(eq=False)
class Tried:
    sent_at: int
    reported: bool = False

    @property
    def answer_needed(self):
        return not self.reported


def attempt(sent_at=0):
    return Tried(sent_at)


def test_attempts_wait_for_the_handshake_and_then_go_in_order():
    life, one, two = LinkLifecycle(8), attempt(), attempt()
    assert not life.add_attempt(1, one) and not life.add_attempt(2, two)
    assert life.complete_handshake() == [(1, one), (2, two)]
    assert life.add_attempt(3, attempt()) and life.busy
    with pytest.raises(IllegalTransition):
        life.complete_handshake()


def test_a_link_that_never_opened_proves_that_nothing_ran():
    life, one = LinkLifecycle(8), attempt()
    life.add_attempt(1, one)
    assert life.close() == [(one, Result.CONNECT_FAILED)] and life.close() == []
    with pytest.raises(IllegalTransition):
        life.add_attempt(2, attempt())


def test_an_open_link_that_breaks_proves_nothing():
    life, one = LinkLifecycle(8), attempt()
    life.complete_handshake()
    life.add_attempt(1, one)
    assert life.close() == [(one, Result.RESET)]


def test_calling_off_a_waiting_attempt_tells_nobody():
    life = LinkLifecycle(8)
    life.add_attempt(1, attempt())
    assert not life.call_off(1) and not life.retired and life.complete_handshake() == []


def test_a_mute_link_is_replaced_and_closed_once_nobody_waits():
    life, first, second = LinkLifecycle(8), attempt(100), attempt(100)
    life.complete_handshake()
    life.add_attempt(1, first)
    life.add_attempt(2, second)
    life.note_received(50)
    first.reported = True
    assert life.call_off(1) and life.retired and not life.can_close
    assert life.match_reply(2) is second and life.can_close


def test_a_link_that_was_heard_stays_until_too_many_are_called_off():
    life = LinkLifecycle(2)
    life.complete_handshake()
    life.note_received(1000)
    for cookie in range(4):
        life.add_attempt(cookie, attempt(10))
    assert life.call_off(0) and life.call_off(1) and not life.retired
    assert life.call_off(2) and life.retired


EVENTS = st.lists(
    st.tuples(st.sampled_from(["offer", "open", "call off", "answer", "hear"]), st.integers(0, 4))
)


@given(EVENTS)
def test_each_attempt_ends_in_exactly_one_way(events):
    """Whatever the order: answered, called off while waiting, or named at the close; never two of them."""
    life, ended, known = LinkLifecycle(2), [], {}
    for now, (event, cookie) in enumerate(events, start=1):
        match event:
            case "offer" if cookie not in known:
                known[cookie] = attempt(now)
                assert life.add_attempt(cookie, known[cookie]) is (life.state is LinkState.OPEN)
            case "open" if life.state is LinkState.DIALING:
                waiting = {known[one] for one in known if known[one] not in ended}
                assert {one for _, one in life.complete_handshake()} == waiting
            case "call off" if cookie in known and not known[cookie].reported:
                waits = life.state is LinkState.DIALING
                assert life.call_off(cookie) is (not waits and known[cookie] not in ended)
                known[cookie].reported = True
                if waits:
                    ended.append(known[cookie])
            case "answer" if life.open and cookie in known and known[cookie] not in ended:
                ended.append(life.match_reply(cookie))
            case "hear":
                life.note_received(now)
    ended.extend(one for one, _ in life.close())
    assert sorted(map(id, ended)) == sorted(map(id, known.values()))
    assert not life.busy
