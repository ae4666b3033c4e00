"""Bytes received and not yet parsed."""

from __future__ import annotations

import struct


class ReceiveBuffer:
    """What came in; parsers of all protocols take from its front."""

    def __init__(self) -> None:
        self._data = bytearray()
        self._at = 0

    def __len__(self) -> int:
        return len(self._data) - self._at

    def add(self, data: bytes) -> None:
        """Append what came in."""
        if self._at:
            del self._data[: self._at]
            self._at = 0
        self._data += data

    def peek(self, layout: struct.Struct) -> tuple | None:
        """Read a fixed layout at the front without taking it; None if it is not all there."""
        if len(self._data) - self._at < layout.size:
            return None
        return layout.unpack_from(self._data, self._at)

    def skip(self, count: int) -> None:
        """Take bytes off the front unread."""
        self._at += count

    def consume(self, count: int) -> bytes:
        """Take bytes off the front; the caller checked that they are there."""
        at = self._at
        self._at = at + count
        return bytes(self._data[at : at + count])
