"""Client requests to a head: a strict parser of one request after another on a connection.

A request is read completely and validated before it is returned. Invalid input raises `BadRequest`, after
which the connection can't be used. A request with more bytes right behind it is rejected too: clients send
one at a time, and a request smuggled in such bytes must never be forwarded.
"""

from __future__ import annotations

import re
from binascii import unhexlify
from dataclasses import dataclass

import httptools

from harriertrack.protocol.piece_buffer import PieceBuffer
from harriertrack.protocol.platform import KEPT_FIELD_BYTES, MAX_BODY_BYTES, MAX_FIELDS, MAX_HEAD_BYTES

ID = re.compile(rb"[0-9a-fA-F]{16}")
COUNT = re.compile(rb"[0-9]{1,9}")
SIGNED = re.compile(rb"-1|[0-9]{1,9}")
NUMBER = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")
VISIBLE = re.compile(rb"[!-~]{1,200}")
TARGET = re.compile(rb"/[!-~]*")
HEAD_TOO_LONG = "a head of more than 16 KiB"
FRAMING_FIELDS = frozenset((b"content-length", b"transfer-encoding"))
READY_PATH = b"/-/ready"
REASONS = {
    200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed", 408: b"Request Timeout",
    409: b"Conflict", 411: b"Length Required", 413: b"Content Too Large",
    431: b"Request Header Fields Too Large", 500: b"Internal Server Error", 503: b"Service Unavailable",
}  # fmt: skip


class BadRequest(Exception):
    """An invalid request; its connection ends with an answer of this status."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


@dataclass(frozen=True, slots=True)
class ClassSchema:
    """The form of the requests of a class."""

    writes: bool
    keyed: bool


@dataclass(frozen=True, slots=True)
class RequestSchema:
    """The names that requests may use, and the limits of their numbers."""

    classes: dict[str, ClassSchema]
    plans: frozenset[str]
    max_units: float
    shards: int
    heads: int


@dataclass(frozen=True, slots=True)
class ReadinessCheck:
    """A request for the readiness of the head."""


@dataclass(slots=True)
class PlatformRequest:
    """A client's request. `target` and `key` are forwarded to a node unchanged; times are in milliseconds."""

    writes: bool
    target: bytes
    trace_id: bytes
    key: bytes
    body: bytes
    class_name: str
    plan: str
    object: str
    volume: str
    units: float
    shard: int
    hosts: int
    expires_ms: int
    second_try: bool

    @property
    def identity(self) -> bytes:
        """Return the id as a number, in whatever case its digits came."""
        return unhexlify(self.trace_id)

    def take_body(self) -> bytes:
        """Return the body, and keep it no longer."""
        body, self.body = self.body, b""
        return body


def _match(form: re.Pattern[bytes], value: bytes | None, what: str) -> bytes:
    if value is None or form.fullmatch(value) is None:
        raise BadRequest(400, f"{what} is missing or can't be read")
    return value


class RequestParser:
    """Parses the requests of one connection; each has to be answered before the next one is read.

    The parser calls the methods `on_...`; the errors that they raise stop it at once, so that a client that
    keeps sending at full speed costs no more than the bytes read until then. The parser and this object refer
    to each other until `close` is called.
    """

    def __init__(self, schema: RequestSchema) -> None:
        self._schema = schema
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._error: BadRequest | None = None
        self._head_complete = self._complete = False
        self._keep_alive = True
        self._head_fed = 0  # bytes passed to the parser while the head is incomplete ...
        self._head_bytes = 0  # ... and bytes of it that the parser has reported
        self._received = 0  # bytes of the request so far
        self._target = b""
        self._field_count = 0
        self._fields: dict[bytes, bytes] = {}  # those that are used, or may not be given twice
        self._is_repeated = False  # one of the latter is
        self._body = PieceBuffer()

    @property
    def held_bytes(self) -> int:
        """Return what is held of the request that is being received, or was received last."""
        return self._received + self._body.overhead_bytes + KEPT_FIELD_BYTES * len(self._fields)

    def receive(self, data: bytes) -> PlatformRequest | ReadinessCheck | None:
        """Parse received bytes; return a request once it is complete and valid. Raises BadRequest."""
        if self._parser is None:
            raise BadRequest(400, "the connection accepts no further request")
        self._received += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise self._error or BadRequest(400, str(error)) from error
        if not self._head_complete:
            self._head_fed += len(data)
            if self._head_fed > MAX_HEAD_BYTES:  # the parser buffers a field until it ends
                raise BadRequest(431, HEAD_TOO_LONG)
        return self._parse() if self._complete else None

    def _stop(self, status: int, why: str) -> None:
        self._error = BadRequest(status, why)
        raise self._error

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > MAX_HEAD_BYTES:
            self._stop(431, HEAD_TOO_LONG)

    def on_message_begin(self) -> None:
        """Reject a message that begins before the previous one is answered."""
        if self._complete:
            self._stop(400, "bytes behind a request that has no answer yet")

    def on_url(self, target: bytes) -> None:
        """Store a part of the target."""
        self._count_head(len(target))
        self._target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a field that is used, or that may not be given twice."""
        self._count_head(len(name) + len(value))
        self._field_count += 1
        if self._field_count > MAX_FIELDS:
            self._stop(431, f"more than {MAX_FIELDS} fields")
        name = name.lower()
        if name.startswith(b"x-") or name == b"idempotency-key":
            self._is_repeated |= name in self._fields
            self._fields[name] = value
        elif name in FRAMING_FIELDS:
            self._fields.setdefault(name, value)

    def on_headers_complete(self) -> None:
        """Check the fields that define the body's length before any of the body is stored."""
        assert self._parser is not None, "called by the parser"
        self._head_complete = True
        method, length = self._parser.get_method(), self._fields.get(b"content-length")
        if b"transfer-encoding" in self._fields:
            self._stop(400, "a body is told by Content-Length alone")
        elif length is not None and int(length) > MAX_BODY_BYTES:
            self._stop(413, "a body of more than 64 KiB")
        elif method == b"PUT" and length is None:
            self._stop(411, "a write without Content-Length")
        elif method == b"GET" and length is not None and int(length):
            self._stop(400, "a read with a body")

    def on_body(self, data: bytes) -> None:
        """Store a chunk of the body; its total length was checked with the fields."""
        self._body.add(data)

    def on_message_complete(self) -> None:
        """Handle the end of a request."""
        assert self._parser is not None, "called by the parser"
        self._complete, self._keep_alive = True, self._parser.should_keep_alive()

    def _parse(self) -> PlatformRequest | ReadinessCheck:
        assert self._parser is not None, "a request is complete"
        schema, method = self._schema, self._parser.get_method()
        target = _match(TARGET, self._target, "the target")
        path, _, query = target.partition(b"?")
        if path == READY_PATH and method == b"GET":
            return ReadinessCheck()
        if self._is_repeated:
            raise BadRequest(400, "a field is given twice")
        fields = self._fields
        class_name = path[1:].partition(b"/")[0].decode("latin-1")
        form = schema.classes.get(class_name)
        if form is None:
            raise BadRequest(404, "no such class")
        if method != (b"PUT" if form.writes else b"GET"):
            raise BadRequest(405, "reads use GET, writes use PUT")
        plan = fields.get(b"x-qos-policy", b"").decode("latin-1")
        if plan not in schema.plans:
            raise BadRequest(400, "no such plan")
        objects = [item[7:] for item in query.split(b"&") if item.startswith(b"object=")]
        if len(objects) != 1:
            raise BadRequest(400, "object is missing or given twice")
        idempotency_key = fields.get(b"idempotency-key", b"")
        if form.keyed:
            _match(VISIBLE, idempotency_key, "Idempotency-Key")
        volume, units, shard, hosts = self._placement(fields.get(b"x-placement", b""))
        body = self._body.take()
        return PlatformRequest(
            form.writes, target, _match(ID, fields.get(b"x-trace-id"), "X-Trace-Id"),
            idempotency_key if form.keyed else b"", body, class_name, plan,
            _match(ID, objects[0], "object").decode(), volume, units, shard, hosts,
            int(_match(COUNT, fields.get(b"x-expires-in-ms"), "X-Expires-In-Ms")),
            fields.get(b"x-second-try", b"") == b"1",
        )  # fmt: skip

    def _placement(self, text: bytes) -> tuple[str, float, int, int]:
        given: dict[bytes, bytes] = {}
        for item in text.split(b","):
            name, _, value = item.strip().partition(b"=")
            if name in given:
                raise BadRequest(400, "X-Placement gives a figure twice")
            given[name] = value
        volume = _match(ID, given.get(b"volume"), "volume").decode()
        units = float(_match(NUMBER, given.get(b"units"), "units"))
        shard = int(_match(SIGNED, given.get(b"shard"), "shard"))
        hosts = int(_match(COUNT, given.get(b"hosts"), "hosts"))
        if not 0 < units <= self._schema.max_units:
            raise BadRequest(400, "units out of bounds")
        if shard >= self._schema.shards or not 1 <= hosts <= self._schema.heads:
            raise BadRequest(400, "shard or hosts out of bounds")
        return volume, units, shard, hosts

    def answer_head(self, status: int, length: int, retry_after_us: int = 0, close: bool = False) -> bytes:
        """Return the head of the answer to the last request; `close` announces the end of the connection."""
        head = b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n" % (status, REASONS.get(status, b"Error"), length)
        if retry_after_us > 0:
            head += b"Retry-After: %.3f\r\n" % (retry_after_us / 1e6)
        if close or not self._keep_alive:
            head += b"Connection: close\r\n"
        return head + b"\r\n"

    def start_next(self) -> bool:
        """Reset for the next request after an answer; return whether the connection may carry one."""
        self._head_complete = self._complete = self._is_repeated = False
        self._head_fed = self._head_bytes = self._received = self._field_count = 0
        self._target = b""
        self._fields = {}
        self._body.clear()
        return self._keep_alive

    def close(self) -> None:
        """Free what was received of a request; nothing more is parsed."""
        self._parser = self._error = None
        self._received = 0
        self._fields = {}
        self._body.clear()


def closing_answer(status: int, why: str) -> bytes:
    """Return an answer that ends the connection, regardless of how much of the request was read."""
    body = why.encode("ascii", "replace") + b"\n"
    reason = REASONS.get(status, b"Error")
    return b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s" % (
        status, reason, len(body), body,
    )  # fmt: skip
