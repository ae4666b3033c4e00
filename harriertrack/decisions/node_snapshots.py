"""Read-only snapshots of the nodes as a decision module sees them, for the laboratory's reports."""

from __future__ import annotations

from dataclasses import dataclass

from harriertrack.decisions.baselines import Baseline
from harriertrack.decisions.cell_scheduler import CellScheduler
from harriertrack.decisions.scheduler import Scheduler


@dataclass(frozen=True, slots=True)
class NodeSnapshot:
    """One node as seen by one head; `window` in requests, `held` in units, `out` in requests."""

    window: float
    held: float
    out: int
    silent: bool


def snapshot_nodes(module: Scheduler | CellScheduler | Baseline) -> dict[str, NodeSnapshot]:
    """Return a snapshot of each node; a baseline only has the requests in flight."""
    if isinstance(module, Baseline):
        return {name: NodeSnapshot(0.0, 0.0, out, False) for name, out in module._outstanding.items()}
    if isinstance(module, CellScheduler):
        return {name: snapshot for one in module.modules() for name, snapshot in snapshot_nodes(one).items()}
    return {
        name: NodeSnapshot(node.window, node.held_units, len(node.out), bool(node.silent_at))
        for name, node in module._nodes.items()
    }
