"""What a decision module holds of each node just now, for the laboratory's reports: a look, no touch."""

from __future__ import annotations

from dataclasses import dataclass

from harriertrack.decisions.baselines import Baseline
from harriertrack.decisions.cell_scheduler import CellScheduler
from harriertrack.decisions.scheduler import Scheduler


@dataclass(frozen=True, slots=True)
class NodeSnapshot:
    """One node as one head sees it; `window` is requests, `held` units, `out` requests."""

    window: float
    held: float
    out: int
    silent: bool


def snapshot_nodes(module: Scheduler | CellScheduler | Baseline) -> dict[str, NodeSnapshot]:
    """Return each node's picture; a baseline keeps none but what is out."""
    if isinstance(module, Baseline):
        return {name: NodeSnapshot(0.0, 0.0, out, False) for name, out in module._outstanding.items()}
    if isinstance(module, CellScheduler):
        return {name: seen for one in module.modules() for name, seen in snapshot_nodes(one).items()}
    return {
        name: NodeSnapshot(node.window, node.held_units, len(node.out), bool(node.silent_at))
        for name, node in module._nodes.items()
    }
