"""An attempt that is about to begin, or that ends, forced at each instant over loopback sockets."""

import pytest

from harriertrack.decisions import interface as api
from harriertrack.decisions.ways import REST_US
from harriertrack.standin.platform import NEVER_RAN, answer
from tests.endings.loopback import SMALL, LoopbackSite, RawClient, RawNode
from tests.test_platform import MS, SETTINGS, VOLUME, Site

ENDS = pytest.mark.parametrize("end", [RawClient.close, RawClient.reset, RawClient.half_close])
LARGE = "x" * 65_536  # a body that small buffers can't hold
GRACE_US = 200 * MS  # shorter than a connection may take to come up, and than the aim


def served_over_the_kept_connection(site):
    """Ask once more; nothing came to the node before, and no other connection did."""
    site.hub.sleep(REST_US)
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
        site.until(lambda: site.head.core.counts.left)
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
        site.until(lambda: site.head.core.counts.left)
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
        site.until(lambda: site.head.core.counts.left)
        there.until_ended()
        assert there.broken and len(there.received) < len(LARGE)
        assert site.head.module.results() == [api.Result.MOOT if kept else api.Result.CANCELLED]
        assert len(site.head.shelfs.ways) == 0

    LoopbackSite(tmp_path).run(act)


def test_what_is_called_off_before_its_last_byte_left_never_comes_whole(tmp_path):
    """It is told as never run: closing its connection may not send the rest, though there is room for it."""

    def act(site):
        _, there = stuck(site)
        (way,), (part,) = site.head.shelfs._way_of.values(), site.head.core._board.parts.values()
        site.until(lambda: there.receive(512) and way._stream.buffered <= SMALL)
        assert way._stream.buffered
        while there.receive():
            pass
        site.head.core.client_gone(part.request)
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
        assert len(site.head.shelfs.ways) <= 1  # the one of the next attempt

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
        assert not site.shelfs[1].got and len(site.head.shelfs.ways) == 1

    LoopbackSite(tmp_path, safety={**SETTINGS["safety"], "drainGraceUs": GRACE_US}).run(act)


def test_what_is_held_as_a_head_stands_still_does_not_begin_before_the_list_is_read(tmp_path):
    """The module's time to send it, and the news that its node drained, come in one round; the grace is over."""
    limited = {
        "name": "gold",
        "baseRate": 500,
        "reserve": 300,
        "shares": 1,
        "ceilingRate": 20,
        "mostAtOnce": 2,
    }
    safety = {**SETTINGS["safety"], "drainGraceUs": GRACE_US}

    def act(site):
        site.until(lambda: len(site.discovery.calls) > 1)  # the watch is open
        placed = {"X-Placement": f"volume={VOLUME},units=2,shard=1,hosts=1"}
        client = RawClient(site)
        client.send(site.request(**placed))
        assert client.until_answered()[0] == 200
        site.hub.sleep(REST_US)
        client.send(site.request(**placed))
        site.until(lambda: site.head.core.open_requests)
        assert len(site.shelfs[1].got) == 1  # held behind the limit of its plan
        site.discovery.set("s1", site.shelfs[1].address, 1, "terminating")
        site.leap_first(GRACE_US + 50 * MS)
        assert client.until_answered()[0] == 503 and len(site.shelfs[1].got) == 1

    LoopbackSite(tmp_path, contracts=[limited], safety=safety).run(act)
