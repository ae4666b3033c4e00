"""All rollouts of a fleet, as the head that decides conducts them: reports in, the next step out.

Begins anew with each term. What one decider leaves to the next is written in the record, but for how it went
before the version: that each head holds of itself, and tells. Pure.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field

from harriertrack.decisions.fleet.changes.record import Record, Version, kind_of
from harriertrack.decisions.fleet.changes.standing import RUN, UNDER_WAY, Standing
from harriertrack.decisions.fleet.rollout.baseline import Before
from harriertrack.decisions.fleet.rollout.baseline_filter import Told, believed
from harriertrack.decisions.fleet.rollout.evidence import Evidence, Report
from harriertrack.decisions.fleet.rollout.plan import Plan, goes_away
from harriertrack.decisions.fleet.rollout.rollout import Rollout, Step, in_stages, told, waits_for
from harriertrack.decisions.fleet.rollout.selection import Member
from harriertrack.decisions.fleet.rollout.sequential_test import Finding, Judge, Verdict, outgrown

HEARD_US = 6_000_000  # a head that reports no more is not heard; it reports each second
LATE_US = 2_000_000  # what a head tells is as old as it says, but for the way
MOST_PAST = 7  # lives of a head that are remembered to be over
NOTHING = Finding(Verdict.NOT_YET, "no evidence yet")


class BadPlan(ValueError):
    """A version can't be brought about as it says."""


@dataclass(frozen=True, slots=True)
class Known:
    """A head by the view: where it is, and for how long it has not been there (-1: it is)."""

    zone: str = ""
    cell: str = ""
    region: str = ""
    gone_us: int = -1


@dataclass(slots=True)
class _Heard:
    at: int
    report: Report
    volumes: frozenset[int] | None
    past: tuple[int, ...] = ()  # lives that are over


@dataclass(slots=True)
class Followed:
    """One version under way."""

    rollout: Rollout
    evidence: Evidence
    judge: Judge | None = None
    finding: Finding = NOTHING
    stage: int = 0
    spoilt: str = ""
    taken_over: bool = False  # this decider did not see the whole time of before
    telling: dict[str, Told] = field(default_factory=dict)  # what heads told of it
    known: int = 0  # heads, when that was weighed


@dataclass(slots=True)
class Conductor:
    """Of one term. `plan_of` reads a version's plan and body, or raises BadPlan."""

    plan_of: Callable[[Version], Plan]
    followed: dict[tuple[str, int], Followed] = field(default_factory=dict)
    _heard: dict[str, _Heard] = field(default_factory=dict)
    _told: dict[str, Told] = field(default_factory=dict)

    def heard_before(self, now: int, head: str, before: Before) -> None:
        """Take what a head tells of the time before a version."""
        ended, known = now - before.ago_us, self._told.get(head)
        key = before.thing, before.number
        if known is not None and (known.before.thing, known.before.number) == key:
            if abs(known.ended - ended) <= LATE_US and known.before.classes.keys() == before.classes.keys():
                return  # the same again
        self._told[head] = Told(ended, before)

    def heard(self, now: int, report: Report, volumes: frozenset[int] | None, zone: str,
              asked: Collection[int] = ()) -> None:  # fmt: skip
        """Take a head's report.

        `volumes`: checksums of those it serves, None if not all were told; `asked`: its lives that ended as
        somebody wished.
        """
        before = self._heard.get(report.head)
        past: tuple[int, ...] = ()
        if before is not None:
            past = before.past
            if report.life in past:
                return  # it was late
            if report.life != before.report.life:
                past = (*past[-MOST_PAST:], before.report.life)
        self._heard[report.head] = _Heard(now, report, volumes, past)
        for one in self.followed.values():
            one.evidence.heard(now, report, zone, asked)

    def understood(self) -> dict[str, int]:
        """Return the feature level that each head said last that it understands."""
        return {name: one.report.level for name, one in self._heard.items()}

    def members(self, now: int, known: Mapping[str, Known], version: Version) -> dict[str, Member]:
        """Return the heads as far as a version is concerned."""
        found = {}
        for name, where in known.items():
            heard, runs, fell = self._heard.get(name), None, ""
            silent = now - heard.at if heard is not None else None
            here = where.gone_us < 0 and silent is not None and silent <= HEARD_US
            if heard is not None:
                runs = heard.report.runs.get(version.thing, 0)
                number, why = heard.report.fell.get(version.thing, (0, ""))
                fell = why if number == version.number else ""
            absent = 0 if here else max(where.gone_us, silent or 0)
            found[name] = Member(name, where.zone, where.cell, where.region,
                                 heard.volumes if heard is not None else None, runs, fell, here,
                                 absent)  # fmt: skip
        return found

    def look(self, now: int, record: Record, known: Mapping[str, Known], me: str) -> list[Step]:
        """Return what is due, for each version under way."""
        under_way = {(one.thing, one.number): one for one in record.versions
                     if one.standing in UNDER_WAY and in_stages(one.thing)}  # fmt: skip
        for gone in self.followed.keys() - under_way.keys():
            del self.followed[gone]
        steps = []
        for version in under_way.values():
            try:
                step = self._look(now, record, version, known, me)
            except BadPlan as error:
                step = _undo(version, str(error))
            if step is not None:
                steps.append(step)
        return steps

    def _look(self, now: int, record: Record, version: Version, known: Mapping[str, Known],
              me: str) -> Step | None:  # fmt: skip
        key = version.thing, version.number
        one = self.followed.get(key)
        if one is None:
            plan = self.plan_of(version)
            one = Followed(Rollout(*key, plan), Evidence(*key, plan.settle_us))
            if version.standing is not Standing.PROPOSED:
                one.taken_over = True  # it was seen by another
                one.evidence.begin()
            self.followed[key] = one
        members = self.members(now, known, version)
        plan = one.rollout.plan
        if version.standing is Standing.PROPOSED and waits_for(record, version.thing) is not None:
            one.evidence = Evidence(*key, plan.settle_us)  # while another thing changes nothing is as before
        if version.standing in RUN:
            self._disturb(now, version, one, members)
            self._judge(now, version, one, members)
        step = one.rollout.look(now, record, members, me, one.finding, self._spoilt(one, plan))
        if step is not None and version.standing is Standing.PROPOSED:
            one.evidence.begin()
        return step

    def _disturb(self, now: int, version: Version, one: Followed, members: Mapping[str, Member]) -> None:
        """Leave out heads that bear the load of one that is away."""
        if not goes_away(kind_of(version.thing)):
            return
        away = one.rollout.away(version.heads, members)
        moved = {volume for name in away if name in members for volume in members[name].volumes or ()}
        # What a head serves that went before this decider heard of it is not known: any head may bear it.
        unknown = any(members[name].volumes is None and members[name].absent_us <= one.rollout.plan.ready_us
                      for name in away if name in members)  # fmt: skip
        bears = [name for name, member in members.items()
                 if unknown or (member.volumes and member.volumes & moved)]  # fmt: skip
        one.evidence.disturbed(bears, now + one.rollout.plan.settle_us)

    def _judge(self, now: int, version: Version, one: Followed, members: Mapping[str, Member]) -> None:
        plan = one.rollout.plan
        if not plan.measures:
            one.finding = Finding(Verdict.NOT_WORSE, "nothing is compared")
            return
        fresh = one.judge is None or one.stage != version.stage
        if one.judge is None or fresh:
            one.judge, one.stage, one.telling = Judge(plan, one.evidence.before), version.stage, {}
        if one.taken_over:
            self._believe(version, one, one.judge)
        ticks = list(one.evidence.ticks(now))
        for rows in ticks:
            one.judge.take(rows)
        if ticks or fresh:
            at = min(max(version.stage, 1), len(plan.stages)) - 1
            alone = all(name in version.heads for name, member in members.items() if member.here)
            one.finding = one.judge.finding(at, alone)

    def _believe(self, version: Version, one: Followed, judge: Judge) -> None:
        """Go by what heads tell of the time before, as far as it is to be believed."""
        key = version.thing, version.number
        telling = {name: told for name, told in self._told.items()
                   if (told.before.thing, told.before.number) == key}  # fmt: skip
        heads = one.evidence.heads
        if telling == one.telling and len(heads) == one.known:
            return
        one.telling, one.known = telling, len(heads)
        found = believed(telling, heads, one.rollout.plan.bounds.more)
        judge.believe(found.counts, found.odd)
        for name in {head for head, _ in found.counts}:
            one.evidence.used(name, telling[name].before.usage)

    def _spoilt(self, one: Followed, plan: Plan) -> str:
        if not plan.measures:
            return ""
        mine, others = one.evidence.crashes()
        if plan.bounds.crashes and mine - others >= plan.bounds.crashes:
            return f"{mine} heads with it ended unasked, {others} without"
        grew = outgrown(one.evidence, plan)
        # A figure alone may be a moment's: it has to hold from one look to the next.
        found, one.spoilt = (grew if one.spoilt else ""), grew
        return found

    def told(self, record: Record) -> list[str]:
        """Return where each rollout stands, for operators."""
        lines = []
        for (thing, number), one in self.followed.items():
            version = record.find(thing, number)
            if version is not None:
                lines.append(f"{thing} {number}: {told(version, one.rollout)}{_before(one)}")
        return lines


def _before(one: Followed) -> str:
    """Return what a decider that took over goes by, for operators."""
    if not one.taken_over or one.judge is None:
        return ""
    tell = len({head for head, _ in one.judge.before})
    odd = "".join(f"; not {head}, {why}" for head, why in sorted(one.judge.odd.items()))
    return f" (before as {tell} of {one.known} heads tell it{odd})"


def _undo(version: Version, why: str) -> Step | None:
    """Take a version back that can't be brought about."""
    match version.standing:
        case Standing.PROPOSED:
            return Step(version, Standing.ABORTED, why, version.stage, ())
        case Standing.BACK:
            return Step(version, Standing.ABORTED, version.reason, version.stage, ())
        case _:
            return Step(version, Standing.BACK, why, version.stage, version.heads)
