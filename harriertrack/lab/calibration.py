"""The same day over loopback sockets and in the emulator: how far the emulator may be trusted.

Each figure has a stated bound; one that differs by more is named. Rates are parts of all requests.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from harriertrack.lab.day import DaySettings
from harriertrack.lab.emulator import emulate
from harriertrack.lab.rig import play
from harriertrack.lab.scores import Scores, decode_histogram, histogram, score_recording
from harriertrack.rules import recording as rec

RELATIVE, LEAST_US = 0.15, 3_000  # a quantile may differ by this part, or by so much
RATE = 0.03  # refusals and failures may differ by this part of all requests
SENDS = 0.05  # sends for each served request may differ by this part


@dataclass(frozen=True, slots=True)
class Figure:
    """One figure of both runs, and whether it is within its bound."""

    name: str
    sockets: float
    emulated: float
    bound: float

    @property
    def is_within_bound(self) -> bool:
        """Whether the two agree."""
        return abs(self.sockets - self.emulated) <= self.bound


def _merged(runs: list[Scores], class_name: str, percent: float) -> float:
    merged = histogram()
    for run in runs:
        if class_name in run.latency:
            merged.add(decode_histogram(run.latency[class_name]))
    return float(merged.get_value_at_percentile(percent)) if merged.total_count else 0.0


def compare_runs(sockets: list[Scores], emulated: list[Scores]) -> list[Figure]:
    """Compare runs of the same day and seeds, pooled."""
    figures = []
    for class_name in sorted({name for run in (*sockets, *emulated) for name in run.latency}):
        for percent in (50.0, 90.0, 99.0):
            here, there = (_merged(runs, class_name, percent) for runs in (sockets, emulated))
            bound = max(RELATIVE * max(here, there), LEAST_US)
            figures.append(Figure(f"{class_name} p{percent:g} us", here, there, bound))
    for what in ("refused", "failed"):
        here, there = (
            sum(getattr(run, what) for run in runs) / max(1, sum(run.asked for run in runs))
            for runs in (sockets, emulated)
        )
        figures.append(Figure(f"{what} of asked", here, there, RATE))
    here, there = (
        sum(run.sends for run in runs) / max(1, sum(run.served for run in runs))
        for runs in (sockets, emulated)
    )
    figures.append(Figure("sends for each served", here, there, SENDS * max(here, there)))
    here, there = (sum(run.share for run in runs) / len(runs) for runs in (sockets, emulated))
    figures.append(Figure("share of worth", here, there, RATE))
    return figures


def calibrate(day: DaySettings, seeds: Iterable[int]) -> list[Figure]:
    """Play a day on both and compare; takes as long as the day for each seed."""
    sockets, emulated = [], []
    for seed in seeds:
        recorder = rec.Recorder()
        emulate(day, seed, recorder)
        emulated.append(score_recording(recorder.records, day, "emulated", seed))
        sockets.append(score_recording(play(day, seed, virtual=False).records, day, "sockets", seed))
    return compare_runs(sockets, emulated)
