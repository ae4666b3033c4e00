"""Observation of the nodes: sums over the events and actions of a head's module, weighted less with age.

A node's utilisation is estimated from its latency: with a queue, a node of utilisation f takes 1 / (1 - f)
times as long as an idle one (the mean of M/M/1: Kleinrock, "Queueing Systems", vol. 1, 1975, 3.2). That
includes the load of other heads. Pure: time is passed in.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from harriertrack.decisions.fleet.scoring.snapshot import NodeObservation, Snapshot
from harriertrack.decisions.interface import (
    AttemptEnded,
    Event,
    ListKind,
    NodeEntry,
    NodesChanged,
    NodeState,
    Result,
    Send,
)

HALF_LIFE_US = 8_000_000  # after this time an answer counts half
BEST_LATENCY_GROWTH = 0.002  # rise of a node's best latency per answer: it may have become slower for good
SILENT_US = 2_000_000  # a node that answers after leaving requests unanswered for this long is cold again
NEUTRAL_RESULTS = (Result.CANCELLED, Result.MOOT)  # results that tell nothing about the node


@dataclass(slots=True)
class _NodeSums:
    entry: NodeEntry
    at: int  # the time up to which the sums are decayed
    served: float = 0.0
    total_us: float = 0.0
    refused: float = 0.0
    lost: float = 0.0
    best_us: float = 0.0
    answered_at: int = -1
    requested_at: int = -1  # the first request since the last answer
    cold_until: int = 0

    def decay(self, now: int) -> None:
        """Decay the sums up to now."""
        factor = 0.5 ** ((now - self.at) / HALF_LIFE_US)
        self.served, self.total_us = self.served * factor, self.total_us * factor
        self.refused, self.lost = self.refused * factor, self.lost * factor
        self.at = now

    @property
    def outcomes(self) -> float:
        """Return the number of outcomes, weighted by age."""
        return self.served + self.refused + self.lost


class NodeObserver:
    """Collects the observations of one head."""

    def __init__(self, zone: str, warm_us: int) -> None:
        self.zone, self._warm_us = zone, warm_us
        self._nodes: dict[str, _NodeSums] = {}

    def follow(self, now: int, events: Iterable[Event], actions: Iterable[object]) -> None:
        """Process the events and actions of a module."""
        for event in events:
            if isinstance(event, AttemptEnded):
                self._record_result(now, event)
            elif isinstance(event, NodesChanged):
                self._update_nodes(now, event)
        for action in actions:
            if isinstance(action, Send) and (sums := self._nodes.get(action.node)) is not None:
                if sums.requested_at < 0:
                    sums.requested_at = now

    def _update_nodes(self, now: int, update: NodesChanged) -> None:
        if update.kind is ListKind.FAILED:
            return
        for entry in update.entries:
            if entry.state is not NodeState.UP:
                self._nodes.pop(entry.node, None)
                continue
            sums = self._nodes.get(entry.node)
            if sums is None or sums.entry.started_us < entry.started_us:
                started = entry.started_us or now
                self._nodes[entry.node] = _NodeSums(entry, now, cold_until=started + self._warm_us)
            else:
                sums.entry = entry
        if update.kind is not ListKind.CHANGES:
            named = {entry.node for entry in update.entries}
            for name in [name for name in self._nodes if name not in named]:
                del self._nodes[name]

    def _record_result(self, now: int, event: AttemptEnded) -> None:
        sums = self._nodes.get(event.node)
        if sums is None or event.result in NEUTRAL_RESULTS:
            return
        sums.decay(now)
        if event.result in (Result.OK, Result.ERROR, Result.FULL):
            if (
                sums.requested_at >= 0
                and now - sums.requested_at > SILENT_US
                and event.elapsed_us < SILENT_US
            ):
                sums.cold_until = now + self._warm_us
            sums.answered_at, sums.requested_at = now, -1
        if event.result is Result.OK:
            elapsed_us = max(1, event.elapsed_us)
            sums.served += 1
            sums.total_us += elapsed_us
            sums.best_us = (
                min(elapsed_us, sums.best_us * (1 + BEST_LATENCY_GROWTH)) if sums.best_us else elapsed_us
            )
        elif event.result is Result.FULL:
            sums.refused += 1
        else:
            sums.lost += 1

    def snapshot(self, now: int) -> Snapshot:
        """Return the current observations."""
        return Snapshot(
            self.zone, tuple(self._observation(now, self._nodes[name]) for name in sorted(self._nodes))
        )

    def _observation(self, now: int, sums: _NodeSums) -> NodeObservation:
        sums.decay(now)
        outcomes = sums.outcomes
        if outcomes < 1e-3:
            return NodeObservation(sums.entry.node, sums.entry.zone, cold=now < sums.cold_until)
        latency = sums.total_us / sums.served if sums.served > 1e-3 else 0.0
        return NodeObservation(
            sums.entry.node, sums.entry.zone, served=sums.served * 0.6931 / (HALF_LIFE_US / 1e6),
            latency_us=latency, refused=sums.refused / outcomes, lost=sums.lost / outcomes,
            fill=max(0.0, 1 - sums.best_us / latency) if latency else 0.0, cold=now < sums.cold_until,
            evidence=outcomes, age_us=now - sums.answered_at if sums.answered_at >= 0 else -1,
        )  # fmt: skip
