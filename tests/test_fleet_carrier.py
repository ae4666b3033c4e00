"""The carrier of the view: datagrams over sockets and in memory, a head's status port, heads on one hub."""

import contextlib
import errno
import socket

import msgspec
import pytest

from harriertrack.config.settings import FleetSeedSettings, FleetSettings
from harriertrack.gateway.fleet import member as carrier
from harriertrack.lab.fleet.processes import LoopbackAddresses
from harriertrack.gateway.head import Wiring
from harriertrack.membership.fleet.messages import Draft, Kind, ProcessInstance
from harriertrack.membership.fleet.swim import Rules
from harriertrack.membership.fleet.status_document import MalformedDocument, parse_document
from harriertrack.runtime.datagrams import MOST_WAITING, MemoryDatagrams, SocketDatagrams
from harriertrack.runtime.hub import DeadlineExceeded, Hub
from harriertrack.runtime.memory_streams import MemoryNetwork
from harriertrack.runtime.streams import SocketNetwork
from tests.test_head import Site

ADDRESS = ("127.0.0.1", 0)


def run(test, real=False):
    hub = Hub(seed=1) if real else Hub.virtual(1)

    def main():
        with hub.scope("test") as scope:
            test(hub, scope)
            scope.cancel()

    hub.run(main)


# -- datagrams


@pytest.mark.parametrize(
    "real", [False, pytest.param(True, marks=pytest.mark.real_time)], ids=["virtual", "sockets"]
)
def test_datagrams_arrive_with_their_source_until_the_port_is_closed(real):
    def test(hub, _scope):
        net = SocketDatagrams(hub) if real else MemoryDatagrams(hub)
        received = []
        here = net.bind(ADDRESS, lambda *one: None)
        there = net.bind(ADDRESS, lambda *one: received.append(one))
        here.send(b"x", there.address)
        until = hub.now() + 2_000_000
        while not received and hub.now() < until:
            hub.sleep(1000)
        assert received == [(b"x", here.address)]
        with pytest.raises(OSError):
            net.bind(there.address, lambda *one: None)
        there.close()
        there.close()
        here.send(b"y", there.address)
        hub.sleep(20_000)
        assert len(received) == 1
        net.bind(there.address, lambda *one: None).close()
        here.close()

    run(test, real)


def test_a_datagram_that_can_not_be_sent_is_counted_and_dropped():
    def test(hub, _scope):
        port = SocketDatagrams(hub).bind(ADDRESS, lambda *one: None)
        port.send(bytes(70_000), port.address)
        port.send(b"x", ("256.0.0.1", 1))
        assert port.dropped == 2
        port.close()

    run(test, real=True)


def test_without_file_descriptors_a_bind_fails_and_nothing_leaks(monkeypatch):
    def test(hub, _scope):
        net, made = SocketDatagrams(hub), []
        real = socket.socket

        def short(*args):
            if len(made) >= 2:
                raise OSError(errno.EMFILE, "no descriptor")
            made.append(real(*args))
            return made[-1]

        monkeypatch.setattr(socket, "socket", short)
        one = net.bind(ADDRESS, lambda *_: None)
        with pytest.raises(OSError):
            net.bind(one.address, lambda *_: None)  # in use: the new socket is closed
        assert made[1].fileno() == -1
        with pytest.raises(OSError) as caught:
            net.bind(ADDRESS, lambda *_: None)
        assert caught.value.errno == errno.EMFILE
        one.close()

    run(test, real=True)


def test_a_memory_port_of_a_paused_task_queues_a_limited_number():
    def test(hub, scope):
        net, received, group = MemoryDatagrams(hub), [], object()

        def hold():
            hub.enter_group(group)
            there.append(net.bind(ADDRESS, lambda data, _: received.append(data)))
            hub.sleep(10_000_000)

        there = []
        scope.spawn("holds", hold)
        hub.sleep(1000)
        here = net.bind(ADDRESS, lambda *one: None)
        hub.freeze(group, 1_000_000)
        for number in range(MOST_WAITING + 50):
            here.send(b"%d" % number, there[0].address)
        hub.sleep(500_000)
        assert not received
        hub.sleep(600_000)
        assert len(received) == MOST_WAITING and received[0] == b"0"

    run(test)


# -- heads


def fleet_of(number, **more):
    seeds = (FleetSeedSettings(name="h0", address=("127.0.0.1", 40_000)),)
    values = dict(name=f"h{number}", listen=("127.0.0.1", 40_000 + number), seeds=seeds, probe_us=300_000,
                  answer_us=150_000, gossip_us=60_000, note_us=500_000)  # fmt: skip
    return FleetSettings(**{**values, **more})


class Heads:
    """Heads of one fleet on a virtual hub."""

    def __init__(self, hub, scope, count=3, datagrams=None, **more):
        self.hub, self.net, self.datagrams = hub, MemoryNetwork(hub), datagrams or MemoryDatagrams(hub)
        wiring = Wiring(datagrams=self.datagrams)
        self.sites = [
            Site(hub, self.net, scope, wiring=wiring, fleet=fleet_of(number, **more))
            for number in range(count)
        ]

    def query_status(self, number):
        stream = self.net.connect(self.sites[number].head.fleet.address)
        body = b""
        while data := stream.read(self.hub.now() + 3_000_000):
            body += data
        return parse_document(body)

    def events(self, number):
        return [event for event, _ in self.sites[number].notes]


def test_heads_find_each_other_report_status_and_leave():
    def test(hub, scope):
        heads = Heads(hub, scope)
        hub.sleep(2_000_000)
        statuses = [heads.query_status(number) for number in range(3)]
        assert {one.digest for one in statuses} == {statuses[0].digest} and {
            one.there for one in statuses
        } == {3}
        assert statuses[0].standing == "in" and all(one.agrees for one in statuses[0].members)
        assert all(one.about.volumes == 2 for one in statuses[2].members)
        heads.sites[2].head.stop()
        hub.sleep(1_500_000)
        assert heads.sites[2].task.done
        left = {one.name: one for one in heads.query_status(0).members}["h2"]
        assert left.state == "left" and [word.state for word in left.history] == ["alive", "left"]
        assert ("127.0.0.1", 40_002) not in heads.datagrams.ports
        assert "fleet member" in heads.events(0) and "fleet joins" in heads.events(0)

    run(test)


def test_a_head_whose_fleet_address_is_in_use_does_not_start():
    def test(hub, scope):
        datagrams = MemoryDatagrams(hub)
        datagrams.bind(("127.0.0.1", 40_000), lambda *one: None)
        Heads(hub, scope, 1, datagrams)

    with pytest.raises(OSError, match="taken"):  # the head's error ends the scope that it runs in
        run(test)


def test_the_status_port_serves_few_at_a_time_and_reads_nothing():
    def test(hub, scope):
        heads = Heads(hub, scope, 1)
        address = heads.sites[0].head.fleet.address
        streams = [heads.net.connect(address) for _ in range(30)]
        for stream in streams:
            stream.write(b"GET / HTTP/1.1\r\n\r\n" * 1000)
        answered = 0
        for stream in streams:
            with contextlib.suppress(OSError, DeadlineExceeded):
                answered += bool(stream.read(hub.now() + 100_000))
        assert answered >= 1
        hub.sleep(3_000_000)
        assert heads.query_status(0).there == 1
        assert heads.sites[0].head.fleet._status_connections <= 1

    run(test)


def test_garbage_datagrams_harm_no_head():
    def test(hub, scope):
        heads = Heads(hub, scope)
        rng, port = hub.random, heads.datagrams.bind(ADDRESS, lambda *one: None)
        good = Draft("fleet", Kind.SYNC, "h9", ProcessInstance(1, 9), 1, 1, summary=(7,) * 32).pack()
        for _ in range(2000):
            data = bytearray(good)
            data[rng.randrange(len(data))] = rng.randrange(256)
            port.send(bytes(data[: rng.randrange(len(data) + 1)]), ("127.0.0.1", 40_000 + rng.randrange(3)))
            hub.sleep(500)
        hub.sleep(2_000_000)
        status = heads.query_status(1)
        assert {one.name for one in status.members if one.state == "alive"} >= {"h0", "h1", "h2"}
        assert status.counts["garbage"] > 100 and not [site for site in heads.sites if site.task.done]

    run(test)


def test_a_head_without_fleet_settings_opens_no_port():
    def test(hub, scope):
        net, datagrams = MemoryNetwork(hub), MemoryDatagrams(hub)
        site = Site(hub, net, scope)
        assert site.head.fleet is None and not datagrams.ports
        assert Wiring().datagrams is None

    run(test)


def test_settings_reach_the_protocol_and_documents_are_validated():
    settings = fleet_of(0, probe_us=700_000, forget_us=5, members=9)
    rules = carrier.rules_of(settings)
    assert (rules.probe_us, rules.forget_us, rules.members) == (700_000, 5, 9)
    default = carrier.rules_of(FleetSettings(name="a", listen=("127.0.0.1", 1)))
    assert default == Rules(), "settings and protocol have the same defaults"
    for bad in (b"", b"{}", b"[]", msgspec.json.encode({"fleet": 1})):
        with pytest.raises(MalformedDocument):
            parse_document(bad)


@pytest.mark.real_time
def test_over_sockets_two_heads_find_each_other():
    def test(hub, scope):
        # a port that is free for datagrams may be taken for streams
        net = SocketNetwork(hub)
        places = LoopbackAddresses()
        one = Site(hub, net, scope, fleet=fleet_of(0, listen=places.next(), seeds=()))
        first = one.head.fleet.address
        seeds = (FleetSeedSettings(name="h0", address=first),)
        two = Site(hub, net, scope, fleet=fleet_of(1, listen=places.next(), seeds=seeds))
        until = hub.now() + 10_000_000
        while len(one.head.fleet.swim.view.present) < 2 or len(two.head.fleet.swim.view.present) < 2:
            assert hub.now() < until
            hub.sleep(20_000)
        two.head.stop()
        while not two.task.done:
            assert hub.now() < until
            hub.sleep(20_000)
        assert len(one.head.fleet.swim.view.present) == 1

    run(test, real=True)
