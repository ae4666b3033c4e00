"""Byte streams and listeners in memory, in simulated time: what `streams` does over sockets."""

from __future__ import annotations

import errno
from collections import deque
from collections.abc import Callable

from harriertrack.runtime.hub import DeadlineExceeded, Hub, Waiters
from harriertrack.runtime.streams import HIGH_WATER, MAX_READ_BYTES, StreamClosed


class MemoryStream:
    """One end of a pair of streams in memory; written bytes arrive after the pair's delay."""

    def __init__(self, hub: Hub, peer: str, delay_us: int) -> None:
        self._hub, self.peer, self.delay_us = hub, peer, delay_us
        self.other: MemoryStream | None = None
        self._in: deque[tuple[bytes, int]] = deque()
        self.came_at = self.last_byte_at = hub.now()
        self._unread = 0  # bytes that arrived and were not read: the peer's receive window
        self._eof = self._closed = False
        self._error: OSError | None = None
        self.buffered = 0  # bytes in flight or unread at the other end
        self._readable, self._writable = Waiters(hub), Waiters(hub)
        self._on_end: Callable[[], None] | None = None
        self._on_readable: Callable[[], None] | None = None

    def watch_end(self, act: Callable[[], None] | None) -> None:
        """Call `act` once the peer has closed or broken the stream, even without a reader; None to stop.

        Closing the stream at this end counts too.
        """
        if act is not None and (self._eof or self._closed):
            act()
        else:
            self._on_end = act

    def read(self, deadline: int | None = None) -> bytes:
        """Wait for bytes; b"" means that the peer sends no more. Raises ConnectionError if it broke."""
        while (data := self.read_now(MAX_READ_BYTES)) is None:
            self._readable.wait(deadline)
        return data

    def read_now(self, most: int) -> bytes | None:
        """Return up to `most` available bytes, b"" at the peer's end, or None if there is nothing yet."""
        if not self._in:
            if self._closed or self._error:
                raise self._error or StreamClosed("closed")
            return b"" if self._eof else None
        data, self.came_at = self._in.popleft()
        self.last_byte_at = self.came_at
        if len(data) > most:
            self._in.appendleft((data[most:], self.came_at))
            data = data[:most]
        if self.other is not None:
            self.other._taken(len(data))
        return data

    def on_readable(self, act: Callable[[], None]) -> None:
        """Call `act` once, as soon as `read_now` may return something: at once if it may now."""
        if self._in or self._eof or self._closed or self._error:
            act()
        else:
            self._on_readable = act

    def _notify_reader(self) -> None:
        act, self._on_readable = self._on_readable, None
        if act is not None:
            act()
        self._readable.notify()

    def _taken(self, count: int) -> None:
        self.buffered -= count
        self._writable.notify()

    def write(self, data: bytes | memoryview) -> None:
        """Send bytes to the other end; does nothing on a closed stream."""
        if self._closed or not data or self.other is None:
            return
        self.buffered += len(data)
        copy, other = bytes(data), self.other
        self._hub.at_outside(self._hub.now() + self.delay_us, lambda: other._arrive(copy))

    def _arrive(self, data: bytes) -> None:
        if not self._closed:
            self._in.append((data, self._hub.now()))
            self._notify_reader()

    def drain(self, deadline: int | None = None) -> None:
        """Wait until under 1 MiB is buffered."""
        while self.buffered >= HIGH_WATER and not self._closed and not self._error:
            self._writable.wait(deadline)

    def flush(self, deadline: int | None = None) -> None:
        """Do nothing: written bytes are in flight already."""

    def push(self, act: Callable[[], None]) -> None:
        """Call `act` at once unless the stream is broken: written bytes are sent already."""
        if not self._closed and self._error is None:
            act()

    def silent(self) -> bool:
        """Whether the stream is open, without unread bytes and without an end of the peer, as of now."""
        return not (self._closed or self._eof or self._in or self._error)

    def ended(self, _since: int) -> bool:
        """Whether the peer has ended the stream, also behind unread bytes, or the stream is closed."""
        return self._eof or self._closed

    def unread(self, most: int, _since: int) -> int:
        """Return how many received bytes have not been read, at most `most`."""
        return min(most, sum(len(data) for data, _ in self._in))

    def shut_sending(self) -> None:
        """Close the sending direction; the peer can still be read."""
        if not self._closed and (other := self.other) is not None:
            self._hub.at_outside(self._hub.now() + self.delay_us, lambda: other._end(None))

    def _end(self, error: OSError | None) -> None:
        if error is not None:
            self._error, self._closed = error, True
            self._in.clear()
        self._eof = True
        act, self._on_end = self._on_end, None
        if act is not None:
            act()
        self._notify_reader()
        self._writable.notify()

    def _leave(self, error: OSError | None) -> None:
        if self._closed:
            return
        self._closed = True
        act, self._on_end = self._on_end, None
        if act is not None:
            act()
        self._notify_reader()
        self._writable.notify()
        if (other := self.other) is not None:
            self._hub.at_outside(self._hub.now() + self.delay_us, lambda: other._end(error))

    def close(self) -> None:
        """Close; the peer reads the bytes in flight, then the end."""
        self._leave(None)

    def abort(self) -> None:
        """Close with a reset: the peer sees the connection break."""
        self._leave(ConnectionResetError(errno.ECONNRESET, "reset"))


class MemoryListener:
    """Accepts streams at an address of a `MemoryNetwork`."""

    def __init__(self, network: MemoryNetwork, address: tuple[str, int]) -> None:
        self._network, self.address = network, address
        self._queue: deque[MemoryStream] = deque()
        self._closed = False
        self._waiters = Waiters(network.hub)

    def arrive(self, stream: MemoryStream) -> None:
        """Add a new stream to the accept queue."""
        self._queue.append(stream)
        self._waiters.notify()

    def accept(self, deadline: int | None = None) -> MemoryStream:
        """Wait for the next stream; raises StreamClosed once the listener is closed."""
        while not self._queue:
            if self._closed:
                raise StreamClosed("the listener is closed")
            self._waiters.wait(deadline)
        return self._queue.popleft()

    def accept_now(self) -> MemoryStream | None:
        """Return the next stream if one is pending."""
        return self._queue.popleft() if self._queue else None

    def record_arrivals(self) -> None:
        """Do nothing: every stream in memory knows when its bytes arrived."""

    def close(self) -> None:
        """Stop listening."""
        self._closed = True
        self._network.listeners.pop(self.address, None)
        self._waiters.notify()


class MemoryNetwork:
    """Streams in memory in simulated time; `delay` returns the one-way delay from a name to an address."""

    def __init__(self, hub: Hub, delay: Callable[[str, tuple[str, int]], int] | None = None) -> None:
        self.hub = hub
        self.listeners: dict[tuple[str, int], MemoryListener] = {}
        self._delay = delay or (lambda _name, _address: 100)
        self._port = 20_000

    def connect(self, address: tuple[str, int], deadline: int | None = None, name: str = "") -> MemoryStream:
        """Open a stream after one round trip. Raises ConnectionRefusedError without a listener there."""
        delay = self._delay(name, address)
        when = self.hub.now() + 2 * delay
        if deadline is not None and when > deadline:
            self.hub.sleep_until(deadline)
            raise DeadlineExceeded()
        self.hub.sleep_until(when)
        listener = self.listeners.get(address)
        if listener is None:
            raise ConnectionRefusedError(errno.ECONNREFUSED, f"no listener at {address[0]}:{address[1]}")
        here = MemoryStream(self.hub, f"{address[0]}:{address[1]}", delay)
        there = MemoryStream(self.hub, name, delay)
        here.other, there.other = there, here
        listener.arrive(there)
        return here

    def listen(self, address: tuple[str, int]) -> MemoryListener:
        """Listen at a host and port; port 0 picks a free one."""
        if address[1] == 0:
            self._port += 1
            address = (address[0], self._port)
        if address in self.listeners:
            raise OSError(errno.EADDRINUSE, f"{address[0]}:{address[1]} is taken")
        listener = self.listeners[address] = MemoryListener(self, address)
        return listener
