"""The list's clock: when a change counts as told, and that nothing new goes to a drained shelf after its grace.

Each play sends reads and writes for one shard all the time; the shelf that holds it begins to drain while
discovery is in trouble. What the shelf then got is held against the platform's terms, not the head's own.
"""

import copy
import json

import pytest
from hypothesis import given, strategies as st

from harriertrack.decisions.graceful_shutdown import Phase
from harriertrack.decisions.discovery_watch import (
    STARTUP_HOLD_US,
    MARGIN_US,
    MOVED_RETRY_US,
    ANSWER_ALLOWANCE_US,
    ANNOUNCED_AFTER_US,
    MAX_WAIT_US,
    DiscoveryWatch,
)
from harriertrack.standin.platform import Outage, PlatformDiscovery
from tests.test_platform import MS, SETTINGS, Site

S = 1_000_000
SLACK_US = 50 * MS
SILENCE_US = 6 * S  # what a silent watch misses counts as told so long after
ASKED, PUSHED = "on_request", "pushed"
BOTH = pytest.mark.parametrize("way", [ASKED, PUSHED])


def site_of(tmp_path, way=ASKED, act=lambda given: None, **safety):
    settings = copy.deepcopy(SETTINGS["safety"])
    site = Site(tmp_path, discovery=way, safety={**settings, **safety})
    act(site.given)
    return site


def ask_all_the_time(site, every_us=40 * MS, within=3 * S):
    """Send reads and writes to shard 1 for ever (a task)."""
    while True:
        site.scope.spawn("ask", site.ask, site.request(writes=site.number % 2 == 1), None, within)
        site.hub.sleep(every_us)


def drain(site, name="s1", where=None):
    site.discovery.set(name, where or site.shelfs[1].address, 1, "terminating")
    return site.hub.now()


def kept_the_rule(site, told_at):
    """Play on past the grace; say that the drained shelf got requests before, and none from then on."""
    over = told_at + site.given["settings"]["safety"]["drainGraceUs"] + SLACK_US
    site.hub.sleep(max(0, over - site.hub.now()) + 2 * S)
    when = [got.when for got in site.shelfs[1].got]
    assert when and max(when) <= over, f"{(max(when) - over) / S:.2f} s after the grace was over"


def played(site, act, within=3 * S):
    """Play a test beside clients that ask all the time, and wait so long for each answer."""

    def whole(site):
        site.scope.spawn("asks", ask_all_the_time, site, 40 * MS, within)
        site.hub.sleep(1_300 * MS)
        act(site)

    site.run(whole)


@BOTH
@pytest.mark.parametrize("after_us", [0, 700 * MS, 2_300 * MS])  # of the watch's wait of 2.5 s
def test_what_a_silent_watch_misses_is_acted_on_within_six_seconds_and_the_grace(tmp_path, way, after_us):
    def act(site):
        site.hub.sleep(after_us)
        site.discovery.fall_silent()
        told_at = site.hub.now() + SILENCE_US
        site.hub.sleep(100 * MS)
        drain(site)
        kept_the_rule(site, told_at)

    played(site_of(tmp_path, way), act)


@BOTH
def test_a_silent_poll_is_asked_anew_too(tmp_path, way):
    """All watches break, and the calls that follow are taken and never answered for a second."""

    def act(site):
        site.discovery.outage = Outage.SILENT
        site.discovery.reset()
        site.hub.sleep(1 * S)
        site.discovery.outage = Outage.NONE
        returned = site.hub.now()
        drain(site)
        # Asked for, the poll may stay silent: 6 s. Pushed, what the agent has counts as soon as it is back.
        kept_the_rule(site, returned + (SILENCE_US if way == ASKED else 0))

    played(site_of(tmp_path, way), act)


def test_a_long_time_to_ask_within_does_not_make_a_watch_wait_for_longer_than_silence_allows(tmp_path):
    def act(site):
        site.hub.sleep(20 * S)
        site.discovery.fall_silent()
        silent_at = site.hub.now()
        waited = int(site.discovery.calls[-1][1].split("timeout_ms=")[1]) * MS
        told_at = max(silent_at + SILENCE_US, site.discovery.calls[-1][0] + waited + 2 * S)
        drain(site)
        kept_the_rule(site, told_at)
        assert told_at == silent_at + SILENCE_US

    played(site_of(tmp_path, askWithinUs=120 * S), act)


def test_a_pushed_list_counts_when_the_agent_has_it_though_the_watch_was_just_reset(tmp_path):
    def act(site):
        site.discovery.reset()
        kept_the_rule(site, drain(site))

    played(site_of(tmp_path, PUSHED), act)


@pytest.mark.parametrize("outage", [Outage.SILENT, Outage.FAILING])
@pytest.mark.parametrize("lasts_us", [8_100 * MS, 8_400 * MS, 8_700 * MS, 9_000 * MS])
def test_what_the_agent_gets_at_the_end_of_a_long_outage_counts_at_once(tmp_path, outage, lasts_us):
    def act(site):
        site.discovery.outage = outage
        site.discovery.reset()
        site.hub.sleep(lasts_us)
        site.discovery.outage = Outage.NONE
        kept_the_rule(site, drain(site))

    played(site_of(tmp_path, PUSHED), act)


def test_a_head_that_starts_sends_nothing_to_a_shelf_that_the_agent_has_as_draining(tmp_path):
    site = site_of(tmp_path, PUSHED)
    site.discovery.set("s1", site.shelfs[1].address, 1, "terminating")  # after its list of the last life

    def act(site):
        played_until = site.hub.now() + 3 * S
        while site.hub.now() < played_until:
            site.ask(site.request())
            site.hub.sleep(40 * MS)
        # The grace is counted from the process's first moment; half of it may serve what nobody else can.
        assert all(got.when <= began + 2 * S for got in site.shelfs[1].got)

    began = site.hub.now()
    site.run(act)


@pytest.mark.parametrize("lasts_us", [5 * S, 7_500 * MS])
def test_a_head_whose_agent_is_silent_at_its_start_is_not_ready_until_it_is_heard(tmp_path, lasts_us):
    site = site_of(tmp_path, PUSHED)
    site.discovery.set("s1", site.shelfs[1].address, 1, "terminated")
    site.discovery.outage = Outage.SILENT
    began = site.hub.now()

    def end_of_outage():
        site.hub.sleep(lasts_us)
        with pytest.raises(ConnectionRefusedError):
            site.connect()
        site.discovery.outage = Outage.NONE

    def act(site):
        assert lasts_us <= site.hub.now() - began < lasts_us + 1 * S
        assert site.ask(b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")[0] == 200
        assert site.ask(site.request())[0] == 503 and not site.shelfs[1].got

    site.begin = end_of_outage
    site.run(act)


def test_a_head_whose_agent_stays_silent_is_ready_before_the_platform_counts_it_as_crashed(tmp_path):
    site = site_of(tmp_path, PUSHED)
    site.discovery.outage = Outage.SILENT
    began = site.hub.now()

    def act(site):
        # Nine in ten restarted heads have to be ready within 10 s: 1.5 s are left for the imports.
        assert STARTUP_HOLD_US <= site.hub.now() - began <= 8_500 * MS
        assert site.ask(site.request())[0] == 200
        assert "list not heard" in [event for event, _ in site.notes]

    site.run(act)


def test_a_head_that_is_asked_to_leave_while_its_agent_is_silent_leaves_in_time(tmp_path):
    site = site_of(tmp_path, PUSHED)
    site.discovery.outage = Outage.SILENT

    began = site.hub.now()

    def leave():
        site.hub.sleep(1 * S)
        site.head.stop()

    def act(site):
        while site.head.leaving.phase is not Phase.ENDED:
            site.hub.sleep(10 * MS)
        # The longest deadline is 2.5 s, the kill comes 0.7 s after it.
        assert site.hub.now() - began < (1_000 + 3_200) * MS

    site.begin = leave
    site.run(act)


@BOTH
@pytest.mark.parametrize("version", [90, 1])
@pytest.mark.parametrize("trouble", [None, Outage.SILENT, Outage.FAILING])
def test_four_seconds_after_a_new_configuration_its_source_has_been_heard(tmp_path, way, trouble, version):
    """Also where the old source had failed for long, the new one does not answer its first calls, or counts
    its versions anew."""

    def act(site):
        site.discovery.version = 50
        site.discovery.set("s0", site.shelfs[0].address, 0)
        site.hub.sleep(10 * MS)
        fresh = PlatformDiscovery(site.hub, site.net, version, dict(site.discovery.servers))
        fresh.start(site.scope)
        if trouble is not None:
            site.discovery.outage = trouble
            site.discovery.reset()
            site.hub.sleep(14 * S)  # its waits have grown to 4 to 8 s
            fresh.outage = trouble
        site.given["discovery"] = f"127.0.0.1:{fresh.address[1]}"
        site.head.reconfigure(site.configuration())
        told_at = site.hub.now() + 4 * S
        fresh.set("s1", site.shelfs[1].address, 1, "terminating")
        site.hub.sleep(1_500 * MS)
        fresh.outage = Outage.NONE
        kept_the_rule(site, told_at)

    played(site_of(tmp_path, way, drainGraceUs=400 * MS), act)


@BOTH
@pytest.mark.parametrize("whole", [False, True])  # whole lists come where changes are expected
@pytest.mark.parametrize("lasts_us", [0, 8 * S, 20 * S])
def test_a_source_that_counts_its_versions_anew_is_asked_for_the_whole_list_at_once(
    tmp_path, way, whole, lasts_us
):
    def act(site):
        site.discovery.version = 500
        site.discovery.set("s0", site.shelfs[0].address, 0)
        site.hub.sleep(10 * MS)
        site.discovery.outage = Outage.FAILING
        site.discovery.reset()
        site.hub.sleep(lasts_us)
        site.discovery.outage, site.discovery.version, site.discovery.changed = Outage.NONE, 2, {}
        if whole:
            site.discovery.spoil = lambda _body: json.dumps(site.discovery.listed()).encode()
        returned = drain(site)
        kept_the_rule(site, returned + (ANNOUNCED_AFTER_US if way == ASKED else 0))
        calls = [call for call in site.discovery.calls if call[0] >= returned]
        assert "since=501" in calls[0][1] and "since" not in calls[1][1]
        assert calls[1][0] - calls[0][0] <= 10 * MS and "since=3&" in calls[2][1]

    played(site_of(tmp_path, way), act)


def test_a_late_answer_of_the_old_source_does_not_undo_the_list_of_the_new_one(tmp_path):
    """It comes at each moment around the new configuration."""

    def act(site):
        for late_us in range(-300, 301, 50):
            old, fresh = site.discovery, PlatformDiscovery(site.hub, site.net, version=300)
            fresh.servers, site.discovery = copy.deepcopy(old.servers), fresh
            fresh.start(site.scope)
            fresh.set("s1", site.shelfs[1].address, 1)
            site.given["discovery"] = f"127.0.0.1:{fresh.address[1]}"
            configuration, now = site.configuration(), site.hub.now()
            site.hub.at(now + 1_000, lambda given=configuration: site.head.reconfigure(given))
            site.hub.at(
                now + 1_000 + late_us, lambda old=old: old.set("s1", ("127.0.0.1", 1), 1, "terminated")
            )
            site.hub.sleep(1 * S)
            assert site.head.nodes.find("s1").address == site.shelfs[1].address, late_us
        assert site.ask(site.request())[0] == 200

    played(site_of(tmp_path), act)


@pytest.mark.parametrize("within_us", [2 * S, 5 * S, 10 * S])
def test_a_head_without_a_watch_asks_within_the_settings_time(tmp_path, within_us):
    """Counted anew when discovery is back: the module's own waits grow to 8 s meanwhile."""

    def act(site):
        site.discovery.outage = Outage.FAILING
        site.discovery.reset()
        site.hub.sleep(30 * S)
        site.discovery.outage = Outage.NONE
        returned = site.hub.now()
        drain(site)
        kept_the_rule(site, returned + within_us)

    played(site_of(tmp_path, askWithinUs=within_us), act)


@pytest.mark.parametrize("lasts_us", [8 * S, 29 * S, 31 * S])
@pytest.mark.parametrize("outage", [Outage.SILENT, Outage.FAILING])
@pytest.mark.parametrize("settings", [{}, {"askWithinUs": 0}, {"askWithinUs": 120 * S}, {"drainGraceUs": 0}])
def test_six_seconds_after_discovery_is_back_it_has_told_though_one_more_call_fails(
    tmp_path, settings, outage, lasts_us
):
    """However long it was away, and whatever the settings allow without a call."""

    def act(site):
        site.discovery.outage = outage
        site.discovery.reset()
        site.hub.sleep(lasts_us)
        site.discovery.outage, site.discovery.spoil = Outage.NONE, spoil_once
        returned = drain(site)
        kept_the_rule(site, returned + ANNOUNCED_AFTER_US)
        assert site.head.nodes.find("s1").entry.state.value == "draining"

    def spoil_once(_body):
        site.discovery.spoil = None
        return b"{"

    site = site_of(tmp_path, **settings)
    played(site, act)


@pytest.mark.parametrize("outage", [Outage.SILENT, Outage.FAILING])
def test_an_outage_of_thirty_seconds_takes_a_bounded_number_of_calls(tmp_path, outage):
    """Each failure that the module hears of makes it ask once more: it must not add up with the watch's own."""

    def act(site):
        before = len(site.discovery.calls)
        site.discovery.outage = outage
        site.discovery.reset()
        site.hub.sleep(30 * S)
        assert len(site.discovery.calls) - before <= 20

    played(site_of(tmp_path), act)


@BOTH
def test_what_is_written_on_a_watch_counts_then(tmp_path, way):
    def act(site):
        kept_the_rule(site, drain(site))

    played(site_of(tmp_path, way), act)


@BOTH
@pytest.mark.parametrize("indent", [0, 2])
def test_lists_may_come_indented(tmp_path, way, indent):
    site = site_of(tmp_path, way)
    site.discovery.indent = indent
    site.discovery.set("s1", site.shelfs[1].address, 1, "terminating")

    def act(site):
        site.hub.sleep(1 * S)
        assert site.head.nodes.find("s1").entry.state.value == "draining"
        site.discovery.set("s1", site.shelfs[1].address, 1, "terminated")
        site.hub.sleep(10 * MS)
        assert site.head.nodes.find("s1") is None

    site.run(act)


@given(st.integers(0, 300 * S), st.booleans(), st.integers(100 * MS, 20 * S))
def test_every_silence_is_over_before_it_counts_whatever_the_settings(within_us, pushed, grace_us):
    """From any moment of a call: it is given up, and one more that fails too, before the next one is due."""
    watching = DiscoveryWatch(within_us, 41, pushed, grace_us)
    watching.subscribe(True)
    watching.handle_answer(41, False, 0)
    call = watching.next_call()
    assert call.wait_us <= MAX_WAIT_US and call.timeout_us <= max(
        MAX_WAIT_US + ANSWER_ALLOWANCE_US, call.wait_us + grace_us
    )
    again = watching.handle_failure(call.timeout_us, 0)
    if pushed:
        watching.subscribe(True)
        assert watching.next_call().timeout_us + again < grace_us / 2
    elif within_us >= 2 * S:
        assert ANSWER_ALLOWANCE_US + again <= max(within_us, ANSWER_ALLOWANCE_US + 300 * MS)


SETTINGS_OF_WATCHES = (st.integers(0, 300 * S), st.booleans(), st.integers(0, 20 * S))
SHARES = st.floats(0, 1)  # of the time that a call may take at most, after which it fails


class FailingCalls:
    """A watch whose calls fail; `now` is when the next one begins if nobody asks for it before."""

    def __init__(self, within_us, pushed, grace_us, follows):
        self.now, self.watching = 0, DiscoveryWatch(within_us, 41, pushed, grace_us)
        self.watching.subscribe(True)
        if follows:
            self.watching.handle_answer(41, False, 0)

    def fail(self, share):
        began, call = self.now, self.watching.next_call()
        self.now += int(call.timeout_us * share)
        # A call that takes all its time is overdue: another is made beside it.
        end = self.watching.handle_overdue if share == 1 else self.watching.handle_failure
        self.now += end(self.now, began)
        assert self.watching.subscribe(True)

    def answered_at(self):
        return self.now + self.watching.next_call().timeout_us


@given(*SETTINGS_OF_WATCHES, st.booleans(), st.lists(SHARES, min_size=1, max_size=9), SHARES, SHARES)
def test_from_any_moment_at_which_discovery_is_back_its_answer_comes_in_time_though_one_more_call_fails(
    within_us, pushed, grace_us, follows, before, under_way, one_more
):
    calls = FailingCalls(within_us, pushed, grace_us, follows)
    for share in before:
        calls.fail(share)
    returned = calls.now
    calls.fail(under_way)
    calls.fail(one_more)
    assert calls.answered_at() - returned <= ANNOUNCED_AFTER_US - MARGIN_US


@given(*SETTINGS_OF_WATCHES, SHARES, SHARES)
def test_what_a_silent_watch_misses_is_asked_for_in_time_though_the_call_after_it_fails(
    within_us, pushed, grace_us, silent, one_more
):
    calls = FailingCalls(within_us, pushed, grace_us, True)
    calls.fail(silent)
    assert calls.answered_at() <= ANNOUNCED_AFTER_US - MARGIN_US
    calls.fail(one_more)
    # The second call may take all of its patience: the third's answer has half of its own then.
    assert calls.now + ANSWER_ALLOWANCE_US // 2 <= ANNOUNCED_AFTER_US - MARGIN_US


def test_until_a_new_source_has_answered_it_is_asked_every_second():
    watching = DiscoveryWatch(10 * S, 41)
    watching.subscribe(True)
    assert watching.handle_failure(0, 0) > MOVED_RETRY_US
    watching.restart(0)
    assert watching.handle_failure(0, 0) == MOVED_RETRY_US
    watching.subscribe(True)
    watching.handle_answer(41, False, 0)
    assert watching.handle_failure(0, 0) > MOVED_RETRY_US


def test_without_a_grace_what_the_agent_gets_at_the_end_of_a_silent_outage_counts_at_once(tmp_path):
    def act(site):
        site.discovery.outage = Outage.SILENT
        site.discovery.reset()
        site.hub.sleep(8_700 * MS)
        site.discovery.outage = Outage.NONE
        kept_the_rule(site, drain(site))

    played(site_of(tmp_path, PUSHED, drainGraceUs=0), act)
