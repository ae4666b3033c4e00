"""Where a head's CPU goes: `python -m benchmarks.profile [read|write]` runs the head of `compare` under cProfile."""

from __future__ import annotations

import cProfile
import pstats
import subprocess
import sys
import tempfile
from pathlib import Path

from benchmarks.compare import NODES, VOLUME, Process, free_port
from harriertrack.config.settings import HeadSettings, load
from harriertrack.gateway.head import Head
from harriertrack.runtime.hub import Hub
from harriertrack.runtime.streams import SocketNetwork


def main(kind: str = "read", seconds: float = 4.0) -> None:
    """Profile 64 connections of one kind and print the dearest functions by their own time."""
    with tempfile.TemporaryDirectory() as folder:
        servers, nodes = [], []
        try:
            for number in range(NODES):
                port, path = free_port(), f"{folder}/shelf{number}.sexp"
                Path(path).write_text(
                    f'(shelf (name "n{number}") (listen "127.0.0.1" {port}) (shard {number}) (cores 64) (unit 0)'
                    f" (request 0) (queue 100000) {VOLUME})"
                )
                servers.append(Process(port, "-m", "harriertrack", "shelf", path))
                nodes.append(f'(node "n{number}" (address "127.0.0.1" {port}) (shard {number}))')
            Path(f"{folder}/nodes.sexp").write_text(f"(node-list {' '.join(nodes)})")
            Path(f"{folder}/head.sexp").write_text(
                f'(head (listen "127.0.0.1" 0) (state-dir "{folder}/head") (node-list (file "{folder}/nodes.sexp"))'
                ' (class "r" (kinds read flush) (aim 300ms) (deadline 1.5s) (worth 3) (effect safe))'
                ' (class "w" (kinds write trim write-zeroes) (aim 500ms) (deadline 2.5s) (effect keyed)'
                f' (window 2.5s)) (plan "p" (rate 100000) (reserve 50000)) {VOLUME})'
            )
            settings = load(f"{folder}/head.sexp")
            assert isinstance(settings, HeadSettings)
            hub = Hub()
            head = Head(hub, SocketNetwork(hub), settings)

            def run() -> None:
                with hub.scope("profile") as scope:
                    scope.spawn("head", head.run)
                    head.ready.wait()
                    hub.sleep(300_000)
                    words = [sys.executable, "-m", "benchmarks.load", str(head.address[1]), "16", kind, str(seconds)]
                    clients = [subprocess.Popen([*words, str(n)], stdout=subprocess.DEVNULL) for n in range(4)]
                    while any(client.poll() is None for client in clients):
                        hub.sleep(100_000)
                    scope.cancel()

            profile = cProfile.Profile()
            profile.runcall(hub.run, run)
            counts = head.core.counts
            print(f"{counts.taken} requests, {counts.sent} sends")
            pstats.Stats(profile).sort_stats("tottime").print_stats(45)
        finally:
            for server in servers:
                server.stop()


if __name__ == "__main__":
    main(*sys.argv[1:2])
