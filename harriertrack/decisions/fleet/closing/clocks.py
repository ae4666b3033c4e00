"""How far a head's clock may be from true time, by what it hears of the others'.

True time is bounded, never known: every machine whose clock is sane is at most `error_us` off. Who decides
hears of each head how far that one's wall clock is ahead of its monotonic clock, and in which interval the
head's monotonic clock lies from its own; of all these claims on true time it takes what most of them allow
(Marzullo 1984). Its answer to a head's ask brings that head the interval, together with the four stamps of
the exchange (asked, heard, answered, came), which bound how far the two monotonic clocks lie apart whatever
each way took. A wall clock that jumps moves nothing but its own claim.

All values are microseconds; an interval says how far one clock is ahead of another.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Interval:
    """From `low` to `high`, both included."""

    low: int
    high: int

    def __post_init__(self) -> None:
        if self.low > self.high:
            raise ValueError(f"an interval from {self.low} to {self.high}")

    def plus(self, other: Interval) -> Interval:
        """Return where the sum of two lies."""
        return Interval(self.low + other.low, self.high + other.high)

    def minus(self, other: Interval) -> Interval:
        """Return where the difference of two lies."""
        return Interval(self.low - other.high, self.high - other.low)

    def widened(self, us: int) -> Interval:
        """Return the interval with so much doubt more on both sides."""
        return Interval(self.low - us, self.high + us)

    def overlaps(self, other: Interval) -> bool:
        """Whether the two have anything in common."""
        return self.low <= other.high and other.low <= self.high


@dataclass(frozen=True, slots=True)
class ClockRules:
    """The figures of clocks."""

    error_us: int = 250_000  # a sane machine's wall clock is at most so far from true time
    drift: float = 0.0005  # two monotonic clocks run apart by at most this part
    step_us: int = 20_000  # a wall clock that moves more against the monotonic one has jumped


def majority_interval(claims: Mapping[str, Interval]) -> Interval | None:
    """Return what most claims allow: the hull of where more than half of them meet; None if they nowhere do.

    Not only where most of all meet: a claim that is somewhat off still meets some of the true ones, there
    more meet than at true time, and one clock would move what all go by.
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
    """Return whose claims can't be true, by name."""
    return sorted(name for name, claim in claims.items() if not claim.overlaps(truth))


@dataclass(frozen=True, slots=True)
class Exchange:
    """The stamps of one ask and its answer; the first and last by this head's clock."""

    sent_at: int
    received_at: int
    answered_at: int
    returned_at: int

    def offset(self) -> Interval | None:
        """Return how far the other's clock is ahead; None for stamps that can't be."""
        low, high = self.answered_at - self.returned_at, self.received_at - self.sent_at
        return Interval(low, high) if low <= high else None


class FleetClock:
    """One head's bounds on true time, ahead of its own monotonic clock."""

    def __init__(self, rules: ClockRules) -> None:
        self.rules = rules
        self._ahead: Interval | None = None  # of true time, as of `_at`
        self._at = 0
        self._wall_ahead: int | None = None
        self.jumps = 0

    def check_jump(self, now: int, wall: int) -> bool:
        """Look at the own wall clock; return whether it jumped: then nothing is known until heard anew.

        A machine that was put to sleep wakes so: its monotonic clock stood still and its wall clock did not.
        """
        ahead, before = wall - now, self._wall_ahead
        self._wall_ahead = ahead
        if before is None or abs(ahead - before) <= self.rules.step_us:
            return False
        self.jumps += 1
        self._ahead = None
        return True

    def claim(self, now: int, wall: int) -> Interval:
        """Return what the own wall clock says of true time, ahead of the monotonic clock."""
        return Interval(wall - now, wall - now).widened(self.rules.error_us)

    def update(self, now: int, ahead: Interval) -> None:
        """Hear how far true time is ahead; the older word, as far as both can be true, makes it narrower."""
        known = self.offset(now)
        if known is not None and known.overlaps(ahead):
            ahead = Interval(max(known.low, ahead.low), min(known.high, ahead.high))
        self._ahead, self._at = ahead, now

    def reset(self) -> None:
        """Know nothing until somebody is heard."""
        self._ahead = None

    def offset(self, now: int) -> Interval | None:
        """Return how far true time is ahead of the monotonic clock; None: nothing was heard."""
        if self._ahead is None:
            return None
        return self._ahead.widened(int(self.rules.drift * max(0, now - self._at)))

    def reading(self, now: int) -> Interval | None:
        """Return between which instants (UTC, since 1970) it is now."""
        ahead = self.offset(now)
        return None if ahead is None else Interval(now + ahead.low, now + ahead.high)


def claims_on_decider_clock(claims: Iterable[tuple[str, Interval, Interval]]) -> dict[str, Interval]:
    """Return claims on how far true time is ahead of who decides.

    Of each head: what it says of true time ahead of its own clock, and how far who decides is ahead of it.
    """
    return {name: said.minus(apart) for name, said, apart in claims}
