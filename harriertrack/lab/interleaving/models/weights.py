"""Model of shared weights at two or three heads: faulty scorers, reordered pages, head restarts."""

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
    """One process instance of a head."""

    shared: SharedWeights
    began: int
    life: int = 1
    looked_at: int = 0
    relapses: int = 0  # consecutive relapses of its scorer
    wrong_at: int = 0
    # By node: the sign is the direction of its last change, the absolute value counts reversals from 1.
    reversals: dict[str, int] = field(default_factory=dict)
    pending: tuple[Snapshot, ...] = ()  # queries that its scorer has not answered


@dataclass(slots=True)
class State:
    """The heads, the pages in transit, and the node that is slow."""

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


def _new_head(now: int, life: int = 1) -> Head:
    shared = SharedWeights(RULES)
    shared.set_scorers({NAME.scorer: NAME})
    return Head(shared, now, life)


class WeightModel:
    """Invariants: weights stay within bounds and rate limits, and faulty scorers have no vote."""

    name = "weights"
    about = "shared weights: scorers that raise or hang, a best node that changes, late pages, a restart"

    def __init__(self, names: str = "ab", until_us: int = 8 * LOOK_US) -> None:
        self._names, self._until = names, until_us
        if len(names) > 2:
            self.name, self.about = "weights-three", "the same with three heads"

    def start(self) -> State:
        """Return the state in which all heads have just started."""
        now = 10 * LOOK_US
        return State(now, {name: _new_head(now) for name in self._names})

    def events(self, state: State) -> Iterator[str]:
        """Name the enabled events."""
        yield from state.mail.events()
        for name, head in state.heads.items():
            if head.pending:
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

    def _snapshot(self, state: State) -> Snapshot:
        observations = tuple(
            NodeObservation(one, "z", 5.0, 40_000.0 if one == state.slow else 10_000.0, evidence=20.0,
                            age_us=0, fill=0.2, cold=state.is_cold and one == "n2")
            for one in NODES
        )  # fmt: skip
        return Snapshot("z", observations)

    def apply(self, state: State, event: str) -> None:
        """Apply an event to the state, in place."""
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
                state.heads[name] = _new_head(state.now, state.heads[name].life + 1)
                for other, head in state.heads.items():
                    if other != name:
                        head.shared.forget(name)  # as the gateway does when it sees a new process instance
            case [name, "looks"]:
                self._update_weights(state, name)
            case [name, "is", "answered"]:
                self._answer(state, name, False)
            case [name, "is", "answered", "wrongly"]:
                state.faults -= 1
                self._answer(state, name, True)
            case _:
                delivery = state.mail.apply(event)
                if delivery is not None:
                    life, head, page = delivery[1]
                    # The membership view rejects pages of an earlier process instance.
                    if state.heads[head].life == life:
                        state.heads[delivery[0]].shared.receive(state.now, head, page)

    def _update_weights(self, state: State, name: str) -> None:
        head, snapshot = state.heads[name], self._snapshot(state)
        head.looked_at = state.now
        guard = head.shared.by_scorer[NAME.scorer].guard
        suspended_until = guard.suspended_until if guard.state is ScorerState.SUSPENDED else 0
        queries = guard.next_queries(state.now, snapshot)
        if queries and state.now < suspended_until:
            state.wrong = f"{name} asks a scorer that has no vote"
        head.pending = queries or head.pending
        before = dict(head.shared.factors.logs)
        names = frozenset(state.heads)
        context = HeadContext(name, state.now, snapshot, names, _Runs(names))
        for page in head.shared.update(state.now, context):
            for other in state.heads:
                if other != name:
                    state.mail.send(other, (head.life, name, page))
        self._check_changes(state, name, before, head.shared.factors.logs)

    def _check_changes(self, state: State, name: str, before: Mapping[str, float],
               after: Mapping[str, float]) -> None:  # fmt: skip
        head = state.heads[name]
        for node, log in after.items():
            change = log - before.get(node, 0.0)
            reversals = abs(head.reversals.get(node, 0))
            significant = abs(change) > DEAD_BAND  # smaller changes are not reversals
            if significant and head.reversals.get(node, 0) * change < 0:
                reversals += 1
            if significant:
                head.reversals[node] = max(1, reversals) if change > 0 else -max(1, reversals)
            if abs(change) > RULES.rate * 2 * LOOK_US / 1e6 + 1e-9:
                state.wrong = f"{name}: {node} moves by {change:g}"
            if abs(log) > min(MAX_LOG_WEIGHT, RULES.rate * (state.now - head.began) / 1e6) + 1e-9:
                state.wrong = f"{name}: {node} is at {log:g}"
            # Each reversal halves the rate limit; a second without one raises it by a factor of 2^(1 / 8).
            looks = (state.now - head.began) / LOOK_US
            most = RULES.rate * max(RULES.least_gain, 0.5 ** (reversals - 1) * 2 ** (looks / 8))
            if reversals > 1 and abs(change) > 2 * most + 1e-9:
                state.wrong = f"{name}: {node} moves by {change:g} after {reversals} turns"
        if state.is_cold and head.shared.desired.get("n2", 0.0) > 0:
            state.wrong = f"{name}: a cold node is wanted at {head.shared.desired['n2']:g}"

    def _answer(self, state: State, name: str, wrongly: bool) -> None:
        head = state.heads[name]
        guard = head.shared.by_scorer[NAME.scorer].guard
        hung = guard.state is ScorerState.HUNG
        answers = [ScorerAnswer(one, SCORER.score(one)) for one in head.pending]
        if wrongly:
            answers[-1] = ScorerAnswer(head.pending[-1], None, "LookupError: no")
        head.pending = ()
        accepted = guard.handle_answers(state.now, answers)
        if (hung or wrongly) and (accepted or guard.scores):
            state.wrong = f"{name} goes by a scorer that {'hung' if hung else 'did wrong'}"
        if wrongly and not hung:
            suspended_us = guard.suspended_until - state.now
            head.relapses += 1
            if suspended_us < RULES.suspend_us * 2 ** (head.relapses - 1):
                state.wrong = f"{name}: relapse {head.relapses} costs {suspended_us / 1e6:g} s"

    def wrong(self, state: State) -> str | None:
        """Return the violated invariant, if there is one."""
        for name, head in state.heads.items():
            for node, log in head.shared.by_scorer[NAME.scorer].aggregated.items():
                if abs(log) > MAX_LOG_WEIGHT:
                    return f"{name}: {node} is joined at {log:g}"
        return state.wrong or None


@dataclass(frozen=True, slots=True)
class _Runs:
    """The heads that run a scorer: all."""

    names: frozenset[str]

    def __call__(self, _space: Namespace) -> frozenset[str]:
        return self.names
