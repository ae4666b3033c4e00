"""Which shard holds each extent of a volume that this head placed: a map that survives a kill.

LMDB keeps it: one write transaction for each round of placements, synced before any write to a new extent is
acknowledged. LMDB's pages are copied on write and its root is switched last, so a kill at any moment leaves
the map as it was after the last commit. Opening it after a kill is the normal start.

An extent that is placed anew leaves its bytes behind at the shard it was at; that is recorded with the new
place, until somebody has trimmed them (`forgot`).
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterable, Iterator
from contextlib import AbstractContextManager, nullcontext
from pathlib import Path

import lmdb

from harriertrack.storage.closing import ClosingStore

FORMAT, OLDER = b"2", b"1"  # 1: without what was left behind
LEFT = b"\xff"  # begins the keys of what was left behind; no volume's name in UTF-8 does
MAP_BYTES = 1 << 30  # address space reserved, not disk used
_KEY = struct.Struct(">Q")
_SHARD = struct.Struct(">I")


class ExtentMapError(Exception):
    """The map can't be opened or is not ours."""


def _left_key(volume: str, extent: int, shard: int) -> bytes:
    return LEFT + volume.encode() + _KEY.pack(extent) + _SHARD.pack(shard)


class ExtentMap:
    """The map, kept in memory and in LMDB. With path None it lives in memory alone (simulated days)."""

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
            with self._env.begin(write=True) as change:
                if (found := change.get(b"format")) in (None, OLDER):
                    change.put(b"format", FORMAT)
                elif found != FORMAT:
                    raise ExtentMapError(f"{path}: format {found!r}; this program knows {FORMAT!r}")
                for key, value in change.cursor():
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
        """Return the shard that holds an extent; None if it was never placed."""
        return self._shards.get(volume, {}).get(extent)

    def placed(self, volume: str) -> Iterator[tuple[int, int]]:
        """Yield (extent, shard) of a volume, in order of extents."""
        yield from sorted(self._shards.get(volume, {}).items())

    def place(self, placements: Iterable[tuple[str, int, int]]) -> None:
        """Record (volume, extent, shard) for good: they are on disk when this returns."""
        placements = list(placements)
        if not placements:
            return
        olds = [(volume, extent, self.shard_of(volume, extent)) for volume, extent, _ in placements]
        moved = [(volume, extent, old) for volume, extent, old in olds if old is not None]
        if self._env is not None:
            with self._env.begin(write=True) as change:
                for volume, extent, old in moved:
                    change.put(_left_key(volume, extent, old), b"")
                for volume, extent, shard in placements:
                    change.put(volume.encode() + _KEY.pack(extent), _SHARD.pack(shard))
                    change.delete(_left_key(volume, extent, shard))  # in use again
                    self.closing.placed(change, volume, (extent, shard))
        self.commits += 1
        for volume, extent, old in moved:
            self._left.setdefault(volume, set()).add((extent, old))
        for volume, extent, shard in placements:
            self.closing.placed(None, volume, (extent, shard))
            self._shards.setdefault(volume, {})[extent] = shard
            self._left.get(volume, set()).discard((extent, shard))

    def left(self, volume: str) -> list[tuple[int, int]]:
        """Return (extent, shard) of a volume where its bytes were left behind."""
        return sorted(self._left.get(volume, ()))

    def forgot(self, volume: str, extent: int, shard: int) -> None:
        """The bytes that were left there are gone: on disk when this returns."""
        if self._env is not None:
            with self._env.begin(write=True) as change:
                change.delete(_left_key(volume, extent, shard))
        self._left.get(volume, set()).discard((extent, shard))

    def _change(self) -> AbstractContextManager[lmdb.Transaction | None]:
        return nullcontext() if self._env is None else self._env.begin(write=True)

    def doubt(self, volume: str, extent: int, shard: int) -> None:
        """A first write to an extent is about to be sent to a shard: on disk when this returns."""
        if (extent, shard) not in self.closing.doubts.get(volume, ()):
            with self._change() as change:
                self.closing.doubt(change, volume, (extent, shard))

    def purge(self, calendar: str, number: int, at_us: int,
              gone: Callable[[str, int], bool]) -> list[tuple[str, int, int]]:  # fmt: skip
        """Forget where extents are of which `gone` (volume, extent) says so, as a calendar's close.

        Returns (volume, extent, shard) of all that is to be trimmed; on disk, whole or not at all.
        """
        found = {
            (volume, extent, shard)
            for volume, known in self._shards.items() for extent, shard in known.items()
            if gone(volume, extent)
        }  # fmt: skip
        beside = {
            (volume, extent, shard)
            for sets in (self._left, self.closing.doubts)
            for volume, places in sets.items() for extent, shard in places
            if gone(volume, extent)
        }  # fmt: skip
        every = sorted(found | beside)
        with self._change() as change:
            if change is not None:
                for volume, extent, shard in every:
                    change.delete(volume.encode() + _KEY.pack(extent))
                    change.delete(_left_key(volume, extent, shard))
            lefts = [(volume, (extent, shard)) for volume, extent, shard in every]
            self.closing.close(change, calendar, number, at_us, lefts)
        for volume, extent, shard in every:
            self._shards.get(volume, {}).pop(extent, None)
            self._left.get(volume, set()).discard((extent, shard))
        return every

    def trimmed(self, volume: str, extent: int, shard: int) -> None:
        """What a close left there is gone: on disk when this returns."""
        with self._change() as change:
            self.closing.trimmed(change, volume, (extent, shard))

    def raise_to(self, volume: str, epoch: int) -> None:
        """Work of a volume is sent under this epoch, for closes, from now on: on disk when this returns."""
        with self._change() as change:
            self.closing.raise_to(change, volume, epoch)

    def close(self) -> None:
        """Close the store; everything placed is on disk already."""
        if self._env is not None:
            self._env.close()
            self._env = None
