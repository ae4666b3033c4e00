"""Stand-ins for the platform of a head: storage nodes, discovery, clients; and the head as a process.

They follow the pages of the protocol and of the deployment. Standard library only; all addresses are loopback.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import secrets
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 10, 11, 2  # of case.py, which `run.sh` turns into 0, 1 and 2; any other status is 2 too
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def tell(text: str) -> None:
    """Print a line; a reader that has gone changes no result."""
    with contextlib.suppress(OSError):
        os.write(1, text.encode() + b"\n")


class NotRun(Exception):
    """The case could not be played."""


class Record:
    """The record of a case: one line for everything that was sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started = time.monotonic()
        self.say("case", folder=folder.name, trouble=int(TROUBLE))

    def now_ms(self) -> float:
        return (time.monotonic() - self._started) * 1000

    def say(self, what: str, **fields: object) -> None:
        text = " ".join((what, *(f"{name}={value}" for name, value in fields.items())))
        self._file.write(f"{self.now_ms():10.1f} ms  {text}\n")
        self._file.flush()


@dataclass
class Message:
    """An HTTP message with a Content-Length, or a request without a body."""

    start: str
    fields: dict[str, str]
    body: bytes

    @property
    def method(self) -> str:
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        return int(self.start.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message. Raises IncompleteReadError at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    start, *lines = head.decode("latin-1").split("\r\n")[:-2]
    fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return Message(start, fields, body)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, as the system does for a process that dies."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    writer.transport.abort()


def response(status: int, body: bytes, *lines: str) -> bytes:
    """Return an answer with a length."""
    head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *lines]
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


@dataclass(eq=False)
class Shelf:
    """A storage node. `behave` answers a request that has come whole; it returns whether to keep the connection."""

    name: str
    cell: int
    record: Record
    behave: Callable[[Shelf, Message, asyncio.StreamWriter], Awaitable[bool]]
    zone: str = "zone-a"
    state: str = "in_service"
    started_ms: int = 0
    address: tuple[str, int] = ("127.0.0.1", 0)
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> Shelf:
        self.server = await asyncio.start_server(self._serve, *self.address)
        self.address = self.server.sockets[0].getsockname()[:2]
        return self

    def entry(self) -> dict:
        return {
            "id": self.name, "addr": f"{self.address[0]}:{self.address[1]}", "zone": self.zone, "kind": "node-a",
            "cell": self.cell, "state": self.state, "weight": 1.0, "started_ms": self.started_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                self.record.say(
                    "shelf got", shelf=self.name, id=message.fields.get("x-trace-id"), method=message.method,
                    key=message.fields.get("idempotency-key"), expires=message.fields.get("x-expires-in-ms"),
                )
                if not await self.behave(self, message, writer):
                    break
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass  # the head has closed, or the case is over
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self) -> None:
        """End as a process does that is killed: new connections are refused, open ones are reset."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            reset(writer)


class Discovery:
    """Discovery: the whole list, and watches on its changes."""

    def __init__(self, record: Record) -> None:
        self.version = 40
        self.record = record
        self.entries: dict[str, tuple[int, dict]] = {}
        self.calls: list[tuple[float, str]] = []
        self.address = ("127.0.0.1", 0)
        self._changed = asyncio.Condition()
        self.told: dict[int, float] = {}  # when each version was first written to a caller

    async def start(self) -> Discovery:
        self.server = await asyncio.start_server(self._serve, *self.address)
        self.address = self.server.sockets[0].getsockname()[:2]
        return self

    async def put(self, *shelves: Shelf) -> int:
        """List these shelves as they are now, as one new version."""
        async with self._changed:
            self.version += 1
            for shelf in shelves:
                self.entries[shelf.name] = (self.version, shelf.entry())
                self.record.say("discovery lists", version=self.version, shelf=shelf.name, state=shelf.state,
                                zone=shelf.zone, cell=shelf.cell)
            self._changed.notify_all()
            return self.version

    def whole(self) -> dict:
        servers = [entry for _, entry in self.entries.values() if entry["state"] != "terminated"]
        return {"version": self.version, "full": True, "servers": servers}

    def _changes(self, since: int) -> dict:
        servers = [entry for version, entry in self.entries.values() if version > since]
        return {"version": self.version, "full": False, "servers": servers}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                message = await read_message(reader)
                self.calls.append((self.record.now_ms(), message.target))
                _, _, query = message.target.partition("?")
                values = dict(item.split("=") for item in query.split("&") if item)
                if "since" not in values:
                    content = self.whole()
                else:
                    since = int(values["since"])
                    async with self._changed:
                        try:
                            async with asyncio.timeout(int(values.get("timeout_ms", "0")) / 1000):
                                await self._changed.wait_for(lambda: self.version > since)
                        except TimeoutError:
                            pass
                    content = self._changes(since) if since <= self.version else self.whole()
                writer.write(response(200, json.dumps(content).encode()))
                await writer.drain()
                if content["servers"]:
                    self.record.say("discovery answered", call=message.target, version=content["version"],
                                    entries=len(content["servers"]))
                self.told.setdefault(content["version"], self.record.now_ms())
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass  # the head has closed, or the case is over
        finally:
            writer.close()


def free_address() -> tuple[str, int]:
    """Return a loopback address for a head, as machines of their own have; outgoing connections never take it."""
    for _ in range(200):
        address = (f"127.{1 + secrets.randbelow(250)}.{secrets.randbelow(256)}.{1 + secrets.randbelow(250)}", 8080)
        with socket.socket() as sock:
            try:
                sock.bind(address)
            except OSError:
                continue
            return address
    raise NotRun("no free address")


def lane(name: str, idempotency: str, aim_ms: int, give_up_ms: int, group: str = "cell", window_ms: int = 2500,
         value: float = 1.0) -> dict:
    """Return a class of the settings."""
    return {
        "name": name, "idempotency": idempotency, "aimUs": aim_ms * 1000, "giveUpUs": give_up_ms * 1000,
        "group": group, "keyTtlUs": window_ms * 1000, "lateShare": 0.1, "streaming": False, "value": value,
    }


def settings(lanes: list[dict], writes: list[bool], **changes: dict) -> dict:
    """Return settings like the example of the wire's page, for one small deployment."""
    plan = {"baseRate": 200.0, "capSlack": 0.0, "ceilingRate": 0.0, "mostAtOnce": 0.0, "name": "standard",
            "pays": 1.0, "reserve": 200.0, "shares": 3.0}
    content = {
        "clients": {"marksRetry": True}, "contracts": [plan], "discovery": "on_request",
        "familyInfo": {"classWrites": writes, "coldUnits": 8.0, "countsOthers": False, "idleWorth": 0.05,
                       "mostUnits": 6, "shareWorth": 0.4, "slotsTotal": 4, "usePeriodUs": 0, "usualUnits": 1.99},
        "lanes": lanes, "layers": ["score-store"], "localities": ["zone-a", "zone-b"], "locality": "zone-a",
        "machineTypes": ["node-a", "node-b"], "nInstances": 1,
        "permissions": {"connIdleUs": 30000000, "dialTimeoutUs": 250000, "maxRetryAfterUs": 500000, "mayCancel": True,
                        "mostHeld": 33333, "peers": False, "probes": True, "retryAfter": True, "secondCopies": True,
                        "sendCap": 3, "streamsPerConn": 1},
        "report": {"fields": [], "how": "silent"},
        "safety": {"askWithinUs": 10000000, "drainGraceUs": 2000000, "fallUs": 2000000, "graceToAnswerUs": 8000,
                   "overloadFactor": 2.0, "startCapacity": 0.21, "warmAfterUs": 16000000},
        "selfIndex": 0, "tickUs": 2000, "tier": 0, "weights": "nominal", "workload": "stores",
    }
    for key, change in changes.items():
        content[key] = {**content[key], **change} if isinstance(change, dict) else change
    return content


class Head:
    """One head of the platform, started by the line `run` of the deploy file."""

    def __init__(self, record: Record, discovery: Discovery, content: dict, name: str = "n1",
                 address: tuple[str, int] | None = None, limits: dict | None = None) -> None:
        self.record, self.name = record, name
        self._folder = tempfile.TemporaryDirectory(prefix="head-")
        self.path = Path(self._folder.name) / "config.json"
        self.address = address or free_address()
        self.content = {
            "name": name, "listen": f"{self.address[0]}:{self.address[1]}", "discovery": f"127.0.0.1:{discovery.address[1]}",
            "seed": "8c1f30d27a5be964", "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": discovery.whole(), "settings": content,
        }
        self.process: subprocess.Popen | None = None
        self._log: asyncio.Task | None = None
        self.lines: list[str] = []

    def write_configuration(self) -> None:
        fresh = self.path.with_suffix(".new")
        fresh.write_text(json.dumps(self.content))
        fresh.replace(self.path)

    async def start(self) -> Head:
        self.write_configuration()
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            command = tomllib.load(file)["run"]
        temporary = Path(self._folder.name) / "tmp"
        temporary.mkdir(exist_ok=True)
        environment = {
            **os.environ, "PROXY_NAME": self.name, "PROXY_LISTEN": self.content["listen"],
            "PROXY_DISCOVERY": self.content["discovery"], "PROXY_CONFIG": str(self.path), "TMPDIR": str(temporary),
        }
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=subprocess.DEVNULL, stderr=subprocess.PIPE)
        self.record.say("head started", name=self.name, pid=self.process.pid, listen=self.content["listen"])
        self._log = asyncio.create_task(self._read_log())
        return self

    async def _read_log(self) -> None:
        assert self.process is not None and self.process.stderr is not None
        loop, reader = asyncio.get_running_loop(), asyncio.StreamReader()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), self.process.stderr)
        while line := await reader.readline():
            self.lines.append(line.decode("utf-8", "replace").rstrip())
            self.record.say("head log", name=self.name, line=repr(self.lines[-1][:300]))

    async def ready(self, seconds: float = 30) -> None:
        """Wait until the head answers its readiness check with 200."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process is not None and self.process.poll() is not None:
                raise NotRun(f"the head ended with {self.process.returncode}: {self.lines[-3:]}")
            try:
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n")
                message = await asyncio.wait_for(read_message(reader), 2)
                writer.close()
                if message.status == 200:
                    self.record.say("head ready", name=self.name)
                    return
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise NotRun("the head is not ready")

    def signal(self, number: int) -> None:
        assert self.process is not None
        self.record.say("signal", name=self.name, number=signal.Signals(number).name)
        self.process.send_signal(number)

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def memory_mb(self) -> float:
        """Return the process's own memory, in MiB: without pages of files, which the platform counts too."""
        assert self.process is not None
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024
        raise NotRun("this system does not tell a process's own memory")

    async def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()
        if self._log is not None:
            await asyncio.wait([self._log], timeout=1)
        self._folder.cleanup()


@dataclass
class Answer:
    """What a client got: a whole answer, or none (`status` 0), and when."""

    status: int
    body: bytes
    took_ms: float
    why: str = ""


def trace_id() -> str:
    return secrets.token_hex(8)


def request_bytes(trace: str, lane_name: str, method: str, expires_ms: int, cell: int, key: str = "", body: bytes = b"",
                  plan: str = "standard", units: int = 2, volume: str = "00000003b4d60021", hosts: int = 1,
                  obj: str = "") -> bytes:
    """Return a client's request as the protocol's page shows it."""
    lines = [
        f"{method} /{lane_name}?object={obj or secrets.token_hex(8)} HTTP/1.1", "Host: api.internal",
        f"X-Trace-Id: {trace}", f"X-Qos-Policy: {plan}", f"X-Expires-In-Ms: {expires_ms}",
        f"X-Placement: volume={volume},units={units},shard={cell},hosts={hosts}",
    ]
    if key:
        lines.append(f"Idempotency-Key: {key}")
    if method == "PUT":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def ask(record: Record, head: Head, trace: str, data: bytes, wait_s: float, say: str = "") -> Answer:
    """Send one request over a new connection and wait for its whole answer."""
    started = time.monotonic()

    def took() -> float:
        return (time.monotonic() - started) * 1000

    try:
        reader, writer = await asyncio.open_connection(*head.address)
    except OSError as error:
        return Answer(0, b"", took(), f"connect: {error}")
    try:
        writer.write(data)
        record.say("client sent", id=trace, line=repr(data.split(b"\r\n", 1)[0].decode()), note=say)
        message = await asyncio.wait_for(read_message(reader), wait_s)
        answer = Answer(message.status, message.body, took())
    except TimeoutError:
        answer = Answer(0, b"", took(), "no answer")
    except (asyncio.IncompleteReadError, OSError) as error:
        answer = Answer(0, b"", took(), f"closed: {type(error).__name__}")
    finally:
        writer.close()
    record.say("client got", id=trace, status=answer.status, body=repr(answer.body[:60]), why=answer.why,
               after_ms=round(answer.took_ms))
    return answer


def play(folder: Path, case: Callable[[Record], Awaitable[str]], seconds: float = 100) -> int:
    """Play a case; its result is a sentence, "" if the rule held. Return the exit status."""
    record = Record(folder)

    async def bounded() -> str:
        async with asyncio.timeout(seconds):
            return await case(record)

    try:
        broken = asyncio.run(bounded())
    except Exception as error:  # of the case or its stand-ins: it says nothing about the head
        record.say("could not run", why=repr(error))
        tell(f"could not run: {error!r}")
        return NOT_RUN
    record.say("result", broken=broken or "no")
    tell(f"broken: {broken}" if broken else "held")
    return BROKEN if broken else HELD
