"""The next step of a version that is being brought about, from the record and what is heard of the heads.

Where a rollout stands is in the record alone: standing, stage, heads. Whoever decides next goes on from
there, also from between any two steps. What a decider knows beside it, since when by its own clock each head
is heard to run the version, and what they answered, is gathered anew by the next one: a soak then begins
again, and none is ever shortened. No wall clock plays a part. Pure.

    PROPOSED   heads are watched as they are; another rollout is waited for
    GOING      heads are named, ever more of the stage; when all run it: the soak; then the next stage
    PAUSED     as it is, but for going back
    BACK       heads are named no more, at a pace of its own, until none is heard to run it
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from harriertrack.decisions.fleet.changes import writing
from harriertrack.decisions.fleet.changes.record import Kind, Record, Version, kind_of
from harriertrack.decisions.fleet.changes.standing import RUN, Standing
from harriertrack.decisions.fleet.rollout.plan import Plan, Stage, goes_away
from harriertrack.decisions.fleet.rollout.selection import Member, line, next_away, staged
from harriertrack.decisions.fleet.rollout.sequential_test import Finding, Verdict

STOPPED = "worse: "  # begins the reason of a version that the evidence stopped
WANTING = "not enough yet: "  # ... and of one that is paused for want of it


@dataclass(frozen=True, slots=True)
class Step:
    """What is to be written, and the version as it was when that was decided."""

    before: Version
    standing: Standing
    reason: str
    stage: int
    heads: tuple[str, ...]

    def write(self, record: Record, epoch: int, at_ms: int) -> Record:
        """Return the record with this step taken. Raises what `writing.step` raises.

        An operator, or another head, may have come first: then nothing of this is to be done.
        """
        now = record.find(self.before.thing, self.before.number)
        if now != self.before:
            raise writing.Refused(f"{self.before.thing}: version {self.before.number} has moved on")
        return writing.step(record, epoch, self.before.thing, self.before.number, self.standing, at_ms,
                            self.reason, self.stage, self.heads)  # fmt: skip


def in_stages(thing: str) -> bool:
    """Whether versions of a thing come in stages. Calendars hold for all at once, as closes decide."""
    return kind_of(thing) is not Kind.CALENDAR


def waits_for(record: Record, thing: str) -> Version | None:
    """Return the version of another thing that goes first: one at a time, in the order of being proposed."""
    others = [one for one in record.versions if in_stages(one.thing)]
    running = next((one for one in others if one.standing in RUN), None)
    if running is not None:
        return running if running.thing != thing else None
    first = next((one for one in others if one.standing is Standing.PROPOSED), None)
    return first if first is not None and first.thing != thing else None


@dataclass(slots=True)
class Rollout:
    """One version, as who decides follows it."""

    thing: str
    number: int
    plan: Plan
    since: dict[str, int] = field(default_factory=dict)  # when each head was first heard to run it
    began: int = -1  # when this decider first looked at it
    moved: int = -1  # ... and since when it stands where it does
    where: tuple[Standing, int, int, int] | None = None
    holds: str = ""  # what the next step waits for

    @property
    def seed(self) -> str:
        """Return what a version's line is drawn by."""
        return f"{self.thing}\0{self.number}"

    def look(self, now: int, record: Record, members: Mapping[str, Member], me: str, finding: Finding,
             spoilt: str = "") -> Step | None:  # fmt: skip
        """Return the next step, if one is due.

        `members`: all that are known, `finding`: what the evidence of this stage says, `spoilt`: why it is
        stopped whatever that says.
        """
        version = record.find(self.thing, self.number)
        if version is None or version.standing not in (Standing.PROPOSED, *RUN):
            return None
        self._follow(now, version, members)
        match version.standing:
            case Standing.PROPOSED:
                return self._begin(now, record, version, members, me)
            case Standing.BACK:
                return self._back(version, members)
            case Standing.PAUSED:
                return self._worse(version, members, finding, spoilt)
            case _:
                worse = self._worse(version, members, finding, spoilt)
                return worse or self._go(now, version, members, me, finding)

    def _follow(self, now: int, version: Version, members: Mapping[str, Member]) -> None:
        if self.began < 0:
            self.began = now
        # The last tells that somebody paused it and let it go on between two looks; it is no time here.
        where = (version.standing, version.stage, len(version.heads), version.since_ms)
        if where != self.where:
            self.where, self.moved = where, now
        for name, one in members.items():
            if one.here and one.runs == self.number:
                self.since.setdefault(name, now)
            elif one.here or one.absent_us > self.plan.ready_us:
                self.since.pop(name, None)

    # -- there

    def _begin(self, now: int, record: Record, version: Version, members: Mapping[str, Member],
               me: str) -> Step | None:  # fmt: skip
        first = waits_for(record, self.thing)
        if first is not None:
            self.holds = f"waits for {first.thing} {first.number}, {first.standing.value}"
            self.began = now
            return None
        if now < self.began + self.plan.before_us:
            self.holds = "heads are watched as they are"
            return None
        return self._name(version, 1, (), members, me)

    def _name(self, version: Version, stage: int, named: tuple[str, ...], members: Mapping[str, Member],
              me: str) -> Step | None:  # fmt: skip
        """Name who changes next in a stage (from 1)."""
        wanted = staged(self.plan.stages, stage - 1, members, named, self.seed, me)
        if goes_away(kind_of(self.thing)):
            chosen = next_away(wanted, self.away(named, members), self.plan, members)
        else:
            chosen = wanted
        if not chosen:
            self.holds = f"{len(wanted)} more heads are to change, and none may be away now" if wanted else ""
            return None
        said = f"stage {self.plan.stages[stage - 1].name}"
        return Step(version, Standing.GOING, said, stage, (*named, *chosen))

    def away(self, named: Iterable[str], members: Mapping[str, Member]) -> set[str]:
        """Return who is away for this, or may be: another decider may have sent whoever left lately."""
        away = {name for name in named if name not in members}
        for name, one in members.items():
            if not one.here:
                if one.absent_us <= self.plan.ready_us or name in named:
                    away.add(name)
            elif (name in named) != (one.runs == self.number):
                away.add(name)
        return away

    def _go(self, now: int, version: Version, members: Mapping[str, Member], me: str,
            finding: Finding) -> Step | None:  # fmt: skip
        plan, named = self.plan, version.heads
        at = max(1, version.stage)
        if at > len(plan.stages):
            return self._in_force(version)
        step = self._name(version, at, named, members, me)
        if step is not None:
            return step
        if not self.holds:  # all of the stage are named
            self.holds = self._unripe(now, plan.stages[at - 1], named, members, finding)
        if not self.holds:
            if at == len(plan.stages):
                return self._in_force(version)
            step = self._name(version, at + 1, named, members, me)
            if step is not None:
                return step
            if not staged(plan.stages, at, members, named, self.seed, me):
                said = f"stage {plan.stages[at].name}: no more heads than before"
                return Step(version, Standing.GOING, said, at + 1, named)
        everybody = all(name in named for name, one in members.items() if one.here)
        alone = finding.verdict is Verdict.TROUBLE and everybody
        if alone or now - self.moved > plan.patience_us:
            return Step(version, Standing.PAUSED, f"{WANTING}{self.holds.removeprefix(WANTING)}", at, named)
        return None

    def _in_force(self, version: Version) -> Step:
        return Step(version, Standing.IN_FORCE, "all that are heard run it", version.stage, ())

    def _unripe(self, now: int, stage: Stage, named: tuple[str, ...], members: Mapping[str, Member],
                finding: Finding) -> str:  # fmt: skip
        """Return what a stage lacks; "" if it may end. Heads that are not heard count for nothing."""
        heard = [name for name in named if name in members and members[name].here and name in self.since]
        missing = len(named) - len(heard)
        if missing > int(self.plan.missing * len(named)) or not heard:
            odd = ", ".join(sorted(set(named) - set(heard))[:3])
            return f"{missing} of {len(named)} heads are not heard to run it: {odd}"
        left = max(self.since[name] for name in heard) + stage.soak_us - now
        if left > 0:
            return f"soaks {left / 1e6:.0f} s more"
        return "" if finding.verdict is Verdict.NOT_WORSE else f"{finding.verdict.value}: {finding.why}"

    # -- and back

    def _worse(self, version: Version, members: Mapping[str, Member], finding: Finding,
               spoilt: str) -> Step | None:  # fmt: skip
        fell = [one for name, one in sorted(members.items()) if one.fell and name in version.heads]
        if len(fell) >= self.plan.bounds.falls:
            spoilt = f"{fell[0].name} does not run it: {fell[0].fell}"
        elif finding.verdict is Verdict.WORSE:
            spoilt = finding.why
        if not spoilt:
            return None
        return Step(version, Standing.BACK, STOPPED + spoilt, version.stage, version.heads)

    def _back(self, version: Version, members: Mapping[str, Member]) -> Step | None:
        """Let ever more heads go back, whoever is not heard first: it can't be asked to wait."""
        named = version.heads
        unheard = [name for name in named if name not in members or not members[name].here]
        at_home = [name for name in named if name in members and members[name].runs != self.number]
        others = line(self.seed, set(named) - set(unheard) - set(at_home), "")
        if goes_away(kind_of(self.thing)):
            away = self.away((), members) - set(others)
            others = next_away(others, away, self.plan, members, back=True)
        leaving = {*unheard, *at_home, *others}
        if leaving:
            kept = tuple(name for name in named if name not in leaving)
            return Step(version, Standing.BACK, version.reason, version.stage, kept)
        if not named and not any(one.here and one.runs == self.number for one in members.values()):
            ends = Standing.STOPPED if version.reason.startswith(STOPPED) else Standing.ABORTED
            return Step(version, ends, version.reason, version.stage, ())
        self.holds = "heads that go back are away" if named else "heads are still heard to run it"
        return None


def told(version: Version, rollout: Rollout) -> str:
    """Return where a rollout stands, for operators."""
    stages = rollout.plan.stages
    at = stages[version.stage - 1].name if 0 < version.stage <= len(stages) else "-"
    return f"{version.standing.value}, stage {at}, {len(version.heads)} heads: {rollout.holds or 'goes on'}"
