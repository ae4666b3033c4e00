"""One head's part in sharing weights: scorers' answers in, pages in and out, one weight for each node out.

Each scorer is a namespace of its own; where a head runs several their joined weights are averaged (as powers
of two, so that a scorer that has no opinion counts as an even share). `ScorerWeights` is the state of one
scorer, `SharedWeights` of them all; the module asks `WeightFactors`. Pure: time is handed in.
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
    """What the module asks (interface.Weights)."""

    def __init__(self) -> None:
        self.logs: dict[str, float] = {}

    def factor(self, node: str) -> float:
        """Return by how much more than an even share a node is to get: 1/4 to 4, 1 if nothing is known."""
        log = self.logs.get(node)
        return 1.0 if log is None else weight_factor(log)


class ScorerWeights:
    """One scorer at one head."""

    def __init__(self, namespace: Namespace, rules: ScoringRules) -> None:
        self.namespace, self._rules = namespace, rules
        self.guard = ScorerGuard(rules)
        self.publisher = Publisher(namespace.number, rules)
        self.peers = PeerPages()
        self.own: dict[str, Opinion] = {}
        self.aggregated: dict[str, float] = {}
        self.voters = 0

    def form_opinions(self, picture: Snapshot) -> None:
        """Form this head's own opinion of the scores that its scorer gave last."""
        logs = normalise(self.guard.scores)
        self.own = {
            sight.node: Opinion(logs[sight.node], sight.evidence, sight.age_us)
            for sight in picture.nodes
            if sight.node in logs and sight.age_us >= 0
        }

    def aggregate(self, now: int, me: str, names: frozenset[str], picture: Snapshot, turn: int) -> None:
        """Join it with what was heard of those who may vote: who speaks in this turn or did in the last."""
        most = self._rules.reporters
        may = select_publishers(names, turn, most) | select_publishers(names, turn - 1, most)
        self.peers.prune(names, now - self._rules.stale_us)
        heard = self.peers.opinions(now, may - {me})
        # Where a few speak for many, those of two turns may be heard at a time.
        self.voters = max(min(len(names), most), len(self.peers.heads() & may) + 1)
        nodes = {sight.node: node_number(sight.node) for sight in picture.nodes}
        self.aggregated = {}
        for name, number in nodes.items():
            own = [self.own[name]] if name in self.own else []
            self.aggregated[name] = aggregate([*own, *heard.get(number, [])], self.voters, self._rules)


@dataclass(frozen=True, slots=True)
class HeadContext:
    """What a head knows as it looks: who is there, and which of them run a scorer."""

    me: str
    wall_us: int
    picture: Snapshot
    there: frozenset[str]
    run: Callable[[Namespace], frozenset[str]]  # those of `there` that run it


class SharedWeights:
    """All scorers of one head, and the weights that come of them."""

    def __init__(self, rules: ScoringRules, alone: bool = False) -> None:
        self.rules, self.alone = rules, alone  # alone: nothing is shared, only its own opinion counts
        self.by_scorer: dict[str, ScorerWeights] = {}  # by scorer's name
        self.factors = WeightFactors()
        self._damped: dict[str, DampedWeight] = {}
        self.desired: dict[str, float] = {}

    def set_scorers(self, namespaces: Mapping[str, Namespace]) -> None:
        """Run these scorers from now on. One of another version or other parameters begins anew."""
        for name in [name for name in self.by_scorer if name not in namespaces]:
            del self.by_scorer[name]
        for name, namespace in namespaces.items():
            if name not in self.by_scorer or self.by_scorer[name].namespace != namespace:
                self.by_scorer[name] = ScorerWeights(namespace, self.rules)

    def receive(self, now: int, head: str, page: Page) -> bool:
        """Take a head's page; return whether a scorer of this head has that namespace."""
        for one in self.by_scorer.values():
            if one.namespace.number == page.namespace:
                one.peers.receive(now, head, page)
                return True
        return False

    def forget(self, head: str) -> None:
        """Forget what a head said: it is another life of itself by now."""
        for one in self.by_scorer.values():
            one.peers.forget(head)

    def update(self, now: int, moment: HeadContext) -> list[Page]:
        """Join what is thought, and move the weights; return the pages that are to be said."""
        pages: list[Page] = []
        turn = moment.wall_us // self.rules.turn_us
        for one in self.by_scorer.values():
            one.form_opinions(moment.picture)
            names = frozenset({moment.me}) if self.alone else moment.run(one.namespace) | {moment.me}
            one.aggregate(now, moment.me, names, moment.picture, turn)
            if len(names) > 1 and moment.me in select_publishers(names, turn, self.rules.reporters):
                voices = min(len(names), self.rules.reporters)
                if (page := one.publisher.next_page(now, one.own, voices)) is not None:
                    pages.append(page)
        self._move(now, moment.picture)
        return pages

    def _move(self, now: int, picture: Snapshot) -> None:
        nodes = {sight.node: sight for sight in picture.nodes}
        for name in [name for name in self._damped if name not in nodes]:
            del self._damped[name]
        count = max(1, len(self.by_scorer))
        self.desired = {}
        for name, sight in nodes.items():
            mean = sum(one.aggregated.get(name, 0.0) for one in self.by_scorer.values()) / count
            self.desired[name] = min(mean, weight_ceiling(sight, self.rules))
            damped = self._damped.setdefault(name, DampedWeight(now))
            damped.move(now, self.desired[name], self.rules)
        self.factors.logs = {name: one.log for name, one in self._damped.items()}

    def gain_of(self, node: str) -> float:
        """Return how far a node's weight is damped: 1 not at all."""
        damped = self._damped.get(node)
        return damped.gain if damped is not None else 1.0
