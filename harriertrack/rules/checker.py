"""Checks a recording of requests against the rules 0 to 9; 8 is for fleets of cells, 9 for waiting requests.

Each rule is a function that yields the breaches it finds in the `RunHistory` of a run; a breach names the
rule, the time, and the request or node. Attempts that nodes received are matched to clients' requests by
volume, kind and byte range. For this the clients of a run never use a start or end offset twice for requests
of one kind on one volume; `AmbiguousRecording` is raised if they do.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from harriertrack.rules import recording as rec
from harriertrack.rules.linearizability import broken_blocks

MODIFYING_KINDS = ("write", "trim", "write-zeroes")
REFUSAL_LEAD_US = 10_000  # a final refusal may be sent this long before the client's wait limit


class AmbiguousRecording(Exception):
    """An attempt matches several requests because the clients reused an offset."""


@dataclass(frozen=True, slots=True)
class Breach:
    """One broken rule."""

    rule: int
    t: int
    who: str
    why: str

    def __str__(self) -> str:
        return f"rule {self.rule} at {self.t} us: {self.who}: {self.why}"


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
        by_client_and_number: dict[tuple[str, int], RequestHistory] = {}
        open_by_client: dict[str, dict[int, RequestHistory]] = defaultdict(dict)
        clients_by_head: dict[str, set[str]] = defaultdict(set)
        pauses_by_head: dict[str, list[rec.HeadPaused]] = defaultdict(list)
        for record in sorted(
            (one for one in records if not isinstance(one, rec.Facts)), key=lambda one: one.t
        ):
            match record:
                case rec.RequestSent():
                    wait_us = max(self.classes[record.class_name].deadline_us, record.patience_us)
                    request = RequestHistory(record, record.t + wait_us)
                    self.requests.append(request)
                    by_client_and_number[record.client, record.request] = request
                    open_by_client[record.client][record.request] = request
                    clients_by_head[record.head].add(record.client)
                    self.request_times[record.head].append(record.t)
                case rec.FinalAnswer():
                    answered = by_client_and_number.get((record.client, record.request))
                    if answered is None:
                        self.stray_answers.append(record)
                    else:
                        answered.answers.append(record)
                        open_by_client[record.client].pop(record.request, None)
                case rec.ClientLeft():
                    for request in open_by_client.pop(record.client, {}).values():
                        request.excused_at_us = record.t
                case rec.HeadPaused():
                    pauses_by_head[record.head].append(record)
                    if record.machine:
                        self.machine_pauses[record.t] = max(self.machine_pauses.get(record.t, 0), record.us)
                case rec.HeadLifecycle() if record.up:
                    self.heads[record.number], self.started_at[record.number] = record.head, record.t
                case rec.HeadLifecycle():
                    for client in clients_by_head[record.head]:
                        for request in open_by_client.pop(client, {}).values():
                            request.excused_at_us = record.t
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
        for request in self.requests:
            for pause in pauses_by_head[request.sent.head]:
                resumed_at_us = pause.t + pause.us
                if pause.unread and pause.t <= request.sent.t < resumed_at_us:
                    request.deadline_at_us += resumed_at_us - request.sent.t
                elif pause.t <= request.deadline_at_us < resumed_at_us:
                    request.deadline_at_us = resumed_at_us
        self._match_attempts()
        self.request_of_key: dict[tuple[int, int], RequestHistory] = {}
        for request in self.requests:
            for attempt in request.received:
                if attempt.key:
                    self.request_of_key[attempt.head, attempt.key] = request

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


def every_request_answered_once(run: RunHistory) -> Iterator[Breach]:
    """Rule 1: each request gets one final answer in time, and no attempt is sent for it afterwards."""
    slack, flight = run.facts.answer_slack_us, run.facts.flight_us
    for stray in run.stray_answers:
        yield Breach(1, stray.t, f"{stray.client}", "an answer that no open request fits")
    for request in run.requests:
        answers = request.answers
        if len(answers) > 1:
            yield Breach(1, answers[1].t, request.name, f"{len(answers)} final answers")
        if not answers and request.excused_at_us is None:
            yield Breach(1, request.deadline_at_us, request.name, "no final answer")
        ended = request.excused_at_us if not answers else answers[0].t
        late_us = answers[0].t - request.deadline_at_us if answers else 0
        if late_us > slack and late_us > slack + run.machine_paused_us(request.deadline_at_us, answers[0].t):
            yield Breach(1, answers[0].t, request.name, f"answered {late_us} us after its time was up")
        for attempt in request.received:
            late = (
                ended is not None
                and attempt.t > ended + flight
                and attempt.t > ended + run.max_flight_us(ended, attempt.t)
            )
            if ended is not None and late and run.is_sent_for_client(request, attempt):
                yield Breach(
                    1,
                    attempt.t,
                    request.name,
                    f"sent to {attempt.node} {attempt.t - ended} us after it was over",
                )


def no_effect_twice(run: RunHistory) -> Iterator[Breach]:
    """Rule 2: nothing is executed twice unless the class allows it, and a refused request has no effect."""
    for key, executed in run.executed.items():
        first = run.attempts[key][0] if key[1] and run.attempts[key] else None
        if first is not None and first.kind in MODIFYING_KINDS and len(executed) > 1:
            owner = run.request_of_key.get(key)
            if owner is None or run.classes[owner.sent.class_name].effect != "safe":
                yield Breach(2, executed[1].t, _name(run, key), f"ran {len(executed)} times")
    for key, attempts in run.attempts.items():
        owner = run.request_of_key.get(key)
        if owner is None or not key[1]:
            continue
        facts = run.classes[owner.sent.class_name]
        earlier: list[rec.AttemptReceived] = []  # attempts that may have been executed
        for attempt in attempts:
            if earlier and facts.effect == "unsafe":
                yield Breach(2, attempt.t, owner.name, f"sent again to {attempt.node} though it may have run")
            elif earlier and facts.effect == "keyed":
                if attempt.shard != earlier[0].shard:
                    yield Breach(2, attempt.t, owner.name, f"sent again outside the rack, to {attempt.node}")
                if attempt.t > earlier[0].t + facts.window_us + run.facts.flight_us:
                    yield Breach(
                        2, attempt.t, owner.name, f"sent again to {attempt.node} after the rack's window"
                    )
            if not run.is_proven_unexecuted(attempt):
                earlier.append(attempt)
    for request in run.requests:
        if request.sent.kind not in MODIFYING_KINDS or not any(
            answer.outcome == "refused" for answer in request.answers
        ):
            continue
        for attempt in request.received:
            # Without the extension attempts have no key, so each one received counts as executed.
            if run.executed.get((attempt.head, attempt.key)) if attempt.key else True:
                yield Breach(
                    2, attempt.t, request.name, f"refused, though it ran or may have run at {attempt.node}"
                )


def drains_kept(run: RunHistory) -> Iterator[Breach]:
    """Rule 3: a head sends a draining node nothing new after the grace, counted from the list it received.

    What one process of a head received holds against its later processes too: a restart begins no new grace.
    """
    listings: dict[tuple[str, str], list[rec.NodeListed]] = defaultdict(list)
    for listing in run.node_listings:
        listings[run.head_name(listing.head), listing.node].append(listing)
    for t, head, node, flight in _sends(run):
        name = run.head_name(head)
        late = _since_drain_us(listings.get((name, node), ()), t)
        if late > run.facts.drain_grace_us + flight:
            yield Breach(3, t, f"{name} to {node}", f"sent {late} us after it was told of the drain")


def drains_kept_by_all(run: RunHistory) -> Iterator[Breach]:
    """Rule 3, stricter for two regions: the grace runs from when the first head received the list."""
    if not run.facts.regions:
        return
    listings: dict[str, list[rec.NodeListed]] = defaultdict(list)
    for listing in run.node_listings:
        listings[listing.node].append(listing)
    for t, _, node, flight in _sends(run):
        late = _since_drain_us(listings[node], t)
        if late > run.facts.drain_grace_us + flight:
            yield Breach(3, t, node, f"sent {late} us after some head was told of the drain")


def _sends(run: RunHistory) -> Iterator[tuple[int, int, str, int]]:
    """Yield (time, head, node, allowance) of each attempt, by the sender's and by the receiver's time."""
    for sent in run.attempts_sent:
        yield sent.t, sent.head, sent.node, 0
    for attempt in run.received:
        yield attempt.t, attempt.head, attempt.node, run.facts.flight_us


def _since_drain_us(listings: Iterable[rec.NodeListed], t: int) -> int:
    """Return how long at time `t` a node has been listed as draining; -1 if it is not."""
    draining_since_us: int | None = None
    for listing in listings:
        if listing.t > t:
            break
        draining_since_us = (
            None if listing.state == "up" else listing.t if draining_since_us is None else draining_since_us
        )
    return -1 if draining_since_us is None else t - draining_since_us


def cells_kept(run: RunHistory) -> Iterator[Breach]:
    """Rule 8, for a fleet divided into cells: requests go only to nodes of their volume's cell."""
    facts = run.facts
    for attempt in run.received if facts.cell_of_volume else ():
        cell = facts.cell_of_volume.get(attempt.volume)
        node_cell = facts.cell_of_shard.get(str(attempt.shard))
        if cell is not None and cell != node_cell:
            yield Breach(
                8, attempt.t, f"{attempt.volume} to {attempt.node}", f"{cell} reached a node of {node_cell}"
            )


def patience_kept(run: RunHistory) -> Iterator[Breach]:
    """Rule 9, for requests that wait in heads: none is refused before its client's wait limit.

    A request refused earlier could have waited longer; a failure may come at any time.
    """
    slack = run.facts.answer_slack_us + REFUSAL_LEAD_US
    for request in run.requests:
        if not request.sent.patience_us:
            continue
        limit_at_us = request.sent.t + request.sent.patience_us
        for answer in request.answers:
            if answer.outcome == "refused" and answer.t < limit_at_us - slack:
                remaining = limit_at_us - answer.t
                yield Breach(
                    9, answer.t, request.name, f"refused {remaining} us before its patience was over"
                )


def cold_nodes_spared(run: RunHistory) -> Iterator[Breach]:
    """Rule 4: all heads together send a cold node at most a multiple of its capacity at the time.

    A head that was told of the node's start knows it in its later processes too.
    """
    facts = run.facts
    for event in run.node_events:
        if event.state == "fell":
            yield Breach(4, event.t, event.node, "fell over")
    if not facts.fall_us:
        return
    by_node: dict[str, list[rec.AttemptReceived]] = defaultdict(list)
    for attempt in run.received:
        by_node[attempt.node].append(attempt)
    for start in run.node_events:
        if start.state != "started" or start.cold_share >= 1:
            continue
        warm_at_us = start.t + start.warm_us
        attempts = [attempt for attempt in by_node[start.node] if start.t <= attempt.t < warm_at_us]
        informed = {
            run.head_name(one.head)
            for one in run.node_listings
            if one.node == start.node and one.state == "up" and one.started_us >= start.t
        }
        first = 0
        for last, attempt in enumerate(attempts):
            while attempts[first].t <= attempt.t - facts.fall_us:
                first += 1
            window = attempts[first : last + 1]
            units = sum(run.units(one) for one in window)
            # The node's capacity in the middle of the window, rising linearly from its cold share.
            warmed = max(0.0, attempt.t - facts.fall_us / 2 - start.t) / start.warm_us
            capacity = facts.fall_multiple * start.rate * facts.fall_us / 1e6
            capacity *= start.cold_share + (1 - start.cold_share) * warmed
            informed_units = sum(run.units(one) for one in window if run.head_name(one.head) in informed)
            if units > max(capacity, facts.cold_units) * 1.1 and informed_units * 3 >= units * 2:
                yield Breach(
                    4, attempt.t, start.node, f"cold, got {units:.0f} units where it bears {capacity:.0f}"
                )
                break


def order_kept(run: RunHistory) -> Iterator[Breach]:
    """Rule 5: of an ordered class one request per extent is sent at a time, in the order of arrival."""
    if not any(one.in_order for one in run.classes.values()):
        return
    queues: dict[tuple[int, str, int], list[tuple[rec.AttemptReceived, RequestHistory]]] = defaultdict(list)
    for key, attempts in run.attempts.items():
        request = run.request_of_key.get(key)
        if request is not None and run.classes[request.sent.class_name].in_order:
            for attempt in attempts:
                extent = attempt.offset // run.facts.extent_bytes
                queues[attempt.head, attempt.volume, extent].append((attempt, request))
    for queue in queues.values():
        queue.sort(key=lambda pair: pair[0].t)
        for position, (attempt, request) in enumerate(queue):
            for before, earlier in queue[:position]:
                if earlier is request:
                    continue
                if (earlier.sent.t, earlier.sent.request) > (request.sent.t, request.sent.request):
                    yield Breach(
                        5, attempt.t, request.name, f"sent after {earlier.name}, which was taken later"
                    )
                    continue
                node_answers = run.node_answers.get((before.head, before.key, before.attempt))
                ended = min((one.t for one in earlier.answers), default=None)
                if node_answers and node_answers[0].t <= attempt.t:
                    continue
                if ended is None or ended > attempt.t + run.facts.flight_us:
                    yield Breach(5, attempt.t, request.name, f"sent while {earlier.name} was not over")
                elif attempt.t + run.facts.flight_us < ended + run.facts.order_settle_us:
                    yield Breach(
                        5, attempt.t, request.name, f"sent before the rest after {earlier.name} was over"
                    )


def budget_kept(run: RunHistory) -> Iterator[Breach]:
    """Rule 6: in any window a process's retries stay within its budget, which counts from its start."""
    facts = run.facts
    if not facts.budget_window_us:
        return
    retries: dict[int, list[int]] = defaultdict(list)
    for attempts in run.attempts.values():
        for attempt in attempts[1:]:
            retries[attempt.head].append(attempt.t)
    for head, times in retries.items():
        times.sort()
        request_times = run.request_times[run.head_name(head)]
        for position, t in enumerate(times):
            window_start = t - facts.budget_window_us
            count = position + 1 - bisect_left(times, window_start + facts.flight_us)
            counted_from = max(window_start - facts.flight_us, run.started_at.get(head, 0))
            requests = bisect_right(request_times, t) - bisect_left(request_times, counted_from)
            if count > facts.budget_free + facts.budget_share * requests:
                who = run.head_name(head)
                yield Breach(6, t, who, f"{count} further attempts, {requests} requests taken in the window")
                break


def limits_kept(run: RunHistory) -> Iterator[Breach]:
    """Rule 7: the first attempts that all heads send for a volume stay within its limit and the slack.

    If a limit changes in service, its token bucket keeps its level, up to the new burst.
    """
    firsts = sorted(
        (attempts[0] for attempts in run.attempts.values() if attempts), key=lambda attempt: attempt.t
    )
    for limit in run.facts.limits:
        level, at = limit.burst, None
        # Attempts sent at an even rate may arrive in a burst: as much as accrues while sends are in flight.
        slack = limit.slack + limit.rate * run.facts.flight_us / 1e6
        rate, burst = limit.rate, limit.burst
        changes = [one for one in run.limit_changes if one.volume == limit.volume]
        for attempt in firsts:
            if attempt.volume != limit.volume or attempt.kind == "flush":
                continue
            if run.facts.regions:
                request = run.request_of_key.get((attempt.head, attempt.key))
                if request is None or not run.is_sent_for_client(request, attempt):
                    continue  # replication: counted when the client's own region sent it
            while changes and changes[0].t <= attempt.t:
                change = changes.pop(0)
                level = min(
                    burst, level + rate * (change.t - (change.t if at is None else at)) / 1e6, change.burst
                )
                rate, burst, at = change.rate, change.burst, change.t
                slack = max(slack, limit.slack + rate * run.facts.flight_us / 1e6)
            if at is not None:
                level = min(burst, level + rate * (attempt.t - at) / 1e6)
            at = attempt.t
            level -= run.units(attempt)
            if level < -slack:
                yield Breach(
                    7, attempt.t, limit.volume, f"{-level:.1f} units past its limit, slack {slack:.1f}"
                )
                break


def blocks_are_linearizable(run: RunHistory) -> Iterator[Breach]:
    """Rule 0: each block that several clients access concurrently behaves as one register."""
    for volume, block in broken_blocks(run.operations):
        yield Breach(0, 0, f"{volume} block {block}", "no order explains what was read")


def reads_are_right(run: RunHistory) -> Iterator[Breach]:
    """Rule 0: reads return data that the client's model of the volume allows."""
    for request in run.requests:
        for answer in request.answers:
            if not answer.data_ok:
                yield Breach(0, answer.t, request.name, "its data is not what was written")


RULES: tuple[Callable[[RunHistory], Iterator[Breach]], ...] = (
    reads_are_right,
    blocks_are_linearizable,
    every_request_answered_once,
    no_effect_twice,
    drains_kept,
    drains_kept_by_all,
    cold_nodes_spared,
    order_kept,
    budget_kept,
    limits_kept,
    cells_kept,
    patience_kept,
)


def _name(run: RunHistory, key: tuple[int, int]) -> str:
    request = run.request_of_key.get(key)
    return request.name if request is not None else f"key {key[1]} of {run.head_name(key[0])}"


def check(records: Iterable[rec.Record]) -> list[Breach]:
    """Check a recording; return all breaches in order of time. Raises AmbiguousRecording."""
    run = RunHistory(records)
    return sorted((breach for rule in RULES for breach in rule(run)), key=lambda breach: breach.t)


def summary(records: Iterable[rec.Record]) -> dict[str, int]:
    """Count requests, attempts and outcomes of a recording, for reports."""
    run = RunHistory(records)
    answers = [answer for request in run.requests for answer in request.answers]
    counts = {"requests": len(run.requests), "sends": len(run.received)}
    for outcome in ("served", "refused", "failed"):
        counts[outcome] = sum(answer.outcome == outcome for answer in answers)
    counts["excused"] = sum(
        request.excused_at_us is not None and not request.answers for request in run.requests
    )
    counts["repeats dropped"] = sum(
        one.result == "repeat" for each in run.node_answers.values() for one in each
    )
    counts["unanswered by nodes"] = len(run.received) - sum(len(each) for each in run.node_answers.values())
    return counts
