"""What is to be expected of each head: how it went there before, as far as that is known, and how surely.

A head's own figure is drawn to that of all heads by how much heads differ at all (Gamma and Poisson, the
difference by the method of moments, from all classes together and at least what a class shows by itself).
Without a time before, as for who took over in the middle of heads that do not tell it, all are expected to
be alike, as surely as those of the old version are. Pure.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from harriertrack.decisions.fleet.rollout.answer_counts import LATENCY_BUCKETS, Tally
from harriertrack.decisions.fleet.rollout.plan import Measure

SLOWEST = 0.1  # of what was served before was as slow as what is called slow
LEAST_BADLY = 0.1  # of a bound's `more`: nothing is taken to go badly more seldom
ALIKE = 0.02  # heads' rates differ by this squared deviation at least, as parts of the mean
UNLIKE = 0.25  # ... and by this where nothing is known, and at most


def count_bad(measure: Measure, tally: Tally, slow: int) -> int:
    """Return how many of a class's answers went badly."""
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
    """Return of how many answers that is."""
    return sum(tally.latency_counts) if measure is Measure.SLOW else tally.answers


def first_slow_bucket(took: list[int]) -> int:
    """Return the first bucket from which on at most a tenth lies."""
    whole, above = sum(took), 0
    for at in reversed(range(LATENCY_BUCKETS)):
        above += took[at]
        if above > SLOWEST * whole:
            return at + 1
    return LATENCY_BUCKETS


@dataclass(frozen=True, slots=True)
class Rate:
    """Which part goes badly, and the squared relative deviation of that figure."""

    fraction: float
    relative_variance: float


@dataclass(slots=True)
class ExpectedRates:
    """Rates of all heads, from counts by head and class."""

    counts: Mapping[tuple[str, str], Tally]
    more: float  # the bound's
    outliers: Collection[str] = ()  # heads that say nothing of others
    _rates: dict[tuple[Measure, str, str], Rate] = field(default_factory=dict)
    _classes: dict[str, dict[str, Tally]] = field(default_factory=dict)
    _slow: dict[str, int] = field(default_factory=dict)
    _pools: dict[tuple[Measure, str], tuple[float, float]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for (head, class_name), tally in self.counts.items():
            if head not in self.outliers:
                self._classes.setdefault(class_name, {})[head] = tally

    def slow_from(self, class_name: str) -> int:
        """Return from which bucket on a class's answers are slow; where nothing is known nothing is."""
        if class_name not in self._slow:
            whole = Tally()
            for one in self._classes.get(class_name, {}).values():
                whole.add(one)
            self._slow[class_name] = (
                first_slow_bucket(whole.latency_counts) if whole.answers else LATENCY_BUCKETS
            )
        return self._slow[class_name]

    def rate(self, measure: Measure, class_name: str, head: str) -> Rate:
        """Return what is to be expected at a head."""
        key = (measure, class_name, head)
        if key not in self._rates:
            pool, weight = self._pool(measure, class_name)
            own = self.counts.get((head, class_name), Tally())
            bad, n = count_bad(measure, own, self.slow_from(class_name)), count_answers(measure, own)
            part = pool * (bad + weight) / (n * pool + weight)
            least = max(LEAST_BADLY * self.more, part)
            # Raised to the least, a figure is no less sure than it was: its own deviation stays.
            self._rates[key] = Rate(least, (part / least) ** 2 / (bad + weight))
        return self._rates[key]

    def _pool(self, measure: Measure, class_name: str) -> tuple[float, float]:
        """Return the part of all heads, and how many bad answers of its own outweigh it."""
        key = (measure, class_name)
        if key not in self._pools:
            part, uneven, freedom, expected = self._uneven(measure, class_name)
            sums = [self._uneven(measure, name)[1:] for name in self._classes]
            all_uneven, all_freedom, all_expected = (sum(each[at] for each in sums) for at in range(3))
            # What chance alone gives has a standard deviation: more than seen by all, less by one class.
            differ = (
                max((all_uneven - all_freedom + (2 * all_freedom) ** 0.5) / all_expected,
                    (uneven - freedom - (2 * freedom) ** 0.5) / expected if expected else 0.0)
                if all_expected else UNLIKE
            )  # fmt: skip
            self._pools[key] = part, 1 / min(UNLIKE, max(ALIKE, differ))
        return self._pools[key]

    def _uneven(self, measure: Measure, class_name: str) -> tuple[float, float, int, float]:
        """Return a class's part, Pearson's sum over heads, its degrees of freedom, and what was expected."""
        slow = self.slow_from(class_name)
        some = self._classes.get(class_name, {}).values()
        heads = [(count_bad(measure, one, slow), count_answers(measure, one)) for one in some]
        n = sum(each for _, each in heads)
        part = max(LEAST_BADLY * self.more, sum(bad for bad, _ in heads) / n if n else 0.0)
        uneven = sum((bad - each * part) ** 2 / (each * part) for bad, each in heads if each)
        return part, uneven, max(0, len(heads) - 1), n * part
