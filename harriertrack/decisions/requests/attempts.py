"""Attempts: sent, called off, ended; the module hears of each once."""

from __future__ import annotations

from harriertrack.decisions import interface as api
from harriertrack.decisions.life import (
    AttemptState,
    AttemptStep,
    PartState,
    PartStep,
    lost_result,
    step_attempt,
    step_part,
)  # fmt: skip
from harriertrack.decisions.requests.board import Board
from harriertrack.decisions.requests.ending import Ending
from harriertrack.decisions.requests.facts import Beside
from harriertrack.decisions.requests.keeping import Keeping
from harriertrack.decisions.requests.model import Attempt
from harriertrack.decisions.requests.offering import Offering
from harriertrack.decisions.requests.port import NodeBook
from harriertrack.decisions.requests.rules import CHANGING
from harriertrack.decisions.splitting import Kind
from harriertrack.decisions.standstill import Standstill


class Attempts:
    """The life of attempts, as the module and the links see it."""

    def __init__(self, board: Board, nodes: NodeBook, keeping: Keeping, ending: Ending,
                 offering: Offering) -> None:  # fmt: skip
        self._board, self._nodes = board, nodes
        self._keeping, self._ending, self._offering = keeping, ending, offering
        self.standstill: Standstill[Attempt] = Standstill()

    def send(self, now: int, action: api.Send) -> None:
        """Send a part to a node, as the module says; MOOT if that can't be any more."""
        board = self._board
        part, member = board.parts[action.request], self._nodes.find(action.node)
        if member is None:
            raise RuntimeError(f"the module sends to {action.node}, which no list has named")
        request = part.request
        attempt = Attempt(part, len(part.attempts), member, now)
        part.attempts.append(attempt)
        part.out += 1
        elsewhere = part.shard >= 0 and member.entry.shard != part.shard
        if part.state.over or part.state is PartState.KEPT or elsewhere or now >= part.until:
            board.counts.moot += 1
            attempt.state = AttemptState.ENDED
            self._tell(now, attempt, api.Result.MOOT, None)
            return
        part.state = step_part(part.state, PartStep.SEND)
        board.counts.sent += 1
        if request.kind is Kind.FLUSH:
            attempt.write_number = request.volume.dirty.get(part.shard, 0)
        until = min(now + action.timeout_us, part.until) if action.timeout_us else part.until
        attempt.until = until
        board.push(until, attempt)
        attempt.begin_before = self._begin_before(now, attempt)
        if attempt.begin_before < until:
            board.push(attempt.begin_before, attempt)
        if part.places and board.closings is not None:
            board.closings.placing(request.volume.settings.name, part.extent, member.entry.shard)
        if self.standstill.holds(now):
            self.standstill.hold(attempt)
        else:
            board.port.send(attempt)

    def look(self, now: int) -> None:
        """Look whether the process stood still; if so the list has to be asked for."""
        if self.standstill.look(now, self._board.rules.drain_grace_us):
            self._board.port.ask_list()
            self._board.soon()

    def must_ask(self, now: int) -> bool:
        """Look; return whether the list has to be asked for before anything is sent."""
        self.look(now)
        return self.standstill.holds(now)

    def release(self, now: int) -> None:
        """Send what waited for the list, if that is waited for no longer, as far as it may still begin."""
        for attempt in self.standstill.release(now):
            if self.may_begin(now, attempt):
                self._board.port.send(attempt)
            else:
                self.ended(now, attempt, api.Result.MOOT, b"", None)

    def _begin_before(self, now: int, attempt: Attempt) -> int:
        """Return from when on an attempt may not begin, though its time is not up."""
        part, before = attempt.part, attempt.until
        if attempt.member.entry.state is not api.NodeState.UP:
            # The module sends to a node that drains in the first half of the grace: it begins in the second.
            before = min(before, now + self._board.rules.drain_grace_us // 2)
        window = self._board.windows[part.class_name]
        # A read has no effect, though its class be keyed; what a placed request does, its class alone tells.
        changes = part.placed is not None or part.request.kind in CHANGING
        if window and changes and part.may_have_run:  # later its rack may have forgotten what ran
            before = min(before, part.risky_at + window)
        return before

    def may_begin(self, now: int, attempt: Attempt) -> bool:
        """Return whether an attempt that waited for its connection may still be sent.

        Not to a node that drains or is gone since the module chose it: that has to choose again. Nor while
        the list has to be asked for: the process may stand still in the middle of a decision, too.
        """
        if self.must_ask(now):
            return False
        if attempt.part.state.over or now >= attempt.begin_before:
            return False
        chosen, listed = attempt.member.entry, self._nodes.find(attempt.member.entry.node)
        return listed is not None and listed.entry.state is chosen.state

    def time_up(self, now: int, attempt: Attempt) -> None:
        """An attempt can't be waited for any longer, or can't begin any more."""
        if now >= attempt.until and not self.standstill.has(attempt):
            self.call_off(now, attempt, api.Result.TIMEOUT)
        elif attempt.state is AttemptState.DIALING:  # it would come too late, which says nothing of its node
            self.call_off(now, attempt, api.Result.CANCELLED)

    def ended(self, now: int, attempt: Attempt, result: api.Result, data: bytes,
              report: Beside | None) -> None:  # fmt: skip
        """Take an attempt's outcome from its link; one that was called off has told the module already."""
        if attempt.state is AttemptState.ENDED:
            return
        if result in (api.Result.RESET, api.Result.TIMEOUT):
            result = lost_result(attempt.state, result)
        attempt.state = step_attempt(attempt.state, AttemptStep.END)
        part = attempt.part
        if attempt.told:
            if part.request.patience_us and not part.state.over:
                if result is api.Result.OK:
                    self._ending.served_late(part, attempt, data)
                elif part.state is PartState.KEPT and part not in self._keeping.patience and not part.listens:
                    self._ending.given_up(part, PartStep.FAIL)  # nothing will be heard of it any more
            return
        if result is api.Result.OK:
            self._offering.heard[attempt.member.entry.shard] = now
            if not part.state.over:
                self._ending.served(part, attempt, data)
        elif not result.never_ran:
            self._may_have_run(attempt)
        self._tell(now, attempt, result, report)

    def call_off(self, now: int, attempt: Attempt, result: api.Result) -> None:
        """Stop waiting for an attempt; what its node still says of it is not listened to."""
        if attempt.told:
            return
        result = lost_result(attempt.state, result)
        attempt.state = step_attempt(attempt.state, AttemptStep.CALL_OFF)
        if not result.never_ran:
            self._may_have_run(attempt)
        if not self.standstill.drop(attempt):
            self._board.port.call_off(attempt)
        self._tell(now, attempt, result, None)

    def _may_have_run(self, attempt: Attempt) -> None:
        part = attempt.part
        part.risky_at = min(part.risky_at, attempt.sent_at) if part.may_have_run else attempt.sent_at
        part.may_have_run = True
        closings = self._board.closings
        if closings is not None and part.request.kind in CHANGING:
            closings.may_run(part.request.volume.settings.name, part.extent)

    def _tell(self, now: int, attempt: Attempt, result: api.Result, report: Beside | None) -> None:
        """Tell the module an attempt's one outcome."""
        part = attempt.part
        attempt.told = True
        part.out -= 1
        if not part.out:
            if part.state.over:
                self._board.retiring.append(part)
            elif part.state is PartState.OUT:
                part.state = step_part(part.state, PartStep.LOST)
            elif part.state is PartState.KEPT:
                self._keeping.all_in(now, part)
        self._board.add(api.AttemptEnded(
            part.number, attempt.number, attempt.member.entry.node, result,
            max(0, now - (attempt.left_at or attempt.sent_at)),
            part.state.over, *((report.used_percent, report.elsewhere, report.load) if report else ()),
        ))  # fmt: skip
