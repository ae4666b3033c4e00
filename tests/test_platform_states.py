"""The state machines of the platform's head: the watch, connections on both sides, graceful shutdown."""

import pytest
from hypothesis import given, strategies as st

from harriertrack.decisions.client_connections import (
    FIRST_BYTE_US,
    IDLE_US,
    LINGER_US,
    NEW_US,
    PARTIAL_REQUEST_US,
    READ_US,
    ClientConnections,
    ClientState,
)
from harriertrack.decisions.graceful_shutdown import GracefulShutdown, Phase
from harriertrack.decisions.lifecycle import IllegalTransition
from harriertrack.decisions.discovery_watch import DiscoveryWatch, UpdateOutcome
from harriertrack.decisions.connection_pool import REUSE_DELAY_US, ConnectionPool, ConnectionState
from harriertrack.protocol.platform import MAX_HEAD_BYTES
from harriertrack.protocol.platform.request_parser import BadRequest, RequestParser, RequestSchema
from harriertrack.protocol.platform.exchange import Exchange

S = 1_000_000


def test_the_first_answer_is_applied_even_without_changes_and_the_next_call_waits():
    watching = DiscoveryWatch(10 * S, 41)
    with pytest.raises(IllegalTransition):
        watching.next_call()
    assert watching.subscribe(True) and not watching.subscribe(True)
    assert (watching.next_call().since, watching.next_call().wait_us) == (41, 0)
    assert watching.handle_answer(41, False, 0) is UpdateOutcome.APPLY
    assert watching.next_call().wait_us == 2.5 * S
    assert watching.handle_answer(41, False, 0) is UpdateOutcome.SKIP
    assert watching.handle_answer(43, False, 1) is UpdateOutcome.APPLY and watching.next_call().since == 43


def test_an_older_answer_fails_the_call_and_the_next_one_accepts_a_full_list_of_any_version():
    watching = DiscoveryWatch(10 * S, 41)
    watching.subscribe(True)
    assert watching.handle_answer(40, False, 3) is UpdateOutcome.STALE
    watching.subscribe(True)
    assert watching.next_call().since is None
    assert watching.handle_answer(42, False, 1) is UpdateOutcome.STALE  # the full list was requested
    watching.subscribe(True)
    assert watching.handle_answer(3, True, 9) is UpdateOutcome.APPLY and watching.version == 3


def test_a_hanging_call_times_out_well_before_changes_count_as_announced():
    watching = DiscoveryWatch(10 * S, 41)
    watching.subscribe(True)
    watching.handle_answer(41, False, 0)
    assert watching.next_call().timeout_us < 5 * S


def test_a_moved_source_is_called_at_once_only_if_the_list_is_followed():
    watching = DiscoveryWatch(10 * S, 41)
    assert not watching.restart(0)
    watching.subscribe(True)
    watching.handle_answer(41, False, 0)
    assert watching.restart(0) and watching.next_call().wait_us == 0
    watching.handle_failure(0, 0)
    # The wait of the module was for the old source.
    assert watching.restart(0) and watching.next_call().wait_us == 0
    assert not watching.subscribe(True)  # the call that it requests then is in progress
    watching.subscribe(False)
    assert not watching.restart(0)


def finish_request(clients, name, now):
    """Send the answer to a connection's request."""
    clients.start_sending(name, now, now)
    clients.transition(name, ClientState.IDLE, now)


def test_newcomers_replace_silent_connections_then_the_longest_idle_then_half_requests():
    clients = ClientConnections(3, 9)
    for name in "abc":
        assert clients.accept(name, 0) is None
    assert clients.accept("d", 1) == "d"  # none may be closed yet
    for name in "ba":
        clients.transition(name, ClientState.BUSY, 2)
        finish_request(clients, name, 3)
    assert clients.accept("e", 4) == "b" and clients.state("b") is None  # however briefly it has idled
    assert clients.accept("f", FIRST_BYTE_US) == "c"
    clients.transition("e", ClientState.READING, FIRST_BYTE_US)
    clients.transition("f", ClientState.READING, FIRST_BYTE_US)
    assert clients.accept("g", FIRST_BYTE_US) == "a"
    clients.transition("g", ClientState.BUSY, FIRST_BYTE_US)
    assert (
        clients.accept("h", FIRST_BYTE_US + PARTIAL_REQUEST_US - 1) == "h"
        and clients.accept("h", FIRST_BYTE_US + PARTIAL_REQUEST_US) == "e"
    )


def test_idle_connections_make_room_for_new_ones_at_the_limit_of_used_ones():
    clients = ClientConnections(100, 3)
    for name in "abc":
        clients.accept(name, 0)
        clients.transition(name, ClientState.BUSY, 1)
    assert clients.accept("d", 2) is None  # all have an open request
    finish_request(clients, "b", 3)
    assert clients.accept("e", 4) == "b" and len(clients) == 4


def test_reading_and_idle_connections_expire_busy_ones_never():
    clients = ClientConnections(9, 9)
    for name in "abcd":
        clients.accept(name, 0)
    clients.transition("b", ClientState.BUSY, 1)
    clients.transition("c", ClientState.BUSY, 1)
    finish_request(clients, "c", 2)
    clients.transition("d", ClientState.READING, NEW_US - 1)
    assert clients.expired(NEW_US - 1) == [] and clients.expired(NEW_US) == ["a"]
    assert clients.expired(NEW_US - 1 + READ_US) == ["a", "d"] and NEW_US + READ_US < 3 * S
    assert clients.expired(2 + IDLE_US) == ["a", "d", "c"] and len(clients) == 4
    for state in (ClientState.READING, ClientState.IDLE, ClientState.LINGERING):
        with pytest.raises(IllegalTransition):
            clients.transition("b", state, 3)


def test_a_sending_connection_keeps_its_slot_until_its_deadline_and_a_lingering_one_has_none():
    clients = ClientConnections(2, 9)
    for name in "ab":
        clients.accept(name, 0)
        clients.transition(name, ClientState.BUSY, 0)
        clients.start_sending(name, 9 * S, 0)
    assert clients.accept("c", 8 * S) == "c" and clients.expired(9 * S - 1) == []  # both are still sending
    clients.transition("b", ClientState.LINGERING, 8 * S)
    assert clients.expired(9 * S) == ["a", "b"] and clients.expired(8 * S + LINGER_US) == ["b"]
    assert clients.accept("d", 8 * S) == "b" and clients.expired(9 * S) == ["a", "d"]


def test_a_connection_with_unread_data_is_not_closed_for_a_newcomer():
    clients = ClientConnections(2, 9)
    for name in "ab":
        clients.accept(name, 0)
        clients.transition(name, ClientState.BUSY, 0)
        finish_request(clients, name, 0)
    assert clients.accept("c", 1, lambda name: name == "b") == "b"
    assert clients.accept("d", 2, lambda name: False) == "d"


@given(st.lists(st.tuples(st.sampled_from(["dial", "idle", "busy", "gone"]), st.integers(0, 5)), max_size=60))
def test_connections_to_nodes_never_exceed_their_limit(steps):
    pool, now, serial = ConnectionPool(4, 30 * S), 0, 0
    live = []
    for step, which in steps:
        now += REUSE_DELAY_US
        if step == "dial" and pool.has_capacity:
            serial += 1
            victim = pool.add_dialing(serial, f"s{which % 2}")
            assert victim is None or pool.state(victim) is None
            live = [connection for connection in live if connection != victim] + [serial]
        elif step == "dial":
            with pytest.raises(IllegalTransition):
                pool.add_dialing(serial + 1, "s0")
        elif live:
            connection = live[which % len(live)]
            state = pool.state(connection)
            if step == "gone":
                pool.remove(connection)
                live.remove(connection)
            elif step == "idle" and state is not ConnectionState.IDLE:
                pool.transition(connection, ConnectionState.IDLE, now)
            elif step == "busy" and state is not ConnectionState.BUSY:
                pool.transition(connection, ConnectionState.BUSY, now)
        assert len(pool) == len(live) <= 4
        for node in ("s0", "s1"):
            picked = pool.pick(node, now + REUSE_DELAY_US)
            assert picked is None or pool.state(picked) is ConnectionState.IDLE


def serve_request(pool, connection, now):
    """Carry a request and its answer over a new connection to node s."""
    pool.add_dialing(connection, "s")
    pool.transition(connection, ConnectionState.BUSY, now)
    pool.transition(connection, ConnectionState.IDLE, now)


def test_an_unused_new_connection_is_usable_at_once():
    pool = ConnectionPool(9, 30 * S)
    pool.add_dialing("a", "s")
    pool.transition("a", ConnectionState.IDLE, 10)
    assert pool.pick("s", 10) == "a"


def test_the_most_recently_used_connection_is_picked_after_the_reuse_delay():
    pool = ConnectionPool(9, 30 * S)
    for connection in "ab":
        serve_request(pool, connection, 10)
    assert pool.pick("s", 10 + REUSE_DELAY_US - 1) is None
    assert pool.pick("s", 10 + REUSE_DELAY_US) == "b" and pool.pick("t", 10 + REUSE_DELAY_US) is None
    assert pool.pick("s", 10 + 20 * S) is None and pool.expired(10 + 20 * S) == ["a", "b"]


def test_the_reuse_delay_is_shorter_if_connections_are_kept_for_a_short_time():
    pool = ConnectionPool(9, REUSE_DELAY_US)
    serve_request(pool, "a", 10)
    assert pool.pick("s", 10 + REUSE_DELAY_US // 3) == "a" and pool.pick("s", 10 + REUSE_DELAY_US) is None


def test_a_shutdown_goes_through_its_phases_in_time():
    leaving = GracefulShutdown(6 * S)
    assert leaving.advance(0, 3) is Phase.SERVING and leaving.begin(S) and not leaving.begin(2 * S)
    assert leaving.advance(2 * S, 0) is Phase.LAME_DUCK and not leaving.is_draining
    assert leaving.advance(S + 3_300_000, 1) is Phase.DRAINING and leaving.is_draining
    assert leaving.advance(S + 3_449_999, 1) is Phase.DRAINING
    assert leaving.advance(S + 3_450_000, 1) is Phase.CLOSING  # all requests are answered now
    assert leaving.advance(S + 3_649_999, 0) is Phase.CLOSING
    assert leaving.advance(S + 3_650_000, 1) is Phase.ENDED  # the kill comes at 3.7 s
    quick = GracefulShutdown(6 * S)
    quick.begin(0)
    # Connections waiting at the listener are not counted yet.
    assert quick.advance(3_300_000, 0) is Phase.DRAINING
    assert quick.advance(3_300_000, 0) is Phase.ENDED


@pytest.mark.parametrize("longest", [300_000, 1_200_000, 3 * S, 6 * S])
def test_the_final_answers_have_time_to_leave_before_the_kill(longest):
    leaving, kill = GracefulShutdown(longest), min(longest, 3 * S) + 700_000
    leaving.begin(0)
    phases = {at: leaving.advance(at, 1) for at in range(0, kill, 10_000)}
    assert min(at for at in phases if phases[at] is Phase.DRAINING) == kill - 400_000
    assert min(at for at in phases if phases[at] is Phase.CLOSING) == kill - 250_000
    assert min(at for at in phases if phases[at] is Phase.ENDED) == kill - 50_000


@pytest.mark.parametrize("longest", [150_000, 1_200_000, 6 * S])
@pytest.mark.parametrize("pause_begins", range(-450_000, 0, 5_000))
def test_a_pause_anywhere_before_the_kill_leaves_the_final_answers_their_time(longest, pause_begins):
    """Guards against answers that are due so late that a paused process is killed before it gives them."""
    leaving, kill = GracefulShutdown(longest), min(longest, 3 * S) + 700_000
    leaving.begin(0)
    now, paused_until = 0, kill + pause_begins + 150_000
    while leaving.advance(now, 1) not in (Phase.CLOSING, Phase.ENDED):
        due = leaving.next_check_at(now)
        assert now < due <= now + 20_000
        now = max(due, paused_until) if due >= kill + pause_begins else due
    assert now <= kill - 100_000


def test_data_after_an_invalid_request_is_not_parsed():
    """The parser stops at the first error, which limits the cost of a flood."""
    headers = 0

    class CountingParser(RequestParser):
        def on_header(self, name, value):
            nonlocal headers
            headers += 1
            super().on_header(name, value)

    for flood in (b"GET / HTTP/1.1\r\nA: b\r\n\r\n" * 5000, b"GET / HTTP/1.1\r\n" + b"A: b\r\n" * 50_000):
        headers = 0
        with pytest.raises(BadRequest):
            CountingParser(RequestSchema({}, frozenset(), 1, 1, 1)).receive(flood)
        assert headers <= MAX_HEAD_BYTES // 2


def test_data_after_a_complete_answer_is_not_parsed():
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
    answer_read = Exchange(b"GET", b"/", [], 0, 100).receive(answer + b"a" + answer * 5000)
    assert answer_read is not None and (answer_read.body, answer_read.reusable) == (b"a", False)
