"""One request of this side and its complete answer, to a storage node or to discovery.

An answer is valid only if it is complete. One without a length is complete when the peer ends the connection
in order (RFC 9112, 6.3); a reset is no end. Everything else raises `InvalidAnswer`: the request may have run,
and the connection must be closed. Bytes behind a complete answer do not invalidate it, but the connection
must not be reused.
"""

from __future__ import annotations

from dataclasses import dataclass

import httptools

from harriertrack.protocol.piece_buffer import PieceBuffer
from harriertrack.protocol.platform import KEPT_FIELD_BYTES, MAX_FIELDS, MAX_HEAD_BYTES

MAX_INTERIM = 8  # 1xx answers before the final one
STATUSES_WITHOUT_BODY = (204, 304)  # besides 1xx


class InvalidAnswer(Exception):
    """An answer that can't be parsed or is incomplete."""


class IncompleteAnswer(InvalidAnswer):
    """The connection ended before the answer was complete."""


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer; field names are in lower case, a field that occurs twice has the value None."""

    status: int
    fields: dict[bytes, bytes | None]
    body: bytes
    reusable: bool  # the connection can carry another request


class Exchange:
    """A request and its answer; create a new exchange for each request.

    The parser calls the methods `on_...`; an exception raised there stops it. The parser and the exchange
    refer to each other until the answer is complete or `close` is called: what was received is freed then,
    and not when the garbage collector comes to it.
    """

    def __init__(self, method: bytes, target: bytes, headers: list[tuple[bytes, bytes]], body_bytes: int,
                 max_body_bytes: int) -> None:  # fmt: skip
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._max_body_bytes = max_body_bytes
        self._error = ""  # why the answer is invalid
        self._head_complete = self._complete = self._keep_alive = self._surplus = False
        self._ends_with_connection = False  # the answer has no length
        self._status = 0
        self._fields: dict[bytes, bytes | None] = {}
        self._field_count = 0
        self._body = PieceBuffer()
        self._received = self._head_fed = self._head_bytes = self._interim = 0
        lines = [b"%s %s HTTP/1.1" % (method, target), *(b"%s: %s" % header for header in headers)]
        if method != b"GET":
            lines.append(b"Content-Length: %d" % body_bytes)
        self.request_head = b"\r\n".join(lines) + b"\r\n\r\n"  # the caller sends the body behind it

    @property
    def held_bytes(self) -> int:
        """Return what is held of the answer that is being received; 0 once it is complete."""
        if self._parser is None:
            return 0
        return self._received + self._body.overhead_bytes + KEPT_FIELD_BYTES * len(self._fields)

    def receive(self, data: bytes) -> Answer | None:
        """Parse bytes, b"" for the end; return the answer once it is complete. Raises InvalidAnswer."""
        if not data:
            if not self._ends_with_connection:
                raise IncompleteAnswer("the connection ended before the answer was complete")
            return self._take_answer()
        if self._parser is None:
            raise InvalidAnswer("bytes for an exchange that is closed")
        self._received += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self._complete:
                raise InvalidAnswer(self._error or str(error)) from error
            self._surplus = True
        if not self._head_complete:
            self._head_fed += len(data)
            if self._head_fed > MAX_HEAD_BYTES:  # the parser buffers a field until it ends
                raise InvalidAnswer("a head of more than 16 KiB")
        return self._take_answer() if self._complete else None

    def _take_answer(self) -> Answer:
        reusable = self._keep_alive and not self._surplus
        body = self._body.take()
        self.close()
        return Answer(self._status, self._fields, body, reusable)

    def close(self) -> None:
        """Free what was received; nothing more is parsed."""
        self._parser = None
        self._ends_with_connection = False
        self._body.clear()

    def on_message_begin(self) -> None:
        """Reject a message that follows the complete answer: it belongs to no request."""
        if self._complete:
            raise InvalidAnswer("bytes behind a complete answer")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a field."""
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > MAX_HEAD_BYTES:
            self._stop("a head of more than 16 KiB")
        self._field_count += 1
        if self._field_count > MAX_FIELDS:
            self._stop(f"more than {MAX_FIELDS} fields")
        name = name.lower()
        self._fields[name] = None if name in self._fields else value

    def _stop(self, why: str) -> None:
        self._error = why
        raise InvalidAnswer(why)

    def on_headers_complete(self) -> None:
        """Check the framing before any of the body is stored."""
        assert self._parser is not None, "called by the parser"
        self._status, self._head_complete = self._parser.get_status_code(), True
        if 100 <= self._status < 200:
            return
        length = self._fields.get(b"content-length")
        if not {b"content-length", b"transfer-encoding"} & self._fields.keys():
            self._ends_with_connection = self._status not in STATUSES_WITHOUT_BODY
        elif length is not None and int(length) > self._max_body_bytes:
            self._stop(f"a body of {int(length)} bytes, more than {self._max_body_bytes}")

    def on_body(self, data: bytes) -> None:
        """Store a chunk of the body."""
        if len(self._body) + len(data) > self._max_body_bytes:
            self._stop(f"a body of more than {self._max_body_bytes} bytes")
        self._body.add(data)

    def on_message_complete(self) -> None:
        """Handle the end of a message: the final answer, or an interim one before it."""
        if 100 <= self._status < 200:
            self._interim += 1
            self._head_complete, self._head_fed = False, 0
            self._fields = {}
            if self._interim > MAX_INTERIM:
                self._stop("too many interim answers")
        else:
            assert self._parser is not None, "called by the parser"
            self._complete, self._keep_alive = True, self._parser.should_keep_alive()
