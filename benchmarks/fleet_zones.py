"""Leaving zones and returning, measured: heads that do so together beside heads each by itself. Simulated.

`python -m benchmarks.fleet_zones [--heads 12] [--seeds 5] [--days zone-lost ...]`. Told are: rules broken;
requests served; what was sent to nodes that were silent for longer than a second; seconds from when a zone
fell silent until no head used it, and from its return until all did; heads that left what nothing struck.
"""

from __future__ import annotations

import argparse
import statistics
from concurrent.futures import ProcessPoolExecutor

import msgspec

from harriertrack.lab.fleet import scenario
from harriertrack.lab.fleet.rig import simulate
from harriertrack.rules import checker, recording as rec, zones

S = 1_000_000
DAYS = ("zone-lost", "zone-flap", "zone-one-sided", "zone-split-view", "zone-overload")
Figures = dict[str, float]


def _darks(records: list[rec.Record]) -> dict[str, list[tuple[int, int]]]:
    """Return when each node was silent."""
    found: dict[str, list[tuple[int, int]]] = {}
    since: dict[str, int] = {}
    for one in records:
        if isinstance(one, rec.Node):
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
    heads = {one.head for one in records if isinstance(one, rec.Head) and one.up}
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


def _play(arguments: tuple[str, int, int, float, float]) -> Figures:
    name, heads, seed, together, rate = arguments
    day = scenario.load(name)
    day = msgspec.structs.replace(day, zones_at=together, rate=rate or day.rate)
    if not together:
        day = msgspec.structs.replace(day, zones=None)
    recorder = rec.Recorder()
    rig = simulate(day, heads, seed, recorder)
    records, darks = recorder.records, _darks(recorder.records)
    spent = sum(
        isinstance(one, rec.Sent) and any(a + S < one.t < b for a, b in darks.get(one.node, ()))
        for one in records
    )
    took = sum(isinstance(one, rec.Take) and not one.again for one in records)
    served = sum(isinstance(one, rec.Answer) and one.outcome == "served" for one in records)
    wrong = zones.check(records)
    found = {"spent": float(spent), "served": served / max(1, took), "zones": float(len(wrong))}
    found["broken"] = float(len(checker.check(records)))
    found["wrong"] = float(sum(one.rule == 2 for one in wrong))
    first = min((times[0] for times in darks.values()), default=None)
    if first is not None and together == 1.0:
        struck = next(name for name in rig.shelves if first in darks.get(name, ()))
        zone = rig.shelves[struck].settings.zone
        left, back = _times(records, first, zone)
        if left is not None:
            found["left"] = left
        if back is not None:
            found["back"] = back
    return found


def main() -> None:
    """Measure, and print a line for each day and way."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--heads", type=int, default=12)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--rate", type=float, default=0.0, help="Requests a second a head, if not the day's.")
    parser.add_argument("--days", nargs="*", default=DAYS)
    chosen = parser.parse_args()
    print("day | heads | served of requests | sent to silent nodes | left after, s | "
          "used again after, s | wrong leavings | rules broken")  # fmt: skip
    with ProcessPoolExecutor() as pool:
        for name in chosen.days:
            for together, way in ((1.0, "together"), (0.7, "seven in ten"), (0.0, "each alone")):
                seeds = range(1, chosen.seeds + 1)
                runs = [(name, chosen.heads, seed, together, chosen.rate) for seed in seeds]
                found = list(pool.map(_play, runs))

                def mean(field: str, found: list[Figures] = found) -> str:
                    values = [one[field] for one in found if field in one]
                    return f"{statistics.mean(values):.3g}" if values else "-"

                broken = sum(one["broken"] + one["zones"] for one in found)
                print(f"{name} {way} | {chosen.heads} | "
                      f"{mean('served')} | {mean('spent')} | {mean('left')} | {mean('back')} | "
                      f"{mean('wrong')} | {broken:g}")  # fmt: skip


if __name__ == "__main__":
    main()
