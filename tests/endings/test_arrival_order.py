"""Requests of ordered classes run in the order in which they arrived, in whatever order the head reads them."""

import copy
import time
from itertools import permutations

import pytest
from hypothesis import given, strategies as st

from harriertrack.decisions.arrival_order import ArrivalOrder
from harriertrack.runtime.streams import SocketNetwork
from tests.endings.loopback import LoopbackSite, RawClient
from tests.test_platform import MS, SETTINGS, Site

PAUSE_US = 120 * MS  # of the head, while the writes of a test arrive
APART_S = 0.002  # between writes over sockets, during which nothing of the head runs


def ordered_site(make, tmp_path):
    lanes = copy.deepcopy(SETTINGS["lanes"])
    lanes[1]["inOrder"] = True
    return make(tmp_path, lanes=lanes, safety={**SETTINGS["safety"], "orderSettleUs": 100 * MS})


def write(site, body):
    return site.request(True, body=body, **{"X-Expires-In-Ms": "2000"})


def bodies(site):
    return [got.body.decode() for got in site.shelfs[1].requests]


@given(st.lists(st.tuples(st.integers(0, 50), st.integers(0, 20)), max_size=30), st.integers(1, 9))
def test_items_are_released_in_the_order_of_arrival_however_late_they_are_read(arrivals, sweep_every):
    """Each item arrives at a time and is read up to 20 later; a sweep begins after all reads of before its time."""
    order, released = ArrivalOrder(), []
    reads = sorted((at + late, at, number) for number, (at, late) in enumerate(arrivals))
    for now in range(0, 130, sweep_every):
        order.begin_sweep()
        for read_at, at, number in reads:
            # A sweep reads all that has arrived by its beginning, and some of what arrives meanwhile.
            if at <= now or now < read_at <= now + sweep_every:
                order.hold((at, number), at)
                arrivals[number] = None
        reads = [read for read in reads if arrivals[read[2]] is not None]
        released += order.end_sweep()
    assert [at for at, _ in released] == sorted(at for at, _ in released)
    assert len(released) == len(arrivals) and not order


@pytest.mark.parametrize("first", ["new", "kept"])
def test_ordered_writes_that_arrive_during_a_pause_are_sent_in_the_order_of_arrival(tmp_path, first):
    """Guards against an acknowledged write that an earlier one overwrites, as it was read after the later one."""
    site = ordered_site(Site, tmp_path)

    def act(site):
        kept = site.connect()
        assert site.ask(write(site, "begin"), kept)[0] == 200
        site.hub.freeze(site.head, PAUSE_US)
        streams = [site.connect(), kept] if first == "new" else [kept, site.connect()]
        for stream, body in zip(streams, ("first", "second"), strict=True):
            stream.write(write(site, body))
            site.hub.sleep(40 * MS)
        assert [site.answered(stream)[0] for stream in streams] == [200, 200]
        assert bodies(site) == ["begin", "first", "second"]

    site.run(act)


@pytest.mark.parametrize("order", list(permutations(["kept", "other kept", "new", "other new"])))
def test_ordered_writes_over_sockets_are_sent_in_the_order_in_which_their_last_bytes_came(tmp_path, order):
    """All four are found by one poll; the connections were opened, and half of the first was sent, before."""
    site = ordered_site(LoopbackSite, tmp_path)

    def act(site):
        clients = {name: RawClient(site) for name in ("kept", "other kept")}
        for client in clients.values():
            client.send(write(site, "begin"))
            assert client.until_answered()[0] == 200
        clients |= {name: RawClient(site) for name in ("new", "other new")}
        messages = {name: write(site, name) for name in order}
        clients[order[-1]].send(messages[order[-1]][:-3])
        for name in order:
            time.sleep(APART_S)
            clients[name].send(messages[name][-3:] if name == order[-1] else messages[name])
        assert [clients[name].until_answered()[0] for name in order] == [200] * len(order)
        assert bodies(site) == ["begin", "begin", *order]

    site.run(act)


def test_a_change_of_the_list_is_applied_before_the_requests_that_are_read_with_it(tmp_path):
    """Guards against requests to a node whose drain is in hand, as they happened to be read before it."""
    site = Site(tmp_path)

    def act(site):
        kept = site.connect()
        assert site.ask(site.request(), kept)[0] == 200
        served = len(site.shelfs[1].requests)
        site.hub.freeze(site.head, PAUSE_US)
        kept.write(site.request())
        site.hub.sleep(40 * MS)
        site.discovery.set_server("s2", site.shelfs[0].address, 1)
        site.discovery.set_server("s1", site.shelfs[1].address, 1, "terminating")
        assert site.answered(kept)[0] == 200 and len(site.shelfs[1].requests) == served

    site.run(act)


def test_a_held_request_is_dropped_with_its_connection_and_one_with_its_id_is_rejected(tmp_path):
    site = ordered_site(LoopbackSite, tmp_path)

    def act(site):
        leaving, same, other = RawClient(site), RawClient(site), RawClient(site)
        leaving.send(write(site, "left"))
        leaving.socket.close()
        message = write(site, "once")
        same.send(message)
        other.send(message)
        assert sorted(client.until_answered()[0] for client in (same, other)) == [200, 409]
        assert "once" in bodies(site) and bodies(site).count("once") == 1

    site.run(act)


def test_the_system_records_when_the_last_byte_of_a_read_arrived(tmp_path):
    site = LoopbackSite(tmp_path)

    def act(site):
        listener = SocketNetwork(site.hub).listen(("127.0.0.1", 0))
        listener.record_arrivals()
        site.place = listener.address
        client = RawClient(site)
        stream = listener.accept()
        client.send(b"a")
        time.sleep(0.02)
        before = site.hub.clock.wall()
        client.send(b"b")
        after = site.hub.clock.wall()
        time.sleep(0.02)
        assert stream.read() == b"ab" and before <= stream.last_byte_at <= after
        listener.close()

    site.run(act)
