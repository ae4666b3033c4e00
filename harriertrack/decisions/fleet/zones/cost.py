"""What leaving a zone would cost, and whether the others bear what would come to them.

Data that lie in a zone can't move: while it is left, requests for them are refused. What can go elsewhere are
new objects. How many more of them the other zones bear is told by what they serve and how much longer than at
best their answers take: a node that is busy for a part b of its time serves s, and would serve s (1 - b) / b
more. That is an estimate, and bounded: where hardly anything waits it tells little. Pure.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from harriertrack.decisions.fleet.zones.evidence import ZoneObservation

LEAST_BUSY = 20  # percent; so that at most four times what a zone has served is taken to be free


@dataclass(frozen=True, slots=True)
class Load:
    """What all heads ask of a zone, in requests in half a second."""

    served: int = 0
    movable: int = 0  # of these, new objects: they could have gone elsewhere
    reserved: int = 0  # ... of plans with a reservation
    wasted: int = 0  # attempts at nodes that do not answer
    busy_weighted: int = 0  # `served`, each with the percent for which its zone was busy

    def __add__(self, other: Load | ZoneObservation) -> Load:
        """Return the load with another, or with what one more head sees."""
        waiting = other.busy_weighted if isinstance(other, Load) else other.served * other.busy
        return Load(self.served + other.served, self.movable + other.movable, self.reserved + other.reserved,
                    self.wasted + other.wasted, self.busy_weighted + waiting)  # fmt: skip

    @property
    def spare(self) -> float:
        """Return how much more the zone would serve."""
        busy = max(self.busy_weighted / self.served, LEAST_BUSY) if self.served else 100.0
        return self.served * max(0.0, 100.0 - busy) / busy


@dataclass(frozen=True, slots=True)
class Cost:
    """What would come of leaving a zone, in requests in half a second."""

    movable: float  # new objects, that go elsewhere
    reserved: float  # ... of plans with a reservation
    spare: float  # that the others have
    pinned: float  # requests for data that lie there: refused
    wasted: float  # attempts there that are lost as it is

    @property
    def absorbed(self) -> float:
        """Return how much of what moves finds room."""
        return min(self.movable, self.spare)

    @property
    def absorbed_reserved(self) -> float:
        """Return how much of what is reserved does: it comes first."""
        return min(self.reserved, self.spare)

    @property
    def refused(self) -> float:
        """Return how much of what moves is refused on arrival, with a hint."""
        return self.movable - self.absorbed

    @property
    def worthwhile(self) -> bool:
        """Whether staying loses at least as much."""
        return self.wasted >= self.pinned + self.refused


def leaving_cost(leaving: Load, others: Iterable[Load]) -> Cost:
    """Return what leaving a zone costs while the others are used."""
    room = sum(one.spare for one in others)
    return Cost(leaving.movable, leaving.reserved, room, leaving.served - leaving.movable, leaving.wasted)
