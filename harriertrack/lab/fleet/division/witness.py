"""A model of the witness."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class WitnessModel:
    """One lock with sessions, timed by the witness's clock, that can be restored from a backup."""

    term_us: int
    is_down: bool = False
    epoch: int = 0
    session: int = 0  # the lock's holder; 0: none
    lease_us: int = 0
    sessions: dict[int, int] = field(default_factory=dict)  # expiry by session
    _last_session: int = 0

    def _expire(self, now: int) -> None:
        self.sessions = {one: expires_at for one, expires_at in self.sessions.items() if expires_at > now}
        if self.session not in self.sessions:
            self.session = 0

    def acquire(self, now: int, lease_us: int) -> tuple[int, int, int] | None:
        """Return the new session, its epoch and the previous holder's lease; None if the lock is held."""
        self._expire(now)
        if self.session:
            return None
        self._last_session += 1
        self.sessions[self._last_session] = now + self.term_us
        previous_lease_us, self.lease_us = self.lease_us, lease_us
        self.session, self.epoch = self._last_session, self.epoch + 1
        return self.session, self.epoch, previous_lease_us

    def renew(self, now: int, session: int, epoch: int) -> bool:
        """Renew a session; return whether it holds the lock, as the holder of this epoch."""
        self._expire(now)
        if session not in self.sessions:
            return False
        self.sessions[session] = now + self.term_us
        return (self.session, self.epoch) == (session, epoch)

    def release(self, session: int) -> None:
        """Release the lock, if the session holds it."""
        if self.session == session:
            self.session = 0

    def backup(self) -> tuple[int, int, dict[int, int]]:
        """Return a backup of the state."""
        return self.epoch, self.session, dict(self.sessions)

    def restore(self, now: int, saved: tuple[int, int, dict[int, int]]) -> None:
        """Restore a backup; its sessions start a full session time again."""
        self.epoch, self.session, sessions = saved
        self.sessions = dict.fromkeys(sessions, now + self.term_us)
