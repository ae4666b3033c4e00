"""Following the node list: from a file, or over HTTP.

Each failure is told to the module, which asks again.
"""

from __future__ import annotations

from collections.abc import Callable

from harriertrack.config.settings import ConsulSettings, NodeSettings, load_nodes
from harriertrack.config.sexp import SettingsError
from harriertrack.decisions.interface import NodeEntry
from harriertrack.gateway.parts import HeadParts
from harriertrack.membership import consul
from harriertrack.membership.nodes import Member
from harriertrack.protocol.http import Call, HttpError
from harriertrack.runtime.hub import DeadlineExceeded, Task

PORTION_US = 100_000  # a head's part may grow while it waits


def member_of(node: NodeSettings) -> Member:
    """Return a node of a file as one of a list."""
    entry = NodeEntry(node.name, node.shard, node.state, node.zone, node.started_us, node.kind)
    return Member(entry, node.address)


class Listing:
    """Follows the list while the module wants it."""

    def __init__(self, head: HeadParts) -> None:
        self._hub, self._network, self._settings = head.hub, head.network, head.settings.node_list
        self._core, self._scope, self._note, self._name = head.core, head.scope, head.note, head.name
        self._task: Task | None = None
        self._nodes, self._head_id, self._portions = head.nodes, head.head_id, head.portions
        self._index = 0
        self._asked_at = 0  # when the last call began
        self._latest: list[Member] = []  # as the source told
        self.overlay: Callable[[NodeEntry], NodeEntry] | None = None  # what the module is told in its place
        self.heard: Callable[[list[NodeEntry]], None] = lambda _entries: None  # hears what the source told
        # A start comes as wall-clock time. The difference is fixed once: a step of the wall clock must not
        # make known nodes look newly started.
        self._wall_ahead = head.hub.clock.wall() - head.hub.now()

    def subscribe(self, on: bool) -> None:
        """Follow from now on, or stop."""
        if self._task is not None and not self._task.done:
            if on:
                return
            self._task.cancel()
        if on:
            self._task = self._scope.spawn("node list", self._run)

    def ask_now(self) -> None:
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
        except (OSError, DeadlineExceeded, HttpError, consul.ListAnswerError, SettingsError) as error:
            self._note("node list failed", why=str(error) or type(error).__name__)
            self._core.list_failed()
            self._core.list_heard(self._asked_at)

    def _told(self, members: list[Member]) -> None:
        self._latest = [member.localised(self._wall_ahead) for member in members]
        self.heard([member.entry for member in self._latest])
        self._tell()

    def tell_anew(self) -> None:
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
            self._asked_at = self._hub.now()
            members = [member_of(node) for node in load_nodes(path)]
            if members != known:
                self._told(members)
                known = members
            self._core.list_heard(self._asked_at)
            self._hub.sleep(self._settings.poll_us)

    def _await_call(self) -> None:
        """Wait until this head has a call of those that its fleet divides, if it does."""
        again = False
        while self._portions is not None and (us := self._portions.list_call(self._hub.now(), again)):
            self._hub.sleep(min(us, PORTION_US))
            again = True

    def _follow(self, asked: ConsulSettings) -> None:
        while True:
            index, self._index = self._index, 0  # after a failure the whole list is asked for again
            wait = asked.wait_us if index else 0
            self._await_call()
            self._asked_at = self._hub.now()
            deadline = self._hub.now() + wait + asked.timeout_us
            stream = self._network.connect(asked.address, deadline, self._name)
            try:
                host = f"{asked.address[0]}:{asked.address[1]}"
                agent, wanted = (
                    f"harriertrack/{self._head_id:016x}",
                    consul.target(asked.service, index, wait),
                )
                get = Call("GET", host, wanted, agent)
                stream.write(get.request)
                while not get.receive(stream.read(deadline)):
                    pass
            finally:
                stream.close()
            if get.status != 200:
                raise HttpError(f"status {get.status}")
            members = consul.members_of(get.body)
            self._index = consul.next_index(index, get.headers.get("x-consul-index"))
            self._told(members)
            self._core.list_heard(self._asked_at)
            if not self._index:
                self._hub.sleep(asked.timeout_us)  # a server without indexes would be asked without a pause
