"""One callback that is scheduled for several reasons: at the end of the current round, or at a time."""

from __future__ import annotations

from collections.abc import Callable

from harriertrack.runtime.hub import Hub, Timer


class Alarm:
    """Calls `act`; several requests for the same moment lead to one call.

    With `at_round_end`, a call that is due at a time is made at the end of that time's round. Timers run
    before the tasks whose bytes arrived in the same round: after a standstill, a process thus handles all
    input before it acts.
    """

    def __init__(self, hub: Hub, act: Callable[[], None], at_round_end: bool = False) -> None:
        self._hub, self._act = hub, act
        self._when_due = self.soon if at_round_end else act
        self._timer: Timer | None = None

    def soon(self) -> None:
        """Schedule the call for the end of this round."""
        self._hub.at_end_of_round(self._act)

    def wake_at(self, when: int) -> None:
        """Schedule the call for a time or earlier; the callback schedules again for later events."""
        if self._timer is not None and self._timer.act is not None:
            if self._timer.at <= when:
                return  # the earlier call finds nothing due and schedules again
            self._timer.cancel()
        self._timer = self._hub.at(when, self._when_due)

    def cancel(self) -> None:
        """Cancel the scheduled time."""
        if self._timer is not None:
            self._timer.cancel()
