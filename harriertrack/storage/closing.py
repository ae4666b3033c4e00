"""What closes left to trim, and how far each calendar has come: kept beside the extent map, in its store.

Four kinds of keys. A *doubt*: a first write to an extent was sent to a shard, and its placement is not on
disk; after a kill its bytes may lie there. A *left*: bytes that a close made unreadable lie there until they
are trimmed. A *generation*: the last close of a calendar that is done. What it *raised*: under which epoch a
volume's work is sent since, which nodes go by for longer than closes are remembered. A close is one
transaction: placements, doubts and what moves left behind become lefts, and the generation moves on.

Keys begin with bytes that no volume's name in UTF-8 does.
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
    """What of closes is on disk, in memory."""

    def __init__(self) -> None:
        self.doubts: dict[str, set[Place]] = {}
        self.lefts: dict[str, set[Place]] = {}
        self.generations: dict[str, tuple[int, int]] = {}  # number and instant (microseconds UTC)
        self.raised: dict[str, int] = {}  # by volume

    def load(self, key: bytes, value: bytes) -> bool:
        """Take a key as it was found; return whether it is one of these."""
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

    def doubt(self, change: lmdb.Transaction | None, volume: str, place: Place) -> None:
        """A first write to an extent goes to a shard."""
        if change is not None:
            change.put(self._key(DOUBT, volume, place), b"")
        self.doubts.setdefault(volume, set()).add(place)

    def placed(self, change: lmdb.Transaction | None, volume: str, place: Place) -> None:
        """An extent is placed there: no doubt any more."""
        if place in self.doubts.get(volume, ()):
            if change is not None:
                change.delete(self._key(DOUBT, volume, place))
            self.doubts[volume].discard(place)

    def close(self, change: lmdb.Transaction | None, calendar: str, number: int, at_us: int,
              lefts: Iterable[tuple[str, Place]]) -> None:  # fmt: skip
        """A close is done: these places are to be trimmed."""
        for volume, place in lefts:
            if change is not None:
                change.put(self._key(LEFT, volume, place), b"")
                change.delete(self._key(DOUBT, volume, place))
            self.lefts.setdefault(volume, set()).add(place)
            self.doubts.get(volume, set()).discard(place)
        if change is not None:
            change.put(GENERATION + calendar.encode(), _CLOSE.pack(number, at_us))
        self.generations[calendar] = number, at_us

    def raise_to(self, change: lmdb.Transaction | None, volume: str, epoch: int) -> None:
        """A volume's work is sent under this epoch from now on."""
        if change is not None:
            change.put(RAISED + volume.encode(), _EPOCH.pack(epoch))
        self.raised[volume] = epoch

    def trimmed(self, change: lmdb.Transaction | None, volume: str, place: Place) -> None:
        """The bytes there are gone."""
        if change is not None:
            change.delete(self._key(LEFT, volume, place))
        self.lefts.get(volume, set()).discard(place)
