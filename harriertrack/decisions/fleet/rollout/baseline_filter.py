"""Which of the baselines reported by heads are used after a change of the deciding head. Pure.

A new deciding head has baselines only from the heads' reports. It uses those of one common period, if at
least half of the heads report one: baselines of different periods also differ by everything that the fleet
went through in between. A head whose baseline is far worse than the others' is an outlier: its counts do not
apply to others, and it is left out of the comparison while it runs the version, for by its own report the
version would look better than at other heads. A faulty head can harm a version through its reports in other
ways too, but needs no report for that: it can simply reject the version.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from statistics import median

from harriertrack.decisions.fleet.rollout.answer_counts import Tally
from harriertrack.decisions.fleet.rollout.baseline import Baseline
from harriertrack.decisions.fleet.rollout.expected_rates import (
    MIN_BAD_FRACTION,
    SLOW_FRACTION,
    count_answers,
    count_bad,
    first_slow_bucket,
)
from harriertrack.decisions.fleet.rollout.plan import Measure

MAX_END_SPREAD_US = 15_000_000  # baselines are of one period if they ended this close to the median
OUTLIER_RATIO = 4.0  # times the rate of bad answers at the others
OUTLIER_DEVIATIONS = 4.0  # standard deviations of chance, where bad answers come in clusters
CLUSTER_VARIANCE = 2.0  # ... with a variance of this many times that of independent answers


@dataclass(frozen=True, slots=True)
class ReportedBaseline:
    """A baseline reported by a head, and when its period ended by the deciding head's clock."""

    ended_at: int
    baseline: Baseline


@dataclass(frozen=True, slots=True)
class AcceptedBaselines:
    """The baselines that are used."""

    counts: Mapping[tuple[str, str], Tally] = field(default_factory=dict)  # by head and class
    outliers: Mapping[str, str] = field(default_factory=dict)  # heads whose counts apply to them alone; why


def accept_baselines(
    reported: Mapping[str, ReportedBaseline], heads: Collection[str], more: float
) -> AcceptedBaselines:
    """Return the baselines to use; none if fewer than half of `heads` report one of the same period.

    `more`: as in the plan's bounds.
    """
    known = {name: one for name, one in reported.items() if name in heads}
    if not known:
        return AcceptedBaselines()
    middle = median(one.ended_at for one in known.values())
    same = {
        name: one.baseline for name, one in known.items() if abs(one.ended_at - middle) <= MAX_END_SPREAD_US
    }
    if 2 * len(same) < len(heads):
        return AcceptedBaselines()
    outliers: dict[str, str] = {}
    for class_name in sorted({name for one in same.values() for name in one.classes}):
        counts = {name: one.classes[class_name] for name, one in same.items() if class_name in one.classes}
        for measure in Measure:
            for name, why in _find_outliers(measure, counts, more).items():
                outliers.setdefault(name, f"{measure.value} in class {class_name}: {why}")
    counts_of = {
        (name, class_name): tally for name, one in same.items() for class_name, tally in one.classes.items()
    }
    return AcceptedBaselines(counts_of, outliers)


def _find_outliers(measure: Measure, counts: Mapping[str, Tally], more: float) -> dict[str, str]:
    """Return the heads whose counts of a class are far worse than the others', and why.

    Of two heads it can't be said which is the outlier.
    """
    if len(counts) < 3:
        return {}
    slow = round(median(first_slow_bucket(one.latency_counts) for one in counts.values()))
    rates = {
        name: (count_bad(measure, one, slow), count_answers(measure, one)) for name, one in counts.items()
    }
    least = SLOW_FRACTION if measure is Measure.SLOW else MIN_BAD_FRACTION * more
    fractions = {name: bad / n for name, (bad, n) in rates.items() if n}
    outliers = {}
    for name in fractions:
        bad, n = rates[name]
        usual = median(fraction for other, fraction in fractions.items() if other != name)
        margin = OUTLIER_DEVIATIONS * (CLUSTER_VARIANCE * (bad + 1)) ** 0.5
        if bad - margin > OUTLIER_RATIO * max(usual, least) * n:
            outliers[name] = f"{bad} of {n} before, {usual:.2%} at the others"
    return outliers
