"""Leaving zones and returning, measured: together, each alone, and beside an oracle. Simulated.

`python -m benchmarks.fleet_zones [--heads 12] [--seeds 5] [--days zone-lost ...] [--ways together alone]`.
Told, each with its standard error over the seeds, are: the part of clients' requests that were lost at the
first try, and the same of those that came in the six seconds after a return; the 99th percentile of what was
served; what was sent to nodes that were silent for longer than a second; seconds from when a zone fell silent
until no head used it, and from its return until all did; the most that a returning node got in the rules'
time, of what it bears; heads that left what nothing struck; rules broken.
"""

from __future__ import annotations

import argparse
import math
import statistics
from collections import deque
from concurrent.futures import ProcessPoolExecutor

import msgspec

from benchmarks.zone_oracle import simulate_oracle
from harriertrack.lab.fleet import scenario
from harriertrack.lab.fleet.rig import simulate
from harriertrack.rules import checker, recording as rec, zones

S = 1_000_000
DAYS = ("zone-lost", "zone-flap", "zone-one-sided", "zone-split-view", "zone-restart", "zone-overload")
WAYS = {"together": 1.0, "seven-in-ten": 0.7, "alone": 0.0, "oracle": 0.0}
AFTER_US = 6_000_000  # of a return
Figures = dict[str, float]


def _darks(records: list[rec.Record]) -> dict[str, list[tuple[int, int]]]:
    """Return when each node was silent."""
    found: dict[str, list[tuple[int, int]]] = {}
    since: dict[str, int] = {}
    for one in records:
        if isinstance(one, rec.NodeLifecycle):
            if one.state == "started":
                if (began := since.pop(one.node, None)) is not None:
                    found.setdefault(one.node, []).append((began, one.t))
            else:
                since.setdefault(one.node, one.t)
    return found


def _times(records: list[rec.Record], dark: tuple[int, int], zone: str) -> tuple[float | None, float | None]:
    """Return after how many seconds no head used a silent zone, and after its return all did."""
    left = back = None
    unused: set[str] = set()
    heads = {one.head for one in records if isinstance(one, rec.HeadLifecycle) and one.up}
    for one in records:
        if not isinstance(one, rec.ZoneUse) or one.zone != zone or one.t < dark[0]:
            continue
        (unused.discard if one.used else unused.add)(one.head)
        if left is None and len(unused) == len(heads):
            left = (one.t - dark[0]) / S
        if left is not None and one.t > dark[1] and not unused:
            back = (one.t - dark[1]) / S
            break
    return left, back


def _rush(records: list[rec.Record]) -> float:
    """Return the most that a node that had just started got, of what it bears by the rules."""
    facts = next(one for one in records if isinstance(one, rec.Facts))
    starts = {}
    recent: dict[str, deque[tuple[int, int]]] = {}
    most = 0.0
    for one in records:
        if isinstance(one, rec.NodeLifecycle) and one.state == "started" and one.cold_share < 1:
            starts[one.node], recent[one.node] = one, deque()
        elif isinstance(one, rec.AttemptReceived) and (start := starts.get(one.node)) is not None:
            if one.t >= start.t + start.warm_us:
                del starts[one.node]
                continue
            got = recent[one.node]
            got.append((one.t, max(1, math.ceil(one.length / facts.unit_bytes))))
            while got[0][0] <= one.t - facts.fall_us:
                got.popleft()
            warm = max(0.0, one.t - facts.fall_us / 2 - start.t) / start.warm_us
            bears = facts.fall_multiple * start.rate * facts.fall_us / 1e6
            bears *= start.cold_share + (1 - start.cold_share) * warm
            most = max(most, sum(units for _, units in got) / max(bears, facts.cold_units))
    return most


def _clients(records: list[rec.Record], darks: dict[str, list[tuple[int, int]]]) -> Figures:
    """Return what clients saw."""
    ends = {end for spells in darks.values() for _, end in spells}
    took: dict[tuple[str, int], int] = {}
    times = []
    first = after = lost = lost_after = 0
    for one in records:
        if isinstance(one, rec.RequestSent) and not one.again:
            took[one.client, one.request] = one.t
        elif isinstance(one, rec.FinalAnswer) and (since := took.get((one.client, one.request))) is not None:
            is_after = any(end <= since < end + AFTER_US for end in ends)
            served = one.outcome == "served"
            first, after = first + 1, after + is_after
            lost, lost_after = lost + (not served), lost_after + (is_after and not served)
            if served:
                times.append(one.t - since)
    found = {"lost": lost / max(1, first), "p99": statistics.quantiles(times, n=100)[98] / 1e3}
    return found | ({"lost after": lost_after / after} if after else {})


def _play(arguments: tuple[str, int, int, str, float, int]) -> Figures:
    name, heads, seed, way, rate, shelves = arguments
    day = scenario.load(name)
    day = msgspec.structs.replace(day, zones_at=WAYS[way], rate=rate or day.rate,
                                  shelves=shelves or day.shelves)  # fmt: skip
    if not WAYS[way]:
        day = msgspec.structs.replace(day, zones=None)
    recorder = rec.Recorder()
    rig = (simulate_oracle if way == "oracle" else simulate)(day, heads, seed, recorder)
    records, darks = recorder.records, _darks(recorder.records)
    wrong = zones.check(records)
    found = _clients(records, darks)
    found["spent"] = float(
        sum(
            isinstance(one, rec.AttemptSent) and any(a + S < one.t < b for a, b in darks.get(one.node, ()))
            for one in records
        )
    )
    found["rush"] = _rush(records)
    found["wrong"] = float(sum(one.rule == 2 for one in wrong))
    found["broken"] = float(len(checker.check(records)) + len(wrong))
    first = min((times[0] for times in darks.values()), default=None)
    if first is not None and way == "together":
        struck = next(name for name in rig.nodes if first in darks.get(name, ()))
        left, back = _times(records, first, rig.nodes[struck].settings.zone)
        found |= {name: at for name, at in (("left", left), ("back", back)) if at is not None}
    return found


COLUMNS = ("lost", "lost after", "p99", "spent", "left", "back", "rush", "wrong", "broken")


def _told(field: str, found: list[Figures]) -> str:
    values = [one[field] for one in found if field in one]
    if not values:
        return "-"
    if field in ("wrong", "broken"):
        return f"{sum(values):g}"
    if field == "rush":
        return f"{max(values):.2f}"
    error = f" +- {statistics.stdev(values) / math.sqrt(len(values)):.2g}" if len(values) > 1 else ""
    return f"{statistics.mean(values):.3g}{error}"


def main() -> None:
    """Measure, and print a line for each day and way."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--heads", type=int, default=12)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--processes", type=int, default=2, help="Runs at a time.")
    parser.add_argument("--rate", type=float, default=0.0, help="Requests a second a head, if not the day's.")
    parser.add_argument("--shelves", type=int, default=0, help="Nodes, if not the day's.")
    parser.add_argument("--days", nargs="*", default=DAYS)
    parser.add_argument("--ways", nargs="*", default=list(WAYS), choices=list(WAYS))
    chosen = parser.parse_args()
    print("day and way | heads | seeds |", " | ".join(COLUMNS))
    with ProcessPoolExecutor(chosen.processes) as pool:
        for name in chosen.days:
            for way in chosen.ways:
                seeds = range(1, chosen.seeds + 1)
                runs = [(name, chosen.heads, seed, way, chosen.rate, chosen.shelves) for seed in seeds]
                found = list(pool.map(_play, runs))
                cells = " | ".join(_told(field, found) for field in COLUMNS)
                print(f"{name} {way} | {chosen.heads} | {chosen.seeds} | {cells}", flush=True)


if __name__ == "__main__":
    main()
