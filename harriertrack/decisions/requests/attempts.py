"""Attempts: sent, cancelled, ended; the outcome of each is reported to the module once."""

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
from harriertrack.decisions.requests.state import AttemptTimeout, CoreState
from harriertrack.decisions.splitting import Kind
from harriertrack.decisions.standstill import Standstill


class Attempts:
    """Carries attempts through their states, between the module and the links."""

    def __init__(self, state: CoreState, nodes: NodeDirectory, retry_queue: PartRetryQueue,
                 completion: Completion, admission: Admission) -> None:  # fmt: skip
        self._state, self._nodes = state, nodes
        self._retry_queue, self._completion, self._admission = retry_queue, completion, admission
        self.standstill: Standstill[Attempt] = Standstill()

    def send(self, now: int, action: api.Send) -> None:
        """Send a part to a node, as the module says; reports MOOT if that is no longer possible."""
        state = self._state
        part, member = state.parts[action.request], self._nodes.find(action.node)
        if member is None:
            raise RuntimeError(f"the module sends to {action.node}, which no node list has named")
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
        timeout = AttemptTimeout(part.number, attempt.number)
        state.schedule(until, timeout)
        attempt.begin_before = self._latest_begin(now, attempt)
        if attempt.begin_before < until:
            state.schedule(attempt.begin_before, timeout)
        if part.places_extent and state.close_guard is not None:
            state.close_guard.record_placement(request.volume.settings.name, part.extent, member.entry.shard)
        if self.standstill.holds(now):
            self.standstill.hold(attempt)
        else:
            state.port.send(attempt)

    def check_standstill(self, now: int) -> None:
        """Check whether the process stood still; if so, fetch the list again."""
        if self.standstill.check(now, self._state.rules.drain_grace_us):
            self._state.port.ask_list()
            self._state.request_flush()

    def needs_list_refresh(self, now: int) -> bool:
        """Check for a standstill; return whether the list has to be fetched before anything is sent."""
        self.check_standstill(now)
        return self.standstill.holds(now)

    def release(self, now: int) -> None:
        """Send the attempts that waited for the list, once it is here, if they may still begin."""
        for attempt in self.standstill.release(now):
            if self.may_begin(now, attempt):
                self._state.port.send(attempt)
            else:
                self.attempt_ended(now, attempt, api.Result.MOOT, b"", None)

    def _latest_begin(self, now: int, attempt: Attempt) -> int:
        """Return the time from which an attempt may no longer begin, even before it times out."""
        part, before = attempt.part, attempt.times_out_at
        if attempt.member.entry.state is not api.NodeState.UP:
            # The module sends to a draining node in the first half of the grace; attempts may begin in the
            # second.
            before = min(before, now + self._state.rules.drain_grace_us // 2)
        window = self._state.windows[part.class_name]
        # A read has no effect, even in a keyed class; of a client-placed request only the class is known.
        changes = part.client_placement is not None or part.request.kind in MODIFYING_KINDS
        if window and changes and part.may_have_run:  # later its rack may have forgotten the earlier attempt
            before = min(before, part.may_have_run_since + window)
        return before

    def may_begin(self, now: int, attempt: Attempt) -> bool:
        """Return whether an attempt that waited for its connection may still be sent.

        It may not if its node began to drain or left the list since the module chose it: the module has to
        choose again. Nor while the list has to be fetched: a standstill may also fall inside a decision.
        """
        if self.needs_list_refresh(now):
            return False
        if attempt.part.state.is_final or now >= attempt.begin_before:
            return False
        chosen, listed = attempt.member.entry, self._nodes.find(attempt.member.entry.node)
        return listed is not None and listed.entry.state is chosen.state

    def expire(self, now: int, attempt: Attempt) -> None:
        """End an attempt that timed out, or that can no longer begin."""
        if now >= attempt.times_out_at and not self.standstill.is_held(attempt):
            self.call_off(now, attempt, api.Result.TIMEOUT)
        elif attempt.state is AttemptState.DIALING:  # too late to start: proves nothing about its node
            self.call_off(now, attempt, api.Result.CANCELLED)

    def attempt_ended(self, now: int, attempt: Attempt, result: api.Result, data: bytes,
              report: ReplyMetadata | None) -> None:  # fmt: skip
        """Process an attempt's outcome from its link; that of a cancelled one was already reported."""
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
                    self._completion.give_up(part, PartStep.FAIL)  # no attempt can be answered any more
            return
        if result is api.Result.OK:
            self._admission.last_answer_at[attempt.member.entry.shard] = now
            if not part.state.is_final:
                self._completion.part_served(part, attempt, data)
        elif not result.never_ran:
            self._may_have_run(attempt)
        self._report(now, attempt, result, report)

    def call_off(self, now: int, attempt: Attempt, result: api.Result) -> None:
        """Cancel an attempt; a later reply of its node is not reported to the module."""
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
        if not part.may_have_run or attempt.sent_at < part.may_have_run_since:
            part.may_have_run_since, part.may_have_run_on = attempt.sent_at, attempt.member.entry
        part.may_have_run = True
        close_guard = self._state.close_guard
        if close_guard is not None and part.request.kind in MODIFYING_KINDS:
            close_guard.record_running(part.request.volume.settings.name, part.extent)

    def _report(self, now: int, attempt: Attempt, result: api.Result, report: ReplyMetadata | None) -> None:
        """Report an attempt's one outcome to the module."""
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
