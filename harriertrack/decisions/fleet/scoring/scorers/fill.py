"""Fill-aware: nodes with spare capacity get more, those that reject requests less."""

from __future__ import annotations

from collections.abc import Mapping

from harriertrack.decisions.fleet.scoring.scorers.base import Parameter, ScorerKind
from harriertrack.decisions.fleet.scoring.snapshot import Snapshot

PARAMETERS = (
    Parameter("floor", 0.1, 0.01, 1.0),  # minimum of the spare capacity: no node gets nothing
    Parameter("refused", 2.0, 0.0, 100.0),  # weight of the rejected fraction
)


class FillAware:
    """Scores nodes by their spare capacity."""

    def __init__(self, floor: float, refused: float) -> None:
        self._floor, self._refused = floor, refused

    def score(self, snapshot: Snapshot) -> Mapping[str, float]:
        """Score by spare capacity."""
        return {
            node.node: max(self._floor, 1 - node.fill) / (1 + self._refused * node.refused)
            for node in snapshot.nodes
            if node.age_us >= 0
        }


KIND = ScorerKind("fill-aware", 1, PARAMETERS, FillAware)
