"""NVMe controllers: state, admin commands, and validation of I/O commands. Pure, without I/O.

A controller exists as long as its admin queue's connection. Its I/O queues are other connections; the owner
of the connections calls `Subsystem.connect` for each Connect command, and closes the I/O queues when
`must_close_io_queues` is true. Times are microseconds.

Sources: NVM Express Base Specification 2.0, sections 3.1 (controllers), 3.9 (Keep Alive), 5 (admin commands),
6 (fabrics commands), 8.1 (ANA).
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum, auto

from harriertrack.protocol.nvme import admin
from harriertrack.protocol.nvme.admin import (
    ALL_NAMESPACES,
    CC_ENABLE,
    CC_SHUTDOWN,
    CSTS_READY,
    CSTS_SHUT,
    DYNAMIC_CONTROLLER_ID,
    AdminOpcode,
    AnaState,
    Cns,
    ConnectData,
    ControllerTraits,
    DiscoveryEntry,
    FabricsCommandType,
    Feature,
    LogPage,
    Namespace,
    Property,
)  # fmt: skip
from harriertrack.protocol.nvme.wire import Cqe, Sqe, Status

# IATTR in the result of a failed Connect: the offset of the invalid parameter (IPO) is in the command's data,
# not in its entry. Offsets in the data: 0 HOSTID, 16 CNTLID, 256 SUBNQN, 512 HOSTNQN; in the entry: 42 QID,
# 44 SQSIZE.
IN_DATA = 1 << 16
MIN_QUEUE_ENTRIES = 2
KEEP_ALIVE_GRACE_US = 500_000  # added to the host's Keep Alive timeout, for network delays
NOTICE, ANA_CHANGE = 2, 3  # type and information of an asynchronous event


class ControllerState(Enum):
    """State of a controller."""

    DISABLED = auto()
    READY = auto()
    SHUT_DOWN = auto()  # by the host
    REMOVED = auto()  # the Keep Alive timer expired, or the admin queue's connection ended


@dataclass(frozen=True, slots=True)
class CommandCompleted:
    """The command completes without data."""

    cqe: Cqe


@dataclass(frozen=True, slots=True)
class DataReturned:
    """The command completes successfully with data for the host."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Deferred:
    """The command stays open: an Asynchronous Event Request."""


@dataclass(frozen=True, slots=True)
class AbortRequested:
    """The owner of the queues must abort a command if it is open, then complete this Abort command."""

    cid: int
    queue: int
    target: int


AdminResult = CommandCompleted | DataReturned | Deferred | AbortRequested


@dataclass(frozen=True, slots=True)
class Connect:
    """The fields of a Connect command."""

    cid: int
    queue: int  # queue id, 0 for the admin queue
    entries: int
    flow_control_disabled: bool
    keep_alive_ms: int
    data: ConnectData

    @classmethod
    def parse(cls, sqe: Sqe, data: bytes) -> Connect | Cqe:
        """Parse the command; return an error completion if it is invalid."""
        record_format, queue = sqe.cdw[0] & 0xFFFF, sqe.cdw[0] >> 16
        size, attributes = sqe.cdw[1] & 0xFFFF, sqe.cdw[1] >> 16 & 0xFF
        if record_format or len(data) != admin.CONNECT_BYTES:
            return Cqe(sqe.cid, Status.CONNECT_FORMAT, dnr=True)
        try:
            connect_data = ConnectData.unpack(data)
        except (ValueError, UnicodeDecodeError):
            return Cqe(sqe.cid, Status.CONNECT_INVALID, 256 | IN_DATA, dnr=True)
        return cls(sqe.cid, queue, size + 1, bool(attributes & 0b100), sqe.cdw[2], connect_data)


@dataclass(slots=True)
class Controller:
    """One host's controller."""

    traits: ControllerTraits
    cntlid: int
    host: str
    host_id: bytes
    keep_alive_us: int  # Keep Alive timeout; 0: disabled
    last_activity_us: int
    namespaces: Mapping[int, Namespace]
    state: ControllerState = ControllerState.DISABLED
    ana: dict[int, AnaState] = field(default_factory=dict)
    discovery_entries: tuple[DiscoveryEntry, ...] = ()  # of a discovery controller
    generation: int = 1
    queues: set[int] = field(default_factory=set)  # ids of the connected I/O queues
    _cc: int = 0
    _granted_queues: int = 0  # I/O queues granted at the host's request; 0: it made none
    _async_event_config: int = 0xFFFFFFFF  # the events that the host enabled
    _event_requests: list[int] = field(default_factory=list)  # ids of open Asynchronous Event Requests
    _pending_events: list[int] = field(default_factory=list)  # to be reported with the next requests
    # Log pages whose event was reported and which have not been read since.
    _masked_pages: set[int] = field(default_factory=set)
    _ana_changes: int = 0
    honors_retry_delay: bool = False  # whether the host honors Command Retry Delay (ACRE)

    # -- lifecycle

    def record_host_activity(self, now: int) -> None:
        """Restart the Keep Alive timer: any command counts, with traffic based Keep Alive or without."""
        self.last_activity_us = max(self.last_activity_us, now)

    def keep_alive_expires_at(self) -> int | None:
        """Return when the Keep Alive timer expires if the host sends no command; None if it is disabled."""
        if not self.keep_alive_us or self.state is ControllerState.REMOVED:
            return None
        return self.last_activity_us + self.keep_alive_us + KEEP_ALIVE_GRACE_US

    def mark_removed(self) -> None:
        """Refuse all further connections; the admin queue's connection ended or Keep Alive expired."""
        self.state = ControllerState.REMOVED
        self.queues.clear()

    def connect_io_queue(self, connect: Connect) -> Cqe | None:
        """Add an I/O queue; return an error completion if it may not connect."""

        def invalid_field(offset: int, in_data: bool = False) -> Cqe:
            return Cqe(connect.cid, Status.CONNECT_INVALID, offset | (IN_DATA if in_data else 0), dnr=True)

        if connect.data.host != self.host or connect.data.host_id != self.host_id:
            return invalid_field(512 if connect.data.host != self.host else 0, in_data=True)
        if self.state is not ControllerState.READY:
            return Cqe(connect.cid, Status.SEQUENCE)
        if (
            not 1 <= connect.queue <= (self._granted_queues or self.traits.io_queues)
            or connect.queue in self.queues
        ):
            return invalid_field(42)
        if not MIN_QUEUE_ENTRIES <= connect.entries <= self.traits.queue_entries:
            return invalid_field(44)
        self.queues.add(connect.queue)
        return None

    # -- commands

    def handle_admin_command(self, sqe: Sqe, now: int, data: bytes = b"") -> AdminResult:
        """Handle a command on the admin queue; `data` is the data from the host."""
        self.record_host_activity(now)
        try:
            opcode = AdminOpcode(sqe.opcode)
        except ValueError:
            return CommandCompleted(Cqe(sqe.cid, Status.INVALID_OPCODE, dnr=True))
        if opcode is AdminOpcode.FABRICS:
            return self._handle_fabrics(sqe)
        if self.state is not ControllerState.READY:
            return CommandCompleted(Cqe(sqe.cid, Status.SEQUENCE))
        handlers: dict[AdminOpcode, Callable[[Sqe], AdminResult]] = {
            AdminOpcode.IDENTIFY: self._handle_identify,
            AdminOpcode.GET_LOG_PAGE: self._handle_get_log_page,
            AdminOpcode.ABORT: self._handle_abort,
            AdminOpcode.SET_FEATURES: lambda sqe: self._handle_set_features(sqe, data),
            AdminOpcode.GET_FEATURES: self._handle_get_features,
            AdminOpcode.ASYNC_EVENT: self._handle_event_request,
            AdminOpcode.KEEP_ALIVE: lambda sqe: CommandCompleted(Cqe(sqe.cid)),
        }
        return handlers[opcode](sqe)

    def _handle_fabrics(self, sqe: Sqe) -> AdminResult:
        wide, offset = bool(sqe.cdw[0] & 0b111), sqe.cdw[1]
        match sqe.nsid & 0xFF:
            case FabricsCommandType.PROPERTY_GET:
                values = {
                    Property.CAP: (True, admin.cap(self.traits)), Property.VS: (False, admin.VERSION),
                    Property.CC: (False, self._cc), Property.CSTS: (False, self._csts()),
                }  # fmt: skip
                if offset in values and values[Property(offset)][0] is wide:
                    return CommandCompleted(Cqe(sqe.cid, dw0=values[Property(offset)][1]))
            case FabricsCommandType.PROPERTY_SET if offset == Property.CC and not wide:
                self._write_cc(sqe.cdw[2])
                return CommandCompleted(Cqe(sqe.cid))
            case FabricsCommandType.CONNECT:
                return CommandCompleted(Cqe(sqe.cid, Status.SEQUENCE, dnr=True))
        return CommandCompleted(Cqe(sqe.cid, Status.INVALID_FIELD, dnr=True))

    def _csts(self) -> int:
        ready = (
            CSTS_READY
            if self.state in (ControllerState.READY, ControllerState.SHUT_DOWN) and self._cc & CC_ENABLE
            else 0
        )
        return ready | (CSTS_SHUT if self.state is ControllerState.SHUT_DOWN else 0)

    def _write_cc(self, value: int) -> None:
        self._cc = value
        if value & CC_SHUTDOWN:
            self.state = ControllerState.SHUT_DOWN
            self.queues.clear()
        elif value & CC_ENABLE:
            if self.state is ControllerState.DISABLED:
                self.state = ControllerState.READY
        elif self.state is not ControllerState.REMOVED:
            # A controller reset discards all settings and open event requests of the host.
            self.state = ControllerState.DISABLED
            self.queues.clear()
            self._event_requests.clear()
            self._pending_events.clear()
            self._masked_pages.clear()
            self._granted_queues, self._async_event_config = 0, 0xFFFFFFFF
            self.honors_retry_delay = False

    @property
    def must_close_io_queues(self) -> bool:
        """Whether the I/O queues must be closed: their commands may not be completed any more."""
        return self.state is not ControllerState.READY

    def _handle_identify(self, sqe: Sqe) -> AdminResult:
        invalid_namespace = CommandCompleted(Cqe(sqe.cid, Status.INVALID_NAMESPACE, dnr=True))
        match sqe.cdw[0] & 0xFF:
            case Cns.CONTROLLER:
                return DataReturned(admin.identify_controller(self.traits, self.cntlid, len(self.namespaces)))
            case Cns.NAMESPACE if not self.traits.discovery:
                if not 1 <= sqe.nsid <= max(1, len(self.namespaces)):
                    return invalid_namespace
                return DataReturned(admin.identify_namespace(self.namespaces.get(sqe.nsid), self.traits.ana))
            case Cns.ACTIVE_LIST if not self.traits.discovery:
                if sqe.nsid >= ALL_NAMESPACES - 1:
                    return invalid_namespace
                return DataReturned(admin.active_list(self.namespaces, sqe.nsid))
            case Cns.DESCRIPTORS if not self.traits.discovery:
                namespace = self.namespaces.get(sqe.nsid)
                return invalid_namespace if namespace is None else DataReturned(admin.descriptors(namespace))
        return CommandCompleted(Cqe(sqe.cid, Status.INVALID_FIELD, dnr=True))

    def _handle_get_log_page(self, sqe: Sqe) -> AdminResult:
        page, retains_event = sqe.cdw[0] & 0xFF, bool(sqe.cdw[0] >> 15 & 1)
        length = ((sqe.cdw[0] >> 16 | (sqe.cdw[1] & 0xFFFF) << 16) + 1) * 4
        offset = sqe.cdw[2] | sqe.cdw[3] << 32
        if length > self.traits.max_transfer or offset % 4:
            return CommandCompleted(Cqe(sqe.cid, Status.INVALID_FIELD, dnr=True))
        page_data = None
        match page:
            case LogPage.ERROR if not self.traits.discovery:
                page_data = bytes(admin.ERROR_ENTRY)
            case LogPage.SMART if not self.traits.discovery:
                page_data = admin.smart_log()
            case LogPage.ANA if self.traits.ana:
                page_data = admin.ana_log(self.ana, self._ana_changes, bool(sqe.cdw[0] >> 8 & 1))
            case LogPage.DISCOVERY if self.traits.discovery:
                page_data = admin.discovery_log(self.discovery_entries, self.generation)
        if page_data is None:
            return CommandCompleted(Cqe(sqe.cid, Status.INVALID_LOG_PAGE, dnr=True))
        if offset > len(page_data):
            return CommandCompleted(Cqe(sqe.cid, Status.INVALID_FIELD, dnr=True))
        if not retains_event:
            self._masked_pages.discard(page)
        return DataReturned(page_data[offset : offset + length].ljust(length, b"\0"))

    def _handle_abort(self, sqe: Sqe) -> AdminResult:
        return AbortRequested(sqe.cid, sqe.cdw[0] & 0xFFFF, sqe.cdw[0] >> 16)

    def _handle_set_features(self, sqe: Sqe, data: bytes) -> AdminResult:
        value = sqe.cdw[1]
        match sqe.cdw[0] & 0xFF:
            case Feature.NUMBER_OF_QUEUES:
                submission, completion = value & 0xFFFF, value >> 16
                if 0xFFFF in (submission, completion):
                    return CommandCompleted(Cqe(sqe.cid, Status.INVALID_FIELD, dnr=True))
                if self.queues:
                    return CommandCompleted(Cqe(sqe.cid, Status.SEQUENCE, dnr=True))
                self._granted_queues = min(submission, completion, self.traits.io_queues - 1) + 1
                return CommandCompleted(Cqe(sqe.cid, dw0=(self._granted_queues - 1) * 0x10001))
            case Feature.ASYNC_EVENTS:
                self._async_event_config = value
                return CommandCompleted(Cqe(sqe.cid))
            case Feature.KEEP_ALIVE:
                self.keep_alive_us = value * 1000
                return CommandCompleted(Cqe(sqe.cid))
            case Feature.HOST_BEHAVIOR if len(data) == admin.HOST_BEHAVIOR_BYTES and data[0] <= 1:
                self.honors_retry_delay = bool(data[0])
                return CommandCompleted(Cqe(sqe.cid))
        return CommandCompleted(Cqe(sqe.cid, Status.INVALID_FIELD, dnr=True))

    def _handle_get_features(self, sqe: Sqe) -> AdminResult:
        known = {
            Feature.NUMBER_OF_QUEUES: ((self._granted_queues or self.traits.io_queues) - 1) * 0x10001,
            Feature.ASYNC_EVENTS: self._async_event_config, Feature.KEEP_ALIVE: self.keep_alive_us // 1000,
            Feature.WRITE_CACHE: 1,
        }  # fmt: skip
        feature = sqe.cdw[0] & 0xFF
        if feature == Feature.HOST_BEHAVIOR:
            return DataReturned(bytes([self.honors_retry_delay]).ljust(admin.HOST_BEHAVIOR_BYTES, b"\0"))
        if feature not in known:
            return CommandCompleted(Cqe(sqe.cid, Status.INVALID_FIELD, dnr=True))
        return CommandCompleted(Cqe(sqe.cid, dw0=known[Feature(feature)]))

    # -- asynchronous events

    def _handle_event_request(self, sqe: Sqe) -> AdminResult:
        if len(self._event_requests) >= self.traits.async_event_limit:
            return CommandCompleted(Cqe(sqe.cid, Status.ASYNC_EVENT_LIMIT, dnr=True))
        if self._pending_events:
            return CommandCompleted(Cqe(sqe.cid, dw0=self._pending_events.pop(0)))
        self._event_requests.append(sqe.cid)
        return Deferred()

    def update_ana_states(self, states: Mapping[int, AnaState]) -> Cqe | None:
        """Set the namespaces' ANA states; return the completion of an event request if one must be sent."""
        if states == self.ana:
            return None
        is_first, self.ana = not self.ana, dict(states)
        self._ana_changes += 1
        if is_first or not self._async_event_config >> 11 & 1 or LogPage.ANA in self._masked_pages:
            return None
        self._masked_pages.add(LogPage.ANA)
        event = NOTICE | ANA_CHANGE << 8 | LogPage.ANA << 16
        if self._event_requests:
            return Cqe(self._event_requests.pop(0), dw0=event)
        self._pending_events.append(event)
        return None

    def abort_event_request(self, cid: int) -> bool:
        """Remove an Asynchronous Event Request that is aborted; return whether it was open."""
        if cid not in self._event_requests:
            return False
        self._event_requests.remove(cid)
        return True


class Subsystem:
    """The NVM subsystem of one head: all of its controllers."""

    def __init__(
        self,
        traits: ControllerTraits,
        namespaces: Mapping[int, Namespace],
        discovery_entries: tuple[DiscoveryEntry, ...],
    ) -> None:
        self.traits, self.namespaces, self.discovery_entries = traits, namespaces, discovery_entries
        self.controllers: dict[int, Controller] = {}
        self._last_cntlid = 0

    def connect(self, connect: Connect, now: int) -> Controller | Cqe:
        """Connect a queue; return its controller, or an error completion.

        A Connect for an admin queue creates the controller.
        """
        data, discovery = connect.data, connect.data.subsystem == admin.DISCOVERY_NQN
        if not discovery and data.subsystem != self.traits.nqn:
            return Cqe(connect.cid, Status.CONNECT_INVALID, 256 | IN_DATA, dnr=True)
        if connect.queue:
            controller = self.controllers.get(data.cntlid)
            if controller is None or controller.traits.discovery is not discovery:
                return Cqe(connect.cid, Status.CONNECT_INVALID, 16 | IN_DATA, dnr=True)
            if discovery:  # a discovery controller has no I/O queues
                return Cqe(connect.cid, Status.CONNECT_INVALID, 42, dnr=True)
            return controller.connect_io_queue(connect) or controller
        if data.cntlid != DYNAMIC_CONTROLLER_ID:
            return Cqe(connect.cid, Status.CONNECT_INVALID, 16 | IN_DATA, dnr=True)
        if not MIN_QUEUE_ENTRIES <= connect.entries <= max(self.traits.queue_entries, 32):
            return Cqe(connect.cid, Status.CONNECT_INVALID, 44, dnr=True)
        cntlid = self._allocate_controller_id()
        if cntlid is None:
            return Cqe(connect.cid, Status.CONNECT_BUSY)
        traits = self.traits if not discovery else ControllerTraits(
            admin.DISCOVERY_NQN, self.traits.serial, self.traits.firmware, discovery=True)  # fmt: skip
        controller = self.controllers[cntlid] = Controller(
            traits, cntlid, data.host, data.host_id, connect.keep_alive_ms * 1000, now,
            {} if discovery else self.namespaces,
            discovery_entries=self.discovery_entries if discovery else (),
        )  # fmt: skip
        return controller

    def _allocate_controller_id(self) -> int | None:
        for _ in range(DYNAMIC_CONTROLLER_ID - 0x10):
            # The highest ids are reserved.
            self._last_cntlid = self._last_cntlid % (DYNAMIC_CONTROLLER_ID - 0x10) + 1
            if self._last_cntlid not in self.controllers:
                return self._last_cntlid
        return None

    def remove_controller(self, controller: Controller) -> None:
        """Remove a controller whose admin queue's connection ended."""
        controller.mark_removed()
        self.controllers.pop(controller.cntlid, None)


# -- the NVM command set


@dataclass(frozen=True, slots=True)
class IoCommand:
    """A valid I/O command; offset and length in bytes."""

    opcode: admin.IoOpcode
    nsid: int
    offset: int = 0
    length: int = 0
    fua: bool = False
    ranges: tuple[tuple[int, int], ...] = ()  # of Dataset Management, to deallocate: (offset, length)


_RANGE = struct.Struct("<IIQ")


def parse_io_command(
    sqe: Sqe, data: bytes, namespaces: Mapping[int, Namespace], max_transfer: int
) -> IoCommand | Cqe:
    """Parse an I/O command; return an error completion if it is invalid."""

    def error(status: int) -> Cqe:
        return Cqe(sqe.cid, status, dnr=True)

    try:
        opcode = admin.IoOpcode(sqe.opcode)
    except ValueError:
        return error(Status.INVALID_OPCODE)
    if opcode is admin.IoOpcode.FLUSH and sqe.nsid == ALL_NAMESPACES:
        return IoCommand(opcode, sqe.nsid)
    namespace = namespaces.get(sqe.nsid)
    if namespace is None:
        return error(Status.INVALID_NAMESPACE)
    if opcode is admin.IoOpcode.FLUSH:
        return IoCommand(opcode, sqe.nsid)
    if namespace.read_only and opcode not in (admin.IoOpcode.READ, admin.IoOpcode.COMPARE):
        return error(Status.WRITE_PROTECTED)
    if opcode is admin.IoOpcode.DATASET_MANAGEMENT:
        return _parse_dataset_management(sqe, data, namespace)
    start, blocks = sqe.cdw[0] | sqe.cdw[1] << 32, (sqe.cdw[2] & 0xFFFF) + 1
    if start + blocks > namespace.blocks:
        return error(Status.LBA_RANGE)
    length = blocks * admin.BLOCK_BYTES
    if opcode is not admin.IoOpcode.WRITE_ZEROES:
        if length > max_transfer:
            return error(Status.INVALID_FIELD)
        if sqe.length != length:
            return error(Status.SGL_LENGTH)
    return IoCommand(opcode, sqe.nsid, start * admin.BLOCK_BYTES, length, bool(sqe.cdw[2] >> 30 & 1))


def _parse_dataset_management(sqe: Sqe, data: bytes, namespace: Namespace) -> IoCommand | Cqe:
    count, deallocate = (sqe.cdw[0] & 0xFF) + 1, bool(sqe.cdw[1] >> 2 & 1)
    if len(data) < count * _RANGE.size:
        return Cqe(sqe.cid, Status.SGL_LENGTH, dnr=True)
    ranges = []
    for index in range(count):
        _, blocks, start = _RANGE.unpack_from(data, index * _RANGE.size)
        if start + blocks > namespace.blocks:
            return Cqe(sqe.cid, Status.LBA_RANGE, dnr=True)
        if blocks and deallocate:  # other attributes are hints, which are ignored
            ranges.append((start * admin.BLOCK_BYTES, blocks * admin.BLOCK_BYTES))
    return IoCommand(admin.IoOpcode.DATASET_MANAGEMENT, sqe.nsid, ranges=tuple(ranges))


def pack_range(block: int, blocks: int) -> bytes:
    """Return the data of Dataset Management with one range."""
    return _RANGE.pack(0, blocks, block)
