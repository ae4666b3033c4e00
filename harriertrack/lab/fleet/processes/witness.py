"""The witness as a process: start, outages, and the backup of its state."""

from __future__ import annotations

import shutil
from typing import TYPE_CHECKING

from harriertrack.lab.fleet.processes.children import Process
from harriertrack.lab.fleet.rig import POLL_US

if TYPE_CHECKING:
    from harriertrack.lab.fleet.processes.fleet import ProcessFleet


class WitnessProcess:
    """The witness of one rig."""

    def __init__(self, rig: ProcessFleet, address: tuple[str, int]) -> None:
        self._rig, self.address = rig, address
        self._state, self._backup = rig.path("witness.state"), rig.path("witness.backup")
        self._process: Process | None = None
        self._is_listening = False

    def start(self) -> None:
        """Start with the state on disk."""
        host, port = self.address
        arguments = ["standin", "witness", "--listen", f"{host}:{port}", "--state", str(self._state)]
        self._process = self._rig.start_process("witness", arguments)

    def await_listening(self) -> None:
        """Wait until it accepts connections."""
        assert self._process is not None
        self._rig.await_listening(self._process, self.address)
        self._is_listening = True

    def backup(self) -> None:
        """Save a backup of its state."""
        shutil.copy(self._state, self._backup)

    def await_restart(self) -> None:
        """Wait until it listens, if it is restarting."""
        while not self._is_listening:
            self._rig.hub.sleep(POLL_US)

    def take_down(self, us: int, old: bool) -> None:
        """Stop it for a time; `old`: it restarts with the backup's state.

        Waits first if it still restarts after an earlier outage: a busy machine takes seconds to start it.
        """
        rig = self._rig
        self.await_restart()
        self._is_listening = False
        rig.children.running.pop("witness").end()

        def restart() -> None:
            if old:
                shutil.copy(self._backup, self._state)
            self.start()
            rig.scope.spawn("witness", self.await_listening)

        rig.run_after(us, restart)
