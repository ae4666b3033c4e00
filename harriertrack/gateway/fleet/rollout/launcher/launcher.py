"""The launcher on the hub: carries out what decisions/fleet/rollout/launch_state.py decides."""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

from harriertrack.config.rollout import LaunchSettings
from harriertrack.decisions.fleet.rollout.launch_state import (
    Exit,
    LaunchRules,
    LaunchStateMachine,
    Phase,
    Program,
    Save,
    SavedState,
    Start,
    Terminate,
)
from harriertrack.gateway.fleet.parameters import parameters_from
from harriertrack.gateway.fleet.rollout.launcher import child as children
from harriertrack.gateway.fleet.rollout.launcher.files import (
    FELL_VARIABLE,
    FOLDER_VARIABLE,
    NUMBER_VARIABLE,
    TOKEN_VARIABLE,
    Files,
)
from harriertrack.runtime.hub import Hub

LOOK_US = 50_000
OWN = (sys.executable, "-m", "harriertrack")  # the program that this launcher is part of


class Unfit(Exception):
    """A version that is not to be started here; the text says why."""


def command_of(settings: LaunchSettings, program: Program) -> list[str]:
    """Return how a version is started. Raises Unfit."""
    own = list(OWN)
    if program.folder:
        folder = Path(program.folder).resolve()
        if not any(folder.is_relative_to(Path(allowed).resolve()) for allowed in settings.folders):
            raise Unfit(f"{program.folder} is not below one of this launcher's folders")
        binary = folder / "bin" / "harriertrack"
        if not binary.is_file():
            raise Unfit(f"{binary} is not there")
        own = [str(binary)]
    return [*own, "head", settings.head, *settings.arguments, *program.arguments]


class Process(Protocol):
    """A head that runs; `child.Child` is one of the system's."""

    @property
    def pid(self) -> int:
        """Return its number."""

    @property
    def alive(self) -> bool:
        """Whether it has not ended."""

    def how(self) -> str:
        """Return how it ended, in words."""

    def end(self, at_once: bool) -> None:
        """Ask it to end, or end it."""


class Processes(Protocol):
    """What starts heads, and finds those that an earlier life of the launcher started."""

    def start(self, command: list[str], environment: dict[str, str]) -> Process:
        """Start one. Raises OSError."""

    def find(self, pid: int, token: str) -> Process | None:
        """Return the one that was started with a token; `pid` 0: its number was not written down."""


class Disk(Protocol):
    """What lies between a launcher and its head; `files.Files` on disk."""

    @property
    def folder(self) -> Path:
        """Return where."""

    def kept(self) -> SavedState | None:
        """Return what an earlier life of the launcher kept."""

    def keep(self, kept: SavedState) -> None:
        """Keep it."""

    def wanted(self) -> Program | None:
        """Return which version the head wants to run in its place."""

    def is_ready(self, token: str) -> bool:
        """Whether the child that was started with a token serves."""


class Launcher:
    """One head's."""

    def __init__(self, hub: Hub, settings: LaunchSettings, note: Callable[..., None],
                 files: Disk | None = None, processes: Processes = children) -> None:  # fmt: skip
        self._hub, self._settings, self._note = hub, settings, note
        self._files, self._processes = files or Files(settings.state), processes
        kept = self._files.kept()
        self._child: Process | None = processes.find(kept.child, kept.token) if kept is not None else None
        self.machine = LaunchStateMachine(parameters_from(LaunchRules, settings), kept or SavedState())
        self._done = False

    def run(self) -> None:
        """Keep a head running until `stop` was called and it has ended (a task). Raises OSError."""
        machine = self.machine
        machine.begin(self._hub.now(), self._child.pid if self._child is not None else 0)
        self._act()
        while not self._done:
            self._hub.sleep(LOOK_US)
            now = self._hub.now()
            if self._child is not None and not self._child.alive:
                how, self._child = self._child.how(), None
                self._note("launch: head ended", how=how, version=machine.saved.runs,
                           asked=machine.phase is Phase.DRAINING)  # fmt: skip
                machine.child_ended(now, how)
            elif machine.phase is Phase.STARTING and self._files.is_ready(machine.saved.token):
                machine.child_ready(now)
                self._note("launch: head serves", version=machine.saved.runs)
            if machine.phase is not Phase.IDLE and (wanted := self._files.wanted()) is not None:
                machine.request_program(now, wanted)
            machine.advance(now)
            self._act()

    def stop(self) -> None:
        """Ask the head to end, and end after it."""
        self.machine.stop(self._hub.now())
        self._act()

    def _act(self) -> None:
        while actions := self.machine.take_actions():
            for action in actions:
                match action:
                    case Save(kept):
                        if kept.fell and kept.trial is None and kept.tries == 0 and not kept.child:
                            self._note("launch: version given up", version=kept.fell, why=kept.why)
                        self._files.keep(kept)
                    case Start(program, fell, why):
                        self._start(program, fell, why)
                    case Terminate(at_once):
                        self._note("launch: head is to end", at_once=at_once, version=self.machine.saved.runs,
                                   next=self.machine.saved.target.number)  # fmt: skip
                        if self._child is not None:
                            self._child.end(at_once)
                    case Exit():
                        self._done = True

    def _start(self, program: Program, fell: int, why: str) -> None:
        now, token = self._hub.now(), f"{self._hub.random.getrandbits(64):016x}"
        environment = {
            FOLDER_VARIABLE: str(self._files.folder), TOKEN_VARIABLE: token,
            NUMBER_VARIABLE: str(program.number), FELL_VARIABLE: f"{fell} {why}",
        }  # fmt: skip
        try:
            command = command_of(self._settings, program)
            self.machine.record_start(token)
            self._act()
            self._child = self._processes.start(command, environment)
        except (Unfit, OSError) as error:
            self._note("launch: version can't be started", version=program.number, why=str(error))
            self.machine.reject_program(now, program.number, str(error))
            return
        self._note("launch: head starts", version=program.number, pid=self._child.pid)
        self.machine.record_child(self._child.pid)
