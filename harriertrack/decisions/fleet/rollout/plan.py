"""The plan of a rollout, as data: stages, what each needs, who may be away, what is compared, what stops it.

A stage names how many heads run the new version by its end, those of earlier stages among them. Times are
microseconds of the clock of who decides.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from harriertrack.decisions.fleet.changes.record import Kind


class Measure(Enum):
    """What of a class's requests is counted against a version."""

    WORTH = "worth"  # not served within the class's aim: refused, failed or late
    FAILED = "failed"
    REFUSED = "refused"
    SLOW = "slow"  # slower than nine tenths of those before
    BROKEN = "broken"  # answered after the deadline, or another rule seen broken


@dataclass(frozen=True, slots=True)
class Stage:
    """How far a version goes before it is looked at again."""

    name: str
    heads: int = 0  # so many in all; 0: `share`
    share: float = 0.0  # of each zone, at least one; below 1 it leaves one, where there are more
    zones: tuple[str, ...] = ()  # only there; none: everywhere
    cells: tuple[str, ...] = ()
    regions: tuple[str, ...] = ()
    soak_us: int = 60_000_000  # since the last of its heads was heard to run it
    least: int = 200  # answers by heads that run it, of every class that is busy enough; 0: nothing is
    # waited for but the soak, as in the last stage, where nobody is left to compare with


@dataclass(frozen=True, slots=True)
class Bounds:
    """What counts as worse, and how sure that must be."""

    times: float = 2.0  # so much more often than without
    more: float = 0.01  # ... and of so many of all requests beyond that
    wrongly: float = 0.01  # of good versions stopped, over all that is compared in all stages
    missed: float = 0.05  # of versions just so bad, that the last stage which is judged calls not worse
    early: float = 0.25  # ... and each stage before that: what it lets pass is judged again
    falls: int = 1  # heads that went back by themselves, or would not take it
    crashes: int = 2  # ends that nobody asked for, of heads that run it, beyond what the others have
    memory: float = 1.5  # times, against the head itself before and the others meanwhile; 0: not looked at
    processor: float = 2.0  # the same, a request


@dataclass(frozen=True, slots=True)
class Plan:
    """How a version is brought about."""

    stages: tuple[Stage, ...]
    away: int = 1  # heads at once, and never of two zones, or all that serve a volume
    away_share: float = 0.05  # of all heads, if that is more
    back_away: int = 4  # the same, on the way back
    back_share: float = 0.2
    alone: bool = False  # a volume that one head alone serves may be without for a while
    missing: float = 0.1  # of a stage's heads need not be heard
    before_us: int = 120_000_000  # heads are watched for so long before the first changes
    settle_us: int = 5_000_000  # what a head does first is left out: cold caches, empty windows
    ready_us: int = 60_000_000  # after which a head that is to change and is not heard holds the stage up
    patience_us: int = 900_000_000  # a stage that takes longer is paused
    measures: tuple[Measure, ...] = tuple(Measure)
    bounds: Bounds = Bounds()

    def max_away(self, heads: int, back: bool) -> int:
        """Return how many of so many heads may be away at once."""
        least, share = (self.back_away, self.back_share) if back else (self.away, self.away_share)
        return max(least, int(share * heads))


DEFAULT_PLAN = Plan((
    Stage("one", heads=1), Stage("tenth", share=0.1), Stage("half", share=0.5), Stage("most", share=0.9),
    Stage("all", share=1.0, least=0),
))  # fmt: skip


def interrupts_service(kind: Kind) -> bool:
    """Whether a head that takes such a version stops serving meanwhile."""
    return kind is Kind.PROGRAM
