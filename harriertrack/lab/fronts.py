"""The client-facing fronts of a day, and an adapter from an NVMe/TCP host to the interface of `NbdClient`."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum

from harriertrack.config.settings import NvmeSettings
from harriertrack.gateway.front import FAILED, REFUSED
from harriertrack.gateway.nvme import DELAY_UNIT_US, FUA, guid_of
from harriertrack.gateway.nvme_client import NvmeClient, NvmeError, NvmeQueue, io_sqe
from harriertrack.protocol.nbd.client import Reply
from harriertrack.protocol.nbd.wire import Command, Errno
from harriertrack.protocol.nvme.admin import BLOCK_BYTES, IoOpcode
from harriertrack.protocol.nvme.controller import pack_range
from harriertrack.protocol.nvme.transport import NO_DIGESTS, ResponseReceived
from harriertrack.protocol.nvme.wire import Sqe, Status
from harriertrack.runtime.hub import Hub, Scope
from harriertrack.runtime.streams import Network

DAY_NQN = "nqn.2026-01.example:day"
NVME = NvmeSettings(listen=("127.0.0.1", 0), nqn=DAY_NQN)


class Front(StrEnum):
    """The front through which a day's clients connect."""

    NBD = "nbd"
    NVME = "nvme"


class NvmeVolume:
    """One volume on an I/O queue of its own NVMe controller, with the interface of `NbdClient`."""

    def __init__(self, hub: Hub, network: Network, supports_hints: bool, name: str) -> None:
        self._supports_hints = supports_hints
        self._hub, self._network, self._name = hub, network, name
        self._client: NvmeClient | None = None
        self._queue: NvmeQueue | None = None
        self._nsid = 0
        self._address = ("", 0)
        self.violation = ""
        self.on_lost: Callable[[], None] | None = None

    def open(self, address: tuple[str, int], deadline: int | None = None) -> None:
        """Store the address; the connection is made by `go`, which receives the scope that it needs."""
        self._address = address

    def go(self, scope: Scope, volume: str, deadline: int | None = None) -> None:
        """Connect and find the volume's namespace. Raises OSError, DeadlineExceeded, NvmeError."""
        client = self._client = NvmeClient(
            self._hub, self._network, self._address, NO_DIGESTS, f"{self._name} {self._hub.now()}"
        )
        client.connect(scope, DAY_NQN, deadline=deadline)
        if self._supports_hints:
            client.heed_delays(deadline)
        guid = guid_of(DAY_NQN, volume)
        self._nsid = next(
            (nsid for nsid, namespace in client.namespaces(deadline).items() if namespace.guid == guid), 0
        )
        if not self._nsid:
            raise NvmeError(f"the subsystem has no namespace for volume {volume}")
        self._queue = client.io(scope, deadline)
        self._queue.on_lost = self._lost

    @property
    def full(self) -> bool:
        """Whether the queue has no room for another command."""
        return self._queue is not None and self._queue.full

    def _lost(self) -> None:
        assert self._queue is not None and self._client is not None
        self.violation = self._queue.broken
        self._client.admin.abort()
        if self.on_lost is not None:
            self.on_lost()

    def start(self, command: Command, offset: int, length: int, data: bytes,
              on_reply: Callable[[Reply | None], None], flags: int = 0) -> None:  # fmt: skip
        """Send a request; `on_reply` gets its result as an NBD reply, or None if the connection is lost."""
        assert self._queue is not None and self._client is not None
        if self._queue.full:  # like a head's refusal of a request above an NBD connection's limit
            on_reply(Reply(0, REFUSED, "refused: not done; the queue is full"))
            return
        delays = self._client.info.retry_delays
        block, blocks, fua = offset // BLOCK_BYTES, (length or len(data)) // BLOCK_BYTES, bool(flags & FUA)
        match command:
            case Command.READ:
                sqe = io_sqe(IoOpcode.READ, self._nsid, block, blocks, expects=length)
            case Command.WRITE:
                sqe = io_sqe(IoOpcode.WRITE, self._nsid, block, blocks, fua)
            case Command.WRITE_ZEROES:
                sqe = io_sqe(IoOpcode.WRITE_ZEROES, self._nsid, block, blocks, fua)
            case Command.TRIM:
                sqe = Sqe(IoOpcode.DATASET_MANAGEMENT, 0, self._nsid, (0, 0b100, 0, 0, 0, 0))
                data = pack_range(block, blocks)
            case _:
                sqe = Sqe(IoOpcode.FLUSH, 0, self._nsid)

        def command_ended(completed: ResponseReceived | None) -> None:
            on_reply(None if completed is None else to_nbd_reply(completed, delays))

        self._queue.start(sqe, data, command_ended)

    def abort(self) -> None:
        """Abort the I/O and admin connections."""
        if self._queue is not None:
            self._queue.abort()
        if self._client is not None:
            self._client.admin.abort()


def to_nbd_reply(completed: ResponseReceived, delays: tuple[int, int, int]) -> Reply:
    """Translate an NVMe completion into an NBD reply."""
    cqe = completed.cqe
    if cqe.status == Status.SUCCESS:
        return Reply(0, data=completed.data)
    if cqe.status == Status.ABORT_REQUESTED:
        return Reply(0, Errno.ESHUTDOWN, "shutting down")
    if cqe.status in (Status.INTERRUPTED, Status.ANA_INACCESSIBLE):
        hint = f"; retry-after-us={delays[cqe.crd - 1] * DELAY_UNIT_US}" if cqe.crd else ""
        return Reply(0, REFUSED, f"refused: not done{hint}")
    return Reply(0, FAILED, f"status {cqe.status:#x}")
