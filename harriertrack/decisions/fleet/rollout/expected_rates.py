"""The rate of bad answers expected of each head, from its baseline as far as known, and its uncertainty.

A head's own rate is shrunk towards that of all heads, according to how much heads differ at all
(Gamma-Poisson; the variance between heads by the method of moments, from all classes together and at least
what a class shows by itself). Without a baseline, as for a deciding head that took over among heads that do
not report theirs, all heads are expected to be alike, with the uncertainty of the old version's own counts.
Pure.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from harriertrack.decisions.fleet.rollout.answer_counts import LATENCY_BUCKETS, Tally
from harriertrack.decisions.fleet.rollout.plan import Measure

SLOW_FRACTION = 0.1  # of the answers served in the baseline were as slow as what is called slow
MIN_BAD_FRACTION = 0.1  # of a bound's `more`: no lower rate of bad answers is expected
MIN_VARIANCE = 0.02  # squared relative deviation between heads' rates: at least this
MAX_VARIANCE = 0.25  # ... at most this, and this where nothing is known


def count_bad(measure: Measure, tally: Tally, slow: int) -> int:
    """Return how many of a class's answers are bad by a measure; `slow`: the first slow bucket."""
    match measure:
        case Measure.WORTH:
            return tally.late + tally.refused + tally.failed
        case Measure.FAILED:
            return tally.failed
        case Measure.REFUSED:
            return tally.refused
        case Measure.SLOW:
            return sum(tally.latency_counts[slow:])
        case Measure.BROKEN:
            return tally.past_deadline


def count_answers(measure: Measure, tally: Tally) -> int:
    """Return how many answers a measure applies to."""
    return sum(tally.latency_counts) if measure is Measure.SLOW else tally.answers


def first_slow_bucket(latency_counts: list[int]) -> int:
    """Return the first bucket such that it and the later ones hold at most a tenth of the answers."""
    total, above = sum(latency_counts), 0
    for at in reversed(range(LATENCY_BUCKETS)):
        above += latency_counts[at]
        if above > SLOW_FRACTION * total:
            return at + 1
    return LATENCY_BUCKETS


@dataclass(frozen=True, slots=True)
class Rate:
    """The expected fraction of bad answers, and the relative variance of that estimate."""

    fraction: float
    relative_variance: float


@dataclass(slots=True)
class ExpectedRates:
    """Expected rates of all heads, from counts by head and class."""

    counts: Mapping[tuple[str, str], Tally]
    more: float  # as in the plan's bounds
    outliers: Collection[str] = ()  # heads whose counts do not apply to others
    _rates: dict[tuple[Measure, str, str], Rate] = field(default_factory=dict)
    _classes: dict[str, dict[str, Tally]] = field(default_factory=dict)
    _slow: dict[str, int] = field(default_factory=dict)
    _pools: dict[tuple[Measure, str], tuple[float, float]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for (head, class_name), tally in self.counts.items():
            if head not in self.outliers:
                self._classes.setdefault(class_name, {})[head] = tally

    def slow_from(self, class_name: str) -> int:
        """Return the first bucket of a class that counts as slow; without any counts no bucket does."""
        if class_name not in self._slow:
            total = Tally()
            for tally in self._classes.get(class_name, {}).values():
                total.add(tally)
            self._slow[class_name] = (
                first_slow_bucket(total.latency_counts) if total.answers else LATENCY_BUCKETS
            )
        return self._slow[class_name]

    def rate(self, measure: Measure, class_name: str, head: str) -> Rate:
        """Return the rate that is expected of a head."""
        key = (measure, class_name, head)
        if key not in self._rates:
            pooled, weight = self._pool(measure, class_name)
            own = self.counts.get((head, class_name), Tally())
            bad, n = count_bad(measure, own, self.slow_from(class_name)), count_answers(measure, own)
            fraction = pooled * (bad + weight) / (n * pooled + weight)
            raised = max(MIN_BAD_FRACTION * self.more, fraction)
            # Raising a rate to the minimum makes it no less certain: its absolute deviation stays the same.
            self._rates[key] = Rate(raised, (fraction / raised) ** 2 / (bad + weight))
        return self._rates[key]

    def _pool(self, measure: Measure, class_name: str) -> tuple[float, float]:
        """Return the rate of all heads, and how many bad answers of a head's own weigh as much as it."""
        key = (measure, class_name)
        if key not in self._pools:
            fraction, chi_square, freedom, expected = self._dispersion(measure, class_name)
            sums = [self._dispersion(measure, name)[1:] for name in self._classes]
            all_chi_square, all_freedom, all_expected = (sum(each[at] for each in sums) for at in range(3))
            # The standard deviation by chance alone is added for all classes, and subtracted for one.
            variance = (
                max((all_chi_square - all_freedom + (2 * all_freedom) ** 0.5) / all_expected,
                    (chi_square - freedom - (2 * freedom) ** 0.5) / expected if expected else 0.0)
                if all_expected else MAX_VARIANCE
            )  # fmt: skip
            self._pools[key] = fraction, 1 / min(MAX_VARIANCE, max(MIN_VARIANCE, variance))
        return self._pools[key]

    def _dispersion(self, measure: Measure, class_name: str) -> tuple[float, float, int, float]:
        """Return a class's rate, Pearson's sum over heads, its degrees of freedom, and the expected count."""
        slow = self.slow_from(class_name)
        tallies = self._classes.get(class_name, {}).values()
        heads = [(count_bad(measure, tally, slow), count_answers(measure, tally)) for tally in tallies]
        n = sum(each for _, each in heads)
        fraction = max(MIN_BAD_FRACTION * self.more, sum(bad for bad, _ in heads) / n if n else 0.0)
        chi_square = sum((bad - each * fraction) ** 2 / (each * fraction) for bad, each in heads if each)
        return fraction, chi_square, max(0, len(heads) - 1), n * fraction
