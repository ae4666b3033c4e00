"""Stand-ins for the users' platform: its clients, which count the outcomes of their requests.

A connection carries one request at a time. Clients reuse idle connections, open new ones when all are busy,
and repeat a request once on a new connection if its connection was closed at the time it was sent. Outcomes
are counted for each class and tenant.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from harriertrack.runtime.hub import DeadlineExceeded, Hub
from harriertrack.runtime.streams import Network, Stream
from harriertrack.standin.platform import header_fields, read_message

LATE_ANSWER_US = (
    500_000  # how long after its deadline an answer still counts as late; then the request is lost
)
CROSSED_CLOSE_US = 20_000  # a close this soon after a request was sent is taken to have crossed it


class RequestOutcome(StrEnum):
    """The outcome of a request, as its client sees it."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    NOT_CONNECTED = "not taken"  # no new connection was opened, not even for a request that crossed a close
    CLOSED = "closed"  # its new connection was closed without an answer: counts as refused, and is priced
    LATE = "late"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class RequestKind:
    """Requests of one class under one tenant's plan; `deadline_us` is how long the client waits."""

    name: str
    plan: str
    is_write: bool
    deadline_us: int


@dataclass(slots=True)
class OutcomeStats:
    """The outcomes of one kind's requests."""

    outcomes: Counter[RequestOutcome] = field(default_factory=Counter)
    refused_with_hint: int = 0  # refused with a Retry-After field
    longest_wait_us: int = 0  # longest time from a request to its outcome
    longest_refusal_us: int = 0  # longest time from a request to its refusal

    @property
    def offered(self) -> int:
        """Return the number of requests with an outcome."""
        return self.outcomes.total()

    @property
    def served_share(self) -> float:
        """Return the share of requests that were served."""
        return self.outcomes[RequestOutcome.SERVED] / max(1, self.offered)


class PlatformClients:
    """Sends requests of the kinds in turn, one every `gap_us`; `form` builds one from its kind and number."""

    def __init__(self, hub: Hub, network: Network, address: tuple[str, int], kinds: Sequence[RequestKind],
                 form: Callable[[RequestKind, int], bytes], gap_us: int) -> None:  # fmt: skip
        self._hub, self._network, self._address = hub, network, address
        self._kinds, self._form, self._gap_us = kinds, form, gap_us
        self._idle: list[Stream] = []
        self._number = 0
        self.stats = {kind: OutcomeStats() for kind in kinds}
        # After this time, requests are sent only on idle connections; None: never.
        self.no_new_connections_from_us: int | None = None

    def run(self, until: int) -> None:
        """Send requests until a time; return when all of them have an outcome (task body)."""
        with self._hub.scope("clients") as scope:
            while self._hub.now() < until:
                kind = self._kinds[self._number % len(self._kinds)]
                self._number += 1
                scope.spawn("ask", self._send, kind, self._form(kind, self._number))
                self._hub.sleep(self._gap_us)

    def served_share_by_class(self) -> dict[str, float]:
        """Return the share of requests served, by class."""
        return self._served_shares(lambda kind: kind.name)

    def served_share_by_tenant(self) -> dict[str, float]:
        """Return the share of requests served, by tenant."""
        return self._served_shares(lambda kind: kind.plan)

    def _served_shares(self, group_of: Callable[[RequestKind], str]) -> dict[str, float]:
        offered: Counter[str] = Counter()
        served: Counter[str] = Counter()
        for kind, stats in self.stats.items():
            offered[group_of(kind)] += stats.offered
            served[group_of(kind)] += stats.outcomes[RequestOutcome.SERVED]
        return {group: served[group] / max(1, offered[group]) for group in offered}

    def outcomes(self) -> Counter[RequestOutcome]:
        """Return the outcomes of all requests."""
        return sum((stats.outcomes for stats in self.stats.values()), Counter[RequestOutcome]())

    def _send(self, kind: RequestKind, request: bytes) -> None:
        sent_at_us, stats = self._hub.now(), self.stats[kind]
        deadline, stream = sent_at_us + kind.deadline_us, self._take_idle()
        if (
            stream is None
            and self.no_new_connections_from_us is not None
            and sent_at_us >= self.no_new_connections_from_us
        ):
            return  # not sent, and not counted
        outcome: RequestOutcome | None = None
        if stream is not None:
            stream.write(request)
            outcome = self._await_answer(stream, stats, deadline)
            if outcome is None and self._hub.now() > sent_at_us + CROSSED_CLOSE_US:
                outcome = RequestOutcome.LOST
        if outcome is None:  # no connection was idle, or its close crossed the request
            outcome = self._send_on_new_connection(request, stats, deadline)
        duration_us = self._hub.now() - sent_at_us
        stats.outcomes[outcome] += 1
        stats.longest_wait_us = max(stats.longest_wait_us, duration_us)
        if outcome is RequestOutcome.REFUSED:
            stats.longest_refusal_us = max(stats.longest_refusal_us, duration_us)

    def _send_on_new_connection(self, request: bytes, stats: OutcomeStats, deadline: int) -> RequestOutcome:
        try:
            stream = self._network.connect(self._address, deadline, "client")
        except (OSError, DeadlineExceeded):
            return RequestOutcome.NOT_CONNECTED
        stream.write(request)
        return self._await_answer(stream, stats, deadline) or RequestOutcome.CLOSED

    def _take_idle(self) -> Stream | None:
        while self._idle:
            stream = self._idle.pop()
            if stream.silent():
                return stream
            stream.close()
        return None

    def _await_answer(self, stream: Stream, stats: OutcomeStats, deadline: int) -> RequestOutcome | None:
        """Wait for the answer; return None for a connection that was closed without one."""
        try:
            head, _, _ = read_message(stream, b"", deadline + LATE_ANSWER_US)
        except DeadlineExceeded:
            stream.close()
            return RequestOutcome.LOST
        except OSError:
            return None
        if not head:
            return None
        fields = header_fields(head)
        if fields.get("connection") == "close":
            stream.close()
        else:
            self._idle.append(stream)
        if self._hub.now() > deadline:
            return RequestOutcome.LATE
        status = int(head.split(b" ")[1])
        stats.refused_with_hint += status in (429, 503) and "retry-after" in fields
        return (
            RequestOutcome.SERVED
            if status == 200
            else RequestOutcome.REFUSED
            if status in (429, 503)
            else RequestOutcome.FAILED
        )
