"""Extents that the other region misses, by volume; recorded on disk before a write to them is acknowledged.

Two sets survive a kill. `missed`: extents written here while the other region was out of sync. `open`:
extents with a write that may be in progress to both regions, so that the regions may differ there after a
kill. An extent is marked open once and stays open while it is busy: one sync for a run of writes, like the
activity log of a replicated block device. Past a bound, the extents of the missed set are replaced by one
entry that means "compare everything" (`whole`).
"""

from __future__ import annotations

import struct
from collections import OrderedDict
from collections.abc import Callable, Iterable
from pathlib import Path

import lmdb

_KEY = struct.Struct(">Q")
MAP_BYTES = 1 << 28
WHOLE = (1 << 64) - 1  # stored in place of the extents once the bound is exceeded
MISSED, OPEN = b"m", b"o"


class MissedLog:
    """The two sets of all volumes of a head. With path None they are in memory only (simulated days)."""

    def __init__(self, path: str | None, most: int = 65_536, most_open: int = 256) -> None:
        self.whole = WHOLE
        self._max_missed, self._max_open = most, most_open
        self._missed: dict[str, set[int]] = {}
        self._open: dict[str, OrderedDict[int, None]] = {}
        self.syncs = 0
        self._env = None
        if path is not None:
            Path(path).mkdir(parents=True, exist_ok=True)
            self._env = lmdb.open(path, map_size=MAP_BYTES, sync=True)
            with self._env.begin() as transaction:
                for key, _ in transaction.cursor():
                    kind, volume = bytes(key[:1]), bytes(key[1 : -_KEY.size]).decode()
                    extent = _KEY.unpack(key[-_KEY.size :])[0]
                    if kind == MISSED:
                        self._missed.setdefault(volume, set()).add(extent)
                    else:
                        self._open.setdefault(volume, OrderedDict())[extent] = None

    def _commit(
        self, puts: Iterable[tuple[bytes, str, int]], deletes: Iterable[tuple[bytes, str, int]]
    ) -> None:
        self.syncs += 1
        if self._env is None:
            return
        with self._env.begin(write=True) as transaction:
            for kind, volume, extent in deletes:
                transaction.delete(kind + volume.encode() + _KEY.pack(extent))
            for kind, volume, extent in puts:
                transaction.put(kind + volume.encode() + _KEY.pack(extent), b"")

    def begin_write(self, volume: str, extents: Iterable[int]) -> None:
        """Mark extents as open for writes; on disk when this returns."""
        known = self._open.setdefault(volume, OrderedDict())
        fresh = []
        for extent in extents:
            if extent in known:
                known.move_to_end(extent)
            else:
                known[extent] = None
                fresh.append((OPEN, volume, extent))
        if fresh:
            self._commit(fresh, ())

    def settle(self, volume: str, busy: set[int]) -> None:
        """Remove the longest idle extents from the open set, down to the bound; `busy` ones stay."""
        known = self._open.get(volume, OrderedDict())
        idle = [extent for extent in known if extent not in busy][: max(0, len(known) - self._max_open)]
        if idle:
            for extent in idle:
                del known[extent]
            self._commit((), [(OPEN, volume, extent) for extent in idle])

    def miss(self, volume: str, extents: Iterable[int]) -> None:
        """Record extents whose writes the other region misses; on disk when this returns."""
        known = self._missed.setdefault(volume, set())
        if WHOLE in known:
            return
        fresh = set(extents) - known
        if not fresh:
            return
        if len(known) + len(fresh) > self._max_missed:
            self._commit([(MISSED, volume, WHOLE)], [(MISSED, volume, extent) for extent in known])
            self._missed[volume] = {WHOLE}
            return
        self._commit([(MISSED, volume, extent) for extent in fresh], ())
        known |= fresh

    def missed(self, volume: str) -> frozenset[int]:
        """Return the extents that the other region misses; `WHOLE` among them stands for any extent."""
        return frozenset(self._missed.get(volume, ()))

    def open_extents(self, volume: str) -> frozenset[int]:
        """Return the extents to which writes may have been in progress."""
        return frozenset(self._open.get(volume, ()))

    def mark_copied(self, volume: str, extents: Iterable[int]) -> None:
        """Remove extents that the other region holds now from the missed set."""
        known = self._missed.get(volume, set())
        done = known & set(extents)
        if done:
            self._commit((), [(MISSED, volume, extent) for extent in done])
            known -= done

    def remove_purged(self, volume: str, is_purged: Callable[[int], bool]) -> None:
        """Remove from both sets at once the extents that a close purged in every region (`is_purged`).

        The entry for "compare everything" stays.
        """
        known, opened = self._missed.get(volume, set()), self._open.get(volume, OrderedDict())
        missed = {extent for extent in known if extent != WHOLE and is_purged(extent)}
        busy = [extent for extent in opened if is_purged(extent)]
        if missed or busy:
            deletes = [(MISSED, volume, extent) for extent in missed]
            self._commit((), deletes + [(OPEN, volume, extent) for extent in busy])
            known -= missed
            for extent in busy:
                del opened[extent]

    def forget_open(self, volume: str) -> None:
        """Clear the open set of a volume, once the regions agree."""
        cleared = self._open.pop(volume, OrderedDict())
        if cleared:
            self._commit((), [(OPEN, volume, extent) for extent in cleared])

    def close(self) -> None:
        """Close the database."""
        if self._env is not None:
            self._env.close()
            self._env = None
