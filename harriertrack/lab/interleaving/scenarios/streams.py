"""Streams over sockets and in memory: close, deadline and abort race reads and writes."""

from __future__ import annotations

from collections.abc import Callable

from harriertrack.lab.interleaving.sockets import Kernel
from harriertrack.lab.interleaving.wires import Wire
from harriertrack.lab.interleaving.world import Scenario, World
from harriertrack.runtime.hub import DeadlineExceeded
from harriertrack.runtime.streams import SocketStream, Stream

HERE = "here"
DELAY_US = 10
Pair = Callable[[World], tuple[Stream, Stream]]
TEXT = b"abcdefg"  # longer than the socket buffer of the emulated kernel


def socket_pair(world: World) -> tuple[Stream, Stream]:
    """Return two connected streams over sockets."""
    if not isinstance(world.hub.poller, Kernel):
        world.hub.poller = Kernel()
    first, second = world.hub.poller.pair()
    return SocketStream(world.hub, first, "other"), SocketStream(world.hub, second, "one")  # type: ignore[arg-type]


def memory_pair(world: World) -> tuple[Stream, Stream]:
    """Return two connected streams in memory."""
    first = Wire(world.hub, "other", world.touched, HERE, "one")
    second = Wire(world.hub, "one", world.touched, HERE, "other")
    first.other, second.other = second, first
    return first, second


class _Reader:
    """Reads to the end; records the bytes received and how the stream ended."""

    def __init__(self, stream: Stream, deadline: int | None = None) -> None:
        self._stream, self._deadline = stream, deadline
        self.received, self.end = b"", ""

    def run(self) -> None:
        try:
            while data := self._stream.read(self._deadline):
                self.received += data
            self.end = "end"
        except OSError as error:
            self.end = type(error).__name__
        except DeadlineExceeded:
            self.end = "late"


def _all_arrives(pair: Pair) -> Callable[[World], None]:
    """What is written before a close arrives, in order, and then the end."""

    def build(world: World) -> None:
        stream, peer_stream = pair(world)
        reader = _Reader(peer_stream)

        def write() -> None:
            stream.write(TEXT[:3])
            stream.write(TEXT[3:])
            if isinstance(stream, SocketStream):
                stream.flush()
            stream.close()
            stream.write(b"after")

        world.spawn(HERE, "writes", write, ends=True)
        world.spawn(HERE, "reads", reader.run, ends=True)
        world.view = lambda: (reader.received, reader.end)
        world.judge = lambda _view: (
            None if TEXT.startswith(reader.received) else f"not as sent: {reader.received!r}"
        )
        world.finish = lambda: (
            None if (reader.received, reader.end) == (TEXT, "end") else f"lost: {reader.received!r}"
        )

    return build


def _close_races_read(pair: Pair) -> Callable[[World], None]:
    """One task reads, another closes the same stream, the peer writes and closes: the read ends once."""

    def build(world: World) -> None:
        stream, peer_stream = pair(world)
        reader, end_notifications = _Reader(stream), list[str]()
        stream.watch_end(lambda: end_notifications.append("end"))

        def peer() -> None:
            peer_stream.write(b"abc")
            world.hub.sleep(0)
            peer_stream.close()

        def close_twice() -> None:
            world.hub.sleep(0)
            stream.close()
            stream.close()

        world.spawn(HERE, "reads", reader.run, ends=True)
        world.spawn(HERE, "closes", close_twice, ends=True)
        world.spawn(HERE, "peer", peer, ends=True)

        def finish() -> str | None:
            if end_notifications != ["end"]:
                return f"the end is told once: {end_notifications}"
            if reader.end not in ("end", "StreamClosed", "ConnectionResetError"):
                return f"the read ended by {reader.end!r}"
            return None if reader.received in (b"", b"abc") else f"not what was sent: {reader.received!r}"

        world.view = lambda: (reader.received, reader.end, tuple(end_notifications))
        world.finish = finish

    return build


def _close_alone(pair: Pair) -> Callable[[World], None]:
    """One task reads, another closes the same stream, the peer is silent: the read ends."""

    def build(world: World) -> None:
        stream, _peer_stream = pair(world)
        reader = _Reader(stream)
        world.spawn(HERE, "reads", reader.run, ends=True)
        world.spawn(HERE, "closes", stream.close, ends=True)
        world.view = lambda: (reader.end,)
        world.finish = lambda: None if reader.end == "StreamClosed" else f"the read ended by {reader.end!r}"

    return build


def _deadline_races_bytes(pair: Pair) -> Callable[[World], None]:
    """Bytes arrive as a read reaches its deadline: the next read returns them."""

    def build(world: World) -> None:
        stream, peer_stream = pair(world)
        first, second = _Reader(stream, world.hub.now() + DELAY_US), _Reader(stream)

        def read_twice() -> None:
            first.run()
            if first.end == "late":
                second.run()

        def peer() -> None:
            world.hub.sleep(DELAY_US)
            peer_stream.write(b"abc")
            peer_stream.close()

        world.spawn(HERE, "reads", read_twice, ends=True)
        world.spawn(HERE, "peer", peer, ends=True)
        world.view = lambda: (first.received, first.end, second.received, second.end)
        world.finish = lambda: (
            None if first.received + second.received == b"abc" else f"lost: {first.received!r}"
        )

    return build


def _abort_races_write(pair: Pair) -> Callable[[World], None]:
    """The peer aborts the stream while a writer waits for buffer space: no task waits forever."""

    def build(world: World) -> None:
        stream, peer_stream = pair(world)
        reader, pushed = _Reader(stream), list[str]()

        def write() -> None:
            stream.write(TEXT)
            stream.push(lambda: pushed.append("pushed"))
            if isinstance(stream, SocketStream):
                stream.flush()
            stream.drain()

        def abort() -> None:
            world.hub.sleep(0)
            peer_stream.abort()

        world.spawn(HERE, "writes", write, ends=True)
        world.spawn(HERE, "reads", reader.run, ends=True)
        world.spawn(HERE, "breaks", abort, ends=True)
        world.view = lambda: (reader.end, tuple(pushed))
        # TEXT exceeds the buffer and the peer never reads: a socket cannot have sent all of it.
        world.judge = lambda _view: (
            "told as sent what was not" if pushed and isinstance(stream, SocketStream) else None
        )
        world.finish = lambda: (
            None if reader.end == "ConnectionResetError" or reader.end == "BrokenPipeError"
            else f"the break is told as {reader.end!r}"
        )  # fmt: skip

    return build


def _reused_descriptor(world: World) -> None:
    """A descriptor is closed and its number reused in one round: old events do not reach the new stream."""
    stream, peer_stream = socket_pair(world)
    readers: list[_Reader] = []

    def reuse_descriptor() -> None:
        world.hub.sleep(0)
        stream.close()
        new_stream, peer = socket_pair(world)
        reader = _Reader(new_stream)
        readers.append(reader)
        world.spawn(HERE, "reads", reader.run, ends=True)
        peer.write(b"new")
        world.hub.sleep(0)
        peer.close()

    def close_peer() -> None:
        world.hub.sleep(0)
        peer_stream.close()

    world.spawn(HERE, "turns", reuse_descriptor, ends=True)
    world.spawn(HERE, "hangs up", close_peer, ends=True)
    world.view = lambda: tuple((reader.received, reader.end) for reader in readers)
    world.finish = lambda: None if world.view() == ((b"new", "end"),) else f"the new stream: {world.view()}"


def _for_both_kinds(name: str, about: str, make: Callable[[Pair], Callable[[World], None]]) -> list[Scenario]:
    return [Scenario(f"{kind}-{name}", f"{about} ({kind})", make(pair), until_us=100)
            for kind, pair in (("socket", socket_pair), ("memory", memory_pair))]  # fmt: skip


SCENARIOS = (
    *_for_both_kinds("all-arrives", "bytes before a close", _all_arrives),
    *_for_both_kinds("close-read", "close against read", _close_races_read),
    *_for_both_kinds("close-alone", "close against read, and a silent peer", _close_alone),
    *_for_both_kinds("deadline-bytes", "deadline against bytes", _deadline_races_bytes),
    *_for_both_kinds("abort-write", "abort against write", _abort_races_write),
    Scenario("socket-reused", "a descriptor's number used again", _reused_descriptor, until_us=100),
)
