"""The state shared by the modules of the core: open parts, pending events, answers and timers."""

from __future__ import annotations

import heapq
from dataclasses import dataclass

from harriertrack.decisions import interface as api
from harriertrack.decisions.requests.model import ClientRequest, Part, Volume
from harriertrack.decisions.requests.port import CloseGuard, PlacementStore, Port
from harriertrack.decisions.requests.rules import ANSWER_TICKS, RequestRules
from harriertrack.decisions.splitting import Kind, class_of, split_at_extents


@dataclass(frozen=True, slots=True)
class PartTimeout:
    """A time-out of a part. It names the part, so that it does not keep it until the time has come."""

    part: int


@dataclass(frozen=True, slots=True)
class AttemptTimeout:
    """A time-out of an attempt, named by the number of its part and its own."""

    part: int
    attempt: int


MIN_PRUNED_TIMERS = 1024  # fewer timers are not looked through for obsolete ones
Timeout = PartTimeout | AttemptTimeout | str  # a text is the token of a timer of the module


@dataclass(slots=True)
class Counts:
    """Totals of requests by outcome, for operators.

    Compliance with the rules is checked elsewhere, from recordings of the socket traffic.
    """

    accepted: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    clients_left: int = 0
    sent: int = 0
    moot: int = 0
    waited: int = 0  # parts that waited for a retry hint to pass


class CoreState:
    """The open parts, the module's next events, the answers that are due, and the timers."""

    def __init__(self, rules: RequestRules, port: Port, places: PlacementStore) -> None:
        self.rules, self.port, self.placements = rules, port, places
        self.close_guard: CloseGuard | None = None  # None: the head's fleet has no calendars
        self.counts = Counts()
        self.deadlines = {one.name: one.deadline_us for one in rules.classes}
        self.windows = {one.name: one.window_us for one in rules.classes}
        self.in_order = frozenset(one.name for one in rules.classes if one.in_order)
        self.stop_reason = ""  # why parts no longer wait for retry hints; "": they do
        self.events: list[api.Event] = []
        self.parts: dict[int, Part] = {}
        self.pending_answers: list[ClientRequest] = []
        self.finished_parts: list[Part] = []  # dropped at the end of a flush unless an attempt is still open
        self.timers: list[tuple[int, int, Timeout]] = []
        self.last_part_number = 0
        self.flush_requested = False
        self._serial, self._prune_timers_at = 0, MIN_PRUNED_TIMERS
        self._classes = [(one.name, one.kinds, one.min_bytes) for one in rules.classes]

    def apply_rules(self, rules: RequestRules) -> None:
        """Use other deadlines and bounds from now on; classes, and how requests are split, stay the same."""
        self.rules = rules
        self.deadlines = {one.name: one.deadline_us for one in rules.classes}

    def queue_event(self, event: api.Event) -> None:
        """Queue an event for the module; it is delivered by the next flush."""
        self.events.append(event)
        if not self.flush_requested:
            self.flush_requested = True
            self.port.soon()

    def queue_list_change(self, change: api.NodesChanged) -> None:
        """Queue a change of the list before the requests that are queued.

        They were read in the same round, in no known order: none may go to a node that has just been listed
        as draining because it happened to be read first.
        """
        requests = (at for at, event in enumerate(self.events) if isinstance(event, api.RequestArrived))
        self.events.insert(next(requests, len(self.events)), change)
        self.request_flush()

    def request_flush(self) -> None:
        """Request a flush at the end of this round of the event loop."""
        if not self.flush_requested:
            self.flush_requested = True
            self.port.soon()

    def schedule(self, when: int, what: Timeout) -> None:
        """Add a timer: a time-out of a part or attempt, or a timer of the module."""
        self._serial += 1
        heapq.heappush(self.timers, (when, self._serial, what))
        if len(self.timers) >= self._prune_timers_at:
            self._prune_timers()

    def _prune_timers(self) -> None:
        """Remove the timers of parts that are over: they are due as late as if nothing had come."""
        self.timers[:] = [timer for timer in self.timers if self._is_needed(timer[2])]
        heapq.heapify(self.timers)
        self._prune_timers_at = max(MIN_PRUNED_TIMERS, 2 * len(self.timers))

    def _is_needed(self, what: Timeout) -> bool:
        return isinstance(what, str) or what.part in self.parts

    def class_of(self, kind: Kind, length: int) -> str:
        """Return the class of a request."""
        return class_of(self._classes, kind, length) or self._classes[0][0]

    def last_answer(self, request: ClientRequest) -> int:
        """Return the latest time to answer a request that is not submitted to the module."""
        return request.deadline - ANSWER_TICKS * self.rules.tick_us

    def shard_of(self, volume: Volume, extent: int) -> int | None:
        """Return the shard that holds an extent; None if it was never written."""
        fixed = volume.settings.shards
        return fixed[extent % len(fixed)] if fixed else self.placements.shard_of(volume.settings.name, extent)

    def open_part(self, request: ClientRequest, class_name: str, extent: int, offset: int, length: int,
             shard: int) -> Part:  # fmt: skip
        """Open a part of a request."""
        self.last_part_number += 1
        part = Part(self.last_part_number, request, class_name, extent, offset, length, shard)
        self.parts[part.number] = part
        request.parts.append(part)
        return part

    def split_request(self, request: ClientRequest, class_name: str) -> None:
        """Open the parts of a request: one for each extent, or for a flush one for each shard with writes."""
        volume, kind = request.volume, request.kind
        if kind is Kind.FLUSH:
            for dirty in volume.dirty:
                self.open_part(request, class_name, -1, 0, 0, dirty)
            return
        for extent, offset, length in split_at_extents(
            request.offset, request.length, self.rules.extent_bytes
        ):
            shard = self.shard_of(volume, extent)
            if request.moving and kind is Kind.WRITE:
                self.open_part(request, class_name, extent, offset, length, -1)
            elif request.trim_shard >= 0:
                self.open_part(request, class_name, extent, offset, length, request.trim_shard)
            elif shard is not None:
                request.pieces.append(self.open_part(request, class_name, extent, offset, length, shard))
            elif kind is Kind.WRITE:
                self.open_part(request, class_name, extent, offset, length, -1)
            # Nothing was ever written there: a read returns zeroes, and there is nothing to zero or trim.
            else:
                request.pieces.append(length)
