"""The fleet's word on a zone, the figures that it follows, and who uses a zone under it. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from zlib import crc32

from harriertrack.decisions.fleet.terms import rank

WHOLE = 1 << 32  # of a checksum


class ZoneStage(Enum):
    """What a zone is to the fleet."""

    IN = "in"
    OUT = "out"
    TRYING = "trying"
    RETURNING = "returning"


@dataclass(frozen=True, slots=True)
class ZoneRules:
    """The figures."""

    gone: float = 0.8  # of the nodes that are asked answer nothing
    gone_us: int = 300_000  # for so long
    fresh_us: int = 1_500_000  # what a head said before counts no more
    heads: int = 2  # that must see it, where there are as many
    wait_us: int = 1_000_000  # from out to the first tries; doubles with each relapse
    most_wait_us: int = 60_000_000
    tries: int = 3  # heads that try
    turn_us: int = 3_000_000  # after which others do
    answers: float = 0.7  # of what is tried, for a return to begin
    first: float = 0.1  # share of the heads that return first
    growth: float = 3.0
    step_us: int = 500_000  # silence takes so long to be seen
    hurts: float = 0.2  # silent nodes, for a step back
    calm_us: int = 120_000_000  # in use for so long, a zone's relapses are forgotten
    told_us: int = 3_000_000  # how long a word holds after it was heard last; half as long in a return


@dataclass(frozen=True, slots=True)
class ZoneDecision:
    """The fleet's word on one zone; `turn` says who tries."""

    zone: str
    stage: ZoneStage
    share: float
    trial_round: int
    reason: str = ""
    warm_us: int = 0  # for how long its nodes have answered again
    by_operator: bool = False  # by an operator: who reaches it leaves it as well
    left_us: int = 0  # how long ago it was left


def valid_decisions(words: Iterable[ZoneDecision], age_us: int, told_us: int) -> tuple[ZoneDecision, ...]:
    """Return the words that still hold so long after they were heard last.

    That a zone returns holds half as long: its nodes answer, and who said so may have died meanwhile.
    """
    return tuple(
        word for word in words
        if age_us < (told_us // 2 if word.stage is ZoneStage.RETURNING else told_us)
    )  # fmt: skip


def uses_zone(word: ZoneDecision, me: str, present: Iterable[str], tries: int) -> bool:
    """Whether a head uses a zone under a word, so that all heads together keep to it."""
    if word.stage is ZoneStage.IN:
        return True
    if word.stage is ZoneStage.OUT:
        return False
    if crc32(f"{word.zone}\0{me}".encode()) < word.share * WHOLE:
        return True
    return rank(f"{word.zone}\0{word.trial_round}", me, present) < tries
