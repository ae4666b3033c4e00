"""Streams over sockets and in memory: close against read, an end against a watch, room against a writer."""

from __future__ import annotations

from collections.abc import Callable

from harriertrack.lab.interleaving.sockets import Kernel
from harriertrack.lab.interleaving.wires import Wire
from harriertrack.lab.interleaving.world import Scenario, World
from harriertrack.runtime.hub import DeadlineExceeded
from harriertrack.runtime.streams import SocketStream, Stream

HERE = "here"
SOON = 10
Pair = Callable[[World], tuple[Stream, Stream]]
TEXT = b"abcdefg"  # longer than what a socket holds


def sockets(world: World) -> tuple[Stream, Stream]:
    """Return a pair over sockets."""
    if not isinstance(world.hub.poller, Kernel):
        world.hub.poller = Kernel()
    one, other = world.hub.poller.pair()
    return SocketStream(world.hub, one, "other"), SocketStream(world.hub, other, "one")  # type: ignore[arg-type]


def memory(world: World) -> tuple[Stream, Stream]:
    """Return a pair in memory."""
    one = Wire(world.hub, "other", world.touched, HERE, "one")
    other = Wire(world.hub, "one", world.touched, HERE, "other")
    one.other, other.other = other, one
    return one, other


class _Reader:
    """Reads to the end and keeps what came, and how it ended."""

    def __init__(self, stream: Stream, deadline: int | None = None) -> None:
        self._stream, self._deadline = stream, deadline
        self.got, self.end = b"", ""

    def run(self) -> None:
        try:
            while data := self._stream.read(self._deadline):
                self.got += data
            self.end = "end"
        except OSError as error:
            self.end = type(error).__name__
        except DeadlineExceeded:
            self.end = "late"


def _all_arrives(pair: Pair) -> Callable[[World], None]:
    """What is written before a close arrives, in order, and then the end."""

    def build(world: World) -> None:
        one, other = pair(world)
        reader = _Reader(other)

        def writes() -> None:
            one.write(TEXT[:3])
            one.write(TEXT[3:])
            if isinstance(one, SocketStream):
                one.flush()
            one.close()
            one.write(b"after")

        world.spawn(HERE, "writes", writes, ends=True)
        world.spawn(HERE, "reads", reader.run, ends=True)
        world.view = lambda: (reader.got, reader.end)
        world.judge = lambda _view: None if TEXT.startswith(reader.got) else f"not as sent: {reader.got!r}"
        world.finish = lambda: None if (reader.got, reader.end) == (TEXT, "end") else f"lost: {reader.got!r}"

    return build


def _close_against_read(pair: Pair) -> Callable[[World], None]:
    """One task reads, another closes the same stream, the peer writes and hangs up: the read ends once."""

    def build(world: World) -> None:
        one, other = pair(world)
        reader, ends = _Reader(one), list[str]()
        one.watch_end(lambda: ends.append("end"))

        def peer() -> None:
            other.write(b"abc")
            world.hub.sleep(0)
            other.close()

        def closes() -> None:
            world.hub.sleep(0)
            one.close()
            one.close()

        world.spawn(HERE, "reads", reader.run, ends=True)
        world.spawn(HERE, "closes", closes, ends=True)
        world.spawn(HERE, "peer", peer, ends=True)

        def finish() -> str | None:
            if ends != ["end"]:
                return f"the end is told once: {ends}"
            if reader.end not in ("end", "StreamClosed", "ConnectionResetError"):
                return f"the read ended by {reader.end!r}"
            return None if reader.got in (b"", b"abc") else f"not what was sent: {reader.got!r}"

        world.view = lambda: (reader.got, reader.end, tuple(ends))
        world.finish = finish

    return build


def _deadline_against_bytes(pair: Pair) -> Callable[[World], None]:
    """A read gives up at its deadline while bytes come: they are not lost for the next read."""

    def build(world: World) -> None:
        one, other = pair(world)
        first, second = _Reader(one, world.hub.now() + SOON), _Reader(one)

        def reads() -> None:
            first.run()
            if first.end == "late":
                second.run()

        def peer() -> None:
            world.hub.sleep(SOON)
            other.write(b"abc")
            other.close()

        world.spawn(HERE, "reads", reads, ends=True)
        world.spawn(HERE, "peer", peer, ends=True)
        world.view = lambda: (first.got, first.end, second.got, second.end)
        world.finish = lambda: None if first.got + second.got == b"abc" else f"lost: {first.got!r}"

    return build


def _abort_against_write(pair: Pair) -> Callable[[World], None]:
    """The peer breaks the stream while one writes and waits for room: nobody waits for ever."""

    def build(world: World) -> None:
        one, other = pair(world)
        reader, pushed = _Reader(one), list[str]()

        def writes() -> None:
            one.write(TEXT)
            one.push(lambda: pushed.append("pushed"))
            if isinstance(one, SocketStream):
                one.flush()
            one.drain()

        def breaks() -> None:
            world.hub.sleep(0)
            other.abort()

        world.spawn(HERE, "writes", writes, ends=True)
        world.spawn(HERE, "reads", reader.run, ends=True)
        world.spawn(HERE, "breaks", breaks, ends=True)
        world.view = lambda: (reader.end, tuple(pushed))
        # TEXT does not fit, and the peer never reads: over a socket it has not left.
        world.judge = lambda _view: (
            "told as sent what was not" if pushed and isinstance(one, SocketStream) else None
        )
        world.finish = lambda: (
            None if reader.end == "ConnectionResetError" or reader.end == "BrokenPipeError"
            else f"the break is told as {reader.end!r}"
        )  # fmt: skip

    return build


def _reused_number(world: World) -> None:
    """A descriptor is closed and its number opened again in one round: old events are not the new's."""
    one, other = sockets(world)
    readers: list[_Reader] = []

    def turns() -> None:
        world.hub.sleep(0)
        one.close()
        fresh, peer = sockets(world)
        reader = _Reader(fresh)
        readers.append(reader)
        world.spawn(HERE, "reads", reader.run, ends=True)
        peer.write(b"new")
        world.hub.sleep(0)
        peer.close()

    def hangs_up() -> None:
        world.hub.sleep(0)
        other.close()

    world.spawn(HERE, "turns", turns, ends=True)
    world.spawn(HERE, "hangs up", hangs_up, ends=True)
    world.view = lambda: tuple((reader.got, reader.end) for reader in readers)
    world.finish = lambda: None if world.view() == ((b"new", "end"),) else f"the new stream: {world.view()}"


def _both(name: str, about: str, make: Callable[[Pair], Callable[[World], None]]) -> list[Scenario]:
    return [Scenario(f"{kind}-{name}", f"{about} ({kind})", make(pair), until_us=100)
            for kind, pair in (("socket", sockets), ("memory", memory))]  # fmt: skip


SCENARIOS = (
    *_both("all-arrives", "bytes before a close", _all_arrives),
    *_both("close-read", "close against read", _close_against_read),
    *_both("deadline-bytes", "deadline against bytes", _deadline_against_bytes),
    *_both("abort-write", "abort against write", _abort_against_write),
    Scenario("socket-reused", "a descriptor's number used again", _reused_number, until_us=100),
)
