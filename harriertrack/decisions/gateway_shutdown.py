"""The end of a gateway's head: every request that it has taken is answered, and the answers arrive.

No I/O and no clock. WAITING while open requests run on and new ones are rejected; SENDING once all are
answered, by their nodes or, when the time is up, as failed: the answers leave, and requests that have arrived
meanwhile are read and rejected. PARTING while clients close: closing a socket with unread bytes would reset
the connection, and the client would lose answers. Then ENDED, at the latest `STOP_US` after the request to
stop, also if the process is paused meanwhile.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from harriertrack.decisions.process_pause import MAX_PAUSE_US

STOP_US = 10_000_000  # operators are promised the end of a stopping head within this
SEND_US = 500_000  # a client that reads what it is sent has its answers within this
PARTING_US = 250_000  # such a client has closed within this after the end of what it was sent
WAIT_US = STOP_US - MAX_PAUSE_US - SEND_US - PARTING_US  # the longest that open requests run on
CHECK_PERIOD_US = 10_000  # how often a stopping head checks whether a phase has begun


class StopPhase(StrEnum):
    """Phase of a head that was asked to stop."""

    WAITING = "waiting"
    SENDING = "sending"
    PARTING = "parting"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class OpenWork:
    """What a stopping head still has open."""

    requests: int  # without an answer
    unquiet: int  # connections with unsent answers or unread requests
    connections: int


class GatewayShutdown:
    """The phase of a head that was asked to stop at the time `asked_at`, in microseconds."""

    def __init__(self, asked_at: int) -> None:
        self.phase = StopPhase.WAITING
        self._until = asked_at + WAIT_US  # the latest end of the present phase

    def advance(self, now: int, work: OpenWork) -> StopPhase:
        """Return the phase as of now; it goes on by one phase at a time."""
        is_over = now >= self._until
        match self.phase:
            case StopPhase.WAITING if is_over or not work.requests:
                self._enter(StopPhase.SENDING, now + SEND_US)
            case StopPhase.SENDING if is_over or not (work.requests or work.unquiet):
                self._enter(StopPhase.PARTING, now + PARTING_US)
            case StopPhase.PARTING if is_over or not work.connections:
                self.phase = StopPhase.ENDED
        return self.phase

    def _enter(self, phase: StopPhase, until: int) -> None:
        self.phase, self._until = phase, until
