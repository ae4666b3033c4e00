"""The logs of heads as they are written: what becomes of heads, and what they tell."""

from __future__ import annotations

from typing import TYPE_CHECKING

from harriertrack.lab.fleet.processes import launchers
from harriertrack.lab.fleet.processes.children import FleetProcessError, Process
from harriertrack.lab.fleet.rig import LOOK_US
from harriertrack.lab.rig import HeadSlot
from harriertrack.rules import recording as rec

if TYPE_CHECKING:
    from harriertrack.lab.fleet.processes.fleet import ProcessFleet


class Logs:
    """Those of one rig's heads."""

    def __init__(self, rig: ProcessFleet) -> None:
        self._rig = rig
        self._leaving: list[tuple[HeadSlot, Process]] = []

    def follow(self) -> None:
        """Read what heads tell (a task). Raises FleetProcessError: one ended by itself."""
        rig = self._rig
        while True:
            for slot in rig.heads:
                self.read(slot)
                process = rig.children.running.get(slot.name)
                if process is not None and process.ended:
                    raise FleetProcessError(f"{slot.name} ended by itself; see {process.log}")
            for slot, process in list(self._leaving):
                if process.ended:
                    self._leaving.remove((slot, process))
                    self._take(slot, process)
                    rig.recorder.add(rec.HeadLifecycle(t=rig.hub.now(), head=slot.name, number=0, up=False))
            rig.hub.sleep(LOOK_US)

    def read(self, slot: HeadSlot) -> None:
        """Take what a running head told since the last time."""
        process = self._rig.children.running.get(slot.name)
        if process is not None:
            self._take(slot, process)

    def leaves(self, slot: HeadSlot, process: Process) -> None:
        """Read on until a head has ended that was asked to."""
        self._leaving.append((slot, process))

    def still_leaves(self, slot: HeadSlot) -> bool:
        """Whether a process of a head that was asked to end still runs."""
        return any(one is slot for one, _ in self._leaving)

    def _take(self, slot: HeadSlot, process: Process) -> None:
        rig = self._rig
        for line in process.lines():
            event = str(line.get("event", ""))
            if event == "head starts":
                number = int(str(line["head"]), 16)
                rig.recorder.add(rec.HeadLifecycle(t=rig.hub.now(), head=slot.name, number=number, up=True))
            if event.startswith("launch: "):
                launchers.heard(rig, slot, event, line)
            rig.observer.log_line(slot, event, line)
