"""Conversion of scores to weights: within [1/4, 4], with a geometric mean of 1.

Weights are stored as powers of two: -2 to 2.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from harriertrack.decisions.fleet.scoring.rules import MAX_LOG_WEIGHT

BISECTIONS = 48  # bisections of the interval that contains the common factor


def clamp(log: float) -> float:
    """Return a weight within its bounds."""
    return min(MAX_LOG_WEIGHT, max(-MAX_LOG_WEIGHT, log))


def normalise(scores: Mapping[str, float]) -> dict[str, float]:
    """Return weights for scores: each within its bounds, zero in the mean, in the order of the scores.

    The common factor is the one at which the sum of the bounded weights is zero; the sum rises with it, so it
    is found by bisection.
    """
    logs = {name: math.log2(score) for name, score in scores.items()}
    if not logs:
        return {}
    low, high = -max(logs.values()) - MAX_LOG_WEIGHT, -min(logs.values()) + MAX_LOG_WEIGHT
    for _ in range(BISECTIONS):
        middle = (low + high) / 2
        if sum(clamp(log + middle) for log in logs.values()) < 0:
            low = middle
        else:
            high = middle
    return {name: clamp(log + high) for name, log in logs.items()}


def weight_factor(log: float) -> float:
    """Return a weight as a factor: 1/4 to 4."""
    return 2.0 ** clamp(log)
