"""An NVMe/TCP host on the hub: for load generation, lab days, tests, and the command line."""

from __future__ import annotations

import uuid
from collections.abc import Callable

from harriertrack.protocol.nvme.admin import (
    DISCOVERY_NQN,
    DYNAMIC_CONTROLLER_ID,
    HOST_BEHAVIOR_BYTES,
    IDENTIFY_BYTES,
    MIN_PAGE_BYTES,
    AdminOpcode,
    Cns,
    ConnectData,
    ControllerInfo,
    DiscoveryEntry,
    FabricsCommandType,
    Feature,
    LogPage,
    NamespaceInfo,
    Property,
    parse_discovery_log,
)
from harriertrack.protocol.nvme.transport import (
    NO_DIGESTS,
    ConnectionTerminated,
    HostConnection,
    Initialized,
    ResponseReceived,
)
from harriertrack.protocol.nvme.wire import Cqe, DigestFlags, Sqe, Status
from harriertrack.runtime.hub import Hub, Scope, answer_of
from harriertrack.runtime.streams import Network, Stream

ENTRIES = 128
Then = Callable[[ResponseReceived | None], None]


class NvmeError(Exception):
    """The controller did not complete a command successfully; the text gives the status."""


class NvmeQueue:
    """One connection. `call` waits for a command's completion; `start` passes it to a callback."""

    def __init__(
        self, hub: Hub, network: Network, address: tuple[str, int], digests: DigestFlags, name: str
    ) -> None:
        self._hub, self._network, self._address, self._name = hub, network, address, name
        self._nvme = HostConnection(digests=digests)
        self._stream: Stream | None = None
        self._callbacks: dict[int, Then] = {}
        self._cid = 0
        self.broken = ""  # why the connection ended, if the controller reported it
        self._lost = False
        self.in_capsule = 0
        self.on_lost: Callable[[], None] | None = None

    def open(self, scope: Scope, deadline: int | None = None) -> None:
        """Connect; from then on a task of `scope` reads completions. Raises OSError, DeadlineExceeded."""
        stream = self._stream = self._network.connect(self._address, deadline, self._name)
        self._nvme.send_ic_req()
        self._push()
        while True:
            data = stream.read(deadline)
            if not data:
                raise ConnectionError("the controller closed the connection")
            events = self._nvme.receive(data)
            if any(isinstance(event, Initialized) for event in events):
                break
        scope.spawn(f"{self._name} replies", self._replies)

    def _push(self) -> None:
        assert self._stream is not None
        for data in self._nvme.take_outgoing():
            self._stream.write(data)

    def _replies(self) -> None:
        assert self._stream is not None
        try:
            while data := self._stream.read():
                for event in self._nvme.receive(data):
                    match event:
                        case ResponseReceived():
                            self._callbacks.pop(event.cqe.cid)(event)
                        case ConnectionTerminated():
                            self.broken = event.reason
                self._push()
                if self.broken:
                    break
        except OSError:
            pass
        finally:
            self._stream.close()
        self._lost = True
        lost, self._callbacks = self._callbacks, {}
        for callback in lost.values():
            callback(None)
        if self.on_lost is not None:
            self.on_lost()

    @property
    def full(self) -> bool:
        """Whether an I/O queue is full of open commands, so that the host may send no more."""
        return len(self._callbacks) >= ENTRIES - 1

    def start(self, sqe: Sqe, data: bytes, then: Then) -> int:
        """Send a command and return its new id; `then` gets the completion, or None if it is lost."""
        while True:
            self._cid = (self._cid + 1) % (1 << 16)
            if self._cid not in self._callbacks:
                break
        if self._lost:
            then(None)
            return self._cid
        self._callbacks[self._cid] = then
        numbered = Sqe(sqe.opcode, self._cid, sqe.nsid, sqe.cdw, length=sqe.length)
        self._nvme.submit(numbered, data, in_capsule=0 < len(data) <= self.in_capsule)
        self._push()
        return self._cid

    def call(self, sqe: Sqe, data: bytes = b"", deadline: int | None = None) -> ResponseReceived:
        """Send a command and wait for its completion. Raises ConnectionError if the connection is lost."""

        def send(then: Then) -> None:
            self.start(sqe, data, then)

        completed = answer_of(self._hub, send, deadline)
        if completed is None:
            raise ConnectionError(self.broken or "the connection was lost")
        return completed

    def must(self, sqe: Sqe, data: bytes = b"", deadline: int | None = None) -> ResponseReceived:
        """Send a command that must succeed. Raises NvmeError, ConnectionError."""
        done = self.call(sqe, data, deadline)
        if done.cqe.status != Status.SUCCESS:
            again = "" if done.cqe.dnr else "; may be tried again"
            raise NvmeError(f"command {sqe.opcode:#x} ended with status {done.cqe.status:#x}{again}")
        return done

    def close(self) -> None:
        """End the connection."""
        if self._stream is not None:
            self._stream.close()

    def abort(self) -> None:
        """Break the connection."""
        if self._stream is not None:
            self._stream.abort()


class NvmeClient:
    """One controller: its admin queue, and I/O queues on request."""

    def __init__(
        self,
        hub: Hub,
        network: Network,
        address: tuple[str, int],
        digests: DigestFlags = NO_DIGESTS,
        name: str = "host",
    ) -> None:
        self._hub, self._network, self._address, self._digests = hub, network, address, digests
        self._name = name
        self._host_id = uuid.uuid5(uuid.NAMESPACE_URL, name).bytes
        self._nqn = ""
        self.cntlid = DYNAMIC_CONTROLLER_ID
        self.info: ControllerInfo
        self.admin = NvmeQueue(hub, network, address, digests, f"{name} admin")
        self._queues = 0

    def connect(self, scope: Scope, nqn: str = DISCOVERY_NQN, keep_alive_ms: int = 0,
                deadline: int | None = None) -> ControllerInfo:  # fmt: skip
        """Connect to a controller and enable it. Raises OSError, DeadlineExceeded, NvmeError."""
        self._nqn = nqn
        self.admin.open(scope, deadline)
        self.cntlid = self._connect_queue(self.admin, 0, 32, keep_alive_ms, deadline)
        self.property_set(Property.CC, 1 | 6 << 16 | 4 << 20, deadline)
        if not self.property_get(Property.CSTS, deadline=deadline) & 1:
            raise NvmeError("the controller did not become ready")
        self.info = ControllerInfo.unpack(self.identify(Cns.CONTROLLER, deadline=deadline))
        return self.info

    def _connect_queue(
        self, queue: NvmeQueue, number: int, entries: int, keep_alive_ms: int, deadline: int | None
    ) -> int:
        data = ConnectData(
            self._host_id, self.cntlid, self._nqn, f"nqn.2014-08.org.nvmexpress:uuid:{self._name}"
        )
        # Without flow control: see SUCCESS.
        cdw = (number << 16, entries - 1 | 0b100 << 16, keep_alive_ms, 0, 0, 0)
        done = queue.must(Sqe(AdminOpcode.FABRICS, 0, FabricsCommandType.CONNECT, cdw), data.pack(), deadline)
        return done.cqe.dw0 & 0xFFFF

    def io(self, scope: Scope, deadline: int | None = None) -> NvmeQueue:
        """Connect one more I/O queue. Raises OSError, DeadlineExceeded, NvmeError."""
        self._queues += 1
        queue = NvmeQueue(
            self._hub, self._network, self._address, self._digests, f"{self._name} {self._queues}"
        )
        queue.open(scope, deadline)
        self._connect_queue(queue, self._queues, ENTRIES, 0, deadline)
        queue.in_capsule = self.info.in_capsule
        return queue

    def property_get(self, offset: Property, wide: bool = False, deadline: int | None = None) -> int:
        """Read a property. Raises NvmeError."""
        sqe = Sqe(AdminOpcode.FABRICS, 0, FabricsCommandType.PROPERTY_GET, (int(wide), offset, 0, 0, 0, 0))
        return self.admin.must(sqe, deadline=deadline).cqe.dw0

    def property_set(self, offset: Property, value: int, deadline: int | None = None) -> None:
        """Write a property. Raises NvmeError."""
        sqe = Sqe(AdminOpcode.FABRICS, 0, FabricsCommandType.PROPERTY_SET, (0, offset, value, 0, 0, 0))
        self.admin.must(sqe, deadline=deadline)

    def identify(self, cns: Cns, nsid: int = 0, deadline: int | None = None) -> bytes:
        """Return Identify data. Raises NvmeError."""
        sqe = Sqe(AdminOpcode.IDENTIFY, 0, nsid, (cns, 0, 0, 0, 0, 0), length=IDENTIFY_BYTES)
        return self.admin.must(sqe, deadline=deadline).data

    def namespaces(self, deadline: int | None = None) -> dict[int, NamespaceInfo]:
        """Return all namespaces. Raises NvmeError."""
        raw = self.identify(Cns.ACTIVE_LIST, deadline=deadline)
        nsids = [int.from_bytes(raw[at : at + 4], "little") for at in range(0, MIN_PAGE_BYTES, 4)]
        return {
            nsid: NamespaceInfo.unpack(self.identify(Cns.NAMESPACE, nsid, deadline)) for nsid in nsids if nsid
        }

    def log(self, page: LogPage, length: int, offset: int = 0, deadline: int | None = None) -> bytes:
        """Return a part of a log page. Raises NvmeError."""
        words = length // 4 - 1
        cdw = (page | (words & 0xFFFF) << 16, words >> 16, offset & 0xFFFFFFFF, offset >> 32, 0, 0)
        return self.admin.must(
            Sqe(AdminOpcode.GET_LOG_PAGE, 0, 0, cdw, length=length), deadline=deadline
        ).data

    def discover(self, deadline: int | None = None) -> list[DiscoveryEntry]:
        """Return the entries of a discovery controller. Raises NvmeError, ValueError."""
        count = int.from_bytes(self.log(LogPage.DISCOVERY, 1024, deadline=deadline)[8:16], "little")
        return parse_discovery_log(
            self.log(LogPage.DISCOVERY, 1024 * (min(count, 1000) + 1), deadline=deadline)
        )

    def queues(self, count: int, deadline: int | None = None) -> int:
        """Request a number of I/O queues; return how many the controller grants. Raises NvmeError."""
        sqe = Sqe(
            AdminOpcode.SET_FEATURES, 0, 0, (Feature.NUMBER_OF_QUEUES, (count - 1) * 0x10001, 0, 0, 0, 0)
        )
        return (self.admin.must(sqe, deadline=deadline).cqe.dw0 & 0xFFFF) + 1

    def heed_delays(self, deadline: int | None = None) -> None:
        """Announce that this host honors Command Retry Delay (ACRE). Raises NvmeError."""
        sqe = Sqe(AdminOpcode.SET_FEATURES, 0, 0, (Feature.HOST_BEHAVIOR, 0, 0, 0, 0, 0))
        self.admin.must(sqe, b"\1".ljust(HOST_BEHAVIOR_BYTES, b"\0"), deadline)

    def close(self) -> None:
        """End the admin queue, and with it the controller."""
        self.admin.close()


def io_sqe(opcode: int, nsid: int, block: int, blocks: int, fua: bool = False, expects: int = 0) -> Sqe:
    """Return the entry of a Read, Write, Compare or Write Zeroes that expects `expects` bytes of data."""
    cdw = (block & 0xFFFFFFFF, block >> 32, blocks - 1 | fua << 30, 0, 0, 0)
    return Sqe(opcode, 0, nsid, cdw, length=expects)


def refused(cqe: Cqe) -> bool:
    """Whether a command was refused without effect, so that a retry is safe."""
    return cqe.status in (Status.INTERRUPTED, Status.ANA_INACCESSIBLE) and not cqe.dnr
