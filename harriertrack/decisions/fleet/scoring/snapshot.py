"""What a head observed of each storage node, as an immutable value for scorers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NodeObservation:
    """Recent observations of one node."""

    node: str
    zone: str = ""
    served: float = 0.0  # requests a second that it served for this head
    latency_us: float = 0.0  # their mean latency; 0: none yet
    refused: float = 0.0  # fraction of this head's requests that it rejected, 0 to 1
    lost: float = 0.0  # fraction without an answer, 0 to 1
    fill: float = 0.0  # utilisation, estimated from its latency, 0 to 1
    cold: bool = False  # new, just started, or answering again after a silence
    evidence: float = 0.0  # number of answers behind this, weighted less with age
    age_us: int = -1  # since the latest answer; -1: none ever


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All nodes in use, ordered by name."""

    zone: str = ""  # of the head itself
    nodes: tuple[NodeObservation, ...] = ()

    @property
    def names(self) -> frozenset[str]:
        """Return the names of the nodes."""
        return frozenset(known.node for known in self.nodes)

    def find(self, node: str) -> NodeObservation | None:
        """Return the observations of a node; None if it is not in use."""
        return next((known for known in self.nodes if known.node == node), None)
