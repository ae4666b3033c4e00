"""What clients ask of a head: one request after another on a connection, read strictly.

A request is read whole and checked before anybody hears of it. What can't be read raises `BadRequest`; the
connection is of no use after that. Nothing is told of a request that has more bytes right behind it: clients
send one at a time, and what hides in such bytes must never be passed on.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

import httptools

from harriertrack.protocol.platform import MAX_BODY_BYTES, MAX_HEAD_BYTES

ID = re.compile(rb"[0-9a-fA-F]{16}")
COUNT = re.compile(rb"[0-9]{1,9}")
SIGNED = re.compile(rb"-1|[0-9]{1,9}")
NUMBER = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")
VISIBLE = re.compile(rb"[!-~]{1,200}")
TARGET = re.compile(rb"/[!-~]*")
TOO_LONG = "a head of more than 16 KiB"
READY_PATH = b"/-/ready"
REASONS = {
    200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed", 408: b"Request Timeout",
    409: b"Conflict", 411: b"Length Required", 413: b"Content Too Large",
    431: b"Request Header Fields Too Large", 500: b"Internal Server Error", 503: b"Service Unavailable",
}  # fmt: skip


class BadRequest(Exception):
    """A request that can't be taken; its connection ends with this answer."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


@dataclass(frozen=True, slots=True)
class ClassSchema:
    """What the requests of a class look like."""

    writes: bool
    keyed: bool


@dataclass(frozen=True, slots=True)
class RequestSchema:
    """What requests may name and how large their figures may be."""

    classes: dict[str, ClassSchema]
    plans: frozenset[str]
    max_units: float
    shards: int
    heads: int


@dataclass(frozen=True, slots=True)
class ReadinessCheck:
    """Somebody asks whether the head is ready."""


@dataclass(frozen=True, slots=True)
class PlatformRequest:
    """A client's request. `target` and `key` go to a shelf as they came; times are milliseconds."""

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


def _matched(form: re.Pattern[bytes], value: bytes | None, what: str) -> bytes:
    if value is None or form.fullmatch(value) is None:
        raise BadRequest(400, f"{what} is missing or can't be read")
    return value


class RequestParser:
    """One client's connection. Feed `receive`; answer each `Asked` or `Ready` before the next one is read.

    The methods `on_...` are called by the parser. What they find wrong they raise, which stops it: a client
    that sends on at full speed must cost no more than what was read of it until then.
    """

    def __init__(self, forms: RequestSchema) -> None:
        self._forms = forms
        self._parser = httptools.HttpRequestParser(self)
        self._bad: BadRequest | None = None
        self._headed = self._complete = False
        self._kept = True
        self._fed = 0  # bytes of a head that is not whole ...
        self._head = 0  # ... and of what of it was told
        self._target = b""
        self._fields: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []

    def receive(self, data: bytes) -> PlatformRequest | ReadinessCheck | None:
        """Take bytes; return a request that is whole and right. Raises BadRequest."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise self._bad or BadRequest(400, str(error)) from error
        if not self._headed:
            self._fed += len(data)
            if self._fed > MAX_HEAD_BYTES:  # the parser keeps a field until it ends
                raise BadRequest(431, TOO_LONG)
        return self._whole() if self._complete else None

    def _stop(self, status: int, why: str) -> None:
        self._bad = BadRequest(status, why)
        raise self._bad

    def _take_head(self, size: int) -> None:
        self._head += size
        if self._head > MAX_HEAD_BYTES:
            self._stop(431, TOO_LONG)

    def on_message_begin(self) -> None:
        """A message begins: none may, before the last one has its answer."""
        if self._complete:
            self._stop(400, "bytes behind a request that has no answer yet")

    def on_url(self, target: bytes) -> None:
        """Take a part of the target."""
        self._take_head(len(target))
        self._target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a field."""
        self._take_head(len(name) + len(value))
        self._fields.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check what tells a body's length before any of it is kept."""
        self._headed = True
        method, length = self._parser.get_method(), 0
        lengths = [value for name, value in self._fields if name == b"content-length"]
        if any(name == b"transfer-encoding" for name, _ in self._fields):
            self._stop(400, "a body is told by Content-Length alone")
        elif lengths and (length := int(lengths[0])) > MAX_BODY_BYTES:
            self._stop(413, "a body of more than 64 KiB")
        elif method == b"PUT" and not lengths:
            self._stop(411, "a write without Content-Length")
        elif method == b"GET" and length:
            self._stop(400, "a read with a body")

    def on_body(self, data: bytes) -> None:
        """Take a part of the body, which is no longer than was told."""
        self._body.append(data)

    def on_message_complete(self) -> None:
        """A request is whole."""
        self._complete, self._kept = True, self._parser.should_keep_alive()

    def _whole(self) -> PlatformRequest | ReadinessCheck:
        forms, method = self._forms, self._parser.get_method()
        target = _matched(TARGET, self._target, "the target")
        path, _, query = target.partition(b"?")
        if path == READY_PATH and method == b"GET":
            return ReadinessCheck()
        fields: dict[bytes, bytes] = {}
        for name, value in self._fields:
            if name in fields and (name.startswith(b"x-") or name == b"idempotency-key"):
                raise BadRequest(400, "a field is given twice")
            fields[name] = value
        class_name = path[1:].partition(b"/")[0].decode("latin-1")
        form = forms.classes.get(class_name)
        if form is None:
            raise BadRequest(404, "no such class")
        if method != (b"PUT" if form.writes else b"GET"):
            raise BadRequest(405, "reads use GET, writes use PUT")
        plan = fields.get(b"x-qos-policy", b"").decode("latin-1")
        if plan not in forms.plans:
            raise BadRequest(400, "no such plan")
        objects = [item[7:] for item in query.split(b"&") if item.startswith(b"object=")]
        if len(objects) != 1:
            raise BadRequest(400, "object is missing or given twice")
        idempotency_key = fields.get(b"idempotency-key", b"")
        if form.keyed:
            _matched(VISIBLE, idempotency_key, "Idempotency-Key")
        volume, units, shard, hosts = self._placement(fields.get(b"x-placement", b""))
        return PlatformRequest(
            form.writes, target, _matched(ID, fields.get(b"x-trace-id"), "X-Trace-Id"),
            idempotency_key if form.keyed else b"", b"".join(self._body), class_name, plan,
            _matched(ID, objects[0], "object").decode(), volume, units, shard, hosts,
            int(_matched(COUNT, fields.get(b"x-expires-in-ms"), "X-Expires-In-Ms")),
            fields.get(b"x-second-try", b"") == b"1",
        )  # fmt: skip

    def _placement(self, text: bytes) -> tuple[str, float, int, int]:
        given: dict[bytes, bytes] = {}
        for item in text.split(b","):
            name, _, value = item.strip().partition(b"=")
            if name in given:
                raise BadRequest(400, "X-Placement gives a figure twice")
            given[name] = value
        volume = _matched(ID, given.get(b"volume"), "volume").decode()
        units = float(_matched(NUMBER, given.get(b"units"), "units"))
        shard = int(_matched(SIGNED, given.get(b"shard"), "shard"))
        hosts = int(_matched(COUNT, given.get(b"hosts"), "hosts"))
        if not 0 < units <= self._forms.max_units:
            raise BadRequest(400, "units out of bounds")
        if shard >= self._forms.shards or not 1 <= hosts <= self._forms.heads:
            raise BadRequest(400, "shard or hosts out of bounds")
        return volume, units, shard, hosts

    def answer_head(self, status: int, length: int, retry_after_us: int = 0, close: bool = False) -> bytes:
        """Return the head of the answer to what was read last; `close` ends the connection after it."""
        head = b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n" % (status, REASONS.get(status, b"Error"), length)
        if retry_after_us > 0:
            head += b"Retry-After: %.3f\r\n" % (retry_after_us / 1e6)
        if close or not self._kept:
            head += b"Connection: close\r\n"
        return head + b"\r\n"

    def start_next(self) -> bool:
        """Make ready for the next request after an answer; return whether the connection may have one."""
        self._headed = self._complete = False
        self._fed = self._head = 0
        self._target = b""
        self._fields, self._body = [], []
        return self._kept


def closing_answer(status: int, why: str) -> bytes:
    """Return an answer after which the connection ends, whatever was read of the request."""
    body = why.encode("ascii", "replace") + b"\n"
    reason = REASONS.get(status, b"Error")
    return b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s" % (
        status, reason, len(body), body,
    )  # fmt: skip
