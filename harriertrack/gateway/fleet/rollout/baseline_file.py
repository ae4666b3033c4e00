"""A head's baseline before a version, stored on disk because a change of program ends the head's process."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import xxhash

from harriertrack.decisions.fleet.rollout.baseline import Baseline
from harriertrack.gateway.fleet.rollout.reports import MalformedReport, decode_baseline, encode_baseline
from harriertrack.storage.changes import ChangesCache

FILE = "before"
_HEADER_BYTES = 16  # bytes: a checksum, and the wall clock in microseconds since 1970 when it was written


class BaselineFile:
    """One head's file. If it can't be read or written, that is logged and other heads' baselines are used."""

    def __init__(self, cache: ChangesCache, note: Callable[..., None]) -> None:
        self._file, self._note = cache.sibling(FILE), note

    def write(self, wall: int, before: Baseline) -> None:
        """Store a baseline; `wall`: the wall clock, in microseconds since 1970."""
        body = wall.to_bytes(8, "big") + encode_baseline(0, before)
        try:
            self._file.write(xxhash.xxh64_digest(body) + body)
        except OSError as error:
            self._note("rollout: before is not kept", why=str(error))

    def read(self, wall: int) -> Baseline | None:
        """Return the stored baseline, aged by the wall clock; None if there is none that is valid."""
        try:
            data = self._file.read()
            if data is None:
                return None
            if len(data) < _HEADER_BYTES or xxhash.xxh64_digest(data[8:]) != data[:8]:
                raise MalformedReport("its checksum is another's")
            before = decode_baseline(data[_HEADER_BYTES:])
        except (OSError, MalformedReport) as error:
            self._note("rollout: what was kept of before is of no use", why=str(error))
            return None
        return replace(before, ago_us=before.ago_us + wall - int.from_bytes(data[8:_HEADER_BYTES], "big"))
