"""The one term in which it is decided for the whole fleet, and what is told to and by who decides.

Zones, changes and whatever else the fleet does as one are decided under the same lock: who keeps it may,
until its term ends by its own clock. Reports and rulings may be lost: what matters is repeated.
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
    """This head's part: it decides, or tells and hears who does."""

    def __init__(self, hub: Hub, name: str, budgets: Budgets) -> None:
        self._hub, self._name, self._budgets = hub, name, budgets
        self.on_zone_report: Callable[[int, ZoneObservations], None] = lambda _now, _seen: None  # of zones
        self.on_zone_decisions: Callable[[int, ZoneDecisions], None] = lambda _now, _told: None
        self.on_report: dict[str, Callable[[int, str, bytes], None]] = {}  # by topic: (now, head, body)
        self.on_ruling: dict[str, Callable[[int, Term, bytes], None]] = {}  # by topic: (now, term, body)
        budgets.on_other_message = self._come

    @property
    def witness(self) -> WitnessClient:
        """Return what asks the witness."""
        return self._budgets.witness

    def deciding_term(self, now: int) -> Term | None:
        """Return the term in which this head decides; None if it does not."""
        candidate = self._budgets.decision_lock.candidate
        return candidate.ledger.term if candidate.holds_term(now) and candidate.ledger is not None else None

    @property
    def decider_address(self) -> Address | None:
        """Return who decides, if it is known and another head."""
        return self._budgets.decision_lock.owner_address

    def accept_term(self, now: int, term: Term) -> bool:
        """Whether this is the term that this head goes by."""
        return self._budgets.decision_lock.holder.observe_term(now, term)

    def send_to_decider(self, said: Message) -> None:
        """Tell who decides, if it is known and another head."""
        if (keeper := self._budgets.decision_lock.owner_address) is not None:
            self._budgets.send(keeper, said)

    def send(self, address: Address, said: Message) -> None:
        """Tell one head."""
        self._budgets.send(address, said)

    def broadcast(self, said: Message) -> None:
        """Tell all who are there."""
        for address in self._budgets.others():
            self._budgets.send(address, said)

    # -- any other part of the fleet

    def report(self, topic: str, body: bytes) -> None:
        """Tell who decides something; at most `MAX_TOPIC_BODY` bytes, which may be lost.

        Raises ValueError for more.
        """
        _check(body)
        now = self._hub.now()
        if self.deciding_term(now) is not None:
            self._reported(now, topic, self._name, body)
        else:
            self.send_to_decider(Report(topic, self._name, body))

    def rule(self, topic: str, body: bytes) -> bool:
        """Tell everybody, oneself too, what is decided; return False if this head does not decide (any more).

        Raises ValueError for more than `MAX_TOPIC_BODY` bytes.
        """
        _check(body)
        now = self._hub.now()
        term = self.deciding_term(now)
        if term is None:
            return False
        self.broadcast(Ruling(topic, term, body))
        if (heard := self.on_ruling.get(topic)) is not None:
            heard(now, term, body)
        return True

    def _reported(self, now: int, topic: str, head: str, body: bytes) -> None:
        if (heard := self.on_report.get(topic)) is not None:
            heard(now, head, body)

    def _come(self, said: Message, _source: Address) -> None:
        now = self._hub.now()
        match said:
            case ZoneObservations():
                self.on_zone_report(now, said)
            case ZoneDecisions():
                self.on_zone_decisions(now, said)
            case Report(topic, head, body):
                if self.deciding_term(now) is not None:
                    self._reported(now, topic, head, body)
            case Ruling(topic, term, body):
                if self.accept_term(now, term) and (heard := self.on_ruling.get(topic)) is not None:
                    heard(now, term, body)


def _check(body: bytes) -> None:
    if len(body) > MAX_TOPIC_BODY:
        raise ValueError(f"{len(body)} bytes, more than {MAX_TOPIC_BODY}")
