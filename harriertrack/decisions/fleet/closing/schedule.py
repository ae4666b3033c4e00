"""A calendar's closes as all heads act on them: instants (microseconds UTC since 1970), each a generation.

Who decides works them out; heads never do. What is announced for the next `notice_us` stands whatever
becomes of the calendar: a head that heard a confirmation at an instant knows every close until `notice_us`
after it. So a change one second before a close comes after that close.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from enum import Enum
from fnmatch import fnmatchcase

LISTED = 4  # closes ahead; more are added as they go by
REMEMBERED = 16  # closes that went by: what a head that was away in the meantime purges


class Late(Enum):
    """What becomes of a close that could not be announced in time."""

    PURGE = "purge"  # as soon as it can be announced
    SKIP = "skip"  # it is none: the data live until the next


@dataclass(frozen=True, slots=True)
class Purge:
    """Bytes from `start` to before `end` (0: the volume's end) of the volumes that a pattern names."""

    volume: str
    start: int = 0
    end: int = 0

    def matches(self, volume: str) -> bool:
        """Whether it is about a volume."""
        return fnmatchcase(volume, self.volume)

    def overlaps(self, volume: str, offset: int, length: int) -> bool:
        """Whether it touches a range of a volume."""
        return self.matches(volume) and offset + length > self.start and (not self.end or offset < self.end)

    def covers(self, other: Purge) -> bool:
        """Whether it purges all that another does; patterns must be the same, or this one's all volumes."""
        named = self.volume in (other.volume, "*")
        return named and self.start <= other.start and (not self.end or 0 < other.end <= self.end)


@dataclass(frozen=True, slots=True)
class Close:
    """One close: generation `number` of what it purges begins at `at_us`."""

    number: int
    at_us: int
    purges: tuple[Purge, ...]
    name: str = ""  # as people say it: the market's own date and time


@dataclass(frozen=True, slots=True)
class Schedule:
    """The closes of one calendar, in order, without a gap."""

    version: int = 0  # of the calendar that the closes to come were worked out from
    zones: str = ""  # of which time zone data
    closes: tuple[Close, ...] = ()
    swept: tuple[tuple[str, int], ...] = ()  # of volumes of several heads: the last close that left nothing

    def last_swept(self, volume: str) -> int:
        """Return the last close of which nothing is left of a volume of several heads."""
        return next((number for name, number in self.swept if name == volume), 0)

    def with_swept(self, volume: str, number: int) -> Schedule:
        """Return the schedule after a sweep; it never goes back."""
        others = [one for one in self.swept if one[0] != volume]
        last = max(number, self.last_swept(volume))
        return replace(self, swept=tuple(sorted([*others, (volume, last)])))

    @property
    def last_number(self) -> int:
        """Return the number of the last close that is known."""
        return self.closes[-1].number if self.closes else 0

    def closes_after(self, instant: int) -> list[Close]:
        """Return the closes after an instant."""
        return [one for one in self.closes if one.at_us > instant]


@dataclass(frozen=True, slots=True)
class Plan:
    """What a calendar says, worked out by one set of time zone data."""

    version: int
    zones: str
    purges: tuple[Purge, ...]
    instants: tuple[tuple[int, str], ...]  # the closes from a while ago on, in order, and their names
    late: Late = Late.PURGE


def compute_schedule(before: Schedule, plan: Plan, latest: int, notice_us: int) -> Schedule:
    """Return the schedule that follows; `latest` is the latest instant that it may be now.

    What stands within the notice is kept as it is. The plan's closes after that come next. One that the plan
    has within the notice, after the last that stands, is late: purged as soon as it can be announced, or not.
    The same number is never given to two instants, nor left out.
    """
    firm_until = latest + notice_us
    firm = [one for one in before.closes if one.at_us <= firm_until]
    number = firm[-1].number if firm else 0
    stood = firm[-1].at_us if firm else None
    fresh: list[tuple[int, str]] = []
    if before.closes or plan.late is Late.PURGE:
        since = stood if stood is not None else latest
        missed = [one for one in plan.instants if since < one[0] <= firm_until]
        if missed and plan.late is Late.PURGE:
            fresh.append((firm_until + 1, f"{missed[-1][1]}, late"))
    fresh += [one for one in plan.instants if one[0] > firm_until + 1][:LISTED]
    closes = list(firm)
    for at, name in fresh:
        number += 1
        closes.append(Close(number, at, plan.purges, name))
    gone = sum(one.at_us <= latest for one in closes)
    return Schedule(plan.version, plan.zones, tuple(closes[max(0, gone - REMEMBERED) :]), before.swept)


def needs_update(schedule: Schedule, plan: Plan, latest: int) -> bool:
    """Whether it is time to work closes out again: another calendar, other data, or few closes ahead."""
    if (schedule.version, schedule.zones) != (plan.version, plan.zones):
        return True
    more = [at for at, _ in plan.instants if schedule.closes and at > schedule.closes[-1].at_us]
    return len(schedule.closes_after(latest)) < LISTED // 2 and bool(more)


def uncovered_purges(purges: Iterable[Purge], ever: Sequence[Purge]) -> list[Purge]:
    """Return which of a calendar's purges nothing that it ever purged covers: they wait for a word."""
    return [one for one in purges if not any(known.covers(one) for known in ever)]


def pending_closes(schedule: Schedule, done: int) -> list[Close]:
    """Return the closes after number `done`; what a head that lost count has forgotten comes first.

    A head that was away longer than closes are remembered purges by the oldest that is: all older data go
    with it too.
    """
    after = [one for one in schedule.closes if one.number > done]
    if after and after[0].number > done + 1:
        after[0] = replace(after[0], name=f"{after[0].name}, and those since {done}")
    return after
