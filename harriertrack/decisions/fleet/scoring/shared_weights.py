"""The weights of one head, shared with others: scores and pages in, pages and one weight for each node out.

Each scorer has a namespace of its own; if a head runs several, their aggregated weights are averaged (as
powers of two, so that a scorer without an opinion counts as an equal share). `ScorerWeights` is the state of
one scorer, `SharedWeights` of all of them; the decision module reads `WeightFactors`. Pure: time is passed
in.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from harriertrack.decisions.fleet.scoring.aggregation import Opinion, aggregate
from harriertrack.decisions.fleet.scoring.damping import DampedWeight, weight_ceiling
from harriertrack.decisions.fleet.scoring.rules import ScoringRules
from harriertrack.decisions.fleet.scoring.scorer_guard import ScorerGuard
from harriertrack.decisions.fleet.scoring.scorers.base import Namespace
from harriertrack.decisions.fleet.scoring.snapshot import Snapshot
from harriertrack.decisions.fleet.scoring.weight_exchange import (
    Page,
    PeerPages,
    Publisher,
    node_number,
    select_publishers,
)
from harriertrack.decisions.fleet.scoring.weights import normalise, weight_factor


class WeightFactors:
    """The weights as the decision module reads them (interface.Weights)."""

    def __init__(self) -> None:
        self.logs: dict[str, float] = {}

    def factor(self, node: str) -> float:
        """Return a node's load relative to an equal share: 1/4 to 4, and 1 if nothing is known."""
        log = self.logs.get(node)
        return 1.0 if log is None else weight_factor(log)


class ScorerWeights:
    """The weights of one scorer at one head."""

    def __init__(self, namespace: Namespace, rules: ScoringRules) -> None:
        self.namespace, self._rules = namespace, rules
        self.guard = ScorerGuard(rules)
        self.publisher = Publisher(namespace.number, rules)
        self.peers = PeerPages()
        self.own: dict[str, Opinion] = {}
        self.aggregated: dict[str, float] = {}
        self.voters = 0

    def form_opinions(self, snapshot: Snapshot) -> None:
        """Form this head's own opinions from the latest scores of its scorer."""
        logs = normalise(self.guard.scores)
        self.own = {
            node.node: Opinion(logs[node.node], node.evidence, node.age_us)
            for node in snapshot.nodes
            if node.node in logs and node.age_us >= 0
        }

    def aggregate_opinions(
        self, now: int, head: str, names: frozenset[str], snapshot: Snapshot, turn: int
    ) -> None:
        """Aggregate them with those of the heads that may vote: publishers of this turn or the last one."""
        limit = self._rules.reporters
        publishers = select_publishers(names, turn, limit) | select_publishers(names, turn - 1, limit)
        self.peers.prune(names, now - self._rules.stale_us)
        received = self.peers.opinions(now, publishers - {head})
        # If only some of the heads publish, pages from the publishers of two turns may be present at a time.
        self.voters = max(min(len(names), limit), len(self.peers.heads() & publishers) + 1)
        nodes = {node.node: node_number(node.node) for node in snapshot.nodes}
        self.aggregated = {}
        for name, number in nodes.items():
            own = [self.own[name]] if name in self.own else []
            self.aggregated[name] = aggregate([*own, *received.get(number, [])], self.voters, self._rules)


@dataclass(frozen=True, slots=True)
class HeadContext:
    """The inputs of an update: this head, the time, its snapshot, and the heads that are present."""

    head: str
    wall_us: int
    snapshot: Snapshot
    present: frozenset[str]
    runners: Callable[[Namespace], frozenset[str]]  # the present heads that run a scorer


class SharedWeights:
    """All scorers of one head, and the resulting weights."""

    def __init__(self, rules: ScoringRules, alone: bool = False) -> None:
        self.rules, self.alone = rules, alone  # alone: nothing is shared, only the head's own opinions count
        self.by_scorer: dict[str, ScorerWeights] = {}  # by name of the scorer
        self.factors = WeightFactors()
        self._damped: dict[str, DampedWeight] = {}
        self.desired: dict[str, float] = {}

    def set_scorers(self, namespaces: Mapping[str, Namespace]) -> None:
        """Use these scorers from now on. One with another version or other parameters starts from scratch."""
        for name in [name for name in self.by_scorer if name not in namespaces]:
            del self.by_scorer[name]
        for name, namespace in namespaces.items():
            if name not in self.by_scorer or self.by_scorer[name].namespace != namespace:
                self.by_scorer[name] = ScorerWeights(namespace, self.rules)

    def receive(self, now: int, head: str, page: Page) -> bool:
        """Store a page of a head; return whether a scorer of this head has its namespace."""
        for weights in self.by_scorer.values():
            if weights.namespace.number == page.namespace:
                weights.peers.receive(now, head, page)
                return True
        return False

    def forget(self, head: str) -> None:
        """Forget the pages of a head, which has a new incarnation."""
        for weights in self.by_scorer.values():
            weights.peers.forget(head)

    def update(self, now: int, context: HeadContext) -> list[Page]:
        """Aggregate the opinions and move the weights; return the pages to publish."""
        pages: list[Page] = []
        turn = context.wall_us // self.rules.turn_us
        for weights in self.by_scorer.values():
            weights.form_opinions(context.snapshot)
            names = (
                frozenset({context.head})
                if self.alone
                else context.runners(weights.namespace) | {context.head}
            )
            weights.aggregate_opinions(now, context.head, names, context.snapshot, turn)
            if len(names) > 1 and context.head in select_publishers(names, turn, self.rules.reporters):
                publishers = min(len(names), self.rules.reporters)
                if (page := weights.publisher.next_page(now, weights.own, publishers)) is not None:
                    pages.append(page)
        self._move(now, context.snapshot)
        return pages

    def _move(self, now: int, snapshot: Snapshot) -> None:
        nodes = {node.node: node for node in snapshot.nodes}
        for name in [name for name in self._damped if name not in nodes]:
            del self._damped[name]
        count = max(1, len(self.by_scorer))
        self.desired = {}
        for name, node in nodes.items():
            mean = sum(weights.aggregated.get(name, 0.0) for weights in self.by_scorer.values()) / count
            self.desired[name] = min(mean, weight_ceiling(node, self.rules))
            damped = self._damped.setdefault(name, DampedWeight(now))
            damped.move(now, self.desired[name], self.rules)
        self.factors.logs = {name: damped.log for name, damped in self._damped.items()}

    def gain_of(self, node: str) -> float:
        """Return the damping gain of a node's weight: 1 is undamped."""
        damped = self._damped.get(node)
        return damped.gain if damped is not None else 1.0
