"""All rollouts of a fleet, controlled by the deciding head: reports in, the next steps out.

Its state begins empty with each term. What a deciding head leaves to the next is written in the record,
except for the baselines before a version: each head stores and reports its own. Pure.
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

REPORT_TIMEOUT_US = 6_000_000  # a head whose last report is older is absent; heads report each second
MAX_DELAY_US = 2_000_000  # by which reports of one baseline differ in when its period ended
PAST_INCARNATIONS = 7  # earlier incarnations of a head that are remembered
NO_EVIDENCE = Finding(Verdict.NOT_YET, "no evidence yet")


class InvalidPlan(ValueError):
    """A version can't be rolled out by its plan or body."""


@dataclass(frozen=True, slots=True)
class HeadLocation:
    """A head in the member view: its location, and for how long it has been absent (-1: it is present)."""

    zone: str = ""
    cell: str = ""
    region: str = ""
    absent_us: int = -1


@dataclass(slots=True)
class _LastReport:
    at: int
    report: Report
    volumes: frozenset[int] | None
    past: tuple[int, ...] = ()  # earlier incarnations


@dataclass(slots=True)
class TrackedRollout:
    """One version in progress."""

    rollout: Rollout
    evidence: Evidence
    test: SequentialTest | None = None
    finding: Finding = NO_EVIDENCE
    stage: int = 0
    excess: str = ""
    taken_over: bool = False  # this head did not observe the complete baseline period
    reported_baselines: dict[str, ReportedBaseline] = field(default_factory=dict)  # when last filtered
    weighed_heads: int = 0  # number of heads then


@dataclass(slots=True)
class RolloutController:
    """Controls the rollouts during one term.

    `plan_of` reads a version's plan and checks its body, or raises InvalidPlan.
    """

    plan_of: Callable[[Version], Plan]
    tracked: dict[tuple[str, int], TrackedRollout] = field(default_factory=dict)
    _reports: dict[str, _LastReport] = field(default_factory=dict)
    _baselines: dict[str, ReportedBaseline] = field(default_factory=dict)

    def add_baseline(self, now: int, head: str, baseline: Baseline) -> None:
        """Process a head's report of its baseline."""
        ended, known = now - baseline.ago_us, self._baselines.get(head)
        key = baseline.thing, baseline.number
        if known is not None and (known.baseline.thing, known.baseline.number) == key:
            if (
                abs(known.ended_at - ended) <= MAX_DELAY_US
                and known.baseline.classes.keys() == baseline.classes.keys()
            ):
                return  # the same report again
        self._baselines[head] = ReportedBaseline(ended, baseline)

    def add_report(self, now: int, report: Report, volumes: frozenset[int] | None, zone: str,
                   stopped: Collection[int] = ()) -> None:  # fmt: skip
        """Process a head's report.

        `volumes`: checksums of those it serves, None if not all were reported; `stopped`: its incarnations
        that exited on request.
        """
        before = self._reports.get(report.head)
        past: tuple[int, ...] = ()
        if before is not None:
            past = before.past
            if report.incarnation in past:
                return  # a delayed report
            if report.incarnation != before.report.incarnation:
                past = (*past[-PAST_INCARNATIONS:], before.report.incarnation)
        self._reports[report.head] = _LastReport(now, report, volumes, past)
        for rollout in self.tracked.values():
            rollout.evidence.add_report(now, report, zone, stopped)

    def feature_levels(self) -> dict[str, int]:
        """Return the feature level that each head last reported."""
        return {name: last.report.feature_level for name, last in self._reports.items()}

    def head_states(
        self, now: int, known: Mapping[str, HeadLocation], version: Version
    ) -> dict[str, HeadState]:
        """Return the state of all heads with respect to a version."""
        states = {}
        for name, where in known.items():
            last, runs, rejection = self._reports.get(name), None, ""
            silent = now - last.at if last is not None else None
            present = where.absent_us < 0 and silent is not None and silent <= REPORT_TIMEOUT_US
            if last is not None:
                runs = last.report.versions.get(version.thing, 0)
                number, why = last.report.rejected.get(version.thing, (0, ""))
                rejection = why if number == version.number else ""
            absent = 0 if present else max(where.absent_us, silent or 0)
            states[name] = HeadState(name, where.zone, where.cell, where.region,
                                     last.volumes if last is not None else None, runs, rejection, present,
                                     absent)  # fmt: skip
        return states

    def next_steps(self, now: int, record: Record, known: Mapping[str, HeadLocation], me: str) -> list[Step]:
        """Return the steps to write now, for all versions in progress."""
        in_progress = {(one.thing, one.number): one for one in record.versions
                       if one.standing in IN_PROGRESS and is_staged(one.thing)}  # fmt: skip
        for over in self.tracked.keys() - in_progress.keys():
            del self.tracked[over]
        steps = []
        for version in in_progress.values():
            try:
                step = self._next_step(now, record, version, known, me)
            except InvalidPlan as error:
                step = _withdraw(version, str(error))
            if step is not None:
                steps.append(step)
        return steps

    def _next_step(self, now: int, record: Record, version: Version, known: Mapping[str, HeadLocation],
                   me: str) -> Step | None:  # fmt: skip
        key = version.thing, version.number
        tracked = self.tracked.get(key)
        if tracked is None:
            plan = self.plan_of(version)
            tracked = TrackedRollout(Rollout(*key, plan), Evidence(*key, plan.settle_us))
            if version.standing is not VersionState.PROPOSED:
                tracked.taken_over = True  # an earlier deciding head observed the baseline period
                tracked.evidence.end_baseline()
            self.tracked[key] = tracked
        members = self.head_states(now, known, version)
        plan = tracked.rollout.plan
        if version.standing is VersionState.PROPOSED and blocking_version(record, version.thing) is not None:
            tracked.evidence = Evidence(*key, plan.settle_us)  # not a baseline while another thing changes
        if version.standing in ACTIVE:
            self._exclude_disturbed(now, version, tracked, members)
            self._evaluate(now, version, tracked, members)
        step = tracked.rollout.next_step(
            now, record, members, me, tracked.finding, self._check_usage(tracked, plan)
        )
        if step is not None and version.standing is VersionState.PROPOSED:
            tracked.evidence.end_baseline()
        return step

    def _exclude_disturbed(
        self, now: int, version: Version, tracked: TrackedRollout, members: Mapping[str, HeadState]
    ) -> None:
        """Leave out the heads that carry the load of heads that are away."""
        if not interrupts_service(kind_of(version.thing)):
            return
        away = tracked.rollout.away_heads(version.heads, members)
        moved = {volume for name in away if name in members for volume in members[name].volumes or ()}
        # The volumes of a head that left before it reported here are unknown: any head may carry its load.
        unknown = any(
            members[name].volumes is None and members[name].absent_us <= tracked.rollout.plan.ready_us
            for name in away if name in members
        )  # fmt: skip
        loaded = [name for name, member in members.items()
                  if unknown or (member.volumes and member.volumes & moved)]  # fmt: skip
        tracked.evidence.exclude(loaded, now + tracked.rollout.plan.settle_us)

    def _evaluate(
        self, now: int, version: Version, tracked: TrackedRollout, members: Mapping[str, HeadState]
    ) -> None:
        plan = tracked.rollout.plan
        if not plan.measures:
            tracked.finding = Finding(Verdict.NOT_WORSE, "nothing is compared")
            return
        fresh = tracked.test is None or tracked.stage != version.stage
        if tracked.test is None or fresh:
            tracked.test = SequentialTest(plan, tracked.evidence.baseline)
            tracked.stage = version.stage
            tracked.reported_baselines = {}
        if tracked.taken_over:
            self._apply_baselines(version, tracked, tracked.test)
        ticks = list(tracked.evidence.take_ticks(now))
        for rows in ticks:
            tracked.test.add_tick(rows)
        if ticks or fresh:
            at = min(max(version.stage, 1), len(plan.stages)) - 1
            alone = all(name in version.heads for name, member in members.items() if member.present)
            tracked.finding = tracked.test.evaluate(at, alone)

    def _apply_baselines(self, version: Version, tracked: TrackedRollout, test: SequentialTest) -> None:
        """Use the baselines that heads reported, as far as they are accepted."""
        key = version.thing, version.number
        reported = {name: one for name, one in self._baselines.items()
                    if (one.baseline.thing, one.baseline.number) == key}  # fmt: skip
        heads = tracked.evidence.heads
        if reported == tracked.reported_baselines and len(heads) == tracked.weighed_heads:
            return
        tracked.reported_baselines, tracked.weighed_heads = reported, len(heads)
        accepted = accept_baselines(reported, heads, tracked.rollout.plan.bounds.more)
        test.set_baseline(accepted.counts, accepted.outliers)
        for name in {head for head, _ in accepted.counts}:
            tracked.evidence.set_baseline_usage(name, reported[name].baseline.usage)

    def _check_usage(self, tracked: TrackedRollout, plan: Plan) -> str:
        """Return why a version is stopped for crashes or resource use; "" if it is not."""
        if not plan.measures:
            return ""
        mine, others = tracked.evidence.crash_counts()
        if plan.bounds.crashes and mine - others >= plan.bounds.crashes:
            return f"{mine} heads with it ended unasked, {others} without"
        excess = excess_usage(tracked.evidence, plan)
        # A single measurement may be momentary: the excess has to last from one check to the next.
        found, tracked.excess = (excess if tracked.excess else ""), excess
        return found

    def status_lines(self, record: Record) -> list[str]:
        """Return the state of each rollout, for operators."""
        lines = []
        for (thing, number), tracked in self.tracked.items():
            version = record.find(thing, number)
            if version is not None:
                lines.append(
                    f"{thing} {number}: {status_text(version, tracked.rollout)}{_baseline_text(tracked)}"
                )
        return lines


def _baseline_text(tracked: TrackedRollout) -> str:
    """Return which baselines a deciding head that took over uses, for operators."""
    if not tracked.taken_over or tracked.test is None:
        return ""
    reporting = len({head for head, _ in tracked.test.baseline})
    outliers = "".join(f"; not {head}, {why}" for head, why in sorted(tracked.test.outliers.items()))
    return f" (before as {reporting} of {tracked.weighed_heads} heads tell it{outliers})"


def _withdraw(version: Version, why: str) -> Step | None:
    """Return the step that takes back a version that can't be rolled out."""
    match version.standing:
        case VersionState.PROPOSED:
            return Step(version, VersionState.ABORTED, why, version.stage, ())
        case VersionState.REVERTING:
            return Step(version, VersionState.ABORTED, version.reason, version.stage, ())
        case _:
            return Step(version, VersionState.REVERTING, why, version.stage, version.heads)
