"""One comparison of heads that run the version with heads that do not, and with their own baseline. Pure.

Of all bad answers in a tick, chance gives a certain fraction to the heads with the version: it follows from
what was expected of both groups if the version is no worse, and is larger if it is worse. The expectation is
uncertain (`variance`), so the fraction has a Beta distribution and the counts are beta-binomial; against the
baseline they are, in the same way, negative binomial. Bad answers come in clusters, so as many of them count
as one as the variance of the old heads over time exceeds that of chance (`dispersion`).
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

PRIOR_FREEDOM = 4.0  # degrees of freedom of the prior, by which the dispersion is 2 before any is observed
HARMS = (1.0, 4.0, 16.0)  # times the bounds: finds far worse versions although the baseline is uncertain
MIN_FRACTION = 1e-6  # of bad answers
MIN_VARIANCE = 1e-6
CALM = 20.0  # weight, in bad answers, of the assumption that the fleet is as in the baseline
BLOCK_TICKS = 10  # the dispersion shows clusters that last as long


@dataclass(slots=True)
class Arm:
    """Answers of one group of heads, in a tick or in total."""

    n: int = 0
    bad: int = 0
    expected: float = 0.0

    def add(self, other: Arm) -> None:
        """Add the answers of another."""
        self.n += other.n
        self.bad += other.bad
        self.expected += other.expected


@dataclass(slots=True)
class Comparison:
    """One comparison: a measure for a class, or for a zone."""

    new: Arm = field(default_factory=Arm)
    old: Arm = field(default_factory=Arm)
    # Bad answers in ticks in which both groups answered: of both (n), of new heads (bad), and the expected of
    # new heads.
    concurrent: Arm = field(default_factory=Arm)
    expected_if_worse: list[float] = field(default_factory=lambda: [0.0] * len(HARMS))  # of those, by harm
    own_expected: float = 0.0  # of new heads by their baseline
    own_expected_if_worse: float = 0.0
    _uncertainty: dict[tuple[str, bool], list[float]] = field(default_factory=dict)  # expected, deviation
    _block: dict[str, float] = field(default_factory=dict)
    _last_block: dict[str, float] = field(default_factory=dict)
    _ticks: int = 0
    _chi_square: float = 2 * PRIOR_FREEDOM
    _freedom: float = PRIOR_FREEDOM

    def add_head(self, head: str, new: bool, bad: int, expected: float, variance: float) -> None:
        """Add the answers of one head in this tick; `variance`: relative, of what was expected."""
        sums = self._uncertainty.setdefault((head, new), [0.0, 0.0])
        sums[0] += expected
        sums[1] += expected * math.sqrt(variance)
        if not new:
            self._block[head] = self._block.get(head, 0.0) + bad

    def add_tick(self, new: Arm, old: Arm, times: float, more: float) -> None:
        """Add the answers in one tick of all heads with the version, and of all without."""
        self.old.add(old)
        if not new.n:
            return
        self.new.add(new)
        if old.n:
            both = new.bad + old.bad
            fraction = new.expected / (new.expected + old.expected)
            self.concurrent.add(Arm(both, new.bad, both * fraction))
            for at, harm in enumerate(HARMS):
                worse = max(min(harm * (times * new.expected + more * new.n), new.n), new.expected)
                self.expected_if_worse[at] += both * worse / (worse + old.expected)
        # If the whole fleet did worse in the baseline than it does now, the version is measured against now.
        calmer = min(1.0, (self.old.bad + CALM) / (self.old.expected + CALM))
        self.own_expected += calmer * new.expected
        self.own_expected_if_worse += calmer * times * new.expected + more * new.n

    def end_tick(self) -> None:
        """End a tick; after each block of them, update how unevenly over time the old heads did."""
        self._ticks += 1
        if self._ticks % BLOCK_TICKS:
            return
        now, before = self._block, self._last_block
        self._block, self._last_block = {}, now
        if not before:
            return
        both = now.keys() & before.keys()
        totals = [sum(block[head] for head in both) for block in (before, now)]
        if not all(totals):
            return
        fraction = totals[1] / sum(totals)
        for head in both:
            if (pair := now[head] + before[head]) > 0:
                self._chi_square += (now[head] - pair * fraction) ** 2 / (pair * fraction * (1 - fraction))
                self._freedom += 1
        self._freedom -= 1

    @property
    def scatter(self) -> tuple[float, float]:
        """Return Pearson's sum for old heads over time, and its degrees of freedom."""
        return self._chi_square, self._freedom

    def _relative_variance(self, new: bool) -> float:
        group = [sums for (_, is_new), sums in self._uncertainty.items() if is_new is new]
        total = sum(expected for expected, _ in group)
        return sum(deviation**2 for _, deviation in group) / total**2 if total else 0.0

    def log_ratios(self, dispersion: float) -> tuple[float, float]:
        """Return log likelihood ratios: of "worse", and one that has to be low for "no worse".

        Worse: compared with the other heads, by the bounds or several times those (a mixture of tests is a
        test). No worse: by less than the bounds, compared with the other heads or with the own baseline.
        """
        dispersion, new = max(dispersion, self._chi_square / self._freedom), self._relative_variance(True)
        new *= dispersion  # bad answers came in clusters in the baseline too
        variance, concurrent = new + dispersion * self._relative_variance(False), self.concurrent
        bad, good = concurrent.bad / dispersion, (concurrent.n - concurrent.bad) / dispersion
        ratios = [0.0] * len(HARMS)
        if concurrent.n:
            usual = _beta_binomial(bad, good, concurrent.expected / concurrent.n, variance)
            ratios = [
                _beta_binomial(bad, good, worse / concurrent.n, variance) - usual
                for worse in self.expected_if_worse
            ]
        mine = self.new.bad / dispersion
        own = _negative_binomial(mine, self.own_expected_if_worse / dispersion, new) - _negative_binomial(
            mine, self.own_expected / dispersion, new
        )
        return max(ratios) - math.log(len(HARMS)), min(ratios[0], own)

    def is_material(self, times: float, more: float) -> bool:
        """Whether heads with the version are worse than the others by at least half of the bounds."""
        usual = self.new.expected * (self.old.bad + 1) / (self.old.expected + 1)
        return self.new.bad - usual >= ((times - 1) * usual + more * self.new.n) / 2


def _beta_binomial(bad: float, good: float, fraction: float, variance: float) -> float:
    """Return the logarithm of a beta-binomial probability, up to terms independent of `fraction`."""
    fraction = min(max(fraction, MIN_FRACTION), 1 - MIN_FRACTION)
    size = 1 / (max(variance, MIN_VARIANCE) * fraction * (1 - fraction))
    a, b = size * fraction, size * (1 - fraction)
    return _log_rising(a, bad) + _log_rising(b, good) - _log_rising(size, bad + good)


def _log_rising(base: float, steps: float) -> float:
    return math.lgamma(base + steps) - math.lgamma(base)


def _negative_binomial(bad: float, expected: float, variance: float) -> float:
    """Return the logarithm of a negative binomial probability, up to terms independent of `expected`."""
    if expected <= 0:
        return 0.0
    shape = 1 / max(variance, MIN_VARIANCE)
    return bad * math.log(expected / (expected + shape)) - shape * math.log1p(expected / shape)
