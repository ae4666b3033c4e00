"""Processes of hostile clients beside the heads of a soak."""

from __future__ import annotations

import subprocess
import sys

from harriertrack.lab.soak.plan import SECOND, HostileClients
from harriertrack.runtime.hub import Hub

COMMAND = (sys.executable, "-B", "-m", "harriertrack.lab.soak.hostile_clients")
END_POLL_US = 100_000
MARGIN_US = 5 * SECOND  # beyond its time, after which a process is killed


class HostileProcesses:
    """All processes of hostile clients of a run."""

    def __init__(self, hub: Hub) -> None:
        self._hub = hub
        self._running: list[subprocess.Popen[bytes]] = []

    def play(self, step: HostileClients, address: tuple[str, int]) -> None:
        """Run the clients of a step, and wait for their end."""
        command = [*COMMAND, step.kind, *map(str, address), str(step.for_us / SECOND), str(step.connections)]
        process = subprocess.Popen(command, stdin=subprocess.DEVNULL)
        self._running.append(process)
        until = self._hub.now() + step.for_us + MARGIN_US
        while process.poll() is None and self._hub.now() < until:
            self._hub.sleep(END_POLL_US)
        self._end(process)

    def _end(self, process: subprocess.Popen[bytes]) -> None:
        if process in self._running:
            self._running.remove(process)
            process.kill()
            process.wait()

    def end_all(self) -> None:
        """Kill those that still run."""
        for process in list(self._running):
            self._end(process)
