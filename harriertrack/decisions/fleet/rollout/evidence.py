"""What heads report to who decides, cut into ticks: by head, zone and class, old version and new.

Left out is what says nothing of a version: a head's first seconds in a life or with a version, and times in
which a head that serves the same volumes was away, for its load had moved. Kept apart is what each head did
*before*, in one time that is the same for all: later that a whole fleet drifts changes nothing between them.
A head that restarts starts its counts anew; what it did between its last report and its end is not known.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass, field

from harriertrack.decisions.fleet.rollout.answer_counts import Tally

TICK_US = 2_000_000  # answers of so long are looked at together
SAME_CAUSE_US = 30_000_000  # heads of one zone that end within so long ended of one cause
MIN_USAGE_REPORTS = 5  # reports after which a head's memory is taken as it is


@dataclass(frozen=True, slots=True)
class Report:
    """What a head tells of itself; counts are since its process began."""

    head: str
    incarnation: int  # which process, by a number of its own
    versions: Mapping[str, int]  # version by thing
    classes: Mapping[str, Tally]
    memory: int = 0  # bytes
    processor_us: int = 0
    rejected: Mapping[str, tuple[int, str]] = field(default_factory=dict)  # the version not taken, and why
    feature_level: int = 0  # the highest feature level that its program understands


@dataclass(frozen=True, slots=True)
class Row:
    """What a head answered in one tick in one class."""

    head: str
    zone: str
    class_name: str
    new: bool
    tally: Tally


@dataclass(slots=True)
class Usage:
    """What a head's process used."""

    memory: int = 0
    processor_us: int = 0
    answers: int = 0
    reports: int = 0


@dataclass(slots=True)
class _Head:
    life: int
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
    """All heads' reports on one version of one thing, at who decides."""

    def __init__(self, thing: str, number: int, settle_us: int) -> None:
        self.thing, self.number, self._settle_us = thing, number, settle_us
        self.baseline: dict[tuple[str, str], Tally] = {}  # by head and class
        self._begun = False
        self._heads: dict[str, _Head] = {}
        self._rows: dict[tuple[str, str, bool], Row] = {}
        self._tick = -1
        self._closed: list[list[Row]] = []
        self._ends: dict[bool, list[tuple[int, str]]] = {True: [], False: []}

    def end_baseline(self) -> None:
        """The first head is about to change: what was before is over."""
        self._begun = True

    @property
    def heads(self) -> Collection[str]:
        """Return who was heard."""
        return self._heads.keys()

    def set_baseline_usage(self, head: str, usage: Usage) -> None:
        """Hear from a head what it used before, where this was not seen."""
        one = self._heads.get(head)
        if one is not None and self._begun and not one.baseline.reports:
            one.baseline = usage

    def add_report(self, now: int, report: Report, zone: str, asked: Collection[int] = ()) -> None:
        """Take a report; `asked`: lives of the head that ended as somebody wished."""
        self._close(now)
        number = report.versions.get(self.thing, 0)
        one = self._heads.get(report.head)
        if one is None or one.life != report.incarnation:
            if one is not None and one.number == number and one.life not in asked:
                self._ended(now, zone, number == self.number)
            fresh = _Head(report.incarnation, number, now, now, zone)
            if one is not None:
                fresh.baseline = one.baseline
            self._heads[report.head] = one = fresh
        elif one.number != number:
            one.number, one.since, one.current = number, now, Usage()
        elif one.seen_at >= max(one.since + self._settle_us, one.disturbed_until):
            self._count(report, one)
        one.zone, one.seen_at = zone, now
        one.last.update(report.classes)  # the least busy ones are not in every report
        one.processor_us = report.processor_us

    def _count(self, report: Report, one: _Head) -> None:
        new, answers = one.number == self.number, 0
        for name, tally in report.classes.items():
            fresh = tally.since(one.last.get(name, Tally()))
            answers += fresh.answers
            if not fresh.answers:
                continue
            if not self._begun and not new:
                self.baseline.setdefault((report.head, name), Tally()).add(fresh)
            key = (report.head, name, new)
            if key not in self._rows:
                self._rows[key] = Row(report.head, one.zone, name, new, Tally())
            self._rows[key].tally.add(fresh)
        usage = one.current if self._begun else one.baseline
        usage.reports += 1
        usage.memory = report.memory
        usage.answers += answers
        usage.processor_us += report.processor_us - one.processor_us

    def _ended(self, now: int, zone: str, new: bool) -> None:
        ends = self._ends[new]
        if not any(at > now - SAME_CAUSE_US and where == zone for at, where in ends):
            ends.append((now, zone))

    def exclude(self, heads: Collection[str], until: int) -> None:
        """Leave out what these heads do up to a time: others' load is theirs meanwhile."""
        for name in heads:
            if (one := self._heads.get(name)) is not None:
                one.disturbed_until = max(one.disturbed_until, until)

    def _close(self, now: int) -> None:
        tick = now // TICK_US
        if tick != self._tick:
            if self._rows and self._begun:
                self._closed.append(list(self._rows.values()))
            self._rows, self._tick = {}, tick

    def take_ticks(self, now: int) -> Iterator[list[Row]]:
        """Yield each tick that is over, once."""
        self._close(now)
        closed, self._closed = self._closed, []
        yield from closed

    def crash_counts(self) -> tuple[int, int]:
        """Return how often heads ended unasked, of one cause each: those with the version, and the others."""
        return len(self._ends[True]), len(self._ends[False])

    def usage_pairs(self, new: bool) -> list[tuple[Usage, Usage]]:
        """Return what heads used before and since, of those of which both are known."""
        return [
            (one.baseline, one.current) for one in self._heads.values()
            if (one.number == self.number) is new
            and min(one.baseline.reports, one.current.reports) >= MIN_USAGE_REPORTS
        ]  # fmt: skip
