"""What a head sees of each storage node, as a value that a scorer is handed and can't change."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NodeObservation:
    """One node, of late."""

    node: str
    zone: str = ""
    served: float = 0.0  # requests a second that it served this head
    latency_us: float = 0.0  # mean time of these; 0: none yet
    refused: float = 0.0  # share of what this head sent that it turned away, 0 to 1
    lost: float = 0.0  # share that got no answer, 0 to 1
    fill: float = 0.0  # share of its time that is taken, as its latency tells, 0 to 1
    cold: bool = False  # new, just started, or back after a silence
    evidence: float = 0.0  # answers that this is drawn from, the older the less
    age_us: int = -1  # since the latest of them; -1: none ever


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All nodes that are in use, by name."""

    zone: str = ""  # of the head itself
    nodes: tuple[NodeObservation, ...] = ()

    @property
    def names(self) -> frozenset[str]:
        """Return which nodes there are."""
        return frozenset(one.node for one in self.nodes)

    def find(self, node: str) -> NodeObservation | None:
        """Return what is seen of a node."""
        return next((one for one in self.nodes if one.node == node), None)
