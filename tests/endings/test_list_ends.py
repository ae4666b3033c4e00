"""How the list's calls end, and a head that stands still meanwhile: what is drained gets nothing after its grace.

The plays on the list's clock (tests/test_platform_clock.py) hold each of these against the platform's terms.
"""

import json
import signal

import pytest

from harriertrack.decisions.discovery_watch import ANNOUNCED_AFTER_US
from harriertrack.standin.platform import Outage, PlatformDiscovery, answer
from tests.endings.test_start_and_reload import REQUEST, play
from tests.test_platform import MS
from tests.test_platform_clock import ASKED, BOTH, S, drain, kept_the_rule, played, site_of

SHORT_US = 400 * MS  # a grace


def open_stream(site):
    return list(site.discovery._streams)[-1]


def break_off(site, body, end):
    """Send half of an answer, then end the connection."""
    stream, whole = open_stream(site), answer(body)
    stream.write(whole[: len(whole) - len(body) // 2])
    site.hub.sleep(1 * MS)
    end(stream)
    raise ConnectionResetError


def come_late(site, body):
    site.hub.sleep(1 * S)
    return body


def come_twice(site, body):
    open_stream(site).write(answer(body))
    return body


TROUBLES = {
    "broken off by a close": lambda site, body: break_off(site, body, lambda stream: stream.close()),
    "broken off by a reset": lambda site, body: break_off(site, body, lambda stream: stream.abort()),
    "late": come_late,
    "answered twice": come_twice,
    "no list": lambda site, body: b"{",
    "an entry that can't be read": lambda site, body: body.replace(b'"cell": 1', b'"cell": "x"'),
}


@BOTH
@pytest.mark.parametrize("times", [1, 2])
@pytest.mark.parametrize("trouble", TROUBLES)
def test_an_answer_that_ends_badly_delays_its_change_by_no_more_than_the_rules_allow(
    tmp_path, way, trouble, times
):
    """It brings the drain, at one call or two in a row; the next call is answered."""

    def act(site):
        left = [None] * times

        def spoil(body):
            if b"terminating" not in body or not left:
                return body
            left.pop()
            return TROUBLES[trouble](site, body)

        site.discovery.spoil = spoil
        # What was never written whole counts when it could be reached; the agent's after each bad answer.
        told_at = drain(site) + (
            ANNOUNCED_AFTER_US if way == ASKED or trouble == "late" else times * 300 * MS
        )
        kept_the_rule(site, told_at)
        assert not left or trouble in ("late", "answered twice")

    played(site_of(tmp_path, way, drainGraceUs=SHORT_US), act)


@BOTH
@pytest.mark.parametrize("outage", [Outage.SILENT, Outage.FAILING])
def test_a_silent_watch_is_opened_anew_in_time_though_the_calls_after_it_fail(tmp_path, way, outage):
    def act(site):
        site.discovery.set("s0", site.shelfs[0].address, 0)
        site.hub.sleep(10 * MS)  # a call of the watch has just begun: its silence shows as late as can be
        site.discovery.fall_silent()
        silent_at = site.hub.now()
        site.discovery.outage = outage
        drain(site)
        site.hub.sleep(4 * S)
        site.discovery.outage = Outage.NONE
        kept_the_rule(site, silent_at + ANNOUNCED_AFTER_US)

    played(site_of(tmp_path, way, drainGraceUs=0), act)


@BOTH
def test_whole_lists_and_repeated_changes_are_taken_as_changes(tmp_path, way):
    """Each answer is the whole list; what is in it twice or again is no news, and a start is not lost."""

    def act(site):
        site.discovery.spoil = lambda _body: json.dumps(site.discovery.listed()).encode()
        address = site.shelfs[1].address
        drained_at = drain(site)
        site.hub.sleep(300 * MS)
        drain(site)  # the same change again begins no other grace
        kept_the_rule(site, drained_at)
        site.discovery.set("s1", address, 1, "in_service", started_ms=site.hub.now() // 1000)
        site.hub.sleep(50 * MS)
        assert site.head.nodes.find("s1").entry.started_us > 0

    played(site_of(tmp_path, way, drainGraceUs=SHORT_US), act)


@BOTH
def test_a_node_that_comes_again_by_its_name_after_its_end_serves_and_is_drained_again(tmp_path, way):
    def act(site):
        address = site.shelfs[1].address
        site.discovery.set("s1", address, 1, "terminated")
        site.hub.sleep(50 * MS)
        assert site.head.nodes.find("s1") is None and site.ask(site.request())[0] == 503
        site.discovery.set("s1", address, 1, "in_service", started_ms=site.hub.now() // 1000)
        site.hub.sleep(1 * S)
        again = [got for got in site.shelfs[1].got if got.when > site.hub.now() - 900 * MS]
        assert again
        kept_the_rule(site, drain(site))

    played(site_of(tmp_path, way, drainGraceUs=SHORT_US), act)


@BOTH
@pytest.mark.parametrize("drained_us", [0, 2 * S, 4 * S])
def test_a_drain_right_after_a_new_configuration_is_acted_on(tmp_path, way, drained_us):
    """The old address accepts nothing, and closes what is open after 1.5 s."""

    def act(site):
        old = site.discovery
        site.discovery = PlatformDiscovery(site.hub, site.net, version=1, servers=dict(old.servers))
        site.discovery.start(site.scope)
        site.given["discovery"] = f"127.0.0.1:{site.discovery.address[1]}"
        old.close()
        moved_at = site.hub.now()
        site.hub.at(moved_at + 1_500 * MS, old.reset)
        site.head.reconfigure(site.configuration())
        site.hub.sleep(drained_us)
        kept_the_rule(site, max(drain(site), moved_at + 4 * S))

    played(site_of(tmp_path, way, drainGraceUs=0), act)


@BOTH
@pytest.mark.parametrize("drained_us", [0, 600 * MS])
def test_a_head_that_stood_still_counts_a_grace_from_when_the_list_came(tmp_path, way, drained_us):
    """In simulated time; clients ask all the time."""

    def act(site):
        site.hub.freeze(site.head, 1 * S)
        site.hub.sleep(drained_us)
        kept_the_rule(site, drain(site))

    played(site_of(tmp_path, way, drainGraceUs=300 * MS), act)


@pytest.mark.real_time
@BOTH
def test_a_stopped_process_sends_nothing_to_a_node_that_was_drained_meanwhile(tmp_path, way):
    """On waking the list's bytes and the clients' are all in its sockets.

    It is idle as it is stopped: one that is stopped in the middle of a round goes on with what it had found.
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
        site.until(lambda: site.state() == "S")  # it has nothing to do
        site.send(signal.SIGSTOP)
        site.until(lambda: site.state() == "T")
        told_at = site.hub.now()
        site.old.set("s0", site.shelf.address, 0, "terminating")
        for number, stream in enumerate(streams, 100):
            stream.write(f"{REQUEST.replace(': 250', ': 2900')}{number:016x}\r\n\r\n".encode())
        site.until(lambda: site.hub.now() > told_at + 2 * grace_us + 100 * MS)
        site.send(signal.SIGCONT)
        for stream in streams:
            assert b" 503 " in stream.read(site.hub.now() + 5 * S)
        assert max(got.when for got in site.shelf.got) <= told_at

    play(tmp_path, act)
