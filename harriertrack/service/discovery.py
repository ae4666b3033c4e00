"""Follows the node list: makes one call to discovery after another and reports changes to the module.

An overdue call is followed by another and stays open in parallel: the source may still answer it.

Where the list is requested, failures are reported to the module too, which decides when to request it again.
Where it is pushed, the module requests nothing, and the watch retries by itself.
"""

from __future__ import annotations

import contextlib

from harriertrack.decisions.discovery_watch import DiscoveryWatch, UpdateOutcome, WatchState
from harriertrack.decisions.open_calls import OpenCalls
from harriertrack.decisions.requests import Core
from harriertrack.membership.nodes import Member, NodeList
from harriertrack.membership.targets import TargetsError, members_from_targets, parse_targets
from harriertrack.runtime.hub import DeadlineExceeded, Event, Hub, Scope, Task
from harriertrack.runtime.streams import Network, Stream
from harriertrack.service.discovery_call import DiscoveryCall
from harriertrack.service.discovery_log import DiscoveryLog
from harriertrack.service.log import Log
from harriertrack.service.node_list_log import NodeListLog
from harriertrack.service.storage_nodes import StorageNodes

OVERDUE = "overdue"  # the reason logged when a call is followed by another before it has ended


class Discovery:
    """Follows the list while the module subscribes to it, or always where it is pushed."""

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
        max_list_bytes: int,
        wall_ahead_us: int,
        name: str,
        log: Log,
    ) -> None:
        self._hub, self._network, self._scope, self._core = hub, network, scope, core
        self._nodes, self._storage_nodes, self._watch = nodes, storage_nodes, watch
        self._address, self._wall_ahead_us = address, wall_ahead_us
        self._max_list_bytes = max_list_bytes
        self._name, self._log = name, DiscoveryLog(hub, log)
        self._nodes_log, self._log_event = NodeListLog(hub, log), log
        self._task: Task | None = None
        self._called_at = 0  # when the last call began
        self._waiting = False  # between two calls: the next one is due ...
        self._next_call_at = 0  # ... at this time
        self._resumed = Event(hub)
        self._resumed_by: DiscoveryCall | None = None  # the call whose answer arrived late
        self._module_notified = False  # a failure was reported to it, and it decides when to request again
        self._open: OpenCalls[DiscoveryCall] = OpenCalls()
        self._current: DiscoveryCall | None = None  # the call in progress
        self.first_update = Event(hub)  # set once the source has answered this incarnation of the head

    def subscribe(self, on: bool) -> None:
        """Start or stop following the list, as the module decides."""
        self._module_notified = False
        if self._watch.subscribe(on):
            if not on:
                self._abandon_all()
            self._start(on)

    def change_address(self, address: tuple[str, int]) -> None:
        """Use another address of discovery from now on."""
        if address != self._address:
            self._address = address
            self._abandon_all()
            self._log_event("discovery moved", to=f"{address[0]}:{address[1]}")
            if self._watch.restart(self._hub.now()):
                self._start(True)

    def refresh(self) -> None:
        """Request the changes now, even if a call is in progress: that one may be a long poll, or unanswered.

        It stays open, as its answer may already have been received and is then valid.
        """
        if not self._watch.refresh(self._hub.now()):
            return
        self._current = None
        self._log_event("discovery asked", why="the process was paused")
        self._start(True)

    def _start(self, on: bool) -> None:
        if self._task is not None:
            self._task.cancel()
        if self._resumed_by is not None:
            self._resumed_by.close()
            self._resumed_by = None
        self._task = self._scope.spawn("discovery", self._run) if on else None

    def _abandon_all(self) -> None:
        for call in self._open.clear():
            call.abandon()

    def _run(self) -> None:
        """Follow the list; after a failure, wait for the module or at most the watch's own delay."""
        stream: Stream | None = None
        while True:
            why = self._follow(stream)
            if why == OVERDUE:
                delay_us = self._watch.handle_overdue(self._hub.now(), self._called_at)
            else:
                delay_us = self._watch.handle_failure(self._hub.now(), self._called_at)
                self._report_failure()
            self._log.log_failure(why, self._called_at, delay_us, self._watch.version)
            stream = self._wait_next_call(delay_us)
            self._watch.subscribe(True)

    def _report_failure(self) -> None:
        """Report a failure to the module if it requests the list, one failure at a time.

        Each report makes it request the list again, in addition to the watch's own calls.
        """
        if not self._watch.pushed and not self._module_notified:
            self._module_notified = True
            self._core.list_failed()

    def _wait_next_call(self, delay_us: int) -> Stream | None:
        """Wait until the next call is due or a late answer arrives; return the connection to call over."""
        self._waiting, self._next_call_at = True, self._hub.now() + delay_us
        self._resumed.clear()
        try:
            while self._hub.now() < self._next_call_at and self._resumed_by is None:
                self._wait_resumed()
        finally:
            self._waiting = False
        call, self._resumed_by = self._resumed_by, None
        return call.take_stream() if call is not None else None

    def _wait_resumed(self) -> None:
        """Wait for a late answer until the next call is due, as currently scheduled."""
        with contextlib.suppress(DeadlineExceeded):
            self._resumed.wait(self._next_call_at)

    def _follow(self, stream: Stream | None) -> str:
        """Make one call after another until one fails or is overdue; return why."""
        while True:
            call = self._start_call(stream)
            try:
                call.done.wait(call.started_at + call.spec.timeout_us)
            except DeadlineExceeded:
                if not call.finished:
                    return OVERDUE  # it stays open: a new call waits at the end of the source's queue
            except BaseException:
                if call is self._current:
                    call.abandon()
                raise
            finally:
                self._current = None
            stream = call.take_stream()
            if call.failure:
                return call.failure
            if self._watch.state is WatchState.IDLE:
                if stream is not None:
                    stream.close()
                return "requested the full list but received changes"

    def _start_call(self, stream: Stream | None) -> DiscoveryCall:
        call = self._current = DiscoveryCall(
            self._hub, self._watch.next_call(), self._address, self._max_list_bytes
        )
        self._called_at = call.started_at
        for surplus in self._open.add(call):
            surplus.abandon()
        call.start(self._scope, self._network, self._name, stream, self._call_ended)
        return call

    def _call_ended(self, call: DiscoveryCall) -> None:
        """Handle the end of a call, also of one that another call has followed."""
        late, outcome = call is not self._current, UpdateOutcome.SKIP
        if not call.failure:
            try:
                outcome = self._apply(call, late)
            except TargetsError as error:
                call.failure = str(error)
        if call.failure:
            self._open.remove(call)
            self._postpone(call, late)
        if outcome is not UpdateOutcome.STALE:  # else what changed is known once the full list is here
            self._core.list_call_ended(call.started_at, not call.failure)
        if late:
            self._log.log_late_end(call, len(self._open), self._watch.version)
            self._resume_on(call)

    def _postpone(self, call: DiscoveryCall, late: bool) -> None:
        """Postpone the next call if the last open one was rejected after it had waited."""
        if late and self._waiting and not len(self._open) and not self._watch.pushed:
            self._next_call_at += self._watch.handle_late_failure()

    def _resume_on(self, call: DiscoveryCall) -> None:
        """Follow the list on the connection of a late answer, if no other call is in progress."""
        if self._waiting and self._watch.state is WatchState.FOLLOWING:
            self._waiting, self._resumed_by = False, call
            self._resumed.set()
        else:
            call.close()

    def _apply(self, call: DiscoveryCall, late: bool) -> UpdateOutcome:
        """Apply an answer; return what it was good for. Raises TargetsError if it can't be parsed."""
        assert call.answer is not None
        targets = parse_targets(call.answer.body)
        # All entries are parsed before any of them is applied.
        members = [member.with_local_start(self._wall_ahead_us) for member in members_from_targets(targets)]
        if late:
            outcome = self._watch.handle_late_answer(targets.version, targets.full)
        else:
            outcome = self._watch.handle_answer(targets.version, targets.full, len(members))
        for older in self._open.complete(call):
            older.abandon()
        effective_at = call.answered_at
        if outcome is not UpdateOutcome.STALE:
            # After a long silence or a pause of this process, the grace counts from the time of the change:
            # none may start that is already over.
            effective_at = self._watch.effective_at(call.started_at, call.answered_at)
            self._log.log_recovery(call, self._watch.version)
            self.first_update.set()
        if outcome is UpdateOutcome.APPLY:
            self._update_nodes(members, targets.full, effective_at)
        return outcome

    def _update_nodes(self, members: list[Member], full: bool, effective_at: int) -> None:
        """Report the changed nodes to the module."""
        change = self._nodes.replace(members) if full else self._nodes.apply_changes(members)
        if change is not None:
            change.announced_at = effective_at
            self._nodes_log.log_changes(change, self._watch.version, effective_at)
        self._core.nodes_changed(change)
        for node in self._nodes.forget_gone():
            self._storage_nodes.node_removed(node)
