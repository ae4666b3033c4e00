"""One call to discovery: a task of its own, so that a call that is late hinders none that comes after it."""

from __future__ import annotations

from collections.abc import Callable

from harriertrack.decisions.discovery_watch import Call
from harriertrack.membership.targets import MAX_LIST_BYTES, request_target
from harriertrack.protocol.platform.exchange import Answer, Exchange, InvalidAnswer
from harriertrack.runtime.hub import Event, Hub, Scope, Task
from harriertrack.runtime.streams import Network, Stream


class DiscoveryCall:
    """A call under way; `ended` is set once it has been answered, has failed or was given up."""

    def __init__(self, hub: Hub, call: Call, address: tuple[str, int]) -> None:
        self.call, self.began = call, hub.now()
        self.ended = Event(hub)
        self.answer: Answer | None = None
        self.came_at = 0  # when the answer's last bytes came
        self.failure = ""  # why there is no answer that can be used
        self.over = False
        self._address = address
        self._stream: Stream | None = None
        self._task: Task | None = None

    def start(self, scope: Scope, network: Network, name: str, stream: Stream | None,
              then: Callable[[DiscoveryCall], None]) -> None:  # fmt: skip
        """Make the call, over a stream that is open or a new one; call `then` once it has ended by itself."""
        self._stream = stream
        self._task = scope.spawn("discovery call", self._run, network, name, then)

    def give_up(self) -> None:
        """Close the connection, and end without an answer if there is none yet."""
        if self._task is not None:
            self._task.cancel()
        self.close()
        self._end()

    def take_stream(self) -> Stream | None:
        """Return the connection for another call, if it can carry one; close it otherwise."""
        if self.answer is None or self.failure or not self.answer.reusable:
            self.close()
        stream, self._stream = self._stream, None
        return stream

    def close(self) -> None:
        """Close the connection, if it is open."""
        if self._stream is not None:
            self._stream.close()
            self._stream = None

    def _run(self, network: Network, name: str, then: Callable[[DiscoveryCall], None]) -> None:
        try:
            self.answer = self._ask(network, name)
            if self.answer.status != 200:
                self.failure = f"status {self.answer.status}"
        except (OSError, InvalidAnswer) as error:
            self.failure = str(error) or type(error).__name__
        except BaseException:
            self.close()
            raise
        then(self)
        self._end()

    def _ask(self, network: Network, name: str) -> Answer:
        if self._stream is None:
            self._stream = network.connect(self._address, None, name)
        host = f"{self._address[0]}:{self._address[1]}".encode()
        target = request_target(self.call.since, self.call.wait_us)
        exchange = Exchange(b"GET", target, [(b"Host", host)], b"", MAX_LIST_BYTES)
        self._stream.write(exchange.request)
        while (answer := exchange.receive(self._stream.read())) is None:
            pass
        self.came_at = self._stream.came_at
        return answer

    def _end(self) -> None:
        self.over = True
        self.ended.set()
