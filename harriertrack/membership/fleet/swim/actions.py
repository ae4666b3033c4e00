"""Actions that a member returns to its carrier."""

from __future__ import annotations

from dataclasses import dataclass

from harriertrack.membership.fleet.messages import Address, Note
from harriertrack.membership.fleet.view import Change


@dataclass(frozen=True, slots=True)
class Send:
    """Send a datagram."""

    address: Address
    data: bytes


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """The record of a member changed."""

    change: Change


@dataclass(frozen=True, slots=True)
class NoteReceived:
    """A member published a new note."""

    note: Note


@dataclass(frozen=True, slots=True)
class LogEvent:
    """An event for the operators' log."""

    event: str
    fields: tuple[tuple[str, str | int], ...] = ()


Action = Send | MemberChanged | NoteReceived | LogEvent
