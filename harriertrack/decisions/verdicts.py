"""When a difference between two variants is significant: corrections, verdicts, the number of seeds needed.

Pure arithmetic on measurements of the laboratory; the resampling itself is scipy's (`lab/statistics.py`).
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from statistics import NormalDist

MAX_SEEDS = 100_000


class Verdict(Enum):
    """How a variant compares with the base."""

    BETTER = "better"
    WORSE = "worse"
    SAME = "same"  # the entire interval lies within the margin of no practical difference
    CANT_TELL = "can't tell"


@dataclass(frozen=True, slots=True)
class PairedComparison:
    """One comparison: the mean difference, its interval, and the p-value of there being none."""

    name: str
    mean: float
    low: float
    high: float
    p: float
    deviation: float  # of the paired differences
    seeds: int


@dataclass(frozen=True, slots=True)
class JudgedComparison:
    """A comparison with its verdict."""

    comparison: PairedComparison
    p_adjusted: float
    verdict: Verdict
    more_seeds: int  # how many more would probably decide it; 0 if a verdict was reached


def holm_adjust(p_values: Sequence[float]) -> list[float]:
    """Adjust p-values for multiple comparisons (Holm, 1979), bounding the chance of any false alarm."""
    order = sorted(range(len(p_values)), key=lambda index: p_values[index])
    adjusted, highest = [0.0] * len(p_values), 0.0
    for rank, index in enumerate(order):
        highest = max(highest, min(1.0, (len(p_values) - rank) * p_values[index]))
        adjusted[index] = highest
    return adjusted


def required_seeds(effect: float, deviation: float, alpha: float, power: float = 0.8) -> int:
    """Return how many pairs detect an effect of this size with this power, by the normal approximation."""
    if not deviation:
        return 2
    if not effect:
        return MAX_SEEDS
    normal = NormalDist()
    distance = normal.inv_cdf(1 - alpha / 2) + normal.inv_cdf(power)
    return min(MAX_SEEDS, max(2, math.ceil((distance * deviation / effect) ** 2)))


def judge(
    comparisons: Sequence[PairedComparison], alpha: float = 0.05, margin: float = 0.002
) -> list[JudgedComparison]:
    """Return the verdict of each comparison, corrected for their number.

    A difference needs both an adjusted p-value below `alpha` and an interval on one side of zero. `margin` is
    the smallest difference worth acting on, in the units compared: an interval inside it means "same".
    """
    judged = []
    for comparison, p in zip(
        comparisons, holm_adjust([comparison.p for comparison in comparisons]), strict=True
    ):
        verdict, more = Verdict.CANT_TELL, 0
        if p < alpha and comparison.low > 0:
            verdict = Verdict.BETTER
        elif p < alpha and comparison.high < 0:
            verdict = Verdict.WORSE
        elif -margin <= comparison.low and comparison.high <= margin:
            verdict = Verdict.SAME
        else:
            effect = max(abs(comparison.mean), margin)
            more = max(
                1, required_seeds(effect, comparison.deviation, alpha / len(comparisons)) - comparison.seeds
            )
        judged.append(JudgedComparison(comparison, p, verdict, more))
    return judged
