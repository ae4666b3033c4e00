"""Clients' connections to a head: which of them are closed, and when.

No I/O and no clock. A connection is NEW until its first byte, READING until a request is complete, BUSY until
that is answered, SENDING until the last byte of the answer has left, then IDLE; or LINGERING after a final
answer: the sending side is shut down, and what still arrives is discarded until the client closes too,
because closing a socket with unread bytes resets the connection, and the client loses the answer. Connections
that send nothing or half a request must not hold a slot; nor those that stay open after a request, because
clients may hold only so many connections for requests; nor those that linger.

Bytes that have arrived on a connection may not have been read yet. The callback `silent` checks for them; it
is called only for connections that are about to be closed.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from enum import StrEnum
from itertools import islice
from typing import Generic, TypeVar

from harriertrack.decisions.lifecycle import IllegalTransition

# Clients send as soon as they are connected: one that has not by now is evicted first if slots are short ...
FIRST_BYTE_US = 200_000
NEW_US = 800_000  # ... and in any case after this.
READ_US = 1_800_000  # the most for reading a request; both together are below the 3 s owed to clients
PARTIAL_REQUEST_US = 500_000  # half a request is evicted after this if slots are short and none is idle
IDLE_US = 5_000_000  # idle ones are closed after this even if slots are free: most clients return sooner
MAX_LATENESS_US = 500_000  # after this long past the client's deadline an answer is worthless, and abandoned
LINGER_US = 500_000  # a client that reads what it is sent has the final answer by then
LINGER_BYTES = 1 << 20  # at most this much is discarded meanwhile: many times the largest request
READ_BYTES = 80 << 10  # the most that is read of a connection in one round: a whole request
TURNS_PER_ROUND = 64  # connections that are read in a row before nodes and timers are handled
# Unread bytes behind an open request from which its client counts as gone: clients send one request at a
# time, and behind so many the end of the connection may not even have arrived.
MAX_UNREAD_BYTES = 16 << 10
ACCEPTS_PER_ROUND = 16  # connections accepted in a row before data on other connections is handled
MAX_BACKLOG = 1024  # about the most connections that the system queues for a listener
MAX_EXAMINED = 8  # connections of one state examined for one newcomer: bounds the cost under a flood of them
# A client's disconnect is noticed when its connection is checked. An attempt may begin this long after the
# last check: it has to begin within 0.1 s of the disconnect.
DISCONNECT_KNOWN_US = 30_000

Client = TypeVar("Client", bound=Hashable)


class ClientState(StrEnum):
    """State of a client's connection."""

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
    # Input that can't be parsed, or not in time, is answered without having been a request.
    (ClientState.NEW, ClientState.SENDING), (ClientState.READING, ClientState.SENDING),
    (ClientState.IDLE, ClientState.SENDING),
))  # fmt: skip
STATE_TIMEOUTS = (
    (ClientState.NEW, NEW_US), (ClientState.READING, READ_US), (ClientState.IDLE, IDLE_US),
    (ClientState.LINGERING, LINGER_US),
)  # fmt: skip
EVICTION_ORDER = (
    (ClientState.NEW, FIRST_BYTE_US), (ClientState.IDLE, 0), (ClientState.READING, PARTIAL_REQUEST_US),
)  # fmt: skip


def _assume_silent(_connection: object) -> bool:
    """Without a check, no unread data is known."""
    return True


class ClientConnections(Generic[Client]):
    """All clients' connections of a head, those of each state in the order in which they entered it.

    There are `limit` slots. Of the connections that have carried a request `used_limit` are kept: above that,
    the longest idle one is closed for each newcomer.
    """

    def __init__(self, limit: int, used_limit: int) -> None:
        self.limit, self.used_limit = limit, used_limit
        self._entered_at: dict[ClientState, dict[Client, int]] = {state: {} for state in ClientState}
        self._state: dict[Client, ClientState] = {}
        self._send_deadline: dict[Client, int] = {}

    def __len__(self) -> int:
        return len(self._state)

    def accept(
        self, connection: Client, now: int, silent: Callable[[Client], bool] = _assume_silent
    ) -> Client | None:
        """Add a new connection; return one to close for it, possibly itself, if there are too many."""
        victim: Client | None = None
        if len(self._state) >= self.limit:
            victim = next(iter(self._entered_at[ClientState.LINGERING]), None)
            if victim is None:
                victim = self._victim(now, silent)
            if victim is None:
                return connection
        elif self._used_count >= self.used_limit:
            victim = self._first(ClientState.IDLE, now, silent)
        if victim is not None:
            self.remove(victim)
        self._state[connection] = ClientState.NEW
        self._entered_at[ClientState.NEW][connection] = now
        return victim

    @property
    def _used_count(self) -> int:
        states = (ClientState.IDLE, ClientState.BUSY, ClientState.SENDING)
        return sum(len(self._entered_at[state]) for state in states)

    def _victim(self, now: int, silent: Callable[[Client], bool]) -> Client | None:
        """Return a connection that has sent nothing, else the longest idle, else one with half a request.

        An idle one is evicted however briefly it has idled: its client can connect again, and loses nothing
        if its request crosses the close. A newcomer that is refused loses the request that it came with.
        """
        for state, min_age_us in EVICTION_ORDER:
            if (connection := self._first(state, now - min_age_us, silent)) is not None:
                return connection
        return None

    def _first(self, state: ClientState, until: int, silent: Callable[[Client], bool]) -> Client | None:
        """Return the silent connection that has been in a state longest, if it entered by `until`."""
        for connection, since in islice(self._entered_at[state].items(), MAX_EXAMINED):
            if since > until:
                break
            if silent(connection):
                return connection
        return None

    def transition(self, connection: Client, state: ClientState, now: int) -> None:
        """Move a connection to another state. Raises IllegalTransition, or KeyError if it was removed."""
        before = self._state[connection]
        if (before, state) not in CLIENT_STEPS:
            raise IllegalTransition(f"a connection that is {before} can't become {state}")
        del self._entered_at[before][connection]
        self._state[connection] = state
        self._entered_at[state][connection] = now
        self._send_deadline.pop(connection, None)

    def start_sending(self, connection: Client, until: int, now: int) -> None:
        """Start sending an answer over a connection; it is worthless after `until`."""
        self.transition(connection, ClientState.SENDING, now)
        self._send_deadline[connection] = until

    def state(self, connection: Client) -> ClientState | None:
        """Return the state of a connection; None for a removed one."""
        return self._state.get(connection)

    def remove(self, connection: Client) -> None:
        """Remove a connection, if it is known."""
        state = self._state.pop(connection, None)
        if state is not None:
            del self._entered_at[state][connection]
        self._send_deadline.pop(connection, None)

    def expired(self, now: int) -> list[Client]:
        """Return those to close now: new, reading, idle, sending or lingering for too long."""
        late = [connection for connection, until in self._send_deadline.items() if now >= until]
        for state, timeout_us in STATE_TIMEOUTS:
            for connection, since in self._entered_at[state].items():
                if now - since < timeout_us:
                    break
                late.append(connection)
        return late

    def idle_connections(self, now: int) -> list[Client]:
        """Return all without a request; new ones are given the time within which clients send."""
        late = [
            connection
            for connection, since in self._entered_at[ClientState.NEW].items()
            if now - since >= FIRST_BYTE_US
        ]
        return [*self._entered_at[ClientState.IDLE], *late]

    def all(self) -> list[Client]:
        """Return all connections."""
        return list(self._state)

    def partially_read(self) -> list[Client]:
        """Return those that have received part of a request."""
        return list(self._entered_at[ClientState.READING])
