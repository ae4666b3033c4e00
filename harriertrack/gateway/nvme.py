"""The NVMe/TCP front: controllers and queues, each I/O command of which becomes requests of the core.

One connection is one queue. Its first command is Connect, which names the controller; a controller ends with
its admin queue, and its I/O queues with it. The status reports a request's outcome: refused, "command
interrupted" with a retry delay (a retry is safe), or "asymmetric access inaccessible" where another path is
better; failed, "internal error", after which only a command without effect may be retried.
"""

from __future__ import annotations

import uuid
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from importlib.metadata import version

from harriertrack.config.settings import Digest, NvmeSettings, VolumeSettings
from harriertrack.decisions.command_turns import CommandTurn
from harriertrack.decisions.regions import Route
from harriertrack.decisions.requests import MODIFYING_KINDS, ClientRequest, Origin
from harriertrack.decisions.splitting import Kind, Outcome
from harriertrack.gateway.connection import FrontConnection
from harriertrack.gateway.reception import CLOSING, Reception
from harriertrack.gateway.regional import NOT_HOLDER
from harriertrack.protocol.nbd.wire import CommandFlags
from harriertrack.protocol.nvme.admin import (
    ALL_NAMESPACES,
    BLOCK_BYTES,
    AdminOpcode,
    AnaState,
    ControllerTraits,
    DiscoveryEntry,
    FabricsCommandType,
    IoOpcode,
    Namespace,
)
from harriertrack.protocol.nvme.controller import (
    AbortRequested,
    CommandCompleted,
    Connect,
    Controller,
    DataReturned,
    IoCommand,
    Subsystem,
    parse_io_command,
)
from harriertrack.protocol.nvme.transport import (
    CommandSubmitted,
    ConnectionState,
    ConnectionTerminated,
    ControllerConnection,
    Limits,
    RequestedBytes,
)
from harriertrack.protocol.nvme.wire import Cqe, DigestFlags, Sqe, Status
from harriertrack.runtime.hub import DeadlineExceeded
from harriertrack.runtime.streams import Listener, Stream

FUA = int(CommandFlags.FUA)  # the core's requests use NBD's flags
ANA_US = 100_000  # how often the holders of volumes are checked
DELAY_UNIT_US = 100_000
DIGESTS = {Digest.HEADER: DigestFlags.HEADER, Digest.DATA: DigestFlags.DATA}
ROUTES = {
    Route.HERE: AnaState.OPTIMIZED,
    Route.OTHER: AnaState.NON_OPTIMIZED,
    Route.REFUSE: AnaState.INACCESSIBLE,
}
KINDS = {
    IoOpcode.READ: Kind.READ,
    IoOpcode.COMPARE: Kind.READ,
    IoOpcode.WRITE: Kind.WRITE,
    IoOpcode.WRITE_ZEROES: Kind.ZERO,
    IoOpcode.DATASET_MANAGEMENT: Kind.TRIM,
    IoOpcode.FLUSH: Kind.FLUSH,
}


def guid_of(nqn: str, volume: str) -> bytes:
    """Return a volume's NGUID: the same at every head of the subsystem."""
    return uuid.uuid5(uuid.uuid5(uuid.NAMESPACE_URL, nqn), volume).bytes


def by_namespace_id(volumes: Iterable[VolumeSettings]) -> dict[int, VolumeSettings]:
    """Return the volumes by namespace ID, in order of names: the same at all heads with the same volumes."""
    return dict(enumerate(sorted(volumes, key=lambda one: one.name), 1))


@dataclass(slots=True, eq=False)
class _Command:
    """An I/O command and the requests that it consists of; it completes once all are answered."""

    queue: Queue
    parsed: IoCommand
    sqe: Sqe
    data: bytes
    open: set[ClientRequest] = field(default_factory=set)
    worst: ClientRequest | None = None  # the decisive one of those not served: a failure before a refusal
    over: bool = False  # aborted: no completion is expected

    def answer(self, request: ClientRequest) -> None:
        """Handle one request's final answer."""
        self.open.discard(request)
        if request.outcome is not Outcome.SERVED and (
            self.worst is None or request.outcome is Outcome.FAILED
        ):
            self.worst = request
        if not self.open and not self.over:
            self.queue.finish_command(self, request)


class Queue(FrontConnection):
    """One connection, which is one queue."""

    def __init__(self, front: NvmeFront, stream: Stream) -> None:
        super().__init__(front.reception, stream)
        self._front = front
        self._nvme = ControllerConnection(front.limits, front.requested_bytes)
        self.controller: Controller | None = None
        self.number = -1
        self.origin, self.volume, self.chosen, self.counted = Origin.CLIENT, "", False, False
        self.multipath, self.max_patience_us = True, front.patience_us
        self._commands: dict[int, _Command] = {}
        self._turn = CommandTurn()

    @property
    def supports_hints(self) -> bool:
        """Whether the host honors Command Retry Delay."""
        return self.controller is not None and self.controller.honors_retry_delay

    def run(self) -> None:
        """Serve the connection until it ends (its task)."""
        front = self._front
        try:
            deadline = front.hub.now() + front.reception.settings.limits.handshake_us
            while data := self._stream.read(None if self.controller else deadline):
                if not self._handle_read(data, self.controller is not None):
                    return
        except DeadlineExceeded:
            front.note("client closed", peer=self._stream.peer, why="too slow a handshake")
        except OSError as error:
            front.note("client broke", peer=self._stream.peer, why=str(error))
        finally:
            self._nvme.release()
            self._leave()
            front.remove_queue(self)
            self._stream.close()

    def _receive(self, data: memoryview, unparsed: int) -> bool:
        front = self._front
        events = self._nvme.receive(data)
        if not front.reception.count_partial(self, self._nvme.partial_bytes + unparsed):
            return False
        for event in events:
            match event:
                case CommandSubmitted():
                    self._handle_command(event.sqe, event.data)
                case ConnectionTerminated():
                    front.note("client closed", peer=self._stream.peer, why=event.reason)
        self.push()
        if self._nvme.state is ConnectionState.CLOSED:
            return False
        if self._turn.is_over(len(events)):
            front.hub.sleep(0)
        return True

    def close(self) -> None:
        """End the connection, and drop its open commands without completions."""
        self._leave()
        self._stream.abort()

    def _leave(self) -> None:
        commands, self._commands = self._commands, {}
        for command in commands.values():
            self._drop(command)

    def _drop(self, command: _Command) -> None:
        command.over = True
        for request in list(command.open):
            self._front.reception.client_left(request)

    def push(self) -> None:
        """Write the outgoing data to the stream."""
        for data in self._nvme.take_outgoing():
            self._stream.write(data)

    def complete(self, cqe: Cqe) -> None:
        """Complete a command and send the completion."""
        self._nvme.complete(cqe)
        self.push()

    # -- commands

    def _handle_command(self, sqe: Sqe, data: bytes) -> None:
        front, now = self._front, self._front.hub.now()
        if self.controller is None:
            if sqe.opcode == AdminOpcode.FABRICS and sqe.nsid & 0xFF == FabricsCommandType.CONNECT:
                self._connect(sqe, data)
            else:
                self.complete(Cqe(sqe.cid, Status.SEQUENCE, dnr=True))
            return
        self.controller.record_host_activity(now)
        if self.number:
            self._io(sqe, data)
            return
        match self.controller.handle_admin_command(sqe, now, data):
            case CommandCompleted(cqe):
                self.complete(cqe)
            case DataReturned(payload):
                # No more than fits in the host's buffer; it requests the rest with an offset.
                self._nvme.complete_read(sqe.cid, payload[: sqe.length])
            case AbortRequested() as abort:
                queue = front.queue(self.controller, abort.queue)
                done = queue is not None and queue.abort(abort.target)
                self.complete(Cqe(abort.cid, dw0=0 if done else 1))
        if self.controller.must_close_io_queues:
            front.end_io(self.controller)

    def _connect(self, sqe: Sqe, data: bytes) -> None:
        front = self._front
        connect = Connect.parse(sqe, data)
        result = connect if isinstance(connect, Cqe) else front.subsystem.connect(connect, front.hub.now())
        if isinstance(result, Cqe) or isinstance(connect, Cqe):
            assert isinstance(result, Cqe)
            self.complete(result)
            return
        self.controller, self.number = result, connect.queue
        self._nvme.depth, self._nvme.flow_control_disabled = connect.entries, connect.flow_control_disabled
        front.register_queue(self)
        self.complete(Cqe(sqe.cid, dw0=result.cntlid))
        front.note("client opened", peer=self._stream.peer, host=result.host, queue=connect.queue)

    def abort(self, cid: int) -> bool:
        """End a command for an Abort; return whether it was open."""
        assert self.controller is not None
        if self.number:
            command = self._commands.pop(cid, None)
            if command is None:
                return False
            self._drop(command)
        elif not self.controller.abort_event_request(cid):
            return False
        self.complete(Cqe(cid, Status.ABORT_REQUESTED))
        return True

    def _io(self, sqe: Sqe, data: bytes) -> None:
        front, controller = self._front, self.controller
        assert controller is not None
        parsed = parse_io_command(sqe, data, controller.namespaces, front.limits.max_transfer)
        if isinstance(parsed, Cqe):
            self.complete(parsed)
            return
        command = _Command(self, parsed, sqe, data)
        requests = front.requests_of(command, self._stream.came_at)
        if not requests:  # nothing to deallocate
            self.complete(Cqe(sqe.cid))
            return
        # A command counts as one, however many requests it consists of: the queue's depth limits commands.
        rejection = front.reception.wait_for_admission(self, requests[0], self._stream, len(self._commands))
        if rejection is not None:
            status = Status.ABORT_REQUESTED if rejection.closing else Status.INTERRUPTED
            self.complete(Cqe(sqe.cid, status, crd=0 if rejection.closing else 1))
            return
        for request in requests:
            request.patience_us = requests[0].patience_us
        command.open.update(requests)
        self._commands[sqe.cid] = command
        for request in requests:
            front.reception.submit(request)

    def finish_command(self, command: _Command, request: ClientRequest) -> None:
        """Complete a command whose requests are all answered."""
        cid = command.sqe.cid
        del self._commands[cid]
        if command.worst is not None:
            self.complete(self._front.completion_of(cid, command.worst))
            return
        if command.parsed.opcode in (IoOpcode.READ, IoOpcode.COMPARE):
            data = request.bytes_read()
            if command.parsed.opcode is IoOpcode.READ:
                self._nvme.complete_read(cid, data)
                self.push()
                return
            if data != command.data:
                self.complete(Cqe(cid, Status.COMPARE_FAILURE, dnr=True))
                return
        self.complete(Cqe(cid))


class NvmeFront:
    """Serves NVMe/TCP hosts."""

    def __init__(self, reception: Reception, settings: NvmeSettings, listen: tuple[str, int]) -> None:
        self.reception, self.hub, self.note = reception, reception.hub, reception.note
        regional = any(volume.regions for volume in reception.settings.volumes)
        traits = ControllerTraits(
            settings.nqn, uuid.uuid5(uuid.NAMESPACE_URL, settings.nqn).hex[:20], version("harriertrack"),
            ana=regional, queue_entries=settings.entries, io_queues=settings.queues,
        )  # fmt: skip
        volumes = by_namespace_id(reception.settings.volumes)
        self._names = {nsid: one.name for nsid, one in volumes.items()}
        namespaces = {
            nsid: Namespace(
                nsid, one.size_bytes // BLOCK_BYTES, guid_of(settings.nqn, one.name), one.read_only
            )
            for nsid, one in volumes.items()
        }
        self.subsystem = Subsystem(traits, namespaces, (DiscoveryEntry(settings.nqn, *listen),))
        granted = DigestFlags(0)
        for one in settings.digests:
            granted |= DIGESTS[one]
        self.limits = Limits(
            in_capsule=traits.in_capsule,
            max_transfer=traits.max_transfer,
            requested_bytes=settings.asked_bytes,
            digests=granted,
        )
        self._queues: dict[tuple[int, int], Queue] = {}
        self.patience_us = settings.patience_us
        self.requested_bytes = RequestedBytes(reception.settings.limits.held_bytes)

    def serve(self, listener: Listener) -> None:
        """Accept hosts until the listener is closed (the front's task)."""
        self.reception.serve(listener, lambda stream: Queue(self, stream))

    def monitor_controllers(self) -> None:
        """Check Keep Alive timeouts, and notify hosts of changed access states of namespaces (a task)."""
        while True:
            self.hub.sleep(ANA_US)
            now = self.hub.now()
            for controller in list(self.subsystem.controllers.values()):
                admin = self._queues.get((controller.cntlid, 0))
                if admin is None:
                    continue
                lost_at = controller.keep_alive_expires_at()
                if lost_at is not None and lost_at <= now:
                    self.note("keep alive lost", host=controller.host)
                    admin.close()
                elif controller.traits.ana and (event := controller.update_ana_states(self._access(now))):
                    admin.complete(event)

    def _access(self, now: int) -> Mapping[int, AnaState]:
        regional = self.reception.regional
        assert regional is not None
        return {
            nsid: ROUTES[regional.route(name, now)] if name in regional.volumes else AnaState.OPTIMIZED
            for nsid, name in self._names.items()
        }

    # -- queues

    def queue(self, controller: Controller, number: int) -> Queue | None:
        """Return a controller's queue."""
        return self._queues.get((controller.cntlid, number))

    def register_queue(self, queue: Queue) -> None:
        """Register a connected queue."""
        assert queue.controller is not None
        self._queues[queue.controller.cntlid, queue.number] = queue

    def remove_queue(self, queue: Queue) -> None:
        """Remove an ended connection's queue; an admin queue ends its controller and all of its queues."""
        controller = queue.controller
        if controller is None or self._queues.get((controller.cntlid, queue.number)) is not queue:
            return
        del self._queues[controller.cntlid, queue.number]
        controller.queues.discard(queue.number)
        if not queue.number:
            self.end_io(controller)
            self.subsystem.remove_controller(controller)

    def end_io(self, controller: Controller) -> None:
        """End the I/O queues of a controller that was reset, shut down, or removed."""
        for key in [key for key in self._queues if key[0] == controller.cntlid and key[1]]:
            self._queues.pop(key).close()

    # -- requests

    def requests_of(self, command: _Command, arrived_at: int) -> list[ClientRequest]:
        """Return the requests that a command consists of."""
        parsed, kind = command.parsed, KINDS[command.parsed.opcode]
        nsids = list(self._names) if parsed.nsid == ALL_NAMESPACES else [parsed.nsid]
        volumes = [self.reception.core.volumes[self._names[nsid]] for nsid in nsids]
        pieces = (
            parsed.ranges
            if parsed.opcode is IoOpcode.DATASET_MANAGEMENT
            else ((parsed.offset, parsed.length),)
        )
        data = command.data if parsed.opcode is IoOpcode.WRITE else b""
        return [
            ClientRequest(
                volume, kind, offset, length, data, FUA if parsed.fua else 0, command, arrived_at=arrived_at
            )
            for volume in volumes
            for offset, length in pieces
        ]

    def completion_of(self, cid: int, request: ClientRequest) -> Cqe:
        """Return the completion for a request that was not served."""
        if request.outcome is Outcome.FAILED:
            return Cqe(cid, Status.INTERNAL, dnr=request.kind in MODIFYING_KINDS)
        if request.reason == NOT_HOLDER:
            return Cqe(cid, Status.ANA_INACCESSIBLE)
        if request.reason == CLOSING.why:
            return Cqe(cid, Status.ABORT_REQUESTED)
        delays = self.subsystem.traits.retry_delays
        fitting = (at for at, delay in enumerate(delays, 1) if delay * DELAY_UNIT_US >= request.hint_us)
        return Cqe(cid, Status.INTERRUPTED, crd=next(fitting, len(delays)))


def start(reception: Reception, listener: Listener, settings: NvmeSettings) -> NvmeFront:
    """Create a front and start its tasks in the reception's scope."""
    front = NvmeFront(reception, settings, listener.address)
    reception.scope.spawn("nvme front", front.serve, listener)
    reception.scope.spawn("nvme watch", front.monitor_controllers)
    return front
