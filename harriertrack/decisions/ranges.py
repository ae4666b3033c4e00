"""Who goes first where requests of a volume touch the same bytes: shared and exclusive ranges, first come
first served.

A request waits for every earlier one that overlaps it, if either of the two is exclusive.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class RangeLock:
    """A place in the line; bytes from `start` to before `end`."""

    start: int
    end: int
    exclusive: bool
    grant: Callable[[], None]
    granted: bool = False

    def conflicts(self, other: RangeLock) -> bool:
        """Whether the two may not go together."""
        return (self.exclusive or other.exclusive) and self.start < other.end and other.start < self.end


class RangeLocks:
    """The ranges of one volume."""

    def __init__(self) -> None:
        self._line: dict[RangeLock, None] = {}

    def __len__(self) -> int:
        return len(self._line)

    def acquire(self, start: int, end: int, exclusive: bool, grant: Callable[[], None]) -> RangeLock:
        """Stand in line; `grant` is called at once, or when all that goes before is released."""
        ticket = RangeLock(start, end, exclusive, grant)
        free = not any(ticket.conflicts(earlier) for earlier in self._line)
        self._line[ticket] = None
        if free:
            ticket.granted = True
            grant()
        return ticket

    def release(self, ticket: RangeLock) -> None:
        """Leave the line, granted or not; releasing twice is releasing once."""
        if self._line.pop(ticket, False) is False:
            return
        passed: list[RangeLock] = []
        freed = []
        for waiting in self._line:
            if not waiting.granted and waiting.conflicts(ticket):
                if not any(waiting.conflicts(earlier) for earlier in passed):
                    freed.append(waiting)
            passed.append(waiting)
        for one in freed:
            if one in self._line and not one.granted:
                one.granted = True
                one.grant()
