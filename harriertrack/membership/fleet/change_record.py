"""Encoding of the record of changes: at the witness, in a head's cache, and between heads.

One JSON object after its checksum, so that a truncated file or corrupt value is detected before use. Fields
are only appended; a reader ignores unknown ones. A field that a later version adds is written only once the
record's level shows that all voting heads can read it.
"""

from __future__ import annotations

import msgspec
import xxhash

from harriertrack.decisions.fleet.changes.record import Record, Version

PATH = "/v1/kv/harriertrack/changes/record"  # at the witness
MAX_RECORD_BYTES = 384 << 10  # the witness takes 512 kB, in base64
_CHECKSUM_BYTES = 17  # 16 hexadecimal digits and a newline


class DamagedRecord(ValueError):
    """Bytes that are not a complete record."""


class _Written(msgspec.Struct, frozen=True):
    revision: int
    epoch: int
    level: int
    versions: tuple[Version, ...]


_DECODER = msgspec.json.Decoder(_Written)


def _checksum(body: bytes) -> int:
    return xxhash.xxh64_intdigest(body)


def encode(record: Record) -> bytes:
    """Encode a record. Raises ValueError if it is larger than the witness can store."""
    body = msgspec.json.encode(_Written(record.revision, record.epoch, record.level, record.versions))
    if len(body) > MAX_RECORD_BYTES:
        raise ValueError(f"record of {len(body)} bytes is larger than {MAX_RECORD_BYTES}")
    return f"{_checksum(body):016x}\n".encode() + body


def decode(data: bytes) -> Record:
    """Decode a record. Raises DamagedRecord."""
    body = data[_CHECKSUM_BYTES:]
    if data[:_CHECKSUM_BYTES] != f"{_checksum(body):016x}\n".encode():
        raise DamagedRecord("checksum mismatch")
    try:
        read = _DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise DamagedRecord(str(error)) from error
    return Record(read.revision, read.epoch, read.level, read.versions)


def digest_of(data: bytes) -> int:
    """Return the digest of a record's bytes: 32 bits, for notes and comparisons."""
    return _checksum(data) & 0xFFFF_FFFF
