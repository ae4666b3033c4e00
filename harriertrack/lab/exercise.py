"""A strict NBD client: it treats each error as fatal, as a kernel does, and verifies all data read.

It negotiates no retry hints, retries nothing, and keeps `depth` requests of mixed sizes and unaligned offsets
in flight on each connection. No request overlaps a write in flight, so the data that a read must return is
known.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from harriertrack.gateway.client import NbdClient
from harriertrack.protocol.nbd.client import Reply, errno_name
from harriertrack.protocol.nbd.wire import Command
from harriertrack.runtime.hub import Event, Hub, Scope
from harriertrack.runtime.streams import Network

OPEN_TIMEOUT_US = 5_000_000
KIND_SHARES = (
    (Command.READ, 0.48),
    (Command.WRITE, 0.48),
    (Command.WRITE_ZEROES, 0.02),
    (Command.FLUSH, 0.02),
)
PLACEMENT_TRIES = 64  # tries to find an extent without a conflicting request in flight
MAX_LATENCY_US = 3_600_000_000


@dataclass(frozen=True, slots=True)
class Load:
    """The load: request sizes in bytes are drawn uniformly on a logarithmic scale."""

    connections: int = 8
    depth: int = 16
    min_bytes: int = 512
    max_bytes: int = 1 << 20
    align: int = 1
    span: int = 0  # bytes from the start of the volume that are used; 0: all


@dataclass(slots=True)
class ExerciseResult:
    """Counts, errors and latencies (in microseconds) of a run."""

    done: int = 0
    moved_bytes: int = 0
    errors: list[str] = field(default_factory=list)  # errors, wrong bytes, lost connections
    latencies: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3))


class Exercise:
    """One run of the strict client against one export; it stops at the first error."""

    def __init__(self, hub: Hub, network: Network, address: tuple[str, int], export: str, load: Load,
                 seed: int) -> None:  # fmt: skip
        self._hub, self._network, self._address, self._export = hub, network, address, export
        self._load, self._random = load, random.Random(seed)
        self.result = ExerciseResult()
        self._expected = bytearray()
        self._in_flight: dict[int, tuple[int, int, bool]] = {}  # start, end, whether it modifies data
        self._sent_count = self._pending = 0
        self._stop_at_us = 0
        self._completed = Event(hub)

    def run(self, scope: Scope, duration_us: int) -> ExerciseResult:
        """Send requests for `duration_us`, then wait for all replies. Raises OSError, NbdClientError."""
        clients = []
        for number in range(self._load.connections):
            client = NbdClient(self._hub, self._network, f"exercise {number}")
            client.open(self._address, self._hub.now() + OPEN_TIMEOUT_US)
            client.go(scope, self._export, self._hub.now() + OPEN_TIMEOUT_US)
            clients.append(client)
        size = min(self._load.span or clients[0].size, clients[0].size)
        self._expected = bytearray(size)
        self._zero_fill(clients[0])
        self._stop_at_us = self._hub.now() + duration_us
        for client in clients:
            for _ in range(self._load.depth):
                self._send_next(client)
        while self._pending:
            self._completed.wait()
            self._completed.clear()
        for client in clients:
            client.close()
        return self.result

    def _zero_fill(self, client: NbdClient) -> None:
        """Write zeroes to the used part first: an export may hold earlier data."""
        step = 1 << 20
        for offset in range(0, len(self._expected), step):
            reply = client.call(Command.WRITE_ZEROES, offset, min(step, len(self._expected) - offset))
            if reply.error:
                self.result.errors.append(f"clearing at {offset}: {errno_name(reply.error)} {reply.message}")

    def _send_next(self, client: NbdClient) -> None:
        if self.result.errors or self._hub.now() >= self._stop_at_us:
            return
        rng = self._random
        kind = rng.choices([kind for kind, _ in KIND_SHARES], [share for _, share in KIND_SHARES])[0]
        offset, length = (0, 0) if kind is Command.FLUSH else self._choose_extent(kind is not Command.READ)
        if length < 0:
            kind, offset, length = Command.FLUSH, 0, 0
        data = rng.randbytes(length) if kind is Command.WRITE else b""
        self._sent_count += 1
        number, sent_at_us = self._sent_count, self._hub.now()
        self._in_flight[number] = (offset, offset + length, kind is not Command.READ)
        self._pending += 1
        self._start(client, kind, offset, length, data, lambda reply: self._handle_reply(
            client, kind, offset, length, data, number, sent_at_us, reply))  # fmt: skip

    def _start(self, client: NbdClient, kind: Command, offset: int, length: int, data: bytes,
               on_reply: Callable[[Reply | None], None]) -> None:  # fmt: skip
        client.start(kind, offset, 0 if kind is Command.WRITE else length, data, on_reply)

    def _choose_extent(self, modifies: bool) -> tuple[int, int]:
        """Draw an offset and length that conflict with no request in flight; length -1 if none was found."""
        load, rng, size = self._load, self._random, len(self._expected)
        for _ in range(PLACEMENT_TRIES):
            length = int(load.min_bytes * (load.max_bytes / load.min_bytes) ** rng.random())
            length -= length % load.align
            offset = rng.randrange(max(1, size - length))
            offset -= offset % load.align
            end = offset + length
            if (
                length
                and end <= size
                and not any(
                    offset < other_end and other < end and (modifies or other_modifies)
                    for other, other_end, other_modifies in self._in_flight.values()
                )
            ):
                return offset, length
        return 0, -1

    def _handle_reply(self, client: NbdClient, kind: Command, offset: int, length: int, data: bytes,
                      number: int, sent_at_us: int, reply: Reply | None) -> None:  # fmt: skip
        result, end = self.result, offset + length
        request = f"{kind.name} {offset}+{length}"
        if reply is None:
            result.errors.append(f"{request}: the connection was lost")
        elif reply.error:
            result.errors.append(f"{request}: {errno_name(reply.error)} {reply.message}")
        else:
            result.done += 1
            result.moved_bytes += length
            result.latencies.record_value(max(1, self._hub.now() - sent_at_us))
            if kind is Command.READ and reply.data != self._expected[offset:end]:
                result.errors.append(f"{request}: its bytes are not what was written")
            elif kind is Command.WRITE:
                self._expected[offset:end] = data
            elif kind is Command.WRITE_ZEROES:
                self._expected[offset:end] = bytes(length)
        del self._in_flight[number]
        self._pending -= 1
        self._send_next(client)
        self._completed.set()
