"""Reports of heads to the deciding head, divided into ticks: by head, zone and class, old version and new.

Counts that say nothing about a version are left out: a head's first seconds after its start or with a
version, and times in which a head that serves the same volumes was away, because its load had moved. What
each head did *before* the version, the baseline, is kept apart; its period is the same for all heads, so a
later drift of the whole fleet does not affect their comparison. Counts start again when a head restarts;
what it did between its last report and its exit is lost.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass, field

from harriertrack.decisions.fleet.rollout.answer_counts import Tally

TICK_US = 2_000_000  # answers of one tick are compared with each other
SAME_CAUSE_US = 30_000_000  # exits of heads in one zone within this time count as one, of a common cause
MIN_USAGE_REPORTS = 5  # reports before a head's memory and processor use are compared


@dataclass(frozen=True, slots=True)
class Report:
    """A head's report on itself; counts are since its process started."""

    head: str
    incarnation: int  # identifies the process
    versions: Mapping[str, int]  # running version by thing
    classes: Mapping[str, Tally]
    memory: int = 0  # bytes
    processor_us: int = 0
    rejected: Mapping[str, tuple[int, str]] = field(default_factory=dict)  # by thing: version and reason
    feature_level: int = 0  # the highest that its program understands


@dataclass(frozen=True, slots=True)
class Row:
    """Answers of one head in one class during one tick."""

    head: str
    zone: str
    class_name: str
    new: bool
    tally: Tally


@dataclass(slots=True)
class Usage:
    """Resources used by a head's process."""

    memory: int = 0
    processor_us: int = 0
    answers: int = 0
    reports: int = 0


@dataclass(slots=True)
class _Head:
    incarnation: int
    number: int
    since: int
    seen_at: int
    zone: str = ""
    last: dict[str, Tally] = field(default_factory=dict)
    processor_us: int = 0
    disturbed_until: int = 0
    baseline: Usage = field(default_factory=Usage)
    current: Usage = field(default_factory=Usage)


class Evidence:
    """The deciding head's evidence on one version of one thing, from all heads' reports."""

    def __init__(self, thing: str, number: int, settle_us: int) -> None:
        self.thing, self.number, self._settle_us = thing, number, settle_us
        self.baseline: dict[tuple[str, str], Tally] = {}  # by head and class
        self._baseline_over = False
        self._heads: dict[str, _Head] = {}
        self._rows: dict[tuple[str, str, bool], Row] = {}
        self._tick = -1
        self._closed: list[list[Row]] = []
        self._exits: dict[bool, list[tuple[int, str]]] = {True: [], False: []}  # by new version: when, zone

    def end_baseline(self) -> None:
        """End the baseline period: the first head is about to change."""
        self._baseline_over = True

    @property
    def heads(self) -> Collection[str]:
        """Return the heads that have reported."""
        return self._heads.keys()

    def set_baseline_usage(self, head: str, usage: Usage) -> None:
        """Set a head's baseline usage from its own report, unless it was observed here."""
        state = self._heads.get(head)
        if state is not None and self._baseline_over and not state.baseline.reports:
            state.baseline = usage

    def add_report(self, now: int, report: Report, zone: str, stopped: Collection[int] = ()) -> None:
        """Process a report; `stopped`: incarnations of the head that exited on request."""
        self._close_tick(now)
        number = report.versions.get(self.thing, 0)
        head = self._heads.get(report.head)
        if head is None or head.incarnation != report.incarnation:
            if head is not None and head.number == number and head.incarnation not in stopped:
                self._add_exit(now, zone, number == self.number)
            fresh = _Head(report.incarnation, number, now, now, zone)
            if head is not None:
                fresh.baseline = head.baseline
            self._heads[report.head] = head = fresh
        elif head.number != number:
            head.number, head.since, head.current = number, now, Usage()
        elif head.seen_at >= max(head.since + self._settle_us, head.disturbed_until):
            self._count(report, head)
        head.zone, head.seen_at = zone, now
        head.last.update(report.classes)  # a report may leave out the least busy classes
        head.processor_us = report.processor_us

    def _count(self, report: Report, head: _Head) -> None:
        new, answers = head.number == self.number, 0
        for name, tally in report.classes.items():
            increase = tally.since(head.last.get(name, Tally()))
            answers += increase.answers
            if not increase.answers:
                continue
            if not self._baseline_over and not new:
                self.baseline.setdefault((report.head, name), Tally()).add(increase)
            key = (report.head, name, new)
            if key not in self._rows:
                self._rows[key] = Row(report.head, head.zone, name, new, Tally())
            self._rows[key].tally.add(increase)
        usage = head.current if self._baseline_over else head.baseline
        usage.reports += 1
        usage.memory = report.memory
        usage.answers += answers
        usage.processor_us += report.processor_us - head.processor_us

    def _add_exit(self, now: int, zone: str, new: bool) -> None:
        exits = self._exits[new]
        if not any(at > now - SAME_CAUSE_US and where == zone for at, where in exits):
            exits.append((now, zone))

    def exclude(self, heads: Collection[str], until: int) -> None:
        """Leave out the answers of these heads until a time: they carry the load of heads that are away."""
        for name in heads:
            if (head := self._heads.get(name)) is not None:
                head.disturbed_until = max(head.disturbed_until, until)

    def _close_tick(self, now: int) -> None:
        tick = now // TICK_US
        if tick != self._tick:
            if self._rows and self._baseline_over:
                self._closed.append(list(self._rows.values()))
            self._rows, self._tick = {}, tick

    def take_ticks(self, now: int) -> Iterator[list[Row]]:
        """Yield the rows of each completed tick, once."""
        self._close_tick(now)
        closed, self._closed = self._closed, []
        yield from closed

    def crash_counts(self) -> tuple[int, int]:
        """Return the number of unrequested exits with the new version and with another, one per cause."""
        return len(self._exits[True]), len(self._exits[False])

    def usage_pairs(self, new: bool) -> list[tuple[Usage, Usage]]:
        """Return baseline and current usage of the heads for which both are known."""
        return [
            (head.baseline, head.current) for head in self._heads.values()
            if (head.number == self.number) is new
            and min(head.baseline.reports, head.current.reports) >= MIN_USAGE_REPORTS
        ]  # fmt: skip
