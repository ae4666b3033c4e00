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
from harriertrack.decisions.fleet.closing.schedule import Close, Purge, Schedule, merged

BLIND_HINT_US = 500_000
SWEEP_HINT_US = 500_000
LEAST_HINT_US = 1_000


class Stance(Enum):
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
    done: int = 0  # the last close that is on disk here

    def follow(self, schedule: Schedule) -> str:
        """Take a schedule; return why not, "" if it was taken."""
        known = {one.number: one.at_us for one in self.schedule.closes if one.number <= self.done}
        for one in schedule.closes:
            if known.get(one.number, one.at_us) != one.at_us:
                return f"close {one.number} is done here, at another time"
        if schedule.last < self.done:
            return f"it ends with close {schedule.last}, and {self.done} are done here"
        self.schedule = schedule
        return ""

    def due(self, reading: Interval, sure_until: int) -> list[Close]:
        """Return the closes that have surely come and are not done here, oldest first.

        From `sure_until` on the schedule may have been replaced: what it says of then is no reason to purge.
        """
        until = min(reading.low, sure_until)
        return [one for one in merged(self.schedule, self.done) if one.at_us <= until]

    def purged(self, number: int) -> None:
        """A close is on disk here. Raises ValueError for one that is not the next."""
        if number <= self.done:
            raise ValueError(f"close {number} of {self.calendar} after {self.done}")
        self.done = number

    def stance(self, reading: Interval) -> Stance:
        """Return what the fence does now."""
        after = merged(self.schedule, self.done)
        if not after or reading.high < after[0].at_us:
            return Stance.OPEN
        return Stance.PURGING if reading.low >= after[0].at_us else Stance.CLOSING

    def hint_us(self, reading: Interval) -> int:
        """Return after which time asking again may help."""
        after = merged(self.schedule, self.done)
        return max(LEAST_HINT_US, after[0].at_us - reading.low) if after else LEAST_HINT_US

    @property
    def next_close(self) -> Close | None:
        """Return the next close that is known."""
        return next(iter(merged(self.schedule, self.done)), None)

    def next_at(self, reading: Interval) -> int | None:
        """Return in how many microseconds, by this reading, the stance may change by itself; None: never."""
        after = merged(self.schedule, self.done)
        if not after:
            return None
        at = after[0].at_us
        return max(0, at - reading.high if reading.high < at else at - reading.low)

    def sweeping(self, volume: str) -> list[Close]:
        """Return the closes that are done here and left bytes of a volume of several heads, oldest first."""
        swept = self.schedule.swept_of(volume)
        return [
            one for one in self.schedule.closes
            if swept < one.number <= self.done and any(purge.names(volume) for purge in one.purges)
        ]  # fmt: skip

    def sweeps(self, volume: str, offset: int, length: int) -> bool:
        """Whether a range of a volume of several heads is yet to be swept."""
        return any(
            purge.overlaps(volume, offset, length) for one in self.sweeping(volume) for purge in one.purges
        )

    def purges(self) -> tuple[Purge, ...]:
        """Return what the calendar touches: of the next close, and of what it did last."""
        after = merged(self.schedule, self.done)
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
        self.sure_until = 0  # instant before which there are no closes but these

    def guards(self, volume: str) -> bool:
        """Whether calendars may touch a volume."""
        if volume not in self._may_touch:
            self._may_touch[volume] = any(fnmatchcase(volume, one) for one in self._patterns)
        return self._may_touch[volume]

    def fence(self, calendar: str) -> Fence:
        """Return a calendar's fence."""
        if calendar not in self.fences:
            self.fences[calendar] = Fence(calendar, done=self._done.get(calendar, 0))
        return self.fences[calendar]

    def known(self, calendar: str) -> bool:
        """Whether any close of a calendar was done here, in this life or an earlier one."""
        return calendar in self._done or calendar in self.fences

    def confirmed(self, until: int) -> None:
        """Hear that before an instant there are no other closes."""
        self.sure_until = max(self.sure_until, until)

    def blind(self, reading: Interval | None) -> bool:
        """Whether nobody can say here what closes there may have been."""
        return reading is None or reading.high >= self.sure_until

    def admits(self, reading: Interval | None, volume: str, mine: int, theirs: int) -> bool:
        """Whether bytes of a generation may be stored here, where a volume's are of `mine`.

        None of before a close that is done here, and none of after one that is not. A later one whose close
        has surely come is one of those that nobody remembers: all that are known are done, or refuse.
        """
        if theirs == mine or not self.guards(volume):
            return True
        return not self.blind(reading) and reading is not None and mine < theirs <= reading.low

    def unsettled_us(self, reading: Interval | None, volume: str, apart_us: int) -> int:
        """Return for how long another head may stand on another side of a volume's close; 0: it does not.

        `apart_us`: the widest that another's bounds on true time can be.
        """
        if reading is None:
            return 0
        left = (
            close.at_us + apart_us - reading.low
            for fence in self.fences.values() for close in fence.schedule.closes
            if reading.high >= close.at_us and any(purge.names(volume) for purge in close.purges)
        )  # fmt: skip
        return max(0, *left, 0)

    def refuses(self, reading: Interval | None, volume: str, offset: int, length: int) -> int | None:
        """Return the hint with which a request for a range is refused now; None: it passes."""
        if not self.guards(volume):
            return None
        if reading is None or self.blind(reading):
            return BLIND_HINT_US
        hints = [
            fence.hint_us(reading) for fence in self.fences.values()
            if fence.stance(reading) is not Stance.OPEN
            and any(purge.overlaps(volume, offset, length) for purge in fence.purges())
        ]  # fmt: skip
        if self._several(volume):
            sweeping = any(fence.sweeps(volume, offset, length) for fence in self.fences.values())
            hints += [SWEEP_HINT_US] if sweeping else []
        return max(hints, default=None)

    def next_at(self, reading: Interval) -> int | None:
        """Return in how many microseconds a fence may change by itself; None: nobody knows of any."""
        times = (one.next_at(reading) for one in self.fences.values())
        return min((at for at in times if at is not None), default=None)
