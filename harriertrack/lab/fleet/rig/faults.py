"""Faults between the parties of a day, and heads that get too little of the processor."""

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
    """Those of one day; the rig's `weather_changed` tells who carries bytes when one begins or ends."""

    def __init__(self, rig: FleetRig, weather: NetworkFaults) -> None:
        self._rig, self.weather = rig, weather
        self._cut: list[str] = []  # heads that nothing passes to or from

    def step(self, step: StepSettings) -> None:
        """Let the fault that a step tells of begin."""
        sources, targets = ends_of(self._rig, step)
        fault = NetworkFault(
            frozenset(sources), frozenset(targets), not step.one_way, step.cut, step.lost, step.twice,
            step.late_us, step.jitter_us, step.least_bytes,
        )  # fmt: skip
        self.strike(fault, step.for_us)
        if step.cut and not step.one_way:
            heads = [slot.name for slot in self._rig.heads]
            self._cut = [name for name in sources if name in heads]
            self._changed()

    def strike(self, fault: NetworkFault, us: int) -> None:
        """Let a fault begin, for a time or (0) until all are healed."""
        number = self.weather.add(fault)
        self._changed()

        def end() -> None:
            self.weather.remove(number)
            self._changed()

        if us:
            self._rig.run_after(us, end)

    def heal(self) -> None:
        """Let all faults end."""
        self.weather.clear()
        self._changed()

    def _changed(self) -> None:
        """Tell that faults began or ended."""
        rig, now = self._rig, self._rig.hub.now()
        rig.recorder.add(rec.ActiveFaults(t=now, faults=len(self.weather)))
        self._cut = self._cut if len(self.weather) else []
        rig.recorder.add(rec.HeadsPartitioned(t=now, heads=self._cut))
        rig.weather_changed()

    def starve(self, slot: HeadSlot, step: StepSettings) -> None:
        """Let a head have the processor for a part of the time only (a task). It lives: that is no fault."""
        rig, hub = self._rig, self._rig.hub
        rig.lasts(step.for_us + 2 * step.every_us)
        until, still = hub.now() + step.for_us, int(step.share * step.every_us)
        while hub.now() < until and slot.name in rig.views.alive:
            rig.pause(slot, still)
            rig.recorder.add(rec.HeadPaused(t=hub.now(), head=slot.name, us=still))
            hub.sleep(rig.drawn.randrange(step.every_us // 2, 3 * step.every_us // 2))
