"""Child processes of a rig: started with a log file, signalled by process id, and terminated."""

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

END_S = 15.0  # a process that takes longer to terminate when asked is killed


class FleetProcessError(Exception):
    """A process did not start, or ended unexpectedly; the text names the process and its log."""


def _with_plugins(folder: Path | None) -> dict[str, str] | None:
    """Return an environment in which a head finds a rehearsal's scorers as an installed package."""
    if folder is None:
        return None
    package = folder / "rehearsed-1.dist-info"
    if not package.exists():
        _install_plugins(package)
    python_path = os.environ.get("PYTHONPATH", "")
    return {**os.environ, "PYTHONPATH": f"{folder}{os.pathsep}{python_path}" if python_path else str(folder)}


def _install_plugins(package: Path) -> None:
    """Write the package that names a rehearsal's scorers, whole at once: other heads may be reading it."""
    unfinished = package.with_suffix(".unfinished")
    unfinished.mkdir(exist_ok=True)
    (unfinished / "METADATA").write_text("Metadata-Version: 2.1\nName: rehearsed\nVersion: 1\n")
    (unfinished / "entry_points.txt").write_text(f"[{GROUP}]\nrehearsed = {weights.__name__}\n")
    unfinished.rename(package)


def cpu_wait_us(pid: int) -> int:
    """Return how long a process was runnable without a processor (Linux, proc: schedstat)."""
    try:
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) // 1000
    except (OSError, IndexError):
        return 0  # it has ended, or the kernel does not count this


class Process:
    """One child process and its log file."""

    def __init__(self, name: str, arguments: list[str], log: Path, plugins: Path | None = None,
                 group: bool = False) -> None:  # fmt: skip
        """`group`: it has children of its own, which receive its signals too (except SIGTERM)."""
        self.name, self.log, self._group = name, log, group
        self._read_bytes = log.stat().st_size if log.exists() else 0
        self._partial_line = b""
        with log.open("ab") as out:
            self._child = subprocess.Popen(
                [sys.executable, "-m", "harriertrack", *arguments, "--log", "json"],
                stdin=subprocess.DEVNULL, stdout=out, stderr=out, start_new_session=True,
                env=_with_plugins(plugins),
            )  # fmt: skip

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._child.pid

    @property
    def ended(self) -> bool:
        """Whether it has ended."""
        return self._child.poll() is not None

    @property
    def cpu_s(self) -> float:
        """Return the processor time used so far."""
        fields = Path(f"/proc/{self._child.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    @property
    def waited_us(self) -> int:
        """Return how long it was runnable without a processor."""
        return cpu_wait_us(self.pid)

    def signal(self, number: int) -> None:
        """Send a signal by process id, if it still runs."""
        if self._group and number != signal.SIGTERM:
            with suppress(ProcessLookupError):  # it leads its own process group
                os.killpg(self._child.pid, number)
        elif not self.ended:
            self._child.send_signal(number)

    def lines(self) -> list[dict[str, object]]:
        """Return the log lines written since the last call."""
        with self.log.open("rb") as file:
            file.seek(self._read_bytes)
            data = file.read()
        self._read_bytes += len(data)
        *complete, self._partial_line = (self._partial_line + data).split(b"\n")
        log_lines = []
        for line in complete:
            try:
                fields = json.loads(line)
            except ValueError:
                continue  # a traceback of the interpreter: it stays in the log file
            if isinstance(fields, dict):
                log_lines.append(fields)
        return log_lines

    def end(self, within_s: float = 0.0) -> None:
        """Wait for its exit status; kill it if it has not ended within a time."""
        try:
            self._child.wait(within_s)
        except subprocess.TimeoutExpired:
            self.signal(signal.SIGKILL)
            self._child.wait()


class Children:
    """The child processes of one rig by name, with logs in its folder, and those that are terminating."""

    def __init__(self, folder: Path, plugins: bool) -> None:
        """`plugins`: rehearsal scorers are installed for heads."""
        self._folder, self._plugins = folder, plugins
        self.running: dict[str, Process] = {}
        self._terminating: list[Process] = []

    def start(self, name: str, arguments: list[str], group: bool) -> Process:
        """Start a process; `group`: it has children of its own."""
        plugins = self._folder if self._plugins and name.startswith("head") else None
        process = Process(name, arguments, self._folder / f"{name}.log", plugins, group)
        self.running[name] = process
        return process

    def ask_to_end(self, name: str) -> Process:
        """Send SIGTERM to a process, and remove it from `running`."""
        process = self.running.pop(name)
        process.signal(signal.SIGTERM)
        self._terminating.append(process)
        return process

    def end_all(self) -> None:
        """Terminate every process that was started, by process id."""
        processes = [*self.running.values(), *(process for process in self._terminating if not process.ended)]
        for process in processes:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        for process in processes:
            process.end(END_S)
        self.running.clear()
        self._terminating.clear()
