"""Clients that hear hints against clients that wait in their heads, on the same days and seeds.

    python -m benchmarks.waiting [SEEDS]    # three heads, and 170 over 43 nodes, emulated (simulated time)
    python -m benchmarks.waiting sockets    # three heads over loopback

Worth counts by the classes' aims and deadlines: what waited past its deadline earns nothing. Memory is the
largest resident size of the process that played a run, as a ratio to that with clients that ask once.
"""

from __future__ import annotations

import os
import resource
import sys
from concurrent.futures import ProcessPoolExecutor
from statistics import mean

import msgspec

from harriertrack.config.sexp import read_text
from harriertrack.lab import day as days
from harriertrack.lab.emulator import emulate
from harriertrack.lab.rig import Rig
from harriertrack.lab.scores import decode_histogram, histogram, score_recording
from harriertrack.rules import recording as rec
from harriertrack.runtime.hub import Hub
from harriertrack.runtime.streams import SocketNetwork

TROUBLES = """(trouble tenant_burst (from 2s) (for 5s) (size SIZE))
  (trouble slow (from 3s) (for 4s) (part 0.2) (size 4))
  (trouble mass_restart (from 8s) (for 1s) (part 0.1))"""
SMALL = """(day "small" (length 12s) (heads 3) (nodes 6) (volumes 9) (rate 220)
  (write-deadline 15s) TROUBLES)"""
LARGE = """(day "large" (length 12s) (heads 170) (nodes 43) (volumes 340) (shared 0.1) (rate 2200)
  (volume 4MiB) (service lognormal) (service-cv 0.5) (write-deadline 15s) TROUBLES)"""
DAYS = {"3 x 6": (SMALL, "5"), "170 x 43": (LARGE, "4")}
CLIENTS = {
    "refused, ask once": {"retries": 0},
    "hints heeded, four tries": {"retries": 3, "heeds_hints": True},
    "waiting": {"plain": 1.0, "retries": 0},
}


def day_of(size: str, clients: str) -> days.DaySettings:
    """Return a day for one kind of clients."""
    text, burst = DAYS[size]
    day = days.parse(read_text(text.replace("TROUBLES", TROUBLES.replace("SIZE", burst)), size), size)
    return msgspec.structs.replace(day, **CLIENTS[clients])


def play(size: str, clients: str, seed: int, sockets: bool = False) -> list[float]:
    """Play a day; return what a row shows."""
    day, recorder, most = day_of(size, clients), rec.Recorder(), [0]
    if sockets:
        hub = Hub(seed=seed)
        rig = Rig(hub, SocketNetwork(hub), day, seed, recorder)
        hub.run(rig.run)
    else:

        def watch(rig: Rig) -> None:
            heads = [slot.head for slot in rig.heads if hasattr(slot.head, "core")]
            most[0] = max(most[0], sum(head.core.waiting_parts for head in heads if head is not None))
            rig.hub.at(rig.hub.now() + 50_000, lambda: watch(rig))

        rig = emulate(day, seed, recorder, watch=watch)
    scores, took = score_recording(recorder.records, day, "", seed), histogram()
    for packed in scores.latency.values():
        took.add(decode_histogram(packed))
    asked = sum(earned.asked for earned in scores.by_class.values())
    offers = sum(slot.head.core.resubmissions for slot in rig.heads if slot.head is not None)
    return [
        scores.share, scores.served / asked, scores.refused / asked, scores.failed / asked,
        took.get_value_at_percentile(50) / 1000, took.get_value_at_percentile(99) / 1000,
        scores.sends / asked, offers / asked, float(most[0]),
        resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024, float(sum(scores.broken.values())),
    ]  # fmt: skip


def main(seeds: int, sockets: bool) -> None:
    """Print a row for each size and kind of clients."""
    sizes = ["3 x 6"] if sockets else list(DAYS)
    cases = [(size, clients, seed) for size in sizes for clients in CLIENTS for seed in range(1, seeds + 1)]
    workers = 1 if sockets else os.cpu_count()
    with ProcessPoolExecutor(max_workers=workers, max_tasks_per_child=1) as pool:
        jobs = {case: pool.submit(play, *case, sockets) for case in cases}
        done = {case: job.result() for case, job in jobs.items()}
    print("| heads x nodes | clients | worth | served | refused | failed | p50 ms | p99 ms | sends a request "
          "| offers a request | most that waited | memory | breaches |")  # fmt: skip
    print("| --- " * 13 + "|")
    for size in sizes:
        base = mean(done[size, "refused, ask once", seed][9] for seed in range(1, seeds + 1))
        for clients in CLIENTS:
            rows = [done[size, clients, seed] for seed in range(1, seeds + 1)]
            row = [mean(column) for column in zip(*rows, strict=True)]
            told = [f"{row[0]:.3f}", *(f"{one:.1%}" for one in row[1:4]), f"{row[4]:.0f}", f"{row[5]:.0f}",
                    f"{row[6]:.2f}", f"{row[7]:.2f}", f"{row[8]:.0f}", f"{row[9] / base:.2f}",
                    f"{sum(one[10] for one in rows):.0f}"]  # fmt: skip
            print(f"| {size} | {clients} | {' | '.join(told)} |", flush=True)


if __name__ == "__main__":
    over_sockets = sys.argv[1:] == ["sockets"]
    main(1 if over_sockets or len(sys.argv) < 2 else int(sys.argv[1]), over_sockets)
