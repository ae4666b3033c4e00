"""An attempt that is about to begin, or that ends, forced at each instant over loopback sockets."""

import copy

import pytest

from harriertrack.decisions import interface as api
from harriertrack.decisions.connection_pool import REUSE_DELAY_US
from harriertrack.standin.platform import NEVER_RAN, answer
from tests.endings.loopback import SMALL, LoopbackSite, RawClient, RawNode, ask_with_a_lost_answer
from tests.test_platform import MS, SETTINGS, VOLUME, Site

ENDS = pytest.mark.parametrize("end", [RawClient.close, RawClient.reset, RawClient.half_close])
S = 1_000 * MS
LARGE = "x" * 65_536  # a body that small buffers can't hold
GRACE_US = 200 * MS  # shorter than a connection may take to come up, and than the aim


def served_over_the_kept_connection(site):
    """Ask once more; nothing came to the node before, and no other connection did."""
    site.hub.sleep(REUSE_DELAY_US)
    client = RawClient(site)
    client.send(site.request(trace="00000000000000ff"))
    assert client.until_answered()[0] == 200
    assert [got.fields["x-trace-id"] for got in site.shelfs[1].got] == ["00000000000000ff"]
    assert site.shelfs[1].connections == 1
    assert site.head.module.results() == [api.Result.MOOT, api.Result.OK]


@ENDS
def test_nothing_begins_for_a_client_that_ends_as_its_connection_comes_up(tmp_path, end):
    def act(site):
        site.hold_dials()
        client = RawClient(site)
        client.send(site.request())
        site.until(lambda: site.net.waiting)
        end(client)
        site.net.up.set()
        site.until(lambda: site.head.core.counts.clients_left)
        served_over_the_kept_connection(site)

    LoopbackSite(tmp_path).run(act)


@ENDS
def test_nothing_begins_for_a_client_that_ended_since_a_busy_head_last_looked(tmp_path, end):
    """It ends in the very round in which its connection comes up, behind the poll of a round of 40 ms."""

    def act(site):
        site.hold_dials()
        client = RawClient(site)
        client.send(site.request())
        site.until(lambda: site.net.waiting)
        site.scope.spawn("end", end, client)
        site.leap_first(40 * MS)
        site.net.up.set()
        site.until(lambda: site.head.core.counts.clients_left)
        served_over_the_kept_connection(site)

    LoopbackSite(tmp_path).run(act)


def test_nothing_begins_after_its_time_though_its_connection_comes_up_in_the_same_turn(tmp_path):
    def act(site):
        site.hold_dials()
        client = RawClient(site)
        client.send(site.request())
        site.until(lambda: site.net.waiting)
        site.leap_first(481 * MS)
        site.net.up.set()
        assert client.until_answered()[0] == 503
        served_over_the_kept_connection(site)

    LoopbackSite(tmp_path).run(act)


def stuck(site, kept=SMALL):
    """Send a request that its node does not read, of which the head's system keeps so much (0: all).

    Return (client, the node's end).
    """
    node = RawNode(site)
    node.small_buffers(kept)
    client = RawClient(site)
    client.send(site.request(True, body=LARGE))
    there = node.accept()
    there.until_asked()
    return client, there


@ENDS
@pytest.mark.parametrize("kept", [SMALL, 0], ids=["in the process", "in the system"])
def test_the_last_byte_of_a_request_never_comes_after_its_client_ended(tmp_path, end, kept):
    def act(site):
        client, there = stuck(site, kept)
        end(client)
        site.until(lambda: site.head.core.counts.clients_left)
        there.until_ended()
        assert there.broken and len(there.received) < len(LARGE)
        assert site.head.module.results() == [api.Result.MOOT if kept else api.Result.CANCELLED]
        assert len(site.head.storage_nodes.pool) == 0

    LoopbackSite(tmp_path).run(act)


def test_what_is_called_off_before_its_last_byte_left_never_comes_whole(tmp_path):
    """It is told as never run: closing its connection may not send the rest, though there is room for it."""

    def act(site):
        _, there = stuck(site)
        (way,), (part,) = (
            site.head.storage_nodes._connection_of.values(),
            site.head.core._state.parts.values(),
        )
        site.until(lambda: there.receive(512) and way._stream.buffered <= SMALL)
        assert way._stream.buffered
        while there.receive():
            pass
        site.head.core.client_left(part.request)
        there.until_ended()
        assert there.broken and len(there.received) < len(LARGE)
        assert site.head.module.results() == [api.Result.MOOT]

    LoopbackSite(tmp_path).run(act)


EARLY = {"full": NEVER_RAN, "failed": answer(b"", 500), "stray": answer(b"of another request")}


@pytest.mark.parametrize("said", EARLY)
def test_an_answer_before_the_last_byte_of_its_request_proves_that_it_never_ran(tmp_path, said):
    """What is served was not made for this request, and the rest of it is not sent."""

    def act(site):
        client, there = stuck(site)
        there.send(EARLY[said])
        assert client.until_answered()[0] == 503
        there.until_ended()
        assert there.broken and len(there.received) < len(LARGE)
        assert site.head.module.results()[0] is (
            api.Result.FULL if said == "full" else api.Result.CONNECT_FAILED
        )
        assert len(site.head.storage_nodes.pool) <= 1  # the one of the next attempt

    LoopbackSite(tmp_path).run(act)


@pytest.mark.parametrize("rested_us", [0, 5 * MS, 40 * MS])
def test_a_second_answer_that_comes_late_answers_nobody(tmp_path, rested_us):
    """In simulated time, for the next request has to come so long after the first answer."""

    def act(site):
        site.script = lambda got: answer(got.fields["x-trace-id"].encode())
        site.ask(site.request(trace="00000000000000aa"))
        site.hub.sleep(rested_us)
        site.hub.at(site.hub.now() + 1 * MS, lambda: site.shelfs[1].streams[0].write(answer(b"aa")))
        _, _, body = site.ask(site.request(trace="00000000000000bb"))
        assert body == b"00000000000000bb"
        assert site.shelfs[1].connections == 2 and site.shelfs[1].ended == [1]

    Site(tmp_path).run(act)


def is_up(site, node):
    known = site.head.nodes.find(node)
    return known is not None and known.entry.state is api.NodeState.UP


@pytest.mark.parametrize("state", ["terminating", "terminated"])
def test_nothing_begins_at_a_node_that_drained_while_its_connection_came_up(tmp_path, state):
    """The module chose it before; the connection comes up when the grace of the drain is over."""

    def act(site):
        site.hold_dials()
        client = RawClient(site)
        client.send(site.request())
        site.until(lambda: site.net.waiting)
        new = site.shelfs[0]
        site.discovery.set("s2", new.address, 1)
        site.discovery.set("s1", site.shelfs[1].address, 1, state)
        site.until(lambda: site.head.nodes.find("s2") and not is_up(site, "s1"))
        site.hub.clock.leap(GRACE_US)
        site.net.up.set()
        assert client.until_answered()[0] == 200
        assert len(new.got) == 1 and not site.shelfs[1].got
        assert site.head.module.results() == [api.Result.MOOT, api.Result.OK]

    LoopbackSite(tmp_path, safety={**SETTINGS["safety"], "drainGraceUs": GRACE_US}).run(act)


def test_what_was_sent_in_the_grace_of_a_drain_does_not_begin_after_it(tmp_path):
    def act(site):
        site.discovery.set("s1", site.shelfs[1].address, 1, "terminating")
        site.until(lambda: not is_up(site, "s1"))
        site.hold_dials()
        client = RawClient(site)
        client.send(site.request())
        site.until(lambda: site.net.waiting)
        site.leap_first(GRACE_US)
        site.net.up.set()
        assert client.until_answered()[0] == 503  # nobody else serves its cell
        assert not site.shelfs[1].got and len(site.head.storage_nodes.pool) == 1

    LoopbackSite(tmp_path, safety={**SETTINGS["safety"], "drainGraceUs": GRACE_US}).run(act)


def test_what_is_held_as_a_head_stands_still_does_not_begin_before_the_list_is_read(tmp_path):
    """The module's time to send it, and the news that its node drained, come in one round; the grace is over."""
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
        assert len(site.shelfs[1].got) == 1  # held behind the limit of its plan for a second
        site.discovery.set("s1", site.shelfs[1].address, 1, "terminating")
        site.leap_first(1 * S)
        assert client.until_answered()[0] == 503 and len(site.shelfs[1].got) == 1

    LoopbackSite(tmp_path, lanes=lanes, contracts=[limited], safety=safety).run(act)


def once(tmp_path):
    """Return a site whose requests have one attempt each."""
    return LoopbackSite(tmp_path, permissions={**SETTINGS["permissions"], "sendCap": 1})


def answered_once(site, client, status, *results):
    """The client gets one answer and nothing behind it, the module these outcomes."""
    assert client.until_answered()[0] == status
    site.hub.sleep(5 * MS)
    client.receive()
    assert not client.received and site.head.module.results() == list(results)
    assert site.head.core.open_requests == site.head.core.open_parts == 0


BEGUN = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc"
CHUNKS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
ENDLESS = b"HTTP/1.1 200 OK\r\n\r\nabc"  # no length: only the connection's end would end it
BROKEN = {"nothing": b"", "half a head": BEGUN[:20], "a part": BEGUN, "chunks": CHUNKS, "no length": ENDLESS}


@pytest.mark.parametrize("end", [RawClient.close, RawClient.reset])
@pytest.mark.parametrize("said", BROKEN)
def test_an_answer_that_breaks_off_may_have_run_and_is_never_served(tmp_path, said, end):
    def act(site):
        node, client = RawNode(site), RawClient(site)
        client.send(site.request(True))
        there = node.accept()
        there.until_asked()
        if BROKEN[said]:
            there.send(BROKEN[said])
        end(there)
        result = api.Result.ERROR if said == "no length" else api.Result.RESET
        if said == "no length" and end is RawClient.reset:  # what the head's system saw first
            site.until(lambda: site.head.module.results())
            (result,) = site.head.module.results()
            assert not result.never_ran
        answered_once(site, client, 500, result)

    once(tmp_path).run(act)


def test_an_answer_that_never_ends_ends_with_its_requests_time(tmp_path):
    def act(site):
        node, client = RawNode(site), RawClient(site)
        client.send(site.request(True))
        there = node.accept()
        there.until_asked()
        there.send(BEGUN[:-3])
        for _ in range(6):
            there.send(b"x")
            site.hub.sleep(2 * MS)
            assert not client.receive()
        site.hub.clock.leap(481 * MS)
        answered_once(site, client, 500, api.Result.TIMEOUT)
        there.until_ended()

    once(tmp_path).run(act)


@pytest.mark.parametrize("first", ["answer", "time"])
def test_an_answer_in_the_turn_in_which_time_is_up_is_one_of_the_two(tmp_path, first):
    def act(site):
        node, client = RawNode(site), RawClient(site)
        client.send(site.request(True))
        there = node.accept()
        there.until_asked()

        def late():
            site.hub.sleep(0)  # the round that finds the time is up has polled
            there.send(answer(b"done"))

        site.leap_first(481 * MS)
        if first == "time":
            site.scope.spawn("late", late)
            answered_once(site, client, 500, api.Result.TIMEOUT)
        else:
            there.send(answer(b"done"))
            answered_once(site, client, 200, api.Result.OK)

    once(tmp_path).run(act)


@ENDS
def test_an_answer_in_the_turn_in_which_its_client_ends_is_one_outcome(tmp_path, end):
    def act(site):
        node, client = RawNode(site), RawClient(site)
        client.send(site.request(True))
        there = node.accept()
        there.until_asked()
        there.send(answer(b"done"))
        end(client)
        site.until(lambda: site.head.module.results())
        site.hub.sleep(5 * MS)
        assert site.head.module.results() in ([api.Result.OK], [api.Result.CANCELLED])
        counts = site.head.core.counts
        assert (counts.clients_left, counts.served) in ((1, 0), (0, 1))
        assert site.head.core.open_requests == site.head.core.open_parts == 0

    once(tmp_path).run(act)


@pytest.mark.parametrize("instant", ["before", "inside", "after"])
def test_a_reset_before_the_last_byte_of_a_request_proves_that_it_never_ran(tmp_path, instant):
    def act(site):
        if instant == "before":
            node, client = RawNode(site), RawClient(site)
            site.net.held = {node.socket.getsockname()}
            client.send(site.request(True, body=LARGE))
            site.until(lambda: site.net.waiting)
            node.accept().reset()
            site.net.up.set()
        elif instant == "inside":
            client, there = stuck(site)
            there.reset()
        else:
            node, client = RawNode(site), RawClient(site)
            client.send(site.request(True, body=LARGE))
            there = node.accept()
            there.until_asked(len(LARGE))
            there.reset()
        if instant == "after":
            answered_once(site, client, 500, api.Result.RESET)
        else:
            answered_once(site, client, 503, api.Result.CONNECT_FAILED)

    once(tmp_path).run(act)


@pytest.mark.parametrize("round_", ["same turn", "last moment"])
@pytest.mark.parametrize("end", [
    RawClient.close, RawClient.reset, RawClient.half_close, lambda there: there.send(b"HTTP/1.1 2"),
], ids=["close", "reset", "half close", "half a line"])  # fmt: skip
def test_an_idle_connection_that_ends_as_a_request_comes_is_not_used(tmp_path, end, round_):
    def act(site):
        node, client = RawNode(site), RawClient(site)
        client.send(site.request())
        there = node.accept()
        there.serve()
        assert client.until_answered()[0] == 200
        site.hub.sleep(REUSE_DELAY_US)
        client.send(site.request())
        if round_ == "last moment":  # the head has read the request; its module sends at this round's end
            site.hub.sleep(0)
        end(there)
        node.accept().serve()
        assert client.until_answered()[0] == 200
        assert site.head.module.results() == [api.Result.OK] * 2 and not there.received

    once(tmp_path).run(act)


def test_each_attempt_tells_no_more_time_than_its_client_has_left(tmp_path):
    def act(site):
        client = ask_with_a_lost_answer(site, site.hold_dials)
        site.until(lambda: site.net.waiting)
        site.hub.clock.leap(150 * MS)
        site.net.up.set()
        assert client.until_answered()[0] == 200
        first, last = (int(got.fields["x-expires-in-ms"]) for got in site.shelfs[1].got)
        assert last <= first - 150

    LoopbackSite(tmp_path).run(act)


DIAL_US = 20_000 * MS  # longer than the test may take


@pytest.mark.parametrize("end", ["up", "time-out", "reset"])
def test_dials_that_were_called_off_leave_nothing_and_say_nothing_of_their_node(tmp_path, end):
    def act(site):
        node = RawNode(site)
        site.net.held = {node.socket.getsockname()}
        ways = site.head.configuration.bounds.ways
        for _ in range(4):
            site.net.up.clear()
            theirs = []
            while len(theirs) < ways:
                client = RawClient(site)
                client.send(site.request())
                theirs.append(node.accept())
                site.until(lambda theirs=theirs: site.net.waiting == len(theirs))
                client.close()
                site.until(lambda: not site.head.core.open_requests)
            client = RawClient(site)
            client.send(site.request())
            assert client.until_answered()[0] == 503 and len(site.head.storage_nodes.pool) == ways  # no room
            client.close()
            for there in theirs:
                there.reset() if end == "reset" else None
            if end == "time-out":
                site.hub.clock.leap(DIAL_US)
            else:
                site.net.up.set()
            site.until(lambda: not site.net.waiting)
            site.hub.clock.leap(3_000 * MS)  # what idles is closed
            site.until(lambda: not len(site.head.storage_nodes.pool))
            for there in theirs:
                there.close()
        assert len(site.net.sockets) == 4 * ways and all(one.fileno() < 0 for one in site.net.sockets)
        assert set(site.head.module.results()) == {api.Result.MOOT}
        site.net.held = set()
        client = RawClient(site)
        client.send(site.request())
        node.accept().serve()
        assert client.until_answered()[0] == 200

    LoopbackSite(tmp_path, permissions={**SETTINGS["permissions"], "dialTimeoutUs": DIAL_US}).run(act)


@pytest.mark.parametrize("said", [ENDLESS, b"noise\r\n\r\n"])
def test_a_further_attempt_begins_once_the_connection_of_the_one_before_is_closed(tmp_path, said):
    def act(site):
        node, client = RawNode(site), RawClient(site)
        client.send(site.request(True))
        first = node.accept()
        first.until_asked()
        first.send(said)
        second = node.accept()
        first.receive()
        assert first.ended
        second.serve()
        answered_once(site, client, 200, api.Result.ERROR, api.Result.OK)

    LoopbackSite(tmp_path).run(act)
