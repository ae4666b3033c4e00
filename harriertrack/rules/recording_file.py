"""Files of recordings: one JSON object a line."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import TypeVar

import msgspec

T = TypeVar("T")


class RecordingError(Exception):
    """A recording is unreadable; the text gives file and line."""


def encode_line(record: msgspec.Struct) -> bytes:
    """Return the line of one record."""
    return msgspec.json.encode(record) + b"\n"


def write_records(path: Path, records: Iterable[msgspec.Struct]) -> None:
    """Write a recording. Raises OSError."""
    path.write_bytes(b"".join(map(encode_line, records)))


def read_records(path: str | Path, decoder: msgspec.json.Decoder[T]) -> list[T]:
    """Read a recording. Raises RecordingError."""
    try:
        lines = Path(path).read_bytes().splitlines()
    except OSError as error:
        raise RecordingError(f"{path}: {error.strerror}") from error
    return list(_decode_lines(path, lines, decoder))


def _decode_lines(path: str | Path, lines: Iterable[bytes], decoder: msgspec.json.Decoder[T]) -> Iterator[T]:
    for number, line in enumerate(lines, start=1):
        try:
            yield decoder.decode(line)
        except msgspec.MsgspecError as error:
            raise RecordingError(f"{path}:{number}: {error}") from error
