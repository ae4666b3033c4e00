"""What operators are told of one calendar at one head."""

from __future__ import annotations

from harriertrack.decisions.fleet.closing.clocks import Interval
from harriertrack.decisions.fleet.closing.fences import Fence, Stance
from harriertrack.membership.fleet.telling import FenceTold


def fence_told(fence: Fence, reading: Interval | None, would: int, extents: int) -> FenceTold:
    """Return what is told; `would`: extents that the next close would purge, `extents`: that the last did."""
    close = fence.next_close
    stance = fence.stance(reading) if reading is not None else Stance.CLOSING
    if close is None:
        return FenceTold(fence.calendar, fence.done, stance.value, "", 0, 0, extents)
    return FenceTold(fence.calendar, fence.done, stance.value, close.name, close.at_us, would, extents)
