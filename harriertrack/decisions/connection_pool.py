"""Connections to storage nodes: which one a request uses, when a new one is made, and which are closed.

No I/O and no clock. A connection carries one request at a time, so a node has as many as there are requests
in flight to it. A new connection costs the node work and its first request time: connections are kept for as
long as the node keeps them, and the most recently used is chosen first, so that those opened for a burst
become idle and expire.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from enum import StrEnum
from typing import Generic, TypeVar

from harriertrack.decisions.lifecycle import IllegalTransition

# A node closes connections that idle for the time in the settings "at the latest": later writes are lost.
IDLE_PARTS = (2, 3)
# Stray bytes may follow an answer, and would be read as the answer to the next request: a connection waits
# this long before it is reused, and is closed if something arrives meanwhile. A node that does not set
# TCP_NODELAY has a second small write held back until the first is acknowledged, which may take 40 ms.
REUSE_DELAY_US = 50_000
REUSE_DELAY_PART = 4  # if connections are kept for a short time, they wait for at most this fraction of it

Connection = TypeVar("Connection", bound=Hashable)


class ConnectionState(StrEnum):
    """State of a connection to a node."""

    DIALING = "dialing"
    BUSY = "busy"
    IDLE = "idle"


CONNECTION_STEPS = frozenset((
    (ConnectionState.DIALING, ConnectionState.BUSY), (ConnectionState.DIALING, ConnectionState.IDLE),
    (ConnectionState.BUSY, ConnectionState.IDLE), (ConnectionState.IDLE, ConnectionState.BUSY),
))  # fmt: skip


@dataclass(frozen=True, slots=True)
class Idle:
    """Since when a connection is idle, and from when it may be used again."""

    since: int
    usable_at: int


class ConnectionPool(Generic[Connection]):
    """All connections of a head to nodes, by node name."""

    def __init__(self, limit: int, idle_us: int) -> None:
        self.limit = limit
        self._idle_us = idle_us * IDLE_PARTS[0] // IDLE_PARTS[1]
        self._reuse_delay_us = min(REUSE_DELAY_US, self._idle_us // REUSE_DELAY_PART)
        self._state: dict[Connection, tuple[str, ConnectionState]] = {}
        self._idle: dict[str, dict[Connection, Idle]] = {}  # of each node, the most recent last

    def __len__(self) -> int:
        return len(self._state)

    def pick(self, node: str, now: int) -> Connection | None:
        """Return the idle connection to use; None to dial. The caller calls `transition` or `add_dialing`."""
        for connection, idle in reversed(self._idle.get(node, {}).items()):
            if now - idle.since >= self._idle_us:
                return None  # all before it have been idle for longer
            if now >= idle.usable_at:
                return connection
        return None

    def add_dialing(self, connection: Connection, node: str) -> Connection | None:
        """Add a new connection; return one to close for it if there are too many.

        Raises IllegalTransition if all are in use: see `has_capacity`.
        """
        victim: Connection | None = None
        if len(self._state) >= self.limit:
            victim = self._longest_idle()
            if victim is None:
                raise IllegalTransition("all connections to nodes are in use, and their limit is reached")
            self.remove(victim)
        self._state[connection] = (node, ConnectionState.DIALING)
        return victim

    @property
    def has_capacity(self) -> bool:
        """Whether a new connection may be made."""
        return len(self._state) < self.limit or self._longest_idle() is not None

    def _longest_idle(self) -> Connection | None:
        oldest = [next(iter(idle.items())) for idle in self._idle.values()]
        return min(oldest, key=lambda entry: entry[1].since)[0] if oldest else None

    def transition(self, connection: Connection, state: ConnectionState, now: int) -> None:
        """Move a connection to another state. Raises IllegalTransition, or KeyError if it was removed."""
        node, before = self._state[connection]
        if (before, state) not in CONNECTION_STEPS:
            raise IllegalTransition(f"a connection that is {before} can't become {state}")
        self._leave(connection, node, before)
        self._state[connection] = (node, state)
        if state is ConnectionState.IDLE:
            # A connection that has just been established has carried no request: nothing can arrive late.
            delay_us = self._reuse_delay_us if before is ConnectionState.BUSY else 0
            self._idle.setdefault(node, {})[connection] = Idle(now, now + delay_us)

    def _leave(self, connection: Connection, node: str, state: ConnectionState) -> None:
        if state is ConnectionState.IDLE:
            idle = self._idle[node]
            del idle[connection]
            if not idle:
                del self._idle[node]

    def state(self, connection: Connection) -> ConnectionState | None:
        """Return the state of a connection; None for a removed one."""
        known = self._state.get(connection)
        return known[1] if known else None

    def remove(self, connection: Connection) -> None:
        """Remove a connection, if it is known."""
        known = self._state.pop(connection, None)
        if known is not None:
            self._leave(connection, *known)

    def expired(self, now: int) -> list[Connection]:
        """Return the idle connections that their node may close at any moment."""
        return [
            connection
            for connections in self._idle.values()
            for connection, idle in connections.items()
            if now - idle.since >= self._idle_us
        ]

    def idle_connections(self, node: str) -> list[Connection]:
        """Return the idle connections of a node that was removed."""
        return list(self._idle.get(node, ()))
