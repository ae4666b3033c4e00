"""What a flood of one cell costs another through the head that they share, over loopback.

    python -m benchmarks.cell_share [SECONDS]

One head process, four nodes, two cells with two nodes each. The calm cell is asked a little, open loop; the
other one not at all, or by four processes as fast as they can; with the shares of the head in force, and with
a head that divides nothing. Prints what the calm cell's clients saw, what the flood got, and what
the head used.
"""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

from benchmarks.rig import Process, free_port, start_nodes
from harriertrack.cli.main import main as cli
from harriertrack.decisions.shares import Shares
from harriertrack.lab.scores import decode_histogram, histogram

FLOODS = 4
CALM_RATE, FLOOD_RATE = 100, 4000
VOLUMES = '(volume "calm" (size 8MiB) (plan "p")) (volume "flood" (size 8MiB) (plan "p"))'
MAP = """(cell-map (version 1) (rack "r0" (cell "a") (shards 0 1)) (rack "r1" (cell "b") (shards 2 3))
  (tenant "flood" (cell "a")) (tenant "calm" (cell "b")))"""
CASES = (("no flood", False, True), ("flood, divided", True, True), ("flood, not divided", True, False))


def undivided(path: str) -> None:
    """Run a head that divides nothing (a process)."""
    Shares.admit = lambda *_: ""  # type: ignore[assignment, method-assign]
    Shares.release = Shares.disconnect = lambda *_: None  # type: ignore[assignment, method-assign]
    Shares.try_connect = lambda *_: True  # type: ignore[assignment, method-assign]
    Shares.read_pause_us = lambda *_: 0  # type: ignore[assignment, method-assign]
    cli(["head", path])


def start_head(folder: str, name: str, divided: bool) -> Process:
    """Start a head."""
    port, path = free_port(), f"{folder}/{name}.sexp"
    Path(f"{folder}/map.sexp").write_text(MAP)
    Path(path).write_text(
        f'(head (listen "127.0.0.1" {port}) (state-dir "{folder}/{name}") (cell-map "{folder}/map.sexp")'
        f' (node-list (file "{folder}/nodes.sexp"))'
        ' (class "r" (kinds read flush own-read) (aim 300ms) (deadline 1.5s) (worth 3) (effect safe))'
        ' (class "w" (kinds write trim write-zeroes move) (aim 500ms) (deadline 2.5s) (effect keyed)'
        f' (window 2.5s)) (plan "p" (rate 100000) (reserve 40000)) {VOLUMES})'
    )
    program = ("harriertrack", "head") if divided else ("benchmarks.cell_share", "undivided")
    return Process(port, "-m", *program, path)


def load(
    folder: str, name: str, volume: str, port: int, rate: float, seconds: float
) -> subprocess.Popen[bytes]:
    """Start a load generator process."""
    text = (
        f'(load "{name}" (volume "{volume}" (address 127.0.0.1 {port}) (connections 8))'
        f" (phase plateau (for {seconds}s) (rate {rate})) (mix (read 0) (write 1))"
        " (block 512B) (popularity 0) (give-up 3s))"
    )
    Path(f"{folder}/{name}.sexp").write_text(text)
    words = [sys.executable, "-m", "harriertrack", "load", f"{folder}/{name}.json", f"{folder}/{name}.sexp"]
    return subprocess.Popen(words, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)


def result(folder: str, name: str) -> dict[str, Any]:
    """Return what a load generator saw."""
    told: dict[str, Any] = json.loads(Path(f"{folder}/{name}.json").read_text())
    return told


def main(seconds: float) -> None:
    """Measure all cases."""
    print("| case | calm: served | p50 ms | p99 ms | flood: served/s | refused/s | CPU | RSS MiB |")
    print("| --- " * 8 + "|")
    with tempfile.TemporaryDirectory() as folder:
        nodes = start_nodes(folder, VOLUMES, "1ms")
        try:
            for at, (case, flooded, divided) in enumerate(CASES):
                head = start_head(folder, f"head{at}", divided)
                cpu = head.cpu_s()
                floods = [
                    load(folder, f"flood{number}", "flood", head.port, FLOOD_RATE, seconds)
                    for number in range(FLOODS if flooded else 0)
                ]
                calm = load(folder, "calm", "calm", head.port, CALM_RATE, seconds)
                for one in (calm, *floods):
                    one.wait()
                used, rss = head.cpu_s() - cpu, head.rss_bytes() / (1 << 20)
                head.stop()
                seen, whole = result(folder, "calm"), histogram()
                for text in seen["latency"].values():
                    whole.add(decode_histogram(text))
                p50, p99 = (whole.get_value_at_percentile(one) / 1000 for one in (50, 99))
                got = [result(folder, f"flood{number}") for number in range(len(floods))]
                served, refused = (sum(one[what] for one in got) / seconds for what in ("served", "refused"))
                calmly = f"{seen['served']} of {seen['planned']} | {p50:.1f} | {p99:.1f}"
                whole_line = f"{served:.0f} | {refused:.0f} | {used / seconds:.2f} | {rss:.0f}"
                print(f"| {case} | {calmly} | {whole_line} |",
                      flush=True)  # fmt: skip
        finally:
            for node in nodes:
                node.stop()


if __name__ == "__main__":
    if sys.argv[1:2] == ["undivided"]:
        undivided(sys.argv[2])
    else:
        main(float(sys.argv[1]) if len(sys.argv) > 1 else 15.0)
