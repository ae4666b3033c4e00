"""Looks at the machines of an emulated day at fixed moments, for reports; it changes nothing."""

from __future__ import annotations

from collections import defaultdict

from harriertrack.decisions.node_snapshots import snapshot_nodes
from harriertrack.lab.rig import Rig
from harriertrack.lab.scores import STEP_US, NodeStep


class Watch:
    """Gathers `NodeStep`s of a rig."""

    def __init__(self, every_us: int = STEP_US) -> None:
        self.steps: list[NodeStep] = []
        self._every_us = every_us
        self._start = 0

    def begin(self, rig: Rig) -> None:
        """Look now and again until the day is over."""
        self._start = rig.hub.now()
        self._look(rig)

    def _look(self, rig: Rig) -> None:
        windows: dict[str, float] = defaultdict(float)
        held: dict[str, float] = defaultdict(float)
        out: dict[str, int] = defaultdict(int)
        for slot in rig.heads:
            if slot.head is None or not hasattr(slot.head, "module"):
                continue
            for name, seen in snapshot_nodes(slot.head.module).items():
                windows[name] += seen.window
                held[name] += seen.held
                out[name] += seen.out
        t = rig.hub.now() - self._start
        for name, shelf in rig.nodes.items():
            seen_of = windows[name], held[name], out[name]
            self.steps.append(NodeStep(t, name, shelf.queue_length, *seen_of))
        if t < rig.day.length_us:
            rig.hub.at_outside(rig.hub.now() + self._every_us, lambda: self._look(rig))
