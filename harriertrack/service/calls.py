"""What the parts of the platform's head know of each other."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from harriertrack.decisions.client_connections import DISCONNECT_KNOWN_US
from harriertrack.decisions.requests import ClientRequest
from harriertrack.decisions.retry_queue import WaitMode
from harriertrack.protocol.platform.asked import Asked


@dataclass(frozen=True, slots=True)
class PlatformVolume:
    """A volume as one request describes it: nothing is kept of volumes between requests."""

    name: str
    plan: str
    hosts: int
    waiting: WaitMode = WaitMode.REFUSE
    patience_us: int = 0
    shards: tuple[int, ...] = ()


class Session(Protocol):
    """A client's connection."""

    def give(self, call: Call, request: ClientRequest) -> None:
        """Send the one final answer."""

    def left(self, since: int) -> bool:
        """Whether the client has gone; looks anew if the last look was before `since` (microseconds)."""

    def leave(self) -> None:
        """The client has gone: if a request of it is open, nobody waits for its answer."""


@dataclass(slots=True, eq=False)
class Call:
    """A client's request as its front knows it: what was asked, and over which connection."""

    asked: Asked
    session: Session

    def answer(self, request: ClientRequest) -> None:
        """Hand the one final answer to the connection."""
        self.session.give(self, request)

    def client_left(self, now: int) -> bool:
        """Whether the client has gone, as known recently enough for an attempt to begin now."""
        return self.session.left(now - DISCONNECT_KNOWN_US)
