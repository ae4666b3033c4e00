"""How parts and requests end."""

from __future__ import annotations

from harriertrack.decisions import interface as api
from harriertrack.decisions.life import PartState, PartStep, step_part
from harriertrack.decisions.requests.board import Board
from harriertrack.decisions.requests.keeping import Keeping
from harriertrack.decisions.requests.model import NOBODY, Attempt, ClientRequest, Part
from harriertrack.decisions.requests.placing import Placing
from harriertrack.decisions.requests.rules import CHANGING
from harriertrack.decisions.splitting import Kind, Outcome, whole_outcome


class Ending:
    """The ends of parts, and the one answer of each request."""

    def __init__(self, board: Board, placing: Placing, keeping: Keeping) -> None:
        self._board, self._placing, self._keeping = board, placing, keeping
        self._writes = 0

    def served(self, part: Part, attempt: Attempt, data: bytes) -> None:
        """A node served a part."""
        self._keeping.unkeep(part)
        part.state = step_part(part.state, PartStep.SERVE)
        part.data = data
        request, shard = part.request, attempt.member.entry.shard
        if part.places:
            self._placing.placed(part, shard)
        if request.kind in CHANGING:
            self._writes += 1
            request.volume.dirty[shard] = self._writes
        elif request.kind is Kind.FLUSH and request.volume.dirty.get(shard) == attempt.write_number:
            del request.volume.dirty[shard]  # nothing was written there since the flush was sent
        self._over(part)
        request.open -= 1
        if not request.open and request.outcome is None:
            self.finish(request, Outcome.SERVED)

    def served_late(self, part: Part, attempt: Attempt, data: bytes) -> None:
        """An attempt was answered that an earlier offer had called off: its answer is as good as any."""
        told = part.state in (PartState.HELD, PartState.OUT)
        self.served(part, attempt, data)
        if told:
            self._board.add(api.ClientLeft(part.number))

    def given_up(self, part: Part, step: PartStep, hint: int = 0) -> None:
        """A part is given up: its request is answered at once, and its other parts are dropped."""
        self._keeping.unkeep(part)
        part.state = step_part(part.state, step)
        self._over(part)
        request = part.request
        if request.outcome is None:
            request.hint_us = hint
            others = [(one.state, one.touched) for one in request.parts if one is not part]
            self.finish(request, whole_outcome(part.state, others, request.kind in CHANGING))
            self.drop_parts(request)

    def time_up(self, part: Part) -> None:
        """What waits can wait no longer."""
        touched = part.request.kind in CHANGING and part.touched
        self.given_up(part, PartStep.FAIL if touched else PartStep.REFUSE)

    def drop_parts(self, request: ClientRequest) -> None:
        """Drop the parts of a request that are still open."""
        for part in request.parts:
            if not part.state.over:
                told = part.state not in (PartState.WAITING, PartState.KEPT)
                self._keeping.unkeep(part)
                part.state = step_part(part.state, PartStep.DROP)
                if told:
                    self._board.add(api.ClientLeft(part.number))
                self._over(part)

    def finish(self, request: ClientRequest, outcome: Outcome) -> None:
        """Give a request its outcome; its answer goes out at the end of the next flush."""
        request.outcome = outcome
        if request.token is NOBODY:
            return
        counts = self._board.counts
        match outcome:
            case Outcome.SERVED:
                counts.served += 1
            case Outcome.REFUSED:
                counts.refused += 1
            case Outcome.FAILED:
                counts.failed += 1
        self._board.answers.append(request)
        self._board.soon()

    def _over(self, part: Part) -> None:
        """Nothing more is sent for a part: let who waits for its placement go on, and forget it in time."""
        self._board.retiring.append(part)
        self._placing.leave(part)
