"""Bounds on a head's clock error, from the claims of other heads.

True time is bounded, never known exactly: a correct machine's clock is at most `error_us` off. The deciding
head receives from each head how far its wall clock is ahead of its monotonic clock, and the interval in
which the head's monotonic clock lies relative to its own. From all these claims on true time it computes
what most of them allow (Marzullo 1984). Its answer to a head's query carries that interval, together with
the four stamps of the exchange (sent, received, answered, returned), which bound the offset between the two
monotonic clocks whatever each direction took. A wall clock that jumps changes only its own claim.

All values are microseconds; an interval says how far one clock is ahead of another.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Interval:
    """From `low` to `high`, both inclusive."""

    low: int
    high: int

    def __post_init__(self) -> None:
        if self.low > self.high:
            raise ValueError(f"interval is reversed: from {self.low} to {self.high}")

    def plus(self, other: Interval) -> Interval:
        """Return the interval of the sum of two."""
        return Interval(self.low + other.low, self.high + other.high)

    def minus(self, other: Interval) -> Interval:
        """Return the interval of the difference of two."""
        return Interval(self.low - other.high, self.high - other.low)

    def widened(self, us: int) -> Interval:
        """Return the interval extended by `us` on both sides."""
        return Interval(self.low - us, self.high + us)

    def overlaps(self, other: Interval) -> bool:
        """Whether the two intervals have a value in common."""
        return self.low <= other.high and other.low <= self.high


@dataclass(frozen=True, slots=True)
class ClockRules:
    """The parameters of clocks."""

    error_us: int = 250_000  # the largest distance of a correct machine's wall clock from true time
    drift: float = 0.0005  # two monotonic clocks diverge by at most this rate
    step_us: int = 20_000  # a wall clock that moves more relative to the monotonic one has jumped


def majority_interval(claims: Mapping[str, Interval]) -> Interval | None:
    """Return what most claims allow: the hull of where more than half of them overlap; None if nowhere.

    Not only where the most overlap: a claim that is somewhat off still overlaps some correct ones, and there
    more may overlap than at true time, so that a single clock would move the result for all heads.
    """
    edges = sorted(
        [(one.low, 0) for one in claims.values()] + [(one.high, 1) for one in claims.values()]
    )  # fmt: skip
    enough, depth, high = len(claims) // 2 + 1, 0, 0
    low: int | None = None
    for at, ends in edges:
        if ends:
            if depth == enough:
                high = at
            depth -= 1
        else:
            depth += 1
            if depth == enough and low is None:
                low = at
    return Interval(low, high) if low is not None else None


def inconsistent_claims(claims: Mapping[str, Interval], truth: Interval) -> list[str]:
    """Return the names of those whose claims can't be true."""
    return sorted(name for name, claim in claims.items() if not claim.overlaps(truth))


@dataclass(frozen=True, slots=True)
class Exchange:
    """The stamps of one query and its answer; the first and last by this head's clock."""

    sent_at: int
    received_at: int
    answered_at: int
    returned_at: int

    def offset(self) -> Interval | None:
        """Return how far the other clock is ahead; None for impossible stamps."""
        low, high = self.answered_at - self.returned_at, self.received_at - self.sent_at
        return Interval(low, high) if low <= high else None


class FleetClock:
    """One head's bounds on how far true time is ahead of its own monotonic clock."""

    def __init__(self, rules: ClockRules) -> None:
        self.rules = rules
        self._offset: Interval | None = None  # of true time, as of `_updated_at`
        self._updated_at = 0
        self._wall_offset: int | None = None
        self.jumps = 0

    def check_jump(self, now: int, wall: int) -> bool:
        """Check the own wall clock; return whether it jumped: then no bounds are known until the next update.

        A machine that resumes from sleep shows this: its monotonic clock stopped, its wall clock did not.
        """
        offset, before = wall - now, self._wall_offset
        self._wall_offset = offset
        if before is None or abs(offset - before) <= self.rules.step_us:
            return False
        self.jumps += 1
        self._offset = None
        return True

    def claim(self, now: int, wall: int) -> Interval:
        """Return how far true time is ahead of the monotonic clock, according to the own wall clock."""
        return Interval(wall - now, wall - now).widened(self.rules.error_us)

    def update(self, now: int, offset: Interval) -> None:
        """Update how far true time is ahead; where it overlaps the older bounds, those narrow it."""
        known = self.offset(now)
        if known is not None and known.overlaps(offset):
            offset = Interval(max(known.low, offset.low), min(known.high, offset.high))
        self._offset, self._updated_at = offset, now

    def reset(self) -> None:
        """Discard the bounds until the next update."""
        self._offset = None

    def offset(self, now: int) -> Interval | None:
        """Return how far true time is ahead of the monotonic clock; None: not known."""
        if self._offset is None:
            return None
        return self._offset.widened(int(self.rules.drift * max(0, now - self._updated_at)))

    def reading(self, now: int) -> Interval | None:
        """Return the bounds of the current instant (UTC, since 1970); None: not known."""
        offset = self.offset(now)
        return None if offset is None else Interval(now + offset.low, now + offset.high)


def claims_on_decider_clock(claims: Iterable[tuple[str, Interval, Interval]]) -> dict[str, Interval]:
    """Return claims on how far true time is ahead of the deciding head's clock.

    For each head: its claim on how far true time is ahead of its clock, and how far the deciding head's is.
    """
    return {name: claim.minus(offset) for name, claim, offset in claims}
