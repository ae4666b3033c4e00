"""Data structures of admin and fabrics commands: Connect data, properties, Identify data, log pages.

Layouts are those of the "NVM Express Base Specification" 2.0: sections 3.1.3 (properties), 5.16 (log pages),
5.17 (Identify), 6.3 (Connect), and of the "NVM Command Set Specification" 1.0, section 4.1.5. The
`unpack` and `parse_*` functions are the host's side and parse only the fields that it needs. Lengths are in
bytes unless they are named blocks.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import IntEnum

BLOCK_BITS = 9  # LBADS of the only LBA format: blocks of 512 bytes
BLOCK_BYTES = 1 << BLOCK_BITS
MIN_PAGE_BYTES = 4096  # the minimum memory page size, the unit of MDTS
IDENTIFY_BYTES = 4096
CONNECT_BYTES = 1024
DYNAMIC_CONTROLLER_ID = 0xFFFF  # in a Connect command: the controller is to be allocated
VERSION = 0x00020000  # 2.0.0
DISCOVERY_NQN = "nqn.2014-08.org.nvmexpress.discovery"
NQN_BYTES = 223  # the maximum length of an NQN
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
    """Property offsets."""

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


HOST_BEHAVIOR_BYTES = 512  # its first byte is ACRE: the host honors Command Retry Delay


class LogPage(IntEnum):
    """Log page identifiers."""

    ERROR = 0x01
    SMART = 0x02
    CHANGED_NAMESPACES = 0x04
    ANA = 0x0C
    DISCOVERY = 0x70


class Cns(IntEnum):
    """CNS of Identify: the data structure requested."""

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
    """A volume as a namespace; its ANA group identifier equals its namespace id."""

    nsid: int
    blocks: int
    guid: bytes  # NGUID, 16 bytes: the same at every head that serves the namespace
    read_only: bool = False


@dataclass(frozen=True, slots=True)
class ControllerTraits:
    """The properties of a controller that it reports to hosts."""

    nqn: str
    serial: str
    firmware: str
    model: str = "harriertrack head"
    discovery: bool = False
    ana: bool = False
    queue_entries: int = 128  # of a queue (MQES + 1)
    io_queues: int = 64  # limit per controller
    in_capsule: int = 8 << 10  # bytes of data in a command capsule
    max_transfer: int = 1 << 20  # bytes of data of one command (MDTS)
    retry_delays: tuple[int, int, int] = (1, 5, 20)  # CRDT1 to 3, in units of 100 ms
    keep_alive_unit: int = 1  # KAS, in units of 100 ms
    async_event_limit: int = 4  # outstanding Asynchronous Event Requests


# -- Connect

_CONNECT = struct.Struct("<16sH238x256s256s256x")


def _nqn(text: str) -> bytes:
    raw = text.encode()
    if len(raw) > NQN_BYTES:
        raise ValueError(f"NQN of {len(raw)} bytes is longer than {NQN_BYTES}")
    return raw


@dataclass(frozen=True, slots=True)
class ConnectData:
    """Data of a Connect command: the host, and the subsystem and controller that it connects to."""

    host_id: bytes
    cntlid: int
    subsystem: str
    host: str

    def pack(self) -> bytes:
        """Return the data. Raises ValueError if an NQN is too long."""
        return _CONNECT.pack(self.host_id, self.cntlid, _nqn(self.subsystem), _nqn(self.host))

    @classmethod
    def unpack(cls, data: bytes) -> ConnectData:
        """Parse the data. Raises ValueError if an NQN is empty or not terminated."""
        host_id, cntlid, subsystem, host = _CONNECT.unpack(data)
        names = [raw.split(b"\0", 1)[0] for raw in (subsystem, host)]
        if any(not name or len(name) > NQN_BYTES for name in names):
            raise ValueError("the host or subsystem name is empty or not terminated")
        return cls(host_id, cntlid, names[0].decode(), names[1].decode())


# -- properties


def cap(traits: ControllerTraits) -> int:
    """Return CAP: maximum queue entries, contiguous queues, a ready timeout of 5 s, NVM command set."""
    return (traits.queue_entries - 1) | 1 << 16 | 10 << 24 | 1 << 37


CC_ENABLE, CC_SHUTDOWN = 1 << 0, 0b11 << 14
CSTS_READY, CSTS_SHUT = 1 << 0, 0b10 << 2


# -- Identify


def _text(text: str, width: int) -> bytes:
    return text.encode("ascii", "replace")[:width].ljust(width)


def identify_controller(traits: ControllerTraits, cntlid: int, namespaces: int) -> bytes:
    """Return the Identify Controller data."""
    out = bytearray(IDENTIFY_BYTES)

    def put(offset: int, layout: str, *values: int | bytes) -> None:
        struct.pack_into("<" + layout, out, offset, *values)

    put(4, "20s40s8s", _text(traits.serial, 20), _text(traits.model, 40), _text(traits.firmware, 8))
    put(76, "BBHI", 0b1010 if traits.ana else 0b10, mdts(traits.max_transfer), cntlid, VERSION)
    # OAES, the supported asynchronous events: ANA changes; for a discovery controller, discovery log changes.
    put(92, "I", 1 << 31 if traits.discovery else (1 << 11 if traits.ana else 0))
    put(111, "B", 2 if traits.discovery else 1)
    put(128, "HHH", *traits.retry_delays)
    put(258, "BBBB", 3, traits.async_event_limit - 1, 0b11, 0)  # ACL, AERL, FRMW, LPA
    put(320, "H", traits.keep_alive_unit)
    put(514, "H", traits.queue_entries)
    if not traits.discovery:
        put(512, "BB", 0x66, 0x44)  # SQES, CQES: entries of 64 and 16 bytes
        # NN; ONCS: Compare, Dataset Management, Write Zeroes.
        put(516, "IH", max(1, namespaces), 1 << 0 | 1 << 2 | 1 << 3)
        # VWC: a volatile write cache is present; Flush supports the broadcast namespace id.
        put(525, "B", 0b111)
    if traits.ana:
        # ANATT, ANACAP, ANAGRPMAX, NANAGRPID.
        put(342, "BBII", 10, 0b111, max(1, namespaces), max(1, namespaces))
    put(536, "I", 1 << 0 | 1 << 20)  # SGLS: SGLs are supported, with offsets into the capsule
    put(768, "256s", _nqn(traits.nqn))
    put(1792, "IIHBB", (64 + traits.in_capsule) // 16, 1, 0, 0, 1)  # IOCCSZ, IORCSZ, ICDOFF, FCATT, MSDBD
    return bytes(out)


def mdts(max_transfer: int) -> int:
    """Return MDTS: the base-2 logarithm of the number of memory pages that one command may transfer."""
    return max(0, (max_transfer // MIN_PAGE_BYTES).bit_length() - 1)


@dataclass(frozen=True, slots=True)
class ControllerInfo:
    """Fields of Identify Controller data."""

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


def identify_namespace(namespace: Namespace | None, ana: bool = False) -> bytes:
    """Return the Identify Namespace data; all zeroes for an inactive namespace."""
    out = bytearray(IDENTIFY_BYTES)
    if namespace is not None:
        struct.pack_into("<QQQ", out, 0, namespace.blocks, namespace.blocks, namespace.blocks)
        struct.pack_into("<B", out, 30, 1)  # NMIC: may be attached to several controllers
        # DLFEAT: deallocated blocks are read as zeroes; Write Zeroes may deallocate.
        struct.pack_into("<B", out, 33, 0b1001)
        if ana:
            struct.pack_into("<I", out, 92, namespace.nsid)
        struct.pack_into("<B", out, 99, int(namespace.read_only))
        struct.pack_into("<16s", out, 104, namespace.guid)
        struct.pack_into("<HBB", out, 128, 0, BLOCK_BITS, 0)
    return bytes(out)


@dataclass(frozen=True, slots=True)
class NamespaceInfo:
    """Fields of Identify Namespace data."""

    blocks: int
    block: int  # bytes of a block
    read_only: bool
    guid: bytes
    ana_group: int

    @classmethod
    def unpack(cls, data: bytes) -> NamespaceInfo:
        """Parse the data. Raises ValueError for an unsupported LBA format."""
        blocks = int.from_bytes(data[:8], "little")
        lba_format = data[26] & 0xF
        metadata, bits = struct.unpack_from("<HB", data, 128 + 4 * lba_format)
        if blocks and (metadata or not 9 <= bits <= 16):
            raise ValueError(
                f"unsupported LBA format: blocks of 2^{bits} bytes with {metadata} bytes of metadata"
            )
        (group,) = struct.unpack_from("<I", data, 92)
        return cls(blocks, 1 << bits, bool(data[99] & 1), data[104:120], group)


def active_list(nsids: Iterable[int], after: int) -> bytes:
    """Return the active namespace ids above `after`, sorted, at most 1,024 of them."""
    found = sorted(nsid for nsid in nsids if nsid > after)[: IDENTIFY_BYTES // 4]
    return struct.pack(f"<{len(found)}I", *found).ljust(IDENTIFY_BYTES, b"\0")


def descriptors(namespace: Namespace) -> bytes:
    """Return the identification descriptors: the NGUID, and the NVM command set as CSI."""
    return (struct.pack("<BBxx16s", 2, 16, namespace.guid) + struct.pack("<BBxxB", 4, 1, 0)).ljust(
        IDENTIFY_BYTES, b"\0"
    )


# -- log pages

ERROR_ENTRY, SMART_BYTES = 64, 512


def smart_log() -> bytes:
    """Return the SMART log: no critical warning, a temperature of 300 K."""
    return struct.pack("<BHBBB", 0, 300, 100, 10, 0).ljust(SMART_BYTES, b"\0")


_ANA_GROUP = struct.Struct("<IIQB15x")


def ana_log(states: Mapping[int, AnaState], changes: int, groups_only: bool = False) -> bytes:
    """Return the ANA log: one group per namespace, with the namespace id as its identifier.

    `changes` is the change count.
    """
    out = [struct.pack("<QH6x", changes, len(states))]
    for nsid, state in sorted(states.items()):
        out.append(_ANA_GROUP.pack(nsid, 0 if groups_only else 1, changes, state))
        if not groups_only:
            out.append(struct.pack("<I", nsid))
    return b"".join(out)


def parse_ana_log(data: bytes) -> dict[int, AnaState]:
    """Parse the states of all groups. Raises ValueError if the log is truncated or has an unknown state."""
    try:
        _, count = struct.unpack_from("<QH", data)
        offset, states = 16, {}
        for _ in range(count):
            group, nsids, _, state = _ANA_GROUP.unpack_from(data, offset)
            states[group] = AnaState(state & 0xF)
            offset += _ANA_GROUP.size + 4 * nsids
    except struct.error as error:
        raise ValueError(f"ANA log: {error}") from error
    return states


@dataclass(frozen=True, slots=True)
class DiscoveryEntry:
    """An entry of the discovery log: a subsystem and its address."""

    nqn: str
    address: str
    port: int


_ENTRY = struct.Struct("<BBBBHHH22x32s192x256s256s256x")
_DISCOVERY_HEADER = struct.Struct("<QQH1006x")
TCP, IPV4, IPV6, NVM_SUBSYSTEM = 3, 1, 2, 2


def discovery_log(entries: Sequence[DiscoveryEntry], generation: int) -> bytes:
    """Return the discovery log; `generation` is its generation counter."""
    out = [_DISCOVERY_HEADER.pack(generation, len(entries), 0)]
    for port_id, entry in enumerate(entries):
        family = IPV6 if ":" in entry.address else IPV4
        out.append(_ENTRY.pack(TCP, family, NVM_SUBSYSTEM, 0, port_id, DYNAMIC_CONTROLLER_ID, 32,
                               str(entry.port).encode().ljust(32), _nqn(entry.nqn),
                               entry.address.encode().ljust(256)))  # fmt: skip
    return b"".join(out)


def parse_discovery_log(data: bytes) -> list[DiscoveryEntry]:
    """Parse the TCP entries of a discovery log. Raises ValueError if it is truncated or malformed."""
    found = []
    try:
        _, count, record_format = _DISCOVERY_HEADER.unpack_from(data)
        if record_format:
            raise ValueError(f"discovery log: record format {record_format}")
        for index in range(count):
            transport_type, _, _, _, _, _, _, port, nqn, address = _ENTRY.unpack_from(
                data, 1024 * (index + 1)
            )
            if transport_type == TCP:
                found.append(DiscoveryEntry(nqn.split(b"\0", 1)[0].decode(), address.strip(b" \0").decode(),
                                   int(port.strip(b" \0"))))  # fmt: skip
    except struct.error as error:
        raise ValueError(f"discovery log: {error}") from error
    return found
