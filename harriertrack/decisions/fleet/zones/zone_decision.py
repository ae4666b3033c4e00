"""The fleet's decision on a zone, the rules for it, and which heads use a zone under it. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from zlib import crc32

from harriertrack.decisions.fleet.terms import rank

CHECKSUM_RANGE = 1 << 32


class ZoneStage(Enum):
    """How the fleet uses a zone."""

    IN = "in"  # by all heads
    OUT = "out"  # by none
    TRYING = "trying"  # by a few heads, as trials
    RETURNING = "returning"  # by a growing share of the heads


@dataclass(frozen=True, slots=True)
class ZoneRules:
    """Thresholds and times for leaving a zone and returning to it."""

    gone: float = 0.8  # part of the requested nodes without an answer at which a zone fails
    gone_us: int = 300_000  # how long it must fail before it is left
    fresh_us: int = 1_500_000  # older reports of heads are ignored
    heads: int = 2  # that must observe the failure, if there are as many
    wait_us: int = 1_000_000  # from leaving to the first trials; doubles with each relapse
    most_wait_us: int = 60_000_000
    tries: int = 3  # heads that make trials
    turn_us: int = 3_000_000  # after which other heads make them
    answers: float = 0.7  # part of the tried nodes that must answer for a return to begin
    first: float = 0.1  # share of the heads that return first
    growth: float = 3.0
    step_us: int = 500_000  # between changes of the share: the time in which silence shows
    hurts: float = 0.2  # part of the nodes silent at which the share is halved
    calm_us: int = 120_000_000  # after this time in use a zone's relapses are forgotten
    told_us: int = 3_000_000  # validity of a decision after it was last received; half as long in a return


@dataclass(frozen=True, slots=True)
class ZoneDecision:
    """The fleet's decision on one zone; `trial_round` selects the heads that make trials."""

    zone: str
    stage: ZoneStage
    share: float
    trial_round: int
    reason: str = ""
    warm_us: int = 0  # how long its nodes have answered again
    by_operator: bool = False  # heads that reach the zone leave it as well
    left_us: int = 0  # how long ago it was left


def valid_decisions(decisions: Iterable[ZoneDecision], age_us: int, told_us: int) -> tuple[ZoneDecision, ...]:
    """Return the decisions that are still valid `age_us` after they were last received.

    RETURNING is valid half as long: the zone's nodes answer, and the decider may have died meanwhile.
    """
    return tuple(
        one for one in decisions
        if age_us < (told_us // 2 if one.stage is ZoneStage.RETURNING else told_us)
    )  # fmt: skip


def uses_zone(decision: ZoneDecision, me: str, present: Iterable[str], tries: int) -> bool:
    """Return whether a head uses a zone under a decision; every head computes the same result from it."""
    if decision.stage is ZoneStage.IN:
        return True
    if decision.stage is ZoneStage.OUT:
        return False
    if crc32(f"{decision.zone}\0{me}".encode()) < decision.share * CHECKSUM_RANGE:
        return True
    return rank(f"{decision.zone}\0{decision.trial_round}", me, present) < tries
