"""The lifecycle of one link to a storage node: which attempts wait for it, which are sent, and when it ends.

No I/O and no clock: the caller that carries the bytes (over a socket, or as the emulator's messages) acts on
the results. DIALING until the handshake is complete, then OPEN, then CLOSED for good.
"""

from __future__ import annotations

from enum import StrEnum

from harriertrack.decisions.interface import Result
from harriertrack.decisions.lifecycle import IllegalTransition
from harriertrack.decisions.requests import Attempt


class LinkState(StrEnum):
    """The states of a link."""

    DIALING = "dialing"
    OPEN = "open"
    CLOSED = "closed"


class LinkLifecycle:
    """The attempts of one link, by the cookie that its requests carry."""

    def __init__(self, max_orphans: int) -> None:
        self.state = LinkState.DIALING
        self.retired = False  # replaced by a newer link: accepts no more attempts
        self._max_orphans = max_orphans
        self._waiting: dict[int, Attempt] = {}
        self._sent: dict[int, Attempt] = {}
        self._orphans = 0  # sent attempts that were cancelled
        self._last_received = 0

    @property
    def open(self) -> bool:
        """Whether bytes can be sent."""
        return self.state is LinkState.OPEN

    @property
    def closed(self) -> bool:
        """Whether the link has ended."""
        return self.state is LinkState.CLOSED

    @property
    def busy(self) -> bool:
        """Whether an answer may still arrive."""
        return bool(self._sent)

    def add_attempt(self, cookie: int, attempt: Attempt) -> bool:
        """Add an attempt; return whether to send it now, else it waits until the link is open."""
        if self.state is LinkState.CLOSED:
            raise IllegalTransition("a closed link accepts no attempts")
        (self._sent if self.open else self._waiting)[cookie] = attempt
        return self.open

    def complete_handshake(self) -> list[tuple[int, Attempt]]:
        """Complete the handshake; return the attempts to send now."""
        if self.state is not LinkState.DIALING:
            raise IllegalTransition(f"a link that is {self.state} can't open")
        self.state = LinkState.OPEN
        ready = list(self._waiting.items())
        self._waiting.clear()
        self._sent.update(ready)
        return ready

    def note_received(self, now: int) -> None:
        """Note that bytes arrived from the node."""
        self._last_received = now

    def call_off(self, cookie: int) -> bool:
        """Cancel an attempt; return whether the node is to be notified because it was sent.

        Its reply may still arrive, or never. A link that has received nothing since the attempt was sent may
        be dead though its node is not: it is retired, so that the next attempt uses a new link.
        """
        if self._waiting.pop(cookie, None) is not None or cookie not in self._sent:
            return False
        self._orphans += 1
        if self._last_received < self._sent[cookie].sent_at or self._orphans > self._max_orphans:
            self.retired = True
        return self.open

    def match_reply(self, cookie: int) -> Attempt:
        """Return the attempt that a reply answers. Raises KeyError if none with this cookie was sent."""
        attempt = self._sent.pop(cookie)
        self._orphans -= attempt.reported
        return attempt

    @property
    def can_close(self) -> bool:
        """Whether the link was replaced, and no answer over it is needed any more, or none may be awaited.

        A change that was given up may still be on its way to the node. Later changes go over another link, so
        it would run behind them: the link is closed with a reset, whatever else is open over it.
        """
        sent = self._sent.values()
        is_harmful = any(attempt.is_abandoned_change for attempt in sent)
        return self.retired and (is_harmful or not any(attempt.answer_needed for attempt in sent))

    def close(self) -> list[tuple[Attempt, Result]]:
        """Close the link; return what that proves of each attempt.

        Attempts that still waited for the handshake have not run. Closing again returns nothing more.
        """
        result = Result.CONNECT_FAILED if self.state is LinkState.DIALING else Result.RESET
        self.state = LinkState.CLOSED
        lost = [(attempt, result) for attempt in (*self._waiting.values(), *self._sent.values())]
        self._waiting.clear()
        self._sent.clear()
        self._orphans = 0
        return lost
