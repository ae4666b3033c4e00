"""What HTTP stand-ins have in common: one request a connection, through h11."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import h11

from harriertrack.runtime.hub import Scope
from harriertrack.runtime.streams import Listener, Stream, StreamClosed


@dataclass(slots=True)
class HttpRequest:
    """A request: method, target, the caller's name of itself, body."""

    method: str
    target: str
    agent: str
    body: bytes


@dataclass(slots=True)
class HttpResponse:
    """What is sent back; None in place of one breaks the connection."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


Handler = Callable[[HttpRequest], HttpResponse | None]


def serve(listener: Listener, scope: Scope, name: str, handle: Handler) -> None:
    """Accept connections until the listener is closed (a task); `handle` runs in a task of each."""
    accept_connections(listener, scope, name, lambda stream: _one(stream, handle))


def accept_connections(listener: Listener, scope: Scope, name: str, run: Callable[[Stream], None]) -> None:
    """Accept connections until the listener is closed (a task); `run` is the task of each."""
    while True:
        try:
            stream = listener.accept()
        except StreamClosed:
            return
        scope.spawn(name, run, stream)


def _one(stream: Stream, handle: Handler) -> None:
    http = h11.Connection(h11.SERVER)
    asked = HttpRequest("", "", "", b"")
    try:
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(stream.read())
            elif isinstance(event, h11.Request):
                agent = dict(event.headers).get(b"user-agent", b"").decode()
                asked = HttpRequest(event.method.decode(), event.target.decode(), agent, b"")
            elif isinstance(event, h11.Data):
                asked.body += event.data
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                return
        answer = handle(asked)
        if answer is None:
            stream.abort()
            return
        length = ("Content-Length", str(len(answer.body)))
        response = h11.Response(
            status_code=answer.status, headers=[*answer.headers, length, ("Connection", "close")]
        )
        for part in (response, h11.Data(data=answer.body), h11.EndOfMessage()):
            stream.write(http.send(part) or b"")
    except (OSError, ValueError, h11.RemoteProtocolError):
        pass  # this connection alone suffers
    finally:
        stream.close()
