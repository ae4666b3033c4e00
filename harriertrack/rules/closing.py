"""Rule 10: what a close purges is gone at its moment, at every head and every node, and nothing else.

Judged by what clients of single blocks wrote and read, what nodes received and did, and when heads told that
a close is done. A close may take effect anywhere from its bound before its moment to its bound after it.

1. *Gone*: no read is answered after that with a byte whose write was over before.
2. *Nothing else*: no byte is lost whose write began after it; what was written meanwhile ends before the
   close or after it, and stays there.
3. *Once*: a close is one generation, the same number and moment at every head; none repeats or skips one,
   none is early, and at the day's end every head that lives has done the last.
4. *Trimmed*: no node is read where bytes of before lie, and at the day's end none is left; no trim runs over
   bytes of after.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from harriertrack.rules import recording as rec
from harriertrack.rules.checker import Breach

RULE = 10
LATE_US = 3_000_000  # where no head stamps what it sends: how long that may have been on its way
EARLY_US = 2_000  # what a head tells is stamped when it is heard


@dataclass(slots=True)
class Block:
    """What a block may hold: values, each with when its write began and was over; 0: nothing was written."""

    may: dict[int, tuple[int, int]] = field(default_factory=lambda: {0: (0, 0)})

    def closing(self, close: rec.CloseDue, until: int) -> None:
        """A close passes, as far as it has by `until`."""
        low, high = close.at - close.bound_us, close.at + close.bound_us
        if until < low:
            return
        if any(value and began <= high for value, (began, _) in self.may.items()):
            self.may[0] = (0, 0)
        if until > high:
            gone = [value for value, (_, ended) in self.may.items() if value and ended < low]
            for value in gone:
                del self.may[value]

    def wrote(self, kept: rec.BlockOperation) -> None:
        """A write ended."""
        if kept.outcome == "served":
            self.may = {kept.value: (kept.t, kept.ended)}
        elif kept.outcome != "refused":
            self.may[kept.value] = (kept.t, kept.ended)


def _touches(close: rec.CloseDue, volume: str, offset: int) -> bool:
    return volume in close.volumes and close.start <= offset and (not close.end or offset < close.end)


def _clients(records: list[rec.Record], closes: list[rec.CloseDue]) -> Iterator[Breach]:
    blocks: dict[tuple[str, int], list[rec.BlockOperation]] = defaultdict(list)
    for one in records:
        if isinstance(one, rec.BlockOperation):
            blocks[one.volume, one.offset].append(one)
    for (volume, offset), operations in sorted(blocks.items()):
        mine = [close for close in closes if _touches(close, volume, offset)]
        block, who = Block(), f"{volume}@{offset}"
        for kept in operations:
            for close in mine:
                block.closing(close, kept.ended)
            if kept.is_write:
                block.wrote(kept)
            elif kept.outcome == "served":
                if kept.value not in block.may:
                    what = f"read {kept.value} at {kept.head}, may be {sorted(block.may)}"
                    yield Breach(RULE, kept.ended, who, what)
                else:
                    block.may = {kept.value: block.may[kept.value]}
            # A close that was over when this began has had its effect; another may still take what it wrote.
            mine = [close for close in mine if kept.t <= close.at + close.bound_us]


def _generations(records: list[rec.Record], closes: list[rec.CloseDue]) -> Iterator[Breach]:
    moments: dict[tuple[str, int], int] = {}
    last: dict[tuple[str, str], int] = {}
    alive: set[str] = set()
    end = 0
    for one in records:
        end = one.t if not isinstance(one, rec.Facts) else end
        if isinstance(one, rec.MemberLifecycle):
            (alive.discard if one.how in ("killed", "ended", "leaving") else alive.add)(one.member)
        if not isinstance(one, rec.CloseDone):
            continue
        key, who = (one.calendar, one.number), f"{one.head}: close {one.number} of {one.calendar}"
        if moments.setdefault(key, one.at) != one.at:
            yield Breach(RULE, one.t, who, f"at {one.at}, elsewhere at {moments[key]}")
        before = last.get((one.head, one.calendar), 0)
        if one.number != before + 1:
            yield Breach(RULE, one.t, who, f"after {before}")
        last[one.head, one.calendar] = one.number
        if one.t < one.at - EARLY_US:
            yield Breach(RULE, one.t, who, f"{one.at - one.t} us early")
    for close in closes:
        numbers = [one[1] for one, at in moments.items() if (one[0], at) == (close.calendar, close.at)]
        who = f"close of {close.calendar} at {close.at}"
        if len(numbers) != 1:
            yield Breach(RULE, close.at, who, f"{len(numbers)} generations")
            continue
        for head in sorted(alive):
            if last.get((head, close.calendar), 0) < numbers[0]:
                yield Breach(RULE, end, who, f"not done at {head}")
    wanted = {(close.calendar, close.at) for close in closes}
    for (calendar, number), at in sorted(moments.items()):
        if (calendar, at) not in wanted:
            yield Breach(RULE, at, f"close {number} of {calendar}", "nobody asked for it")


@dataclass(frozen=True, slots=True)
class Written:
    """A write that ran, and between which moments it left its head."""

    low: int
    high: int


class Nodes:
    """What lies where: the writes that ran at each extent of each node since it was trimmed."""

    def __init__(self, facts: rec.Facts, closes: list[rec.CloseDue]) -> None:
        self._size, self._closes = facts.extent_bytes, closes
        self._lies: dict[tuple[str, str, int], list[Written]] = defaultdict(list)
        self._got: dict[tuple[str, int, int, int], rec.AttemptReceived] = {}
        self._sent: dict[tuple[int, int, int], int] = {}

    def follow(self, one: rec.Record) -> Iterator[Breach]:
        """Take a record."""
        if isinstance(one, rec.AttemptSent):
            self._sent[one.head, one.key, one.attempt] = one.t
        elif isinstance(one, rec.AttemptReceived):
            self._got[one.node, one.head, one.key, one.attempt] = one
        elif isinstance(one, rec.AttemptExecuted):
            got = self._got.get((one.node, one.head, one.key, one.attempt))
            mine = [due for due in self._closes if got is not None and _touches(due, got.volume, got.offset)]
            if got is not None and mine:
                yield from self._ran(one.t, got, mine)

    def _ran(self, t: int, got: rec.AttemptReceived, closes: list[rec.CloseDue]) -> Iterator[Breach]:
        extent = got.offset // self._size
        lies, who = self._lies[got.node, got.volume, extent], f"{got.node} {got.volume} extent {extent}"
        sent = self._sent.get((got.head, got.key, got.attempt))
        mine = Written(got.t - LATE_US, got.t) if sent is None else Written(sent, sent)
        for close in closes:
            low, high = close.at - close.bound_us, close.at + close.bound_us
            before = any(one.high < low for one in lies)
            if got.kind in ("read", "write") and mine.low > high and before:
                yield Breach(RULE, t, who, f"{got.kind} where bytes of before the close at {close.at} lie")
            began = low <= t and not any(close.at < one.at <= t for one in closes)
            if got.kind == "trim" and began and any(one.low > high for one in lies):
                yield Breach(RULE, t, who, f"trimmed over bytes of after the close at {close.at}")
        if got.kind == "write":
            lies.append(mine)
        elif got.kind == "trim" and got.length == self._size:
            lies.clear()

    def left(self) -> Iterator[Breach]:
        """Say what was never trimmed."""
        for (node, volume, extent), lies in sorted(self._lies.items()):
            for close in self._closes:
                mine = _touches(close, volume, extent * self._size)
                if mine and any(one.high < close.at - close.bound_us for one in lies):
                    yield Breach(RULE, close.at, f"{node} {volume} extent {extent}", "never trimmed")
                    break


def _nodes(records: list[rec.Record], closes: list[rec.CloseDue]) -> Iterator[Breach]:
    nodes = Nodes(next(one for one in records if isinstance(one, rec.Facts)), closes)
    for one in records:
        yield from nodes.follow(one)
    yield from nodes.left()


def check(records: Iterable[rec.Record]) -> list[Breach]:
    """Judge a recording's closes; nothing where none is due."""
    every = list(records)
    facts = [one for one in every if isinstance(one, rec.Facts)]
    timed = sorted((one for one in every if not isinstance(one, rec.Facts)), key=lambda one: one.t)
    closes = sorted((one for one in timed if isinstance(one, rec.CloseDue)), key=lambda one: one.at)
    if not closes:
        return []
    ordered: list[rec.Record] = [*facts, *timed]
    return [*_clients(ordered, closes), *_generations(ordered, closes), *_nodes(ordered, closes)]
