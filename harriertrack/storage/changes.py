"""A head's copy of the change record on disk, which it runs by when no other source can be reached."""

from __future__ import annotations

import os
from pathlib import Path


class ChangesCache:
    """One file that is replaced atomically: after a kill at any moment it is the old one or the new one.

    With folder None the data is held in memory only (simulated days).
    """

    def __init__(self, folder: str | None, name: str = "changes") -> None:
        self._folder = folder
        self._path = Path(folder) / name if folder is not None else None
        self._memory: bytes | None = None
        self._siblings: dict[str, ChangesCache] = {}

    def sibling(self, name: str) -> ChangesCache:
        """Return another file in the same folder."""
        return self._siblings.setdefault(name, ChangesCache(self._folder, name))

    def read(self) -> bytes | None:
        """Return the data written last; None if there is none."""
        if self._path is None:
            return self._memory
        try:
            return self._path.read_bytes()
        except FileNotFoundError:
            return None

    def write(self, data: bytes) -> None:
        """Replace the file's content; synced to disk when this returns. Raises OSError."""
        if self._path is None:
            self._memory = data
            return
        self._path.parent.mkdir(parents=True, exist_ok=True)
        new_file = self._path.with_suffix(".new")
        with new_file.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        new_file.replace(self._path)
        folder = os.open(self._path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
