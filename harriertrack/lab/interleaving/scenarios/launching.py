"""A head's launcher while its child ends, a version is requested, it is told to stop, or is killed itself.

The system is a stand-in: processes with tokens, and files, which outlive the launcher. A launcher may be
killed between any two of its writes and process starts: other tasks may run before and after each.
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
BAD_VERSION_US = 100_000  # after which a bad version ends: less than the proving time, prove_us
SETTLE_US = 1_900_000  # longest time from the last fault until pauses and retries are over


class _Process:
    """A head's process. All processes and the files are one place, apart from the launchers'."""

    def __init__(self, system: _System, pid: int, token: str, version: int) -> None:
        self._system, self.pid, self.token, self.version = system, pid, token, version
        self.is_running, self.end_requests = True, 0

    @property
    def alive(self) -> bool:
        """Whether the process has not ended."""
        self._system.record_access()
        return self.is_running

    def exit_reason(self) -> str:
        """Return a text on how it ended."""
        return "it is gone"

    def end(self, at_once: bool) -> None:
        """Request that it ends, at any later time, or kill it."""
        system = self._system
        system.record_access()
        if at_once or not system.ignores_end:
            self.end_requests += 1
            system.run_later(lambda: system.process_ended(self))


class _System:
    """The stand-in for processes and files."""

    def __init__(
        self, world: World, has_bad_version: bool, ignores_end: bool, is_interruptible: bool
    ) -> None:
        self._world, self._has_bad_version = world, has_bad_version
        self.ignores_end, self._is_interruptible = ignores_end, is_interruptible
        self.all: list[_Process] = []
        self.saved: SavedState | None = None
        self.wanted: Program | None = None
        self.ready_token = ""  # the token of the head that reported ready last
        self.folder = Path("/nowhere")
        self.last_fault_us = 0  # time of the last fault

    def record_access(self) -> None:
        """Record that the current step reads or changes the system."""
        self._world.touched.write(SYSTEM)

    def run_later(self, action: Callable[[], None]) -> None:
        """Schedule a step that may run at any later time."""
        self._world.hub.at_for(SYSTEM, self._world.hub.now(), action)

    def _let_others_run(self) -> None:
        if self._is_interruptible:
            self._world.hub.sleep(0)

    def running_heads(self) -> list[_Process]:
        """Return the processes that have not ended."""
        return [process for process in self.all if process.is_running]

    def process_ended(self, process: _Process) -> None:
        """Mark a process as ended."""
        process.is_running = False

    # -- the launcher's process interface

    def start(self, _command: list[str], environment: dict[str, str]) -> _Process:
        """Start a head: it reports ready at a later time; a bad version ends soon after."""
        self.record_access()
        version = int(environment[NUMBER_VARIABLE])
        process = _Process(self, len(self.all) + 1, environment[TOKEN_VARIABLE], version)
        self.all.append(process)
        self.run_later(lambda: self._start_serving(process))
        self._let_others_run()
        return process

    def _start_serving(self, process: _Process) -> None:
        if process.is_running:
            self.ready_token = process.token
        if self._has_bad_version and process.version == NEW.number:
            hub = self._world.hub
            hub.at_for(SYSTEM, hub.now() + BAD_VERSION_US, lambda: self.process_ended(process))

    def find(self, pid: int, token: str) -> _Process | None:
        """Return the head that was started with a token."""
        self.record_access()
        matches = [
            process
            for process in self.running_heads()
            if token and process.token == token and pid in (0, process.pid)
        ]
        return matches[0] if matches else None

    # -- the launcher's file interface

    def saved_state(self) -> SavedState | None:
        """Return the stored state."""
        self.record_access()
        return self.saved

    def save_state(self, state: SavedState) -> None:
        """Store the state; other tasks may run before and after."""
        self._let_others_run()
        self.record_access()
        self.saved = state
        self._let_others_run()

    def requested_program(self) -> Program | None:
        """Return the requested version."""
        self.record_access()
        return self.wanted

    def is_ready(self, token: str) -> bool:
        """Whether the head with this token is ready."""
        self.record_access()
        return self.ready_token == token


def _launch(has_bad_version: bool = False, may_be_killed: bool = False, may_stop: bool = False,
            ignores_end: bool = False, crashes: bool = False) -> Callable[[World], None]:  # fmt: skip
    def build(world: World) -> None:
        hub, system = world.hub, _System(world, has_bad_version, ignores_end, may_be_killed)
        launchers: list[Launcher] = []
        killed, ended_runs = Event(hub), []

        def run() -> None:
            launchers.append(Launcher(hub, SETTINGS, lambda *_, **__: None, system, system))
            launchers[-1].run()
            ended_runs.append(True)

        def run_again() -> None:
            killed.wait()
            run()

        def kill() -> None:
            system.last_fault_us = hub.now()
            world.kill("launcher")
            killed.set()

        def request_new_version() -> None:
            system.last_fault_us = hub.now()
            system.wanted = NEW

        def crash() -> None:
            system.last_fault_us = hub.now()
            for process in system.running_heads()[:1]:
                system.process_ended(process)

        def crash_once() -> None:
            hub.sleep(CRASH_US)
            crash()

        world.spawn("launcher", "runs", run)
        if crashes:
            world.spawn(SYSTEM, "a head ends", crash_once)
        world.fault("another version is wanted", SYSTEM, request_new_version)
        world.fault("a head ends unasked", SYSTEM, crash)
        if may_be_killed:
            world.spawn("launcher again", "runs", run_again)
            world.fault("the launcher is killed", "launcher", kill)

        def stop() -> None:
            if launchers:
                system.last_fault_us = hub.now()
                launchers[-1].stop()

        if may_stop:
            world.fault("the launcher is to stop", "launcher", stop)

        def judge(_view: object) -> str | None:
            running = system.running_heads()
            if len(running) > 1:
                return f"two heads run at one time, of versions {[one.version for one in running]}"
            starts = sum(one.version == NEW.number for one in system.all)
            if has_bad_version and starts > SETTINGS.tries + len(world.dead):
                return f"a version that ends each time was started {starts} times"
            saved = system.saved
            if (
                saved is not None
                and running
                and saved.child == running[0].pid
                and saved.runs != running[0].version
            ):
                return f"version {running[0].version} runs, and on disk is {saved.runs}"
            if has_bad_version and saved is not None and saved.good == NEW:
                return "a version that never served for long is held for good"
            return None

        def finish() -> str | None:
            running = [one.version for one in system.running_heads()]
            if hub.now() < system.last_fault_us + SETTLE_US:
                return None
            if launchers[-1].machine.stopping:
                state = f"after the stop {running} run, and the launcher does: {not ended_runs}"
                return state if running or not ended_runs else None
            expected = NEW.number if system.wanted is not None and not has_bad_version else 0
            return (
                None if running == [expected] else f"versions {running} run at the end, and {expected} is to"
            )

        world.view = lambda: (
            tuple((one.version, one.is_running) for one in system.all),
            system.saved,
            len(ended_runs),
        )
        world.judge, world.finish = judge, finish

    return build


UNTIL = 2_600_000
SCENARIOS = (
    Scenario("launch-killed", "a launcher that is killed anywhere, a head that ends, another version",
             _launch(may_be_killed=True), until_us=UNTIL, most_steps=900),
    Scenario("launch-bad", "the same, and the other version ends soon after it serves",
             _launch(has_bad_version=True, may_be_killed=True), until_us=UNTIL, most_steps=900),
    Scenario("launch-stops", "a launcher that is told to stop, a head that ends, or twice, another version",
             _launch(may_stop=True, crashes=True), until_us=UNTIL, most_steps=900),
    Scenario("launch-deaf", "the same, and heads do not end when they are asked",
             _launch(may_stop=True, ignores_end=True), until_us=UNTIL, most_steps=900),
)  # fmt: skip
