"""Parts that wait for a retry hint to pass."""

from __future__ import annotations

from harriertrack.decisions.lifecycle import PartStep, next_part_state
from harriertrack.decisions.requests.model import Part
from harriertrack.decisions.requests.placement import Placement
from harriertrack.decisions.requests.state import CoreState, PartTimeout
from harriertrack.decisions.retry_queue import LaneKey, RetryQueue


class PartRetryQueue:
    """The waiting parts, in lanes by volume, shard and class."""

    def __init__(self, state: CoreState, placement: Placement) -> None:
        self._state, self._placement = state, placement
        self.patience: RetryQueue[Part] = RetryQueue(state.rules.patience)
        # Ordered classes, by extent: the lanes of the refused parts that wait.
        self.in_order: dict[tuple[str, int], dict[int, LaneKey]] = {}

    def enqueue(self, now: int, part: Part, hint: int | None) -> None:
        """Queue a part: refused with a hint, or behind other parts if the hint is None."""
        # A part that places its extent and may have run keeps its turn: the extent may be placed there yet.
        if not part.places_extent or not part.may_have_effect:
            self._placement.withdraw(part)
        state = self._state
        part.state = next_part_state(part.state, PartStep.QUEUE)
        if not part.has_waited:
            part.has_waited = True
            state.counts.waited += 1
            state.schedule(state.last_answer(part.request), PartTimeout(part.number))
        lane, key = part.lane, (part.request.volume.settings.name, part.extent)
        if part.class_name in state.in_order:
            lanes = self.in_order.setdefault(key, {})
            lane = next(iter(lanes.values()), lane)
            lanes[part.number] = lane
        part.hint_us = hint or 0
        if not part.open_attempts:  # else an attempt could not be cancelled: it is queued when that ends
            self.patience.add(now, part, part.number, lane, hint)

    def remove(self, part: Part) -> None:
        """Remove a part that is submitted again or finished."""
        self.patience.discard(part)
        if part.class_name in self._state.in_order:
            key = (part.request.volume.settings.name, part.extent)
            if (lanes := self.in_order.get(key)) is not None:
                lanes.pop(part.number, None)
                if not lanes:
                    del self.in_order[key]

    def attempts_ended(self, now: int, part: Part) -> None:
        """Queue a waiting part with its hint, now that its last attempt ended."""
        if part not in self.patience:
            self.patience.add(now, part, part.number, part.lane, part.hint_us)

    def lane_ahead(self, part: Part) -> LaneKey | None:
        """Return the lane of the waiting parts that a part of an ordered class must not overtake, if any."""
        if part.class_name not in self._state.in_order:
            return None
        lanes = self.in_order.get((part.request.volume.settings.name, part.extent))
        return next(iter(lanes.values())) if lanes else None
