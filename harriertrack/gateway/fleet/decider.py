"""The term in which one head decides for the whole fleet, and the messages to and from that head.

Zones, changes and other fleet-wide decisions are made under one lock: its holder decides until its term ends
by its own clock. Reports and rulings may be lost, so their senders repeat what matters.
"""

from __future__ import annotations

from collections.abc import Callable

from harriertrack.decisions.fleet.budgets import Term
from harriertrack.gateway.fleet.budgets import Budgets
from harriertrack.gateway.witness import WitnessClient
from harriertrack.membership.fleet.topic_datagrams import (
    MAX_TOPIC_BODY,
    Message,
    Report,
    Ruling,
    ZoneDecisions,
    ZoneObservations,
)
from harriertrack.runtime.datagrams import Address
from harriertrack.runtime.hub import Hub


class FleetDecider:
    """Decides for the fleet while this head holds the lock; otherwise talks to the head that does."""

    def __init__(self, hub: Hub, name: str, budgets: Budgets) -> None:
        self._hub, self._name, self._budgets = hub, name, budgets
        self.on_zone_report: Callable[[int, ZoneObservations], None] = lambda _now, _seen: None
        self.on_zone_decisions: Callable[[int, ZoneDecisions], None] = lambda _now, _told: None
        self.on_report: dict[str, Callable[[int, str, bytes], None]] = {}  # by topic: (now, head, body)
        self.on_ruling: dict[str, Callable[[int, Term, bytes], None]] = {}  # by topic: (now, term, body)
        budgets.on_other_message = self._receive

    @property
    def witness(self) -> WitnessClient:
        """Return the client of the witness."""
        return self._budgets.witness

    def deciding_term(self, now: int) -> Term | None:
        """Return the term in which this head decides; None if another head does."""
        candidate = self._budgets.decision_lock.candidate
        return candidate.ledger.term if candidate.holds_term(now) and candidate.ledger is not None else None

    @property
    def decider_address(self) -> Address | None:
        """Return the address of the deciding head; None if unknown or this head."""
        return self._budgets.decision_lock.owner_address

    def accept_term(self, now: int, term: Term) -> bool:
        """Return whether a term is current, and follow it if it is newer."""
        return self._budgets.decision_lock.holder.observe_term(now, term)

    def send_to_decider(self, message: Message) -> None:
        """Send to the deciding head, if it is known and another head."""
        if (decider := self._budgets.decision_lock.owner_address) is not None:
            self._budgets.send(decider, message)

    def send(self, address: Address, message: Message) -> None:
        """Send to one head."""
        self._budgets.send(address, message)

    def broadcast(self, message: Message) -> None:
        """Send to all other members that are present."""
        for address in self._budgets.others():
            self._budgets.send(address, message)

    # -- messages by topic

    def report(self, topic: str, body: bytes) -> None:
        """Send a report of at most `MAX_TOPIC_BODY` bytes to the deciding head; it may be lost.

        Raises ValueError for more.
        """
        _check_size(body)
        now = self._hub.now()
        if self.deciding_term(now) is not None:
            self._deliver_report(now, topic, self._name, body)
        else:
            self.send_to_decider(Report(topic, self._name, body))

    def rule(self, topic: str, body: bytes) -> bool:
        """Send a decision to all heads, this one included; return False if this head does not decide.

        Raises ValueError for more than `MAX_TOPIC_BODY` bytes.
        """
        _check_size(body)
        now = self._hub.now()
        term = self.deciding_term(now)
        if term is None:
            return False
        self.broadcast(Ruling(topic, term, body))
        if (handler := self.on_ruling.get(topic)) is not None:
            handler(now, term, body)
        return True

    def _deliver_report(self, now: int, topic: str, head: str, body: bytes) -> None:
        if (handler := self.on_report.get(topic)) is not None:
            handler(now, head, body)

    def _receive(self, message: Message, _source: Address) -> None:
        now = self._hub.now()
        match message:
            case ZoneObservations():
                self.on_zone_report(now, message)
            case ZoneDecisions():
                self.on_zone_decisions(now, message)
            case Report(topic, head, body):
                if self.deciding_term(now) is not None:
                    self._deliver_report(now, topic, head, body)
            case Ruling(topic, term, body):
                if self.accept_term(now, term) and (handler := self.on_ruling.get(topic)) is not None:
                    handler(now, term, body)


def _check_size(body: bytes) -> None:
    if len(body) > MAX_TOPIC_BODY:
        raise ValueError(f"{len(body)} bytes, more than {MAX_TOPIC_BODY}")
