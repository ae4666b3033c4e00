"""The same clients through either front: an NVMe/TCP host that days use as an NBD client."""

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
    """Through which front a day's clients come."""

    NBD = "nbd"
    NVME = "nvme"


class NvmeVolume:
    """One volume over one I/O queue of a controller of its own, with the manners of `NbdClient`."""

    def __init__(self, hub: Hub, network: Network, supports_hints: bool, name: str) -> None:
        self._hears_hints = supports_hints
        self._hub, self._network, self._name = hub, network, name
        self._client: NvmeClient | None = None
        self._queue: NvmeQueue | None = None
        self._nsid = 0
        self._address = ("", 0)
        self.violation = ""
        self.on_lost: Callable[[], None] | None = None

    def open(self, address: tuple[str, int], deadline: int | None = None) -> None:
        """Take the address; connecting takes a scope, which `go` brings."""
        self._address = address

    def go(self, scope: Scope, volume: str, deadline: int | None = None) -> None:
        """Connect to a volume. Raises OSError, DeadlineExceeded, NvmeError."""
        client = self._client = NvmeClient(
            self._hub, self._network, self._address, NO_DIGESTS, f"{self._name} {self._hub.now()}"
        )
        client.connect(scope, DAY_NQN, deadline=deadline)
        if self._hears_hints:
            client.heed_delays(deadline)
        guid = guid_of(DAY_NQN, volume)
        self._nsid = next((nsid for nsid, one in client.namespaces(deadline).items() if one.guid == guid), 0)
        if not self._nsid:
            raise NvmeError(f"no namespace is {volume}")
        self._queue = client.io(scope, deadline)
        self._queue.on_lost = self._lost

    @property
    def full(self) -> bool:
        """Whether the host may send no more now."""
        return self._queue is not None and self._queue.full

    def _lost(self) -> None:
        assert self._queue is not None and self._client is not None
        self.violation = self._queue.broken
        self._client.admin.abort()
        if self.on_lost is not None:
            self.on_lost()

    def start(self, command: Command, offset: int, length: int, data: bytes,
              then: Callable[[Reply | None], None], flags: int = 0) -> None:  # fmt: skip
        """Send a request; `then` gets what became of it as a reply of NBD's, or None if nothing did."""
        assert self._queue is not None and self._client is not None
        if self._queue.full:  # as a head refuses what passes an NBD connection's bound
            then(Reply(0, REFUSED, "refused: not done; the queue is full"))
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

        def ended(completed: ResponseReceived | None) -> None:
            then(None if completed is None else as_reply(completed, delays))

        self._queue.start(sqe, data, ended)

    def abort(self) -> None:
        """Break the connection."""
        if self._queue is not None:
            self._queue.abort()
        if self._client is not None:
            self._client.admin.abort()


def as_reply(completed: ResponseReceived, delays: tuple[int, int, int]) -> Reply:
    """Say what became of a command as NBD says it."""
    cqe = completed.cqe
    if cqe.status == Status.SUCCESS:
        return Reply(0, data=completed.data)
    if cqe.status == Status.ABORT_REQUESTED:
        return Reply(0, Errno.ESHUTDOWN, "shutting down")
    if cqe.status in (Status.INTERRUPTED, Status.ANA_INACCESSIBLE):
        hint = f"; retry-after-us={delays[cqe.crd - 1] * DELAY_UNIT_US}" if cqe.crd else ""
        return Reply(0, REFUSED, f"refused: not done{hint}")
    return Reply(0, FAILED, f"status {cqe.status:#x}")
