"""Parts that wait on a hint."""

from __future__ import annotations

from harriertrack.decisions.lifecycle import PartStep, next_part_state
from harriertrack.decisions.requests.model import Part
from harriertrack.decisions.requests.placement import Placement
from harriertrack.decisions.requests.state import CoreState
from harriertrack.decisions.retry_queue import LaneKey, RetryQueue


class PartRetryQueue:
    """What waits, and in which lane."""

    def __init__(self, state: CoreState, placement: Placement) -> None:
        self._state, self._placement = state, placement
        self.patience: RetryQueue[Part] = RetryQueue(state.rules.patience)
        # Of classes in order, by extent: where those wait that the module refused.
        self.in_order: dict[tuple[str, int], dict[int, LaneKey]] = {}

    def enqueue(self, now: int, part: Part, hint: int | None) -> None:
        """Let a part wait: refused with a hint, or None: behind others."""
        if (
            not part.places_extent or not part.may_have_effect
        ):  # else its extent is placed where it may have run, or not yet
            self._placement.withdraw(part)
        state = self._state
        part.state = next_part_state(part.state, PartStep.QUEUE)
        if not part.has_waited:
            part.has_waited = True
            state.counts.waited += 1
            state.schedule(state.last_answer(part.request), part)
        place, key = part.lane, (part.request.volume.settings.name, part.extent)
        if part.class_name in state.in_order:
            line = self.in_order.setdefault(key, {})
            place = next(iter(line.values()), place)
            line[part.number] = place
        part.hint_us = hint or 0
        if not part.open_attempts:  # else an attempt could not be called off: it waits for that one's end
            self.patience.add(now, part, part.number, place, hint)

    def remove(self, part: Part) -> None:
        """A part that waited is offered again, or over."""
        self.patience.discard(part)
        if part.class_name in self._state.in_order:
            key = (part.request.volume.settings.name, part.extent)
            if (line := self.in_order.get(key)) is not None:
                line.pop(part.number, None)
                if not line:
                    del self.in_order[key]

    def attempts_ended(self, now: int, part: Part) -> None:
        """The last attempt of a part that waits is over: now its hint counts."""
        if part not in self.patience:
            self.patience.add(now, part, part.number, part.lane, part.hint_us)

    def lane_ahead(self, part: Part) -> LaneKey | None:
        """Return where those wait that a part of a class in order must not overtake; None: there are none."""
        if part.class_name not in self._state.in_order:
            return None
        line = self.in_order.get((part.request.volume.settings.name, part.extent))
        return next(iter(line.values())) if line else None
