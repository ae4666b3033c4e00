"""The head's end, forced at each instant: what its system has taken for it, what is half read, half answered."""

import pytest

from harriertrack.decisions import graceful_shutdown
from harriertrack.decisions.client_connections import ClientState
from harriertrack.decisions.graceful_shutdown import Phase
from harriertrack.standin.platform import NO_RESPONSE, answer
from tests.endings.loopback import LoopbackSite, RawClient, caller_states, slow_reader
from tests.test_platform import MS

LARGE = b"x" * 65536  # more than the system takes for a client that does not read and has small buffers


@pytest.fixture(autouse=True)
def patience(monkeypatch):
    """Time enough on a busy machine: a head that has nothing left to do ends before."""
    monkeypatch.setattr(graceful_shutdown, "DRAIN_US", 1_500 * MS)
    monkeypatch.setattr(graceful_shutdown, "FINAL_SEND_US", 5_000 * MS)


class LeavingSite(LoopbackSite):
    """A head that drains soon after it is asked to leave; `acts` are called in the turn of a phase's begin."""

    def __init__(self, tmp_path, **settings):
        super().__init__(tmp_path, **settings)
        self.phases, self.acts, begins = [], {}, {}
        begins[Phase.DRAINING] = 50 * MS
        begins[Phase.CLOSING] = begins[Phase.DRAINING] + graceful_shutdown.DRAIN_US
        longest = begins[Phase.CLOSING] + graceful_shutdown.KILL_MARGIN_US - graceful_shutdown.KILL_AFTER_US
        state = self.head.shutdown = graceful_shutdown.GracefulShutdown(longest)
        look = state.advance

        def looks(now, connections):
            for phase in list(self.acts):
                if now - state._asked_at >= begins[phase]:
                    self.acts.pop(phase)()
            found = look(now, connections)
            self.phases += [found] if self.phases[-1:] != [found] else []
            return found

        state.advance = looks

    def leave(self, **acts):
        """Ask the head to leave; call an act in the turn in which it is about to come to a phase."""
        self.acts = {Phase(name): act for name, act in acts.items()}
        self.head.stop()

    def until_phase(self, phase):
        self.until(lambda: phase in self.phases)


@pytest.mark.parametrize("kind", ["waits at the listener", "new", "idle"])
def test_a_request_that_comes_in_the_turn_in_which_the_head_drains_is_answered(tmp_path, kind):
    """Its connection was accepted by the system alone, or is about to be closed as one without a request."""

    def act(site):
        client = RawClient(site) if kind != "waits at the listener" else None
        if kind == "idle":
            client.send(site.request())
            assert client.until_answered()[0] == 200
        site.hub.sleep(5 * MS)
        came = []

        def sends():
            came.append(client or RawClient(site))
            came[0].send(site.request())

        site.leave(draining=sends)
        site.until_phase(Phase.DRAINING)
        status, head, _ = came[0].until_answered()
        assert status == 200 and b"connection: close" in head
        assert came[0].until_ended() == b"" and not came[0].broken
        assert len(site.shelfs[1].requests) == 1 + (kind == "idle")
        site.until_phase(Phase.ENDED)

    LeavingSite(tmp_path).run(act)


def test_a_request_behind_the_last_answer_is_never_sent_on(tmp_path):
    def act(site):
        client, came = RawClient(site), []
        site.hub.sleep(5 * MS)
        site.leave(draining=lambda: client.send(site.request()))
        site.until_phase(Phase.DRAINING)
        site.until(lambda: client.receive() and b"\r\n\r\n" in client.received)
        client.send(site.request())  # the head has shut its side
        came.append(client.until_ended())
        assert came[0].count(b"HTTP/1.1") == 1 and not client.broken
        site.until_phase(Phase.ENDED)
        assert len(site.shelfs[1].requests) == 1

    LeavingSite(tmp_path).run(act)


def test_an_answer_that_its_client_reads_slowly_leaves_whole_before_the_head_ends(tmp_path, monkeypatch):
    monkeypatch.setattr(graceful_shutdown, "DRAIN_US", 50 * MS)
    site = LeavingSite(tmp_path)
    site.script = lambda got: answer(LARGE)

    def act(site):
        client = slow_reader(site)
        client.send(site.request(**{"X-Expires-In-Ms": "1400"}))
        site.until(lambda: ClientState.SENDING in caller_states(site))
        site.leave()
        site.until_phase(Phase.CLOSING)
        status, _, body = client.until_answered()
        assert (status, body) == (200, LARGE)

    site.run(act)


def test_what_is_open_or_half_read_as_the_head_closes_is_answered_though_bytes_lie_unread(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(graceful_shutdown, "DRAIN_US", 200 * MS)
    site = LeavingSite(tmp_path)
    site.script = lambda got: NO_RESPONSE

    def act(site):
        waits, half, late = RawClient(site), RawClient(site), RawClient(site)
        late.send(site.request()[:20])
        site.hub.sleep(5 * MS)
        rest = site.request(True, body="y" * 40)

        def sends():
            waits.send(site.request())
            half.send(rest[:-10])

        site.leave(draining=sends, closing=lambda: late.send(b"z" * 5000))
        site.until(lambda: site.shelfs[1].requests)
        waits.send(b"x" * 4096)
        for client, expected in ((waits, (500, 503)), (half, (503,)), (late, (400, 503))):
            status, head, _ = client.until_answered()
            assert status in expected and b"connection: close" in head
            if client is half:
                client.send(rest[-10:])  # whole now, but refused already
            assert client.until_ended() == b"" and not client.broken
        site.until_phase(Phase.ENDED)
        assert len(site.shelfs[1].requests) == 1 and not site.head.front.open_requests

    site.run(act)


def test_asked_to_leave_twice_and_to_follow_another_configuration_meanwhile_it_leaves_as_before(tmp_path):
    def act(site):
        client = RawClient(site)
        site.leave()
        at = site.head.shutdown._asked_at
        site.hub.sleep(5 * MS)
        site.given["discovery"] = "127.0.0.1:9"  # nobody listens there
        site.head.reconfigure(site.configuration())
        site.head.stop()
        client.send(site.request())
        assert client.until_answered()[0] == 200 and site.head.shutdown._asked_at == at
        site.until_phase(Phase.ENDED)
        assert Phase.CLOSING not in site.phases  # nothing was open

    LeavingSite(tmp_path).run(act)
