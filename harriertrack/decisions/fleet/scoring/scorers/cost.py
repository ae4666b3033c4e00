"""Cost by zone: what leaves the head's own zone costs more, and is worth it where it is so much faster."""

from __future__ import annotations

from collections.abc import Mapping

from harriertrack.decisions.fleet.scoring.scorers.base import Parameter, ScorerKind
from harriertrack.decisions.fleet.scoring.snapshot import Snapshot

PARAMETERS = (
    Parameter("abroad", 2.0, 1.0, 16.0),  # what a request to another zone costs, in those at home
    Parameter("lateness", 0.5, 0.0, 4.0),  # power of the latency beside the cost
)


class CostByZone:
    """The scorer."""

    def __init__(self, abroad: float, lateness: float) -> None:
        self._abroad, self._lateness = abroad, lateness

    def score(self, picture: Snapshot) -> Mapping[str, float]:
        """Score by zone and latency."""
        return {
            one.node: (1e5 / one.latency_us) ** self._lateness
            / (1 if one.zone == picture.zone else self._abroad)
            for one in picture.nodes
            if one.latency_us > 0
        }


KIND = ScorerKind("cost-by-zone", 1, PARAMETERS, CostByZone)
