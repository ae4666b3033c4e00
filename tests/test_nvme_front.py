"""The NVMe/TCP front: hosts at a running head, beside NBD clients of the same volumes."""

import random
import struct
from dataclasses import replace

import pytest

from harriertrack.config.settings import NvmeSettings
from harriertrack.config.settings import LimitSettings
from harriertrack.decisions.interface import RequestArrived
from harriertrack.gateway.nvme_client import NvmeClient, NvmeError, io_sqe, refused
from harriertrack.protocol.nbd.wire import Command
from harriertrack.protocol.nvme.admin import ALL_NAMESPACES, Admin, Io, Property
from harriertrack.protocol.nvme.transport import NO_DIGESTS
from harriertrack.protocol.nvme.wire import Dgst, Sqe, Status

from test_head import EXTENT, both, play

NQN = "nqn.2026-01.example:scores"
NVME = NvmeSettings(listen=("127.0.0.1", 0), nqn=NQN)
BOTH = Dgst.HEADER | Dgst.DATA
DISK, SHARED = 1, 2  # by name


def host(site, digests=NO_DIGESTS, keep_alive_ms=0, name="one"):
    one = NvmeClient(site.hub, site.net, site.head.nvme_address, digests, name)
    one.connect(site.scope, NQN, keep_alive_ms, site.hub.now() + 1_000_000)
    return one


def write(queue, nsid, block, data, **how):
    return queue.call(io_sqe(Io.WRITE, nsid, block, len(data) // 512, **how), data).cqe.status


def read(queue, nsid, block, blocks):
    return queue.call(io_sqe(Io.READ, nsid, block, blocks, expects=blocks * 512))


def open_write(site, one, for_us):
    """Have a write open while all nodes stand still; return its queue, where its end will be, and its id."""
    queue, ended = one.io(site.scope), []
    for shelf in site.shelves:
        shelf.pause(for_us)
    cid = queue.start(io_sqe(Io.WRITE, DISK, 0, 1), b"a" * 512, ended.append)
    site.hub.sleep(10_000)
    return queue, ended, cid


@both
def test_discover_connect_and_look_around(real):
    def test(site):
        finder = NvmeClient(site.hub, site.net, site.head.nvme_address)
        assert finder.connect(site.scope).discovery
        (entry,) = finder.discover()
        assert (entry.nqn, entry.address, entry.port) == (NQN, "127.0.0.1", site.head.nvme_address[1])
        one = host(site)
        assert one.info.nqn == NQN and not one.info.ana and one.info.most_transfer == 1 << 20
        found = one.namespaces()
        assert {nsid: info.blocks for nsid, info in found.items()} == {
            DISK: 64 * EXTENT // 512,
            SHARED: 64 * EXTENT // 512,
        }
        assert found[DISK].guid != found[SHARED].guid and one.queues(200) == 64

    play(test, real, nvme=NVME)


@both
@pytest.mark.parametrize("digests", [NO_DIGESTS, BOTH], ids=["plain", "digests"])
def test_random_commands_match_a_model_and_what_nbd_sees(real, digests):
    def test(site):
        rng, model = random.Random(3), bytearray(64 * EXTENT)
        one, nbd = host(site, digests), site.client()
        queues = [one.io(site.scope), one.io(site.scope)]
        for step in range(100):
            queue = rng.choice(queues)
            block = rng.randrange(0, 64 * EXTENT // 512)
            blocks = min(rng.choice([1, 8, 40, 256]), 64 * EXTENT // 512 - block)
            at, length = block * 512, blocks * 512
            match rng.choice(["read", "read", "write", "write", "zero", "trim", "compare", "nbd"]):
                case "read":
                    assert read(queue, DISK, block, blocks).data == model[at : at + length], step
                case "write":
                    data = rng.randbytes(length)
                    assert write(queue, DISK, block, data, fua=rng.random() < 0.3) == Status.SUCCESS
                    model[at : at + length] = data
                case "zero":
                    assert (
                        queue.call(io_sqe(Io.WRITE_ZEROES, DISK, block, blocks)).cqe.status == Status.SUCCESS
                    )
                    model[at : at + length] = bytes(length)
                case "trim":
                    ranges = struct.pack("<IIQ", 0, blocks, block)
                    sqe = Sqe(Io.DATASET, 0, DISK, (0, 0b100, 0, 0, 0, 0))
                    assert queue.call(sqe, ranges).cqe.status == Status.SUCCESS
                    model[at : at + length] = bytes(length)
                case "compare":
                    same, other = bytes(model[at : at + length]), b"\x01" + bytes(length - 1)
                    assert (
                        queue.call(io_sqe(Io.COMPARE, DISK, block, blocks), same).cqe.status == Status.SUCCESS
                    )
                    if same != other:
                        assert queue.call(io_sqe(Io.COMPARE, DISK, block, blocks), other).cqe.status == 0x285
                case "nbd":
                    data = rng.randbytes(length)
                    assert nbd.call(Command.WRITE, at, data=data).error == 0
                    model[at : at + length] = data
        assert queues[0].call(Sqe(Io.FLUSH, 0, ALL_NAMESPACES)).cqe.status == Status.SUCCESS
        assert nbd.call(Command.READ, 0, 3 * EXTENT).data == model[: 3 * EXTENT]
        assert not site.head.reception._counted

    play(test, real, nvme=NVME)


def test_a_full_queue_is_answered_whole_and_in_any_order():
    def test(site):
        one = host(site)
        queues, ended = [one.io(site.scope) for _ in range(4)], []
        for queue in queues:
            for number in range(100):
                queue.start(io_sqe(Io.WRITE, DISK, number * 8, 1), bytes([number]) * 512, ended.append)
        site.hub.sleep(3_000_000)
        assert len(ended) == 400 and all(done is not None for done in ended)
        assert {done.cqe.status for done in ended} <= {Status.SUCCESS, Status.INTERRUPTED}
        assert sum(done.cqe.status == Status.SUCCESS for done in ended) > 100
        assert all(
            refused(done.cqe) and done.cqe.crd for done in ended if done.cqe.status == Status.INTERRUPTED
        )

    play(test, nvme=NVME)


def test_a_refusal_says_when_to_come_again_and_a_failure_whether():
    def test(site):
        one = host(site)
        queue = one.io(site.scope)
        assert write(queue, DISK, 0, bytes(512)) == Status.SUCCESS
        for shelf in site.shelves:
            shelf.stop(silent=True)
        statuses = [queue.call(io_sqe(Io.WRITE, DISK, 0, 1), bytes(512)).cqe for _ in range(6)]
        failed = [cqe for cqe in statuses if cqe.status == Status.INTERNAL]
        held_off = [cqe for cqe in statuses if cqe.status == Status.INTERRUPTED]
        assert failed and held_off and len(failed) + len(held_off) == 6
        assert all(cqe.dnr for cqe in failed)  # a write that may have run
        assert not any(cqe.dnr for cqe in held_off) and all(1 <= cqe.crd <= 3 for cqe in held_off)
        for cqe in [read(queue, DISK, 0, 1).cqe for _ in range(3)]:
            assert not cqe.dnr and cqe.status in (Status.INTERNAL, Status.INTERRUPTED)

    play(test, nvme=NVME)


def test_abort_ends_a_command_once():
    def test(site):
        one = host(site)
        queue, ended, cid = open_write(site, one, 500_000)

        def abort(target, number=1):
            return one.admin.call(Sqe(Admin.ABORT, 0, 0, (number | target << 16, 0, 0, 0, 0, 0))).cqe.dw0

        assert abort(cid) == 0 and abort(cid) == 1 and abort(7, 9) == 1
        site.hub.sleep(2_000_000)
        assert [done.cqe.status for done in ended] == [Status.ABORT_REQUESTED]
        assert read(queue, DISK, 8, 1).cqe.status == Status.SUCCESS and not site.head.reception._counted
        waiting = []
        event = one.admin.start(Sqe(Admin.ASYNC_EVENT, 0), b"", waiting.append)
        site.hub.sleep(10_000)
        assert abort(event, 0) == 0
        assert [done.cqe.status for done in waiting] == [Status.ABORT_REQUESTED]

    play(test, nvme=NVME)


def test_a_reset_ends_the_queues_and_tells_nothing_of_what_was_open():
    def test(site):
        one = host(site)
        queue, ended, _ = open_write(site, one, 300_000)
        one.property_set(Property.CC, 0)
        site.hub.sleep(1_000_000)
        assert ended == [None] and not site.head.reception._counted
        with pytest.raises(NvmeError, match="0xc"):
            one.io(site.scope)
        one.property_set(Property.CC, 1)
        one._queues = 0
        again = one.io(site.scope)
        assert read(again, DISK, 0, 1).cqe.status == Status.SUCCESS
        one.property_set(Property.CC, 1 | 1 << 14)
        assert one.property_get(Property.CSTS) & 0b1100 == 0b1000
        site.hub.sleep(10_000)
        with pytest.raises(ConnectionError):
            read(again, DISK, 0, 1)

    play(test, nvme=NVME)


def test_a_lost_keep_alive_and_a_lost_admin_queue_end_the_controller():
    def test(site):
        one, other = host(site, keep_alive_ms=1000), host(site, name="other")
        queue, steady = one.io(site.scope), other.io(site.scope)
        for _ in range(8):
            site.hub.sleep(400_000)
            assert read(queue, DISK, 0, 1).cqe.status == Status.SUCCESS  # I/O tells that the host is there
        site.hub.sleep(2_500_000)
        assert ("keep alive lost", {"host": "nqn.2014-08.org.nvmexpress:uuid:one"}) in site.notes
        with pytest.raises(ConnectionError):
            read(queue, DISK, 0, 1)
        assert read(steady, DISK, 0, 1).cqe.status == Status.SUCCESS  # without Keep Alive it stays
        other.admin.abort()
        site.hub.sleep(50_000)
        with pytest.raises(ConnectionError):
            read(steady, DISK, 0, 1)
        assert site.head.reception.sessions == 0

    play(test, nvme=NVME)


def test_a_host_that_breaks_the_protocol_ends_its_connection_alone():
    def test(site):
        one = host(site)
        queue, other = one.io(site.scope), one.io(site.scope)
        queue._stream.write(bytes.fromhex("0a 00 18 00 18000000"))
        site.hub.sleep(50_000)
        with pytest.raises(ConnectionError, match="ended the connection"):
            read(queue, DISK, 0, 1)
        assert read(other, DISK, 0, 1).cqe.status == Status.SUCCESS
        stranger = site.net.connect(site.head.nvme_address)
        stranger.write(b"GET / HTTP/1.1\r\n\r\n" * 10)
        site.hub.sleep(50_000)
        slow = site.net.connect(site.head.nvme_address)
        site.hub.sleep(11_000_000)
        assert slow.read() == b"" and site.head.reception.sessions == 2

    play(test, nvme=NVME)


def test_only_connect_comes_first_and_io_needs_its_controller():
    def test(site):
        one = host(site)
        from harriertrack.gateway.nvme_client import NvmeQueue

        stray = NvmeQueue(site.hub, site.net, site.head.nvme_address, NO_DIGESTS, "stray")
        stray.open(site.scope)
        assert stray.call(Sqe(Admin.IDENTIFY, 0)).cqe.status == Status.SEQUENCE
        with pytest.raises(NvmeError, match="0x182"):
            one._enter(
                stray, 0, 32, 0, None
            )  # a controller id that was not given by this subsystem's Connect

    play(test, nvme=NVME)


def test_stopping_answers_what_is_open():
    def test(site):
        one = host(site)
        queue, ended, _ = open_write(site, one, 300_000)
        site.head.stop()
        site.hub.sleep(10_000)
        assert write(queue, DISK, 0, bytes(512)) == Status.ABORT_REQUESTED
        site.hub.sleep(1_000_000)
        assert [done and done.cqe.status for done in ended] == [Status.SUCCESS] and site.task.done

    play(test, nvme=NVME)


def test_the_module_hears_the_same_through_either_front():
    def arrivals(front):
        heard = []

        def test(site):
            handle = site.head.module.handle

            def listen(now, events):
                heard.extend(event for event in events if isinstance(event, RequestArrived))
                return handle(now, events)

            site.head.module.handle = listen
            rng = random.Random(5)
            nbd = site.client() if front == "nbd" else None
            queue = None
            if front == "nvme":
                client = host(site)
                client.heed_delays()
                queue = client.io(site.scope)
            for _ in range(60):
                block, blocks, kind = (
                    rng.randrange(0, 8000),
                    rng.choice([1, 8, 200]),
                    rng.choice(["read", "write", "zero"]),
                )
                data = bytes(blocks * 512) if kind == "write" else b""
                if nbd is not None:
                    command = {"read": Command.READ, "write": Command.WRITE, "zero": Command.WRITE_ZEROES}[
                        kind
                    ]
                    assert nbd.call(command, block * 512, 0 if data else blocks * 512, data).error == 0
                else:
                    opcode = {"read": Io.READ, "write": Io.WRITE, "zero": Io.WRITE_ZEROES}[kind]
                    sqe = io_sqe(opcode, DISK, block, blocks, expects=blocks * 512 if kind == "read" else 0)
                    assert queue.call(sqe, data).cqe.status == Status.SUCCESS

        play(test, nvme=NVME)
        return [replace(event, request=0) for event in heard]

    through_nbd, through_nvme = arrivals("nbd"), arrivals("nvme")
    assert len(through_nbd) > 40 and through_nbd == through_nvme


def test_a_host_that_honours_no_delays_waits_and_one_that_does_is_refused_at_once():
    def test(site):
        plain, heeding = host(site, name="plain"), host(site, name="heeding")
        heeding.heed_delays()
        waits, hears = plain.io(site.scope), heeding.io(site.scope)
        assert write(waits, SHARED, 0, bytes(512)) == Status.SUCCESS
        for shelf in site.shelves:
            shelf.stop()
        assert read(hears, SHARED, 0, 1).cqe.status == Status.INTERRUPTED
        ended, began = [], site.hub.now()
        for _ in range(20):
            waits.start(io_sqe(Io.READ, SHARED, 0, 1, expects=512), b"", ended.append)
        site.hub.sleep(2_000_000)
        assert not ended and site.head.core.waiting_parts > 0
        for shelf in site.shelves:
            shelf.start(site.scope)
        site.hub.sleep(8_000_000)
        assert [done.cqe.status for done in ended] == [Status.SUCCESS] * 20
        for shelf in site.shelves:
            shelf.stop()
        began = site.hub.now()
        cqe = read(waits, SHARED, 0, 1).cqe  # its patience is the front's, not the volume's five minutes
        assert cqe.status == Status.INTERRUPTED and 19_900_000 < site.hub.now() - began <= 20_000_000

    play(test, nvme=NVME)


def test_a_controller_that_is_reset_while_a_command_waits_at_the_door_leaves_nothing():
    def test(site):
        one = host(site)
        queue = one.io(site.scope)
        for shelf in site.shelves:
            shelf.faults.hang = True
        for at in range(100):
            queue.start(io_sqe(Io.WRITE, DISK, at, 1), bytes(512), lambda ended: None)
        site.hub.sleep(1_000_000)
        reception = site.head.reception
        assert len(reception.door) == 1 and site.head.core.open_requests == 8
        one.property_set(Property.CC, 0)
        site.hub.sleep(10_000)
        assert site.head.core.open_requests == 0 and not len(reception.door) and not reception._counted

    play(test, nvme=NVME, limits=LimitSettings(in_flight=8))
