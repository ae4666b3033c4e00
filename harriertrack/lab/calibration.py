"""Compares a day over loopback sockets with the same day in the emulator, to validate the emulator.

Each figure has a bound for the difference. Rates are fractions of all requests.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from harriertrack.lab.day import DaySettings
from harriertrack.lab.emulator import emulate
from harriertrack.lab.rig import play
from harriertrack.lab.scores import Scores, decode_histogram, histogram, score_recording
from harriertrack.rules import recording as rec

LATENCY_TOLERANCE, MIN_LATENCY_TOLERANCE_US = 0.15, 3_000  # a quantile's relative bound, and its lowest value
RATE_TOLERANCE = 0.03  # bound for refusals and failures, as a fraction of all requests
SENDS_TOLERANCE = 0.05  # relative bound for sends per served request


@dataclass(frozen=True, slots=True)
class Figure:
    """One figure over sockets and in the emulator, and the bound of their difference."""

    name: str
    sockets: float
    emulated: float
    bound: float

    @property
    def is_within_bound(self) -> bool:
        """Return whether the difference is at most the bound."""
        return abs(self.sockets - self.emulated) <= self.bound


def _pooled_percentile(runs: list[Scores], class_name: str, percent: float) -> float:
    merged = histogram()
    for run in runs:
        if class_name in run.latency:
            merged.add(decode_histogram(run.latency[class_name]))
    return float(merged.get_value_at_percentile(percent)) if merged.total_count else 0.0


def compare_runs(sockets: list[Scores], emulated: list[Scores]) -> list[Figure]:
    """Compare the pooled runs of a day and its seeds over sockets and in the emulator."""
    figures = []
    for class_name in sorted({name for run in (*sockets, *emulated) for name in run.latency}):
        for percent in (50.0, 90.0, 99.0):
            real, simulated = (_pooled_percentile(runs, class_name, percent) for runs in (sockets, emulated))
            bound = max(LATENCY_TOLERANCE * max(real, simulated), MIN_LATENCY_TOLERANCE_US)
            figures.append(Figure(f"{class_name} p{percent:g} us", real, simulated, bound))
    for outcome in ("refused", "failed"):
        real, simulated = (
            sum(getattr(run, outcome) for run in runs) / max(1, sum(run.asked for run in runs))
            for runs in (sockets, emulated)
        )
        figures.append(Figure(f"{outcome} of asked", real, simulated, RATE_TOLERANCE))
    real, simulated = (
        sum(run.sends for run in runs) / max(1, sum(run.served for run in runs))
        for runs in (sockets, emulated)
    )
    figures.append(Figure("sends for each served", real, simulated, SENDS_TOLERANCE * max(real, simulated)))
    real, simulated = (sum(run.share for run in runs) / len(runs) for runs in (sockets, emulated))
    figures.append(Figure("share of worth", real, simulated, RATE_TOLERANCE))
    return figures


def calibrate(day: DaySettings, seeds: Iterable[int]) -> list[Figure]:
    """Play a day both ways for each seed and compare; each seed takes the day's length in real time."""
    sockets, emulated = [], []
    for seed in seeds:
        recorder = rec.Recorder()
        emulate(day, seed, recorder)
        emulated.append(score_recording(recorder.records, day, "emulated", seed))
        sockets.append(score_recording(play(day, seed, virtual=False).records, day, "sockets", seed))
    return compare_runs(sockets, emulated)
