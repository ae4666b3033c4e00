"""Clients that wait on volumes of two regions: what the layer of two regions refuses is asked there again.

Each time it is a request of its own to that layer, which looks anew at who holds the volume, and under which
epoch: nothing is done for an old one because it waited. The client's request has one life and one answer.
What waits and when it is asked again says `decisions/retry_queue.py`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from harriertrack.decisions.requests import ANSWER_TICKS, ClientRequest
from harriertrack.decisions.retry_queue import RetryQueue, RetryRules
from harriertrack.decisions.splitting import Outcome
from harriertrack.gateway.regional import Regional
from harriertrack.runtime.hub import Hub, Timer

VERDICT_US = 10_000  # the layer, or the other region's head, has refused by then what it refuses at once
ANYWHERE = (-1, "")  # a volume's requests wait in one line: who holds it decides for all


@dataclass(slots=True, eq=False)
class RegionalRetry:
    """A client's request, and the request that the layer has for it now."""

    visits: RegionalRetries
    request: ClientRequest
    ticket: int
    timer: Timer | None = None
    inner: ClientRequest | None = None

    def answer(self, inner: ClientRequest) -> None:
        """Take the layer's answer to one asking."""
        self.visits.attempt_ended(self, inner)


class RegionalRetries:
    """All of one head."""

    def __init__(self, hub: Hub, regional: Regional, rules: RetryRules, tick_us: int,
                 ended: Callable[[ClientRequest], None]) -> None:  # fmt: skip
        self._hub, self._regional, self._tick, self._ended = hub, regional, tick_us, ended
        self._patience: RetryQueue[RegionalRetry] = RetryQueue(rules, VERDICT_US)
        self._of: dict[ClientRequest, RegionalRetry] = {}
        self._timer: Timer | None = None
        self._tickets = 0
        self.closing = ""

    def __len__(self) -> int:
        return len(self._of)

    def submit(self, request: ClientRequest) -> None:
        """Take a client's request: from now on it is owed one final answer."""
        now = self._hub.now()
        request.deadline = min(request.arrived_at or now, now) + request.patience_us
        self._tickets += 1
        visit = self._of[request] = RegionalRetry(self, request, self._tickets)
        last = max(now, request.deadline - ANSWER_TICKS * self._tick)
        visit.timer = self._hub.at(last, lambda: self._time_up(visit))
        name = request.volume.settings.name
        if self._patience.has_waiting((name, *ANYWHERE)):
            self._patience.add(now, visit, visit.ticket, (name, *ANYWHERE))
            self._wake()
        else:
            self._ask(visit)

    def set_rules(self, now: int, rules: RetryRules) -> None:
        """Go by other bounds from now on."""
        self._patience.set_rules(now, rules)

    def _ask(self, visit: RegionalRetry) -> None:
        asked = visit.request
        visit.inner = ClientRequest(
            asked.volume, asked.kind, asked.offset, asked.length, asked.data, asked.flags, visit,
            deadline=asked.deadline,
        )  # fmt: skip
        self._regional.submit(visit.inner)

    def attempt_ended(self, visit: RegionalRetry, inner: ClientRequest) -> None:
        """The layer gave one asking up, or served it."""
        request, now = visit.request, self._hub.now()
        visit.inner = None
        if inner.outcome is Outcome.REFUSED and not self.closing:
            if now < request.deadline - ANSWER_TICKS * self._tick:
                place = (request.volume.settings.name, *ANYWHERE)
                self._patience.add(now, visit, visit.ticket, place, inner.hint_us)
                self._wake()
                return
        request.outcome, request.pieces = inner.outcome, inner.pieces
        request.reason, request.hint_us = self.closing or inner.reason, inner.hint_us
        self._finish(visit)

    def _finish(self, visit: RegionalRetry) -> None:
        self._forget(visit)
        self._ended(visit.request)
        visit.request.requester.answer(visit.request)

    def _forget(self, visit: RegionalRetry) -> None:
        self._patience.discard(visit)
        del self._of[visit.request]
        if visit.timer is not None:
            visit.timer.cancel()

    def _time_up(self, visit: RegionalRetry) -> None:
        """The last moment at which "not done" is honest; what is being asked has its own, no later one."""
        if visit in self._patience:
            visit.request.outcome, visit.request.reason = Outcome.REFUSED, self.closing
            self._finish(visit)

    def client_left(self, request: ClientRequest) -> None:
        """The client left: no answer is owed any more."""
        visit = self._of.get(request)
        if visit is not None:
            self._forget(visit)
            if visit.inner is not None:
                self._regional.client_left(visit.inner)

    def close(self, why: str) -> None:
        """Let nothing wait any more."""
        self.closing = why
        for visit in list(self._of.values()):
            self._time_up(visit)

    def _wake(self) -> None:
        at = self._patience.next_due_at(self._hub.now())
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None if at is None else self._hub.at(at, self._offer)

    def _offer(self) -> None:
        for visit in self._patience.take_due(self._hub.now()):
            self._ask(visit)
        self._wake()
