"""An inter-region link stand-in: a relay of byte streams with delay, jitter, and faults in either direction.

A direction can be slow, or blocked: its bytes wait in the relay, as in the socket buffers of a link that
makes no progress, and go on when it opens again. `cut` breaks all connections and takes no new ones.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass

from harriertrack.runtime.hub import Hub, Scope, Waiters
from harriertrack.runtime.streams import Listener, Network, Stream, StreamClosed


@dataclass(slots=True)
class Direction:
    """How bytes pass one way now."""

    delay_us: int = 500
    jitter_us: int = 0
    blocked: bool = False


class Link:
    """A relay from an address of its own to a target."""

    def __init__(self, hub: Hub, network: Network, target: tuple[str, int],
                 forward: Direction, backward: Direction, seed: int = 0) -> None:  # fmt: skip
        self._hub, self._network, self._target = hub, network, target
        self.forward, self.backward = forward, backward
        self._random = random.Random(seed)
        self._listener: Listener | None = None
        self._streams: dict[Stream, None] = {}
        self._changed = Waiters(hub)
        self.address = ("127.0.0.1", 0)
        self.cut = False
        self.relayed_bytes = 0  # bytes, both ways

    def start(self, scope: Scope) -> None:
        """Take connections."""
        self._listener = self._network.listen(self.address)
        self.address = self._listener.address
        scope.spawn("link", self._accept, self._listener, scope)

    def notify_changed(self) -> None:
        """Directions were changed: what waits looks again."""
        self._changed.notify()

    def set_cut(self, cut: bool) -> None:
        """Break all connections and take no new ones, or take them again."""
        self.cut = cut
        if cut:
            for stream in list(self._streams):
                stream.abort()
            self._streams.clear()
        self.notify_changed()

    def set_target(self, target: tuple[str, int]) -> None:
        """Relay new connections elsewhere: the head there came back at another address."""
        self._target = target

    def _accept(self, listener: Listener, scope: Scope) -> None:
        while True:
            try:
                near = listener.accept()
            except StreamClosed:
                return
            if self.cut:
                near.abort()
                continue
            try:
                far = self._network.connect(self._target, self._hub.now() + 1_000_000, near.peer)
            except Exception:  # whatever keeps the target from answering
                near.abort()
                continue
            self._streams.update({near: None, far: None})
            scope.spawn("link there", self._pass, near, far, self.forward, scope)
            scope.spawn("link back", self._pass, far, near, self.backward, scope)

    def _pass(self, source: Stream, sink: Stream, way: Direction, scope: Scope) -> None:
        """Read what comes, and write it when its time has come and the way is open, in order."""
        queue: deque[tuple[int, bytes]] = deque()
        more = Waiters(self._hub)
        writer = scope.spawn("link writes", self._write, queue, more, sink, way)
        due = 0
        try:
            while data := source.read():
                self.relayed_bytes += len(data)
                jitter = int(self._random.random() * way.jitter_us)
                due = max(due, self._hub.now() + way.delay_us + jitter)
                queue.append((due, data))
                more.notify()
            queue.append((max(due, self._hub.now() + way.delay_us), b""))
            more.notify()
        except OSError:
            writer.cancel()
            sink.abort()
        finally:
            self._streams.pop(source, None)

    def _write(self, queue: deque[tuple[int, bytes]], more: Waiters, sink: Stream, way: Direction) -> None:
        while True:
            while not queue:
                more.wait()
            due, data = queue.popleft()
            self._hub.sleep_until(due)
            while way.blocked:
                self._changed.wait()
            if not data:
                sink.close()
                return
            sink.write(data)
