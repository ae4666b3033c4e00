"""The record of changes at the witness: read whole, and replaced only in place of what was read."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

from harriertrack.decisions.fleet.changes.operations import ChangeRefused
from harriertrack.decisions.fleet.changes.record import Record
from harriertrack.gateway.witness import WitnessClient
from harriertrack.membership.fleet.change_record import PATH, DamagedRecord, decode, encode

TRIES = 8  # to be first, against others who change it just then


class Busy(ChangeRefused):
    """Others were first each time."""


@dataclass(frozen=True, slots=True)
class Found:
    """The record as the witness has it."""

    record: Record
    data: bytes  # b"" for none
    index: int  # 0: there is none


def read(witness: WitnessClient) -> Found:
    """Return what the witness holds, an empty record if none. Raises DamagedRecord and what calls raise."""
    key = witness.key(PATH)
    if key is None:
        return Found(Record(), b"", 0)
    return Found(decode(key.value), key.value, key.index)


def write(witness: WitnessClient, make: Callable[[Record], Record]) -> Found:
    """Replace the record by what `make` makes of it, again from the start if another was first.

    Raises what `make` raises, Busy, DamagedRecord and what calls raise.
    """
    for _ in range(TRIES):
        found = read(witness)
        fresh = make(found.record)
        data = encode(fresh)
        index = witness.replace(PATH, data, found.index)
        if index:
            return Found(fresh, data, index)
    raise Busy("others change the record all the time")


def put_back(witness: WitnessClient, known: Record) -> Found | None:
    """Put a record back that the witness lost (it was restored, or its value is damaged).

    Return None if it is there after all. Its revision is raised above both, so that all take it.
    """
    key = witness.key(PATH)
    there = Record()
    if key is not None:
        with suppress(DamagedRecord):
            there = decode(key.value)
        if there.revision >= known.revision:
            return None
    fresh = known.with_versions([])
    data = encode(fresh)
    index = witness.replace(PATH, data, key.index if key is not None else 0)
    return Found(fresh, data, index) if index else None
