"""Graceful shutdown of a head: it serves for as long as it may, then answers every request, and exits.

No I/O and no clock. SERVING until a shutdown is requested, then LAME_DUCK: the platform starts the head again
only after the time at which it would kill it, and until then its clients have no other path to their volumes,
so it keeps serving over the existing connections. Shortly before the kill it is DRAINING: it stops listening,
each answer asks its client to leave, idle connections are closed. Just before the kill it is CLOSING: open
requests are answered. ENDED when no connection is left, or when the final answers have had their time to
leave.
"""

from __future__ import annotations

from enum import StrEnum

# The platform guarantees not to kill before the longest deadline, capped at this ...
MAX_KILL_DEADLINE_US = 3_000_000
KILL_AFTER_US = 700_000  # ... plus this much after its request to shut down.
DRAIN_US = 250_000  # open requests are given this long: most are answered within it
KILL_MARGIN_US = 150_000  # final answers are sent this long before the kill: the processor may be busy ...
FINAL_SEND_US = 100_000  # ... and have this long until the process exits: what has not left by then is lost


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
        self._end_after_us = min(longest_us, MAX_KILL_DEADLINE_US) + KILL_AFTER_US - KILL_MARGIN_US
        self._asked_at = 0

    def begin(self, now: int) -> bool:
        """Begin the shutdown; return False if it has begun already."""
        if self.phase is not Phase.SERVING:
            return False
        self.phase, self._asked_at = Phase.LAME_DUCK, now
        return True

    def advance(self, now: int, connections: int) -> Phase:
        """Return the phase as of now; `connections` is how many clients' connections there are."""
        since = now - self._asked_at
        if self.phase is Phase.LAME_DUCK and since >= self._end_after_us - DRAIN_US:
            # For at least one check: connections that wait at the listener are accepted first.
            self.phase = Phase.DRAINING
        elif self.phase is Phase.DRAINING and since >= self._end_after_us:
            self.phase = Phase.CLOSING
        elif self.is_draining and (not connections or since >= self._end_after_us + FINAL_SEND_US):
            self.phase = Phase.ENDED
        return self.phase

    @property
    def is_draining(self) -> bool:
        """Whether clients are asked to leave."""
        return self.phase in (Phase.DRAINING, Phase.CLOSING, Phase.ENDED)
