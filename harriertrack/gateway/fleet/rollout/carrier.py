"""Rollouts on one head: it reports its answers and, while it is the deciding head, takes the next steps.

`RolloutController` in decisions/fleet/rollout decides the steps from reports and the record; they are written
to the record of changes in the term in which this head decides.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from zlib import crc32

from harriertrack.config.rollout import plan_of_version, read_program
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
from harriertrack.gateway.fleet.changes.carrier import FEATURE_LEVEL, Changes
from harriertrack.gateway.fleet.decider import FleetDecider
from harriertrack.gateway.fleet.rollout.baseline_file import BaselineFile
from harriertrack.gateway.fleet.rollout.program_user import HANDING_OVER
from harriertrack.gateway.fleet.rollout.reports import (
    MalformedReport,
    ReportAssembler,
    encode_baseline,
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
UsageReader = Callable[[], tuple[int, int]]  # bytes of memory, microseconds of processor time


def no_usage() -> tuple[int, int]:
    """Report no usage: it can't be attributed to one of several heads in a process."""
    return 0, 0


def ended_on_request(row: Row | None) -> frozenset[int]:
    """Return a member's incarnations that ended on request: they announced that, unlike a crash."""
    if row is None:
        return frozenset()
    return frozenset(one.record.instance for one in row.history if one.record.state is State.LEFT)


class Rollouts:
    """Reports for rollouts and, in this head's term, controls them."""

    def __init__(self, parts: HeadParts, settings: RolloutSettings, swim: Swim, decider: FleetDecider,
                 changes: Changes, counting: AnswerCounter, usage: UsageReader) -> None:  # fmt: skip
        self._parts, self._hub, self._settings = parts, parts.hub, settings
        self._swim, self._decider, self._changes = swim, decider, changes
        self._counting, self._usage = counting, usage
        self.failures: Callable[[], Mapping[str, str]] = dict  # things that run but do not work, and why
        self._term: Term | None = None
        self._controller: RolloutController | None = None
        self._received: dict[str, ReportAssembler] = {}
        checksums = sorted({crc32(one.name.encode()) for one in parts.settings.volumes})
        self._pages = list(encode_volumes(swim.me.instance, checksums))
        self._page = 0
        self._baseline = BaselineRecorder(parts.hub.now())
        self._baseline_file = BaselineFile(changes.cache, parts.note)
        decider.on_report[TOPIC] = self._handle_report

    def start(self) -> None:
        """Start the tasks; before `changes` starts."""
        if (baseline := self._baseline_file.read(self._wall_us())) is not None:
            self._baseline.restore(self._hub.now(), baseline)
        self._changes.listeners.append(self._update_baseline)
        self._parts.scope.spawn("rollout reports", self._send_reports)
        self._parts.scope.spawn("rollouts", self._run)

    # -- reporting

    def _send_reports(self) -> None:
        while True:
            self._update_baseline()
            self._decider.report(TOPIC, encode_counts(self._report()))
            if (baseline := self._baseline.current(self._hub.now())) is not None:
                self._decider.report(TOPIC, encode_baseline(self._swim.me.instance, baseline))
            self._decider.report(TOPIC, self._pages[self._page])
            self._page = (self._page + 1) % len(self._pages)
            self._hub.sleep(self._settings.report_us)

    def _wall_us(self) -> int:
        return self._hub.clock.wall()

    def _update_baseline(self) -> None:
        """Record the baseline before a version, when the version's first heads are named."""
        now, (memory, processor_us) = self._hub.now(), self._usage()
        new = self._baseline.update(now, self._changes.record, self._counting.classes, memory, processor_us)
        if new and (baseline := self._baseline.current(now)) is not None:
            self._baseline_file.write(self._wall_us(), baseline)

    def _report(self) -> Report:
        memory, processor_us = self._usage()
        failed = {
            thing: rejection
            for thing, rejection in self._changes.rejections().items()
            if rejection[1] != HANDING_OVER
        }
        runs, me = self._changes.running_versions(), self._swim.me
        failed.update({thing: (runs[thing], why) for thing, why in self.failures().items() if thing in runs})
        return Report(me.name, me.instance, runs, self._counting.classes, memory,
                      processor_us, failed, FEATURE_LEVEL)  # fmt: skip

    # -- deciding

    def _handle_report(self, now: int, head: str, body: bytes) -> None:
        if self._controller is None:
            return
        received = self._received.setdefault(head, ReportAssembler(head))
        try:
            report = received.handle_report(body)
        except MalformedReport:
            return  # ignored
        if isinstance(report, Baseline):
            self._controller.add_baseline(now, head, report)
        elif report is not None:
            row = self._swim.view.find(head)
            zone = row.record.zone if row is not None else ""
            self._controller.add_report(now, report, received.volumes, zone, ended_on_request(row))

    def _run(self) -> None:
        """Control the rollouts in progress while this head decides (a task)."""
        while True:
            self._hub.sleep(self._settings.look_us)
            term = self._decider.deciding_term(self._hub.now())
            if term is None:
                self._term = self._controller = None
                self._received.clear()
                continue
            if term != self._term or self._controller is None:
                self._term, self._controller = term, RolloutController(self._plan_of)
                self._received.clear()
            self._take_steps(term, self._controller)

    def _take_steps(self, term: Term, controller: RolloutController) -> None:
        record = self._changes.record
        steps = controller.next_steps(self._hub.now(), record, self._head_locations(), self._swim.me.name)
        for step in steps:
            self._write(term, step)
        if record.things() and self._next_level(record, controller) > record.level:
            self._write_record(lambda now: raise_level(now, term.epoch, self._next_level(now, controller)))

    def _next_level(self, record: Record, controller: RolloutController) -> int:
        return next_level(record, controller.feature_levels(), [row.record.name for row in self._swim.view])

    def _write(self, term: Term, step: Step) -> None:
        def make(record: Record) -> Record:
            return step.apply(record, term.epoch, self._wall_us() // 1000)

        if self._decider.deciding_term(self._hub.now()) != term:
            return
        # Logged before the write: if the head crashed in between, a completed write would never be logged.
        self._parts.note("rollout", thing=step.version.thing, version=step.version.number,
                         standing=step.standing.value, stage=step.stage, heads=list(step.heads),
                         epoch=term.epoch, why=step.reason)  # fmt: skip
        self._write_record(make)

    def _write_record(self, make: Callable[[Record], Record]) -> None:
        try:
            self._changes.write(make)
        except (ChangeRefused, IllegalTransition, DamagedRecord, ValueError) as error:
            self._parts.note("rollout: step not taken", why=str(error))
        except FAILURES:
            pass  # the next check shows whether it was written

    def _head_locations(self) -> dict[str, HeadLocation]:
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
            plan = plan_of_version(version)
            if kind_of(version.thing) is Kind.PROGRAM:
                old = level_conflict(self._changes.record, read_program(version).level or None)
                if old:
                    raise InvalidPlan(old)
        except SettingsError as error:
            raise InvalidPlan(str(error)) from error
        return plan

    def document(self, _now: int) -> list[str] | None:
        """Return the status of rollouts for operators; None unless this head decides."""
        return self._controller.status_lines(self._changes.record) if self._controller is not None else None
