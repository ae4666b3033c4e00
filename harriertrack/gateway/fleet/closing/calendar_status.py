"""The operators' status of one calendar at one head."""

from __future__ import annotations

from harriertrack.decisions.fleet.closing.clocks import Interval
from harriertrack.decisions.fleet.closing.fences import Fence, FenceState
from harriertrack.membership.fleet.status_document import CalendarStatus


def calendar_status(fence: Fence, reading: Interval | None, would_purge: int, extents: int) -> CalendarStatus:
    """Return the status; `would_purge`: extents to be purged at the next close; `extents`: at the last."""
    close = fence.next_close
    state = fence.state(reading) if reading is not None else FenceState.CLOSING
    if close is None:
        return CalendarStatus(fence.calendar, fence.last_purged, state.value, "", 0, 0, extents)
    return CalendarStatus(
        fence.calendar, fence.last_purged, state.value, close.name, close.at_us, would_purge, extents
    )
