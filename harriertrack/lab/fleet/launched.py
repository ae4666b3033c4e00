"""A head's launcher in simulated time: the machine of the real one, with heads of a rig for children."""

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

LOOK_US = 50_000
FLAG = "--rehearse"


def rehearsed(program: Program) -> Rehearsal:
    """Return what a program's arguments say that it does wrong. Raises ValueError."""
    words = program.arguments
    return rehearsal_of(words[words.index(FLAG) + 1]) if FLAG in words else Rehearsal()


class Host(Protocol):
    """The rig, as far as a launcher needs it."""

    hub: Hub
    recorder: rec.Recorder

    def start_child(self, slot: HeadSlot, rehearsal: Rehearsal) -> None:
        """Start a head of a version; it serves when this returns, unless it is mute."""

    def crash(self, slot: HeadSlot) -> None:
        """A head ends by itself."""

    def end_child(self, slot: HeadSlot) -> None:
        """Ask a head to end."""

    def record_lifecycle(self, slot: HeadSlot, how: str) -> None:
        """Record what became of a head."""


class SimulatedLauncher:
    """One head's; `disk` keeps what it writes down."""

    def __init__(self, host: Host, slot: HeadSlot, rules: LaunchRules, disk: SavedState,
                 keep: Callable[[SavedState], None]) -> None:  # fmt: skip
        self._host, self._slot, self._keep = host, slot, keep
        self._machine = LaunchStateMachine(rules, disk)
        self._wanted: Program | None = None
        self._serves = False
        self._crash_at = 0

    @property
    def number(self) -> int:
        """Return the version that runs."""
        return self._machine.saved.runs

    @property
    def failed_version(self) -> tuple[int, str]:
        """Return the version that did not run when it was tried, and why."""
        return self._machine.saved.fell, self._machine.saved.why

    def request_program(self, program: Program) -> None:
        """Let a version run in this one's place."""
        self._wanted = program

    def run(self) -> None:
        """Keep a head running (a task)."""
        hub, machine, slot = self._host.hub, self._machine, self._slot
        machine.begin(hub.now(), 0)
        self._act()
        while True:
            hub.sleep(LOOK_US)
            now = hub.now()
            if self._crash_at and now >= self._crash_at:
                self._crash_at = 0
                self._host.crash(slot)
            if machine.phase is not Phase.IDLE and slot.task is not None and slot.task.done:
                machine.child_ended(now, "it ended")
            elif machine.phase is Phase.STARTING and self._serves:
                machine.child_ready(now)
                self._tell(False, machine.saved.runs)
            if machine.phase is not Phase.IDLE and self._wanted is not None:
                machine.request_program(now, self._wanted)
            machine.advance(now)
            self._act()

    def _tell(self, away: bool, version: int) -> None:
        self._host.recorder.add(
            rec.HeadHandover(t=self._host.hub.now(), head=self._slot.name, away=away, version=version)
        )

    def _act(self) -> None:
        while actions := self._machine.take_actions():
            for action in actions:
                match action:
                    case Save(kept):
                        self._keep(kept)
                    case Start(program):
                        self._start(program)
                    case Terminate(at_once):
                        self._crash_at = 0
                        if at_once:
                            self._host.crash(self._slot)
                        else:
                            self._tell(True, self._machine.saved.target.number)
                            self._host.record_lifecycle(self._slot, "leaving")
                            self._host.end_child(self._slot)

    def _start(self, program: Program) -> None:
        bad, now = rehearsed(program), self._host.hub.now()
        self._machine.record_start(f"{now}")
        self._machine.record_child(1)
        self._crash_at = now + bad.crash_us if bad.crash_us else 0
        self._serves = False
        self._host.start_child(self._slot, bad)
        self._serves = not bad.mute
