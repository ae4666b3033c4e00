"""Requests that were refused with a hint and wait in the head, for clients that can't act on a hint.

The module refuses on arrival and hints when to come again. A client that accepts hints comes again by itself;
for any other the head holds the request and offers it to the module again. Waiting requests are in lanes, one
for each volume, shard and class: a hung node delays only its own requests, and a write, which may not test
whether a silent node is back, doesn't delay a read, which may. In a lane only the oldest is offered, and the
next one once that was accepted, so a lane costs the module one refusal per hint, however many wait. Offers
are bounded in rate and go round robin over the volumes; within a volume the oldest request of the due lanes
goes first.

Hints may be wrong. One that is too short is doubled for each refusal in a row; one that is too long is cut at
`most_us`, since a lane must not rest while its node is idle.

Pure: the time is passed in, in microseconds.
"""

from __future__ import annotations

import heapq
from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Generic, TypeVar

from harriertrack.decisions.bucket import Bucket

BURST_US = 20_000  # a burst of offers covers this much time: what is due after a stall is spread out
BURST_LEAST = 8.0
DOUBLINGS = 10  # more would change nothing: `most_us` is the limit before


class WaitMode(StrEnum):
    """How a volume handles a harmless refusal."""

    BY_CLIENT = "by-client"  # clients that accept hints are refused, the others wait
    WAIT = "wait"
    REFUSE = "refuse"


def waits_in_head(mode: WaitMode, accepts_hints: bool) -> bool:
    """Return whether a client's requests wait in the head instead of being refused."""
    return mode is WaitMode.WAIT or (mode is WaitMode.BY_CLIENT and not accepts_hints)


@dataclass(frozen=True, slots=True)
class RetryRules:
    """Bounds of the retries in one head."""

    offers: float = 2_000.0  # at most, a second
    least_us: int = 2_000  # a lane rests at least this long after a refusal, whatever its hint
    most_us: int = 500_000  # and at most this long


T = TypeVar("T", bound=Hashable)
LaneKey = tuple[str, int, str]  # volume, shard (below 0: none yet) and class


@dataclass(slots=True, eq=False)
class _Lane(Generic[T]):
    """Items of one lane, oldest first: a heap in which discarded entries are skipped."""

    key: LaneKey
    heap: list[tuple[int, T]] = field(default_factory=list)
    size: int = 0
    due: int = 0
    refusals: int = 0  # in a row
    offered: bool = False  # its oldest was offered, and the outcome is not known
    offered_at: int = 0


class RetryQueue(Generic[T]):
    """Waiting requests of one head. Items are the caller's; tickets give their order of arrival."""

    def __init__(self, rules: RetryRules, outcome_us: int = 0) -> None:
        """Start empty; an item not added again within `outcome_us` of its offer counts as accepted."""
        self.rules, self._outcome_us = rules, outcome_us
        self.offered = 0  # offers so far
        self._rate_limit: Bucket | None = None
        self._lanes: dict[LaneKey, _Lane[T]] = {}
        self._tickets: dict[T, int] = {}
        self._lane_of: dict[T, _Lane[T]] = {}
        self._timers: list[tuple[int, int, _Lane[T]]] = []  # by due time
        self._timer_serial = 0
        self._ready: dict[str, list[_Lane[T]]] = {}  # due lanes by volume, in round-robin order
        self._offered: list[_Lane[T]] = []

    def set_rules(self, now: int, rules: RetryRules) -> None:
        """Apply other bounds from now on; lanes that rest keep their due times."""
        self.rules = rules
        if self._rate_limit is not None:
            self._rate_limit.refill(now)
            self._rate_limit.rate, self._rate_limit.capacity = rules.offers, self._burst

    @property
    def _burst(self) -> float:
        return max(BURST_LEAST, self.rules.offers * BURST_US / 1e6)

    def __len__(self) -> int:
        return len(self._lane_of)

    def __contains__(self, item: T) -> bool:
        return item in self._lane_of

    def has_waiting(self, key: LaneKey) -> bool:
        """Return whether a lane has items, behind which a new one has to wait."""
        lane = self._lanes.get(key)
        return lane is not None and lane.size > 0

    def add(self, now: int, item: T, ticket: int, key: LaneKey, hint_us: int | None = None) -> None:
        """Add an item: just refused with a hint (0: without one), or None: to wait behind the others."""
        if item in self._lane_of:
            raise ValueError("it waits already")
        lane = self._lanes.get(key)
        if lane is None:
            lane = self._lanes[key] = _Lane(key, due=now)
        heapq.heappush(lane.heap, (ticket, item))  # tickets are unique: items are never compared
        lane.size += 1
        self._tickets[item], self._lane_of[item] = ticket, lane
        if hint_us is not None:
            lane.offered = False
            least = self.rules.least_us << min(lane.refusals, DOUBLINGS)
            lane.refusals += 1
            self._set_due(lane, now + min(max(hint_us, least), max(self.rules.most_us, self.rules.least_us)))
        elif lane.size == 1 and not lane.offered:
            self._set_due(lane, max(now, lane.due))

    def discard(self, item: T) -> None:
        """Remove an item, if it is here: it was answered or abandoned."""
        lane = self._lane_of.pop(item, None)
        if lane is None:
            return
        del self._tickets[item]
        lane.size -= 1
        if len(lane.heap) > 2 * lane.size + 16:
            lane.heap = [one for one in lane.heap if self._is_current(lane, one)]
            heapq.heapify(lane.heap)

    def _is_current(self, lane: _Lane[T], entry: tuple[int, T]) -> bool:
        return self._lane_of.get(entry[1]) is lane and self._tickets[entry[1]] == entry[0]

    def _set_due(self, lane: _Lane[T], until: int) -> None:
        self._remove_from_ready(lane)
        lane.due = until
        self._timer_serial += 1
        heapq.heappush(self._timers, (until, self._timer_serial, lane))

    def _remove_from_ready(self, lane: _Lane[T]) -> None:
        ready = self._ready.get(lane.key[0])
        if ready is not None and lane in ready:
            ready.remove(lane)
            if not ready:
                del self._ready[lane.key[0]]

    def _oldest_ticket(self, lane: _Lane[T]) -> int:
        while not self._is_current(lane, lane.heap[0]):
            heapq.heappop(lane.heap)
        return lane.heap[0][0]

    def _update_lanes(self, now: int) -> None:
        """Make lanes ready that are due, at once if their offer was not refused; remove empty ones."""
        offered, self._offered = self._offered, []
        for lane in offered:
            if lane.offered and now < lane.offered_at + self._outcome_us:
                self._offered.append(lane)
            elif lane.offered:
                lane.offered, lane.refusals = False, 0
                if lane.size:
                    self._set_due(lane, now)
                else:
                    self._remove_lane(lane)
        while self._timers and self._timers[0][0] <= now:
            due, _, lane = heapq.heappop(self._timers)
            if lane.due != due or lane.offered or self._lanes.get(lane.key) is not lane:
                continue
            if not lane.size:
                self._remove_lane(lane)
                continue
            ready = self._ready.setdefault(lane.key[0], [])
            if lane not in ready:
                ready.append(lane)

    def _remove_lane(self, lane: _Lane[T]) -> None:
        if self._lanes.get(lane.key) is lane:
            del self._lanes[lane.key]

    def take_due(self, now: int) -> list[T]:
        """Remove and return the items to offer now, at most one of each lane.

        An item not added again with a hint within `outcome_us`, or before the next call, counts as accepted.
        """
        if not self._lanes:
            return []
        if self._rate_limit is None:
            self._rate_limit = Bucket(now, self.rules.offers, self._burst, self._burst)
        self._update_lanes(now)
        taken: list[T] = []
        while self._ready and self._rate_limit.refill(now) >= 1:
            volume = next(iter(self._ready))
            lanes = self._ready.pop(volume)
            occupied = [lane for lane in lanes if lane.size]
            for lane in lanes:
                if not lane.size:
                    self._remove_lane(lane)
            if not occupied:
                continue
            lane = min(occupied, key=self._oldest_ticket)
            occupied.remove(lane)
            if occupied:
                self._ready[volume] = occupied
            _, item = heapq.heappop(lane.heap)
            self.discard(item)
            lane.offered, lane.offered_at = True, now
            self._offered.append(lane)
            self._rate_limit.level -= 1
            self.offered += 1
            taken.append(item)
        return taken

    def next_due_at(self, now: int) -> int | None:
        """Return when to call `take_due` again; None if nothing waits."""
        if self._ready:
            assert self._rate_limit is not None
            return now + self._rate_limit.wait_us(now, 1.0) + 1
        offered = [lane.offered_at + self._outcome_us for lane in self._offered if lane.offered]
        resting = self._next_timer(now)
        if offered:
            return max(now + 1, min([*offered, resting] if resting is not None else offered))
        return resting

    def _next_timer(self, now: int) -> int | None:
        while self._timers:
            due, _, lane = self._timers[0]
            if lane.due == due and not lane.offered and lane.size and self._lanes.get(lane.key) is lane:
                return max(due, now + 1)
            heapq.heappop(self._timers)
            if lane.due == due and not lane.offered and not lane.size:
                self._remove_lane(lane)
        return None
