"""Storage nodes as processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from harriertrack.config.settings import ShelfSettings
from harriertrack.config.written import written

if TYPE_CHECKING:
    from harriertrack.lab.fleet.processes.fleet import ProcessFleet


class ShelfProcess:
    """One, as far as the rig knows nodes."""

    def __init__(self, rig: ProcessFleet, settings: ShelfSettings) -> None:
        self._rig, self.settings = rig, settings
        self.address, self.started_at, self.up = settings.listen, 0, True

    def start(self, _scope: object, _cold: bool = False) -> None:
        """Come up and listen."""
        rig, name = self._rig, self.settings.name
        path = rig.path(f"{name}.sexp")
        path.write_text(written("shelf", self.settings))
        arguments = ["shelf", str(path), "--record", str(rig.path(f"{name}.rec"))]
        rig.await_listening(rig.start_process(name, arguments), self.address)
