"""Checks the weights that heads share by what each head reports and sends.

Weights are given as log2: 0 is an even share.

1. *Bounds*: no weight exceeds its bounds, a quarter and four.
2. *Rate*: no weight changes faster than the rate limit.
3. *Liars*: a truthful head's aggregate lies in the range of truthful heads' recent weights and the even
   share, as long as under a third of the living heads that hear each other lie (votes differ by a factor of
   two).
4. *Oscillation*: a weight oscillates at most as far as allowed in ten seconds.
5. *Bytes*: no head sends more bytes of weight notes in a second than allowed.
6. *Votes*: a broken scorer loses its vote at each head that runs it, and no other scorer does.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Callable, Iterable, Iterator, Sequence
from itertools import pairwise

from harriertrack.rules import recording as rec
from harriertrack.rules.breach import Breach

_Checked = (
    rec.WeightFacts | rec.Weights | rec.ScorerVote | rec.NotesSent | rec.MemberLifecycle | rec.ActiveFaults
)
ROUNDING = 1e-3  # log2; reported weights are rounded
REPORT_PERIOD_US = 1_000_000  # heads report at least this often; weights in between are not recorded
OSCILLATION_WINDOW_US = 10_000_000
DETECTION_US = 10_000_000  # a head that ran this long has called its scorers often enough
MAX_LIAR_SHARE = 0.33  # of the living heads that hear each other
NOTE_STEP = 1 / 16  # log2; weights in notes are rounded to this


def bounds(facts: rec.WeightFacts, records: Sequence[_Checked]) -> Iterator[Breach]:
    """1: weights stay within their bounds."""
    for record in records:
        if isinstance(record, rec.Weights):
            for node, log in record.used.items():
                if not abs(log) <= facts.most + ROUNDING:
                    yield Breach(1, record.t, record.head, f"{node} has 2^{log:.2f}")


def rate(facts: rec.WeightFacts, records: Sequence[_Checked]) -> Iterator[Breach]:
    """2: weights change no faster than the rate limit, between two reports of one process of a head."""
    last: dict[str, rec.Weights] = {}
    for record in records:
        if isinstance(record, rec.MemberLifecycle) and record.how == "started":
            last.pop(record.member, None)
        if not isinstance(record, rec.Weights):
            continue
        previous = last.get(record.head)
        last[record.head] = record
        if previous is None:
            continue
        max_change = facts.rate * (record.t - previous.t + REPORT_PERIOD_US) / 1e6 + 2 * ROUNDING
        # Only nodes in both reports: a node that left the list and returned begins at an even share.
        for node in previous.used.keys() & record.used.keys():
            change = record.used[node] - previous.used[node]
            if abs(change) > max_change:
                seconds = (record.t - previous.t) / 1e6
                yield Breach(2, record.t, record.head, f"{node} moved by {change:+.2f} in {seconds:.2f} s")


def liars(facts: rec.WeightFacts, records: Sequence[_Checked]) -> Iterator[Breach]:
    """3: aggregates stay in the range of what truthful heads reported while their reports have a vote."""
    window = facts.fresh_us + 2 * REPORT_PERIOD_US
    reported_weights: dict[tuple[str, str], deque[tuple[int, float]]] = defaultdict(deque)
    awake: set[str] = set()
    faulty, unchecked_until_us = False, 0
    for record in records:
        if isinstance(record, rec.ActiveFaults):
            faulty = bool(record.faults)
        elif isinstance(record, rec.MemberLifecycle):
            (awake.add if record.how in ("started", "went-on") else awake.discard)(record.member)
        if faulty:
            unchecked_until_us = record.t + window  # until all heads have received each other's notes again
        elif MAX_LIAR_SHARE * len(awake) < len(awake & set(facts.liars)):
            # A new head starts with half a vote.
            unchecked_until_us = max(unchecked_until_us, record.t + 2 * REPORT_PERIOD_US)
        if not isinstance(record, rec.Weights) or record.head in facts.liars:
            continue
        for scorer, logs in record.own.items():
            for node, log in logs.items():
                reported_weights[scorer, node].append((record.t, log))
        for scorer, logs in record.joined.items() if record.t > unchecked_until_us else ():
            for node, log in logs.items():
                recent = reported_weights[scorer, node]
                while recent and recent[0][0] < record.t - window:
                    recent.popleft()
                possible = [0.0, *(each for _, each in recent)]
                low, high = min(possible), max(possible)
                if not low - NOTE_STEP <= log <= high + NOTE_STEP:
                    what = f"2^{log:.2f}, where 2^{low:.2f} to 2^{high:.2f} was thought"
                    yield Breach(3, record.t, record.head, f"{node} by {scorer}: {what}")


def sway(facts: rec.WeightFacts, records: Sequence[_Checked]) -> Iterator[Breach]:
    """4: the length of a weight's path minus its net change is bounded in any ten seconds.

    The first ten seconds of a head are not checked.
    """
    tracks: dict[tuple[str, str], deque[tuple[int, float]]] = defaultdict(deque)
    started_at_us: dict[str, int] = {}
    reported: set[tuple[str, str]] = set()
    for record in records:
        if isinstance(record, rec.MemberLifecycle) and record.how == "started":
            started_at_us[record.member] = record.t
            for key in [key for key in tracks if key[0] == record.member]:
                del tracks[key]
        if (
            not isinstance(record, rec.Weights)
            or record.t < started_at_us.get(record.head, record.t) + OSCILLATION_WINDOW_US
        ):
            continue
        for node in {*record.used, *(node for head, node in tracks if head == record.head)}:
            key = record.head, node
            track = tracks[key]
            track.append((record.t, record.used.get(node, 0.0)))
            while track[0][0] < record.t - OSCILLATION_WINDOW_US:
                track.popleft()
            path = sum(abs(after[1] - before[1]) for before, after in pairwise(track))
            oscillation = path - abs(track[-1][1] - track[0][1])
            if oscillation > facts.sway + ROUNDING and key not in reported:
                reported.add(key)
                yield Breach(4, record.t, record.head, f"{node} swayed by {oscillation:.2f} in ten seconds")


def notes(facts: rec.WeightFacts, records: Sequence[_Checked]) -> Iterator[Breach]:
    """5: the bytes of notes that a head sends stay within the bound."""
    for record in records:
        if isinstance(record, rec.NotesSent) and record.bytes > facts.notes_bytes * record.us / 1e6:
            yield Breach(
                5, record.t, record.head, f"{record.bytes} bytes of notes in {record.us / 1e6:.2f} s"
            )


def votes(facts: rec.WeightFacts, records: Sequence[_Checked]) -> Iterator[Breach]:
    """6: broken scorers lose their votes, and no others do."""
    lost: set[tuple[str, str]] = set()
    started_at_us: dict[str, int] = {}
    running_us: dict[tuple[str, str], int] = {}
    last = 0
    for record in records:
        last = max(last, record.t)
        if isinstance(record, rec.ScorerVote) and not record.has:
            lost.add((record.head, record.scorer))
            if record.scorer not in facts.broken:
                yield Breach(6, record.t, record.head, f"{record.scorer} lost its vote: {record.why}")
        elif isinstance(record, rec.MemberLifecycle) and record.how == "started":
            started_at_us[record.member] = record.t
        elif isinstance(record, rec.Weights):
            for scorer in {*record.own, *record.joined}:
                running_us[record.head, scorer] = record.t - started_at_us.get(record.head, record.t)
    for (head, scorer), us in sorted(running_us.items()):
        if scorer in facts.broken and us > DETECTION_US and (head, scorer) not in lost:
            yield Breach(6, last, head, f"{scorer} is broken, and kept its vote")


RULES: tuple[Callable[[rec.WeightFacts, Sequence[_Checked]], Iterator[Breach]], ...] = (
    bounds, rate, liars, sway, notes, votes,
)  # fmt: skip


def check(records: Iterable[rec.Record]) -> list[Breach]:
    """Check a recording's weights; nothing is checked without WeightFacts. In order of time."""
    kinds = (
        rec.WeightFacts,
        rec.Weights,
        rec.ScorerVote,
        rec.NotesSent,
        rec.MemberLifecycle,
        rec.ActiveFaults,
    )
    checked = sorted((record for record in records if isinstance(record, kinds)), key=lambda record: record.t)
    facts = next((record for record in checked if isinstance(record, rec.WeightFacts)), None)
    if facts is None:
        return []
    return sorted((breach for rule in RULES for breach in rule(facts, checked)), key=lambda breach: breach.t)
