"""An inter-region link stand-in: a relay of byte streams with delay, jitter and faults in either direction.

A direction can be slow or blocked: while it is blocked, its bytes wait in the relay, as in the socket buffers
of a link without progress, and are delivered when it is unblocked. `cut` resets all connections and refuses
new ones.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass

from harriertrack.runtime.hub import Hub, Scope, Waiters
from harriertrack.runtime.streams import Listener, Network, Stream, StreamClosed


@dataclass(slots=True)
class Direction:
    """The current delay and faults of one direction."""

    delay_us: int = 500
    jitter_us: int = 0
    blocked: bool = False


class Link:
    """A TCP relay that listens on its own address and connects to a target."""

    def __init__(self, hub: Hub, network: Network, target: tuple[str, int],
                 forward: Direction, backward: Direction, seed: int = 0) -> None:  # fmt: skip
        self._hub, self._network, self._target = hub, network, target
        self.forward, self.backward = forward, backward
        self._random = random.Random(seed)
        self._listener: Listener | None = None
        self._streams: dict[Stream, None] = {}
        self._direction_changed = Waiters(hub)
        self.address = ("127.0.0.1", 0)
        self.cut = False
        self.relayed_bytes = 0  # in both directions

    def start(self, scope: Scope) -> None:
        """Listen for connections."""
        self._listener = self._network.listen(self.address)
        self.address = self._listener.address
        scope.spawn("link", self._accept, self._listener, scope)

    def notify_changed(self) -> None:
        """Wake the writers that wait for a blocked direction, after directions were changed."""
        self._direction_changed.notify()

    def set_cut(self, cut: bool) -> None:
        """Reset all connections and refuse new ones, or accept connections again."""
        self.cut = cut
        if cut:
            for stream in list(self._streams):
                stream.abort()
            self._streams.clear()
        self.notify_changed()

    def set_target(self, target: tuple[str, int]) -> None:
        """Relay new connections to another address, as after a restart of the head there."""
        self._target = target

    def _accept(self, listener: Listener, scope: Scope) -> None:
        while True:
            try:
                client = listener.accept()
            except StreamClosed:
                return
            if self.cut:
                client.abort()
                continue
            try:
                server = self._network.connect(self._target, self._hub.now() + 1_000_000, client.peer)
            except Exception:  # any failure to reach the target
                client.abort()
                continue
            self._streams.update({client: None, server: None})
            scope.spawn("link there", self._relay, client, server, self.forward, scope)
            scope.spawn("link back", self._relay, server, client, self.backward, scope)

    def _relay(self, source: Stream, sink: Stream, direction: Direction, scope: Scope) -> None:
        """Read bytes and queue them for the writer, which sends them in order when due and not blocked."""
        queue: deque[tuple[int, bytes]] = deque()
        queued = Waiters(self._hub)
        writer = scope.spawn("link writes", self._write, queue, queued, sink, direction)
        due_us = 0
        try:
            while data := source.read():
                self.relayed_bytes += len(data)
                jitter = int(self._random.random() * direction.jitter_us)
                due_us = max(due_us, self._hub.now() + direction.delay_us + jitter)
                queue.append((due_us, data))
                queued.notify()
            queue.append((max(due_us, self._hub.now() + direction.delay_us), b""))
            queued.notify()
        except OSError:
            writer.cancel()
            sink.abort()
        finally:
            self._streams.pop(source, None)

    def _write(
        self, queue: deque[tuple[int, bytes]], queued: Waiters, sink: Stream, direction: Direction
    ) -> None:
        while True:
            while not queue:
                queued.wait()
            due_us, data = queue.popleft()
            self._hub.sleep_until(due_us)
            while direction.blocked:
                self._direction_changed.wait()
            if not data:
                sink.close()
                return
            sink.write(data)
