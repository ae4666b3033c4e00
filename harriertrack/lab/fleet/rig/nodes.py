"""Single nodes that are drained or come back cold on a fleet's day in simulated time."""

from __future__ import annotations

from harriertrack.decisions.interface import NodeState
from harriertrack.lab.rig import Rig


def drain(rig: Rig, part: float, us: int) -> None:
    """Let a part of the nodes be listed as draining for a time."""
    struck = rig.pick_nodes(part)
    for shelf in struck:
        rig.list_service_of(shelf).set_state(shelf.settings.name, NodeState.DRAINING)

    def back() -> None:
        for shelf in struck:
            if shelf.up:  # what is dark is listed as up when it comes back
                rig.list_service_of(shelf).set_state(shelf.settings.name, NodeState.UP)

    rig.run_after(us, back)


def come_back_cold(rig: Rig, part: float, us: int) -> None:
    """Let a part of the nodes go dark at once, and come back cold."""
    struck = rig.pick_nodes(part)
    for shelf in struck:
        shelf.stop()

    def back() -> None:
        for shelf in struck:
            if not shelf.up:
                rig.restart_node(shelf)

    rig.run_after(us, back)
