"""Whom a member suspects, and when the first suspicion runs out."""

from __future__ import annotations

from harriertrack.membership.fleet import suspicion
from harriertrack.membership.fleet.messages import Record
from harriertrack.membership.fleet.suspicion import Suspicion
from harriertrack.membership.fleet.swim.member import Member
from harriertrack.membership.fleet.view import Row


class SuspectTimers:
    """The suspects by name; their suspicions stand in the view's rows and end with the words there."""

    def __init__(self, member: Member) -> None:
        self._member = member
        self._names: dict[str, None] = {}
        self.first_at: int | None = None  # when the first suspicion runs out; None: to be looked up

    def begin(self, now: int, record: Record) -> None:
        """Suspect a member of which the view holds so since now."""
        member, rules = self._member, self._member.rules
        row, members = member.view.find(record.name), len(member.view.present)
        assert row is not None
        least = suspicion.min_timeout_us(rules.probe_us, rules.suspicion, members)
        wanted = suspicion.expected_confirmations(rules.confirmations, members)
        row.suspicion = Suspicion(now, least, int(least * rules.slack), wanted, [record.by])
        self._names[record.name] = None
        self.first_at = None
        member.counts.suspected += 1

    def end(self, name: str) -> None:
        """Suspect a member no more, if it was suspected."""
        if name in self._names:
            del self._names[name]
            self.first_at = None

    def confirm(self, row: Row, by: str) -> bool:
        """Take another's suspicion of a suspect; return whether others should hear of it."""
        assert row.suspicion is not None
        if not row.suspicion.confirm(by):
            return False
        self.first_at = None
        return True

    def run_out(self, now: int) -> list[Row]:
        """Return the members whose time to object is over."""
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
        """Return when `run_out` has something to say; None while nobody is suspected."""
        if not self._names:
            return None
        if self.first_at is None:
            self.first_at = min((one.expires_at for one in self._suspicions()), default=otherwise)
        return self.first_at

    def shift(self, us: int) -> None:
        """Give all suspects so much more time, for which this member stood still."""
        for one in self._suspicions():
            one.shifted_us += us
        self.first_at = None

    def restart(self, now: int) -> None:
        """Begin all suspicions anew: none was looked after meanwhile."""
        for one in self._suspicions():
            one.began, one.shifted_us = now, 0
        self.first_at = None

    def clear(self) -> None:
        """Look after no suspicion any more."""
        self._names.clear()

    def _suspicions(self) -> list[Suspicion]:
        rows = (self._member.view.find(name) for name in self._names)
        return [row.suspicion for row in rows if row is not None and row.suspicion is not None]
