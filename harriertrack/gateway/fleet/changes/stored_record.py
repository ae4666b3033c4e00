"""The record of changes at the witness: read completely, and replaced only if unchanged since the read."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

from harriertrack.decisions.fleet.changes.operations import ChangeRefused
from harriertrack.decisions.fleet.changes.record import Record
from harriertrack.gateway.witness import WitnessClient
from harriertrack.membership.fleet.change_record import PATH, DamagedRecord, decode, encode

TRIES = 8  # of a write that conflicts with concurrent ones


class WriteConflict(ChangeRefused):
    """Each attempt conflicted with a concurrent write."""


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """The record as stored at the witness."""

    record: Record
    data: bytes  # b"" for none
    index: int  # 0: not stored


def read(witness: WitnessClient) -> StoredRecord:
    """Return the stored record, empty if there is none. Raises DamagedRecord and what calls raise."""
    key = witness.key(PATH)
    if key is None:
        return StoredRecord(Record(), b"", 0)
    return StoredRecord(decode(key.value), key.value, key.index)


def write(witness: WitnessClient, make: Callable[[Record], Record]) -> StoredRecord:
    """Replace the record by the result of `make`; read it again and retry on a conflict.

    Raises what `make` raises, WriteConflict, DamagedRecord and what calls raise.
    """
    for _ in range(TRIES):
        found = read(witness)
        fresh = make(found.record)
        data = encode(fresh)
        index = witness.replace(PATH, data, found.index)
        if index:
            return StoredRecord(fresh, data, index)
    raise WriteConflict("others change the record all the time")


def restore(witness: WitnessClient, known: Record) -> StoredRecord | None:
    """Restore a record that the witness lost (restored from a backup, or the value is damaged).

    Return None if it is there after all. The revision is raised above both, so that all heads apply it.
    """
    key = witness.key(PATH)
    stored = Record()
    if key is not None:
        with suppress(DamagedRecord):
            stored = decode(key.value)
        if stored.revision >= known.revision:
            return None
    fresh = known.with_versions([])
    data = encode(fresh)
    index = witness.replace(PATH, data, key.index if key is not None else 0)
    return StoredRecord(fresh, data, index) if index else None
