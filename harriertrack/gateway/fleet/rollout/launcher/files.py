"""Files shared by a launcher, its earlier incarnations and its head, each replaced atomically.

The launcher writes `state` (`SavedState`). The head writes `wanted` and, once it serves, `ready` with the
token of its start. Each file has a checksum; a damaged file counts as missing.
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


class LauncherFiles:
    """The folder of one launcher."""

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

    def saved_state(self) -> SavedState | None:
        """Return the state saved by an earlier incarnation of the launcher; None if missing or damaged."""
        return self._read(STATE, SavedState)

    def save_state(self, state: SavedState) -> None:
        """Save the state; on disk when this returns. Raises OSError."""
        self._write(STATE, state)

    def requested_program(self) -> Program | None:
        """Return the version that the head requests to run in its place."""
        return self._read(WANTED, Program)

    def request_program(self, program: Program) -> None:
        """Request a version, as the head. Raises OSError."""
        self._write(WANTED, program)

    def is_ready(self, token: str) -> bool:
        """Whether the child started with a token serves."""
        return self._read(READY, str) == token

    def report_ready(self, token: str) -> None:
        """Report that the head serves, as the head. Raises OSError."""
        self._write(READY, token)


class LauncherConnection:
    """A head's connection to the launcher that started it."""

    def __init__(self, environment: dict[str, str]) -> None:
        self._files = LauncherFiles(environment[FOLDER_VARIABLE])
        self._token = environment.get(TOKEN_VARIABLE, "")
        self._number = int(environment.get(NUMBER_VARIABLE, "0"))
        number, _, why = environment.get(FELL_VARIABLE, "0 ").partition(" ")
        self._failed_version = int(number), why

    @property
    def number(self) -> int:
        """Return the running version."""
        return self._number

    @property
    def failed_version(self) -> tuple[int, str]:
        """Return the version that failed when it was tried, and why; 0: none."""
        return self._failed_version

    def request_program(self, program: Program) -> None:
        """Request that a version replace the running one. Raises OSError."""
        self._files.request_program(program)

    def report_ready(self) -> None:
        """Report to the launcher that this head serves. Raises OSError."""
        self._files.report_ready(self._token)


def connect_to_launcher(environment: dict[str, str]) -> LauncherConnection | None:
    """Return the launcher that started this process, if any."""
    return LauncherConnection(environment) if environment.get(FOLDER_VARIABLE) else None
