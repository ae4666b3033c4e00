"""What closes need of the fleet: its one term, and the record of what it agreed on."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from harriertrack.decisions.fleet.budgets import Term
from harriertrack.decisions.fleet.changes.record import Kind, Record, Version


class User(Protocol):
    """Who takes versions of a kind of things."""

    def take(self, thing: str, version: Version | None) -> str:
        """Take a version whole and return "", or return why not."""


class Deciding(Protocol):
    """The deciding term."""

    on_report: dict[str, Callable[[int, str, bytes], None]]
    on_ruling: dict[str, Callable[[int, Term, bytes], None]]

    def keeps(self, now: int) -> Term | None:
        """Return the term in which this head decides."""

    def report(self, topic: str, body: bytes) -> None:
        """Tell who decides; may be lost."""

    def rule(self, topic: str, body: bytes) -> None:
        """As who decides, tell all; may be lost."""


class Changes(Protocol):
    """A head's carrier of the record."""

    @property
    def record(self) -> Record:
        """Return the last good one in hand."""

    def use(self, kind: Kind, user: User) -> None:
        """Let somebody take what changes of a kind."""

    def write(self, make: Callable[[Record], Record]) -> Record:
        """Write the record that `make` makes of the one at the witness. Raises what that raises, FAILURES."""
