"""What is to be trimmed after closes: background work, paced, the extents that somebody waits for first.

The fence makes old bytes unreadable at once; trims give their room back and let their extents be written
again. So they need no hurry but where a client waits. Each head trims what it placed itself, at its part of
the fleet's pace, beginning at a moment of its own. A shard where one fails is left alone for a while, ever
longer, and then tried with one at a time: its shelf may be down, and others' trims go on.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

FIRST_PAUSE_US = 200_000
MOST_PAUSE_US = 5_000_000


@dataclass(frozen=True, slots=True, order=True)
class TrimTarget:
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

    requested: int = 0
    done: int = 0
    failed: int = 0  # tries that brought nothing

    @property
    def remaining(self) -> int:
        """How many are left."""
        return self.requested - self.done


@dataclass(slots=True)
class _Shard:
    """What is due at one shard, and how long it is left alone after a try that brought nothing."""

    line: list[tuple[int, int, TrimTarget]] = field(default_factory=list)  # outdated ones are passed over
    rests_until: int = 0
    pause_us: int = 0  # above 0: one try at a time
    out: int = 0


class TrimQueue:
    """One head's."""

    def __init__(self, rules: TrimRules, now: int) -> None:
        self.rules = rules
        self.progress = Progress()
        self._shards: dict[int, _Shard] = {}
        self._due: dict[TrimTarget, int] = {}  # when each may begin
        self._least: dict[TrimTarget, int] = {}
        self._tried: set[TrimTarget] = set()
        self._out: set[TrimTarget] = set()
        self._again: set[TrimTarget] = set()
        self._dropped: set[TrimTarget] = set()
        self._serial = 0
        self._tokens, self._filled_at = rules.burst, now

    def __len__(self) -> int:
        return len(self._due) + len(self._out)

    def add(
        self, now: int, lefts: Iterable[TrimTarget], place: float, least: Mapping[TrimTarget, int]
    ) -> None:
        """Take on more; `place` (0 to 1) is this head's among those that begin now.

        `least`: when some may begin at the earliest, for what may still run there.
        """
        begin = now + int(place * self.rules.spread_us)
        for left in lefts:
            if left in self._out:
                self._again.add(left)  # what is out was sent for an earlier close
            elif left not in self._due:
                self.progress.requested += 1
                self._least[left] = least.get(left, 0)
                self._stand(left, max(begin, self._least[left]))

    def _stand(self, left: TrimTarget, when: int) -> None:
        self._due[left] = when
        self._serial += 1
        line = self._shards.setdefault(left.shard, _Shard()).line
        heapq.heappush(line, (when, self._serial, left))

    def prioritize(self, now: int, volume: str, extent: int) -> None:
        """A client waits for an extent: what is left of it comes first."""
        for left in [one for one in self._due if (one.volume, one.extent) == (volume, extent)]:
            soon = max(now, self._least.get(left, 0))
            if soon < self._due[left]:
                self._stand(left, soon)

    def take_next(self, now: int, heads: int) -> TrimTarget | None:
        """Return what is to be trimmed now, within this head's part of the pace; None: nothing yet."""
        rate = self.rules.rate / max(1, heads)
        self._tokens = min(self.rules.burst, self._tokens + rate * (now - self._filled_at) / 1e6)
        self._filled_at = now
        if self._tokens < 1 or len(self._out) >= self.rules.in_flight:
            return None
        ready = [shard for shard in self._shards.values() if self._ready(now, shard)]
        if not ready:
            return None
        shard = min(ready, key=lambda one: one.line[0][:2])
        _, _, left = heapq.heappop(shard.line)
        del self._due[left]
        self._out.add(left)
        shard.out += 1
        self._tokens -= 1
        return left

    def _ready(self, now: int, shard: _Shard) -> bool:
        while shard.line and self._due.get(shard.line[0][2]) != shard.line[0][0]:
            heapq.heappop(shard.line)
        if not shard.line or shard.line[0][0] > now or now < shard.rests_until:
            return False
        return not (shard.pause_us and shard.out)

    def drop(self, lefts: Iterable[TrimTarget]) -> None:
        """These are not to be trimmed any more; what is out is called off, and not tried again."""
        for left in lefts:
            if self._due.pop(left, None) is not None:
                self.progress.requested -= 1
                self._tried.discard(left)
            elif left in self._out:
                self._dropped.add(left)
                self._again.discard(left)

    def failed_before(self, left: TrimTarget) -> bool:
        """Whether an earlier try may yet run at its shard."""
        return left in self._tried

    def finish(self, now: int, left: TrimTarget, done: bool) -> None:
        """Hear how one ended."""
        shard = self._shards[left.shard]
        self._out.discard(left)
        shard.out -= 1
        again = left in self._again
        self._again.discard(left)
        if left in self._dropped:
            self._dropped.discard(left)
            self._tried.discard(left)
            if again:
                self._stand(left, now)
            else:
                self.progress.requested -= 1
            return
        if done:
            shard.pause_us = shard.rests_until = 0
        else:
            self.progress.failed += 1
            self._tried.add(left)
            shard.pause_us = min(max(FIRST_PAUSE_US, 2 * shard.pause_us), MOST_PAUSE_US)
            shard.rests_until = now + shard.pause_us
        if not done or again:
            self._stand(left, now)
            return
        self.progress.done += 1
        self._tried.discard(left)
        self._least.pop(left, None)
