"""A head's part in rollouts, on the hub: it reports what it answered; if it decides, it takes the next steps.

What is due is decided in decisions/fleet/rollout (`Conductor`), from reports and the record; written is it
through the record of changes, in the term in which this head decides.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from zlib import crc32

from harriertrack.config.rollout import plan_of, read_program
from harriertrack.config.settings.fleet import RolloutSettings
from harriertrack.config.sexp import SettingsError
from harriertrack.decisions.fleet.budgets import Term
from harriertrack.decisions.fleet.changes.operations import ChangeRefused, raise_level
from harriertrack.decisions.fleet.changes.record import Kind, Record, Version, kind_of
from harriertrack.decisions.fleet.changes.version_state import IllegalTransition
from harriertrack.decisions.fleet.rollout.answer_counts import AnswerCounter
from harriertrack.decisions.fleet.rollout.baseline import Baseline, BaselineRecorder
from harriertrack.decisions.fleet.rollout.controller import HeadLocation, InvalidPlan, RolloutController
from harriertrack.decisions.fleet.rollout.evidence import Report
from harriertrack.decisions.fleet.rollout.feature_levels import level_conflict, next_level
from harriertrack.decisions.fleet.rollout.plan import Plan
from harriertrack.decisions.fleet.rollout.rollout import Step
from harriertrack.gateway.fleet.changes.carrier import LEVEL, Changes
from harriertrack.gateway.fleet.decider import FleetDecider
from harriertrack.gateway.fleet.rollout.program_user import HANDING_OVER
from harriertrack.gateway.fleet.rollout.remembered import Remembered
from harriertrack.gateway.fleet.rollout.reports import (
    Heard,
    MalformedReport,
    encode_before,
    encode_counts,
    encode_volumes,
)
from harriertrack.gateway.parts import HeadParts
from harriertrack.gateway.witness import FAILURES
from harriertrack.membership.fleet.change_record import DamagedRecord
from harriertrack.membership.fleet.messages import State
from harriertrack.membership.fleet.swim import Swim
from harriertrack.membership.fleet.view import Row

TOPIC = "rollout"
Usage = Callable[[], tuple[int, int]]  # bytes of memory, microseconds of processor


def no_usage() -> tuple[int, int]:
    """Tell nothing: heads that share a process use what all of them do."""
    return 0, 0


def asked(row: Row | None) -> frozenset[int]:
    """Return the lives of a member that ended as somebody wished: it said goodbye, which no crash does."""
    if row is None:
        return frozenset()
    return frozenset(one.record.instance for one in row.history if one.record.state is State.LEFT)


class Rollouts:
    """This head's part."""

    def __init__(self, parts: HeadParts, settings: RolloutSettings, swim: Swim, deciding: FleetDecider,
                 changes: Changes, counting: AnswerCounter, usage: Usage) -> None:  # fmt: skip
        self._parts, self._hub, self._settings = parts, parts.hub, settings
        self._swim, self._deciding, self._changes = swim, deciding, changes
        self._counting, self._usage = counting, usage
        self.failing: Callable[[], Mapping[str, str]] = dict  # things that run and do not work, and why
        self._term: Term | None = None
        self._conductor: RolloutController | None = None
        self._heard: dict[str, Heard] = {}
        sums = sorted({crc32(one.name.encode()) for one in parts.settings.volumes})
        self._pages = list(encode_volumes(swim.me.instance, sums))
        self._page = 0
        self._remembering = BaselineRecorder(parts.hub.now())
        self._remembered = Remembered(changes.kept, parts.note)
        deciding.on_report[TOPIC] = self._come

    def start(self) -> None:
        """Take part from now on; before `changes` does."""
        if (before := self._remembered.read(self._wall())) is not None:
            self._remembering.restore(self._hub.now(), before)
        self._changes.listeners.append(self._remember)
        self._parts.scope.spawn("rollout reports", self._tell)
        self._parts.scope.spawn("rollouts", self._run)

    # -- reporting

    def _tell(self) -> None:
        while True:
            self._remember()
            self._deciding.report(TOPIC, encode_counts(self._report()))
            if (before := self._remembering.current(self._hub.now())) is not None:
                self._deciding.report(TOPIC, encode_before(self._swim.me.instance, before))
            self._deciding.report(TOPIC, self._pages[self._page])
            self._page = (self._page + 1) % len(self._pages)
            self._hub.sleep(self._settings.report_us)

    def _wall(self) -> int:
        return self._hub.clock.wall()

    def _remember(self) -> None:
        """Hold on to how it went before a version, when the first head is named."""
        now, (memory, processor_us) = self._hub.now(), self._usage()
        new = self._remembering.update(
            now, self._changes.record, self._counting.classes, memory, processor_us
        )
        if new and (before := self._remembering.current(now)) is not None:
            self._remembered.write(self._wall(), before)

    def _report(self) -> Report:
        memory, processor_us = self._usage()
        fell = {thing: told for thing, told in self._changes.turned_down().items() if told[1] != HANDING_OVER}
        runs, me = self._changes.runs(), self._swim.me
        fell.update({thing: (runs[thing], why) for thing, why in self.failing().items() if thing in runs})
        return Report(me.name, me.instance, runs, self._counting.classes, memory,
                      processor_us, fell, LEVEL)  # fmt: skip

    # -- deciding

    def _come(self, now: int, head: str, body: bytes) -> None:
        if self._conductor is None:
            return
        heard = self._heard.setdefault(head, Heard(head))
        try:
            report = heard.take(body)
        except MalformedReport:
            return  # that head is not heard
        if isinstance(report, Baseline):
            self._conductor.add_baseline(now, head, report)
        elif report is not None:
            row = self._swim.view.find(head)
            zone = row.record.zone if row is not None else ""
            self._conductor.add_report(now, report, heard.volumes, zone, asked(row))

    def _run(self) -> None:
        """Conduct what is under way, while this head decides (a task)."""
        while True:
            self._hub.sleep(self._settings.look_us)
            term = self._deciding.deciding_term(self._hub.now())
            if term is None:
                self._term = self._conductor = None
                self._heard.clear()
                continue
            if term != self._term or self._conductor is None:
                self._term, self._conductor = term, RolloutController(self._plan_of)
                self._heard.clear()
            self._look(term, self._conductor)

    def _look(self, term: Term, conductor: RolloutController) -> None:
        record = self._changes.record
        steps = conductor.next_steps(self._hub.now(), record, self._known(), self._swim.me.name)
        for step in steps:
            self._write(term, step)
        if record.things() and self._next_level(record, conductor) > record.level:
            self._change(lambda now: raise_level(now, term.epoch, self._next_level(now, conductor)))

    def _next_level(self, record: Record, conductor: RolloutController) -> int:
        return next_level(record, conductor.feature_levels(), [row.record.name for row in self._swim.view])

    def _write(self, term: Term, step: Step) -> None:
        def make(record: Record) -> Record:
            return step.apply(record, term.epoch, self._wall() // 1000)

        if self._deciding.deciding_term(self._hub.now()) != term:
            return
        # Said before: a head that dies between the two has written what nobody else would tell of.
        self._parts.note("rollout", thing=step.version.thing, version=step.version.number,
                         standing=step.standing.value, stage=step.stage, heads=list(step.heads),
                         epoch=term.epoch, why=step.reason)  # fmt: skip
        self._change(make)

    def _change(self, make: Callable[[Record], Record]) -> None:
        try:
            self._changes.write(make)
        except (ChangeRefused, IllegalTransition, DamagedRecord, ValueError) as error:
            self._parts.note("rollout: step not taken", why=str(error))
        except FAILURES:
            pass  # the next look finds out whether it was written

    def _known(self) -> dict[str, HeadLocation]:
        now = self._hub.now()
        return {
            row.record.name: HeadLocation(
                row.record.zone, row.record.cell, row.record.region,
                -1 if row.record.present else max(0, now - row.since),
            )
            for row in self._swim.view
        }  # fmt: skip

    def _plan_of(self, version: Version) -> Plan:
        try:
            plan = plan_of(version)
            if kind_of(version.thing) is Kind.PROGRAM:
                old = level_conflict(self._changes.record, read_program(version).level or None)
                if old:
                    raise InvalidPlan(old)
        except SettingsError as error:
            raise InvalidPlan(str(error)) from error
        return plan

    def document(self, _now: int) -> list[str] | None:
        """Return where rollouts stand, for operators; None unless this head decides."""
        return self._conductor.status_lines(self._changes.record) if self._conductor is not None else None
