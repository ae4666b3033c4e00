"""Records when the machine had no processor for a head because it ran other processes.

A head that is runnable without a processor makes no progress, like a suspended one; the kernel counts for how
long. The rig watches its own event loop itself (`lab/rig.py`).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from harriertrack.lab.fleet.processes.children import Process
from harriertrack.lab.rig import MIN_PAUSE_US, PAUSE_CHECK_US
from harriertrack.rules import recording as rec

if TYPE_CHECKING:
    from harriertrack.lab.fleet.processes.fleet import ProcessFleet


def find_stall(previous_us: int, now: int, waited_us: int) -> tuple[int, int] | None:
    """Return the start and duration of a process's stall, if it waited that long between two samples.

    The kernel counts a wait when it ends, so it may have begun before the previous sample. A process that
    waited for less than half of the time, or only briefly, counts as running.
    """
    if waited_us < MIN_PAUSE_US or 2 * waited_us < now - previous_us:
        return None
    started_us = min(previous_us, now - waited_us)
    return started_us, now - started_us


class Machine:
    """The machine that runs one rig's heads."""

    def __init__(self, rig: ProcessFleet) -> None:
        self._rig = rig

    def watch(self) -> None:
        """Record stalls of heads that had no processor (a task)."""
        rig, hub = self._rig, self._rig.hub
        previous_waits: dict[Process, int] = {}
        previous_us = hub.now()
        while True:
            hub.sleep(PAUSE_CHECK_US)
            now, waits = hub.now(), {}
            for slot in rig.heads:
                process = rig.children.running.get(slot.name)
                if process is None:
                    continue
                waits[process] = waited = process.waited_us
                stall = find_stall(previous_us, now, waited - previous_waits.get(process, waited))
                if stall is not None:
                    rig.recorder.add(rec.HeadPaused(t=stall[0], head=slot.name, us=stall[1]))
            previous_waits, previous_us = waits, now
