"""Lets connections handle what they have read in the order in which it arrived.

Only heads with a class that asks for order have this. Of what one connection sent at once only the arrival
of the last byte is known, so it counts as a whole. One read is released for each sweep, as its connection may
hold more that arrived before what others sent.
"""

from __future__ import annotations

from typing import Protocol

from harriertrack.decisions.arrival_order import ArrivalOrder
from harriertrack.runtime.hub import Event, Hub, Waiters


class Reader(Protocol):
    """A connection whose task reads and handles."""

    def __hash__(self) -> int:
        """Hash by identity, so that connections are distinct keys."""


class OrderedReads:
    """The reads that wait for their turn, and the connection whose turn it is."""

    def __init__(self, hub: Hub) -> None:
        self._hub = hub
        self._arrivals: ArrivalOrder[Reader] = ArrivalOrder()
        self._granted: dict[Reader, Event] = {}
        self._current: Reader | None = None
        self._read, self._passed_on = Waiters(hub), Waiters(hub)

    def take_turn(self, reader: Reader, arrived_at: int) -> None:
        """Wait until all that arrived before a read was handled; the turn lasts until `pass_on`."""
        granted = self._granted[reader] = Event(self._hub)
        self._arrivals.hold(reader, arrived_at)
        self._read.notify()
        try:
            granted.wait()
        except BaseException:
            self._arrivals.discard(reader)
            raise
        finally:
            del self._granted[reader]

    def pass_on(self, reader: Reader) -> None:
        """End a connection's turn, if it is its turn: it has handled its read, or has to wait."""
        if self._current is reader:
            self._current = None
            self._passed_on.notify()

    def run(self) -> None:
        """Give turns (a task)."""
        while True:
            while not self._arrivals.begin_sweep():
                self._read.wait()
            self._hub.sleep(0)  # every connection that waits for bytes reads what has arrived
            for reader in self._arrivals.end_sweep(most=1):
                self._current = reader
                self._granted[reader].set()
                while self._current is not None:
                    self._passed_on.wait()
