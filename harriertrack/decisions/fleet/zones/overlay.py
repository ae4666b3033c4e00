"""The node list as one head's scheduler module sees it under the fleet's decisions on zones. Pure."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import replace

from harriertrack.decisions.fleet.zones.zone_decision import ZoneDecision, uses_zone
from harriertrack.decisions.interface import NodeEntry, NodeState


class Overlay:
    """Changes the node list for the module: nodes of zones that the head does not use count as removed.

    When a zone is used again its nodes are cold: from their start by the list if they started while the zone
    was left, else from the time when the fleet's first trials were answered. The time when this head uses
    them again does not count, because requests of other heads warm them as well. A zone that this head can
    reach stays in use until it can't, whatever the other heads observe, unless an operator took it out.
    """

    def __init__(self) -> None:
        self._unused: set[str] = set()
        self._kept_in_use: set[str] = set()  # zones left by the fleet that this head has reached all the time
        self._decided: set[str] = set()  # zones that had a decision before
        self._left_at: dict[str, int] = {}  # when the fleet left each zone that this head does not use
        self._warming_since: dict[str, int] = {}  # since when the nodes of each zone used again have warmed

    def apply_decisions(self, now: int, decisions: Iterable[ZoneDecision], me: str, present: Iterable[str],
                        tries: int, reached: Collection[str] = ()) -> bool:  # fmt: skip
        """Apply valid decisions and the zones this head reaches; return whether the list changed."""
        names, by_zone = list(present), {one.zone: one for one in decisions}
        unused = {zone for zone, one in by_zone.items() if not uses_zone(one, me, names, tries)}
        # A head that a decision let in again follows it: its own first trials are no reason to stay.
        may_stay = {zone for zone in by_zone if not by_zone[zone].by_operator and zone in reached}
        self._kept_in_use = {
            zone for zone in may_stay if zone in self._kept_in_use or zone not in self._decided
        }
        self._decided = set(by_zone)
        unused -= self._kept_in_use
        if unused == self._unused:
            return False
        for zone in unused - self._unused:
            self._left_at[zone] = now - by_zone[zone].left_us
            self._warming_since.pop(zone, None)
        for zone in self._unused - unused:
            self._warming_since[zone] = now - (by_zone[zone].warm_us if zone in by_zone else 0)
        self._unused = unused
        return True

    @property
    def unused_zones(self) -> frozenset[str]:
        """Return the zones that this head does not use."""
        return frozenset(self._unused)

    def visible_entry(self, entry: NodeEntry) -> NodeEntry:
        """Return an entry as the module sees it."""
        zone = entry.zone
        if entry.state is not NodeState.UP or (zone not in self._unused and zone not in self._warming_since):
            return entry
        if zone in self._unused:
            return replace(entry, state=NodeState.GONE)
        if entry.started_us > self._left_at[zone] or entry.started_us >= self._warming_since[zone]:
            return entry
        return replace(entry, started_us=self._warming_since[zone])
