"""Where a head's CPU goes.

`python -m benchmarks.profile [read|write]`, the head of `compare` under cProfile.
"""

from __future__ import annotations

import cProfile
import pstats
import subprocess
import sys
import tempfile

from benchmarks.rig import head_settings, start_nodes
from harriertrack.config.settings import HeadSettings, load
from harriertrack.gateway.head import Head
from harriertrack.runtime.hub import Hub
from harriertrack.runtime.streams import SocketNetwork


def main(kind: str = "read", seconds: float = 4.0) -> None:
    """Profile 64 connections of one kind and print the dearest functions by their own time."""
    with tempfile.TemporaryDirectory() as folder:
        servers = start_nodes(folder)
        try:
            settings = load(head_settings(folder, "head", 0))
            assert isinstance(settings, HeadSettings)
            hub = Hub()
            head = Head(hub, SocketNetwork(hub), settings)

            def run() -> None:
                with hub.scope("profile") as scope:
                    scope.spawn("head", head.run)
                    head.ready.wait()
                    hub.sleep(300_000)
                    port = str(head.address[1])
                    words = [sys.executable, "-m", "benchmarks.load", port, "16", kind, str(seconds)]
                    seeds = [str(number) for number in range(4)]
                    clients = [subprocess.Popen([*words, one], stdout=subprocess.DEVNULL) for one in seeds]
                    while any(client.poll() is None for client in clients):
                        hub.sleep(100_000)
                    scope.cancel()

            profile = cProfile.Profile()
            profile.runcall(hub.run, run)
            counts = head.core.counts
            print(f"{counts.accepted} requests, {counts.sent} sends")
            pstats.Stats(profile).sort_stats("tottime").print_stats(45)
        finally:
            for server in servers:
                server.stop()


if __name__ == "__main__":
    main(*sys.argv[1:2])
