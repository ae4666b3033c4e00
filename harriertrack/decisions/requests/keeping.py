"""Parts that wait on a hint."""

from __future__ import annotations

from harriertrack.decisions.life import PartStep, step_part
from harriertrack.decisions.requests.board import Board
from harriertrack.decisions.requests.model import Part
from harriertrack.decisions.requests.placing import Placing
from harriertrack.decisions.retry_queue import LaneKey, RetryQueue


class Keeping:
    """What waits, and in which lane."""

    def __init__(self, board: Board, placing: Placing) -> None:
        self._board, self._placing = board, placing
        self.patience: RetryQueue[Part] = RetryQueue(board.rules.patience)
        # Of classes in order, by extent: where those wait that the module refused.
        self.in_order: dict[tuple[str, int], dict[int, LaneKey]] = {}

    def keep(self, now: int, part: Part, hint: int | None) -> None:
        """Let a part wait: refused with a hint, or None: behind others."""
        if not part.places or not part.touched:  # else its extent is placed where it may have run, or not yet
            self._placing.leave(part)
        board = self._board
        part.state = step_part(part.state, PartStep.KEEP)
        if not part.kept:
            part.kept = True
            board.counts.kept += 1
            board.push(board.last_answer(part.request), part)
        place, key = part.place, (part.request.volume.settings.name, part.extent)
        if part.class_name in board.in_order:
            line = self.in_order.setdefault(key, {})
            place = next(iter(line.values()), place)
            line[part.number] = place
        part.hint_us = hint or 0
        if not part.out:  # else an attempt could not be called off: it waits for that one's end
            self.patience.add(now, part, part.number, place, hint)

    def unkeep(self, part: Part) -> None:
        """A part that waited is offered again, or over."""
        self.patience.discard(part)
        if part.class_name in self._board.in_order:
            key = (part.request.volume.settings.name, part.extent)
            if (line := self.in_order.get(key)) is not None:
                line.pop(part.number, None)
                if not line:
                    del self.in_order[key]

    def all_in(self, now: int, part: Part) -> None:
        """The last attempt of a part that waits is over: now its hint counts."""
        if part not in self.patience:
            self.patience.add(now, part, part.number, part.place, part.hint_us)

    def ahead(self, part: Part) -> LaneKey | None:
        """Return where those wait that a part of a class in order must not overtake; None: there are none."""
        if part.class_name not in self._board.in_order:
            return None
        line = self.in_order.get((part.request.volume.settings.name, part.extent))
        return next(iter(line.values())) if line else None
