"""Simulated stream sockets with the semantics of the system calls and buffers of a few bytes.

Source: POSIX `recv`, `sendmsg`, `poll`, and Linux `socket(7)`, `unix(7)`: end of file after the peer's close,
a reset after a close with SO_LINGER 0 or with unread bytes, EPIPE on a write to a closed peer.
"""

from __future__ import annotations

import errno
import select
import socket
from collections.abc import Sequence

ROOM = 4  # receive buffer of a socket, in bytes


class FakeSocket:
    """One end of a socket pair."""

    family = socket.AF_UNIX

    def __init__(self, kernel: Kernel, fd: int) -> None:
        self._kernel, self._fd = kernel, fd
        self.peer: FakeSocket | None = None
        self.unread = bytearray()
        self.ended = self.reset = self.closed = self._linger = False

    def setblocking(self, _on: bool) -> None:
        """Ignored: these sockets never block."""

    def setsockopt(self, _level: int, option: int, _value: object) -> None:
        """Only SO_LINGER is supported; it is taken as zero seconds."""
        self._linger = self._linger or option == socket.SO_LINGER

    def fileno(self) -> int:
        """Return the file descriptor."""
        return self._fd

    def recv(self, most: int, flags: int = 0) -> bytes:
        """Return received bytes, or b"" at end of file. Raises BlockingIOError, ConnectionResetError."""
        if self.closed:
            raise OSError(errno.EBADF, "closed")
        if self.reset:
            raise ConnectionResetError(errno.ECONNRESET, "reset")
        if not self.unread:
            if self.ended:
                return b""
            raise BlockingIOError(errno.EAGAIN, "nothing there")
        data = bytes(self.unread[:most])
        if not flags & socket.MSG_PEEK:
            del self.unread[:most]
        return data

    def sendmsg(self, parts: Sequence[bytes | memoryview]) -> int:
        """Send as much as the peer's buffer has room for. Raises BlockingIOError, BrokenPipeError."""
        if self.closed:
            raise OSError(errno.EBADF, "closed")
        peer = self.peer
        if self.reset or peer is None or peer.closed:
            raise BrokenPipeError(errno.EPIPE, "the peer is gone")
        data = b"".join(bytes(part) for part in parts)[: ROOM - len(peer.unread)]
        if not data:
            raise BlockingIOError(errno.EAGAIN, "no room")
        peer.unread += data
        return len(data)

    def close(self) -> None:
        """Close the socket; the peer observes end of file or a reset."""
        if not self.closed:
            self.closed = True
            self._kernel.closed(self._fd)
            if self.peer is not None:
                self.peer.ended = True
                self.peer.reset = self.peer.reset or self._linger or bool(self.unread)
                if self.peer.reset:
                    self.peer.unread.clear()

    def events(self) -> int:
        """Return the events that poll would report."""
        found = select.POLLIN if self.unread or self.ended or self.reset else 0
        peer = self.peer
        if peer is None or peer.closed or len(peer.unread) < ROOM:
            found |= select.POLLOUT
        if self.ended:
            found |= select.POLLHUP | select.POLLRDHUP
        return found | (select.POLLERR if self.reset else 0)


class Kernel:
    """The set of all sockets, and the poller that a hub waits on."""

    def __init__(self) -> None:
        self._sockets: dict[int, FakeSocket] = {}
        self._watched: dict[int, int] = {}
        self._free: list[int] = []

    def _open(self) -> FakeSocket:
        fd = self._free.pop() if self._free else 3 + len(self._sockets)  # reuses the descriptor closed last
        self._sockets[fd] = one = FakeSocket(self, fd)
        return one

    def pair(self) -> tuple[FakeSocket, FakeSocket]:
        """Return two connected sockets."""
        one, other = self._open(), self._open()
        one.peer, other.peer = other, one
        return one, other

    def closed(self, fd: int) -> None:
        """Release a descriptor. Raises RuntimeError if it is still polled."""
        if fd in self._watched:
            raise RuntimeError(f"descriptor {fd} was closed while it is polled")
        self._free.append(fd)

    def watch(self, fd: int, events: int) -> None:
        """Register a descriptor for these events; 0 unregisters it."""
        if events:
            self._watched[fd] = events
        else:
            self._watched.pop(fd, None)

    def wait(self, _until: int | None) -> list[tuple[int, int]]:
        """Return the events that are pending now."""
        always = select.POLLHUP | select.POLLERR
        found = ((fd, self._sockets[fd].events() & (want | always)) for fd, want in self._watched.items())
        return [(fd, events) for fd, events in found if events]
