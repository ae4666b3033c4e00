"""A strict NBD client: it treats each error as fatal, as a kernel does, and checks every byte.

It hears no hints, retries nothing, and keeps `depth` requests in flight on each connection, of mixed sizes at
unaligned places. Requests in flight never overlap a write in flight, so what a read must bring is known.
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

OPEN_US = 5_000_000
SHARES = ((Command.READ, 0.48), (Command.WRITE, 0.48), (Command.WRITE_ZEROES, 0.02), (Command.FLUSH, 0.02))
PLACES = 64  # tries to find a place that no request in flight is in the way of
LONGEST_US = 3_600_000_000


@dataclass(frozen=True, slots=True)
class Load:
    """What is asked: sizes in bytes, drawn evenly on a logarithmic scale."""

    connections: int = 8
    depth: int = 16
    least: int = 512
    most: int = 1 << 20
    align: int = 1
    span: int = 0  # the part of the volume from its start that is used; 0: all


@dataclass(slots=True)
class Found:
    """What came of it. Times in microseconds."""

    done: int = 0
    moved_bytes: int = 0
    broken: list[str] = field(default_factory=list)  # errors, wrong bytes, lost connections
    took: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, LONGEST_US, 3))


class Exercise:
    """One run against one export."""

    def __init__(self, hub: Hub, network: Network, address: tuple[str, int], export: str, load: Load,
                 seed: int) -> None:  # fmt: skip
        self._hub, self._network, self._address, self._export = hub, network, address, export
        self._load, self._random = load, random.Random(seed)
        self.found = Found()
        self._holds = bytearray()
        self._busy: dict[int, tuple[int, int, bool]] = {}  # in flight: from, to, whether it changes bytes
        self._number = self._open = 0
        self._until = 0
        self._ended = Event(hub)

    def run(self, scope: Scope, us: int) -> Found:
        """Ask for a while, wait for all answers and return what was found. Raises OSError, NbdClientError."""
        clients = []
        for number in range(self._load.connections):
            client = NbdClient(self._hub, self._network, f"exercise {number}")
            client.open(self._address, self._hub.now() + OPEN_US)
            client.go(scope, self._export, self._hub.now() + OPEN_US)
            clients.append(client)
        size = min(self._load.span or clients[0].size, clients[0].size)
        self._holds = bytearray(size)
        self._clear(clients[0])
        self._until = self._hub.now() + us
        for client in clients:
            for _ in range(self._load.depth):
                self._ask(client)
        while self._open:
            self._ended.wait()
            self._ended.clear()
        for client in clients:
            client.close()
        return self.found

    def _clear(self, client: NbdClient) -> None:
        """Start from zeroes: an export may hold what others wrote."""
        step = 1 << 20
        for offset in range(0, len(self._holds), step):
            reply = client.call(Command.WRITE_ZEROES, offset, min(step, len(self._holds) - offset))
            if reply.error:
                self.found.broken.append(f"clearing at {offset}: {errno_name(reply.error)} {reply.message}")

    def _ask(self, client: NbdClient) -> None:
        if self.found.broken or self._hub.now() >= self._until:
            return
        draw = self._random
        kind = draw.choices([kind for kind, _ in SHARES], [share for _, share in SHARES])[0]
        offset, length = (0, 0) if kind is Command.FLUSH else self._place(kind is not Command.READ)
        if length < 0:
            kind, offset, length = Command.FLUSH, 0, 0
        data = draw.randbytes(length) if kind is Command.WRITE else b""
        self._number += 1
        number, began = self._number, self._hub.now()
        self._busy[number] = (offset, offset + length, kind is not Command.READ)
        self._open += 1
        self._start(client, kind, offset, length, data, lambda reply: self._answered(
            client, kind, offset, length, data, number, began, reply))  # fmt: skip

    def _start(self, client: NbdClient, kind: Command, offset: int, length: int, data: bytes,
               then: Callable[[Reply | None], None]) -> None:  # fmt: skip
        client.start(kind, offset, 0 if kind is Command.WRITE else length, data, then)

    def _place(self, changes: bool) -> tuple[int, int]:
        """Draw a place that nothing in flight is in the way of; a length below 0: none was found."""
        load, draw, size = self._load, self._random, len(self._holds)
        for _ in range(PLACES):
            length = int(load.least * (load.most / load.least) ** draw.random())
            length -= length % load.align
            offset = draw.randrange(max(1, size - length))
            offset -= offset % load.align
            end = offset + length
            if (
                length
                and end <= size
                and not any(
                    offset < other_end and other < end and (changes or writes)
                    for other, other_end, writes in self._busy.values()
                )
            ):
                return offset, length
        return 0, -1

    def _answered(self, client: NbdClient, kind: Command, offset: int, length: int, data: bytes, number: int,
                  began: int, reply: Reply | None) -> None:  # fmt: skip
        found, end = self.found, offset + length
        what = f"{kind.name} {offset}+{length}"
        if reply is None:
            found.broken.append(f"{what}: the connection was lost")
        elif reply.error:
            found.broken.append(f"{what}: {errno_name(reply.error)} {reply.message}")
        else:
            found.done += 1
            found.moved_bytes += length
            found.took.record_value(max(1, self._hub.now() - began))
            if kind is Command.READ and reply.data != self._holds[offset:end]:
                found.broken.append(f"{what}: its bytes are not what was written")
            elif kind is Command.WRITE:
                self._holds[offset:end] = data
            elif kind is Command.WRITE_ZEROES:
                self._holds[offset:end] = bytes(length)
        del self._busy[number]
        self._open -= 1
        self._ask(client)
        self._ended.set()
