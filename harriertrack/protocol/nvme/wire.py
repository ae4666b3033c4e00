"""PDUs of the NVMe/TCP transport, and the queue entries in capsules.

Layouts, names and values are those of the "NVM Express TCP Transport Specification" 1.0, section 3.6 (PDUs),
and of the "NVM Express Base Specification" 2.0, sections 3.3.3 (queue entries) and 4.2 (status). All integers
are little-endian.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum, IntFlag

import google_crc32c

COMMON = struct.Struct("<BBBBI")  # type, flags, HLEN, PDO, PLEN
INIT = struct.Struct("<HBBI")  # PFV, HPDA or CPDA, DGST, MAXR2T or MAXH2CDATA
TERM = struct.Struct("<HI10x")  # FES, FEI
DATA = struct.Struct("<HHII4x")  # CCCID, TTAG (H2CData), DATAO, DATAL
R2T = struct.Struct("<HHII4x")  # CCCID, TTAG, R2TO, R2TL
DIGEST = struct.Struct("<I")

SQE_BYTES, CQE_BYTES = 64, 16
INIT_BYTES = 128
MAX_TERM_BYTES = 152  # a termination request, including the header of the PDU in error
MAX_ALIGN = 31  # of HPDA and CPDA, in dwords, zero-based
MIN_H2C_DATA = 4096  # the smallest MAXH2CDATA allowed


class Pdu(IntEnum):
    """PDU types."""

    IC_REQ = 0x00
    IC_RESP = 0x01
    H2C_TERM = 0x02
    C2H_TERM = 0x03
    CAPSULE_CMD = 0x04
    CAPSULE_RESP = 0x05
    H2C_DATA = 0x06
    C2H_DATA = 0x07
    R2T = 0x09


HLEN = {
    Pdu.IC_REQ: 128,
    Pdu.IC_RESP: 128,
    Pdu.H2C_TERM: 24,
    Pdu.C2H_TERM: 24,
    Pdu.CAPSULE_CMD: 72,
    Pdu.CAPSULE_RESP: 24,
    Pdu.H2C_DATA: 24,
    Pdu.C2H_DATA: 24,
    Pdu.R2T: 24,
}
FROM_HOST = frozenset((Pdu.IC_REQ, Pdu.H2C_TERM, Pdu.CAPSULE_CMD, Pdu.H2C_DATA))
WITH_DATA = frozenset((Pdu.CAPSULE_CMD, Pdu.H2C_DATA, Pdu.C2H_DATA))
UNDIGESTED = frozenset((Pdu.IC_REQ, Pdu.IC_RESP, Pdu.H2C_TERM, Pdu.C2H_TERM))


class Flags(IntFlag):
    """Flags of a PDU's common header."""

    HDGST = 1 << 0  # a header digest follows the header
    DDGST = 1 << 1  # a data digest follows the data
    LAST_PDU = 1 << 2  # the last data PDU of a command or R2T
    SUCCESS = 1 << 3  # C2HData: the command was successful, and no response capsule follows


class DigestFlags(IntFlag):
    """DGST in ICReq and ICResp: the digests to enable."""

    HEADER = 1 << 0
    DATA = 1 << 1


class Fes(IntEnum):
    """Fatal error status (FES) of a termination request (sections 3.6.2.3 and 3.6.2.4)."""

    INVALID_HEADER = 0x01  # FEI: the field's byte offset
    SEQUENCE = 0x02
    HEADER_DIGEST = 0x03  # FEI: the received digest
    OUT_OF_RANGE = 0x04
    LIMIT_EXCEEDED = 0x05  # of a data transfer, or of the number of R2Ts
    UNSUPPORTED = 0x06  # FEI: the parameter's byte offset


class FatalTransportError(Exception):
    """A fatal error of the peer; `fes`, `fei` and `header` are sent in the termination request."""

    def __init__(self, fes: Fes, reason: str, fei: int = 0, header: bytes = b"") -> None:
        super().__init__(reason)
        self.fes, self.fei, self.header = fes, fei, header


class Status(IntEnum):
    """Status code type << 8 | status code; types: 0 generic, 1 command specific, 2 media, 3 path related."""

    SUCCESS = 0x000
    INVALID_OPCODE = 0x001
    INVALID_FIELD = 0x002
    ID_CONFLICT = 0x003
    TRANSFER_ERROR = 0x004
    INTERNAL = 0x006
    ABORT_REQUESTED = 0x007
    SQ_DELETED = 0x008
    INVALID_NAMESPACE = 0x00B
    SEQUENCE = 0x00C
    SGL_LENGTH = 0x00F
    SGL_TYPE = 0x011
    SGL_OFFSET = 0x016
    KEEP_ALIVE_EXPIRED = 0x019
    WRITE_PROTECTED = 0x020
    INTERRUPTED = 0x021
    TRANSIENT_TRANSPORT = 0x022
    LBA_RANGE = 0x080
    ASYNC_EVENT_LIMIT = 0x105
    INVALID_LOG_PAGE = 0x109
    CONNECT_FORMAT = 0x180
    CONNECT_BUSY = 0x181
    CONNECT_INVALID = 0x182
    COMPARE_FAILURE = 0x285
    ANA_INACCESSIBLE = 0x302  # ANA state inaccessible: use another path


def crc32c(data: bytes) -> int:
    """Return the CRC32C used for digests (section 3.4)."""
    return int(google_crc32c.value(data))


def aligned(length: int, dwords: int) -> int:
    """Round a length up to an alignment, given as a zero-based number of dwords."""
    unit = (dwords + 1) * 4
    return -(-length // unit) * unit


class Sgl(IntEnum):
    """SGL identifiers of a command's data pointer: type << 4 | subtype (base specification, 4.1.2)."""

    IN_CAPSULE = 0x01  # SGL data block, offset
    TRANSPORT = 0x5A  # transport SGL data block: transferred by R2T and H2CData, or by C2HData


_SGL = struct.Struct("<QI3xB")
_SQE = struct.Struct("<BBHIII8x16s6I")


@dataclass(frozen=True, slots=True)
class Sqe:
    """A submission queue entry."""

    opcode: int
    cid: int
    nsid: int = 0
    cdw: tuple[int, int, int, int, int, int] = (0, 0, 0, 0, 0, 0)  # dwords 10 to 15
    sgl: int = 0  # an `Sgl`, or an unknown identifier from the host
    sgl_address: int = 0  # the offset, for IN_CAPSULE
    length: int = 0  # of the data, in bytes
    cdw2: int = 0
    cdw3: int = 0
    flags: int = 0x40  # PSDT: SGLs are used for the data transfer

    def pack(self) -> bytes:
        """Return the entry's 64 bytes."""
        sgl = _SGL.pack(self.sgl_address, self.length, self.sgl)
        return _SQE.pack(self.opcode, self.flags, self.cid, self.nsid, self.cdw2, self.cdw3, sgl, *self.cdw)

    @classmethod
    def unpack(cls, data: bytes) -> Sqe:
        """Parse an entry of 64 bytes."""
        opcode, flags, cid, nsid, cdw2, cdw3, sgl, *cdw = _SQE.unpack(data)
        address, length, kind = _SGL.unpack(sgl)
        dwords = (cdw[0], cdw[1], cdw[2], cdw[3], cdw[4], cdw[5])
        return cls(opcode, cid, nsid, dwords, kind, address, length, cdw2, cdw3, flags)

    @property
    def to_controller(self) -> bool:
        """Whether data goes from host to controller (bits 1:0 of the opcode or fabrics command type)."""
        return self._direction == 1

    @property
    def to_host(self) -> bool:
        """Whether data goes from controller to host."""
        return self._direction == 2

    @property
    def _direction(self) -> int:
        return (self.nsid if self.opcode == FABRICS else self.opcode) & 0b11


FABRICS = 0x7F  # the fabrics command type is in the lowest byte of the namespace id field

_CQE = struct.Struct("<QHHHH")


@dataclass(frozen=True, slots=True)
class Cqe:
    """A completion queue entry."""

    cid: int
    status: int = Status.SUCCESS
    dw0: int = 0  # dwords 0 and 1 as one integer: the command's result
    sqhd: int = 0
    crd: int = 0  # Command Retry Delay: which of the controller's retry delays applies, 0 for none
    dnr: bool = False  # Do Not Retry: a retry would fail too

    def pack(self) -> bytes:
        """Return the entry's 16 bytes; the phase tag is not used over fabrics."""
        field = self.status << 1 | self.crd << 12 | self.dnr << 15
        return _CQE.pack(self.dw0, self.sqhd, 0, self.cid, field)

    @classmethod
    def unpack(cls, data: bytes) -> Cqe:
        """Parse an entry of 16 bytes."""
        dw0, sqhd, _sqid, cid, field = _CQE.unpack(data)
        return cls(cid, field >> 1 & 0x7FF, dw0, sqhd, field >> 12 & 0b11, bool(field >> 15))
