"""One call to the source of the node list, in a task of its own, so that a late one does not block others."""

from __future__ import annotations

from collections.abc import Callable

from harriertrack.config.settings import ConsulSettings
from harriertrack.membership import consul
from harriertrack.membership.nodes import Member
from harriertrack.protocol.http import HttpCall, HttpError
from harriertrack.runtime.hub import Event, Hub, Scope, Task
from harriertrack.runtime.streams import Network


class ListCall:
    """An open call; `ended` is set once it was answered or failed."""

    def __init__(self, hub: Hub, source: ConsulSettings, index: int) -> None:
        self._source, self._index = source, index
        self._wait_us = source.wait_us if index else 0  # how long the server may wait for a change
        self.began = hub.now()
        self.overdue_at = self.began + self._wait_us + source.timeout_us
        self.ended = Event(hub)
        self.members: list[Member] = []  # in the answer
        self.next_index = 0  # the answer's version, to wait for a newer one
        self.failure = ""  # why there is no usable answer
        self._task: Task | None = None

    def start(self, scope: Scope, network: Network, name: str, agent: str,
              then: Callable[[ListCall], None]) -> None:  # fmt: skip
        """Make the call; run `then` once it was answered or failed, but not after `give_up`."""
        self._task = scope.spawn("node list call", self._run, network, name, agent, then)

    def give_up(self) -> None:
        """End without an answer if there is none yet."""
        if self._task is not None:
            self._task.cancel()

    def _run(self, network: Network, name: str, agent: str, then: Callable[[ListCall], None]) -> None:
        try:
            self._fetch(network, name, agent)
        except (OSError, HttpError, consul.ListAnswerError) as error:
            self.failure = str(error) or type(error).__name__
        then(self)
        self.ended.set()

    def _fetch(self, network: Network, name: str, agent: str) -> None:
        address = self._source.address
        stream = network.connect(address, None, name)
        try:
            target = consul.query_target(self._source.service, self._index, self._wait_us)
            get = HttpCall("GET", f"{address[0]}:{address[1]}", target, agent)
            stream.write(get.request)
            while not get.receive(stream.read()):
                pass
        finally:
            stream.close()
        if get.status != 200:
            raise HttpError(f"status {get.status}")
        self.members = consul.parse_members(get.body)
        self.next_index = consul.next_index(self._index, get.headers.get("x-consul-index"))
