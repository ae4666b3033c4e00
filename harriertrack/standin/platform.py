"""Stand-ins for the users' platform: a storage node with scripted answers, and discovery with its watch.

Both implement the platform's documented protocol over streams of the hub, in memory or on loopback.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from urllib.parse import parse_qs, urlsplit

from harriertrack.runtime.hub import DeadlineExceeded, Hub, Scope, Waiters
from harriertrack.runtime.streams import Listener, Network, Stream
from harriertrack.standin.http import accept_connections
from harriertrack.standin.queue import CallQueue

RESET = b"\0reset"  # a script returns it to reset the connection
NO_RESPONSE = b"\0mute"  # a script returns it to never answer
WATCH_CONTINUATION_US = 200_000  # a call within this time of the previous answer continues its watch
NEVER_RAN = b"HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"


def answer(body: bytes, status: int = 200, extra: bytes = b"") -> bytes:
    """Return an HTTP response with a body."""
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n%s\r\n%s" % (status, len(body), extra, body)


@dataclass(slots=True)
class ReceivedRequest:
    """A complete request, with the number of the connection it arrived on."""

    received_at_us: int
    request_line: str
    fields: dict[str, str]
    body: bytes
    connection: int


def read_message(stream: Stream, buffered: bytes, deadline: int | None = None) -> tuple[bytes, bytes, bytes]:
    """Read one message with a Content-Length; return (head, body, bytes after it), all empty at the end."""
    while b"\r\n\r\n" not in buffered:
        data = stream.read(deadline)
        if not data:
            return b"", b"", b""
        buffered += data
    head, _, rest = buffered.partition(b"\r\n\r\n")
    length = 0
    for line in head.lower().split(b"\r\n")[1:]:
        if line.startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    while len(rest) < length:
        data = stream.read(deadline)
        if not data:
            return b"", b"", b""
        rest += data
    return head, rest[:length], rest[length:]


def header_fields(head: bytes) -> dict[str, str]:
    """Return the header fields of a message head, by name in lower case."""
    pairs = (line.partition(":") for line in head.decode("latin-1").split("\r\n")[1:])
    return {name.lower(): value.strip() for name, _, value in pairs}


class PlatformNode:
    """Answers each request by `script` after `delay_us`; records requests and closed connections."""

    def __init__(self, hub: Hub, network: Network, script: Callable[[ReceivedRequest], bytes],
                 delay_us: int = 5_000) -> None:  # fmt: skip
        self._hub, self.script, self.delay_us = hub, script, delay_us
        self._listener: Listener = network.listen(("127.0.0.1", 0))
        self.address = self._listener.address
        self.requests: list[ReceivedRequest] = []
        self.connections = 0
        self.closed_connections: list[int] = []  # numbers of the connections that the head closed
        self.streams: list[Stream] = []

    def start(self, scope: Scope) -> None:
        """Start to accept connections."""
        scope.spawn("shelf", accept_connections, self._listener, scope, "shelf connection", self._serve)

    def close(self) -> None:
        """Stop listening."""
        self._listener.close()

    def _serve(self, stream: Stream) -> None:
        self.connections += 1
        self.streams.append(stream)
        number, buffered = self.connections, b""
        try:
            while True:
                head, body, buffered = read_message(stream, buffered)
                if not head:
                    break
                line = head.split(b"\r\n")[0].decode()
                request = ReceivedRequest(self._hub.now(), line, header_fields(head), body, number)
                self.requests.append(request)
                self._hub.sleep(self.delay_us)
                response = self.script(request)
                if response == RESET:
                    stream.abort()
                    return
                if response != NO_RESPONSE:
                    stream.write(response)
        except OSError:
            pass  # the head reset the connection
        finally:
            stream.close()
        self.closed_connections.append(number)


class Outage(Enum):
    """How calls to discovery fail."""

    NONE = "none"
    SILENT = "silent"  # calls are accepted and never answered
    FAILING = "failing"  # calls are answered with 503


@dataclass(slots=True)
class PlatformDiscovery:
    """Serves the list of storage nodes, and watches that wait for a version newer than the caller's."""

    hub: Hub
    network: Network
    version: int = 1
    servers: dict[str, dict] = field(default_factory=dict)
    changed_in_version: dict[str, int] = field(default_factory=dict)  # the latest change, by entry
    calls: list[tuple[int, str]] = field(default_factory=list)
    corrupt: Callable[[bytes], bytes] | None = None  # replaces the body of each answer
    on_answer: Callable[[dict], None] | None = None  # called with the content of each that reaches its caller
    indent: int | None = None  # of the JSON; the list then has many lines
    outage: Outage = Outage.NONE
    queue: CallQueue | None = None  # None: each call is served at once
    _streams: dict[Stream, None] = field(default_factory=dict)
    _silenced: set[Stream] = field(default_factory=set)  # nothing is sent on these any more
    _new_version: Waiters = field(init=False)
    _listener: Listener = field(init=False)

    def __post_init__(self) -> None:
        self._new_version = Waiters(self.hub)
        self._listener = self.network.listen(("127.0.0.1", 0))

    @property
    def address(self) -> tuple[str, int]:
        """Return the address it listens on."""
        return self._listener.address

    def set_server(self, name: str, address: tuple[str, int], cell: int, state: str = "in_service",
            started_ms: int = 0) -> None:  # fmt: skip
        """Add or replace an entry, as a new version of the list."""
        self.version += 1
        self.changed_in_version[name] = self.version
        self.servers[name] = {
            "id": name, "addr": f"{address[0]}:{address[1]}", "zone": "z", "kind": "k", "cell": cell,
            "state": state, "weight": 1.0, "started_ms": started_ms,
        }  # fmt: skip
        self._new_version.notify()

    def full_list(self) -> dict:
        """Return the complete list, as it is sent."""
        return {"version": self.version, "full": True, "servers": list(self.servers.values())}

    def changes(self, since: int) -> dict:
        """Return the entries changed since a version, as they are sent."""
        changed = [self.servers[name] for name, version in self.changed_in_version.items() if version > since]
        return {"version": self.version, "full": False, "servers": changed}

    def start(self, scope: Scope) -> None:
        """Start to serve."""
        scope.spawn(
            "discovery", accept_connections, self._listener, scope, "discovery connection", self._serve
        )

    def close(self) -> None:
        """Stop listening."""
        self._listener.close()

    def silence_watches(self) -> None:
        """Send nothing more on any open connection, and leave the connections open."""
        self._silenced.update(self._streams)

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for stream in list(self._streams):
            stream.abort()

    def _serve(self, stream: Stream) -> None:
        self._streams[stream] = None
        try:
            self._answer_calls(stream)
        except OSError:
            pass  # the head reset the connection
        finally:
            stream.close()
            del self._streams[stream]
            self._silenced.discard(stream)

    def _answer_calls(self, stream: Stream) -> None:
        buffered, answered_at_us = b"", self.hub.now() - WATCH_CONTINUATION_US
        while True:
            head, _, buffered = read_message(stream, buffered)
            if not head:
                return
            called_at_us = self.hub.now()
            target = head.split(b" ")[1].decode()
            self.calls.append((self.hub.now(), target))
            query = parse_qs(urlsplit(target).query)
            since = int(query["since"][0]) if "since" in query else None
            if since is not None and self.outage is Outage.NONE:
                self._wait_for_version(since, self.hub.now() + 1000 * int(query["timeout_ms"][0]))
            if self.queue is not None and not self.queue.wait(
                called_at_us - answered_at_us < WATCH_CONTINUATION_US
            ):
                stream.write(answer(b"", 503))
                continue
            answered_at_us = self.hub.now()
            content = self.full_list() if since is None else self.changes(since)
            if self.outage is Outage.SILENT:
                self._silenced.add(stream)
            if stream in self._silenced:
                continue  # never answered: the head has to give up the call
            if self.outage is Outage.FAILING:
                stream.write(answer(b"", 503))
                continue
            if self.on_answer is not None and stream.silent():
                self.on_answer(content)
            body = json.dumps(content, indent=self.indent).encode()
            stream.write(answer(self.corrupt(body) if self.corrupt else body))

    def _wait_for_version(self, since: int, deadline: int) -> None:
        try:
            while self.version <= since and self.hub.now() < deadline:
                self._new_version.wait(deadline)
        except DeadlineExceeded:
            pass
