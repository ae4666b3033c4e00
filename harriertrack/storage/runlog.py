"""A log of the results of finished runs, so that a killed sweep resumes where it stopped.

Each result is one line: the CRC-32 of the rest, a key, and the result as JSON; it is on disk when `add`
returns. A kill may leave a torn last line, which is truncated; a bad line before the last is reported as
damage. The first line names the file's format. Only one process may write a file at a time.
"""

from __future__ import annotations

import fcntl
import os
import zlib
from collections.abc import Iterator
from pathlib import Path

FORM = "harriertrack-runs-1"


class RunLogError(Exception):
    """A results file is unusable; the message names the file, the line and the reason."""


def _line(key: str, body: bytes) -> bytes:
    text = key.encode() + b"\t" + body
    return f"{zlib.crc32(text):08x}\t".encode() + text + b"\n"


def _parse(line: bytes) -> tuple[str, bytes] | None:
    parts = line.split(b"\t", 2)
    if len(parts) != 3 or not line.endswith(b"\n"):
        return None
    key, body = parts[1], parts[2][:-1]
    if _line(key.decode(errors="replace"), body) != line:
        return None
    return key.decode(), body


def read(path: str) -> Iterator[tuple[str, bytes]]:
    """Yield (key, result) of each complete line, in the order of addition. Raises RunLogError."""
    for key, body, _end in _scan(path):
        yield key, body


def _scan(path: str) -> Iterator[tuple[str, bytes, int]]:
    """Yield (key, result, end offset of the line)."""
    try:
        file = open(path, "rb")
    except OSError as error:
        raise RunLogError(f"{path}: {error.strerror}") from error
    with file:
        first = file.readline()
        end = len(first)
        found = _parse(first)
        if found is None or found[0] != FORM:
            raise RunLogError(f"{path}:1: not a results file of this form ({FORM})")
        bad = 0
        for number, line in enumerate(file, start=2):
            if bad:
                raise RunLogError(f"{path}:{bad}: damaged, though it is not the last line")
            end += len(line)
            if (found := _parse(line)) is None:
                bad = number
            else:
                yield *found, end


class RunLog:
    """A results file open for writing."""

    def __init__(self, path: str) -> None:
        """Open or create the file, and truncate a torn last line. Raises RunLogError."""
        self.path = path
        self.done: dict[str, bytes] = {}
        try:
            Path(path).parent.mkdir(parents=True, exist_ok=True)
            self._fd = os.open(path, os.O_RDWR | os.O_CREAT, 0o644)
        except OSError as error:
            raise RunLogError(f"{path}: {error.strerror}") from error
        try:
            fcntl.flock(self._fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._fd)
            raise RunLogError(f"{path}: another process writes it") from error
        try:
            self._recover()
        except RunLogError:
            self.close()
            raise

    def _recover(self) -> None:
        head = _line(FORM, b"{}")
        size = os.fstat(self._fd).st_size
        if size < len(head) and head.startswith(os.pread(self._fd, size, 0)):
            os.ftruncate(self._fd, 0)  # new, or killed while its first line was written
            os.pwrite(self._fd, head, 0)
            os.fsync(self._fd)
            size = len(head)
        end = len(head)
        for key, body, line_end in _scan(self.path):
            self.done[key], end = body, line_end
        if end < size:
            os.ftruncate(self._fd, end)
        self._end = end

    def add(self, key: str, body: bytes) -> None:
        """Append a result; on disk on return. Raises ValueError for a key or body that breaks lines."""
        if "\t" in key or "\n" in key or b"\n" in body:
            raise ValueError("a key must not contain tabs or line ends, a result no line ends")
        line = _line(key, body)
        os.pwrite(self._fd, line, self._end)
        os.fsync(self._fd)
        self._end += len(line)
        self.done[key] = body

    def close(self) -> None:
        """Close the file and release its lock."""
        os.close(self._fd)
