"""Aggregation of the heads' opinions of a node, so that a fifth of them can't distort the result.

Each head that may vote has between a half and one vote, by the amount and age of its evidence; one without an
opinion has half a vote for an equal share. The aggregated weight is the weighted median. If at most a fifth
of the voters are wrong, faulty or cut off, they have at most 0.2 of 0.2 + 0.8 / 2 votes, a third; so the
median lies between the lower and the upper quartile, by votes, of all other opinions. If those lie within x
of each other, the faulty ones move it by no more than x (Huber, "Robust Statistics", 1981: the median breaks
down at a half; votes that differ by a factor of at most two bring that to a third). Pure.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from harriertrack.decisions.fleet.scoring.rules import ScoringRules
from harriertrack.decisions.fleet.scoring.weights import clamp

MIN_VOTE = 0.5
MIN_EVIDENCE = 0.25  # of an opinion that counts: one answer from two half-lives ago
MAX_FAULTY_SHARE = 0.2  # the fraction of faulty voters up to which the bound holds


@dataclass(frozen=True, slots=True)
class Opinion:
    """One head's opinion of one node: its weight as a power of two, and the evidence for it."""

    log: float
    evidence: float
    age_us: int


def vote_weight(opinion: Opinion, rules: ScoringRules) -> float:
    """Return how much an opinion counts: 0 (too little evidence, or too old) or from a half to 1."""
    if opinion.evidence < MIN_EVIDENCE or not 0 <= opinion.age_us < rules.stale_us:
        return 0.0
    strength = min(1.0, opinion.evidence / rules.full)
    return MIN_VOTE + (1 - MIN_VOTE) * strength * (1 - opinion.age_us / rules.stale_us)


def weighted_median(votes: Iterable[tuple[float, float]]) -> float:
    """Return the value with half of the weight on either side, of pairs of value and positive weight."""
    ordered = sorted(votes)
    half, before = sum(weight for _, weight in ordered) / 2, 0.0
    for index, (value, weight) in enumerate(ordered):
        before += weight
        if before > half + 1e-9:
            return value
        if before > half - 1e-9 and index + 1 < len(ordered):
            return (value + ordered[index + 1][0]) / 2
    return 0.0


def aggregate(opinions: Iterable[Opinion], voters: int, rules: ScoringRules) -> float:
    """Return the aggregated weight of a node, from `voters` heads that may vote on it.

    Whether there is enough evidence is decided on its sum: each head may have almost none, as of a slow node
    that all avoid, while all of them together have enough.
    """
    voting = [(opinion, vote) for opinion in opinions if (vote := vote_weight(opinion, rules)) > 0]
    if sum(min(opinion.evidence, rules.full) for opinion, _ in voting) < rules.evidence:
        return 0.0
    counted = [(clamp(opinion.log), vote) for opinion, vote in voting]
    abstaining = max(0, voters - len(counted))
    if abstaining:
        counted.append((0.0, abstaining * MIN_VOTE))
    return weighted_median(counted)
