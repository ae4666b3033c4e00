"""Volumes of two regions across a close: real heads, nodes and links; each test chooses the moments of closes.

Each test checks what the two regions store in the end. With one line of the program changed, it finds that
they store bytes from before the close, or lost bytes from after it.
"""

import importlib.util
import sys
from functools import partial
from pathlib import Path

import msgspec
import pytest

from harriertrack.decisions.splitting import Kind, Outcome
from harriertrack.gateway import background
from harriertrack.gateway.client import NbdClient
from harriertrack.lab import day as days, regions
from harriertrack.protocol.nbd.wire import Command
from harriertrack.rules import recording as rec
from harriertrack.runtime.hub import Hub
from harriertrack.runtime.memory_streams import MemoryNetwork

_SPEC = importlib.util.spec_from_file_location(
    "faults", Path(__file__).parent.parent / "interleaving" / "faults.py"
)
_FAULTS = importlib.util.module_from_spec(_SPEC)
sys.modules["faults"] = _FAULTS
_SPEC.loader.exec_module(_FAULTS)

S, MS, VOLUME = 1_000_000, 1_000, "vol0"  # its home is region a
OLD, NEW = b"o" * 4096, b"n" * 4096


class Closes:
    """A stub for a fleet's closes: the last one that the head stepped over, with certainty."""

    def __init__(self):
        self.done, self.settled_at = 0, 0

    def refusal_hint_us(self, request):
        return None

    def record_placement(self, *where):
        pass

    record_running = prioritize_trim = record_placement

    def generation(self, volume):
        return self.done

    def admits(self, volume, theirs):
        return theirs == self.done

    def unsettled_us(self, volume):
        return 0


class ClosingRig(regions.RegionRig):
    """One volume, no load; `script` drives the events."""

    def __init__(self, *args, script, **more):
        super().__init__(*args, **more)
        self.script, self.closes, self.ended = script, {}, False

    def run(self):
        with self.hub.scope("day") as scope:
            self.scope, self.extent = scope, self.day.extent_bytes
            self.build()
            self.wait_until(self.volumes_in_sync)
            self.hub.sleep(S)  # until the heads have found each other
            self.script(self)
            self.ended = True
            scope.cancel()

    def start_head(self, slot):
        super().start_head(slot)
        closes = self.closes.setdefault(slot.name, Closes())
        slot.head.core.close_guard = slot.head.regional.generations = closes
        slot.head._links.epochs.record_close(VOLUME, closes.done)

    def head(self, region):
        return self.slots[region].head

    def client(self, region):
        client = NbdClient(self.hub, self.network, "test")
        client.open(self.head(region).address, self.hub.now() + S)
        client.go(self.scope, VOLUME, self.hub.now() + S)
        return client

    def write(self, region, data, extent=0, offset=0):
        """Begin a write; the returned list receives its reply."""
        found = []
        self.client(region).start(Command.WRITE, extent * self.extent + offset, len(data), data, found.append)
        return found

    def wait(self, found):
        until = self.hub.now() + 10 * S
        while not found and self.hub.now() < until:
            self.hub.sleep(MS)
        return found[0]

    def close(self, region, at, extents=range(8)):
        """Make a head step over a close of some extents, as the carrier does."""
        slot, head, size = self.slots[region], self.head(region), self.extent
        end = extents.stop * size

        def covers(volume, offset, length):
            return volume == VOLUME and offset < end

        head.core.close_off(self.hub.now(), covers)
        lefts = slot.extents().purge("c", at, at, lambda volume, extent: covers(volume, extent * size, size))
        self.closes[slot.name].done = at
        head.core.hold_purged({(volume, extent) for volume, extent, _ in lefts})
        head._links.epochs.record_close(VOLUME, at)
        head.regional.closed(covers)
        for _, extent, shard in lefts:
            self.scope.spawn("trim", self._trim, head, slot.extents(), extent, shard)

    def _trim(self, head, places, extent, shard):
        do = partial(
            background.run_request, self.hub, head.core, VOLUME, Kind.TRIM, extent * self.extent, self.extent
        )
        while do(moving=True, at_shard=shard).outcome is not Outcome.SERVED:
            self.hub.sleep(50 * MS)
        places.mark_trimmed(VOLUME, extent, shard)
        head.core.release_trimmed(VOLUME, extent)

    def slow(self, us):
        for way in self.directions.values():
            way.delay_us = us

    def split(self, cut):
        for link in self.links.values():
            link.set_cut(cut)

    def in_sync(self):
        return self.head("a").regional.volumes[VOLUME].view.in_sync

    def wait_until(self, so):
        until = self.hub.now() + 20 * S
        while not so():
            assert self.hub.now() < until, "not in time"
            self.hub.sleep(10 * MS)

    def holds(self, region, extent=0, length=4096):
        """Return the first bytes of an extent as a region stores them."""
        places = dict(self.slots[region].extents().placements_of(VOLUME))
        if extent not in places:
            return bytes(length)
        return self._shard_storages[places[extent]].read(VOLUME, extent * self.extent, length)

    def both(self, extent=0, length=4096):
        return [self.holds(region, extent, length) for region in "ab"]


def play(script):
    hub = Hub.virtual(3)
    day = msgspec.structs.replace(days.load("two-regions-calm"), volumes=1)
    one = ClosingRig(hub, MemoryNetwork(hub), day, 3, rec.Recorder(), script=script)
    hub.run(one.run)
    assert one.ended


def copy_in_transit(rig):
    """The home has stored a write and its copy is on the link while both heads step over the close."""
    rig.slow(40 * MS)
    reply = rig.write("a", OLD)
    rig.hub.sleep(50 * MS)
    assert rig.holds("a") == OLD and len(rig.head("a").regional.volumes[VOLUME].copies) == 1
    for region in "ab":
        rig.close(region, 100)
    assert rig.wait(reply).error, "it may have run, so it fails"
    rig.hub.sleep(2 * S)
    assert rig.both() == [bytes(4096)] * 2
    assert rig.wait(rig.write("b", NEW)).error == 0 and rig.both() == [NEW] * 2
    assert len(rig.in_sync()) == 2, "the regions stayed in sync"


def write_across_the_boundary(rig):
    """Half of a write's bytes are purged; the other half stays and is the same in both regions."""
    rig.slow(40 * MS)
    reply = rig.write("a", OLD, offset=rig.extent - 2048)
    rig.hub.sleep(50 * MS)
    assert rig.holds("a", 1) == OLD[:2048] + bytes(2048)
    for region in "ab":
        rig.close(region, 100, range(1))
    assert rig.wait(reply).error
    rig.hub.sleep(S)
    assert rig.both(1) == [OLD[:2048] + bytes(2048)] * 2
    last = [rig.holds(region, 0, rig.extent)[-2048:] for region in "ab"]
    assert last == [bytes(2048)] * 2


def copy_region_behind(rig):
    """The home has stepped over the close, the other head has not: a new write must not be purged there."""
    assert rig.wait(rig.write("a", OLD)).error == 0 and rig.both() == [OLD] * 2
    rig.close("a", 100)
    reply = rig.write("a", NEW)
    rig.hub.sleep(200 * MS)
    assert not reply and rig.holds("b") == OLD
    rig.close("b", 100)
    assert rig.wait(reply).error == 0 and rig.both() == [NEW] * 2


def copy_region_ahead(rig):
    """The other head has stepped over the close: it must not store what the home wrote before it."""
    reply = rig.write("a", OLD)
    rig.close("b", 100)
    rig.hub.sleep(100 * MS)
    assert rig.holds("b") == bytes(4096) and not reply
    rig.close("a", 100)
    rig.hub.sleep(S)
    assert rig.wait(reply).error and rig.both() == [bytes(4096)] * 2


def miss_a_write(rig, data=OLD):
    """Make a region miss a write, and slow the link over which it will reconnect."""
    rig.split(True)
    assert rig.wait(rig.write("a", data)).error == 0
    rig.wait_until(lambda: len(rig.in_sync()) == 1)
    rig.slow(40 * MS)


def extent_read_for_catch_up(rig):
    """The other region is catching up and has read an extent from the home when both step over the close."""
    miss_a_write(rig)
    rig.split(False)
    real, read = rig.head("b").regional._request_peer, []

    def ask(volume, command, *what):
        reply = real(volume, command, *what)
        if command is Command.READ and not read:
            read.append(reply.data[:4096])
            for region in "ab":
                rig.close(region, 100)
        return reply

    rig.head("b").regional._request_peer = ask
    rig.wait_until(lambda: len(rig.in_sync()) == 2)
    assert read == [OLD] and rig.both() == [bytes(4096)] * 2


def region_behind_catches_up(rig):
    """The home has stepped over the close and written again, and the region that missed both reconnects.

    It must not get new bytes before it has stepped over the close itself.
    """
    miss_a_write(rig)
    rig.close("a", 100)
    assert rig.wait(rig.write("a", NEW)).error == 0
    rig.split(False)
    rig.hub.sleep(3 * S)
    rig.close("b", 100)
    rig.wait_until(lambda: len(rig.in_sync()) == 2)
    assert rig.both() == [NEW] * 2


def region_was_down(rig):
    """A region's head is killed, misses writes and the close, and steps over it when it has restarted."""
    assert rig.wait(rig.write("a", OLD)).error == 0 and rig.both() == [OLD] * 2
    rig.kill_head(rig.slots["b"])
    assert rig.wait(rig.write("a", OLD, extent=1)).error == 0
    rig.close("a", 100)
    log = rig.head("a").regional._log
    assert not log.missed(VOLUME) and not log.open_extents(VOLUME), "purged extents need no catch-up"
    rig.start_head(rig.slots["b"])
    rig.close("b", 100)
    rig.wait_until(lambda: len(rig.in_sync()) == 2)
    assert rig.both() == rig.both(1) == [bytes(4096)] * 2
    assert rig.wait(rig.write("b", NEW)).error == 0 and rig.both() == [NEW] * 2


def home_killed_at_the_close(rig):
    """The home steps over the close and is killed; its successor serves no old bytes and retains new ones."""
    assert rig.wait(rig.write("a", OLD)).error == 0
    rig.close("a", 100)
    rig.kill_head(rig.slots["a"])
    rig.close("b", 100)
    regional = rig.head("b").regional
    rig.wait_until(lambda: regional.holding.epoch(VOLUME, rig.hub.now()))
    assert rig.wait(rig.write("b", NEW, extent=1)).error == 0
    rig.start_head(rig.slots["a"])
    rig.wait_until(lambda: len(regional.volumes[VOLUME].view.in_sync) == 2)
    assert rig.both() == [bytes(4096)] * 2 and rig.both(1) == [NEW] * 2


def relayed_read(rig):
    """A read relayed to the home is answered there before the close; the answer arrives after it."""
    assert rig.wait(rig.write("a", OLD)).error == 0
    client, reply = rig.client("b"), []
    assert client.call(Command.READ, 0, 4096).data == OLD
    rig.slow(40 * MS)
    client.start(Command.READ, 0, 4096, b"", reply.append)
    rig.hub.sleep(60 * MS)
    for region in "ab":
        rig.close(region, 100)
    assert not rig.wait(reply).error and reply[0].data == bytes(4096), (
        "its client is patient: the read is sent again"
    )
    rig.hub.sleep(S)
    assert len(reply) == 1


SCRIPTS = [
    copy_in_transit, write_across_the_boundary, copy_region_behind, copy_region_ahead, extent_read_for_catch_up,
    region_behind_catches_up, region_was_down, home_killed_at_the_close, relayed_read,
]  # fmt: skip


@pytest.mark.parametrize("script", SCRIPTS, ids=lambda script: script.__name__)
def test_across_a_close(script):
    play(script)


REGIONAL, COPIES = "gateway.regional:Regional", "decisions.copies:Copies"
fault = partial(_FAULTS.Fault, found_by="")
FAULTS = [
    (copy_in_transit, fault("a copy survives a close", where=f"{REGIONAL}._crossed",
                              original="if work.number not in copies:", replacement="if True:")),
    (write_across_the_boundary, fault("a partly purged copy survives", where=f"{REGIONAL}._crossed",
                                  original="if work.number not in copies:", replacement="if True:")),
    (write_across_the_boundary, fault("a partly purged write is not read back", where=f"{REGIONAL}._after_unknown",
                                  original="work.close_overlap is CloseOverlap.FULL", replacement="work.close_overlap is not CloseOverlap.NONE")),
    (copy_region_behind, fault("the generation of a region behind is not checked", where=f"{REGIONAL}.copy_opened",
                               original="not self.generations.admits(volume, generation)", replacement="False")),
    (copy_region_ahead, fault("the generation of a region ahead is not checked", where=f"{REGIONAL}.copy_opened",
                              original="not self.generations.admits(volume, generation)", replacement="False")),
    (extent_read_for_catch_up, fault("an extent read before a close is stored after it", where=f"{REGIONAL}._pull",
                                           original=" or generation != self._generation(volume.name)", replacement="")),
    (region_behind_catches_up, fault("a region of an older generation catches up", where=f"{REGIONAL}.same_generation",
                                              original="theirs == self._generation(volume)", replacement="True")),
    (region_was_down, fault("the log of missed extents is not purged", where="decisions.catchup:CatchUp.note_purged",
                              original="self.log.remove_purged(self.volume, is_purged)", replacement="pass")),
    (relayed_read, fault("a relayed read is answered across a close", where=f"{REGIONAL}.closed",
                                      original="self._refuse(request, CLOSED)", replacement="pass")),
]  # fmt: skip


@pytest.mark.parametrize("script, wrong", FAULTS, ids=lambda one: getattr(one, "name", ""))
def test_seeded_fault_is_found(script, wrong):
    with wrong.injected(), pytest.raises(AssertionError):
        play(script)
