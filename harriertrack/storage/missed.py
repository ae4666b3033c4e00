"""What the other region misses: extents by volume, noted on disk before a write to them is acknowledged.

Two sets, both surviving a kill. `missed`: written here while the other region was out of sync. `open`: a
write to them may be under way to both regions, so after a kill the regions may differ there. An extent is
noted open once and stays so while it is busy: one sync for a run of writes, as the activity log of a
replicated block device does it. Past a bound the sets say nothing any more but "compare everything"
(`whole`).
"""

from __future__ import annotations

import struct
from collections import OrderedDict
from collections.abc import Callable, Iterable
from pathlib import Path

import lmdb

_KEY = struct.Struct(">Q")
MAP_BYTES = 1 << 28
WHOLE = (1 << 64) - 1  # in place of an extent: the bound was passed
MISSED, OPEN = b"m", b"o"


class MissedLog:
    """The two sets of all volumes of a head. With path None they live in memory alone (simulated days)."""

    def __init__(self, path: str | None, most: int = 65_536, most_open: int = 256) -> None:
        self.whole = WHOLE
        self._most, self._most_open = most, most_open
        self._missed: dict[str, set[int]] = {}
        self._open: dict[str, OrderedDict[int, None]] = {}
        self.syncs = 0
        self._env = None
        if path is not None:
            Path(path).mkdir(parents=True, exist_ok=True)
            self._env = lmdb.open(path, map_size=MAP_BYTES, sync=True)
            with self._env.begin() as view:
                for key, _ in view.cursor():
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
        with self._env.begin(write=True) as change:
            for kind, volume, extent in deletes:
                change.delete(kind + volume.encode() + _KEY.pack(extent))
            for kind, volume, extent in puts:
                change.put(kind + volume.encode() + _KEY.pack(extent), b"")

    def begin_write(self, volume: str, extents: Iterable[int]) -> None:
        """Note that writes to these extents are under way; on disk when this returns."""
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
        """Forget the longest idle extents that are noted open, down to the bound; `busy` ones stay."""
        known = self._open.get(volume, OrderedDict())
        idle = [extent for extent in known if extent not in busy][: max(0, len(known) - self._most_open)]
        if idle:
            for extent in idle:
                del known[extent]
            self._commit((), [(OPEN, volume, extent) for extent in idle])

    def miss(self, volume: str, extents: Iterable[int]) -> None:
        """Note that the other region misses what was written to these extents; on disk when this returns."""
        known = self._missed.setdefault(volume, set())
        if WHOLE in known:
            return
        fresh = set(extents) - known
        if not fresh:
            return
        if len(known) + len(fresh) > self._most:
            self._commit([(MISSED, volume, WHOLE)], [(MISSED, volume, extent) for extent in known])
            self._missed[volume] = {WHOLE}
            return
        self._commit([(MISSED, volume, extent) for extent in fresh], ())
        known |= fresh

    def missed(self, volume: str) -> frozenset[int]:
        """Return the extents that the other region misses; `WHOLE` among them means any may be."""
        return frozenset(self._missed.get(volume, ()))

    def opened(self, volume: str) -> frozenset[int]:
        """Return the extents to which writes may have been under way."""
        return frozenset(self._open.get(volume, ()))

    def copied(self, volume: str, extents: Iterable[int]) -> None:
        """The other region holds these extents now."""
        known = self._missed.get(volume, set())
        done = known & set(extents)
        if done:
            self._commit((), [(MISSED, volume, extent) for extent in done])
            known -= done

    def purged(self, volume: str, gone: Callable[[int], bool]) -> None:
        """Forget the extents of which `gone` says so, in both sets at once: a close purged them everywhere.

        What says "compare everything" stays.
        """
        known, opened = self._missed.get(volume, set()), self._open.get(volume, OrderedDict())
        missed = {extent for extent in known if extent != WHOLE and gone(extent)}
        busy = [extent for extent in opened if gone(extent)]
        if missed or busy:
            deletes = [(MISSED, volume, extent) for extent in missed]
            self._commit((), deletes + [(OPEN, volume, extent) for extent in busy])
            known -= missed
            for extent in busy:
                del opened[extent]

    def forget_open(self, volume: str) -> None:
        """The regions agree: nothing is in doubt any more."""
        gone = self._open.pop(volume, OrderedDict())
        if gone:
            self._commit((), [(OPEN, volume, extent) for extent in gone])

    def close(self) -> None:
        """Close the store."""
        if self._env is not None:
            self._env.close()
            self._env = None
