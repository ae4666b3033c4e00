"""Faulty ends of calls to discovery and pauses of the head: a drained node gets no request after its grace.

The helpers of tests/test_platform_clock.py check each case against the rules of the platform.
"""

import json
import signal

import pytest

from harriertrack.decisions.discovery_watch import ANNOUNCED_AFTER_US
from harriertrack.standin.platform import Outage, PlatformDiscovery, answer
from tests.endings.test_start_and_reload import REQUEST, play
from tests.test_platform import MS
from tests.test_platform_clock import ASKED, BOTH, S, drain, kept_the_rule, played, site_of

SHORT_US = 400 * MS  # a short grace of a drain


def open_stream(site):
    return list(site.discovery._streams)[-1]


def truncate(site, body, end):
    """Send half of an answer, then end the connection."""
    stream, complete = open_stream(site), answer(body)
    stream.write(complete[: len(complete) - len(body) // 2])
    site.hub.sleep(1 * MS)
    end(stream)
    raise ConnectionResetError


def delay(site, body):
    site.hub.sleep(1 * S)
    return body


def duplicate(site, body):
    open_stream(site).write(answer(body))
    return body


FAULTS = {
    "broken off by a close": lambda site, body: truncate(site, body, lambda stream: stream.close()),
    "broken off by a reset": lambda site, body: truncate(site, body, lambda stream: stream.abort()),
    "late": delay,
    "answered twice": duplicate,
    "no list": lambda site, body: b"{",
    "an entry that can't be read": lambda site, body: body.replace(b'"cell": 1', b'"cell": "x"'),
}


@BOTH
@pytest.mark.parametrize("times", [1, 2])
@pytest.mark.parametrize("fault", FAULTS)
def test_faulty_answer_delays_its_change_by_no_more_than_the_rules_allow(tmp_path, way, fault, times):
    """The faulty answer, at one call or two consecutive ones, carries the drain; the next call is answered."""

    def act(site):
        left = [None] * times

        def fail_drain_answer(body):
            if b"terminating" not in body or not left:
                return body
            left.pop()
            return FAULTS[fault](site, body)

        site.discovery.corrupt = fail_drain_answer
        # If no complete answer was sent, the drain counts once the source could have been reached again; with
        # the agent, it counts after the faulty answers.
        effective_at = drain(site) + (
            ANNOUNCED_AFTER_US if way == ASKED or fault == "late" else times * 300 * MS
        )
        kept_the_rule(site, effective_at)
        assert not left or fault in ("late", "answered twice")

    played(site_of(tmp_path, way, drainGraceUs=SHORT_US), act)


@BOTH
@pytest.mark.parametrize("outage", [Outage.SILENT, Outage.FAILING])
def test_silent_watch_is_replaced_in_time_though_the_next_calls_fail(tmp_path, way, outage):
    def act(site):
        site.discovery.set_server("s0", site.shelfs[0].address, 0)
        site.hub.sleep(10 * MS)  # a call has just begun: its silence is detected as late as possible
        site.discovery.silence_watches()
        silent_at = site.hub.now()
        site.discovery.outage = outage
        drain(site)
        site.hub.sleep(4 * S)
        site.discovery.outage = Outage.NONE
        kept_the_rule(site, silent_at + ANNOUNCED_AFTER_US)

    played(site_of(tmp_path, way, drainGraceUs=0), act)


@BOTH
def test_full_lists_and_repeated_changes_are_applied_as_changes(tmp_path, way):
    """Each answer is the full list; duplicate or repeated entries are no change, and a node's start is not lost."""

    def act(site):
        site.discovery.corrupt = lambda _body: json.dumps(site.discovery.full_list()).encode()
        address = site.shelfs[1].address
        drained_at = drain(site)
        site.hub.sleep(300 * MS)
        drain(site)  # the same change again starts no new grace
        kept_the_rule(site, drained_at)
        site.discovery.set_server("s1", address, 1, "in_service", started_ms=site.hub.now() // 1000)
        site.hub.sleep(50 * MS)
        assert site.head.nodes.find("s1").entry.started_us > 0

    played(site_of(tmp_path, way, drainGraceUs=SHORT_US), act)


@BOTH
def test_node_that_returns_under_its_name_serves_and_is_drained_again(tmp_path, way):
    def act(site):
        address = site.shelfs[1].address
        site.discovery.set_server("s1", address, 1, "terminated")
        site.hub.sleep(50 * MS)
        assert site.head.nodes.find("s1") is None and site.ask(site.request())[0] == 503
        site.discovery.set_server("s1", address, 1, "in_service", started_ms=site.hub.now() // 1000)
        site.hub.sleep(1 * S)
        again = [got for got in site.shelfs[1].requests if got.received_at_us > site.hub.now() - 900 * MS]
        assert again
        kept_the_rule(site, drain(site))

    played(site_of(tmp_path, way, drainGraceUs=SHORT_US), act)


@BOTH
@pytest.mark.parametrize("drained_us", [0, 2 * S, 4 * S])
def test_drain_right_after_a_new_configuration_is_applied(tmp_path, way, drained_us):
    """The old address accepts nothing, and closes what is open after 1.5 s."""

    def act(site):
        old = site.discovery
        site.discovery = PlatformDiscovery(site.hub, site.net, version=1, servers=dict(old.servers))
        site.discovery.start(site.scope)
        site.given["discovery"] = f"127.0.0.1:{site.discovery.address[1]}"
        old.close()
        moved_at = site.hub.now()
        site.hub.at(moved_at + 1_500 * MS, old.reset_connections)
        site.head.reconfigure(site.configuration())
        site.hub.sleep(drained_us)
        kept_the_rule(site, max(drain(site), moved_at + 4 * S))

    played(site_of(tmp_path, way, drainGraceUs=0), act)


@BOTH
@pytest.mark.parametrize("drained_us", [0, 600 * MS])
def test_paused_head_counts_a_grace_from_when_the_list_arrived(tmp_path, way, drained_us):
    """In simulated time; clients keep sending."""

    def act(site):
        site.hub.freeze(site.head, 1 * S)
        site.hub.sleep(drained_us)
        kept_the_rule(site, drain(site))

    played(site_of(tmp_path, way, drainGraceUs=300 * MS), act)


@pytest.mark.real_time
@BOTH
def test_stopped_process_sends_nothing_to_a_node_drained_in_the_meantime(tmp_path, way):
    """When it resumes, the bytes of the list and of the clients are all in its sockets.

    It is idle when it is stopped: a process stopped in the middle of a round continues with what it had polled.
    """
    grace_us = 200 * MS

    def act(site):
        settings = site.given["settings"]
        settings["discovery"] = way
        settings["safety"]["drainGraceUs"] = grace_us
        for lane in settings["lanes"]:
            lane |= {"aimUs": 2 * S, "giveUpUs": 3 * S}
        site.start()
        site.until(site.ready)
        site.until(lambda: site.old.calls[1:])  # the watch is open
        streams = [site.net.connect(site.place) for _ in range(8)]
        for number, stream in enumerate(streams, 50):
            stream.write(f"{REQUEST}{number:016x}\r\n\r\n".encode())
            assert b" 200 " in stream.read(site.hub.now() + 5 * S)
        site.until(lambda: site.state() == "S")  # it is idle
        site.send(signal.SIGSTOP)
        site.until(lambda: site.state() == "T")
        effective_at = site.hub.now()
        site.old.set_server("s0", site.shelf.address, 0, "terminating")
        for number, stream in enumerate(streams, 100):
            stream.write(f"{REQUEST.replace(': 250', ': 2900')}{number:016x}\r\n\r\n".encode())
        site.until(lambda: site.hub.now() > effective_at + 2 * grace_us + 100 * MS)
        site.send(signal.SIGCONT)
        for stream in streams:
            assert b" 503 " in stream.read(site.hub.now() + 5 * S)
        assert max(got.received_at_us for got in site.shelf.requests) <= effective_at

    play(tmp_path, act)
