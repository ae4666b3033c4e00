"""Validation of a scorer's answer: whether it can be used, and if not, what is wrong with it."""

from __future__ import annotations

import math
from collections.abc import Mapping
from enum import Enum

from harriertrack.decisions.fleet.scoring.scorers.base import LEAST_SCORE, MOST_SCORE
from harriertrack.decisions.fleet.scoring.snapshot import Snapshot


class ScorerFault(Enum):
    """The faults of a scorer."""

    RAISED = "raised"
    FORM = "gave no scores by node"
    NUMBER = "gave what is no number"
    TOO_MUCH = "gave too much"
    TOO_LITTLE = "gave too little"
    UNASKED = "scored a node that it was not asked about"
    STATE = "answered an equal picture otherwise"
    SLOW = "took too long"


class InvalidScores(Exception):
    """Raised for an answer that can't be used."""

    def __init__(self, fault: ScorerFault, detail: str) -> None:
        super().__init__(f"{fault.value}: {detail}")
        self.fault, self.detail = fault, detail


def validate_scores(snapshot: Snapshot, answer: object) -> dict[str, float]:
    """Return a scorer's answer as a plain dictionary. Raises InvalidScores.

    Only strings and floats are kept: no object of the scorer's own types outlives this call.
    """
    if not isinstance(answer, Mapping):
        raise InvalidScores(ScorerFault.FORM, type(answer).__name__)
    if len(answer) > len(snapshot.nodes):
        raise InvalidScores(ScorerFault.TOO_MUCH, f"{len(answer)} scores for {len(snapshot.nodes)} nodes")
    names, scores = snapshot.names, {}
    try:
        items = list(answer.items())
    except Exception as error:
        raise InvalidScores(ScorerFault.FORM, f"{type(error).__name__} in its items") from error
    for node, score in items:
        if type(node) is not str or node not in names:
            raise InvalidScores(ScorerFault.UNASKED, repr(node)[:64])
        if type(score) not in (int, float) or (isinstance(score, float) and math.isnan(score)):
            raise InvalidScores(ScorerFault.NUMBER, f"{node}: {repr(score)[:32]}")
        if score > MOST_SCORE:
            raise InvalidScores(ScorerFault.TOO_MUCH, f"{node}: more than {MOST_SCORE:g}")
        if score < LEAST_SCORE:
            raise InvalidScores(ScorerFault.TOO_LITTLE, f"{node}: less than {LEAST_SCORE:g}")
        scores[node] = float(score)
    return dict(sorted(scores.items()))
