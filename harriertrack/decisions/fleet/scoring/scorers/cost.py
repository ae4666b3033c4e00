"""Cost by zone: requests to other zones cost more, and go there if a node is that much faster."""

from __future__ import annotations

from collections.abc import Mapping

from harriertrack.decisions.fleet.scoring.scorers.base import Parameter, ScorerKind
from harriertrack.decisions.fleet.scoring.snapshot import Snapshot

PARAMETERS = (
    Parameter("abroad", 2.0, 1.0, 16.0),  # cost of a request to another zone, relative to the own zone
    Parameter("lateness", 0.5, 0.0, 4.0),  # exponent of the latency relative to the cost
)


class CostByZone:
    """Scores nodes by zone and latency."""

    def __init__(self, abroad: float, lateness: float) -> None:
        self._abroad, self._lateness = abroad, lateness

    def score(self, snapshot: Snapshot) -> Mapping[str, float]:
        """Score by zone and latency."""
        return {
            node.node: (1e5 / node.latency_us) ** self._lateness
            / (1 if node.zone == snapshot.zone else self._abroad)
            for node in snapshot.nodes
            if node.latency_us > 0
        }


KIND = ScorerKind("cost-by-zone", 1, PARAMETERS, CostByZone)
