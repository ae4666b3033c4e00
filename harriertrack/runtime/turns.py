"""Turns: one task lets many connections act one after another, a bounded number of them in a round."""

from __future__ import annotations

from typing import Protocol

from harriertrack.runtime.hub import Hub, Waiters


class TurnTaker(Protocol):
    """Acts for a while, and never waits."""

    def take_turn(self) -> None:
        """Do what is due now."""


class TurnQueue:
    """Those that wait for a turn, in the order in which they asked for it.

    A task for each of them would take some 7 KiB of stack. Between `per_round` turns everything else goes on:
    other streams, timers and the end-of-round callbacks.
    """

    def __init__(self, hub: Hub, per_round: int) -> None:
        self._hub, self._per_round = hub, per_round
        self._queue: dict[TurnTaker, None] = {}
        self._added = Waiters(hub)

    def add(self, taker: TurnTaker) -> None:
        """Ask for a turn, in the next round at the earliest; asking twice is asking once."""
        self._queue[taker] = None
        self._added.notify()

    def wait_for_all(self) -> None:
        """Let everybody have a turn who waits for one, or whose bytes have just come."""
        self._hub.sleep(0)
        for _ in range(0, len(self._queue), self._per_round):
            self._hub.sleep(0)

    def discard(self, taker: TurnTaker) -> None:
        """Withdraw: there is no turn to take any more."""
        self._queue.pop(taker, None)

    def run(self) -> None:
        """Give turns (a task)."""
        while True:
            while not self._queue:
                self._added.wait()
            for _ in range(min(self._per_round, len(self._queue))):
                self._give_turn()
            if self._queue:
                self._hub.sleep(0)

    def _give_turn(self) -> None:
        taker = next(iter(self._queue), None)
        if taker is not None:  # else an earlier turn ended the others
            del self._queue[taker]
            taker.take_turn()
