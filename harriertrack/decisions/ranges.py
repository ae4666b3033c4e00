"""The order of requests of a volume that touch the same bytes: shared and exclusive range locks, first come
first served.

A request waits for every earlier one that overlaps it, if either of the two is exclusive.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class RangeLock:
    """A lock granted or waiting; bytes from `start` to before `end`."""

    start: int
    end: int
    exclusive: bool
    grant: Callable[[], None]
    granted: bool = False

    def conflicts(self, other: RangeLock) -> bool:
        """Whether the two may not be granted at the same time."""
        return (self.exclusive or other.exclusive) and self.start < other.end and other.start < self.end


class RangeLocks:
    """The range locks of one volume."""

    def __init__(self) -> None:
        self._queue: dict[RangeLock, None] = {}

    def __len__(self) -> int:
        return len(self._queue)

    def acquire(self, start: int, end: int, exclusive: bool, grant: Callable[[], None]) -> RangeLock:
        """Queue a lock; `grant` is called at once, or when all conflicting earlier ones are released."""
        lock = RangeLock(start, end, exclusive, grant)
        free = not any(lock.conflicts(earlier) for earlier in self._queue)
        self._queue[lock] = None
        if free:
            lock.granted = True
            grant()
        return lock

    def release(self, lock: RangeLock) -> None:
        """Release a lock, granted or not; a second release does nothing."""
        if self._queue.pop(lock, False) is False:
            return
        passed: list[RangeLock] = []
        freed = []
        for waiting in self._queue:
            if not waiting.granted and waiting.conflicts(lock):
                if not any(waiting.conflicts(earlier) for earlier in passed):
                    freed.append(waiting)
            passed.append(waiting)
        for one in freed:
            if one in self._queue and not one.granted:
                one.granted = True
                one.grant()
