"""Clients' connections to a head: which of them are closed, and when.

No I/O and no clock. A connection is NEW until its first byte, READING until a request is whole, BUSY until
that is answered, SENDING until the answer's last byte has left, then IDLE; or LINGERING after a last answer:
the sending side is shut, and what still comes is discarded until the client ends it too, for a close over
unread bytes resets a connection and takes the answer along. Those that say nothing or send half a request
must not hold a place; nor those that have asked once and stay, for clients may hold only so many connections
for requests; nor those that linger.

What has come over a connection may not have been read yet. `silent` looks, and is asked only of those that
are about to be closed.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from enum import StrEnum
from itertools import islice
from typing import Generic, TypeVar

from harriertrack.decisions.lifecycle import IllegalTransition

# Clients send once they are connected: one that has not after this goes first where places are short ...
FIRST_BYTE_US = 200_000
NEW_US = 800_000  # ... and at last after this.
READ_US = 1_800_000  # the longest that a request may take to be whole; both together stay under the 3 s owed
PARTIAL_REQUEST_US = 500_000  # half a request may go after this where places are short and nobody idles
IDLE_US = 5_000_000  # an idle one goes after this though there is room: most clients come back sooner
MAX_LATENESS_US = (
    500_000  # an answer is worth nothing so long after its client's time: then nobody waits for it
)
LINGER_US = 500_000  # a client that reads what it is sent has the last answer by then
LINGER_BYTES = 1 << 20  # discarded at most meanwhile: the largest request, many times over
ACCEPTS_PER_ROUND = 16  # connections taken in a row, before what came over others has its turn
MAX_BACKLOG = 1024  # connections that the system holds for a listener at most, about
MAX_EXAMINED = 8  # connections of one state looked at for one newcomer: a flood of them must not cost more
# A client's end shows when its connection is looked at. An attempt may begin so long after the last look: it
# has to begin within 0.1 s of the end.
DISCONNECT_KNOWN_US = 30_000

C = TypeVar("C", bound=Hashable)


class ClientState(StrEnum):
    """Where a client's connection is."""

    NEW = "new"
    READING = "reading"
    BUSY = "busy"
    SENDING = "sending"
    IDLE = "idle"
    LINGERING = "lingering"


CLIENT_STEPS = frozenset((
    (ClientState.NEW, ClientState.READING), (ClientState.NEW, ClientState.BUSY),
    (ClientState.READING, ClientState.BUSY), (ClientState.BUSY, ClientState.SENDING),
    (ClientState.SENDING, ClientState.IDLE), (ClientState.SENDING, ClientState.LINGERING),
    (ClientState.IDLE, ClientState.READING), (ClientState.IDLE, ClientState.BUSY),
    # What can't be read, or not in time, is answered without having been a request.
    (ClientState.NEW, ClientState.SENDING), (ClientState.READING, ClientState.SENDING),
    (ClientState.IDLE, ClientState.SENDING),
))  # fmt: skip
STATE_TIMEOUTS = (
    (ClientState.NEW, NEW_US), (ClientState.READING, READ_US), (ClientState.IDLE, IDLE_US),
    (ClientState.LINGERING, LINGER_US),
)  # fmt: skip
VICTIMS = ((ClientState.NEW, FIRST_BYTE_US), (ClientState.IDLE, 0), (ClientState.READING, PARTIAL_REQUEST_US))


def _never_looks(_connection: object) -> bool:
    """Without a look, nothing unread is known of."""
    return True


class ClientConnections(Generic[C]):
    """All clients' connections of a head, each state's in the order in which they came to it.

    There are `limit` places. Of those that have asked, `used_limit` are kept: above that, the longest
    idle one goes for each newcomer.
    """

    def __init__(self, limit: int, used_limit: int) -> None:
        self.limit, self.used_limit = limit, used_limit
        self._at: dict[ClientState, dict[C, int]] = {state: {} for state in ClientState}
        self._state: dict[C, ClientState] = {}
        self._sends_until: dict[C, int] = {}

    def __len__(self) -> int:
        return len(self._state)

    def accept(self, connection: C, now: int, silent: Callable[[C], bool] = _never_looks) -> C | None:
        """Take a new connection; return one to close for it, itself perhaps, if there are too many."""
        victim: C | None = None
        if len(self._state) >= self.limit:
            victim = next(iter(self._at[ClientState.LINGERING]), None)
            if victim is None:
                victim = self._victim(now, silent)
            if victim is None:
                return connection
        elif self._asked >= self.used_limit:
            victim = self._first(ClientState.IDLE, now, silent)
        if victim is not None:
            self.remove(victim)
        self._state[connection] = ClientState.NEW
        self._at[ClientState.NEW][connection] = now
        return victim

    @property
    def _asked(self) -> int:
        states = (ClientState.IDLE, ClientState.BUSY, ClientState.SENDING)
        return sum(len(self._at[state]) for state in states)

    def _victim(self, now: int, silent: Callable[[C], bool]) -> C | None:
        """One that is silent, else the longest idle one, else half a request.

        An idle one goes however short it has idled: its client can ask again on a new connection, and loses
        nothing where its request crosses the close. A newcomer that is turned away loses what it came with.
        """
        for state, least in VICTIMS:
            if (connection := self._first(state, now - least, silent)) is not None:
                return connection
        return None

    def _first(self, state: ClientState, until: int, silent: Callable[[C], bool]) -> C | None:
        """The one that has been in a state for longest, since a time at the latest, and is silent."""
        for connection, since in islice(self._at[state].items(), MAX_EXAMINED):
            if since > until:
                break
            if silent(connection):
                return connection
        return None

    def transition(self, connection: C, state: ClientState, now: int) -> None:
        """A connection comes to a state. Raises IllegalTransition, or KeyError for one that is gone."""
        before = self._state[connection]
        if (before, state) not in CLIENT_STEPS:
            raise IllegalTransition(f"a connection that is {before} can't become {state}")
        del self._at[before][connection]
        self._state[connection] = state
        self._at[state][connection] = now
        self._sends_until.pop(connection, None)

    def start_sending(self, connection: C, until: int, now: int) -> None:
        """An answer is on its way over a connection; nobody waits for it any more at a time."""
        self.transition(connection, ClientState.SENDING, now)
        self._sends_until[connection] = until

    def state(self, connection: C) -> ClientState | None:
        """Return where a connection is; None for one that is gone."""
        return self._state.get(connection)

    def remove(self, connection: C) -> None:
        """Forget a connection, if it is known."""
        state = self._state.pop(connection, None)
        if state is not None:
            del self._at[state][connection]
        self._sends_until.pop(connection, None)

    def expired(self, now: int) -> list[C]:
        """Return those to be closed now: they are silent, read, idle, send or linger for too long."""
        late = [connection for connection, until in self._sends_until.items() if now >= until]
        for state, most in STATE_TIMEOUTS:
            for connection, since in self._at[state].items():
                if now - since < most:
                    break
                late.append(connection)
        return late

    def idle_connections(self, now: int) -> list[C]:
        """Return all over which nothing is asked; new ones are given the time in which clients send."""
        late = [
            connection
            for connection, since in self._at[ClientState.NEW].items()
            if now - since >= FIRST_BYTE_US
        ]
        return [*self._at[ClientState.IDLE], *late]

    def partially_read(self) -> list[C]:
        """Return those over which a part of a request has come."""
        return list(self._at[ClientState.READING])
