"""HTTP server for the stand-ins, based on h11; each connection carries one request."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import h11

from harriertrack.runtime.hub import Scope
from harriertrack.runtime.streams import Listener, Stream, StreamClosed


@dataclass(slots=True)
class HttpRequest:
    """A complete HTTP request; `agent` is its User-Agent field."""

    method: str
    target: str
    agent: str
    body: bytes


@dataclass(slots=True)
class HttpResponse:
    """A response; a handler that returns None instead resets the connection."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


Handler = Callable[[HttpRequest], HttpResponse | None]


def serve(listener: Listener, scope: Scope, name: str, handle: Handler) -> None:
    """Serve HTTP until the listener is closed (task body); `handle` runs in a task per connection."""
    accept_connections(listener, scope, name, lambda stream: _serve_connection(stream, handle))


def accept_connections(listener: Listener, scope: Scope, name: str, run: Callable[[Stream], None]) -> None:
    """Accept connections until the listener is closed (task body); `run` runs in a task per connection."""
    while True:
        try:
            stream = listener.accept()
        except StreamClosed:
            return
        scope.spawn(name, run, stream)


def _serve_connection(stream: Stream, handle: Handler) -> None:
    http = h11.Connection(h11.SERVER)
    request = HttpRequest("", "", "", b"")
    try:
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(stream.read())
            elif isinstance(event, h11.Request):
                agent = dict(event.headers).get(b"user-agent", b"").decode()
                request = HttpRequest(event.method.decode(), event.target.decode(), agent, b"")
            elif isinstance(event, h11.Data):
                request.body += event.data
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                return
        response = handle(request)
        if response is None:
            stream.abort()
            return
        length = ("Content-Length", str(len(response.body)))
        head = h11.Response(
            status_code=response.status, headers=[*response.headers, length, ("Connection", "close")]
        )
        for message in (head, h11.Data(data=response.body), h11.EndOfMessage()):
            stream.write(http.send(message) or b"")
    except (OSError, ValueError, h11.RemoteProtocolError):
        pass  # only this connection fails
    finally:
        stream.close()
