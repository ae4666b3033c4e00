"""Whether a scorer has a vote: it loses it for a time when it does wrong, twice as long after each relapse.

The carrier asks the scorer the pictures that `questions` names, away from requests, and hands in what came
and how long it took. One that keeps state is found by asking it a picture that it was asked before: at once,
and now and then one from long ago. What a scorer said before it lost its vote is forgotten. Pure.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from harriertrack.decisions.fleet.scoring.picture import Picture
from harriertrack.decisions.fleet.scoring.rules import ScoringRules
from harriertrack.decisions.fleet.scoring.watching import BadAnswer, Fault, scores_of

ASKED_AGAIN = 4  # each so many pictures the kept one is asked, too
KEPT = 16  # ... and another is kept after so many of these


class Vote(Enum):
    """What holds of a scorer."""

    HAS = "has"
    ASKED = "asked"  # an answer is awaited; what it said last holds meanwhile
    LOST = "lost"  # for a time
    HUNG = "hung"  # ... and its last call has not even ended


STEPS: dict[Vote, frozenset[Vote]] = {
    Vote.HAS: frozenset({Vote.ASKED}),
    Vote.ASKED: frozenset({Vote.HAS, Vote.LOST, Vote.HUNG}),
    Vote.HUNG: frozenset({Vote.LOST}),
    Vote.LOST: frozenset({Vote.HAS}),
}


class IllegalVote(Exception):
    """A scorer's vote can't go from where it stands to there."""


@dataclass(frozen=True, slots=True)
class Answer:
    """What came of one question: the answer, or what it raised."""

    picture: Picture
    scores: object = None
    raised: str = ""
    took_us: int = 0


class Voter:
    """One scorer's vote."""

    def __init__(self, rules: ScoringRules) -> None:
        self.vote = Vote.HAS
        self.scores: dict[str, float] = {}
        self.until = 0  # when it has its vote back
        self.why = ""  # it lost it last
        self.fault: Fault | None = None
        self.lost = 0  # how often, of late
        self._rules = rules
        self._waited = self._lost_at = 0
        self._rounds = 0
        self._kept: tuple[Picture, dict[str, float]] | None = None

    def _go(self, vote: Vote) -> None:
        if vote not in STEPS[self.vote]:
            raise IllegalVote(f"from {self.vote.value} to {vote.value}")
        self.vote = vote

    def questions(self, now: int, picture: Picture) -> tuple[Picture, ...]:
        """Return what the scorer is to be asked now; nothing while it has no vote or owes an answer."""
        if self.vote is Vote.ASKED:
            self._waited += 1  # looks, not time: a head that stood still did not give it any
            if self._waited >= self._rules.hung_looks:
                self._lose(now, Vote.HUNG, Fault.SLOW, "its call has not ended")
        if self.vote is Vote.LOST and now >= self.until:
            self._go(Vote.HAS)
        if self.vote is not Vote.HAS or not picture.nodes:
            return ()
        self._go(Vote.ASKED)
        self._waited = 0
        self._rounds += 1
        asked = [picture, picture]
        if self._kept is not None and self._rounds % ASKED_AGAIN == 0:
            asked.append(self._kept[0])
        return tuple(asked)

    def answered(self, now: int, answers: Sequence[Answer]) -> bool:
        """Hear what came of all questions of one round; return whether there are scores now."""
        if self.vote is Vote.HUNG:
            self._go(Vote.LOST)
            return False
        if self.vote is not Vote.ASKED:
            raise IllegalVote(f"nothing was asked, it {self.vote.value}")
        try:
            first = self._judged(answers)
        except BadAnswer as bad:
            self._lose(now, Vote.LOST, bad.fault, bad.detail)
            return False
        self._go(Vote.HAS)
        if self._kept is None or self._rounds % (ASKED_AGAIN * KEPT) == 0:
            self._kept = answers[0].picture, first
        self.scores = first
        if self.lost and now - self._lost_at > self._rules.forgive_us:
            self.lost = 0
        return True

    def _judged(self, answers: Sequence[Answer]) -> dict[str, float]:
        known = [self._kept] if self._kept is not None else []
        for one in answers:
            if one.raised:
                raise BadAnswer(Fault.RAISED, one.raised)
            if one.took_us > self._rules.slow_us:
                raise BadAnswer(
                    Fault.SLOW, f"{one.took_us / 1e3:.0f} ms, {self._rules.slow_us / 1e3:g} may be"
                )
            scores = scores_of(one.picture, one.scores)
            for picture, before in known:
                if picture == one.picture and before != scores:
                    raise BadAnswer(Fault.STATE, _difference(before, scores))
            known.append((one.picture, scores))
        return scores_of(answers[0].picture, answers[0].scores)

    def _lose(self, now: int, vote: Vote, fault: Fault, detail: str) -> None:
        self._go(vote)
        rules = self._rules
        span = min(rules.most_suspend_us, rules.suspend_us * 2 ** min(self.lost, 20))
        self.lost, self._lost_at, self.until = self.lost + 1, now, now + span
        self.fault, self.why = fault, f"{fault.value}: {detail}"
        self.scores, self._kept = {}, None


def _difference(before: dict[str, float], after: dict[str, float]) -> str:
    node = next(name for name in sorted({*before, *after}) if before.get(name) != after.get(name))
    return f"{node}: {before.get(node)} and {after.get(node)}"
