"""How long a suspicion lasts before its member is held dead.

Source: Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection"
(DSN-W 2018), section IV-B: it starts long and shrinks as others come to suspect the member independently, so
that a member that is slow itself, and suspects everybody, has to wait for others to agree.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field


def min_timeout_us(probe_us: int, factor: float, members: int) -> int:
    """Return the shortest time of a suspicion among so many members."""
    return int(factor * max(1.0, math.log10(max(1, members))) * probe_us)


def expected_confirmations(wanted: int, members: int) -> int:
    """Return how many others' agreement shortens it: none where there are not so many others."""
    return wanted if members - 2 >= wanted else 0


@dataclass(slots=True)
class Suspicion:
    """One member's, since `began`; times in microseconds by the holder's clock."""

    began: int
    least_us: int
    most_us: int
    wanted: int  # independent confirmations after which it is as short as it gets
    by: list[str] = field(default_factory=list)  # who suspects the member, the first one first
    shifted_us: int = 0  # for which its holder stood still

    @property
    def expires_at(self) -> int:
        """Return when the member is to be held dead."""
        if not self.wanted:
            return self.began + self.least_us + self.shifted_us
        agree = min(len(self.by) - 1, self.wanted)
        part = math.log(agree + 1) / math.log(self.wanted + 1)
        lasts = self.most_us - (self.most_us - self.least_us) * part
        return self.began + max(self.least_us, int(lasts)) + self.shifted_us

    def confirm(self, by: str) -> bool:
        """Take another's suspicion; return whether it was news that others should hear."""
        if by in self.by or len(self.by) > self.wanted:
            return False
        self.by.append(by)
        return True
