"""What clients ask of a head: one request after another on a connection, read strictly.

A request is read whole and checked before anybody hears of it. What can't be read raises `BadRequest`; the
connection is of no use after that. Nothing is told of a request that has more bytes right behind it: clients
send one at a time, and what hides in such bytes must never be passed on.
"""

from __future__ import annotations

import math
import re
from dataclasses import dataclass

import h11

from harriertrack.protocol.platform import MOST_BODY, MOST_HEAD

ID = re.compile(rb"[0-9a-fA-F]{16}")
COUNT = re.compile(rb"[0-9]{1,9}")
SIGNED = re.compile(rb"-1|[0-9]{1,9}")
NUMBER = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")
VISIBLE = re.compile(rb"[!-~]{1,200}")
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
class ClassForm:
    """What the requests of a class look like."""

    writes: bool
    keyed: bool


@dataclass(frozen=True, slots=True)
class Forms:
    """What requests may name and how large their figures may be."""

    classes: dict[str, ClassForm]
    plans: frozenset[str]
    most_units: float
    shards: int
    heads: int


@dataclass(frozen=True, slots=True)
class Ready:
    """Somebody asks whether the head is ready."""


@dataclass(frozen=True, slots=True)
class Asked:
    """A client's request. `target` and `key` go to a shelf as they came; times are milliseconds."""

    writes: bool
    target: bytes
    trace: bytes
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
    repeat: bool


def _matched(form: re.Pattern[bytes], value: bytes | None, what: str) -> bytes:
    if value is None or form.fullmatch(value) is None:
        raise BadRequest(400, f"{what} is missing or can't be read")
    return value


class CallerConnection:
    """One client's connection. Feed `receive`; answer each `Asked` or `Ready` before the next one is read."""

    def __init__(self, forms: Forms) -> None:
        self._forms = forms
        self._http = h11.Connection(h11.SERVER, MOST_HEAD)
        self._head: h11.Request | None = None
        self._body: list[bytes] = []
        self._length = 0

    @property
    def idle(self) -> bool:
        """Whether no byte of a next request has come."""
        return self._http.their_state is h11.IDLE and not self._http.trailing_data[0]

    def receive(self, data: bytes) -> Asked | Ready | None:
        """Take bytes; return a request that is whole and right. Raises BadRequest."""
        try:
            self._http.receive_data(data)
            while True:
                event = self._http.next_event()
                if event is h11.NEED_DATA:
                    return None
                if isinstance(event, h11.Request):
                    self._begin(event)
                elif isinstance(event, h11.Data):
                    self._length += len(event.data)
                    if self._length > MOST_BODY:
                        raise BadRequest(413, "a body of more than 64 KiB")
                    self._body.append(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    if self._http.trailing_data[0]:
                        raise BadRequest(400, "bytes behind a request that has no answer yet")
                    return self._whole()
                else:
                    raise BadRequest(400, "a request was cut off")
        except h11.RemoteProtocolError as error:
            raise BadRequest(error.error_status_hint, str(error)) from error

    def _begin(self, head: h11.Request) -> None:
        """Check what tells a body's length before any of it is kept."""
        self._head, self._body, self._length = head, [], 0
        # h11 bounds a head that is not whole; one that came whole in a single read may be longer.
        if len(head.target) + sum(len(name) + len(value) for name, value in head.headers) > MOST_HEAD:
            raise BadRequest(431, "a head of more than 16 KiB")
        lengths = [value for name, value in head.headers if name == b"content-length"]
        if any(name == b"transfer-encoding" for name, _ in head.headers):
            raise BadRequest(400, "a body is told by Content-Length alone")
        if lengths and int(lengths[0]) > MOST_BODY:
            raise BadRequest(413, "a body of more than 64 KiB")
        if head.method == b"PUT" and not lengths:
            raise BadRequest(411, "a write without Content-Length")
        if head.method == b"GET" and lengths and int(lengths[0]):
            raise BadRequest(400, "a read with a body")

    def _whole(self) -> Asked | Ready:
        head, forms = self._head, self._forms
        assert head is not None, "h11 ends no message that has not begun"
        path, _, query = head.target.partition(b"?")
        if path == READY_PATH and head.method == b"GET":
            return Ready()
        fields: dict[bytes, bytes] = {}
        for name, value in head.headers:
            if name in fields and (name.startswith(b"x-") or name == b"idempotency-key"):
                raise BadRequest(400, "a field is given twice")
            fields[name] = value
        class_name = path[1:].partition(b"/")[0].decode("latin-1")
        form = forms.classes.get(class_name)
        if form is None or not path.startswith(b"/"):
            raise BadRequest(404, "no such class")
        if head.method != (b"PUT" if form.writes else b"GET"):
            raise BadRequest(405, "reads use GET, writes use PUT")
        plan = fields.get(b"x-qos-policy", b"").decode("latin-1")
        if plan not in forms.plans:
            raise BadRequest(400, "no such plan")
        objects = [item[7:] for item in query.split(b"&") if item.startswith(b"object=")]
        if len(objects) != 1:
            raise BadRequest(400, "object is missing or given twice")
        key = fields.get(b"idempotency-key", b"")
        if form.keyed:
            _matched(VISIBLE, key, "Idempotency-Key")
        volume, units, shard, hosts = self._placement(fields.get(b"x-placement", b""))
        return Asked(
            form.writes, head.target, _matched(ID, fields.get(b"x-trace-id"), "X-Trace-Id"), key,
            b"".join(self._body), class_name, plan, _matched(ID, objects[0], "object").decode(), volume,
            units, shard, hosts, int(_matched(COUNT, fields.get(b"x-expires-in-ms"), "X-Expires-In-Ms")),
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
        if not 0 < units <= self._forms.most_units or not math.isfinite(units):
            raise BadRequest(400, "units out of bounds")
        if shard >= self._forms.shards or not 1 <= hosts <= self._forms.heads:
            raise BadRequest(400, "shard or hosts out of bounds")
        return volume, units, shard, hosts

    def answer(self, status: int, body: bytes, retry_after_us: int = 0, close: bool = False) -> bytes:
        """Return the bytes of the answer to what was read last; `close` ends the connection after it."""
        headers = [("Content-Length", str(len(body)))]
        if retry_after_us > 0:
            headers.append(("Retry-After", f"{retry_after_us / 1e6:.3f}"))
        if close:
            headers.append(("Connection", "close"))
        http = self._http
        reason = REASONS.get(status, b"")
        data = http.send(h11.Response(status_code=status, headers=headers, reason=reason)) or b""
        data += http.send(h11.Data(data=body)) or b""
        return data + (http.send(h11.EndOfMessage()) or b"")

    def again(self) -> bool:
        """Make ready for the next request after an answer; return whether the connection may have one."""
        if self._http.our_state is not h11.DONE or self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return True


def parting(status: int, why: str) -> bytes:
    """Return an answer after which the connection ends, whatever was read of the request."""
    body = why.encode("ascii", "replace") + b"\n"
    reason = REASONS.get(status, b"Error")
    return b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s" % (
        status, reason, len(body), body,
    )  # fmt: skip
