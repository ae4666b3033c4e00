"""A head's shutdown at each instant: connections not yet accepted, requests half read, answers half sent."""

import signal
import time

import pytest

from harriertrack.decisions import graceful_shutdown
from harriertrack.decisions.client_connections import ClientState
from harriertrack.decisions.graceful_shutdown import Phase
from harriertrack.runtime.hub import Hub, RealClock
from harriertrack.runtime.signals import on_signals
from harriertrack.standin.platform import NO_RESPONSE, answer
from tests.endings.loopback import LoopbackSite, RawClient, client_states, slow_reader
from tests.test_platform import MS

LARGE = b"x" * 65536  # more than the kernel buffers for a client that does not read and has small buffers


@pytest.fixture(autouse=True)
def longer_shutdown(monkeypatch):
    """Allow for a busy machine; a head with no open requests ends earlier."""
    monkeypatch.setattr(graceful_shutdown, "DRAIN_US", 1_500 * MS)
    monkeypatch.setattr(graceful_shutdown, "FINAL_SEND_US", 5_000 * MS)


class StoppingSite(LoopbackSite):
    """A head that drains soon after it is told to stop; `acts` are called in the round in which a phase begins."""

    def __init__(self, tmp_path, **settings):
        super().__init__(tmp_path, **settings)
        self.phases, self.acts, begins_us = [], {}, {}
        begins_us[Phase.DRAINING] = 50 * MS
        begins_us[Phase.CLOSING] = begins_us[Phase.DRAINING] + graceful_shutdown.DRAIN_US
        longest_us = (
            begins_us[Phase.CLOSING] + graceful_shutdown.KILL_MARGIN_US - graceful_shutdown.KILL_AFTER_US
        )
        state = self.head.shutdown = graceful_shutdown.GracefulShutdown(longest_us)
        advance = state.advance

        def recording_advance(now, connections):
            for phase in list(self.acts):
                if now - state._asked_at >= begins_us[phase]:
                    self.acts.pop(phase)()
            current = advance(now, connections)
            self.phases += [current] if self.phases[-1:] != [current] else []
            return current

        state.advance = recording_advance

    def stop(self, **acts):
        """Tell the head to stop; call each act in the round in which its phase is about to begin."""
        self.acts = {Phase(name): act for name, act in acts.items()}
        self.head.stop()

    def until_phase(self, phase):
        self.until(lambda: phase in self.phases)


@pytest.mark.parametrize("kind", ["not accepted", "new", "idle"])
def test_a_request_that_arrives_in_the_round_in_which_the_head_drains_is_answered(tmp_path, kind):
    """Its connection was accepted only by the kernel, or is about to be closed as one without a request."""

    def act(site):
        client = RawClient(site) if kind != "not accepted" else None
        if kind == "idle":
            client.send(site.request())
            assert client.until_answered()[0] == 200
        site.hub.sleep(5 * MS)
        clients = []

        def send_request():
            clients.append(client or RawClient(site))
            clients[0].send(site.request())

        site.stop(draining=send_request)
        site.until_phase(Phase.DRAINING)
        status, head, _ = clients[0].until_answered()
        assert status == 200 and b"connection: close" in head
        assert clients[0].until_ended() == b"" and not clients[0].broken
        assert len(site.shelfs[1].requests) == 1 + (kind == "idle")
        site.until_phase(Phase.ENDED)

    StoppingSite(tmp_path).run(act)


def test_a_request_after_the_last_answer_is_never_forwarded(tmp_path):
    def act(site):
        client, received = RawClient(site), []
        site.hub.sleep(5 * MS)
        site.stop(draining=lambda: client.send(site.request()))
        site.until_phase(Phase.DRAINING)
        site.until(lambda: client.receive() and b"\r\n\r\n" in client.received)
        client.send(site.request())  # the head has shut down its side
        received.append(client.until_ended())
        assert received[0].count(b"HTTP/1.1") == 1 and not client.broken
        site.until_phase(Phase.ENDED)
        assert len(site.shelfs[1].requests) == 1

    StoppingSite(tmp_path).run(act)


def test_a_slowly_read_answer_is_sent_completely_before_the_head_ends(tmp_path, monkeypatch):
    monkeypatch.setattr(graceful_shutdown, "DRAIN_US", 50 * MS)
    site = StoppingSite(tmp_path)
    site.script = lambda got: answer(LARGE)

    def act(site):
        client = slow_reader(site)
        client.send(site.request(**{"X-Expires-In-Ms": "1400"}))
        site.until(lambda: ClientState.SENDING in client_states(site))
        site.stop()
        site.until_phase(Phase.CLOSING)
        status, _, body = client.until_answered()
        assert (status, body) == (200, LARGE)

    site.run(act)


def test_open_and_partial_requests_are_answered_when_the_head_closes_despite_unread_bytes(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(graceful_shutdown, "DRAIN_US", 200 * MS)
    site = StoppingSite(tmp_path)
    site.script = lambda got: NO_RESPONSE

    def act(site):
        waiting, partial, late = RawClient(site), RawClient(site), RawClient(site)
        late.send(site.request()[:20])
        site.hub.sleep(5 * MS)
        rest = site.request(True, body="y" * 40)

        def send_requests():
            waiting.send(site.request())
            partial.send(rest[:-10])

        site.stop(draining=send_requests, closing=lambda: late.send(b"z" * 5000))
        site.until(lambda: site.shelfs[1].requests)
        waiting.send(b"x" * 4096)
        for client, expected in ((waiting, (500, 503)), (partial, (503,)), (late, (400, 503))):
            status, head, _ = client.until_answered()
            assert status in expected and b"connection: close" in head
            if client is partial:
                client.send(rest[-10:])  # complete now, but already refused
            assert client.until_ended() == b"" and not client.broken
        site.until_phase(Phase.ENDED)
        assert len(site.shelfs[1].requests) == 1 and not site.head.front.open_requests

    site.run(act)


def test_the_kill_is_counted_from_the_earliest_moment_at_which_the_head_was_told_to_stop(tmp_path):
    """Guards against answers that come too late where the process was paused as it was told."""

    def act(site):
        site.hub.sleep(5 * MS)
        paused_at = site.hub.now()
        time.sleep(0.05)
        site.head.stop()
        assert paused_at - 5 * MS <= site.head.shutdown._asked_at <= paused_at
        site.until_phase(Phase.ENDED)

    StoppingSite(tmp_path).run(act)


def test_a_signal_that_waited_for_the_start_of_the_process_counts_from_before_it():
    hub, told = Hub(input_since=RealClock().now() - 300 * MS), []
    began = hub.now()
    with on_signals(hub, (signal.SIGUSR1,), lambda _number: told.append(hub.found_since)):
        signal.raise_signal(signal.SIGUSR1)
        hub.run(hub.sleep, 1 * MS)
    assert len(told) == 1 and told[0] <= began - 300 * MS


def test_a_second_stop_and_a_new_configuration_do_not_change_a_shutdown(tmp_path):
    def act(site):
        client = RawClient(site)
        site.stop()
        stopped_at = site.head.shutdown._asked_at
        site.hub.sleep(5 * MS)
        site.given["discovery"] = "127.0.0.1:9"  # an address without a listener
        site.head.reconfigure(site.configuration())
        site.head.stop()
        client.send(site.request())
        assert client.until_answered()[0] == 200 and site.head.shutdown._asked_at == stopped_at
        site.until_phase(Phase.ENDED)
        assert Phase.CLOSING not in site.phases  # no request was open

    StoppingSite(tmp_path).run(act)
