"""The witness of heads that only divide."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class WitnessModel:
    """One lock with sessions, by the witness's own clock, and what a restored backup makes of it."""

    term_us: int
    is_down: bool = False
    epoch: int = 0
    session: int = 0  # that holds the lock; 0: none
    lease_us: int = 0
    sessions: dict[int, int] = field(default_factory=dict)  # until when
    _number: int = 0

    def _expire(self, now: int) -> None:
        self.sessions = {one: until for one, until in self.sessions.items() if until > now}
        if self.session not in self.sessions:
            self.session = 0

    def acquire(self, now: int, lease_us: int) -> tuple[int, int, int] | None:
        """Return the new session, its epoch and the last holder's lease; None if another holds the lock."""
        self._expire(now)
        if self.session:
            return None
        self._number += 1
        self.sessions[self._number] = now + self.term_us
        before, self.lease_us = self.lease_us, lease_us
        self.session, self.epoch = self._number, self.epoch + 1
        return self.session, self.epoch, before

    def renew(self, now: int, session: int, epoch: int) -> bool:
        """Renew a session; return whether it holds the lock, as the holder of this epoch."""
        self._expire(now)
        if session not in self.sessions:
            return False
        self.sessions[session] = now + self.term_us
        return (self.session, self.epoch) == (session, epoch)

    def release(self, session: int) -> None:
        """Give the lock back."""
        if self.session == session:
            self.session = 0

    def backup(self) -> tuple[int, int, dict[int, int]]:
        """Return what a backup holds."""
        return self.epoch, self.session, dict(self.sessions)

    def restore(self, now: int, kept: tuple[int, int, dict[int, int]]) -> None:
        """Go back to a backup; sessions in it live for a whole time more."""
        self.epoch, self.session, sessions = kept
        self.sessions = dict.fromkeys(sessions, now + self.term_us)
