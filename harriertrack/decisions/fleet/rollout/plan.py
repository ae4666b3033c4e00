"""The plan of a rollout: its stages, how many heads may be away, what is compared, and what stops a version.

A stage gives how many heads run the new version by its end, including those of earlier stages. Times are in
microseconds of the deciding head's clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from harriertrack.decisions.fleet.changes.record import Kind


class Measure(Enum):
    """Which requests of a class count against a version."""

    WORTH = "worth"  # not served within the class's aim: refused, failed or late
    FAILED = "failed"
    REFUSED = "refused"
    SLOW = "slow"  # slower than nine tenths of the baseline
    BROKEN = "broken"  # answered after the deadline, or another rule seen broken


@dataclass(frozen=True, slots=True)
class Stage:
    """How many heads a version reaches before it is judged again."""

    name: str
    heads: int = 0  # number of heads in total; 0: use `share`
    share: float = (
        0.0  # of each zone, at least one head; below 1 at least one is left out, if the zone has more
    )
    zones: tuple[str, ...] = ()  # only heads in these zones; empty: in all
    cells: tuple[str, ...] = ()
    regions: tuple[str, ...] = ()
    soak_us: int = 60_000_000  # from the report of the last of its heads that it runs the version
    least: int = (
        200  # answers required from heads that run it, in every class that is busy enough; 0: only the
    )
    # soak is required, as in the last stage, where no head of the old version is left to compare with


@dataclass(frozen=True, slots=True)
class Bounds:
    """What counts as worse, and the error rates of the tests."""

    times: float = 2.0  # a version is worse if requests go badly this many times as often
    more: float = 0.01  # ... and this fraction of all requests in addition
    wrongly: float = 0.01  # of good versions that are stopped, over all comparisons in all stages
    missed: float = 0.05  # of versions exactly that bad that pass the last judged stage
    early: float = 0.25  # ... and that pass each earlier stage: a later one judges them again
    falls: int = 1  # heads that returned to the old version by themselves, or rejected the new one
    crashes: int = 2  # unrequested exits of heads that run it, beyond those of other heads
    memory: float = 1.5  # growth against the head's own baseline and the other heads; 0: not checked
    processor: float = 2.0  # the same, per request


@dataclass(frozen=True, slots=True)
class Plan:
    """How a version is rolled out."""

    stages: tuple[Stage, ...]
    away: int = 1  # heads away at once; never of two zones, nor all that serve a volume
    away_share: float = 0.05  # of all heads, if that is more
    back_away: int = 4  # the same during a rollback
    back_share: float = 0.2
    alone: bool = False  # whether a volume that only one head serves may be unavailable for a while
    missing: float = 0.1  # fraction of a stage's heads that need not report
    before_us: int = 120_000_000  # baseline: how long heads are observed before the first changes
    settle_us: int = (
        5_000_000  # ignored at the start: cold caches and empty windows distort a head's first answers
    )
    ready_us: int = 60_000_000  # after which a changing head that does not report holds the stage up
    patience_us: int = 900_000_000  # a stage that takes longer is paused
    measures: tuple[Measure, ...] = tuple(Measure)
    bounds: Bounds = Bounds()

    def max_away(self, heads: int, back: bool) -> int:
        """Return how many of `heads` may be away at once; `back`: during a rollback."""
        least, share = (self.back_away, self.back_share) if back else (self.away, self.away_share)
        return max(least, int(share * heads))


DEFAULT_PLAN = Plan((
    Stage("one", heads=1), Stage("tenth", share=0.1), Stage("half", share=0.5), Stage("most", share=0.9),
    Stage("all", share=1.0, least=0),
))  # fmt: skip


def interrupts_service(kind: Kind) -> bool:
    """Whether a head stops serving while it switches to a version of this kind."""
    return kind is Kind.PROGRAM
