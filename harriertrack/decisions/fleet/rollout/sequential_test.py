"""Whether a version is worse: a sequential test that may be looked at at any time.

Compared are, tick by tick and within each zone and class, requests that went badly at heads of the new
version and of the old: of all that did, how many fall to the new ones? Without a difference a part that is
known from how much they did and how each did before (so what strikes all alike, now or since then, cancels);
if the version is worse by `times` and `more`, a larger part. The likelihood ratio of the two, each mixed over
what is not known of "before", is a test martingale: under either it passes 1/p with a chance of at most p,
however often one looks (Wald; Ville; Robbins for the mixtures).

Where too little goes badly for that, a version is not worse if it goes badly too seldom for one that is,
measured by how heads did before. Only "not worse" is ever said so. Pure.
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

BUSY = 0.01  # of all answers: a class with fewer decides nothing by having too few
TROUBLE = 12.0  # the whole fleet is worse than before, by the logarithm of a ratio
ANEW = 15  # ticks after which what is usual is worked out anew, where nothing is known of before


class Verdict(Enum):
    """What the evidence says."""

    WORSE = "worse"
    NOT_WORSE = "not worse"
    NOT_YET = "not enough yet"
    FLEET_WORSE = "all are worse than before"  # or nobody is left to compare with


@dataclass(frozen=True, slots=True)
class Finding:
    """A verdict and what it rests on."""

    verdict: Verdict
    why: str


Key = tuple[Measure, str, str]  # by class, or by zone


@dataclass(slots=True)
class SequentialTest:
    """The comparison of one stage."""

    plan: Plan
    baseline: Mapping[tuple[str, str], Tally]
    outliers: Mapping[str, str] = field(default_factory=dict)  # new heads left out, if these are new; and why
    comparisons: dict[Key, Comparison] = field(default_factory=dict)
    _fleet: dict[Measure, tuple[float, float]] = field(default_factory=dict)  # sum, and of how many
    _seen: dict[tuple[str, str], Tally] = field(default_factory=dict)  # of old heads, meanwhile
    _usual: ExpectedRates | None = None
    _ticks: int = 0

    def set_baseline(self, before: Mapping[tuple[str, str], Tally], odd: Mapping[str, str]) -> None:
        """Go by other figures of before from now on."""
        self.baseline, self.outliers, self._usual, self._ticks = before, odd, None, 0

    def add_tick(self, rows: list[Row]) -> None:
        """Take what was answered in one tick."""
        rows = [row for row in rows if not row.new or row.head not in self.outliers]
        usual = self._what_is_usual(rows)
        strata: dict[tuple[str, str], list[Row]] = {}
        for row in rows:
            strata.setdefault((row.class_name, row.zone), []).append(row)
        for measure in self.plan.measures:
            whole = {True: Arm(), False: Arm()}
            for (class_name, zone), some in strata.items():
                arms = self._stratum(usual, measure, class_name, zone, some)
                for new, arm in arms.items():
                    whole[new].add(arm)
            self._all(measure, whole)
        for cell in self.comparisons.values():
            cell.end_tick()

    def _what_is_usual(self, rows: list[Row]) -> ExpectedRates:
        more = self.plan.bounds.more
        if self.baseline:
            self._usual = self._usual or ExpectedRates(self.baseline, more, self.outliers)
            return self._usual
        for row in rows:
            if not row.new:
                self._seen.setdefault((row.head, row.class_name), Tally()).add(row.tally)
        if self._usual is None or self._ticks % ANEW == 0:
            self._usual = ExpectedRates(self._seen, more)
        self._ticks += 1
        return self._usual

    def _stratum(self, usual: ExpectedRates, measure: Measure, class_name: str, zone: str,
                 rows: list[Row]) -> dict[bool, Arm]:  # fmt: skip
        arms = {True: Arm(), False: Arm()}
        cells = [self.comparisons.setdefault(key, Comparison())
                 for key in ((measure, class_name, ""), (measure, "", zone))]  # fmt: skip
        for row in rows:
            rate, n = usual.rate(measure, class_name, row.head), count_answers(measure, row.tally)
            bad = count_bad(measure, row.tally, usual.slow_from(class_name))
            arms[row.new].add(Arm(n, bad, n * rate.fraction))
            for cell in cells:
                cell.add_head(row.head, row.new, bad, n * rate.fraction, rate.relative_variance)
        for cell in cells:
            cell.add_tick(arms[True], arms[False], self.plan.bounds.times, self.plan.bounds.more)
        return arms

    def _all(self, measure: Measure, arms: Mapping[bool, Arm]) -> None:
        """Follow whether the old heads, or if there are none all, are worse than before."""
        of = arms[False] if arms[False].n else arms[True]
        if not self.baseline or not of.n:
            return
        worse = self.plan.bounds.times * of.expected + self.plan.bounds.more * of.n
        gained = of.bad * math.log(worse / of.expected) - (worse - of.expected)
        sum_, expected = self._fleet.get(measure, (0.0, 0.0))
        self._fleet[measure] = (sum_ + gained, expected + of.expected) if sum_ + gained > 0 else (0.0, 0.0)

    def _troubles(self, measure: Measure) -> bool:
        """Whether the fleet is worse than before, as surely as it is known how it went before."""
        sum_, expected = self._fleet.get(measure, (0.0, 0.0))
        known = sum(
            count_bad(measure, one, self._usual.slow_from(name)) if self._usual else 0
            for (_, name), one in self.baseline.items()
        )
        return sum_ / self._clumps(measure) / (1 + expected / (1 + known)) >= TROUBLE

    def _clumps(self, measure: Measure) -> float:
        """Return how many times more than chance old heads scatter in time, over all classes."""
        both = [cell.scatter for (of, name, _), cell in self.comparisons.items() if of is measure and name]
        freedom = sum(freedom for _, freedom in both)
        return max(1.0, sum(scatter for scatter, _ in both) / freedom) if freedom else 1.0

    def evaluate(self, at: int, alone: bool = False) -> Finding:
        """Say what the evidence comes to in a stage (from 0); `alone`: no head of the old version is left."""
        bounds, least = self.plan.bounds, self.plan.stages[at].least
        early = any(stage.least for stage in self.plan.stages[at + 1 :])
        tests = max(1, len(self.comparisons)) * len(self.plan.stages)
        stops = math.log(tests / bounds.wrongly)
        passes = math.log((bounds.early if early else bounds.missed) / 2)
        clumps = {measure: self._clumps(measure) for measure in self.plan.measures}
        weights = {key: cell.log_ratios(clumps[key[0]]) for key, cell in self.comparisons.items()}
        for key in sorted(weights, key=lambda key: -weights[key][0]):
            if weights[key][0] < stops:
                break
            if self.comparisons[key].is_material(bounds.times, bounds.more):
                return Finding(Verdict.WORSE, _told(key, self.comparisons[key]))
        for measure in self.plan.measures:
            if self._troubles(measure):
                who = "all heads" if alone else "the other heads"
                return Finding(Verdict.FLEET_WORSE, f"{measure.value}: {who} are worse than before")
        if not least:
            return Finding(Verdict.NOT_WORSE, "nothing is waited for")
        first = [cell for key, cell in self.comparisons.items() if key[1] and key[0] is self.plan.measures[0]]
        whole = sum(cell.new.n + cell.old.n for cell in first)
        for key, cell in self.comparisons.items():
            busy = cell.new.n + cell.old.n >= BUSY * whole
            if key[1] and busy and cell.new.n < least and key[0] is not Measure.SLOW:
                return Finding(Verdict.NOT_YET, f"{cell.new.n} of {least} answers of class {key[1]}")
            if cell.new.n >= least and weights[key][1] > passes:
                return Finding(Verdict.NOT_YET, _told(key, cell))
        if not any(cell.new.n for cell in first):
            odd = "; ".join(f"{head} is not believed, {why}" for head, why in sorted(self.outliers.items()))
            return Finding(Verdict.NOT_YET, f"no answers yet{odd and ': ' + odd}")
        return Finding(Verdict.NOT_WORSE, f"{sum(cell.new.n for cell in first)} answers")


def _told(key: Key, cell: Comparison) -> str:
    measure, class_name, zone = key
    where = f"class {class_name}" if class_name else f"zone {zone or '-'}"
    new, old = cell.new, cell.old
    return (
        f"{measure.value} in {where}: {new.bad} of {new.n}, {old.bad} of {old.n} elsewhere; "
        f"{new.expected:.1f} and {old.expected:.1f} expected"
    )


def excess_usage(evidence: Evidence, plan: Plan) -> str:
    """Return in what heads use more than they may, against themselves before and the others now; or ""."""
    for what, limit, of in (
        ("memory", plan.bounds.memory, _memory), ("processor", plan.bounds.processor, _processor),
    ):  # fmt: skip
        mine, others = (_grew(evidence.usage_pairs(new), of) for new in (True, False))
        if limit and mine is not None and mine > limit * (others if others is not None else 1.0):
            return f"{what}: {mine:.2f} times what it was, {others or 1.0:.2f} times elsewhere"
    return ""


def _memory(one: Usage) -> float:
    return one.memory


def _processor(one: Usage) -> float:
    return one.processor_us / one.answers if one.answers else 0.0


def _grew(usages: Iterable[tuple[Usage, Usage]], of: Callable[[Usage], float]) -> float | None:
    grown = [of(after) / of(before) for before, after in usages if of(before) > 0]
    return median(grown) if grown else None
