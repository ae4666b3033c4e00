"""What a head holds of requests and answers: freed when they end, whatever ends them, and bounded in bytes."""

import gc

import pytest

from harriertrack.decisions.client_connections import ClientState
from harriertrack.decisions.requests import Attempt, ClientRequest
from harriertrack.decisions.requests.model import Part
from harriertrack.protocol.platform.exchange import Answer, Exchange
from harriertrack.protocol.platform.request_parser import PlatformRequest, RequestParser
from harriertrack.standin.platform import NO_RESPONSE, RESET, answer
from tests.endings.loopback import LoopbackSite, RawClient, RawNode, client_states, slow_reader
from tests.test_platform import MS, SETTINGS, VOLUME

PAYLOAD_TYPES = (Answer, Attempt, ClientRequest, Exchange, Part, PlatformRequest, RequestParser)
WATCH = ["Exchange"]  # of the head's open call to discovery
PLACEMENT = f"volume={VOLUME[:-1]}{{}},units=2,shard=1,hosts=2"  # of a volume with this last digit
LARGE = "x" * 65_536
ENDLESS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10000\r\n" + LARGE.encode()
ENDINGS = {
    "served": answer(LARGE.encode()),
    "error": answer(LARGE.encode(), status=500),
    "reset": RESET,
    "noise": b"\x16\x03\x01 noise",
    "larger than allowed": b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + LARGE.encode(),
    "never ends": ENDLESS,
    "no answer": NO_RESPONSE,
}


@pytest.fixture
def collector_off():
    """Free objects by their reference counts alone."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def held_payload():
    """Return the names of the types of all objects that hold bytes of a request or an answer."""
    return sorted(type(one).__name__ for one in gc.get_objects() if type(one) in PAYLOAD_TYPES)


def counted(site):
    """Return the bytes of requests and of answers that the head counts."""
    return site.head.memory.requests.held_bytes, site.head.memory.answers.held_bytes


@pytest.mark.real_time
@pytest.mark.parametrize("client_leaves", [False, True])
@pytest.mark.parametrize("writes", [False, True])
@pytest.mark.parametrize("ending", ENDINGS)
def test_what_ends_a_request_frees_it_without_the_garbage_collector(
    tmp_path, collector_off, ending, writes, client_leaves
):
    """Guards against answers and requests in reference cycles, which grew a head past its memory limit."""

    def act(site):
        site.script = lambda got: ENDINGS[ending]
        client = RawClient(site)
        client.send(site.request(writes, body=LARGE if writes else ""))
        if client_leaves:
            site.until(lambda: site.shelfs[1].requests)
        else:
            client.until_answered()
        client.close()
        site.until(lambda: not len(site.head.front.connections) and not site.head.core.open_parts)
        site.hub.sleep(0)
        assert held_payload() == WATCH
        assert counted(site) == (0, 0)

    LoopbackSite(tmp_path).run(act)


@pytest.mark.real_time
def test_an_idle_connection_keeps_nothing_of_its_last_request(tmp_path, collector_off):
    """Guards against connections that rest with the body of a request that was answered."""

    def act(site):
        client = RawClient(site)
        client.send(site.request(True, body=LARGE))
        assert client.until_answered()[0] == 200
        site.until(lambda: not site.head.core.open_parts)
        site.hub.sleep(0)
        assert held_payload() == [*WATCH, "RequestParser"]
        assert counted(site) == (0, 0)
        client.close()

    LoopbackSite(tmp_path).run(act)


@pytest.mark.real_time
def test_half_a_request_is_freed_when_its_client_has_left(tmp_path, collector_off):
    """Guards against half requests that stay in memory after their connection."""

    def act(site):
        client = RawClient(site)
        client.send(site.request(True, body=LARGE)[:-1])
        site.until(lambda: site.head.front.connections.partially_read())
        client.reset()
        site.until(lambda: not len(site.head.front.connections))
        site.hub.sleep(0)
        assert held_payload() == WATCH

    LoopbackSite(tmp_path).run(act)


@pytest.mark.real_time
def test_the_longest_unfinished_answer_is_given_up_where_all_together_are_too_long(tmp_path):
    """Guards against answers that are bounded one by one, and together take more than the head's memory."""

    def act(site):
        node, clients, ends = RawNode(site), [RawClient(site) for _ in range(3)], []
        for client in clients:
            client.send(site.request(True, **{"X-Placement": PLACEMENT.format(len(ends))}))
            ends.append(node.accept())
            ends[-1].until_requested()
        for end, size in zip(ends, (20_000, 60_000, 15_000), strict=True):
            end.send(b"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n" + b"x" * size)
            site.hub.sleep(10 * MS)
        before = site.head.memory.answers.held_bytes
        site.head.memory.answers.limit_bytes = before + 5_000
        ends[2].send(b"x" * 10_000)
        assert clients[1].until_answered()[0] == 500
        site.until(lambda: counted(site)[1] < before)
        assert site.head.memory.answers.given_up == 1 and ends[1].until_ended() is not None
        for end, left in ((ends[0], 50_000), (ends[2], 45_000)):
            end.send(b"x" * left)
        for client in (clients[0], clients[2]):
            status, _, body = client.until_answered()
            assert (status, len(body)) == (200, 70_000)
        assert counted(site) == (0, 0)

    LoopbackSite(tmp_path, permissions={**SETTINGS["permissions"], "sendCap": 1}).run(act)


@pytest.mark.real_time
def test_half_requests_give_way_to_whole_ones_where_all_together_are_too_long(tmp_path):
    """Guards against half requests that are bounded by their number, and together take more than the memory."""

    def act(site):
        halves = [RawClient(site) for _ in range(2)]
        for half in halves:
            half.send(site.request(True, body=LARGE)[:-1])
            site.hub.sleep(10 * MS)
        site.until(lambda: counted(site)[0] >= 2 * 65_535)
        site.head.memory.requests.limit_bytes = counted(site)[0] + len(LARGE) // 4
        client = RawClient(site)
        client.send(site.request(True, body=LARGE))
        assert client.until_answered()[0] == 200
        assert halves[0].until_answered()[0] == 503
        assert site.head.memory.requests.given_up == 1
        halves[1].send(b"x")
        assert halves[1].until_answered()[0] == 200
        site.until(lambda: counted(site) == (0, 0))

    LoopbackSite(tmp_path).run(act)


@pytest.mark.real_time
def test_answers_that_clients_do_not_read_count_until_they_are_sent(tmp_path):
    """Guards against memory that grows with answers that wait for slow clients."""

    def act(site):
        site.script = lambda got: answer(b"y" * 400_000)
        client = slow_reader(site)
        client.send(site.request())
        site.until(lambda: client_states(site) == [ClientState.SENDING])
        assert counted(site)[0] == 0 and counted(site)[1] > 100_000
        status, _, body = client.until_answered()
        assert (status, len(body)) == (200, 400_000)
        site.until(lambda: counted(site) == (0, 0))

    LoopbackSite(tmp_path).run(act)


@pytest.mark.real_time
def test_a_body_that_its_node_does_not_read_counts_though_its_client_has_left(tmp_path):
    """Guards against bodies that stay in the buffers of connections after their request."""

    def act(site):
        node = RawNode(site)
        node.small_buffers()
        client = RawClient(site)
        client.send(site.request(True, body=LARGE))
        end = node.accept()
        end.until_requested()
        client.reset()
        site.until(lambda: not len(site.head.front.connections))
        assert 0 < counted(site)[0] <= 65_536
        site.hub.clock.leap(481 * MS)
        site.until(lambda: counted(site) == (0, 0))

    LoopbackSite(tmp_path, permissions={**SETTINGS["permissions"], "mayCancel": False}).run(act)
