"""Requests that come again with the same id, and requests whose clients have left behind unread bytes."""

import contextlib
import socket

import pytest

from harriertrack.decisions import interface as api
from harriertrack.decisions.forwarded_requests import ForwardedRequests
from harriertrack.standin.platform import NEVER_RAN, NO_RESPONSE, RESET, answer
from tests.endings.loopback import LoopbackSite, RawClient
from tests.endings.test_client_ends import ENDS, HoldingScheduler, client_whose_request_is_held
from tests.test_platform import MS

TRACE = "00000000000000aa"
SAME_ID_IN_CAPITALS = TRACE.upper()
ENDINGS = {"served": answer(b"done"), "error": answer(b"", 500), "reset": RESET, "never ran": NEVER_RAN}
UNREAD_BYTES = 12 << 20  # more than the buffers of both systems hold


def refused_as_repeated(site, same):
    """Whether a request with the same id is answered as failed, and reaches no node."""
    before, client = len(site.shelfs[1].requests), RawClient(site)
    client.send(same)
    status = client.until_answered()[0]
    site.hub.sleep(20 * MS)
    return status == 409 and len(site.shelfs[1].requests) == before


@ENDS
@pytest.mark.parametrize("writes", [False, True])
@pytest.mark.parametrize("trace", [TRACE, SAME_ID_IN_CAPITALS])
def test_an_id_that_reached_a_node_does_not_run_again_after_its_client_has_left(tmp_path, end, writes, trace):
    """Guards against an id that runs twice, as nothing is known of it once its client has left."""

    def act(site):
        site.script = lambda got: NO_RESPONSE
        old = RawClient(site)
        old.send(site.request(writes, trace=TRACE))
        site.until(lambda: site.shelfs[1].requests)
        end(old)
        site.until(lambda: site.head.core.counts.clients_left)
        assert refused_as_repeated(site, site.request(writes, trace=trace))

    LoopbackSite(tmp_path).run(act)


@pytest.mark.parametrize("ending", ENDINGS)
def test_an_id_that_was_answered_does_not_run_again(tmp_path, ending):
    def act(site):
        site.script = lambda got: ENDINGS[ending]
        client = RawClient(site)
        client.send(site.request(True, trace=TRACE))
        client.until_answered()
        site.until(lambda: not site.head.core.open_parts)
        assert refused_as_repeated(site, site.request(True, trace=TRACE))

    LoopbackSite(tmp_path, permissions={"sendCap": 1, "mayCancel": True, "mostHeld": 1000}).run(act)


@ENDS
def test_an_id_that_no_head_has_read_whole_is_served_when_it_comes_again(tmp_path, end):
    def act(site):
        old, same = RawClient(site), site.request(True, trace=TRACE, body="goal")
        old.send(same[:-1])
        site.until(lambda: site.head.front.connections.partially_read())
        end(old)
        site.until(lambda: not len(site.head.front.connections))
        client = RawClient(site)
        client.send(same)
        assert client.until_answered()[0] == 200 and len(site.shelfs[1].requests) == 1

    LoopbackSite(tmp_path).run(act)


@ENDS
def test_an_id_that_the_module_held_is_served_when_it_comes_again(tmp_path, end):
    """Its first client has left before anything was sent."""

    def act(site):
        module, same = site.head.module, site.request(True, trace=TRACE)
        module.holding = True
        old = RawClient(site)
        old.send(same)
        site.until(lambda: any(isinstance(event, api.RequestArrived) for event in module.withheld))
        end(old)
        site.until(lambda: site.head.core.counts.clients_left)
        module.release(site.head)
        client = RawClient(site)
        client.send(same)
        assert client.until_answered()[0] == 200 and len(site.shelfs[1].requests) == 1

    LoopbackSite(tmp_path, module=HoldingScheduler).run(act)


def test_a_head_that_can_remember_no_more_ids_refuses_until_old_ones_may_be_dropped(tmp_path):
    """Guards against ids that are forgotten to make room."""

    def act(site):
        site.head.forwarded = site.head.front.forwarded = site.head.storage_nodes.forwarded = (
            ForwardedRequests(2, 10_000 * MS)
        )
        statuses = []
        for leap_us in (0, 0, 10_000 * MS, 0):
            site.hub.clock.leap(leap_us)
            client = RawClient(site)
            client.send(site.request())
            statuses.append(client.until_answered()[0])
            client.close()
        assert statuses == [200, 503, 200, 503]

    LoopbackSite(tmp_path).run(act)


def leave_behind_unread_bytes(client, data):
    """Close a connection while the system still has to send much of what was written to it."""
    client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, UNREAD_BYTES)
    sent = 0
    with contextlib.suppress(BlockingIOError):
        while sent < UNREAD_BYTES:
            sent += client.send(data)
    assert client.unacknowledged(), "everything fits into the head's receive buffer"
    client.close()


@pytest.mark.parametrize("tried", [0, 1])
@pytest.mark.parametrize(
    "behind", [b"x" * 65_536, b"GET /look HTTP/1.1\r\n\r\n" * 3_000], ids=["noise", "requests"]
)
def test_nothing_is_sent_for_a_client_that_left_behind_more_bytes_than_its_system_could_send(
    tmp_path, tried, behind
):
    """Guards against an end of the connection that can't arrive, as the head reads nothing behind a request."""

    def act(site):
        module, client = site.head.module, client_whose_request_is_held(site, tried)
        leave_behind_unread_bytes(client, behind)
        site.hub.sleep(50 * MS)
        module.release(site.head)
        site.until(lambda: not module.withheld)
        site.hub.sleep(20 * MS)
        assert len(site.shelfs[1].requests) == tried
        site.until(lambda: not site.head.core.open_requests)

    LoopbackSite(tmp_path, module=HoldingScheduler).run(act)
