"""Rule 10: a close purges its range in time at every head and node, and nothing else.

Checked by what clients of single blocks wrote and read, what nodes received and executed, and when heads
reported that a close is done. A close may take effect at any time within its bound of its due time.

1. *Purged*: after that no read returns a byte whose write ended before it.
2. *Nothing else*: no byte is lost whose write began after it; a write during that time counts as before or
   after the close, consistently in all reads.
3. *Once*: a close is one generation with the same number and due time at every head; no head repeats or skips
   one or does it early, and at the day's end every living head has done the last.
4. *Trimmed*: no node executes a read or write where bytes from before a close remain, none has such bytes at
   the day's end, and no trim covers bytes written after it.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from harriertrack.rules import recording as rec
from harriertrack.rules.breach import Breach

RULE = 10
MAX_FLIGHT_US = 3_000_000  # of attempts whose sending time is not recorded
EARLY_US = 2_000  # tolerance: a report is timed when it is received


@dataclass(slots=True)
class Block:
    """The values that a block may hold, each with the begin and end of its write; 0: not written."""

    possible: dict[int, tuple[int, int]] = field(default_factory=lambda: {0: (0, 0)})

    def apply_close(self, close: rec.CloseDue, now: int) -> None:
        """Apply the effect that a close may have or must have had by `now`."""
        earliest, latest = close.at - close.bound_us, close.at + close.bound_us
        if now < earliest:
            return
        if any(value and began <= latest for value, (began, _) in self.possible.items()):
            self.possible[0] = (0, 0)
        if now > latest:
            purged = [value for value, (_, ended) in self.possible.items() if value and ended < earliest]
            for value in purged:
                del self.possible[value]

    def apply_write(self, operation: rec.BlockOperation) -> None:
        """Apply a write that ended."""
        if operation.outcome == "served":
            self.possible = {operation.value: (operation.t, operation.ended)}
        elif operation.outcome != "refused":
            self.possible[operation.value] = (operation.t, operation.ended)


def _touches(close: rec.CloseDue, volume: str, offset: int) -> bool:
    return volume in close.volumes and close.start <= offset and (not close.end or offset < close.end)


def _clients(records: list[rec.Record], closes: list[rec.CloseDue]) -> Iterator[Breach]:
    blocks: dict[tuple[str, int], list[rec.BlockOperation]] = defaultdict(list)
    for record in records:
        if isinstance(record, rec.BlockOperation):
            blocks[record.volume, record.offset].append(record)
    for (volume, offset), operations in sorted(blocks.items()):
        pending = [close for close in closes if _touches(close, volume, offset)]
        block, who = Block(), f"{volume}@{offset}"
        for operation in operations:
            for close in pending:
                block.apply_close(close, operation.ended)
            if operation.is_write:
                block.apply_write(operation)
            elif operation.outcome == "served":
                if operation.value not in block.possible:
                    what = f"read {operation.value} at {operation.head}, may be {sorted(block.possible)}"
                    yield Breach(RULE, operation.ended, who, what)
                else:
                    block.possible = {operation.value: block.possible[operation.value]}
            # A close that ended before this operation began is final; a later one may still purge its write.
            pending = [close for close in pending if operation.t <= close.at + close.bound_us]


def _generations(records: list[rec.Record], closes: list[rec.CloseDue]) -> Iterator[Breach]:
    due_times: dict[tuple[str, int], int] = {}
    last_done: dict[tuple[str, str], int] = {}
    alive: set[str] = set()
    end = 0
    for record in records:
        end = record.t if not isinstance(record, rec.Facts) else end
        if isinstance(record, rec.MemberLifecycle):
            (alive.discard if record.how in ("killed", "ended", "leaving") else alive.add)(record.member)
        if not isinstance(record, rec.CloseDone):
            continue
        key = (record.calendar, record.number)
        who = f"{record.head}: close {record.number} of {record.calendar}"
        if due_times.setdefault(key, record.at) != record.at:
            yield Breach(RULE, record.t, who, f"at {record.at}, elsewhere at {due_times[key]}")
        previous = last_done.get((record.head, record.calendar), 0)
        if record.number != previous + 1:
            yield Breach(RULE, record.t, who, f"after {previous}")
        last_done[record.head, record.calendar] = record.number
        if record.t < record.at - EARLY_US:
            yield Breach(RULE, record.t, who, f"{record.at - record.t} us early")
    for close in closes:
        numbers = [key[1] for key, at in due_times.items() if (key[0], at) == (close.calendar, close.at)]
        who = f"close of {close.calendar} at {close.at}"
        if len(numbers) != 1:
            yield Breach(RULE, close.at, who, f"{len(numbers)} generations")
            continue
        for head in sorted(alive):
            if last_done.get((head, close.calendar), 0) < numbers[0]:
                yield Breach(RULE, end, who, f"not done at {head}")
    due = {(close.calendar, close.at) for close in closes}
    for (calendar, number), at in sorted(due_times.items()):
        if (calendar, at) not in due:
            yield Breach(RULE, at, f"close {number} of {calendar}", "nobody asked for it")


@dataclass(frozen=True, slots=True)
class ExecutedWrite:
    """An executed write, and the earliest and latest time at which its head sent it."""

    sent_earliest_us: int
    sent_latest_us: int


class NodeContents:
    """The writes executed at each extent of each node since its last trim."""

    def __init__(self, facts: rec.Facts, closes: list[rec.CloseDue]) -> None:
        self._extent_bytes, self._closes = facts.extent_bytes, closes
        self._writes: dict[tuple[str, str, int], list[ExecutedWrite]] = defaultdict(list)
        self._received: dict[tuple[str, int, int, int], rec.AttemptReceived] = {}
        self._sent: dict[tuple[int, int, int], int] = {}

    def apply(self, record: rec.Record) -> Iterator[Breach]:
        """Apply a record and yield its breaches."""
        if isinstance(record, rec.AttemptSent):
            self._sent[record.head, record.key, record.attempt] = record.t
        elif isinstance(record, rec.AttemptReceived):
            self._received[record.node, record.head, record.key, record.attempt] = record
        elif isinstance(record, rec.AttemptExecuted):
            attempt = self._received.get((record.node, record.head, record.key, record.attempt))
            touching = [
                close
                for close in self._closes
                if attempt is not None and _touches(close, attempt.volume, attempt.offset)
            ]
            if attempt is not None and touching:
                yield from self._apply_executed(record.t, attempt, touching)

    def _apply_executed(
        self, t: int, attempt: rec.AttemptReceived, closes: list[rec.CloseDue]
    ) -> Iterator[Breach]:
        extent = attempt.offset // self._extent_bytes
        writes = self._writes[attempt.node, attempt.volume, extent]
        who = f"{attempt.node} {attempt.volume} extent {extent}"
        sent = self._sent.get((attempt.head, attempt.key, attempt.attempt))
        operation = (
            ExecutedWrite(attempt.t - MAX_FLIGHT_US, attempt.t) if sent is None else ExecutedWrite(sent, sent)
        )
        for close in closes:
            earliest, latest = close.at - close.bound_us, close.at + close.bound_us
            before = any(write.sent_latest_us < earliest for write in writes)
            if attempt.kind in ("read", "write") and operation.sent_earliest_us > latest and before:
                yield Breach(
                    RULE, t, who, f"{attempt.kind} where bytes of before the close at {close.at} lie"
                )
            in_effect = earliest <= t and not any(close.at < other.at <= t for other in closes)
            if (
                attempt.kind == "trim"
                and in_effect
                and any(write.sent_earliest_us > latest for write in writes)
            ):
                yield Breach(RULE, t, who, f"trimmed over bytes of after the close at {close.at}")
        if attempt.kind == "write":
            writes.append(operation)
        elif attempt.kind == "trim" and attempt.length == self._extent_bytes:
            writes.clear()

    def untrimmed(self) -> Iterator[Breach]:
        """Yield a breach for each extent whose purged bytes were never trimmed."""
        for (node, volume, extent), writes in sorted(self._writes.items()):
            for close in self._closes:
                touches = _touches(close, volume, extent * self._extent_bytes)
                if touches and any(write.sent_latest_us < close.at - close.bound_us for write in writes):
                    yield Breach(RULE, close.at, f"{node} {volume} extent {extent}", "never trimmed")
                    break


def _nodes(records: list[rec.Record], closes: list[rec.CloseDue]) -> Iterator[Breach]:
    contents = NodeContents(next(one for one in records if isinstance(one, rec.Facts)), closes)
    for one in records:
        yield from contents.apply(one)
    yield from contents.untrimmed()


def check(records: Iterable[rec.Record]) -> list[Breach]:
    """Check a recording's closes; without a due close nothing is checked."""
    all_records = list(records)
    facts = [record for record in all_records if isinstance(record, rec.Facts)]
    timed = sorted(
        (record for record in all_records if not isinstance(record, rec.Facts)), key=lambda record: record.t
    )
    closes = sorted(
        (record for record in timed if isinstance(record, rec.CloseDue)), key=lambda record: record.at
    )
    if not closes:
        return []
    ordered: list[rec.Record] = [*facts, *timed]
    return [*_clients(ordered, closes), *_generations(ordered, closes), *_nodes(ordered, closes)]
