"""The platform's head on the virtual clock, with in-memory stand-ins of clients, nodes and discovery."""

import copy
import json

import pytest

from harriertrack.decisions import Scheduler, interface as api
from harriertrack.decisions.graceful_shutdown import DRAIN_US, Phase
from harriertrack.decisions.connection_pool import REUSE_DELAY_US
from harriertrack.runtime.hub import DeadlineExceeded, Hub
from harriertrack.runtime.memory_streams import MemoryNetwork
from harriertrack.service.configuration import ConfigurationError, read_configuration
from harriertrack.service.head import PlatformHead
from harriertrack.standin.platform import (
    NO_RESPONSE,
    NEVER_RAN,
    RESET,
    PlatformDiscovery,
    PlatformNode,
    answer,
    header_fields,
    read_message,
)

MS = 1000
VOLUME = "00000003b4d60021"
SETTINGS = {
    "nInstances": 2, "tickUs": 2000, "discovery": "on_request",
    "lanes": [
        {"name": "look", "aimUs": 300 * MS, "giveUpUs": 1500 * MS, "idempotency": "read_like", "value": 3.0},
        {"name": "note", "aimUs": 500 * MS, "giveUpUs": 2500 * MS, "idempotency": "idempotency_key", "group": "cell",
         "keyTtlUs": 2500 * MS, "value": 2.0},
    ],
    "contracts": [{"name": "gold", "baseRate": 500, "reserve": 300, "shares": 1}],
    "permissions": {"sendCap": 3, "mayCancel": True, "retryAfter": True, "maxRetryAfterUs": 500 * MS, "mostHeld": 1000,
                    "connIdleUs": 3_000_000, "dialTimeoutUs": 250 * MS, "probes": True},
    "safety": {"drainGraceUs": 2_000_000, "fallUs": 2_000_000, "overloadFactor": 2, "startCapacity": 0.2,
               "warmAfterUs": 10_000_000, "askWithinUs": 10_000_000},
    "familyInfo": {"usualUnits": 2, "mostUnits": 6, "coldUnits": 8, "slotsTotal": 2, "classWrites": [False, True]},
}  # fmt: skip


class RecordingScheduler(Scheduler):
    """The module, recording the events that it receives."""

    def __init__(self, *args):
        super().__init__(*args)
        self.events = []

    def handle(self, now, events):
        self.events += events
        return super().handle(now, events)

    def results(self):
        return [event.result for event in self.events if isinstance(event, api.AttemptEnded)]


class Site:
    """A head, two nodes and discovery; `run` runs a test in simulated time."""

    def __init__(self, tmp_path, sockets=256, known=True, module=RecordingScheduler, **settings):
        self.hub, self.net, self.place = self.surroundings()
        self.script = lambda got: answer(b"body of " + got.request_line.split("=")[1][:16].encode())
        self.shelfs = [PlatformNode(self.hub, self.net, lambda got: self.script(got)) for _ in range(2)]
        self.discovery = PlatformDiscovery(self.hub, self.net)
        for cell, shelf in enumerate(self.shelfs):
            self.discovery.set_server(f"s{cell}", shelf.address, cell)
        self.path, self.notes = tmp_path / "config.json", []
        self.given = {
            "name": "n1", "listen": "{}:{}".format(*self.place), "discovery": f"127.0.0.1:{self.discovery.address[1]}",
            "seed": "8c1f", "limits": {"cores": 1.0, "memory_mb": 64, "sockets": sockets},
            "known": self.discovery.full_list() if known else {"version": 0, "full": True, "servers": []},
            "settings": {**copy.deepcopy(SETTINGS), **settings},
        }  # fmt: skip
        self.module = module
        self.head = PlatformHead(self.hub, self.net, self.configuration(), self.note, module)
        self.number = 0
        self.begin = lambda: None  # a task that runs in parallel to the head's start

    def surroundings(self):
        """Return the hub, the network and the address that the head listens on."""
        hub = Hub.virtual(3)
        return hub, MemoryNetwork(hub), ("127.0.0.1", 9000)

    def note(self, event, **fields):
        self.notes.append((event, fields))

    def configuration(self):
        self.path.write_text(json.dumps(self.given))
        return read_configuration({"PROXY_NAME": "n1", "PROXY_LISTEN": self.given["listen"], "PROXY_DISCOVERY": "x:1",
                     "PROXY_CONFIG": str(self.path)})  # fmt: skip

    def run(self, act):
        def main():
            with self.hub.scope("test") as scope:
                self.scope = scope
                for shelf in self.shelfs:
                    shelf.start(scope)
                self.discovery.start(scope)
                scope.spawn("head", self.head.run)
                scope.spawn("begin", self.begin)
                self.head.ready.wait()
                self.hub.sleep(20 * MS)
                act(self)
                scope.cancel()

        self.hub.run(main)

    def connect(self):
        return self.net.connect(self.place, name="client")

    def request(self, writes=False, trace=None, **changes):
        self.number += 1
        given = {
            "method": "PUT" if writes else "GET", "path": f"/{'note' if writes else 'look'}",
            "query": "object=7f3a9c21e0b4d655", "X-Trace-Id": trace or f"{self.number:016x}", "X-Qos-Policy": "gold",
            "X-Expires-In-Ms": "480", "X-Placement": f"volume={VOLUME},units=2,shard=1,hosts=2", "body": "",
            "Content-Length": None, "Idempotency-Key": f"k{self.number}" if writes else None, **changes,
        }  # fmt: skip
        body = given.pop("body").encode()
        if given["Content-Length"] is None:
            given["Content-Length"] = str(len(body)) if writes else None
        line = f"{given.pop('method')} {given.pop('path')}?{given.pop('query')} HTTP/1.1\r\nHost: api.internal\r\n"
        fields = "".join(f"{name}: {value}\r\n" for name, value in given.items() if value is not None)
        return (line + fields + "\r\n").encode() + body

    def ask(self, request, stream=None, within=3000 * MS):
        """Send a request; return (status, fields, body), or None if it is closed without an answer."""
        stream = stream or self.connect()
        stream.write(request)
        return self.answered(stream, within)

    def answered(self, stream, within=3000 * MS):
        try:
            head, body, _ = read_message(stream, b"", self.hub.now() + within)
        except ConnectionError:
            return None
        return (int(head.split(b" ")[1]), header_fields(head), body) if head else None


@pytest.fixture
def site(tmp_path):
    return Site(tmp_path)


def test_requests_reach_their_shard_and_bodies_return_unchanged_over_reused_connections(site):
    site.script = lambda got: answer(bytes(range(256)), extra=b"X-Iops-Used: 85\r\n")

    def act(site):
        stream = site.connect()
        for number in range(3):
            status, _, body = site.ask(site.request(True, trace=f"{number + 1:016x}", body="goal"), stream)
            assert (status, body) == (200, bytes(range(256)))
            site.hub.sleep(REUSE_DELAY_US)
        got = site.shelfs[1].requests
        assert [one.fields["x-trace-id"] for one in got] == [f"{number:016x}" for number in (1, 2, 3)]
        assert got[0].request_line == "PUT /note?object=7f3a9c21e0b4d655 HTTP/1.1" and got[0].body == b"goal"
        assert got[0].fields["idempotency-key"] == "k1" and 0 < int(got[0].fields["x-expires-in-ms"]) <= 480
        assert site.shelfs[1].connections == 1 and not site.shelfs[0].requests
        used = [
            event.used_percent for event in site.head.module.events if isinstance(event, api.AttemptEnded)
        ]
        assert used == [86, 86, 86]

    site.run(act)


INVALID_ANSWERS = {
    "noise": b"\x00\x01 noise \r\n\r\n",
    "head that never ends": b"HTTP/1.1 200 OK\r\nX: " + b"y" * 40_000,
    "3 GB": b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nab",
    "negative": b"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nab",
    "two lengths": b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nab",
    "no length, too long": b"HTTP/1.1 200 OK\r\n\r\n" + b"y" * ((1 << 20) + 1),
    "1xx without end": b"HTTP/1.1 102 X\r\n\r\n" * 50,
}


@pytest.mark.parametrize("kind", INVALID_ANSWERS)
def test_invalid_answer_may_have_run_and_its_connection_is_closed_at_once(site, kind):
    site.script = lambda got: INVALID_ANSWERS[kind]

    def act(site):
        status, _, _ = site.ask(site.request(True))
        # A keyed write that may have run is never reported as refused outside the window of its rack.
        assert status == 500
        site.hub.sleep(10 * MS)
        shelf = site.shelfs[1]
        assert set(site.head.module.results()) == {api.Result.ERROR}
        assert len(shelf.closed_connections) == shelf.connections == len(shelf.requests)

    site.run(act)


@pytest.mark.parametrize(("response", "result"), [
    (answer(b"", 500), api.Result.ERROR),
    (NEVER_RAN, api.Result.FULL),
    (answer(b"", 503), api.Result.ERROR),
    (answer(b"", 503, b"X-Never-Ran: 1\r\nX-Never-Ran: 0\r\n"), api.Result.ERROR),
    (answer(b"", 404), api.Result.ERROR),
    (RESET, api.Result.RESET),
    (NO_RESPONSE, api.Result.TIMEOUT),
])  # fmt: skip
def test_result_that_the_end_of_an_attempt_proves(site, response, result):
    site.script = lambda got: response

    def act(site):
        status, _, _ = site.ask(site.request(True))
        assert site.head.module.results()[0] in (
            result,
            api.Result.CANCELLED if response == NO_RESPONSE else result,
        )
        assert status == (503 if result.never_ran else 500)
        assert site.head.core.open_requests == 0 and not site.head.front.open_requests

    site.run(act)


def test_refused_connection_proves_that_nothing_ran(site):
    def act(site):
        site.shelfs[1].close()
        assert site.ask(site.request(True))[0] == 503
        assert set(site.head.module.results()) == {api.Result.CONNECT_FAILED}

    site.run(act)


def test_valid_answer_with_surplus_bytes_is_served_but_its_connection_is_not_reused(site):
    good = answer(b"good")

    def act(site):
        for number, sent in enumerate((good + good, good + b"noise", b"HTTP/1.1 103 Early\r\n\r\n" + good)):
            site.script = lambda got, sent=sent: sent
            assert site.ask(site.request())[2] == b"good"
            site.hub.sleep(10 * MS)
            assert len(site.shelfs[1].closed_connections) == min(number + 1, 2)

    site.run(act)


def test_late_duplicate_answer_never_answers_the_next_request(site):
    def act(site):
        site.script = lambda got: answer(b"first")
        assert site.ask(site.request())[2] == b"first"
        site.shelfs[1].streams[0].write(answer(b"first"))  # a duplicate in a separate packet
        site.script = lambda got: answer(b"second")
        assert site.ask(site.request())[2] == b"second"
        assert site.shelfs[1].connections == 2

    site.run(act)


def test_idle_connection_that_its_node_may_have_closed_is_not_used(site):
    def act(site):
        site.ask(site.request())
        site.shelfs[1].streams[0].close()
        assert site.ask(site.request())[0] == 200
        site.hub.sleep(2_500 * MS)  # of the idle timeout of 3 s in the settings
        assert len(site.head.storage_nodes.pool) == 0
        assert site.ask(site.request())[0] == 200
        assert site.shelfs[1].connections == 3 and set(site.head.module.results()) == {api.Result.OK}

    site.run(act)


def test_malformed_load_figures_of_an_answer_count_as_absent(site):
    def act(site):
        for text in (b"nan", b"-3", b"1e9", b"99999999999", b"", b"12\r\nX-Iops-Used: 13"):
            site.script = lambda got, text=text: answer(b"x", extra=b"X-Iops-Used: " + text + b"\r\n")
            assert site.ask(site.request())[0] == 200
        assert {
            event.used_percent for event in site.head.module.events if isinstance(event, api.AttemptEnded)
        } == {0}

    site.run(act)


BAD = {
    "no class": dict(path="/nothing"),
    "no plan": dict({"X-Qos-Policy": "tin"}),
    "no id": dict({"X-Trace-Id": "-"}),
    "id twice": dict({"x-trace-id": "0123456789abcdef"}),
    "deadline no number": dict({"X-Expires-In-Ms": "soon"}),
    "deadline negative": dict({"X-Expires-In-Ms": "-5"}),
    "no object": dict(query="thing=1"),
    "object short": dict(query="object=12"),
    "object twice": dict(query="object=7f3a9c21e0b4d655&object=7f3a9c21e0b4d655"),
    "units huge": dict({"X-Placement": f"volume={VOLUME},units=900,shard=1,hosts=2"}),
    "units nan": dict({"X-Placement": f"volume={VOLUME},units=nan,shard=1,hosts=2"}),
    "shard unknown": dict({"X-Placement": f"volume={VOLUME},units=2,shard=7,hosts=2"}),
    "placement missing": dict({"X-Placement": None}),
    "length negative": dict({"Content-Length": "-1"}),
    "length no number": dict({"Content-Length": "many"}),
    "length huge": dict({"Content-Length": "99999999999999999999"}),
    "60 MB": dict({"Content-Length": str(60 << 20)}),
    "both lengths": dict({"Content-Length": "4", "Transfer-Encoding": "chunked", "body": "0\r\n\r\nGET / HTTP/1.1\r\n\r\n"}),
    "another right behind": dict({"Content-Length": "0", "body": "GET /look HTTP/1.1\r\n\r\n"}),
    "wrong method": dict(method="GET"),
    "no key": dict({"Idempotency-Key": None}),
    "hundreds at once": dict({"Content-Length": "0", "body": "GET /look HTTP/1.1\r\nX: y\r\n\r\n" * 9000}),
    "fields without end": dict({"Content-Length": "0", "X-More": "y\r\nX-More: y" * 20_000}),
    "head without end": dict({"X-More": "y" * 60_000}),
}  # fmt: skip


@pytest.mark.parametrize("kind", BAD)
def test_invalid_request_gets_an_error_at_once_and_is_never_forwarded(site, kind):
    def act(site):
        response = site.ask(site.request(True, **BAD[kind]), within=100 * MS)
        assert response is not None and 400 <= response[0] < 600
        site.hub.sleep(1000 * MS)
        assert not site.shelfs[0].requests and not site.shelfs[1].requests
        assert site.head.core.counts.accepted == 0 and len(site.head.front.connections) == 0
        assert site.ask(site.request())[0] == 200

    site.run(act)


def test_second_request_with_an_open_trace_id_is_refused_without_harm_to_the_first(site):
    def act(site):
        first, same = site.connect(), "00000000000000aa"
        site.shelfs[1].delay_us = 50 * MS
        first.write(site.request(True, trace=same))
        site.hub.sleep(10 * MS)
        assert site.ask(site.request(True, trace=same), within=10 * MS)[0] == 409
        assert site.answered(first)[0] == 200
        assert len(site.shelfs[1].requests) == 1

    site.run(act)


def test_silent_clients_and_partial_requests_end_within_three_seconds_and_block_no_other(tmp_path):
    def act(site):
        silent = [site.connect() for _ in range(60)]
        silent[0].write(site.request()[:40])
        site.hub.sleep(600 * MS)
        late = [site.connect() for _ in range(40)]  # over the limit: the oldest silent ones are evicted
        assert site.ask(site.request())[0] == 200
        site.hub.sleep(2_400 * MS)
        assert len(site.head.front.connections) <= 1
        ends = [site.answered(one, 10 * MS) for one in silent + late]
        assert all(end is None or end[0] == 408 for end in ends)
        assert len(site.head.front.connections) <= 1 and site.head.core.counts.accepted == 1

    Site(tmp_path, sockets=160).run(act)


def test_attempt_of_a_disconnected_client_is_cancelled(site):
    def act(site):
        site.script = lambda got: NO_RESPONSE
        stream = site.connect()
        stream.write(site.request())
        site.hub.sleep(50 * MS)
        stream.close()
        site.hub.sleep(50 * MS)
        assert site.shelfs[1].closed_connections == [1] and site.head.module.results() == [
            api.Result.CANCELLED
        ]
        assert not site.head.front.open_requests and site.head.core.open_requests == 0

    site.run(act)


def test_time_in_the_receive_queue_of_a_paused_head_counts_against_the_deadline(site):
    def act(site):
        stream = site.connect()
        site.hub.sleep(10 * MS)
        site.hub.freeze(site.head, 200 * MS)
        stream.write(site.request())
        assert site.answered(stream)[0] == 200
        (request,) = [event for event in site.head.module.events if isinstance(event, api.RequestArrived)]
        assert 270 * MS < request.time_left_us <= 281 * MS

    site.run(act)


def test_deadline_is_limited_by_its_class(site):
    def act(site):
        site.ask(site.request(**{"X-Expires-In-Ms": "999999999"}))
        (request,) = [event for event in site.head.module.events if isinstance(event, api.RequestArrived)]
        # The module treats the longest deadline as that of a first try.
        assert request.time_left_us <= 1500 * MS

    site.run(act)


def test_discovery_is_polled_without_a_gap_and_a_drain_reaches_the_module_at_once(site):
    def act(site):
        site.hub.sleep(6_000 * MS)
        calls = site.discovery.calls
        assert [call[1] for call in calls[:2]] == [
            "/api/targets?since=3&timeout_ms=0", "/api/targets?since=3&timeout_ms=2500",
        ]  # fmt: skip
        assert calls[2][0] - calls[1][0] < 2_600 * MS  # the next call follows its answer
        site.discovery.set_server("s1", site.shelfs[1].address, 1, "terminating")
        site.hub.sleep(1 * MS)
        changes = [event for event in site.head.module.events if isinstance(event, api.NodesChanged)]
        assert [(entry.node, entry.state) for entry in changes[-1].entries] == [
            ("s1", api.NodeState.DRAINING)
        ]
        site.discovery.set_server("s1", site.shelfs[1].address, 1, "terminated")
        site.hub.sleep(1 * MS)
        assert site.head.nodes.find("s1") is None

    site.run(act)


def list_kinds(site):
    return [event.kind for event in site.head.module.events if isinstance(event, api.NodesChanged)]


@pytest.mark.parametrize(
    "spoil", [lambda body: body[:-9], lambda body: b"[]", lambda body: body.replace(b"in_service", b"odd")]
)
def test_malformed_list_is_a_failed_call_and_the_old_list_stays(site, spoil):
    def act(site):
        site.discovery.corrupt = spoil
        site.discovery.set_server("s0", site.shelfs[0].address, 0, started_ms=1)
        site.hub.sleep(100 * MS)
        assert list_kinds(site)[-1] is api.ListKind.FAILED and site.ask(site.request())[0] == 200
        site.discovery.corrupt = None
        site.hub.sleep(3_000 * MS)  # the module requests the list again
        assert list_kinds(site)[-1] is api.ListKind.CHANGES

    site.run(act)


def test_restarted_source_is_asked_for_its_full_list(site):
    def act(site):
        site.discovery.version = 1
        site.discovery._new_version.notify()
        site.hub.sleep(6_000 * MS)
        assert list_kinds(site)[-1] is api.ListKind.CHANGES or list_kinds(site)[-1] is api.ListKind.FULL
        assert "/api/targets" in [call[1] for call in site.discovery.calls]
        assert site.head.discovery._watch.version == 1

    site.run(act)


def test_new_discovery_address_is_used_at_once_without_harm_to_open_requests(site):
    def act(site):
        new_source = PlatformDiscovery(site.hub, site.net, version=7, servers=site.discovery.servers)
        new_source.start(site.scope)
        site.shelfs[1].delay_us = 100 * MS
        stream = site.connect()
        stream.write(site.request())
        site.hub.sleep(10 * MS)
        site.discovery.close()
        site.given["discovery"] = f"127.0.0.1:{new_source.address[1]}"
        before = len(site.discovery.calls)
        site.head.reconfigure(site.configuration())
        site.hub.sleep(5 * MS)
        assert [call[1] for call in new_source.calls][0].startswith("/api/targets?since=")
        assert site.answered(stream)[0] == 200
        site.hub.sleep(5_000 * MS)
        assert len(site.discovery.calls) == before and api.ListKind.FAILED not in list_kinds(site)

    site.run(act)


def test_head_in_shutdown_serves_until_shortly_before_the_kill_and_answers_open_requests(site):
    def act(site):
        stream, began = site.connect(), site.hub.now()
        site.ask(site.request(), stream)
        site.head.stop()
        site.hub.sleep(2_000 * MS)
        status, fields, _ = site.ask(site.request(), stream)  # clients keep their open connections
        assert status == 200 and "connection" not in fields
        site.script = lambda got: NO_RESPONSE
        while site.head.shutdown.phase is Phase.LAME_DUCK:
            site.hub.sleep(5 * MS)
        assert site.answered(stream, 10 * MS) is None  # it was idle
        assert site.head.shutdown.phase is Phase.ENDED
        # The kill comes 0.7 s after the longest deadline of 2.5 s: the shutdown has to be over before.
        assert site.hub.now() - began < 3_200 * MS

    site.run(act)


def test_requests_open_at_the_end_of_a_shutdown_are_answered(site):
    def act(site):
        began = site.hub.now()
        site.script = lambda got: NO_RESPONSE
        site.head.stop()
        site.hub.sleep(2_000 * MS)
        stream = site.connect()
        stream.write(site.request(True, **{"X-Expires-In-Ms": "2500"}))
        assert site.answered(stream)[0] in (500, 503)
        assert site.hub.now() - began < 3_100 * MS

    site.run(act)


def test_answers_close_their_connections_in_the_last_phase_of_a_shutdown(site):
    def act(site):
        site.shelfs[1].delay_us = DRAIN_US // 2
        site.head.stop()
        site.hub.sleep(2_780 * MS)
        stream = site.connect()
        stream.write(site.request())
        assert site.answered(stream)[1].get("connection") == "close"

    site.run(act)


def test_readiness(site):
    def act(site):
        assert site.ask(b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")[0] == 200

    site.run(act)


@pytest.mark.parametrize(("change", "expected"), [
    (lambda given: given["limits"].update(sockets="many"), "limits.sockets"),
    (lambda given: given.update(listen="somewhere"), "listen"),
    (lambda given: given.pop("known"), "known"),
    (lambda given: given["known"]["servers"][0].update(state="odd"), "s0"),
    (lambda given: given["settings"].pop("lanes"), "lanes"),
    (lambda given: given["settings"]["lanes"][0].update(aimUs="x"), "settings.lanes[0].aimUs"),
    (lambda given: given["settings"].update(permissions={"mostHeld": 0}), "settings.permissions.mostHeld"),
    (lambda given: given.update(discovery="host:80"), "discovery"),
])  # fmt: skip
def test_invalid_configuration_is_rejected_with_its_field(site, change, expected):
    change(site.given)
    with pytest.raises(ConfigurationError, match="config.json") as caught:
        site.configuration()
    assert expected in str(caught.value)


def test_no_answer_is_awaited_past_its_deadline(site):
    site.script = lambda got: NO_RESPONSE

    def act(site):
        began = site.hub.now()
        assert site.ask(site.request(**{"X-Expires-In-Ms": "200"}))[0] in (500, 503)
        assert site.hub.now() - began <= 200 * MS
        with pytest.raises(DeadlineExceeded):
            site.connect().read(site.hub.now() + 10 * MS)

    site.run(act)


def test_answer_larger_than_the_protocol_specifies_is_forwarded_up_to_the_memory_limit(site):
    def act(site):
        site.script = lambda got: answer(b"x" * 400_000)
        assert site.ask(site.request())[2] == b"x" * 400_000
        site.script = lambda got: answer(b"x" * 1_100_000)  # of 64 MB
        assert site.ask(site.request())[0] in (500, 503)

    site.run(act)


def test_dial_times_out_as_configured_and_its_request_never_ran(site):
    site.net._delay = lambda name, address: 400 * MS if address == site.shelfs[1].address else 100

    def act(site):
        began = site.hub.now()
        assert site.ask(site.request(True, **{"X-Expires-In-Ms": "2400"}))[0] == 503
        assert set(site.head.module.results()) == {api.Result.CONNECT_FAILED}
        assert 250 * MS <= site.hub.now() - began <= 520 * MS  # two dials of 250 ms each
        assert not site.shelfs[1].requests

    site.run(act)


def test_slow_connect_does_not_count_as_node_latency(site):
    site.net._delay = lambda name, address: 80 * MS if address == site.shelfs[1].address else 100

    def act(site):
        began = site.hub.now()
        assert site.ask(site.request())[0] == 200
        (elapsed_us,) = [
            event.elapsed_us for event in site.head.module.events if isinstance(event, api.AttemptEnded)
        ]
        assert elapsed_us < site.hub.now() - began - 60 * MS  # the connect does not count as the node's time

    site.run(act)


def test_clients_that_disconnect_during_a_connect_prove_nothing_about_the_node(site):
    site.net._delay = lambda name, address: 80 * MS if address == site.shelfs[1].address else 100

    def act(site):
        for _ in range(3):
            stream = site.connect()
            stream.write(site.request())
            site.hub.sleep(20 * MS)
            stream.close()
            site.hub.sleep(20 * MS)
        assert site.head.module.results() == [api.Result.MOOT] * 3 and not site.shelfs[1].requests
        # No node is considered unreachable.
        assert not [fields for event, fields in site.notes if event == "module"]
        assert site.ask(site.request())[0] == 200

    site.run(act)


def test_request_is_refused_while_all_node_connections_are_in_use(site):
    def act(site):
        site.head.storage_nodes.pool.limit = 1
        site.script = lambda got: NO_RESPONSE
        blocking = site.connect()
        blocking.write(site.request())
        site.hub.sleep(10 * MS)
        second = site.request(**{"X-Placement": f"volume={VOLUME},units=1,shard=0,hosts=2"})
        assert site.ask(second, within=100 * MS)[0] == 503  # nothing was sent, and the refusal is immediate
        assert site.head.storage_nodes.counts.no_capacity >= 1 and not site.shelfs[0].requests
        assert site.answered(blocking)[0] in (500, 503)
        site.script = lambda got: answer(b"again")
        assert site.ask(second.replace(b"X-Trace-Id: 0", b"X-Trace-Id: f"))[2] == b"again"

    site.run(act)


def test_a_readiness_check_may_repeat_a_field_and_a_request_may_not(site):
    """Proxies in front of a head repeat X-Forwarded-For."""
    repeated = "X-Forwarded-For: a\r\nX-Forwarded-For: b\r\n"

    def act(site):
        assert site.ask(f"GET /-/ready HTTP/1.1\r\nHost: h\r\n{repeated}\r\n".encode())[0] == 200
        stream = site.connect()
        assert site.ask(f"GET /-/ready HTTP/1.1\r\nHost: h\r\n{repeated}\r\n".encode(), stream)[0] == 200
        assert site.ask(site.request(), stream)[0] == 200
        twice = site.request().replace(b"\r\n\r\n", b"\r\n" + repeated.encode() + b"\r\n")
        assert site.ask(twice)[0] == 400

    site.run(act)
