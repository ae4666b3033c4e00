"""The launcher: carries out the actions of `LaunchStateMachine` in decisions/fleet/rollout."""

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
    LauncherFiles,
)
from harriertrack.runtime.hub import Hub

POLL_US = 50_000
OWN_COMMAND = (sys.executable, "-m", "harriertrack")  # the launcher's own program


class InvalidProgram(Exception):
    """A version that must not be started here; the text says why."""


def command_of(settings: LaunchSettings, program: Program) -> list[str]:
    """Return the command that starts a version. Raises InvalidProgram."""
    own = list(OWN_COMMAND)
    if program.folder:
        folder = Path(program.folder).resolve()
        if not any(folder.is_relative_to(Path(allowed).resolve()) for allowed in settings.folders):
            raise InvalidProgram(f"{program.folder} is not below one of this launcher's folders")
        binary = folder / "bin" / "harriertrack"
        if not binary.is_file():
            raise InvalidProgram(f"{binary} is not there")
        own = [str(binary)]
    return [*own, "head", settings.head, *settings.arguments, *program.arguments]


class Process(Protocol):
    """A head's process; `child.Child` is one of the operating system."""

    @property
    def pid(self) -> int:
        """Return its process id."""

    @property
    def alive(self) -> bool:
        """Whether it runs."""

    def exit_reason(self) -> str:
        """Describe how it ended."""

    def end(self, at_once: bool) -> None:
        """Terminate it, or kill it if `at_once`."""


class Processes(Protocol):
    """Starts heads, and finds those started by an earlier incarnation of the launcher."""

    def start(self, command: list[str], environment: dict[str, str]) -> Process:
        """Start a process. Raises OSError."""

    def find(self, pid: int, token: str) -> Process | None:
        """Return the process started with a token; `pid` 0: the process id was not saved."""


class Disk(Protocol):
    """State shared by a launcher and its head; `files.LauncherFiles` on disk."""

    @property
    def folder(self) -> Path:
        """Return the folder."""

    def saved_state(self) -> SavedState | None:
        """Return the state saved by an earlier incarnation of the launcher."""

    def save_state(self, state: SavedState) -> None:
        """Save the state."""

    def requested_program(self) -> Program | None:
        """Return the version that the head requests to run in its place."""

    def is_ready(self, token: str) -> bool:
        """Whether the child started with a token serves."""


class Launcher:
    """Runs one head."""

    def __init__(self, hub: Hub, settings: LaunchSettings, note: Callable[..., None],
                 files: Disk | None = None, processes: Processes = children) -> None:  # fmt: skip
        self._hub, self._settings, self._note = hub, settings, note
        self._files, self._processes = files or LauncherFiles(settings.state), processes
        saved = self._files.saved_state()
        self._child: Process | None = processes.find(saved.child, saved.token) if saved is not None else None
        self.machine = LaunchStateMachine(parameters_from(LaunchRules, settings), saved or SavedState())
        self._done = False

    def run(self) -> None:
        """Run a head, and restart it, until `stop` was called and it has ended (a task). Raises OSError."""
        machine = self.machine
        machine.begin(self._hub.now(), self._child.pid if self._child is not None else 0)
        self._act()
        while not self._done:
            self._hub.sleep(POLL_US)
            now = self._hub.now()
            if self._child is not None and not self._child.alive:
                how, self._child = self._child.exit_reason(), None
                self._note("launch: head ended", how=how, version=machine.saved.runs,
                           asked=machine.phase is Phase.DRAINING)  # fmt: skip
                machine.child_ended(now, how)
            elif machine.phase is Phase.STARTING and self._files.is_ready(machine.saved.token):
                machine.child_ready(now)
                self._note("launch: head serves", version=machine.saved.runs)
            if machine.phase is not Phase.IDLE and (requested := self._files.requested_program()) is not None:
                machine.request_program(now, requested)
            machine.advance(now)
            self._act()

    def stop(self) -> None:
        """Terminate the head, and end after it."""
        self.machine.stop(self._hub.now())
        self._act()

    def _act(self) -> None:
        while actions := self.machine.take_actions():
            for action in actions:
                match action:
                    case Save(state):
                        if state.fell and state.trial is None and state.tries == 0 and not state.child:
                            self._note("launch: version given up", version=state.fell, why=state.why)
                        self._files.save_state(state)
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
        except (InvalidProgram, OSError) as error:
            self._note("launch: version can't be started", version=program.number, why=str(error))
            self.machine.reject_program(now, program.number, str(error))
            return
        self._note("launch: head starts", version=program.number, pid=self._child.pid)
        self.machine.record_child(self._child.pid)
