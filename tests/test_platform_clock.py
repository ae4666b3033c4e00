"""When a change of the node list counts as announced, and that a drained node gets no requests after its grace.

Each test sends reads and writes for one shard continuously; the node of that shard begins to drain during a fault of
discovery. The requests that the node received are checked against the platform's rules, not against the head's own.
"""

import copy
import json

import pytest
from hypothesis import given, strategies as st

from harriertrack.decisions.graceful_shutdown import Phase
from harriertrack.decisions.discovery_watch import (
    ANNOUNCED_AFTER_US,
    ANSWER_ALLOWANCE_US,
    MARGIN_US,
    MAX_WAIT_US,
    MOVED_RETRY_US,
    STARTUP_HOLD_US,
    DiscoveryWatch,
)
from harriertrack.standin.platform import Outage, PlatformDiscovery
from tests.test_platform import MS, SETTINGS, Site

S = 1_000_000
SLACK_US = 50 * MS
SILENCE_US = 6 * S  # a change missed by a silent watch counts as announced after this time
ASKED, PUSHED = "on_request", "pushed"
BOTH = pytest.mark.parametrize("way", [ASKED, PUSHED])


def site_of(tmp_path, way=ASKED, act=lambda given: None, **safety):
    settings = copy.deepcopy(SETTINGS["safety"])
    site = Site(tmp_path, discovery=way, safety={**settings, **safety})
    act(site.given)
    return site


def send_requests(site, every_us=40 * MS, within=3 * S):
    """Send reads and writes to shard 1 continuously (a task)."""
    while True:
        site.scope.spawn("request", site.ask, site.request(writes=site.number % 2 == 1), None, within)
        site.hub.sleep(every_us)


def drain(site, name="s1", where=None):
    site.discovery.set_server(name, where or site.shelfs[1].address, 1, "terminating")
    return site.hub.now()


def kept_the_rule(site, announced_at):
    """Run past the grace; assert that the drained node got requests before its end, and none after it."""
    over = announced_at + site.given["settings"]["safety"]["drainGraceUs"] + SLACK_US
    site.hub.sleep(max(0, over - site.hub.now()) + 2 * S)
    when = [got.received_at_us for got in site.shelfs[1].requests]
    assert when and max(when) <= over, f"{(max(when) - over) / S:.2f} s after the grace was over"


def played(site, act, within=3 * S):
    """Run a test with clients that send requests throughout, and wait `within` for each answer."""

    def run(site):
        site.scope.spawn("requests", send_requests, site, 40 * MS, within)
        site.hub.sleep(1_300 * MS)
        act(site)

    site.run(run)


@BOTH
@pytest.mark.parametrize("after_us", [0, 700 * MS, 2_300 * MS])  # into the watch call's wait of 2.5 s
def test_a_change_missed_by_a_silent_watch_is_applied_within_six_seconds_and_the_grace(
    tmp_path, way, after_us
):
    def act(site):
        site.hub.sleep(after_us)
        site.discovery.silence_watches()
        announced_at = site.hub.now() + SILENCE_US
        site.hub.sleep(100 * MS)
        drain(site)
        kept_the_rule(site, announced_at)

    played(site_of(tmp_path, way), act)


@pytest.mark.parametrize("grace_us", [400 * MS, 1 * S, 2 * S])
@pytest.mark.parametrize("lasts_us", [3_700 * MS, 4_000 * MS, 4_300 * MS])
def test_a_change_missed_by_a_silent_watch_is_applied_even_if_discovery_goes_down_until_it_counts(
    tmp_path, lasts_us, grace_us
):
    """A soak's seed 34: the calls that failed were 2.2 s apart, so that the next one came after the grace."""

    def act(site):
        site.discovery.silence_watches()
        announced_at = site.hub.now() + SILENCE_US
        site.hub.sleep(1_500 * MS)
        drain(site)
        site.hub.sleep(300 * MS)
        site.discovery.outage = Outage.FAILING
        site.discovery.reset_connections()
        site.hub.sleep(lasts_us)
        site.discovery.outage = Outage.NONE
        kept_the_rule(site, announced_at)

    played(site_of(tmp_path, drainGraceUs=grace_us), act)


@BOTH
def test_a_silent_poll_is_retried_too(tmp_path, way):
    """All watches break, and for a second new calls are accepted but never answered."""

    def act(site):
        site.discovery.outage = Outage.SILENT
        site.discovery.reset_connections()
        site.hub.sleep(1 * S)
        site.discovery.outage = Outage.NONE
        returned = site.hub.now()
        drain(site)
        # In pull mode the poll may be silent for 6 s; in push mode the agent's data counts once it is back.
        kept_the_rule(site, returned + (SILENCE_US if way == ASKED else 0))

    played(site_of(tmp_path, way), act)


def test_a_long_time_allowed_without_a_call_does_not_prolong_the_wait_of_a_watch(tmp_path):
    def act(site):
        site.hub.sleep(20 * S)
        site.discovery.silence_watches()
        silent_since = site.hub.now()
        wait_us = int(site.discovery.calls[-1][1].split("timeout_ms=")[1]) * MS
        announced_at = max(silent_since + SILENCE_US, site.discovery.calls[-1][0] + wait_us + 2 * S)
        drain(site)
        kept_the_rule(site, announced_at)
        assert announced_at == silent_since + SILENCE_US

    played(site_of(tmp_path, askWithinUs=120 * S), act)


def test_a_pushed_list_counts_once_the_agent_has_it_even_if_the_watch_was_just_reset(tmp_path):
    def act(site):
        site.discovery.reset_connections()
        kept_the_rule(site, drain(site))

    played(site_of(tmp_path, PUSHED), act)


@pytest.mark.parametrize("outage", [Outage.SILENT, Outage.FAILING])
@pytest.mark.parametrize("lasts_us", [8_100 * MS, 8_400 * MS, 8_700 * MS, 9_000 * MS])
def test_a_change_that_the_agent_gets_after_a_long_outage_counts_at_once(tmp_path, outage, lasts_us):
    def act(site):
        site.discovery.outage = outage
        site.discovery.reset_connections()
        site.hub.sleep(lasts_us)
        site.discovery.outage = Outage.NONE
        kept_the_rule(site, drain(site))

    played(site_of(tmp_path, PUSHED), act)


def test_a_head_that_starts_sends_nothing_to_a_node_that_drains_according_to_the_agent(tmp_path):
    site = site_of(tmp_path, PUSHED)
    # After the list that the previous process saved.
    site.discovery.set_server("s1", site.shelfs[1].address, 1, "terminating")

    def act(site):
        end = site.hub.now() + 3 * S
        while site.hub.now() < end:
            site.ask(site.request())
            site.hub.sleep(40 * MS)
        # The grace counts from the start of the process; half of it may be used for requests without another node.
        assert all(got.received_at_us <= started_at + 2 * S for got in site.shelfs[1].requests)

    started_at = site.hub.now()
    site.run(act)


@pytest.mark.parametrize("lasts_us", [5 * S, 7_500 * MS])
def test_a_head_is_not_ready_until_its_agent_answers(tmp_path, lasts_us):
    site = site_of(tmp_path, PUSHED)
    site.discovery.set_server("s1", site.shelfs[1].address, 1, "terminated")
    site.discovery.outage = Outage.SILENT
    started_at = site.hub.now()

    def end_of_outage():
        site.hub.sleep(lasts_us)
        with pytest.raises(ConnectionRefusedError):
            site.connect()
        site.discovery.outage = Outage.NONE

    def act(site):
        assert lasts_us <= site.hub.now() - started_at < lasts_us + 1 * S
        assert site.ask(b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")[0] == 200
        assert site.ask(site.request())[0] == 503 and not site.shelfs[1].requests

    site.begin = end_of_outage
    site.run(act)


def test_a_head_whose_agent_stays_silent_is_ready_before_it_counts_as_crashed(tmp_path):
    site = site_of(tmp_path, PUSHED)
    site.discovery.outage = Outage.SILENT
    started_at = site.hub.now()

    def act(site):
        # Nine in ten restarted heads have to be ready within 10 s: 1.5 s are left for the imports.
        assert STARTUP_HOLD_US <= site.hub.now() - started_at <= 8_500 * MS
        assert site.ask(site.request())[0] == 200
        assert "list not heard" in [event for event, _ in site.notes]

    site.run(act)


def test_a_head_that_is_stopped_while_its_agent_is_silent_exits_in_time(tmp_path):
    site = site_of(tmp_path, PUSHED)
    site.discovery.outage = Outage.SILENT

    started_at = site.hub.now()

    def stop():
        site.hub.sleep(1 * S)
        site.head.stop()

    def act(site):
        while site.head.shutdown.phase is not Phase.ENDED:
            site.hub.sleep(10 * MS)
        # The longest deadline is 2.5 s, the kill comes 0.7 s after it.
        assert site.hub.now() - started_at < (1_000 + 3_200) * MS

    site.begin = stop
    site.run(act)


@BOTH
@pytest.mark.parametrize("version", [90, 1])
@pytest.mark.parametrize("fault", [None, Outage.SILENT, Outage.FAILING])
def test_a_new_source_is_read_within_four_seconds_of_the_new_configuration(tmp_path, way, fault, version):
    """Also if the old source failed for long, or the new one leaves calls unanswered or restarts versions."""

    def act(site):
        site.discovery.version = 50
        site.discovery.set_server("s0", site.shelfs[0].address, 0)
        site.hub.sleep(10 * MS)
        fresh = PlatformDiscovery(site.hub, site.net, version, dict(site.discovery.servers))
        fresh.start(site.scope)
        if fault is not None:
            site.discovery.outage = fault
            site.discovery.reset_connections()
            site.hub.sleep(14 * S)  # the waits between retries have grown to 4 to 8 s
            fresh.outage = fault
        site.given["discovery"] = f"127.0.0.1:{fresh.address[1]}"
        site.head.reconfigure(site.configuration())
        announced_at = site.hub.now() + 4 * S
        fresh.set_server("s1", site.shelfs[1].address, 1, "terminating")
        site.hub.sleep(1_500 * MS)
        fresh.outage = Outage.NONE
        kept_the_rule(site, announced_at)

    played(site_of(tmp_path, way, drainGraceUs=400 * MS), act)


@pytest.mark.parametrize("grace_us", [400 * MS, 1 * S, 2 * S])
@pytest.mark.parametrize("moved_after_us", [600 * MS, 1_200 * MS, 2_200 * MS, 3_000 * MS, 5_700 * MS])
def test_what_a_silent_watch_missed_counts_though_the_head_asks_a_new_source_meanwhile(
    tmp_path, moved_after_us, grace_us
):
    """The new source can't be reached until then."""

    def act(site):
        site.discovery.silence_watches()
        silent_since = site.hub.now()
        fresh = PlatformDiscovery(site.hub, site.net, 50, dict(site.discovery.servers))
        fresh.start(site.scope)
        fresh.set_server("s1", site.shelfs[1].address, 1, "terminating")
        fresh.outage = site.discovery.outage = Outage.FAILING
        site.hub.sleep(moved_after_us)
        site.given["discovery"] = f"127.0.0.1:{fresh.address[1]}"
        site.head.reconfigure(site.configuration())
        site.hub.sleep(silent_since + SILENCE_US - site.hub.now())
        fresh.outage = Outage.NONE
        kept_the_rule(site, silent_since + SILENCE_US)

    played(site_of(tmp_path, drainGraceUs=grace_us), act)


@BOTH
@pytest.mark.parametrize("full", [False, True])  # full lists are returned where changes are expected
@pytest.mark.parametrize("lasts_us", [0, 8 * S, 20 * S])
def test_a_source_that_restarts_its_versions_is_asked_for_the_full_list_at_once(
    tmp_path, way, full, lasts_us
):
    def act(site):
        site.discovery.version = 500
        site.discovery.set_server("s0", site.shelfs[0].address, 0)
        site.hub.sleep(10 * MS)
        site.discovery.outage = Outage.FAILING
        site.discovery.reset_connections()
        site.hub.sleep(lasts_us)
        site.discovery.outage, site.discovery.version, site.discovery.changed_in_version = Outage.NONE, 2, {}
        if full:
            site.discovery.corrupt = lambda _body: json.dumps(site.discovery.full_list()).encode()
        returned = drain(site)
        kept_the_rule(site, returned + (ANNOUNCED_AFTER_US if way == ASKED else 0))
        calls = [call for call in site.discovery.calls if call[0] >= returned]
        assert "since=501" in calls[0][1] and "since" not in calls[1][1]
        assert calls[1][0] - calls[0][0] <= 10 * MS and "since=3&" in calls[2][1]

    played(site_of(tmp_path, way), act)


def test_a_late_answer_of_the_old_source_does_not_undo_the_list_of_the_new_one(tmp_path):
    """It arrives at various times around the new configuration."""

    def act(site):
        for late_us in range(-300, 301, 50):
            old, fresh = site.discovery, PlatformDiscovery(site.hub, site.net, version=300)
            fresh.servers, site.discovery = copy.deepcopy(old.servers), fresh
            fresh.start(site.scope)
            fresh.set_server("s1", site.shelfs[1].address, 1)
            site.given["discovery"] = f"127.0.0.1:{fresh.address[1]}"
            configuration, now = site.configuration(), site.hub.now()
            site.hub.at(now + 1_000, lambda given=configuration: site.head.reconfigure(given))
            site.hub.at(
                now + 1_000 + late_us, lambda old=old: old.set_server("s1", ("127.0.0.1", 1), 1, "terminated")
            )
            site.hub.sleep(1 * S)
            assert site.head.nodes.find("s1").address == site.shelfs[1].address, late_us
        assert site.ask(site.request())[0] == 200

    played(site_of(tmp_path), act)


@pytest.mark.parametrize("within_us", [2 * S, 5 * S, 10 * S])
def test_a_head_without_a_watch_calls_within_the_time_in_the_settings(tmp_path, within_us):
    """Counted from the recovery of discovery: the module's own waits grow to 8 s meanwhile."""

    def act(site):
        site.discovery.outage = Outage.FAILING
        site.discovery.reset_connections()
        site.hub.sleep(30 * S)
        site.discovery.outage = Outage.NONE
        returned = site.hub.now()
        drain(site)
        kept_the_rule(site, returned + within_us)

    played(site_of(tmp_path, askWithinUs=within_us), act)


@pytest.mark.parametrize("lasts_us", [8 * S, 29 * S, 31 * S])
@pytest.mark.parametrize("outage", [Outage.SILENT, Outage.FAILING])
@pytest.mark.parametrize("settings", [{}, {"askWithinUs": 0}, {"askWithinUs": 120 * S}, {"drainGraceUs": 0}])
def test_a_change_is_received_within_six_seconds_of_a_recovery_even_if_one_more_call_fails(
    tmp_path, settings, outage, lasts_us
):
    """However long the outage was, and whatever the settings allow without a call."""

    def act(site):
        site.discovery.outage = outage
        site.discovery.reset_connections()
        site.hub.sleep(lasts_us)
        site.discovery.outage, site.discovery.corrupt = Outage.NONE, spoil_once
        returned = drain(site)
        kept_the_rule(site, returned + ANNOUNCED_AFTER_US)
        assert site.head.nodes.find("s1").entry.state.value == "draining"

    def spoil_once(_body):
        site.discovery.corrupt = None
        return b"{"

    site = site_of(tmp_path, **settings)
    played(site, act)


@pytest.mark.parametrize("outage", [Outage.SILENT, Outage.FAILING])
def test_an_outage_of_thirty_seconds_takes_a_bounded_number_of_calls(tmp_path, outage):
    """Each failure passed to the module makes it call again: these must not add to the watch's own calls."""

    def act(site):
        before = len(site.discovery.calls)
        site.discovery.outage = outage
        site.discovery.reset_connections()
        site.hub.sleep(30 * S)
        assert len(site.discovery.calls) - before <= 20

    played(site_of(tmp_path), act)


@BOTH
def test_a_change_sent_to_a_watch_counts_at_once(tmp_path, way):
    def act(site):
        kept_the_rule(site, drain(site))

    played(site_of(tmp_path, way), act)


@BOTH
@pytest.mark.parametrize("indent", [0, 2])
def test_lists_may_be_indented(tmp_path, way, indent):
    site = site_of(tmp_path, way)
    site.discovery.indent = indent
    site.discovery.set_server("s1", site.shelfs[1].address, 1, "terminating")

    def act(site):
        site.hub.sleep(1 * S)
        assert site.head.nodes.find("s1").entry.state.value == "draining"
        site.discovery.set_server("s1", site.shelfs[1].address, 1, "terminated")
        site.hub.sleep(10 * MS)
        assert site.head.nodes.find("s1") is None

    site.run(act)


@given(st.integers(0, 300 * S), st.booleans(), st.integers(100 * MS, 20 * S))
def test_a_silent_call_is_retried_in_time_whatever_the_settings(within_us, pushed, grace_us):
    """A call times out, and is retried, within the limits of the rules."""
    watching = DiscoveryWatch(within_us, 41, pushed, grace_us)
    watching.subscribe(True)
    watching.handle_answer(41, False, 0)
    call = watching.next_call()
    assert call.wait_us <= MAX_WAIT_US and call.timeout_us <= max(
        MAX_WAIT_US + ANSWER_ALLOWANCE_US, call.wait_us + grace_us
    )
    retry_us = watching.handle_failure(call.timeout_us, 0)
    if pushed:
        watching.subscribe(True)
        assert watching.next_call().timeout_us + retry_us < grace_us / 2
    elif within_us >= 2 * S:
        assert ANSWER_ALLOWANCE_US + retry_us <= max(within_us, ANSWER_ALLOWANCE_US + 300 * MS)


SETTINGS_OF_WATCHES = (st.integers(0, 300 * S), st.booleans(), st.integers(0, 20 * S))
FRACTIONS = st.floats(0, 1)  # of the time limit of a call, after which it fails


class FailingCalls:
    """A watch whose calls fail; `now` is when the next one begins."""

    def __init__(self, within_us, pushed, grace_us, follows):
        self.now, self.watching = 0, DiscoveryWatch(within_us, 41, pushed, grace_us)
        self.watching.subscribe(True)
        if follows:
            self.watching.handle_answer(41, False, 0)

    def fail(self, fraction):
        started_at, call = self.now, self.watching.next_call()
        self.now += int(call.timeout_us * fraction)
        # A call that uses all its time is overdue: another is made beside it.
        handle = self.watching.handle_overdue if fraction == 1 else self.watching.handle_failure
        self.now += handle(self.now, started_at)
        assert self.watching.subscribe(True)

    def answered_at(self):
        return self.now + self.watching.next_call().timeout_us


@given(*SETTINGS_OF_WATCHES, st.booleans(), st.lists(FRACTIONS, min_size=1, max_size=9), FRACTIONS, FRACTIONS)
def test_after_a_recovery_at_any_time_the_answer_is_in_time_even_if_one_more_call_fails(
    within_us, pushed, grace_us, follows, before, in_progress, one_more
):
    calls = FailingCalls(within_us, pushed, grace_us, follows)
    for fraction in before:
        calls.fail(fraction)
    returned = calls.now
    calls.fail(in_progress)
    calls.fail(one_more)
    assert calls.answered_at() - returned <= ANNOUNCED_AFTER_US - MARGIN_US


@given(*SETTINGS_OF_WATCHES, FRACTIONS, FRACTIONS)
def test_after_a_silent_watch_the_answer_is_in_time_even_if_the_next_call_fails(
    within_us, pushed, grace_us, silent, one_more
):
    calls = FailingCalls(within_us, pushed, grace_us, True)
    calls.fail(silent)
    assert calls.answered_at() <= ANNOUNCED_AFTER_US - MARGIN_US
    calls.fail(one_more)
    # The second call may use all of its allowance: then half remains for the third call's answer.
    assert calls.now + ANSWER_ALLOWANCE_US // 2 <= ANNOUNCED_AFTER_US - MARGIN_US


def test_a_new_source_is_called_every_second_until_it_has_answered():
    watching = DiscoveryWatch(10 * S, 41)
    watching.subscribe(True)
    assert watching.handle_failure(0, 0) > MOVED_RETRY_US
    watching.restart(0)
    assert watching.handle_failure(0, 0) == MOVED_RETRY_US
    watching.subscribe(True)
    watching.handle_answer(41, False, 0)
    assert watching.handle_failure(0, 0) > MOVED_RETRY_US


def test_without_a_grace_a_change_after_a_silent_outage_of_the_agent_counts_at_once(tmp_path):
    def act(site):
        site.discovery.outage = Outage.SILENT
        site.discovery.reset_connections()
        site.hub.sleep(8_700 * MS)
        site.discovery.outage = Outage.NONE
        kept_the_rule(site, drain(site))

    played(site_of(tmp_path, PUSHED, drainGraceUs=0), act)
