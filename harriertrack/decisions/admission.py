"""Admission of requests to a head that is at its bounds: back-pressure instead of overflow.

A connection, a volume, a cell and the head may each have a bounded number of requests and bytes open. Clients
that wait are not refused at a bound: the request stays in the admission queue and its connection is not read
from, so TCP slows the client down. Volumes get capacity that becomes free in round robin, first in first out
inside a volume. A request that only exceeds its own connection's bound is set aside and doesn't hold up the
others of its volume, unless both belong to classes that ask for order: none of these overtakes another.

A connection has at most one request in the queue: it is not read from until that one is admitted.

Pure: the time is passed in, in microseconds.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass, field
from itertools import count
from typing import Generic, TypeVar

from harriertrack.decisions.shares import Shares

C = TypeVar("C", bound=Hashable)  # a connection


@dataclass(frozen=True, slots=True)
class ConnectionBounds:
    """What one connection may have open."""

    requests: int
    request_bytes: int


@dataclass(slots=True, eq=False)
class WaitingRequest(Generic[C]):
    """A request in the admission queue."""

    connection: C
    volume: str
    size: int
    is_ordered: bool = field(default=False, kw_only=True)  # of a class that asks for order
    number: int = field(default=0, kw_only=True)  # set by the queue, in the order of arrival

    def is_behind(self, other: WaitingRequest[C]) -> bool:
        """Whether this request must not overtake another one."""
        same_order = self.is_ordered and other.is_ordered and self.volume == other.volume
        return same_order and other.number < self.number


@dataclass(slots=True)
class _Open:
    requests: int = 0
    request_bytes: int = 0


class Admission(Generic[C]):
    """Admission control of one head."""

    def __init__(self, bounds: ConnectionBounds, shares: Shares) -> None:
        self.bounds, self.shares = bounds, shares
        self._open: dict[C, _Open] = {}
        self._queues: dict[str, deque[WaitingRequest[C]]] = {}  # by volume, in round-robin order
        self._aside: dict[C, WaitingRequest[C]] = {}  # over their connection's bounds
        self._numbers = count(1)

    def __len__(self) -> int:
        return len(self._aside) + sum(len(queue) for queue in self._queues.values())

    def _within_connection_bounds(self, connection: C, size: int) -> bool:
        opened = self._open.get(connection)
        if opened is None or not opened.requests:  # one request always fits, however large
            return True
        bounds = self.bounds
        return opened.requests < bounds.requests and opened.request_bytes + size <= bounds.request_bytes

    def try_admit(self, now: int, connection: C, volume: str, size: int, is_ordered: bool = False) -> str:
        """Admit a request and return "", or the reason why it can't be admitted now."""
        if not self._within_connection_bounds(connection, size):
            return "too much is open on its connection"
        if is_ordered and self._has_ordered(volume):
            return "earlier requests wait"
        if reason := self.shares.admit(volume, size, now):
            return reason
        self._count(connection, size)
        return ""

    def _count(self, connection: C, size: int) -> None:
        opened = self._open.setdefault(connection, _Open())
        opened.requests += 1
        opened.request_bytes += size

    def admit_or_queue(self, now: int, request: WaitingRequest[C], full: bool) -> bool:
        """Admit a request of a client that waits, or queue it; return whether it was admitted."""
        request.number = next(self._numbers)
        if not self._within_connection_bounds(request.connection, request.size):
            self._aside[request.connection] = request
        elif full or request.volume in self._queues or not self._is_due(now, request):
            self._queues.setdefault(request.volume, deque()).append(request)
        else:
            self.shares.admit(request.volume, request.size, now)
            self._count(request.connection, request.size)
            return True
        return False

    def _has_ordered(self, volume: str) -> bool:
        """Whether an ordered request of a volume waits."""
        waiting = (*self._queues.get(volume, ()), *self._aside.values())
        return any(one.is_ordered and one.volume == volume for one in waiting)

    def _is_due(self, now: int, request: WaitingRequest[C]) -> bool:
        overtakes = request.is_ordered and any(request.is_behind(one) for one in self._aside.values())
        return not overtakes and self._within_shares(now, request)

    def _within_shares(self, now: int, request: WaitingRequest[C]) -> bool:
        volume, size = request.volume, request.size
        return self.shares.leaves_equal_room(volume, size) and not self.shares.refusal_reason(
            volume, size, now
        )

    def discard(self, request: WaitingRequest[C]) -> None:
        """Remove a request from the queue: its client left, or its time is up."""
        if self._aside.get(request.connection) is request:
            del self._aside[request.connection]
        elif (queue := self._queues.get(request.volume)) is not None and request in queue:
            queue.remove(request)
            if not queue:
                del self._queues[request.volume]

    def release(self, connection: C, volume: str, size: int) -> None:
        """Release the capacity of an admitted request that was answered or abandoned."""
        self.shares.release(volume, size)
        opened = self._open[connection]
        opened.requests -= 1
        opened.request_bytes -= size
        if not opened.requests:
            del self._open[connection]
        aside = self._aside.get(connection)
        if aside is not None and self._within_connection_bounds(connection, aside.size):
            del self._aside[connection]
            self._queue_before_later(aside)

    def _queue_before_later(self, request: WaitingRequest[C]) -> None:
        """Queue a request at the end, but before the ones that must not overtake it."""
        queue = self._queues.setdefault(request.volume, deque())
        if not request.is_ordered:
            queue.append(request)
            return
        later = (at for at, one in enumerate(queue) if one.is_behind(request))
        queue.insert(next(later, len(queue)), request)

    def admit_waiting(self, now: int, free: int) -> list[WaitingRequest[C]]:
        """Admit and return up to `free` queued requests: one of each volume in turn."""
        admitted: list[WaitingRequest[C]] = []
        blocked: dict[str, None] = {}
        while free > len(admitted) and len(blocked) < len(self._queues):
            volume = next(name for name in self._queues if name not in blocked)
            queue = self._queues.pop(volume)
            first = queue[0]
            if not self._is_due(now, first):
                blocked[volume] = None
            else:
                queue.popleft()
                self.shares.admit(volume, first.size, now)
                self._count(first.connection, first.size)
                admitted.append(first)
            if queue:
                self._queues[volume] = queue  # behind the other volumes
        return admitted
