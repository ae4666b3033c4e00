"""Samples the queues and windows of an emulated day's nodes at a fixed interval, for reports; read-only."""

from __future__ import annotations

from collections import defaultdict

from harriertrack.decisions.node_snapshots import snapshot_nodes
from harriertrack.lab.rig import Rig
from harriertrack.lab.scores import STEP_US, NodeSample


class NodeSampler:
    """Collects a `NodeSample` for each node of a rig at each sample."""

    def __init__(self, interval_us: int = STEP_US) -> None:
        self.steps: list[NodeSample] = []
        self._interval_us = interval_us
        self._start_us = 0

    def start(self, rig: Rig) -> None:
        """Sample now and then at each interval until the day is over."""
        self._start_us = rig.hub.now()
        self._sample(rig)

    def _sample(self, rig: Rig) -> None:
        windows: dict[str, float] = defaultdict(float)
        held: dict[str, float] = defaultdict(float)
        in_flight: dict[str, int] = defaultdict(int)
        for slot in rig.heads:
            if slot.head is None or not hasattr(slot.head, "module"):
                continue
            for name, snapshot in snapshot_nodes(slot.head.module).items():
                windows[name] += snapshot.window
                held[name] += snapshot.held
                in_flight[name] += snapshot.out
        t_us = rig.hub.now() - self._start_us
        for name, shelf in rig.nodes.items():
            totals = windows[name], held[name], in_flight[name]
            self.steps.append(NodeSample(t_us, name, shelf.queue_length, *totals))
        if t_us < rig.day.length_us:
            rig.hub.at_outside(rig.hub.now() + self._interval_us, lambda: self._sample(rig))
