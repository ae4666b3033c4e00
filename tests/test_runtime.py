"""Edge cases of the hub, on the virtual clock and over real sockets."""

import gc
import mmap
import os
import resource
import socket
import weakref
from collections import Counter

import pytest

from harriertrack.runtime.hub import Cancelled, Deadlock, DeadlineExceeded, Event, Hub
from harriertrack.runtime.process_memory import resident_bytes
from harriertrack.runtime.turns import TurnQueue
from harriertrack.runtime.memory_streams import MemoryNetwork
from harriertrack.runtime.streams import (
    ACCEPTS_PER_ROUND,
    HIGH_WATER,
    SocketListener,
    SocketNetwork,
    SocketStream,
)


@pytest.fixture(params=[pytest.param("sockets", marks=pytest.mark.real_time), "virtual"])
def on(request):
    def run(test):
        hub = Hub() if request.param == "sockets" else Hub.virtual()
        return hub.run(test, hub, SocketNetwork(hub) if request.param == "sockets" else MemoryNetwork(hub))

    return run


def pair(hub, net):
    listener = net.listen(("127.0.0.1", 0))
    here = net.connect(listener.address, hub.now() + 1_000_000)
    return here, listener.accept(), listener


def test_bytes_arrive_in_order_and_end_is_seen(on):
    def main(hub, net):
        here, there, _ = pair(hub, net)
        for at in range(100):
            here.write(b"%03d" % at)
        here.close()
        received = b""
        while data := there.read():
            received += data
        assert received == b"".join(b"%03d" % at for at in range(100))

    on(main)


def test_bytes_before_the_end_of_a_stream_are_read(on):
    def main(hub, net):
        here, there, _ = pair(hub, net)
        there.write(b"answer")
        there.close()
        hub.sleep(1000)  # the answer and the end of the stream are both pending
        assert here.read() == b"answer"
        assert here.read() == b""

    on(main)


def test_a_reset_breaks_the_peer(on):
    def main(hub, net):
        here, there, _ = pair(hub, net)
        there.abort()
        with pytest.raises(ConnectionError):
            here.read(hub.now() + 1_000_000)

    on(main)


def test_drain_waits_while_the_peer_does_not_read(on):
    def main(hub, net):
        here, there, _ = pair(hub, net)
        there.write(bytes(8 * HIGH_WATER))
        with pytest.raises(DeadlineExceeded):
            there.drain(hub.now() + 50_000)
        total = 0
        with hub.scope() as scope:
            scope.spawn("drain", there.drain)
            while total < 8 * HIGH_WATER:
                total += len(here.read())
        assert there.buffered < HIGH_WATER

    on(main)


def test_a_connection_without_a_listener_is_refused(on):
    def main(hub, net):
        listener = net.listen(("127.0.0.1", 0))
        listener.close()
        with pytest.raises(ConnectionRefusedError):
            net.connect(listener.address, hub.now() + 1_000_000)

    on(main)


def test_accept_without_a_client_ends_at_its_deadline(on):
    def main(hub, net):
        listener = net.listen(("127.0.0.1", 0))
        with pytest.raises(DeadlineExceeded):
            listener.accept(hub.now() + 20_000)
        assert net.connect(listener.address).peer and listener.accept(hub.now() + 1_000_000)

    on(main)


def test_deadlines_and_sleep_on_the_virtual_clock():
    hub = Hub.virtual(start=0)

    def main():
        hub.sleep(3_600_000_000)
        with pytest.raises(DeadlineExceeded):
            Event(hub).wait(hub.now() + 5)
        return hub.now()

    assert hub.run(main) == 3_600_000_005


def test_a_wait_without_timers_on_the_virtual_clock_is_a_deadlock():
    hub = Hub.virtual()
    with pytest.raises(Deadlock):
        hub.run(lambda: Event(hub).wait())


def test_an_error_in_a_task_cancels_its_scope_and_siblings():
    hub, seen = Hub.virtual(), []

    def sibling():
        try:
            hub.sleep(10_000_000)
        except Cancelled:
            seen.append(hub.now())
            raise

    def broken():
        hub.sleep(10)
        raise ValueError("broken")

    def main():
        with hub.scope() as scope:
            scope.spawn("sibling", sibling)
            scope.spawn("broken", broken)
            hub.sleep(20_000_000)

    start = hub.now()
    with pytest.raises(ValueError, match="broken"):
        hub.run(main)
    assert seen == [start + 10]


def test_a_task_started_while_its_scope_ends_does_not_outlive_it():
    hub = Hub.virtual()

    def cleaning(scope):
        try:
            hub.sleep(10_000_000)
        finally:
            scope.spawn("late", hub.sleep, 60_000_000)

    def main():
        began = hub.now()
        with hub.scope() as scope:
            scope.spawn("cleaning", cleaning, scope)
            hub.sleep(10)
            scope.cancel()
        return hub.now() - began

    assert hub.run(main) < 1000


def test_a_task_cancelled_twice_before_its_start_never_runs():
    hub, ran = Hub.virtual(), []

    def main():
        with hub.scope() as scope:
            task = scope.spawn("never", ran.append, 1)
            task.cancel()
            task.cancel()
        assert isinstance(task.error, Cancelled)

    hub.run(main)
    assert not ran


def test_cancelled_timers_are_pruned():
    hub = Hub.virtual()

    def main():
        timers = [hub.at(hub.now() + 1_000_000 + at, lambda: pytest.fail("ran")) for at in range(10_000)]
        for timer in timers:
            timer.cancel()
            timer.cancel()
        assert len(hub._timers) < 1000
        hub.sleep(2_000_000)

    hub.run(main)


def test_a_descriptor_reused_in_the_same_round_gets_no_old_events():
    hub = Hub()

    def main():
        first, second = socket.socketpair(), socket.socketpair()
        streams = [SocketStream(hub, first[0], "a"), SocketStream(hub, second[0], "b")]
        wrong = []

        def swap(one, other):
            # Both are readable in one poll; the handler that runs first closes the other and reuses its number.
            def act(_events):
                number = other._handler.fd
                other.close()
                again = socket.socketpair()
                stream = SocketStream(hub, again[0], "c")
                stream._handler.on_events = lambda events: wrong.append((number, stream._handler.fd, events))
                hub.set_interest(stream._handler, 4)
                kept.extend([again, stream])
                one._handler.on_events = lambda _events: None
                hub.set_interest(one._handler, 0)
                seen.append(len(wrong))

            return act

        kept, seen = [], []
        streams[0]._handler.on_events = swap(streams[0], streams[1])
        streams[1]._handler.on_events = swap(streams[1], streams[0])
        for stream, (_, peer) in zip(streams, (first, second), strict=True):
            hub.set_interest(stream._handler, 1)
            peer.send(b"x")
        hub.sleep(1000)
        assert len(seen) == 1 and seen == [0]

    hub.run(main)


def test_accept_pauses_without_a_free_descriptor_and_continues():
    hub, before = Hub(), resource.getrlimit(resource.RLIMIT_NOFILE)

    def main():
        # Reference cycles of other tests must not free a descriptor between the last socket and the accept.
        gc.collect()
        listener = SocketListener(hub, ("127.0.0.1", 0))
        here = socket.create_connection(listener.address)
        # At least one to close later: there may be no gap below the highest descriptor.
        sockets = [socket.socket()]
        used = max(int(name) for name in os.listdir("/proc/self/fd"))
        resource.setrlimit(resource.RLIMIT_NOFILE, (used, before[1]))
        try:
            while True:
                sockets.append(socket.socket())
        except OSError:
            pass
        with hub.scope() as scope:
            task = scope.spawn("accept", listener.accept)
            while not listener.exhausted and not task.done:
                hub.sleep(1000)
            assert listener.exhausted
            for sock in sockets:
                sock.close()
        resource.setrlimit(resource.RLIMIT_NOFILE, before)
        assert task.result.peer.startswith("127.0.0.1:")
        here.close()

    gc.disable()
    try:
        hub.run(main)
    finally:
        gc.enable()
        resource.setrlimit(resource.RLIMIT_NOFILE, before)


def test_a_stall_is_reported():
    hub, stalls = Hub(stall_us=20_000), []
    hub.on_stall = stalls.append

    def main():
        until = hub.now() + 30_000
        while hub.now() < until:
            pass
        hub.sleep(1)

    hub.run(main)
    assert hub.stalls == 1 and stalls[0] >= 20_000


def test_the_resident_memory_counts_what_is_allocated(tmp_path):
    # A mapping of its own: an object may come to lie in memory that was resident before, and is free.
    size, before = 64 << 20, resident_bytes()
    with mmap.mmap(-1, size) as held:
        held[:: mmap.PAGESIZE] = b"x" * (size // mmap.PAGESIZE)
        assert resident_bytes() - before > size // 2
    (tmp_path / "statm").write_text("nonsense")
    assert resident_bytes(str(tmp_path / "statm")) == resident_bytes("/no/such/file") == 0


class Taker:
    def __init__(self, queue, log, again=0):
        self.queue, self.log, self.again = queue, log, again

    def take_turn(self):
        self.log.append(self)
        if self.again:
            self.again -= 1
            self.queue.add(self)


def test_turns_are_taken_in_order_and_others_run_in_between():
    """Guards against a crowd of connections that delays nodes and timers for as long as it is there."""
    hub, log = Hub.virtual(), []

    def main():
        queue = TurnQueue(hub, per_round=4)
        takers = [Taker(queue, log, again=2) for _ in range(10)]
        for taker in takers:
            queue.add(taker)
        with hub.scope() as scope:
            scope.spawn("turns", queue.run)
            for _ in range(2):  # a task that is ready runs between any two lots
                hub.sleep(0)
            assert len(log) <= 8
            hub.sleep(1_000)
            assert log == takers * 3
            for taker in takers:
                queue.add(taker)
            queue.wait_for_all()
            assert log == takers * 4
            queue.add(takers[0])
            queue.discard(takers[0])
            hub.sleep(1_000)
            assert len(log) == 40
            scope.cancel()

    hub.run(main)


@pytest.mark.real_time
def test_a_closed_stream_is_freed_without_the_garbage_collector():
    """Guards against connections that stay in memory until the collector comes to them."""
    hub = Hub()

    def main():
        here, there, _ = pair(hub, SocketNetwork(hub))
        here.write(b"x")
        assert there.read() == b"x"
        gc.collect()
        gc.disable()
        try:
            here.close()
            there.close()
            hub.sleep(0)
            left = [weakref.ref(here), weakref.ref(there)]
            del here, there
            assert [one() for one in left] == [None, None]
        finally:
            gc.enable()

    hub.run(main)


def test_what_can_be_read_now_is_read_in_pieces_and_announced_once(on):
    def main(hub, net):
        here, there, _ = pair(hub, net)
        called = []
        there.on_readable(lambda: called.append(1))
        hub.sleep(1_000)
        assert not called and there.read_now(10) is None
        here.write(b"abc")
        hub.sleep(10_000)
        assert called == [1] and there.read_now(2) == b"ab"
        there.on_readable(lambda: called.append(2))
        assert called == [1, 2] and there.read_now(2) == b"c"
        here.close()
        there.on_readable(lambda: called.append(3))
        hub.sleep(10_000)
        assert called == [1, 2, 3] and there.read_now(2) == b""
        there.close()
        with pytest.raises(ConnectionError):
            there.read_now(1)

    on(main)


@pytest.mark.real_time
def test_a_flood_of_connections_is_accepted_in_lots_and_others_run_in_between():
    """Guards against a listener that accepts for as long as clients connect, while everything else waits."""
    hub, accepted = Hub(), Counter()

    def accept(listener):
        while True:
            listener.accept().close()
            accepted[hub.round] += 1

    def main():
        listener = SocketNetwork(hub).listen(("127.0.0.1", 0))
        clients = [socket.create_connection(listener.address) for _ in range(300)]
        with hub.scope() as scope:
            scope.spawn("accept", accept, listener)
            while accepted.total() < len(clients):
                hub.sleep(0)
            scope.cancel()
        for client in clients:
            client.close()

    hub.run(main)
    assert max(accepted.values()) == ACCEPTS_PER_ROUND
