"""What a head keeps of changes on disk: its copy of the record, by which it runs when nobody can be asked."""

from __future__ import annotations

import os
from pathlib import Path


class ChangesCache:
    """One file, replaced whole: after a kill at any moment it is the old one or the new one.

    With folder None it lives in memory alone (simulated days).
    """

    def __init__(self, folder: str | None, name: str = "changes") -> None:
        self._folder = folder
        self._path = Path(folder) / name if folder is not None else None
        self._memory: bytes | None = None
        self._beside: dict[str, ChangesCache] = {}

    def beside(self, name: str) -> ChangesCache:
        """Return another file in the same folder."""
        return self._beside.setdefault(name, ChangesCache(self._folder, name))

    def read(self) -> bytes | None:
        """Return what was kept last; None if nothing was."""
        if self._path is None:
            return self._memory
        try:
            return self._path.read_bytes()
        except FileNotFoundError:
            return None

    def write(self, data: bytes) -> None:
        """Keep it; on disk when this returns. Raises OSError."""
        if self._path is None:
            self._memory = data
            return
        self._path.parent.mkdir(parents=True, exist_ok=True)
        fresh = self._path.with_suffix(".new")
        with fresh.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        fresh.replace(self._path)
        folder = os.open(self._path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
