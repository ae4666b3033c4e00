"""A head's launcher against its child's end, a version that is wanted, a word to stop, and kills of itself.

The system is a stand-in: processes with tokens, and what lies on disk, which outlive the launcher. A launcher
may be killed between any two of its writes and starts: each lets others run before and after it.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from harriertrack.config.rollout import LaunchSettings
from harriertrack.decisions.fleet.rollout.launch_state import Program, SavedState
from harriertrack.gateway.fleet.rollout.launcher.files import NUMBER_VARIABLE, TOKEN_VARIABLE
from harriertrack.gateway.fleet.rollout.launcher.launcher import Launcher
from harriertrack.lab.interleaving.world import Scenario, World
from harriertrack.runtime.hub import Event

SETTINGS = LaunchSettings(
    name="h", head="h.sexp", state="/nowhere", ready_us=500_000, prove_us=250_000, drain_us=250_000, tries=2
)
NEW = Program(1, "new")
SYSTEM = "system"
CRASH_US = 300_000
ILL_US = 100_000  # after which a bad version ends: less than it takes to be held for good
SETTLED_US = 1_900_000  # after the last blow all is as it should be: pauses and tries are over


class _Process:
    """A head, as the system knows it. All of them and the disk are one place beside the launchers'."""

    def __init__(self, system: _System, pid: int, token: str, version: int) -> None:
        self._system, self.pid, self.token, self.version = system, pid, token, version
        self.there, self.asked = True, 0

    @property
    def alive(self) -> bool:
        """Whether it has not ended."""
        self._system.touch()
        return self.there

    def exit_reason(self) -> str:
        """Return how it ended."""
        return "it is gone"

    def end(self, at_once: bool) -> None:
        """Ask it to end, which takes it any time, or end it."""
        system = self._system
        system.touch()
        if at_once or not system.deaf:
            self.asked += 1
            system.later(lambda: system.ended(self))


class _System:
    """Processes and files."""

    def __init__(self, world: World, bad: bool, deaf: bool, slow: bool) -> None:
        self._world, self._bad, self.deaf, self._slow = world, bad, deaf, slow
        self.all: list[_Process] = []
        self.disk: SavedState | None = None
        self.wants: Program | None = None
        self.serves = ""  # the token of the head that said so last
        self.folder = Path("/nowhere")
        self.struck_at = 0  # when anything went wrong last

    def touch(self) -> None:
        """Whoever calls sees or changes what is here."""
        self._world.touched.write(SYSTEM)

    def later(self, act: Callable[[], None]) -> None:
        """Let something happen at any later time."""
        self._world.hub.at_for(SYSTEM, self._world.hub.now(), act)

    def _others(self) -> None:
        if self._slow:
            self._world.hub.sleep(0)

    def running(self) -> list[_Process]:
        """Return the heads that there are."""
        return [one for one in self.all if one.there]

    def ended(self, one: _Process) -> None:
        """A head is gone."""
        one.there = False

    # -- as a launcher's processes

    def start(self, _command: list[str], environment: dict[str, str]) -> _Process:
        """Start a head: it serves at some time, or (a bad version) ends."""
        self.touch()
        version = int(environment[NUMBER_VARIABLE])
        one = _Process(self, len(self.all) + 1, environment[TOKEN_VARIABLE], version)
        self.all.append(one)
        self.later(lambda: self._begins(one))
        self._others()
        return one

    def _begins(self, one: _Process) -> None:
        if one.there:
            self.serves = one.token
        if self._bad and one.version == NEW.number:
            hub = self._world.hub
            hub.at_for(SYSTEM, hub.now() + ILL_US, lambda: self.ended(one))

    def find(self, pid: int, token: str) -> _Process | None:
        """Return the head that was started with a token."""
        self.touch()
        found = [one for one in self.running() if token and one.token == token and pid in (0, one.pid)]
        return found[0] if found else None

    # -- as its files

    def saved_state(self) -> SavedState | None:
        """Return what was kept."""
        self.touch()
        return self.disk

    def save_state(self, kept: SavedState) -> None:
        """Keep it."""
        self._others()
        self.touch()
        self.disk = kept
        self._others()

    def requested_program(self) -> Program | None:
        """Return which version is wanted."""
        self.touch()
        return self.wants

    def is_ready(self, token: str) -> bool:
        """Whether that head serves."""
        self.touch()
        return self.serves == token


def _launch(bad: bool = False, dies: bool = False, stops: bool = False, deaf: bool = False,
            crashes: bool = False) -> Callable[[World], None]:  # fmt: skip
    def build(world: World) -> None:
        hub, system = world.hub, _System(world, bad, deaf, dies)
        lives: list[Launcher] = []
        killed, over = Event(hub), []

        def run() -> None:
            lives.append(Launcher(hub, SETTINGS, lambda *_, **__: None, system, system))
            lives[-1].run()
            over.append(True)

        def again() -> None:
            killed.wait()
            run()

        def kill() -> None:
            system.struck_at = hub.now()
            world.kill("launcher")
            killed.set()

        def want() -> None:
            system.struck_at = hub.now()
            system.wants = NEW

        def crash() -> None:
            system.struck_at = hub.now()
            for one in system.running()[:1]:
                system.ended(one)

        def crash_once() -> None:
            hub.sleep(CRASH_US)
            crash()

        world.spawn("launcher", "runs", run)
        if crashes:
            world.spawn(SYSTEM, "a head ends", crash_once)
        world.fault("another version is wanted", SYSTEM, want)
        world.fault("a head ends unasked", SYSTEM, crash)
        if dies:
            world.spawn("launcher again", "runs", again)
            world.fault("the launcher is killed", "launcher", kill)

        def stop() -> None:
            if lives:
                system.struck_at = hub.now()
                lives[-1].stop()

        if stops:
            world.fault("the launcher is to stop", "launcher", stop)

        def judge(_view: object) -> str | None:
            there = system.running()
            if len(there) > 1:
                return f"two heads run at one time, of versions {[one.version for one in there]}"
            tried = sum(one.version == NEW.number for one in system.all)
            if bad and tried > SETTINGS.tries + len(world.dead):
                return f"a version that ends each time was started {tried} times"
            kept = system.disk
            if kept is not None and there and kept.child == there[0].pid and kept.runs != there[0].version:
                return f"version {there[0].version} runs, and on disk is {kept.runs}"
            if bad and kept is not None and kept.good == NEW:
                return "a version that never served for long is held for good"
            return None

        def finish() -> str | None:
            there = [one.version for one in system.running()]
            if hub.now() < system.struck_at + SETTLED_US:
                return None
            if lives[-1].machine.stopping:
                told = f"after the stop {there} run, and the launcher does: {not over}"
                return told if there or not over else None
            due = NEW.number if system.wants is not None and not bad else 0
            return None if there == [due] else f"versions {there} run at the end, and {due} is to"

        world.view = lambda: (tuple((one.version, one.there) for one in system.all), system.disk, len(over))
        world.judge, world.finish = judge, finish

    return build


UNTIL = 2_600_000
SCENARIOS = (
    Scenario("launch-killed", "a launcher that is killed anywhere, a head that ends, another version",
             _launch(dies=True), until_us=UNTIL, most_steps=900),
    Scenario("launch-bad", "the same, and the other version ends soon after it serves",
             _launch(bad=True, dies=True), until_us=UNTIL, most_steps=900),
    Scenario("launch-stops", "a launcher that is told to stop, a head that ends, or twice, another version",
             _launch(stops=True, crashes=True), until_us=UNTIL, most_steps=900),
    Scenario("launch-deaf", "the same, and heads do not end when they are asked",
             _launch(stops=True, deaf=True), until_us=UNTIL, most_steps=900),
)  # fmt: skip
