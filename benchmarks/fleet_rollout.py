"""Rollouts measured over heads that only answer (simulated evidence): error rates, harm, and time.

`python -m benchmarks.fleet_rollout errors|harm|time [--plays 1000] [--heads 6] [--workers 2] [--deaths]
[--silent]`. `errors`: of so many good changes those that were stopped or paused, and of bad ones those that
came to all, by effect size; `harm`: requests that went badly for a bad version until it was stopped, in
stages, and where all heads take it at once; `time`: how long a good one takes.
"""

from __future__ import annotations

import argparse
import statistics
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace

from harriertrack.decisions.fleet.changes.version_state import VersionState
from harriertrack.decisions.fleet.rollout.plan import DEFAULT_PLAN, Plan, Stage
from harriertrack.lab.fleet.staged import SECOND_US, ClassOutcomes, Regression, RolloutSimulation

HARMS = {
    "none": None,
    "failed +0.25 % of writes": Regression("write", failed=0.0025),
    "failed +0.5 % of writes": Regression("write", failed=0.005),
    "failed +1 % of writes": Regression("write", failed=0.01),
    "failed +2 % of writes": Regression("write", failed=0.02),
    "refused +1 % of reads": Regression("read", refused=0.01),
    "refused +2 % of reads": Regression("read", refused=0.02),
    "refused +4 % of reads": Regression("read", refused=0.04),
    "late +1 % of writes": Regression("write", late=0.01),
    "late +2 % of writes": Regression("write", late=0.02),
    "late +4 % of writes": Regression("write", late=0.04),
    "reads a half slower": Regression("read", slower=1),
    "failed +2 % of writes in one zone": Regression("write", failed=0.02, zone="z1"),
}
BEFORE_S = 60
QUICK = replace(DEFAULT_PLAN, stages=(
    Stage("one", heads=1, soak_us=30 * SECOND_US), Stage("half", share=0.5, soak_us=30 * SECOND_US),
    Stage("all", share=1.0, soak_us=10 * SECOND_US, least=0),
), before_us=BEFORE_S * SECOND_US, patience_us=300 * SECOND_US)  # fmt: skip
CLASSES = {"read": ClassOutcomes(0.65), "write": ClassOutcomes(0.35)}
AT_ONCE = replace(QUICK, stages=(Stage("all", share=1.0, soak_us=30 * SECOND_US),))


@dataclass(frozen=True, slots=True)
class Play:
    """One play."""

    harm: str
    seed: int
    heads: int
    rate: float
    clumps: float
    plan: Plan
    thing: str = "settings"
    most_s: int = 900
    deaths: bool = False  # who decides dies after each step
    pauses: bool = True  # it is over when it is paused
    tells: bool = True  # heads tell how it went before


def _play(one: Play) -> tuple[str, int, float, int]:
    """Return how it ended, in which stage, how many requests were harmed, and after how many seconds."""
    harm = HARMS[one.harm]
    fleet = RolloutSimulation(one.heads, one.seed, one.plan, zones=2, rate=one.rate, clumps=one.clumps,
                   classes=CLASSES, report_s=2,
                   regressions={(one.thing, 1): harm} if harm is not None else {})  # fmt: skip
    for head in fleet.heads.values():
        head.tells = one.tells
    fleet.propose(one.thing)
    steps = 0

    def look(_second: int) -> None:
        nonlocal steps
        if one.deaths and len(fleet.history) != steps:
            steps = len(fleet.history)
            fleet.new_decider()

    ends = fleet.run_until(one.thing, one.most_s, look, (VersionState.PAUSED,) if one.pauses else ())
    stage = max((version.stage for _, version in fleet.history), default=0)
    return ends.value, stage, fleet.harmed, fleet.now // SECOND_US


def _run(plays: list[Play], workers: int) -> list[tuple[str, int, float, int]]:
    with ProcessPoolExecutor(workers) as pool:
        return list(pool.map(_play, plays, chunksize=4))


def errors(told: argparse.Namespace) -> None:
    """Print error rates by effect size, without and with clumps."""
    for clumps in told.clumps:
        print(f"clumps {clumps}: deviation of the log rate of what goes badly, from second to second")
        for name in HARMS if not told.harm else told.harm:
            plays = [Play(name, seed, told.heads, told.rate, clumps, QUICK, deaths=told.deaths,
                          tells=not told.silent) for seed in range(told.plays)]  # fmt: skip
            found = _run(plays, told.workers)
            ends = Counter(end for end, *_ in found)
            stopped = [(stage, took) for end, stage, _, took in found if end == VersionState.STOPPED.value]
            first = sum(stage == 1 for stage, _ in stopped)
            took = statistics.median(took - BEFORE_S for _, took in stopped) if stopped else 0
            print(f"  {name:42} in force {ends['in force']:5} stopped {ends['stopped']:5} (at one head "
                  f"{first}, median after {took:.0f} s) paused {ends['paused'] + ends['going']:5}",
                  flush=True)  # fmt: skip


def harm(told: argparse.Namespace) -> None:
    """Print requests harmed until a bad version was stopped."""
    for name in HARMS if not told.harm else told.harm:
        if name == "none":
            continue
        for what, plan in (("stages", QUICK), ("at once", AT_ONCE)):
            plays = [Play(name, seed, told.heads, told.rate, 0.1, plan, pauses=False)
                     for seed in range(told.plays)]  # fmt: skip
            found = _run(plays, told.workers)
            harmed = [each for _, _, each, _ in found]
            ends = Counter(end for end, *_ in found)
            print(f"  {name:42} {what:8} median {statistics.median(harmed):9.0f} most {max(harmed):9.0f} "
                  f"{dict(ends)}", flush=True)  # fmt: skip


def time(told: argparse.Namespace) -> None:
    """Print how long a good version takes to come to all, by the usual plan."""
    for thing in ("settings", "program"):
        plays = [Play("none", seed, told.heads, told.rate, 0.1, DEFAULT_PLAN, thing, 7200)
                 for seed in range(told.plays)]  # fmt: skip
        found = _run(plays, told.workers)
        took = sorted(seconds for _, _, _, seconds in found)
        print(f"  {told.heads} heads, {thing}: {took} s, {Counter(end for end, *_ in found)}", flush=True)


COMMANDS: dict[str, Callable[[argparse.Namespace], None]] = {"errors": errors, "harm": harm, "time": time}


def main() -> None:
    """Run one of them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("what", choices=sorted(COMMANDS))
    parser.add_argument("--plays", type=int, default=1000)
    parser.add_argument("--heads", type=int, default=6)
    parser.add_argument("--rate", type=float, default=200.0)
    parser.add_argument("--clumps", type=float, nargs="+", default=[0.0, 0.1])
    parser.add_argument("--workers", type=int, default=2)
    parser.add_argument("--deaths", action="store_true", help="who decides dies after each step")
    parser.add_argument("--silent", action="store_true", help="heads do not tell how it went before")
    parser.add_argument("--harm", action="append", choices=sorted(HARMS))
    told = parser.parse_args()
    COMMANDS[told.what](told)


if __name__ == "__main__":
    main()
