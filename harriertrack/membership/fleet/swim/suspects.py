"""The members under suspicion, and when the first suspicion times out."""

from __future__ import annotations

from harriertrack.membership.fleet import suspicion
from harriertrack.membership.fleet.messages import Record
from harriertrack.membership.fleet.suspicion import Suspicion
from harriertrack.membership.fleet.swim.member import Member
from harriertrack.membership.fleet.view import Row


class SuspectTimers:
    """Suspects by name; each suspicion is in the view's row, and a newer record there ends it."""

    def __init__(self, member: Member) -> None:
        self._member = member
        self._names: dict[str, None] = {}
        self.first_at: int | None = None  # when the first suspicion times out; None: to be computed

    def begin(self, now: int, record: Record) -> None:
        """Start the timeout of a member whose record has just become SUSPECT."""
        member, rules = self._member, self._member.rules
        row, members = member.view.find(record.name), len(member.view.present)
        assert row is not None
        shortest = suspicion.min_timeout_us(rules.probe_us, rules.suspicion, members)
        confirmations = suspicion.expected_confirmations(rules.confirmations, members)
        row.suspicion = Suspicion(now, shortest, int(shortest * rules.slack), confirmations, [record.by])
        self._names[record.name] = None
        self.first_at = None
        member.counts.suspected += 1

    def end(self, name: str) -> None:
        """End the suspicion of a member, if there is one."""
        if name in self._names:
            del self._names[name]
            self.first_at = None

    def confirm(self, row: Row, by: str) -> bool:
        """Count another member's suspicion of a suspect; return whether to disseminate it."""
        assert row.suspicion is not None
        if not row.suspicion.confirm(by):
            return False
        self.first_at = None
        return True

    def run_out(self, now: int) -> list[Row]:
        """Return the members whose suspicion timed out."""
        if self.first_at is not None and now < self.first_at:
            return []
        self.first_at = None
        over = []
        for name in list(self._names):
            row = self._member.view.find(name)
            if row is None or row.suspicion is None:
                self._names.pop(name)
            elif now >= row.suspicion.expires_at:
                over.append(row)
        return over

    def next_at(self, otherwise: int) -> int | None:
        """Return when the next suspicion times out; None without suspects."""
        if not self._names:
            return None
        if self.first_at is None:
            self.first_at = min((one.expires_at for one in self._suspicions()), default=otherwise)
        return self.first_at

    def shift(self, us: int) -> None:
        """Extend all suspicions by the time for which this process was paused."""
        for one in self._suspicions():
            one.extension_us += us
        self.first_at = None

    def restart(self, now: int) -> None:
        """Restart all suspicions: their timeouts were not observed in the meantime."""
        for one in self._suspicions():
            one.began, one.extension_us = now, 0
        self.first_at = None

    def clear(self) -> None:
        """Drop all suspicions."""
        self._names.clear()

    def _suspicions(self) -> list[Suspicion]:
        rows = (self._member.view.find(name) for name in self._names)
        return [row.suspicion for row in rows if row is not None and row.suspicion is not None]
