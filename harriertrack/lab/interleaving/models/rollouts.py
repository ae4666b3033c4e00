"""A rollout over three heads: what is decided, written late, fetched, taken, reported, and who is away.

The conductor and all below it, the record and its followers, the level. A program's version takes a head
away: it comes back as another life that runs it. Steps are written when they come to the witness, which may
be after their term; reports come in any order, and late.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from zlib import crc32

from harriertrack.decisions.fleet.changes.follower import Follower
from harriertrack.decisions.fleet.changes.operations import (
    ChangeRefused,
    propose,
    raise_level,
    set_state_as_operator,
)
from harriertrack.decisions.fleet.changes.record import Record, Version
from harriertrack.decisions.fleet.changes.version_state import IllegalTransition, VersionState
from harriertrack.decisions.fleet.rollout.controller import HeadLocation, RolloutController
from harriertrack.decisions.fleet.rollout.evidence import Report
from harriertrack.decisions.fleet.rollout.feature_levels import next_level
from harriertrack.decisions.fleet.rollout.plan import Plan, Stage
from harriertrack.decisions.fleet.rollout.rollout import Step
from harriertrack.lab.interleaving.models.mail import Mail

THING = "program"
VOLUMES = {"h1": frozenset({1}), "h2": frozenset({1, 2}), "h3": frozenset({2})}
HEADS = tuple(VOLUMES)
FIRST_LEVEL = {"h1": 2}  # of a head whose own program is a later one already
STEP_US = 3_500_000  # two of them, and a head that said nothing is not heard
PLAN = Plan(
    (Stage("one", heads=1, soak_us=0, least=0), Stage("all", share=1.0, soak_us=0, least=0)),
    before_us=0, settle_us=0, measures=(), ready_us=60_000_000,
)  # fmt: skip
LATER_US = 40_000_000  # more than any pause of a follower, which is asked here whenever the model likes


def plan_of(_version: Version) -> Plan:
    """Return the plan."""
    return PLAN


@dataclass(slots=True)
class Head:
    """One head, in one life."""

    follower: Follower
    life: int = 1
    there: bool = True
    number: int = 0  # of the version that it runs, and that would start
    fetches: int = 6

    @property
    def level(self) -> int:
        """Return what its program understands."""
        return max(1 + self.number, FIRST_LEVEL.get(self.follower.name, 1))


@dataclass(slots=True)
class State:
    """The fleet."""

    record: Record
    heads: dict[str, Head]
    now: int = 1_000_000
    until: int = 0
    term: int = 1
    holder: str = "h1"
    conductor: RolloutController = field(default_factory=lambda: RolloutController(plan_of))
    writes: list[tuple[int, Step | int]] = field(default_factory=list)  # term, and a step or a level
    mail: Mail = field(default_factory=lambda: Mail(most=3))
    kills: int = 1
    passes: int = 1
    aborts: int = 1
    told: dict[str, tuple[int, int, int]] = field(default_factory=dict)  # by head: term, life, version
    looked: tuple[int, int, int] = (0, 0, 0)  # term, revision, reports that were heard, at the last look
    heard: int = 0
    ran: set[str] = field(default_factory=set)  # heads that ever ran the version
    wrong: str = ""


class RolloutModel:
    """No stage ends unheard, nobody goes before the last is back, no level is used that one can't read."""

    name = "rollout"
    about = "a program's rollout over three heads: late steps, late reports, a head that dies, another term"

    def start(self) -> State:
        """A version is proposed, and all were heard."""
        record = propose(Record(), THING, 0, "body", "op", 1, "wanted")
        state = State(record, {name: Head(Follower(name)) for name in HEADS})
        state.until = state.now + 3 * STEP_US
        for name in HEADS:
            state.heads[name].follower.record = record
            self._hear(state, self._report(state, name))
        return state

    def _report(self, state: State, name: str) -> Report:
        head = state.heads[name]
        runs = {THING: head.number} if head.number else {}
        return Report(name, head.life, runs, {}, feature_level=head.level)

    def _hear(self, state: State, report: Report) -> None:
        state.heard += 1
        state.conductor.add_report(state.now, report, VOLUMES[report.head], "z")

    def _seen(self, state: State) -> tuple[int, int, int]:
        record = state.heads[state.holder].follower.record
        return state.term, record.revision, state.heard + state.now // STEP_US

    def _behind(self, state: State, name: str) -> bool:
        return state.heads[name].follower.record.revision < state.record.revision

    def events(self, state: State) -> Iterator[str]:
        """Name what can happen now."""
        if state.writes:
            yield from (f"write {at}" for at in range(len(state.writes)))
        yield from state.mail.events()
        for name, head in state.heads.items():
            if not head.there:
                yield f"{name} returns"
            elif head.fetches and self._behind(state, name):
                yield f"{name} fetches"
        for name, head in state.heads.items():
            fresh = state.told.get(name) != (state.term, head.life, head.number)
            if head.there and fresh and len(state.mail.under_way) < state.mail.most:
                yield f"{name} reports"
        if state.heads[state.holder].there and len(state.writes) < 2 and state.looked != self._seen(state):
            yield "look"
        if state.now < state.until:
            yield "time"
        if state.passes:
            yield "the term passes"
        if state.kills:
            yield from (f"{name} dies" for name, head in state.heads.items() if head.there)
        if state.aborts and state.record.in_progress(THING) is not None:
            yield "abort"
        yield from state.mail.late()

    def apply(self, state: State, event: str) -> None:
        """Let it happen."""
        match event.split():
            case ["write", at]:
                self._write(state, *state.writes.pop(int(at)))
            case ["look"]:
                state.looked = self._seen(state)
                self._look(state)
            case ["time"]:
                state.now += STEP_US
            case ["the", "term", "passes"]:
                state.passes -= 1
                state.term += 1
                state.holder = "h2" if state.holder == "h1" else "h1"
                state.conductor = RolloutController(plan_of)
            case ["abort"]:
                state.aborts -= 1
                state.record = set_state_as_operator(
                    state.record, THING, VersionState.ABORTED, "op", 1, "enough"
                )
            case [name, "returns"]:
                head = state.heads[name]
                head.there, head.life = True, head.life + 1
                if head.number:
                    state.ran.add(name)
            case [name, "dies"]:
                state.kills -= 1
                state.heads[name].there = False
            case [name, "fetches"]:
                self._fetch(state, name)
            case [name, "reports"]:
                head = state.heads[name]
                state.told[name] = state.term, head.life, head.number
                state.mail.send(state.holder, self._report(state, name))
            case _:
                came = state.mail.apply(event)
                if came is not None and came[0] == state.holder:
                    self._hear(state, came[1])

    def _fetch(self, state: State, name: str) -> None:
        head = state.heads[name]
        head.fetches -= 1
        head.follower.finish_fetch(state.now, state.record, crc32(repr(state.record).encode()))
        for thing, version in head.follower.pending_changes():
            number = version.number if version is not None else 0
            head.follower.mark_applied(thing, number)
            head.number, head.there = number, False  # it goes, and comes back as that

    def _look(self, state: State) -> None:
        known = {
            name: HeadLocation("z", absent_us=-1 if head.there else 0) for name, head in state.heads.items()
        }
        record = state.heads[state.holder].follower.record
        for step in state.conductor.next_steps(state.now, record, known, state.holder):
            state.writes.append((state.term, step))
        level = next_level(record, state.conductor.feature_levels(), HEADS)
        if level > record.level and not state.writes:
            state.writes.append((state.term, level))

    def _write(self, state: State, term: int, what: Step | int) -> None:
        before = state.record
        try:
            if isinstance(what, int):
                state.record = raise_level(before, term, what)
            else:
                state.record = what.apply(before, term, 1)
        except (ChangeRefused, IllegalTransition):
            return
        if term < before.epoch:
            state.wrong = f"term {term} decides after term {before.epoch}"
        if not isinstance(what, int):
            self._stepped(state, before.find(THING, 1), state.record.find(THING, 1))

    def _stepped(self, state: State, was: Version | None, one: Version | None) -> None:
        assert was is not None and one is not None
        unheard = sorted(set(was.heads) - state.ran)
        if one.standing is VersionState.IN_FORCE and unheard:
            state.wrong = f"in force, and {unheard} never ran it"
        if one.standing is VersionState.ADVANCING:
            fresh = set(one.heads) - set(was.heads)
            if fresh and unheard:
                state.wrong = f"{sorted(fresh)} are to go, and {unheard} never came back"
            if len(fresh) > PLAN.away:
                state.wrong = f"{sorted(fresh)} are to go at once"
            if not set(was.heads) <= set(one.heads):
                state.wrong = f"{was.heads} were named, and now {one.heads}"

    def wrong(self, state: State) -> str | None:
        """Return what must not be."""
        if state.record.level > min(head.level for head in state.heads.values()):
            return f"level {state.record.level} holds, and not all can read it"
        return state.wrong or None
