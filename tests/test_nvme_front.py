"""The NVMe/TCP front: hosts at a running head, together with NBD clients of the same volumes."""

import random
import struct
from dataclasses import replace

import pytest

from harriertrack.config.settings import NvmeSettings
from harriertrack.config.settings import LimitSettings
from harriertrack.decisions.interface import RequestArrived
from harriertrack.gateway.nvme_client import NvmeClient, NvmeError, io_sqe, refused
from harriertrack.protocol.nbd.wire import Command
from harriertrack.protocol.nvme.admin import ALL_NAMESPACES, AdminOpcode, IoOpcode, Property
from harriertrack.protocol.nvme.transport import NO_DIGESTS
from harriertrack.protocol.nvme.wire import DigestFlags, Sqe, Status

from test_head import EXTENT, both, play

NQN = "nqn.2026-01.example:scores"
NVME = NvmeSettings(listen=("127.0.0.1", 0), nqn=NQN)
BOTH = DigestFlags.HEADER | DigestFlags.DATA
DISK, SHARED = 1, 2  # by name


def host(site, digests=NO_DIGESTS, keep_alive_ms=0, name="one"):
    client = NvmeClient(site.hub, site.net, site.head.nvme_address, digests, name)
    client.connect(site.scope, NQN, keep_alive_ms, site.hub.now() + 1_000_000)
    return client


def write(queue, nsid, block, data, **how):
    return queue.call(io_sqe(IoOpcode.WRITE, nsid, block, len(data) // 512, **how), data).cqe.status


def read(queue, nsid, block, blocks):
    return queue.call(io_sqe(IoOpcode.READ, nsid, block, blocks, expects=blocks * 512))


def open_write(site, client, for_us):
    """Start a write while all nodes are paused; return its queue, the list for its completion, and its id."""
    queue, ended = client.io(site.scope), []
    for shelf in site.shelves:
        shelf.pause(for_us)
    cid = queue.start(io_sqe(IoOpcode.WRITE, DISK, 0, 1), b"a" * 512, ended.append)
    site.hub.sleep(10_000)
    return queue, ended, cid


@both
def test_discovery_connect_and_identify(real):
    def test(site):
        finder = NvmeClient(site.hub, site.net, site.head.nvme_address)
        assert finder.connect(site.scope).discovery
        (entry,) = finder.discover()
        assert (entry.nqn, entry.address, entry.port) == (NQN, "127.0.0.1", site.head.nvme_address[1])
        client = host(site)
        assert client.info.nqn == NQN and not client.info.ana and client.info.max_transfer == 1 << 20
        found = client.namespaces()
        assert {nsid: info.blocks for nsid, info in found.items()} == {
            DISK: 64 * EXTENT // 512,
            SHARED: 64 * EXTENT // 512,
        }
        assert found[DISK].guid != found[SHARED].guid and client.queues(200) == 64

    play(test, real, nvme=NVME)


@both
@pytest.mark.parametrize("digests", [NO_DIGESTS, BOTH], ids=["plain", "digests"])
def test_random_commands_match_a_model_and_reads_over_nbd(real, digests):
    def test(site):
        rng, model = random.Random(3), bytearray(64 * EXTENT)
        client, nbd = host(site, digests), site.client()
        queues = [client.io(site.scope), client.io(site.scope)]
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
                        queue.call(io_sqe(IoOpcode.WRITE_ZEROES, DISK, block, blocks)).cqe.status
                        == Status.SUCCESS
                    )
                    model[at : at + length] = bytes(length)
                case "trim":
                    ranges = struct.pack("<IIQ", 0, blocks, block)
                    sqe = Sqe(IoOpcode.DATASET_MANAGEMENT, 0, DISK, (0, 0b100, 0, 0, 0, 0))
                    assert queue.call(sqe, ranges).cqe.status == Status.SUCCESS
                    model[at : at + length] = bytes(length)
                case "compare":
                    same, other = bytes(model[at : at + length]), b"\x01" + bytes(length - 1)
                    assert (
                        queue.call(io_sqe(IoOpcode.COMPARE, DISK, block, blocks), same).cqe.status
                        == Status.SUCCESS
                    )
                    if same != other:
                        assert (
                            queue.call(io_sqe(IoOpcode.COMPARE, DISK, block, blocks), other).cqe.status
                            == 0x285
                        )
                case "nbd":
                    data = rng.randbytes(length)
                    assert nbd.call(Command.WRITE, at, data=data).error == 0
                    model[at : at + length] = data
        assert queues[0].call(Sqe(IoOpcode.FLUSH, 0, ALL_NAMESPACES)).cqe.status == Status.SUCCESS
        assert nbd.call(Command.READ, 0, 3 * EXTENT).data == model[: 3 * EXTENT]
        assert not site.head.reception._counted

    play(test, real, nvme=NVME)


def test_all_commands_of_a_full_queue_complete():
    def test(site):
        client = host(site)
        queues, ended = [client.io(site.scope) for _ in range(4)], []
        for queue in queues:
            for number in range(100):
                queue.start(io_sqe(IoOpcode.WRITE, DISK, number * 8, 1), bytes([number]) * 512, ended.append)
        site.hub.sleep(3_000_000)
        assert len(ended) == 400 and all(done is not None for done in ended)
        assert {done.cqe.status for done in ended} <= {Status.SUCCESS, Status.INTERRUPTED}
        assert sum(done.cqe.status == Status.SUCCESS for done in ended) > 100
        assert all(
            refused(done.cqe) and done.cqe.crd for done in ended if done.cqe.status == Status.INTERRUPTED
        )

    play(test, nvme=NVME)


def test_refusals_have_a_retry_delay_and_failed_writes_are_final():
    def test(site):
        client = host(site)
        queue = client.io(site.scope)
        assert write(queue, DISK, 0, bytes(512)) == Status.SUCCESS
        for shelf in site.shelves:
            shelf.stop(silent=True)
        statuses = [queue.call(io_sqe(IoOpcode.WRITE, DISK, 0, 1), bytes(512)).cqe for _ in range(6)]
        failed = [cqe for cqe in statuses if cqe.status == Status.INTERNAL]
        refusals = [cqe for cqe in statuses if cqe.status == Status.INTERRUPTED]
        assert failed and refusals and len(failed) + len(refusals) == 6
        assert all(cqe.dnr for cqe in failed)  # a write that may have run
        assert not any(cqe.dnr for cqe in refusals) and all(1 <= cqe.crd <= 3 for cqe in refusals)
        for cqe in [read(queue, DISK, 0, 1).cqe for _ in range(3)]:
            assert not cqe.dnr and cqe.status in (Status.INTERNAL, Status.INTERRUPTED)

    play(test, nvme=NVME)


def test_abort_completes_a_command_once():
    def test(site):
        client = host(site)
        queue, ended, cid = open_write(site, client, 500_000)

        def abort(target, number=1):
            return client.admin.call(
                Sqe(AdminOpcode.ABORT, 0, 0, (number | target << 16, 0, 0, 0, 0, 0))
            ).cqe.dw0

        assert abort(cid) == 0 and abort(cid) == 1 and abort(7, 9) == 1
        site.hub.sleep(2_000_000)
        assert [done.cqe.status for done in ended] == [Status.ABORT_REQUESTED]
        assert read(queue, DISK, 8, 1).cqe.status == Status.SUCCESS and not site.head.reception._counted
        waiting = []
        event = client.admin.start(Sqe(AdminOpcode.ASYNC_EVENT, 0), b"", waiting.append)
        site.hub.sleep(10_000)
        assert abort(event, 0) == 0
        assert [done.cqe.status for done in waiting] == [Status.ABORT_REQUESTED]

    play(test, nvme=NVME)


def test_reset_ends_the_queues_without_completions():
    def test(site):
        client = host(site)
        queue, ended, _ = open_write(site, client, 300_000)
        client.property_set(Property.CC, 0)
        site.hub.sleep(1_000_000)
        assert ended == [None] and not site.head.reception._counted
        with pytest.raises(NvmeError, match="0xc"):
            client.io(site.scope)
        client.property_set(Property.CC, 1)
        client._queues = 0
        again = client.io(site.scope)
        assert read(again, DISK, 0, 1).cqe.status == Status.SUCCESS
        client.property_set(Property.CC, 1 | 1 << 14)
        assert client.property_get(Property.CSTS) & 0b1100 == 0b1000
        site.hub.sleep(10_000)
        with pytest.raises(ConnectionError):
            read(again, DISK, 0, 1)

    play(test, nvme=NVME)


def test_keep_alive_timeout_or_lost_admin_queue_ends_the_controller():
    def test(site):
        client, other = host(site, keep_alive_ms=1000), host(site, name="other")
        queue, steady = client.io(site.scope), other.io(site.scope)
        for _ in range(8):
            site.hub.sleep(400_000)
            assert read(queue, DISK, 0, 1).cqe.status == Status.SUCCESS  # I/O counts as a sign of life
        site.hub.sleep(2_500_000)
        assert ("keep alive lost", {"host": "nqn.2014-08.org.nvmexpress:uuid:one"}) in site.notes
        with pytest.raises(ConnectionError):
            read(queue, DISK, 0, 1)
        assert read(steady, DISK, 0, 1).cqe.status == Status.SUCCESS  # without Keep Alive it stays connected
        other.admin.abort()
        site.hub.sleep(50_000)
        with pytest.raises(ConnectionError):
            read(steady, DISK, 0, 1)
        assert site.head.reception.sessions == 0

    play(test, nvme=NVME)


def test_protocol_violation_ends_only_its_connection():
    def test(site):
        client = host(site)
        queue, other = client.io(site.scope), client.io(site.scope)
        queue._stream.write(bytes.fromhex("0a 00 18 00 18000000"))
        site.hub.sleep(50_000)
        with pytest.raises(ConnectionError, match="ended the connection"):
            read(queue, DISK, 0, 1)
        assert read(other, DISK, 0, 1).cqe.status == Status.SUCCESS
        http_client = site.net.connect(site.head.nvme_address)
        http_client.write(b"GET / HTTP/1.1\r\n\r\n" * 10)
        site.hub.sleep(50_000)
        slow = site.net.connect(site.head.nvme_address)
        site.hub.sleep(11_000_000)
        assert slow.read() == b"" and site.head.reception.sessions == 2

    play(test, nvme=NVME)


def test_first_command_must_be_connect_and_io_needs_its_controller():
    def test(site):
        client = host(site)
        from harriertrack.gateway.nvme_client import NvmeQueue

        unconnected = NvmeQueue(site.hub, site.net, site.head.nvme_address, NO_DIGESTS, "unconnected")
        unconnected.open(site.scope)
        assert unconnected.call(Sqe(AdminOpcode.IDENTIFY, 0)).cqe.status == Status.SEQUENCE
        with pytest.raises(NvmeError, match="0x182"):
            # A controller id that no Connect to this subsystem returned.
            client._connect_queue(unconnected, 0, 32, 0, None)

    play(test, nvme=NVME)


def test_stopping_head_completes_open_commands():
    def test(site):
        client = host(site)
        queue, ended, _ = open_write(site, client, 300_000)
        site.head.stop()
        site.hub.sleep(10_000)
        assert write(queue, DISK, 0, bytes(512)) == Status.ABORT_REQUESTED
        site.hub.sleep(1_000_000)
        assert [done and done.cqe.status for done in ended] == [Status.SUCCESS] and site.task.done

    play(test, nvme=NVME)


def test_stopping_head_completes_what_its_nodes_never_answer():
    """Guards against hosts whose connections end with commands open: they got no completion at all."""

    def test(site):
        client = host(site)
        _, ended, _ = open_write(site, client, 60_000_000)
        site.head.stop()
        site.hub.sleep(10_000_000)
        assert site.task.done and site.task.error is None
        assert [done and done.cqe.status for done in ended] == [Status.INTERNAL]

    play(test, nvme=NVME)


def test_module_receives_the_same_requests_through_either_front():
    def arrivals(front):
        received = []

        def test(site):
            handle = site.head.module.handle

            def record(now, events):
                received.extend(event for event in events if isinstance(event, RequestArrived))
                return handle(now, events)

            site.head.module.handle = record
            rng = random.Random(5)
            nbd = site.client() if front == "nbd" else None
            queue = None
            if front == "nvme":
                client = host(site)
                client.heed_delays()
                queue = client.io(site.scope)
            for _ in range(60):
                block = rng.randrange(0, 8000)
                blocks = rng.choice([1, 8, 200])
                kind = rng.choice(["read", "write", "zero"])
                data = bytes(blocks * 512) if kind == "write" else b""
                if nbd is not None:
                    command = {"read": Command.READ, "write": Command.WRITE, "zero": Command.WRITE_ZEROES}[
                        kind
                    ]
                    assert nbd.call(command, block * 512, 0 if data else blocks * 512, data).error == 0
                else:
                    opcode = {"read": IoOpcode.READ, "write": IoOpcode.WRITE, "zero": IoOpcode.WRITE_ZEROES}[
                        kind
                    ]
                    sqe = io_sqe(opcode, DISK, block, blocks, expects=blocks * 512 if kind == "read" else 0)
                    assert queue.call(sqe, data).cqe.status == Status.SUCCESS

        play(test, nvme=NVME)
        return [replace(event, request=0) for event in received]

    through_nbd, through_nvme = arrivals("nbd"), arrivals("nvme")
    assert len(through_nbd) > 40 and through_nbd == through_nvme


def test_host_without_retry_delays_waits_and_one_with_them_is_refused():
    def test(site):
        plain, with_delays = host(site, name="plain"), host(site, name="with_delays")
        with_delays.heed_delays()
        waiting_queue, refused_queue = plain.io(site.scope), with_delays.io(site.scope)
        assert write(waiting_queue, SHARED, 0, bytes(512)) == Status.SUCCESS
        for shelf in site.shelves:
            shelf.stop()
        assert read(refused_queue, SHARED, 0, 1).cqe.status == Status.INTERRUPTED
        ended, started_at = [], site.hub.now()
        for _ in range(20):
            waiting_queue.start(io_sqe(IoOpcode.READ, SHARED, 0, 1, expects=512), b"", ended.append)
        site.hub.sleep(2_000_000)
        assert not ended and site.head.core.waiting_parts > 0
        for shelf in site.shelves:
            shelf.start(site.scope)
        site.hub.sleep(8_000_000)
        assert [done.cqe.status for done in ended] == [Status.SUCCESS] * 20
        for shelf in site.shelves:
            shelf.stop()
        started_at = site.hub.now()
        # The front's limit on waiting applies, not the volume's five minutes.
        cqe = read(waiting_queue, SHARED, 0, 1).cqe
        assert cqe.status == Status.INTERRUPTED and 19_900_000 < site.hub.now() - started_at <= 20_000_000

    play(test, nvme=NVME)


def test_reset_drops_a_command_that_waits_for_admission():
    def test(site):
        client = host(site)
        queue = client.io(site.scope)
        for shelf in site.shelves:
            shelf.faults.hang = True
        for at in range(100):
            queue.start(io_sqe(IoOpcode.WRITE, DISK, at, 1), bytes(512), lambda ended: None)
        site.hub.sleep(1_000_000)
        reception = site.head.reception
        assert len(reception.admission) == 1 and site.head.core.open_requests == 8
        client.property_set(Property.CC, 0)
        site.hub.sleep(10_000)
        assert site.head.core.open_requests == 0 and not len(reception.admission) and not reception._counted

    play(test, nvme=NVME, limits=LimitSettings(in_flight=8))
