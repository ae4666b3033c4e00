"""Follows the node list: from a file, or over HTTP.

Each failure is reported to the decision module, which subscribes again.
"""

from __future__ import annotations

from collections.abc import Callable

from harriertrack.config.settings import ConsulSettings, NodeSettings, load_nodes
from harriertrack.config.sexp import SettingsError
from harriertrack.decisions.interface import NodeEntry
from harriertrack.decisions.open_calls import OpenCalls
from harriertrack.gateway.list_call import ListCall
from harriertrack.gateway.parts import HeadParts
from harriertrack.membership.nodes import Member
from harriertrack.runtime.hub import DeadlineExceeded, Task

SHARE_POLL_US = 100_000  # between checks of a waiting head: its share of list calls may grow


def member_of(node: NodeSettings) -> Member:
    """Return a node of a file as a member of the list."""
    entry = NodeEntry(node.name, node.shard, node.state, node.zone, node.started_us, node.kind)
    return Member(entry, node.address)


class ListCallFailed(Exception):
    """A call to the source of the list failed."""


class Listing:
    """Follows the list while the module is subscribed."""

    def __init__(self, head: HeadParts) -> None:
        self._hub, self._network, self._settings = head.hub, head.network, head.settings.node_list
        self._core, self._scope, self._note, self._name = head.core, head.scope, head.note, head.name
        self._task: Task | None = None
        self._nodes, self._head_id, self._budget_shares = head.nodes, head.head_id, head.budget_shares
        self._index = 0
        self._open: OpenCalls[ListCall] = OpenCalls()
        self._current: ListCall | None = None  # the call that is waited for
        self._latest: list[Member] = []  # as the source sent it
        self.overlay: Callable[[NodeEntry], NodeEntry] | None = None  # changes entries for the module
        self.on_source_update: Callable[[list[NodeEntry]], None] = lambda _entries: None
        # Start times come as wall-clock time. The offset is computed once: a step of the wall clock must not
        # make known nodes look newly started.
        self._wall_ahead = head.hub.clock.wall() - head.hub.now()

    def subscribe(self, on: bool) -> None:
        """Start or stop following the list."""
        if self._task is not None and not self._task.done:
            if on:
                return
            self._task.cancel()
        if not on:
            for call in self._open.clear():
                call.give_up()
        if on:
            self._task = self._scope.spawn("node list", self._run)

    def request_now(self) -> None:
        """Request the complete list, whatever call is open: it may wait for changes, or get no answer."""
        if self._task is not None:
            self._task.cancel()
        self._index = 0
        self._task = self._scope.spawn("node list", self._run)

    def _run(self) -> None:
        try:
            if self._settings.consul is not None:
                self._follow(self._settings.consul)
            else:
                self._watch(self._settings.file)
        except (OSError, DeadlineExceeded, ListCallFailed, SettingsError) as error:
            self._note("node list failed", why=str(error) or type(error).__name__)
            self._core.list_failed()

    def _list_received(self, members: list[Member]) -> None:
        self._latest = [member.with_local_start(self._wall_ahead) for member in members]
        self.on_source_update([member.entry for member in self._latest])
        self._publish()

    def republish(self) -> None:
        """Pass the latest list to the core again, with the current overlay, if a list was received."""
        if self._latest:
            self._publish()

    def _publish(self) -> None:
        shown = self._latest
        if self.overlay is not None:
            shown = [Member(self.overlay(one.entry), one.address) for one in shown]
        self._core.nodes_changed(self._nodes.replace(shown))

    def _watch(self, path: str) -> None:
        known: list[Member] | None = None
        while True:
            # The file is small and read in full: its time stamp may not differ between two quick changes.
            requested_at = self._hub.now()
            try:
                members = [member_of(node) for node in load_nodes(path)]
                if members != known:
                    self._list_received(members)
                    known = members
            finally:
                self._core.list_call_ended(requested_at, answered=True)
            self._hub.sleep(self._settings.poll_us)

    def _await_call(self) -> None:
        """Wait until this head's share of the fleet's list calls allows one, if the fleet divides them."""
        again = False
        while self._budget_shares is not None and (
            us := self._budget_shares.list_call_wait(self._hub.now(), again)
        ):
            self._hub.sleep(min(us, SHARE_POLL_US))
            again = True

    def _follow(self, source: ConsulSettings) -> None:
        """Make one call after another until one fails or is overdue.

        An overdue call stays open: it may still be answered, and a new call would start at the queue's end.
        """
        while True:
            call = self._begin(source)
            try:
                call.ended.wait(call.overdue_at)
            finally:
                self._current = None
            if call.failure:
                raise ListCallFailed(call.failure)
            if not self._index:
                self._hub.sleep(source.timeout_us)  # pause: a server without indexes answers at once

    def _begin(self, source: ConsulSettings) -> ListCall:
        index, self._index = self._index, 0  # after a failure the complete list is requested
        self._await_call()
        call = self._current = ListCall(self._hub, source, index)
        for surplus in self._open.add(call):
            surplus.give_up()
        agent = f"harriertrack/{self._head_id:016x}"
        call.start(self._scope, self._network, self._name, agent, self._ended)
        return call

    def _ended(self, call: ListCall) -> None:
        """Apply the result of a call, even an overdue one; resume following from it if no other call does."""
        if call.failure:
            self._open.remove(call)
        else:
            for older in self._open.complete(call):
                older.give_up()
            self._index = call.next_index
            self._list_received(call.members)
        self._core.list_call_ended(call.began, not call.failure)
        if call is not self._current and not call.failure:
            self.subscribe(True)
