"""One callback that several reasons ask for: at the end of this round, or at a time."""

from __future__ import annotations

from collections.abc import Callable

from harriertrack.runtime.hub import Hub, Timer


class Alarm:
    """Calls `act`; what is asked for twice is done once.

    `at_round_end`: what is asked for at a time waits until the end of that time's round. Timers run before
    the tasks whose bytes came in the same round: a process that stood still is told all of it, then acts.
    """

    def __init__(self, hub: Hub, act: Callable[[], None], at_round_end: bool = False) -> None:
        self._hub, self._act = hub, act
        self._when_due = self.soon if at_round_end else act
        self._timer: Timer | None = None

    def soon(self) -> None:
        """Call at the end of this round."""
        self._hub.at_end_of_round(self._act)

    def wake_at(self, when: int) -> None:
        """Call at a time or before; whoever is called asks again for what is still to come."""
        if self._timer is not None and self._timer.act is not None:
            if self._timer.at <= when:
                return  # it will come, find nothing due, and ask again
            self._timer.cancel()
        self._timer = self._hub.at(when, self._when_due)

    def cancel(self) -> None:
        """Forget the time that was asked for."""
        if self._timer is not None:
            self._timer.cancel()
