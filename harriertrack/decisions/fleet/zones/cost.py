"""The cost of leaving a zone, and whether the other zones can serve what would move to them.

Data stored in a zone can't move: while the zone is left, requests for them are refused. Only new objects can
go elsewhere. How many more of them the other zones can serve is estimated from the requests they serve and
from how much their answer times exceed the best ones: a node that is busy for a part b of its time serves s,
and would serve s (1 - b) / b more. The estimate is bounded, as it is poor where few requests queue. Pure.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from harriertrack.decisions.fleet.zones.evidence import ZoneObservation

MIN_BUSY = 20  # percent; bounds the spare capacity to four times what a zone has served


@dataclass(frozen=True, slots=True)
class Load:
    """What all heads request of a zone, in requests per half second."""

    served: int = 0
    movable: int = 0  # of these, new objects, which could have gone elsewhere
    reserved: int = 0  # of those, by plans with a reservation
    wasted: int = 0  # attempts at nodes that do not answer
    busy_weighted: int = 0  # sum of `served` times the busy percentage, over heads

    def __add__(self, other: Load | ZoneObservation) -> Load:
        """Return the sum with another load, or with one more head's observation."""
        weighted = other.busy_weighted if isinstance(other, Load) else other.served * other.busy
        return Load(self.served + other.served, self.movable + other.movable, self.reserved + other.reserved,
                    self.wasted + other.wasted, self.busy_weighted + weighted)  # fmt: skip

    @property
    def spare(self) -> float:
        """Return how many more requests the zone would serve."""
        busy = max(self.busy_weighted / self.served, MIN_BUSY) if self.served else 100.0
        return self.served * max(0.0, 100.0 - busy) / busy


@dataclass(frozen=True, slots=True)
class Cost:
    """The effect of leaving a zone, in requests per half second."""

    movable: float  # new objects, which go elsewhere
    reserved: float  # of those, by plans with a reservation
    spare: float  # capacity of the other zones
    pinned: float  # requests for data stored there: refused
    wasted: float  # attempts there that are lost while it is used

    @property
    def absorbed(self) -> float:
        """Return how many of the moving requests the other zones can serve."""
        return min(self.movable, self.spare)

    @property
    def absorbed_reserved(self) -> float:
        """Return how many of the reserved ones they can serve; these come first."""
        return min(self.reserved, self.spare)

    @property
    def refused(self) -> float:
        """Return how many of the moving requests are refused on arrival, with a hint."""
        return self.movable - self.absorbed

    @property
    def worthwhile(self) -> bool:
        """Whether staying loses at least as many requests as leaving."""
        return self.wasted >= self.pinned + self.refused


def leaving_cost(leaving: Load, others: Iterable[Load]) -> Cost:
    """Return the cost of leaving a zone while the others are used."""
    spare = sum(one.spare for one in others)
    return Cost(leaving.movable, leaving.reserved, spare, leaving.served - leaving.movable, leaving.wasted)
