"""A member's view of the fleet: the newest record of each member, and two checksums to compare views.

Records have a total order (process instance, incarnation, state), so that views which received the same
records in any order are equal. `digest` sums the present members by name and process instance: two heads with
equal digests agree. `summary` also covers incarnations and states, in buckets by name, so that only
differences are sent.
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

MAX_MEMBERS = 8192  # present and gone ones: names come in datagrams, from whoever sends them
MAX_HISTORY = 12  # records of a member that are stored to explain its present state
_MASK_63_BITS = (1 << 63) - 1
_MASK_32_BITS = (1 << 32) - 1


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """A record that changed a member's state, and when it was received by the local clock."""

    received_at: int
    record: Record


@dataclass(slots=True)
class Row:
    """A member in the view."""

    record: Record
    since: int  # when its current state was applied
    bucket: int
    note: Note | None = None
    topics: dict[str, TopicNote] = field(default_factory=dict)
    digest: int = 0  # digest in its last datagram
    last_contact: int = 0  # when its last datagram was received; 0: none from this process instance
    suspicion: Suspicion | None = None
    history: deque[HistoryEntry] = field(default_factory=lambda: deque(maxlen=MAX_HISTORY))


@dataclass(frozen=True, slots=True)
class Change:
    """The effect of a record on the view."""

    before: Record | None
    after: Record

    @property
    def process_changed(self) -> bool:
        """Whether the member is another process than before."""
        return self.before is not None and self.before.process != self.after.process


def _presence_hash(record: Record) -> int:
    return xxh64_intdigest(f"{record.name}\0{record.started}\0{record.instance}".encode())


def _record_hash(record: Record) -> int:
    return xxh64_intdigest("\0".join(map(str, (record.name, *record.precedence))).encode()) & _MASK_32_BITS


class View:
    """All known members, including the dead and those that left until they are removed."""

    def __init__(self) -> None:
        self._rows: dict[str, Row] = {}
        self._summary = [0] * BUCKETS
        self.present: dict[str, None] = {}  # names, in the order in which they were added
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
        """Return the bucket checksums to compare with another view."""
        return tuple(self._summary)

    def differing(self, summary: tuple[int, ...]) -> frozenset[int]:
        """Return the buckets in which another view's summary differs."""
        theirs = summary[:BUCKETS] + (0,) * (BUCKETS - len(summary))
        pairs = enumerate(zip(self._summary, theirs, strict=True))
        return frozenset(bucket for bucket, (here, there) in pairs if here != there)

    def rows_in(self, buckets: frozenset[int]) -> list[Row]:
        """Return all members of some buckets, whatever their state."""
        return [row for row in self._rows.values() if row.bucket in buckets]

    def apply(self, now: int, record: Record) -> Change | None:
        """Apply a record; return the change, None if the stored record is as new, or there is no room."""
        row = self._rows.get(record.name)
        if row is None:
            if len(self._rows) >= MAX_MEMBERS:
                return None
            bucket = xxh64_intdigest(record.name.encode()) % BUCKETS
            row = self._rows[record.name] = Row(record, now, bucket)
            change = Change(None, record)
        else:
            before = row.record
            if record.precedence <= before.precedence:
                return None
            self._add_to_sums(before, row.bucket, -1)
            change = Change(before, record)
            row.record = record
            if before.state != record.state or change.process_changed:
                row.since = now
            if change.process_changed:
                row.note, row.digest, row.last_contact = None, 0, 0
                row.topics.clear()
            row.suspicion = None
        self._add_to_sums(record, row.bucket, 1)
        row.history.append(HistoryEntry(now, record))
        if record.present:
            self.present.setdefault(record.name)
        else:
            self.present.pop(record.name, None)
        self.changes += 1
        self.changed_at = now
        return change

    def _add_to_sums(self, record: Record, bucket: int, sign: int) -> None:
        if record.present:
            self.digest = (self.digest + sign * _presence_hash(record)) & _MASK_63_BITS
            self._summary[bucket] = (self._summary[bucket] + sign * _record_hash(record)) & _MASK_32_BITS

    def apply_note(self, note: Note) -> bool:
        """Apply a member's note; return whether it is new."""
        row = self._rows.get(note.name)
        if row is None or row.record.process != ProcessInstance(note.started, note.instance):
            return False
        if row.note is not None and note.precedence <= row.note.precedence:
            return False
        row.note = note
        return True

    def apply_topic_note(self, note: TopicNote) -> bool:
        """Apply a topic note; return whether it is new. At the limit it replaces the oldest note."""
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
        """Remove a member that is dead or left."""
        row = self._rows[name]
        assert not row.record.present, "a present member can not be removed"
        del self._rows[name]

    def rows_with(self, *states: State) -> list[Row]:
        """Return the members in one of these states."""
        return [row for row in self._rows.values() if row.record.state in states]
