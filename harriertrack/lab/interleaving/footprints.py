"""What a step touched, and whether two steps may change places without anybody seeing it.

A *place* is what shares memory: a process (a group of the hub), a stand-in. All steps of one place depend on
each other, which is coarse and safe; steps of two places meet only in what is named here. A step whose place
is not known depends on everything.
"""

from __future__ import annotations

from dataclasses import dataclass

CLOCK = "clock"
SEEN = "seen"  # what the scenario's judgement looks at
RANDOM = "random"


@dataclass(frozen=True, slots=True)
class Footprint:
    """The names that a step read and wrote."""

    reads: frozenset[str] = frozenset()
    writes: frozenset[str] = frozenset()
    known: bool = True  # else it may have touched anything

    def depends_on(self, other: Footprint) -> bool:
        """Whether the order of two steps may matter."""
        if not (self.known and other.known):
            return True
        return not (
            self.writes.isdisjoint(other.writes)
            and self.writes.isdisjoint(other.reads)
            and self.reads.isdisjoint(other.writes)
        )


ANYTHING = Footprint(known=False)


class FootprintRecorder:
    """Gathers the footprint of the step that runs."""

    def __init__(self) -> None:
        self._reads: set[str] = set()
        self._writes: set[str] = set()
        self._known = True

    def read(self, name: str) -> None:
        """The step looked at something."""
        self._reads.add(name)

    def write(self, name: str) -> None:
        """The step changed something, or might have."""
        self._writes.add(name)

    def mark_unknown(self) -> None:
        """The step may have touched anything."""
        self._known = False

    def finish_step(self) -> Footprint:
        """Return what was gathered, and begin anew."""
        found = Footprint(frozenset(self._reads), frozenset(self._writes), self._known)
        self._reads, self._writes, self._known = set(), set(), True
        return found
