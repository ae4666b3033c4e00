"""The trims to do after closes: background work at a limited rate; extents that clients wait for come first.

The fence makes old bytes unreadable at once; trims free their space and allow their extents to be written
again. So they are urgent only where a client waits. Each head trims what it placed itself, at its share of
the fleet's rate, starting at a time of its own. After a failed trim a shard is left alone for a pause, which
doubles with each failure, and is then tried with one trim at a time: its node may be down, and trims at
other shards continue.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

FIRST_PAUSE_US = 200_000
MAX_PAUSE_US = 5_000_000


@dataclass(frozen=True, slots=True, order=True)
class TrimTarget:
    """Old bytes of an extent at a shard, left by a close."""

    volume: str
    extent: int
    shard: int


@dataclass(frozen=True, slots=True)
class TrimRules:
    """The parameters of trimming."""

    rate: float = 200.0  # trims that all heads together begin per second
    burst: float = 8.0  # that one head may begin at once
    in_flight: int = 4
    spread_us: int = 500_000  # over which the heads spread their starts


@dataclass(slots=True)
class Progress:
    """The progress of one head."""

    requested: int = 0
    done: int = 0
    failed: int = 0  # attempts

    @property
    def remaining(self) -> int:
        """Return how many are left."""
        return self.requested - self.done


@dataclass(slots=True)
class _Shard:
    """The queue of one shard, and its pause after a failed attempt."""

    queue: list[tuple[int, int, TrimTarget]] = field(default_factory=list)  # outdated entries are skipped
    paused_until: int = 0
    pause_us: int = 0  # above 0: one attempt at a time
    in_flight: int = 0


class TrimQueue:
    """The trims of one head."""

    def __init__(self, rules: TrimRules, now: int) -> None:
        self.rules = rules
        self.progress = Progress()
        self._shards: dict[int, _Shard] = {}
        self._start_at: dict[TrimTarget, int] = {}  # of queued targets
        self._earliest: dict[TrimTarget, int] = {}
        self._failed: set[TrimTarget] = set()
        self._in_flight: set[TrimTarget] = set()
        self._repeat: set[TrimTarget] = set()
        self._dropped: set[TrimTarget] = set()
        self._serial = 0
        self._tokens, self._filled_at = rules.burst, now

    def __len__(self) -> int:
        return len(self._start_at) + len(self._in_flight)

    def add(
        self, now: int, targets: Iterable[TrimTarget], place: float, earliest: Mapping[TrimTarget, int]
    ) -> None:
        """Add targets; `place` (0 to 1) is this head's position among the heads that begin now.

        `earliest`: when some may begin at the earliest, because an earlier write may still run at the node.
        """
        begin = now + int(place * self.rules.spread_us)
        for target in targets:
            if target in self._in_flight:
                self._repeat.add(target)  # the one in flight was sent for an earlier close
            elif target not in self._start_at:
                self.progress.requested += 1
                self._earliest[target] = earliest.get(target, 0)
                self._enqueue(target, max(begin, self._earliest[target]))

    def _enqueue(self, target: TrimTarget, when: int) -> None:
        self._start_at[target] = when
        self._serial += 1
        queue = self._shards.setdefault(target.shard, _Shard()).queue
        heapq.heappush(queue, (when, self._serial, target))

    def prioritize(self, now: int, volume: str, extent: int) -> None:
        """Move the targets of an extent that a client waits for to the front."""
        for target in [one for one in self._start_at if (one.volume, one.extent) == (volume, extent)]:
            soon = max(now, self._earliest.get(target, 0))
            if soon < self._start_at[target]:
                self._enqueue(target, soon)

    def take_next(self, now: int, heads: int) -> TrimTarget | None:
        """Return the target to trim now, within this head's share of the rate; None: none yet."""
        rate = self.rules.rate / max(1, heads)
        self._tokens = min(self.rules.burst, self._tokens + rate * (now - self._filled_at) / 1e6)
        self._filled_at = now
        if self._tokens < 1 or len(self._in_flight) >= self.rules.in_flight:
            return None
        ready = [shard for shard in self._shards.values() if self._ready(now, shard)]
        if not ready:
            return None
        shard = min(ready, key=lambda one: one.queue[0][:2])
        _, _, target = heapq.heappop(shard.queue)
        del self._start_at[target]
        self._in_flight.add(target)
        shard.in_flight += 1
        self._tokens -= 1
        return target

    def _ready(self, now: int, shard: _Shard) -> bool:
        while shard.queue and self._start_at.get(shard.queue[0][2]) != shard.queue[0][0]:
            heapq.heappop(shard.queue)
        if not shard.queue or shard.queue[0][0] > now or now < shard.paused_until:
            return False
        return not (shard.pause_us and shard.in_flight)

    def drop(self, targets: Iterable[TrimTarget]) -> None:
        """Drop targets that need no trim any more; those in flight are not tried again."""
        for target in targets:
            if self._start_at.pop(target, None) is not None:
                self.progress.requested -= 1
                self._failed.discard(target)
            elif target in self._in_flight:
                self._dropped.add(target)
                self._repeat.discard(target)

    def failed_before(self, target: TrimTarget) -> bool:
        """Whether an earlier attempt may still run at the shard."""
        return target in self._failed

    def finish(self, now: int, target: TrimTarget, done: bool) -> None:
        """Handle the completion of a trim."""
        shard = self._shards[target.shard]
        self._in_flight.discard(target)
        shard.in_flight -= 1
        again = target in self._repeat
        self._repeat.discard(target)
        if target in self._dropped:
            self._dropped.discard(target)
            self._failed.discard(target)
            if again:
                self._enqueue(target, now)
            else:
                self.progress.requested -= 1
            return
        if done:
            shard.pause_us = shard.paused_until = 0
        else:
            self.progress.failed += 1
            self._failed.add(target)
            shard.pause_us = min(max(FIRST_PAUSE_US, 2 * shard.pause_us), MAX_PAUSE_US)
            shard.paused_until = now + shard.pause_us
        if not done or again:
            self._enqueue(target, now)
            return
        self.progress.done += 1
        self._failed.discard(target)
        self._earliest.pop(target, None)
