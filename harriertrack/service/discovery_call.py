"""One call to discovery, in a task of its own, so that a late call does not delay the next one."""

from __future__ import annotations

from collections.abc import Callable

from harriertrack.decisions.discovery_watch import Call
from harriertrack.membership.targets import request_target
from harriertrack.protocol.platform.exchange import Answer, Exchange, InvalidAnswer
from harriertrack.runtime.hub import Event, Hub, Scope, Task
from harriertrack.runtime.streams import Network, Stream


class DiscoveryCall:
    """A call in progress; `done` is set once it was answered, failed or was abandoned."""

    def __init__(self, hub: Hub, spec: Call, address: tuple[str, int], max_list_bytes: int) -> None:
        self.spec, self.started_at = spec, hub.now()
        self.done = Event(hub)
        self.answer: Answer | None = None
        self.answered_at = 0  # when the answer's last bytes were received
        self.failure = ""  # why there is no usable answer
        self.finished = False
        self._address, self._max_list_bytes = address, max_list_bytes
        self._stream: Stream | None = None
        self._task: Task | None = None

    def start(self, scope: Scope, network: Network, name: str, stream: Stream | None,
              on_end: Callable[[DiscoveryCall], None]) -> None:  # fmt: skip
        """Make the call over an open stream or a new one; `on_end` runs unless the call is abandoned."""
        self._stream = stream
        self._task = scope.spawn("discovery call", self._run, network, name, on_end)

    def abandon(self) -> None:
        """Close the connection, and finish without an answer if there is none yet."""
        if self._task is not None:
            self._task.cancel()
        self.close()
        self._finish()

    def take_stream(self) -> Stream | None:
        """Return the connection if it can carry another call; close it otherwise."""
        if self.answer is None or self.failure or not self.answer.reusable:
            self.close()
        stream, self._stream = self._stream, None
        return stream

    def close(self) -> None:
        """Close the connection, if it is open."""
        if self._stream is not None:
            self._stream.close()
            self._stream = None

    def _run(self, network: Network, name: str, on_end: Callable[[DiscoveryCall], None]) -> None:
        try:
            self.answer = self._send_request(network, name)
            if self.answer.status != 200:
                self.failure = f"status {self.answer.status}"
        except (OSError, InvalidAnswer) as error:
            self.failure = str(error) or type(error).__name__
        except BaseException:
            self.close()
            raise
        on_end(self)
        self._finish()

    def _send_request(self, network: Network, name: str) -> Answer:
        if self._stream is None:
            self._stream = network.connect(self._address, None, name)
        host = f"{self._address[0]}:{self._address[1]}".encode()
        target = request_target(self.spec.since, self.spec.wait_us)
        exchange = Exchange(b"GET", target, [(b"Host", host)], 0, self._max_list_bytes)
        self._stream.write(exchange.request_head)
        try:
            while (answer := exchange.receive(self._stream.read())) is None:
                pass
        finally:
            exchange.close()
        self.answered_at = self._stream.came_at
        return answer

    def _finish(self) -> None:
        self.finished = True
        self.done.set()
