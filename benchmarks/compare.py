"""The head against a bare pass-through and a direct connection, in one run: `python -m benchmarks.compare`.

4 KiB reads and writes over 1 and 64 connections with one request each in flight, in alternating order and repeated;
rates and CPU a request of the server process between client and nodes; the memory of 1,000 idle connections. Only
ratios within one run mean anything.
"""

from __future__ import annotations

import json
import os
import resource
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import numpy as np

NODES = 4
VOLUME = '(volume "disk" (size 32MiB) (plan "p") (shards 0 1 2 3))'
TICK = os.sysconf("SC_CLK_TCK")


def free_port() -> int:
    """Return a port that nobody listens at."""
    with socket.create_server(("127.0.0.1", 0)) as one:
        return int(one.getsockname()[1])


class Process:
    """A server of the measurement."""

    def __init__(self, port: int, *words: str) -> None:
        self.port = port
        self._process = subprocess.Popen([sys.executable, *words], stderr=subprocess.DEVNULL)
        for _ in range(200):
            try:
                socket.create_connection(("127.0.0.1", port), 1).close()
                return
            except OSError:
                time.sleep(0.05)
        raise RuntimeError(f"{words} does not listen")

    def cpu_s(self) -> float:
        """Return the CPU time it used so far, in seconds."""
        fields = Path(f"/proc/{self._process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICK

    def rss_bytes(self) -> int:
        """Return its resident memory."""
        return int(Path(f"/proc/{self._process.pid}/statm").read_text().split()[1]) * resource.getpagesize()

    def stop(self) -> None:
        """End it."""
        self._process.terminate()
        self._process.wait()


def load(server: Process, connections: int, kind: str, seconds: float, seed: int) -> dict[str, float]:
    """Load a server from up to four client processes; return rate, quantiles and CPU a request (us)."""
    processes = min(4, connections)
    before = server.cpu_s()
    clients = [
        subprocess.Popen(
            [sys.executable, "-m", "benchmarks.load", str(server.port), str(connections // processes), kind,
             str(seconds), str(seed + number)],
            stdout=subprocess.PIPE, text=True,
        )
        for number in range(processes)
    ]  # fmt: skip
    results = [json.loads(client.communicate()[0]) for client in clients]
    used = server.cpu_s() - before
    latencies = np.concatenate([result["latencies"] for result in results])
    return {
        "rate": len(latencies) / seconds,
        "p50": float(np.quantile(latencies, 0.5)),
        "p99": float(np.quantile(latencies, 0.99)),
        "cpu_us": used / max(1, len(latencies)) * 1e6,
        "errors": sum(result["errors"] for result in results),
    }


def idle_memory(server: Process, count: int) -> float:
    """Return how many bytes an idle connection in transmission costs a server."""
    ask = b"\0\0\0\3" + b"IHAVEOPT" + b"\0\0\0\1" + b"\0\0\0\4disk"
    before, connections = server.rss_bytes(), []
    for _ in range(count):
        one = socket.create_connection(("127.0.0.1", server.port))
        one.sendall(ask)
        one.recv(64)
        connections.append(one)
    time.sleep(0.5)
    grown = server.rss_bytes() - before
    for one in connections:
        one.close()
    return grown / count


def main(seconds: float = 3.0, rounds: int = 3) -> None:
    """Measure and print a table."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (4096, resource.getrlimit(resource.RLIMIT_NOFILE)[1]))
    with tempfile.TemporaryDirectory() as folder:
        servers: list[Process] = []
        try:
            nodes = []
            for number in range(NODES):
                port, path = free_port(), f"{folder}/shelf{number}.sexp"
                Path(path).write_text(
                    f'(shelf (name "n{number}") (listen "127.0.0.1" {port}) (shard {number}) (cores 64) (unit 0)'
                    f" (request 0) (queue 100000) {VOLUME})"
                )
                servers.append(Process(port, "-m", "harriertrack", "shelf", path))
                nodes.append(f'(node "n{number}" (address "127.0.0.1" {port}) (shard {number}))')
            Path(f"{folder}/nodes.sexp").write_text(f"(node-list {' '.join(nodes)})")
            kinds = {}
            for name in ("head", "pass-through"):
                port, path = free_port(), f"{folder}/{name}.sexp"
                Path(path).write_text(
                    f'(head (listen "127.0.0.1" {port}) (state-dir "{folder}/{name}")'
                    f' (node-list (file "{folder}/nodes.sexp")) (limits (connections 4096))'
                    " (class \"r\" (kinds read flush) (aim 300ms) (deadline 1.5s) (worth 3) (effect safe))"
                    ' (class "w" (kinds write trim write-zeroes) (aim 500ms) (deadline 2.5s) (effect keyed)'
                    f' (window 2.5s)) (plan "p" (rate 100000) (reserve 50000)) {VOLUME})'
                )
                words = ("harriertrack", "head", path) if name == "head" else ("benchmarks.passthrough", path)
                kinds[name] = Process(port, "-m", *words)
            servers.extend(kinds.values())
            kinds["direct"] = servers[0]
            time.sleep(0.5)
            print("| kind | connections | server | rate | p50 us | p99 us | CPU us a request | of pass-through's rate |")
            print("| --- | --- | --- | --- | --- | --- | --- | --- |")
            for kind in ("read", "write"):
                for connections in (1, 64):
                    table: dict[str, list[dict[str, float]]] = {name: [] for name in kinds}
                    for round_ in range(rounds):
                        for name, server in kinds.items():
                            table[name].append(load(server, connections, kind, seconds, round_))
                    bare = statistics.median(one["rate"] for one in table["pass-through"])
                    for name, ones in table.items():
                        middle = {key: statistics.median(one[key] for one in ones) for key in ones[0]}
                        errors = f" ({middle['errors']:.0f} refused)" if middle["errors"] else ""
                        print(
                            f"| {kind} | {connections} | {name} | {middle['rate']:.0f}{errors} | {middle['p50']:.0f} |"
                            f" {middle['p99']:.0f} | {middle['cpu_us']:.0f} | {middle['rate'] / bare:.2f} |"
                        )
            print(f"\nAn idle connection: head {idle_memory(kinds['head'], 1000):.0f} bytes,"
                  f" pass-through {idle_memory(kinds['pass-through'], 1000):.0f} bytes.")  # fmt: skip
        finally:
            for server in reversed(servers):
                server.stop()


if __name__ == "__main__":
    main(*(float(word) if "." in word else int(word) for word in sys.argv[1:]))  # type: ignore[arg-type]
