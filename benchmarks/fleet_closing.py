"""Closes, measured: how far heads are apart in them, what is refused around them, what trims cost. Simulated.

`python -m benchmarks.fleet_closing [--heads 12] [--seeds 3] [--skews 0 100 200] [--rates 400]`. The day
`close-plain` is played with clocks drawn up to so many milliseconds apart, with and without its closes. Told
are: rules broken; when, after the market's moment, the first and the last head closed, against the day's
bound; how long blocks were refused around it, on volumes of one head and of several, and of how many tries;
the time that clients' reads and writes on other volumes took while trims went on, against the same seconds
of the day without closes.
"""

from __future__ import annotations

import argparse
import statistics
from concurrent.futures import ProcessPoolExecutor
from itertools import product

import msgspec
import numpy as np

from harriertrack.lab.fleet import scenario
from harriertrack.lab.fleet.rig import simulate
from harriertrack.rules import checker, closing, recording as rec

S = 1_000_000
TRIMS_US = 4 * S  # after a close they are over
AROUND_US = S
Figures = dict[str, float]


def _refused(records: list[rec.Record], at: int, volumes: str) -> tuple[float, float]:
    """Return for how long blocks of some volumes that a close touches were refused, and the part of tries."""
    mine = [
        one for one in records
        if isinstance(one, rec.BlockOperation) and one.volume.startswith(volumes)
        and at - AROUND_US <= one.t <= at + TRIMS_US and one.outcome in ("served", "refused")
    ]  # fmt: skip
    refused = [one.t for one in mine if one.outcome == "refused"]
    lasted = (max(refused) - min(refused)) / S if refused else 0.0
    return lasted, len(refused) / max(1, len(mine))


def _took(records: list[rec.Record], windows: list[tuple[int, int]]) -> list[float]:
    """Return how long requests of other volumes took that were asked in some seconds, in milliseconds."""
    asked: dict[tuple[str, int], int] = {}
    found = []
    for one in records:
        if isinstance(one, rec.RequestSent) and any(low <= one.t < high for low, high in windows):
            asked[one.client, one.request] = one.t
        elif isinstance(one, rec.FinalAnswer) and one.outcome == "served":
            if (began := asked.get((one.client, one.request))) is not None:
                found.append((one.t - began) / 1e3)
    return found


Windows = list[tuple[int, int]]


def _play(
    arguments: tuple[int, int, int, float, bool, Windows],
) -> tuple[Figures, list[float], Windows]:
    heads, seed, skew_ms, rate, closes, windows = arguments
    day = scenario.load("close-plain")
    assert day.closing is not None
    steps = []
    for step in day.steps:
        if step.name is scenario.Verb.START:
            step = msgspec.structs.replace(step, skew_us=skew_ms * 500)
        if step.name is scenario.Verb.MARKET and not closes:
            step = scenario.StepSettings(name=scenario.Verb.REST, for_us=S // 2)
        steps.append(step)
    day = msgspec.structs.replace(
        day, steps=tuple(steps), closing=msgspec.structs.replace(day.closing, rate=rate), rate=25.0
    )
    recorder = rec.Recorder()
    simulate(day, heads, seed, recorder)
    records = recorder.records
    found: Figures = {"broken": float(len(checker.check(records)) + len(closing.check(records)))}
    due = [one for one in records if isinstance(one, rec.CloseDue)]
    if closes:
        after = [one.t - one.at for one in records if isinstance(one, rec.CloseDone)]
        found |= {"first": min(after) / 1e3, "last": max(after) / 1e3, "bound": day.close_bound_us / 1e3}
        for name, volumes in (("one", "desk"), ("several", "market")):
            each = [_refused(records, one.at, volumes) for one in due]
            found[f"{name} s"] = max(lasted for lasted, _ in each)
            found[f"{name} part"] = statistics.mean(part for _, part in each)
        found["trims"] = sum(isinstance(one, rec.AttemptReceived) and one.kind == "trim" for one in records)
        windows = [(one.at, one.at + TRIMS_US) for one in due]
    return found, _took(records, windows), windows


def main() -> None:
    """Print a line for each skew and pace."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--heads", type=int, default=12)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--skews", type=int, nargs="+", default=[0, 50, 100, 200])
    parser.add_argument("--rates", type=float, nargs="+", default=[400.0])
    parser.add_argument("--workers", type=int, default=2)
    given = parser.parse_args()
    with ProcessPoolExecutor(given.workers) as pool:
        for skew, rate in product(given.skews, given.rates):
            seeds = range(1, given.seeds + 1)
            plays = list(pool.map(_play, [(given.heads, seed, skew, rate, True, []) for seed in seeds]))
            windows = [windows for _, _, windows in plays]
            again = [(given.heads, seed, skew, rate, False, windows[seed - 1]) for seed in seeds]
            without = list(pool.map(_play, again))
            told = {
                name: (max if name in ("broken", "last", "one s", "several s") else min)(
                    play[0][name] for play in plays
                )
                for name in plays[0][0]
            }  # fmt: skip
            mine = np.percentile([ms for play in plays for ms in play[1]], (50, 99))
            others = np.percentile([ms for play in without for ms in play[1]], (50, 99))
            print(f"{skew} ms apart, {rate:g} trims/s: " + "; ".join(f"{k} {v:.3f}" for k, v in told.items()))
            print(
                f"  other volumes while trims go on: p50 {mine[0]:.2f} ms, p99 {mine[1]:.2f} ms; "
                f"without closes {others[0]:.2f}, {others[1]:.2f}; x{mine[1] / others[1]:.2f}"
            )


if __name__ == "__main__":
    main()
