"""A launcher's child process: started by it, or found again after the launcher was killed and restarted."""

from __future__ import annotations

import os
import signal
import subprocess
from contextlib import suppress
from pathlib import Path

from harriertrack.gateway.fleet.rollout.launcher.files import TOKEN_VARIABLE


def start(command: list[str], environment: dict[str, str]) -> Child:
    """Start a process in the process group of this one. Raises OSError."""
    return Child(subprocess.Popen(command, stdin=subprocess.DEVNULL, env={**os.environ, **environment}))


def find(pid: int, token: str) -> Child | None:
    """Return the process with a token in its environment; `pid` 0: search all processes."""
    if not token:
        return None
    numbers = [pid] if pid else sorted(int(one.name) for one in Path("/proc").iterdir() if one.name.isdigit())
    children = (Child(None, number, token) for number in numbers)
    return next((child for child in children if child.alive), None)


class Child:
    """A process started by this launcher or, with `popen` None, by an earlier incarnation of it."""

    def __init__(self, popen: subprocess.Popen[bytes] | None, pid: int = 0, token: str = "") -> None:
        self._popen, self._token = popen, token
        self.pid = popen.pid if popen is not None else pid

    @property
    def alive(self) -> bool:
        """Whether it runs, and its process id was not reused by another."""
        if self._popen is not None:
            return self._popen.poll() is None
        mark = f"{TOKEN_VARIABLE}={self._token}".encode()
        try:
            return mark in Path(f"/proc/{self.pid}/environ").read_bytes().split(b"\0")
        except OSError:
            return False

    def exit_reason(self) -> str:
        """Describe how it ended."""
        code = self._popen.poll() if self._popen is not None else None
        if code is None:
            return "it is gone"
        return f"it ended with status {code}" if code >= 0 else f"signal {-code} ended it"

    def end(self, at_once: bool) -> None:
        """Send SIGTERM, or SIGKILL if `at_once`."""
        if self.alive:
            with suppress(ProcessLookupError):
                os.kill(self.pid, signal.SIGKILL if at_once else signal.SIGTERM)
