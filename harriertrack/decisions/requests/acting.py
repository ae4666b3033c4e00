"""What is done at the module's word, and when time is up."""

from __future__ import annotations

import heapq

from harriertrack.decisions import interface as api
from harriertrack.decisions.life import PartState
from harriertrack.decisions.requests.attempts import Attempts
from harriertrack.decisions.requests.board import Board
from harriertrack.decisions.requests.ending import Ending
from harriertrack.decisions.requests.model import Attempt
from harriertrack.decisions.requests.offering import Offering


class Acting:
    """Carries verdicts out, each one."""

    def __init__(self, board: Board, ending: Ending, offering: Offering, attempts: Attempts) -> None:
        self._board, self._ending, self._offering, self._attempts = board, ending, offering, attempts

    def expire(self, now: int) -> None:
        """Do what is due: time-outs, and the module's timers."""
        due = self._board.due
        while due and due[0][0] <= now:
            what = heapq.heappop(due)[2]
            if isinstance(what, str):
                self._board.events.append(api.TimerFired(what))
            elif isinstance(what, Attempt):
                self._attempts.time_up(now, what)
            elif what.state in (PartState.WAITING, PartState.KEPT):
                self._ending.time_up(what)

    def act(self, now: int, action: api.Action) -> None:
        """Do what the module says."""
        board, parts = self._board, self._board.parts
        match action:
            case api.Send():
                self._attempts.send(now, action)
            case api.SetTimer():
                board.push(action.at_us, action.token)
            case api.Refuse():
                if not (part := parts[action.request]).state.over:
                    self._offering.refused(now, part, action.retry_after_us)
            case api.Fail():
                if not (part := parts[action.request]).state.over:
                    self._offering.failed(now, part)
            case api.Cancel():
                attempt = parts[action.request].attempts[action.attempt]
                self._attempts.call_off(now, attempt, api.Result.CANCELLED)
            case api.Subscribe():
                board.port.subscribe(action.on)
            case api.Log():
                board.port.note(action.text)
            case api.Probe():
                raise RuntimeError("the module probes, though it was told that it may not")
