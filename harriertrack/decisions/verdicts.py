"""When a difference between two variants may be called one: corrections, verdicts, how many seeds it takes.

Pure arithmetic on what the laboratory measured; the resampling itself is scipy's (`lab/statistics.py`).
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from statistics import NormalDist

MOST_SEEDS = 100_000


class Verdict(Enum):
    """What may be said of a variant beside the base."""

    BETTER = "better"
    WORSE = "worse"
    SAME = "same"  # the whole interval lies within the margin that nobody would notice
    CANT_TELL = "can't tell"


@dataclass(frozen=True, slots=True)
class PairedComparison:
    """One comparison: the mean difference, its interval, and the chance of seeing it if there were none."""

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
    more_seeds: int  # how many more would probably tell; 0 where a verdict was reached


def holm_adjust(p_values: Sequence[float]) -> list[float]:
    """Adjust chances for having compared several times (Holm, 1979): false alarms of all stay bounded."""
    order = sorted(range(len(p_values)), key=lambda at: p_values[at])
    adjusted, highest = [0.0] * len(p_values), 0.0
    for rank, at in enumerate(order):
        highest = max(highest, min(1.0, (len(p_values) - rank) * p_values[at]))
        adjusted[at] = highest
    return adjusted


def required_seeds(effect: float, deviation: float, alpha: float, power: float = 0.8) -> int:
    """Return how many pairs show an effect of this size with this power, by the normal approximation."""
    if not deviation:
        return 2
    if not effect:
        return MOST_SEEDS
    normal = NormalDist()
    distance = normal.inv_cdf(1 - alpha / 2) + normal.inv_cdf(power)
    return min(MOST_SEEDS, max(2, math.ceil((distance * deviation / effect) ** 2)))


def judge(
    comparisons: Sequence[PairedComparison], alpha: float = 0.05, margin: float = 0.002
) -> list[JudgedComparison]:
    """Give each comparison its verdict, corrected for how many there are.

    A difference needs both an adjusted chance under `alpha` and an interval on one side of zero. `margin` is
    the least difference worth acting on, in the units compared: an interval inside it says "same".
    """
    judged = []
    for one, p in zip(comparisons, holm_adjust([one.p for one in comparisons]), strict=True):
        verdict, more = Verdict.CANT_TELL, 0
        if p < alpha and one.low > 0:
            verdict = Verdict.BETTER
        elif p < alpha and one.high < 0:
            verdict = Verdict.WORSE
        elif -margin <= one.low and one.high <= margin:
            verdict = Verdict.SAME
        else:
            effect = max(abs(one.mean), margin)
            more = max(1, required_seeds(effect, one.deviation, alpha / len(comparisons)) - one.seeds)
        judged.append(JudgedComparison(one, p, verdict, more))
    return judged
