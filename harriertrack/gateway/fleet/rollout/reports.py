"""Encoding of heads' reports to the deciding head: counts, volumes in pages, and baselines before a version.

A report fits a topic's body: the least busy classes that do not fit are left out. A deciding head with an
older program ignores kinds of reports that it does not know.
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


class _CountsReport(msgspec.Struct, array_like=True, tag=0):
    life: Number
    level: Number
    memory: Number
    processor_us: Number
    runs: dict[Name, Number]
    fell: dict[Name, tuple[Number, Name]]
    classes: dict[Name, Counts]


class _VolumesReport(msgspec.Struct, array_like=True, tag=1):
    life: Number
    page: Number
    pages: Number
    sums: Annotated[list[Number], msgspec.Meta(max_length=PAGE)]


class _BaselineReport(msgspec.Struct, array_like=True, tag=2):
    life: Number
    thing: Name
    number: Number
    ago_us: Number
    memory: Number
    processor_us: Number
    looks: Number
    classes: dict[Name, Counts]


_DECODER = msgspec.msgpack.Decoder(_CountsReport | _VolumesReport | _BaselineReport)


class MalformedReport(ValueError):
    """Bytes that are not a valid report."""


def _flatten(tally: Tally) -> list[int]:
    latencies = list(tally.latency_counts)
    while latencies and not latencies[-1]:
        latencies.pop()
    return [tally.timely, tally.late, tally.refused, tally.failed, tally.past_deadline, *latencies]


def encode_counts(report: Report) -> bytes:
    """Return a report of counts. Raises ValueError if it does not fit even without classes."""
    classes = sorted(report.classes.items(), key=lambda one: -one[1].answers)
    fell = {thing: (number, why[:60]) for thing, (number, why) in report.rejected.items()}
    while True:
        data = msgspec.msgpack.encode(
            _CountsReport(report.incarnation, report.feature_level, report.memory, report.processor_us,
                          dict(report.versions), fell, {name: _flatten(tally) for name, tally in classes})
        )  # fmt: skip
        if len(data) <= MAX_TOPIC_BODY:
            return data
        if not classes:
            raise ValueError(f"a report of {len(data)} bytes, more than {MAX_TOPIC_BODY}")
        classes.pop()


def encode_baseline(incarnation: int, before: Baseline) -> bytes:
    """Return a report of the baseline before a version."""
    classes = sorted(before.classes.items(), key=lambda one: -one[1].answers)
    usage = before.usage
    while True:
        data = msgspec.msgpack.encode(
            _BaselineReport(incarnation, before.thing, before.number, before.ago_us, usage.memory,
                            usage.processor_us, usage.reports,
                            {name: _flatten(tally) for name, tally in classes})
        )  # fmt: skip
        if len(data) <= MAX_TOPIC_BODY:
            return data
        classes.pop()


def decode_baseline(data: bytes) -> Baseline:
    """Decode a report of a baseline. Raises MalformedReport."""
    read = _decode(data)
    if not isinstance(read, _BaselineReport):
        raise MalformedReport("another kind of report")
    return _baseline(read)


def _decode(data: bytes) -> _CountsReport | _VolumesReport | _BaselineReport:
    try:
        return _DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedReport(str(error)) from error


def _baseline(read: _BaselineReport) -> Baseline:
    classes = _tallies(read.classes)
    answers = sum(one.answers for one in classes.values())
    usage = Usage(read.memory, read.processor_us, answers, read.looks)
    return Baseline(read.thing, read.number, read.ago_us, classes, usage)


def _tallies(classes: Mapping[str, list[int]]) -> dict[str, Tally]:
    return {
        name: Tally(numbers[0], numbers[1], numbers[2], numbers[3], numbers[4],
                    [*numbers[5:], *[0] * (LATENCY_BUCKETS + 5 - len(numbers))])
        for name, numbers in classes.items()
    }  # fmt: skip


def encode_volumes(incarnation: int, sums: list[int]) -> Iterator[bytes]:
    """Yield reports of the volumes that a head serves, as checksums of their names."""
    pages = max(1, -(-len(sums) // PAGE))
    for page in range(pages):
        yield msgspec.msgpack.encode(
            _VolumesReport(incarnation, page, pages, sums[page * PAGE : (page + 1) * PAGE])
        )


class ReportAssembler:
    """The reports of one head, combined."""

    def __init__(self, head: str) -> None:
        self._head, self._incarnation = head, -1
        self._pages: dict[int, list[int]] = {}
        self._page_count = 0

    def handle_report(self, body: bytes) -> Report | Baseline | None:
        """Handle a report; return its counts or baseline, if it has one. Raises MalformedReport."""
        read = _decode(body)
        if read.life != self._incarnation:
            self._incarnation, self._pages, self._page_count = read.life, {}, 0
        if isinstance(read, _VolumesReport):
            if read.pages != self._page_count:
                self._pages, self._page_count = {}, read.pages
            self._pages[read.page] = read.sums
            return None
        if isinstance(read, _BaselineReport):
            return _baseline(read)
        return Report(self._head, read.life, read.runs, _tallies(read.classes), read.memory,
                      read.processor_us, read.fell, read.level)  # fmt: skip

    @property
    def volumes(self) -> frozenset[int] | None:
        """Return the checksums of the volumes that the head serves; None until all pages were received."""
        if not self._page_count or len(self._pages) < self._page_count:
            return None
        return frozenset(one for page in self._pages.values() for one in page)
