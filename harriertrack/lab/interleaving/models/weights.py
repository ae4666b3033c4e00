"""Shared weights at two or three heads: wrong scorers, nodes that turn, pages in any order, restarts."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from harriertrack.decisions.fleet.scoring.damping import DEAD_BAND
from harriertrack.decisions.fleet.scoring.rules import MAX_LOG_WEIGHT, ScoringRules
from harriertrack.decisions.fleet.scoring.scorer_guard import ScorerAnswer, ScorerState
from harriertrack.decisions.fleet.scoring.scorers.base import Namespace
from harriertrack.decisions.fleet.scoring.scorers.latency import LeastLatency
from harriertrack.decisions.fleet.scoring.shared_weights import HeadContext, SharedWeights
from harriertrack.decisions.fleet.scoring.snapshot import NodeObservation, Snapshot
from harriertrack.lab.interleaving.models.mail import Mail

NAME = Namespace("least-latency", 1)
LOOK_US = 1_000_000
RULES = ScoringRules(
    look_us=LOOK_US, say_us=LOOK_US, again_us=2 * LOOK_US, suspend_us=2 * LOOK_US, hung_looks=2
)  # fmt: skip
SCORER = LeastLatency(1.0, 4.0)
NODES = ("n1", "n2")


@dataclass(slots=True)
class Head:
    """One life of a head."""

    shared: SharedWeights
    began: int
    life: int = 1
    looked_at: int = 0
    relapses: int = 0  # of its scorer, in a row
    wrong_at: int = 0
    turned: dict[str, int] = field(default_factory=dict)  # by node: which way its weight went last, and turns
    owes: tuple[Snapshot, ...] = ()  # what its scorer was asked and has not answered


@dataclass(slots=True)
class State:
    """Heads, the pages between them, and which node is slow."""

    now: int
    heads: dict[str, Head]
    slow: str = "n1"
    flips: int = 3
    faults: int = 2
    cold: int = 1
    restarts: int = 1
    is_cold: bool = False
    mail: Mail = field(default_factory=lambda: Mail(lost=1, most=3))
    wrong: str = ""


def _fresh(now: int, life: int = 1) -> Head:
    shared = SharedWeights(RULES)
    shared.set_scorers({NAME.scorer: NAME})
    return Head(shared, now, life)


class WeightModel:
    """Weights keep their bounds and their pace whatever comes, and who did wrong is not heard."""

    name = "weights"
    about = "shared weights: scorers that raise or hang, a best node that changes, late pages, a restart"

    def __init__(self, names: str = "ab", until_us: int = 8 * LOOK_US) -> None:
        self._names, self._until = names, until_us
        if len(names) > 2:
            self.name, self.about = "weights-three", "the same with three heads"

    def start(self) -> State:
        """All begin at once."""
        now = 10 * LOOK_US
        return State(now, {name: _fresh(now) for name in self._names})

    def events(self, state: State) -> Iterator[str]:
        """Name what can happen now."""
        yield from state.mail.events()
        for name, head in state.heads.items():
            if head.owes:
                yield f"{name} is answered"
                if state.faults:
                    yield f"{name} is answered wrongly"
            if head.looked_at < state.now:
                yield f"{name} looks"
        if state.now < 10 * LOOK_US + self._until:
            yield "time"
        if state.flips:
            yield "flip"
        if state.cold:
            yield "cold"
        if state.restarts:
            yield f"{self._names[-1]} restarts"
        yield from state.mail.late()

    def _picture(self, state: State) -> Snapshot:
        sights = tuple(
            NodeObservation(one, "z", 5.0, 40_000.0 if one == state.slow else 10_000.0, evidence=20.0,
                            age_us=0, fill=0.2, cold=state.is_cold and one == "n2")
            for one in NODES
        )  # fmt: skip
        return Snapshot("z", sights)

    def apply(self, state: State, event: str) -> None:
        """Let it happen."""
        match event.split():
            case ["time"]:
                state.now += LOOK_US
            case ["flip"]:
                state.flips -= 1
                state.slow = "n2" if state.slow == "n1" else "n1"
            case ["cold"]:
                state.cold -= 1
                state.is_cold = True
            case [name, "restarts"]:
                state.restarts -= 1
                state.heads[name] = _fresh(state.now, state.heads[name].life + 1)
                for other, head in state.heads.items():
                    if other != name:
                        head.shared.forget(name)  # as the carrier does when it hears of another life
            case [name, "looks"]:
                self._look(state, name)
            case [name, "is", "answered"]:
                self._answer(state, name, False)
            case [name, "is", "answered", "wrongly"]:
                state.faults -= 1
                self._answer(state, name, True)
            case _:
                came = state.mail.apply(event)
                if came is not None:
                    life, head, page = came[1]
                    if state.heads[head].life == life:  # the view turns down what a life before said
                        state.heads[came[0]].shared.receive(state.now, head, page)

    def _look(self, state: State, name: str) -> None:
        head, picture = state.heads[name], self._picture(state)
        head.looked_at = state.now
        voter = head.shared.by_scorer[NAME.scorer].guard
        lost_until = voter.suspended_until if voter.state is ScorerState.SUSPENDED else 0
        questions = voter.next_queries(state.now, picture)
        if questions and state.now < lost_until:
            state.wrong = f"{name} asks a scorer that has no vote"
        head.owes = questions or head.owes
        before = dict(head.shared.factors.logs)
        names = frozenset(state.heads)
        moment = HeadContext(name, state.now, picture, names, _Runs(names))
        for page in head.shared.update(state.now, moment):
            for other in state.heads:
                if other != name:
                    state.mail.send(other, (head.life, name, page))
        self._moved(state, name, before, head.shared.factors.logs)

    def _moved(self, state: State, name: str, before: Mapping[str, float],
               after: Mapping[str, float]) -> None:  # fmt: skip
        head = state.heads[name]
        for node, log in after.items():
            gone = log - before.get(node, 0.0)
            turns = abs(head.turned.get(node, 0))
            far = abs(gone) > DEAD_BAND  # what is less is no turn
            if far and head.turned.get(node, 0) * gone < 0:
                turns += 1
            if far:
                head.turned[node] = max(1, turns) if gone > 0 else -max(1, turns)
            if abs(gone) > RULES.rate * 2 * LOOK_US / 1e6 + 1e-9:
                state.wrong = f"{name}: {node} moves by {gone:g}"
            if abs(log) > min(MAX_LOG_WEIGHT, RULES.rate * (state.now - head.began) / 1e6) + 1e-9:
                state.wrong = f"{name}: {node} is at {log:g}"
            # Each turn halves the pace; what a second of calm brings back is 2^(1 / 8).
            looks = (state.now - head.began) / LOOK_US
            most = RULES.rate * max(RULES.least_gain, 0.5 ** (turns - 1) * 2 ** (looks / 8))
            if turns > 1 and abs(gone) > 2 * most + 1e-9:
                state.wrong = f"{name}: {node} moves by {gone:g} after {turns} turns"
        if state.is_cold and head.shared.desired.get("n2", 0.0) > 0:
            state.wrong = f"{name}: a cold node is wanted at {head.shared.desired['n2']:g}"

    def _answer(self, state: State, name: str, wrongly: bool) -> None:
        head = state.heads[name]
        voter = head.shared.by_scorer[NAME.scorer].guard
        hung = voter.state is ScorerState.HUNG
        answers = [ScorerAnswer(one, SCORER.score(one)) for one in head.owes]
        if wrongly:
            answers[-1] = ScorerAnswer(head.owes[-1], None, "LookupError: no")
        head.owes = ()
        heard = voter.handle_answers(state.now, answers)
        if (hung or wrongly) and (heard or voter.scores):
            state.wrong = f"{name} goes by a scorer that {'hung' if hung else 'did wrong'}"
        if wrongly and not hung:
            span = voter.suspended_until - state.now
            head.relapses += 1
            if span < RULES.suspend_us * 2 ** (head.relapses - 1):
                state.wrong = f"{name}: relapse {head.relapses} costs {span / 1e6:g} s"

    def wrong(self, state: State) -> str | None:
        """Return what must not be."""
        for name, head in state.heads.items():
            for node, log in head.shared.by_scorer[NAME.scorer].aggregated.items():
                if abs(log) > MAX_LOG_WEIGHT:
                    return f"{name}: {node} is joined at {log:g}"
        return state.wrong or None


@dataclass(frozen=True, slots=True)
class _Runs:
    """Who runs a scorer: all."""

    names: frozenset[str]

    def __call__(self, _space: Namespace) -> frozenset[str]:
        return self.names
