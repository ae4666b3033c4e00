"""Whether a scorer is used: it is suspended for a time after a fault, for twice as long after each relapse.

The carrier runs the scorer on the snapshots that `next_queries` returns, outside the request path, and passes
in the answers and how long they took. A scorer with state is detected by repeating a snapshot: the same one
at once, and an old one now and then. Scores from before a suspension are discarded. Pure.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from harriertrack.decisions.fleet.scoring.rules import ScoringRules
from harriertrack.decisions.fleet.scoring.score_validation import InvalidScores, ScorerFault, validate_scores
from harriertrack.decisions.fleet.scoring.snapshot import Snapshot

REPEAT_EVERY = 4  # the reference snapshot is repeated once in this many rounds
REPEATS_PER_REFERENCE = 16  # ... and replaced after this many repeats


class ScorerState(Enum):
    """State of a scorer."""

    ACTIVE = "has"
    PENDING = "asked"  # an answer is awaited; its latest scores remain in use
    SUSPENDED = "lost"  # its scores do not count for a time
    HUNG = "hung"  # suspended, and its last call has not ended yet


STEPS: dict[ScorerState, frozenset[ScorerState]] = {
    ScorerState.ACTIVE: frozenset({ScorerState.PENDING}),
    ScorerState.PENDING: frozenset({ScorerState.ACTIVE, ScorerState.SUSPENDED, ScorerState.HUNG}),
    ScorerState.HUNG: frozenset({ScorerState.SUSPENDED}),
    ScorerState.SUSPENDED: frozenset({ScorerState.ACTIVE}),
}


class IllegalScorerStep(Exception):
    """Raised for a state transition that is not allowed."""


@dataclass(frozen=True, slots=True)
class ScorerAnswer:
    """The result of one query: the scores, or the exception that the scorer raised."""

    snapshot: Snapshot
    scores: object = None
    raised: str = ""
    took_us: int = 0


class ScorerGuard:
    """The state machine of one scorer."""

    def __init__(self, rules: ScoringRules) -> None:
        self.state = ScorerState.ACTIVE
        self.scores: dict[str, float] = {}
        self.suspended_until = 0  # when its suspension ends
        self.reason = ""  # of its last suspension
        self.fault: ScorerFault | None = None
        self.suspensions = 0  # number of recent suspensions
        self._rules = rules
        self._waited = self._suspended_at = 0
        self._rounds = 0
        self._reference: tuple[Snapshot, dict[str, float]] | None = None

    def _transition(self, state: ScorerState) -> None:
        if state not in STEPS[self.state]:
            raise IllegalScorerStep(f"from {self.state.value} to {state.value}")
        self.state = state

    def next_queries(self, now: int, snapshot: Snapshot) -> tuple[Snapshot, ...]:
        """Return the snapshots to score now; none while the scorer is suspended or an answer is awaited."""
        if self.state is ScorerState.PENDING:
            self._waited += 1  # in rounds, not time: a head that stood still gave it no time
            if self._waited >= self._rules.hung_looks:
                self._suspend(now, ScorerState.HUNG, ScorerFault.SLOW, "its call has not ended")
        if self.state is ScorerState.SUSPENDED and now >= self.suspended_until:
            self._transition(ScorerState.ACTIVE)
        if self.state is not ScorerState.ACTIVE or not snapshot.nodes:
            return ()
        self._transition(ScorerState.PENDING)
        self._waited = 0
        self._rounds += 1
        queries = [snapshot, snapshot]
        if self._reference is not None and self._rounds % REPEAT_EVERY == 0:
            queries.append(self._reference[0])
        return tuple(queries)

    def handle_answers(self, now: int, answers: Sequence[ScorerAnswer]) -> bool:
        """Handle the answers to all queries of one round; return whether there are new scores."""
        if self.state is ScorerState.HUNG:
            self._transition(ScorerState.SUSPENDED)
            return False
        if self.state is not ScorerState.PENDING:
            raise IllegalScorerStep(f"nothing was asked, it {self.state.value}")
        try:
            validated = self._validate(answers)
        except InvalidScores as bad:
            self._suspend(now, ScorerState.SUSPENDED, bad.fault, bad.detail)
            return False
        self._transition(ScorerState.ACTIVE)
        if self._reference is None or self._rounds % (REPEAT_EVERY * REPEATS_PER_REFERENCE) == 0:
            self._reference = answers[0].snapshot, validated
        self.scores = validated
        if self.suspensions and now - self._suspended_at > self._rules.forgive_us:
            self.suspensions = 0
        return True

    def _validate(self, answers: Sequence[ScorerAnswer]) -> dict[str, float]:
        known = [self._reference] if self._reference is not None else []
        for answer in answers:
            if answer.raised:
                raise InvalidScores(ScorerFault.RAISED, answer.raised)
            if answer.took_us > self._rules.slow_us:
                raise InvalidScores(
                    ScorerFault.SLOW,
                    f"{answer.took_us / 1e3:.0f} ms, {self._rules.slow_us / 1e3:g} may be",
                )
            scores = validate_scores(answer.snapshot, answer.scores)
            for snapshot, before in known:
                if snapshot == answer.snapshot and before != scores:
                    raise InvalidScores(ScorerFault.STATE, _difference(before, scores))
            known.append((answer.snapshot, scores))
        return validate_scores(answers[0].snapshot, answers[0].scores)

    def _suspend(self, now: int, state: ScorerState, fault: ScorerFault, detail: str) -> None:
        self._transition(state)
        rules = self._rules
        span = min(rules.most_suspend_us, rules.suspend_us * 2 ** min(self.suspensions, 20))
        self.suspensions, self._suspended_at, self.suspended_until = self.suspensions + 1, now, now + span
        self.fault, self.reason = fault, f"{fault.value}: {detail}"
        self.scores, self._reference = {}, None


def _difference(before: dict[str, float], after: dict[str, float]) -> str:
    node = next(name for name in sorted({*before, *after}) if before.get(name) != after.get(name))
    return f"{node}: {before.get(node)} and {after.get(node)}"
