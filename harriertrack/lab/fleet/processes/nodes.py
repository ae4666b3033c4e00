"""Storage nodes as processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from harriertrack.config.formatting import format_settings
from harriertrack.config.settings import NodeStandInSettings
from harriertrack.lab.fleet.processes.children import Process

if TYPE_CHECKING:
    from harriertrack.lab.fleet.processes.fleet import ProcessFleet


class ShelfProcess:
    """A node process, with the interface by which the rig uses node servers."""

    def __init__(self, rig: ProcessFleet, settings: NodeStandInSettings) -> None:
        self._rig, self.settings = rig, settings
        self.address, self.started_at_us, self.up = settings.listen, 0, True
        self._process: Process | None = None

    def start(self, _scope: object, _cold: bool = False) -> None:
        """Start the process."""
        rig, name = self._rig, self.settings.name
        path = rig.path(f"{name}.sexp")
        path.write_text(format_settings("shelf", self.settings))
        arguments = ["shelf", str(path), "--record", str(rig.path(f"{name}.rec"))]
        self._process = rig.start_process(name, arguments)

    def await_listening(self) -> None:
        """Wait until it accepts connections."""
        assert self._process is not None
        self._rig.await_listening(self._process, self.address)
