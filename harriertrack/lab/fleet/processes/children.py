"""The processes of one rig: started with a log, signalled by their ids, and ended."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from contextlib import suppress
from pathlib import Path

from harriertrack.gateway.fleet.scoring.plugins import GROUP
from harriertrack.lab.fleet import weights

END_S = 15.0  # the longest that a process may take to end when it is asked to


class FleetProcessError(Exception):
    """A process did not start or ended by itself; the text says which, and where its log is."""


def _with_plugins(folder: Path | None) -> dict[str, str] | None:
    """Return the environment of a head that finds a rehearsal's scorers, as an installed package's."""
    if folder is None:
        return None
    package = folder / "rehearsed-1.dist-info"
    package.mkdir(exist_ok=True)
    (package / "METADATA").write_text("Metadata-Version: 2.1\nName: rehearsed\nVersion: 1\n")
    (package / "entry_points.txt").write_text(f"[{GROUP}]\nrehearsed = {weights.__name__}\n")
    before = os.environ.get("PYTHONPATH", "")
    return {**os.environ, "PYTHONPATH": f"{folder}{os.pathsep}{before}" if before else str(folder)}


def cpu_wait_us(pid: int) -> int:
    """Return for how long a process was ready to run and had no processor (Linux, proc: schedstat)."""
    try:
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) // 1000
    except (OSError, IndexError):
        return 0  # it has ended, or the kernel does not count


class Process:
    """One child, its log as it is read, and its end."""

    def __init__(self, name: str, arguments: list[str], log: Path, plugins: Path | None = None,
                 group: bool = False) -> None:  # fmt: skip
        """`group`: it has children of its own that are stopped and killed with it."""
        self.name, self.log, self._group = name, log, group
        self._read = log.stat().st_size if log.exists() else 0
        self._rest = b""
        with log.open("ab") as out:
            self._child = subprocess.Popen(
                [sys.executable, "-m", "harriertrack", *arguments, "--log", "json"],
                stdin=subprocess.DEVNULL, stdout=out, stderr=out, start_new_session=True,
                env=_with_plugins(plugins),
            )  # fmt: skip

    @property
    def pid(self) -> int:
        """Return its id."""
        return self._child.pid

    @property
    def ended(self) -> bool:
        """Whether it has ended."""
        return self._child.poll() is not None

    @property
    def cpu_s(self) -> float:
        """Return the processor time that it has used."""
        fields = Path(f"/proc/{self._child.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    @property
    def waited_us(self) -> int:
        """Return for how long it was ready to run and had no processor."""
        return cpu_wait_us(self.pid)

    def signal(self, number: int) -> None:
        """Send it a signal, by its id, if it still runs."""
        if self._group and number != signal.SIGTERM:
            with suppress(ProcessLookupError):  # it leads a group of its own
                os.killpg(self._child.pid, number)
        elif not self.ended:
            self._child.send_signal(number)

    def lines(self) -> list[dict[str, object]]:
        """Return the log lines that were written since the last call."""
        with self.log.open("rb") as file:
            file.seek(self._read)
            data = file.read()
        self._read += len(data)
        *whole, self._rest = (self._rest + data).split(b"\n")
        found = []
        for line in whole:
            try:
                one = json.loads(line)
            except ValueError:
                continue  # what the interpreter says when it fails: kept in the log
            if isinstance(one, dict):
                found.append(one)
        return found

    def end(self, within_s: float = 0.0) -> None:
        """Take its status; end it if it has not ended by itself within a time."""
        try:
            self._child.wait(within_s)
        except subprocess.TimeoutExpired:
            self.signal(signal.SIGKILL)
            self._child.wait()


class Children:
    """The processes of one rig by name, whose logs lie in its folder, and those that were asked to end."""

    def __init__(self, folder: Path, plugins: bool) -> None:
        """`plugins`: heads find a rehearsal's scorers."""
        self._folder, self._plugins = folder, plugins
        self.running: dict[str, Process] = {}
        self._leaving: list[Process] = []

    def start(self, name: str, arguments: list[str], group: bool) -> Process:
        """Start one; `group`: it has children of its own."""
        plugins = self._folder if self._plugins and name.startswith("head") else None
        process = Process(name, arguments, self._folder / f"{name}.log", plugins, group)
        self.running[name] = process
        return process

    def ask_to_end(self, name: str) -> Process:
        """Ask one to end, which is none of those that run any more."""
        process = self.running.pop(name)
        process.signal(signal.SIGTERM)
        self._leaving.append(process)
        return process

    def end_all(self) -> None:
        """End every process that was started, by its id."""
        every = [*self.running.values(), *(process for process in self._leaving if not process.ended)]
        for process in every:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        for process in every:
            process.end(END_S)
        self.running.clear()
        self._leaving.clear()
