"""Clients of a day: open-loop load on each volume, checked against the model of its contents.

Arrivals are drawn ahead from the seed and never wait for answers. Each (volume, head) pair has one
connection; one that breaks is opened anew, under a new name.
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
RECONNECT_US = 50_000
OPEN_US = 1_000_000
COMMANDS = {
    "read": Command.READ,
    "write": Command.WRITE,
    "trim": Command.TRIM,
    "write-zeroes": Command.WRITE_ZEROES,
    "flush": Command.FLUSH,
}


Client = NbdClient | NvmeVolume
# What is to be done with an outcome and its reply; returns whether the reply's data is right.
Answered = Callable[[str, Reply | None], bool]


@dataclass(slots=True)
class Habits:
    """How clients behave now; troubles change it."""

    retries: int
    backoff_us: int
    heeds_hints: bool = False


class Connection:
    """One volume's connection to one head, opened again whenever it breaks."""

    def __init__(self, hub: Hub, network: Network, recorder: rec.Recorder, volume: str, head: str,
                 make: Callable[[str], Client] | None = None, supports_hints: bool = True,
                 patience_us: int = 0) -> None:  # fmt: skip
        self.supports_hints, self._patience_us = supports_hints, patience_us
        self.multipath, self.max_patience_us = False, 0
        contexts = (BASE_ALLOCATION, HINTS_CONTEXT) if supports_hints else (BASE_ALLOCATION,)
        self._hub, self._network, self._recorder = hub, network, recorder
        self._make = make or (lambda name: NbdClient(hub, network, name, contexts))
        self.volume, self.head = volume, head
        self.address: tuple[str, int] | None = None  # of the head; None while it is down
        self._client: Client | None = None
        self._unsent: deque[tuple[str, str, int, int, bytes, Answered, bool]] = deque()
        self._lives = 0
        self._requests = 0
        self.open = 0

    @property
    def name(self) -> str:
        """Name this life of the connection."""
        return f"{self.volume}@{self.head}#{self._lives}"

    @property
    def up(self) -> bool:
        """Whether requests can be sent."""
        return self._client is not None

    def stay_connected(self, scope: Scope) -> None:
        """Open the connection, and open it again after each break (the connection's task)."""
        while True:
            if self._client is None and self.address is not None:
                self._lives += 1
                client = self._make(self.name)
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
            # An answer that fits no open request among them: nothing a head may send.
            now = self._hub.now()
            self._recorder.add(rec.FinalAnswer(t=now, client=self.name, request=0, outcome="violation"))
        self._client = None
        self.forget_unsent()

    def forget_unsent(self) -> None:
        """Ask nothing more of what has not been sent."""
        unsent, self._unsent = self._unsent, deque()
        for one in unsent:
            one[5]("left", None)

    def leave(self) -> None:
        """Break the connection from the client's side."""
        if self._client is not None:
            self._recorder.add(rec.ClientLeft(t=self._hub.now(), client=self.name))
            client, self._client = self._client, None
            client.abort()

    def send(self, kind: str, class_name: str, start: int, length: int, data: bytes, then: Answered,
             again: bool = False) -> None:  # fmt: skip
        """Send a request; `then` gets (outcome, reply) once: served, refused, failed or left."""
        if not self.supports_hints and isinstance(self._client, NvmeVolume) and self._client.full:
            # A host keeps what its queue has no room for; the head has not got it.
            self._unsent.append((kind, class_name, start, length, data, then, again))
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

        def answered(reply: Reply | None) -> None:
            self.open -= 1
            now = self._hub.now()
            if reply is None:
                then("left", None)
                self._recorder.add(rec.ClientLeft(t=now, client=name))
                return
            outcome, hint = "failed", HINT.search(reply.message)
            if not reply.error:
                outcome = "served"
            elif reply.error in (REFUSED, Errno.ESHUTDOWN):
                outcome = "refused"
            right = then(outcome, reply)
            self._recorder.add(
                rec.FinalAnswer(
                    t=now,
                    client=name,
                    request=request,
                    outcome=outcome,
                    data_ok=right,
                    hint_us=int(hint[1]) if hint else 0,
                )  # fmt: skip
            )
            if self._unsent and self.up:
                self.send(*self._unsent.popleft())

        self.start(kind, start, length, data, answered)

    def start(
        self, kind: str, start: int, length: int, data: bytes, then: Callable[[Reply | None], None]
    ) -> None:
        """Send a request that is not recorded as one of the load."""
        assert self._client is not None
        length = 0 if kind == "write" else length * SECTOR
        self._client.start(COMMANDS[kind], start * SECTOR, length, data, then)


class RegisterClient:
    """A closed-loop client that writes and reads a few blocks which others use at the same time.

    Its blocks lie in the volume's last sectors, which no flow uses. Values are one client's own, so that a
    read tells whose write it saw.
    """

    def __init__(
        self, hub: Hub, recorder: rec.Recorder, connection: Connection, blocks: range, number: int, seed: int
    ) -> None:
        self._hub, self._recorder, self._connection = hub, recorder, connection
        self._blocks, self._number = blocks, number
        self._random = random.Random(seed)
        self._done = 0

    def run(self, until: int) -> None:
        """Do one operation after another (the client's task)."""
        while self._hub.now() < until:
            self._hub.sleep(self._random.randrange(40_000, 160_000))
            if self._connection.up:
                ended = Event(self._hub)
                self._operate(ended.set)
                ended.wait()

    def _operate(self, done: Callable[[], None]) -> None:
        self._done += 1
        name, number, block = f"register {self._number}", self._done, self._random.choice(self._blocks)
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

        def then(reply: Reply | None) -> None:
            served = reply is not None and not reply.error
            refused = reply is not None and reply.error in (REFUSED, Errno.ESHUTDOWN)
            read = int.from_bytes(reply.data[:8]) if reply is not None and reply.data else 0
            now = self._hub.now()
            self._recorder.add(
                rec.OperationReturned(
                    t=now, client=name, number=number, certain=served, refused=refused, value=read
                )
            )
            done()

        body = payload(value, 1) if is_write else b""
        self._connection.start("write" if is_write else "read", block, 1, body, then)


class Flow:
    """The load on one volume."""

    def __init__(
        self,
        hub: Hub,
        model: VolumeModel,
        connections: list[Connection],
        classes: list[tuple[str, frozenset[str], int]],
        habits: Habits,
        rate: float,
        most: int,
        seed: int,
    ) -> None:
        self._hub, self.model, self.connections = hub, model, connections
        self._classes, self._habits = classes, habits
        self.rate, self._most = rate, most
        self.rate_factor = 1.0  # of the rate, now
        self.hot: tuple[int, int] | None = None  # sectors that all reads go to
        self.scanning = -1  # next sector of a scan; below 0 for none
        self.preferred_connection = 0  # which connection most requests take
        self.heads: frozenset[str] = frozenset()  # that requests go to; empty: all
        self._random = random.Random(seed)
        self._tags = 0
        self.closed = False  # the day is over: nothing more is asked
        self.not_taken = 0  # arrivals while no head of the volume was reachable

    def run(self, until: int) -> None:
        """Send requests at their drawn times until a moment (the flow's task)."""
        at = self._hub.now()
        while True:
            at += int(self._random.expovariate(1.0) * 1e6 / (self.rate * self.rate_factor))
            if at >= until:
                return
            self._hub.sleep_until(at)
            self.ask(self._kind(), self._habits.retries)

    def _kind(self) -> str:
        drawn = self._random.random()
        for kind, share in (("read", 0.6), ("write", 0.34), ("flush", 0.02), ("write-zeroes", 0.02)):
            if drawn < share:
                return kind
            drawn -= share
        return "trim"

    def _connection(self) -> Connection | None:
        up = [one for one in self.connections if one.up]
        if self.heads:
            return self._random.choice([one for one in up if one.head in self.heads] or [None])
        if not up:
            return None
        first = self.connections[self.preferred_connection % len(self.connections)]
        return first if first.up and self._random.random() < 0.7 else self._random.choice(up)

    def ask(self, kind: str, tries_left: int, again: bool = False) -> None:
        """Send one request; after a refusal or failure ask again, as a new one, while the habits say so."""
        if self.closed:
            return
        connection = self._connection()
        if connection is None:
            self.not_taken += 1
            return
        model, start, length, data, tag = self.model, 0, 0, b"", 0
        if kind != "flush":
            near = self._random.choice(model.written) if kind == "read" and model.written else -1
            within = self.hot if kind == "read" else None
            if kind == "read" and self.scanning >= 0:
                near, self.scanning = self.scanning, (self.scanning + self._most) % model.sectors
            start, length = model.place(kind, self._most, within, -1 if within else near)
        if kind == "write":
            self._tags += 1
            tag = self._tags
            data = payload(tag, length)
        class_name = class_of(self._classes, kind, length * SECTOR)
        assert class_name is not None
        reading = model.begin_read(start, length) if kind == "read" else None
        if kind not in ("read", "flush"):
            model.begin_write(start, length, tag)

        def then(outcome: str, reply: Reply | None) -> bool:
            if kind not in ("read", "flush"):
                model.end_write(start, length, tag, outcome)
            if outcome in ("refused", "failed") and tries_left > 0:
                hint = HINT.search(reply.message) if reply is not None and self._habits.heeds_hints else None
                wait = max(self._habits.backoff_us, 1000, int(hint[1]) if hint else 0)
                self._hub.at(self._hub.now() + wait, lambda: self.ask(kind, tries_left - 1, True))
            if reading is None:
                return True
            return model.end_read(reading, reply.data if reply is not None and outcome == "served" else None)

        connection.send(kind, class_name, start, length, data, then, again)
