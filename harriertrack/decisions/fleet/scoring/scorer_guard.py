"""Whether a scorer has a vote: it loses it for a time when it does wrong, twice as long after each relapse.

The carrier asks the scorer the pictures that `questions` names, away from requests, and hands in what came
and how long it took. One that keeps state is found by asking it a picture that it was asked before: at once,
and now and then one from long ago. What a scorer said before it lost its vote is forgotten. Pure.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from harriertrack.decisions.fleet.scoring.rules import ScoringRules
from harriertrack.decisions.fleet.scoring.score_validation import InvalidScores, ScorerFault, validate_scores
from harriertrack.decisions.fleet.scoring.snapshot import Snapshot

ASKED_AGAIN = 4  # each so many pictures the kept one is asked, too
KEPT = 16  # ... and another is kept after so many of these


class ScorerState(Enum):
    """What holds of a scorer."""

    ACTIVE = "has"
    PENDING = "asked"  # an answer is awaited; what it said last holds meanwhile
    SUSPENDED = "lost"  # for a time
    HUNG = "hung"  # ... and its last call has not even ended


STEPS: dict[ScorerState, frozenset[ScorerState]] = {
    ScorerState.ACTIVE: frozenset({ScorerState.PENDING}),
    ScorerState.PENDING: frozenset({ScorerState.ACTIVE, ScorerState.SUSPENDED, ScorerState.HUNG}),
    ScorerState.HUNG: frozenset({ScorerState.SUSPENDED}),
    ScorerState.SUSPENDED: frozenset({ScorerState.ACTIVE}),
}


class IllegalScorerStep(Exception):
    """A scorer's vote can't go from where it stands to there."""


@dataclass(frozen=True, slots=True)
class ScorerAnswer:
    """What came of one question: the answer, or what it raised."""

    picture: Snapshot
    scores: object = None
    raised: str = ""
    took_us: int = 0


class ScorerGuard:
    """One scorer's vote."""

    def __init__(self, rules: ScoringRules) -> None:
        self.state = ScorerState.ACTIVE
        self.scores: dict[str, float] = {}
        self.suspended_until = 0  # when it has its vote back
        self.reason = ""  # it lost it last
        self.fault: ScorerFault | None = None
        self.suspensions = 0  # how often, of late
        self._rules = rules
        self._waited = self._lost_at = 0
        self._rounds = 0
        self._kept: tuple[Snapshot, dict[str, float]] | None = None

    def _go(self, vote: ScorerState) -> None:
        if vote not in STEPS[self.state]:
            raise IllegalScorerStep(f"from {self.state.value} to {vote.value}")
        self.state = vote

    def next_queries(self, now: int, picture: Snapshot) -> tuple[Snapshot, ...]:
        """Return what the scorer is to be asked now; nothing while it has no vote or owes an answer."""
        if self.state is ScorerState.PENDING:
            self._waited += 1  # looks, not time: a head that stood still did not give it any
            if self._waited >= self._rules.hung_looks:
                self._lose(now, ScorerState.HUNG, ScorerFault.SLOW, "its call has not ended")
        if self.state is ScorerState.SUSPENDED and now >= self.suspended_until:
            self._go(ScorerState.ACTIVE)
        if self.state is not ScorerState.ACTIVE or not picture.nodes:
            return ()
        self._go(ScorerState.PENDING)
        self._waited = 0
        self._rounds += 1
        asked = [picture, picture]
        if self._kept is not None and self._rounds % ASKED_AGAIN == 0:
            asked.append(self._kept[0])
        return tuple(asked)

    def handle_answers(self, now: int, answers: Sequence[ScorerAnswer]) -> bool:
        """Hear what came of all questions of one round; return whether there are scores now."""
        if self.state is ScorerState.HUNG:
            self._go(ScorerState.SUSPENDED)
            return False
        if self.state is not ScorerState.PENDING:
            raise IllegalScorerStep(f"nothing was asked, it {self.state.value}")
        try:
            first = self._judged(answers)
        except InvalidScores as bad:
            self._lose(now, ScorerState.SUSPENDED, bad.fault, bad.detail)
            return False
        self._go(ScorerState.ACTIVE)
        if self._kept is None or self._rounds % (ASKED_AGAIN * KEPT) == 0:
            self._kept = answers[0].picture, first
        self.scores = first
        if self.suspensions and now - self._lost_at > self._rules.forgive_us:
            self.suspensions = 0
        return True

    def _judged(self, answers: Sequence[ScorerAnswer]) -> dict[str, float]:
        known = [self._kept] if self._kept is not None else []
        for one in answers:
            if one.raised:
                raise InvalidScores(ScorerFault.RAISED, one.raised)
            if one.took_us > self._rules.slow_us:
                raise InvalidScores(
                    ScorerFault.SLOW, f"{one.took_us / 1e3:.0f} ms, {self._rules.slow_us / 1e3:g} may be"
                )
            scores = validate_scores(one.picture, one.scores)
            for picture, before in known:
                if picture == one.picture and before != scores:
                    raise InvalidScores(ScorerFault.STATE, _difference(before, scores))
            known.append((one.picture, scores))
        return validate_scores(answers[0].picture, answers[0].scores)

    def _lose(self, now: int, vote: ScorerState, fault: ScorerFault, detail: str) -> None:
        self._go(vote)
        rules = self._rules
        span = min(rules.most_suspend_us, rules.suspend_us * 2 ** min(self.suspensions, 20))
        self.suspensions, self._lost_at, self.suspended_until = self.suspensions + 1, now, now + span
        self.fault, self.reason = fault, f"{fault.value}: {detail}"
        self.scores, self._kept = {}, None


def _difference(before: dict[str, float], after: dict[str, float]) -> str:
    node = next(name for name in sorted({*before, *after}) if before.get(name) != after.get(name))
    return f"{node}: {before.get(node)} and {after.get(node)}"
