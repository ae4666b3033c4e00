"""Waiting on the hint: what was refused harmlessly waits in the head for clients that can't act on a hint.

The module refuses on arrival and says when to come again. A client that hears hints comes again by itself;
for one that doesn't, the head keeps the request and offers it to the module again. What waits stands in
lanes, one for each volume, shard and class: a hung node keeps nobody waiting for another node, nor a write,
which may not try whether a silent node is back, a read, which may. In a lane only the oldest is offered, and
the next one once that was taken, so a lane costs the module one refusal for each hint, however many wait.
Volumes take turns at the head's offers, whose number a second is bounded; within a volume the oldest of those
whose lane is due goes first.

Hints may be wrong. One that is too short is doubled for each refusal in a row; one that is too long is cut at
`most_us`, for a lane must not sleep while its node idles.

Pure: the time is handed in, in microseconds.
"""

from __future__ import annotations

import heapq
from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Generic, TypeVar

from harriertrack.decisions.bucket import Bucket

BURST_US = 20_000  # offers of so much time may come at once: all that is due after a standstill comes evenly
BURST_LEAST = 8.0
DOUBLINGS = 10  # more would change nothing: `most_us` cuts before


class WaitMode(StrEnum):
    """What becomes of a harmless refusal on a volume."""

    BY_CLIENT = "by-client"  # clients that hear hints are refused, the others wait
    WAIT = "wait"
    REFUSE = "refuse"


def waits_in_head(mode: WaitMode, hears_hints: bool) -> bool:
    """Return whether a client's requests wait in the head instead of being refused."""
    return mode is WaitMode.WAIT or (mode is WaitMode.BY_CLIENT and not hears_hints)


@dataclass(frozen=True, slots=True)
class RetryRules:
    """The bounds of waiting in one head."""

    offers: float = 2_000.0  # the most a second
    least_us: int = 2_000  # a lane rests at least so long after a refusal, whatever its hint
    most_us: int = 500_000  # and at most so long


T = TypeVar("T", bound=Hashable)
LaneKey = tuple[str, int, str]  # a volume, a shard (below 0: none yet), and a class


@dataclass(slots=True, eq=False)
class _Lane(Generic[T]):
    """What waits for one place, oldest first; a heap whose dropped entries are skipped."""

    place: LaneKey
    line: list[tuple[int, T]] = field(default_factory=list)
    living: int = 0
    due: int = 0
    refusals: int = 0  # in a row
    asked: bool = False  # its oldest was offered, and the answer is not known
    asked_at: int = 0


class RetryQueue(Generic[T]):
    """What waits in one head. Items are the caller's; a ticket tells the order in which they came."""

    def __init__(self, rules: RetryRules, verdict_us: int = 0) -> None:
        """Begin with nothing; what is not kept again for `verdict_us` after its offer counts as taken."""
        self.rules, self._verdict_us = rules, verdict_us
        self.offered = 0  # offers so far
        self._allowed: Bucket | None = None
        self._lanes: dict[LaneKey, _Lane[T]] = {}
        self._ticket: dict[T, int] = {}
        self._lane_of: dict[T, _Lane[T]] = {}
        self._resting: list[tuple[int, int, _Lane[T]]] = []  # when each is due
        self._serial = 0
        self._ready: dict[str, list[_Lane[T]]] = {}  # due lanes by volume, in the order of turns
        self._asked: list[_Lane[T]] = []

    def set_rules(self, now: int, rules: RetryRules) -> None:
        """Go by other bounds from now on; lanes that rest do so for as long as they were told."""
        self.rules = rules
        if self._allowed is not None:
            self._allowed.refill(now)
            self._allowed.rate, self._allowed.capacity = rules.offers, self._burst

    @property
    def _burst(self) -> float:
        return max(BURST_LEAST, self.rules.offers * BURST_US / 1e6)

    def __len__(self) -> int:
        return len(self._lane_of)

    def __contains__(self, item: T) -> bool:
        return item in self._lane_of

    def has_waiting(self, place: LaneKey) -> bool:
        """Return whether something waits for a place: what comes now stands behind it."""
        lane = self._lanes.get(place)
        return lane is not None and lane.living > 0

    def add(self, now: int, item: T, ticket: int, place: LaneKey, hint_us: int | None = None) -> None:
        """Let an item wait: refused just now with a hint (0: without one), or None: behind the others."""
        if item in self._lane_of:
            raise ValueError("it waits already")
        lane = self._lanes.get(place)
        if lane is None:
            lane = self._lanes[place] = _Lane(place, due=now)
        heapq.heappush(lane.line, (ticket, item))  # tickets are unique: items are never compared
        lane.living += 1
        self._ticket[item], self._lane_of[item] = ticket, lane
        if hint_us is not None:
            lane.asked = False
            least = self.rules.least_us << min(lane.refusals, DOUBLINGS)
            lane.refusals += 1
            self._rest(lane, now + min(max(hint_us, least), max(self.rules.most_us, self.rules.least_us)))
        elif lane.living == 1 and not lane.asked:
            self._rest(lane, max(now, lane.due))

    def discard(self, item: T) -> None:
        """Forget an item, if it waits: it has its answer, or nobody waits for one."""
        lane = self._lane_of.pop(item, None)
        if lane is None:
            return
        del self._ticket[item]
        lane.living -= 1
        if len(lane.line) > 2 * lane.living + 16:
            lane.line = [one for one in lane.line if self._lives(lane, one)]
            heapq.heapify(lane.line)

    def _lives(self, lane: _Lane[T], entry: tuple[int, T]) -> bool:
        return self._lane_of.get(entry[1]) is lane and self._ticket[entry[1]] == entry[0]

    def _rest(self, lane: _Lane[T], until: int) -> None:
        self._unready(lane)
        lane.due = until
        self._serial += 1
        heapq.heappush(self._resting, (until, self._serial, lane))

    def _unready(self, lane: _Lane[T]) -> None:
        ready = self._ready.get(lane.place[0])
        if ready is not None and lane in ready:
            ready.remove(lane)
            if not ready:
                del self._ready[lane.place[0]]

    def _oldest(self, lane: _Lane[T]) -> int:
        while not self._lives(lane, lane.line[0]):
            heapq.heappop(lane.line)
        return lane.line[0][0]

    def _settle(self, now: int) -> None:
        """Lanes whose offer came back with no refusal go on at once; empty ones are forgotten."""
        asked, self._asked = self._asked, []
        for lane in asked:
            if lane.asked and now < lane.asked_at + self._verdict_us:
                self._asked.append(lane)
            elif lane.asked:
                lane.asked, lane.refusals = False, 0
                if lane.living:
                    self._rest(lane, now)
                else:
                    self._forget(lane)
        while self._resting and self._resting[0][0] <= now:
            due, _, lane = heapq.heappop(self._resting)
            if lane.due != due or lane.asked or self._lanes.get(lane.place) is not lane:
                continue
            if not lane.living:
                self._forget(lane)
                continue
            ready = self._ready.setdefault(lane.place[0], [])
            if lane not in ready:
                ready.append(lane)

    def _forget(self, lane: _Lane[T]) -> None:
        if self._lanes.get(lane.place) is lane:
            del self._lanes[lane.place]

    def take_due(self, now: int) -> list[T]:
        """Return what is to be offered now, one of each lane at most, and forget it.

        Whatever is not kept again with a hint in its time, or before the next call, counts as taken.
        """
        if not self._lanes:
            return []
        if self._allowed is None:
            self._allowed = Bucket(now, self.rules.offers, self._burst, self._burst)
        self._settle(now)
        found: list[T] = []
        while self._ready and self._allowed.refill(now) >= 1:
            volume = next(iter(self._ready))
            lanes = self._ready.pop(volume)
            living = [lane for lane in lanes if lane.living]
            for lane in lanes:
                if not lane.living:
                    self._forget(lane)
            if not living:
                continue
            lane = min(living, key=self._oldest)
            living.remove(lane)
            if living:
                self._ready[volume] = living
            _, item = heapq.heappop(lane.line)
            self.discard(item)
            lane.asked, lane.asked_at = True, now
            self._asked.append(lane)
            self._allowed.level -= 1
            self.offered += 1
            found.append(item)
        return found

    def next_due_at(self, now: int) -> int | None:
        """Return when to call `due` again; None if nothing waits."""
        if self._ready:
            assert self._allowed is not None
            return now + self._allowed.wait_us(now, 1.0) + 1
        asked = [lane.asked_at + self._verdict_us for lane in self._asked if lane.asked]
        resting = self._next_rested(now)
        if asked:
            return max(now + 1, min([*asked, resting] if resting is not None else asked))
        return resting

    def _next_rested(self, now: int) -> int | None:
        while self._resting:
            due, _, lane = self._resting[0]
            if lane.due == due and not lane.asked and lane.living and self._lanes.get(lane.place) is lane:
                return max(due, now + 1)
            heapq.heappop(self._resting)
            if lane.due == due and not lane.asked and not lane.living:
                self._forget(lane)
        return None
