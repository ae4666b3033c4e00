"""What admin commands carry: Connect data, properties, Identify, log pages.

Layouts are those of the "NVM Express Base Specification" 2.0: sections 3.1.3 (properties), 5.16 (log pages),
5.17 (Identify), 6.3 (Connect), and of the "NVM Command Set Specification" 1.0, section 4.1.5. The host's side
reads back what it needs. Lengths are bytes unless they say blocks.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import IntEnum

BLOCK_BITS = 9  # of the one LBA format: blocks of 512 bytes
BLOCK_BYTES = 1 << BLOCK_BITS
MIN_PAGE_BYTES = 4096  # the least memory page, which MDTS counts in
IDENTIFY_BYTES = 4096
CONNECT_BYTES = 1024
DYNAMIC_CONTROLLER_ID = 0xFFFF  # as a controller id: give me one
VERSION = 0x00020000  # 2.0.0
DISCOVERY_NQN = "nqn.2014-08.org.nvmexpress.discovery"
NQN_BYTES = 223  # the longest NQN
ALL_NAMESPACES = 0xFFFFFFFF


class AdminOpcode(IntEnum):
    """Admin opcodes."""

    GET_LOG_PAGE = 0x02
    IDENTIFY = 0x06
    ABORT = 0x08
    SET_FEATURES = 0x09
    GET_FEATURES = 0x0A
    ASYNC_EVENT = 0x0C
    KEEP_ALIVE = 0x18
    FABRICS = 0x7F


class FabricsCommandType(IntEnum):
    """Fabrics command types."""

    PROPERTY_SET = 0x00
    CONNECT = 0x01
    PROPERTY_GET = 0x04
    DISCONNECT = 0x08


class IoOpcode(IntEnum):
    """Opcodes of the NVM command set."""

    FLUSH = 0x00
    WRITE = 0x01
    READ = 0x02
    COMPARE = 0x05
    WRITE_ZEROES = 0x08
    DATASET_MANAGEMENT = 0x09


class Property(IntEnum):
    """Offsets of properties."""

    CAP = 0x00
    VS = 0x08
    CC = 0x14
    CSTS = 0x1C


class Feature(IntEnum):
    """Feature identifiers."""

    WRITE_CACHE = 0x06
    NUMBER_OF_QUEUES = 0x07
    ASYNC_EVENTS = 0x0B
    KEEP_ALIVE = 0x0F
    HOST_BEHAVIOR = 0x16


HOST_BEHAVIOR_BYTES = 512  # its first byte is ACRE: the host honours Command Retry Delay


class LogPage(IntEnum):
    """Log pages."""

    ERROR = 0x01
    SMART = 0x02
    CHANGED_NAMESPACES = 0x04
    ANA = 0x0C
    DISCOVERY = 0x70


class Cns(IntEnum):
    """What Identify asks about."""

    NAMESPACE = 0x00
    CONTROLLER = 0x01
    ACTIVE_LIST = 0x02
    DESCRIPTORS = 0x03


class AnaState(IntEnum):
    """Asymmetric namespace access states."""

    OPTIMIZED = 0x1
    NON_OPTIMIZED = 0x2
    INACCESSIBLE = 0x3


@dataclass(frozen=True, slots=True)
class Namespace:
    """A volume as hosts see it; its ANA group has its own number."""

    nsid: int
    blocks: int
    guid: bytes  # 16: the same at every head that serves it
    read_only: bool = False


@dataclass(frozen=True, slots=True)
class ControllerTraits:
    """What a controller says of itself."""

    nqn: str
    serial: str
    firmware: str
    model: str = "harriertrack head"
    discovery: bool = False
    ana: bool = False
    queue_entries: int = 128  # of a queue
    io_queues: int = 64  # for I/O
    in_capsule: int = 8 << 10
    max_transfer: int = 1 << 20
    retry_delays: tuple[int, int, int] = (1, 5, 20)  # CRDT1 to 3, in units of 100 ms
    keep_alive_unit: int = 1  # KAS, in units of 100 ms
    events: int = 4  # Asynchronous Event Requests at a time


# -- Connect

_CONNECT = struct.Struct("<16sH238x256s256s256x")


def _nqn(text: str) -> bytes:
    raw = text.encode()
    if len(raw) > NQN_BYTES:
        raise ValueError(f"an NQN of {len(raw)} bytes")
    return raw


@dataclass(frozen=True, slots=True)
class ConnectData:
    """Who connects, to what."""

    host_id: bytes
    cntlid: int
    subsystem: str
    host: str

    def pack(self) -> bytes:
        """Write the data. Raises ValueError for a name that is too long."""
        return _CONNECT.pack(self.host_id, self.cntlid, _nqn(self.subsystem), _nqn(self.host))

    @classmethod
    def unpack(cls, data: bytes) -> ConnectData:
        """Read the data. Raises ValueError where a name is no name."""
        host_id, cntlid, subsystem, host = _CONNECT.unpack(data)
        names = [one.split(b"\0", 1)[0] for one in (subsystem, host)]
        if any(not one or len(one) > NQN_BYTES for one in names):
            raise ValueError("no name, or one that does not end")
        return cls(host_id, cntlid, names[0].decode(), names[1].decode())


# -- properties


def cap(traits: ControllerTraits) -> int:
    """Return the capabilities: entries of a queue, contiguous; 5 s to get ready; the NVM command set."""
    return (traits.queue_entries - 1) | 1 << 16 | 10 << 24 | 1 << 37


CC_ENABLE, CC_SHUTDOWN = 1 << 0, 0b11 << 14
CSTS_READY, CSTS_SHUT = 1 << 0, 0b10 << 2


# -- Identify


def _text(text: str, width: int) -> bytes:
    return text.encode("ascii", "replace")[:width].ljust(width)


def identify_controller(traits: ControllerTraits, cntlid: int, namespaces: int) -> bytes:
    """Return the Identify Controller data."""
    out = bytearray(IDENTIFY_BYTES)

    def put(at: int, layout: str, *values: int | bytes) -> None:
        struct.pack_into("<" + layout, out, at, *values)

    put(4, "20s40s8s", _text(traits.serial, 20), _text(traits.model, 40), _text(traits.firmware, 8))
    put(76, "BBHI", 0b1010 if traits.ana else 0b10, mdts(traits.max_transfer), cntlid, VERSION)
    # What asynchronous events can tell: ANA changes; of a discovery controller, that its log changed.
    put(92, "I", 1 << 31 if traits.discovery else (1 << 11 if traits.ana else 0))
    put(111, "B", 2 if traits.discovery else 1)
    put(128, "HHH", *traits.retry_delays)
    put(258, "BBBB", 3, traits.events - 1, 0b11, 0)  # ACL, AERL, FRMW, LPA
    put(320, "H", traits.keep_alive_unit)
    put(514, "H", traits.queue_entries)
    if not traits.discovery:
        put(512, "BB", 0x66, 0x44)  # entries of 64 and 16 bytes
        put(516, "IH", max(1, namespaces), 1 << 0 | 1 << 2 | 1 << 3)  # NN; Compare, Dataset, Write Zeroes
        put(525, "B", 0b111)  # a volatile write cache; Flush takes all namespaces at a time
    if traits.ana:
        put(342, "BBII", 10, 0b111, max(1, namespaces), max(1, namespaces))  # ANATT, ANACAP, groups
    put(536, "I", 1 << 0 | 1 << 20)  # SGLs, with offsets into the capsule
    put(768, "256s", _nqn(traits.nqn))
    put(1792, "IIHBB", (64 + traits.in_capsule) // 16, 1, 0, 0, 1)
    return bytes(out)


def mdts(most_transfer: int) -> int:
    """Return the power of two of pages that one command may transfer."""
    return max(0, (most_transfer // MIN_PAGE_BYTES).bit_length() - 1)


@dataclass(frozen=True, slots=True)
class ControllerInfo:
    """What a host reads of Identify Controller."""

    serial: str
    model: str
    cntlid: int
    nqn: str
    max_transfer: int
    in_capsule: int
    retry_delays: tuple[int, int, int]
    ana: bool
    discovery: bool

    @classmethod
    def unpack(cls, data: bytes) -> ControllerInfo:
        """Read the data."""
        serial, model = struct.unpack_from("<20s40s", data, 4)
        cmic, transfer, cntlid = struct.unpack_from("<BBH", data, 76)
        delays = struct.unpack_from("<HHH", data, 128)
        (capsule,) = struct.unpack_from("<I", data, 1792)
        return cls(
            serial.decode("ascii", "replace").strip(), model.decode("ascii", "replace").strip(), cntlid,
            data[768:1024].split(b"\0", 1)[0].decode(), MIN_PAGE_BYTES << transfer if transfer else 0,
            max(0, capsule * 16 - 64), delays, bool(cmic & 0b1000), data[111] == 2,
        )  # fmt: skip


def identify_namespace(one: Namespace | None, ana: bool = False) -> bytes:
    """Return the Identify Namespace data; all zeroes for one that is not there."""
    out = bytearray(IDENTIFY_BYTES)
    if one is not None:
        struct.pack_into("<QQQ", out, 0, one.blocks, one.blocks, one.blocks)
        struct.pack_into("<B", out, 30, 1)  # may be reached through more than one controller
        struct.pack_into(
            "<B", out, 33, 0b1001
        )  # deallocated blocks read as zeroes; Write Zeroes may deallocate
        if ana:
            struct.pack_into("<I", out, 92, one.nsid)
        struct.pack_into("<B", out, 99, int(one.read_only))
        struct.pack_into("<16s", out, 104, one.guid)
        struct.pack_into("<HBB", out, 128, 0, BLOCK_BITS, 0)
    return bytes(out)


@dataclass(frozen=True, slots=True)
class NamespaceInfo:
    """What a host reads of Identify Namespace."""

    blocks: int
    block: int
    read_only: bool
    guid: bytes
    ana_group: int

    @classmethod
    def unpack(cls, data: bytes) -> NamespaceInfo:
        """Read the data. Raises ValueError for formats that are not spoken here."""
        blocks = int.from_bytes(data[:8], "little")
        form = data[26] & 0xF
        metadata, bits = struct.unpack_from("<HB", data, 128 + 4 * form)
        if blocks and (metadata or not 9 <= bits <= 16):
            raise ValueError(f"blocks of 2^{bits} bytes with {metadata} of metadata")
        (group,) = struct.unpack_from("<I", data, 92)
        return cls(blocks, 1 << bits, bool(data[99] & 1), data[104:120], group)


def active_list(nsids: Iterable[int], after: int) -> bytes:
    """Return the active namespaces above a number, in order, at most 1,024 of them."""
    found = sorted(nsid for nsid in nsids if nsid > after)[: IDENTIFY_BYTES // 4]
    return struct.pack(f"<{len(found)}I", *found).ljust(IDENTIFY_BYTES, b"\0")


def descriptors(one: Namespace) -> bytes:
    """Return a namespace's identifiers: its NGUID, and that it is of the NVM command set."""
    return (struct.pack("<BBxx16s", 2, 16, one.guid) + struct.pack("<BBxxB", 4, 1, 0)).ljust(
        IDENTIFY_BYTES, b"\0"
    )


# -- log pages

ERROR_ENTRY, SMART_BYTES = 64, 512


def smart_log() -> bytes:
    """Return the SMART log: nothing is wrong, and 300 K."""
    return struct.pack("<BHBBB", 0, 300, 100, 10, 0).ljust(SMART_BYTES, b"\0")


_ANA_GROUP = struct.Struct("<IIQB15x")


def ana_log(states: Mapping[int, AnaState], changes: int, groups_only: bool = False) -> bytes:
    """Return the ANA log: a group for each namespace, of its number; `changes` counts them."""
    out = [struct.pack("<QH6x", changes, len(states))]
    for nsid, state in sorted(states.items()):
        out.append(_ANA_GROUP.pack(nsid, 0 if groups_only else 1, changes, state))
        if not groups_only:
            out.append(struct.pack("<I", nsid))
    return b"".join(out)


def parse_ana(data: bytes) -> dict[int, AnaState]:
    """Read the states of all groups. Raises ValueError if the log is cut short or names no known state."""
    try:
        _, count = struct.unpack_from("<QH", data)
        at, states = 16, {}
        for _ in range(count):
            group, nsids, _, state = _ANA_GROUP.unpack_from(data, at)
            states[group] = AnaState(state & 0xF)
            at += _ANA_GROUP.size + 4 * nsids
    except struct.error as error:
        raise ValueError(f"ANA log: {error}") from error
    return states


@dataclass(frozen=True, slots=True)
class DiscoveryEntry:
    """A subsystem that a discovery controller tells of."""

    nqn: str
    address: str
    port: int


_ENTRY = struct.Struct("<BBBBHHH22x32s192x256s256s256x")
_DISCOVERY_HEAD = struct.Struct("<QQH1006x")
TCP, IPV4, IPV6, NVM_SUBSYSTEM = 3, 1, 2, 2


def discovery_log(entries: Sequence[DiscoveryEntry], generation: int) -> bytes:
    """Return the discovery log."""
    out = [_DISCOVERY_HEAD.pack(generation, len(entries), 0)]
    for number, one in enumerate(entries):
        family = IPV6 if ":" in one.address else IPV4
        out.append(_ENTRY.pack(TCP, family, NVM_SUBSYSTEM, 0, number, DYNAMIC_CONTROLLER_ID, 32,
                               str(one.port).encode().ljust(32), _nqn(one.nqn),
                               one.address.encode().ljust(256)))  # fmt: skip
    return b"".join(out)


def parse_discovery_log(data: bytes) -> list[DiscoveryEntry]:
    """Read the TCP entries of a discovery log. Raises ValueError if it is cut short."""
    found = []
    try:
        _, count, form = _DISCOVERY_HEAD.unpack_from(data)
        if form:
            raise ValueError(f"discovery log: record format {form}")
        for number in range(count):
            kind, _, _, _, _, _, _, port, nqn, address = _ENTRY.unpack_from(data, 1024 * (number + 1))
            if kind == TCP:
                found.append(DiscoveryEntry(nqn.split(b"\0", 1)[0].decode(), address.strip(b" \0").decode(),
                                   int(port.strip(b" \0"))))  # fmt: skip
    except struct.error as error:
        raise ValueError(f"discovery log: {error}") from error
    return found
