"""Reports of heads to who decides, as bytes: counts, volumes in pages, and how it went before a version.

At most as many bytes as a topic's body may have; of more classes than fit the least busy are left out. A kind
of report that a decider of an older program does not know it passes over.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Annotated

import msgspec

from harriertrack.decisions.fleet.rollout.answer_counts import LATENCY_BUCKETS, Tally
from harriertrack.decisions.fleet.rollout.baseline import Baseline
from harriertrack.decisions.fleet.rollout.evidence import Report, Usage
from harriertrack.membership.fleet.topic_datagrams import MAX_TOPIC_BODY

PAGE = 150  # checksums of volumes in one report
Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
Counts = Annotated[list[Number], msgspec.Meta(min_length=5, max_length=5 + LATENCY_BUCKETS)]
Name = Annotated[str, msgspec.Meta(max_length=128)]


class _Counted(msgspec.Struct, array_like=True, tag=0):
    life: Number
    level: Number
    memory: Number
    processor_us: Number
    runs: dict[Name, Number]
    fell: dict[Name, tuple[Number, Name]]
    classes: dict[Name, Counts]


class _Volumes(msgspec.Struct, array_like=True, tag=1):
    life: Number
    page: Number
    pages: Number
    sums: Annotated[list[Number], msgspec.Meta(max_length=PAGE)]


class _Before(msgspec.Struct, array_like=True, tag=2):
    life: Number
    thing: Name
    number: Number
    ago_us: Number
    memory: Number
    processor_us: Number
    looks: Number
    classes: dict[Name, Counts]


_DECODER = msgspec.msgpack.Decoder(_Counted | _Volumes | _Before)


class MalformedReport(ValueError):
    """Bytes that are no report."""


def _flat(tally: Tally) -> list[int]:
    took = list(tally.latency_counts)
    while took and not took[-1]:
        took.pop()
    return [tally.timely, tally.late, tally.refused, tally.failed, tally.past_deadline, *took]


def encode_counts(report: Report) -> bytes:
    """Return a report of counts. Raises ValueError if it does not fit even without classes."""
    classes = sorted(report.classes.items(), key=lambda one: -one[1].answers)
    fell = {thing: (number, why[:60]) for thing, (number, why) in report.rejected.items()}
    while True:
        data = msgspec.msgpack.encode(
            _Counted(report.incarnation, report.feature_level, report.memory, report.processor_us,
                     dict(report.versions), fell, {name: _flat(tally) for name, tally in classes})
        )  # fmt: skip
        if len(data) <= MAX_TOPIC_BODY:
            return data
        if not classes:
            raise ValueError(f"a report of {len(data)} bytes, more than {MAX_TOPIC_BODY}")
        classes.pop()


def encode_before(life: int, before: Baseline) -> bytes:
    """Return a report of how it went before a version."""
    classes = sorted(before.classes.items(), key=lambda one: -one[1].answers)
    usage = before.usage
    while True:
        data = msgspec.msgpack.encode(
            _Before(life, before.thing, before.number, before.ago_us, usage.memory, usage.processor_us,
                    usage.reports, {name: _flat(tally) for name, tally in classes})
        )  # fmt: skip
        if len(data) <= MAX_TOPIC_BODY:
            return data
        classes.pop()


def decode_before(data: bytes) -> Baseline:
    """Read a report of how it went before. Raises MalformedReport."""
    read = _decoded(data)
    if not isinstance(read, _Before):
        raise MalformedReport("another kind of report")
    return _before(read)


def _decoded(data: bytes) -> _Counted | _Volumes | _Before:
    try:
        return _DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedReport(str(error)) from error


def _before(read: _Before) -> Baseline:
    classes = _tallies(read.classes)
    answers = sum(one.answers for one in classes.values())
    usage = Usage(read.memory, read.processor_us, answers, read.looks)
    return Baseline(read.thing, read.number, read.ago_us, classes, usage)


def _tallies(classes: Mapping[str, list[int]]) -> dict[str, Tally]:
    return {
        name: Tally(flat[0], flat[1], flat[2], flat[3], flat[4],
                    [*flat[5:], *[0] * (LATENCY_BUCKETS + 5 - len(flat))])
        for name, flat in classes.items()
    }  # fmt: skip


def encode_volumes(life: int, sums: list[int]) -> Iterator[bytes]:
    """Yield reports of the volumes that a head serves, by checksums."""
    pages = max(1, -(-len(sums) // PAGE))
    for page in range(pages):
        yield msgspec.msgpack.encode(_Volumes(life, page, pages, sums[page * PAGE : (page + 1) * PAGE]))


class Heard:
    """What one head reported, put together."""

    def __init__(self, head: str) -> None:
        self._head, self._life = head, -1
        self._pages: dict[int, list[int]] = {}
        self._of = 0

    def take(self, body: bytes) -> Report | Baseline | None:
        """Take a report; return the counts or what was before, if it has such. Raises MalformedReport."""
        read = _decoded(body)
        if read.life != self._life:
            self._life, self._pages, self._of = read.life, {}, 0
        if isinstance(read, _Volumes):
            if read.pages != self._of:
                self._pages, self._of = {}, read.pages
            self._pages[read.page] = read.sums
            return None
        if isinstance(read, _Before):
            return _before(read)
        return Report(self._head, read.life, read.runs, _tallies(read.classes), read.memory,
                      read.processor_us, read.fell, read.level)  # fmt: skip

    @property
    def volumes(self) -> frozenset[int] | None:
        """Return the checksums of the volumes that the head serves; None if not all were told."""
        if not self._of or len(self._pages) < self._of:
            return None
        return frozenset(one for page in self._pages.values() for one in page)
