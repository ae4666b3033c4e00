"""Network faults between the parties of a day, and heads that get too little processor time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from harriertrack.lab.fleet.rig.parties import ends_of
from harriertrack.lab.fleet.scenario import StepSettings
from harriertrack.lab.rig import HeadSlot
from harriertrack.rules import recording as rec
from harriertrack.standin.relay import NetworkFault, NetworkFaults

if TYPE_CHECKING:
    from harriertrack.lab.fleet.rig.fleet import FleetRig


class Faults:
    """The faults of one day; calls the rig's `apply_network_faults` when a network fault begins or ends."""

    def __init__(self, rig: FleetRig, network_faults: NetworkFaults) -> None:
        self._rig, self.network_faults = rig, network_faults
        self._partitioned: list[str] = []  # heads to and from which nothing passes

    def step(self, step: StepSettings) -> None:
        """Begin the network fault that a step describes."""
        sources, targets = ends_of(self._rig, step)
        fault = NetworkFault(
            frozenset(sources), frozenset(targets), not step.one_way, step.cut, step.lost, step.twice,
            step.late_us, step.jitter_us, step.least_bytes,
        )  # fmt: skip
        self.begin(fault, step.for_us)
        if step.cut and not step.one_way:
            heads = [slot.name for slot in self._rig.heads]
            self._partitioned = [name for name in sources if name in heads]
            self._apply_change()

    def begin(self, fault: NetworkFault, us: int) -> None:
        """Begin a network fault, for a time or (0) until all faults are healed."""
        number = self.network_faults.add(fault)
        self._apply_change()

        def end() -> None:
            self.network_faults.remove(number)
            self._apply_change()

        if us:
            self._rig.run_after(us, end)

    def heal(self) -> None:
        """End all network faults."""
        self.network_faults.clear()
        self._apply_change()

    def _apply_change(self) -> None:
        """Record the active faults, and apply them to streams and nodes."""
        rig, now = self._rig, self._rig.hub.now()
        rig.recorder.add(rec.ActiveFaults(t=now, faults=len(self.network_faults)))
        self._partitioned = self._partitioned if len(self.network_faults) else []
        rig.recorder.add(rec.HeadsPartitioned(t=now, heads=self._partitioned))
        rig.apply_network_faults()

    def starve(self, slot: HeadSlot, step: StepSettings) -> None:
        """Let a head run only part of the time (a task). It stays alive, so no fault is recorded."""
        rig, hub = self._rig, self._rig.hub
        rig.extend_fault_time(step.for_us + 2 * step.every_us)
        end_us, pause_us = hub.now() + step.for_us, int(step.share * step.every_us)
        while hub.now() < end_us and slot.name in rig.views.alive:
            rig.pause_unrecorded(slot, pause_us)
            rig.recorder.add(rec.HeadPaused(t=hub.now(), head=slot.name, us=pause_us))
            hub.sleep(rig.rng.randrange(step.every_us // 2, 3 * step.every_us // 2))
