"""Parts offered to the module, first and again, and what becomes of those that it turns down."""

from __future__ import annotations

from harriertrack.decisions import interface as api
from harriertrack.decisions.life import AttemptState, PartState, PartStep
from harriertrack.decisions.requests.arriving import Arriving
from harriertrack.decisions.requests.board import Board
from harriertrack.decisions.requests.ending import Ending
from harriertrack.decisions.requests.keeping import Keeping
from harriertrack.decisions.requests.model import NOBODY, ClientRequest, Part
from harriertrack.decisions.requests.placing import Placing
from harriertrack.decisions.requests.rules import CHANGING
from harriertrack.decisions.splitting import Kind

# A cookie has eight bits for an attempt's number: a part that had so many does not wait for more.
MOST_ATTEMPTS = 250
SCOUT_US = 2_000_000  # nothing was heard of a shard for so long


class Offering:
    """Which parts wait when the module turns them down, and when they are offered again."""

    def __init__(self, board: Board, arriving: Arriving, placing: Placing, keeping: Keeping,
                 ending: Ending) -> None:  # fmt: skip
        self._board, self._arriving, self._placing = board, arriving, placing
        self._keeping, self._ending = keeping, ending
        self.heard: dict[int, int] = {}  # when a shard's node last answered
        self._scouted: dict[int, int] = {}

    def admit(self, now: int, part: Part) -> None:
        """Tell the module of a new part, or let it wait behind those that wait already."""
        ahead = self._keeping.ahead(part)
        if not part.request.patience_us:
            if ahead is not None:  # it would overtake them
                self._ending.given_up(part, PartStep.REFUSE, self._board.rules.patience.most_us)
            else:
                self._placing.queue(now, part)
        elif ahead is not None or self._keeping.patience.has_waiting(part.place):
            self._keeping.keep(now, part, None)
        else:
            self._placing.queue(now, part)

    def again(self, now: int, part: Part) -> None:
        """Offer a part that waited to the module, as things are now: its extent may have moved meanwhile."""
        self._keeping.unkeep(part)
        if part.request.kind in CHANGING and part.touched:
            # It may run again only there, and no move of its extent begins before it is over.
            if now < part.risky_at + self._board.windows[part.class_name]:
                self._arriving.tell(now, part)
            elif not part.listens:
                self._ending.given_up(part, PartStep.FAIL)
            return
        if part.extent >= 0:
            shard = self._board.shard_of(part.request.volume, part.extent)
            part.shard = -1 if shard is None else shard
        self._placing.queue(now, part)

    def refused(self, now: int, part: Part, hint: int) -> None:
        """The module refuses a part: the client is told, or it waits if that client waits."""
        if part.state is PartState.KEPT:
            return  # called back in this same moment
        board, request = self._board, part.request
        if not self._waits(now, part) or (request.kind in CHANGING and part.touched):
            if board.closing:
                request.why = board.closing
            self._ending.given_up(part, PartStep.REFUSE, hint)
            return
        placed = part.places
        self._keeping.keep(now, part, hint)
        self._scout(now, part)
        if placed:  # those that waited for its placement wait behind it now
            for later in self._placing.line(part):
                if later.state is PartState.WAITING and later.request.patience_us:
                    self._keeping.keep(now, later, None)
        if part.class_name in board.in_order:
            self._call_back(now, part, hint)

    def _call_back(self, now: int, part: Part, hint: int) -> None:
        """Later ones that the module still holds, or that wait for a placement, would be sent before it."""
        key = (part.request.volume.settings.name, part.extent)
        for later in [*self._arriving.in_order.get(key, {}).values(), *self._placing.line(part)]:
            if later.number > part.number and later.state in (PartState.HELD, PartState.WAITING):
                if later.state is PartState.HELD:
                    self._board.add(api.ClientLeft(later.number))
                if later.request.patience_us:
                    self._keeping.keep(now, later, None)
                else:
                    self._ending.given_up(later, PartStep.REFUSE, hint)

    def failed(self, now: int, part: Part) -> None:
        """The module gives up a part that may have run: it can't wait for an outcome.

        A client that waits can. While the rack drops repeats the part is offered again; later its attempts
        are listened to, as long as one of them may still be answered.
        """
        # Of a class in order the next one goes as soon as the module gave this one up.
        board = self._board
        repeats = board.windows[part.class_name] > 0 and part.request.kind in CHANGING
        repeats = repeats and part.class_name not in board.in_order
        if repeats and self._waits(now, part):
            if part.shard < 0:  # the rack that may have run it is where its extent will lie
                part.shard = next(
                    one.member.entry.shard for one in part.attempts
                    if one.state in (AttemptState.SENT, AttemptState.CALLED_OFF)
                    or (part.may_have_run and one.sent_at == part.risky_at)
                )  # fmt: skip
            self._keeping.keep(now, part, 0)
        else:
            self._ending.given_up(part, PartStep.FAIL)

    def _waits(self, now: int, part: Part) -> bool:
        request, board = part.request, self._board
        waits = request.patience_us > 0 and not board.closing and now < board.last_answer(request)
        return waits and len(part.attempts) < MOST_ATTEMPTS

    def _scout(self, now: int, part: Part) -> None:
        """Ask for a flush where only writes wait and nothing was heard for long.

        The module tries whether a silent node is back with safe work alone. Where all clients write and wait
        there would never be any.
        """
        quiet = now - max(self.heard.get(part.shard, 0), self._scouted.get(part.shard, 0)) >= SCOUT_US
        if part.shard < 0 or not quiet or part.request.kind not in CHANGING:
            return
        self._scouted[part.shard] = now
        board = self._board
        scout = ClientRequest(part.request.volume, Kind.FLUSH, 0, 0, b"", 0, NOBODY, open=1)
        class_name = board.class_of(Kind.FLUSH, 0)
        scout.deadline = now + board.deadlines[class_name]
        self._arriving.tell(now, board.part(scout, class_name, -1, 0, 0, part.shard))
