"""What must hold of weights that heads share, judged by what each told and by what left its sockets.

1. *Bounds*: no weight is beyond a quarter or four.
2. *Rate*: no weight moves faster than so much a second.
3. *Liars*: what a truthful head joins lies among what truthful heads thought of late, an even share included,
   as long as under a third of the heads that live and hear each other lie (votes differ by a factor of two).
4. *Sway*: a weight goes to and fro by no more than so much in ten seconds.
5. *Bytes*: no more than so many bytes of such notes leave a head in any second.
6. *Votes*: a scorer that is broken loses its vote at each head that runs it, and no other scorer does.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Callable, Iterable, Iterator, Sequence
from itertools import pairwise

from harriertrack.rules import recording as rec
from harriertrack.rules.checker import Breach

_Judged = (
    rec.WeightFacts | rec.Weights | rec.ScorerVote | rec.NotesSent | rec.MemberLifecycle | rec.ActiveFaults
)
ROUNDED = 1e-3  # of a power of two: what is told is rounded
LATE_US = 1_000_000  # told once a second at worst: what a head thought in between is not on record
SWAY_US = 10_000_000
VOTE_US = 10_000_000  # a head that runs for so long has asked its scorers often enough
MOST_LIARS = 0.33  # of the heads that live and hear each other
STEP = 1 / 16  # what is said is rounded to that


def bounds(facts: rec.WeightFacts, records: Sequence[_Judged]) -> Iterator[Breach]:
    """1."""
    for one in records:
        if isinstance(one, rec.Weights):
            for node, log in one.used.items():
                if not abs(log) <= facts.most + ROUNDED:
                    yield Breach(1, one.t, one.head, f"{node} has 2^{log:.2f}")


def rate(facts: rec.WeightFacts, records: Sequence[_Judged]) -> Iterator[Breach]:
    """2. Between two tellings of one life; a node that was not named had an even share."""
    last: dict[str, rec.Weights] = {}
    for one in records:
        if isinstance(one, rec.MemberLifecycle) and one.how == "started":
            last.pop(one.member, None)
        if not isinstance(one, rec.Weights):
            continue
        before = last.get(one.head)
        last[one.head] = one
        if before is None:
            continue
        most = facts.rate * (one.t - before.t + LATE_US) / 1e6 + 2 * ROUNDED
        # Only what has a place in both: a node that left the list and returned begins at an even share.
        for node in before.used.keys() & one.used.keys():
            moved = one.used[node] - before.used[node]
            if abs(moved) > most:
                seconds = (one.t - before.t) / 1e6
                yield Breach(2, one.t, one.head, f"{node} moved by {moved:+.2f} in {seconds:.2f} s")


def liars(facts: rec.WeightFacts, records: Sequence[_Judged]) -> Iterator[Breach]:
    """3. What truthful heads thought in the time in which it has a vote, by scorer and node."""
    window = facts.fresh_us + 2 * LATE_US
    thought: dict[tuple[str, str], deque[tuple[int, float]]] = defaultdict(deque)
    awake: set[str] = set()
    struck, too_many_until = False, 0
    for one in records:
        if isinstance(one, rec.ActiveFaults):
            struck = bool(one.faults)
        elif isinstance(one, rec.MemberLifecycle):
            (awake.add if one.how in ("started", "went-on") else awake.discard)(one.member)
        if struck:
            too_many_until = one.t + window  # until all have heard each other again
        elif MOST_LIARS * len(awake) < len(awake & set(facts.liars)):
            too_many_until = max(too_many_until, one.t + 2 * LATE_US)  # who is new has half a vote at once
        if not isinstance(one, rec.Weights) or one.head in facts.liars:
            continue
        for scorer, logs in one.own.items():
            for node, log in logs.items():
                thought[scorer, node].append((one.t, log))
        for scorer, logs in one.joined.items() if one.t > too_many_until else ():
            for node, log in logs.items():
                said = thought[scorer, node]
                while said and said[0][0] < one.t - window:
                    said.popleft()
                logs_said = [0.0, *(each for _, each in said)]
                low, high = min(logs_said), max(logs_said)
                if not low - STEP <= log <= high + STEP:
                    what = f"2^{log:.2f}, where 2^{low:.2f} to 2^{high:.2f} was thought"
                    yield Breach(3, one.t, one.head, f"{node} by {scorer}: {what}")


def sway(facts: rec.WeightFacts, records: Sequence[_Judged]) -> Iterator[Breach]:
    """4. The way that a weight went beyond how far it came, in any ten seconds; the first ten are free."""
    tracks: dict[tuple[str, str], deque[tuple[int, float]]] = defaultdict(deque)
    began: dict[str, int] = {}
    told: set[tuple[str, str]] = set()
    for one in records:
        if isinstance(one, rec.MemberLifecycle) and one.how == "started":
            began[one.member] = one.t
            for key in [key for key in tracks if key[0] == one.member]:
                del tracks[key]
        if not isinstance(one, rec.Weights) or one.t < began.get(one.head, one.t) + SWAY_US:
            continue
        for node in {*one.used, *(node for head, node in tracks if head == one.head)}:
            key = one.head, node
            track = tracks[key]
            track.append((one.t, one.used.get(node, 0.0)))
            while track[0][0] < one.t - SWAY_US:
                track.popleft()
            way = sum(abs(after[1] - before[1]) for before, after in pairwise(track))
            beyond = way - abs(track[-1][1] - track[0][1])
            if beyond > facts.sway + ROUNDED and key not in told:
                told.add(key)
                yield Breach(4, one.t, one.head, f"{node} swayed by {beyond:.2f} in ten seconds")


def notes(facts: rec.WeightFacts, records: Sequence[_Judged]) -> Iterator[Breach]:
    """5."""
    for one in records:
        if isinstance(one, rec.NotesSent) and one.bytes > facts.notes_bytes * one.us / 1e6:
            yield Breach(5, one.t, one.head, f"{one.bytes} bytes of notes in {one.us / 1e6:.2f} s")


def votes(facts: rec.WeightFacts, records: Sequence[_Judged]) -> Iterator[Breach]:
    """6."""
    lost: set[tuple[str, str]] = set()
    began: dict[str, int] = {}
    ran: dict[tuple[str, str], int] = {}
    last = 0
    for one in records:
        last = max(last, one.t)
        if isinstance(one, rec.ScorerVote) and not one.has:
            lost.add((one.head, one.scorer))
            if one.scorer not in facts.broken:
                yield Breach(6, one.t, one.head, f"{one.scorer} lost its vote: {one.why}")
        elif isinstance(one, rec.MemberLifecycle) and one.how == "started":
            began[one.member] = one.t
        elif isinstance(one, rec.Weights):
            for scorer in {*one.own, *one.joined}:
                ran[one.head, scorer] = one.t - began.get(one.head, one.t)
    for (head, scorer), us in sorted(ran.items()):
        if scorer in facts.broken and us > VOTE_US and (head, scorer) not in lost:
            yield Breach(6, last, head, f"{scorer} is broken, and kept its vote")


RULES: tuple[Callable[[rec.WeightFacts, Sequence[_Judged]], Iterator[Breach]], ...] = (
    bounds, rate, liars, sway, notes, votes,
)  # fmt: skip


def check(records: Iterable[rec.Record]) -> list[Breach]:
    """Judge a recording's weights. In order of time; nothing is judged of a day without any."""
    kinds = (
        rec.WeightFacts,
        rec.Weights,
        rec.ScorerVote,
        rec.NotesSent,
        rec.MemberLifecycle,
        rec.ActiveFaults,
    )
    mine = sorted((one for one in records if isinstance(one, kinds)), key=lambda one: one.t)
    facts = next((one for one in mine if isinstance(one, rec.WeightFacts)), None)
    if facts is None:
        return []
    return sorted((breach for rule in RULES for breach in rule(facts, mine)), key=lambda breach: breach.t)
