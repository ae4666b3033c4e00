"""The watch over discovery: one call after another; what comes is told to the module.

A call that is overdue is followed by another, and stays open beside it: its turn may come yet.

What fails is told to the module too where the list is asked for: it says when to ask again. Where it is
pushed the module has asked for nothing, and the watch asks anew by itself.
"""

from __future__ import annotations

import contextlib

from harriertrack.decisions.discovery_watch import DiscoveryWatch, UpdateOutcome, WatchState
from harriertrack.decisions.open_calls import OpenCalls
from harriertrack.decisions.requests import Core
from harriertrack.membership.nodes import Member, NodeList
from harriertrack.membership.targets import TargetsError, members_of, targets_of
from harriertrack.runtime.hub import DeadlineExceeded, Event, Hub, Scope, Task
from harriertrack.runtime.streams import Network, Stream
from harriertrack.service.discovery_call import DiscoveryCall
from harriertrack.service.discovery_log import DiscoveryLog
from harriertrack.service.log import Log
from harriertrack.service.storage_nodes import StorageNodes

OVERDUE = "overdue"  # why a call is followed by another though it has not ended


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
        watch: DiscoveryWatch,
        address: tuple[str, int],
        wall_ahead_us: int,
        name: str,
        log: Log,
    ) -> None:
        self._hub, self._network, self._scope, self._core = hub, network, scope, core
        self._nodes, self._storage_nodes, self._watch = nodes, storage_nodes, watch
        self._address, self._wall_ahead_us = address, wall_ahead_us
        self._name, self._log = name, DiscoveryLog(hub, log)
        self._log_event = log
        self._task: Task | None = None
        self._called_at = 0  # when the last call began
        self._resting = False  # no call is waited for: the next one is due later ...
        self._next_call_at = 0  # ... at this time
        self._resumed = Event(hub)
        self._resumed_by: DiscoveryCall | None = None  # an answer that came late
        self._module_waits = False  # it was told of a failure, and will say when to ask anew
        self._open: OpenCalls[DiscoveryCall] = OpenCalls()
        self._current: DiscoveryCall | None = None  # the call that is waited for
        self.first_update = Event(hub)  # the source has answered in this life

    def subscribe(self, on: bool) -> None:
        """Follow from now on, or stop: the module says so."""
        self._module_waits = False
        if self._watch.subscribe(on):
            if not on:
                self._give_up_all()
            self._start(on)

    def move(self, address: tuple[str, int]) -> None:
        """Discovery is elsewhere now."""
        if address != self._address:
            self._address = address
            self._give_up_all()
            self._log_event("discovery moved", to=f"{address[0]}:{address[1]}")
            if self._watch.restart(self._hub.now()):
                self._start(True)

    def ask_now(self) -> None:
        """Call for what has changed, whatever call is under way: it may wait for news, or be silent.

        That one stays open: its answer may have come already, and counts.
        """
        if not self._watch.refresh():
            return
        self._current = None
        self._log_event("discovery asked", why="the head stood still")
        self._start(True)

    def _start(self, on: bool) -> None:
        if self._task is not None:
            self._task.cancel()
        if self._resumed_by is not None:
            self._resumed_by.close()
            self._resumed_by = None
        self._task = self._scope.spawn("discovery", self._run) if on else None

    def _give_up_all(self) -> None:
        for made in self._open.clear():
            made.give_up()

    def _run(self) -> None:
        """Follow; after a failure, until the module says when to go on or that has taken too long."""
        stream: Stream | None = None
        while True:
            why = self._follow(stream)
            if why == OVERDUE:
                again_us = self._watch.handle_overdue(self._hub.now(), self._called_at)
            else:
                again_us = self._watch.handle_failure(self._hub.now(), self._called_at)
                self._tell_failure()
            self._log.failed(why, self._called_at, again_us, self._watch.version)
            stream = self._rest(again_us)
            self._watch.subscribe(True)

    def _tell_failure(self) -> None:
        """Tell the module, where it follows the list, of one failure at a time.

        Each makes it ask anew, on top of the watch's own calls.
        """
        if not self._watch.pushed and not self._module_waits:
            self._module_waits = True
            self._core.list_failed()

    def _rest(self, again_us: int) -> Stream | None:
        """Wait until the next call is due, or a late answer comes; return the connection to make it on."""
        self._resting, self._next_call_at = True, self._hub.now() + again_us
        self._resumed.clear()
        try:
            while self._hub.now() < self._next_call_at and self._resumed_by is None:
                self._wait_resumed()
        finally:
            self._resting = False
        made, self._resumed_by = self._resumed_by, None
        return made.take_stream() if made is not None else None

    def _wait_resumed(self) -> None:
        """Wait for a late answer until the next call is due, as known now."""
        with contextlib.suppress(DeadlineExceeded):
            self._resumed.wait(self._next_call_at)

    def _follow(self, stream: Stream | None) -> str:
        """Make one call after another until one fails or is overdue; return why."""
        while True:
            made = self._begin(stream)
            try:
                made.ended.wait(made.began + made.call.timeout_us)
            except DeadlineExceeded:
                if not made.over:
                    return OVERDUE  # it stays open: who begins anew waits at the end of the source's queue
            except BaseException:
                if made is self._current:
                    made.give_up()
                raise
            finally:
                self._current = None
            stream = made.take_stream()
            if made.failure:
                return made.failure
            if self._watch.state is WatchState.IDLE:
                if stream is not None:
                    stream.close()
                return "the whole list was asked for, and changes came"

    def _begin(self, stream: Stream | None) -> DiscoveryCall:
        made = self._current = DiscoveryCall(self._hub, self._watch.next_call(), self._address)
        self._called_at = made.began
        for surplus in self._open.add(made):
            surplus.give_up()
        made.start(self._scope, self._network, self._name, stream, self._ended)
        return made

    def _ended(self, made: DiscoveryCall) -> None:
        """Take what a call has brought, also one that another has followed."""
        late = made is not self._current
        if not made.failure:
            try:
                self._take(made, late)
            except TargetsError as error:
                made.failure = str(error)
        if made.failure:
            self._open.remove(made)
            self._put_off(made, late)
        self._core.list_call_ended(made.began, not made.failure)
        if late:
            self._log.ended_late(made, len(self._open), self._watch.version)
            self._go_on_from(made)

    def _put_off(self, made: DiscoveryCall, late: bool) -> None:
        """Make the next call later if the last one under way was turned down after it had waited."""
        if late and self._resting and not len(self._open) and not self._watch.pushed:
            self._next_call_at += self._watch.handle_late_failure()

    def _go_on_from(self, made: DiscoveryCall) -> None:
        """Follow on the connection of an answer that came late, if no other call is under way."""
        if self._resting and self._watch.state is WatchState.FOLLOWING:
            self._resting, self._resumed_by = False, made
            self._resumed.set()
        else:
            made.close()

    def _take(self, made: DiscoveryCall, late: bool) -> None:
        assert made.answer is not None
        targets = targets_of(made.answer.body)
        # Read whole before any of it is taken.
        members = [member.localised(self._wall_ahead_us) for member in members_of(targets)]
        if late:
            outcome = self._watch.handle_late_answer(targets.version, targets.full)
        else:
            outcome = self._watch.handle_answer(targets.version, targets.full, len(members))
        for older in self._open.complete(made):
            older.give_up()
        counts_at = made.came_at
        if outcome is not UpdateOutcome.STALE:
            # A head that was not heard for long, or stood still, begins no grace that is over already.
            counts_at = self._watch.effective_at(made.began, made.came_at)
            self._log.answered(made, self._watch.version)
            self.first_update.set()
        if outcome is UpdateOutcome.APPLY:
            self._tell(members, targets.full, counts_at)

    def _tell(self, members: list[Member], whole: bool, counts_at: int) -> None:
        """Hand what changed to the module."""
        news = self._nodes.replace(members) if whole else self._nodes.change(members)
        if news is not None:
            news.announced_at = counts_at
        self._core.nodes_changed(news)
        for node in self._nodes.forget_gone():
            self._storage_nodes.gone(node)
