"""The list as one head's module is told it under the fleet's word. Pure."""

from __future__ import annotations

from collections.abc import Iterable

from harriertrack.decisions.fleet.zones.words import Word, uses
from harriertrack.decisions.interface import NodeEntry, NodeState


class Overlay:
    """The list as one head's module is told it: nodes of zones that it does not use are gone for it."""

    def __init__(self) -> None:
        self._unused: set[str] = set()
        self._again: dict[str, int] = {}  # zones that are used again, and since when

    def follow(self, now: int, words: Iterable[Word], me: str, present: Iterable[str], tries: int) -> bool:
        """Take the words that hold now; return whether the list is to be told anew."""
        names = list(present)
        unused = {word.zone for word in words if not uses(word, me, names, tries)}
        if unused == self._unused:
            return False
        self._again = {zone: at for zone, at in self._again.items() if zone not in unused}
        self._again.update(dict.fromkeys(self._unused - unused, now))
        self._unused = unused
        return True

    @property
    def unused(self) -> frozenset[str]:
        """Return the zones that this head does not use."""
        return frozenset(self._unused)

    def shown(self, entry: NodeEntry) -> NodeEntry:
        """Return an entry as the module is told it; a node that is used again counts as just started."""
        if entry.zone in self._unused and entry.state is NodeState.UP:
            return NodeEntry(entry.node, entry.shard, NodeState.GONE, entry.zone, entry.started_us)
        started = max(entry.started_us, self._again.get(entry.zone, 0))
        if started != entry.started_us and entry.state is NodeState.UP:
            return NodeEntry(entry.node, entry.shard, entry.state, entry.zone, started)
        return entry
