"""Clients' connections to a head: which of them are closed, and when.

No I/O and no clock. A connection READS until a request is whole, is BUSY until that is answered, then IDLE.
What reads for too long is ended: a client that sends half a request, or connects and says nothing, must not
hold a place. An idle one may be closed after a while, and is where places are short.
"""

from __future__ import annotations

from collections.abc import Hashable
from enum import StrEnum
from typing import Generic, TypeVar

from harriertrack.decisions.life import IllegalStep

READ_US = 2_000_000  # the longest that a request may take to be whole; senders are on the same network
SILENT_US = 500_000  # one that has asked for nothing yet may go after this where places are short
# An idle one goes after this: those that asked once and stay would fill all places otherwise, and clients may
# hold only so many for requests. Ten such a second were seen, with 128 places.
IDLE_US = 5_000_000

C = TypeVar("C", bound=Hashable)


class CallerState(StrEnum):
    """Where a client's connection is."""

    READING = "reading"
    BUSY = "busy"
    IDLE = "idle"


CALLER_STEPS = frozenset((
    (CallerState.READING, CallerState.BUSY), (CallerState.BUSY, CallerState.IDLE),
    (CallerState.IDLE, CallerState.READING), (CallerState.IDLE, CallerState.BUSY),
))  # fmt: skip


class Callers(Generic[C]):
    """All clients' connections of a head, each state's in the order in which they came to it."""

    def __init__(self, most: int) -> None:
        self.most = most
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
            self.gone(victim)
        self._state[caller] = CallerState.READING
        self._at[CallerState.READING][caller] = now
        return victim

    def _victim(self, now: int) -> C | None:
        """The one that has been idle longest, else the one that has been reading longest.

        However short it has idled: its client can ask again on a new connection, and loses nothing where its
        request crosses the close. A newcomer that is turned away loses the request that it came with.
        """
        for state, least in ((CallerState.IDLE, 0), (CallerState.READING, SILENT_US)):
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
        """Return those to be closed now: they read or idle for too long."""
        late = []
        for state, most in ((CallerState.READING, READ_US), (CallerState.IDLE, IDLE_US)):
            for caller, since in self._at[state].items():
                if now - since < most:
                    break
                late.append(caller)
        return late

    def idle(self) -> list[C]:
        """Return all that are idle."""
        return list(self._at[CallerState.IDLE])

    @property
    def unfinished(self) -> int:
        """How many have a request that is read or open."""
        return len(self._state) - len(self._at[CallerState.IDLE])
