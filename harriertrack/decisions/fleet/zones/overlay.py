"""The list as one head's module is told it under the fleet's word. Pure."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import replace

from harriertrack.decisions.fleet.zones.zone_decision import ZoneDecision, uses_zone
from harriertrack.decisions.interface import NodeEntry, NodeState


class Overlay:
    """The list as one head's module is told it: nodes of zones that it does not use are gone for it.

    Of a zone that is used again the nodes are cold, since when the list says that they started; where it does
    not say that they did while the zone was left, since the fleet's first tries were answered. Not since this
    head uses them: they warm by others' work as well. A zone that this head reaches it keeps until it does so
    no longer, whatever the others see, but for an operator's wish.
    """

    def __init__(self) -> None:
        self._unused: set[str] = set()
        self._kept: set[str] = set()  # zones that are left, and that this head reached all the time
        self._under: set[str] = set()  # zones that had a word
        self._left: dict[str, int] = {}  # zones that this head does not use, and when the fleet left them
        self._again: dict[str, int] = {}  # zones that are used again, and since when their nodes warm

    def apply_decisions(self, now: int, words: Iterable[ZoneDecision], me: str, present: Iterable[str],
                        tries: int, reached: Collection[str] = ()) -> bool:  # fmt: skip
        """Take the words that hold, and what this head reaches; return whether to tell the list anew."""
        names, told = list(present), {word.zone: word for word in words}
        unused = {zone for zone, word in told.items() if not uses_zone(word, me, names, tries)}
        # Who was let in again by a word goes by it: what it sees of its first tries is no ground to stay.
        may_keep = {zone for zone in told if not told[zone].by_operator and zone in reached}
        self._kept = {zone for zone in may_keep if zone in self._kept or zone not in self._under}
        self._under = set(told)
        unused -= self._kept
        if unused == self._unused:
            return False
        for zone in unused - self._unused:
            self._left[zone] = now - told[zone].left_us
            self._again.pop(zone, None)
        for zone in self._unused - unused:
            self._again[zone] = now - (told[zone].warm_us if zone in told else 0)
        self._unused = unused
        return True

    @property
    def unused_zones(self) -> frozenset[str]:
        """Return the zones that this head does not use."""
        return frozenset(self._unused)

    def visible_entry(self, entry: NodeEntry) -> NodeEntry:
        """Return an entry as the module is told it."""
        zone = entry.zone
        if entry.state is not NodeState.UP or (zone not in self._unused and zone not in self._again):
            return entry
        if zone in self._unused:
            return replace(entry, state=NodeState.GONE)
        if entry.started_us > self._left[zone] or entry.started_us >= self._again[zone]:
            return entry
        return replace(entry, started_us=self._again[zone])
