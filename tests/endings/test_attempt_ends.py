"""Starts and ends of attempts, forced at each instant over loopback sockets."""

import copy

import pytest

from harriertrack.decisions import interface as api
from harriertrack.decisions.connection_pool import REUSE_DELAY_US
from harriertrack.standin.platform import NEVER_RAN, answer
from tests.endings.loopback import SMALL, LoopbackSite, RawClient, RawNode, request_with_lost_answer
from tests.test_platform import MS, SETTINGS, VOLUME, Site

ENDS = pytest.mark.parametrize("end", [RawClient.close, RawClient.reset, RawClient.half_close])
S = 1_000 * MS
LARGE = "x" * 65_536  # a body larger than the small socket buffers
GRACE_US = 200 * MS  # shorter than the dial timeout and than the latency target


def assert_connection_is_reused(site):
    """Send another request; it has to be the node's first, over its only connection."""
    site.hub.sleep(REUSE_DELAY_US)
    client = RawClient(site)
    client.send(site.request(trace="00000000000000ff"))
    assert client.until_answered()[0] == 200
    assert [got.fields["x-trace-id"] for got in site.shelfs[1].requests] == ["00000000000000ff"]
    assert site.shelfs[1].connections == 1
    assert site.head.module.results() == [api.Result.MOOT, api.Result.OK]


@ENDS
def test_no_attempt_begins_if_the_client_disconnects_during_the_connect(tmp_path, end):
    def act(site):
        site.hold_dials()
        client = RawClient(site)
        client.send(site.request())
        site.until(lambda: site.net.waiting)
        end(client)
        site.net.up.set()
        site.until(lambda: site.head.core.counts.clients_left)
        assert_connection_is_reused(site)

    LoopbackSite(tmp_path).run(act)


@ENDS
def test_no_attempt_begins_if_the_client_disconnected_since_the_last_poll_of_a_busy_head(tmp_path, end):
    """The client disconnects in the round in which the connect completes, after that round's poll, 40 ms late."""

    def act(site):
        site.hold_dials()
        client = RawClient(site)
        client.send(site.request())
        site.until(lambda: site.net.waiting)
        site.scope.spawn("end", end, client)
        site.leap_first(40 * MS)
        site.net.up.set()
        site.until(lambda: site.head.core.counts.clients_left)
        assert_connection_is_reused(site)

    LoopbackSite(tmp_path).run(act)


def test_no_attempt_begins_past_its_deadline_though_the_connect_completes_in_the_same_round(tmp_path):
    def act(site):
        site.hold_dials()
        client = RawClient(site)
        client.send(site.request())
        site.until(lambda: site.net.waiting)
        site.leap_first(481 * MS)
        site.net.up.set()
        assert client.until_answered()[0] == 503
        assert_connection_is_reused(site)

    LoopbackSite(tmp_path).run(act)


def send_to_blocked_node(site, buffered=SMALL):
    """Send a request that its node does not read; the head's system buffers `buffered` bytes of it (0: all).

    Return (client, the node's end of the connection).
    """
    node = RawNode(site)
    node.small_buffers(buffered)
    client = RawClient(site)
    client.send(site.request(True, body=LARGE))
    node_end = node.accept()
    node_end.until_requested()
    return client, node_end


@ENDS
@pytest.mark.parametrize("buffered", [SMALL, 0], ids=["in the process", "in the system"])
def test_last_byte_of_a_request_is_never_sent_after_its_client_disconnected(tmp_path, end, buffered):
    def act(site):
        client, node_end = send_to_blocked_node(site, buffered)
        end(client)
        site.until(lambda: site.head.core.counts.clients_left)
        node_end.until_ended()
        assert node_end.broken and len(node_end.received) < len(LARGE)
        assert site.head.module.results() == [api.Result.MOOT if buffered else api.Result.CANCELLED]
        assert len(site.head.storage_nodes.pool) == 0

    LoopbackSite(tmp_path).run(act)


def test_request_cancelled_before_its_last_byte_was_sent_never_arrives_complete(tmp_path):
    """It is reported as never run, so closing its connection must not send the rest, even if buffers have space."""

    def act(site):
        _, node_end = send_to_blocked_node(site)
        (way,) = site.head.storage_nodes._connection_of.values()
        (part,) = site.head.core._state.parts.values()
        site.until(lambda: node_end.receive(512) and way._stream.buffered <= SMALL)
        unsent = way._stream.buffered
        assert unsent
        while node_end.receive():
            pass
        site.head.core.client_left(part.request)
        node_end.until_ended()
        _, _, body = node_end.received.partition(b"\r\n\r\n")
        assert node_end.broken and len(body) <= len(LARGE) - unsent
        assert site.head.module.results() == [api.Result.MOOT]

    LoopbackSite(tmp_path).run(act)


EARLY_ANSWERS = {"full": NEVER_RAN, "failed": answer(b"", 500), "stray": answer(b"of another request")}


@pytest.mark.parametrize("kind", EARLY_ANSWERS)
def test_answer_before_the_last_byte_of_its_request_proves_that_it_never_ran(tmp_path, kind):
    """Such an answer belongs to another request and is not served, and the rest of the request is not sent."""

    def act(site):
        client, node_end = send_to_blocked_node(site)
        node_end.send(EARLY_ANSWERS[kind])
        assert client.until_answered()[0] == 503
        node_end.until_ended()
        assert node_end.broken and len(node_end.received) < len(LARGE)
        assert site.head.module.results()[0] is (
            api.Result.FULL if kind == "full" else api.Result.CONNECT_FAILED
        )
        assert len(site.head.storage_nodes.pool) <= 1  # that of the next attempt

    LoopbackSite(tmp_path).run(act)


@pytest.mark.parametrize("rested_us", [0, 5 * MS, 40 * MS])
def test_late_duplicate_answer_is_not_served_to_the_next_request(tmp_path, rested_us):
    """In simulated time, as the next request has to arrive exactly `rested_us` after the first answer."""

    def act(site):
        site.script = lambda got: answer(got.fields["x-trace-id"].encode())
        site.ask(site.request(trace="00000000000000aa"))
        site.hub.sleep(rested_us)
        site.hub.at(site.hub.now() + 1 * MS, lambda: site.shelfs[1].streams[0].write(answer(b"aa")))
        _, _, body = site.ask(site.request(trace="00000000000000bb"))
        assert body == b"00000000000000bb"
        assert site.shelfs[1].connections == 2 and site.shelfs[1].closed_connections == [1]

    Site(tmp_path).run(act)


def is_up(site, node):
    known = site.head.nodes.find(node)
    return known is not None and known.entry.state is api.NodeState.UP


@pytest.mark.parametrize("state", ["terminating", "terminated"])
def test_no_attempt_begins_at_a_node_that_drained_during_the_connect(tmp_path, state):
    """The module chose the node before the drain; the connect completes when the drain's grace is over."""

    def act(site):
        site.hold_dials()
        client = RawClient(site)
        client.send(site.request())
        site.until(lambda: site.net.waiting)
        new = site.shelfs[0]
        site.discovery.set_server("s2", new.address, 1)
        site.discovery.set_server("s1", site.shelfs[1].address, 1, state)
        site.until(lambda: site.head.nodes.find("s2") and not is_up(site, "s1"))
        site.hub.clock.leap(GRACE_US)
        site.net.up.set()
        assert client.until_answered()[0] == 200
        assert len(new.requests) == 1 and not site.shelfs[1].requests
        assert site.head.module.results() == [api.Result.MOOT, api.Result.OK]

    LoopbackSite(tmp_path, safety={**SETTINGS["safety"], "drainGraceUs": GRACE_US}).run(act)


def test_attempt_decided_in_the_grace_of_a_drain_does_not_begin_after_it(tmp_path):
    def act(site):
        site.discovery.set_server("s1", site.shelfs[1].address, 1, "terminating")
        site.until(lambda: not is_up(site, "s1"))
        site.hold_dials()
        client = RawClient(site)
        client.send(site.request())
        site.until(lambda: site.net.waiting)
        site.leap_first(GRACE_US)
        site.net.up.set()
        assert client.until_answered()[0] == 503  # no other node serves its cell
        assert not site.shelfs[1].requests and len(site.head.storage_nodes.pool) == 1

    LoopbackSite(tmp_path, safety={**SETTINGS["safety"], "drainGraceUs": GRACE_US}).run(act)


def test_request_held_during_a_standstill_does_not_begin_before_the_list_is_read(tmp_path):
    """The timer of the held request and the node's drain are handled in one round, after the grace is over."""
    lanes = copy.deepcopy(SETTINGS["lanes"])
    lanes[0] |= {"aimUs": 4 * S, "giveUpUs": 5 * S}
    limited = {
        "name": "gold",
        "baseRate": 500,
        "reserve": 300,
        "shares": 1,
        "ceilingRate": 2,
        "mostAtOnce": 2,
    }
    safety = {**SETTINGS["safety"], "drainGraceUs": GRACE_US}

    def act(site):
        site.until(lambda: len(site.discovery.calls) > 1)  # the watch is open
        placed = {"X-Placement": f"volume={VOLUME},units=2,shard=1,hosts=1", "X-Expires-In-Ms": "5000"}
        client = RawClient(site)
        client.send(site.request(**placed))
        assert client.until_answered()[0] == 200
        site.hub.sleep(REUSE_DELAY_US)
        client.send(site.request(**placed))
        site.until(lambda: site.head.core.open_requests)
        assert len(site.shelfs[1].requests) == 1  # the second is held back for 1 s by the limit of its plan
        site.discovery.set_server("s1", site.shelfs[1].address, 1, "terminating")
        site.leap_first(1 * S)
        assert client.until_answered()[0] == 503 and len(site.shelfs[1].requests) == 1

    LoopbackSite(tmp_path, lanes=lanes, contracts=[limited], safety=safety).run(act)


def requested_attempt(site):
    """Send a write to a node; return (the node, the client, the node's end of the connection) once it came."""
    node, client = RawNode(site), RawClient(site)
    client.send(site.request(True))
    node_end = node.accept()
    node_end.until_requested()
    return node, client, node_end


def single_attempt_site(tmp_path):
    """Return a site whose requests get one attempt each."""
    return LoopbackSite(tmp_path, permissions={**SETTINGS["permissions"], "sendCap": 1})


def assert_single_answer(site, client, status, *results):
    """Assert that the client gets one answer and no more bytes, and the module these results."""
    assert client.until_answered()[0] == status
    site.hub.sleep(5 * MS)
    client.receive()
    assert not client.received and site.head.module.results() == list(results)
    assert site.head.core.open_requests == site.head.core.open_parts == 0


PARTIAL = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc"
CHUNKS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
WITHOUT_LENGTH = (
    b"HTTP/1.1 200 OK\r\n\r\nabc"  # without a length: delimited only by the end of the connection
)
BROKEN_ANSWERS = {
    "nothing": b"",
    "half a head": PARTIAL[:20],
    "a part": PARTIAL,
    "chunks": CHUNKS,
    "a coding without chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nabc",
}


@pytest.mark.parametrize(
    ("kind", "end"),
    [
        *((kind, end) for kind in BROKEN_ANSWERS for end in (RawClient.close, RawClient.reset)),
        ("no length", RawClient.reset),
    ],
)
def test_truncated_answer_may_have_run_and_is_never_served(tmp_path, kind, end):
    sent = BROKEN_ANSWERS.get(kind, WITHOUT_LENGTH)

    def act(site):
        _node, client, node_end = requested_attempt(site)
        if sent:
            node_end.send(sent)
        end(node_end)
        assert_single_answer(site, client, 500, api.Result.RESET)

    single_attempt_site(tmp_path).run(act)


@pytest.mark.parametrize("end", [RawClient.close, RawClient.half_close])
@pytest.mark.parametrize(
    "pieces", [(WITHOUT_LENGTH,), (WITHOUT_LENGTH[:-2], b"bc"), (WITHOUT_LENGTH, b"x" * 65_533)]
)
def test_an_answer_without_a_length_is_served_once_its_node_ends_the_connection(tmp_path, pieces, end):
    """Guards against answers that came whole and were thrown away, as they have no length."""

    def act(site):
        _node, client, node_end = requested_attempt(site)
        for piece in pieces:
            node_end.send(piece)
            site.hub.sleep(5 * MS)
            assert not client.receive()
        end(node_end)
        status, _, body = client.until_answered()
        assert (status, body) == (200, b"".join(pieces).partition(b"\r\n\r\n")[2])
        assert site.head.module.results() == [api.Result.OK]
        assert not len(site.head.storage_nodes.pool)

    single_attempt_site(tmp_path).run(act)


def test_an_answer_without_a_length_that_proves_that_nothing_ran_counts_as_one(tmp_path):
    """Guards against a refusal of a node that is taken for an error, as it has no length."""

    def act(site):
        _node, client, node_end = requested_attempt(site)
        node_end.send(b"HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\n\r\n")
        node_end.close()
        assert_single_answer(site, client, 503, api.Result.FULL)

    single_attempt_site(tmp_path).run(act)


@pytest.mark.parametrize("begun", [PARTIAL[:-3], WITHOUT_LENGTH], ids=["with a length", "without a length"])
def test_endless_answer_ends_at_the_deadline_of_its_request(tmp_path, begun):
    def act(site):
        _node, client, node_end = requested_attempt(site)
        node_end.send(begun)
        for _ in range(6):
            node_end.send(b"x")
            site.hub.sleep(2 * MS)
            assert not client.receive()
        site.hub.clock.leap(481 * MS)
        assert_single_answer(site, client, 500, api.Result.TIMEOUT)
        node_end.until_ended()

    single_attempt_site(tmp_path).run(act)


@pytest.mark.parametrize("first", ["answer", "time"])
def test_answer_in_the_round_of_its_timeout_has_exactly_one_result(tmp_path, first):
    def act(site):
        _node, client, node_end = requested_attempt(site)

        def late():
            site.hub.sleep(0)  # after the poll of the round in which the deadline passes
            node_end.send(answer(b"done"))

        site.leap_first(481 * MS)
        if first == "time":
            site.scope.spawn("late", late)
            assert_single_answer(site, client, 500, api.Result.TIMEOUT)
        else:
            node_end.send(answer(b"done"))
            assert_single_answer(site, client, 200, api.Result.OK)

    single_attempt_site(tmp_path).run(act)


@ENDS
def test_answer_in_the_round_of_its_clients_disconnect_has_exactly_one_result(tmp_path, end):
    def act(site):
        _node, client, node_end = requested_attempt(site)
        node_end.send(answer(b"done"))
        end(client)
        site.until(lambda: site.head.module.results())
        site.hub.sleep(5 * MS)
        assert site.head.module.results() in ([api.Result.OK], [api.Result.CANCELLED])
        counts = site.head.core.counts
        assert (counts.clients_left, counts.served) in ((1, 0), (0, 1))
        assert site.head.core.open_requests == site.head.core.open_parts == 0

    single_attempt_site(tmp_path).run(act)


@pytest.mark.parametrize("instant", ["before", "inside", "after"])
def test_reset_before_the_last_byte_of_a_request_proves_that_it_never_ran(tmp_path, instant):
    def act(site):
        if instant == "before":
            node, client = RawNode(site), RawClient(site)
            site.net.held = {node.socket.getsockname()}
            client.send(site.request(True, body=LARGE))
            site.until(lambda: site.net.waiting)
            node.accept().reset()
            site.net.up.set()
        elif instant == "inside":
            client, node_end = send_to_blocked_node(site)
            node_end.reset()
        else:
            node, client = RawNode(site), RawClient(site)
            client.send(site.request(True, body=LARGE))
            node_end = node.accept()
            node_end.until_requested(len(LARGE))
            node_end.reset()
        if instant == "after":
            assert_single_answer(site, client, 500, api.Result.RESET)
        else:
            assert_single_answer(site, client, 503, api.Result.CONNECT_FAILED)

    single_attempt_site(tmp_path).run(act)


@pytest.mark.parametrize("round_", ["same turn", "last moment"])
@pytest.mark.parametrize("end", [
    RawClient.close, RawClient.reset, RawClient.half_close, lambda node_end: node_end.send(b"HTTP/1.1 2"),
], ids=["close", "reset", "half close", "half a line"])  # fmt: skip
def test_idle_connection_that_ends_as_a_request_arrives_is_not_used(tmp_path, end, round_):
    def act(site):
        node, client = RawNode(site), RawClient(site)
        client.send(site.request())
        node_end = node.accept()
        node_end.serve()
        assert client.until_answered()[0] == 200
        site.hub.sleep(REUSE_DELAY_US)
        client.send(site.request())
        # The head has read the request, and its module sends at the end of this round.
        if round_ == "last moment":
            site.hub.sleep(0)
        end(node_end)
        node.accept().serve()
        assert client.until_answered()[0] == 200
        assert site.head.module.results() == [api.Result.OK] * 2 and not node_end.received

    single_attempt_site(tmp_path).run(act)


def test_each_attempt_announces_no_more_time_than_its_client_has_left(tmp_path):
    def act(site):
        client = request_with_lost_answer(site, site.hold_dials)
        site.until(lambda: site.net.waiting)
        site.hub.clock.leap(150 * MS)
        site.net.up.set()
        assert client.until_answered()[0] == 200
        first, last = (int(got.fields["x-expires-in-ms"]) for got in site.shelfs[1].requests)
        assert last <= first - 150

    LoopbackSite(tmp_path).run(act)


DIAL_US = REQUEST_US = 20_000 * MS  # longer than the test may take


@pytest.mark.parametrize("end", ["up", "time-out", "reset"])
def test_cancelled_dials_leave_no_sockets_and_prove_nothing_about_their_node(tmp_path, end):
    lasting = {"X-Expires-In-Ms": str(REQUEST_US // MS)}
    lanes = [{**lane, "giveUpUs": REQUEST_US} for lane in SETTINGS["lanes"]]

    def act(site):
        node = RawNode(site)
        site.net.held = {node.socket.getsockname()}
        limit = site.head.configuration.bounds.connections.nodes
        for _ in range(4):
            site.net.up.clear()
            node_ends = []
            while len(node_ends) < limit:
                client = RawClient(site)
                client.send(site.request(**lasting))
                node_ends.append(node.accept())
                site.until(lambda node_ends=node_ends: site.net.waiting == len(node_ends))
                client.close()
                site.until(lambda: not site.head.core.open_requests)
            client = RawClient(site)
            client.send(site.request(**lasting))
            # Limit reached.
            assert client.until_answered()[0] == 503 and len(site.head.storage_nodes.pool) == limit
            client.close()
            for node_end in node_ends:
                node_end.reset() if end == "reset" else None
            if end == "time-out":
                site.hub.clock.leap(DIAL_US)
            else:
                site.net.up.set()
            site.until(lambda: not site.net.waiting)
            site.hub.clock.leap(3_000 * MS)  # idle connections are closed
            site.until(lambda: not len(site.head.storage_nodes.pool))
            for node_end in node_ends:
                node_end.close()
        assert len(site.net.sockets) == 4 * limit and all(one.fileno() < 0 for one in site.net.sockets)
        assert set(site.head.module.results()) == {api.Result.MOOT}
        site.net.held = set()
        client = RawClient(site)
        client.send(site.request(**lasting))
        node.accept().serve()
        assert client.until_answered()[0] == 200

    permissions = {**SETTINGS["permissions"], "dialTimeoutUs": DIAL_US}
    LoopbackSite(tmp_path, lanes=lanes, permissions=permissions).run(act)


TOO_LONG = b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc"


@pytest.mark.parametrize("response", [TOO_LONG, b"noise\r\n\r\n"])
def test_next_attempt_begins_once_the_connection_of_the_previous_one_is_closed(tmp_path, response):
    def act(site):
        node, client = RawNode(site), RawClient(site)
        client.send(site.request(True))
        first = node.accept()
        first.until_requested()
        first.send(response)
        second = node.accept()
        first.receive()
        assert first.ended
        second.serve()
        assert_single_answer(site, client, 200, api.Result.ERROR, api.Result.OK)

    LoopbackSite(tmp_path).run(act)
