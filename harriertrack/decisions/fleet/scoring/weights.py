"""From scores to weights: bounded to [1/4, 4], their geometric mean 1, moving no faster than they may.

Weights are kept as powers of two: -2 to 2.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from harriertrack.decisions.fleet.scoring.rules import MAX_LOG_WEIGHT

STEPS = 48  # halvings of the span in which the common factor is sought


def clamp(log: float) -> float:
    """Return a weight within its bounds."""
    return min(MAX_LOG_WEIGHT, max(-MAX_LOG_WEIGHT, log))


def normalise(scores: Mapping[str, float]) -> dict[str, float]:
    """Return weights for scores: each in its bounds, zero in the mean, in the order of the scores.

    The common factor is the one at which the bounded weights come to nothing in sum; their sum rises with it,
    so it is found by halving.
    """
    logs = {name: math.log2(score) for name, score in scores.items()}
    if not logs:
        return {}
    low, high = -max(logs.values()) - MAX_LOG_WEIGHT, -min(logs.values()) + MAX_LOG_WEIGHT
    for _ in range(STEPS):
        middle = (low + high) / 2
        if sum(clamp(log + middle) for log in logs.values()) < 0:
            low = middle
        else:
            high = middle
    return {name: clamp(log + high) for name, log in logs.items()}


def weight_factor(log: float) -> float:
    """Return a weight as what it is multiplied with: 1/4 to 4."""
    return 2.0 ** clamp(log)
