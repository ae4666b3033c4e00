"""Heads that are told the truth of zones: the bound of what any evidence can bring. Simulated only.

Told at once, each for itself: when a zone is out of its reach, and when it is back; its nodes then count as
just started. Nothing else about them differs from heads by themselves.
"""

from __future__ import annotations

from harriertrack.decisions.fleet.zones.overlay import Overlay
from harriertrack.decisions.fleet.zones.zone_decision import ZoneDecision, ZoneStage
from harriertrack.lab.fleet.rig import SimulatedFleet
from harriertrack.lab.fleet.scenario import FleetDaySettings
from harriertrack.lab.rig import HeadSlot
from harriertrack.rules import recording as rec
from harriertrack.runtime.hub import Hub
from harriertrack.runtime.memory_streams import MemoryNetwork


class Oracle(SimulatedFleet):
    """A day whose heads hear of zones from the rig."""

    def __init__(self, hub: Hub, day: FleetDaySettings, heads: int, seed: int,
                 recorder: rec.Recorder) -> None:  # fmt: skip
        super().__init__(hub, MemoryNetwork(hub), day, heads, seed, recorder)
        self._overlays: dict[str, Overlay] = {}
        self._out: dict[str, dict[str, int]] = {}  # by head: zones out of its reach, and how often

    def start_head(self, slot: HeadSlot) -> None:
        """Start a head, which is told the truth as of now."""
        super().start_head(slot)
        assert slot.head is not None
        self._overlays[slot.name] = overlay = Overlay()
        slot.head._listing.overlay = overlay.visible_entry  # noqa: SLF001
        self._tell(slot)

    def cut_zone(self, zone: str, who: list[HeadSlot], us: int) -> None:
        """Strike a zone, and tell who is struck."""
        super().cut_zone(zone, who, us)

        def change(by: int) -> None:
            for slot in who:
                out = self._out.setdefault(slot.name, {})
                out[zone] = out.get(zone, 0) + by
                self._tell(slot)

        change(1)
        self.run_after(us + 1, lambda: change(-1))

    def _tell(self, slot: HeadSlot) -> None:
        if slot.head is None or slot.name not in self._overlays:
            return
        out = sorted(zone for zone, times in self._out.get(slot.name, {}).items() if times)
        words = [ZoneDecision(zone, ZoneStage.OUT, 0.0, 0) for zone in out]
        if self._overlays[slot.name].apply_decisions(self.hub.now(), words, slot.name, [slot.name], 0):
            slot.head._listing.republish()  # noqa: SLF001


def simulate_oracle(day: FleetDaySettings, heads: int, seed: int, recorder: rec.Recorder) -> Oracle:
    """Play a day with heads that know; all is in the recorder then."""
    hub = Hub.virtual(seed)
    rig = Oracle(hub, day, heads, seed, recorder)
    hub.run(rig.run)
    return rig
