"""How often two variants that differ in nothing but luck are told apart, from the results of an A/A plan.

    harriertrack lab run benchmarks/lab/same.sexp --out RESULTS
    python -m benchmarks.false_alarms benchmarks/lab/same.sexp RESULTS

Pairs are drawn into comparisons of ten at random many times over, with replacement between comparisons.
"""

from __future__ import annotations

import random
import sys

from harriertrack.decisions.verdicts import Verdict, judge
from harriertrack.lab.experiments import iter_results, load_plan
from harriertrack.lab.statistics import compare
from harriertrack.storage import runlog

PAIRS, COMPARISONS = 10, 400


def main(plan_path: str, results_path: str) -> None:
    """Print the rate of verdicts of a difference."""
    plan = load_plan(plan_path)
    shares: dict[str, dict[tuple[str, int], float]] = {}
    for job, scores in iter_results(plan, dict(runlog.read(results_path))):
        shares.setdefault(job.variant.name, {})[job.day.name, job.seed] = scores.share
    first, second = (shares[variant.name] for variant in plan.variants)
    differences = [second[pair] - first[pair] for pair in sorted(first.keys() & second.keys())]
    rng = random.Random(1)
    alarms = 0
    for number in range(COMPARISONS):
        drawn = [one * rng.choice((1, -1)) for one in rng.sample(differences, PAIRS)]
        verdict = judge([compare("aa", drawn, seed=number)])[0].verdict
        alarms += verdict in (Verdict.BETTER, Verdict.WORSE)
    whole = judge([compare("aa", differences)])[0]
    print(f"{len(differences)} pairs; told apart in {alarms} of {COMPARISONS} comparisons of {PAIRS} pairs: "
          f"{alarms / COMPARISONS:.1%}, stated at most 5%")  # fmt: skip
    print(f"all pairs in one comparison: {whole.comparison.mean:+.5f} ({whole.comparison.low:+.5f} to "
          f"{whole.comparison.high:+.5f}), p {whole.p_adjusted:.2f}: {whole.verdict.value}")  # fmt: skip


if __name__ == "__main__":
    main(*sys.argv[1:3])
