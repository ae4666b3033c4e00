"""Rollouts over heads that only answer and report: to try what a decider does, and to measure error rates.

One step a second: heads answer by chance, report, follow the record; the conductor looks. Heads change as
they do in service: settings at once, programs by being away for a while. What happens to them is handed in,
second by second. No sockets; the record lies in a variable, as at a witness that is always there.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass, field, replace
from zlib import crc32

import numpy as np

from harriertrack.decisions.fleet.changes import operations
from harriertrack.decisions.fleet.changes.record import Kind, Record, Version, kind_of
from harriertrack.decisions.fleet.changes.version_state import FINISHED, VersionState
from harriertrack.decisions.fleet.rollout.answer_counts import LATENCY_BUCKETS, Tally
from harriertrack.decisions.fleet.rollout.baseline import Baseline, BaselineRecorder
from harriertrack.decisions.fleet.rollout.controller import HeadLocation, RolloutController
from harriertrack.decisions.fleet.rollout.evidence import Report
from harriertrack.decisions.fleet.rollout.plan import DEFAULT_PLAN as USUAL_PLAN, Plan

SECOND_US = 1_000_000
TOOK = np.array(
    [0.02, 0.10, 0.40, 0.30, 0.10, 0.05, 0.03] + [0.0] * (LATENCY_BUCKETS - 7)
)  # of served requests


@dataclass(frozen=True, slots=True)
class ClassOutcomes:
    """How requests of a class go at a head."""

    share: float  # of its requests
    refused: float = 0.01
    failed: float = 0.001
    late: float = 0.01
    slower: int = 0  # buckets

    def worse(self, by: Regression) -> ClassOutcomes:
        """Return the same at a head that runs a bad version."""
        return replace(self, refused=self.refused + by.refused, failed=self.failed + by.failed,
                       late=self.late + by.late, slower=self.slower + by.slower)  # fmt: skip


@dataclass(frozen=True, slots=True)
class Regression:
    """What a bad version does to one class, in parts of its requests."""

    class_name: str = ""
    refused: float = 0.0
    failed: float = 0.0
    late: float = 0.0
    slower: int = 0
    zone: str = ""  # only there
    falls: bool = False  # it does not become ready: the head is back with the old one


@dataclass(slots=True)
class StagedHead:
    """One head."""

    name: str
    zone: str
    volumes: frozenset[int]
    quality: float  # how much more often than usual requests go badly here
    life: int = 1
    runs: dict[str, int] = field(default_factory=dict)
    fell: dict[str, tuple[int, str]] = field(default_factory=dict)
    classes: dict[str, Tally] = field(default_factory=dict)
    away_until: int = 0  # on its way to another program
    dead: bool = False
    cut: bool = False  # it neither hears nor is heard; it serves
    gone_at: int = -1
    becomes: tuple[str, int] | None = None
    clump: float = 1.0
    tells: bool = True  # how it went before; a head of an older program does not
    lies: float = 1.0  # times as often it went badly before, as it tells
    asleep: bool = False  # it does nothing
    remembering: BaselineRecorder = field(default_factory=lambda: BaselineRecorder(0))
    record: Record = field(default_factory=Record)

    @property
    def serves(self) -> bool:
        """Whether it answers requests."""
        return not self.dead and not self.asleep and self.becomes is None

    def restarted(self, now: int) -> None:
        """Begin another life, with what is kept on disk."""
        kept = self.remembering.current(now)
        self.life, self.classes, self.remembering = self.life + 1, {}, BaselineRecorder(now)
        if kept is not None:
            self.remembering.restore(now, kept)

    def before(self, now: int) -> Baseline | None:
        """Return what it tells of how it went before."""
        told = self.remembering.current(now)
        if told is None or not self.tells:
            return None
        return replace(told, classes={name: _lied(one, self.lies) for name, one in told.classes.items()})


def _lied(tally: Tally, times: float) -> Tally:
    late, refused, failed = (round(times * one) for one in (tally.late, tally.refused, tally.failed))
    timely = max(0, tally.answers - late - refused - failed)
    return Tally(timely, late, refused, failed, tally.past_deadline, list(tally.latency_counts))


USUAL = {"read": ClassOutcomes(0.6), "write": ClassOutcomes(0.35), "list": ClassOutcomes(0.05)}


class RolloutSimulation:
    """A fleet, its record and who decides."""

    def __init__(self, heads: int, seed: int, plan: Plan | None = None, zones: int = 3, hosts: int = 3,
                 rate: float = 25.0, clumps: float = 0.0, uneven: float = 0.3, lost: float = 0.02,
                 harms: dict[tuple[str, int], Regression] | None = None, restart_s: int = 8,
                 classes: dict[str, ClassOutcomes] | None = None, report_s: int = 1) -> None:  # fmt: skip
        self.random = np.random.default_rng(seed)
        self.plan, self.rate, self.clumps, self.lost, self.restart_s = plan, rate, clumps, lost, restart_s
        self.habits, self.harms, self.report_s = classes or USUAL, harms or {}, report_s
        self.record, self.now, self.epoch = Record(), 0, 1
        serving: dict[int, set[int]] = {}
        for volume in range(heads):
            for step in range(min(hosts, heads)):
                serving.setdefault((volume + step) % heads, set()).add(crc32(f"vol{volume}".encode()))
        self.heads = {
            f"head{number}": StagedHead(
                f"head{number}", f"z{number % zones}", frozenset(serving.get(number, ())),
                float(np.exp(self.random.normal(0.0, uneven))),
            )
            for number in range(heads)
        }  # fmt: skip
        self.decider = next(iter(self.heads))
        self.controller = RolloutController(self.plan_of)
        self.history: list[tuple[int, Version]] = []
        self.harmed = 0.0  # requests that went badly for running a bad version, as expected
        self.most_new: dict[tuple[int, int], int] = {}  # by version's number and stage
        self.most_away = 0
        self.fleetwide = 1.0
        self.changed: Callable[[RolloutSimulation], None] = lambda _fleet: None

    def plan_of(self, version: Version) -> Plan:
        """Return the plan of a version."""
        return self.plan or USUAL_PLAN

    def propose(self, thing: str, body: str = "b", why: str = "a change", although: str = "") -> None:
        """Ask for a version."""
        holds = self.record.in_force(thing)
        base = holds.number if holds is not None else 0
        self.record = operations.propose(self.record, thing, base, body, "lab", self.now // 1000, why, "",
                                      although)  # fmt: skip

    def new_decider(self, name: str = "") -> None:
        """Let another head decide, which knows the record alone."""
        others = [one.name for one in self.heads.values() if one.serves and one.name != self.decider]
        self.decider, self.epoch = name or others[0], self.epoch + 1
        self.controller = RolloutController(self.plan_of)

    def run(self, seconds: int, each: Callable[[int], None] = lambda _second: None) -> None:
        """Let time pass; `each` is called with every second."""
        for second in range(seconds):
            self.now += SECOND_US
            each(second)
            self._second()

    def run_until(self, thing: str, most_s: int, each: Callable[[int], None] = lambda _second: None,
              more: Collection[VersionState] = ()) -> VersionState:  # fmt: skip
        """Run until a thing's newest version is over or in force, or stands as one of `more`, or for a time.

        Return where it stands.
        """
        done = {*FINISHED, VersionState.IN_FORCE, *more}
        for second in range(most_s):
            self.now += SECOND_US
            each(second)
            self._second()
            if self.record.versions_of(thing)[-1].standing in done:
                break
        return self.record.versions_of(thing)[-1].standing

    def _second(self) -> None:
        for one in self.heads.values():
            self._changes(one)
            if one.serves:
                self._answers(one)
        decider = self.heads[self.decider]
        if not decider.serves:
            self.new_decider()
            decider = self.heads[self.decider]
        for one in self.heads.values():
            heard = one.serves and not one.cut and not decider.cut
            if heard and self.now // SECOND_US % self.report_s == 0 and self.random.random() >= self.lost:
                classes = {}
                for name, tally in one.classes.items():
                    classes[name] = Tally()
                    classes[name].add(tally)
                report = Report(one.name, one.life, dict(one.runs), classes, 100 << 20, 0, dict(one.fell), 1)
                self.controller.add_report(self.now, report, one.volumes, one.zone)
                if (before := one.before(self.now)) is not None:
                    self.controller.add_baseline(self.now, one.name, before)
            if heard or (one is decider):
                one.gone_at = -1
            elif one.gone_at < 0:
                one.gone_at = self.now
        known = {
            one.name: HeadLocation(one.zone, absent_us=self.now - one.gone_at if one.gone_at >= 0 else -1)
            for one in self.heads.values()
        }
        for step in self.controller.next_steps(self.now, self.record, known, self.decider):
            if not decider.cut:
                self.record = step.apply(self.record, self.epoch, self.now // 1000)
                self.history.append((self.now, self.record.find(step.version.thing, step.version.number)))  # type: ignore[arg-type]
        self._watch()

    def _changes(self, one: StagedHead) -> None:
        """Follow the record, as a head does that can reach it."""
        if one.dead or one.asleep:
            return
        if one.becomes is not None:
            if self.now < one.away_until:
                return
            thing, number = one.becomes
            one.becomes = None
            one.restarted(self.now)
            if self.harms.get((thing, number), Regression()).falls:
                one.fell[thing] = (number, "not ready in time")
            else:
                one.runs[thing] = number
                one.fell.pop(thing, None)
        if not one.cut:
            one.record = self.record
        one.remembering.update(self.now, one.record, one.classes)
        for thing in {*one.record.things(), *one.runs}:
            wanted = one.record.version_for(thing, one.name)
            number = wanted.number if wanted is not None else 0
            if number == one.runs.get(thing, 0) or number == one.fell.get(thing, (0, ""))[0] != 0:
                continue
            if kind_of(thing) is Kind.PROGRAM:
                one.becomes, one.away_until = (thing, number), self.now + self.restart_s * SECOND_US
                return
            one.runs[thing] = number

    def _answers(self, one: StagedHead) -> None:
        if self.clumps:  # how badly it goes drifts, head by head
            one.clump = float(np.exp(0.9 * np.log(one.clump) + self.random.normal(0.0, self.clumps)))
        bad = one.quality * one.clump * self.fleetwide
        harms = [self.harms[run] for run in one.runs.items() if run in self.harms]
        for name, habit in self.habits.items():
            n = int(self.random.poisson(self.rate * habit.share))
            mine = habit
            for harm in harms:
                if harm.class_name in ("", name) and harm.zone in ("", one.zone):
                    mine = mine.worse(harm)
                    self.harmed += n * (harm.refused + harm.failed + harm.late)
            usual = (habit.refused * bad, habit.failed * bad, habit.late * bad)
            more = (mine.refused - habit.refused, mine.failed - habit.failed, mine.late - habit.late)
            parts = [min(0.3, was + by) for was, by in zip(usual, more, strict=True)]
            refused, failed, late, timely = self.random.multinomial(n, [*parts, max(0.0, 1 - sum(parts))])
            tally = one.classes.setdefault(name, Tally())
            served = self.random.multinomial(late + timely, TOOK)
            took = [0] * mine.slower + [int(count) for count in served]
            took = [*took[: LATENCY_BUCKETS - 1], sum(took[LATENCY_BUCKETS - 1 :])]
            tally.add(Tally(int(timely), int(late), int(refused), int(failed), 0, took))

    def _watch(self) -> None:
        for thing in self.record.things():
            going = self.record.in_progress(thing)
            if going is not None:
                new = sum(one.runs.get(thing, 0) == going.number for one in self.heads.values())
                key = (going.number, going.stage)
                self.most_new[key] = max(self.most_new.get(key, 0), new)
        self.most_away = max(self.most_away, sum(one.becomes is not None for one in self.heads.values()))
        self.changed(self)
