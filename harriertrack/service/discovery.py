"""The watch over discovery: one connection, one call after another; what comes is told to the module.

What fails is told to the module too where the list is asked for: it says when to ask again. Where it is
pushed the module has asked for nothing, and the watch asks anew by itself.
"""

from __future__ import annotations

from harriertrack.decisions.discovery_watch import Call, DiscoveryWatch, UpdateOutcome, Watch
from harriertrack.decisions.requests import Core
from harriertrack.membership.nodes import NodeList
from harriertrack.membership.targets import (
    MOST_LIST,
    TargetsError,
    members_of,
    target_of,
    targets_of,
)  # fmt: skip
from harriertrack.protocol.platform.exchange import Answer, Exchange, Spoilt
from harriertrack.runtime.hub import DeadlineExceeded, Event, Hub, Scope, Task
from harriertrack.runtime.streams import Network, Stream
from harriertrack.service.calls import Note, worth_saying
from harriertrack.service.storage_nodes import StorageNodes

LOG_EACH_US = 1_000_000  # failures in a row are logged so often at most


class Discovery:
    """Follows the list while the module wants it, or for ever where it is pushed."""

    def __init__(
        self,
        hub: Hub,
        network: Network,
        scope: Scope,
        core: Core,
        nodes: NodeList,
        storage_nodes: StorageNodes,
        watching: DiscoveryWatch,
        address: tuple[str, int],
        wall_ahead_us: int,
        name: str,
        note: Note,
    ) -> None:
        self._hub, self._network, self._scope, self._core = hub, network, scope, core
        self._nodes, self._storage_nodes, self._watching = nodes, storage_nodes, watching
        self._address, self._wall_ahead_us = address, wall_ahead_us
        self._name, self._note = name, note
        self._task: Task | None = None
        self._failures = 0  # in a row
        self._called_at = 0  # when the last call began
        self._logged_at = -LOG_EACH_US  # when a failure was logged last
        self._module_waits = False  # it was told of a failure, and will say when to ask anew
        self.heard = Event(hub)  # the source has answered in this life

    def subscribe(self, on: bool) -> None:
        """Follow from now on, or stop: the module says so."""
        self._module_waits = False
        if self._watching.subscribe(on):
            self._start(on)

    def move(self, address: tuple[str, int]) -> None:
        """Discovery is elsewhere now."""
        if address != self._address:
            self._address = address
            self._note("discovery moved", to=f"{address[0]}:{address[1]}")
            if self._watching.restart():
                self._start(True)

    def _start(self, on: bool) -> None:
        if self._task is not None:
            self._task.cancel()
        self._task = self._scope.spawn("discovery", self._run) if on else None

    def _run(self) -> None:
        """Follow; after a failure, until the module says when to go on or that has taken too long."""
        while True:
            why = self._follow()
            self._failures += 1
            again_us = self._watching.failed(self._hub.now(), self._called_at)
            self._log_failure(why, again_us)
            if not self._watching.pushed and not self._module_waits:
                # One failure at a time: each makes the module ask anew, on top of the watch's own calls.
                self._module_waits = True
                self._core.list_failed()
            self._hub.sleep(again_us)
            self._watching.subscribe(True)

    def _log_failure(self, why: str, again_us: int) -> None:
        """Log a call that failed; where calls fail many times a second, one line a second at the most."""
        now = self._hub.now()
        if not worth_saying(self._failures) and now - self._logged_at < LOG_EACH_US:
            return
        self._logged_at = now
        self._note(
            "discovery failed",
            why=why[:200],
            in_a_row=self._failures,
            took_us=now - self._called_at,
            again_us=again_us,
            version=self._watching.version,
        )

    def _log_recovery(self) -> None:
        """Log the first answer after calls that failed."""
        if self._failures:
            self._note(
                "discovery answered",
                after_failures=self._failures,
                took_us=self._hub.now() - self._called_at,
                version=self._watching.version,
            )

    def _follow(self) -> str:
        """Make one call after another until one fails; return why."""
        stream: Stream | None = None
        try:
            while True:
                call = self._watching.call()
                self._called_at = self._hub.now()
                deadline = self._called_at + call.within_us
                if stream is None:
                    stream = self._network.connect(self._address, deadline, self._name)
                answer = self._ask(stream, call, deadline)
                if self._told(answer, stream.came_at) is not UpdateOutcome.STALE:
                    self._log_recovery()
                    self._failures = 0
                    self.heard.set()
                elif self._watching.state is Watch.IDLE:
                    return "the whole list was asked for, and changes came"
                if not answer.reusable:
                    stream.close()
                    stream = None
        except (OSError, DeadlineExceeded, Spoilt, TargetsError) as error:
            return str(error) or type(error).__name__
        finally:
            if stream is not None:
                stream.close()

    def _ask(self, stream: Stream, call: Call, deadline: int) -> Answer:
        host = f"{self._address[0]}:{self._address[1]}".encode()
        exchange = Exchange(b"GET", target_of(call.since, call.wait_us), [(b"Host", host)], b"", MOST_LIST)
        stream.write(exchange.request)
        while (answer := exchange.receive(stream.read(deadline))) is None:
            pass
        if answer.status != 200:
            raise TargetsError(f"status {answer.status}")
        return answer

    def _told(self, answer: Answer, came_at: int) -> UpdateOutcome:
        targets = targets_of(answer.body)
        # Read whole before any of it is taken.
        members = [member.localised(self._wall_ahead_us) for member in members_of(targets)]
        worth = self._watching.answered(targets.version, targets.full, len(members))
        if worth is UpdateOutcome.TAKE:
            news = self._nodes.replace(members) if targets.full else self._nodes.change(members)
            if news is not None:
                # It counts from when it came, not from when a head that stood still reads it.
                news.told_at = came_at
            self._core.nodes_changed(news)
            for node in self._nodes.forget_gone():
                self._storage_nodes.gone(node)
        return worth
