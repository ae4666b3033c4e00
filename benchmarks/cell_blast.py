"""How many tenants one tenant's flood, or the loss of one rack, touches, at full size (simulated).

    python -m benchmarks.cell_blast [SEEDS]

170 heads over 43 nodes, each a rack, with one cell and with eight. A volume counts as touched if it earns at
least TOUCHED less of its worth than on the same day and seed without the trouble. What differs between two
calm days that differ only in the heads' luck is the noise beside it.
"""

from __future__ import annotations

import os
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from itertools import product
from statistics import mean

import msgspec

from harriertrack.config.sexp import read_text
from harriertrack.gateway.head import Wiring
from harriertrack.lab import day as days
from harriertrack.lab.emulator import emulate
from harriertrack.lab.rig import HeadSlot, Rig, cells_of
from harriertrack.lab.scores import score_recording
from harriertrack.rules import recording as rec

DAY = """(day "blast" (length 10s) (heads 170) (nodes 43) (volumes 172) (shared 0) (rate 3300) (volume 256MiB)
  (service lognormal) (service-cv 0.5) TROUBLE)"""
TROUBLES = {
    "calm": "",
    "calm again": "",  # with heads of another luck
    "one tenant floods": "(trouble hot_key (from 2s) (for 7s) (size 250))",
    "one rack is lost": "(trouble vanish (from 2s) (for 7s) (part 0.02))",
}
TOUCHED = 0.02
CELLS = (1, 8)


def other_luck(rig: Rig) -> None:
    """Let a rig's heads draw otherwise."""
    wiring = rig.wiring

    def other(slot: HeadSlot) -> Wiring:
        made = wiring(slot)
        return replace(made, module=lambda told, luck: made.module(told, luck + 1))

    rig.wiring = other  # type: ignore[method-assign]


def day_of(cells: int, what: str) -> days.DaySettings:
    """Return a day with a trouble."""
    day = days.parse(read_text(DAY.replace("TROUBLE", TROUBLES[what]), "blast"), "blast")
    return msgspec.structs.replace(day, cells=cells)


def play(cells: int, what: str, seed: int) -> tuple[dict[str, float], dict[str, int], int]:
    """Play a day; return each volume's share, what each asked, and the breaches of rules."""
    day = day_of(cells, what)
    recorder = rec.Recorder()
    emulate(day, seed, recorder, watch=other_luck if what == "calm again" else None)
    scores = score_recording(recorder.records, day, "", seed)
    shares = {one.name: one.earned.share for one in scores.volumes}
    return shares, {one.name: one.earned.asked for one in scores.volumes}, sum(scores.broken.values())


def main(seeds: int) -> None:
    """Print a row for each arrangement and trouble."""
    cases = list(product(CELLS, TROUBLES, range(1, seeds + 1)))
    with ProcessPoolExecutor(max_workers=os.cpu_count()) as pool:
        done = dict(zip(cases, pool.map(play, *zip(*cases, strict=True)), strict=True))
    print("| cells | trouble | volumes touched | share lost in the struck cell | in the others | breaches |")
    print("| --- " * 6 + "|")
    for cells, what in product(CELLS, TROUBLES):
        if what == "calm":
            continue
        cell_of = cells_of(day_of(cells, what)).volumes
        touched, struck, others, broken = [], [], [], 0
        for seed in range(1, seeds + 1):
            calm, before, _ = done[cells, "calm", seed]
            shares, asked, breaches = done[cells, what, seed]
            grew = {name: asked[name] - before[name] for name in asked}
            flooding = max(grew, key=lambda name: grew[name]) if "floods" in what else ""
            lost = {name: calm[name] - shares[name] for name in calm if name != flooding}
            touched.append(sum(one >= TOUCHED for one in lost.values()) / len(lost))
            by_cell: dict[str, list[float]] = {}
            for name, one in lost.items():
                by_cell.setdefault(cell_of[name], []).append(one)
            means = sorted((mean(one) for one in by_cell.values()), reverse=True)
            struck.append(means[0])
            others.extend(means[1:])
            broken += breaches
        rest = f"{mean(others):+.4f}" if others else "-"
        told = f"{mean(touched):.1%} | {mean(struck):+.4f} | {rest} | {broken}"
        print(f"| {cells} | {what} | {told} |", flush=True)


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 4)
