"""Clients of a soak: each sends one request at a time over its connection for as long as that stays open."""

from __future__ import annotations

from itertools import count
from random import Random

from harriertrack.lab.soak.heads import SoakHead
from harriertrack.lab.soak.parties import Add
from harriertrack.lab.soak.plan import MS, POSTS, READS, SECOND, WRITES, Plan
from harriertrack.rules import platform_recording as rec
from harriertrack.runtime.hub import DeadlineExceeded, Hub, Scope
from harriertrack.runtime.streams import Network, Stream
from harriertrack.standin.platform import read_message

SILENT_US = 700 * MS  # after its time, a request without an answer is given up this much later
RETURN_SHARE = 0.5  # of the requests that are left, which come again with the same id ...
RETURN_US = 250 * MS  # ... after this long: by then the head has seen that their client has left
LEAVE_SHARE = 0.02  # of the requests, by clients that close their connection before the answer
CAPPED_SHARE = 0.05
RECONNECT_US = 40 * MS  # how long a client waits after a connection was refused
CLASSES = ((READS, 0.6), (WRITES, 0.85), (POSTS, 1.0))  # with the cumulative share of each
CROWD_GAP_US = 30 * MS  # between the arrivals of two of a crowd


class SoakClients:
    """All clients of one head."""

    def __init__(self, hub: Hub, network: Network, head: SoakHead, plan: Plan, numbers: count[int],
                 add: Add) -> None:  # fmt: skip
        self._hub, self._network, self._head, self._plan = hub, network, head, plan
        self._numbers, self._add = numbers, add
        self._random = Random(f"{plan.seed} {head.name}")
        self._waits = {lane["name"]: lane["giveUpUs"] for lane in plan.settings["lanes"]}

    def start(self, scope: Scope, until: int) -> None:
        """Start the clients; they send nothing new after `until`."""
        for _ in range(self._plan.clients):
            scope.spawn("client", self._run_client, until)
        if self._plan.crowd:
            scope.spawn("crowd", self._run_crowd, scope, until)

    def _run_client(self, until: int) -> None:
        stream: Stream | None = None
        try:
            while self._hub.now() < until:
                self._hub.sleep(int(self._random.expovariate(1 / self._plan.gap_us)))
                stream = self._send_request(stream)
        finally:
            if stream is not None:
                stream.close()

    def _connect(self) -> Stream | None:
        if not self._head.accepts_new_connections:
            return None
        try:
            return self._network.connect(self._head.address, self._hub.now() + 1 * SECOND, "client")
        except (OSError, DeadlineExceeded):
            return None

    def _send_request(self, stream: Stream | None) -> Stream | None:
        """Send one request, on a new connection if there is none; return the connection if it stays open."""
        fresh = stream is None or not stream.silent()
        if fresh:
            if stream is not None:
                stream.close()
            stream = self._connect()
            if stream is None:
                self._hub.sleep(RECONNECT_US)
                return None
        assert stream is not None
        number = next(self._numbers)
        sent, message = self._request(number)
        outcome = self._exchange(stream, sent, message, fresh)
        if outcome in ("closed", "reset") and not fresh:
            stream.close()
            stream = self._connect()  # the close crossed the request: once more, on a new connection
            outcome = "not taken" if stream is None else self._exchange(stream, sent, message, True)
        if outcome:
            self._add(rec.RequestEnded(t=self._hub.now(), trace=sent.trace, status=0, how=outcome))
            if stream is not None:
                stream.close()
            if outcome == "left" and self._random.random() < RETURN_SHARE:
                self._return(sent.trace, message)
            return None
        return stream

    def _return(self, trace: str, message: bytes) -> None:
        """Send a request again that was left, over a new connection."""
        self._hub.sleep(RETURN_US)
        if (stream := self._connect()) is None:
            return
        sent_at, status = self._hub.now(), 0
        try:
            stream.write(message)
            head, _, _ = read_message(stream, b"", sent_at + max(self._waits.values()) + SILENT_US)
            status = int(head.split(b" ")[1]) if head else 0
        except (OSError, DeadlineExceeded):
            pass
        finally:
            stream.close()
        self._add(rec.RequestReturned(t=sent_at, trace=trace, status=status))

    def _request(self, number: int) -> tuple[rec.RequestSent, bytes]:
        draw, trace = self._random.random(), f"{number:016x}"
        class_name = next(name for name, share in CLASSES if draw < share)
        capped = self._random.random() < CAPPED_SHARE
        plan, volume = ("capped", "c" * 16) if capped else ("gold", f"{hash_of(self._head.name):016x}")
        hosts = self._plan.heads if capped else 1
        wait_us = int(self._waits[class_name] * self._random.uniform(0.3, 1.0)) // MS * MS
        shard, units = self._random.randrange(self._plan.nodes), self._random.choice((1, 1, 1, 2))
        body = b"x" * self._random.choice((0, 100, 3_000)) if class_name != READS else b""
        lines = [
            f"{'GET' if class_name == READS else 'PUT'} /{class_name}?object={number:016x} HTTP/1.1",
            "Host: h",
            f"X-Trace-Id: {trace}",
            f"X-Qos-Policy: {plan}",
            f"X-Expires-In-Ms: {wait_us // MS}",
            f"X-Placement: volume={volume},units={units},shard={shard},hosts={hosts}",
        ]
        if class_name == WRITES:
            lines.append(f"Idempotency-Key: k{number}")
        if class_name != READS:
            lines.append(f"Content-Length: {len(body)}")
        sent = rec.RequestSent(
            t=0, head=self._head.name, trace=trace, class_name=class_name, wait_us=wait_us, volume=volume,
            units=float(units), fresh=False,
        )  # fmt: skip
        return sent, "\r\n".join([*lines, "", ""]).encode() + body

    def _exchange(self, stream: Stream, sent: rec.RequestSent, message: bytes, fresh: bool) -> str:
        """Send a request and wait for its answer; return how it ended without one, or nothing."""
        now = self._hub.now()
        try:
            stream.write(message)
        except OSError:
            return "closed"  # before the request was sent
        self._add(
            rec.RequestSent(
                t=now, head=sent.head, trace=sent.trace, class_name=sent.class_name, wait_us=sent.wait_us,
                volume=sent.volume, units=sent.units, fresh=fresh,
            )
        )  # fmt: skip
        leaves = self._random.random() < LEAVE_SHARE
        patience_us = self._random.randint(1, 30) * MS if leaves else sent.wait_us + SILENT_US
        try:
            head, _, _ = read_message(stream, b"", now + patience_us)
        except DeadlineExceeded:
            return "left" if leaves else "silent"
        except OSError:
            return "reset"
        if not head:
            return "closed"
        status = int(head.split(b" ")[1])
        self._add(rec.RequestEnded(t=self._hub.now(), trace=sent.trace, status=status))
        return ""

    def _run_crowd(self, scope: Scope, until: int) -> None:
        """Open connections that send nothing, or half a request, and keep them until the head ends them."""
        streams: list[Stream] = []
        try:
            while self._hub.now() < until:
                self._hub.sleep(int(self._random.expovariate(1 / CROWD_GAP_US)))
                streams = _still_open(streams)
                if len(streams) < self._plan.crowd and (stream := self._connect()) is not None:
                    if self._random.random() < 0.5:
                        stream.write(b"GET /look?object=")
                    streams.append(stream)
        finally:
            for stream in streams:
                stream.close()


def _still_open(streams: list[Stream]) -> list[Stream]:
    """Close the streams that their head has closed; return the others."""
    still_open = []
    for stream in streams:
        if stream.silent():
            still_open.append(stream)
        else:
            stream.close()
    return still_open


def hash_of(name: str) -> int:
    """Return a number for a head's own volume."""
    return int.from_bytes(name.encode(), "big")
