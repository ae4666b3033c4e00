"""One request from this side and its whole answer: to shelfs and to discovery.

An answer counts only when it is whole and its end is proven by its framing. Everything else raises `Spoilt`:
what was asked may have run, and the connection is of no use any more. What comes behind a whole answer does
not make it worse, but the connection is not to be used again.
"""

from __future__ import annotations

from dataclasses import dataclass

import h11

from harriertrack.protocol.platform import MOST_BODY, MOST_HEAD

MOST_INTERIM = 8  # 1xx answers ahead of the real one


class Spoilt(Exception):
    """An answer that can't be read or is not whole."""


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer; field names are in lower case, `None` stands for one that was given twice."""

    status: int
    fields: dict[bytes, bytes | None]
    body: bytes
    reusable: bool  # the connection can carry another request


class Exchange:
    """A request and its answer; make a new one for each."""

    def __init__(self, method: str, target: bytes, headers: list[tuple[bytes, bytes]], body: bytes = b"",
                 most_body: int = MOST_BODY) -> None:  # fmt: skip
        self._http = h11.Connection(h11.CLIENT, MOST_HEAD)
        self._most_body = most_body
        self._head: h11.Response | None = None
        self._body: list[bytes] = []
        self._length = self._interim = 0
        if method != "GET":
            headers = [*headers, (b"Content-Length", b"%d" % len(body))]
        request = self._http.send(h11.Request(method=method, target=target, headers=headers)) or b""
        if body:
            request += self._http.send(h11.Data(data=body)) or b""
        self._http.send(h11.EndOfMessage())
        self.request = request

    def receive(self, data: bytes) -> Answer | None:
        """Take bytes, b"" for the end; return the answer once it is whole. Raises Spoilt."""
        try:
            self._http.receive_data(data)
            while True:
                event = self._http.next_event()
                if event is h11.NEED_DATA:
                    return None
                if isinstance(event, h11.InformationalResponse):
                    self._interim += 1
                    if self._interim > MOST_INTERIM:
                        raise Spoilt("too many interim answers")
                elif isinstance(event, h11.Response):
                    self._begin(event)
                elif isinstance(event, h11.Data):
                    self._length += len(event.data)
                    if self._length > self._most_body:
                        raise Spoilt("a body that is too long")
                    self._body.append(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    return self._whole()
                else:
                    raise Spoilt("the connection ended inside an answer")
        except h11.RemoteProtocolError as error:
            raise Spoilt(str(error)) from error

    def _begin(self, head: h11.Response) -> None:
        """Check the framing: an answer that only the connection's end would end proves nothing."""
        self._head = head
        names = [name for name, _ in head.headers]
        lengths = [value for name, value in head.headers if name == b"content-length"]
        chunked = b"transfer-encoding" in names
        if chunked and lengths:
            raise Spoilt("a body with two lengths")
        if not chunked and not lengths and head.status_code not in (204, 304):
            raise Spoilt("a body without a length")
        if lengths and int(lengths[0]) > self._most_body:
            raise Spoilt("a body that is too long")

    def _whole(self) -> Answer:
        assert self._head is not None, "h11 ends no message that has not begun"
        fields: dict[bytes, bytes | None] = {}
        for name, value in self._head.headers:
            fields[name] = None if name in fields else value
        reusable = self._http.their_state is h11.DONE and not self._http.trailing_data[0]
        return Answer(self._head.status_code, fields, b"".join(self._body), reusable)
