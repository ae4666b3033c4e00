"""Constants and message layouts of the NBD specification, and the strings of its options."""

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
EXPORT_SIZE = struct.Struct(">QH")  # the reply to EXPORT_NAME: size and transmission flags of the export
INFO_EXPORT = struct.Struct(">HQH")
INFO_BLOCK_SIZE = struct.Struct(">HIII")
HOLE = struct.Struct(">QI")
ERROR = struct.Struct(">IH")
EXTENT = struct.Struct(">II")

MAX_NAME = 4096  # bytes of an export name or meta context (spec: strings)
MAX_OPTION = 65_536  # bytes of data that an option may have; the data of a longer one is skipped: ERR_TOO_BIG
MAX_SKIPPED = 1 << 20  # bytes of one option's data that are skipped at most; more closes the connection
MAX_PAYLOAD = 32 << 20  # bytes of data of one request (the specification's default maximum payload)
MAX_QUERIES = 64  # meta context queries in one option


class HandshakeFlags(IntFlag):
    """Flags of server and client at the start of the handshake."""

    FIXED_NEWSTYLE = 1
    NO_ZEROES = 2


class TransmissionFlags(IntFlag):
    """Transmission flags: properties of an export, and optional commands and flags that it supports."""

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
    """Option types (NBD_OPT_*)."""

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
    """Option reply types (NBD_REP_*)."""

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


REP_ERROR = 0x80000000  # set in every error reply type


class Info(IntEnum):
    """Information types of INFO and GO (NBD_INFO_*)."""

    EXPORT = 0
    NAME = 1
    DESCRIPTION = 2
    BLOCK_SIZE = 3


class Command(IntEnum):
    """Request types of the transmission phase (NBD_CMD_*)."""

    READ = 0
    WRITE = 1
    DISC = 2
    FLUSH = 3
    TRIM = 4
    CACHE = 5
    WRITE_ZEROES = 6
    BLOCK_STATUS = 7
    CANCEL = 0x4801  # this and the next three: the harriertrack extension, see extension.py
    TICK = 0x4802
    CAUGHT_UP = 0x4803
    DIGEST = 0x4804


class CommandFlags(IntFlag):
    """Command flags (NBD_CMD_FLAG_*)."""

    FUA = 1 << 0
    NO_HOLE = 1 << 1
    DF = 1 << 2
    REQ_ONE = 1 << 3
    FAST_ZERO = 1 << 4


class Chunk(IntEnum):
    """Structured reply chunk types (NBD_REPLY_TYPE_*)."""

    NONE = 0
    OFFSET_DATA = 1
    OFFSET_HOLE = 2
    BLOCK_STATUS = 5
    REPORT = 0x4801  # harriertrack extension
    ERROR = 0x8001
    ERROR_OFFSET = 0x8002
    ERROR_NEVER_RAN = 0xC802  # harriertrack extension


CHUNK_DONE = 1  # chunk flag: the last chunk of the reply
CHUNK_ERROR = 0x8000  # set in every error chunk type


class Errno(IntEnum):
    """Error values of replies; the protocol defines the numbers, whatever errno the platform has."""

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
    """The peer violated the protocol so that the connection must be closed."""


def unpack_string(data: bytes, offset: int, what: str) -> tuple[str, int]:
    """Parse a 32-bit length and a UTF-8 string at an offset; return the string and the offset of its end.

    Raises ValueError if the string is longer than the data or `MAX_NAME`, or is not UTF-8.
    """
    if offset + 4 > len(data):
        raise ValueError(f"{what}: cut short")
    (length,) = U32.unpack_from(data, offset)
    if length > MAX_NAME or offset + 4 + length > len(data):
        raise ValueError(f"{what}: its length {length} does not fit")
    return data[offset + 4 : offset + 4 + length].decode("utf-8"), offset + 4 + length


def pack_string(text: str) -> bytes:
    """Return a 32-bit length and the text in UTF-8."""
    data = text.encode()
    return U32.pack(len(data)) + data
