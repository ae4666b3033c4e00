"""Sources of lists that have more callers than they serve at once."""

from __future__ import annotations

from dataclasses import dataclass

from harriertrack.runtime.hub import Hub


@dataclass(slots=True)
class CallQueue:
    """How a source with many callers serves them: one after another, in the order in which they came.

    A call that is given up meanwhile is served all the same: who answers notices that only as it writes.
    """

    hub: Hub
    service_us: int = 0  # the time that one call takes ...
    watch_cost_share: float = 1.0  # ... and the part of it where it goes on with a watch
    other_callers_us: int = 0  # the work of other callers ahead of each call
    max_wait_us: int | None = None  # a call whose turn comes later ends in 503 then
    _free_at: int = 0

    def wait(self, continues_watch: bool) -> bool:
        """Wait until a call has been served; return whether it was. `goes_on`: it continues a watch."""
        service_us = int(self.service_us * self.watch_cost_share) if continues_watch else self.service_us
        now = self.hub.now()
        begins = max(now, self._free_at) + self.other_callers_us
        if self.max_wait_us is not None and begins - now > self.max_wait_us:
            self.hub.sleep(self.max_wait_us)
            return False
        self._free_at = max(now, self._free_at) + service_us
        self.hub.sleep_until(begins + service_us)
        return True
