"""Byte streams and listeners over sockets, with deadlines and bounded buffers.

A stream's `write` never waits: bytes are buffered until the end of the round and sent in one call; what the
peer does not accept stays in the buffer. A producer of bytes calls `drain` before it accepts more work, so a
peer that sends but never reads is no longer read from: memory is bounded by the work accepted until then.
"""

from __future__ import annotations

import contextlib
import errno
import select
import socket
import struct
from collections import deque
from collections.abc import Callable
from itertools import islice
from typing import Protocol

from harriertrack.runtime.hub import READ, WRITE, Event, FdHandler, Hub, Waiters

HIGH_WATER = 1 << 20  # bytes buffered for writing above which `drain` waits
MAX_BUFFERS = 64  # buffers handed to one sendmsg
MAX_READ_BYTES = 1 << 18  # the most bytes that one read returns
ACCEPTS_PER_ROUND = 64  # after so many in a row, whoever accepts lets everything else have its turn
ACCEPT_PAUSE_US = 100_000  # how long a listener pauses when the process has no free descriptor
# A socket option of Linux, which Python does not name: each read comes with the time at which its last byte
# arrived, as a timespec of two 64-bit numbers. Accepted sockets take it over from their listener.
SO_TIMESTAMPNS = 35
TIMESPEC = struct.Struct("qq")
TIMESTAMP_SPACE = socket.CMSG_SPACE(TIMESPEC.size)
MAX_ACCEPT_FAILURES = 16  # failed calls in a row after which it pauses as well
END_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR  # the peer ended the stream
NO_DESCRIPTOR = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
# Errors of accept(2) that concern one new connection, which is lost, not the listener: accept the next one.
CONNECTION_FAILED = (
    errno.ECONNABORTED, errno.ECONNRESET, errno.EHOSTDOWN, errno.EHOSTUNREACH, errno.EINTR, errno.ENETDOWN,
    errno.ENETUNREACH, errno.ENONET, errno.ENOPROTOOPT, errno.ENOSR, errno.EOPNOTSUPP, errno.EPERM,
    errno.EPROTO, errno.EPROTONOSUPPORT, errno.ESOCKTNOSUPPORT, errno.ETIMEDOUT,
)  # fmt: skip


class StreamClosed(ConnectionError):
    """The stream is closed here, or broken."""


class Stream(Protocol):
    """The interface of socket and memory streams."""

    peer: str
    came_at: int  # the earliest time at which the bytes of the last read arrived (microseconds)
    # When the last byte of the last read arrived at this machine (microseconds, wall clock): one clock for
    # all streams, to compare them; the time of the read where the system does not say. Only for streams of
    # a listener that records arrivals.
    last_byte_at: int
    buffered: int  # bytes written that have not been sent

    def read(self, deadline: int | None = None) -> bytes:
        """Wait for bytes; b"" means that the peer sends no more."""

    def read_now(self, most: int) -> bytes | None:
        """Return up to `most` available bytes, b"" at the peer's end, or None if there is nothing yet.

        Raises ConnectionError if the stream broke or is closed.
        """

    def on_readable(self, act: Callable[[], None]) -> None:
        """Call `act` once, as soon as `read_now` may return something: at once if it may now."""

    def write(self, data: bytes | memoryview) -> None:
        """Add bytes to the send buffer; never waits, and does nothing on a closed stream."""

    def drain(self, deadline: int | None = None) -> None:
        """Wait until the send buffer is small enough to accept more work."""

    def watch_end(self, act: Callable[[], None] | None) -> None:
        """Call `act` once the peer has closed or broken the stream, even without a reader; None to stop.

        Closing the stream at this end counts too.
        """

    def push(self, act: Callable[[], None]) -> None:
        """Send the buffer now; call `act` once its last byte was sent, never if the stream breaks."""

    def silent(self) -> bool:
        """Whether the stream is open, without unread bytes and without an end of the peer, as of now."""

    def ended(self, since: int) -> bool:
        """Whether the peer has ended the stream, also behind unread bytes, or the stream is closed.

        Polls again if the last poll was before `since` (microseconds). Only for streams that are read or
        whose end is watched.
        """

    def unread(self, most: int, since: int) -> int:
        """Return how many received bytes have not been read, at most `most`.

        Looks again if the last poll was before `since` (microseconds).
        """

    def shut_sending(self) -> None:
        """Close the sending direction; the peer can still be read. The send buffer must be empty."""

    def close(self) -> None:
        """Send as much of the buffer as possible without waiting, and close."""

    def abort(self) -> None:
        """Close with a reset: the peer sees the connection break."""


class Listener(Protocol):
    """Accepts streams at an address."""

    address: tuple[str, int]

    def accept(self, deadline: int | None = None) -> Stream:
        """Wait for the next stream; raises StreamClosed once the listener is closed, or DeadlineExceeded."""

    def accept_now(self) -> Stream | None:
        """Return the next stream if one is pending and a descriptor is free for it."""

    def record_arrivals(self) -> None:
        """Have the system record when bytes arrive on the streams that come from now on."""

    def close(self) -> None:
        """Stop listening."""


class Network(Protocol):
    """Creates streams: by sockets, or in memory in simulated time."""

    def connect(self, address: tuple[str, int], deadline: int | None = None, name: str = "") -> Stream:
        """Open a stream; `name` is the caller's name.

        Raises OSError if refused, DeadlineExceeded at the deadline (microseconds).
        """

    def listen(self, address: tuple[str, int]) -> Listener:
        """Listen at a host and port; port 0 picks a free one."""


def close_socket(sock: socket.socket) -> None:
    """Close a socket. Linux frees the descriptor whatever close(2) returns, so there is no retry."""
    with contextlib.suppress(OSError):
        sock.close()


def ignore_events(_events: int) -> None:
    """Handle the events of a descriptor that is closed."""


def arrival_of(ancillary: list[tuple[int, int, bytes]]) -> int:
    """Return when a read's last byte arrived (microseconds, wall clock), by its ancillary data, or 0."""
    for level, kind, data in ancillary:
        if (level, kind) == (socket.SOL_SOCKET, SO_TIMESTAMPNS) and len(data) >= TIMESPEC.size:
            seconds, nanoseconds = TIMESPEC.unpack_from(data)
            return seconds * 1_000_000 + nanoseconds // 1000
    return 0


def set_option(sock: socket.socket, level: int, option: int, value: int | bytes) -> None:
    """Set an option that a connection can do without: this may fail for lack of memory."""
    with contextlib.suppress(OSError):
        sock.setsockopt(level, option, value)


class SocketStream:
    """A connected TCP socket."""

    def __init__(self, hub: Hub, sock: socket.socket, peer: str, accepted: bool = False,
                 records_arrivals: bool = False) -> None:  # fmt: skip
        self._hub, self._sock, self.peer, self._records_arrivals = hub, sock, peer, records_arrivals
        sock.setblocking(False)
        if sock.family in (socket.AF_INET, socket.AF_INET6):
            set_option(sock, socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._out: deque[bytes | memoryview] = deque()
        self.buffered = 0
        self._closed = self._end_seen = False
        # Whether the last read emptied the receive buffer. An accepted stream is polled first: this reports
        # an end behind the first bytes, and usually no bytes have arrived yet.
        self._drained = accepted
        self._error: OSError | None = None
        self._wants_read = False
        self._read_in_round = -1  # the round of the hub in which bytes were read last
        self.came_at = self._since = hub.now()
        self.last_byte_at = 0
        self._on_end: Callable[[], None] | None = None
        self._on_readable: Callable[[], None] | None = None
        self._on_pushed: Callable[[], None] | None = None
        self._readable, self._writable = Waiters(hub), Waiters(hub)
        self._handler = FdHandler(sock.fileno(), 0, self._on_events)
        hub.add_handler(self._handler)

    def _on_events(self, events: int) -> None:
        # POLLHUP and POLLERR may be set with or without unread data: only a read shows which.
        if events & END_EVENTS:
            self._end_seen = True
            act, self._on_end = self._on_end, None
            if act is not None:
                act()
        if events & ~WRITE:
            self._drained = False
            if self._wants_read:  # the last read found no data
                self._since = max(self._since, self._hub.found_since)
            # The interest stays while a reader waits: setting it for each read would cost two calls.
            self._wants_read = self._readable.any() or self._on_readable is not None
            self._notify_reader()
        if events & ~READ and self._out:
            self._flush()
        self._set_interest()

    def _set_interest(self) -> None:
        if not self._closed:
            events = (READ | select.POLLRDHUP if self._wants_read else 0) | (WRITE if self._out else 0)
            events |= select.POLLRDHUP if self._on_end is not None else 0
            self._hub.set_interest(self._handler, events)

    def watch_end(self, act: Callable[[], None] | None) -> None:
        """Call `act` once the peer has closed or broken the stream, even without a reader; None to stop.

        Closing the stream at this end counts too.
        """
        if act is not None and self._closed:
            act()
            return
        self._on_end = act
        self._set_interest()

    def read(self, deadline: int | None = None) -> bytes:
        """Wait for bytes; b"" means that the peer sends no more. Raises ConnectionError if it broke."""
        if not self._drained and self._read_in_round == self._hub.round:
            self._hub.sleep(0)  # a peer that sends at full speed is read once in a round
        while (data := self.read_now(MAX_READ_BYTES)) is None:
            self._wants_read = True
            self._set_interest()
            self._readable.wait(deadline)
            self._drained = False
        return data

    def read_now(self, most: int) -> bytes | None:
        """Return up to `most` available bytes, b"" at the peer's end, or None if there is nothing yet."""
        if self._closed:
            error, self._error = self._error, None  # kept, its traceback would keep the readers' locals
            raise error or StreamClosed("closed")
        if self._drained:
            return None
        try:
            data = self._receive(most)
        except (BlockingIOError, InterruptedError):
            self._drained = True
            return None
        self._read_in_round = self._hub.round
        self._drained = 0 < len(data) < most
        self.came_at = self._since
        if self._drained:
            self._since = self._hub.now()
        return data

    def _receive(self, most: int) -> bytes:
        if not self._records_arrivals:
            return self._sock.recv(most)
        data, ancillary, _, _ = self._sock.recvmsg(most, TIMESTAMP_SPACE)
        self.last_byte_at = arrival_of(ancillary) or self._hub.clock.wall()
        return data

    def on_readable(self, act: Callable[[], None]) -> None:
        """Call `act` once, as soon as `read_now` may return something: at once if it may now."""
        if self._closed or not self._drained:
            act()
            return
        self._on_readable, self._wants_read = act, True
        self._set_interest()

    def _notify_reader(self) -> None:
        act, self._on_readable = self._on_readable, None
        if act is not None:
            act()
        self._readable.notify()

    def write(self, data: bytes | memoryview) -> None:
        """Add bytes to the buffer sent at the end of this round; does nothing on a closed stream."""
        if self._closed or not data:
            return
        if not self._out:
            self._hub.at_end_of_round(self._flush)
        self._out.append(data)
        self.buffered += len(data)

    def _flush(self) -> None:
        out = self._out
        try:
            while out and not self._closed:
                sent = self._sock.sendmsg(out if len(out) <= MAX_BUFFERS else list(islice(out, MAX_BUFFERS)))
                self.buffered -= sent
                if not self.buffered:
                    out.clear()
                    break
                while sent:
                    first = out[0]
                    if sent < len(first):
                        out[0] = memoryview(first)[sent:]
                        break
                    sent -= len(first)
                    out.popleft()
        except (BlockingIOError, InterruptedError):
            pass
        except OSError as error:
            self._error = error.with_traceback(None)
            self._shut()
            return
        if not out and self._on_pushed is not None:
            act, self._on_pushed = self._on_pushed, None
            act()
        if self.buffered < HIGH_WATER and self._writable.any():
            self._writable.notify()
        self._set_interest()

    def push(self, act: Callable[[], None]) -> None:
        """Send the buffer now; call `act` once its last byte was sent, never if the stream breaks."""
        self._on_pushed = act
        if not self._closed:
            self._flush()

    def silent(self) -> bool:
        """Whether the stream is open, without unread bytes and without an end of the peer, as of now."""
        if self._closed:
            return False
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            pass
        return False

    def ended(self, since: int) -> bool:
        """Whether the peer has ended the stream, also behind unread bytes, or the stream is closed.

        Polls again if the last poll was before `since` (microseconds). Only for streams that are read or
        whose end is watched.
        """
        if not (self._closed or self._end_seen) and self._hub.polled_at < since:
            poll = select.poll()
            poll.register(self._sock.fileno(), select.POLLRDHUP)
            with contextlib.suppress(OSError):  # out of memory: the hub's next poll reports it
                self._end_seen = bool(poll.poll(0))
        return self._closed or self._end_seen

    def unread(self, most: int, since: int) -> int:
        """Return how many received bytes have not been read, at most `most`.

        Looks again if the last poll was before `since` (microseconds).
        """
        if self._closed or (self._drained and self._hub.polled_at >= since):
            return 0
        try:
            return len(self._sock.recv(most, socket.MSG_PEEK))
        except OSError:  # nothing to read, or broken: the next read tells
            return 0

    def shut_sending(self) -> None:
        """Close the sending direction; the peer can still be read. The send buffer must be empty."""
        if not self._closed:
            with contextlib.suppress(OSError):  # broken stream: the next read raises
                self._sock.shutdown(socket.SHUT_WR)

    def drain(self, deadline: int | None = None) -> None:
        """Wait until under 1 MiB is buffered. Raises ConnectionError if the stream broke meanwhile."""
        while self.buffered >= HIGH_WATER and not self._closed:
            self._writable.wait(deadline)

    def flush(self, deadline: int | None = None) -> None:
        """Wait until the send buffer is empty."""
        while self._out and not self._closed:
            self._flush()
            if self._out and not self._closed:
                self._writable.wait(deadline)

    def _shut(self) -> None:
        if self._closed:
            return
        self._closed = True
        act, self._on_end = self._on_end, None
        if act is not None:
            act()
        self._out.clear()
        self._on_pushed = None
        self.buffered = 0
        self._hub.remove_handler(self._handler)
        self._handler.on_events = ignore_events  # the handler and the stream keep each other no longer
        close_socket(self._sock)
        self._notify_reader()
        self._writable.notify()

    def close(self) -> None:
        """Send as much of the buffer as possible without waiting, and close."""
        if self._out and not self._closed:
            self._flush()
        self._shut()

    def abort(self) -> None:
        """Close with a reset: the peer sees the connection break."""
        if not self._closed:
            set_option(self._sock, socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        self._shut()


class SocketListener:
    """A listening TCP socket."""

    def __init__(self, hub: Hub, address: tuple[str, int]) -> None:
        self._hub = hub
        self._sock = socket.create_server(address, backlog=1024, reuse_port=False)
        self._sock.setblocking(False)
        self.address: tuple[str, int] = self._sock.getsockname()[:2]
        self._closed = self._records_arrivals = False
        self.exhausted = 0  # number of pauses for lack of descriptors or after failed calls only
        self._must_pause = False  # the last `accept_now` ended with such a pause due
        self._accepted = (-1, 0)  # the round of the hub, and how many were accepted in it
        self._waiters = Waiters(hub)
        self._handler = FdHandler(self._sock.fileno(), 0, self._on_events)
        hub.add_handler(self._handler)

    def _on_events(self, _events: int) -> None:
        self._hub.set_interest(self._handler, 0)
        self._waiters.notify()

    def accept(self, deadline: int | None = None) -> SocketStream:
        """Wait for the next stream; without a free descriptor, pause and try again."""
        if self._accepted == (self._hub.round, ACCEPTS_PER_ROUND):
            self._hub.sleep(0)
        while not self._closed:
            stream = self.accept_now()
            if stream is not None:
                round_, accepted = self._accepted
                self._accepted = (self._hub.round, accepted + 1 if round_ == self._hub.round else 1)
                return stream
            if self._must_pause:
                self._hub.sleep(ACCEPT_PAUSE_US)
                continue
            self._hub.set_interest(self._handler, READ)
            self._waiters.wait(deadline)
        raise StreamClosed("the listener is closed")

    def accept_now(self) -> SocketStream | None:
        """Return the next stream if one is pending and a descriptor is free for it."""
        self._must_pause = False
        if self._closed:
            return None
        for _ in range(MAX_ACCEPT_FAILURES):
            try:
                sock, peer = self._sock.accept()
            except BlockingIOError:
                return None
            except OSError as error:
                if error.errno in NO_DESCRIPTOR:
                    break
                if error.errno not in CONNECTION_FAILED:
                    raise
                continue
            return SocketStream(self._hub, sock, f"{peer[0]}:{peer[1]}", True, self._records_arrivals)
        self._must_pause = True
        self.exhausted += 1
        return None

    def record_arrivals(self) -> None:
        """Have the system record when bytes arrive on the streams that come from now on."""
        self._records_arrivals = True
        set_option(self._sock, socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)

    def close(self) -> None:
        """Stop listening."""
        if not self._closed:
            self._closed = True
            self._hub.remove_handler(self._handler)
            close_socket(self._sock)
            self._waiters.notify()


class SocketNetwork:
    """TCP on this machine."""

    def __init__(self, hub: Hub) -> None:
        self._hub = hub

    def connect(self, address: tuple[str, int], deadline: int | None = None, name: str = "") -> SocketStream:
        """Open a stream. Raises OSError if refused, DeadlineExceeded at the deadline."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            code = sock.connect_ex(address)
            if code == errno.EINPROGRESS:
                ready = Event(self._hub)
                handler = FdHandler(sock.fileno(), WRITE, lambda _events: ready.set())
                self._hub.add_handler(handler)
                try:
                    ready.wait(deadline)
                finally:
                    self._hub.remove_handler(handler)
                code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                raise OSError(code, errno.errorcode.get(code, "connect"))
        except BaseException:
            close_socket(sock)
            raise
        return SocketStream(self._hub, sock, f"{address[0]}:{address[1]}")

    def listen(self, address: tuple[str, int]) -> SocketListener:
        """Listen at a host and port; port 0 picks a free one."""
        return SocketListener(self._hub, address)
