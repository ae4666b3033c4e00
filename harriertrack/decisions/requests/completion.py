"""The completion of parts and requests."""

from __future__ import annotations

from harriertrack.decisions import interface as api
from harriertrack.decisions.lifecycle import PartState, PartStep, next_part_state
from harriertrack.decisions.requests.model import NO_REQUESTER, Attempt, ClientRequest, Part
from harriertrack.decisions.requests.part_retry_queue import PartRetryQueue
from harriertrack.decisions.requests.placement import Placement
from harriertrack.decisions.requests.rules import MODIFYING_KINDS
from harriertrack.decisions.requests.state import CoreState
from harriertrack.decisions.splitting import Kind, Outcome, request_outcome


class Completion:
    """Finishes parts, and gives each request its one answer."""

    def __init__(self, state: CoreState, placement: Placement, retry_queue: PartRetryQueue) -> None:
        self._state, self._placement, self._retry_queue = state, placement, retry_queue
        self._writes = 0

    def part_served(self, part: Part, attempt: Attempt, data: bytes) -> None:
        """Complete a part that a node served."""
        self._retry_queue.remove(part)
        part.state = next_part_state(part.state, PartStep.SERVE)
        part.data = data
        request, shard = part.request, attempt.member.entry.shard
        if part.places_extent:
            self._placement.add_placement(part, shard)
        if request.kind in MODIFYING_KINDS:
            self._writes += 1
            request.volume.dirty[shard] = self._writes
        elif request.kind is Kind.FLUSH and request.volume.dirty.get(shard) == attempt.write_number:
            del request.volume.dirty[shard]  # no write to the shard since the flush was sent
        self._close_part(part)
        request.open_parts -= 1
        if not request.open_parts and request.outcome is None:
            self.finish(request, Outcome.SERVED)

    def part_served_late(self, part: Part, attempt: Attempt, data: bytes) -> None:
        """Complete a part by a late reply to an attempt of an earlier submission, as good as any other."""
        submitted = part.state in (PartState.SUBMITTED, PartState.IN_FLIGHT)
        self.part_served(part, attempt, data)
        if submitted:
            self._state.queue_event(api.ClientLeft(part.number))

    def give_up(self, part: Part, step: PartStep, hint: int = 0) -> None:
        """Give a part up: answer its request at once, and drop the request's other parts."""
        self._retry_queue.remove(part)
        part.state = next_part_state(part.state, step)
        self._close_part(part)
        request = part.request
        if request.outcome is None:
            request.hint_us = hint
            others = [(one.state, one.may_have_effect) for one in request.parts if one is not part]
            self.finish(request, request_outcome(part.state, others, request.kind in MODIFYING_KINDS))
            self.drop_parts(request)

    def expire(self, part: Part) -> None:
        """End a waiting part whose time is up."""
        touched = part.request.kind in MODIFYING_KINDS and part.may_have_effect
        self.give_up(part, PartStep.FAIL if touched else PartStep.REFUSE)

    def drop_parts(self, request: ClientRequest) -> None:
        """Drop the parts of a request that are still open."""
        for part in request.parts:
            if not part.state.is_final:
                submitted = part.state not in (PartState.AWAITING_PLACEMENT, PartState.QUEUED)
                self._retry_queue.remove(part)
                part.state = next_part_state(part.state, PartStep.DROP)
                if submitted:
                    self._state.queue_event(api.ClientLeft(part.number))
                self._close_part(part)

    def finish(self, request: ClientRequest, outcome: Outcome) -> None:
        """Give a request its outcome; its answer is given at the end of the next flush."""
        request.outcome = outcome
        if request.requester is NO_REQUESTER:
            return
        counts = self._state.counts
        match outcome:
            case Outcome.SERVED:
                counts.served += 1
            case Outcome.REFUSED:
                counts.refused += 1
            case Outcome.FAILED:
                counts.failed += 1
        self._state.pending_answers.append(request)
        self._state.request_flush()

    def _close_part(self, part: Part) -> None:
        """Schedule a finished part for removal, and let the parts that wait for its placement go on."""
        self._state.finished_parts.append(part)
        self._placement.withdraw(part)
