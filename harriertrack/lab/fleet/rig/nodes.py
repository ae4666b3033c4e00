"""Single nodes that are drained, or that restart cold, on a fleet day in simulated time."""

from __future__ import annotations

from harriertrack.decisions.interface import NodeState
from harriertrack.lab.rig import Rig


def drain(rig: Rig, part: float, us: int) -> None:
    """List a share of the nodes as draining for a time."""
    drained = rig.pick_nodes(part)
    for node in drained:
        rig.list_service_of(node).set_state(node.settings.name, NodeState.DRAINING)

    def end_drain() -> None:
        for node in drained:
            if node.up:  # a stopped node is listed as up when it restarts
                rig.list_service_of(node).set_state(node.settings.name, NodeState.UP)

    rig.run_after(us, end_drain)


def come_back_cold(rig: Rig, part: float, us: int) -> None:
    """Stop a share of the nodes now, and restart them cold after a time."""
    stopped = rig.pick_nodes(part)
    for node in stopped:
        node.stop()

    def restart() -> None:
        for node in stopped:
            if not node.up:
                rig.restart_node(node)

    rig.run_after(us, restart)
