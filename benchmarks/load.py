"""Closed-loop clients in one process: so many connections, each with one request in flight. Prints JSON."""

from __future__ import annotations

import json
import random
import sys

from harriertrack.gateway.client import NbdClient
from harriertrack.protocol.nbd.wire import Command
from harriertrack.runtime.hub import Hub
from harriertrack.runtime.streams import SocketNetwork

BLOCK = 4096


def main(port: int, connections: int, kind: str, seconds: float, seed: int) -> None:
    """Load a server and print how many requests were done, and each one's latency in microseconds."""
    hub = Hub(seed=seed)
    command = Command.READ if kind == "read" else Command.WRITE
    latencies: list[int] = []
    errors = 0

    def one(client: NbdClient, until: int, rng: random.Random) -> None:
        nonlocal errors
        blocks, body = client.size // BLOCK, b"x" * BLOCK if kind == "write" else b""
        while (began := hub.now()) < until:
            reply = client.call(command, rng.randrange(blocks) * BLOCK, 0 if body else BLOCK, body)
            latencies.append(hub.now() - began)
            errors += bool(reply.error)

    def run() -> None:
        with hub.scope("load") as scope:
            clients = []
            for _ in range(connections):
                client = NbdClient(hub, SocketNetwork(hub))
                client.open(("127.0.0.1", port))
                client.go(scope, "disk")
                clients.append(client)
            until = hub.now() + int(seconds * 1e6)
            tasks = [
                scope.spawn("client", one, client, until, random.Random(seed * 1000 + number))
                for number, client in enumerate(clients)
            ]
            while not all(task.done for task in tasks):
                hub.sleep(20_000)
            scope.cancel()

    hub.run(run)
    print(json.dumps({"done": len(latencies), "errors": errors, "latencies": latencies}))


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]), sys.argv[3], float(sys.argv[4]), int(sys.argv[5]))
