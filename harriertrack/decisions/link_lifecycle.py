"""The life of one link to a storage node: which attempts wait for it, which are out, and when it ends.

No I/O and no clock: whoever carries bytes (a socket, or the emulator's messages) asks here what to do with
an attempt and does it. DIALING until the handshake is over, then OPEN, then CLOSED for good.
"""

from __future__ import annotations

from enum import StrEnum

from harriertrack.decisions.interface import Result
from harriertrack.decisions.lifecycle import IllegalTransition
from harriertrack.decisions.requests import Attempt


class LinkState(StrEnum):
    """Where a link is."""

    DIALING = "dialing"
    OPEN = "open"
    CLOSED = "closed"


class LinkLifecycle:
    """One link's attempts, by the cookie that its requests carry."""

    def __init__(self, most_orphans: int) -> None:
        self.state = LinkState.DIALING
        self.retired = False  # replaced by a newer link: takes no more attempts
        self._most_orphans = most_orphans
        self._waiting: dict[int, Attempt] = {}
        self._out: dict[int, Attempt] = {}
        self._orphans = 0  # attempts in `_out` that were called off
        self._heard_at = 0

    @property
    def open(self) -> bool:
        """Whether bytes can be sent."""
        return self.state is LinkState.OPEN

    @property
    def closed(self) -> bool:
        """Whether it is over."""
        return self.state is LinkState.CLOSED

    @property
    def busy(self) -> bool:
        """Whether an answer may still come."""
        return bool(self._out)

    def add_attempt(self, cookie: int, attempt: Attempt) -> bool:
        """Take an attempt; return whether to send it now, else it waits until the link is open."""
        if self.state is LinkState.CLOSED:
            raise IllegalTransition("a closed link takes no attempts")
        (self._out if self.open else self._waiting)[cookie] = attempt
        return self.open

    def complete_handshake(self) -> list[tuple[int, Attempt]]:
        """The handshake is over; return the attempts to send now."""
        if self.state is not LinkState.DIALING:
            raise IllegalTransition(f"a link that is {self.state} can't open")
        self.state = LinkState.OPEN
        ready = list(self._waiting.items())
        self._waiting.clear()
        self._out.update(ready)
        return ready

    def note_received(self, now: int) -> None:
        """Something came from the node."""
        self._heard_at = now

    def call_off(self, cookie: int) -> bool:
        """Forget an attempt that waits; return whether the node is to be told of one that is out.

        Its reply may still come, or never. A link that has been mute since the attempt left may be dead
        though its node lives: it is retired, so that the next attempt goes over a new one.
        """
        if self._waiting.pop(cookie, None) is not None or cookie not in self._out:
            return False
        self._orphans += 1
        if self._heard_at < self._out[cookie].sent_at or self._orphans > self._most_orphans:
            self.retired = True
        return self.open

    def match_reply(self, cookie: int) -> Attempt:
        """A reply came; return whose. Raises KeyError if nothing with this cookie is out."""
        attempt = self._out.pop(cookie)
        self._orphans -= attempt.reported
        return attempt

    @property
    def can_close(self) -> bool:
        """Whether it was replaced and nobody waits for an answer over it any more: it can be closed."""
        return self.retired and not any(attempt.answer_needed for attempt in self._out.values())

    def close(self) -> list[tuple[Attempt, Result]]:
        """The link is gone; return what that proves of each attempt.

        What still waited for the handshake has not run. Closing again tells nothing more.
        """
        result = Result.CONNECT_FAILED if self.state is LinkState.DIALING else Result.RESET
        self.state = LinkState.CLOSED
        lost = [(attempt, result) for attempt in (*self._waiting.values(), *self._out.values())]
        self._waiting.clear()
        self._out.clear()
        self._orphans = 0
        return lost
