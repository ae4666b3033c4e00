"""Bytes received and not yet parsed."""

from __future__ import annotations

import struct


class ReceiveBuffer:
    """A byte queue: received data is appended, and the parsers of all protocols consume it from the front."""

    def __init__(self) -> None:
        self._data = bytearray()
        self._offset = 0

    def __len__(self) -> int:
        return len(self._data) - self._offset

    def add(self, data: bytes | memoryview) -> None:
        """Append received bytes."""
        if self._offset:
            del self._data[: self._offset]
            self._offset = 0
        self._data += data

    def peek(self, layout: struct.Struct) -> tuple | None:
        """Unpack a fixed layout at the front without consuming it; None if it is incomplete."""
        if len(self._data) - self._offset < layout.size:
            return None
        return layout.unpack_from(self._data, self._offset)

    def skip(self, count: int) -> None:
        """Drop bytes from the front."""
        self._offset += count

    def consume(self, count: int) -> bytes:
        """Remove bytes from the front and return them; the caller has checked that they are there."""
        start = self._offset
        self._offset = start + count
        return bytes(self._data[start : start + count])
