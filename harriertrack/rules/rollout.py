"""Checks rollouts of versions by what was requested, what deciders wrote and what heads reported.

1. *Stages*: a version's stage names at most as many heads as the plan gives it, and no head applies a version
   that does not name it.
2. *Rollback*: a version that is being rolled back never advances again, and no head that can know of the
   rollback applies it.
3. *Availability*: at most as many heads as the plan allows are down for a version at once, never of two
   zones, and never all heads that serve a volume.
4. *Confirmation*: no stage ends while more of its heads than the plan allows have not applied the version or
   are dead, stopped or partitioned.
5. *One at a time*: two things never change at the same time, and an epoch has one decider.
6. *End*: at the day's end all living heads run the expected version or, if any will do, the same one; and if
   no fault is active any more, no rollout is in progress.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from harriertrack.rules import recording as rec
from harriertrack.rules.breach import Breach

STALE_RECORD_US = 5_000_000  # a head may act this long on an older change record
LOG_SKEW_US = 1_000_000  # a head's log may be read this much earlier than the decider's
ADVANCING, ROLLING_BACK, IN_FORCE = "going", "back", "in force"
IN_PROGRESS = (ADVANCING, ROLLING_BACK, "proposed", "paused")
VersionKey = tuple[str, int]


@dataclass(slots=True)
class FleetState:
    """The state of the fleet's rollouts after the records applied so far."""

    facts: dict[VersionKey, rec.RolloutFacts] = field(default_factory=dict)
    steps: dict[VersionKey, rec.RolloutStep] = field(default_factory=dict)
    rolled_back_at: dict[VersionKey, int] = field(default_factory=dict)  # when the rollback began
    # When a version ceased to name a head: by thing, version and head.
    unnamed_at: dict[tuple[str, int, str], int] = field(default_factory=dict)
    runs: dict[str, dict[str, int]] = field(default_factory=lambda: defaultdict(dict))  # by head and thing
    alive: set[str] = field(default_factory=set)
    paused: set[str] = field(default_factory=set)
    partitioned: set[str] = field(default_factory=set)
    away: dict[str, int] = field(default_factory=dict)  # the version that replaces each head
    expected: dict[str, rec.RolloutExpected] = field(default_factory=dict)
    faults_over: bool = False
    deciders: dict[int, str] = field(default_factory=dict)  # by epoch

    def state_of(self, key: VersionKey) -> str:
        """Return the state of a version."""
        return self.steps[key].standing if key in self.steps else "proposed"


def stage_size(stage: rec.StageFacts, zones: dict[str, str]) -> int:
    """Return the number of heads of a stage in a fleet."""
    if stage.heads:
        return stage.heads
    sizes = Counter(zones.values())
    allowed = {zone: size if stage.share >= 1 or size == 1 else size - 1 for zone, size in sizes.items()}
    return sum(min(allowed[zone], max(1, math.ceil(stage.share * size - 1e-9)))
               for zone, size in sizes.items())  # fmt: skip


def _check_step(fleet: FleetState, step: rec.RolloutStep) -> Iterator[Breach]:
    key = step.thing, step.version
    facts, previous, what = fleet.facts.get(key), fleet.steps.get(key), f"{step.thing} {step.version}"
    if fleet.deciders.setdefault(step.epoch, step.by) != step.by:
        yield Breach(
            5, step.t, what, f"{step.by} and {fleet.deciders[step.epoch]} decide in epoch {step.epoch}"
        )
    if facts is not None and step.standing == ADVANCING and 0 < step.stage <= len(facts.stages):
        size = stage_size(facts.stages[step.stage - 1], facts.zones)
        if len(step.heads) > size:
            yield Breach(1, step.t, what, f"{len(step.heads)} heads in stage {step.stage}, which has {size}")
    if key in fleet.rolled_back_at and step.standing in (ADVANCING, IN_FORCE):
        yield Breach(2, step.t, what, f"is {step.standing} again, and went back before")
    if step.heads and step.standing == ADVANCING:
        others = [
            other
            for other, other_step in fleet.steps.items()
            if other[0] != step.thing and other_step.heads and not other[0].startswith("calendar")
        ]
        if others and not step.thing.startswith("calendar"):
            yield Breach(5, step.t, what, f"changes while {others[0][0]} {others[0][1]} does")
    stage_ends = previous is not None and previous.standing == ADVANCING and (
        step.standing == IN_FORCE or (step.standing == ADVANCING and step.stage > previous.stage)
    )  # fmt: skip
    if stage_ends and previous is not None and facts is not None:
        unconfirmed = [name for name in previous.heads if not _has_confirmed(fleet, name, key)]
        if len(unconfirmed) > int(facts.missing * len(previous.heads)):
            yield Breach(4, step.t, what, f"stage {previous.stage} ends without {', '.join(unconfirmed)}")


def _has_confirmed(fleet: FleetState, name: str, key: VersionKey) -> bool:
    reachable = name in fleet.alive and name not in fleet.paused and name not in fleet.partitioned
    return reachable and fleet.runs[name].get(key[0], 0) == key[1]


def _apply_step(fleet: FleetState, step: rec.RolloutStep) -> None:
    key = step.thing, step.version
    previous = fleet.steps.get(key)
    for name in set(previous.heads if previous is not None else ()) - set(step.heads):
        fleet.unnamed_at[step.thing, step.version, name] = step.t
    for name in step.heads:
        fleet.unnamed_at.pop((step.thing, step.version, name), None)
    fleet.steps[key] = step
    if step.standing == ROLLING_BACK:
        fleet.rolled_back_at.setdefault(key, step.t)


def _check_version_applied(
    fleet: FleetState, record: rec.VersionApplied, steps: list[rec.RolloutStep]
) -> Iterator[Breach]:
    key, what = (record.thing, record.version), f"{record.thing} {record.version}"
    if key not in fleet.facts:
        return
    step = fleet.steps.get(key)
    named = step is not None and (record.head in step.heads or step.standing in (IN_FORCE, "replaced"))
    unnamed_at_us = fleet.unnamed_at.get((record.thing, record.version, record.head))
    stale = unnamed_at_us is not None and record.t <= unnamed_at_us + STALE_RECORD_US
    logged_early = any(
        (other.thing, other.version) == key and record.t <= other.t <= record.t + LOG_SKEW_US
        and (record.head in other.heads or other.standing == IN_FORCE)
        for other in steps
    )  # fmt: skip
    if named or stale or logged_early or record.head in fleet.partitioned:
        return
    if key in fleet.rolled_back_at:
        yield Breach(2, record.t, record.head, f"takes {what}, which went back")
    else:
        yield Breach(1, record.t, record.head, f"takes {what}, which does not name it")


def _check_handover(fleet: FleetState, handover: rec.HeadHandover) -> Iterator[Breach]:
    facts = next((each for key, each in sorted(fleet.facts.items(), key=lambda item: -item[1].t)
                  if key[0] == "program"), None)  # fmt: skip
    if facts is None:
        return
    rollback = handover.version == 0 or ("program", handover.version) not in fleet.facts or any(
        key[0] == "program" for key in fleet.rolled_back_at
    )  # fmt: skip
    allowed = facts.back_away if rollback else facts.away
    if len(fleet.away) > allowed:
        yield Breach(3, handover.t, handover.head, f"{len(fleet.away)} heads are away, {allowed} may be")
    zones = {facts.zones[name] for name in fleet.away}
    if len(zones) > 1:
        yield Breach(3, handover.t, handover.head, f"heads of {', '.join(sorted(zones))} are away at once")
    for volume in facts.volumes.get(handover.head, ()):
        serving = [name for name, served in facts.volumes.items() if volume in served]
        if not any(name in fleet.alive and name not in fleet.away for name in serving):
            yield Breach(3, handover.t, handover.head, f"nobody serves {volume}")


def _apply(fleet: FleetState, record: rec.Record, steps: list[rec.RolloutStep]) -> Iterator[Breach]:
    """Apply a record to the state and yield the breaches that it makes."""
    match record:
        case rec.RolloutFacts():
            fleet.facts[record.thing, record.version] = record
        case rec.FaultsOver():
            fleet.faults_over = True
        case rec.RolloutExpected():
            fleet.expected[record.thing] = record
        case rec.RolloutStep():
            yield from _check_step(fleet, record)
            _apply_step(fleet, record)
        case rec.VersionApplied():
            if not record.why:
                yield from _check_version_applied(fleet, record, steps)
                fleet.runs[record.head][record.thing] = record.version
        case rec.HeadHandover():
            if record.away:
                fleet.away[record.head] = record.version
                yield from _check_handover(fleet, record)
            else:
                fleet.away.pop(record.head, None)
                applied = rec.VersionApplied(
                    t=record.t, head=record.head, thing="program", version=record.version
                )
                yield from _check_version_applied(fleet, applied, steps)
                fleet.runs[record.head]["program"] = record.version
        case rec.HeadsPartitioned():
            fleet.partitioned = set(record.heads)
        case rec.MemberLifecycle():
            fleet.paused.discard(record.member)
            if record.how == "stopped":
                fleet.paused.add(record.member)
            elif record.how in ("started", "went-on"):
                fleet.alive.add(record.member)
            else:
                fleet.alive.discard(record.member)
            if record.how == "started":
                fleet.runs[record.member] = {}  # a new process reports again what it runs


def check(records: Iterable[rec.Record]) -> list[Breach]:
    """Check a recording's rollouts."""
    kinds = (rec.RolloutFacts, rec.RolloutExpected, rec.RolloutStep, rec.VersionApplied, rec.HeadHandover,
             rec.HeadsPartitioned, rec.MemberLifecycle, rec.FaultsOver)  # fmt: skip
    checked = sorted((record for record in records if isinstance(record, kinds)), key=lambda record: record.t)
    fleet, last = FleetState(), 0
    breaches: list[Breach] = []
    if not any(isinstance(record, rec.RolloutFacts) for record in checked):
        return []
    steps = [record for record in checked if isinstance(record, rec.RolloutStep)]
    for record in checked:
        last = record.t
        breaches.extend(_apply(fleet, record, steps))
    for thing, end in sorted(fleet.expected.items()):
        breaches.extend(_check_end(fleet, thing, end, last))
    return breaches


def _check_end(fleet: FleetState, thing: str, end: rec.RolloutExpected, last: int) -> Iterator[Breach]:
    runs = {name: fleet.runs[name].get(thing, 0) for name in sorted(fleet.alive)}
    if not end.settled:
        others = [name for name, version in runs.items() if version != end.version]
        if others:
            yield Breach(6, last, thing, f"{', '.join(others)} do not run {end.version} at the end")
        return
    if not fleet.faults_over:
        return
    if len(set(runs.values())) > 1:
        yield Breach(6, last, thing, f"at the end heads run {runs}")
    newest = max((version for other, version in fleet.facts if other == thing), default=0)
    if newest and (state := fleet.state_of((thing, newest))) in IN_PROGRESS:
        yield Breach(6, last, thing, f"version {newest} is {state} at the end")
