"""What two regions cost and keep: `python -m benchmarks.regions [SEEDS]`, in simulated time.

Medians over seeds: the share of requests served in trouble against the undisturbed day of the same seed, the
time from darkness to the first served request on volumes whose home is dark, and the latency of writes in
each mode.
"""

from __future__ import annotations

import os
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor

import msgspec

from harriertrack.decisions.regions import Mode
from harriertrack.lab import day as days
from harriertrack.lab.rig import play
from harriertrack.rules import checker, recording as rec

NAMES = [name for name in days.names() if name.startswith("two-regions")]
DARK = "two-regions-dark"
OVERLOAD = 900.0  # requests a second


def measure(name: str, seed: int, mode: Mode) -> dict[str, float]:
    """Play one day; return its figures."""
    day = days.load(name)
    assert day.two_regions is not None
    day = msgspec.structs.replace(day, two_regions=msgspec.structs.replace(day.two_regions, mode=mode))
    records = play(day, seed, virtual=True).records
    takes = {(one.client, one.request): one for one in records if isinstance(one, rec.RequestSent)}
    answers = [one for one in records if isinstance(one, rec.FinalAnswer)]
    served = [(takes[one.client, one.request], one.t) for one in answers if one.outcome == "served"]
    writes = sorted(t - take.t for take, t in served if take.kind == "write")
    reads = sorted(t - take.t for take, t in served if take.kind == "read")
    figures = {
        "served": len(served) / len(takes),
        "write p50 us": statistics.median(writes),
        "read p50 us": statistics.median(reads),
        "breaches": float(len([one for one in checker.check(records) if mode is Mode.BOTH or one.rule])),
    }
    if name == DARK:
        dark = next(one.t for one in records if isinstance(one, rec.HeadLifecycle) and not one.up)
        back = next(
            one.t for one in records if isinstance(one, rec.HeadLifecycle) and one.up and one.t > dark
        )
        homeless = [t for take, t in served if take.volume in ("vol0", "vol2") and take.head == "head-b"]
        figures["first served s"] = (min(t for t in homeless if t > dark + 100_000) - dark) / 1e6
        for phase, since, until in (("dark", dark, back), ("after", back, 1 << 62)):
            there = [take for take in takes.values() if since <= take.t < until and take.head == "head-b"]
            done = [take for take, _ in served if since <= take.t < until and take.head == "head-b"]
            figures[f"served {phase}"] = len(done) / max(1, len(there))
    return figures


def throughput(seed: int, mode: Mode) -> float:
    """Return how many requests a second are served of far more than the nodes can do."""
    day = days.load("two-regions-calm")
    assert day.two_regions is not None
    spread = msgspec.structs.replace(day.two_regions, mode=mode)
    day = msgspec.structs.replace(day, two_regions=spread, rate=OVERLOAD, retries=0, length_us=8_000_000)
    records = play(day, seed, virtual=True).records
    return sum(isinstance(one, rec.FinalAnswer) and one.outcome == "served" for one in records) / 8


def main(seeds: int = 20) -> None:
    """Play all days on all cores and print a table."""
    jobs = [(name, seed, mode) for name in NAMES for mode in Mode for seed in range(1, seeds + 1)]
    with ProcessPoolExecutor(max_workers=os.cpu_count()) as pool:
        results = dict(zip(jobs, pool.map(measure, *zip(*jobs, strict=True)), strict=True))
        rates = {mode: list(pool.map(throughput, range(1, 6), [mode] * 5)) for mode in Mode}
    print("| day | mode | served | of the calm day | write p50 ms | read p50 ms | breaches | more |")
    print("| --- " * 8 + "|")
    calm = {mode: [results["two-regions-calm", seed, mode] for seed in range(1, seeds + 1)] for mode in Mode}
    for name in NAMES:
        for mode in Mode:
            ones = [results[name, seed, mode] for seed in range(1, seeds + 1)]
            middle = {key: statistics.median(one[key] for one in ones) for key in ones[0]}
            share = middle["served"] / statistics.median(one["served"] for one in calm[mode])
            known = {"served", "write p50 us", "read p50 us", "breaches"}
            more = ", ".join(f"{key} {value:.2f}" for key, value in middle.items() if key not in known)
            times = " | ".join(f"{middle[key] / 1000:.1f}" for key in ("write p50 us", "read p50 us"))
            breaches = sum(one["breaches"] for one in ones)
            cells = (
                name,
                mode.value,
                f"{middle['served']:.3f}",
                f"{share:.2f}",
                times,
                f"{breaches:.0f}",
                more,
            )
            print(f"| {' | '.join(cells)} |")
    both, home = (statistics.median(rates[mode]) for mode in (Mode.BOTH, Mode.HOME))
    told = f"both {both:.0f}, home {home:.0f}, ratio {both / home:.2f}"
    print(f"\nServed a second when {OVERLOAD:.0f} are asked: {told}")


if __name__ == "__main__":
    main(*(int(word) for word in sys.argv[1:]))
