"""What operators are told of one calendar at one head."""

from __future__ import annotations

from harriertrack.decisions.fleet.closing.clocks import Interval
from harriertrack.decisions.fleet.closing.fences import Fence, FenceState
from harriertrack.membership.fleet.status_document import CalendarStatus


def fence_told(fence: Fence, reading: Interval | None, would: int, extents: int) -> CalendarStatus:
    """Return what is told; `would`: extents that the next close would purge, `extents`: that the last did."""
    close = fence.next_close
    stance = fence.state(reading) if reading is not None else FenceState.CLOSING
    if close is None:
        return CalendarStatus(fence.calendar, fence.last_purged, stance.value, "", 0, 0, extents)
    return CalendarStatus(
        fence.calendar, fence.last_purged, stance.value, close.name, close.at_us, would, extents
    )
