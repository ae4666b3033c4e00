"""Dependency footprints: what a step accessed, and whether two steps are independent.

A *place* is a unit of shared memory: a process (a task group of the hub) or a stand-in. All steps of one
place depend on each other, which is coarse but sound; steps of different places depend on each other only
through the resources named here. A step whose place is unknown depends on every other step.
"""

from __future__ import annotations

from dataclasses import dataclass

CLOCK = "clock"
SEEN = "seen"  # the view that the scenario's invariants are checked on
RANDOM = "random"


@dataclass(frozen=True, slots=True)
class Footprint:
    """The names of the resources that a step read and wrote."""

    reads: frozenset[str] = frozenset()
    writes: frozenset[str] = frozenset()
    known: bool = True  # if false, it may have accessed anything

    def depends_on(self, other: Footprint) -> bool:
        """Return whether two steps are dependent, so that their order may matter."""
        if not (self.known and other.known):
            return True
        return not (
            self.writes.isdisjoint(other.writes)
            and self.writes.isdisjoint(other.reads)
            and self.reads.isdisjoint(other.writes)
        )


ANYTHING = Footprint(known=False)


class FootprintRecorder:
    """Records the footprint of the running step."""

    def __init__(self) -> None:
        self._reads: set[str] = set()
        self._writes: set[str] = set()
        self._known = True

    def read(self, name: str) -> None:
        """Record that the step read a resource."""
        self._reads.add(name)

    def write(self, name: str) -> None:
        """Record that the step changed a resource, or may have."""
        self._writes.add(name)

    def mark_unknown(self) -> None:
        """Record that the step may have accessed anything."""
        self._known = False

    def finish_step(self) -> Footprint:
        """Return the recorded footprint, and clear it for the next step."""
        found = Footprint(frozenset(self._reads), frozenset(self._writes), self._known)
        self._reads, self._writes, self._known = set(), set(), True
        return found
