"""One request from this side and its whole answer: to shelfs and to discovery.

An answer counts only when it is whole and its end is proven by its framing. Everything else raises `Spoilt`:
what was asked may have run, and the connection is of no use any more. What comes behind a whole answer does
not make it worse, but the connection is not to be used again.
"""

from __future__ import annotations

from dataclasses import dataclass

import httptools

from harriertrack.protocol.platform import MAX_HEAD_BYTES

MOST_INTERIM = 8  # 1xx answers ahead of the real one


class InvalidAnswer(Exception):
    """An answer that can't be read or is not whole."""


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer; field names are in lower case, `None` stands for one that was given twice."""

    status: int
    fields: dict[bytes, bytes | None]
    body: bytes
    reusable: bool  # the connection can carry another request


class Exchange:
    """A request and its answer; make a new one for each.

    The parser calls the methods `on_...`; what they raise stops it.
    """

    def __init__(self, method: bytes, target: bytes, headers: list[tuple[bytes, bytes]], body: bytes,
                 most_body: int) -> None:  # fmt: skip
        self._parser = httptools.HttpResponseParser(self)
        self._most_body = most_body
        self._why = ""  # it is spoilt
        self._headed = self._complete = self._kept = self._surplus = False
        self._status = 0
        self._fields: dict[bytes, bytes | None] = {}
        self._body: list[bytes] = []
        self._length = self._fed = self._head = self._interim = 0
        lines = [b"%s %s HTTP/1.1" % (method, target), *(b"%s: %s" % header for header in headers)]
        if method != b"GET":
            lines.append(b"Content-Length: %d" % len(body))
        self.request = b"\r\n".join(lines) + b"\r\n\r\n" + body

    def receive(self, data: bytes) -> Answer | None:
        """Take bytes, b"" for the end; return the answer once it is whole. Raises Spoilt."""
        if not data:
            raise InvalidAnswer("the connection ended inside an answer")
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self._complete:
                raise InvalidAnswer(self._why or str(error)) from error
            self._surplus = True
        if not self._headed:
            self._fed += len(data)
            if self._fed > MAX_HEAD_BYTES:  # the parser keeps a field until it ends
                raise InvalidAnswer("a head of more than 16 KiB")
        if not self._complete:
            return None
        reusable = self._kept and not self._surplus
        return Answer(self._status, self._fields, b"".join(self._body), reusable)

    def on_message_begin(self) -> None:
        """A message begins; behind a whole answer it belongs to nothing."""
        if self._complete:
            raise InvalidAnswer("more than an answer")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a field."""
        self._head += len(name) + len(value)
        if self._head > MAX_HEAD_BYTES:
            self._stop("a head of more than 16 KiB")
        name = name.lower()
        self._fields[name] = None if name in self._fields else value

    def _stop(self, why: str) -> None:
        self._why = why
        raise InvalidAnswer(why)

    def on_headers_complete(self) -> None:
        """Check the framing: an answer that only the connection's end would end proves nothing."""
        self._status, self._headed = self._parser.get_status_code(), True
        if 100 <= self._status < 200:
            return
        length = self._fields.get(b"content-length")
        if b"transfer-encoding" not in self._fields and length is None and self._status not in (204, 304):
            self._stop("a body without a length")
        elif length is not None and int(length) > self._most_body:
            self._stop(f"a body of {int(length)} bytes, more than {self._most_body}")

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        self._length += len(data)
        if self._length > self._most_body:
            self._stop(f"a body of more than {self._most_body} bytes")
        self._body.append(data)

    def on_message_complete(self) -> None:
        """A message is whole: the answer, or one of those that may come ahead of it."""
        if 100 <= self._status < 200:
            self._interim += 1
            self._headed, self._fed = False, 0
            self._fields = {}
            if self._interim > MOST_INTERIM:
                self._stop("too many interim answers")
        else:
            self._complete, self._kept = True, self._parser.should_keep_alive()
