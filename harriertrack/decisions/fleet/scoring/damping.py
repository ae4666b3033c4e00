"""Moving a weight so that heads which share it do not all run to one node and back.

Three bounds. *Gain*: a weight rises no higher than the load that its node still bears: one taken for a
part f of its time bears 1 / f times what it gets. A node that is cold, or of which little is known, gets no
more than its even share: idleness is no merit. *Rate*: so much a second. *Turns*: whenever the wanted weight
comes to lie on the other side of the present one, the rate halves, down to a floor, and recovers slowly: if
the best node changes faster than weights can follow, they come to rest between (the sign rule of Riedmiller,
Braun, "RPROP", ICNN 1993, with its decrease alone and time in place of its increase).
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from harriertrack.decisions.fleet.scoring.rules import MAX_LOG_WEIGHT, ScoringRules
from harriertrack.decisions.fleet.scoring.snapshot import NodeObservation
from harriertrack.decisions.fleet.scoring.weights import clamp

DEAD_BAND = 0.05  # powers of two within which a weight is where it is wanted
ALL_TAKEN = 1.0


def weight_ceiling(sight: NodeObservation | None, rules: ScoringRules) -> float:
    """Return how high a node's weight may be, as a power of two."""
    if sight is None or sight.cold or sight.evidence < rules.evidence or sight.age_us < 0:
        return 0.0
    return min(MAX_LOG_WEIGHT, math.log2(ALL_TAKEN / max(sight.fill, 2.0**-MAX_LOG_WEIGHT)))


@dataclass(slots=True)
class DampedWeight:
    """One node's weight, as a power of two."""

    at: int
    log: float = 0.0
    gain: float = 1.0
    toward: int = 0  # where it was wanted last: 1 up, -1 down

    def move(self, now: int, wanted: float, rules: ScoringRules) -> float:
        """Move toward what is wanted, as far as the time since the last move lets it; return where it is."""
        us = max(0, now - self.at)
        self.at = now
        self.gain = min(1.0, self.gain * 2 ** (us / rules.calm_us))
        wanted = clamp(wanted)
        if abs(wanted - self.log) > DEAD_BAND:
            side = 1 if wanted > self.log else -1
            if self.toward == -side:
                self.gain = max(rules.least_gain, self.gain / 2)
            self.toward = side
        # A head that stood still has no windfall: what it missed is not made up in one step.
        most = rules.rate * self.gain * min(us, 2 * rules.look_us) / 1e6
        self.log = clamp(self.log + min(most, max(-most, wanted - self.log)))
        return self.log
