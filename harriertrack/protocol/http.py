"""HTTP/1.1 through h11: one call and its complete answer, without I/O."""

from __future__ import annotations

import h11

MAX_BODY = 16 << 20  # bytes of an answer's body


class HttpError(Exception):
    """The peer violated HTTP, or its answer is too large."""


class HttpCall:
    """One call: send `request`, then pass received bytes to `receive` until it returns True."""

    def __init__(self, method: str, host: str, target: str, agent: str, body: bytes = b"") -> None:
        self._http = h11.Connection(h11.CLIENT)
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        headers = [("Host", host), ("User-Agent", agent), ("Connection", "close")]
        if method != "GET":
            headers.append(("Content-Length", str(len(body))))
        events: list[h11.Event] = [h11.Request(method=method, target=target, headers=headers)]
        if body:
            events.append(h11.Data(data=body))
        events.append(h11.EndOfMessage())
        self.request = b"".join(self._http.send(event) or b"" for event in events)

    def receive(self, data: bytes) -> bool:
        """Parse received bytes (b"" for the end); return whether the answer is complete. Raises HttpError."""
        try:
            self._http.receive_data(data)
            while True:
                event = self._http.next_event()
                if isinstance(event, h11.Response):
                    self.status = event.status_code
                    self.headers = {name.decode().lower(): value.decode() for name, value in event.headers}
                elif isinstance(event, h11.Data):
                    self.body += event.data
                    if len(self.body) > MAX_BODY:
                        raise HttpError(f"an answer of more than {MAX_BODY} bytes")
                elif isinstance(event, h11.EndOfMessage):
                    return True
                elif event is h11.NEED_DATA or event is h11.PAUSED:
                    if not data:
                        raise HttpError("the answer was cut off")
                    return False
        except (h11.RemoteProtocolError, UnicodeDecodeError) as error:
            raise HttpError(str(error)) from error
