"""Following the node list: from a file, or over HTTP.

Each failure is told to the module, which asks again.
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

PORTION_US = 100_000  # a head's part may grow while it waits


def member_of(node: NodeSettings) -> Member:
    """Return a node of a file as one of a list."""
    entry = NodeEntry(node.name, node.shard, node.state, node.zone, node.started_us, node.kind)
    return Member(entry, node.address)


class ListCallFailed(Exception):
    """A call to the list's source has brought nothing."""


class Listing:
    """Follows the list while the module wants it."""

    def __init__(self, head: HeadParts) -> None:
        self._hub, self._network, self._settings = head.hub, head.network, head.settings.node_list
        self._core, self._scope, self._note, self._name = head.core, head.scope, head.note, head.name
        self._task: Task | None = None
        self._nodes, self._head_id, self._portions = head.nodes, head.head_id, head.budget_shares
        self._index = 0
        self._open: OpenCalls[ListCall] = OpenCalls()
        self._current: ListCall | None = None  # the call that is waited for
        self._latest: list[Member] = []  # as the source told
        self.overlay: Callable[[NodeEntry], NodeEntry] | None = None  # what the module is told in its place
        self.on_source_update: Callable[[list[NodeEntry]], None] = lambda _entries: None
        # A start comes as wall-clock time. The difference is fixed once: a step of the wall clock must not
        # make known nodes look newly started.
        self._wall_ahead = head.hub.clock.wall() - head.hub.now()

    def subscribe(self, on: bool) -> None:
        """Follow from now on, or stop."""
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
        """Ask for the whole list, whatever call is under way: it may wait for news, or be silent."""
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

    def _told(self, members: list[Member]) -> None:
        self._latest = [member.with_local_start(self._wall_ahead) for member in members]
        self.on_source_update([member.entry for member in self._latest])
        self._tell()

    def republish(self) -> None:
        """Tell the core the latest list as the overlay shows it now, if one came."""
        if self._latest:
            self._tell()

    def _tell(self) -> None:
        shown = self._latest
        if self.overlay is not None:
            shown = [Member(self.overlay(one.entry), one.address) for one in shown]
        self._core.nodes_changed(self._nodes.replace(shown))

    def _watch(self, path: str) -> None:
        known: list[Member] | None = None
        while True:
            # A small file, read whole: its time stamp may stand still across two quick changes.
            asked_at = self._hub.now()
            try:
                members = [member_of(node) for node in load_nodes(path)]
                if members != known:
                    self._told(members)
                    known = members
            finally:
                self._core.list_call_ended(asked_at, answered=True)
            self._hub.sleep(self._settings.poll_us)

    def _await_call(self) -> None:
        """Wait until this head has a call of those that its fleet divides, if it does."""
        again = False
        while self._portions is not None and (us := self._portions.list_call_wait(self._hub.now(), again)):
            self._hub.sleep(min(us, PORTION_US))
            again = True

    def _follow(self, source: ConsulSettings) -> None:
        """Make one call after another until one fails or is overdue.

        One that is overdue stays open: its turn may come yet, and a call made anew begins at the queue's end.
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
                self._hub.sleep(source.timeout_us)  # a server without indexes would be asked without a pause

    def _begin(self, source: ConsulSettings) -> ListCall:
        index, self._index = self._index, 0  # after a failure the whole list is asked for again
        self._await_call()
        call = self._current = ListCall(self._hub, source, index)
        for surplus in self._open.add(call):
            surplus.give_up()
        agent = f"harriertrack/{self._head_id:016x}"
        call.start(self._scope, self._network, self._name, agent, self._ended)
        return call

    def _ended(self, call: ListCall) -> None:
        """Take what a call has brought, also one that was overdue; follow on from it if nothing does."""
        if call.failure:
            self._open.remove(call)
        else:
            for older in self._open.complete(call):
                older.give_up()
            self._index = call.next_index
            self._told(call.members)
        self._core.list_call_ended(call.began, not call.failure)
        if call is not self._current and not call.failure:
            self.subscribe(True)
