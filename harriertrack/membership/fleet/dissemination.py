"""What is passed on: each piece of news a bounded number of times, what was passed on least first.

Source: SWIM (DSN 2002), section 4.1: a piece that each member passes on some multiple of the logarithm of
their number reaches all with high probability.
"""

from __future__ import annotations

import math
from collections.abc import Callable


def transmit_limit(repeats: float, members: int) -> int:
    """Return how often a member passes a piece of news on among so many."""
    return max(1, math.ceil(repeats * math.ceil(math.log10(members + 1))))


class DisseminationQueue:
    """News by name; a newer piece takes the place of an older one of the same name."""

    def __init__(self) -> None:
        self._pieces: dict[str, bytes] = {}
        self._by_sends: list[dict[str, None]] = [{}]  # at n: the names that were passed on n times
        self._sends: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._pieces)

    def __contains__(self, name: str) -> bool:
        return name in self._pieces

    def add(self, name: str, piece: bytes) -> None:
        """Take a piece of news."""
        self.drop(name)
        self._pieces[name] = piece
        self._sends[name] = 0
        self._by_sends[0][name] = None

    def drop(self, name: str) -> None:
        """Pass it on no more."""
        if name in self._pieces:
            del self._pieces[name]
            del self._by_sends[self._sends.pop(name)][name]

    def clear(self) -> None:
        """Pass nothing on any more."""
        self._pieces.clear()
        self._sends.clear()
        self._by_sends = [{}]

    def fill(self, add: Callable[[bytes], bool], most_sends: int, skip: str = "") -> None:
        """Hand pieces to `add` while it has room; forget those that were passed on often enough."""
        chosen: list[str] = []
        for names in self._by_sends:
            for name in names:
                if name == skip:
                    continue
                if not add(self._pieces[name]):
                    break
                chosen.append(name)
            else:
                continue
            break
        for name in chosen:
            sends = self._sends[name]
            del self._by_sends[sends][name]
            if sends + 1 >= most_sends:
                del self._pieces[name], self._sends[name]
                continue
            if sends + 1 == len(self._by_sends):
                self._by_sends.append({})
            self._by_sends[sends + 1][name] = None
            self._sends[name] = sends + 1
