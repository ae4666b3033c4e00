"""Which of the figures that heads tell of before are gone by, after who decided then is gone. Pure.

Who decides next has these figures from the heads alone. Gone by are those of one and the same time, where at
least half of the heads tell such: between figures of two times lies all that a fleet went through meanwhile.
A head that says that it went far worse before than at the others says nothing of theirs, and is not counted
while it runs the version: by its word alone that would seem better than it is where others show it. Heads
can harm a version by words in other ways, and need none for it: they need but not take it.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from statistics import median

from harriertrack.decisions.fleet.rollout.answer_counts import Tally
from harriertrack.decisions.fleet.rollout.baseline import Baseline
from harriertrack.decisions.fleet.rollout.expected_rates import (
    LEAST_BADLY,
    SLOWEST,
    count_answers,
    count_bad,
    first_slow_bucket,
)
from harriertrack.decisions.fleet.rollout.plan import Measure

APART_US = 15_000_000  # one time ended at all heads within so long of the median
FAR = 4.0  # times as often as at the others
SURE = 4.0  # standard deviations of chance, or of clumps of twice that
CLUMPS = 2.0


@dataclass(frozen=True, slots=True)
class ReportedBaseline:
    """What a head told of before, and when that ended by the clock of who decides."""

    ended_at: int
    baseline: Baseline


@dataclass(frozen=True, slots=True)
class AcceptedBaselines:
    """What is gone by."""

    counts: Mapping[tuple[str, str], Tally] = field(default_factory=dict)  # by head and class
    outliers: Mapping[str, str] = field(
        default_factory=dict
    )  # heads whose figures are their own alone, and why


def accept_baselines(
    told: Mapping[str, ReportedBaseline], heads: Collection[str], more: float
) -> AcceptedBaselines:
    """Return what is gone by; nothing if fewer than half of `heads` tell of one time. `more`: the bound's."""
    some = {name: one for name, one in told.items() if name in heads}
    if not some:
        return AcceptedBaselines()
    middle = median(one.ended_at for one in some.values())
    same = {name: one.baseline for name, one in some.items() if abs(one.ended_at - middle) <= APART_US}
    if 2 * len(same) < len(heads):
        return AcceptedBaselines()
    odd: dict[str, str] = {}
    for class_name in sorted({name for one in same.values() for name in one.classes}):
        counts = {name: one.classes[class_name] for name, one in same.items() if class_name in one.classes}
        for measure in Measure:
            for name, why in _far(measure, counts, more).items():
                odd.setdefault(name, f"{measure.value} in class {class_name}: {why}")
    counts_of = {
        (name, class_name): tally for name, one in same.items() for class_name, tally in one.classes.items()
    }
    return AcceptedBaselines(counts_of, odd)


def _far(measure: Measure, counts: Mapping[str, Tally], more: float) -> dict[str, str]:
    """Return which heads tell of a class that it went far worse than the others tell.

    Of two nobody can say which is odd.
    """
    if len(counts) < 3:
        return {}
    slow = round(median(first_slow_bucket(one.latency_counts) for one in counts.values()))
    figures = {
        name: (count_bad(measure, one, slow), count_answers(measure, one)) for name, one in counts.items()
    }
    least = SLOWEST if measure is Measure.SLOW else LEAST_BADLY * more
    parts = {name: bad / n for name, (bad, n) in figures.items() if n}
    found = {}
    for name in parts:
        bad, n = figures[name]
        usual = median(part for other, part in parts.items() if other != name)
        unsure = SURE * (CLUMPS * (bad + 1)) ** 0.5
        if bad - unsure > FAR * max(usual, least) * n:
            found[name] = f"{bad} of {n} before, {usual:.2%} at the others"
    return found
