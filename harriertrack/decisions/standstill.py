"""Detection of process standstills, and what is held back until the node list has been requested again.

A process that is stopped, or whose machine pauses, receives nothing meanwhile: a node may have begun to
drain, and that may already count as announced. When it resumes, its sockets and timers fire in no particular
order, or it continues in the middle of a decision. So it checks the clock at fixed intervals and before each
send; if a check comes too late, sends are held back until a call for the list that began after that check has
ended. The start of a process is the end of a standstill of unknown length: an earlier process of this head
may have been told of what the first answer brings. No I/O, no clock.
"""

from __future__ import annotations

from typing import Generic, TypeVar

from harriertrack.decisions.process_pause import MAX_PAUSE_US

CHECK_PERIOD_US = 50_000  # how often an idle head checks the clock
# Each time limit allows for a pause of the process. A longer gap is a standstill, unless it is within the
# half of the drain grace that is kept free: then a drain at its start is still handled in time.
STANDSTILL_US = MAX_PAUSE_US + CHECK_PERIOD_US
# If a call is not answered by then, discovery itself is too late: the list in hand is all there is.
MAX_HOLD_US = 1_200_000
# The same at a start, so short that a request that arrives then is still served in time if discovery is down.
MAX_START_HOLD_US = 250_000
# When a change in the first answer to a process began to count: at an unknown time before it started.
BEFORE_START_US = -(1 << 62)

Held = TypeVar("Held")


class Standstill(Generic[Held]):
    """The clock checks, and the items that are held back."""

    def __init__(self) -> None:
        self._checked_at: int | None = None  # None: regular checks have not begun
        self._held_until: int | None = None  # how long an answer is awaited at most; None: none is awaited
        # The last check before a standstill, until an answer has shown what changed since.
        self.paused_since: int | None = None
        self._detected_at = 0  # when the last standstill was detected
        self._held: dict[Held, None] = {}
        self._answered = False  # whether the source has answered a call of this process

    def begin(self, now: int) -> None:
        """Start regular checks, and wait for the first answer unless it was received before."""
        self._checked_at = now
        if not self._answered:
            self._held_until, self.paused_since = now + MAX_START_HOLD_US, BEFORE_START_US

    def check(self, now: int, grace_us: int) -> bool:
        """Record that the process runs; return whether it stood still, so that the list must be requested.

        `grace_us`: how long after a drain was announced its node may still receive requests.
        """
        if self._checked_at is None:
            return False
        gap_us = now - self._checked_at
        self._checked_at = max(now, self._checked_at)
        if gap_us <= max(STANDSTILL_US, grace_us // 2):
            return False
        if self.paused_since is None:
            self.paused_since = now - gap_us
        self._detected_at, self._held_until = now, now + MAX_HOLD_US
        return True

    def record_call(self, started_at: int, answered: bool) -> None:
        """Record that a call for the list was answered, or failed at its source."""
        if started_at < self._detected_at:
            return
        self._held_until = None
        if answered:
            self.paused_since, self._answered = None, True

    def held_until(self) -> int | None:
        """Return when waiting for the list ends at the latest; None if nothing waits for it."""
        return self._held_until

    def holds(self, now: int) -> bool:
        """Return whether sends have to wait."""
        return self._held_until is not None and now < self._held_until

    def hold(self, item: Held) -> None:
        """Hold an item back."""
        self._held[item] = None

    def is_held(self, item: Held) -> bool:
        """Return whether an item is held back."""
        return item in self._held

    def drop(self, item: Held) -> bool:
        """Drop an item that is no longer to be sent; return whether it was held."""
        if item not in self._held:
            return False
        del self._held[item]
        return True

    def release(self, now: int) -> list[Held]:
        """Return the items that may be sent now, in order, as far as the list in hand allows it."""
        if self.holds(now):
            return []
        self._held_until = None
        held = list(self._held)
        self._held.clear()
        return held
