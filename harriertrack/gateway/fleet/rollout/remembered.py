"""How it went before a version, as a head keeps it on disk: a program that comes ends the head that knew."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import xxhash

from harriertrack.decisions.fleet.rollout.baseline import Baseline
from harriertrack.gateway.fleet.rollout.reports import MalformedReport, decode_before, encode_before
from harriertrack.storage.changes import ChangesCache

FILE = "before"
_HEAD = 16  # bytes: a checksum, and the wall clock in microseconds since 1970 when it was written


class Remembered:
    """One head's file. What can't be read or written is gone, and said so: then others' figures serve."""

    def __init__(self, kept: ChangesCache, note: Callable[..., None]) -> None:
        self._file, self._note = kept.sibling(FILE), note

    def write(self, wall: int, before: Baseline) -> None:
        """Keep it; `wall`: the clock of the day, in microseconds since 1970."""
        body = wall.to_bytes(8, "big") + encode_before(0, before)
        try:
            self._file.write(xxhash.xxh64_digest(body) + body)
        except OSError as error:
            self._note("rollout: before is not kept", why=str(error))

    def read(self, wall: int) -> Baseline | None:
        """Return what was kept, as long ago as the clock of the day says; None if there is nothing of use."""
        try:
            data = self._file.read()
            if data is None:
                return None
            if len(data) < _HEAD or xxhash.xxh64_digest(data[8:]) != data[:8]:
                raise MalformedReport("its checksum is another's")
            before = decode_before(data[_HEAD:])
        except (OSError, MalformedReport) as error:
            self._note("rollout: what was kept of before is of no use", why=str(error))
            return None
        return replace(before, ago_us=before.ago_us + wall - int.from_bytes(data[8:_HEAD], "big"))
