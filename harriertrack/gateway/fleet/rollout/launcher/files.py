"""What lies between a launcher, its earlier lives and its head: small files, each replaced whole.

`state` is the launcher's own (`Kept`), `wanted` is written by the head, `ready` too once it serves, with the
token that it was started with. Each line has its checksum; what is damaged counts as not there.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import TypeVar

import msgspec
import xxhash

from harriertrack.decisions.fleet.rollout.launch_state import Program, SavedState

T = TypeVar("T")
STATE, WANTED, READY = "state", "wanted", "ready"
FOLDER_VARIABLE = "HARRIERTRACK_LAUNCH"
TOKEN_VARIABLE = "HARRIERTRACK_LAUNCH_TOKEN"
NUMBER_VARIABLE = "HARRIERTRACK_LAUNCH_VERSION"
FELL_VARIABLE = "HARRIERTRACK_LAUNCH_FELL"


class Files:
    """One launcher's folder."""

    def __init__(self, folder: str) -> None:
        self.folder = Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)

    def _write(self, name: str, value: object) -> None:
        body = msgspec.json.encode(value)
        path = self.folder / name
        fresh = path.with_suffix(f".{os.getpid()}.new")
        with fresh.open("wb") as file:
            file.write(f"{xxhash.xxh64_intdigest(body):016x} ".encode() + body)
            file.flush()
            os.fsync(file.fileno())
        fresh.replace(path)
        folder = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def _read(self, name: str, kind: type[T]) -> T | None:
        try:
            data = (self.folder / name).read_bytes()
            body = data[17:]
            if data[:17] != f"{xxhash.xxh64_intdigest(body):016x} ".encode():
                return None
            return msgspec.json.decode(body, type=kind)
        except (OSError, msgspec.MsgspecError, UnicodeDecodeError):
            return None

    def kept(self) -> SavedState | None:
        """Return what an earlier life of the launcher kept; None if nothing is there that can be read."""
        return self._read(STATE, SavedState)

    def keep(self, kept: SavedState) -> None:
        """Keep it; on disk when this returns. Raises OSError."""
        self._write(STATE, kept)

    def wanted(self) -> Program | None:
        """Return which version the head wants to run in its place."""
        return self._read(WANTED, Program)

    def want(self, program: Program) -> None:
        """Say so, as the head. Raises OSError."""
        self._write(WANTED, program)

    def is_ready(self, token: str) -> bool:
        """Whether the child that was started with a token serves."""
        return self._read(READY, str) == token

    def ready(self, token: str) -> None:
        """Say so, as the head. Raises OSError."""
        self._write(READY, token)


class Launched:
    """What a head knows of the launcher that started it."""

    def __init__(self, environment: dict[str, str]) -> None:
        self._files = Files(environment[FOLDER_VARIABLE])
        self._token = environment.get(TOKEN_VARIABLE, "")
        self._number = int(environment.get(NUMBER_VARIABLE, "0"))
        number, _, why = environment.get(FELL_VARIABLE, "0 ").partition(" ")
        self._fell = int(number), why

    @property
    def number(self) -> int:
        """Return the version that runs."""
        return self._number

    @property
    def fell(self) -> tuple[int, str]:
        """Return the version that did not run when it was tried, and why; 0: none."""
        return self._fell

    def wanted(self, program: Program) -> None:
        """Let a version run in this one's place. Raises OSError."""
        self._files.want(program)

    def ready(self) -> None:
        """Tell the launcher that this head serves. Raises OSError."""
        self._files.ready(self._token)


def launched(environment: dict[str, str]) -> Launched | None:
    """Return what started this process, if that was a launcher."""
    return Launched(environment) if environment.get(FOLDER_VARIABLE) else None
