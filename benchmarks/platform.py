"""CPU of the platform's head for each request: one head as a process, stand-ins and clients in this one.

.venv/bin/python -m benchmarks.platform [--requests N] [--clients N] [--bytes N] [--profile]
"""

from __future__ import annotations

import argparse
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile
from pathlib import Path

from harriertrack.runtime.hub import Hub
from harriertrack.runtime.streams import SocketNetwork
from harriertrack.standin.platform import PlatformDiscovery, PlatformNode, answer, read_message

SHELFS = 8
SETTINGS = {
    "nInstances": 4, "tickUs": 2000, "discovery": "on_request",
    "lanes": [{"name": "look", "aimUs": 900_000, "giveUpUs": 1_500_000, "idempotency": "read_like"}],
    "contracts": [{"name": "gold", "baseRate": 9000, "reserve": 9000, "shares": 1}],
    "permissions": {"sendCap": 3, "mayCancel": True, "retryAfter": True, "maxRetryAfterUs": 500_000},
    "safety": {"drainGraceUs": 2_000_000, "fallUs": 2_000_000, "askWithinUs": 10_000_000},
    "familyInfo": {"usualUnits": 2, "mostUnits": 6, "slotsTotal": SHELFS, "classWrites": [False]},
}  # fmt: skip
PROFILED = (
    "import cProfile, pstats, sys; from harriertrack.service.__main__ import main; p = cProfile.Profile();"
    "p.runcall(main); pstats.Stats(p, stream=sys.stderr).sort_stats('tottime').print_stats(45)"
)


def main() -> None:
    """Load a head and tell its CPU time for each request that it served."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--requests", type=int, default=4000)
    parser.add_argument("--clients", type=int, default=16)
    parser.add_argument("--bytes", type=int, default=1000)
    parser.add_argument("--profile", action="store_true")
    asked = parser.parse_args()
    hub = Hub()
    net, body = SocketNetwork(hub), b"x" * asked.bytes
    shelfs = [PlatformNode(hub, net, lambda got: answer(body), 5_000) for _ in range(SHELFS)]
    discovery = PlatformDiscovery(hub, net)
    for cell, shelf in enumerate(shelfs):
        discovery.set_server(f"s{cell}", shelf.address, cell)
    with socket.create_server(("127.0.0.1", 0)) as sock:
        port = sock.getsockname()[1]
    given = {
        "name": "n", "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{discovery.address[1]}",
        "seed": "1", "limits": {"sockets": 512}, "known": discovery.full_list(), "settings": SETTINGS,
    }  # fmt: skip
    statuses: dict[int, int] = {}

    def client(number: int) -> None:
        stream = net.connect(("127.0.0.1", port))
        for at in range(asked.requests // asked.clients):
            stream.write(
                f"GET /look?object={at % 50:016x} HTTP/1.1\r\nHost: h\r\nX-Trace-Id: {number:08x}{at:08x}\r\n"
                f"X-Qos-Policy: gold\r\nX-Expires-In-Ms: 1400\r\n"
                f"X-Placement: volume={number % 8:016x},units=2,shard={at % SHELFS},hosts=3\r\n\r\n".encode()
            )
            head, _, _ = read_message(stream, b"")
            status = int(head.split(b" ")[1])
            statuses[status] = statuses.get(status, 0) + 1

    def run() -> None:
        with hub.scope("benchmark") as scope, tempfile.TemporaryDirectory() as folder:
            for one in (*shelfs, discovery):
                one.start(scope)
            path = Path(folder) / "config.json"
            path.write_text(json.dumps(given))
            told = {"NAME": "n", "LISTEN": given["listen"], "DISCOVERY": "x", "CONFIG": str(path)}
            environment = {**os.environ, **{f"PROXY_{name}": value for name, value in told.items()}}
            how = ["-c", PROFILED] if asked.profile else ["-m", "harriertrack.service"]
            process = subprocess.Popen([sys.executable, *how], env=environment)
            while True:
                try:
                    net.connect(("127.0.0.1", port)).close()
                    break
                except ConnectionRefusedError:
                    hub.sleep(50_000)
            with hub.scope("clients") as clients:
                for number in range(asked.clients):
                    clients.spawn("client", client, number)
            process.send_signal(signal.SIGTERM)
            while process.poll() is None:
                hub.sleep(50_000)
            scope.cancel()

    began = hub.now()
    hub.run(run)
    used = resource.getrusage(resource.RUSAGE_CHILDREN)
    seconds = used.ru_utime + used.ru_stime
    each = seconds / asked.requests * 1e6
    print(f"{statuses}, {(hub.now() - began) / 1e6:.1f} s, CPU {each:.0f} us a request, with start and end")


if __name__ == "__main__":
    main()
