"""Graceful shutdown of a head: it serves for as long as it may, then answers every request, and exits.

No I/O and no clock. SERVING until a shutdown is requested, then LAME_DUCK: the platform starts the head again
only after the time at which it would kill it, and until then its clients have no other path to their volumes,
so it keeps serving over the existing connections. Shortly before the kill it is DRAINING: it stops listening,
each answer asks its client to leave, idle connections are closed. Just before the kill it is CLOSING: open
requests are answered. ENDED when no connection is left before that, else when the final answers have had
their time to leave: nobody waits for an earlier end.

The final answers are due so long before the kill that they leave even if the process is paused in between.
"""

from __future__ import annotations

from enum import StrEnum

from harriertrack.decisions.process_pause import MAX_PAUSE_US

# The platform guarantees not to kill before the longest deadline, capped at this ...
MAX_KILL_DEADLINE_US = 3_000_000
KILL_AFTER_US = 700_000  # ... plus this much after its request to shut down.
DRAIN_US = 150_000  # open requests are given this long: most are answered within it
SEND_US = 100_000  # the final answers leave within this, also where the processor is busy
KILL_MARGIN_US = MAX_PAUSE_US + SEND_US  # between the final answers and the kill
EXIT_MARGIN_US = 50_000  # between the exit of the process and the kill
FINAL_SEND_US = KILL_MARGIN_US - EXIT_MARGIN_US  # after the final answers: what has not left by then is lost
CHECK_PERIOD_US = 20_000  # how often a head that is shutting down checks whether a phase has begun


class Phase(StrEnum):
    """Phase of a head's lifecycle."""

    SERVING = "serving"
    LAME_DUCK = "lame duck"
    DRAINING = "draining"
    CLOSING = "closing"
    ENDED = "ended"


class GracefulShutdown:
    """The phase of a head; `longest_us` is the longest time that a client waits for an answer."""

    def __init__(self, longest_us: int) -> None:
        self.phase = Phase.SERVING
        self._close_after_us = min(longest_us, MAX_KILL_DEADLINE_US) + KILL_AFTER_US - KILL_MARGIN_US
        self._drain_after_us = self._close_after_us - DRAIN_US
        self._asked_at = 0

    def begin(self, asked_at: int) -> bool:
        """Begin the shutdown; return False if it has begun already.

        `asked_at` is the earliest time at which the request to shut down may have been made: the platform
        counts from then, however late this process got to see it.
        """
        if self.phase is not Phase.SERVING:
            return False
        self.phase, self._asked_at = Phase.LAME_DUCK, asked_at
        return True

    def advance(self, now: int, connections: int) -> Phase:
        """Return the phase as of now; `connections` is how many clients' connections there are."""
        since = now - self._asked_at
        if self.phase is Phase.LAME_DUCK and since >= self._drain_after_us:
            # For at least one check: connections that wait at the listener are accepted first.
            self.phase = Phase.DRAINING
        elif self.phase is Phase.DRAINING and since >= self._close_after_us:
            self.phase = Phase.CLOSING
        elif self._is_over(since, connections):
            self.phase = Phase.ENDED
        return self.phase

    def _is_over(self, since_us: int, connections: int) -> bool:
        if self.phase is Phase.DRAINING:
            return not connections
        return self.phase is Phase.CLOSING and since_us >= self._close_after_us + FINAL_SEND_US

    def next_check_at(self, now: int) -> int:
        """Return when `advance` is to be called again: soon, and at the beginning of a phase exactly."""
        begins = (self._asked_at + self._drain_after_us, self._asked_at + self._close_after_us)
        return min([now + CHECK_PERIOD_US, *(at for at in begins if at > now)])

    @property
    def is_draining(self) -> bool:
        """Whether clients are asked to leave."""
        return self.phase in (Phase.DRAINING, Phase.CLOSING, Phase.ENDED)
