"""Heads of a soak as processes: started slowly or not, signalled in series, and started again."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from collections.abc import Sequence
from contextlib import suppress
from pathlib import Path

from harriertrack.lab.soak.parties import Add, SoakDiscovery
from harriertrack.lab.soak.plan import MS, HeadRestart, Plan
from harriertrack.rules import platform_recording as rec
from harriertrack.runtime.hub import DeadlineExceeded, Hub
from harriertrack.runtime.process_memory import resident_bytes
from harriertrack.runtime.streams import Network
from harriertrack.standin.platform import read_message

RUN = (sys.executable, "-B", "-m", "harriertrack.service")
POLL_US = 2 * MS  # how often a process is checked for its end
READY_POLL_US = 5 * MS
READY_US = 30_000 * MS  # a head that takes longer to be ready has failed
INTERPRETER_US = 60 * MS  # a start that is to be slow is stopped after this, before it has read its list
NEW_CONNECTIONS_US = 300 * MS  # clients open connections for this long after SIGTERM
SAMPLE_STEP_BYTES = 256 << 10  # growth of a process's memory that is recorded
READY = b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n"


class SoakHead:
    """One head through all its processes."""

    def __init__(
        self,
        hub: Hub,
        network: Network,
        name: str,
        address: tuple[str, int],
        plan: Plan,
        discovery: SoakDiscovery,
        folder: Path,
        command: Sequence[str],
        add: Add,
    ) -> None:
        self.name, self.address = name, address
        self.accepts_new_connections = False  # whether clients may open connections now
        self._hub, self._network, self._plan, self._discovery = hub, network, plan, discovery
        self._path, self._log, self._add = folder / f"{name}.json", folder / f"{name}.log", add
        self._moved, self._planned = False, False
        self._process: subprocess.Popen[bytes] | None = None
        self._seed, self._command = plan.seed << 8, command
        self._sampled_pid, self._highest_bytes = 0, 0

    def start(self, startup_us: int = 0, older_list: bool = False) -> None:
        """Start a process and wait until it is ready; a slow start is stopped for a while."""
        began_at, saved = self._hub.now(), self._discovery.saved_list(self.name, older_list)
        self._seed, self._planned = self._seed + 1, False
        self._write_configuration(saved)
        environment = {
            **os.environ,
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": "{}:{}".format(*self.address),
            "PROXY_DISCOVERY": self._discovery.address(self.name, self._moved),
            "PROXY_CONFIG": str(self._path),
        }
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                self._command, env=environment, stdin=subprocess.DEVNULL, stderr=log
            )
        states = {entry["id"]: entry["state"] for entry in saved["servers"]}
        self._add(rec.ProcessStarted(t=began_at, head=self.name, states=states))
        if startup_us > INTERPRETER_US:
            self._hub.sleep(INTERPRETER_US)
            self._process.send_signal(signal.SIGSTOP)
            self._hub.sleep_until(began_at + startup_us)
            self._process.send_signal(signal.SIGCONT)
        self._await_ready(began_at + READY_US)
        self.accepts_new_connections = True

    def _write_configuration(self, saved: dict) -> None:
        content = {
            "name": self.name,
            "listen": "{}:{}".format(*self.address),
            "discovery": self._discovery.address(self.name, self._moved),
            "seed": f"{self._seed:x}",
            "limits": {"cores": 1.0, "memory_mb": self._plan.memory_mb, "sockets": self._plan.sockets},
            "known": saved,
            "settings": self._plan.settings,
        }
        unfinished = self._path.with_suffix(".unfinished")
        unfinished.write_text(json.dumps(content))
        unfinished.replace(self._path)

    def _await_ready(self, deadline: int) -> None:
        while self._hub.now() < deadline and not self._has_ended():
            if self._is_ready():
                return
            self._hub.sleep(READY_POLL_US)

    def _is_ready(self) -> bool:
        try:
            stream = self._network.connect(self.address, self._hub.now() + 500 * MS, "ready")
        except (OSError, DeadlineExceeded):
            return False
        try:
            stream.write(READY)
            head, _, _ = read_message(stream, b"", self._hub.now() + 500 * MS)
        except (OSError, DeadlineExceeded):
            return False
        finally:
            stream.close()
        return head.startswith(b"HTTP/1.1 200")

    def restart(self, step: HeadRestart) -> None:
        """Send the signals of a restart, wait for the end of the process, and start the next one."""
        if step.planned:
            self._reload(step.reloads, step.reload_before_us)
            self._shut_down()
        else:
            self.accepts_new_connections = False
            self._signal(signal.SIGKILL)
        self._await_end()
        self._hub.sleep(step.away_us)
        self.start(step.startup_us, step.older_list)

    def _reload(self, times: int, within_us: int) -> None:
        """Let the head read its configuration again, each time with another source of the list."""
        for _ in range(times):
            self._moved = not self._moved
            self._write_configuration(self._discovery.saved_list(self.name, older=False))
            self._signal(signal.SIGHUP)
            self._hub.sleep(within_us // times)

    def _shut_down(self) -> None:
        """SIGTERM, and SIGKILL at the earliest that the platform allows, if the process still runs."""
        self._planned = True
        self._signal(signal.SIGTERM)
        terminated_at = self._hub.now()
        self._hub.sleep(NEW_CONNECTIONS_US)
        self.accepts_new_connections = False
        while not self._has_ended() and self._hub.now() < terminated_at + self._plan.kill_after_us:
            self._hub.sleep(POLL_US)
        if not self._has_ended():
            self._signal(signal.SIGKILL)

    def pause(self, for_us: int) -> None:
        """Stop the process for a while."""
        self._signal(signal.SIGSTOP)
        self._hub.sleep(for_us)
        self._signal(signal.SIGCONT)

    def end(self) -> None:
        """End the process at the end of a run, if it still runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()

    @property
    def log(self) -> str:
        """Return what its processes logged."""
        return self._log.read_text("utf-8", "replace")

    def sample_memory(self) -> None:
        """Record the resident memory of the process where it has grown (call this often)."""
        if self._process is None or self._process.poll() is not None:
            return
        held = resident_bytes(f"/proc/{self._process.pid}/statm")
        if self._sampled_pid != self._process.pid:
            self._sampled_pid, self._highest_bytes = self._process.pid, 0
        over_limit = held > self._plan.memory_mb << 20 >= self._highest_bytes
        if over_limit or held >= self._highest_bytes + SAMPLE_STEP_BYTES:
            self._highest_bytes = held
            self._add(rec.MemorySampled(t=self._hub.now(), head=self.name, held_bytes=held))

    def check_running(self) -> None:
        """Record the end of a process that ended by itself, without having been asked to."""
        if not self._planned and self._has_ended():
            self._record_end()

    def _signal(self, number: signal.Signals) -> None:
        assert self._process is not None
        self._add(rec.ProcessSignalled(t=self._hub.now(), head=self.name, signal=number.name))
        with suppress(ProcessLookupError):
            self._process.send_signal(number)

    def _has_ended(self) -> bool:
        return self._process is None or self._process.poll() is not None

    def _await_end(self) -> None:
        while not self._has_ended():
            self._hub.sleep(POLL_US)
        self._record_end()

    def _record_end(self) -> None:
        if self._process is not None:
            status = self._process.returncode
            self._add(
                rec.ProcessEnded(t=self._hub.now(), head=self.name, status=status, planned=self._planned)
            )
            self._process = None
