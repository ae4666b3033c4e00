"""A gateway head whose list service is crowded hears of changes all the same.

Symptom: a head whose list service serves its callers in turn, and a turn comes later than the call's `timeout`, goes on
by the list that it had: it never hears that a node is gone, and what its clients ask there is refused or waits.

Cause: the call was given up after `timeout` and made anew, at the end of the queue (the same as
test_crowded_discovery.py for the platform's head). The head's log: `node list failed why=DeadlineExceeded`, over and
over, while the service wrote no answer that anybody still waited for. Now a call that is overdue stays open beside the
next one (decisions/open_calls.py), and the head follows on from its answer.
"""

import subprocess
import sys

import pytest

from harriertrack.config.settings import NodeStandInSettings, VolumeSettings
from harriertrack.decisions.discovery_watch import ANNOUNCED_AFTER_US
from harriertrack.decisions.interface import NodeEntry, NodeState
from harriertrack.gateway.client import NbdClient
from harriertrack.lab.fleet.processes import Places
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
TURN_US = 1_700 * MS  # a call's turn comes so long after it: its timeout is 1 s


def crowd(hub, listing, node, queue):
    """The service goes down for a moment, and has many callers from then on: a node's news end what is under way."""
    listing.down = True
    listing.set_state(node, NodeState.DRAINING)
    hub.sleep(100 * MS)
    listing.down, listing.queue = False, queue


def until(hub, holds, within_us, what):
    deadline = hub.now() + within_us
    while not holds():
        assert hub.now() < deadline, what()
        hub.sleep(20 * MS)


@pytest.mark.parametrize("turn_us", [1 * S, 1_700 * MS, 2_500 * MS, 4 * S, 5_500 * MS])
@pytest.mark.parametrize("crowded_us", [0, 10 * S])
def test_however_late_a_call_has_its_turn_its_answer_is_taken(turn_us, crowded_us):
    """In simulated time; calls were given up after 2 s."""

    def test(site):
        crowd(site.hub, site.listing, "n1", CallQueue(site.hub, other_callers_us=turn_us))
        site.hub.sleep(crowded_us)
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


def test_calls_that_are_overdue_are_bounded_and_an_old_answer_is_not_taken():
    """The service is silent for a while; then it answers all, the oldest last."""

    class Silent:
        def wait(self, continues_watch):
            made.append(site.hub.now())
            site.hub.sleep_until(silent_until + 100 * MS * (20 - len(made)))
            return True

    made, site, silent_until = [], None, 0

    def test(given):
        nonlocal site, silent_until
        site, silent_until = given, given.hub.now() + 40 * S
        crowd(site.hub, site.listing, "n1", Silent())
        site.hub.sleep(39 * S)
        assert len(made) >= 5 and len(site.head._listing._open) <= 4
        site.listing.set_state("n0", NodeState.GONE)
        site.hub.sleep(4 * S)
        assert site.head.nodes.find("n0").entry.state is NodeState.GONE

    play(test)


@pytest.mark.real_time
def test_a_head_process_whose_list_is_crowded_moves_to_the_new_node(tmp_path):
    """A node is replaced while a call's turn takes longer than its timeout."""
    hub, places = Hub(), Places()
    net, there = SocketNetwork(hub), places.next()

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
            path.write_text(HEAD.format(*there, tmp_path, *listing.address))
            log = (tmp_path / "log").open("wb")
            process = subprocess.Popen([sys.executable, "-m", "harriertrack", "head", str(path)],
                                       stdout=log, stderr=log)  # fmt: skip
            try:
                served_and_replaced(scope, listing, shelves)
            finally:
                process.kill()
                process.wait()
            scope.cancel()

    def served_and_replaced(scope, listing, shelves):
        client = NbdClient(hub, net)

        def connected():
            try:
                client.open(there, hub.now() + 1 * S)
            except OSError:
                return False
            return True

        until(hub, connected, 60 * S, lambda: "nobody listens")
        client.go(scope, "demo", hub.now() + 5 * S)
        until(hub, lambda: client.call(Command.READ, 0, 512).error == 0, 20 * S, lambda: "nothing is served")
        crowd(hub, listing, "old", CallQueue(hub, service_us=10 * MS, other_callers_us=TURN_US))
        hub.sleep(8 * S)  # by now all that the head asks waits in the queue
        listing.set_member(Member(NodeEntry("new", 0), shelves[1].address))
        listing.set_state("old", NodeState.GONE)
        shelves[0].stop()
        replies = []  # a client that hears no hints waits
        client.start(Command.READ, 0, 512, b"", replies.append)
        until(hub, lambda: replies, ANNOUNCED_AFTER_US, lambda: (tmp_path / "log").read_text()[-1500:])
        assert replies[0].error == 0

    hub.run(main)
