"""Clients' connections to a head: which of them are closed, and when.

No I/O and no clock. A connection is NEW until its first byte, READS until a request is whole, is BUSY until
that is answered, then IDLE. Those that say nothing or send half a request must not hold a place; nor those
that have asked once and stay, for clients may hold only so many connections for requests.
"""

from __future__ import annotations

from collections.abc import Hashable
from enum import StrEnum
from typing import Generic, TypeVar

from harriertrack.decisions.life import IllegalStep

# Clients send once they are connected: one that has not after this goes first where places are short ...
SILENT_US = 200_000
NEW_US = 800_000  # ... and at last after this.
READ_US = 1_800_000  # the longest that a request may take to be whole; both together stay under the 3 s owed
HALF_US = 500_000  # half a request may go after this where places are short and nobody idles
IDLE_US = 5_000_000  # an idle one goes after this though there is room: most clients come back sooner

C = TypeVar("C", bound=Hashable)


class CallerState(StrEnum):
    """Where a client's connection is."""

    NEW = "new"
    READING = "reading"
    BUSY = "busy"
    IDLE = "idle"


CALLER_STEPS = frozenset((
    (CallerState.NEW, CallerState.READING), (CallerState.NEW, CallerState.BUSY),
    (CallerState.READING, CallerState.BUSY), (CallerState.BUSY, CallerState.IDLE),
    (CallerState.IDLE, CallerState.READING), (CallerState.IDLE, CallerState.BUSY),
))  # fmt: skip
LONGEST = ((CallerState.NEW, NEW_US), (CallerState.READING, READ_US), (CallerState.IDLE, IDLE_US))
VICTIMS = ((CallerState.NEW, SILENT_US), (CallerState.IDLE, 0), (CallerState.READING, HALF_US))


class Callers(Generic[C]):
    """All clients' connections of a head, each state's in the order in which they came to it.

    There are `most` places. Of those that have asked, `most_asked` are kept: above that, the longest idle one
    goes for each newcomer.
    """

    def __init__(self, most: int, most_asked: int) -> None:
        self.most, self.most_asked = most, most_asked
        self._at: dict[CallerState, dict[C, int]] = {state: {} for state in CallerState}
        self._state: dict[C, CallerState] = {}

    def __len__(self) -> int:
        return len(self._state)

    def came(self, caller: C, now: int) -> C | None:
        """Take a new connection; return one to close for it, itself perhaps, if there are too many."""
        victim: C | None = None
        if len(self._state) >= self.most:
            victim = self._victim(now)
            if victim is None:
                return caller
        elif len(self._at[CallerState.IDLE]) + len(self._at[CallerState.BUSY]) >= self.most_asked:
            victim = next(iter(self._at[CallerState.IDLE]), None)
        if victim is not None:
            self.gone(victim)
        self._state[caller] = CallerState.NEW
        self._at[CallerState.NEW][caller] = now
        return victim

    def _victim(self, now: int) -> C | None:
        """One that is silent, else the longest idle one, else half a request.

        An idle one goes however short it has idled: its client can ask again on a new connection, and loses
        nothing where its request crosses the close. A newcomer that is turned away loses what it came with.
        """
        for state, least in VICTIMS:
            caller, since = next(iter(self._at[state].items()), (None, now))
            if caller is not None and now - since >= least:
                return caller
        return None

    def step(self, caller: C, state: CallerState, now: int) -> None:
        """A connection comes to a state. Raises IllegalStep, or KeyError for one that is gone."""
        before = self._state[caller]
        if (before, state) not in CALLER_STEPS:
            raise IllegalStep(f"a connection that is {before} can't become {state}")
        del self._at[before][caller]
        self._state[caller] = state
        self._at[state][caller] = now

    def state(self, caller: C) -> CallerState | None:
        """Return where a connection is; None for one that is gone."""
        return self._state.get(caller)

    def gone(self, caller: C) -> None:
        """Forget a connection, if it is known."""
        state = self._state.pop(caller, None)
        if state is not None:
            del self._at[state][caller]

    def overdue(self, now: int) -> list[C]:
        """Return those to be closed now: they are silent, read or idle for too long."""
        late = []
        for state, most in LONGEST:
            for caller, since in self._at[state].items():
                if now - since < most:
                    break
                late.append(caller)
        return late

    def idle(self) -> list[C]:
        """Return all over which nothing is asked."""
        return [*self._at[CallerState.IDLE], *self._at[CallerState.NEW]]

    @property
    def unfinished(self) -> int:
        """How many have a request that is read or open."""
        return len(self._at[CallerState.READING]) + len(self._at[CallerState.BUSY])
