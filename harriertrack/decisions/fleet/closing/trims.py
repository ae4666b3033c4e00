"""What is to be trimmed after closes: background work, paced, the extents that somebody waits for first.

The fence makes old bytes unreadable at once; trims give their room back and let their extents be written
again. So they need no hurry but where a client waits. Each head trims what it placed itself, at its part of
the fleet's pace, beginning at a moment of its own; one that fails is tried again ever more slowly, for the
shelf may be down.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

FIRST_PAUSE_US = 200_000
MOST_PAUSE_US = 10_000_000
WANTED_US = 1_000_000  # a client that waits shortens a pause to this


@dataclass(frozen=True, slots=True, order=True)
class Left:
    """Bytes of an extent that a close left at a shard."""

    volume: str
    extent: int
    shard: int


@dataclass(frozen=True, slots=True)
class TrimRules:
    """The figures of trimming."""

    rate: float = 200.0  # trims a second that all heads together begin
    burst: float = 8.0  # of one head at once
    in_flight: int = 4
    spread_us: int = 500_000  # over which heads begin


@dataclass(slots=True)
class Progress:
    """How far a head has come."""

    asked: int = 0
    done: int = 0
    failed: int = 0  # tries that brought nothing

    @property
    def open(self) -> int:
        """How many are left."""
        return self.asked - self.done


class Trims:
    """One head's."""

    def __init__(self, rules: TrimRules, now: int) -> None:
        self.rules = rules
        self.progress = Progress()
        self._line: list[tuple[int, int, Left]] = []  # when each may begin; outdated ones are passed over
        self._due: dict[Left, int] = {}
        self._pause: dict[Left, int] = {}
        self._least: dict[Left, int] = {}
        self._out: set[Left] = set()
        self._again: set[Left] = set()
        self._serial = 0
        self._tokens, self._filled_at = rules.burst, now

    def __len__(self) -> int:
        return len(self._due) + len(self._out)

    def add(self, now: int, lefts: Iterable[Left], place: float, least: Mapping[Left, int]) -> None:
        """Take on more; `place` (0 to 1) is this head's among those that begin now.

        `least`: when some may begin at the earliest, for what may still run there.
        """
        begin = now + int(place * self.rules.spread_us)
        for left in lefts:
            if left in self._out:
                self._again.add(left)  # what is out was sent for an earlier close
            elif left not in self._due:
                self.progress.asked += 1
                self._least[left] = least.get(left, 0)
                self._stand(left, max(begin, self._least[left]))

    def _stand(self, left: Left, when: int) -> None:
        self._due[left] = when
        self._serial += 1
        heapq.heappush(self._line, (when, self._serial, left))

    def wanted(self, now: int, volume: str, extent: int) -> None:
        """A client waits for an extent: what is left of it comes first."""
        for left in [one for one in self._due if (one.volume, one.extent) == (volume, extent)]:
            pause = self._pause.get(left, 0)
            soon = max(now + min(pause, WANTED_US), self._least.get(left, 0))
            self._stand(left, min(self._due[left], soon))

    def next(self, now: int, heads: int) -> Left | None:
        """Return what is to be trimmed now, within this head's part of the pace; None: nothing yet."""
        rate = self.rules.rate / max(1, heads)
        self._tokens = min(self.rules.burst, self._tokens + rate * (now - self._filled_at) / 1e6)
        self._filled_at = now
        if self._tokens < 1 or len(self._out) >= self.rules.in_flight:
            return None
        while self._line and self._line[0][0] <= now:
            when, _, left = heapq.heappop(self._line)
            if self._due.get(left) == when:
                del self._due[left]
                self._out.add(left)
                self._tokens -= 1
                return left
        return None

    def drop(self, lefts: Iterable[Left]) -> None:
        """These need not be trimmed any more; what is out ends as it ends."""
        for left in lefts:
            if self._due.pop(left, None) is not None:
                self.progress.asked -= 1
                self._pause.pop(left, None)

    def failed_before(self, left: Left) -> bool:
        """Whether an earlier try may yet run at its shard."""
        return left in self._pause

    def ended(self, now: int, left: Left, done: bool) -> None:
        """Hear how one ended."""
        self._out.discard(left)
        if done and left in self._again:
            self._again.discard(left)
            self._stand(left, now)
        elif done:
            self.progress.done += 1
            self._pause.pop(left, None)
            self._least.pop(left, None)
        else:
            self._again.discard(left)
            self.progress.failed += 1
            pause = self._pause[left] = min(2 * self._pause.get(left, FIRST_PAUSE_US // 2), MOST_PAUSE_US)
            self._stand(left, now + pause)
