"""What the machine keeps from heads: a processor, while it runs other processes.

A head that is ready to run and is not run does nothing, as one that stands still; the kernel counts for how
long. The rig's own loop is looked at by the rig itself (`lab/rig.py`).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from harriertrack.lab.fleet.processes.children import Process
from harriertrack.lab.rig import LATE_US, WATCH_US
from harriertrack.rules import recording as rec

if TYPE_CHECKING:
    from harriertrack.lab.fleet.processes.fleet import ProcessFleet


def find_stall(before: int, now: int, waited_us: int) -> tuple[int, int] | None:
    """Return since when and for how long a process stood still that waited so long between two looks.

    A wait is counted when it ends: it may have begun before the last look. What waited less than half of the
    time, or only for a moment, did run.
    """
    if waited_us < LATE_US or 2 * waited_us < now - before:
        return None
    since = min(before, now - waited_us)
    return since, now - since


class Machine:
    """The machine below one rig's heads."""

    def __init__(self, rig: ProcessFleet) -> None:
        self._rig = rig

    def watch(self) -> None:
        """Record when heads had no processor (a task)."""
        rig, hub = self._rig, self._rig.hub
        known: dict[Process, int] = {}
        before = hub.now()
        while True:
            hub.sleep(WATCH_US)
            now, seen = hub.now(), {}
            for slot in rig.heads:
                process = rig.children.running.get(slot.name)
                if process is None:
                    continue
                seen[process] = waited = process.waited_us
                found = find_stall(before, now, waited - known.get(process, waited))
                if found is not None:
                    rig.recorder.add(rec.HeadPaused(t=found[0], head=slot.name, us=found[1]))
            known, before = seen, now
