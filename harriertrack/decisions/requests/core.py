"""The interface of the core for fronts and links, and the processing of the module's actions."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from harriertrack.decisions import interface as api
from harriertrack.decisions.lifecycle import AttemptStep, PartState, PartStep, next_attempt_state
from harriertrack.decisions.requests.admission import Admission
from harriertrack.decisions.requests.attempts import Attempts
from harriertrack.decisions.requests.closes import CloseHandling
from harriertrack.decisions.requests.completion import Completion
from harriertrack.decisions.requests.dispatch import ActionDispatcher
from harriertrack.decisions.requests.inputs import ReplyMetadata, VolumeFacts
from harriertrack.decisions.requests.model import Attempt, ClientRequest, Part, Volume
from harriertrack.decisions.requests.part_retry_queue import PartRetryQueue
from harriertrack.decisions.requests.placement import Placement
from harriertrack.decisions.requests.port import (
    CloseGuard,
    DecisionModule,
    HoldOwner,
    NodeDirectory,
    PlacementStore,
    Port,
)
from harriertrack.decisions.requests.rules import ClientPlacement, RequestRules
from harriertrack.decisions.requests.state import CoreState
from harriertrack.decisions.requests.submission import Submission
from harriertrack.decisions.splitting import Kind, Outcome


class Core:
    """The core of one head."""

    def __init__(
        self,
        rules: RequestRules,
        module: DecisionModule,
        volumes: Iterable[VolumeFacts],
        port: Port,
        nodes: NodeDirectory,
        places: PlacementStore,
        restored: Iterable[api.NodeEntry] = (),
    ) -> None:
        self.nodes, self.placements = nodes, places
        self.volumes = {volume.name: Volume(volume) for volume in volumes}
        self._module, self._port = module, port
        state = self._state = CoreState(rules, port, places)
        self.counts = state.counts
        self._submission = Submission(state)
        self._placement = Placement(state, self._submission)
        self._retry_queue = PartRetryQueue(state, self._placement)
        self._completion = Completion(state, self._placement, self._retry_queue)
        self._admission = Admission(
            state, self._submission, self._placement, self._retry_queue, self._completion
        )
        self._attempts = Attempts(state, nodes, self._retry_queue, self._completion, self._admission)
        self._dispatcher = ActionDispatcher(state, self._completion, self._admission, self._attempts)
        self._closes = CloseHandling(state, self._placement, self._completion)
        for volume in self.volumes.values():  # an earlier incarnation may have written without a flush
            name, fixed = volume.settings.name, volume.settings.shards
            volume.dirty = dict.fromkeys(fixed or {shard for _, shard in places.placements_of(name)}, 0)
        state.queue_event(api.NodesChanged(api.ListKind.RESTORED, list(restored)))

    # -- settings and node list

    @property
    def rules(self) -> RequestRules:
        """Return the rules in force."""
        return self._state.rules

    def apply_settings(self, now: int, rules: RequestRules, settings: api.Settings) -> None:
        """Use other deadlines and bounds for requests accepted from now on, and pass the module its settings.

        Classes, and how requests are split, stay the same.
        """
        self._state.apply_rules(rules)
        self._retry_queue.patience.set_rules(now, rules.patience)
        self._state.queue_event(api.SettingsChanged(settings))

    def nodes_changed(self, news: api.NodesChanged | None) -> None:
        """Pass an update of the node list to the module; None: there is none.

        The first update after a standstill of the process may have reached this machine as early as the
        standstill began.
        """
        if news is not None:
            paused_since = self._attempts.standstill.paused_since
            if paused_since is not None:
                news.announced_at = min(news.announced_at or paused_since, paused_since)
            self._state.queue_list_change(news)

    def list_failed(self) -> None:
        """The source of the list can't be reached; the current list stays in use."""
        self._state.queue_event(api.NodesChanged(api.ListKind.FAILED))

    def begin_standstill_checks(self, now: int) -> None:
        """Start the checks: `check_standstill` is called every `standstill.CHECK_PERIOD_US` from now on."""
        self._attempts.standstill.begin(now)

    def check_standstill(self, now: int) -> None:
        """Check whether the process stood still; if so, nothing is sent until the list was fetched again."""
        self._attempts.check_standstill(now)

    def needs_list_refresh(self, now: int) -> bool:
        """Check for a standstill; return whether the list has to be fetched before anything is sent."""
        return self._attempts.needs_list_refresh(now)

    def list_call_ended(self, began: int, answered: bool) -> None:
        """Note that a call for the list, begun at that time, was answered, or failed at its source."""
        self._attempts.standstill.record_call(began, answered)
        self._state.request_flush()

    # -- requests

    def deadline_of(self, now: int, kind: Kind, length: int) -> int:
        """Return when the client of a request that arrives now gives up."""
        return now + self._state.deadlines[self._state.class_of(kind, length)]

    def at_capacity(self) -> bool:
        """Return whether as many parts are open as the settings allow."""
        return len(self._state.parts) >= self._state.rules.max_open_parts

    def accept(self, now: int, request: ClientRequest) -> None:
        """Accept a request: from now on it is owed one final answer."""
        state = self._state
        state.counts.accepted += 1
        class_name = self._class_of(request)
        if not request.deadline:
            came = min(request.arrived_at or now, now)
            request.deadline = came + max(state.deadlines[class_name], request.patience_us)
        self._begin(now, request, class_name)

    def _begin(self, now: int, request: ClientRequest, class_name: str) -> None:
        """Split a request and admit its parts, unless a close forbids it."""
        if self._closes.intercept(now, request):
            return
        self._state.split_request(request, class_name)
        request.open_parts = len(request.parts)
        if not request.parts:
            self._completion.finish(request, Outcome.SERVED)
        for part in list(request.parts):
            if part.state is PartState.AWAITING_PLACEMENT:  # else an earlier part ended the request
                self._admission.admit(now, part)

    def _class_of(self, request: ClientRequest) -> str:
        kind = request.kind
        own = Kind.OWN_READ if kind is Kind.READ else Kind.MOVE if request.moving else Kind.CATCH_UP
        return self._state.class_of(own if request.background else kind, request.length)

    def is_ordered(self, request: ClientRequest) -> bool:
        """Return whether a request's class asks for order."""
        return self._class_of(request) in self._state.in_order

    def accept_placed(self, now: int, request: ClientRequest, placed: ClientPlacement) -> None:
        """Accept a request that is one part and whose client names its shard; its deadline is set.

        Raises ValueError if it would wait for retry hints: waiting goes by extents, and it has none.
        """
        if request.patience_us or not request.deadline:
            raise ValueError("a request that is placed by its client has a deadline and no patience")
        self.counts.accepted += 1
        part = self._state.open_part(request, placed.class_name, -1, 0, request.length, placed.shard)
        part.client_placement = placed
        request.pieces.append(part)
        request.open_parts = 1
        self._submission.submit(now, part)

    def client_left(self, request: ClientRequest) -> None:
        """Drop a request whose client has left: no answer is owed any more."""
        if request.outcome is None:
            request.outcome = Outcome.FAILED
            self.counts.clients_left += 1
            self._completion.drop_parts(request)

    def queue_answer(self, request: ClientRequest) -> None:
        """Queue an answer that was decided outside the core; it is given at the end of the next flush."""
        self._state.pending_answers.append(request)
        self._state.request_flush()

    # -- open work

    @property
    def open_requests(self) -> int:
        """Return how many accepted requests have no final answer yet."""
        counts = self.counts
        return counts.accepted - counts.served - counts.refused - counts.failed - counts.clients_left

    @property
    def open_parts(self) -> int:
        """Return how many parts are open or have open attempts."""
        return len(self._state.parts)

    @property
    def waiting_parts(self) -> int:
        """Return how many parts wait for a retry hint to pass."""
        return len(self._retry_queue.patience)

    @property
    def resubmissions(self) -> int:
        """Return how often a waiting part was submitted to the module again."""
        return self._retry_queue.patience.offered

    def parts_that_waited(self) -> Iterator[Part]:
        """Yield the open parts that wait, or have waited, for a retry hint to pass."""
        return (part for part in self._state.parts.values() if part.has_waited and not part.state.is_final)

    # -- shutdown

    def fail_open(self) -> None:
        """Answer all open requests because the head stops now: what the module has may still run."""
        for part in list(self._state.parts.values()):
            if part.state in (PartState.AWAITING_PLACEMENT, PartState.QUEUED):
                part.request.reason = self._state.stop_reason
                self._completion.expire(part)
            elif not part.state.is_final:
                self._state.queue_event(api.ClientLeft(part.number))
                self._completion.give_up(part, PartStep.FAIL)

    def stop_waiting(self, why: str) -> None:
        """Stop waiting for retry hints; what waits is refused."""
        self._state.stop_reason = why
        self._closes.stop_waiting(why)
        for part in [part for part in self._state.parts.values() if part.state is PartState.QUEUED]:
            if part.state is PartState.QUEUED:  # else the refusal of another part dropped it
                part.request.reason = why
                self._completion.expire(part)

    # -- extents

    def shard_of(self, volume: Volume, extent: int) -> int | None:
        """Return the shard that holds an extent; None if it was never written."""
        return self._state.shard_of(volume, extent)

    def hold_extent(self, volume: str, extent: int, owner: HoldOwner) -> None:
        """Make later requests for an extent wait; `owner.held` is called once no earlier one is open.

        The hold ends with `release_extent`, or with the end of a `moving` write to the extent. Raises
        ValueError if the extent is held already, or was never placed.
        """
        self._placement.hold_extent(volume, extent, owner)

    def release_extent(self, volume: str, extent: int) -> None:
        """End the hold of an extent; not allowed while a `moving` write to it is in progress."""
        self._placement.release_extent(volume, extent)

    # -- closes

    @property
    def close_guard(self) -> CloseGuard | None:
        """Return the guard of ranges that are purged at closes; None: the head's fleet has no calendars."""
        return self._state.close_guard

    @close_guard.setter
    def close_guard(self, close_guard: CloseGuard) -> None:
        self._state.close_guard = close_guard

    def close_off(self, now: int, covers: Callable[[str, int, int], bool]) -> tuple[int, int]:
        """Give up the open requests for (volume, offset, length) covered by a close; put placements on disk.

        Changes that may have run are failed, all else is refused. Returns how many parts were refused, and
        how many failed.
        """
        return self._closes.close_off(now, covers)

    def hold_purged(self, places: Iterable[tuple[str, int]]) -> None:
        """Make requests for these (volume, extent) wait until `release_trimmed`; none of them may be open."""
        self._placement.hold_purged(places)

    def release_trimmed(self, volume: str, extent: int) -> None:
        """End the hold of a purged extent."""
        self._placement.release_extent(volume, extent, purged=True)

    # -- attempts

    def may_begin(self, now: int, attempt: Attempt) -> bool:
        """Return whether an attempt that waited for its connection may still be sent.

        If not, its outcome is MOOT: nothing was sent, which proves nothing about its node.
        """
        return self._attempts.may_begin(now, attempt)

    def attempt_sent(self, attempt: Attempt, at: int = 0) -> None:
        """Note that an attempt's bytes were handed to its link; `at` is the time, if it was dialled first."""
        attempt.state = next_attempt_state(attempt.state, AttemptStep.SEND)
        attempt.left_at = at

    def attempt_ended(self, now: int, attempt: Attempt, result: api.Result, data: bytes = b"",
              report: ReplyMetadata | None = None) -> None:  # fmt: skip
        """Process an attempt's outcome from its link; that of a cancelled one was already reported."""
        self._attempts.attempt_ended(now, attempt, result, data, report)

    # -- the module

    def flush(self, now: int) -> None:
        """Pass pending events to the module, execute its actions, and give the answers that are due."""
        state = self._state
        placement = self._placement
        dispatcher = self._dispatcher
        patience = self._retry_queue.patience
        self.check_standstill(now)
        while True:
            dispatcher.run_timers(now)
            if state.events:
                events, state.events = state.events, []
                for action in self._module.handle(now, events):
                    dispatcher.execute(now, action)
            placement.write_placements()
            placement.release_queued(now)
            for part in patience.take_due(now):
                if part.state is PartState.QUEUED:  # else an earlier part in this list ended their request
                    self._admission.resubmit(now, part)
            for request in self._closes.due_restarts(now):
                self._begin(now, request, self._class_of(request))
            self._attempts.release(now)
            if not state.events:
                break
        state.flush_requested = False
        for part in state.finished_parts:
            if not part.open_attempts:
                state.parts.pop(part.number, None)
                part.release()
        state.finished_parts.clear()
        answers, state.pending_answers = state.pending_answers, []
        for request in answers:
            if not self._closes.withhold_answer(now, request):
                self._port.answer(request)
        placement.notify_owners()
        times = [state.timers[0][0]] if state.timers else []
        others = (
            patience.next_due_at(now),
            self._closes.next_restart_at(),
            self._attempts.standstill.held_until(),
        )
        times += [when for when in others if when is not None]
        if times:
            self._port.wake_at(min(times))
