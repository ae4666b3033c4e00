"""The end of a client's connection, forced at each instant of its request's life, by the client or by the head."""

import contextlib
import os
import resource
import socket
import time
from types import SimpleNamespace

import pytest

from harriertrack.decisions import client_connections, interface as api
from harriertrack.decisions.client_connections import ACCEPTS_PER_ROUND, LINGER_BYTES, ClientState
from harriertrack.service.front import ClientConnection
from harriertrack.runtime.hub import Hub
from harriertrack.runtime.streams import SocketNetwork
from harriertrack.standin.platform import MUTE, RESET, Outage, PlatformDiscovery, PlatformShelf, answer
from tests.endings.loopback import PLACES, LoopbackSite, RawClient, caller_states, slow_reader
from tests.test_platform import MS, VOLUME, Hears, Site
from tests.test_platform_process import config, start

ENDS = pytest.mark.parametrize("end", [RawClient.close, RawClient.reset, RawClient.half_close])
LARGE = b"x" * 65536
READY = b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n"
S = 1_000 * MS
SMALL = 64  # descriptors: 42 places for clients, 16 of them for such that have asked


class Holds(Hears):
    """Hears nothing while it is told to hold; `acts` is called as it hears of requests."""

    holds, acts = False, None

    def __init__(self, *args):
        super().__init__(*args)
        self.unheard = []

    def handle(self, now, events):
        events, self.unheard = [*self.unheard, *events], []
        if self.holds:
            self.unheard = events
            return []
        if self.acts is not None and any(isinstance(event, api.RequestArrived) for event in events):
            self.acts()
        return super().handle(now, events)

    def release(self, head):
        """Hear all that was held back."""
        self.holds = False
        head.core.list_failed()  # any event: the module is called


def pump(client, most=1 << 20):
    """Send until the system takes no more, at most so much; return how much it took."""
    sent = 0
    try:
        while sent < most:
            sent += client.send(b"y" * 65536)
    except (BlockingIOError, ConnectionError):
        pass
    return sent


# -- the client ends it


@ENDS
def test_an_attempt_that_is_out_is_given_up_when_its_client_ends_though_bytes_lie_unread(tmp_path, end):
    """Bytes behind the open request are not read; the end has to show behind them all the same."""

    def act(site):
        site.script = lambda got: MUTE
        client = RawClient(site)
        client.send(site.request())
        site.until(lambda: site.shelfs[1].got)
        client.send(b"x" * 4096)
        end(client)
        site.until(lambda: site.shelfs[1].ended)
        assert site.head.core.open_requests == 0 and site.head.core.counts.clients_left == 1

    LoopbackSite(tmp_path).run(act)


@ENDS
@pytest.mark.parametrize("behind", [b"", b"z" * 9000, b"GET /look HTTP/1.1\r\n\r\n" * 300])
def test_what_a_client_sends_before_it_goes_is_not_taken(tmp_path, end, behind):
    """The head finds the request and the end at once."""

    def act(site):
        for _ in range(20):
            client = RawClient(site)
            client.send(site.request() + behind)
            end(client)
        site.until(lambda: site.head.front.counts.taken == 20 and not len(site.head.front.connections))
        assert site.head.core.counts.accepted == site.head.core.counts.sent == 0
        assert not site.shelfs[1].got

    LoopbackSite(tmp_path).run(act)


@ENDS
@pytest.mark.parametrize("tried", [0, 1])
@pytest.mark.parametrize("behind", [0, 4096])
def test_what_the_module_holds_is_not_sent_once_its_client_has_ended(tmp_path, end, tried, behind):
    """Before the first attempt, and between two."""

    def act(site):
        module = site.head.module

        def breaks(_got):
            module.holds = True
            return RESET

        site.script, module.holds = breaks, not tried
        client = RawClient(site)
        client.send(site.request())
        heard = [api.RequestArrived, api.AttemptEnded][tried]
        site.until(lambda: any(isinstance(event, heard) for event in module.unheard))
        client.send(b"x" * behind)
        end(client)
        site.until(lambda: any(isinstance(event, api.ClientLeft) for event in module.unheard))
        module.release(site.head)
        site.until(lambda: not module.unheard)
        site.hub.sleep(20 * MS)
        assert len(site.shelfs[1].got) == tried and site.head.core.open_requests == 0

    LoopbackSite(tmp_path, module=Holds).run(act)


@ENDS
def test_an_end_that_comes_while_the_head_is_busy_is_seen_before_anything_is_sent(tmp_path, end):
    """The last poll is old when the module speaks: the client is looked at anew."""

    def act(site):
        clients = [RawClient(site) for _ in range(10)]
        for client in clients:  # these leave idle connections to the node
            client.send(site.request())
        for client in clients:
            assert client.until_answered()[0] == 200
        site.until(lambda: site.head.storage_nodes.pool.pick("s1", site.hub.now()) is not None)

        def leave():
            while clients:
                end(clients.pop())
            time.sleep(0.04)

        site.head.module.acts = leave
        for client in list(clients):
            client.send(site.request())
        site.until(lambda: site.head.core.counts.clients_left == 10)
        site.hub.sleep(20 * MS)
        assert len(site.shelfs[1].got) == 10 and not site.head.core.open_requests and not site.head.front.open

    LoopbackSite(tmp_path, module=Holds).run(act)


@ENDS
def test_the_same_id_over_a_new_connection_is_served_though_the_old_ones_end_was_not_polled(
    tmp_path, end, monkeypatch
):
    def act(site):
        site.script = lambda got: MUTE
        old, fresh, same = RawClient(site), RawClient(site), site.request(trace="00000000000000aa")
        old.send(same)
        site.until(lambda: site.shelfs[1].got)
        site.script, take = (lambda got: answer(b"fresh")), ClientConnection._take

        def takes(caller, asked):
            end(old)
            take(caller, asked)

        monkeypatch.setattr(ClientConnection, "_take", takes)
        fresh.send(same)
        assert fresh.until_answered()[2] == b"fresh"
        assert site.head.core.counts.clients_left == 1 and not site.head.front.open

    LoopbackSite(tmp_path).run(act)


# -- the head ends it


def test_a_request_in_pieces_of_one_byte_is_served(tmp_path):
    def act(site):
        client = RawClient(site)
        for byte in site.request(True, body="goal"):
            client.send(bytes([byte]))
            site.hub.sleep(0)
        assert client.until_answered()[0] == 200 and site.shelfs[1].got[0].body == b"goal"

    LoopbackSite(tmp_path).run(act)


BAD = {
    "unreadable": (b"\x00\x01 noise \r\n\r\n", 400),
    "60 MB": (b"PUT /note?object=7f3a9c21e0b4d655 HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n", 413),
    "fields without end": (b"GET / HTTP/1.1\r\n" + b"A: b\r\n" * 4000, 431),
}


@pytest.mark.parametrize("kind", BAD)
def test_the_error_for_a_client_that_sends_on_arrives_though_it_reads_only_then(tmp_path, kind, monkeypatch):
    """The time to linger is over once the test says so: a machine that stands still must not end it."""
    said, status = BAD[kind]
    lingers = {**dict(client_connections.STATE_TIMEOUTS), ClientState.LINGERING: 100 * S}
    monkeypatch.setattr(client_connections, "STATE_TIMEOUTS", tuple(lingers.items()))

    def act(site):
        client = RawClient(site)
        client.send(said)
        for part in (2, 4):
            pump(client, LINGER_BYTES // part)
            site.until(lambda: client.unacknowledged() == 0)
        site.until(lambda: caller_states(site) == [ClientState.LINGERING])
        (caller,) = site.head.front.connections._state
        site.until(caller.silent)
        site.hub.clock.leap(100 * S)
        site.until(lambda: site.head.front.counts.bad and not len(site.head.front.connections))
        assert not client.was_reset()
        assert client.until_answered()[0] == status
        assert client.until_ended() == b"" and not client.broken

    LoopbackSite(tmp_path).run(act)


def test_a_client_that_sends_without_end_is_answered_read_for_a_bounded_part_and_closed(tmp_path):
    def act(site):
        client, began, sent = RawClient(site), site.hub.now(), 0
        client.send(BAD["60 MB"][0])
        while not client.ended and sent < 60_000_000:
            sent += pump(client)
            client.receive()
            site.hub.sleep(1 * MS)
        assert client.received.startswith(b"HTTP/1.1 413") and client.received.endswith(b"64 KiB\n")
        site.until(lambda: not len(site.head.front.connections))
        assert sent < 30_000_000 and site.hub.now() - began < 3_000 * MS

    LoopbackSite(tmp_path).run(act)


def test_a_last_answer_arrives_though_bytes_lie_unread_behind_its_request(tmp_path):
    def act(site):
        client = RawClient(site)
        client.send(site.request(Connection="close"))
        site.until(lambda: site.shelfs[1].got)
        client.send(b"x" * 4096)
        assert client.until_answered()[0] == 200
        assert client.until_ended() == b"" and not client.broken

    LoopbackSite(tmp_path).run(act)


def test_half_a_request_is_answered_in_time_though_more_of_it_lies_unread(tmp_path, monkeypatch):
    longest = ((ClientState.READING, 50 * MS), (ClientState.LINGERING, 50 * MS))
    monkeypatch.setattr("harriertrack.decisions.client_connections.STATE_TIMEOUTS", longest)

    def act(site):
        client = RawClient(site)
        for byte in site.request():
            client.send(bytes([byte]))
            site.hub.sleep(5 * MS)
            if caller_states(site) == [ClientState.LINGERING]:
                break
        pump(client, LINGER_BYTES // 2)
        site.until(lambda: not len(site.head.front.connections))
        assert not client.was_reset()
        assert client.until_answered()[0] == 408 and not site.shelfs[1].got

    LoopbackSite(tmp_path).run(act)


def test_connections_that_linger_keep_no_newcomer_out(tmp_path):
    def act(site):
        most = site.head.front.connections.limit
        bad = [RawClient(site) for _ in range(most)]
        for client in bad:
            client.send(BAD["unreadable"][0])
        site.until(lambda: caller_states(site) == [ClientState.LINGERING] * most)
        fresh = [RawClient(site) for _ in range(8)]
        for client in fresh:
            client.send(site.request())
        assert [client.until_answered()[0] for client in fresh] == [200] * 8
        assert len(site.head.front.connections) == most
        assert all(client.until_answered()[0] == 400 for client in bad)

    LoopbackSite(tmp_path, sockets=SMALL).run(act)


def test_an_answer_that_is_read_slowly_is_neither_evicted_nor_closed_as_idle(tmp_path, monkeypatch):
    monkeypatch.setattr(
        "harriertrack.decisions.client_connections.STATE_TIMEOUTS", ((ClientState.IDLE, 20 * MS),)
    )
    monkeypatch.setattr("harriertrack.service.front.LOOK_US", 10 * MS)
    site = LoopbackSite(tmp_path, sockets=SMALL)
    site.script = lambda got: answer(LARGE)

    def act(site):
        client = slow_reader(site)
        client.send(site.request(**{"X-Expires-In-Ms": "1400"}))
        site.until(lambda: ClientState.SENDING in caller_states(site))
        others = [RawClient(site) for _ in range(60)]
        site.hub.sleep(50 * MS)
        assert ClientState.SENDING in caller_states(site) and len(others) == 60
        assert client.until_answered()[2] == LARGE
        site.until(lambda: ClientState.SENDING not in caller_states(site))

    site.run(act)


def test_an_answer_that_nobody_reads_is_given_up_when_it_is_worth_nothing(tmp_path, monkeypatch):
    monkeypatch.setattr("harriertrack.service.front.MAX_LATENESS_US", 100 * MS)
    site = LoopbackSite(tmp_path)
    site.script = lambda got: answer(LARGE)

    def act(site):
        client, began = slow_reader(site), site.hub.now()
        client.send(site.request(**{"X-Expires-In-Ms": "100"}))
        site.until(lambda: ClientState.SENDING in caller_states(site))
        site.until(lambda: not len(site.head.front.connections))
        assert site.hub.now() - began > 150 * MS
        assert LARGE not in client.until_ended()

    site.run(act)


def test_an_answer_takes_one_call_to_send_and_its_request_one_to_read(tmp_path):
    class Counted:
        def __init__(self, sock):
            self._sock, self.calls = sock, []

        def __getattr__(self, name):
            self.calls += [name] if name in ("recv", "sendmsg", "shutdown") else []
            return getattr(self._sock, name)

    def act(site):
        client = RawClient(site)
        site.until(lambda: len(site.head.front.connections))
        (caller,) = site.head.front.connections._state
        counted = caller._stream._sock = Counted(caller._stream._sock)
        for _ in range(3):
            client.send(site.request())
            assert client.until_answered()[0] == 200
        assert counted.calls == ["recv", "sendmsg"] * 3

    LoopbackSite(tmp_path).run(act)


@pytest.mark.parametrize("kind", ["new", "reading", "idle"])
def test_what_has_just_come_is_read_before_its_connection_is_closed_as_overdue(tmp_path, kind, monkeypatch):
    longest = tuple((state, 50 * MS) for state in (ClientState.NEW, ClientState.READING, ClientState.IDLE))
    monkeypatch.setattr("harriertrack.decisions.client_connections.STATE_TIMEOUTS", longest)

    def act(site):
        client, callers = RawClient(site), site.head.front.connections
        rest, overdue = site.request(), callers.expired
        if kind == "idle":
            client.send(site.request())
            assert client.until_answered()[0] == 200
        elif kind == "reading":
            client.send(rest[:40])
            rest = rest[40:]
        sends = [lambda: client.send(rest)]

        def looks(now):
            if overdue(now) and sends:
                sends.pop()()
            return overdue(now)

        callers.expired = looks
        assert client.until_answered()[0] == 200 and not sends

    LoopbackSite(tmp_path).run(act)


def test_a_connection_over_which_a_request_has_come_is_not_closed_for_a_newcomer(tmp_path):
    def act(site):
        clients = [RawClient(site) for _ in range(site.head.front.connections.used_limit)]
        for client in clients:
            client.send(site.request())
            assert client.until_answered()[0] == 200
        first, callers = clients[0], site.head.front.connections
        came = callers.accept

        def comes(*args):
            first.send(site.request())
            return came(*args)

        callers.accept = comes
        fresh = RawClient(site)
        fresh.send(site.request())
        assert first.until_answered()[0] == fresh.until_answered()[0] == 200
        assert clients[1].until_ended() == b""

    LoopbackSite(tmp_path, sockets=SMALL).run(act)


def test_a_flood_of_connections_waits_while_what_came_over_others_has_its_turn(tmp_path):
    def act(site):
        client, seen = RawClient(site), []
        client.send(READY)
        assert client.until_answered()[0] == 200
        send, counts = site.head.storage_nodes.send, site.head.front.counts

        def sends(attempt):
            seen.append(counts.taken)
            send(attempt)

        site.head.storage_nodes.send = sends
        flood = [RawClient(site) for _ in range(200)]
        client.send(site.request())
        assert client.until_answered()[0] == 200 and seen[0] <= 3 * ACCEPTS_PER_ROUND
        site.until(lambda: counts.taken == 1 + len(flood))

    LoopbackSite(tmp_path, sockets=1024).run(act)


@pytest.mark.real_time
def test_idle_clients_fill_their_places_alone_while_discovery_is_down(tmp_path):
    """A head as a process that has just the descriptors it is told: discovery, nodes and readiness get theirs."""
    hub = Hub()
    net, place = SocketNetwork(hub), PLACES.next()
    shelf, discovery = PlatformShelf(hub, net, lambda got: answer(b"goal")), PlatformDiscovery(hub, net)
    discovery.set("s0", shelf.address, 0)
    discovery.outage = Outage.SILENT
    given = config(place, discovery)
    given["limits"]["sockets"], held = SMALL, []
    site = SimpleNamespace(
        hub=hub, place=place, number=0, until=lambda holds: LoopbackSite.until(site, holds, 30 * S)
    )

    def tried(data):
        client = RawClient(site)
        client.send(data)
        held.append(len(os.listdir(f"/proc/{site.process.pid}/fd")))
        site.until(lambda: client.receive() and (client.ended or b"\r\n\r\n" in client.received))
        return int(client.received.split(b" ")[1]) if client.received else 0

    def answered(data):
        """Ask over new connections until one gets an answer: none of the others may be closed for it at first."""
        while not (status := tried(data)):
            pass
        return status

    def asks():
        return Site.request(site, **{"X-Placement": f"volume={VOLUME},units=1,shard=0,hosts=2"})

    def listens():
        with socket.socket() as probe:
            return not probe.connect_ex(place)

    def main():
        with hub.scope("test") as scope:
            shelf.start(scope)
            discovery.start(scope)
            process = site.process = start(tmp_path, given)
            try:
                resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (SMALL, SMALL))
                site.until(listens)
                idle = [RawClient(site) for _ in range(2 * SMALL)]
                for client in idle[::2]:
                    with contextlib.suppress(ConnectionError):
                        client.send(asks())
                assert answered(READY) == answered(asks()) == 200
                idle += [RawClient(site) for _ in range(2 * SMALL)]
                asked = len(discovery.calls)
                discovery.outage = Outage.NONE
                discovery.reset()
                site.until(lambda: len(discovery.calls) > asked + 1)  # one was answered
                assert answered(asks()) == 200
                assert max(held) < SMALL  # never all: 42 for clients, 10 for nodes, the rest for all else
            finally:
                process.kill()
                assert "Traceback" not in process.communicate()[1]
            scope.cancel()

    hub.run(main)
