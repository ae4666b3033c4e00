"""Parts told to the module."""

from __future__ import annotations

from harriertrack.decisions import interface as api
from harriertrack.decisions.life import PartStep, step_part
from harriertrack.decisions.requests.board import Board
from harriertrack.decisions.requests.model import Part
from harriertrack.decisions.requests.rules import CHANGING
from harriertrack.decisions.splitting import units_of

# An offer of what a rack drops repeats of lasts so many tenths of its window: the rest is for another one.
OFFER_PARTS = 6


class Arriving:
    """What the module has, as far as its order matters."""

    def __init__(self, board: Board) -> None:
        self._board = board
        self.in_order: dict[tuple[str, int], dict[int, Part]] = {}  # of classes in order, by extent

    def tell(self, now: int, part: Part) -> None:
        """Tell the module of a part."""
        part.state = step_part(part.state, PartStep.TELL)
        board, request = self._board, part.request
        volume = request.volume.settings
        part.until = request.deadline
        if request.patience_us:  # one offer takes no longer than its class allows; then there may be another
            length = board.deadlines[part.class_name]
            window = board.windows[part.class_name]
            if window and part.class_name not in board.in_order:
                length = min(length, window * OFFER_PARTS // 10)
            part.until = min(part.until, now + length)
        if part.class_name in board.in_order:
            self.in_order.setdefault((volume.name, part.extent), {})[part.number] = part
        if (placed := part.placed) is not None:
            board.add(api.RequestArrived(
                part.number, part.class_name, volume.plan, volume.name, placed.key, part.shard, placed.units,
                part.until - now, volume.hosts, placed.repeat,
            ))  # fmt: skip
            return
        board.add(api.RequestArrived(
            part.number, part.class_name, volume.plan, volume.name,
            f"{volume.name}/{part.extent}" if part.extent >= 0 else "",
            part.shard, units_of(part.length, board.rules.unit_bytes), part.until - now, volume.hosts,
            further_part=part is not request.parts[0], reoffered=part.kept, attempts_made=len(part.attempts),
            may_have_run_us=now - part.risky_at if part.may_have_run and request.kind in CHANGING else -1,
        ))  # fmt: skip

    def leave(self, part: Part) -> None:
        """The module has nothing of a part any more, or never had."""
        if part.class_name in self._board.in_order:
            key = (part.request.volume.settings.name, part.extent)
            told = self.in_order.get(key, {})
            told.pop(part.number, None)
            if not told:
                self.in_order.pop(key, None)
