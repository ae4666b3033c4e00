"""All rollouts of a fleet, as the head that decides conducts them: reports in, the next step out.

Begins anew with each term. What one decider leaves to the next is written in the record, but for how it went
before the version: that each head holds of itself, and tells. Pure.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field

from harriertrack.decisions.fleet.changes.record import Record, Version, kind_of
from harriertrack.decisions.fleet.changes.version_state import ACTIVE, IN_PROGRESS, VersionState
from harriertrack.decisions.fleet.rollout.baseline import Baseline
from harriertrack.decisions.fleet.rollout.baseline_filter import ReportedBaseline, accept_baselines
from harriertrack.decisions.fleet.rollout.evidence import Evidence, Report
from harriertrack.decisions.fleet.rollout.plan import Plan, interrupts_service
from harriertrack.decisions.fleet.rollout.rollout import (
    Rollout,
    Step,
    blocking_version,
    is_staged,
    status_text,
)
from harriertrack.decisions.fleet.rollout.selection import HeadState
from harriertrack.decisions.fleet.rollout.sequential_test import (
    Finding,
    SequentialTest,
    Verdict,
    excess_usage,
)

HEARD_US = 6_000_000  # a head that reports no more is not heard; it reports each second
LATE_US = 2_000_000  # what a head tells is as old as it says, but for the way
MOST_PAST = 7  # lives of a head that are remembered to be over
NOTHING = Finding(Verdict.NOT_YET, "no evidence yet")


class InvalidPlan(ValueError):
    """A version can't be brought about as it says."""


@dataclass(frozen=True, slots=True)
class HeadLocation:
    """A head by the view: where it is, and for how long it has not been there (-1: it is)."""

    zone: str = ""
    cell: str = ""
    region: str = ""
    absent_us: int = -1


@dataclass(slots=True)
class _Heard:
    at: int
    report: Report
    volumes: frozenset[int] | None
    past: tuple[int, ...] = ()  # lives that are over


@dataclass(slots=True)
class TrackedRollout:
    """One version under way."""

    rollout: Rollout
    evidence: Evidence
    test: SequentialTest | None = None
    finding: Finding = NOTHING
    stage: int = 0
    excess: str = ""
    taken_over: bool = False  # this decider did not see the whole time of before
    reported_baselines: dict[str, ReportedBaseline] = field(default_factory=dict)  # what heads told of it
    weighed_heads: int = 0  # heads, when that was weighed


@dataclass(slots=True)
class RolloutController:
    """Of one term. `plan_of` reads a version's plan and body, or raises BadPlan."""

    plan_of: Callable[[Version], Plan]
    tracked: dict[tuple[str, int], TrackedRollout] = field(default_factory=dict)
    _heard: dict[str, _Heard] = field(default_factory=dict)
    _told: dict[str, ReportedBaseline] = field(default_factory=dict)

    def add_baseline(self, now: int, head: str, before: Baseline) -> None:
        """Take what a head tells of the time before a version."""
        ended, known = now - before.ago_us, self._told.get(head)
        key = before.thing, before.number
        if known is not None and (known.baseline.thing, known.baseline.number) == key:
            if (
                abs(known.ended_at - ended) <= LATE_US
                and known.baseline.classes.keys() == before.classes.keys()
            ):
                return  # the same again
        self._told[head] = ReportedBaseline(ended, before)

    def add_report(self, now: int, report: Report, volumes: frozenset[int] | None, zone: str,
              asked: Collection[int] = ()) -> None:  # fmt: skip
        """Take a head's report.

        `volumes`: checksums of those it serves, None if not all were told; `asked`: its lives that ended as
        somebody wished.
        """
        before = self._heard.get(report.head)
        past: tuple[int, ...] = ()
        if before is not None:
            past = before.past
            if report.incarnation in past:
                return  # it was late
            if report.incarnation != before.report.incarnation:
                past = (*past[-MOST_PAST:], before.report.incarnation)
        self._heard[report.head] = _Heard(now, report, volumes, past)
        for one in self.tracked.values():
            one.evidence.add_report(now, report, zone, asked)

    def feature_levels(self) -> dict[str, int]:
        """Return the feature level that each head said last that it understands."""
        return {name: one.report.feature_level for name, one in self._heard.items()}

    def head_states(
        self, now: int, known: Mapping[str, HeadLocation], version: Version
    ) -> dict[str, HeadState]:
        """Return the heads as far as a version is concerned."""
        found = {}
        for name, where in known.items():
            heard, runs, fell = self._heard.get(name), None, ""
            silent = now - heard.at if heard is not None else None
            here = where.absent_us < 0 and silent is not None and silent <= HEARD_US
            if heard is not None:
                runs = heard.report.versions.get(version.thing, 0)
                number, why = heard.report.rejected.get(version.thing, (0, ""))
                fell = why if number == version.number else ""
            absent = 0 if here else max(where.absent_us, silent or 0)
            found[name] = HeadState(name, where.zone, where.cell, where.region,
                                 heard.volumes if heard is not None else None, runs, fell, here,
                                 absent)  # fmt: skip
        return found

    def next_steps(self, now: int, record: Record, known: Mapping[str, HeadLocation], me: str) -> list[Step]:
        """Return what is due, for each version under way."""
        under_way = {(one.thing, one.number): one for one in record.versions
                     if one.standing in IN_PROGRESS and is_staged(one.thing)}  # fmt: skip
        for gone in self.tracked.keys() - under_way.keys():
            del self.tracked[gone]
        steps = []
        for version in under_way.values():
            try:
                step = self._look(now, record, version, known, me)
            except InvalidPlan as error:
                step = _undo(version, str(error))
            if step is not None:
                steps.append(step)
        return steps

    def _look(self, now: int, record: Record, version: Version, known: Mapping[str, HeadLocation],
              me: str) -> Step | None:  # fmt: skip
        key = version.thing, version.number
        one = self.tracked.get(key)
        if one is None:
            plan = self.plan_of(version)
            one = TrackedRollout(Rollout(*key, plan), Evidence(*key, plan.settle_us))
            if version.standing is not VersionState.PROPOSED:
                one.taken_over = True  # it was seen by another
                one.evidence.end_baseline()
            self.tracked[key] = one
        members = self.head_states(now, known, version)
        plan = one.rollout.plan
        if version.standing is VersionState.PROPOSED and blocking_version(record, version.thing) is not None:
            one.evidence = Evidence(*key, plan.settle_us)  # while another thing changes nothing is as before
        if version.standing in ACTIVE:
            self._disturb(now, version, one, members)
            self._judge(now, version, one, members)
        step = one.rollout.next_step(now, record, members, me, one.finding, self._spoilt(one, plan))
        if step is not None and version.standing is VersionState.PROPOSED:
            one.evidence.end_baseline()
        return step

    def _disturb(
        self, now: int, version: Version, one: TrackedRollout, members: Mapping[str, HeadState]
    ) -> None:
        """Leave out heads that bear the load of one that is away."""
        if not interrupts_service(kind_of(version.thing)):
            return
        away = one.rollout.away_heads(version.heads, members)
        moved = {volume for name in away if name in members for volume in members[name].volumes or ()}
        # What a head serves that went before this decider heard of it is not known: any head may bear it.
        unknown = any(members[name].volumes is None and members[name].absent_us <= one.rollout.plan.ready_us
                      for name in away if name in members)  # fmt: skip
        bears = [name for name, member in members.items()
                 if unknown or (member.volumes and member.volumes & moved)]  # fmt: skip
        one.evidence.exclude(bears, now + one.rollout.plan.settle_us)

    def _judge(
        self, now: int, version: Version, one: TrackedRollout, members: Mapping[str, HeadState]
    ) -> None:
        plan = one.rollout.plan
        if not plan.measures:
            one.finding = Finding(Verdict.NOT_WORSE, "nothing is compared")
            return
        fresh = one.test is None or one.stage != version.stage
        if one.test is None or fresh:
            one.test, one.stage, one.reported_baselines = (
                SequentialTest(plan, one.evidence.baseline),
                version.stage,
                {},
            )
        if one.taken_over:
            self._believe(version, one, one.test)
        ticks = list(one.evidence.take_ticks(now))
        for rows in ticks:
            one.test.add_tick(rows)
        if ticks or fresh:
            at = min(max(version.stage, 1), len(plan.stages)) - 1
            alone = all(name in version.heads for name, member in members.items() if member.present)
            one.finding = one.test.evaluate(at, alone)

    def _believe(self, version: Version, one: TrackedRollout, judge: SequentialTest) -> None:
        """Go by what heads tell of the time before, as far as it is to be believed."""
        key = version.thing, version.number
        telling = {name: told for name, told in self._told.items()
                   if (told.baseline.thing, told.baseline.number) == key}  # fmt: skip
        heads = one.evidence.heads
        if telling == one.reported_baselines and len(heads) == one.weighed_heads:
            return
        one.reported_baselines, one.weighed_heads = telling, len(heads)
        found = accept_baselines(telling, heads, one.rollout.plan.bounds.more)
        judge.set_baseline(found.counts, found.outliers)
        for name in {head for head, _ in found.counts}:
            one.evidence.set_baseline_usage(name, telling[name].baseline.usage)

    def _spoilt(self, one: TrackedRollout, plan: Plan) -> str:
        if not plan.measures:
            return ""
        mine, others = one.evidence.crash_counts()
        if plan.bounds.crashes and mine - others >= plan.bounds.crashes:
            return f"{mine} heads with it ended unasked, {others} without"
        grew = excess_usage(one.evidence, plan)
        # A figure alone may be a moment's: it has to hold from one look to the next.
        found, one.excess = (grew if one.excess else ""), grew
        return found

    def status_lines(self, record: Record) -> list[str]:
        """Return where each rollout stands, for operators."""
        lines = []
        for (thing, number), one in self.tracked.items():
            version = record.find(thing, number)
            if version is not None:
                lines.append(f"{thing} {number}: {status_text(version, one.rollout)}{_before(one)}")
        return lines


def _before(one: TrackedRollout) -> str:
    """Return what a decider that took over goes by, for operators."""
    if not one.taken_over or one.test is None:
        return ""
    tell = len({head for head, _ in one.test.baseline})
    odd = "".join(f"; not {head}, {why}" for head, why in sorted(one.test.outliers.items()))
    return f" (before as {tell} of {one.weighed_heads} heads tell it{odd})"


def _undo(version: Version, why: str) -> Step | None:
    """Take a version back that can't be brought about."""
    match version.standing:
        case VersionState.PROPOSED:
            return Step(version, VersionState.ABORTED, why, version.stage, ())
        case VersionState.REVERTING:
            return Step(version, VersionState.ABORTED, version.reason, version.stage, ())
        case _:
            return Step(version, VersionState.REVERTING, why, version.stage, version.heads)
