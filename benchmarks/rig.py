"""Servers of the measurements.

Storage node stand-ins that cost as little as they can, and a head's settings.
"""

from __future__ import annotations

import os
import resource
import socket
import subprocess
import sys
import time
from pathlib import Path

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


def start_nodes(folder: str, volumes: str = VOLUME, request: str = "0") -> list[Process]:
    """Start the nodes and write their list to a file of the folder; `request` is what each one costs."""
    servers, listed = [], []
    for number in range(NODES):
        port, path = free_port(), f"{folder}/shelf{number}.sexp"
        Path(path).write_text(
            f'(shelf (name "n{number}") (listen "127.0.0.1" {port}) (shard {number}) (cores 64) (unit 0)'
            f" (request {request}) (queue 100000) {volumes})"
        )
        servers.append(Process(port, "-m", "harriertrack", "shelf", path))
        listed.append(f'(node "n{number}" (address "127.0.0.1" {port}) (shard {number}))')
    Path(f"{folder}/nodes.sexp").write_text(f"(node-list {' '.join(listed)})")
    return servers


def head_settings(folder: str, name: str, port: int, more: str = "") -> str:
    """Write settings of a head over the nodes, with more forms; return their path."""
    path = f"{folder}/{name}.sexp"
    Path(path).write_text(
        f'(head (listen "127.0.0.1" {port}) (state-dir "{folder}/{name}")'
        f' (node-list (file "{folder}/nodes.sexp")) (limits (connections 4096))'
        ' (class "r" (kinds read flush) (aim 300ms) (deadline 1.5s) (worth 3) (effect safe))'
        ' (class "w" (kinds write trim write-zeroes) (aim 500ms) (deadline 2.5s) (effect keyed)'
        " (window 2.5s))"
        f' (plan "p" (rate 100000) (reserve 50000)) {VOLUME} {more})'
    )
    return path
