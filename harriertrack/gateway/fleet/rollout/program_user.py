"""Applies the `program` of the record of changes: passes the desired version to the head's launcher.

A running head can't change its program: it reports a handover, is stopped by its launcher, drains and leaves;
the launcher then starts the other version in its place.
"""

from __future__ import annotations

from typing import Protocol

from harriertrack.config.rollout import read_program
from harriertrack.config.sexp import SettingsError
from harriertrack.decisions.fleet.changes.record import Version
from harriertrack.decisions.fleet.rollout.launch_state import Program

HANDING_OVER = "handing over to another version"


class Handover(Protocol):
    """The launcher that started this head."""

    @property
    def number(self) -> int:
        """Return the running version."""

    @property
    def failed_version(self) -> tuple[int, str]:
        """Return the version that failed when it was tried, and why; 0: none."""

    def request_program(self, program: Program) -> None:
        """Request that a version replace the running one. Raises OSError."""


class ProgramUser:
    """Applies program versions to one head; without a launcher all are rejected."""

    def __init__(self, handover: Handover | None) -> None:
        self._handover = handover

    def apply(self, thing: str, version: Version | None) -> str:
        """Apply a version; return "" if it runs, or why it does not (yet)."""
        handover = self._handover
        if handover is None:
            return "" if version is None else "no launcher started this head"
        try:
            program = read_program(version) if version is not None else Program()
        except SettingsError as error:
            return str(error)
        if program.number == handover.number:
            return ""
        if program.number and program.number == handover.failed_version[0]:
            return handover.failed_version[1]
        try:
            handover.request_program(program)
        except OSError as error:
            return f"the launcher can't be told: {error}"
        return HANDING_OVER
