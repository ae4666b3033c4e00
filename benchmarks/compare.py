"""The head against a bare pass-through and a direct connection, in one run: `python -m benchmarks.compare`.

4 KiB reads and writes over 1 and 64 connections with one request each in flight, in alternating order and
repeated; rates and CPU a request of the server process between client and nodes; the memory of 1,000 idle
connections. Only ratios within one run mean anything.
"""

from __future__ import annotations

import json
import resource
import socket
import statistics
import subprocess
import sys
import tempfile
import time

import numpy as np

from benchmarks.rig import Process, free_port, head_settings, start_nodes


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
        servers = start_nodes(folder)
        try:
            kinds = {}
            programs = {"head": ("harriertrack", "head"), "pass-through": ("benchmarks.passthrough",)}
            for name, words in programs.items():
                port = free_port()
                kinds[name] = Process(port, "-m", *words, head_settings(folder, name, port))
            servers.extend(kinds.values())
            kinds["direct"] = servers[0]
            time.sleep(0.5)
            columns = ("kind", "connections", "server", "rate", "p50 us", "p99 us", "CPU us a request")
            print("|", " | ".join(columns), "| of pass-through |")
            print("| --- " * 8 + "|", flush=True)
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
                        figures = " | ".join(f"{middle[key]:.0f}" for key in ("p50", "p99", "cpu_us"))
                        rate, part = f"{middle['rate']:.0f}{errors}", f"{middle['rate'] / bare:.2f}"
                        row = (kind, str(connections), name, rate, figures, part)
                        print(f"| {' | '.join(row)} |", flush=True)
            idle = {name: idle_memory(kinds[name], 1000) for name in ("head", "pass-through")}
            told = ", ".join(f"{name} {count:.0f} bytes" for name, count in idle.items())
            print(f"\nAn idle connection: {told}.")
        finally:
            for server in reversed(servers):
                server.stop()


if __name__ == "__main__":
    main(*(float(word) if "." in word else int(word) for word in sys.argv[1:]))  # type: ignore[arg-type]
