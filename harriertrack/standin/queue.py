"""The request queue of a list source that has many callers."""

from __future__ import annotations

from dataclasses import dataclass

from harriertrack.runtime.hub import Hub


@dataclass(slots=True)
class CallQueue:
    """Serves the calls to a list source one after another, in order of arrival.

    A call that its caller abandons while it waits is still served: the server notices only when it writes.
    """

    hub: Hub
    service_us: int = 0  # time to serve one call
    watch_cost_share: float = 1.0  # share of `service_us` for a call that continues a watch
    other_callers_us: int = 0  # work for other callers before each call
    max_wait_us: int | None = None  # a call that would wait longer is refused (503) after this time
    _free_at_us: int = 0

    def wait(self, continues_watch: bool) -> bool:
        """Wait for a call's turn and service time; return False if it is to be refused."""
        service_us = int(self.service_us * self.watch_cost_share) if continues_watch else self.service_us
        now = self.hub.now()
        starts_at_us = max(now, self._free_at_us) + self.other_callers_us
        if self.max_wait_us is not None and starts_at_us - now > self.max_wait_us:
            self.hub.sleep(self.max_wait_us)
            return False
        self._free_at_us = max(now, self._free_at_us) + service_us
        self.hub.sleep_until(starts_at_us + service_us)
        return True
