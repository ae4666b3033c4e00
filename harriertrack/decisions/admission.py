"""Which request a head takes next when it has no room for all: back-pressure in place of overflow.

A connection, a volume, a cell and the head may each hold so many requests and so many bytes. Clients that
wait are not refused at a bound: their request stays at the door, its connection is not read from, and TCP
tells the client so. As room comes back volumes take turns at it, first in first out inside a volume. One that
finds only its own connection's bound stands aside, and does not keep its volume's others waiting.

A connection has one request at the door at most: it is not read from until that one is in.

Pure: the time is handed in, in microseconds.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

from harriertrack.decisions.shares import Shares

C = TypeVar("C", bound=Hashable)  # a connection


@dataclass(frozen=True, slots=True)
class ConnectionBounds:
    """What one connection may hold."""

    requests: int
    request_bytes: int


@dataclass(slots=True, eq=False)
class WaitingRequest(Generic[C]):
    """A request at the door."""

    connection: C
    volume: str
    size: int


@dataclass(slots=True)
class _Held:
    requests: int = 0
    request_bytes: int = 0


class Admission(Generic[C]):
    """The door of one head."""

    def __init__(self, bounds: ConnectionBounds, shares: Shares) -> None:
        self.bounds, self.shares = bounds, shares
        self._held: dict[C, _Held] = {}
        self._lines: dict[str, deque[WaitingRequest[C]]] = {}  # by volume, in the order of turns
        self._aside: dict[C, WaitingRequest[C]] = {}

    def __len__(self) -> int:
        return len(self._aside) + sum(len(line) for line in self._lines.values())

    def _own_room(self, connection: C, size: int) -> bool:
        held = self._held.get(connection)
        if held is None or not held.requests:  # one request always fits, however large
            return True
        bounds = self.bounds
        return held.requests < bounds.requests and held.request_bytes + size <= bounds.request_bytes

    def try_admit(self, now: int, connection: C, volume: str, size: int) -> str:
        """Count a request and return "", or why it can't be taken now."""
        if not self._own_room(connection, size):
            return "too much is open on its connection"
        if why := self.shares.admit(volume, size, now):
            return why
        self._count(connection, size)
        return ""

    def _count(self, connection: C, size: int) -> None:
        held = self._held.setdefault(connection, _Held())
        held.requests += 1
        held.request_bytes += size

    def admit_or_queue(self, now: int, entrant: WaitingRequest[C], full: bool) -> bool:
        """Count a request of a client that waits, or let it wait at the door; return whether it is in."""
        if not self._own_room(entrant.connection, entrant.size):
            self._aside[entrant.connection] = entrant
        elif full or entrant.volume in self._lines or not self._room(now, entrant):
            self._lines.setdefault(entrant.volume, deque()).append(entrant)
        else:
            self.shares.admit(entrant.volume, entrant.size, now)
            self._count(entrant.connection, entrant.size)
            return True
        return False

    def _room(self, now: int, entrant: WaitingRequest[C]) -> bool:
        volume, size = entrant.volume, entrant.size
        return self.shares.leaves_equal_room(volume, size) and not self.shares.refusal_reason(
            volume, size, now
        )

    def discard(self, entrant: WaitingRequest[C]) -> None:
        """A request leaves the door: its client left, or its time is up."""
        if self._aside.get(entrant.connection) is entrant:
            del self._aside[entrant.connection]
        elif (line := self._lines.get(entrant.volume)) is not None and entrant in line:
            line.remove(entrant)
            if not line:
                del self._lines[entrant.volume]

    def release(self, connection: C, volume: str, size: int) -> None:
        """A counted request has its answer, or nobody waits for it any more."""
        self.shares.release(volume, size)
        held = self._held[connection]
        held.requests -= 1
        held.request_bytes -= size
        if not held.requests:
            del self._held[connection]
        aside = self._aside.get(connection)
        if aside is not None and self._own_room(connection, aside.size):
            del self._aside[connection]
            self._lines.setdefault(aside.volume, deque()).append(aside)

    def admit_waiting(self, now: int, room: int) -> list[WaitingRequest[C]]:
        """Count and return who comes in now, `room` at most: one of each volume in turn."""
        found: list[WaitingRequest[C]] = []
        stuck: dict[str, None] = {}
        while room > len(found) and len(stuck) < len(self._lines):
            volume = next(name for name in self._lines if name not in stuck)
            line = self._lines.pop(volume)
            first = line[0]
            if not self._room(now, first):
                stuck[volume] = None
            else:
                line.popleft()
                self.shares.admit(volume, first.size, now)
                self._count(first.connection, first.size)
                found.append(first)
            if line:
                self._lines[volume] = line  # its next turn comes after the others'
        return found
