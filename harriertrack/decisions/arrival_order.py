"""The order of requests by their arrival, for requests that are read in another order.

After a pause of the process much has arrived, on many connections, and is read in any order: a connection
that has yet to be accepted is read after one that was open, whichever was written to first. So what has to
keep the order of arrival is held until all that arrived before it has been read as well: until a sweep over
all input that began after it was read. A sweep releases what it found held, and what it read that arrived
earlier, in the order of arrival; what arrived later waits for the next one.

No I/O and no clock: the caller reads the input, and says when each item arrived, by one clock for all.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

Item = TypeVar("Item", bound=Hashable)


class ArrivalOrder(Generic[Item]):
    """The held items and the times at which they arrived, in microseconds."""

    def __init__(self) -> None:
        self._arrived_at: dict[Item, int] = {}
        self._latest = 0  # of the items that were held as the sweep began

    def __len__(self) -> int:
        return len(self._arrived_at)

    def hold(self, item: Item, arrived_at: int) -> None:
        """Hold an item that has just been read."""
        self._arrived_at[item] = arrived_at

    def discard(self, item: Item) -> None:
        """Drop an item, if it is held."""
        self._arrived_at.pop(item, None)

    def begin_sweep(self) -> bool:
        """Begin a sweep; return False if nothing is held that needs one."""
        self._latest = max(self._arrived_at.values(), default=0)
        return bool(self._arrived_at)

    def end_sweep(self, most: int | None = None) -> list[Item]:
        """Release the items that nothing unread can precede, at most `most`, in the order of arrival."""
        due = [item for item, arrived_at in self._arrived_at.items() if arrived_at <= self._latest]
        released = sorted(due, key=self._arrived_at.__getitem__)[:most]
        for item in released:
            del self._arrived_at[item]
        return released
