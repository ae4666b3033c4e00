"""Numbers and layouts of the NBD specification, and the buffer both sides parse from."""

from __future__ import annotations

import struct
from enum import IntEnum, IntFlag

NBD_MAGIC = 0x4E42444D41474943
OPTION_MAGIC = 0x49484156454F5054
OPTION_REPLY_MAGIC = 0x0003E889045565A9
REQUEST_MAGIC = 0x25609513
SIMPLE_REPLY_MAGIC = 0x67446698
STRUCTURED_REPLY_MAGIC = 0x668E33EF

GREETING = struct.Struct(">QQH")
OPTION = struct.Struct(">QII")
OPTION_REPLY = struct.Struct(">QIII")
REQUEST = struct.Struct(">IHHQQI")
SIMPLE_REPLY = struct.Struct(">IIQ")
CHUNK = struct.Struct(">IHHQI")
U16, U32, U64 = struct.Struct(">H"), struct.Struct(">I"), struct.Struct(">Q")
EXPORT_SIZE = struct.Struct(">QH")  # the answer to EXPORT_NAME, and INFO_EXPORT after its type
INFO_EXPORT = struct.Struct(">HQH")
INFO_BLOCK_SIZE = struct.Struct(">HIII")
HOLE = struct.Struct(">QI")
ERROR = struct.Struct(">IH")
EXTENT = struct.Struct(">II")

MAX_NAME = 4096  # bytes of an export name or meta context (spec: strings)
MAX_OPTION = 65_536  # bytes of one option's data that are looked at; more is skipped and answered TOO_BIG
MAX_SKIPPED = 1 << 20  # bytes of one option's data that are skipped; more closes the connection
MAX_PAYLOAD = 32 << 20  # bytes of one request's data (spec: maximum payload default)
MAX_QUERIES = 64  # meta context queries in one option


class HandshakeFlags(IntFlag):
    """Flags of server and client at the start of the handshake."""

    FIXED_NEWSTYLE = 1
    NO_ZEROES = 2


class TransmissionFlags(IntFlag):
    """What an export offers."""

    HAS_FLAGS = 1 << 0
    READ_ONLY = 1 << 1
    SEND_FLUSH = 1 << 2
    SEND_FUA = 1 << 3
    ROTATIONAL = 1 << 4
    SEND_TRIM = 1 << 5
    SEND_WRITE_ZEROES = 1 << 6
    SEND_DF = 1 << 7
    CAN_MULTI_CONN = 1 << 8
    SEND_CACHE = 1 << 10
    SEND_FAST_ZERO = 1 << 11


class Option(IntEnum):
    """Options of the handshake."""

    EXPORT_NAME = 1
    ABORT = 2
    LIST = 3
    STARTTLS = 5
    INFO = 6
    GO = 7
    STRUCTURED_REPLY = 8
    LIST_META_CONTEXT = 9
    SET_META_CONTEXT = 10


class Rep(IntEnum):
    """Replies to options."""

    ACK = 1
    SERVER = 2
    INFO = 3
    META_CONTEXT = 4
    ERR_UNSUP = 0x80000001
    ERR_POLICY = 0x80000002
    ERR_INVALID = 0x80000003
    ERR_PLATFORM = 0x80000004
    ERR_TLS_REQD = 0x80000005
    ERR_UNKNOWN = 0x80000006
    ERR_SHUTDOWN = 0x80000007
    ERR_BLOCK_SIZE_REQD = 0x80000008
    ERR_TOO_BIG = 0x80000009


REP_ERROR = 0x80000000  # every reply with this bit is an error


class Info(IntEnum):
    """Kinds of information about an export."""

    EXPORT = 0
    NAME = 1
    DESCRIPTION = 2
    BLOCK_SIZE = 3


class Command(IntEnum):
    """Requests of the transmission phase."""

    READ = 0
    WRITE = 1
    DISC = 2
    FLUSH = 3
    TRIM = 4
    CACHE = 5
    WRITE_ZEROES = 6
    BLOCK_STATUS = 7
    CANCEL = 0x4801  # of the project's extension (extension.py), as the two below
    TICK = 0x4802
    CAUGHT_UP = 0x4803
    DIGEST = 0x4804


class CommandFlags(IntFlag):
    """Flags of requests."""

    FUA = 1 << 0
    NO_HOLE = 1 << 1
    DF = 1 << 2
    REQ_ONE = 1 << 3
    FAST_ZERO = 1 << 4


class Chunk(IntEnum):
    """Types of structured reply chunks."""

    NONE = 0
    OFFSET_DATA = 1
    OFFSET_HOLE = 2
    BLOCK_STATUS = 5
    REPORT = 0x4801  # of the project's extension
    ERROR = 0x8001
    ERROR_OFFSET = 0x8002
    ERROR_NEVER_RAN = 0xC802  # of the project's extension


CHUNK_DONE = 1
CHUNK_ERROR = 0x8000  # every chunk type with this bit is an error


class Errno(IntEnum):
    """Error values of replies; numbers are the protocol's, whatever the machine's own are."""

    OK = 0
    EPERM = 1
    EIO = 5
    ENOMEM = 12
    EINVAL = 22
    ENOSPC = 28
    EOVERFLOW = 75
    ENOTSUP = 95
    ESHUTDOWN = 108


class ExtentFlags(IntFlag):
    """Status flags of `base:allocation`."""

    HOLE = 1
    ZERO = 2


BASE_ALLOCATION = "base:allocation"


class ProtocolViolation(Exception):
    """The peer broke the protocol in a way that ends the connection."""


def unpack_string(data: bytes, at: int, what: str) -> tuple[str, int]:
    """Read a 32-bit length and that much UTF-8; return it and where it ends.

    Raises ValueError if it is longer than the data or `MAX_NAME`, or no UTF-8.
    """
    if at + 4 > len(data):
        raise ValueError(f"{what}: cut short")
    (length,) = U32.unpack_from(data, at)
    if length > MAX_NAME or at + 4 + length > len(data):
        raise ValueError(f"{what}: its length {length} does not fit")
    return data[at + 4 : at + 4 + length].decode("utf-8"), at + 4 + length


def pack_string(text: str) -> bytes:
    """Write a 32-bit length and the text in UTF-8."""
    data = text.encode()
    return U32.pack(len(data)) + data
