"""Whether this process stood still, and what waits until the node list has been asked for again.

A process that is stopped, or whose machine pauses, hears nothing meanwhile: a node may have drained, and that
may count already. On waking its sockets and timers come in no particular order, or it goes on in the middle
of a decision. So it looks at the clock at fixed times and before each sending; where a look comes too late,
what it would send waits until a call for the list that began after that look has ended. No I/O, no clock.
"""

from __future__ import annotations

from typing import Generic, TypeVar

CHECK_PERIOD_US = 50_000  # how often a head that has nothing to do looks
# A head may be held up for 0.15 s, and each time limit has room for that. A longer gap is a standstill unless
# it is within the half of a drain's grace that is kept free: a drain of its first moment is acted on in time.
STANDSTILL_US = 150_000 + CHECK_PERIOD_US
# A call that is not answered by then is late for discovery itself: the list in hand is all there is.
MAX_HOLD_US = 1_200_000

Held = TypeVar("Held")


class Standstill(Generic[Held]):
    """The looks at the clock, and what is held."""

    def __init__(self) -> None:
        self._looked_at: int | None = None  # None: nobody looks regularly
        self._asked_at: int | None = None  # since when an answer is awaited
        # The last look before a standstill, until an answer has told what came since.
        self.paused_since: int | None = None
        self._awaited_from = 0  # when the last standstill was found
        self._held: dict[Held, None] = {}

    def begin(self, now: int) -> None:
        """Look regularly from now on."""
        self._looked_at = now

    def check(self, now: int, grace_us: int) -> bool:
        """Take note that the process runs; return whether it stood still: then the list must be asked for.

        `grace_us`: how long after the news of a drain its node may still be sent to.
        """
        if self._looked_at is None:
            return False
        gap_us = now - self._looked_at
        self._looked_at = max(now, self._looked_at)
        if gap_us <= max(STANDSTILL_US, grace_us // 2):
            return False
        if self.paused_since is None:
            self.paused_since = now - gap_us
        self._asked_at = self._awaited_from = now
        return True

    def record_call(self, began: int, answered: bool) -> None:
        """A call for the list that began then was answered, or failed at its source."""
        if began < self._awaited_from:
            return
        self._asked_at = None
        if answered:
            self.paused_since = None

    def held_until(self) -> int | None:
        """Return when the list is waited for no longer; None if it is not waited for."""
        return None if self._asked_at is None else self._asked_at + MAX_HOLD_US

    def holds(self, now: int) -> bool:
        """Return whether what would be sent has to wait."""
        until = self.held_until()
        return until is not None and now < until

    def hold(self, one: Held) -> None:
        """Let one wait."""
        self._held[one] = None

    def is_held(self, one: Held) -> bool:
        """Return whether one waits."""
        return one in self._held

    def drop(self, one: Held) -> bool:
        """Forget one that is not to be sent any more; return whether it was held."""
        if one not in self._held:
            return False
        del self._held[one]
        return True

    def release(self, now: int) -> list[Held]:
        """Return what waited and may be sent now, in order, as far as the list in hand allows that."""
        if self.holds(now):
            return []
        self._asked_at = None
        held = list(self._held)
        self._held.clear()
        return held
