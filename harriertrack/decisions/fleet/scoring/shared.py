"""One head's part in sharing weights: scorers' answers in, pages in and out, one weight for each node out.

Each scorer is a namespace of its own; where a head runs several their joined weights are averaged (as powers
of two, so that a scorer that has no opinion counts as an even share). `Weighing` is the state of one scorer,
`Shared` of them all; the module asks `Factors`. Pure: time is handed in.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from harriertrack.decisions.fleet.scoring.damping import Damped, ceiling
from harriertrack.decisions.fleet.scoring.joining import Opinion, joined
from harriertrack.decisions.fleet.scoring.picture import Picture
from harriertrack.decisions.fleet.scoring.rules import ScoringRules
from harriertrack.decisions.fleet.scoring.scorers.base import Namespace
from harriertrack.decisions.fleet.scoring.spreading import Ears, Page, Speaker, number_of, speakers
from harriertrack.decisions.fleet.scoring.voting import Voter
from harriertrack.decisions.fleet.scoring.weights import factor_of, normalised


class Factors:
    """What the module asks (interface.Weights)."""

    def __init__(self) -> None:
        self.logs: dict[str, float] = {}

    def factor(self, node: str) -> float:
        """Return by how much more than an even share a node is to get: 1/4 to 4, 1 if nothing is known."""
        log = self.logs.get(node)
        return 1.0 if log is None else factor_of(log)


class Weighing:
    """One scorer at one head."""

    def __init__(self, namespace: Namespace, rules: ScoringRules) -> None:
        self.namespace, self._rules = namespace, rules
        self.voter = Voter(rules)
        self.speaker = Speaker(namespace.number, rules)
        self.ears = Ears()
        self.own: dict[str, Opinion] = {}
        self.joined: dict[str, float] = {}
        self.voters = 0

    def think(self, picture: Picture) -> None:
        """Form this head's own opinion of the scores that its scorer gave last."""
        logs = normalised(self.voter.scores)
        self.own = {
            sight.node: Opinion(logs[sight.node], sight.evidence, sight.age_us)
            for sight in picture.nodes
            if sight.node in logs and sight.age_us >= 0
        }

    def join(self, now: int, me: str, names: frozenset[str], picture: Picture, turn: int) -> None:
        """Join it with what was heard of those who may vote: who speaks in this turn or did in the last."""
        most = self._rules.reporters
        may = speakers(names, turn, most) | speakers(names, turn - 1, most)
        self.ears.keep(names, now - self._rules.stale_us)
        heard = self.ears.opinions(now, may - {me})
        # Where a few speak for many, those of two turns may be heard at a time.
        self.voters = max(min(len(names), most), len(self.ears.heads() & may) + 1)
        nodes = {sight.node: number_of(sight.node) for sight in picture.nodes}
        self.joined = {}
        for name, number in nodes.items():
            own = [self.own[name]] if name in self.own else []
            self.joined[name] = joined([*own, *heard.get(number, [])], self.voters, self._rules)


@dataclass(frozen=True, slots=True)
class Moment:
    """What a head knows as it looks: who is there, and which of them run a scorer."""

    me: str
    wall_us: int
    picture: Picture
    there: frozenset[str]
    run: Callable[[Namespace], frozenset[str]]  # those of `there` that run it


class Shared:
    """All scorers of one head, and the weights that come of them."""

    def __init__(self, rules: ScoringRules, alone: bool = False) -> None:
        self.rules, self.alone = rules, alone  # alone: nothing is shared, only its own opinion counts
        self.weighings: dict[str, Weighing] = {}  # by scorer's name
        self.factors = Factors()
        self._damped: dict[str, Damped] = {}
        self.wanted: dict[str, float] = {}

    def use(self, namespaces: Mapping[str, Namespace]) -> None:
        """Run these scorers from now on. One of another version or other parameters begins anew."""
        for name in [name for name in self.weighings if name not in namespaces]:
            del self.weighings[name]
        for name, namespace in namespaces.items():
            if name not in self.weighings or self.weighings[name].namespace != namespace:
                self.weighings[name] = Weighing(namespace, self.rules)

    def hear(self, now: int, head: str, page: Page) -> bool:
        """Take a head's page; return whether a scorer of this head has that namespace."""
        for one in self.weighings.values():
            if one.namespace.number == page.namespace:
                one.ears.hear(now, head, page)
                return True
        return False

    def forget(self, head: str) -> None:
        """Forget what a head said: it is another life of itself by now."""
        for one in self.weighings.values():
            one.ears.forget(head)

    def look(self, now: int, moment: Moment) -> list[Page]:
        """Join what is thought, and move the weights; return the pages that are to be said."""
        pages: list[Page] = []
        turn = moment.wall_us // self.rules.turn_us
        for one in self.weighings.values():
            one.think(moment.picture)
            names = frozenset({moment.me}) if self.alone else moment.run(one.namespace) | {moment.me}
            one.join(now, moment.me, names, moment.picture, turn)
            if len(names) > 1 and moment.me in speakers(names, turn, self.rules.reporters):
                voices = min(len(names), self.rules.reporters)
                if (page := one.speaker.next(now, one.own, voices)) is not None:
                    pages.append(page)
        self._move(now, moment.picture)
        return pages

    def _move(self, now: int, picture: Picture) -> None:
        nodes = {sight.node: sight for sight in picture.nodes}
        for name in [name for name in self._damped if name not in nodes]:
            del self._damped[name]
        count = max(1, len(self.weighings))
        self.wanted = {}
        for name, sight in nodes.items():
            mean = sum(one.joined.get(name, 0.0) for one in self.weighings.values()) / count
            self.wanted[name] = min(mean, ceiling(sight, self.rules))
            damped = self._damped.setdefault(name, Damped(now))
            damped.move(now, self.wanted[name], self.rules)
        self.factors.logs = {name: one.log for name, one in self._damped.items()}

    def gain_of(self, node: str) -> float:
        """Return how far a node's weight is damped: 1 not at all."""
        damped = self._damped.get(node)
        return damped.gain if damped is not None else 1.0
