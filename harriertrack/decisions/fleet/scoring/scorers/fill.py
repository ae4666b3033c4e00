"""Fill-aware: nodes that have time left get more, those that turn work away less."""

from __future__ import annotations

from collections.abc import Mapping

from harriertrack.decisions.fleet.scoring.scorers.base import Parameter, ScorerKind
from harriertrack.decisions.fleet.scoring.snapshot import Snapshot

PARAMETERS = (
    Parameter("floor", 0.1, 0.01, 1.0),  # least time left that is reckoned with: nobody gets nothing
    Parameter("refused", 2.0, 0.0, 100.0),  # how much what is turned away weighs
)


class FillAware:
    """The scorer."""

    def __init__(self, floor: float, refused: float) -> None:
        self._floor, self._refused = floor, refused

    def score(self, picture: Snapshot) -> Mapping[str, float]:
        """Score by the time that nodes have left."""
        return {
            one.node: max(self._floor, 1 - one.fill) / (1 + self._refused * one.refused)
            for one in picture.nodes
            if one.age_us >= 0
        }


KIND = ScorerKind("fill-aware", 1, PARAMETERS, FillAware)
