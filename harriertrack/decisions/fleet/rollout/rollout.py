"""The next step of a version that is being rolled out, from the record and the reports of heads.

The state of a rollout is in the record alone: standing, stage, heads. The next deciding head continues from
there, also between any two steps. Whatever else a deciding head knows, such as since when by its own clock
each head has reported that it runs the version, and the answers, is collected again by the next one: a soak
then starts again, so none is ever shortened. No wall clock is used. Pure.

    PROPOSED   heads are observed as they are; another rollout has to finish first
    ADVANCING  more heads of the stage are named; when all run it: the soak; then the next stage
    PAUSED     no more heads are named; a rollback may still begin
    REVERTING  heads are removed from the named ones, at a pace of its own, until none reports the version
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

STOPPED_PREFIX = "worse: "  # begins the reason of a version that was stopped by evidence
INSUFFICIENT_PREFIX = "not enough yet: "  # ... and of one that is paused for lack of evidence


@dataclass(frozen=True, slots=True)
class Step:
    """A change to write, and the version as it was when that was decided."""

    version: Version
    standing: VersionState
    reason: str
    stage: int
    heads: tuple[str, ...]

    def apply(self, record: Record, epoch: int, at_ms: int) -> Record:
        """Return the record with this step. Raises what `operations.set_state` raises.

        If an operator or another head changed the version first, the step is refused.
        """
        now = record.find(self.version.thing, self.version.number)
        if now != self.version:
            raise operations.ChangeRefused(
                f"{self.version.thing}: version {self.version.number} has moved on"
            )
        return operations.set_state(record, epoch, self.version.thing, self.version.number, self.standing,
                                    at_ms, self.reason, self.stage, self.heads)  # fmt: skip


def is_staged(thing: str) -> bool:
    """Whether versions of a thing are rolled out in stages; calendars apply to all heads, by their closes."""
    return kind_of(thing) is not Kind.CALENDAR


def blocking_version(record: Record, thing: str) -> Version | None:
    """Return the version of another thing that goes first: one at a time, in the order of proposal."""
    others = [one for one in record.versions if is_staged(one.thing)]
    running = next((one for one in others if one.standing in ACTIVE), None)
    if running is not None:
        return running if running.thing != thing else None
    first = next((one for one in others if one.standing is VersionState.PROPOSED), None)
    return first if first is not None and first.thing != thing else None


@dataclass(slots=True)
class Rollout:
    """One version, as followed by the deciding head."""

    thing: str
    number: int
    plan: Plan
    # When each head first reported that it runs it.
    running_since: dict[str, int] = field(default_factory=dict)
    first_seen_at: int = -1  # when this deciding head first processed it
    changed_at: int = -1  # ... and last found that its state had changed
    last_state: tuple[VersionState, int, int, int] | None = None
    waiting_for: str = ""  # condition for the next step

    @property
    def seed(self) -> str:
        """Return the seed of the version's rollout order."""
        return f"{self.thing}\0{self.number}"

    def next_step(self, now: int, record: Record, members: Mapping[str, HeadState], me: str, finding: Finding,
                  defect: str = "") -> Step | None:  # fmt: skip
        """Return the next step, if there is one now.

        `members`: all known heads, `finding`: from the evidence of this stage, `defect`: why the version is
        to be stopped regardless of the finding.
        """
        version = record.find(self.thing, self.number)
        if version is None or version.standing not in (VersionState.PROPOSED, *ACTIVE):
            return None
        self._observe(now, version, members)
        match version.standing:
            case VersionState.PROPOSED:
                return self._begin(now, record, version, members, me)
            case VersionState.REVERTING:
                return self._continue_rollback(version, members)
            case VersionState.PAUSED:
                return self._begin_rollback(version, members, finding, defect)
            case _:
                rollback = self._begin_rollback(version, members, finding, defect)
                return rollback or self._advance(now, version, members, me, finding)

    def _observe(self, now: int, version: Version, members: Mapping[str, HeadState]) -> None:
        if self.first_seen_at < 0:
            self.first_seen_at = now
        # `since_ms` shows that it was paused and resumed between two checks; it is not used as a time here.
        state = (version.standing, version.stage, len(version.heads), version.since_ms)
        if state != self.last_state:
            self.last_state, self.changed_at = state, now
        for name, head in members.items():
            if head.present and head.running_version == self.number:
                self.running_since.setdefault(name, now)
            elif head.present or head.absent_us > self.plan.ready_us:
                self.running_since.pop(name, None)

    # -- forward

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
        return self._name_heads(version, 1, (), members, me)

    def _name_heads(self, version: Version, stage: int, named: tuple[str, ...],
                    members: Mapping[str, HeadState], me: str) -> Step | None:  # fmt: skip
        """Return the step that names the next heads to change in a stage (from 1)."""
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
        reason = f"stage {self.plan.stages[stage - 1].name}"
        return Step(version, VersionState.ADVANCING, reason, stage, (*named, *chosen))

    def away_heads(self, named: Iterable[str], members: Mapping[str, HeadState]) -> set[str]:
        """Return the heads that are or may be away for this version.

        That includes heads that left recently: an earlier deciding head may have named them.
        """
        away = {name for name in named if name not in members}
        for name, head in members.items():
            if not head.present:
                if head.absent_us <= self.plan.ready_us or name in named:
                    away.add(name)
            elif (name in named) != (head.running_version == self.number):
                away.add(name)
        return away

    def _advance(self, now: int, version: Version, members: Mapping[str, HeadState], me: str,
                 finding: Finding) -> Step | None:  # fmt: skip
        plan, named = self.plan, version.heads
        at = max(1, version.stage)
        if at > len(plan.stages):
            return self._put_in_force(version)
        step = self._name_heads(version, at, named, members, me)
        if step is not None:
            return step
        if not self.waiting_for:  # all heads of the stage are named
            self.waiting_for = self._unmet_condition(now, plan.stages[at - 1], named, members, finding)
        if not self.waiting_for:
            if at == len(plan.stages):
                return self._put_in_force(version)
            step = self._name_heads(version, at + 1, named, members, me)
            if step is not None:
                return step
            if not select_for_stage(plan.stages, at, members, named, self.seed, me):
                reason = f"stage {plan.stages[at].name}: no more heads than before"
                return Step(version, VersionState.ADVANCING, reason, at + 1, named)
        all_named = all(name in named for name, head in members.items() if head.present)
        incomparable = finding.verdict is Verdict.FLEET_WORSE and all_named
        if incomparable or now - self.changed_at > plan.patience_us:
            return Step(
                version,
                VersionState.PAUSED,
                f"{INSUFFICIENT_PREFIX}{self.waiting_for.removeprefix(INSUFFICIENT_PREFIX)}",
                at,
                named,
            )
        return None

    def _put_in_force(self, version: Version) -> Step:
        return Step(version, VersionState.IN_FORCE, "all that are heard run it", version.stage, ())

    def _unmet_condition(self, now: int, stage: Stage, named: tuple[str, ...],
                         members: Mapping[str, HeadState], finding: Finding) -> str:  # fmt: skip
        """Return what a stage still requires; "" if it may end. Absent heads count neither way."""
        running = [
            name for name in named if name in members and members[name].present and name in self.running_since
        ]
        missing = len(named) - len(running)
        if missing > int(self.plan.missing * len(named)) or not running:
            examples = ", ".join(sorted(set(named) - set(running))[:3])
            return f"{missing} of {len(named)} heads are not heard to run it: {examples}"
        left = max(self.running_since[name] for name in running) + stage.soak_us - now
        if left > 0:
            return f"soaks {left / 1e6:.0f} s more"
        return "" if finding.verdict is Verdict.NOT_WORSE else f"{finding.verdict.value}: {finding.why}"

    # -- back

    def _begin_rollback(self, version: Version, members: Mapping[str, HeadState], finding: Finding,
                        defect: str) -> Step | None:  # fmt: skip
        """Return the step that begins a rollback; None if there is no reason for one."""
        rejecting = [
            head for name, head in sorted(members.items()) if head.rejection and name in version.heads
        ]
        if len(rejecting) >= self.plan.bounds.falls:
            defect = f"{rejecting[0].name} does not run it: {rejecting[0].rejection}"
        elif finding.verdict is Verdict.WORSE:
            defect = finding.why
        if not defect:
            return None
        return Step(version, VersionState.REVERTING, STOPPED_PREFIX + defect, version.stage, version.heads)

    def _continue_rollback(self, version: Version, members: Mapping[str, HeadState]) -> Step | None:
        """Return the step that lets more heads go back; absent heads first, as they can't be made to wait."""
        named = version.heads
        absent = [name for name in named if name not in members or not members[name].present]
        returned = [
            name for name in named if name in members and members[name].running_version != self.number
        ]
        others = rollout_order(self.seed, set(named) - set(absent) - set(returned), "")
        if interrupts_service(kind_of(self.thing)):
            away = self.away_heads((), members) - set(others)
            others = select_next_away(others, away, self.plan, members, back=True)
        released = {*absent, *returned, *others}
        if released:
            remaining = tuple(name for name in named if name not in released)
            return Step(version, VersionState.REVERTING, version.reason, version.stage, remaining)
        if not named and not any(
            head.present and head.running_version == self.number for head in members.values()
        ):
            final = (
                VersionState.STOPPED if version.reason.startswith(STOPPED_PREFIX) else VersionState.ABORTED
            )
            return Step(version, final, version.reason, version.stage, ())
        self.waiting_for = "heads that go back are away" if named else "heads are still heard to run it"
        return None


def status_text(version: Version, rollout: Rollout) -> str:
    """Return the state of a rollout, for operators."""
    stages = rollout.plan.stages
    at = stages[version.stage - 1].name if 0 < version.stage <= len(stages) else "-"
    return (
        f"{version.standing.value}, stage {at}, "
        f"{len(version.heads)} heads: {rollout.waiting_for or 'goes on'}"
    )
