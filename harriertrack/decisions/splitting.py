"""Splitting of requests at extent boundaries, and the outcome of a request from those of its parts.

Offsets and lengths are bytes.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from enum import Enum, StrEnum

from harriertrack.decisions.lifecycle import PartState


class Kind(StrEnum):
    """What a client's request does."""

    READ = "read"
    WRITE = "write"
    TRIM = "trim"
    ZERO = "write-zeroes"
    FLUSH = "flush"
    CACHE = "cache"
    # Internal ones. Reads have their own kind: only safe requests test whether an unresponsive node is back.
    OWN_READ = "own-read"
    CATCH_UP = "catch-up"  # writes of what a region missed
    MOVE = "move"  # writes of an extent into another cell


class Outcome(Enum):
    """The final answer to a client's request."""

    SERVED = "served"
    REFUSED = "refused"  # not done, and trying again is harmless
    FAILED = "failed"  # its effect is unknown


def split_at_extents(offset: int, length: int, extent_bytes: int) -> Iterator[tuple[int, int, int]]:
    """Yield (extent, offset, length) of each piece, in order."""
    end = offset + length
    while offset < end:
        extent = offset // extent_bytes
        stop = min(end, (extent + 1) * extent_bytes)
        yield extent, offset, stop - offset
        offset = stop


def merge_runs(pieces: Iterable[tuple[int, int]]) -> Iterator[tuple[int, int]]:
    """Merge adjacent (length, flags) with the same flags."""
    length, flags = 0, 0
    for more, its in pieces:
        if length and its != flags:
            yield length, flags
            length = 0
        length, flags = length + more, its
    if length:
        yield length, flags


def request_outcome(given_up: PartState, others: Iterable[tuple[PartState, bool]], changes: bool) -> Outcome:
    """Return the answer to a request one part of which was given up.

    `others` are the states of its other parts, each with whether it may have run. The request is refused only
    if trying again is harmless: if it changes nothing, or no part of it may have run.
    """
    if given_up is PartState.FAILED:
        return Outcome.FAILED
    touched = any(state is PartState.SERVED or state is PartState.FAILED or ran for state, ran in others)
    return Outcome.FAILED if changes and touched else Outcome.REFUSED


def units_of(length: int, unit_bytes: int) -> float:
    """Return the size of a part in whole units, at least one."""
    return float(max(1, -(-length // unit_bytes)))


def class_of(classes: Iterable[tuple[str, frozenset, int]], kind: object, length: int) -> str | None:
    """Return the first class, given as (name, kinds, least bytes), that matches a request; else None."""
    for name, kinds, least in classes:
        if kind in kinds and length >= least:
            return name
    return None
