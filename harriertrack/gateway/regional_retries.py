"""Retries for clients that wait on volumes of two regions: requests that the regional layer refuses.

Each retry is a new request to that layer, which checks again who holds the volume and under which epoch, so a
request that waited is never done under an old epoch. The client's request gets one answer.
`decisions/retry_queue.py` decides what waits and when it is retried.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from harriertrack.decisions.requests import ANSWER_TICKS, ClientRequest
from harriertrack.decisions.retry_queue import RetryQueue, RetryRules
from harriertrack.decisions.splitting import Outcome
from harriertrack.gateway.regional import Regional
from harriertrack.runtime.hub import Hub, Timer

VERDICT_US = 10_000  # by then an immediate refusal by the layer or the other region's head has arrived
ANYWHERE = (-1, "")  # all requests of a volume wait in one queue: its holder decides for all


@dataclass(slots=True, eq=False)
class RegionalRetry:
    """A client's request, and the current attempt at the regional layer."""

    owner: RegionalRetries
    request: ClientRequest
    ticket: int
    timer: Timer | None = None
    inner: ClientRequest | None = None

    def answer(self, inner: ClientRequest) -> None:
        """Handle the layer's answer to one attempt."""
        self.owner.attempt_ended(self, inner)


class RegionalRetries:
    """All retried requests of one head."""

    def __init__(self, hub: Hub, regional: Regional, rules: RetryRules, tick_us: int,
                 on_end: Callable[[ClientRequest], None]) -> None:  # fmt: skip
        self._hub, self._regional, self._tick, self._on_end = hub, regional, tick_us, on_end
        self._queue: RetryQueue[RegionalRetry] = RetryQueue(rules, VERDICT_US)
        self._retries: dict[ClientRequest, RegionalRetry] = {}
        self._timer: Timer | None = None
        self._tickets = 0
        self.closing = ""

    def __len__(self) -> int:
        return len(self._retries)

    def submit(self, request: ClientRequest) -> None:
        """Accept a client's request; it will get one final answer unless its client leaves."""
        now = self._hub.now()
        request.deadline = min(request.arrived_at or now, now) + request.patience_us
        self._tickets += 1
        retry = self._retries[request] = RegionalRetry(self, request, self._tickets)
        last = max(now, request.deadline - ANSWER_TICKS * self._tick)
        retry.timer = self._hub.at(last, lambda: self._refuse_waiting(retry))
        name = request.volume.settings.name
        if self._queue.has_waiting((name, *ANYWHERE)):
            self._queue.add(now, retry, retry.ticket, (name, *ANYWHERE))
            self._wake()
        else:
            self._attempt(retry)

    def set_rules(self, now: int, rules: RetryRules) -> None:
        """Apply new retry rules."""
        self._queue.set_rules(now, rules)

    def _attempt(self, retry: RegionalRetry) -> None:
        request = retry.request
        retry.inner = ClientRequest(
            request.volume, request.kind, request.offset, request.length, request.data, request.flags, retry,
            deadline=request.deadline,
        )  # fmt: skip
        self._regional.submit(retry.inner)

    def attempt_ended(self, retry: RegionalRetry, inner: ClientRequest) -> None:
        """Answer the client, or queue a retry if the layer refused and time is left."""
        request, now = retry.request, self._hub.now()
        retry.inner = None
        if inner.outcome is Outcome.REFUSED and not self.closing:
            if now < request.deadline - ANSWER_TICKS * self._tick:
                queue_key = (request.volume.settings.name, *ANYWHERE)
                self._queue.add(now, retry, retry.ticket, queue_key, inner.hint_us)
                self._wake()
                return
        request.outcome, request.pieces = inner.outcome, inner.pieces
        request.reason, request.hint_us = self.closing or inner.reason, inner.hint_us
        self._finish(retry)

    def _finish(self, retry: RegionalRetry) -> None:
        self._forget(retry)
        self._on_end(retry.request)
        retry.request.requester.answer(retry.request)

    def _forget(self, retry: RegionalRetry) -> None:
        self._queue.discard(retry)
        del self._retries[retry.request]
        if retry.timer is not None:
            retry.timer.cancel()

    def _refuse_waiting(self, retry: RegionalRetry) -> None:
        """Refuse a waiting request while "not done" still arrives in time; open attempts have a deadline."""
        if retry in self._queue:
            retry.request.outcome, retry.request.reason = Outcome.REFUSED, self.closing
            self._finish(retry)

    def client_left(self, request: ClientRequest) -> None:
        """Drop a request whose client left, without an answer."""
        retry = self._retries.get(request)
        if retry is not None:
            self._forget(retry)
            if retry.inner is not None:
                self._regional.client_left(retry.inner)

    def close(self, why: str) -> None:
        """Refuse all waiting requests."""
        self.closing = why
        for retry in list(self._retries.values()):
            self._refuse_waiting(retry)

    def _wake(self) -> None:
        at = self._queue.next_due_at(self._hub.now())
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None if at is None else self._hub.at(at, self._retry_due)

    def _retry_due(self) -> None:
        for retry in self._queue.take_due(self._hub.now()):
            self._attempt(retry)
        self._wake()
