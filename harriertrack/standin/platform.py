"""Stand-ins for the users' platform: a shelf that answers by a script, and discovery with its watch.

Both speak what the platform's pages say, over streams of the hub, in memory or on loopback.
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

RESET = b"\0reset"  # an answer of a script: break the connection
NO_RESPONSE = b"\0mute"  # never answer
WATCH_CONTINUATION_US = 200_000  # a call that comes so soon after the last answer continues its watch
NEVER_RAN = b"HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"


def answer(body: bytes, status: int = 200, extra: bytes = b"") -> bytes:
    """Return an answer with a body."""
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n%s\r\n%s" % (status, len(body), extra, body)


@dataclass(slots=True)
class ReceivedRequest:
    """A request that came whole; `when` is microseconds."""

    received_at_us: int
    request_line: str
    fields: dict[str, str]
    body: bytes
    connection: int


def read_message(stream: Stream, kept: bytes, deadline: int | None = None) -> tuple[bytes, bytes, bytes]:
    """Read (head, body, what came behind) of one message that tells its length; empty at the end."""
    while b"\r\n\r\n" not in kept:
        data = stream.read(deadline)
        if not data:
            return b"", b"", b""
        kept += data
    head, _, rest = kept.partition(b"\r\n\r\n")
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
    """Return a head's fields by name in lower case."""
    pairs = (line.partition(":") for line in head.decode("latin-1").split("\r\n")[1:])
    return {name.lower(): value.strip() for name, _, value in pairs}


class PlatformNode:
    """Answers each request by `script`, after `delay_us`; keeps what came and which connections ended."""

    def __init__(self, hub: Hub, network: Network, script: Callable[[ReceivedRequest], bytes],
                 delay_us: int = 5_000) -> None:  # fmt: skip
        self._hub, self.script, self.delay_us = hub, script, delay_us
        self._listener: Listener = network.listen(("127.0.0.1", 0))
        self.address = self._listener.address
        self.requests: list[ReceivedRequest] = []
        self.connections = 0
        self.closed_connections: list[int] = []  # connections that the head ended
        self.streams: list[Stream] = []

    def start(self, scope: Scope) -> None:
        """Accept from now on."""
        scope.spawn("shelf", accept_connections, self._listener, scope, "shelf connection", self._serve)

    def close(self) -> None:
        """Listen no more."""
        self._listener.close()

    def _serve(self, stream: Stream) -> None:
        self.connections += 1
        self.streams.append(stream)
        number, kept = self.connections, b""
        try:
            while True:
                head, body, kept = read_message(stream, kept)
                if not head:
                    break
                line = head.split(b"\r\n")[0].decode()
                got = ReceivedRequest(self._hub.now(), line, header_fields(head), body, number)
                self.requests.append(got)
                self._hub.sleep(self.delay_us)
                said = self.script(got)
                if said == RESET:
                    stream.abort()
                    return
                if said != NO_RESPONSE:
                    stream.write(said)
        except OSError:
            pass  # the head broke it
        self.closed_connections.append(number)


class Outage(Enum):
    """How discovery fails."""

    NONE = "none"
    SILENT = "silent"  # calls are taken and never answered
    FAILING = "failing"  # calls end in 503


@dataclass(slots=True)
class PlatformDiscovery:
    """The list, its versions, and watches that wait for newer ones."""

    hub: Hub
    network: Network
    version: int = 1
    servers: dict[str, dict] = field(default_factory=dict)
    changed_in_version: dict[str, int] = field(
        default_factory=dict
    )  # the version of each entry's latest change
    calls: list[tuple[int, str]] = field(default_factory=list)
    corrupt: Callable[[bytes], bytes] | None = None
    indent: int | None = None  # lists come on many lines
    outage: Outage = Outage.NONE
    queue: CallQueue | None = None  # it has so many callers; None: each is served at once
    _streams: dict[Stream, None] = field(default_factory=dict)
    _quiet: set[Stream] = field(default_factory=set)  # nothing comes over these any more
    _changes: Waiters = field(init=False)
    _listener: Listener = field(init=False)

    def __post_init__(self) -> None:
        self._changes = Waiters(self.hub)
        self._listener = self.network.listen(("127.0.0.1", 0))

    @property
    def address(self) -> tuple[str, int]:
        """Return where it listens."""
        return self._listener.address

    def set_server(self, name: str, address: tuple[str, int], cell: int, state: str = "in_service",
            started_ms: int = 0) -> None:  # fmt: skip
        """Add or change an entry, as a new version."""
        self.version += 1
        self.changed_in_version[name] = self.version
        self.servers[name] = {
            "id": name, "addr": f"{address[0]}:{address[1]}", "zone": "z", "kind": "k", "cell": cell,
            "state": state, "weight": 1.0, "started_ms": started_ms,
        }  # fmt: skip
        self._changes.notify()

    def full_list(self) -> dict:
        """Return the whole list."""
        return {"version": self.version, "full": True, "servers": list(self.servers.values())}

    def changes(self, since: int) -> dict:
        """Return what has changed since a version."""
        news = [self.servers[name] for name, at in self.changed_in_version.items() if at > since]
        return {"version": self.version, "full": False, "servers": news}

    def start(self, scope: Scope) -> None:
        """Serve from now on."""
        scope.spawn(
            "discovery", accept_connections, self._listener, scope, "discovery connection", self._serve
        )

    def close(self) -> None:
        """Listen no more."""
        self._listener.close()

    def silence_watches(self) -> None:
        """All open watches fall silent: their connections stay open, and nothing more comes over them."""
        self._quiet.update(self._streams)

    def reset_connections(self) -> None:
        """All open connections break."""
        for stream in list(self._streams):
            stream.abort()

    def _serve(self, stream: Stream) -> None:
        self._streams[stream] = None
        try:
            self._answer_calls(stream)
        except OSError:
            pass  # the head broke it
        finally:
            del self._streams[stream]
            self._quiet.discard(stream)

    def _answer_calls(self, stream: Stream) -> None:
        kept, answered_at = b"", self.hub.now() - WATCH_CONTINUATION_US
        while True:
            head, _, kept = read_message(stream, kept)
            if not head:
                return
            came_at = self.hub.now()
            target = head.split(b" ")[1].decode()
            self.calls.append((self.hub.now(), target))
            query = parse_qs(urlsplit(target).query)
            since = int(query["since"][0]) if "since" in query else None
            if since is not None and self.outage is Outage.NONE:
                self._wait(since, self.hub.now() + 1000 * int(query["timeout_ms"][0]))
            if self.queue is not None and not self.queue.wait(came_at - answered_at < WATCH_CONTINUATION_US):
                stream.write(answer(b"", 503))
                continue
            answered_at = self.hub.now()
            told = self.full_list() if since is None else self.changes(since)
            if self.outage is Outage.SILENT:
                self._quiet.add(stream)
            if stream in self._quiet:
                continue  # for ever: the head has to give it up
            if self.outage is Outage.FAILING:
                stream.write(answer(b"", 503))
                continue
            body = json.dumps(told, indent=self.indent).encode()
            stream.write(answer(self.corrupt(body) if self.corrupt else body))

    def _wait(self, since: int, until: int) -> None:
        try:
            while self.version <= since and self.hub.now() < until:
                self._changes.wait(until)
        except DeadlineExceeded:
            pass
