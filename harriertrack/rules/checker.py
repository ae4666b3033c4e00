"""Checks a recording of requests against the rules 0 to 9; 8 is for fleets of cells, 9 for waiting requests.

Each rule is a function that yields the breaches it finds in the `RunHistory` of a run; a breach names the
rule, the time, and the request or node.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator

from harriertrack.rules import recording as rec
from harriertrack.rules.breach import Breach
from harriertrack.rules.linearizability import broken_blocks
from harriertrack.rules.run_history import RequestHistory, RunHistory

MODIFYING_KINDS = ("write", "trim", "write-zeroes")
REFUSAL_LEAD_US = 10_000  # a final refusal may be sent this long before the client's wait limit


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
