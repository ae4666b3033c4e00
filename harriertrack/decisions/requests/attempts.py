"""Attempts: sent, called off, ended; the module hears of each once."""

from __future__ import annotations

from harriertrack.decisions import interface as api
from harriertrack.decisions.lifecycle import (
    AttemptState,
    AttemptStep,
    PartState,
    PartStep,
    next_attempt_state,
    next_part_state,
    result_without_answer,
)  # fmt: skip
from harriertrack.decisions.requests.admission import Admission
from harriertrack.decisions.requests.completion import Completion
from harriertrack.decisions.requests.inputs import ReplyMetadata
from harriertrack.decisions.requests.model import Attempt
from harriertrack.decisions.requests.part_retry_queue import PartRetryQueue
from harriertrack.decisions.requests.port import NodeDirectory
from harriertrack.decisions.requests.rules import MODIFYING_KINDS
from harriertrack.decisions.requests.state import CoreState
from harriertrack.decisions.splitting import Kind
from harriertrack.decisions.standstill import Standstill


class Attempts:
    """The life of attempts, as the module and the links see it."""

    def __init__(self, state: CoreState, nodes: NodeDirectory, retry_queue: PartRetryQueue,
                 completion: Completion, admission: Admission) -> None:  # fmt: skip
        self._state, self._nodes = state, nodes
        self._retry_queue, self._completion, self._admission = retry_queue, completion, admission
        self.standstill: Standstill[Attempt] = Standstill()

    def send(self, now: int, action: api.Send) -> None:
        """Send a part to a node, as the module says; MOOT if that can't be any more."""
        state = self._state
        part, member = state.parts[action.request], self._nodes.find(action.node)
        if member is None:
            raise RuntimeError(f"the module sends to {action.node}, which no list has named")
        request = part.request
        attempt = Attempt(part, len(part.attempts), member, now)
        part.attempts.append(attempt)
        part.open_attempts += 1
        elsewhere = part.shard >= 0 and member.entry.shard != part.shard
        if part.state.is_final or part.state is PartState.QUEUED or elsewhere or now >= part.module_deadline:
            state.counts.moot += 1
            attempt.state = AttemptState.ENDED
            self._report(now, attempt, api.Result.MOOT, None)
            return
        part.state = next_part_state(part.state, PartStep.SEND)
        state.counts.sent += 1
        if request.kind is Kind.FLUSH:
            attempt.write_number = request.volume.dirty.get(part.shard, 0)
        until = (
            min(now + action.timeout_us, part.module_deadline) if action.timeout_us else part.module_deadline
        )
        attempt.times_out_at = until
        state.schedule(until, attempt)
        attempt.begin_before = self._begin_before(now, attempt)
        if attempt.begin_before < until:
            state.schedule(attempt.begin_before, attempt)
        if part.places_extent and state.close_guard is not None:
            state.close_guard.placing(request.volume.settings.name, part.extent, member.entry.shard)
        if self.standstill.holds(now):
            self.standstill.hold(attempt)
        else:
            state.port.send(attempt)

    def check_standstill(self, now: int) -> None:
        """Look whether the process stood still; if so the list has to be asked for."""
        if self.standstill.check(now, self._state.rules.drain_grace_us):
            self._state.port.ask_list()
            self._state.request_flush()

    def needs_list_refresh(self, now: int) -> bool:
        """Look; return whether the list has to be asked for before anything is sent."""
        self.check_standstill(now)
        return self.standstill.holds(now)

    def release(self, now: int) -> None:
        """Send what waited for the list, if that is waited for no longer, as far as it may still begin."""
        for attempt in self.standstill.release(now):
            if self.may_begin(now, attempt):
                self._state.port.send(attempt)
            else:
                self.attempt_ended(now, attempt, api.Result.MOOT, b"", None)

    def _begin_before(self, now: int, attempt: Attempt) -> int:
        """Return from when on an attempt may not begin, though its time is not up."""
        part, before = attempt.part, attempt.times_out_at
        if attempt.member.entry.state is not api.NodeState.UP:
            # The module sends to a node that drains in the first half of the grace: it begins in the second.
            before = min(before, now + self._state.rules.drain_grace_us // 2)
        window = self._state.windows[part.class_name]
        # A read has no effect, though its class be keyed; what a placed request does, its class alone tells.
        changes = part.client_placement is not None or part.request.kind in MODIFYING_KINDS
        if window and changes and part.may_have_run:  # later its rack may have forgotten what ran
            before = min(before, part.may_have_run_since + window)
        return before

    def may_begin(self, now: int, attempt: Attempt) -> bool:
        """Return whether an attempt that waited for its connection may still be sent.

        Not to a node that drains or is gone since the module chose it: that has to choose again. Nor while
        the list has to be asked for: the process may stand still in the middle of a decision, too.
        """
        if self.needs_list_refresh(now):
            return False
        if attempt.part.state.is_final or now >= attempt.begin_before:
            return False
        chosen, listed = attempt.member.entry, self._nodes.find(attempt.member.entry.node)
        return listed is not None and listed.entry.state is chosen.state

    def expire(self, now: int, attempt: Attempt) -> None:
        """An attempt can't be waited for any longer, or can't begin any more."""
        if now >= attempt.times_out_at and not self.standstill.is_held(attempt):
            self.call_off(now, attempt, api.Result.TIMEOUT)
        elif attempt.state is AttemptState.DIALING:  # it would come too late, which says nothing of its node
            self.call_off(now, attempt, api.Result.CANCELLED)

    def attempt_ended(self, now: int, attempt: Attempt, result: api.Result, data: bytes,
              report: ReplyMetadata | None) -> None:  # fmt: skip
        """Take an attempt's outcome from its link; one that was called off has told the module already."""
        if attempt.state is AttemptState.ENDED:
            return
        if result in (api.Result.RESET, api.Result.TIMEOUT):
            result = result_without_answer(attempt.state, result)
        attempt.state = next_attempt_state(attempt.state, AttemptStep.END)
        part = attempt.part
        if attempt.reported:
            if part.request.patience_us and not part.state.is_final:
                if result is api.Result.OK:
                    self._completion.part_served_late(part, attempt, data)
                elif (
                    part.state is PartState.QUEUED
                    and part not in self._retry_queue.patience
                    and not part.may_be_answered
                ):
                    self._completion.give_up(part, PartStep.FAIL)  # nothing will be heard of it any more
            return
        if result is api.Result.OK:
            self._admission.last_answer_at[attempt.member.entry.shard] = now
            if not part.state.is_final:
                self._completion.part_served(part, attempt, data)
        elif not result.never_ran:
            self._may_have_run(attempt)
        self._report(now, attempt, result, report)

    def call_off(self, now: int, attempt: Attempt, result: api.Result) -> None:
        """Stop waiting for an attempt; what its node still says of it is not listened to."""
        if attempt.reported:
            return
        result = result_without_answer(attempt.state, result)
        attempt.state = next_attempt_state(attempt.state, AttemptStep.CALL_OFF)
        if not result.never_ran:
            self._may_have_run(attempt)
        if not self.standstill.drop(attempt):
            self._state.port.call_off(attempt)
        self._report(now, attempt, result, None)

    def _may_have_run(self, attempt: Attempt) -> None:
        part = attempt.part
        part.may_have_run_since = (
            min(part.may_have_run_since, attempt.sent_at) if part.may_have_run else attempt.sent_at
        )
        part.may_have_run = True
        closings = self._state.close_guard
        if closings is not None and part.request.kind in MODIFYING_KINDS:
            closings.may_run(part.request.volume.settings.name, part.extent)

    def _report(self, now: int, attempt: Attempt, result: api.Result, report: ReplyMetadata | None) -> None:
        """Tell the module an attempt's one outcome."""
        part = attempt.part
        attempt.reported = True
        part.open_attempts -= 1
        if not part.open_attempts:
            if part.state.is_final:
                self._state.finished_parts.append(part)
            elif part.state is PartState.IN_FLIGHT:
                part.state = next_part_state(part.state, PartStep.ATTEMPTS_LOST)
            elif part.state is PartState.QUEUED:
                self._retry_queue.attempts_ended(now, part)
        self._state.queue_event(api.AttemptEnded(
            part.number, attempt.number, attempt.member.entry.node, result,
            max(0, now - (attempt.left_at or attempt.sent_at)),
            part.state.is_final, *((report.used_percent, report.elsewhere, report.load) if report else ()),
        ))  # fmt: skip
