"""What one flooding tenant costs the others, with cells and without; prints a table (simulated).

    python -m benchmarks.cell_flood [SEEDS]

One day of eight heads and eight nodes in two cells, without a flood and with one volume of the first cell
asking for 30 times its load; the share of the worth that the other volumes earn.
"""

from __future__ import annotations

import sys
from statistics import mean

import msgspec

from harriertrack.config.sexp import read_text
from harriertrack.lab import day as days
from harriertrack.lab.emulator import emulate
from harriertrack.lab.scores import Scores, score_recording
from harriertrack.rules import recording as rec

DAY = """(day "cell-flood" (length 10s) (heads 8) (nodes 8) (volumes 16) (shared 0) (cells 2) (rate 640)
  (volume 64MiB)
  (service lognormal) (service-cv 0.5)
  (trouble hot_key (from 2s) (for 7s) (size 30)))"""


def play(day: days.DaySettings, seed: int) -> Scores:
    """Play a day and count it."""
    recorder = rec.Recorder()
    emulate(day, seed, recorder)
    return score_recording(recorder.records, day, "", seed)


def flooded_volume(scores: Scores) -> str:
    """Return the volume that asked most."""
    return max(scores.volumes, key=lambda one: one.earned.asked).name


def share(scores: Scores, odd: int, without: str) -> float:
    """Return the share of the volumes of one cell, but for one volume."""
    mine = [one for one in scores.volumes if int(one.name[3:]) % 2 == odd and one.name != without]
    return sum(one.earned.earned for one in mine) / sum(one.earned.possible for one in mine)


def main(seeds: int) -> None:
    """Print one row for each arrangement."""
    flood = days.parse(read_text(DAY, "cell-flood"), "cell-flood")
    calm = msgspec.structs.replace(flood, troubles=())
    print("| modules | neighbours in the flooded half | the other half | rules broken |")
    print("| --- | --- | --- | --- |")
    for name, day in (
        ("one, no flood", msgspec.structs.replace(calm, cells=1)),
        ("one, flood", msgspec.structs.replace(flood, cells=1)),
        ("a cell each, no flood", calm),
        ("a cell each, flood", flood),
    ):
        near, far, broken = [], [], 0
        for seed in range(1, seeds + 1):
            scores = play(day, seed)
            hot = flooded_volume(scores if day.troubles else play(flood, seed))
            half = int(hot[3:]) % 2
            near.append(share(scores, half, hot))
            far.append(share(scores, 1 - half, hot))
            broken += bool(scores.broken)
        print(f"| {name} | {mean(near):.4f} | {mean(far):.4f} | {broken} of {seeds} runs |", flush=True)


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 10)
