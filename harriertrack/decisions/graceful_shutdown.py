"""How a head leaves when it is asked to: it serves on while it may, then answers everything, and ends.

No I/O and no clock. SERVING until it is asked, then LAME_DUCK: the platform starts it again only after the
time at which it would kill it, and until then its clients have no other way to their volumes, so it serves on
over the connections there are. Shortly before, it is DRAINING: it listens no more, each answer asks its
client to leave, idle connections are closed. Just before the kill it is CLOSING: what is still open is
answered. ENDED when no connection is left, or when the last answers have had their time to leave.
"""

from __future__ import annotations

from enum import StrEnum

# The platform's promise: it kills no sooner than the longest deadline, or this if that is longer, ...
MAX_KILL_DEADLINE_US = 3_000_000
KILL_AFTER_US = 700_000  # ... and so much more after it has asked.
DRAIN_US = 250_000  # open requests are given so long: most are answered within it
KILL_MARGIN_US = 150_000  # the last answers leave so long before the kill: the processor may be busy ...
FINAL_SEND_US = 100_000  # ... and have so long until the process ends: it takes along what has not left


class Phase(StrEnum):
    """Where a head is in its life."""

    SERVING = "serving"
    LAME_DUCK = "lame duck"
    DRAINING = "draining"
    CLOSING = "closing"
    ENDED = "ended"


class GracefulShutdown:
    """The phase of a head; `longest_us` is the longest that a client waits for an answer."""

    def __init__(self, longest_us: int) -> None:
        self.phase = Phase.SERVING
        self._end_after_us = min(longest_us, MAX_KILL_DEADLINE_US) + KILL_AFTER_US - KILL_MARGIN_US
        self._asked_at = 0

    def begin(self, now: int) -> bool:
        """It is asked to leave; return whether that is news."""
        if self.phase is not Phase.SERVING:
            return False
        self.phase, self._asked_at = Phase.LAME_DUCK, now
        return True

    def advance(self, now: int, connections: int) -> Phase:
        """Return the phase as of now; `connections` is how many clients' connections there are."""
        since = now - self._asked_at
        if self.phase is Phase.LAME_DUCK and since >= self._end_after_us - DRAIN_US:
            self.phase = Phase.DRAINING  # for a look at least: what waits at the listener is taken first
        elif self.phase is Phase.DRAINING and since >= self._end_after_us:
            self.phase = Phase.CLOSING
        elif self.is_draining and (not connections or since >= self._end_after_us + FINAL_SEND_US):
            self.phase = Phase.ENDED
        return self.phase

    @property
    def is_draining(self) -> bool:
        """Whether clients are asked to go elsewhere."""
        return self.phase in (Phase.DRAINING, Phase.CLOSING, Phase.ENDED)
