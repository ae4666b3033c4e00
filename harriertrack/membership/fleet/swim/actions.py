"""What a member asks its carrier to do."""

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
    """What is held of a member changed."""

    change: Change


@dataclass(frozen=True, slots=True)
class NoteReceived:
    """A member's note is new."""

    note: Note


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Something that operators should read."""

    event: str
    fields: tuple[tuple[str, str | int], ...] = ()


Action = Send | MemberChanged | NoteReceived | LogEvent
