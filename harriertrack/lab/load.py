"""Clients of a day: open-loop load on each volume, whose replies are checked against a model of its contents.

Arrival times are drawn from a seed and never depend on replies. Each (volume, head) pair has one connection;
after a loss it is reopened under a new name.
"""

from __future__ import annotations

import random
import re
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from harriertrack.decisions.splitting import class_of
from harriertrack.gateway.client import NbdClient, NbdClientError
from harriertrack.gateway.front import REFUSED
from harriertrack.gateway.nvme_client import NvmeError
from harriertrack.lab.fronts import NvmeVolume
from harriertrack.lab.model import SECTOR, VolumeModel, payload
from harriertrack.protocol.nbd.client import Reply
from harriertrack.protocol.nbd.extension import HINTS_CONTEXT
from harriertrack.protocol.nbd.wire import BASE_ALLOCATION, Command, Errno, ProtocolViolation
from harriertrack.rules import recording as rec
from harriertrack.runtime.hub import DeadlineExceeded, Event, Hub, Scope
from harriertrack.runtime.streams import Network

HINT = re.compile(r"retry-after-us=(\d+)")
RECONNECT_US = 50_000  # interval between attempts to open a connection
OPEN_US = 1_000_000  # time limit for opening a connection
COMMANDS = {
    "read": Command.READ,
    "write": Command.WRITE,
    "trim": Command.TRIM,
    "write-zeroes": Command.WRITE_ZEROES,
    "flush": Command.FLUSH,
}


Client = NbdClient | NvmeVolume
# Called with the outcome of a request and its reply, if any; returns whether the reply's data is correct.
OnOutcome = Callable[[str, Reply | None], bool]


@dataclass(slots=True)
class RetryPolicy:
    """How clients currently retry requests; faults change it during a day."""

    retries: int
    backoff_us: int
    heeds_hints: bool = False


class Connection:
    """A client's connection to one head for one volume, reopened whenever it is lost."""

    def __init__(self, hub: Hub, network: Network, recorder: rec.Recorder, volume: str, head: str,
                 new_client: Callable[[str], Client] | None = None, supports_hints: bool = True,
                 patience_us: int = 0) -> None:  # fmt: skip
        self.supports_hints, self._patience_us = supports_hints, patience_us
        # Emulated connections are sessions of the head's reception, which reads these two attributes.
        self.multipath, self.max_patience_us = False, 0
        contexts = (BASE_ALLOCATION, HINTS_CONTEXT) if supports_hints else (BASE_ALLOCATION,)
        self._hub, self._network, self._recorder = hub, network, recorder
        self._new_client = new_client or (lambda name: NbdClient(hub, network, name, contexts))
        self.volume, self.head = volume, head
        self.address: tuple[str, int] | None = None  # address of the head; None while it is down
        self._client: Client | None = None
        self._unsent: deque[tuple[str, str, int, int, bytes, OnOutcome, bool]] = deque()
        self._incarnation = 0  # times that the connection has been opened
        self._requests = 0
        self.open = 0  # requests without a reply

    @property
    def name(self) -> str:
        """The client's name in the recording; a reopened connection has a new one."""
        return f"{self.volume}@{self.head}#{self._incarnation}"

    @property
    def up(self) -> bool:
        """Whether requests can be sent."""
        return self._client is not None

    def stay_connected(self, scope: Scope) -> None:
        """Open the connection, and reopen it after each loss (the connection's task)."""
        while True:
            if self._client is None and self.address is not None:
                self._incarnation += 1
                client = self._new_client(self.name)
                try:
                    deadline = self._hub.now() + OPEN_US
                    client.open(self.address, deadline)
                    client.go(scope, self.volume, deadline)
                except (OSError, DeadlineExceeded, NbdClientError, NvmeError, ProtocolViolation):
                    client.abort()
                else:
                    client.on_lost = self._lost
                    self._client = client
            self._hub.sleep(RECONNECT_US)

    def _lost(self) -> None:
        if self._client is not None and self._client.violation:
            # The head broke the protocol, for example with a reply that matches no open request.
            now = self._hub.now()
            self._recorder.add(rec.FinalAnswer(t=now, client=self.name, request=0, outcome="violation"))
        self._client = None
        self.forget_unsent()

    def forget_unsent(self) -> None:
        """Drop the requests that have not been sent."""
        unsent, self._unsent = self._unsent, deque()
        for request in unsent:
            request[5]("left", None)

    def disconnect(self) -> None:
        """Close the connection from the client's side."""
        if self._client is not None:
            self._recorder.add(rec.ClientLeft(t=self._hub.now(), client=self.name))
            client, self._client = self._client, None
            client.abort()

    def send(self, kind: str, class_name: str, start: int, length: int, data: bytes,
             on_outcome: OnOutcome, again: bool = False) -> None:  # fmt: skip
        """Send a request; `on_outcome` gets (outcome, reply) once: served, refused, failed or left."""
        if not self.supports_hints and isinstance(self._client, NvmeVolume) and self._client.full:
            # The host holds back what its full queue has no room for; the head has not received it.
            self._unsent.append((kind, class_name, start, length, data, on_outcome, again))
            return
        name = self.name
        self._requests += 1
        request = self._requests
        self._recorder.add(
            rec.RequestSent(
                t=self._hub.now(),
                head=self.head,
                client=name,
                request=request,
                volume=self.volume,
                kind=kind,
                class_name=class_name,
                offset=start * SECTOR,
                length=length * SECTOR,
                again=again,
                patience_us=0 if self.supports_hints else self._patience_us,
            )
        )
        self.open += 1

        def reply_received(reply: Reply | None) -> None:
            self.open -= 1
            now = self._hub.now()
            if reply is None:
                on_outcome("left", None)
                self._recorder.add(rec.ClientLeft(t=now, client=name))
                return
            outcome, hint = "failed", HINT.search(reply.message)
            if not reply.error:
                outcome = "served"
            elif reply.error in (REFUSED, Errno.ESHUTDOWN):
                outcome = "refused"
            data_ok = on_outcome(outcome, reply)
            self._recorder.add(
                rec.FinalAnswer(
                    t=now,
                    client=name,
                    request=request,
                    outcome=outcome,
                    data_ok=data_ok,
                    hint_us=int(hint[1]) if hint else 0,
                )  # fmt: skip
            )
            if self._unsent and self.up:
                self.send(*self._unsent.popleft())

        self.start(kind, start, length, data, reply_received)

    def start(
        self, kind: str, start: int, length: int, data: bytes, on_reply: Callable[[Reply | None], None]
    ) -> None:
        """Send a request without recording it."""
        assert self._client is not None
        length = 0 if kind == "write" else length * SECTOR
        self._client.start(COMMANDS[kind], start * SECTOR, length, data, on_reply)


class RegisterClient:
    """A closed-loop client that writes and reads a few blocks concurrently with other such clients.

    The blocks lie in the volume's last sectors, which no flow uses. Each written value is unique, so
    a read shows which client and which write it observed.
    """

    def __init__(
        self, hub: Hub, recorder: rec.Recorder, connection: Connection, blocks: range, number: int, seed: int
    ) -> None:
        self._hub, self._recorder, self._connection = hub, recorder, connection
        self._blocks, self._number = blocks, number
        self._random = random.Random(seed)
        self._operations = 0

    def run(self, end: int) -> None:
        """Perform one operation after another until `end` (the client's task)."""
        while self._hub.now() < end:
            self._hub.sleep(self._random.randrange(40_000, 160_000))
            if self._connection.up:
                ended = Event(self._hub)
                self._operate(ended.set)
                ended.wait()

    def _operate(self, on_done: Callable[[], None]) -> None:
        self._operations += 1
        name, number, block = f"register {self._number}", self._operations, self._random.choice(self._blocks)
        is_write = self._random.random() < 0.5
        value = self._number * 1_000_000 + number if is_write else 0
        self._recorder.add(
            rec.OperationCalled(
                t=self._hub.now(),
                client=name,
                number=number,
                volume=self._connection.volume,
                block=block,
                is_write=is_write,
                value=value,
            )
        )

        def on_reply(reply: Reply | None) -> None:
            served = reply is not None and not reply.error
            refused = reply is not None and reply.error in (REFUSED, Errno.ESHUTDOWN)
            read = int.from_bytes(reply.data[:8]) if reply is not None and reply.data else 0
            now = self._hub.now()
            self._recorder.add(
                rec.OperationReturned(
                    t=now, client=name, number=number, certain=served, refused=refused, value=read
                )
            )
            on_done()

        body = payload(value, 1) if is_write else b""
        self._connection.start("write" if is_write else "read", block, 1, body, on_reply)


class Flow:
    """The open-loop load on one volume."""

    def __init__(
        self,
        hub: Hub,
        model: VolumeModel,
        connections: list[Connection],
        classes: list[tuple[str, frozenset[str], int]],
        retry_policy: RetryPolicy,
        rate: float,
        max_sectors: int,
        seed: int,
    ) -> None:
        self._hub, self.model, self.connections = hub, model, connections
        self._classes, self._retry_policy = classes, retry_policy
        self.rate, self._max_sectors = rate, max_sectors
        self.rate_factor = 1.0  # current multiple of the rate
        self.hot_sectors: tuple[int, int] | None = None  # range of sectors that all reads go to
        self.next_scan_sector = -1  # next sector of a sequential scan; negative without a scan
        self.preferred_connection = 0  # index of the connection that gets most requests
        self.heads: frozenset[str] = frozenset()  # names of the only heads that get requests; empty: all
        self._random = random.Random(seed)
        self._tags = 0
        self.closed = False  # the day is over: no more requests are sent
        self.unsent_arrivals = 0  # arrivals while no head of the volume was connected

    def run(self, end: int) -> None:
        """Send requests at the drawn arrival times until `end` (the flow's task)."""
        arrival = self._hub.now()
        while True:
            arrival += int(self._random.expovariate(1.0) * 1e6 / (self.rate * self.rate_factor))
            if arrival >= end:
                return
            self._hub.sleep_until(arrival)
            self.send_request(self._draw_kind(), self._retry_policy.retries)

    def _draw_kind(self) -> str:
        drawn = self._random.random()
        for kind, share in (("read", 0.6), ("write", 0.34), ("flush", 0.02), ("write-zeroes", 0.02)):
            if drawn < share:
                return kind
            drawn -= share
        return "trim"

    def _choose_connection(self) -> Connection | None:
        up = [connection for connection in self.connections if connection.up]
        if self.heads:
            return self._random.choice(
                [connection for connection in up if connection.head in self.heads] or [None]
            )
        if not up:
            return None
        preferred = self.connections[self.preferred_connection % len(self.connections)]
        return preferred if preferred.up and self._random.random() < 0.7 else self._random.choice(up)

    def send_request(self, kind: str, retries_left: int, again: bool = False) -> None:
        """Send a request; a refused or failed one is retried as a new request, up to `retries_left` times."""
        if self.closed:
            return
        connection = self._choose_connection()
        if connection is None:
            self.unsent_arrivals += 1
            return
        model, start, length, data, tag = self.model, 0, 0, b"", 0
        if kind != "flush":
            near = self._random.choice(model.written) if kind == "read" and model.written else -1
            within = self.hot_sectors if kind == "read" else None
            if kind == "read" and self.next_scan_sector >= 0:
                near = self.next_scan_sector
                self.next_scan_sector = (self.next_scan_sector + self._max_sectors) % model.sectors
            start, length = model.place(kind, self._max_sectors, within, -1 if within else near)
        if kind == "write":
            self._tags += 1
            tag = self._tags
            data = payload(tag, length)
        class_name = class_of(self._classes, kind, length * SECTOR)
        assert class_name is not None
        reading = model.begin_read(start, length) if kind == "read" else None
        if kind not in ("read", "flush"):
            model.begin_write(start, length, tag)

        def on_outcome(outcome: str, reply: Reply | None) -> bool:
            if kind not in ("read", "flush"):
                model.end_write(start, length, tag, outcome)
            if outcome in ("refused", "failed") and retries_left > 0:
                hint = (
                    HINT.search(reply.message)
                    if reply is not None and self._retry_policy.heeds_hints
                    else None
                )
                wait_us = max(self._retry_policy.backoff_us, 1000, int(hint[1]) if hint else 0)
                self._hub.at(
                    self._hub.now() + wait_us, lambda: self.send_request(kind, retries_left - 1, True)
                )
            if reading is None:
                return True
            return model.end_read(reading, reply.data if reply is not None and outcome == "served" else None)

        connection.send(kind, class_name, start, length, data, on_outcome, again)
