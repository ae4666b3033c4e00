"""Least latency: a node that answers in half the time gets up to twice the work."""

from __future__ import annotations

from collections.abc import Mapping

from harriertrack.decisions.fleet.scoring.scorers.base import Parameter, ScorerKind
from harriertrack.decisions.fleet.scoring.snapshot import Snapshot

PARAMETERS = (
    Parameter("power", 1.0, 0.1, 4.0),  # exponent of the latency
    Parameter("lost", 4.0, 0.0, 100.0),  # weight of the fraction of lost answers
)


class LeastLatency:
    """Scores nodes by latency."""

    def __init__(self, power: float, lost: float) -> None:
        self._power, self._lost = power, lost

    def score(self, snapshot: Snapshot) -> Mapping[str, float]:
        """Score by latency, increased by the fraction of lost answers."""
        return {
            node.node: (1e5 / (node.latency_us * (1 + self._lost * node.lost))) ** self._power
            for node in snapshot.nodes
            if node.latency_us > 0
        }


KIND = ScorerKind("least-latency", 1, PARAMETERS, LeastLatency)
