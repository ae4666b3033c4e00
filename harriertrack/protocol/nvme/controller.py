"""A controller: what it answers to admin commands, and what may be asked of it when. Pure, without I/O.

A controller lives as long as its admin queue's connection. Its I/O queues are other connections; whoever owns
those asks here whether they may connect, and closes them when `queues_end` says so. Times are microseconds.

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

IN_DATA = 1 << 16  # in a Connect's result: the wrong field lies in its data, not in its entry
LEAST_ENTRIES = 2
KEEP_ALIVE_GRACE_US = 500_000  # beyond the host's own figure, for the way
NOTICE, ANA_CHANGE = 2, 3  # of asynchronous events: type, and information


class ControllerState(Enum):
    """Where a controller is."""

    DISABLED = auto()
    READY = auto()
    SHUT = auto()  # the host is done with it
    GONE = auto()  # Keep Alive was lost, or its admin queue


@dataclass(frozen=True, slots=True)
class CommandCompleted:
    """A command's end."""

    cqe: Cqe


@dataclass(frozen=True, slots=True)
class DataReturned:
    """A command's end with data."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Deferred:
    """Nothing is answered now: an Asynchronous Event Request."""


@dataclass(frozen=True, slots=True)
class AbortRequested:
    """The owner of the queues is to end a command if it is still open, and then this one."""

    cid: int
    queue: int
    target: int


Answer = CommandCompleted | DataReturned | Deferred | AbortRequested


@dataclass(frozen=True, slots=True)
class Connect:
    """A Connect command, as far as its entry and data say."""

    cid: int
    queue: int
    entries: int
    flow_control_disabled: bool
    keep_alive_ms: int
    who: ConnectData

    @classmethod
    def parse(cls, sqe: Sqe, data: bytes) -> Connect | Cqe:
        """Read the command; a completion says what is wrong with it."""
        form, queue = sqe.cdw[0] & 0xFFFF, sqe.cdw[0] >> 16
        size, attributes = sqe.cdw[1] & 0xFFFF, sqe.cdw[1] >> 16 & 0xFF
        if form or len(data) != admin.CONNECT_BYTES:
            return Cqe(sqe.cid, Status.CONNECT_FORMAT, dnr=True)
        try:
            who = ConnectData.unpack(data)
        except (ValueError, UnicodeDecodeError):
            return Cqe(sqe.cid, Status.CONNECT_INVALID, 256 | IN_DATA, dnr=True)
        return cls(sqe.cid, queue, size + 1, bool(attributes & 0b100), sqe.cdw[2], who)


@dataclass(slots=True)
class Controller:
    """One host's controller."""

    traits: ControllerTraits
    cntlid: int
    host: str
    host_id: bytes
    keep_alive_us: int  # 0: none was asked for
    heard_at: int
    namespaces: Mapping[int, Namespace]
    state: ControllerState = ControllerState.DISABLED
    ana: dict[int, AnaState] = field(default_factory=dict)
    entries: tuple[DiscoveryEntry, ...] = ()  # a discovery controller's
    generation: int = 1
    queues: set[int] = field(default_factory=set)
    _cc: int = 0
    _allowed: int = 0  # I/O queues that the host asked for; 0: it did not
    _told_of: int = 0xFFFFFFFF  # what the host wants to be told of
    _events: list[int] = field(default_factory=list)  # open Asynchronous Event Requests
    _pending: list[int] = field(default_factory=list)  # what is to be told with the next of them
    _masked: set[int] = field(default_factory=set)  # told; not again before the page was read
    _changes: int = 0
    honors_retry_delay: bool = False  # the host honours Command Retry Delay

    # -- life

    def record_host_activity(self, now: int) -> None:
        """The host asked something: with traffic based Keep Alive or not, it is there."""
        self.heard_at = max(self.heard_at, now)

    def keep_alive_expires_at(self) -> int | None:
        """Return when Keep Alive is lost if nothing is heard until then; None without Keep Alive."""
        if not self.keep_alive_us or self.state is ControllerState.GONE:
            return None
        return self.heard_at + self.keep_alive_us + KEEP_ALIVE_GRACE_US

    def gone(self) -> None:
        """The admin queue ended, or Keep Alive was lost: nothing may connect any more."""
        self.state = ControllerState.GONE
        self.queues.clear()

    def accepts(self, asked: Connect) -> Cqe | None:
        """Whether an I/O queue may connect; the completion says what is wrong."""

        def wrong(at: int, in_data: bool = False) -> Cqe:
            return Cqe(asked.cid, Status.CONNECT_INVALID, at | (IN_DATA if in_data else 0), dnr=True)

        if asked.who.host != self.host or asked.who.host_id != self.host_id:
            return wrong(512 if asked.who.host != self.host else 0, in_data=True)
        if self.state is not ControllerState.READY:
            return Cqe(asked.cid, Status.SEQUENCE)
        if not 1 <= asked.queue <= (self._allowed or self.traits.io_queues) or asked.queue in self.queues:
            return wrong(42)
        if not LEAST_ENTRIES <= asked.entries <= self.traits.queue_entries:
            return wrong(44)
        self.queues.add(asked.queue)
        return None

    # -- commands

    def admin(self, sqe: Sqe, now: int, data: bytes = b"") -> Answer:
        """Answer a command on the admin queue; `data` is what came with it."""
        self.record_host_activity(now)
        try:
            opcode = AdminOpcode(sqe.opcode)
        except ValueError:
            return CommandCompleted(Cqe(sqe.cid, Status.INVALID_OPCODE, dnr=True))
        if opcode is AdminOpcode.FABRICS:
            return self._fabrics(sqe)
        if self.state is not ControllerState.READY:
            return CommandCompleted(Cqe(sqe.cid, Status.SEQUENCE))
        answers: dict[AdminOpcode, Callable[[Sqe], Answer]] = {
            AdminOpcode.IDENTIFY: self._identify,
            AdminOpcode.GET_LOG_PAGE: self._log,
            AdminOpcode.ABORT: self._abort,
            AdminOpcode.SET_FEATURES: lambda sqe: self._set_feature(sqe, data),
            AdminOpcode.GET_FEATURES: self._get_feature,
            AdminOpcode.ASYNC_EVENT: self._event,
            AdminOpcode.KEEP_ALIVE: lambda sqe: CommandCompleted(Cqe(sqe.cid)),
        }
        return answers[opcode](sqe)

    def _fabrics(self, sqe: Sqe) -> Answer:
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
                self._configure(sqe.cdw[2])
                return CommandCompleted(Cqe(sqe.cid))
            case FabricsCommandType.CONNECT:
                return CommandCompleted(Cqe(sqe.cid, Status.SEQUENCE, dnr=True))
        return CommandCompleted(Cqe(sqe.cid, Status.INVALID_FIELD, dnr=True))

    def _csts(self) -> int:
        ready = (
            CSTS_READY
            if self.state in (ControllerState.READY, ControllerState.SHUT) and self._cc & CC_ENABLE
            else 0
        )
        return ready | (CSTS_SHUT if self.state is ControllerState.SHUT else 0)

    def _configure(self, value: int) -> None:
        self._cc = value
        if value & CC_SHUTDOWN:
            self.state = ControllerState.SHUT
            self.queues.clear()
        elif value & CC_ENABLE:
            if self.state is ControllerState.DISABLED:
                self.state = ControllerState.READY
        elif self.state is not ControllerState.GONE:
            # A reset: what was asked is void, and the host begins anew.
            self.state = ControllerState.DISABLED
            self.queues.clear()
            self._events.clear()
            self._pending.clear()
            self._masked.clear()
            self._allowed, self._told_of = 0, 0xFFFFFFFF
            self.honors_retry_delay = False

    @property
    def must_close_io_queues(self) -> bool:
        """Whether I/O queues are to be closed: nothing of theirs may be reported as done any more."""
        return self.state is not ControllerState.READY

    def _identify(self, sqe: Sqe) -> Answer:
        wrong = CommandCompleted(Cqe(sqe.cid, Status.INVALID_NAMESPACE, dnr=True))
        match sqe.cdw[0] & 0xFF:
            case Cns.CONTROLLER:
                return DataReturned(admin.identify_controller(self.traits, self.cntlid, len(self.namespaces)))
            case Cns.NAMESPACE if not self.traits.discovery:
                if not 1 <= sqe.nsid <= max(1, len(self.namespaces)):
                    return wrong
                return DataReturned(admin.identify_namespace(self.namespaces.get(sqe.nsid), self.traits.ana))
            case Cns.ACTIVE_LIST if not self.traits.discovery:
                if sqe.nsid >= ALL_NAMESPACES - 1:
                    return wrong
                return DataReturned(admin.active_list(self.namespaces, sqe.nsid))
            case Cns.DESCRIPTORS if not self.traits.discovery:
                one = self.namespaces.get(sqe.nsid)
                return wrong if one is None else DataReturned(admin.descriptors(one))
        return CommandCompleted(Cqe(sqe.cid, Status.INVALID_FIELD, dnr=True))

    def _log(self, sqe: Sqe) -> Answer:
        page, keeps = sqe.cdw[0] & 0xFF, bool(sqe.cdw[0] >> 15 & 1)
        length = ((sqe.cdw[0] >> 16 | (sqe.cdw[1] & 0xFFFF) << 16) + 1) * 4
        offset = sqe.cdw[2] | sqe.cdw[3] << 32
        if length > self.traits.max_transfer or offset % 4:
            return CommandCompleted(Cqe(sqe.cid, Status.INVALID_FIELD, dnr=True))
        whole = None
        match page:
            case LogPage.ERROR if not self.traits.discovery:
                whole = bytes(admin.ERROR_ENTRY)
            case LogPage.SMART if not self.traits.discovery:
                whole = admin.smart_log()
            case LogPage.ANA if self.traits.ana:
                whole = admin.ana_log(self.ana, self._changes, bool(sqe.cdw[0] >> 8 & 1))
            case LogPage.DISCOVERY if self.traits.discovery:
                whole = admin.discovery_log(self.entries, self.generation)
        if whole is None:
            return CommandCompleted(Cqe(sqe.cid, Status.BAD_LOG, dnr=True))
        if offset > len(whole):
            return CommandCompleted(Cqe(sqe.cid, Status.INVALID_FIELD, dnr=True))
        if not keeps:
            self._masked.discard(page)
        return DataReturned(whole[offset : offset + length].ljust(length, b"\0"))

    def _abort(self, sqe: Sqe) -> Answer:
        return AbortRequested(sqe.cid, sqe.cdw[0] & 0xFFFF, sqe.cdw[0] >> 16)

    def _set_feature(self, sqe: Sqe, data: bytes) -> Answer:
        value = sqe.cdw[1]
        match sqe.cdw[0] & 0xFF:
            case Feature.NUMBER_OF_QUEUES:
                submission, completion = value & 0xFFFF, value >> 16
                if 0xFFFF in (submission, completion):
                    return CommandCompleted(Cqe(sqe.cid, Status.INVALID_FIELD, dnr=True))
                if self.queues:
                    return CommandCompleted(Cqe(sqe.cid, Status.SEQUENCE, dnr=True))
                self._allowed = min(submission, completion, self.traits.io_queues - 1) + 1
                return CommandCompleted(Cqe(sqe.cid, dw0=(self._allowed - 1) * 0x10001))
            case Feature.ASYNC_EVENTS:
                self._told_of = value
                return CommandCompleted(Cqe(sqe.cid))
            case Feature.KEEP_ALIVE:
                self.keep_alive_us = value * 1000
                return CommandCompleted(Cqe(sqe.cid))
            case Feature.HOST_BEHAVIOR if len(data) == admin.HOST_BEHAVIOR_BYTES and data[0] <= 1:
                self.honors_retry_delay = bool(data[0])
                return CommandCompleted(Cqe(sqe.cid))
        return CommandCompleted(Cqe(sqe.cid, Status.INVALID_FIELD, dnr=True))

    def _get_feature(self, sqe: Sqe) -> Answer:
        known = {
            Feature.NUMBER_OF_QUEUES: ((self._allowed or self.traits.io_queues) - 1) * 0x10001,
            Feature.ASYNC_EVENTS: self._told_of, Feature.KEEP_ALIVE: self.keep_alive_us // 1000,
            Feature.WRITE_CACHE: 1,
        }  # fmt: skip
        feature = sqe.cdw[0] & 0xFF
        if feature == Feature.HOST_BEHAVIOR:
            return DataReturned(bytes([self.honors_retry_delay]).ljust(admin.HOST_BEHAVIOR_BYTES, b"\0"))
        if feature not in known:
            return CommandCompleted(Cqe(sqe.cid, Status.INVALID_FIELD, dnr=True))
        return CommandCompleted(Cqe(sqe.cid, dw0=known[Feature(feature)]))

    # -- events

    def _event(self, sqe: Sqe) -> Answer:
        if len(self._events) >= self.traits.events:
            return CommandCompleted(Cqe(sqe.cid, Status.EVENT_LIMIT, dnr=True))
        if self._pending:
            return CommandCompleted(Cqe(sqe.cid, dw0=self._pending.pop(0)))
        self._events.append(sqe.cid)
        return Deferred()

    def update_ana_states(self, states: Mapping[int, AnaState]) -> Cqe | None:
        """Take the namespaces' present states; return the event to be sent of a change, if one is."""
        if states == self.ana:
            return None
        first, self.ana = not self.ana, dict(states)
        self._changes += 1
        if first or not self._told_of >> 11 & 1 or LogPage.ANA in self._masked:
            return None
        self._masked.add(LogPage.ANA)
        told = NOTICE | ANA_CHANGE << 8 | LogPage.ANA << 16
        if self._events:
            return Cqe(self._events.pop(0), dw0=told)
        self._pending.append(told)
        return None

    def abort_event_request(self, cid: int) -> bool:
        """An Asynchronous Event Request is aborted; return whether it was open."""
        if cid not in self._events:
            return False
        self._events.remove(cid)
        return True


class Subsystem:
    """All controllers of one head."""

    def __init__(
        self,
        traits: ControllerTraits,
        namespaces: Mapping[int, Namespace],
        entries: tuple[DiscoveryEntry, ...],
    ) -> None:
        self.traits, self.namespaces, self.entries = traits, namespaces, entries
        self.controllers: dict[int, Controller] = {}
        self._last = 0

    def connect(self, asked: Connect, now: int) -> Controller | Cqe:
        """Connect a queue; return its controller, or the completion that says why not."""
        who, discovery = asked.who, asked.who.subsystem == admin.DISCOVERY_NQN
        if not discovery and who.subsystem != self.traits.nqn:
            return Cqe(asked.cid, Status.CONNECT_INVALID, 256 | IN_DATA, dnr=True)
        if asked.queue:
            one = self.controllers.get(who.cntlid)
            if one is None or one.traits.discovery is not discovery:
                return Cqe(asked.cid, Status.CONNECT_INVALID, 16 | IN_DATA, dnr=True)
            if discovery:  # it has no I/O queues
                return Cqe(asked.cid, Status.CONNECT_INVALID, 42, dnr=True)
            return one.accepts(asked) or one
        if who.cntlid != DYNAMIC_CONTROLLER_ID:
            return Cqe(asked.cid, Status.CONNECT_INVALID, 16 | IN_DATA, dnr=True)
        if not LEAST_ENTRIES <= asked.entries <= max(self.traits.queue_entries, 32):
            return Cqe(asked.cid, Status.CONNECT_INVALID, 44, dnr=True)
        cntlid = self._free()
        if cntlid is None:
            return Cqe(asked.cid, Status.CONNECT_BUSY)
        traits = self.traits if not discovery else ControllerTraits(
            admin.DISCOVERY_NQN, self.traits.serial, self.traits.firmware, discovery=True)  # fmt: skip
        made = self.controllers[cntlid] = Controller(
            traits, cntlid, who.host, who.host_id, asked.keep_alive_ms * 1000, now,
            {} if discovery else self.namespaces, entries=self.entries if discovery else (),
        )  # fmt: skip
        return made

    def _free(self) -> int | None:
        for _ in range(DYNAMIC_CONTROLLER_ID - 0x10):
            self._last = (
                self._last % (DYNAMIC_CONTROLLER_ID - 0x10) + 1
            )  # the highest ones mean something else
            if self._last not in self.controllers:
                return self._last
        return None

    def remove_controller(self, one: Controller) -> None:
        """A controller's admin queue ended."""
        one.gone()
        self.controllers.pop(one.cntlid, None)


# -- the NVM command set


@dataclass(frozen=True, slots=True)
class IoCommand:
    """What an I/O command asks, in bytes."""

    opcode: admin.IoOpcode
    nsid: int
    offset: int = 0
    length: int = 0
    fua: bool = False
    ranges: tuple[tuple[int, int], ...] = ()  # of Dataset Management: (offset, length)


_RANGE = struct.Struct("<IIQ")


def parse_io_command(
    sqe: Sqe, data: bytes, namespaces: Mapping[int, Namespace], most_transfer: int
) -> IoCommand | Cqe:
    """Read an I/O command; the completion says what is wrong with it."""

    def wrong(status: int) -> Cqe:
        return Cqe(sqe.cid, status, dnr=True)

    try:
        opcode = admin.IoOpcode(sqe.opcode)
    except ValueError:
        return wrong(Status.INVALID_OPCODE)
    if opcode is admin.IoOpcode.FLUSH and sqe.nsid == ALL_NAMESPACES:
        return IoCommand(opcode, sqe.nsid)
    one = namespaces.get(sqe.nsid)
    if one is None:
        return wrong(Status.INVALID_NAMESPACE)
    if opcode is admin.IoOpcode.FLUSH:
        return IoCommand(opcode, sqe.nsid)
    if one.read_only and opcode not in (admin.IoOpcode.READ, admin.IoOpcode.COMPARE):
        return wrong(Status.WRITE_PROTECTED)
    if opcode is admin.IoOpcode.DATASET_MANAGEMENT:
        return _dataset(sqe, data, one)
    start, blocks = sqe.cdw[0] | sqe.cdw[1] << 32, (sqe.cdw[2] & 0xFFFF) + 1
    if start + blocks > one.blocks:
        return wrong(Status.LBA_RANGE)
    length = blocks * admin.BLOCK_BYTES
    if opcode is not admin.IoOpcode.WRITE_ZEROES:
        if length > most_transfer:
            return wrong(Status.INVALID_FIELD)
        if sqe.length != length:
            return wrong(Status.SGL_LENGTH)
    return IoCommand(opcode, sqe.nsid, start * admin.BLOCK_BYTES, length, bool(sqe.cdw[2] >> 30 & 1))


def _dataset(sqe: Sqe, data: bytes, one: Namespace) -> IoCommand | Cqe:
    count, deallocate = (sqe.cdw[0] & 0xFF) + 1, bool(sqe.cdw[1] >> 2 & 1)
    if len(data) < count * _RANGE.size:
        return Cqe(sqe.cid, Status.SGL_LENGTH, dnr=True)
    ranges = []
    for number in range(count):
        _, blocks, start = _RANGE.unpack_from(data, number * _RANGE.size)
        if start + blocks > one.blocks:
            return Cqe(sqe.cid, Status.LBA_RANGE, dnr=True)
        if blocks and deallocate:  # what else may be said of ranges is advice, which is not taken
            ranges.append((start * admin.BLOCK_BYTES, blocks * admin.BLOCK_BYTES))
    return IoCommand(admin.IoOpcode.DATASET_MANAGEMENT, sqe.nsid, ranges=tuple(ranges))


def pack_range(block: int, blocks: int) -> bytes:
    """Write one range of Dataset Management."""
    return _RANGE.pack(0, blocks, block)
