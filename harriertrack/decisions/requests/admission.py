"""First and repeated submission of parts, and the handling of those that the module refuses or fails."""

from __future__ import annotations

from harriertrack.decisions import interface as api
from harriertrack.decisions.lifecycle import AttemptState, PartState, PartStep
from harriertrack.decisions.requests.completion import Completion
from harriertrack.decisions.requests.model import NO_REQUESTER, ClientRequest, Part
from harriertrack.decisions.requests.part_retry_queue import PartRetryQueue
from harriertrack.decisions.requests.placement import Placement
from harriertrack.decisions.requests.rules import MODIFYING_KINDS
from harriertrack.decisions.requests.state import CoreState
from harriertrack.decisions.requests.submission import Submission
from harriertrack.decisions.splitting import Kind

# A cookie has eight bits for the number of an attempt: a part with this many attempts does not wait for more.
MAX_ATTEMPTS = 250
TEST_FLUSH_US = 2_000_000  # a shard without an answer for this long gets a test flush


class Admission:
    """Decides which parts wait when the module refuses them, and when they are submitted again."""

    def __init__(self, state: CoreState, submission: Submission, placement: Placement,
                 retry_queue: PartRetryQueue, completion: Completion) -> None:  # fmt: skip
        self._state, self._submission, self._placement = state, submission, placement
        self._retry_queue, self._completion = retry_queue, completion
        self.last_answer_at: dict[int, int] = {}  # by shard: when its node last answered
        self._test_flush_at: dict[int, int] = {}

    def admit(self, now: int, part: Part) -> None:
        """Submit a new part to the module, or queue it behind the parts that wait already."""
        ahead = self._retry_queue.lane_ahead(part)
        if not part.request.patience_us:
            if ahead is not None:  # submitting it now would overtake them
                self._completion.give_up(part, PartStep.REFUSE, self._state.rules.patience.most_us)
            else:
                self._placement.submit_or_queue(now, part)
        elif ahead is not None or self._retry_queue.patience.has_waiting(part.lane):
            self._retry_queue.enqueue(now, part, None)
        else:
            self._placement.submit_or_queue(now, part)

    def resubmit(self, now: int, part: Part) -> None:
        """Submit a waiting part again, to its extent's present shard: the extent may have moved meanwhile."""
        self._retry_queue.remove(part)
        if part.request.kind in MODIFYING_KINDS and part.may_have_effect:
            # It may run again only on the same shard; no move of its extent begins before it is finished.
            if now < part.may_have_run_since + self._state.windows[part.class_name]:
                self._submission.submit(now, part)
            elif not part.may_be_answered:
                self._completion.give_up(part, PartStep.FAIL)
            return
        if part.extent >= 0:
            shard = self._state.shard_of(part.request.volume, part.extent)
            part.shard = -1 if shard is None else shard
        self._placement.submit_or_queue(now, part)

    def handle_refusal(self, now: int, part: Part, hint: int) -> None:
        """Handle a refusal by the module: refuse the request, or queue the part if its client waits."""
        if part.state is PartState.QUEUED:
            return  # recalled in this same flush
        state, request = self._state, part.request
        if not self._may_wait(now, part) or (request.kind in MODIFYING_KINDS and part.may_have_effect):
            if state.stop_reason:
                request.reason = state.stop_reason
            self._completion.give_up(part, PartStep.REFUSE, hint)
            return
        placed = part.places_extent
        self._retry_queue.enqueue(now, part, hint)
        self._send_test_flush(now, part)
        if placed:  # the parts that waited for its placement now wait behind it
            for later in self._placement.parts_in_queue(part):
                if later.state is PartState.AWAITING_PLACEMENT and later.request.patience_us:
                    self._retry_queue.enqueue(now, later, None)
        if part.class_name in state.in_order:
            self._recall_later_parts(now, part, hint)

    def _recall_later_parts(self, now: int, part: Part, hint: int) -> None:
        """Recall later parts submitted or awaiting placement: they would be sent before the refused one."""
        key = (part.request.volume.settings.name, part.extent)
        for later in [
            *self._submission.in_order.get(key, {}).values(),
            *self._placement.parts_in_queue(part),
        ]:
            if later.number > part.number and later.state in (
                PartState.SUBMITTED,
                PartState.AWAITING_PLACEMENT,
            ):
                if later.state is PartState.SUBMITTED:
                    self._state.queue_event(api.ClientLeft(later.number))
                if later.request.patience_us:
                    self._retry_queue.enqueue(now, later, None)
                else:
                    self._completion.give_up(later, PartStep.REFUSE, hint)

    def handle_failure(self, now: int, part: Part) -> None:
        """Handle a part that the module gives up although it may have run, as it can't await its outcome.

        A client that waits can. As long as the rack drops repeats, the part is submitted again; after that,
        the core waits for its attempts while one of them may still be answered.
        """
        # In an ordered class the next part is sent as soon as the module gives this one up.
        state = self._state
        repeats = state.windows[part.class_name] > 0 and part.request.kind in MODIFYING_KINDS
        repeats = repeats and part.class_name not in state.in_order
        if repeats and self._may_wait(now, part):
            if part.shard < 0:
                part.shard = self._shard_of_extent(part)
            self._retry_queue.enqueue(now, part, 0)
        else:
            self._completion.give_up(part, PartStep.FAIL)

    def _shard_of_extent(self, part: Part) -> int:
        """Return the shard on which a part may have placed its extent; -1 if no attempt of it has left."""
        for attempt in part.attempts:
            placed = part.may_have_run and attempt.sent_at == part.may_have_run_since
            if placed or attempt.state in (AttemptState.SENT, AttemptState.CALLED_OFF):
                return attempt.member.entry.shard
        return part.shard

    def _may_wait(self, now: int, part: Part) -> bool:
        request, state = part.request, self._state
        waits = request.patience_us > 0 and not state.stop_reason and now < state.last_answer(request)
        return waits and len(part.attempts) < MAX_ATTEMPTS

    def _send_test_flush(self, now: int, part: Part) -> None:
        """Send a flush to a shard where only writes wait and no node has answered for long.

        The module tests an unresponsive node with safe requests, and with others only if none comes for
        long. If all clients write and wait, there would be no safe request.
        """
        quiet = (
            now - max(self.last_answer_at.get(part.shard, 0), self._test_flush_at.get(part.shard, 0))
            >= TEST_FLUSH_US
        )
        if part.shard < 0 or not quiet or part.request.kind not in MODIFYING_KINDS:
            return
        self._test_flush_at[part.shard] = now
        state = self._state
        flush = ClientRequest(part.request.volume, Kind.FLUSH, 0, 0, b"", 0, NO_REQUESTER, open_parts=1)
        class_name = state.class_of(Kind.FLUSH, 0)
        flush.deadline = now + state.deadlines[class_name]
        self._submission.submit(now, state.open_part(flush, class_name, -1, 0, 0, part.shard))
