"""Data that closes left to trim, and the last close of each calendar; stored in the extent map's database.

There are four kinds of keys. *Doubt*: a first write to an extent was sent to a shard, but its placement is
not on disk; after a kill the shard may hold its bytes. *Left*: a shard holds bytes that a close made
unreadable, until they are trimmed. *Generation*: the last completed close of a calendar. *Raised*: the epoch
that a volume's work is sent under since a close; nodes apply it for longer than closes are remembered. A
close is one transaction: it turns placements, doubts and leftovers of moves into lefts, and advances the
generation.

Keys begin with bytes that can't begin a volume's name in UTF-8.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable

import lmdb

DOUBT, LEFT, GENERATION, RAISED = b"\xfe", b"\xfd", b"\xfc", b"\xfb"
_PLACE = struct.Struct(">QI")  # extent, shard
_CLOSE = struct.Struct(">QQ")  # number, instant
_EPOCH = struct.Struct(">Q")

Place = tuple[int, int]


class ClosingStore:
    """The records of closes in memory, as they are on disk."""

    def __init__(self) -> None:
        self.doubts: dict[str, set[Place]] = {}
        self.lefts: dict[str, set[Place]] = {}
        self.generations: dict[str, tuple[int, int]] = {}  # number and instant (microseconds UTC)
        self.raised: dict[str, int] = {}  # by volume

    def load(self, key: bytes, value: bytes) -> bool:
        """Load a stored key and value; return whether the key is of one of the four kinds."""
        kind = key[:1]
        if kind == GENERATION:
            self.generations[key[1:].decode()] = _CLOSE.unpack(value)
            return True
        if kind == RAISED:
            self.raised[key[1:].decode()] = _EPOCH.unpack(value)[0]
            return True
        if kind not in (DOUBT, LEFT):
            return False
        volume = key[1 : -_PLACE.size].decode()
        sets = self.doubts if kind == DOUBT else self.lefts
        sets.setdefault(volume, set()).add(_PLACE.unpack(key[-_PLACE.size :]))
        return True

    @staticmethod
    def _key(kind: bytes, volume: str, place: Place) -> bytes:
        return kind + volume.encode() + _PLACE.pack(*place)

    def doubt(self, transaction: lmdb.Transaction | None, volume: str, place: Place) -> None:
        """Record that a first write to an extent is sent to a shard."""
        if transaction is not None:
            transaction.put(self._key(DOUBT, volume, place), b"")
        self.doubts.setdefault(volume, set()).add(place)

    def clear_doubt(self, transaction: lmdb.Transaction | None, volume: str, place: Place) -> None:
        """Remove the doubt of a shard, since the extent's placement there is recorded."""
        if place in self.doubts.get(volume, ()):
            if transaction is not None:
                transaction.delete(self._key(DOUBT, volume, place))
            self.doubts[volume].discard(place)

    def close(self, transaction: lmdb.Transaction | None, calendar: str, number: int, at_us: int,
              lefts: Iterable[tuple[str, Place]]) -> None:  # fmt: skip
        """Record a completed close and the places to be trimmed."""
        for volume, place in lefts:
            if transaction is not None:
                transaction.put(self._key(LEFT, volume, place), b"")
                transaction.delete(self._key(DOUBT, volume, place))
            self.lefts.setdefault(volume, set()).add(place)
            self.doubts.get(volume, set()).discard(place)
        if transaction is not None:
            transaction.put(GENERATION + calendar.encode(), _CLOSE.pack(number, at_us))
        self.generations[calendar] = number, at_us

    def raise_to(self, transaction: lmdb.Transaction | None, volume: str, epoch: int) -> None:
        """Record the epoch that a volume's work is sent under from now on."""
        if transaction is not None:
            transaction.put(RAISED + volume.encode(), _EPOCH.pack(epoch))
        self.raised[volume] = epoch

    def mark_trimmed(self, transaction: lmdb.Transaction | None, volume: str, place: Place) -> None:
        """Record that the bytes at a place have been trimmed."""
        if transaction is not None:
            transaction.delete(self._key(LEFT, volume, place))
        self.lefts.get(volume, set()).discard(place)
