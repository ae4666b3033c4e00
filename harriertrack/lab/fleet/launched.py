"""A head's launcher in simulated time: the real launcher's state machine, with heads of a rig as children."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from harriertrack.decisions.fleet.rollout.launch_state import (
    LaunchRules,
    LaunchStateMachine,
    Phase,
    Program,
    Save,
    SavedState,
    Start,
    Terminate,
)
from harriertrack.lab.fleet.rehearsal import Rehearsal, rehearsal_of
from harriertrack.lab.rig import HeadSlot
from harriertrack.rules import recording as rec
from harriertrack.runtime.hub import Hub

POLL_US = 50_000
FLAG = "--rehearse"


def rehearsed(program: Program) -> Rehearsal:
    """Return the injected defect that a program's arguments name. Raises ValueError."""
    arguments = program.arguments
    return rehearsal_of(arguments[arguments.index(FLAG) + 1]) if FLAG in arguments else Rehearsal()


class Host(Protocol):
    """The parts of the rig that a launcher uses."""

    hub: Hub
    recorder: rec.Recorder

    def start_child(self, slot: HeadSlot, rehearsal: Rehearsal) -> None:
        """Start a head with a version's defect; it serves when this returns, unless it is mute."""

    def crash(self, slot: HeadSlot) -> None:
        """End a head's process without a shutdown."""

    def end_child(self, slot: HeadSlot) -> None:
        """Ask a head to end."""

    def record_lifecycle(self, slot: HeadSlot, how: str) -> None:
        """Record a change in a head's lifecycle."""


class SimulatedLauncher:
    """The launcher of one head; starts from the state `disk` and hands each new state to `store`."""

    def __init__(self, host: Host, slot: HeadSlot, rules: LaunchRules, disk: SavedState,
                 store: Callable[[SavedState], None]) -> None:  # fmt: skip
        self._host, self._slot, self._store = host, slot, store
        self._machine = LaunchStateMachine(rules, disk)
        self._requested: Program | None = None
        self._is_ready = False
        self._crash_at_us = 0

    @property
    def number(self) -> int:
        """Return the number of the version that runs."""
        return self._machine.saved.runs

    @property
    def failed_version(self) -> tuple[int, str]:
        """Return the version that failed when it was tried, and why."""
        return self._machine.saved.fell, self._machine.saved.why

    def request_program(self, program: Program) -> None:
        """Request a version to replace the running one."""
        self._requested = program

    def run(self) -> None:
        """Keep a head running (a task)."""
        hub, machine, slot = self._host.hub, self._machine, self._slot
        machine.begin(hub.now(), 0)
        self._run_actions()
        while True:
            hub.sleep(POLL_US)
            now = hub.now()
            if self._crash_at_us and now >= self._crash_at_us:
                self._crash_at_us = 0
                self._host.crash(slot)
            if machine.phase is not Phase.IDLE and slot.task is not None and slot.task.done:
                machine.child_ended(now, "it ended")
            elif machine.phase is Phase.STARTING and self._is_ready:
                machine.child_ready(now)
                self._record_handover(False, machine.saved.runs)
            if machine.phase is not Phase.IDLE and self._requested is not None:
                machine.request_program(now, self._requested)
            machine.advance(now)
            self._run_actions()

    def _record_handover(self, away: bool, version: int) -> None:
        self._host.recorder.add(
            rec.HeadHandover(t=self._host.hub.now(), head=self._slot.name, away=away, version=version)
        )

    def _run_actions(self) -> None:
        while actions := self._machine.take_actions():
            for action in actions:
                match action:
                    case Save(state):
                        self._store(state)
                    case Start(program):
                        self._start(program)
                    case Terminate(at_once):
                        self._crash_at_us = 0
                        if at_once:
                            self._host.crash(self._slot)
                        else:
                            self._record_handover(True, self._machine.saved.target.number)
                            self._host.record_lifecycle(self._slot, "leaving")
                            self._host.end_child(self._slot)

    def _start(self, program: Program) -> None:
        defect, now = rehearsed(program), self._host.hub.now()
        self._machine.record_start(f"{now}")
        self._machine.record_child(1)
        self._crash_at_us = now + defect.crash_us if defect.crash_us else 0
        self._is_ready = False
        self._host.start_child(self._slot, defect)
        self._is_ready = not defect.mute
