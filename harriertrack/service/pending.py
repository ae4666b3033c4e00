"""Client requests and sessions as the parts of the platform's head see them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from harriertrack.decisions.client_connections import DISCONNECT_KNOWN_US
from harriertrack.decisions.requests import ClientRequest
from harriertrack.decisions.retry_queue import WaitMode
from harriertrack.protocol.platform.request_parser import PlatformRequest


@dataclass(frozen=True, slots=True)
class PlatformVolume:
    """A volume as one request describes it: no state of volumes is kept between requests."""

    name: str
    plan: str
    hosts: int
    waiting: WaitMode = WaitMode.REFUSE
    patience_us: int = 0
    shards: tuple[int, ...] = ()


class Session(Protocol):
    """A client's connection."""

    def send_answer(self, pending: PendingRequest, request: ClientRequest) -> None:
        """Send the final answer."""

    def has_left(self, since: int) -> bool:
        """Whether the client has disconnected; polls if the last poll was before `since` (microseconds)."""

    def abandon(self) -> None:
        """Abandon the open request, if there is one, as the client has disconnected."""


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A client's request as its front sees it: the parsed request and the connection it came over."""

    parsed: PlatformRequest  # without its body, which the core has until the request is over
    session: Session
    identity: bytes  # of the request, whichever connection it comes over

    def answer(self, request: ClientRequest) -> None:
        """Hand the final answer to the connection."""
        self.session.send_answer(self, request)

    def client_has_left(self, now: int) -> bool:
        """Whether the client has disconnected, polled recently enough for an attempt to begin now."""
        return self.session.has_left(now - DISCONNECT_KNOWN_US)
