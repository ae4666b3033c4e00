"""Stand-ins for the users' platform: its clients, and the account that they keep of what they got.

Clients send one request at a time on a connection, keep connections and open more when all are busy, and send
once more on a new connection what crossed a close. Each class and each tenant has an account of its own.
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
    500_000  # an answer so long after its time only earns nothing; after that the request is lost
)
CROSSED_CLOSE_US = 20_000  # a connection that ends so soon after a request has crossed it


class RequestOutcome(StrEnum):
    """What became of a request, as its client sees it."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    NOT_CONNECTED = "not taken"  # no new connection came up, not even for what had crossed a close
    CLOSED = "closed"  # its new connection ended without an answer: counts as refused, and is priced
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
    """What became of one kind's requests."""

    outcomes: Counter[RequestOutcome] = field(default_factory=Counter)
    refused_with_hint: int = 0  # refused with a time to come back
    longest_wait_us: int = 0  # the longest that any waited for its answer, ...
    longest_refusal_us: int = 0  # ... and the longest that one waited for being refused

    @property
    def offered(self) -> int:
        """Return how many were sent."""
        return self.outcomes.total()

    @property
    def served_share(self) -> float:
        """Return the share that was served."""
        return self.outcomes[RequestOutcome.SERVED] / max(1, self.offered)


class PlatformClients:
    """Sends the kinds in turn, one request each `gap_us`; `form` words one from its kind and number."""

    def __init__(self, hub: Hub, network: Network, address: tuple[str, int], kinds: Sequence[RequestKind],
                 form: Callable[[RequestKind, int], bytes], gap_us: int) -> None:  # fmt: skip
        self._hub, self._network, self._address = hub, network, address
        self._kinds, self._form, self._gap_us = kinds, form, gap_us
        self._idle: list[Stream] = []
        self._number = 0
        self.stats = {kind: OutcomeStats() for kind in kinds}
        self.no_new_connections_from_us: int | None = (
            None  # from then on they use the connections they have and open none
        )

    def run(self, until: int) -> None:
        """Send until a time, and return when all have their answers or are lost (a task)."""
        with self._hub.scope("clients") as asks:
            while self._hub.now() < until:
                kind = self._kinds[self._number % len(self._kinds)]
                self._number += 1
                asks.spawn("ask", self._ask, kind, self._form(kind, self._number))
                self._hub.sleep(self._gap_us)

    def served_share_by_class(self) -> dict[str, float]:
        """Return the share served of each class."""
        return self._shares(lambda kind: kind.name)

    def served_share_by_tenant(self) -> dict[str, float]:
        """Return the share served of each tenant."""
        return self._shares(lambda kind: kind.plan)

    def _shares(self, name: Callable[[RequestKind], str]) -> dict[str, float]:
        offered: Counter[str] = Counter()
        served: Counter[str] = Counter()
        for kind, account in self.stats.items():
            offered[name(kind)] += account.offered
            served[name(kind)] += account.outcomes[RequestOutcome.SERVED]
        return {one: served[one] / max(1, offered[one]) for one in offered}

    def outcomes(self) -> Counter[RequestOutcome]:
        """Return what became of all requests."""
        return sum((account.outcomes for account in self.stats.values()), Counter[RequestOutcome]())

    def _ask(self, kind: RequestKind, request: bytes) -> None:
        began, account = self._hub.now(), self.stats[kind]
        until, stream = began + kind.deadline_us, self._kept()
        if (
            stream is None
            and self.no_new_connections_from_us is not None
            and began >= self.no_new_connections_from_us
        ):
            return  # there is nobody to ask
        end: RequestOutcome | None = None
        if stream is not None:
            stream.write(request)
            end = self._answered(stream, account, until)
            if end is None and self._hub.now() > began + CROSSED_CLOSE_US:
                end = RequestOutcome.LOST
        if end is None:  # no connection was free, or its end crossed the request
            end = self._ask_anew(request, account, until)
        took = self._hub.now() - began
        account.outcomes[end] += 1
        account.longest_wait_us = max(account.longest_wait_us, took)
        if end is RequestOutcome.REFUSED:
            account.longest_refusal_us = max(account.longest_refusal_us, took)

    def _ask_anew(self, request: bytes, account: OutcomeStats, until: int) -> RequestOutcome:
        try:
            stream = self._network.connect(self._address, until, "client")
        except (OSError, DeadlineExceeded):
            return RequestOutcome.NOT_CONNECTED
        stream.write(request)
        return self._answered(stream, account, until) or RequestOutcome.CLOSED

    def _kept(self) -> Stream | None:
        while self._idle:
            stream = self._idle.pop()
            if stream.silent():
                return stream
            stream.close()
        return None

    def _answered(self, stream: Stream, account: OutcomeStats, deadline: int) -> RequestOutcome | None:
        """Wait for the answer; None for a connection that ended without one."""
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
        account.refused_with_hint += status in (429, 503) and "retry-after" in fields
        return (
            RequestOutcome.SERVED
            if status == 200
            else RequestOutcome.REFUSED
            if status in (429, 503)
            else RequestOutcome.FAILED
        )
