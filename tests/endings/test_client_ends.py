"""The end of a client's connection, forced at each stage of its request, by the client or by the head."""

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
from harriertrack.standin.platform import NO_RESPONSE, RESET, Outage, PlatformDiscovery, PlatformNode, answer
from tests.endings.loopback import PLACES, LoopbackSite, RawClient, client_states, slow_reader
from tests.test_platform import MS, VOLUME, RecordingScheduler, Site
from tests.test_platform_process import config, start

ENDS = pytest.mark.parametrize("end", [RawClient.close, RawClient.reset, RawClient.half_close])
LARGE = b"x" * 65536
READY = b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n"
S = 1_000 * MS
SMALL = 64  # descriptors: 42 for clients, 16 of them for clients that have sent a request


class HoldingScheduler(RecordingScheduler):
    """Withholds events from the module while `holding`; `on_request` is called when requests arrive."""

    holding, on_request = False, None

    def __init__(self, *args):
        super().__init__(*args)
        self.withheld = []

    def handle(self, now, events):
        events, self.withheld = [*self.withheld, *events], []
        if self.holding:
            self.withheld = events
            return []
        if self.on_request is not None and any(isinstance(event, api.RequestArrived) for event in events):
            self.on_request()
        return super().handle(now, events)

    def release(self, head):
        """Handle the withheld events."""
        self.holding = False
        head.core.list_failed()  # any event, so that the module is called


def pump(client, most=1 << 20):
    """Send until the system accepts no more, at most `most` bytes; return how many it accepted."""
    sent = 0
    try:
        while sent < most:
            sent += client.send(b"y" * 65536)
    except (BlockingIOError, ConnectionError):
        pass
    return sent


# -- closed by the client


@ENDS
def test_sent_attempt_is_cancelled_when_its_client_disconnects_behind_unread_bytes(tmp_path, end):
    """Bytes behind the open request are not read; the disconnect has to be detected behind them."""

    def act(site):
        site.script = lambda got: NO_RESPONSE
        client = RawClient(site)
        client.send(site.request())
        site.until(lambda: site.shelfs[1].requests)
        client.send(b"x" * 4096)
        end(client)
        site.until(lambda: site.shelfs[1].closed_connections)
        assert site.head.core.open_requests == 0 and site.head.core.counts.clients_left == 1

    LoopbackSite(tmp_path).run(act)


@ENDS
@pytest.mark.parametrize("behind", [b"", b"z" * 9000, b"GET /look HTTP/1.1\r\n\r\n" * 300])
def test_request_sent_right_before_a_disconnect_is_not_accepted(tmp_path, end, behind):
    """The head receives the request and the disconnect at the same time."""

    def act(site):
        for _ in range(20):
            client = RawClient(site)
            client.send(site.request() + behind)
            end(client)
        site.until(lambda: site.head.front.counts.accepted == 20 and not len(site.head.front.connections))
        assert site.head.core.counts.accepted == site.head.core.counts.sent == 0
        assert not site.shelfs[1].requests

    LoopbackSite(tmp_path).run(act)


def client_whose_request_is_held(site, tried):
    """Return a client whose request the module holds: before its first attempt, or after one that was reset."""
    module = site.head.module

    def hold_and_reset(_got):
        module.holding = True
        return RESET

    site.script, module.holding = hold_and_reset, not tried
    client = RawClient(site)
    client.send(site.request())
    awaited = [api.RequestArrived, api.AttemptEnded][tried]
    site.until(lambda: any(isinstance(event, awaited) for event in module.withheld))
    return client


@ENDS
@pytest.mark.parametrize("tried", [0, 1])
@pytest.mark.parametrize("behind", [0, 4096])
def test_request_held_by_the_module_is_not_sent_after_its_client_disconnected(tmp_path, end, tried, behind):
    """Before the first attempt, and between two attempts."""

    def act(site):
        module, client = site.head.module, client_whose_request_is_held(site, tried)
        client.send(b"x" * behind)
        end(client)
        site.until(lambda: any(isinstance(event, api.ClientLeft) for event in module.withheld))
        module.release(site.head)
        site.until(lambda: not module.withheld)
        site.hub.sleep(20 * MS)
        assert len(site.shelfs[1].requests) == tried and site.head.core.open_requests == 0

    LoopbackSite(tmp_path, module=HoldingScheduler).run(act)


@ENDS
def test_disconnect_while_the_head_is_busy_is_detected_before_anything_is_sent(tmp_path, end):
    """The last poll is old when the module decides, so the client has to be polled again."""

    def act(site):
        clients = [RawClient(site) for _ in range(10)]
        for client in clients:  # these requests leave idle connections to the node
            client.send(site.request())
        for client in clients:
            assert client.until_answered()[0] == 200
        site.until(lambda: site.head.storage_nodes.pool.pick("s1", site.hub.now()) is not None)

        def leave():
            while clients:
                end(clients.pop())
            time.sleep(0.04)

        site.head.module.on_request = leave
        for client in list(clients):
            client.send(site.request())
        site.until(lambda: site.head.core.counts.clients_left == 10)
        site.hub.sleep(20 * MS)
        assert (
            len(site.shelfs[1].requests) == 10
            and not site.head.core.open_requests
            and not site.head.front.open_requests
        )

    LoopbackSite(tmp_path, module=HoldingScheduler).run(act)


@ENDS
@pytest.mark.parametrize("sent", [False, True])
def test_same_trace_id_is_served_before_the_disconnect_was_polled_unless_it_reached_a_node(
    tmp_path, end, sent, monkeypatch
):
    def act(site):
        module, admit = site.head.module, ClientConnection._admit
        site.script, module.holding = (lambda got: NO_RESPONSE), not sent
        old, new_client, same = RawClient(site), RawClient(site), site.request(trace="00000000000000aa")
        old.send(same)
        arrived = (
            (lambda: site.shelfs[1].requests) if sent else (lambda: len(site.head.front.open_requests) == 1)
        )
        site.until(arrived)
        site.script, module.holding = (lambda got: answer(b"fresh")), False

        def admit_after_end(connection, parsed):
            end(old)
            admit(connection, parsed)

        monkeypatch.setattr(ClientConnection, "_admit", admit_after_end)
        new_client.send(same)
        status, _, body = new_client.until_answered()
        assert (status, body == b"fresh") == ((409, False) if sent else (200, True))
        assert len(site.shelfs[1].requests) == 1
        assert site.head.core.counts.clients_left == 1 and not site.head.front.open_requests

    LoopbackSite(tmp_path, module=HoldingScheduler).run(act)


# -- closed by the head


def test_request_sent_byte_by_byte_is_served(tmp_path):
    def act(site):
        client = RawClient(site)
        for byte in site.request(True, body="goal"):
            client.send(bytes([byte]))
            site.hub.sleep(0)
        assert client.until_answered()[0] == 200 and site.shelfs[1].requests[0].body == b"goal"

    LoopbackSite(tmp_path).run(act)


BAD = {
    "unreadable": (b"\x00\x01 noise \r\n\r\n", 400),
    "60 MB": (b"PUT /note?object=7f3a9c21e0b4d655 HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n", 413),
    "fields without end": (b"GET / HTTP/1.1\r\n" + b"A: b\r\n" * 4000, 431),
}


@pytest.mark.parametrize("kind", BAD)
def test_error_arrives_at_a_client_that_keeps_sending_and_reads_late(tmp_path, kind, monkeypatch):
    """The linger timeout is long and ended by the test: a pause of the machine must not end it early."""
    data, status = BAD[kind]
    lingers = {**dict(client_connections.STATE_TIMEOUTS), ClientState.LINGERING: 100 * S}
    monkeypatch.setattr(client_connections, "STATE_TIMEOUTS", tuple(lingers.items()))

    def act(site):
        client = RawClient(site)
        client.send(data)
        for part in (2, 4):
            pump(client, LINGER_BYTES // part)
            site.until(lambda: client.unacknowledged() == 0)
        site.until(lambda: client_states(site) == [ClientState.LINGERING])
        (connection,) = site.head.front.connections._state
        site.until(connection.silent)
        site.hub.clock.leap(100 * S)
        site.until(lambda: site.head.front.counts.bad_requests and not len(site.head.front.connections))
        assert not client.was_reset()
        assert client.until_answered()[0] == status
        assert client.until_ended() == b"" and not client.broken

    LoopbackSite(tmp_path).run(act)


def test_endless_sender_is_answered_read_up_to_a_limit_and_closed(tmp_path):
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


def test_last_answer_arrives_despite_unread_bytes_behind_its_request(tmp_path):
    def act(site):
        client = RawClient(site)
        client.send(site.request(Connection="close"))
        site.until(lambda: site.shelfs[1].requests)
        client.send(b"x" * 4096)
        assert client.until_answered()[0] == 200
        assert client.until_ended() == b"" and not client.broken

    LoopbackSite(tmp_path).run(act)


def test_partial_request_is_answered_in_time_despite_unread_bytes(tmp_path, monkeypatch):
    longest = ((ClientState.READING, 50 * MS), (ClientState.LINGERING, 50 * MS))
    monkeypatch.setattr("harriertrack.decisions.client_connections.STATE_TIMEOUTS", longest)

    def act(site):
        client = RawClient(site)
        for byte in site.request():
            client.send(bytes([byte]))
            site.hub.sleep(5 * MS)
            if client_states(site) == [ClientState.LINGERING]:
                break
        pump(client, LINGER_BYTES // 2)
        site.until(lambda: not len(site.head.front.connections))
        assert not client.was_reset()
        assert client.until_answered()[0] == 408 and not site.shelfs[1].requests

    LoopbackSite(tmp_path).run(act)


def test_lingering_connections_block_no_new_ones(tmp_path):
    def act(site):
        most = site.head.front.connections.limit
        bad = [RawClient(site) for _ in range(most)]
        for client in bad:
            client.send(BAD["unreadable"][0])
        site.until(lambda: client_states(site) == [ClientState.LINGERING] * most)
        new_clients = [RawClient(site) for _ in range(8)]
        for client in new_clients:
            client.send(site.request())
        assert [client.until_answered()[0] for client in new_clients] == [200] * 8
        assert len(site.head.front.connections) == most
        assert all(client.until_answered()[0] == 400 for client in bad)

    LoopbackSite(tmp_path, sockets=SMALL).run(act)


def test_slowly_read_answer_is_neither_evicted_nor_closed_as_idle(tmp_path, monkeypatch):
    monkeypatch.setattr(
        "harriertrack.decisions.client_connections.STATE_TIMEOUTS", ((ClientState.IDLE, 20 * MS),)
    )
    monkeypatch.setattr("harriertrack.service.front.EXPIRY_CHECK_PERIOD_US", 10 * MS)
    site = LoopbackSite(tmp_path, sockets=SMALL)
    site.script = lambda got: answer(LARGE)

    def act(site):
        client = slow_reader(site)
        client.send(site.request(**{"X-Expires-In-Ms": "1400"}))
        site.until(lambda: ClientState.SENDING in client_states(site))
        others = [RawClient(site) for _ in range(60)]
        site.hub.sleep(50 * MS)
        assert ClientState.SENDING in client_states(site) and len(others) == 60
        assert client.until_answered()[2] == LARGE
        site.until(lambda: ClientState.SENDING not in client_states(site))

    site.run(act)


def test_unread_answer_is_abandoned_once_it_is_too_late(tmp_path, monkeypatch):
    monkeypatch.setattr("harriertrack.service.front.MAX_LATENESS_US", 100 * MS)
    site = LoopbackSite(tmp_path)
    site.script = lambda got: answer(LARGE)

    def act(site):
        client, began = slow_reader(site), site.hub.now()
        client.send(site.request(**{"X-Expires-In-Ms": "100"}))
        site.until(lambda: ClientState.SENDING in client_states(site))
        site.until(lambda: not len(site.head.front.connections))
        assert site.hub.now() - began > 150 * MS
        assert LARGE not in client.until_ended()

    site.run(act)


def test_one_system_call_reads_a_request_and_one_sends_its_answer(tmp_path):
    class Counted:
        def __init__(self, sock):
            self._sock, self.calls = sock, []

        def __getattr__(self, name):
            self.calls += [name] if name in ("recv", "sendmsg", "shutdown") else []
            return getattr(self._sock, name)

    def act(site):
        client = RawClient(site)
        site.until(lambda: len(site.head.front.connections))
        (connection,) = site.head.front.connections._state
        counted = connection._stream._sock = Counted(connection._stream._sock)
        for _ in range(3):
            client.send(site.request())
            assert client.until_answered()[0] == 200
        assert counted.calls == ["recv", "sendmsg"] * 3

    LoopbackSite(tmp_path).run(act)


@pytest.mark.parametrize("kind", ["new", "reading", "idle"])
def test_received_bytes_are_read_before_their_connection_is_closed_as_overdue(tmp_path, kind, monkeypatch):
    longest = tuple((state, 50 * MS) for state in (ClientState.NEW, ClientState.READING, ClientState.IDLE))
    monkeypatch.setattr("harriertrack.decisions.client_connections.STATE_TIMEOUTS", longest)

    def act(site):
        client, connections = RawClient(site), site.head.front.connections
        rest, overdue = site.request(), connections.expired
        if kind == "idle":
            client.send(site.request())
            assert client.until_answered()[0] == 200
        elif kind == "reading":
            client.send(rest[:40])
            rest = rest[40:]
        sends = [lambda: client.send(rest)]

        def send_then_check(now):
            if overdue(now) and sends:
                sends.pop()()
            return overdue(now)

        connections.expired = send_then_check
        assert client.until_answered()[0] == 200 and not sends

    LoopbackSite(tmp_path).run(act)


def test_connection_with_an_unread_request_is_not_evicted_for_a_new_one(tmp_path):
    def act(site):
        clients = [RawClient(site) for _ in range(site.head.front.connections.used_limit)]
        for client in clients:
            client.send(site.request())
            assert client.until_answered()[0] == 200
        first, connections = clients[0], site.head.front.connections
        accept = connections.accept

        def send_then_accept(*args):
            first.send(site.request())
            return accept(*args)

        connections.accept = send_then_accept
        new_client = RawClient(site)
        new_client.send(site.request())
        assert first.until_answered()[0] == new_client.until_answered()[0] == 200
        assert clients[1].until_ended() == b""

    LoopbackSite(tmp_path, sockets=SMALL).run(act)


def test_requests_are_served_during_a_flood_of_new_connections(tmp_path):
    def act(site):
        client, seen = RawClient(site), []
        client.send(READY)
        assert client.until_answered()[0] == 200
        send, counts = site.head.storage_nodes.send, site.head.front.counts

        def recording_send(attempt):
            seen.append(counts.accepted)
            send(attempt)

        site.head.storage_nodes.send = recording_send
        flood = [RawClient(site) for _ in range(200)]
        client.send(site.request())
        assert client.until_answered()[0] == 200 and seen[0] <= 3 * ACCEPTS_PER_ROUND
        site.until(lambda: counts.accepted == 1 + len(flood))

    LoopbackSite(tmp_path, sockets=1024).run(act)


@pytest.mark.real_time
def test_idle_clients_use_only_their_share_of_descriptors_while_discovery_is_down(tmp_path):
    """The head is a process limited to its configured descriptors: discovery, nodes and readiness keep their share."""
    hub = Hub()
    net, place = SocketNetwork(hub), PLACES.next()
    shelf, discovery = PlatformNode(hub, net, lambda got: answer(b"goal")), PlatformDiscovery(hub, net)
    discovery.set_server("s0", shelf.address, 0)
    discovery.outage = Outage.SILENT
    given = config(place, discovery)
    given["limits"]["sockets"], descriptors = SMALL, []
    site = SimpleNamespace(
        hub=hub, place=place, number=0, until=lambda condition: LoopbackSite.until(site, condition, 30 * S)
    )

    def send_once(data):
        client = RawClient(site)
        client.send(data)
        descriptors.append(len(os.listdir(f"/proc/{site.process.pid}/fd")))
        site.until(lambda: client.receive() and (client.ended or b"\r\n\r\n" in client.received))
        return int(client.received.split(b" ")[1]) if client.received else 0

    def answered(data):
        """Send over new connections until one is answered: at first no other connection may be evictable."""
        while not (status := send_once(data)):
            pass
        return status

    def request_bytes():
        return Site.request(site, **{"X-Placement": f"volume={VOLUME},units=1,shard=0,hosts=2"})

    def is_listening():
        with socket.socket() as probe:
            return not probe.connect_ex(place)

    def main():
        with hub.scope("test") as scope:
            shelf.start(scope)
            discovery.start(scope)
            process = site.process = start(tmp_path, given)
            try:
                resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (SMALL, SMALL))
                site.until(is_listening)
                idle = [RawClient(site) for _ in range(2 * SMALL)]
                for client in idle[::2]:
                    with contextlib.suppress(ConnectionError):
                        client.send(request_bytes())
                assert answered(READY) == answered(request_bytes()) == 200
                idle += [RawClient(site) for _ in range(2 * SMALL)]
                calls = len(discovery.calls)
                discovery.outage = Outage.NONE
                discovery.reset_connections()
                site.until(lambda: len(discovery.calls) > calls + 1)  # the previous one was answered
                assert answered(request_bytes()) == 200
                # Some stay free: 42 are for clients, 10 for nodes, the rest for everything else.
                assert max(descriptors) < SMALL
            finally:
                process.kill()
                assert "Traceback" not in process.communicate()[1]
            scope.cancel()

    hub.run(main)
