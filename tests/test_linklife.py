"""The life of a link: what is sent when, and what its end proves, over all short orders of events."""

from dataclasses import dataclass

import pytest
from hypothesis import given, strategies as st

from harriertrack.decisions.interface import Result
from harriertrack.decisions.life import IllegalStep
from harriertrack.decisions.linklife import LinkLife, LinkState


@dataclass(eq=False)
class Tried:
    sent_at: int
    told: bool = False

    @property
    def awaited(self):
        return not self.told


def attempt(sent_at=0):
    return Tried(sent_at)


def test_attempts_wait_for_the_handshake_and_then_go_in_order():
    life, one, two = LinkLife(8), attempt(), attempt()
    assert not life.offer(1, one) and not life.offer(2, two)
    assert life.opened() == [(1, one), (2, two)]
    assert life.offer(3, attempt()) and life.busy
    with pytest.raises(IllegalStep):
        life.opened()


def test_a_link_that_never_opened_proves_that_nothing_ran():
    life, one = LinkLife(8), attempt()
    life.offer(1, one)
    assert life.close() == [(one, Result.CONNECT_FAILED)] and life.close() == []
    with pytest.raises(IllegalStep):
        life.offer(2, attempt())


def test_an_open_link_that_breaks_proves_nothing():
    life, one = LinkLife(8), attempt()
    life.opened()
    life.offer(1, one)
    assert life.close() == [(one, Result.RESET)]


def test_calling_off_a_waiting_attempt_tells_nobody():
    life = LinkLife(8)
    life.offer(1, attempt())
    assert not life.call_off(1) and not life.retired and life.opened() == []


def test_a_mute_link_is_replaced_and_closed_once_nobody_waits():
    life, first, second = LinkLife(8), attempt(100), attempt(100)
    life.opened()
    life.offer(1, first)
    life.offer(2, second)
    life.heard(50)
    first.told = True
    assert life.call_off(1) and life.retired and not life.spent
    assert life.answered(2) is second and life.spent


def test_a_link_that_was_heard_stays_until_too_many_are_called_off():
    life = LinkLife(2)
    life.opened()
    life.heard(1000)
    for cookie in range(4):
        life.offer(cookie, attempt(10))
    assert life.call_off(0) and life.call_off(1) and not life.retired
    assert life.call_off(2) and life.retired


EVENTS = st.lists(
    st.tuples(st.sampled_from(["offer", "open", "call off", "answer", "hear"]), st.integers(0, 4))
)


@given(EVENTS)
def test_each_attempt_ends_in_exactly_one_way(events):
    """Whatever the order: answered, called off while waiting, or named at the close; never two of them."""
    life, ended, known = LinkLife(2), [], {}
    for now, (event, cookie) in enumerate(events, start=1):
        match event:
            case "offer" if cookie not in known:
                known[cookie] = attempt(now)
                assert life.offer(cookie, known[cookie]) is (life.state is LinkState.OPEN)
            case "open" if life.state is LinkState.DIALING:
                waiting = {known[one] for one in known if known[one] not in ended}
                assert {one for _, one in life.opened()} == waiting
            case "call off" if cookie in known and not known[cookie].told:
                waits = life.state is LinkState.DIALING
                assert life.call_off(cookie) is (not waits and known[cookie] not in ended)
                known[cookie].told = True
                if waits:
                    ended.append(known[cookie])
            case "answer" if life.open and cookie in known and known[cookie] not in ended:
                ended.append(life.answered(cookie))
            case "hear":
                life.heard(now)
    ended.extend(one for one, _ in life.close())
    assert sorted(map(id, ended)) == sorted(map(id, known.values()))
    assert not life.busy
