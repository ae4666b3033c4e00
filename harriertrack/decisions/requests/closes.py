"""Closes of business, at which ranges of volumes are purged: the requests that a close covers are given up,
and none of them is answered with data any more."""

from __future__ import annotations

from collections.abc import Callable

from harriertrack.decisions import interface as api
from harriertrack.decisions.lifecycle import PartState, PartStep
from harriertrack.decisions.requests.completion import Completion
from harriertrack.decisions.requests.model import ClientRequest
from harriertrack.decisions.requests.placement import Placement
from harriertrack.decisions.requests.rules import MODIFYING_KINDS
from harriertrack.decisions.requests.state import CoreState
from harriertrack.decisions.splitting import Outcome

CLOSED = "a close may have come"


class CloseHandling:
    """Handles the requests that a close covers."""

    def __init__(self, state: CoreState, placement: Placement, completion: Completion) -> None:
        self._state, self._placement, self._completion = state, placement, completion
        self._waiting: dict[ClientRequest, int] = {}  # requests of waiting clients: when each starts again

    def intercept(self, now: int, request: ClientRequest) -> bool:
        """Refuse a new request that a close may cover, or make it wait, before any work is done for it."""
        close_guard = self._state.close_guard
        if close_guard is None or (hint := close_guard.refusal_hint_us(request)) is None:
            return False
        if not self._restart_later(now, request, hint):
            request.hint_us, request.reason = hint, CLOSED
            self._completion.finish(request, Outcome.REFUSED)
        return True

    def withhold_answer(self, now: int, request: ClientRequest) -> bool:
        """Refuse a request that is about to be answered, if a close may have happened meanwhile.

        Return whether it is not answered now because its client waits.
        """
        close_guard = self._state.close_guard
        if close_guard is None or (hint := close_guard.refusal_hint_us(request)) is None:
            return False
        return self._refuse_read(request, hint) and self._retract_refusal(now, request, hint)

    def due_restarts(self, now: int) -> list[ClientRequest]:
        """Return the requests that start again now."""
        found = [request for request, when in self._waiting.items() if when <= now]
        for request in found:
            del self._waiting[request]
        return [request for request in found if request.outcome is None]  # else its client left

    def next_restart_at(self) -> int | None:
        """Return when the next request starts again."""
        return min(self._waiting.values(), default=None)

    def stop_waiting(self, why: str) -> None:
        """Stop waiting: refuse the requests that wait."""
        waiting, self._waiting = self._waiting, {}
        for request in waiting:
            if request.outcome is None:
                request.reason = why
                self._completion.finish(request, Outcome.REFUSED)

    def _restart_later(self, now: int, request: ClientRequest, hint: int) -> bool:
        """Let a request of which nothing ran start again after the hint, if its client waits that long."""
        state = self._state
        if not request.patience_us or state.stop_reason or now + hint >= state.last_answer(request):
            return False
        request.parts, request.pieces, request.open_parts, request.outcome = [], [], 0, None
        self._waiting[request] = now + hint
        return True

    def _retract_refusal(self, now: int, request: ClientRequest, hint: int) -> bool:
        """Retract a refusal that was not answered yet, if the request can wait instead."""
        if request.outcome is not Outcome.REFUSED or not self._restart_later(now, request, hint):
            return False
        self._state.counts.refused -= 1
        return True

    def close_off(self, now: int, covers: Callable[[str, int, int], bool]) -> tuple[int, int]:
        """Give up the open requests for (volume, offset, length) covered by a close; put placements on disk.

        Changes that may have run are failed, all else is refused. Returns how many parts were refused, and
        how many failed.
        """
        state, refused, failed = self._state, 0, 0
        for part in list(state.parts.values()):
            request = part.request
            if part.state.is_final or part.extent < 0 or request.trim_shard >= 0:
                continue
            if not covers(request.volume.settings.name, part.offset, part.length):
                continue
            if part.state not in (PartState.AWAITING_PLACEMENT, PartState.QUEUED):
                state.queue_event(api.ClientLeft(part.number))
            ran = request.kind in MODIFYING_KINDS and part.may_have_effect
            if ran and state.close_guard is not None:
                state.close_guard.record_running(request.volume.settings.name, part.extent)
            refused, failed = refused + (not ran), failed + ran
            request.reason = CLOSED
            self._completion.give_up(part, PartStep.FAIL if ran else PartStep.REFUSE, 1)
        for request in list(state.pending_answers):
            if covers(request.volume.settings.name, request.offset, request.length):
                refused += self._refuse_read(request, 1)
                if self._retract_refusal(now, request, 1):
                    state.pending_answers.remove(request)
        self._placement.write_placements()
        return refused, failed

    def _refuse_read(self, request: ClientRequest, hint: int) -> bool:
        """Refuse a read that was served but not answered yet."""
        if request.kind in MODIFYING_KINDS or request.outcome is not Outcome.SERVED:
            return False
        self._state.counts.served -= 1
        self._state.counts.refused += 1
        request.outcome, request.hint_us, request.reason = Outcome.REFUSED, hint, CLOSED
        return True
