"""A head's launcher: which version of the program runs, and which runs again when one does not.

One child at a time. A version that is tried is *good* once it has served for a while; until then, if it is
not ready in time or ends unasked again and again, the last good one is started in its place, and the version
is not tried again: all of it from what lies on disk, so also when nobody can be asked, and when the launcher
itself was killed in between. A good one that ends is started again and again, ever more slowly.

    IDLE -> STARTING -> RUNNING -> DRAINING -> IDLE      the child's way; it may end from everywhere

Pure: events and time in (microseconds of one clock), actions out.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import Enum

PAUSE_US = 250_000  # before a version that ended unasked is started again; doubled up to
MOST_PAUSE_US = 30_000_000


@dataclass(frozen=True, slots=True)
class Program:
    """A version of the program; number 0 is what the launcher's own settings say."""

    number: int = 0
    name: str = ""
    folder: str = ""
    arguments: tuple[str, ...] = ()
    level: int = 0


@dataclass(frozen=True, slots=True)
class LaunchRules:
    """The figures."""

    ready_us: int = 60_000_000  # a child that does not serve by then is not ready in time
    prove_us: int = 120_000_000  # a version that serves so long in all without ending is good
    drain_us: int = 30_000_000  # a child that was asked to end is ended after that
    tries: int = 3  # of a version that is not good yet


@dataclass(frozen=True, slots=True)
class SavedState:
    """What survives the launcher: written before any action that rests on it."""

    good: Program = Program()
    trial: Program | None = None  # in place of it, until it is good or given up
    tries: int = 0  # of the trial, that ended badly
    fell: int = 0  # the version given up last
    why: str = ""
    child: int = 0  # process id; 0: none, or (with a token) not known: it may have been started
    token: str = ""  # which start of it
    runs: int = 0  # the version that the child is

    @property
    def target(self) -> Program:
        """Return what is to run."""
        return self.trial or self.good


class Phase(Enum):
    """What the child is doing."""

    IDLE = "idle"
    STARTING = "starting"
    RUNNING = "running"
    DRAINING = "draining"


PHASES: dict[Phase, frozenset[Phase]] = {
    Phase.IDLE: frozenset({Phase.STARTING}),
    Phase.STARTING: frozenset({Phase.RUNNING, Phase.DRAINING, Phase.IDLE}),
    Phase.RUNNING: frozenset({Phase.DRAINING, Phase.IDLE}),
    Phase.DRAINING: frozenset({Phase.IDLE}),
}


class IllegalPhase(Exception):
    """A child can't go from one phase to another."""


@dataclass(frozen=True, slots=True)
class Save:
    """Write this down, before anything that follows."""

    saved: SavedState


@dataclass(frozen=True, slots=True)
class Start:
    """Start a program; `fell` and `why` are told to it."""

    program: Program
    rejected: int
    reason: str


@dataclass(frozen=True, slots=True)
class Terminate:
    """End the child: asked (SIGTERM), or at once (SIGKILL)."""

    force: bool


@dataclass(frozen=True, slots=True)
class Exit:
    """The launcher may end."""


Action = Save | Start | Terminate | Exit


@dataclass(slots=True)
class LaunchStateMachine:
    """One head's launcher."""

    rules: LaunchRules
    saved: SavedState = field(default_factory=SavedState)
    phase: Phase = Phase.IDLE
    stopping: bool = False
    _since: int = 0  # when the phase began
    _not_before: int = 0
    _pause_us: int = PAUSE_US
    _killed: bool = False
    _actions: list[Action] = field(default_factory=list)

    def take_actions(self) -> list[Action]:
        """Return what is to be done, in order."""
        actions, self._actions = self._actions, []
        return actions

    def _go(self, now: int, phase: Phase) -> None:
        if phase not in PHASES[self.phase]:
            raise IllegalPhase(f"from {self.phase.value} to {phase.value}")
        self.phase, self._since = phase, now

    def _keep(self, **changed: object) -> None:
        self.saved = replace(self.saved, **changed)  # type: ignore[arg-type]
        self._actions.append(Save(self.saved))

    # -- events

    def begin(self, now: int, child: int) -> None:
        """The launcher starts; `child`: the process id of an earlier life's, 0 if none runs any more."""
        if child:
            if child != self.saved.child:
                self._keep(child=child)  # that life was ended before it had written it down
            self._go(now, Phase.STARTING)  # if it serves already, that is heard at once
            self._turn(now)
        else:
            self._keep(child=0, token="")
            self.advance(now)

    def record_start(self, token: str) -> None:
        """The child is about to be started: by its token a later life finds it, wherever this one ends."""
        self._keep(child=0, token=token, runs=self.saved.target.number)

    def record_child(self, child: int) -> None:
        """The child that was to be started runs under a process id."""
        self._keep(child=child)

    def child_ready(self, now: int) -> None:
        """The child serves."""
        if self.phase is Phase.STARTING:
            self._go(now, Phase.RUNNING)

    def child_ended(self, now: int, how: str) -> None:
        """The child is gone; `how`: in words."""
        asked, phase, served_us = self.phase is Phase.DRAINING, self.phase, now - self._since
        self._go(now, Phase.IDLE)
        self._killed = False
        self._keep(child=0, token="")
        if self.stopping:
            self._actions.append(Exit())
            return
        if asked:
            self._pause_us, self._not_before = PAUSE_US, now
        else:
            if phase is Phase.RUNNING and served_us >= self.rules.prove_us:
                self._pause_us = PAUSE_US
            self._failed(now, how)
        self.advance(now)

    def request_program(self, now: int, program: Program) -> None:
        """The head says which version is to run."""
        kept = self.saved
        if program.number == kept.target.number or program.number == kept.fell != 0:
            return
        if program.number == kept.good.number:
            self._keep(trial=None, tries=0)
        else:
            self._keep(trial=program, tries=0)
        self._turn(now)

    def reject_program(self, now: int, number: int, why: str) -> None:
        """A version that is to be started can't be: its folder is not there, or not allowed."""
        self._go(now, Phase.IDLE)
        self._keep(child=0, token="")
        if self.saved.trial is not None and self.saved.trial.number == number:
            self._give_up(why)
            return
        self._not_before = now + self._pause_us
        self._pause_us = min(2 * self._pause_us, MOST_PAUSE_US)

    def stop(self, now: int) -> None:
        """The launcher is asked to end, and its head with it."""
        self.stopping = True
        if self.phase is Phase.IDLE:
            self._actions.append(Exit())
        else:
            self._drain(now)

    # -- time

    def advance(self, now: int) -> None:
        """Do what is due."""
        kept, rules = self.saved, self.rules
        match self.phase:
            case Phase.IDLE:
                if not self.stopping and now >= self._not_before:
                    self._go(now, Phase.STARTING)
                    self._actions.append(Start(kept.target, kept.fell, kept.why))
            case Phase.STARTING:
                if now >= self._since + rules.ready_us and not self._killed:
                    self._killed = True
                    self._actions.append(Terminate(True))
            case Phase.RUNNING:
                proven = now >= self._since + rules.prove_us
                if kept.trial is not None and kept.runs == kept.trial.number and proven:
                    self._keep(good=kept.trial, trial=None, tries=0, fell=0, why="")
            case Phase.DRAINING:
                if now >= self._since + rules.drain_us and not self._killed:
                    self._killed = True
                    self._actions.append(Terminate(True))

    def _turn(self, now: int) -> None:
        """Let another version take the child's place, if it is another."""
        if self.phase in (Phase.STARTING, Phase.RUNNING) and self.saved.runs != self.saved.target.number:
            self._drain(now)

    def _drain(self, now: int) -> None:
        if self.phase is not Phase.DRAINING:
            self._go(now, Phase.DRAINING)
            self._actions.append(Terminate(False))

    def _failed(self, now: int, how: str) -> None:
        self._not_before = now + self._pause_us
        self._pause_us = min(2 * self._pause_us, MOST_PAUSE_US)
        kept = self.saved
        if kept.trial is None or kept.runs != kept.trial.number:
            return
        if kept.tries + 1 >= self.rules.tries:
            self._give_up(f"{how}, {kept.tries + 1} times")
            self._pause_us, self._not_before = PAUSE_US, now
        else:
            self._keep(tries=kept.tries + 1)

    def _give_up(self, why: str) -> None:
        assert self.saved.trial is not None
        self._keep(trial=None, tries=0, fell=self.saved.trial.number, why=why)
