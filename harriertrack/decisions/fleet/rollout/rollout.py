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

from harriertrack.decisions.fleet.changes import operations
from harriertrack.decisions.fleet.changes.record import Kind, Record, Version, kind_of
from harriertrack.decisions.fleet.changes.version_state import ACTIVE, VersionState
from harriertrack.decisions.fleet.rollout.plan import Plan, Stage, interrupts_service
from harriertrack.decisions.fleet.rollout.selection import (
    HeadState,
    rollout_order,
    select_for_stage,
    select_next_away,
)
from harriertrack.decisions.fleet.rollout.sequential_test import Finding, Verdict

STOPPED_PREFIX = "worse: "  # begins the reason of a version that the evidence stopped
INSUFFICIENT_PREFIX = "not enough yet: "  # ... and of one that is paused for want of it


@dataclass(frozen=True, slots=True)
class Step:
    """What is to be written, and the version as it was when that was decided."""

    version: Version
    standing: VersionState
    reason: str
    stage: int
    heads: tuple[str, ...]

    def apply(self, record: Record, epoch: int, at_ms: int) -> Record:
        """Return the record with this step taken. Raises what `operations.set_state` raises.

        An operator, or another head, may have come first: then nothing of this is to be done.
        """
        now = record.find(self.version.thing, self.version.number)
        if now != self.version:
            raise operations.ChangeRefused(
                f"{self.version.thing}: version {self.version.number} has moved on"
            )
        return operations.set_state(record, epoch, self.version.thing, self.version.number, self.standing,
                                    at_ms, self.reason, self.stage, self.heads)  # fmt: skip


def is_staged(thing: str) -> bool:
    """Whether versions of a thing come in stages. Calendars hold for all at once, as closes decide."""
    return kind_of(thing) is not Kind.CALENDAR


def blocking_version(record: Record, thing: str) -> Version | None:
    """Return the version of another thing that goes first: one at a time, in the order of being proposed."""
    others = [one for one in record.versions if is_staged(one.thing)]
    running = next((one for one in others if one.standing in ACTIVE), None)
    if running is not None:
        return running if running.thing != thing else None
    first = next((one for one in others if one.standing is VersionState.PROPOSED), None)
    return first if first is not None and first.thing != thing else None


@dataclass(slots=True)
class Rollout:
    """One version, as who decides follows it."""

    thing: str
    number: int
    plan: Plan
    running_since: dict[str, int] = field(default_factory=dict)  # when each head was first heard to run it
    first_seen_at: int = -1  # when this decider first looked at it
    changed_at: int = -1  # ... and since when it stands where it does
    last_state: tuple[VersionState, int, int, int] | None = None
    waiting_for: str = ""  # what the next step waits for

    @property
    def seed(self) -> str:
        """Return what a version's line is drawn by."""
        return f"{self.thing}\0{self.number}"

    def next_step(self, now: int, record: Record, members: Mapping[str, HeadState], me: str, finding: Finding,
             spoilt: str = "") -> Step | None:  # fmt: skip
        """Return the next step, if one is due.

        `members`: all that are known, `finding`: what the evidence of this stage says, `spoilt`: why it is
        stopped whatever that says.
        """
        version = record.find(self.thing, self.number)
        if version is None or version.standing not in (VersionState.PROPOSED, *ACTIVE):
            return None
        self._follow(now, version, members)
        match version.standing:
            case VersionState.PROPOSED:
                return self._begin(now, record, version, members, me)
            case VersionState.REVERTING:
                return self._back(version, members)
            case VersionState.PAUSED:
                return self._worse(version, members, finding, spoilt)
            case _:
                worse = self._worse(version, members, finding, spoilt)
                return worse or self._go(now, version, members, me, finding)

    def _follow(self, now: int, version: Version, members: Mapping[str, HeadState]) -> None:
        if self.first_seen_at < 0:
            self.first_seen_at = now
        # The last tells that somebody paused it and let it go on between two looks; it is no time here.
        where = (version.standing, version.stage, len(version.heads), version.since_ms)
        if where != self.last_state:
            self.last_state, self.changed_at = where, now
        for name, one in members.items():
            if one.present and one.running_version == self.number:
                self.running_since.setdefault(name, now)
            elif one.present or one.absent_us > self.plan.ready_us:
                self.running_since.pop(name, None)

    # -- there

    def _begin(self, now: int, record: Record, version: Version, members: Mapping[str, HeadState],
               me: str) -> Step | None:  # fmt: skip
        first = blocking_version(record, self.thing)
        if first is not None:
            self.waiting_for = f"waits for {first.thing} {first.number}, {first.standing.value}"
            self.first_seen_at = now
            return None
        if now < self.first_seen_at + self.plan.before_us:
            self.waiting_for = "heads are watched as they are"
            return None
        return self._name(version, 1, (), members, me)

    def _name(self, version: Version, stage: int, named: tuple[str, ...], members: Mapping[str, HeadState],
              me: str) -> Step | None:  # fmt: skip
        """Name who changes next in a stage (from 1)."""
        wanted = select_for_stage(self.plan.stages, stage - 1, members, named, self.seed, me)
        if interrupts_service(kind_of(self.thing)):
            chosen = select_next_away(wanted, self.away_heads(named, members), self.plan, members)
        else:
            chosen = wanted
        if not chosen:
            self.waiting_for = (
                f"{len(wanted)} more heads are to change, and none may be away now" if wanted else ""
            )
            return None
        said = f"stage {self.plan.stages[stage - 1].name}"
        return Step(version, VersionState.ADVANCING, said, stage, (*named, *chosen))

    def away_heads(self, named: Iterable[str], members: Mapping[str, HeadState]) -> set[str]:
        """Return who is away for this, or may be: another decider may have sent whoever left lately."""
        away = {name for name in named if name not in members}
        for name, one in members.items():
            if not one.present:
                if one.absent_us <= self.plan.ready_us or name in named:
                    away.add(name)
            elif (name in named) != (one.running_version == self.number):
                away.add(name)
        return away

    def _go(self, now: int, version: Version, members: Mapping[str, HeadState], me: str,
            finding: Finding) -> Step | None:  # fmt: skip
        plan, named = self.plan, version.heads
        at = max(1, version.stage)
        if at > len(plan.stages):
            return self._in_force(version)
        step = self._name(version, at, named, members, me)
        if step is not None:
            return step
        if not self.waiting_for:  # all of the stage are named
            self.waiting_for = self._unripe(now, plan.stages[at - 1], named, members, finding)
        if not self.waiting_for:
            if at == len(plan.stages):
                return self._in_force(version)
            step = self._name(version, at + 1, named, members, me)
            if step is not None:
                return step
            if not select_for_stage(plan.stages, at, members, named, self.seed, me):
                said = f"stage {plan.stages[at].name}: no more heads than before"
                return Step(version, VersionState.ADVANCING, said, at + 1, named)
        everybody = all(name in named for name, one in members.items() if one.present)
        alone = finding.verdict is Verdict.FLEET_WORSE and everybody
        if alone or now - self.changed_at > plan.patience_us:
            return Step(
                version,
                VersionState.PAUSED,
                f"{INSUFFICIENT_PREFIX}{self.waiting_for.removeprefix(INSUFFICIENT_PREFIX)}",
                at,
                named,
            )
        return None

    def _in_force(self, version: Version) -> Step:
        return Step(version, VersionState.IN_FORCE, "all that are heard run it", version.stage, ())

    def _unripe(self, now: int, stage: Stage, named: tuple[str, ...], members: Mapping[str, HeadState],
                finding: Finding) -> str:  # fmt: skip
        """Return what a stage lacks; "" if it may end. Heads that are not heard count for nothing."""
        heard = [
            name for name in named if name in members and members[name].present and name in self.running_since
        ]
        missing = len(named) - len(heard)
        if missing > int(self.plan.missing * len(named)) or not heard:
            odd = ", ".join(sorted(set(named) - set(heard))[:3])
            return f"{missing} of {len(named)} heads are not heard to run it: {odd}"
        left = max(self.running_since[name] for name in heard) + stage.soak_us - now
        if left > 0:
            return f"soaks {left / 1e6:.0f} s more"
        return "" if finding.verdict is Verdict.NOT_WORSE else f"{finding.verdict.value}: {finding.why}"

    # -- and back

    def _worse(self, version: Version, members: Mapping[str, HeadState], finding: Finding,
               spoilt: str) -> Step | None:  # fmt: skip
        fell = [one for name, one in sorted(members.items()) if one.rejection and name in version.heads]
        if len(fell) >= self.plan.bounds.falls:
            spoilt = f"{fell[0].name} does not run it: {fell[0].rejection}"
        elif finding.verdict is Verdict.WORSE:
            spoilt = finding.why
        if not spoilt:
            return None
        return Step(version, VersionState.REVERTING, STOPPED_PREFIX + spoilt, version.stage, version.heads)

    def _back(self, version: Version, members: Mapping[str, HeadState]) -> Step | None:
        """Let ever more heads go back, whoever is not heard first: it can't be asked to wait."""
        named = version.heads
        unheard = [name for name in named if name not in members or not members[name].present]
        at_home = [name for name in named if name in members and members[name].running_version != self.number]
        others = rollout_order(self.seed, set(named) - set(unheard) - set(at_home), "")
        if interrupts_service(kind_of(self.thing)):
            away = self.away_heads((), members) - set(others)
            others = select_next_away(others, away, self.plan, members, back=True)
        leaving = {*unheard, *at_home, *others}
        if leaving:
            kept = tuple(name for name in named if name not in leaving)
            return Step(version, VersionState.REVERTING, version.reason, version.stage, kept)
        if not named and not any(
            one.present and one.running_version == self.number for one in members.values()
        ):
            ends = VersionState.STOPPED if version.reason.startswith(STOPPED_PREFIX) else VersionState.ABORTED
            return Step(version, ends, version.reason, version.stage, ())
        self.waiting_for = "heads that go back are away" if named else "heads are still heard to run it"
        return None


def status_text(version: Version, rollout: Rollout) -> str:
    """Return where a rollout stands, for operators."""
    stages = rollout.plan.stages
    at = stages[version.stage - 1].name if 0 < version.stage <= len(stages) else "-"
    return (
        f"{version.standing.value}, stage {at}, "
        f"{len(version.heads)} heads: {rollout.waiting_for or 'goes on'}"
    )
