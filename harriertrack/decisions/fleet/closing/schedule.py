"""A calendar's closes as all heads act on them: instants (microseconds UTC since 1970), each a generation.

The deciding head computes them; heads never do. What is announced for the next `notice_us` stays in force
whatever becomes of the calendar: a head that received a confirmation at an instant knows every close until
`notice_us` after it. So a change of the calendar one second before a close takes effect after that close.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from enum import Enum
from fnmatch import fnmatchcase

CLOSES_AHEAD = 4  # listed in advance; more are added as they pass
PAST_CLOSES = 16  # listed after they passed: a head that was absent meanwhile purges them


class Late(Enum):
    """How a close that could not be announced in time is handled."""

    PURGE = "purge"  # as soon as it can be announced
    SKIP = "skip"  # not at all: the data stay until the next close


@dataclass(frozen=True, slots=True)
class Purge:
    """Bytes from `start` to before `end` (0: the volume's end) of the volumes that match a pattern."""

    volume: str
    start: int = 0
    end: int = 0

    def matches(self, volume: str) -> bool:
        """Whether the pattern matches a volume."""
        return fnmatchcase(volume, self.volume)

    def overlaps(self, volume: str, offset: int, length: int) -> bool:
        """Whether it affects a range of a volume."""
        return self.matches(volume) and offset + length > self.start and (not self.end or offset < self.end)

    def covers(self, other: Purge) -> bool:
        """Whether it purges all that another does; the pattern must be the same, or "*"."""
        matches = self.volume in (other.volume, "*")
        return matches and self.start <= other.start and (not self.end or 0 < other.end <= self.end)


@dataclass(frozen=True, slots=True)
class Close:
    """One close: generation `number` of what it purges begins at `at_us`."""

    number: int
    at_us: int
    purges: tuple[Purge, ...]
    name: str = ""  # for operators: the market's local date and time


@dataclass(frozen=True, slots=True)
class Schedule:
    """The closes of one calendar, in order, without gaps."""

    version: int = 0  # of the calendar, from which the future closes were computed
    zones: str = ""  # version of the time zone data
    closes: tuple[Close, ...] = ()
    swept: tuple[
        tuple[str, int], ...
    ] = ()  # by volume of several heads: the last close whose sweep is complete

    def last_swept(self, volume: str) -> int:
        """Return the last close whose sweep of a volume of several heads is complete."""
        return next((number for name, number in self.swept if name == volume), 0)

    def with_swept(self, volume: str, number: int) -> Schedule:
        """Return the schedule with a sweep recorded; the last swept close never decreases."""
        others = [one for one in self.swept if one[0] != volume]
        last = max(number, self.last_swept(volume))
        return replace(self, swept=tuple(sorted([*others, (volume, last)])))

    @property
    def last_number(self) -> int:
        """Return the number of the last known close; 0: none."""
        return self.closes[-1].number if self.closes else 0

    def closes_after(self, instant: int) -> list[Close]:
        """Return the closes after an instant."""
        return [one for one in self.closes if one.at_us > instant]


@dataclass(frozen=True, slots=True)
class Plan:
    """A calendar, evaluated with one version of the time zone data."""

    version: int
    zones: str
    purges: tuple[Purge, ...]
    instants: tuple[tuple[int, str], ...]  # the closes, from some time in the past, in order, and their names
    late: Late = Late.PURGE


def compute_schedule(before: Schedule, plan: Plan, latest: int, notice_us: int) -> Schedule:
    """Return the next schedule; `latest` is the latest instant that it may be now.

    Closes within the notice are kept as they are, and followed by the plan's later closes. A close that the
    plan has within the notice, after the last one kept, is late: it is purged as soon as it can be announced,
    or skipped. A number is never given to two instants, and none is left out.
    """
    firm_until = latest + notice_us
    firm = [one for one in before.closes if one.at_us <= firm_until]
    number = firm[-1].number if firm else 0
    last_firm = firm[-1].at_us if firm else None
    fresh: list[tuple[int, str]] = []
    if before.closes or plan.late is Late.PURGE:
        since = last_firm if last_firm is not None else latest
        missed = [one for one in plan.instants if since < one[0] <= firm_until]
        if missed and plan.late is Late.PURGE:
            fresh.append((firm_until + 1, f"{missed[-1][1]}, late"))
    fresh += [one for one in plan.instants if one[0] > firm_until + 1][:CLOSES_AHEAD]
    closes = list(firm)
    for at, name in fresh:
        number += 1
        closes.append(Close(number, at, plan.purges, name))
    passed = sum(one.at_us <= latest for one in closes)
    return Schedule(plan.version, plan.zones, tuple(closes[max(0, passed - PAST_CLOSES) :]), before.swept)


def needs_update(schedule: Schedule, plan: Plan, latest: int) -> bool:
    """Whether to compute closes again: another calendar, other time zone data, or few closes ahead."""
    if (schedule.version, schedule.zones) != (plan.version, plan.zones):
        return True
    more = [at for at, _ in plan.instants if schedule.closes and at > schedule.closes[-1].at_us]
    return len(schedule.closes_after(latest)) < CLOSES_AHEAD // 2 and bool(more)


def uncovered_purges(purges: Iterable[Purge], earlier: Sequence[Purge]) -> list[Purge]:
    """Return the purges that no earlier one of the calendar covers: they require confirmation."""
    return [one for one in purges if not any(known.covers(one) for known in earlier)]


def pending_closes(schedule: Schedule, done: int) -> list[Close]:
    """Return the closes after number `done`; the first stands for any that are no longer listed.

    A head that was absent for longer than closes are listed purges by the oldest one listed: all older data
    are purged with it.
    """
    after = [one for one in schedule.closes if one.number > done]
    if after and after[0].number > done + 1:
        after[0] = replace(after[0], name=f"{after[0].name}, and those since {done}")
    return after
