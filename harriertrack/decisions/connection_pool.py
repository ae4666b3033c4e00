"""Connections to storage nodes: which one a request takes, when a new one is made, and which are closed.

No I/O and no clock. One request at a time goes over a connection, so a node has as many as there are
requests out to it at once. A new one costs the node work and its first request time: they are kept while the
node keeps them, and the one used last is taken first, so that what a burst needed falls idle and ends.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from enum import StrEnum
from typing import Generic, TypeVar

from harriertrack.decisions.lifecycle import IllegalTransition

# A node closes what idles for the settings' time "at the latest": what is written after that is lost.
IDLE_PARTS = (2, 3)
# What belongs to no answer may come behind one, and would answer the next request: a connection rests so long
# before it is used again, and one over which something comes meanwhile is closed. A node that does not set
# TCP_NODELAY has a second small write held back until the first is acknowledged; that may take 40 ms.
REUSE_DELAY_US = 50_000
REST_PART = 4  # where connections are kept for a short time, they rest for this part of it at most

W = TypeVar("W", bound=Hashable)


class ConnectionState(StrEnum):
    """Where a connection to a node is."""

    DIALING = "dialing"
    BUSY = "busy"
    IDLE = "idle"


CONNECTION_STEPS = frozenset((
    (ConnectionState.DIALING, ConnectionState.BUSY), (ConnectionState.DIALING, ConnectionState.IDLE),
    (ConnectionState.BUSY, ConnectionState.IDLE), (ConnectionState.IDLE, ConnectionState.BUSY),
))  # fmt: skip


@dataclass(frozen=True, slots=True)
class Idle:
    """Since when a connection is idle, and from when on it may be used."""

    since: int
    usable_at: int


class ConnectionPool(Generic[W]):
    """All connections to nodes of a head, by the node's name."""

    def __init__(self, limit: int, idle_us: int) -> None:
        self.limit = limit
        self._idle_us = idle_us * IDLE_PARTS[0] // IDLE_PARTS[1]
        self._rest_us = min(REUSE_DELAY_US, self._idle_us // REST_PART)
        self._state: dict[W, tuple[str, ConnectionState]] = {}
        self._idle: dict[str, dict[W, Idle]] = {}  # of each node, the latest last

    def __len__(self) -> int:
        return len(self._state)

    def pick(self, node: str, now: int) -> W | None:
        """Return the idle connection to take, None to dial; the caller then says `step` or `dials`."""
        for connection, idle in reversed(self._idle.get(node, {}).items()):
            if now - idle.since >= self._idle_us:
                return None  # all before it have idled for longer
            if now >= idle.usable_at:
                return connection
        return None

    def add_dialing(self, connection: W, node: str) -> W | None:
        """A new connection is made; return one to close for it if there are too many.

        Raises IllegalTransition where all are in use: see `room`.
        """
        victim: W | None = None
        if len(self._state) >= self.limit:
            victim = self._longest_idle()
            if victim is None:
                raise IllegalTransition("as many connections to nodes are in use as there may be")
            self.remove(victim)
        self._state[connection] = (node, ConnectionState.DIALING)
        return victim

    @property
    def has_capacity(self) -> bool:
        """Whether a new connection may be made."""
        return len(self._state) < self.limit or self._longest_idle() is not None

    def _longest_idle(self) -> W | None:
        firsts = [next(iter(idle.items())) for idle in self._idle.values()]
        return min(firsts, key=lambda first: first[1].since)[0] if firsts else None

    def transition(self, connection: W, state: ConnectionState, now: int) -> None:
        """A connection comes to a state. Raises IllegalTransition, or KeyError for one that is gone."""
        node, before = self._state[connection]
        if (before, state) not in CONNECTION_STEPS:
            raise IllegalTransition(f"a connection that is {before} can't become {state}")
        self._leave(connection, node, before)
        self._state[connection] = (node, state)
        if state is ConnectionState.IDLE:
            # Over a connection that has just come up nothing was asked: nothing can come late.
            rest_us = self._rest_us if before is ConnectionState.BUSY else 0
            self._idle.setdefault(node, {})[connection] = Idle(now, now + rest_us)

    def _leave(self, connection: W, node: str, state: ConnectionState) -> None:
        if state is ConnectionState.IDLE:
            idle = self._idle[node]
            del idle[connection]
            if not idle:
                del self._idle[node]

    def state(self, connection: W) -> ConnectionState | None:
        """Return where a connection is; None for one that is gone."""
        known = self._state.get(connection)
        return known[1] if known else None

    def remove(self, connection: W) -> None:
        """Forget a connection, if it is known."""
        known = self._state.pop(connection, None)
        if known is not None:
            self._leave(connection, *known)

    def expired(self, now: int) -> list[W]:
        """Return the idle ones that their node may close any moment."""
        return [
            connection
            for connections in self._idle.values()
            for connection, idle in connections.items()
            if now - idle.since >= self._idle_us
        ]

    def idle_connections(self, node: str) -> list[W]:
        """Return the idle ones of a node, which is gone."""
        return list(self._idle.get(node, ()))
