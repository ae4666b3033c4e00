"""Damping of a weight, so that heads which share it do not all move their load to one node and back.

Three bounds. *Ceiling*: a weight rises no higher than the load that its node can bear: one with utilisation f
bears 1 / f times its present load. A cold node, or one with little evidence, gets no more than its equal
share, as being idle says nothing about its speed. *Rate*: a limit per second. *Turns*: whenever the target
crosses to the other side of the present weight, the rate halves, down to a floor, and recovers slowly: if the
best node changes faster than weights can follow, they settle in between (the sign rule of Riedmiller, Braun,
"RPROP", ICNN 1993, with only its decrease, and time in place of its increase).
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from harriertrack.decisions.fleet.scoring.rules import MAX_LOG_WEIGHT, ScoringRules
from harriertrack.decisions.fleet.scoring.snapshot import NodeObservation
from harriertrack.decisions.fleet.scoring.weights import clamp

DEAD_BAND = 0.05  # powers of two; a weight this close to its target has reached it
FULL_LOAD = 1.0


def weight_ceiling(node: NodeObservation | None, rules: ScoringRules) -> float:
    """Return the highest weight of a node, as a power of two."""
    if node is None or node.cold or node.evidence < rules.evidence or node.age_us < 0:
        return 0.0
    return min(MAX_LOG_WEIGHT, math.log2(FULL_LOAD / max(node.fill, 2.0**-MAX_LOG_WEIGHT)))


@dataclass(slots=True)
class DampedWeight:
    """One node's weight, as a power of two."""

    at: int
    log: float = 0.0
    gain: float = 1.0
    direction: int = 0  # of the last target: 1 up, -1 down

    def move(self, now: int, target: float, rules: ScoringRules) -> float:
        """Move towards the target, as far as the time since the last move allows; return the weight."""
        elapsed_us = max(0, now - self.at)
        self.at = now
        self.gain = min(1.0, self.gain * 2 ** (elapsed_us / rules.calm_us))
        target = clamp(target)
        if abs(target - self.log) > DEAD_BAND:
            side = 1 if target > self.log else -1
            if self.direction == -side:
                self.gain = max(rules.least_gain, self.gain / 2)
            self.direction = side
        # After a standstill the weight does not move further than in two intervals: lost time is not made up.
        limit = rules.rate * self.gain * min(elapsed_us, 2 * rules.look_us) / 1e6
        self.log = clamp(self.log + min(limit, max(-limit, target - self.log)))
        return self.log
