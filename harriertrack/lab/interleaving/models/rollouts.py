"""Model of a program rollout over three heads: decisions, late writes, fetches, reports, absent heads.

It covers the rollout controller and its parts, the record and its followers, and the feature level. Applying
a version of the program stops a head; it returns as a new process instance that runs the version. Steps are
written when they reach the witness, which may be after the end of their term; reports arrive in any order,
and late.
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
FIRST_LEVEL = {"h1": 2}  # a head whose own program already is a later version
STEP_US = 3_500_000  # after two steps without a report, a head's last report is out of date
PLAN = Plan(
    (Stage("one", heads=1, soak_us=0, least=0), Stage("all", share=1.0, soak_us=0, least=0)),
    before_us=0, settle_us=0, measures=(), ready_us=60_000_000,
)  # fmt: skip
LATER_US = 40_000_000  # longer than any retry wait of a follower: here the model decides when it fetches


def plan_of(_version: Version) -> Plan:
    """Return the plan of every version."""
    return PLAN


@dataclass(slots=True)
class Head:
    """A head and its current process instance."""

    follower: Follower
    life: int = 1
    running: bool = True
    number: int = 0  # of the version that it runs or will start with
    fetches: int = 6

    @property
    def level(self) -> int:
        """Return the feature level that its program supports."""
        return max(1 + self.number, FIRST_LEVEL.get(self.follower.name, 1))


@dataclass(slots=True)
class State:
    """The fleet: heads, the record, pending writes and reports in transit."""

    record: Record
    heads: dict[str, Head]
    now: int = 1_000_000
    until: int = 0
    term: int = 1
    holder: str = "h1"
    controller: RolloutController = field(default_factory=lambda: RolloutController(plan_of))
    writes: list[tuple[int, Step | int]] = field(default_factory=list)  # (term, step or feature level)
    mail: Mail = field(default_factory=lambda: Mail(most=3))
    kills: int = 1
    passes: int = 1
    aborts: int = 1
    reported: dict[str, tuple[int, int, int]] = field(default_factory=dict)  # by head: (term, life, version)
    last_evaluated: tuple[int, int, int] = (0, 0, 0)  # term, revision and report count at that time
    received: int = 0  # reports
    ran: set[str] = field(default_factory=set)  # heads that have run the version
    wrong: str = ""


class RolloutModel:
    """Invariants: stages end only on reports, heads restart in turn, all heads support the level in use."""

    name = "rollout"
    about = "a program's rollout over three heads: late steps, late reports, a head that dies, another term"

    def start(self) -> State:
        """Return the state in which a version is proposed and every head has reported."""
        record = propose(Record(), THING, 0, "body", "op", 1, "wanted")
        state = State(record, {name: Head(Follower(name)) for name in HEADS})
        state.until = state.now + 3 * STEP_US
        for name in HEADS:
            state.heads[name].follower.record = record
            self._receive_report(state, self._report(state, name))
        return state

    def _report(self, state: State, name: str) -> Report:
        head = state.heads[name]
        runs = {THING: head.number} if head.number else {}
        return Report(name, head.life, runs, {}, feature_level=head.level)

    def _receive_report(self, state: State, report: Report) -> None:
        state.received += 1
        state.controller.add_report(state.now, report, VOLUMES[report.head], "z")

    def _controller_inputs(self, state: State) -> tuple[int, int, int]:
        record = state.heads[state.holder].follower.record
        return state.term, record.revision, state.received + state.now // STEP_US

    def _is_behind(self, state: State, name: str) -> bool:
        return state.heads[name].follower.record.revision < state.record.revision

    def events(self, state: State) -> Iterator[str]:
        """Name the enabled events."""
        if state.writes:
            yield from (f"write {at}" for at in range(len(state.writes)))
        yield from state.mail.events()
        for name, head in state.heads.items():
            if not head.running:
                yield f"{name} returns"
            elif head.fetches and self._is_behind(state, name):
                yield f"{name} fetches"
        for name, head in state.heads.items():
            changed = state.reported.get(name) != (state.term, head.life, head.number)
            if head.running and changed and len(state.mail.under_way) < state.mail.most:
                yield f"{name} reports"
        if (
            state.heads[state.holder].running
            and len(state.writes) < 2
            and state.last_evaluated != self._controller_inputs(state)
        ):
            yield "look"
        if state.now < state.until:
            yield "time"
        if state.passes:
            yield "the term passes"
        if state.kills:
            yield from (f"{name} dies" for name, head in state.heads.items() if head.running)
        if state.aborts and state.record.in_progress(THING) is not None:
            yield "abort"
        yield from state.mail.late()

    def apply(self, state: State, event: str) -> None:
        """Apply an event to the state, in place."""
        match event.split():
            case ["write", at]:
                self._write(state, *state.writes.pop(int(at)))
            case ["look"]:
                state.last_evaluated = self._controller_inputs(state)
                self._evaluate(state)
            case ["time"]:
                state.now += STEP_US
            case ["the", "term", "passes"]:
                state.passes -= 1
                state.term += 1
                state.holder = "h2" if state.holder == "h1" else "h1"
                state.controller = RolloutController(plan_of)
            case ["abort"]:
                state.aborts -= 1
                state.record = set_state_as_operator(
                    state.record, THING, VersionState.ABORTED, "op", 1, "enough"
                )
            case [name, "returns"]:
                head = state.heads[name]
                head.running, head.life = True, head.life + 1
                if head.number:
                    state.ran.add(name)
            case [name, "dies"]:
                state.kills -= 1
                state.heads[name].running = False
            case [name, "fetches"]:
                self._fetch(state, name)
            case [name, "reports"]:
                head = state.heads[name]
                state.reported[name] = state.term, head.life, head.number
                state.mail.send(state.holder, self._report(state, name))
            case _:
                delivery = state.mail.apply(event)
                if delivery is not None and delivery[0] == state.holder:
                    self._receive_report(state, delivery[1])

    def _fetch(self, state: State, name: str) -> None:
        head = state.heads[name]
        head.fetches -= 1
        head.follower.finish_fetch(state.now, state.record, crc32(repr(state.record).encode()))
        for thing, version in head.follower.pending_changes():
            number = version.number if version is not None else 0
            head.follower.mark_applied(thing, number)
            head.number, head.running = number, False  # it stops, and restarts with that version

    def _evaluate(self, state: State) -> None:
        known = {
            name: HeadLocation("z", absent_us=-1 if head.running else 0) for name, head in state.heads.items()
        }
        record = state.heads[state.holder].follower.record
        for step in state.controller.next_steps(state.now, record, known, state.holder):
            state.writes.append((state.term, step))
        level = next_level(record, state.controller.feature_levels(), HEADS)
        if level > record.level and not state.writes:
            state.writes.append((state.term, level))

    def _write(self, state: State, term: int, change: Step | int) -> None:
        before = state.record
        try:
            if isinstance(change, int):
                state.record = raise_level(before, term, change)
            else:
                state.record = change.apply(before, term, 1)
        except (ChangeRefused, IllegalTransition):
            return
        if term < before.epoch:
            state.wrong = f"term {term} decides after term {before.epoch}"
        if not isinstance(change, int):
            self._check_step(state, before.find(THING, 1), state.record.find(THING, 1))

    def _check_step(self, state: State, before: Version | None, after: Version | None) -> None:
        assert before is not None and after is not None
        missing = sorted(set(before.heads) - state.ran)
        if after.standing is VersionState.IN_FORCE and missing:
            state.wrong = f"in force, and {missing} never ran it"
        if after.standing is VersionState.ADVANCING:
            changed = set(after.heads) - set(before.heads)
            if changed and missing:
                state.wrong = f"{sorted(changed)} are to go, and {missing} never came back"
            if len(changed) > PLAN.away:
                state.wrong = f"{sorted(changed)} are to go at once"
            if not set(before.heads) <= set(after.heads):
                state.wrong = f"{before.heads} were named, and now {after.heads}"

    def wrong(self, state: State) -> str | None:
        """Return the violated invariant, if there is one."""
        if state.record.level > min(head.level for head in state.heads.values()):
            return f"level {state.record.level} holds, and not all can read it"
        return state.wrong or None
