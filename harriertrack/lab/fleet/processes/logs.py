"""Reads the logs of heads while they are written, and records what they report."""

from __future__ import annotations

from typing import TYPE_CHECKING

from harriertrack.lab.fleet.processes import launchers
from harriertrack.lab.fleet.processes.children import FleetProcessError, Process
from harriertrack.lab.fleet.rig import POLL_US
from harriertrack.lab.rig import HeadSlot
from harriertrack.rules import recording as rec

if TYPE_CHECKING:
    from harriertrack.lab.fleet.processes.fleet import ProcessFleet


class Logs:
    """The logs of one rig's heads."""

    def __init__(self, rig: ProcessFleet) -> None:
        self._rig = rig
        self._terminating: list[tuple[HeadSlot, Process]] = []

    def follow(self) -> None:
        """Read the logs of all heads (a task). Raises FleetProcessError if a head ended unexpectedly."""
        rig = self._rig
        while True:
            for slot in rig.heads:
                self.read(slot)
                process = rig.children.running.get(slot.name)
                if process is not None and process.ended:
                    raise FleetProcessError(f"{slot.name} ended by itself; see {process.log}")
            for slot, process in list(self._terminating):
                if process.ended:
                    self._terminating.remove((slot, process))
                    self._record_lines(slot, process)
                    rig.recorder.add(rec.HeadLifecycle(t=rig.hub.now(), head=slot.name, number=0, up=False))
            rig.hub.sleep(POLL_US)

    def read(self, slot: HeadSlot) -> None:
        """Record what a running head has logged since the last call."""
        process = self._rig.children.running.get(slot.name)
        if process is not None:
            self._record_lines(slot, process)

    def await_end(self, slot: HeadSlot, process: Process) -> None:
        """Keep reading the log of a head that was asked to terminate, until it has ended."""
        self._terminating.append((slot, process))

    def is_terminating(self, slot: HeadSlot) -> bool:
        """Whether a process of a head that was asked to terminate still runs."""
        return any(one is slot for one, _ in self._terminating)

    def _record_lines(self, slot: HeadSlot, process: Process) -> None:
        rig = self._rig
        for line in process.lines():
            event = str(line.get("event", ""))
            if event == "head starts":
                number = int(str(line["head"]), 16)
                rig.recorder.add(rec.HeadLifecycle(t=rig.hub.now(), head=slot.name, number=number, up=True))
            if event.startswith("launch: "):
                launchers.handle_log_line(rig, slot, event, line)
            rig.observer.log_line(slot, event, line)
