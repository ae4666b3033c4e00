"""Connections to shelfs: which one a request takes, when a new one is made, and which are closed.

No I/O and no clock. One request at a time goes over a connection, so a shelf has as many as there are
requests out to it at once. A new one costs the shelf work and its first request time: they are kept while the
shelf keeps them, and the one used last is taken first, so that what a burst needed falls idle and ends.
"""

from __future__ import annotations

from collections.abc import Hashable
from enum import StrEnum
from typing import Generic, TypeVar

from harriertrack.decisions.life import IllegalStep

# A shelf closes what idles for the settings' time "at the latest": what is written after that is lost.
IDLE_PARTS = (2, 3)
# What belongs to no answer may come behind one, and would answer the next request: a connection rests so long
# before it is used again, and one over which something comes meanwhile is closed. A shelf that does not set
# TCP_NODELAY has a second small write held back until the first is acknowledged; that may take 40 ms.
REST_US = 50_000
REST_PART = 4  # where connections are kept for a short time, they rest for this part of it at most

W = TypeVar("W", bound=Hashable)


class WayState(StrEnum):
    """Where a connection to a shelf is."""

    DIALING = "dialing"
    BUSY = "busy"
    IDLE = "idle"


WAY_STEPS = frozenset((
    (WayState.DIALING, WayState.BUSY), (WayState.DIALING, WayState.IDLE),
    (WayState.BUSY, WayState.IDLE), (WayState.IDLE, WayState.BUSY),
))  # fmt: skip


class Ways(Generic[W]):
    """All connections to shelfs of a head, by the shelf's name."""

    def __init__(self, most: int, idle_us: int) -> None:
        self.most = most
        self._idle_us = idle_us * IDLE_PARTS[0] // IDLE_PARTS[1]
        self._rest_us = min(REST_US, self._idle_us // REST_PART)
        self._state: dict[W, tuple[str, WayState]] = {}
        self._idle: dict[str, dict[W, int]] = {}  # of each shelf, the latest last

    def __len__(self) -> int:
        return len(self._state)

    def pick(self, shelf: str, now: int) -> W | None:
        """Return the idle connection to take, None to dial; the caller then says `step` or `dials`."""
        for way, since in reversed(self._idle.get(shelf, {}).items()):
            if now - since >= self._idle_us:
                return None  # all before it have idled for longer
            if now - since >= self._rest_us:
                return way
        return None

    def dials(self, way: W, shelf: str) -> W | None:
        """A new connection is made; return one to close for it if there are too many.

        Raises IllegalStep where all are in use: see `room`.
        """
        victim: W | None = None
        if len(self._state) >= self.most:
            victim = self._longest_idle()
            if victim is None:
                raise IllegalStep("as many connections to shelfs are in use as there may be")
            self.gone(victim)
        self._state[way] = (shelf, WayState.DIALING)
        return victim

    @property
    def room(self) -> bool:
        """Whether a new connection may be made."""
        return len(self._state) < self.most or self._longest_idle() is not None

    def _longest_idle(self) -> W | None:
        firsts = [next(iter(idle.items())) for idle in self._idle.values()]
        return min(firsts, key=lambda first: first[1])[0] if firsts else None

    def step(self, way: W, state: WayState, now: int) -> None:
        """A connection comes to a state. Raises IllegalStep, or KeyError for one that is gone."""
        shelf, before = self._state[way]
        if (before, state) not in WAY_STEPS:
            raise IllegalStep(f"a connection that is {before} can't become {state}")
        self._leave(way, shelf, before)
        self._state[way] = (shelf, state)
        if state is WayState.IDLE:
            self._idle.setdefault(shelf, {})[way] = now

    def _leave(self, way: W, shelf: str, state: WayState) -> None:
        if state is WayState.IDLE:
            idle = self._idle[shelf]
            del idle[way]
            if not idle:
                del self._idle[shelf]

    def state(self, way: W) -> WayState | None:
        """Return where a connection is; None for one that is gone."""
        known = self._state.get(way)
        return known[1] if known else None

    def gone(self, way: W) -> None:
        """Forget a connection, if it is known."""
        known = self._state.pop(way, None)
        if known is not None:
            self._leave(way, *known)

    def overdue(self, now: int) -> list[W]:
        """Return the idle ones that their shelf may close any moment."""
        return [way for idle in self._idle.values() for way, since in idle.items()
                if now - since >= self._idle_us]  # fmt: skip

    def idle_of(self, shelf: str) -> list[W]:
        """Return the idle ones of a shelf, which is gone."""
        return list(self._idle.get(shelf, ()))
