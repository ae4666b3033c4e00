"""Whether a version is worse: a sequential test that may be evaluated at any time.

Tick by tick and within each zone and class, bad answers of heads with the new version are compared with
those of heads with the old one: of all bad answers, how many come from the new ones? Without a difference
the fraction follows from how many answers each group gave and from each head's baseline, so whatever affects
all heads alike, now or since then, cancels; if the version is worse by `times` and `more`, the fraction is
larger. The likelihood ratio of the two hypotheses, each mixed over the uncertainty of the baseline, is a
test martingale: under either hypothesis it exceeds 1/p with a probability of at most p, however often it is
evaluated (Wald; Ville; Robbins for the mixtures).

If there are too few bad answers for that, a version is not worse if it has too few of them for a worse one,
measured against the heads' baseline. Only "not worse" can be concluded in this way. Pure.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from statistics import median

from harriertrack.decisions.fleet.rollout.answer_counts import Tally
from harriertrack.decisions.fleet.rollout.comparison import Arm, Comparison
from harriertrack.decisions.fleet.rollout.evidence import Evidence, Row, Usage
from harriertrack.decisions.fleet.rollout.expected_rates import ExpectedRates, count_answers, count_bad
from harriertrack.decisions.fleet.rollout.plan import Measure, Plan

BUSY_SHARE = 0.01  # of all answers: a class with fewer does not hold a stage up by having too few
FLEET_WORSE_LOG_RATIO = 12.0  # the whole fleet is worse than its baseline: logarithm of a likelihood ratio
REESTIMATE_TICKS = 15  # ticks between new estimates of the expected rates, where there is no baseline


class Verdict(Enum):
    """The conclusion from the evidence."""

    WORSE = "worse"
    NOT_WORSE = "not worse"
    NOT_YET = "not enough yet"
    FLEET_WORSE = "all are worse than before"  # the old heads too, or none is left to compare with


@dataclass(frozen=True, slots=True)
class Finding:
    """A verdict and its grounds."""

    verdict: Verdict
    why: str


Key = tuple[Measure, str, str]  # by class, or by zone


@dataclass(slots=True)
class SequentialTest:
    """The comparisons of one stage."""

    plan: Plan
    baseline: Mapping[tuple[str, str], Tally]
    outliers: Mapping[str, str] = field(default_factory=dict)  # left out while they run the new version; why
    comparisons: dict[Key, Comparison] = field(default_factory=dict)
    # Log ratio, expected bad answers.
    _fleet: dict[Measure, tuple[float, float]] = field(default_factory=dict)
    _old_counts: dict[tuple[str, str], Tally] = field(default_factory=dict)  # of old heads in this stage
    _expected: ExpectedRates | None = None
    _ticks: int = 0

    def set_baseline(self, baseline: Mapping[tuple[str, str], Tally], outliers: Mapping[str, str]) -> None:
        """Compare with another baseline from now on."""
        self.baseline, self.outliers, self._expected, self._ticks = baseline, outliers, None, 0

    def add_tick(self, rows: list[Row]) -> None:
        """Add the answers of one tick."""
        rows = [row for row in rows if not row.new or row.head not in self.outliers]
        rates = self._expected_rates(rows)
        strata: dict[tuple[str, str], list[Row]] = {}
        for row in rows:
            strata.setdefault((row.class_name, row.zone), []).append(row)
        for measure in self.plan.measures:
            totals = {True: Arm(), False: Arm()}
            for (class_name, zone), stratum in strata.items():
                arms = self._add_stratum(rates, measure, class_name, zone, stratum)
                for new, arm in arms.items():
                    totals[new].add(arm)
            self._add_fleet(measure, totals)
        for comparison in self.comparisons.values():
            comparison.end_tick()

    def _expected_rates(self, rows: list[Row]) -> ExpectedRates:
        more = self.plan.bounds.more
        if self.baseline:
            self._expected = self._expected or ExpectedRates(self.baseline, more, self.outliers)
            return self._expected
        for row in rows:
            if not row.new:
                self._old_counts.setdefault((row.head, row.class_name), Tally()).add(row.tally)
        if self._expected is None or self._ticks % REESTIMATE_TICKS == 0:
            self._expected = ExpectedRates(self._old_counts, more)
        self._ticks += 1
        return self._expected

    def _add_stratum(self, rates: ExpectedRates, measure: Measure, class_name: str, zone: str,
                     rows: list[Row]) -> dict[bool, Arm]:  # fmt: skip
        arms = {True: Arm(), False: Arm()}
        comparisons = [self.comparisons.setdefault(key, Comparison())
                       for key in ((measure, class_name, ""), (measure, "", zone))]  # fmt: skip
        for row in rows:
            rate, n = rates.rate(measure, class_name, row.head), count_answers(measure, row.tally)
            bad = count_bad(measure, row.tally, rates.slow_from(class_name))
            arms[row.new].add(Arm(n, bad, n * rate.fraction))
            for one in comparisons:
                one.add_head(row.head, row.new, bad, n * rate.fraction, rate.relative_variance)
        for one in comparisons:
            one.add_tick(arms[True], arms[False], self.plan.bounds.times, self.plan.bounds.more)
        return arms

    def _add_fleet(self, measure: Measure, arms: Mapping[bool, Arm]) -> None:
        """Update whether the old heads, or all if there are none, are worse than their baseline."""
        group = arms[False] if arms[False].n else arms[True]
        if not self.baseline or not group.n:
            return
        worse = self.plan.bounds.times * group.expected + self.plan.bounds.more * group.n
        gained = group.bad * math.log(worse / group.expected) - (worse - group.expected)
        ratio, expected = self._fleet.get(measure, (0.0, 0.0))
        self._fleet[measure] = (
            (ratio + gained, expected + group.expected) if ratio + gained > 0 else (0.0, 0.0)
        )

    def _is_fleet_worse(self, measure: Measure) -> bool:
        """Whether the fleet is worse than its baseline, allowing for how uncertain the baseline is."""
        ratio, expected = self._fleet.get(measure, (0.0, 0.0))
        known = sum(
            count_bad(measure, one, self._expected.slow_from(name)) if self._expected else 0
            for (_, name), one in self.baseline.items()
        )
        return ratio / self._dispersion(measure) / (1 + expected / (1 + known)) >= FLEET_WORSE_LOG_RATIO

    def _dispersion(self, measure: Measure) -> float:
        """Return how many times that of chance the variance of old heads over time is, for all classes."""
        both = [one.scatter for (of, name, _), one in self.comparisons.items() if of is measure and name]
        freedom = sum(freedom for _, freedom in both)
        return max(1.0, sum(chi_square for chi_square, _ in both) / freedom) if freedom else 1.0

    def evaluate(self, at: int, alone: bool = False) -> Finding:
        """Return the finding for stage `at` (from 0); `alone`: no head of the old version is left."""
        bounds, least = self.plan.bounds, self.plan.stages[at].least
        early = any(stage.least for stage in self.plan.stages[at + 1 :])
        tests = max(1, len(self.comparisons)) * len(self.plan.stages)
        stops = math.log(tests / bounds.wrongly)
        passes = math.log((bounds.early if early else bounds.missed) / 2)
        dispersion = {measure: self._dispersion(measure) for measure in self.plan.measures}
        ratios = {key: one.log_ratios(dispersion[key[0]]) for key, one in self.comparisons.items()}
        for key in sorted(ratios, key=lambda key: -ratios[key][0]):
            if ratios[key][0] < stops:
                break
            if self.comparisons[key].is_material(bounds.times, bounds.more):
                return Finding(Verdict.WORSE, _describe(key, self.comparisons[key]))
        for measure in self.plan.measures:
            if self._is_fleet_worse(measure):
                who = "all heads" if alone else "the other heads"
                return Finding(Verdict.FLEET_WORSE, f"{measure.value}: {who} are worse than before")
        if not least:
            return Finding(Verdict.NOT_WORSE, "nothing is waited for")
        first = [one for key, one in self.comparisons.items() if key[1] and key[0] is self.plan.measures[0]]
        total = sum(one.new.n + one.old.n for one in first)
        for key, one in self.comparisons.items():
            busy = one.new.n + one.old.n >= BUSY_SHARE * total
            if key[1] and busy and one.new.n < least and key[0] is not Measure.SLOW:
                return Finding(Verdict.NOT_YET, f"{one.new.n} of {least} answers of class {key[1]}")
            if one.new.n >= least and ratios[key][1] > passes:
                return Finding(Verdict.NOT_YET, _describe(key, one))
        if not any(one.new.n for one in first):
            left_out = "; ".join(
                f"{head} is not believed, {why}" for head, why in sorted(self.outliers.items())
            )
            return Finding(Verdict.NOT_YET, f"no answers yet{left_out and ': ' + left_out}")
        return Finding(Verdict.NOT_WORSE, f"{sum(one.new.n for one in first)} answers")


def _describe(key: Key, comparison: Comparison) -> str:
    measure, class_name, zone = key
    where = f"class {class_name}" if class_name else f"zone {zone or '-'}"
    new, old = comparison.new, comparison.old
    return (
        f"{measure.value} in {where}: {new.bad} of {new.n}, {old.bad} of {old.n} elsewhere; "
        f"{new.expected:.1f} and {old.expected:.1f} expected"
    )


def excess_usage(evidence: Evidence, plan: Plan) -> str:
    """Return which resource grew beyond its bound, relative to the baseline and to the other heads; or ""."""
    for what, limit, measure in (
        ("memory", plan.bounds.memory, _memory), ("processor", plan.bounds.processor, _processor),
    ):  # fmt: skip
        mine, others = (_growth(evidence.usage_pairs(new), measure) for new in (True, False))
        if limit and mine is not None and mine > limit * (others if others is not None else 1.0):
            return f"{what}: {mine:.2f} times what it was, {others or 1.0:.2f} times elsewhere"
    return ""


def _memory(usage: Usage) -> float:
    return usage.memory


def _processor(usage: Usage) -> float:
    return usage.processor_us / usage.answers if usage.answers else 0.0


def _growth(usages: Iterable[tuple[Usage, Usage]], measure: Callable[[Usage], float]) -> float | None:
    growth = [measure(after) / measure(before) for before, after in usages if measure(before) > 0]
    return median(growth) if growth else None
