"""What must hold of versions that come in stages, by what was asked, what deciders wrote and heads said.

1. *Stage*: a version's stage names no more heads than it has, and no head takes a version that names it not.
2. *Worse*: once a version goes back it goes on no more, and no head takes it that heard of that.
3. *Away*: no more heads are away for it at once than its plan says, never of two zones, and never all that
   serve a volume.
4. *Heard*: no stage ends while more of its heads than the plan says have not taken the version, or are dead,
   stopped or cut off.
5. *One*: two things never change at the same time; of one epoch there is one decider.
6. *End*: at the day's end all heads that live run what they should, or, where that is left to what is
   decided, one and the same, and, where nothing is at fault any more, no version is under way.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from harriertrack.rules import recording as rec
from harriertrack.rules.checker import Breach

LAG_US = 5_000_000  # a head may take for so long what it heard of before
LEAD_US = 1_000_000  # a head's log may be read so much earlier than that of who decided
GOING, BACK, IN_FORCE = "going", "back", "in force"
UNDER_WAY = (GOING, BACK, "proposed", "paused")
Key = tuple[str, int]


@dataclass(slots=True)
class Fleet:
    """What is known at one moment of the recording."""

    facts: dict[Key, rec.RolloutFacts] = field(default_factory=dict)
    steps: dict[Key, rec.RolloutStep] = field(default_factory=dict)
    went_back: dict[Key, int] = field(default_factory=dict)
    named_until: dict[tuple[str, int, str], int] = field(default_factory=dict)
    runs: dict[str, dict[str, int]] = field(default_factory=lambda: defaultdict(dict))
    alive: set[str] = field(default_factory=set)
    asleep: set[str] = field(default_factory=set)
    cut: set[str] = field(default_factory=set)
    away: dict[str, int] = field(default_factory=dict)
    ends: dict[str, rec.RolloutExpected] = field(default_factory=dict)
    quiet: bool = False
    deciders: dict[int, str] = field(default_factory=dict)

    def stands(self, key: Key) -> str:
        """Return where a version stands."""
        return self.steps[key].standing if key in self.steps else "proposed"


def most(stage: rec.StageFacts, zones: dict[str, str]) -> int:
    """Return how many heads a stage has in a fleet."""
    if stage.heads:
        return stage.heads
    sizes = Counter(zones.values())
    keeps_one = {zone: size if stage.share >= 1 or size == 1 else size - 1 for zone, size in sizes.items()}
    return sum(min(keeps_one[zone], max(1, math.ceil(stage.share * size - 1e-9)))
               for zone, size in sizes.items())  # fmt: skip


def _step(now: Fleet, one: rec.RolloutStep) -> Iterator[Breach]:
    key = one.thing, one.version
    facts, before, what = now.facts.get(key), now.steps.get(key), f"{one.thing} {one.version}"
    if now.deciders.setdefault(one.epoch, one.by) != one.by:
        yield Breach(5, one.t, what, f"{one.by} and {now.deciders[one.epoch]} decide in epoch {one.epoch}")
    if facts is not None and one.standing == GOING and 0 < one.stage <= len(facts.stages):
        room = most(facts.stages[one.stage - 1], facts.zones)
        if len(one.heads) > room:
            yield Breach(1, one.t, what, f"{len(one.heads)} heads in stage {one.stage}, which has {room}")
    if key in now.went_back and one.standing in (GOING, IN_FORCE):
        yield Breach(2, one.t, what, f"is {one.standing} again, and went back before")
    if one.heads and one.standing == GOING:
        others = [
            other
            for other, step in now.steps.items()
            if other[0] != one.thing and step.heads and not other[0].startswith("calendar")
        ]
        if others and not one.thing.startswith("calendar"):
            yield Breach(5, one.t, what, f"changes while {others[0][0]} {others[0][1]} does")
    ends = before is not None and before.standing == GOING and (
        one.standing == IN_FORCE or (one.standing == GOING and one.stage > before.stage)
    )  # fmt: skip
    if ends and before is not None and facts is not None:
        lacking = [name for name in before.heads if not _heard(now, name, key)]
        if len(lacking) > int(facts.missing * len(before.heads)):
            yield Breach(4, one.t, what, f"stage {before.stage} ends without {', '.join(lacking)}")


def _heard(now: Fleet, name: str, key: Key) -> bool:
    there = name in now.alive and name not in now.asleep and name not in now.cut
    return there and now.runs[name].get(key[0], 0) == key[1]


def _follow(now: Fleet, one: rec.RolloutStep) -> None:
    key = one.thing, one.version
    before = now.steps.get(key)
    for name in set(before.heads if before is not None else ()) - set(one.heads):
        now.named_until[one.thing, one.version, name] = one.t
    for name in one.heads:
        now.named_until.pop((one.thing, one.version, name), None)
    now.steps[key] = one
    if one.standing == BACK:
        now.went_back.setdefault(key, one.t)


def _took(now: Fleet, one: rec.VersionApplied, steps: list[rec.RolloutStep]) -> Iterator[Breach]:
    key, what = (one.thing, one.version), f"{one.thing} {one.version}"
    if key not in now.facts:
        return
    step = now.steps.get(key)
    named = step is not None and (one.head in step.heads or step.standing in (IN_FORCE, "replaced"))
    until = now.named_until.get((one.thing, one.version, one.head))
    late = until is not None and one.t <= until + LAG_US
    soon = any(
        (each.thing, each.version) == key and one.t <= each.t <= one.t + LEAD_US
        and (one.head in each.heads or each.standing == IN_FORCE)
        for each in steps
    )  # fmt: skip
    if named or late or soon or one.head in now.cut:
        return
    if key in now.went_back:
        yield Breach(2, one.t, one.head, f"takes {what}, which went back")
    else:
        yield Breach(1, one.t, one.head, f"takes {what}, which does not name it")


def _away(now: Fleet, one: rec.HeadHandover) -> Iterator[Breach]:
    facts = next((each for key, each in sorted(now.facts.items(), key=lambda item: -item[1].t)
                  if key[0] == "program"), None)  # fmt: skip
    if facts is None:
        return
    back = one.version == 0 or ("program", one.version) not in now.facts or any(
        key[0] == "program" for key in now.went_back
    )  # fmt: skip
    room = facts.back_away if back else facts.away
    if len(now.away) > room:
        yield Breach(3, one.t, one.head, f"{len(now.away)} heads are away, {room} may be")
    zones = {facts.zones[name] for name in now.away}
    if len(zones) > 1:
        yield Breach(3, one.t, one.head, f"heads of {', '.join(sorted(zones))} are away at once")
    for volume in facts.volumes.get(one.head, ()):
        hosts = [name for name, mine in facts.volumes.items() if volume in mine]
        if not any(name in now.alive and name not in now.away for name in hosts):
            yield Breach(3, one.t, one.head, f"nobody serves {volume}")


def _judge(now: Fleet, one: rec.Record, steps: list[rec.RolloutStep]) -> Iterator[Breach]:
    """Follow a record, and yield what it breaks."""
    match one:
        case rec.RolloutFacts():
            now.facts[one.thing, one.version] = one
        case rec.FaultsOver():
            now.quiet = True
        case rec.RolloutExpected():
            now.ends[one.thing] = one
        case rec.RolloutStep():
            yield from _step(now, one)
            _follow(now, one)
        case rec.VersionApplied():
            if not one.why:
                yield from _took(now, one, steps)
                now.runs[one.head][one.thing] = one.version
        case rec.HeadHandover():
            if one.away:
                now.away[one.head] = one.version
                yield from _away(now, one)
            else:
                now.away.pop(one.head, None)
                took = rec.VersionApplied(t=one.t, head=one.head, thing="program", version=one.version)
                yield from _took(now, took, steps)
                now.runs[one.head]["program"] = one.version
        case rec.HeadsPartitioned():
            now.cut = set(one.heads)
        case rec.MemberLifecycle():
            now.asleep.discard(one.member)
            if one.how == "stopped":
                now.asleep.add(one.member)
            elif one.how in ("started", "went-on"):
                now.alive.add(one.member)
            else:
                now.alive.discard(one.member)
            if one.how == "started":
                now.runs[one.member] = {}  # it says anew what it runs


def check(records: Iterable[rec.Record]) -> list[Breach]:
    """Judge a recording's rollouts. In order of time."""
    kinds = (rec.RolloutFacts, rec.RolloutExpected, rec.RolloutStep, rec.VersionApplied, rec.HeadHandover,
             rec.HeadsPartitioned, rec.MemberLifecycle, rec.FaultsOver)  # fmt: skip
    mine = sorted((one for one in records if isinstance(one, kinds)), key=lambda one: one.t)
    now, last = Fleet(), 0
    breaches: list[Breach] = []
    if not any(isinstance(one, rec.RolloutFacts) for one in mine):
        return []
    steps = [one for one in mine if isinstance(one, rec.RolloutStep)]
    for one in mine:
        last = one.t
        breaches.extend(_judge(now, one, steps))
    for thing, end in sorted(now.ends.items()):
        breaches.extend(_ended(now, thing, end, last))
    return breaches


def _ended(now: Fleet, thing: str, end: rec.RolloutExpected, last: int) -> Iterator[Breach]:
    runs = {name: now.runs[name].get(thing, 0) for name in sorted(now.alive)}
    if not end.settled:
        odd = [name for name, version in runs.items() if version != end.version]
        if odd:
            yield Breach(6, last, thing, f"{', '.join(odd)} do not run {end.version} at the end")
        return
    if not now.quiet:
        return
    if len(set(runs.values())) > 1:
        yield Breach(6, last, thing, f"at the end heads run {runs}")
    newest = max((version for other, version in now.facts if other == thing), default=0)
    if newest and (standing := now.stands((thing, newest))) in UNDER_WAY:
        yield Breach(6, last, thing, f"version {newest} is {standing} at the end")
