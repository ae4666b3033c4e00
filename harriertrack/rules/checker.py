"""The seven rules, judged from a recording, an eighth where the fleet is divided into cells, and a ninth for
clients that wait in their heads.

Each rule is a function of its own from the `Story` of a run to the breaches it found; a breach names the
rule, the moment, and the request or node. Rules 1 and 2 join clients' requests to what nodes received by
place: the clients of a run never use a byte offset, or an end, twice for requests of one kind on one volume
(`Ambiguous` if they do).
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from harriertrack.rules import recording as rec
from harriertrack.rules.linearizability import broken_blocks

CHANGING = ("write", "trim", "write-zeroes")
EARLY_US = 10_000  # a last refusal comes a little before the end of its client's patience


class AmbiguousRecording(Exception):
    """The recording does not tell whose request a node received: its clients reused a place."""


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
    """A client's request and all that belongs to it."""

    request: rec.RequestSent
    deadline_at_us: int
    answers: list[rec.FinalAnswer] = field(default_factory=list)
    received: list[rec.AttemptReceived] = field(default_factory=list)
    excused_at_us: int | None = None  # its client left or its head was killed then

    @property
    def name(self) -> str:
        """Name the request for people."""
        sent = self.request
        return (
            f"request {sent.request} of {sent.client} ({sent.kind} {sent.volume}@{sent.offset}+{sent.length})"
        )


class RunHistory:
    """A recording, put in order and joined."""

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
        self.request_times: dict[str, list[int]] = defaultdict(list)
        self.stray_answers: list[rec.FinalAnswer] = []
        self.machine_pauses: dict[int, int] = {}  # when the whole machine stood still, and for how long
        by_request: dict[tuple[str, int], RequestHistory] = {}
        open_of: dict[str, dict[int, RequestHistory]] = defaultdict(dict)
        by_head: dict[str, set[str]] = defaultdict(set)
        stood: dict[str, list[rec.HeadPaused]] = defaultdict(list)
        for record in sorted(
            (one for one in records if not isinstance(one, rec.Facts)), key=lambda one: one.t
        ):
            match record:
                case rec.RequestSent():
                    limit = max(self.classes[record.class_name].deadline_us, record.patience_us)
                    asked = RequestHistory(record, record.t + limit)
                    self.requests.append(asked)
                    by_request[record.client, record.request] = asked
                    open_of[record.client][record.request] = asked
                    by_head[record.head].add(record.client)
                    self.request_times[record.head].append(record.t)
                case rec.FinalAnswer():
                    found = by_request.get((record.client, record.request))
                    if found is None:
                        self.stray_answers.append(record)
                    else:
                        found.answers.append(record)
                        open_of[record.client].pop(record.request, None)
                case rec.ClientLeft():
                    for asked in open_of.pop(record.client, {}).values():
                        asked.excused_at_us = record.t
                case rec.HeadPaused():
                    stood[record.head].append(record)
                    if record.machine:
                        self.machine_pauses[record.t] = max(self.machine_pauses.get(record.t, 0), record.us)
                case rec.HeadLifecycle() if record.up:
                    self.heads[record.number] = record.head
                case rec.HeadLifecycle():
                    for client in by_head[record.head]:
                        for asked in open_of.pop(client, {}).values():
                            asked.excused_at_us = record.t
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
        for asked in self.requests:
            for still in stood[asked.request.head]:
                until = still.t + still.us
                if still.unread and still.t <= asked.request.t < until:
                    asked.deadline_at_us += until - asked.request.t
                elif still.t <= asked.deadline_at_us < until:
                    asked.deadline_at_us = until
        self._join()
        self.request_of_key: dict[tuple[int, int], RequestHistory] = {}
        for asked in self.requests:
            for got in asked.received:
                if got.key:
                    self.request_of_key[got.head, got.key] = asked

    def _join(self) -> None:
        starts: dict[tuple[str, str, int], list[RequestHistory]] = defaultdict(list)
        ends: dict[tuple[str, str, int], list[RequestHistory]] = defaultdict(list)
        for asked in self.requests:
            take = asked.request
            if take.kind != "flush":
                starts[take.volume, take.kind, take.offset].append(asked)
                ends[take.volume, take.kind, take.offset + take.length].append(asked)
        for got in self.received:
            end = got.offset + got.length
            found = {id(one): one for one in starts.get((got.volume, got.kind, got.offset), ())}
            found.update((id(one), one) for one in ends.get((got.volume, got.kind, end), ()))
            # A part is all that a request has in the extent, so a neighbour that merely covers it does not
            # fit.
            low = got.offset - got.offset % self.facts.extent_bytes
            fitting = [
                one
                for one in found.values()
                if one.request.t <= got.t
                and max(one.request.offset, low) == got.offset
                and min(one.request.offset + one.request.length, low + self.facts.extent_bytes) == end
            ]
            if len(fitting) > 1:
                raise AmbiguousRecording(
                    f"{got.kind} {got.volume}@{got.offset}+{got.length} may belong to several requests"
                )
            if fitting:
                fitting[0].received.append(got)

    def max_flight_us(self, since: int, until: int) -> int:
        """Return how long what was sent by a moment may have been on its way at another."""
        return self.facts.flight_us + self.machine_paused_us(since, until)

    def machine_paused_us(self, since: int, until: int) -> int:
        """Return how long the whole machine stood still between two moments."""
        stills = ((max(t, since), min(t + us, until)) for t, us in self.machine_pauses.items())
        return sum(max(0, end - begin) for begin, end in stills)

    def units(self, got: rec.AttemptReceived) -> float:
        """Return what a request counts: whole units, at least one."""
        return float(max(1, -(-got.length // self.facts.unit_bytes)))

    def is_sent_for_client(self, asked: RequestHistory, got: rec.AttemptReceived) -> bool:
        """Whether a client waits for this sending.

        Of two regions, only what the first head to send it sends.
        """
        return not self.facts.regions or got.head == asked.received[0].head

    def is_proven_unexecuted(self, got: rec.AttemptReceived) -> bool:
        """Whether the node proved that this attempt never ran."""
        return any(
            said.result == "unseen" for said in self.node_answers.get((got.head, got.key, got.attempt), ())
        )


def every_request_answered_once(story: RunHistory) -> Iterator[Breach]:
    """Rule 1: one final answer in time, and nothing sent for the request afterwards."""
    slack, flight = story.facts.answer_slack_us, story.facts.flight_us
    for stray in story.stray_answers:
        yield Breach(1, stray.t, f"{stray.client}", "an answer that no open request fits")
    for asked in story.requests:
        answers = asked.answers
        if len(answers) > 1:
            yield Breach(1, answers[1].t, asked.name, f"{len(answers)} final answers")
        if not answers and asked.excused_at_us is None:
            yield Breach(1, asked.deadline_at_us, asked.name, "no final answer")
        over = asked.excused_at_us if not answers else answers[0].t
        late_us = answers[0].t - asked.deadline_at_us if answers else 0
        if late_us > slack and late_us > slack + story.machine_paused_us(asked.deadline_at_us, answers[0].t):
            yield Breach(1, answers[0].t, asked.name, f"answered {late_us} us after its time was up")
        for got in asked.received:
            late = (
                over is not None and got.t > over + flight and got.t > over + story.max_flight_us(over, got.t)
            )
            if over is not None and late and story.is_sent_for_client(asked, got):
                yield Breach(1, got.t, asked.name, f"sent to {got.node} {got.t - over} us after it was over")


def no_effect_twice(story: RunHistory) -> Iterator[Breach]:
    """Rule 2: nothing runs twice that must not, repeats only as the class allows, refusals had no effect."""
    for key, ran in story.executed.items():
        first = story.attempts[key][0] if key[1] and story.attempts[key] else None
        if first is not None and first.kind in CHANGING and len(ran) > 1:
            owner = story.request_of_key.get(key)
            if owner is None or story.classes[owner.request.class_name].effect != "safe":
                yield Breach(2, ran[1].t, _name(story, key), f"ran {len(ran)} times")
    for key, attempts in story.attempts.items():
        owner = story.request_of_key.get(key)
        if owner is None or not key[1]:
            continue
        facts = story.classes[owner.request.class_name]
        earlier: list[rec.AttemptReceived] = []  # attempts that may have run
        for got in attempts:
            if earlier and facts.effect == "unsafe":
                yield Breach(2, got.t, owner.name, f"sent again to {got.node} though it may have run")
            elif earlier and facts.effect == "keyed":
                if got.shard != earlier[0].shard:
                    yield Breach(2, got.t, owner.name, f"sent again outside the rack, to {got.node}")
                if got.t > earlier[0].t + facts.window_us + story.facts.flight_us:
                    yield Breach(2, got.t, owner.name, f"sent again to {got.node} after the rack's window")
            if not story.is_proven_unexecuted(got):
                earlier.append(got)
    for asked in story.requests:
        if asked.request.kind not in CHANGING or not any(one.outcome == "refused" for one in asked.answers):
            continue
        for got in asked.received:
            # A node that speaks no extension tells no key: there only what was received counts.
            if story.executed.get((got.head, got.key)) if got.key else True:
                yield Breach(2, got.t, asked.name, f"refused, though it ran or may have run at {got.node}")


def drains_kept(story: RunHistory) -> Iterator[Breach]:
    """Rule 3: nothing new to a node later than the grace after the head was told."""
    news: dict[tuple[int, str], list[rec.NodeListed]] = defaultdict(list)
    for one in story.node_listings:
        news[one.head, one.node].append(one)
    for t, head, node, flight in _sends(story):
        late = _after_drain(news.get((head, node), ()), t)
        if late > story.facts.drain_grace_us + flight:
            who = f"{story.heads.get(head, head)} to {node}"
            yield Breach(3, t, who, f"sent {late} us after it was told of the drain")


def drains_kept_by_all(story: RunHistory) -> Iterator[Breach]:
    """Rule 3 in its stricter reading, for two regions: the grace runs from when any head was told."""
    if not story.facts.regions:
        return
    news: dict[str, list[rec.NodeListed]] = defaultdict(list)
    for one in story.node_listings:
        news[one.node].append(one)
    for t, _, node, flight in _sends(story):
        late = _after_drain(news[node], t)
        if late > story.facts.drain_grace_us + flight:
            yield Breach(3, t, node, f"sent {late} us after some head was told of the drain")


def _sends(story: RunHistory) -> Iterator[tuple[int, int, str, int]]:
    """Yield (time, head, node, allowance) of each send: by the sender's stamp, and by the receiver's."""
    for sent in story.attempts_sent:
        yield sent.t, sent.head, sent.node, 0
    for got in story.received:
        yield got.t, got.head, got.node, story.facts.flight_us


def _after_drain(news: Iterable[rec.NodeListed], t: int) -> int:
    """Return how long after the news of a drain that still holds a moment is; below 0 if none does."""
    since: int | None = None
    for one in news:
        if one.t > t:
            break
        since = None if one.state == "up" else one.t if since is None else since
    return -1 if since is None else t - since


def cells_kept(story: RunHistory) -> Iterator[Breach]:
    """Rule 8, where the fleet is divided: a request is sent to nodes of its volume's cell alone."""
    facts = story.facts
    for got in story.received if facts.cell_of_volume else ():
        cell, there = facts.cell_of_volume.get(got.volume), facts.cell_of_shard.get(str(got.shard))
        if cell is not None and cell != there:
            yield Breach(8, got.t, f"{got.volume} to {got.node}", f"{cell} reached a node of {there}")


def patience_kept(story: RunHistory) -> Iterator[Breach]:
    """Rule 9, where clients wait in their heads: none is refused before the end of its patience.

    What was refused earlier could have waited on; a failure may come at any time.
    """
    slack = story.facts.answer_slack_us + EARLY_US
    for asked in story.requests:
        if not asked.request.patience_us:
            continue
        ends = asked.request.t + asked.request.patience_us
        for answer in asked.answers:
            if answer.outcome == "refused" and answer.t < ends - slack:
                left = ends - answer.t
                yield Breach(9, answer.t, asked.name, f"refused {left} us before its patience was over")


def cold_nodes_spared(story: RunHistory) -> Iterator[Breach]:
    """Rule 4: all heads together send a cold node no more than a multiple of what it can do just then."""
    facts = story.facts
    for node in story.node_events:
        if node.state == "fell":
            yield Breach(4, node.t, node.node, "fell over")
    if not facts.fall_us:
        return
    by_node: dict[str, list[rec.AttemptReceived]] = defaultdict(list)
    for got in story.received:
        by_node[got.node].append(got)
    for start in story.node_events:
        if start.state != "started" or start.cold_share >= 1:
            continue
        warm = start.t + start.warm_us
        got_of = [got for got in by_node[start.node] if start.t <= got.t < warm]
        informed = {
            one.head
            for one in story.node_listings
            if one.node == start.node and one.state == "up" and one.started_us >= start.t
        }
        first = 0
        for last, got in enumerate(got_of):
            while got_of[first].t <= got.t - facts.fall_us:
                first += 1
            window = got_of[first : last + 1]
            units = sum(story.units(one) for one in window)
            # The node's capacity in the middle of the window, rising evenly from its cold share.
            middle = max(0.0, got.t - facts.fall_us / 2 - start.t) / start.warm_us
            bears = facts.fall_multiple * start.rate * facts.fall_us / 1e6
            bears *= start.cold_share + (1 - start.cold_share) * middle
            knew = sum(story.units(one) for one in window if one.head in informed)
            if units > max(bears, facts.cold_units) * 1.1 and knew * 3 >= units * 2:
                yield Breach(4, got.t, start.node, f"cold, got {units:.0f} units where it bears {bears:.0f}")
                break


def order_kept(story: RunHistory) -> Iterator[Breach]:
    """Rule 5: of a class in order, one request a key at a time, in the order they were taken."""
    if not any(one.in_order for one in story.classes.values()):
        return
    lines: dict[tuple[int, str, int], list[tuple[rec.AttemptReceived, RequestHistory]]] = defaultdict(list)
    for key, attempts in story.attempts.items():
        owner = story.request_of_key.get(key)
        if owner is not None and story.classes[owner.request.class_name].in_order:
            for got in attempts:
                extent = got.offset // story.facts.extent_bytes
                lines[got.head, got.volume, extent].append((got, owner))
    for line in lines.values():
        line.sort(key=lambda pair: pair[0].t)
        for at, (got, owner) in enumerate(line):
            for before, earlier in line[:at]:
                if earlier is owner:
                    continue
                if (earlier.request.t, earlier.request.request) > (owner.request.t, owner.request.request):
                    yield Breach(5, got.t, owner.name, f"sent after {earlier.name}, which was taken later")
                    continue
                said = story.node_answers.get((before.head, before.key, before.attempt))
                over = min((one.t for one in earlier.answers), default=None)
                if said and said[0].t <= got.t:
                    continue
                if over is None or over > got.t + story.facts.flight_us:
                    yield Breach(5, got.t, owner.name, f"sent while {earlier.name} was not over")
                elif got.t + story.facts.flight_us < over + story.facts.order_settle_us:
                    yield Breach(5, got.t, owner.name, f"sent before the rest after {earlier.name} was over")


def budget_kept(story: RunHistory) -> Iterator[Breach]:
    """Rule 6: one head's attempts beyond each request's first stay within the budget of any window."""
    facts = story.facts
    if not facts.budget_window_us:
        return
    further: dict[int, list[int]] = defaultdict(list)
    for attempts in story.attempts.values():
        for got in attempts[1:]:
            further[got.head].append(got.t)
    for head, times in further.items():
        times.sort()
        takes = story.request_times[story.heads.get(head, "")]
        for at, t in enumerate(times):
            since = t - facts.budget_window_us
            count = at + 1 - bisect_left(times, since + facts.flight_us)
            taken = bisect_right(takes, t) - bisect_left(takes, since - facts.flight_us)
            if count > facts.budget_free + facts.budget_share * taken:
                who = story.heads.get(head, str(head))
                yield Breach(6, t, who, f"{count} further attempts, {taken} requests taken in the window")
                break


def limits_kept(story: RunHistory) -> Iterator[Breach]:
    """Rule 7: what all heads together send first for a volume keeps to its limit, within the slack.

    A limit may change in service: its store keeps its level, up to the new most.
    """
    firsts = sorted((attempts[0] for attempts in story.attempts.values() if attempts), key=lambda got: got.t)
    for limit in story.facts.limits:
        level, at = limit.burst, None
        # What is sent evenly may arrive in a clump: as much as fills in the time that sends may be on their
        # way.
        slack = limit.slack + limit.rate * story.facts.flight_us / 1e6
        rate, most = limit.rate, limit.burst
        changes = [one for one in story.limit_changes if one.volume == limit.volume]
        for got in firsts:
            if got.volume != limit.volume or got.kind == "flush":
                continue
            if story.facts.regions:
                owner = story.request_of_key.get((got.head, got.key))
                if owner is None or not story.is_sent_for_client(owner, got):
                    continue  # a copy: it was counted when its own region sent it
            while changes and changes[0].t <= got.t:
                now = changes.pop(0)
                level = min(most, level + rate * (now.t - (now.t if at is None else at)) / 1e6, now.burst)
                rate, most, at = now.rate, now.burst, now.t
                slack = max(slack, limit.slack + rate * story.facts.flight_us / 1e6)
            if at is not None:
                level = min(most, level + rate * (got.t - at) / 1e6)
            at = got.t
            level -= story.units(got)
            if level < -slack:
                yield Breach(7, got.t, limit.volume, f"{-level:.1f} units past its limit, slack {slack:.1f}")
                break


def blocks_are_linearizable(story: RunHistory) -> Iterator[Breach]:
    """Beside the seven.

    Each block that several clients write and read at once behaves as one register (rule 0).
    """
    for volume, block in broken_blocks(story.operations):
        yield Breach(0, 0, f"{volume} block {block}", "no order explains what was read")


def reads_are_right(story: RunHistory) -> Iterator[Breach]:
    """Beside the seven: what was read is what the clients' model of the volume allows (rule 0)."""
    for asked in story.requests:
        for answer in asked.answers:
            if not answer.data_ok:
                yield Breach(0, answer.t, asked.name, "its data is not what was written")


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


def _name(story: RunHistory, key: tuple[int, int]) -> str:
    owner = story.request_of_key.get(key)
    return owner.name if owner is not None else f"key {key[1]} of {story.heads.get(key[0], key[0])}"


def check(records: Iterable[rec.Record]) -> list[Breach]:
    """Judge a recording; return all breaches in order of time. Raises Ambiguous."""
    story = RunHistory(records)
    return sorted((breach for rule in RULES for breach in rule(story)), key=lambda breach: breach.t)


def summary(records: Iterable[rec.Record]) -> dict[str, int]:
    """Count what a recording holds, for reports."""
    story = RunHistory(records)
    answers = [answer for asked in story.requests for answer in asked.answers]
    counts = {"requests": len(story.requests), "sends": len(story.received)}
    for outcome in ("served", "refused", "failed"):
        counts[outcome] = sum(answer.outcome == outcome for answer in answers)
    counts["excused"] = sum(asked.excused_at_us is not None and not asked.answers for asked in story.requests)
    counts["repeats dropped"] = sum(
        one.result == "repeat" for said in story.node_answers.values() for one in said
    )
    counts["unanswered by nodes"] = len(story.received) - sum(
        len(said) for said in story.node_answers.values()
    )
    return counts
