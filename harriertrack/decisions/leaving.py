"""How a head leaves when it is asked to: it takes what still comes, answers everything, and ends.

No I/O and no clock. SERVING until it is asked, then PARTING: new connections are taken, each answer asks its
client to leave. After that DRAINING: it listens no more, idle connections are closed, the rest is answered.
ENDED when nothing is open, or when all clients have given up.
"""

from __future__ import annotations

from enum import StrEnum

# Clients come to a head for some tenths of a second after it was asked to leave: they have not heard yet.
PART_US = 600_000


class Phase(StrEnum):
    """Where a head is in its life."""

    SERVING = "serving"
    PARTING = "parting"
    DRAINING = "draining"
    ENDED = "ended"


class Leaving:
    """The phase of a head; `longest_us` is the longest that a client waits for an answer."""

    def __init__(self, longest_us: int) -> None:
        self.phase = Phase.SERVING
        self._longest_us = longest_us
        self._asked_at = 0

    def ask(self, now: int) -> bool:
        """It is asked to leave; return whether that is news."""
        if self.phase is not Phase.SERVING:
            return False
        self.phase, self._asked_at = Phase.PARTING, now
        return True

    def look(self, now: int, unfinished: int) -> Phase:
        """Return the phase as of now; `unfinished` is how many connections have a request read or open."""
        since = now - self._asked_at
        if self.phase is Phase.PARTING and since >= PART_US:
            self.phase = Phase.DRAINING
        elif self.phase is Phase.DRAINING and (not unfinished or since >= PART_US + self._longest_us):
            self.phase = Phase.ENDED
        return self.phase

    @property
    def leaves(self) -> bool:
        """Whether clients are asked to go elsewhere."""
        return self.phase is not Phase.SERVING
