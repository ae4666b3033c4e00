"""The witness of a fleet of processes: its life, and its state that is kept aside."""

from __future__ import annotations

import shutil
from typing import TYPE_CHECKING

from harriertrack.lab.fleet.processes.children import Process
from harriertrack.lab.fleet.rig import LOOK_US

if TYPE_CHECKING:
    from harriertrack.lab.fleet.processes.fleet import ProcessFleet


class WitnessProcess:
    """One rig's."""

    def __init__(self, rig: ProcessFleet, address: tuple[str, int]) -> None:
        self._rig, self.address = rig, address
        self._state, self._aside = rig.path("witness.state"), rig.path("witness.backup")
        self._process: Process | None = None
        self._listens = False

    def start(self) -> None:
        """Come up with what is known on disk."""
        host, port = self.address
        arguments = ["standin", "witness", "--listen", f"{host}:{port}", "--state", str(self._state)]
        self._process = self._rig.start_process("witness", arguments)

    def await_listening(self) -> None:
        """Wait until it takes connections."""
        assert self._process is not None
        self._rig.await_listening(self._process, self.address)
        self._listens = True

    def backup(self) -> None:
        """Keep aside what it knows."""
        shutil.copy(self._state, self._aside)

    def await_back(self) -> None:
        """Wait until it is there, if it is on its way."""
        while not self._listens:
            self._rig.hub.sleep(LOOK_US)

    def dark(self, us: int, old: bool) -> None:
        """Go away for a time; `old`: come back as of the backup.

        One that still comes back from the dark before is awaited: a busy machine takes seconds to start it.
        """
        rig = self._rig
        self.await_back()
        self._listens = False
        rig.children.running.pop("witness").end()

        def back() -> None:
            if old:
                shutil.copy(self._aside, self._state)
            self.start()
            rig.scope.spawn("witness", self.await_listening)

        rig.run_after(us, back)
