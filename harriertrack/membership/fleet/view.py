"""The members as one of them holds them: the newest word on each, and two sums by which views are compared.

Words are taken by a total order (life, incarnation, state), so that views which heard the same words in any
order hold the same. `digest` sums who is there, by name and life: two heads whose digests are equal agree.
`summary` sums the same with incarnations and states in buckets of names, so that only what differs is sent.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from xxhash import xxh64_intdigest

from harriertrack.membership.fleet.messages import (
    BUCKETS,
    MAX_TOPICS,
    Note,
    ProcessInstance,
    Record,
    State,
    TopicNote,
)
from harriertrack.membership.fleet.suspicion import Suspicion

MOST_HISTORY = 12  # words on a member that are kept to explain what is held of it
_ALL = (1 << 63) - 1
_SUMMED = (1 << 32) - 1


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """A word that changed what is held of a member: when it came, by the holder's clock."""

    at: int
    record: Record


@dataclass(slots=True)
class Row:
    """A member."""

    record: Record
    since: int  # when its present state was learnt
    bucket: int
    note: Note | None = None
    topics: dict[str, TopicNote] = field(default_factory=dict)
    digest: int = 0  # whom it said to be there last
    last_contact: int = 0  # when it last said anything itself; 0: never in this life
    suspicion: Suspicion | None = None
    history: deque[HistoryEntry] = field(default_factory=lambda: deque(maxlen=MOST_HISTORY))


@dataclass(frozen=True, slots=True)
class Change:
    """What a word changed."""

    before: Record | None
    after: Record

    @property
    def process_changed(self) -> bool:
        """Whether the member is another process than before."""
        return self.before is not None and self.before.process != self.after.process


def _there(record: Record) -> int:
    return xxh64_intdigest(f"{record.name}\0{record.started}\0{record.instance}".encode())


def _exactly(record: Record) -> int:
    return xxh64_intdigest("\0".join(map(str, (record.name, *record.precedence))).encode()) & _SUMMED


class View:
    """All members that are known, those that are gone among them until they are forgotten."""

    def __init__(self) -> None:
        self._rows: dict[str, Row] = {}
        self._summary = [0] * BUCKETS
        self.present: dict[str, None] = {}  # names, in the order in which they came
        self.digest = 0
        self.changes = 0
        self.changed_at = 0

    def __len__(self) -> int:
        return len(self._rows)

    def __iter__(self) -> Iterator[Row]:
        return iter(self._rows.values())

    def find(self, name: str) -> Row | None:
        """Return a member by its name."""
        return self._rows.get(name)

    @property
    def summary(self) -> tuple[int, ...]:
        """Return what is compared with another view's."""
        return tuple(self._summary)

    def differing(self, summary: tuple[int, ...]) -> frozenset[int]:
        """Return the buckets in which another view's summary differs."""
        theirs = summary[:BUCKETS] + (0,) * (BUCKETS - len(summary))
        pairs = enumerate(zip(self._summary, theirs, strict=True))
        return frozenset(at for at, (here, there) in pairs if here != there)

    def rows_in(self, buckets: frozenset[int]) -> list[Row]:
        """Return all members of some buckets, the gone ones too."""
        return [row for row in self._rows.values() if row.bucket in buckets]

    def apply(self, now: int, record: Record) -> Change | None:
        """Take a word; return what it changed, None if what is held is as new."""
        row = self._rows.get(record.name)
        if row is None:
            bucket = xxh64_intdigest(record.name.encode()) % BUCKETS
            row = self._rows[record.name] = Row(record, now, bucket)
            change = Change(None, record)
        else:
            before = row.record
            if record.precedence <= before.precedence:
                return None
            self._count(before, row.bucket, -1)
            change = Change(before, record)
            row.record = record
            if before.state != record.state or change.process_changed:
                row.since = now
            if change.process_changed:
                row.note, row.digest, row.last_contact = None, 0, 0
                row.topics.clear()
            row.suspicion = None
        self._count(record, row.bucket, 1)
        row.history.append(HistoryEntry(now, record))
        if record.present:
            self.present.setdefault(record.name)
        else:
            self.present.pop(record.name, None)
        self.changes += 1
        self.changed_at = now
        return change

    def _count(self, record: Record, bucket: int, sign: int) -> None:
        if record.present:
            self.digest = (self.digest + sign * _there(record)) & _ALL
            self._summary[bucket] = (self._summary[bucket] + sign * _exactly(record)) & _SUMMED

    def apply_note(self, note: Note) -> bool:
        """Take a member's note; return whether it is news."""
        row = self._rows.get(note.name)
        if row is None or row.record.process != ProcessInstance(note.started, note.instance):
            return False
        if row.note is not None and note.precedence <= row.note.precedence:
            return False
        row.note = note
        return True

    def apply_topic_note(self, note: TopicNote) -> bool:
        """Take a member's note on a topic; return whether it is news. The one said longest ago makes room."""
        row = self._rows.get(note.name)
        if row is None or row.record.process != ProcessInstance(note.started, note.instance):
            return False
        known = row.topics.get(note.topic)
        if known is not None and note.precedence <= known.precedence:
            return False
        if known is None and len(row.topics) >= MAX_TOPICS:
            oldest = min(row.topics.values(), key=lambda one: one.precedence)
            if note.precedence <= oldest.precedence:
                return False
            del row.topics[oldest.topic]
        row.topics[note.topic] = note
        return True

    def forget(self, name: str) -> None:
        """Forget a member that is gone."""
        row = self._rows[name]
        assert not row.record.present, "only who is gone is forgotten"
        del self._rows[name]

    def rows_with(self, *states: State) -> list[Row]:
        """Return the members of which one of these states is held."""
        return [row for row in self._rows.values() if row.record.state in states]
