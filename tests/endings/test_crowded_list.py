"""A gateway head whose list service is overloaded still receives changes.

Symptom: a list service serves its callers in order, and answers a call later than its `timeout`. The head kept its
old list: it never learned that a node was gone, and requests to that node were refused or waited.

Cause: the call was abandoned after `timeout` and made again, at the end of the queue (as in
test_crowded_discovery.py for the platform's head). The head logged `node list failed why=DeadlineExceeded`
repeatedly, and the service answered only abandoned calls. Now an overdue call stays open in parallel with the next
one (decisions/open_calls.py), and the head continues from its answer.
"""

import subprocess
import sys

import pytest

from harriertrack.config.settings import NodeStandInSettings, VolumeSettings
from harriertrack.decisions.discovery_watch import ANNOUNCED_AFTER_US
from harriertrack.decisions.interface import NodeEntry, NodeState
from harriertrack.gateway.client import NbdClient
from harriertrack.lab.fleet.processes import LoopbackAddresses
from harriertrack.membership.nodes import Member
from harriertrack.protocol.nbd.wire import Command, Errno
from harriertrack.runtime.hub import Hub
from harriertrack.runtime.streams import SocketNetwork
from harriertrack.standin.list_service import ListService
from harriertrack.standin.node import ShardStorage
from harriertrack.standin.queue import CallQueue
from harriertrack.standin.node_server import NodeServer
from tests.test_head import play
from tests.test_platform import MS
from tests.test_platform_clock import S

EXTENT = 1 << 16
DEMO = VolumeSettings(name="demo", size_bytes=64 * EXTENT, plan="p", shards=(0,))
HEAD = """(head (listen "{}" {}) (state-dir "{}/state") (extent 64KiB) (most-units 16)
  (node-list (consul (address "{}" {}) (timeout 1s)))
  (class "r" (kinds read flush) (aim 300ms) (deadline 1.5s) (effect safe))
  (class "w" (kinds write trim write-zeroes) (aim 500ms) (deadline 2.5s) (effect keyed) (window 2.5s))
  (plan "p" (rate 1000) (reserve 500)) (volume "demo" (size 4MiB) (plan "p") (shards 0)))"""
TURN_US = 1_700 * MS  # delay until the service answers a call; the timeout is 1 s


def overload(hub, listing, node, queue):
    """Put a queue before the service; a short outage and a node's change end the calls that are open."""
    listing.down = True
    listing.set_state(node, NodeState.DRAINING)
    hub.sleep(100 * MS)
    listing.down, listing.queue = False, queue


def until(hub, condition, within_us, describe):
    deadline = hub.now() + within_us
    while not condition():
        assert hub.now() < deadline, describe()
        hub.sleep(20 * MS)


@pytest.mark.parametrize("turn_us", [1 * S, 1_700 * MS, 2_500 * MS, 4 * S, 5_500 * MS])
@pytest.mark.parametrize("overloaded_us", [0, 10 * S])
def test_a_late_answer_is_applied_however_late_it_is(turn_us, overloaded_us):
    """In simulated time; calls used to be abandoned after 2 s."""

    def test(site):
        overload(site.hub, site.listing, "n1", CallQueue(site.hub, other_callers_us=turn_us))
        site.hub.sleep(overloaded_us)
        client = site.client("shared")
        site.listing.set_state("n0", NodeState.GONE)
        begun = site.hub.now()
        until(
            site.hub, lambda: site.head.nodes.find("n0").entry.state is NodeState.GONE, ANNOUNCED_AFTER_US,
            lambda: [fields for event, fields in site.notes if event == "node list failed"],
        )  # fmt: skip
        assert (
            client.call(Command.READ, 0, 512).error == Errno.ENOMEM
            and site.hub.now() - begun <= ANNOUNCED_AFTER_US
        )

    play(test)


def test_overdue_calls_are_bounded_and_an_old_answer_is_not_applied():
    """The service is silent for a while; then it answers all calls, the oldest last."""

    class Silent:
        def wait(self, continues_watch):
            calls.append(site.hub.now())
            site.hub.sleep_until(silent_until + 100 * MS * (20 - len(calls)))
            return True

    calls, site, silent_until = [], None, 0

    def test(given):
        nonlocal site, silent_until
        site, silent_until = given, given.hub.now() + 40 * S
        overload(site.hub, site.listing, "n1", Silent())
        site.hub.sleep(39 * S)
        assert len(calls) >= 5 and len(site.head._listing._open) <= 4
        site.listing.set_state("n0", NodeState.GONE)
        site.hub.sleep(4 * S)
        assert site.head.nodes.find("n0").entry.state is NodeState.GONE

    play(test)


@pytest.mark.real_time
def test_a_head_process_whose_list_is_overloaded_moves_to_the_new_node(tmp_path):
    """A node is replaced while calls take longer than their timeout."""
    hub, places = Hub(), LoopbackAddresses()
    net, head_address = SocketNetwork(hub), places.next()

    def main():
        with hub.scope("site") as scope:
            listing = ListService(hub, net)
            listing.start(scope)
            shelves = [
                NodeServer(hub, net, NodeStandInSettings(name=name, listen=("127.0.0.1", 0), shard=0, extent_bytes=EXTENT,
                                              unit_us=200, volumes=(DEMO,)), ShardStorage(EXTENT))
                for name in ("old", "new")
            ]  # fmt: skip
            for shelf in shelves:
                shelf.start(scope)
            listing.set_member(Member(NodeEntry("old", 0), shelves[0].address))
            path = tmp_path / "head.sexp"
            path.write_text(HEAD.format(*head_address, tmp_path, *listing.address))
            log = (tmp_path / "log").open("wb")
            process = subprocess.Popen([sys.executable, "-m", "harriertrack", "head", str(path)],
                                       stdout=log, stderr=log)  # fmt: skip
            try:
                serve_and_replace(scope, listing, shelves)
            finally:
                process.kill()
                process.wait()
            scope.cancel()

    def serve_and_replace(scope, listing, shelves):
        client = NbdClient(hub, net)

        def is_connected():
            try:
                client.open(head_address, hub.now() + 1 * S)
            except OSError:
                return False
            return True

        until(hub, is_connected, 60 * S, lambda: "the head does not listen")
        client.go(scope, "demo", hub.now() + 5 * S)
        until(
            hub, lambda: client.call(Command.READ, 0, 512).error == 0, 20 * S, lambda: "no request is served"
        )
        overload(hub, listing, "old", CallQueue(hub, service_us=10 * MS, other_callers_us=TURN_US))
        hub.sleep(8 * S)  # by now all calls of the head wait in the queue
        listing.set_member(Member(NodeEntry("new", 0), shelves[1].address))
        listing.set_state("old", NodeState.GONE)
        shelves[0].stop()
        replies = []  # a client without the hint extension waits
        client.start(Command.READ, 0, 512, b"", replies.append)
        until(hub, lambda: replies, ANNOUNCED_AFTER_US, lambda: (tmp_path / "log").read_text()[-1500:])
        assert replies[0].error == 0

    hub.run(main)
