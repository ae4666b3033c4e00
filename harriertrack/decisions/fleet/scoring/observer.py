"""Drawing the picture: what a head's module hears and does, node by node, the older the less it counts.

How far a node is taken is read off its latency: where requests wait in line a node that is taken for a part f
of its time takes 1 / (1 - f) times as long as an idle one (the mean of M/M/1: Kleinrock, "Queueing Systems",
vol. 1, 1975, 3.2). That holds whoever else asks it. Pure: time is handed in.
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

HALF_LIFE_US = 8_000_000  # after which an answer counts half
BEST_UP = 0.002  # a node's best latency rises by this part with each answer: it may have slowed for good
SILENT_US = 2_000_000  # a node that is heard again after such a silence, though asked, is returning
MOVED = (Result.CANCELLED, Result.MOOT)  # say nothing of the node


@dataclass(slots=True)
class _Seen:
    entry: NodeEntry
    at: int  # as of when the sums are faded
    served: float = 0.0
    took_us: float = 0.0
    refused: float = 0.0
    lost: float = 0.0
    best_us: float = 0.0
    heard_at: int = -1
    asked_at: int = -1  # the first request since it was heard
    cold_until: int = 0

    def fade(self, now: int) -> None:
        """Bring the sums up to date."""
        part = 0.5 ** ((now - self.at) / HALF_LIFE_US)
        self.served, self.took_us = self.served * part, self.took_us * part
        self.refused, self.lost = self.refused * part, self.lost * part
        self.at = now

    @property
    def sums(self) -> float:
        """Return how many outcomes are remembered."""
        return self.served + self.refused + self.lost


class NodeObserver:
    """One head's."""

    def __init__(self, zone: str, warm_us: int) -> None:
        self.zone, self._warm_us = zone, warm_us
        self._nodes: dict[str, _Seen] = {}

    def follow(self, now: int, events: Iterable[Event], actions: Iterable[object]) -> None:
        """See what a module heard and did."""
        for event in events:
            if isinstance(event, AttemptEnded):
                self._ended(now, event)
            elif isinstance(event, NodesChanged):
                self._listed(now, event)
        for action in actions:
            if isinstance(action, Send) and (seen := self._nodes.get(action.node)) is not None:
                if seen.asked_at < 0:
                    seen.asked_at = now

    def _listed(self, now: int, news: NodesChanged) -> None:
        if news.kind is ListKind.FAILED:
            return
        for entry in news.entries:
            if entry.state is not NodeState.UP:
                self._nodes.pop(entry.node, None)
                continue
            seen = self._nodes.get(entry.node)
            if seen is None or seen.entry.started_us < entry.started_us:
                began = entry.started_us or now
                self._nodes[entry.node] = _Seen(entry, now, cold_until=began + self._warm_us)
            else:
                seen.entry = entry
        if news.kind is not ListKind.CHANGES:
            named = {entry.node for entry in news.entries}
            for name in [name for name in self._nodes if name not in named]:
                del self._nodes[name]

    def _ended(self, now: int, event: AttemptEnded) -> None:
        seen = self._nodes.get(event.node)
        if seen is None or event.result in MOVED:
            return
        seen.fade(now)
        if event.result in (Result.OK, Result.ERROR, Result.FULL):
            if seen.asked_at >= 0 and now - seen.asked_at > SILENT_US and event.elapsed_us < SILENT_US:
                seen.cold_until = now + self._warm_us
            seen.heard_at, seen.asked_at = now, -1
        if event.result is Result.OK:
            took = max(1, event.elapsed_us)
            seen.served += 1
            seen.took_us += took
            seen.best_us = min(took, seen.best_us * (1 + BEST_UP)) if seen.best_us else took
        elif event.result is Result.FULL:
            seen.refused += 1
        else:
            seen.lost += 1

    def snapshot(self, now: int) -> Snapshot:
        """Return what is seen now."""
        return Snapshot(self.zone, tuple(self._sight(now, self._nodes[name]) for name in sorted(self._nodes)))

    def _sight(self, now: int, seen: _Seen) -> NodeObservation:
        seen.fade(now)
        sums = seen.sums
        if sums < 1e-3:
            return NodeObservation(seen.entry.node, seen.entry.zone, cold=now < seen.cold_until)
        latency = seen.took_us / seen.served if seen.served > 1e-3 else 0.0
        return NodeObservation(
            seen.entry.node, seen.entry.zone, served=seen.served * 0.6931 / (HALF_LIFE_US / 1e6),
            latency_us=latency, refused=seen.refused / sums, lost=seen.lost / sums,
            fill=max(0.0, 1 - seen.best_us / latency) if latency else 0.0, cold=now < seen.cold_until,
            evidence=sums, age_us=now - seen.heard_at if seen.heard_at >= 0 else -1,
        )  # fmt: skip
