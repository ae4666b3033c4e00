"""What the view costs heads over processes: `python -m benchmarks.fleet_processes [HEADS] [SECONDS]`.

The same load on the same fleet at rest, with and without `(fleet ...)`, in turn: served, latency of reads as
clients see it, and processor time of a head. Then each day for fleets, both ways.
"""

from __future__ import annotations

import statistics
import sys
import tempfile
from pathlib import Path

import msgspec

from harriertrack.config.settings import FleetParameters
from harriertrack.lab.fleet import scenario
from harriertrack.lab.fleet.processes import ProcessFleet, play_processes
from harriertrack.lab.fleet.scenario import FleetDaySettings, StepSettings, Verb
from harriertrack.rules import recording as rec
from harriertrack.rules.run_history import RunHistory

TURNS = 3


def quantile(values: list[float], part: float) -> float:
    """Return a quantile of values."""
    return sorted(values)[min(len(values) - 1, int(part * len(values)))]


def play(day: FleetDaySettings, heads: int, seed: int, fleet: bool) -> tuple[RunHistory, float]:
    """Play a day over processes; return its story and the share of a core that a head used at rest."""
    recorder = rec.Recorder()
    shares: list[float] = []

    def watch(rig: ProcessFleet) -> None:
        step = rig.step

        def watched(one: StepSettings) -> None:
            before = rig.cpu_s()
            step(one)
            if one.name is Verb.REST and one.for_us >= 10_000_000:
                after = rig.cpu_s()
                used = [after[name] - before[name] for name in after if name in before]
                shares.append(statistics.fmean(used) / (one.for_us / 1e6))

        rig.step = watched  # type: ignore[method-assign]

    with tempfile.TemporaryDirectory(prefix="harriertrack-") as folder:
        play_processes(day, heads, seed, recorder, Path(folder), fleet, watch)
    return RunHistory(recorder.records), statistics.fmean(shares) if shares else 0.0


def row(name: str, fleet: bool, story: RunHistory, share: float) -> str:
    """Return a line of a table."""
    served = [asked for asked in story.requests if asked.answers and asked.answers[0].outcome == "served"]
    reads = [(one.answers[0].t - one.sent.t) / 1000 for one in served if one.sent.kind == "read"]
    part = len(served) / len(story.requests)
    p50, p99 = quantile(reads, 0.5), quantile(reads, 0.99)
    used = f"{share:.4f}" if share else "-"
    return f"| {name} | {'on' if fleet else 'off'} | {part:.4f} | {p50:.2f} | {p99:.1f} | {used} |"


def main() -> None:
    """Print Markdown rows."""
    heads = int(sys.argv[1]) if len(sys.argv) > 1 else 8
    seconds = int(sys.argv[2]) if len(sys.argv) > 2 else 20
    print("| day | view | served | read p50 ms | p99 ms | CPU share of a head |")
    print("| --- | --- | --- | --- | --- | --- |")
    start, settle = StepSettings(name=Verb.START), StepSettings(name=Verb.REST, for_us=5_000_000)
    rest = StepSettings(name=Verb.REST, for_us=seconds * 1_000_000)
    calm = FleetDaySettings(
        name="rest", processes=heads, figures=FleetParameters(), steps=(start, settle, rest)
    )
    for turn in range(TURNS):
        for fleet in (True, False):
            print(row(f"rest, turn {turn + 1}", fleet, *play(calm, heads, turn, fleet)), flush=True)
    for name in scenario.names():
        day = scenario.load(name)
        for fleet in (True, False):
            # Without views nothing can be waited for: both get the same fixed times.
            timed = msgspec.structs.replace(scenario.without_views(day), name=name)
            print(row(name, fleet, *play(timed, heads, 1, fleet)), flush=True)


if __name__ == "__main__":
    main()
