"""The history of a run: its recording in order of time, by request, head and node.

Attempts that nodes received are matched to clients' requests by volume, kind and byte range. For this the
clients of a run never use a start or end offset twice for requests of one kind on one volume;
`AmbiguousRecording` is raised if they do.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from harriertrack.rules import recording as rec


class AmbiguousRecording(Exception):
    """An attempt matches several requests because the clients reused an offset."""


@dataclass(slots=True, eq=False)
class RequestHistory:
    """A client's request with its final answers and the attempts for it that nodes received."""

    sent: rec.RequestSent
    deadline_at_us: int
    answers: list[rec.FinalAnswer] = field(default_factory=list)
    received: list[rec.AttemptReceived] = field(default_factory=list)
    excused_at_us: int | None = None  # when its client disconnected or its head was killed

    @property
    def name(self) -> str:
        """Describe the request for reports."""
        sent = self.sent
        return (
            f"request {sent.request} of {sent.client} ({sent.kind} {sent.volume}@{sent.offset}+{sent.length})"
        )


class RunHistory:
    """A recording in order of time, with attempts matched to requests."""

    def __init__(self, records: Iterable[rec.Record]) -> None:
        records = list(records)
        self.operations = [
            one for one in records if isinstance(one, rec.OperationCalled | rec.OperationReturned)
        ]
        self.facts = next(record for record in records if isinstance(record, rec.Facts))
        self.classes = {one.name: one for one in self.facts.classes}
        self.requests: list[RequestHistory] = []
        self.received: list[rec.AttemptReceived] = []
        self.attempts_sent: list[rec.AttemptSent] = []
        self.attempts: dict[tuple[int, int], list[rec.AttemptReceived]] = defaultdict(list)
        self.executed: dict[tuple[int, int], list[rec.AttemptExecuted]] = defaultdict(list)
        self.node_answers: dict[tuple[int, int, int], list[rec.AttemptAnswered]] = defaultdict(list)
        self.node_listings: list[rec.NodeListed] = []
        self.node_events: list[rec.NodeLifecycle] = []
        self.limit_changes: list[rec.LimitChanged] = []
        self.heads: dict[int, str] = {}
        self.started_at: dict[int, int] = {}  # by the number of a head's process
        self.request_times: dict[str, list[int]] = defaultdict(list)
        self.stray_answers: list[rec.FinalAnswer] = []
        self.machine_pauses: dict[int, int] = {}  # start and length of pauses of the whole machine
        self._by_client_and_number: dict[tuple[str, int], RequestHistory] = {}
        self._open_by_client: dict[str, dict[int, RequestHistory]] = defaultdict(dict)
        self._clients_by_head: dict[str, set[str]] = defaultdict(set)
        self._pauses_by_head: dict[str, list[rec.HeadPaused]] = defaultdict(list)
        others = (one for one in records if not isinstance(one, rec.Facts))
        for record in sorted(others, key=lambda one: one.t):
            self._add(record)
        self._extend_deadlines()
        self._match_attempts()
        self.request_of_key: dict[tuple[int, int], RequestHistory] = {}
        for request in self.requests:
            for attempt in request.received:
                if attempt.key:
                    self.request_of_key[attempt.head, attempt.key] = request

    def _add(self, record: rec.Record) -> None:
        match record:
            case rec.RequestSent():
                self._add_request(record)
            case rec.FinalAnswer():
                self._add_answer(record)
            case rec.ClientLeft():
                self._excuse([record.client], record.t)
            case rec.HeadPaused():
                self._pauses_by_head[record.head].append(record)
                if record.machine:
                    self.machine_pauses[record.t] = max(self.machine_pauses.get(record.t, 0), record.us)
            case rec.HeadLifecycle() if record.up:
                self.heads[record.number], self.started_at[record.number] = record.head, record.t
            case rec.HeadLifecycle():
                self._excuse(self._clients_by_head[record.head], record.t)
            case rec.AttemptSent():
                self.attempts_sent.append(record)
            case rec.AttemptReceived():
                self.received.append(record)
                self.attempts[record.head, record.key].append(record)
            case rec.AttemptExecuted():
                self.executed[record.head, record.key].append(record)
            case rec.AttemptAnswered():
                self.node_answers[record.head, record.key, record.attempt].append(record)
            case rec.NodeListed():
                self.node_listings.append(record)
            case rec.NodeLifecycle():
                self.node_events.append(record)
            case rec.LimitChanged():
                self.limit_changes.append(record)

    def _add_request(self, sent: rec.RequestSent) -> None:
        wait_us = max(self.classes[sent.class_name].deadline_us, sent.patience_us)
        request = RequestHistory(sent, sent.t + wait_us)
        self.requests.append(request)
        self._by_client_and_number[sent.client, sent.request] = request
        self._open_by_client[sent.client][sent.request] = request
        self._clients_by_head[sent.head].add(sent.client)
        self.request_times[sent.head].append(sent.t)

    def _add_answer(self, answer: rec.FinalAnswer) -> None:
        request = self._by_client_and_number.get((answer.client, answer.request))
        if request is None:
            self.stray_answers.append(answer)
            return
        request.answers.append(answer)
        self._open_by_client[answer.client].pop(answer.request, None)

    def _excuse(self, clients: Iterable[str], t: int) -> None:
        """Note that nobody can answer the open requests of these clients any more."""
        for client in clients:
            for request in self._open_by_client.pop(client, {}).values():
                request.excused_at_us = t

    def _extend_deadlines(self) -> None:
        """Extend the deadlines of requests by pauses of their head in which they could not be answered."""
        for request in self.requests:
            for pause in self._pauses_by_head[request.sent.head]:
                resumed_at_us = pause.t + pause.us
                if pause.unread and pause.t <= request.sent.t < resumed_at_us:
                    request.deadline_at_us += resumed_at_us - request.sent.t
                elif pause.t <= request.deadline_at_us < resumed_at_us:
                    request.deadline_at_us = resumed_at_us

    def _match_attempts(self) -> None:
        by_start: dict[tuple[str, str, int], list[RequestHistory]] = defaultdict(list)
        by_end: dict[tuple[str, str, int], list[RequestHistory]] = defaultdict(list)
        for request in self.requests:
            sent = request.sent
            if sent.kind != "flush":
                by_start[sent.volume, sent.kind, sent.offset].append(request)
                by_end[sent.volume, sent.kind, sent.offset + sent.length].append(request)
        for attempt in self.received:
            end = attempt.offset + attempt.length
            candidates = {
                id(one): one for one in by_start.get((attempt.volume, attempt.kind, attempt.offset), ())
            }
            candidates.update((id(one), one) for one in by_end.get((attempt.volume, attempt.kind, end), ()))
            # A part is the request's whole range in its extent, so a request that merely covers the attempt's
            # range is no match.
            extent_start = attempt.offset - attempt.offset % self.facts.extent_bytes
            matching = [
                one
                for one in candidates.values()
                if one.sent.t <= attempt.t
                and max(one.sent.offset, extent_start) == attempt.offset
                and min(one.sent.offset + one.sent.length, extent_start + self.facts.extent_bytes) == end
            ]
            if len(matching) > 1:
                raise AmbiguousRecording(
                    f"{attempt.kind} {attempt.volume}@{attempt.offset}+{attempt.length}"
                    " may belong to several requests"
                )
            if matching:
                matching[0].received.append(attempt)

    def head_name(self, number: int) -> str:
        """Return the name of the head that one of its processes has as its number; the number if unknown."""
        return self.heads.get(number, str(number))

    def max_flight_us(self, sent_at_us: int, received_at_us: int) -> int:
        """Return how long an attempt sent at one time may take if it is received at another."""
        return self.facts.flight_us + self.machine_paused_us(sent_at_us, received_at_us)

    def machine_paused_us(self, begin_us: int, end_us: int) -> int:
        """Return how long the whole machine was paused between two times."""
        pauses = ((max(t, begin_us), min(t + us, end_us)) for t, us in self.machine_pauses.items())
        return sum(max(0, end - begin) for begin, end in pauses)

    def units(self, attempt: rec.AttemptReceived) -> float:
        """Return the cost of an attempt: its length in units, rounded up, at least one."""
        return float(max(1, -(-attempt.length // self.facts.unit_bytes)))

    def is_sent_for_client(self, request: RequestHistory, attempt: rec.AttemptReceived) -> bool:
        """Return whether an attempt serves the client itself, not replication.

        With two regions, only the head that sent the request's first attempt serves the client.
        """
        return not self.facts.regions or attempt.head == request.received[0].head

    def is_proven_unexecuted(self, attempt: rec.AttemptReceived) -> bool:
        """Return whether the node answered that this attempt was never executed."""
        return any(
            answer.result == "unseen"
            for answer in self.node_answers.get((attempt.head, attempt.key, attempt.attempt), ())
        )
