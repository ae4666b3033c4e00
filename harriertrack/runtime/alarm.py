"""One callback that several reasons ask for: at the end of this round, or at a time."""

from __future__ import annotations

from collections.abc import Callable

from harriertrack.runtime.hub import Hub, Timer


class Alarm:
    """Calls `act`; what is asked for twice is done once."""

    def __init__(self, hub: Hub, act: Callable[[], None]) -> None:
        self._hub, self._act = hub, act
        self._timer: Timer | None = None

    def soon(self) -> None:
        """Call at the end of this round."""
        self._hub.at_end_of_round(self._act)

    def wake_at(self, when: int) -> None:
        """Call at the end of a time's round, or before; whoever is called asks again for what is to come.

        Timers run before the tasks whose bytes came in the same round: a process that stood still is told all
        of it, then acts.
        """
        if self._timer is not None and self._timer.act is not None:
            if self._timer.at <= when:
                return  # it will come, find nothing due, and ask again
            self._timer.cancel()
        self._timer = self._hub.at(when, self.soon)

    def cancel(self) -> None:
        """Forget the time that was asked for."""
        if self._timer is not None:
            self._timer.cancel()
