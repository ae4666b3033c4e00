"""State machine of a head's launcher: which program version runs, and which one replaces one that fails.

One child process at a time. A version on trial becomes *good* once it has served for a while; until then, if
it does not become ready in time or repeatedly exits on its own, the last good version is started instead, and
the version is not tried again. All of this works from what is on disk, so also when no other head can be
reached, and after the launcher itself was killed in between. A good version that exits is always restarted,
with growing delays.

    IDLE -> STARTING -> RUNNING -> DRAINING -> IDLE      phases of the child, which may exit in any of them

Pure: events and time in (microseconds of one clock), actions out.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import Enum

RESTART_DELAY_US = 250_000  # after an unrequested exit; doubled each time, up to
MAX_RESTART_DELAY_US = 30_000_000


@dataclass(frozen=True, slots=True)
class Program:
    """A version of the program; number 0 is the one in the launcher's own settings."""

    number: int = 0
    name: str = ""
    folder: str = ""
    arguments: tuple[str, ...] = ()
    level: int = 0


@dataclass(frozen=True, slots=True)
class LaunchRules:
    """The parameters of a launcher."""

    ready_us: int = 60_000_000  # a child that does not serve by then is not ready in time
    prove_us: int = 120_000_000  # a version that serves this long without exiting is good
    drain_us: int = 30_000_000  # a child that was asked to exit is killed after that
    tries: int = 3  # of a version on trial


@dataclass(frozen=True, slots=True)
class SavedState:
    """State that survives the launcher: written to disk before any action that depends on it."""

    good: Program = Program()
    trial: Program | None = None  # runs in place of the good one, until it is good or given up
    tries: int = 0  # failed ones of the version on trial
    fell: int = 0  # the version given up last
    why: str = ""
    child: int = 0  # process id; 0: none, or (with a token) unknown: it may have been started
    token: str = ""  # identifies the start of the child
    runs: int = 0  # the child's version

    @property
    def target(self) -> Program:
        """Return the version that should run."""
        return self.trial or self.good


class Phase(Enum):
    """The phase of the child process."""

    IDLE = "idle"
    STARTING = "starting"
    RUNNING = "running"
    DRAINING = "draining"


TRANSITIONS: dict[Phase, frozenset[Phase]] = {
    Phase.IDLE: frozenset({Phase.STARTING}),
    Phase.STARTING: frozenset({Phase.RUNNING, Phase.DRAINING, Phase.IDLE}),
    Phase.RUNNING: frozenset({Phase.DRAINING, Phase.IDLE}),
    Phase.DRAINING: frozenset({Phase.IDLE}),
}


class IllegalPhase(Exception):
    """A transition between phases that is not allowed."""


@dataclass(frozen=True, slots=True)
class Save:
    """Write this state to disk before any later action."""

    saved: SavedState


@dataclass(frozen=True, slots=True)
class Start:
    """Start a program, and pass it the version given up last and the reason."""

    program: Program
    rejected: int
    reason: str


@dataclass(frozen=True, slots=True)
class Terminate:
    """End the child by SIGTERM, or with `force` by SIGKILL."""

    force: bool


@dataclass(frozen=True, slots=True)
class Exit:
    """The launcher may exit."""


Action = Save | Start | Terminate | Exit


@dataclass(slots=True)
class LaunchStateMachine:
    """The state machine of one head's launcher."""

    rules: LaunchRules
    saved: SavedState = field(default_factory=SavedState)
    phase: Phase = Phase.IDLE
    stopping: bool = False
    _since: int = 0  # when the phase began
    _not_before: int = 0
    _restart_delay_us: int = RESTART_DELAY_US
    _killed: bool = False
    _actions: list[Action] = field(default_factory=list)

    def take_actions(self) -> list[Action]:
        """Return the actions to carry out, in order, and clear them."""
        actions, self._actions = self._actions, []
        return actions

    def _set_phase(self, now: int, phase: Phase) -> None:
        if phase not in TRANSITIONS[self.phase]:
            raise IllegalPhase(f"from {self.phase.value} to {phase.value}")
        self.phase, self._since = phase, now

    def _save(self, **changed: object) -> None:
        self.saved = replace(self.saved, **changed)  # type: ignore[arg-type]
        self._actions.append(Save(self.saved))

    # -- events

    def begin(self, now: int, child: int) -> None:
        """Start the launcher; `child`: the process id of an earlier incarnation's child, 0 if none runs."""
        if child:
            if child != self.saved.child:
                self._save(child=child)  # that incarnation exited before it had saved the id
            self._set_phase(now, Phase.STARTING)  # if it serves already, that is noticed at once
            self._drain_if_replaced(now)
        else:
            self._save(child=0, token="")
            self.advance(now)

    def record_start(self, token: str) -> None:
        """Save the token of a child about to be started, by which a later incarnation can find it."""
        self._save(child=0, token=token, runs=self.saved.target.number)

    def record_child(self, child: int) -> None:
        """Save the process id of the started child."""
        self._save(child=child)

    def child_ready(self, now: int) -> None:
        """Handle that the child serves."""
        if self.phase is Phase.STARTING:
            self._set_phase(now, Phase.RUNNING)

    def child_ended(self, now: int, how: str) -> None:
        """Handle the exit of the child; `how`: as text."""
        requested, phase, served_us = self.phase is Phase.DRAINING, self.phase, now - self._since
        self._set_phase(now, Phase.IDLE)
        self._killed = False
        self._save(child=0, token="")
        if self.stopping:
            self._actions.append(Exit())
            return
        if requested:
            self._restart_delay_us, self._not_before = RESTART_DELAY_US, now
        else:
            if phase is Phase.RUNNING and served_us >= self.rules.prove_us:
                self._restart_delay_us = RESTART_DELAY_US
            self._handle_failure(now, how)
        self.advance(now)

    def request_program(self, now: int, program: Program) -> None:
        """Handle the head's request to run a version."""
        saved = self.saved
        if program.number == saved.target.number or program.number == saved.fell != 0:
            return
        if program.number == saved.good.number:
            self._save(trial=None, tries=0)
        else:
            self._save(trial=program, tries=0)
        self._drain_if_replaced(now)

    def reject_program(self, now: int, number: int, why: str) -> None:
        """Handle that a version can't be started: its folder is missing or not allowed."""
        self._set_phase(now, Phase.IDLE)
        self._save(child=0, token="")
        if self.saved.trial is not None and self.saved.trial.number == number:
            self._give_up(why)
            return
        self._not_before = now + self._restart_delay_us
        self._restart_delay_us = min(2 * self._restart_delay_us, MAX_RESTART_DELAY_US)

    def stop(self, now: int) -> None:
        """Handle a request to end the launcher and its head."""
        self.stopping = True
        if self.phase is Phase.IDLE:
            self._actions.append(Exit())
        else:
            self._drain(now)

    # -- time

    def advance(self, now: int) -> None:
        """Do what the time requires."""
        saved, rules = self.saved, self.rules
        match self.phase:
            case Phase.IDLE:
                if not self.stopping and now >= self._not_before:
                    self._set_phase(now, Phase.STARTING)
                    self._actions.append(Start(saved.target, saved.fell, saved.why))
            case Phase.STARTING:
                if now >= self._since + rules.ready_us and not self._killed:
                    self._killed = True
                    self._actions.append(Terminate(True))
            case Phase.RUNNING:
                proven = now >= self._since + rules.prove_us
                if saved.trial is not None and saved.runs == saved.trial.number and proven:
                    self._save(good=saved.trial, trial=None, tries=0, fell=0, why="")
            case Phase.DRAINING:
                if now >= self._since + rules.drain_us and not self._killed:
                    self._killed = True
                    self._actions.append(Terminate(True))

    def _drain_if_replaced(self, now: int) -> None:
        """End the child if another version should run."""
        if self.phase in (Phase.STARTING, Phase.RUNNING) and self.saved.runs != self.saved.target.number:
            self._drain(now)

    def _drain(self, now: int) -> None:
        if self.phase is not Phase.DRAINING:
            self._set_phase(now, Phase.DRAINING)
            self._actions.append(Terminate(False))

    def _handle_failure(self, now: int, how: str) -> None:
        self._not_before = now + self._restart_delay_us
        self._restart_delay_us = min(2 * self._restart_delay_us, MAX_RESTART_DELAY_US)
        saved = self.saved
        if saved.trial is None or saved.runs != saved.trial.number:
            return
        if saved.tries + 1 >= self.rules.tries:
            self._give_up(f"{how}, {saved.tries + 1} times")
            self._restart_delay_us, self._not_before = RESTART_DELAY_US, now
        else:
            self._save(tries=saved.tries + 1)

    def _give_up(self, why: str) -> None:
        assert self.saved.trial is not None
        self._save(trial=None, tries=0, fell=self.saved.trial.number, why=why)
