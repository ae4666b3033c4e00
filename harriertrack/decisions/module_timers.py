"""The timers of the decision module, without those that have become obsolete."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import NamedTuple

MIN_PRUNED = 1024  # fewer timers are not looked through for obsolete ones


class ModuleTimer(NamedTuple):
    """A call that is due at a time; the serial number keeps calls of one time in order."""

    at: int
    serial: int
    act: Callable[..., None]
    arguments: tuple


class ModuleTimers:
    """Timers in order of time. `is_obsolete` says by a timer's arguments whether it would do nothing.

    A request's timer is due at its deadline, however early it is answered, and keeps the request: where
    obsolete ones are many they are removed.
    """

    def __init__(self, is_obsolete: Callable[[tuple], bool]) -> None:
        self._is_obsolete = is_obsolete
        self._heap: list[ModuleTimer] = []
        self._serial, self._prune_at = 0, MIN_PRUNED

    def __len__(self) -> int:
        return len(self._heap)

    def add(self, when: int, act: Callable[..., None], arguments: tuple) -> None:
        """Call `act` at a time in microseconds."""
        self._serial += 1
        heapq.heappush(self._heap, ModuleTimer(when, self._serial, act, arguments))
        if len(self._heap) >= self._prune_at:
            self._prune()

    def _prune(self) -> None:
        self._heap = [timer for timer in self._heap if not self._is_obsolete(timer.arguments)]
        heapq.heapify(self._heap)
        self._prune_at = max(MIN_PRUNED, 2 * len(self._heap))

    def next_at(self) -> int | None:
        """Return the time of the next timer."""
        return self._heap[0].at if self._heap else None

    def take_due(self, now: int) -> ModuleTimer | None:
        """Remove and return the next timer, if it is due."""
        return heapq.heappop(self._heap) if self._heap and self._heap[0].at <= now else None
