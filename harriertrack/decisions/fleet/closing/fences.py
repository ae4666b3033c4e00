"""What one head lets pass of what closes touch: the fence of each calendar, by the schedule and the clock.

| stance | when | what the calendar touches |
| --- | --- | --- |
| OPEN | the next close is surely to come | is served |
| CLOSING | by its bounds on true time the close may have come | refused: for as long as the doubt lasts |
| PURGING | a close has surely come, and is not on disk here | refused until it is |
| SWEEPING | what a close left on a volume of several heads is not proven trimmed | refused until it is |

A head is *blind* while true time is not bounded, or nobody confirmed for the notice that these are all the
closes there are: then it refuses all of the volumes that its settings let calendars touch, and purges
nothing.

The step over a close is taken once, on disk, when it has surely come: then all that the calendar touches is
of the next generation. Before it nothing new is let in while it may have come, so a request is answered
before the doubt begins or refused; it is never of both generations. Clocks that keep their bounds differ in
when they refuse, not in what they answer.

Pure: `reading` is between which instants it is now (clocks.py), None if nobody knows.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from fnmatch import fnmatchcase

from harriertrack.decisions.fleet.closing.clocks import Interval
from harriertrack.decisions.fleet.closing.schedule import Close, Purge, Schedule, pending_closes

BLIND_HINT_US = 500_000
SWEEP_HINT_US = 500_000
LEAST_HINT_US = 1_000


class FenceState(Enum):
    """What a fence does now."""

    OPEN = "open"
    CLOSING = "closing"
    PURGING = "purging"
    SWEEPING = "sweeping"


@dataclass(slots=True)
class Fence:
    """One calendar's, at one head."""

    calendar: str
    schedule: Schedule = field(default_factory=Schedule)
    last_purged: int = 0  # the last close that is on disk here

    def set_schedule(self, schedule: Schedule) -> str:
        """Take a schedule; return why not, "" if it was taken."""
        known = {one.number: one.at_us for one in self.schedule.closes if one.number <= self.last_purged}
        for one in schedule.closes:
            if known.get(one.number, one.at_us) != one.at_us:
                return f"close {one.number} is done here, at another time"
        if schedule.last_number < self.last_purged:
            return f"it ends with close {schedule.last_number}, and {self.last_purged} are done here"
        self.schedule = schedule
        return ""

    def closes_to_purge(self, reading: Interval, sure_until: int) -> list[Close]:
        """Return the closes that have surely come and are not done here, oldest first.

        From `sure_until` on the schedule may have been replaced: what it says of then is no reason to purge.
        """
        until = min(reading.low, sure_until)
        return [one for one in pending_closes(self.schedule, self.last_purged) if one.at_us <= until]

    def mark_purged(self, number: int) -> None:
        """A close is on disk here. Raises ValueError for one that is not the next."""
        if number <= self.last_purged:
            raise ValueError(f"close {number} of {self.calendar} after {self.last_purged}")
        self.last_purged = number

    def state(self, reading: Interval) -> FenceState:
        """Return what the fence does now."""
        after = pending_closes(self.schedule, self.last_purged)
        if not after or reading.high < after[0].at_us:
            return FenceState.OPEN
        return FenceState.PURGING if reading.low >= after[0].at_us else FenceState.CLOSING

    def hint_us(self, reading: Interval) -> int:
        """Return after which time asking again may help."""
        after = pending_closes(self.schedule, self.last_purged)
        return max(LEAST_HINT_US, after[0].at_us - reading.low) if after else LEAST_HINT_US

    @property
    def next_close(self) -> Close | None:
        """Return the next close that is known."""
        return next(iter(pending_closes(self.schedule, self.last_purged)), None)

    def us_until_change(self, reading: Interval) -> int | None:
        """Return in how many microseconds, by this reading, the stance may change by itself; None: never."""
        after = pending_closes(self.schedule, self.last_purged)
        if not after:
            return None
        at = after[0].at_us
        return max(0, at - reading.high if reading.high < at else at - reading.low)

    def unswept_closes(self, volume: str) -> list[Close]:
        """Return the closes that are done here and left bytes of a volume of several heads, oldest first."""
        swept = self.schedule.last_swept(volume)
        return [
            one for one in self.schedule.closes
            if swept < one.number <= self.last_purged and any(purge.matches(volume) for purge in one.purges)
        ]  # fmt: skip

    def needs_sweep(self, volume: str, offset: int, length: int) -> bool:
        """Whether a range of a volume of several heads is yet to be swept."""
        return any(
            purge.overlaps(volume, offset, length)
            for one in self.unswept_closes(volume)
            for purge in one.purges
        )

    def affected_ranges(self) -> tuple[Purge, ...]:
        """Return what the calendar touches: of the next close, and of what it did last."""
        after = pending_closes(self.schedule, self.last_purged)
        listed = after[:1] or list(self.schedule.closes[-1:])
        return listed[0].purges if listed else ()


class Fences:
    """All calendars' at one head; `may_touch` are patterns of the volumes that settings let them touch."""

    def __init__(self, may_touch: Iterable[str], done: Mapping[str, int],
                 several: Callable[[str], bool] = lambda _volume: False) -> None:  # fmt: skip
        self._several = several  # whether a volume is one of several heads
        self._patterns = tuple(may_touch)
        self._may_touch: dict[str, bool] = {}
        self._done = dict(done)  # as found on disk
        self.fences: dict[str, Fence] = {}
        self.confirmed_until = 0  # instant before which there are no closes but these

    def may_purge(self, volume: str) -> bool:
        """Whether calendars may touch a volume."""
        if volume not in self._may_touch:
            self._may_touch[volume] = any(fnmatchcase(volume, one) for one in self._patterns)
        return self._may_touch[volume]

    def fence(self, calendar: str) -> Fence:
        """Return a calendar's fence."""
        if calendar not in self.fences:
            self.fences[calendar] = Fence(calendar, last_purged=self._done.get(calendar, 0))
        return self.fences[calendar]

    def has_fence(self, calendar: str) -> bool:
        """Whether any close of a calendar was done here, in this life or an earlier one."""
        return calendar in self._done or calendar in self.fences

    def confirm_until(self, until: int) -> None:
        """Hear that before an instant there are no other closes."""
        self.confirmed_until = max(self.confirmed_until, until)

    def is_blind(self, reading: Interval | None) -> bool:
        """Whether nobody can say here what closes there may have been."""
        return reading is None or reading.high >= self.confirmed_until

    def accepts_generation(self, reading: Interval | None, volume: str, mine: int, theirs: int) -> bool:
        """Whether bytes of a generation may be stored here, where a volume's are of `mine`.

        None of before a close that is done here, and none of after one that is not. A later one whose close
        has surely come is one of those that nobody remembers: all that are known are done, or refuse.
        """
        if theirs == mine or not self.may_purge(volume):
            return True
        return not self.is_blind(reading) and reading is not None and mine < theirs <= reading.low

    def unsettled_us(self, reading: Interval | None, volume: str, apart_us: int) -> int:
        """Return for how long another head may stand on another side of a volume's close; 0: it does not.

        `apart_us`: the widest that another's bounds on true time can be.
        """
        if reading is None:
            return 0
        left = (
            close.at_us + apart_us - reading.low
            for fence in self.fences.values() for close in fence.schedule.closes
            if reading.high >= close.at_us and any(purge.matches(volume) for purge in close.purges)
        )  # fmt: skip
        return max(0, *left, 0)

    def refusal_hint_us(self, reading: Interval | None, volume: str, offset: int, length: int) -> int | None:
        """Return the hint with which a request for a range is refused now; None: it passes."""
        if not self.may_purge(volume):
            return None
        if reading is None or self.is_blind(reading):
            return BLIND_HINT_US
        hints = [
            fence.hint_us(reading) for fence in self.fences.values()
            if fence.state(reading) is not FenceState.OPEN
            and any(purge.overlaps(volume, offset, length) for purge in fence.affected_ranges())
        ]  # fmt: skip
        if self._several(volume):
            sweeping = any(fence.needs_sweep(volume, offset, length) for fence in self.fences.values())
            hints += [SWEEP_HINT_US] if sweeping else []
        return max(hints, default=None)

    def us_until_change(self, reading: Interval) -> int | None:
        """Return in how many microseconds a fence may change by itself; None: nobody knows of any."""
        times = (one.us_until_change(reading) for one in self.fences.values())
        return min((at for at in times if at is not None), default=None)
