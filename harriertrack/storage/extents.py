"""The extent map: which shard holds each extent of a volume that this head placed. It survives a kill.

It is stored in LMDB: one write transaction for each round of placements, synced before any write to a new
extent is acknowledged. LMDB copies pages on write and switches the root last, so a kill at any moment leaves
the map as it was after the last commit. Opening it after a kill needs no recovery step.

An extent that is placed again leaves its bytes behind at its former shard; this is recorded together with the
new placement, until the bytes are trimmed (`remove_leftover`).
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterable, Iterator
from contextlib import AbstractContextManager, nullcontext
from pathlib import Path

import lmdb

from harriertrack.storage.closing import ClosingStore

FORMAT, OLDER = b"2", b"1"  # 1: without leftovers of moved extents
LEFT = b"\xff"  # first byte of the keys of leftovers; can't begin a volume's name in UTF-8
MAP_BYTES = 1 << 30  # address space reserved, not disk used
_KEY = struct.Struct(">Q")
_SHARD = struct.Struct(">I")


class ExtentMapError(Exception):
    """The map can't be opened or has an unknown format."""


def _leftover_key(volume: str, extent: int, shard: int) -> bytes:
    return LEFT + volume.encode() + _KEY.pack(extent) + _SHARD.pack(shard)


class ExtentMap:
    """The map, in memory and in LMDB. With path None it is in memory only (simulated days)."""

    def __init__(self, path: str | None) -> None:
        self._shards: dict[str, dict[int, int]] = {}
        self._left: dict[str, set[tuple[int, int]]] = {}
        self.closing = ClosingStore()
        self._env = None
        self.commits = 0
        if path is None:
            return
        Path(path).mkdir(parents=True, exist_ok=True)
        try:
            self._env = lmdb.open(path, map_size=MAP_BYTES, subdir=True, max_dbs=0, sync=True)
            with self._env.begin(write=True) as transaction:
                if (found := transaction.get(b"format")) in (None, OLDER):
                    transaction.put(b"format", FORMAT)
                elif found != FORMAT:
                    raise ExtentMapError(f"{path}: format {found!r}; this program supports {FORMAT!r}")
                for key, value in transaction.cursor():
                    if key.startswith(LEFT):
                        volume = bytes(key[len(LEFT) : -_KEY.size - _SHARD.size]).decode()
                        extent = _KEY.unpack(key[-_KEY.size - _SHARD.size : -_SHARD.size])[0]
                        shard = _SHARD.unpack(key[-_SHARD.size :])[0]
                        self._left.setdefault(volume, set()).add((extent, shard))
                    elif self.closing.load(bytes(key), bytes(value)):
                        pass
                    elif key != b"format":
                        volume = bytes(key[: -_KEY.size]).decode()
                        known = self._shards.setdefault(volume, {})
                        known[_KEY.unpack(key[-_KEY.size :])[0]] = _SHARD.unpack(value)[0]
        except (lmdb.Error, struct.error, UnicodeDecodeError) as error:
            raise ExtentMapError(f"{path}: {error}") from error

    def shard_of(self, volume: str, extent: int) -> int | None:
        """Return the shard that holds an extent; None if it has no placement."""
        return self._shards.get(volume, {}).get(extent)

    def placements_of(self, volume: str) -> Iterator[tuple[int, int]]:
        """Yield (extent, shard) of a volume, in order of extents."""
        yield from sorted(self._shards.get(volume, {}).items())

    def place(self, placements: Iterable[tuple[str, int, int]]) -> None:
        """Record placements (volume, extent, shard); they are on disk when this returns."""
        placements = list(placements)
        if not placements:
            return
        former = [(volume, extent, self.shard_of(volume, extent)) for volume, extent, _ in placements]
        moved = [(volume, extent, old) for volume, extent, old in former if old is not None]
        if self._env is not None:
            with self._env.begin(write=True) as transaction:
                for volume, extent, old in moved:
                    transaction.put(_leftover_key(volume, extent, old), b"")
                for volume, extent, shard in placements:
                    transaction.put(volume.encode() + _KEY.pack(extent), _SHARD.pack(shard))
                    transaction.delete(_leftover_key(volume, extent, shard))  # in use at this shard again
                    self.closing.clear_doubt(transaction, volume, (extent, shard))
        self.commits += 1
        for volume, extent, old in moved:
            self._left.setdefault(volume, set()).add((extent, old))
        for volume, extent, shard in placements:
            self.closing.clear_doubt(None, volume, (extent, shard))
            self._shards.setdefault(volume, {})[extent] = shard
            self._left.get(volume, set()).discard((extent, shard))

    def leftovers(self, volume: str) -> list[tuple[int, int]]:
        """Return each (extent, shard) where a moved extent of a volume left its bytes behind."""
        return sorted(self._left.get(volume, ()))

    def remove_leftover(self, volume: str, extent: int, shard: int) -> None:
        """Record that leftover bytes were trimmed; on disk when this returns."""
        if self._env is not None:
            with self._env.begin(write=True) as transaction:
                transaction.delete(_leftover_key(volume, extent, shard))
        self._left.get(volume, set()).discard((extent, shard))

    def _transaction(self) -> AbstractContextManager[lmdb.Transaction | None]:
        return nullcontext() if self._env is None else self._env.begin(write=True)

    def doubt(self, volume: str, extent: int, shard: int) -> None:
        """Record that a first write to an extent will be sent to a shard; on disk when this returns."""
        if (extent, shard) not in self.closing.doubts.get(volume, ()):
            with self._transaction() as transaction:
                self.closing.doubt(transaction, volume, (extent, shard))

    def purge(self, calendar: str, number: int, at_us: int,
              is_purged: Callable[[str, int], bool]) -> list[tuple[str, int, int]]:  # fmt: skip
        """Remove the extents for which `is_purged(volume, extent)` is true, as a calendar's close.

        Returns each (volume, extent, shard) to be trimmed; the change is on disk, atomically.
        """
        placed = {
            (volume, extent, shard)
            for volume, known in self._shards.items() for extent, shard in known.items()
            if is_purged(volume, extent)
        }  # fmt: skip
        leftovers = {
            (volume, extent, shard)
            for sets in (self._left, self.closing.doubts)
            for volume, places in sets.items() for extent, shard in places
            if is_purged(volume, extent)
        }  # fmt: skip
        purged = sorted(placed | leftovers)
        with self._transaction() as transaction:
            if transaction is not None:
                for volume, extent, shard in purged:
                    transaction.delete(volume.encode() + _KEY.pack(extent))
                    transaction.delete(_leftover_key(volume, extent, shard))
            lefts = [(volume, (extent, shard)) for volume, extent, shard in purged]
            self.closing.close(transaction, calendar, number, at_us, lefts)
        for volume, extent, shard in purged:
            self._shards.get(volume, {}).pop(extent, None)
            self._left.get(volume, set()).discard((extent, shard))
        return purged

    def mark_trimmed(self, volume: str, extent: int, shard: int) -> None:
        """Record that bytes left by a close were trimmed; on disk when this returns."""
        with self._transaction() as transaction:
            self.closing.mark_trimmed(transaction, volume, (extent, shard))

    def raise_to(self, volume: str, epoch: int) -> None:
        """Record the epoch, raised by closes, that a volume's work is sent under; on disk on return."""
        with self._transaction() as transaction:
            self.closing.raise_to(transaction, volume, epoch)

    def close(self) -> None:
        """Close the database; all placements are on disk already."""
        if self._env is not None:
            self._env.close()
            self._env = None
