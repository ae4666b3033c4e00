"""Least latency: a node that answers in half the time gets up to twice the work."""

from __future__ import annotations

from collections.abc import Mapping

from harriertrack.decisions.fleet.scoring.scorers.base import Parameter, ScorerKind
from harriertrack.decisions.fleet.scoring.snapshot import Snapshot

PARAMETERS = (
    Parameter("power", 1.0, 0.1, 4.0),  # of the latency
    Parameter("lost", 4.0, 0.0, 100.0),  # latencies that a lost answer counts as
)


class LeastLatency:
    """The scorer."""

    def __init__(self, power: float, lost: float) -> None:
        self._power, self._lost = power, lost

    def score(self, picture: Snapshot) -> Mapping[str, float]:
        """Score by latency, raised by what gets lost."""
        return {
            one.node: (1e5 / (one.latency_us * (1 + self._lost * one.lost))) ** self._power
            for one in picture.nodes
            if one.latency_us > 0
        }


KIND = ScorerKind("least-latency", 1, PARAMETERS, LeastLatency)
