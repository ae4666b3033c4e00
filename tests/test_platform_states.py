"""The choices of the platform's head as pure objects: the watch, connections on both sides, how it leaves."""

import pytest
from hypothesis import given, strategies as st

from harriertrack.decisions.client_connections import (
    PARTIAL_REQUEST_US,
    IDLE_US,
    LINGER_US,
    NEW_US,
    READ_US,
    FIRST_BYTE_US,
    ClientConnections,
    ClientState,
)
from harriertrack.decisions.graceful_shutdown import GracefulShutdown, Phase
from harriertrack.decisions.lifecycle import IllegalTransition
from harriertrack.decisions.discovery_watch import DiscoveryWatch, UpdateOutcome
from harriertrack.decisions.connection_pool import REUSE_DELAY_US, ConnectionPool, ConnectionState
from harriertrack.protocol.platform import MOST_HEAD
from harriertrack.protocol.platform.asked import BadRequest, RequestParser, Forms
from harriertrack.protocol.platform.exchange import Exchange

S = 1_000_000


def test_the_first_answer_is_news_though_nothing_changed_and_the_next_call_waits():
    watching = DiscoveryWatch(10 * S, 41)
    with pytest.raises(IllegalTransition):
        watching.next_call()
    assert watching.subscribe(True) and not watching.subscribe(True)
    assert (watching.next_call().since, watching.next_call().wait_us) == (41, 0)
    assert watching.handle_answer(41, False, 0) is UpdateOutcome.APPLY
    assert watching.next_call().wait_us == 2.5 * S
    assert watching.handle_answer(41, False, 0) is UpdateOutcome.SKIP
    assert watching.handle_answer(43, False, 1) is UpdateOutcome.APPLY and watching.next_call().since == 43


def test_an_older_answer_fails_the_call_and_the_next_one_takes_a_whole_list_of_any_version():
    watching = DiscoveryWatch(10 * S, 41)
    watching.subscribe(True)
    assert watching.handle_answer(40, False, 3) is UpdateOutcome.STALE
    watching.subscribe(True)
    assert watching.next_call().since is None
    assert watching.handle_answer(42, False, 1) is UpdateOutcome.STALE  # it asked for the whole list
    watching.subscribe(True)
    assert watching.handle_answer(3, True, 9) is UpdateOutcome.APPLY and watching.version == 3


def test_a_hanging_call_is_given_up_well_before_a_silent_head_counts_as_told():
    watching = DiscoveryWatch(10 * S, 41)
    watching.subscribe(True)
    watching.handle_answer(41, False, 0)
    assert watching.next_call().timeout_us < 5 * S


def test_a_moved_source_is_asked_at_once_only_where_somebody_follows():
    watching = DiscoveryWatch(10 * S, 41)
    assert not watching.restart(0)
    watching.subscribe(True)
    watching.handle_answer(41, False, 0)
    assert watching.restart(0) and watching.next_call().wait_us == 0
    watching.handle_failure(0, 0)
    assert (
        watching.restart(0) and watching.next_call().wait_us == 0
    )  # the module's wait was for the old source
    assert not watching.subscribe(True)  # what it asks for then is under way
    watching.subscribe(False)
    assert not watching.restart(0)


def idles(callers, name, now):
    """The answer to a connection's request has left."""
    callers.start_sending(name, now, now)
    callers.transition(name, ClientState.IDLE, now)


def test_places_go_to_newcomers_from_the_silent_then_the_longest_idle_then_half_requests():
    callers = ClientConnections(3, 9)
    for name in "abc":
        assert callers.accept(name, 0) is None
    assert callers.accept("d", 1) == "d"  # nobody may be closed yet
    for name in "ba":
        callers.transition(name, ClientState.BUSY, 2)
        idles(callers, name, 3)
    assert callers.accept("e", 4) == "b" and callers.state("b") is None  # however short it has idled
    assert callers.accept("f", FIRST_BYTE_US) == "c"
    callers.transition("e", ClientState.READING, FIRST_BYTE_US)
    callers.transition("f", ClientState.READING, FIRST_BYTE_US)
    assert callers.accept("g", FIRST_BYTE_US) == "a"
    callers.transition("g", ClientState.BUSY, FIRST_BYTE_US)
    assert (
        callers.accept("h", FIRST_BYTE_US + PARTIAL_REQUEST_US - 1) == "h"
        and callers.accept("h", FIRST_BYTE_US + PARTIAL_REQUEST_US) == "e"
    )


def test_those_that_ask_once_and_stay_leave_room_for_who_asks_next():
    callers = ClientConnections(100, 3)
    for name in "abc":
        callers.accept(name, 0)
        callers.transition(name, ClientState.BUSY, 1)
    assert callers.accept("d", 2) is None  # all are open
    idles(callers, "b", 3)
    assert callers.accept("e", 4) == "b" and len(callers) == 4


def test_what_reads_or_idles_too_long_is_overdue_what_is_busy_never():
    callers = ClientConnections(9, 9)
    for name in "abcd":
        callers.accept(name, 0)
    callers.transition("b", ClientState.BUSY, 1)
    callers.transition("c", ClientState.BUSY, 1)
    idles(callers, "c", 2)
    callers.transition("d", ClientState.READING, NEW_US - 1)
    assert callers.expired(NEW_US - 1) == [] and callers.expired(NEW_US) == ["a"]
    assert callers.expired(NEW_US - 1 + READ_US) == ["a", "d"] and NEW_US + READ_US < 3 * S
    assert callers.expired(2 + IDLE_US) == ["a", "d", "c"] and len(callers) == 4
    for state in (ClientState.READING, ClientState.IDLE, ClientState.LINGERING):
        with pytest.raises(IllegalTransition):
            callers.transition("b", state, 3)


def test_an_answer_on_its_way_holds_its_place_while_it_is_worth_something_and_what_lingers_holds_none():
    callers = ClientConnections(2, 9)
    for name in "ab":
        callers.accept(name, 0)
        callers.transition(name, ClientState.BUSY, 0)
        callers.start_sending(name, 9 * S, 0)
    assert callers.accept("c", 8 * S) == "c" and callers.expired(9 * S - 1) == []  # both are sent still
    callers.transition("b", ClientState.LINGERING, 8 * S)
    assert callers.expired(9 * S) == ["a", "b"] and callers.expired(8 * S + LINGER_US) == ["b"]
    assert callers.accept("d", 8 * S) == "b" and callers.expired(9 * S) == ["a", "d"]


def test_a_connection_over_which_something_has_come_is_not_closed_for_a_newcomer():
    callers = ClientConnections(2, 9)
    for name in "ab":
        callers.accept(name, 0)
        callers.transition(name, ClientState.BUSY, 0)
        idles(callers, name, 0)
    assert callers.accept("c", 1, lambda name: name == "b") == "b"
    assert callers.accept("d", 2, lambda name: False) == "d"


@given(st.lists(st.tuples(st.sampled_from(["dial", "idle", "busy", "gone"]), st.integers(0, 5)), max_size=60))
def test_there_are_never_more_connections_to_shelfs_than_there_may_be(steps):
    ways, now, serial = ConnectionPool(4, 30 * S), 0, 0
    live = []
    for step, which in steps:
        now += REUSE_DELAY_US
        if step == "dial" and ways.has_capacity:
            serial += 1
            victim = ways.add_dialing(serial, f"s{which % 2}")
            assert victim is None or ways.state(victim) is None
            live = [way for way in live if way != victim] + [serial]
        elif step == "dial":
            with pytest.raises(IllegalTransition):
                ways.add_dialing(serial + 1, "s0")
        elif live:
            way = live[which % len(live)]
            state = ways.state(way)
            if step == "gone":
                ways.remove(way)
                live.remove(way)
            elif step == "idle" and state is not ConnectionState.IDLE:
                ways.transition(way, ConnectionState.IDLE, now)
            elif step == "busy" and state is not ConnectionState.BUSY:
                ways.transition(way, ConnectionState.BUSY, now)
        assert len(ways) == len(live) <= 4
        for shelf in ("s0", "s1"):
            picked = ways.pick(shelf, now + REUSE_DELAY_US)
            assert picked is None or ways.state(picked) is ConnectionState.IDLE


def answered(pool, connection, now):
    """An answer has just come over a new connection to node s."""
    pool.add_dialing(connection, "s")
    pool.transition(connection, ConnectionState.BUSY, now)
    pool.transition(connection, ConnectionState.IDLE, now)


def test_a_connection_that_came_up_for_nobody_is_used_at_once():
    pool = ConnectionPool(9, 30 * S)
    pool.add_dialing("a", "s")
    pool.transition("a", ConnectionState.IDLE, 10)
    assert pool.pick("s", 10) == "a"


def test_the_latest_idle_connection_is_taken_once_it_has_rested():
    ways = ConnectionPool(9, 30 * S)
    for way in "ab":
        answered(ways, way, 10)
    assert ways.pick("s", 10 + REUSE_DELAY_US - 1) is None
    assert ways.pick("s", 10 + REUSE_DELAY_US) == "b" and ways.pick("t", 10 + REUSE_DELAY_US) is None
    assert ways.pick("s", 10 + 20 * S) is None and ways.expired(10 + 20 * S) == ["a", "b"]


def test_connections_that_are_kept_for_a_short_time_are_used_within_it():
    ways = ConnectionPool(9, REUSE_DELAY_US)
    answered(ways, "a", 10)
    assert ways.pick("s", 10 + REUSE_DELAY_US // 3) == "a" and ways.pick("s", 10 + REUSE_DELAY_US) is None


def test_a_head_leaves_in_order_and_in_time():
    leaving = GracefulShutdown(6 * S)
    assert leaving.advance(0, 3) is Phase.SERVING and leaving.begin(S) and not leaving.begin(2 * S)
    assert leaving.advance(2 * S, 0) is Phase.LAME_DUCK and not leaving.is_draining
    assert leaving.advance(S + 3_400_000, 1) is Phase.DRAINING and leaving.is_draining
    assert leaving.advance(S + 3_549_999, 1) is Phase.DRAINING
    assert leaving.advance(S + 3_550_000, 1) is Phase.CLOSING  # all is answered now
    assert leaving.advance(S + 3_650_000, 1) is Phase.ENDED  # the kill comes at 3.7 s
    quick = GracefulShutdown(6 * S)
    quick.begin(0)
    assert quick.advance(3_400_000, 0) is Phase.DRAINING  # what waits at its listener is not counted yet
    assert quick.advance(3_400_000, 0) is Phase.ENDED


@pytest.mark.parametrize("longest", [300_000, 1_200_000, 3 * S, 6 * S])
def test_the_last_answers_have_time_to_leave_before_the_kill(longest):
    leaving, kill = GracefulShutdown(longest), min(longest, 3 * S) + 700_000
    leaving.begin(0)
    looks = {at: leaving.advance(at, 1) for at in range(0, kill, 10_000)}
    assert min(at for at in looks if looks[at] is Phase.DRAINING) == kill - 400_000
    assert min(at for at in looks if looks[at] is Phase.CLOSING) == kill - 150_000
    assert min(at for at in looks if looks[at] is Phase.ENDED) == kill - 50_000


def test_what_a_client_sends_behind_its_mistake_is_not_parsed():
    """A flood costs no more than its first mistake: the parser stops there."""
    seen = 0

    class Counts(RequestParser):
        def on_header(self, name, value):
            nonlocal seen
            seen += 1
            super().on_header(name, value)

    for flood in (b"GET / HTTP/1.1\r\nA: b\r\n\r\n" * 5000, b"GET / HTTP/1.1\r\n" + b"A: b\r\n" * 50_000):
        seen = 0
        with pytest.raises(BadRequest):
            Counts(Forms({}, frozenset(), 1, 1, 1)).receive(flood)
        assert seen <= MOST_HEAD // 2


def test_what_comes_behind_a_whole_answer_is_not_parsed():
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
    told = Exchange(b"GET", b"/", [], b"", 100).receive(answer + b"a" + answer * 5000)
    assert told is not None and (told.body, told.reusable) == (b"a", False)
