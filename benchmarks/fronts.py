"""The same load through the NBD and the NVMe/TCP front of one head, over loopback.

    python -m benchmarks.fronts [SECONDS]

Closed loop from one client process: so many connections, or I/O queues of one controller, each with one
request of 4 KiB in flight. Prints rates and the head's CPU time a request, as ratios to the NBD front's.
"""

from __future__ import annotations

import json
import random
import subprocess
import sys
import tempfile

from benchmarks.rig import Process, free_port, head_settings, start_nodes
from harriertrack.gateway.client import NbdClient
from harriertrack.gateway.nvme_client import NvmeClient, io_sqe
from harriertrack.protocol.nbd.wire import Command
from harriertrack.protocol.nvme.admin import BLOCK_BYTES, IoOpcode
from harriertrack.protocol.nvme.transport import NO_DIGESTS
from harriertrack.protocol.nvme.wire import DigestFlags, Status
from harriertrack.runtime.hub import Hub, Scope
from harriertrack.runtime.streams import SocketNetwork

NQN, SIZE, BYTES = "nqn.2026-01.example:bench", 32 << 20, 4096
FRONTS = ("nbd", "nvme", "nvme, digests")
CASES = ((1, "read"), (16, "read"), (64, "read"), (16, "write"), (64, "write"))


def load(front: str, port: int, depth: int, kind: str, seconds: float) -> None:
    """Load a front and print how many requests were served (a process)."""
    hub, done, wrong = Hub(seed=1), 0, 0

    def nbd(scope: Scope) -> list[NbdClient]:
        clients = []
        for _ in range(depth):
            client = NbdClient(hub, SocketNetwork(hub))
            client.open(("127.0.0.1", port))
            client.go(scope, "disk")
            clients.append(client)
        return clients

    def ask_nbd(client: NbdClient, at: int) -> bool:
        if kind == "read":
            return not client.call(Command.READ, at, BYTES).error
        return not client.call(Command.WRITE, at, data=b"x" * BYTES).error

    def run() -> None:
        nonlocal done, wrong

        def one(ask, until: int, rng: random.Random) -> None:  # type: ignore[no-untyped-def]
            nonlocal done, wrong
            while hub.now() < until:
                good = ask(rng.randrange(SIZE // BYTES) * BYTES)
                done, wrong = done + good, wrong + (not good)

        with hub.scope("load") as scope:
            if front == "nbd":
                asks = [lambda at, client=client: ask_nbd(client, at) for client in nbd(scope)]
            else:
                digests = DigestFlags.HEADER | DigestFlags.DATA if "digests" in front else NO_DIGESTS
                host = NvmeClient(hub, SocketNetwork(hub), ("127.0.0.1", port), digests)
                host.connect(scope, NQN)
                queues = [host.io(scope) for _ in range(depth)]

                def ask(at: int, queue) -> bool:  # type: ignore[no-untyped-def]
                    opcode = IoOpcode.READ if kind == "read" else IoOpcode.WRITE
                    expects = BYTES if kind == "read" else 0
                    sqe = io_sqe(opcode, 1, at // BLOCK_BYTES, BYTES // BLOCK_BYTES, expects=expects)
                    data = b"" if kind == "read" else b"x" * BYTES
                    return bool(queue.call(sqe, data).cqe.status == Status.SUCCESS)

                asks = [lambda at, queue=queue: ask(at, queue) for queue in queues]
            until = hub.now() + int(seconds * 1e6)
            tasks = [
                scope.spawn("one", one, ask_, until, random.Random(number))
                for number, ask_ in enumerate(asks)
            ]
            while not all(task.done for task in tasks):
                hub.sleep(20_000)
            scope.cancel()

    hub.run(run)
    print(json.dumps({"done": done, "wrong": wrong}))


def main(seconds: float) -> None:
    """Measure all cases, each front in turn."""
    with tempfile.TemporaryDirectory() as folder:
        nodes, port, other = start_nodes(folder), free_port(), free_port()
        more = f'(nvme (listen "127.0.0.1" {other}) (nqn "{NQN}"))'
        head = Process(port, "-m", "harriertrack", "head", head_settings(folder, "head", port, more))
        try:
            print("| in flight | kind | front | rate | CPU a request | errors |")
            print("| --- " * 6 + "|")
            for depth, kind in CASES:
                base: tuple[float, float] | None = None
                for front in FRONTS:
                    cpu = head.cpu_s()
                    words = [front, str(port if front == "nbd" else other), str(depth), kind, str(seconds)]
                    out = subprocess.run([sys.executable, "-m", "benchmarks.fronts", *words],
                                         capture_output=True, check=True).stdout  # fmt: skip
                    told = json.loads(out)
                    rate, each = told["done"] / seconds, (head.cpu_s() - cpu) / max(1, told["done"])
                    base = base or (rate, each)
                    print(f"| {depth} | {kind} | {front} | {rate / base[0]:.2f} | {each / base[1]:.2f} | "
                          f"{told['wrong']} |", flush=True)  # fmt: skip
        finally:
            head.stop()
            for node in nodes:
                node.stop()


if __name__ == "__main__":
    if len(sys.argv) > 2:
        load(sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), sys.argv[4], float(sys.argv[5]))
    else:
        main(float(sys.argv[1]) if len(sys.argv) > 1 else 4.0)
