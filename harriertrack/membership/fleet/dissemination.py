"""The dissemination queue: each update is sent a bounded number of times, the least sent first.

Source: SWIM (DSN 2002), section 4.1: an update that each member sends a multiple of the logarithm of the
number of members reaches all with high probability.
"""

from __future__ import annotations

import math
from collections.abc import Callable


def transmit_limit(repeats: float, members: int) -> int:
    """Return how often a member sends each update in a fleet of `members`."""
    return max(1, math.ceil(repeats * math.ceil(math.log10(members + 1))))


class DisseminationQueue:
    """Updates by name; a newer one replaces an older one of the same name."""

    def __init__(self) -> None:
        self._updates: dict[str, bytes] = {}
        self._by_sends: list[dict[str, None]] = [{}]  # at index n: names of updates that were sent n times
        self._sends: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._updates)

    def __contains__(self, name: str) -> bool:
        return name in self._updates

    def add(self, name: str, update: bytes) -> None:
        """Queue an update."""
        self.drop(name)
        self._updates[name] = update
        self._sends[name] = 0
        self._by_sends[0][name] = None

    def drop(self, name: str) -> None:
        """Remove an update from the queue."""
        if name in self._updates:
            del self._updates[name]
            del self._by_sends[self._sends.pop(name)][name]

    def clear(self) -> None:
        """Remove all updates."""
        self._updates.clear()
        self._sends.clear()
        self._by_sends = [{}]

    def fill(self, add: Callable[[bytes], bool], most_sends: int, skip: str = "") -> None:
        """Pass updates to `add` while it accepts them; remove those that reached `most_sends`."""
        chosen: list[str] = []
        for names in self._by_sends:
            for name in names:
                if name == skip:
                    continue
                if not add(self._updates[name]):
                    break
                chosen.append(name)
            else:
                continue
            break
        for name in chosen:
            sends = self._sends[name]
            del self._by_sends[sends][name]
            if sends + 1 >= most_sends:
                del self._updates[name], self._sends[name]
                continue
            if sends + 1 == len(self._by_sends):
                self._by_sends.append({})
            self._by_sends[sends + 1][name] = None
            self._sends[name] = sends + 1
