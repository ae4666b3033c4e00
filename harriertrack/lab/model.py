"""Model of a volume's possible contents, as its clients know it: the tags that reads of a sector may return.

A sector has 512 bytes, filled by repeating the 8-byte tag of the write; tag 0 is zeroes. After an
acknowledged write only its tag is possible. A write that failed or got no answer may have taken effect or
not, so both tags are possible until a later write is acknowledged. A refused write's tag must not be read.
"""

from __future__ import annotations

import random
import struct
from dataclasses import dataclass

SECTOR = 512
_TAG = struct.Struct(">Q")
_ZERO = frozenset((0,))


def payload(tag: int, sectors: int) -> bytes:
    """Return the data of a write: its tag, repeated over all its sectors."""
    return _TAG.pack(tag) * (SECTOR // _TAG.size * sectors)


@dataclass(slots=True, eq=False)
class Reading:
    """A read in flight, and for each of its sectors the tags that it may return."""

    start: int
    possible: list[set[int]]


class VolumeExhausted(ValueError):
    """A day needs more distinct extents than its volumes have."""


class VolumeModel:
    """One volume's sectors. The model chooses the extents of writes such that none in flight overlap."""

    def __init__(
        self,
        name: str,
        sectors: int,
        extent_sectors: int,
        rng: random.Random,
        distinct_across_kinds: bool = False,
    ) -> None:
        self.name, self.sectors, self.extent_sectors = name, sectors, extent_sectors
        self._random = rng
        # No two requests of any kinds share a start or an end: needed where heads read writes back.
        self._distinct_across_kinds = distinct_across_kinds
        self._possible: dict[int, frozenset[int]] = {}
        # By sector of a write in flight: the tags that were possible before it.
        self._tags_before_write: dict[int, frozenset[int]] = {}
        self._starts: set[tuple[str, int]] = set()
        self._ends: set[tuple[str, int]] = set()
        self._reads_in_flight: dict[Reading, None] = {}
        self.written: list[int] = []  # starts of acknowledged writes, so that reads can pick written sectors

    def place(
        self, kind: str, max_length: int, within: tuple[int, int] | None = None, near: int = -1
    ) -> tuple[int, int]:
        """Choose (start, length) in sectors; no earlier request of this kind has the same start or end.

        Falls back from `within` to the whole volume. Raises VolumeExhausted if no such extent is found.
        """
        key_kind = "" if self._distinct_across_kinds else kind
        low, high = within or (0, self.sectors)
        for attempt in range(400):
            if attempt == 200:
                low, high = 0, self.sectors
            length = self._random.randint(1, max_length)
            start = near + self._random.randrange(-4, 5) if near >= 0 and attempt < 3 else -1
            if start < 0 or start + length > self.sectors:
                start = self._random.randrange(low, max(low + 1, high - length))
            end = start + length
            keys = (key_kind, start), (key_kind, end)
            if end > self.sectors or keys[0] in self._starts or keys[1] in self._ends:
                continue
            if kind != "read" and any(sector in self._tags_before_write for sector in range(start, end)):
                continue
            self._starts.add(keys[0])
            self._ends.add(keys[1])
            return start, length
        raise VolumeExhausted(
            f"volume {self.name} is used up: the day needs more distinct extents than it has"
        )

    def begin_write(self, start: int, length: int, tag: int) -> None:
        """Record a write that is being sent: reads may return its tag from now on."""
        for sector in range(start, start + length):
            before = self._tags_before_write[sector] = self._possible.get(sector, _ZERO)
            self._possible[sector] = before | {tag}
        for reading in self._reads_in_flight:
            end = min(start + length, reading.start + len(reading.possible))
            for sector in range(max(start, reading.start), end):
                reading.possible[sector - reading.start].add(tag)

    def end_write(self, start: int, length: int, tag: int, outcome: str) -> None:
        """Record a write's outcome: served, refused, failed, or left (its client left without an answer)."""
        for sector in range(start, start + length):
            before = self._tags_before_write.pop(sector)
            if outcome == "served":
                self._possible[sector] = frozenset((tag,))
            elif outcome == "refused":
                self._possible[sector] = before
        if outcome == "served" and tag:
            self.written.append(start)

    def begin_read(self, start: int, length: int) -> Reading:
        """Begin a read: it may return what is possible now and any write begun before the read ends."""
        possible = [set(self._possible.get(sector, _ZERO)) for sector in range(start, start + length)]
        reading = Reading(start, possible)
        self._reads_in_flight[reading] = None
        return reading

    def end_read(self, reading: Reading, data: bytes | None) -> bool:
        """End a read; return whether its data, if any, was possible at some time during the read."""
        del self._reads_in_flight[reading]
        if data is None:
            return True
        if len(data) != len(reading.possible) * SECTOR:
            return False
        for number, possible in enumerate(reading.possible):
            sector = data[number * SECTOR : (number + 1) * SECTOR]
            (tag,) = _TAG.unpack_from(sector)
            if tag not in possible or sector != payload(tag, 1):  # the tag of another write, or a torn write
                return False
        return True
