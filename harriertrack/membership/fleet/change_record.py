"""The record of changes as bytes: at the witness, in a head's cache, and between heads.

One JSON object after its own checksum, so that half a file or a spoilt value is found before anything acts on
it. Fields are only ever appended; a reader passes over what it does not know. What a later program adds is
written only once the record's level says that all who vote read it.
"""

from __future__ import annotations

import msgspec
import xxhash

from harriertrack.decisions.fleet.changes.record import Record, Version

PATH = "/v1/kv/harriertrack/changes/record"  # at the witness
MAX_RECORD_BYTES = 384 << 10  # the witness takes 512 kB, in base64
_SUM = 17  # 16 hexadecimal digits and a line's end


class DamagedRecord(ValueError):
    """Bytes that are no record, or not the whole of one."""


class _Written(msgspec.Struct, frozen=True):
    revision: int
    epoch: int
    level: int
    versions: tuple[Version, ...]


_DECODER = msgspec.json.Decoder(_Written)


def _sum(body: bytes) -> int:
    return xxhash.xxh64_intdigest(body)


def encode(record: Record) -> bytes:
    """Return a record's bytes. Raises ValueError for one that is larger than can be kept."""
    body = msgspec.json.encode(_Written(record.revision, record.epoch, record.level, record.versions))
    if len(body) > MAX_RECORD_BYTES:
        raise ValueError(f"a record of {len(body)} bytes, more than {MAX_RECORD_BYTES}")
    return f"{_sum(body):016x}\n".encode() + body


def decode(data: bytes) -> Record:
    """Read a record. Raises DamagedRecord."""
    body = data[_SUM:]
    if data[:_SUM] != f"{_sum(body):016x}\n".encode():
        raise DamagedRecord("its checksum is another's")
    try:
        read = _DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise DamagedRecord(str(error)) from error
    return Record(read.revision, read.epoch, read.level, read.versions)


def digest_of(data: bytes) -> int:
    """Return the digest of a record's bytes: 32 bits, for notes and for telling apart."""
    return _sum(data) & 0xFFFF_FFFF
