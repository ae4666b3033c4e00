"""How long a suspicion lasts before its member is declared dead.

Source: Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection"
(DSN-W 2018), section IV-B: the timeout starts long and shrinks as others suspect the member independently, so
that a slow member that suspects every other has to wait for confirmations.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field


def min_timeout_us(probe_us: int, factor: float, members: int) -> int:
    """Return the shortest suspicion timeout in a fleet of `members`."""
    return int(factor * max(1.0, math.log10(max(1, members))) * probe_us)


def expected_confirmations(confirmations: int, members: int) -> int:
    """Return how many confirmations shorten the timeout fully; 0 if there are not as many others."""
    return confirmations if members - 2 >= confirmations else 0


@dataclass(slots=True)
class Suspicion:
    """The suspicion of one member since `began`; times in microseconds by the local clock."""

    began: int
    min_us: int
    max_us: int
    confirmations: int  # independent confirmations after which the timeout is the shortest
    by: list[str] = field(default_factory=list)  # members that suspect it, the first one first
    extension_us: int = 0  # extension for pauses of the local process

    @property
    def expires_at(self) -> int:
        """Return when the member is to be declared dead."""
        if not self.confirmations:
            return self.began + self.min_us + self.extension_us
        confirmed = min(len(self.by) - 1, self.confirmations)
        fraction = math.log(confirmed + 1) / math.log(self.confirmations + 1)
        timeout = self.max_us - (self.max_us - self.min_us) * fraction
        return self.began + max(self.min_us, int(timeout)) + self.extension_us

    def confirm(self, by: str) -> bool:
        """Count another member's suspicion; return whether it is new and should be disseminated."""
        if by in self.by or len(self.by) > self.confirmations:
            return False
        self.by.append(by)
        return True
