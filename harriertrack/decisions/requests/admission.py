"""Parts offered to the module, first and again, and what becomes of those that it turns down."""

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

# A cookie has eight bits for an attempt's number: a part that had so many does not wait for more.
MOST_ATTEMPTS = 250
SCOUT_US = 2_000_000  # nothing was heard of a shard for so long


class Admission:
    """Which parts wait when the module turns them down, and when they are offered again."""

    def __init__(self, state: CoreState, submission: Submission, placement: Placement,
                 retry_queue: PartRetryQueue, completion: Completion) -> None:  # fmt: skip
        self._state, self._submission, self._placement = state, submission, placement
        self._retry_queue, self._completion = retry_queue, completion
        self.last_answer_at: dict[int, int] = {}  # when a shard's node last answered
        self._scouted: dict[int, int] = {}

    def admit(self, now: int, part: Part) -> None:
        """Tell the module of a new part, or let it wait behind those that wait already."""
        ahead = self._retry_queue.lane_ahead(part)
        if not part.request.patience_us:
            if ahead is not None:  # it would overtake them
                self._completion.give_up(part, PartStep.REFUSE, self._state.rules.patience.most_us)
            else:
                self._placement.submit_or_queue(now, part)
        elif ahead is not None or self._retry_queue.patience.has_waiting(part.lane):
            self._retry_queue.enqueue(now, part, None)
        else:
            self._placement.submit_or_queue(now, part)

    def resubmit(self, now: int, part: Part) -> None:
        """Offer a part that waited to the module, as things are now: its extent may have moved meanwhile."""
        self._retry_queue.remove(part)
        if part.request.kind in MODIFYING_KINDS and part.may_have_effect:
            # It may run again only there, and no move of its extent begins before it is over.
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
        """The module refuses a part: the client is told, or it waits if that client waits."""
        if part.state is PartState.QUEUED:
            return  # called back in this same moment
        state, request = self._state, part.request
        if not self._waits(now, part) or (request.kind in MODIFYING_KINDS and part.may_have_effect):
            if state.stop_reason:
                request.reason = state.stop_reason
            self._completion.give_up(part, PartStep.REFUSE, hint)
            return
        placed = part.places_extent
        self._retry_queue.enqueue(now, part, hint)
        self._scout(now, part)
        if placed:  # those that waited for its placement wait behind it now
            for later in self._placement.parts_in_queue(part):
                if later.state is PartState.AWAITING_PLACEMENT and later.request.patience_us:
                    self._retry_queue.enqueue(now, later, None)
        if part.class_name in state.in_order:
            self._call_back(now, part, hint)

    def _call_back(self, now: int, part: Part, hint: int) -> None:
        """Later ones that the module still holds, or that wait for a placement, would be sent before it."""
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
        """The module gives up a part that may have run: it can't wait for an outcome.

        A client that waits can. While the rack drops repeats the part is offered again; later its attempts
        are listened to, as long as one of them may still be answered.
        """
        # Of a class in order the next one goes as soon as the module gave this one up.
        state = self._state
        repeats = state.windows[part.class_name] > 0 and part.request.kind in MODIFYING_KINDS
        repeats = repeats and part.class_name not in state.in_order
        if repeats and self._waits(now, part):
            if part.shard < 0:  # the rack that may have run it is where its extent will lie
                part.shard = next(
                    one.member.entry.shard for one in part.attempts
                    if one.state in (AttemptState.SENT, AttemptState.CALLED_OFF)
                    or (part.may_have_run and one.sent_at == part.may_have_run_since)
                )  # fmt: skip
            self._retry_queue.enqueue(now, part, 0)
        else:
            self._completion.give_up(part, PartStep.FAIL)

    def _waits(self, now: int, part: Part) -> bool:
        request, state = part.request, self._state
        waits = request.patience_us > 0 and not state.stop_reason and now < state.last_answer(request)
        return waits and len(part.attempts) < MOST_ATTEMPTS

    def _scout(self, now: int, part: Part) -> None:
        """Ask for a flush where only writes wait and nothing was heard for long.

        The module tries whether a silent node is back with safe work alone. Where all clients write and wait
        there would never be any.
        """
        quiet = (
            now - max(self.last_answer_at.get(part.shard, 0), self._scouted.get(part.shard, 0)) >= SCOUT_US
        )
        if part.shard < 0 or not quiet or part.request.kind not in MODIFYING_KINDS:
            return
        self._scouted[part.shard] = now
        state = self._state
        scout = ClientRequest(part.request.volume, Kind.FLUSH, 0, 0, b"", 0, NO_REQUESTER, open_parts=1)
        class_name = state.class_of(Kind.FLUSH, 0)
        scout.deadline = now + state.deadlines[class_name]
        self._submission.submit(now, state.open_part(scout, class_name, -1, 0, 0, part.shard))
