"""Hostile clients of the platform's head, as a process of their own: slow, unfinished, unsound, or too many.

`python -m harriertrack.lab.soak.hostile_clients KIND HOST PORT SECONDS CONNECTIONS`. They connect again as
soon as the head ends a connection, send at full speed, and stop by themselves after the given time.
"""

from __future__ import annotations

import errno
import os
import random
import resource
import socket
import sys
import time
from collections.abc import Callable
from itertools import count

from harriertrack.lab.soak.plan import READS, WRITES, HostileKind
from harriertrack.protocol.platform import MAX_BODY_BYTES

CONNECT_TIMEOUT_S = 2.0
ANSWER_TIMEOUT_S = 1.0
PAUSE_S = 0.001  # between two looks at all connections
CONNECTS_PER_LOOK = 50
SPARE_DESCRIPTORS = 32
RECEIVE_BYTES = 1 << 16
FIRST_ID = 1 << 60  # beyond the numbers of the usual clients; one process's ids are 2^32
SHORT_FIELDS = 4_000  # of four bytes each: with its first line the head stays under 16 KiB
PIPELINED_REQUESTS = 200  # more than the head's system buffers while it reads nothing


class Connections:
    """The connections of hostile clients; each sends `first` at once, then `rest` in steps."""

    def __init__(self, address: tuple[str, int], limit: int) -> None:
        self._address, self._limit = address, limit
        self._sent: dict[socket.socket, int] = {}  # bytes of `rest`, by connection

    def play(self, until: float, first: bytes, rest: bytes = b"", step: int = 1) -> None:
        """Keep all connections open until a time, and go on sending over each."""
        while time.monotonic() < until:
            self._connect(first)
            for connection in list(self._sent):
                self._look_at(connection, rest, step)
            time.sleep(PAUSE_S)

    def _connect(self, first: bytes) -> None:
        for _ in range(min(CONNECTS_PER_LOOK, self._limit - len(self._sent))):
            try:
                connection = connect(self._address)
                connection.setblocking(False)
                connection.send(first)
            except OSError:
                return
            self._sent[connection] = 0

    def _look_at(self, connection: socket.socket, rest: bytes, step: int) -> None:
        """Send one more step, and drop a connection that the head has ended."""
        try:
            at = self._sent[connection]
            if at < len(rest):
                self._sent[connection] = at + connection.send(rest[at : at + step])
            if not connection.recv(RECEIVE_BYTES):
                raise ConnectionResetError(errno.ECONNRESET, "ended")
        except BlockingIOError:
            pass
        except OSError:
            connection.close()
            del self._sent[connection]


def connect(address: tuple[str, int]) -> socket.socket:
    """Open a connection. Raises OSError."""
    connection = socket.create_connection(address, CONNECT_TIMEOUT_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.settimeout(ANSWER_TIMEOUT_S)
    return connection


class Requests:
    """Makes requests, each with a new id."""

    def __init__(self, seed: int) -> None:
        self._numbers, self._random = count(FIRST_ID + (seed << 32)), random.Random(seed)

    def read(self, expires_ms: int = 1_000) -> bytes:
        """Return a read of a new volume."""
        return self._head("GET", READS, expires_ms) + b"\r\n"

    def write(self, body: bytes) -> bytes:
        """Return a write."""
        head = self._head("PUT", WRITES, 1_000)
        return head + b"Idempotency-Key: k\r\nContent-Length: %d\r\n\r\n" % len(body) + body

    def _head(self, method: str, class_name: str, expires_ms: int) -> bytes:
        volume, number = self._random.getrandbits(60), next(self._numbers)
        return (
            f"{method} /{class_name}?object={volume:016x} HTTP/1.1\r\nHost: h\r\n"
            f"X-Trace-Id: {number:016x}\r\n"
            f"X-Qos-Policy: gold\r\nX-Expires-In-Ms: {expires_ms}\r\n"
            f"X-Placement: volume={volume:016x},units=1,shard=0,hosts=1\r\n"
        ).encode()


def one_after_another(address: tuple[str, int], until: float, make: Callable[[], bytes]) -> None:
    """Open a connection, send over it, read up to its end; again and again."""
    while time.monotonic() < until:
        try:
            with connect(address) as connection:
                connection.sendall(make())
                while connection.recv(RECEIVE_BYTES):
                    pass
        except OSError:
            time.sleep(PAUSE_S)


def ask(address: tuple[str, int], until: float, limit: int, make: Callable[[], bytes]) -> None:
    """Send one request after another over each connection, as soon as the last one is answered."""
    connections: list[socket.socket] = []
    while time.monotonic() < until:
        try:
            while len(connections) < limit:
                connections.append(connect(address))
        except OSError:
            time.sleep(PAUSE_S)
        for connection in list(connections):
            try:
                connection.sendall(make())
                if not connection.recv(RECEIVE_BYTES):
                    raise ConnectionResetError(errno.ECONNRESET, "ended")
            except OSError:
                connection.close()
                connections.remove(connection)


def play(kind: HostileKind, address: tuple[str, int], seconds: float, limit: int, seed: int = 1) -> None:
    """Act as clients of a kind for a while, over up to `limit` connections at once."""
    until, requests, connections = time.monotonic() + seconds, Requests(seed), Connections(address, limit)
    line = b"GET /%s?object=0000000000000001 HTTP/1.1\r\n" % READS.encode()
    long_write = requests.write(b"x" * MAX_BODY_BYTES)
    match kind:
        case HostileKind.SILENT:
            connections.play(until, b"")
        case HostileKind.SHORT_FIELDS:
            connections.play(until, line + b"a:\r\n" * SHORT_FIELDS)
        case HostileKind.SMALL_PIECES:
            connections.play(until, long_write[:-MAX_BODY_BYTES], long_write[-MAX_BODY_BYTES:-1], step=3)
        case HostileKind.HALF_BODIES:
            connections.play(until, long_write[:-1])
        case HostileKind.UNSOUND:
            one_after_another(address, until, lambda: b"GET / nonsense\r\n\r\n")
        case HostileKind.PIPELINED:
            one_after_another(address, until, lambda: requests.read() * PIPELINED_REQUESTS)
        case HostileKind.NEW_NAMES:
            ask(address, until, limit, lambda: requests.read(expires_ms=1))


def main() -> None:
    """Play what the command line says."""
    kind, host, port, seconds, limit = sys.argv[1:6]
    most = resource.getrlimit(resource.RLIMIT_NOFILE)[0] - SPARE_DESCRIPTORS
    play(HostileKind(kind), (host, int(port)), float(seconds), min(int(limit), most), os.getpid())


if __name__ == "__main__":
    main()
