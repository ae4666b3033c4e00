"""Which requests one head admits around closes: the fence of each calendar, by its schedule and the clock.

| state | when | requests for what the calendar affects |
| --- | --- | --- |
| OPEN | the next close has certainly not come | are admitted |
| CLOSING | by the bounds on true time the close may have come | are refused while that is uncertain |
| PURGING | a close has certainly come, and is not on disk here | are refused until it is |
| SWEEPING | a volume of several heads is not proven trimmed after a close | are refused until it is |

A head is *blind* while true time is not bounded, or while it has had no confirmation within the notice that
it knows all closes: then it refuses all requests for the volumes that its settings let calendars affect, and
purges nothing.

A head steps over a close once, on disk, when it has certainly come: then all that the calendar affects
belongs to the next generation. Before that, nothing new is admitted from when the close may have come, so a
request is answered before that or refused, and never belongs to both generations. Heads whose clocks keep
their bounds differ in when they refuse, not in what they answer.

Pure: `reading` is the bounds of the current instant (clocks.py), None if they are not known.
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
MIN_HINT_US = 1_000


class FenceState(Enum):
    """The current state of a fence."""

    OPEN = "open"
    CLOSING = "closing"
    PURGING = "purging"
    SWEEPING = "sweeping"


@dataclass(slots=True)
class Fence:
    """The fence of one calendar at one head."""

    calendar: str
    schedule: Schedule = field(default_factory=Schedule)
    last_purged: int = 0  # number of the last close that is on disk here

    def set_schedule(self, schedule: Schedule) -> str:
        """Accept a schedule; return why it was rejected, or ""."""
        known = {one.number: one.at_us for one in self.schedule.closes if one.number <= self.last_purged}
        for one in schedule.closes:
            if known.get(one.number, one.at_us) != one.at_us:
                return f"close {one.number} is done here, at another time"
        if schedule.last_number < self.last_purged:
            return f"it ends with close {schedule.last_number}, and {self.last_purged} are done here"
        self.schedule = schedule
        return ""

    def closes_to_purge(self, reading: Interval, confirmed_until: int) -> list[Close]:
        """Return the closes that have certainly come and are not done here, oldest first.

        From `confirmed_until` on the schedule may have been replaced: later closes are not purged by it.
        """
        until = min(reading.low, confirmed_until)
        return [one for one in pending_closes(self.schedule, self.last_purged) if one.at_us <= until]

    def mark_purged(self, number: int) -> None:
        """Mark a close as on disk here. Raises ValueError for one that was done before."""
        if number <= self.last_purged:
            raise ValueError(f"close {number} of {self.calendar} after {self.last_purged}")
        self.last_purged = number

    def state(self, reading: Interval) -> FenceState:
        """Return the state of the fence, except for sweeps."""
        after = pending_closes(self.schedule, self.last_purged)
        if not after or reading.high < after[0].at_us:
            return FenceState.OPEN
        return FenceState.PURGING if reading.low >= after[0].at_us else FenceState.CLOSING

    def hint_us(self, reading: Interval) -> int:
        """Return after which time a retry may succeed."""
        after = pending_closes(self.schedule, self.last_purged)
        return max(MIN_HINT_US, after[0].at_us - reading.low) if after else MIN_HINT_US

    @property
    def next_close(self) -> Close | None:
        """Return the next known close."""
        return next(iter(pending_closes(self.schedule, self.last_purged)), None)

    def us_until_change(self, reading: Interval) -> int | None:
        """Return in how many microseconds, by this reading, the state may change by itself; None: never."""
        after = pending_closes(self.schedule, self.last_purged)
        if not after:
            return None
        at = after[0].at_us
        return max(0, at - reading.high if reading.high < at else at - reading.low)

    def unswept_closes(self, volume: str) -> list[Close]:
        """Return the closes done here whose sweep of a shared volume is not complete, oldest first."""
        swept = self.schedule.last_swept(volume)
        return [
            one for one in self.schedule.closes
            if swept < one.number <= self.last_purged and any(purge.matches(volume) for purge in one.purges)
        ]  # fmt: skip

    def needs_sweep(self, volume: str, offset: int, length: int) -> bool:
        """Whether a range of a volume of several heads still has to be swept."""
        return any(
            purge.overlaps(volume, offset, length)
            for one in self.unswept_closes(volume)
            for purge in one.purges
        )

    def affected_ranges(self) -> tuple[Purge, ...]:
        """Return what the calendar affects: by the next close or, if none is known, by the last one."""
        after = pending_closes(self.schedule, self.last_purged)
        listed = after[:1] or list(self.schedule.closes[-1:])
        return listed[0].purges if listed else ()


class Fences:
    """The fences of all calendars at one head; `patterns`: volumes that its settings let calendars affect."""

    def __init__(self, patterns: Iterable[str], last_purged: Mapping[str, int],
                 is_shared: Callable[[str], bool] = lambda _volume: False) -> None:  # fmt: skip
        self._is_shared = is_shared  # whether several heads serve a volume (a shared volume)
        self._patterns = tuple(patterns)
        self._may_purge: dict[str, bool] = {}
        self._last_purged = dict(last_purged)  # by calendar, as found on disk
        self.fences: dict[str, Fence] = {}
        self.confirmed_until = 0  # instant before which there are no other closes

    def may_purge(self, volume: str) -> bool:
        """Whether calendars may affect a volume."""
        if volume not in self._may_purge:
            self._may_purge[volume] = any(fnmatchcase(volume, pattern) for pattern in self._patterns)
        return self._may_purge[volume]

    def fence(self, calendar: str) -> Fence:
        """Return the fence of a calendar."""
        if calendar not in self.fences:
            self.fences[calendar] = Fence(calendar, last_purged=self._last_purged.get(calendar, 0))
        return self.fences[calendar]

    def has_fence(self, calendar: str) -> bool:
        """Whether a calendar has a fence here, or had a close done here by an earlier incarnation."""
        return calendar in self._last_purged or calendar in self.fences

    def confirm_until(self, until: int) -> None:
        """Handle a confirmation that there are no other closes before an instant."""
        self.confirmed_until = max(self.confirmed_until, until)

    def is_blind(self, reading: Interval | None) -> bool:
        """Whether there may have been closes that are not known here."""
        return reading is None or reading.high >= self.confirmed_until

    def accepts_generation(self, reading: Interval | None, volume: str, mine: int, theirs: int) -> bool:
        """Whether bytes of generation `theirs` may be stored here, where the volume is of generation `mine`.

        Not those from before a close that is done here, nor those from after a close that is not. A later
        generation whose close has certainly come belongs to a close that is no longer listed: all listed ones
        are done, or their fences refuse.
        """
        if theirs == mine or not self.may_purge(volume):
            return True
        return not self.is_blind(reading) and reading is not None and mine < theirs <= reading.low

    def unsettled_us(self, reading: Interval | None, volume: str, bounds_us: int) -> int:
        """Return for how long another head may be on the other side of a volume's close; 0: it is not.

        `bounds_us`: the largest width of another head's bounds on true time.
        """
        if reading is None:
            return 0
        left = (
            close.at_us + bounds_us - reading.low
            for fence in self.fences.values() for close in fence.schedule.closes
            if reading.high >= close.at_us and any(purge.matches(volume) for purge in close.purges)
        )  # fmt: skip
        return max(0, *left, 0)

    def refusal_hint_us(self, reading: Interval | None, volume: str, offset: int, length: int) -> int | None:
        """Return the retry hint with which a request for a range is refused now; None: it is admitted."""
        if not self.may_purge(volume):
            return None
        if reading is None or self.is_blind(reading):
            return BLIND_HINT_US
        hints = [
            fence.hint_us(reading) for fence in self.fences.values()
            if fence.state(reading) is not FenceState.OPEN
            and any(purge.overlaps(volume, offset, length) for purge in fence.affected_ranges())
        ]  # fmt: skip
        if self._is_shared(volume):
            unswept = any(fence.needs_sweep(volume, offset, length) for fence in self.fences.values())
            hints += [SWEEP_HINT_US] if unswept else []
        return max(hints, default=None)

    def us_until_change(self, reading: Interval) -> int | None:
        """Return in how many microseconds a fence may change by itself; None: no change is known."""
        times = (one.us_until_change(reading) for one in self.fences.values())
        return min((at for at in times if at is not None), default=None)
