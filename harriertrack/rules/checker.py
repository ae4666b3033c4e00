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
from harriertrack.rules.linear import broken_blocks

CHANGING = ("write", "trim", "write-zeroes")
EARLY_US = 10_000  # a last refusal comes a little before the end of its client's patience


class Ambiguous(Exception):
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
class Asked:
    """A client's request and all that belongs to it."""

    take: rec.Take
    deadline: int
    answers: list[rec.Answer] = field(default_factory=list)
    got: list[rec.Got] = field(default_factory=list)
    excused_at: int | None = None  # its client left or its head was killed then

    @property
    def name(self) -> str:
        """Name the request for people."""
        take = self.take
        return (
            f"request {take.request} of {take.client} ({take.kind} {take.volume}@{take.offset}+{take.length})"
        )


class Story:
    """A recording, put in order and joined."""

    def __init__(self, records: Iterable[rec.Record]) -> None:
        records = list(records)
        self.operations = [one for one in records if isinstance(one, rec.Called | rec.Returned)]
        self.facts = next(record for record in records if isinstance(record, rec.Facts))
        self.classes = {one.name: one for one in self.facts.classes}
        self.asked: list[Asked] = []
        self.got: list[rec.Got] = []
        self.sent: list[rec.Sent] = []
        self.attempts: dict[tuple[int, int], list[rec.Got]] = defaultdict(list)
        self.ran: dict[tuple[int, int], list[rec.Ran]] = defaultdict(list)
        self.said: dict[tuple[int, int, int], list[rec.Said]] = defaultdict(list)
        self.told: list[rec.Told] = []
        self.nodes: list[rec.Node] = []
        self.limits_now: list[rec.LimitNow] = []
        self.heads: dict[int, str] = {}
        self.takes_of: dict[str, list[int]] = defaultdict(list)
        self.stray_answers: list[rec.Answer] = []
        self.still: dict[int, int] = {}  # when the whole machine stood still, and for how long
        by_request: dict[tuple[str, int], Asked] = {}
        open_of: dict[str, dict[int, Asked]] = defaultdict(dict)
        by_head: dict[str, set[str]] = defaultdict(set)
        stood: dict[str, list[rec.Stood]] = defaultdict(list)
        for record in sorted(
            (one for one in records if not isinstance(one, rec.Facts)), key=lambda one: one.t
        ):
            match record:
                case rec.Take():
                    limit = max(self.classes[record.class_name].deadline_us, record.patience_us)
                    asked = Asked(record, record.t + limit)
                    self.asked.append(asked)
                    by_request[record.client, record.request] = asked
                    open_of[record.client][record.request] = asked
                    by_head[record.head].add(record.client)
                    self.takes_of[record.head].append(record.t)
                case rec.Answer():
                    found = by_request.get((record.client, record.request))
                    if found is None:
                        self.stray_answers.append(record)
                    else:
                        found.answers.append(record)
                        open_of[record.client].pop(record.request, None)
                case rec.Left():
                    for asked in open_of.pop(record.client, {}).values():
                        asked.excused_at = record.t
                case rec.Stood():
                    stood[record.head].append(record)
                    if record.machine:
                        self.still[record.t] = max(self.still.get(record.t, 0), record.us)
                case rec.Head() if record.up:
                    self.heads[record.number] = record.head
                case rec.Head():
                    for client in by_head[record.head]:
                        for asked in open_of.pop(client, {}).values():
                            asked.excused_at = record.t
                case rec.Sent():
                    self.sent.append(record)
                case rec.Got():
                    self.got.append(record)
                    self.attempts[record.head, record.key].append(record)
                case rec.Ran():
                    self.ran[record.head, record.key].append(record)
                case rec.Said():
                    self.said[record.head, record.key, record.attempt].append(record)
                case rec.Told():
                    self.told.append(record)
                case rec.Node():
                    self.nodes.append(record)
                case rec.LimitNow():
                    self.limits_now.append(record)
        for asked in self.asked:
            for still in stood[asked.take.head]:
                until = still.t + still.us
                if still.unread and still.t <= asked.take.t < until:
                    asked.deadline += until - asked.take.t
                elif still.t <= asked.deadline < until:
                    asked.deadline = until
        self._join()
        self.owner: dict[tuple[int, int], Asked] = {}
        for asked in self.asked:
            for got in asked.got:
                if got.key:
                    self.owner[got.head, got.key] = asked

    def _join(self) -> None:
        starts: dict[tuple[str, str, int], list[Asked]] = defaultdict(list)
        ends: dict[tuple[str, str, int], list[Asked]] = defaultdict(list)
        for asked in self.asked:
            take = asked.take
            if take.kind != "flush":
                starts[take.volume, take.kind, take.offset].append(asked)
                ends[take.volume, take.kind, take.offset + take.length].append(asked)
        for got in self.got:
            end = got.offset + got.length
            found = {id(one): one for one in starts.get((got.volume, got.kind, got.offset), ())}
            found.update((id(one), one) for one in ends.get((got.volume, got.kind, end), ()))
            # A part is all that a request has in the extent, so a neighbour that merely covers it does not
            # fit.
            low = got.offset - got.offset % self.facts.extent_bytes
            fitting = [
                one
                for one in found.values()
                if one.take.t <= got.t
                and max(one.take.offset, low) == got.offset
                and min(one.take.offset + one.take.length, low + self.facts.extent_bytes) == end
            ]
            if len(fitting) > 1:
                raise Ambiguous(
                    f"{got.kind} {got.volume}@{got.offset}+{got.length} may belong to several requests"
                )
            if fitting:
                fitting[0].got.append(got)

    def on_its_way(self, since: int, until: int) -> int:
        """Return how long what was sent by a moment may have been on its way at another."""
        return self.facts.flight_us + self.stood_still(since, until)

    def stood_still(self, since: int, until: int) -> int:
        """Return how long the whole machine stood still between two moments."""
        stills = ((max(t, since), min(t + us, until)) for t, us in self.still.items())
        return sum(max(0, end - begin) for begin, end in stills)

    def units(self, got: rec.Got) -> float:
        """Return what a request counts: whole units, at least one."""
        return float(max(1, -(-got.length // self.facts.unit_bytes)))

    def for_client(self, asked: Asked, got: rec.Got) -> bool:
        """Whether a client waits for this sending.

        Of two regions, only what the first head to send it sends.
        """
        return not self.facts.regions or got.head == asked.got[0].head

    def unseen(self, got: rec.Got) -> bool:
        """Whether the node proved that this attempt never ran."""
        return any(said.result == "unseen" for said in self.said.get((got.head, got.key, got.attempt), ()))


def every_request_answered_once(story: Story) -> Iterator[Breach]:
    """Rule 1: one final answer in time, and nothing sent for the request afterwards."""
    slack, flight = story.facts.answer_slack_us, story.facts.flight_us
    for stray in story.stray_answers:
        yield Breach(1, stray.t, f"{stray.client}", "an answer that no open request fits")
    for asked in story.asked:
        answers = asked.answers
        if len(answers) > 1:
            yield Breach(1, answers[1].t, asked.name, f"{len(answers)} final answers")
        if not answers and asked.excused_at is None:
            yield Breach(1, asked.deadline, asked.name, "no final answer")
        over = asked.excused_at if not answers else answers[0].t
        late_us = answers[0].t - asked.deadline if answers else 0
        if late_us > slack and late_us > slack + story.stood_still(asked.deadline, answers[0].t):
            yield Breach(1, answers[0].t, asked.name, f"answered {late_us} us after its time was up")
        for got in asked.got:
            late = over is not None and got.t > over + flight and got.t > over + story.on_its_way(over, got.t)
            if over is not None and late and story.for_client(asked, got):
                yield Breach(1, got.t, asked.name, f"sent to {got.node} {got.t - over} us after it was over")


def no_effect_twice(story: Story) -> Iterator[Breach]:
    """Rule 2: nothing runs twice that must not, repeats only as the class allows, refusals had no effect."""
    for key, ran in story.ran.items():
        first = story.attempts[key][0] if key[1] and story.attempts[key] else None
        if first is not None and first.kind in CHANGING and len(ran) > 1:
            owner = story.owner.get(key)
            if owner is None or story.classes[owner.take.class_name].effect != "safe":
                yield Breach(2, ran[1].t, _name(story, key), f"ran {len(ran)} times")
    for key, attempts in story.attempts.items():
        owner = story.owner.get(key)
        if owner is None or not key[1]:
            continue
        facts = story.classes[owner.take.class_name]
        earlier: list[rec.Got] = []  # attempts that may have run
        for got in attempts:
            if earlier and facts.effect == "unsafe":
                yield Breach(2, got.t, owner.name, f"sent again to {got.node} though it may have run")
            elif earlier and facts.effect == "keyed":
                if got.shard != earlier[0].shard:
                    yield Breach(2, got.t, owner.name, f"sent again outside the rack, to {got.node}")
                if got.t > earlier[0].t + facts.window_us + story.facts.flight_us:
                    yield Breach(2, got.t, owner.name, f"sent again to {got.node} after the rack's window")
            if not story.unseen(got):
                earlier.append(got)
    for asked in story.asked:
        if asked.take.kind not in CHANGING or not any(one.outcome == "refused" for one in asked.answers):
            continue
        for got in asked.got:
            # A node that speaks no extension tells no key: there only what was received counts.
            if story.ran.get((got.head, got.key)) if got.key else True:
                yield Breach(2, got.t, asked.name, f"refused, though it ran or may have run at {got.node}")


def drains_kept(story: Story) -> Iterator[Breach]:
    """Rule 3: nothing new to a node later than the grace after the head was told."""
    news: dict[tuple[int, str], list[rec.Told]] = defaultdict(list)
    for one in story.told:
        news[one.head, one.node].append(one)
    for t, head, node, flight in _sends(story):
        late = _after_drain(news.get((head, node), ()), t)
        if late > story.facts.drain_grace_us + flight:
            who = f"{story.heads.get(head, head)} to {node}"
            yield Breach(3, t, who, f"sent {late} us after it was told of the drain")


def drains_kept_by_all(story: Story) -> Iterator[Breach]:
    """Rule 3 in its stricter reading, for two regions: the grace runs from when any head was told."""
    if not story.facts.regions:
        return
    news: dict[str, list[rec.Told]] = defaultdict(list)
    for one in story.told:
        news[one.node].append(one)
    for t, _, node, flight in _sends(story):
        late = _after_drain(news[node], t)
        if late > story.facts.drain_grace_us + flight:
            yield Breach(3, t, node, f"sent {late} us after some head was told of the drain")


def _sends(story: Story) -> Iterator[tuple[int, int, str, int]]:
    """Yield (time, head, node, allowance) of each send: by the sender's stamp, and by the receiver's."""
    for sent in story.sent:
        yield sent.t, sent.head, sent.node, 0
    for got in story.got:
        yield got.t, got.head, got.node, story.facts.flight_us


def _after_drain(news: Iterable[rec.Told], t: int) -> int:
    """Return how long after the news of a drain that still holds a moment is; below 0 if none does."""
    since: int | None = None
    for one in news:
        if one.t > t:
            break
        since = None if one.state == "up" else one.t if since is None else since
    return -1 if since is None else t - since


def cells_kept(story: Story) -> Iterator[Breach]:
    """Rule 8, where the fleet is divided: a request is sent to nodes of its volume's cell alone."""
    facts = story.facts
    for got in story.got if facts.cell_of_volume else ():
        cell, there = facts.cell_of_volume.get(got.volume), facts.cell_of_shard.get(str(got.shard))
        if cell is not None and cell != there:
            yield Breach(8, got.t, f"{got.volume} to {got.node}", f"{cell} reached a node of {there}")


def patience_kept(story: Story) -> Iterator[Breach]:
    """Rule 9, where clients wait in their heads: none is refused before the end of its patience.

    What was refused earlier could have waited on; a failure may come at any time.
    """
    slack = story.facts.answer_slack_us + EARLY_US
    for asked in story.asked:
        if not asked.take.patience_us:
            continue
        ends = asked.take.t + asked.take.patience_us
        for answer in asked.answers:
            if answer.outcome == "refused" and answer.t < ends - slack:
                left = ends - answer.t
                yield Breach(9, answer.t, asked.name, f"refused {left} us before its patience was over")


def cold_nodes_spared(story: Story) -> Iterator[Breach]:
    """Rule 4: all heads together send a cold node no more than a multiple of what it can do just then."""
    facts = story.facts
    for node in story.nodes:
        if node.state == "fell":
            yield Breach(4, node.t, node.node, "fell over")
    if not facts.fall_us:
        return
    by_node: dict[str, list[rec.Got]] = defaultdict(list)
    for got in story.got:
        by_node[got.node].append(got)
    for start in story.nodes:
        if start.state != "started" or start.cold_share >= 1:
            continue
        warm = start.t + start.warm_us
        got_of = [got for got in by_node[start.node] if start.t <= got.t < warm]
        informed = {
            one.head
            for one in story.told
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


def order_kept(story: Story) -> Iterator[Breach]:
    """Rule 5: of a class in order, one request a key at a time, in the order they were taken."""
    if not any(one.in_order for one in story.classes.values()):
        return
    lines: dict[tuple[int, str, int], list[tuple[rec.Got, Asked]]] = defaultdict(list)
    for key, attempts in story.attempts.items():
        owner = story.owner.get(key)
        if owner is not None and story.classes[owner.take.class_name].in_order:
            for got in attempts:
                extent = got.offset // story.facts.extent_bytes
                lines[got.head, got.volume, extent].append((got, owner))
    for line in lines.values():
        line.sort(key=lambda pair: pair[0].t)
        for at, (got, owner) in enumerate(line):
            for before, earlier in line[:at]:
                if earlier is owner:
                    continue
                if (earlier.take.t, earlier.take.request) > (owner.take.t, owner.take.request):
                    yield Breach(5, got.t, owner.name, f"sent after {earlier.name}, which was taken later")
                    continue
                said = story.said.get((before.head, before.key, before.attempt))
                over = min((one.t for one in earlier.answers), default=None)
                if said and said[0].t <= got.t:
                    continue
                if over is None or over > got.t + story.facts.flight_us:
                    yield Breach(5, got.t, owner.name, f"sent while {earlier.name} was not over")
                elif got.t + story.facts.flight_us < over + story.facts.order_settle_us:
                    yield Breach(5, got.t, owner.name, f"sent before the rest after {earlier.name} was over")


def budget_kept(story: Story) -> Iterator[Breach]:
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
        takes = story.takes_of[story.heads.get(head, "")]
        for at, t in enumerate(times):
            since = t - facts.budget_window_us
            count = at + 1 - bisect_left(times, since + facts.flight_us)
            taken = bisect_right(takes, t) - bisect_left(takes, since - facts.flight_us)
            if count > facts.budget_free + facts.budget_share * taken:
                who = story.heads.get(head, str(head))
                yield Breach(6, t, who, f"{count} further attempts, {taken} requests taken in the window")
                break


def limits_kept(story: Story) -> Iterator[Breach]:
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
        changes = [one for one in story.limits_now if one.volume == limit.volume]
        for got in firsts:
            if got.volume != limit.volume or got.kind == "flush":
                continue
            if story.facts.regions:
                owner = story.owner.get((got.head, got.key))
                if owner is None or not story.for_client(owner, got):
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


def blocks_are_linearizable(story: Story) -> Iterator[Breach]:
    """Beside the seven.

    Each block that several clients write and read at once behaves as one register (rule 0).
    """
    for volume, block in broken_blocks(story.operations):
        yield Breach(0, 0, f"{volume} block {block}", "no order explains what was read")


def reads_are_right(story: Story) -> Iterator[Breach]:
    """Beside the seven: what was read is what the clients' model of the volume allows (rule 0)."""
    for asked in story.asked:
        for answer in asked.answers:
            if not answer.data_ok:
                yield Breach(0, answer.t, asked.name, "its data is not what was written")


RULES: tuple[Callable[[Story], Iterator[Breach]], ...] = (
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


def _name(story: Story, key: tuple[int, int]) -> str:
    owner = story.owner.get(key)
    return owner.name if owner is not None else f"key {key[1]} of {story.heads.get(key[0], key[0])}"


def check(records: Iterable[rec.Record]) -> list[Breach]:
    """Judge a recording; return all breaches in order of time. Raises Ambiguous."""
    story = Story(records)
    return sorted((breach for rule in RULES for breach in rule(story)), key=lambda breach: breach.t)


def summary(records: Iterable[rec.Record]) -> dict[str, int]:
    """Count what a recording holds, for reports."""
    story = Story(records)
    answers = [answer for asked in story.asked for answer in asked.answers]
    counts = {"requests": len(story.asked), "sends": len(story.got)}
    for outcome in ("served", "refused", "failed"):
        counts[outcome] = sum(answer.outcome == outcome for answer in answers)
    counts["excused"] = sum(asked.excused_at is not None and not asked.answers for asked in story.asked)
    counts["repeats dropped"] = sum(one.result == "repeat" for said in story.said.values() for one in said)
    counts["unanswered by nodes"] = len(story.got) - sum(len(said) for said in story.said.values())
    return counts
