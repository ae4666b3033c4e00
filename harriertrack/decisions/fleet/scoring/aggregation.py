"""Joining what heads think of a node, so that a fifth of them can't move it beyond what the others say.

Each head that may vote has between a half and one vote, by how much it saw and how long ago; one that has no
opinion has half a vote for an even share. The weighted median of these is the joined weight. If at most a
fifth of the voters are wrong, lie or are cut off, theirs is at most 0.2 of 0.2 + 0.8 / 2 votes, a third; so
the median lies between the lower and the upper quartile, by votes, of what all the others say. Where the
others lie within x of each other it is moved by no more than x (Huber, "Robust Statistics", 1981: the median
breaks down at a half; votes that differ by a factor of two at most bring that to a third). Pure.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from harriertrack.decisions.fleet.scoring.rules import ScoringRules
from harriertrack.decisions.fleet.scoring.weights import clamp

LEAST_VOTE = 0.5
LEAST_EVIDENCE = 0.25  # of an opinion that counts: one answer of two half-lives ago
MAX_FAULTY_SHARE = 0.2  # the part of the voters for which the bound holds


@dataclass(frozen=True, slots=True)
class Opinion:
    """What one head thinks of one node."""

    log: float
    evidence: float
    age_us: int


def vote_weight(opinion: Opinion, rules: ScoringRules) -> float:
    """Return how much an opinion counts: 0 (too little seen, or too long ago) or from a half to 1."""
    if opinion.evidence < LEAST_EVIDENCE or not 0 <= opinion.age_us < rules.stale_us:
        return 0.0
    seen = min(1.0, opinion.evidence / rules.full)
    return LEAST_VOTE + (1 - LEAST_VOTE) * seen * (1 - opinion.age_us / rules.stale_us)


def weighted_median(votes: Iterable[tuple[float, float]]) -> float:
    """Return the value at which half of the weight lies on either side: pairs of value and weight above 0."""
    ordered = sorted(votes)
    half, before = sum(weight for _, weight in ordered) / 2, 0.0
    for at, (value, weight) in enumerate(ordered):
        before += weight
        if before > half + 1e-9:
            return value
        if before > half - 1e-9 and at + 1 < len(ordered):
            return (value + ordered[at + 1][0]) / 2
    return 0.0


def aggregate(opinions: Iterable[Opinion], voters: int, rules: ScoringRules) -> float:
    """Return the joined weight of a node, of `voters` heads that may vote on it.

    Evidence is pooled before it is judged: what each saw may be next to nothing, as of a slow node that all
    avoid, where all of them together know it well.
    """
    voting = [(one, vote) for one in opinions if (vote := vote_weight(one, rules)) > 0]
    if sum(min(one.evidence, rules.full) for one, _ in voting) < rules.evidence:
        return 0.0
    counted = [(clamp(one.log), vote) for one, vote in voting]
    even = max(0, voters - len(counted))
    if even:
        counted.append((0.0, even * LEAST_VOTE))
    return weighted_median(counted)
