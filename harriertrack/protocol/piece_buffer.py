"""Bytes that come in pieces of any length, kept in little more memory than they have bytes."""

from __future__ import annotations

LONG_PIECE_BYTES = 4 << 10  # a piece from this length on is kept as it came
SHARED_BYTES = 16 << 10  # shorter ones are appended to an array until it has this length
PIECE_OVERHEAD_BYTES = 100  # what the interpreter needs for a piece or an array beside its bytes


class PieceBuffer:
    """Collects pieces until they are taken as one.

    An object for each piece would take many times a short piece's bytes, and one array for all would be moved
    about in memory as it grows.
    """

    def __init__(self) -> None:
        self._pieces: list[bytes | bytearray] = []
        self._size = 0

    def __len__(self) -> int:
        return self._size

    @property
    def overhead_bytes(self) -> int:
        """Return what is held beside the bytes themselves: objects, and the spare of arrays that grow."""
        return PIECE_OVERHEAD_BYTES * len(self._pieces) + (min(self._size, SHARED_BYTES) >> 3)

    def add(self, data: bytes) -> None:
        """Add a piece."""
        self._size += len(data)
        if len(data) >= LONG_PIECE_BYTES:
            self._pieces.append(data)
            return
        last = self._pieces[-1] if self._pieces else None
        if isinstance(last, bytearray) and len(last) < SHARED_BYTES:
            last += data
        else:
            self._pieces.append(bytearray(data))

    def take(self) -> bytes:
        """Return all bytes, and keep none."""
        joined = b"".join(self._pieces)
        self.clear()
        return joined

    def clear(self) -> None:
        """Drop all bytes."""
        self._pieces, self._size = [], 0
