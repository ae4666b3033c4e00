"""Division of the fleet-wide budgets on one head: datagrams, calls to the witness, and the operators' status.

The decisions are made in decisions/fleet: which head holds a ledger (`Candidate`), what it grants (`Ledger`),
and what this head requests (`LeaseHolder`, within `BudgetShares`).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from harriertrack.config.settings import FleetBudgetSettings, HeadSettings
from harriertrack.decisions.fleet.budget_shares import BudgetKind, BudgetShares, BudgetSpec
from harriertrack.decisions.fleet.budgets import BudgetRules, Grant, LeaseRequest, Term
from harriertrack.decisions.fleet.holder import LeaseHolder
from harriertrack.decisions.fleet.terms import Candidate, CandidateState
from harriertrack.gateway.fleet import status
from harriertrack.gateway.fleet.locks import DECISION_LOCK, LockManager, WitnessLock
from harriertrack.gateway.fleet.parameters import parameters_from
from harriertrack.gateway.parts import HeadParts
from harriertrack.gateway.witness import WitnessClient
from harriertrack.membership.fleet import topic_datagrams
from harriertrack.membership.fleet.status_document import BudgetsStatus
from harriertrack.membership.fleet.swim import Swim
from harriertrack.membership.fleet.topic_datagrams import Kind, MalformedDatagram, Message
from harriertrack.runtime.alarm import Alarm
from harriertrack.runtime.datagrams import Address
from harriertrack.runtime.hub import Hub


@dataclass(slots=True)
class Counts:
    """Datagrams sent, received and dropped; the field names are keys of the operators' document."""

    sent: int = 0
    sent_bytes: int = 0
    came: int = 0
    came_bytes: int = 0
    garbage: int = 0
    strangers: int = 0
    too_new: int = 0
    unwanted: int = 0  # requests for a ledger that this head does not hold


def rules_of(settings: FleetBudgetSettings) -> BudgetRules:
    """Return the parameters of the division."""
    return parameters_from(BudgetRules, settings)


def budget_specs(settings: FleetBudgetSettings) -> dict[BudgetKind, BudgetSpec]:
    """Return the divided budgets, with the totals of those that no plan or rule sets."""
    return {
        BudgetKind(one.name.value): BudgetSpec(one.fixed, one.whole, one.burst) for one in settings.budgets
    }


def create_budget_shares(head: HeadSettings, hub: Hub) -> BudgetShares:
    """Return a head's shares of all budgets at its start."""
    assert head.fleet is not None and head.fleet.budgets is not None
    settings = head.fleet.budgets
    instance = hub.random.getrandbits(62)
    return BudgetShares(rules_of(settings), settings.ledgers, head.fleet.name, instance, head.heads,
                    budget_specs(settings), hub.now())  # fmt: skip


class Budgets:
    """This head's ledgers and its shares of the fleet-wide budgets."""

    def __init__(self, parts: HeadParts, settings: FleetBudgetSettings, shares: BudgetShares, fleet: str,
                 swim: Swim, send: Callable[[bytes, Address], None], close_links: Callable[[str, int], None],
                 decides: bool = False) -> None:  # fmt: skip
        """`close_links`: closes a number of links to a node. `decides`: compete for the decision lock too."""
        hub = parts.hub
        self._parts, self._hub, self._settings, self._fleet = parts, hub, settings, fleet
        self.shares, self._swim, self._send_bytes = shares, swim, send
        self.counts = Counts()
        holders = list(shares.holders)
        if decides:  # a separate lock, because heads without these decisions hold ledgers as well
            own = holders[0]
            holders.append(LeaseHolder(DECISION_LOCK, own.name, own.instance, shares.rules, hub.now()))
        self._locks = {
            holder.number: WitnessLock(
                holder.number, holder,
                Candidate(holder.number, shares.rules, hub.random.getrandbits(32), hub.now()),
            )
            for holder in holders
        }  # fmt: skip
        self._lock_manager = LockManager(parts, settings, swim, self._wake_soon, self._announce_release)
        self._alarm = Alarm(hub, self._wake)
        self._closed, self._close_links = False, close_links
        self.on_other_message: Callable[[Message, Address], None] = lambda _message, _source: None

    def start(self) -> None:
        """Start the tasks of the locks, and request leases."""
        self.shares.on_wake = self._wake_soon
        for lock in self._locks.values():
            self._parts.scope.spawn(f"ledger {lock.number}", self._lock_manager.maintain, lock)
        self._wake_soon()

    def close(self) -> None:
        """Stop sending requests and grants."""
        self._closed = True
        self._alarm.cancel()

    def _wake_soon(self) -> None:
        self._alarm.wake_at(self._hub.now())

    # -- datagrams

    def receive(self, data: bytes, source: Address) -> None:
        """Handle a datagram of the budgets protocol."""
        counts, now = self.counts, self._hub.now()
        counts.came += 1
        counts.came_bytes += len(data)
        try:
            message = topic_datagrams.decode(self._fleet, data)
        except topic_datagrams.ForeignFleet:
            counts.strangers += 1
        except topic_datagrams.UnsupportedVersion:
            counts.too_new += 1
        except MalformedDatagram:
            counts.garbage += 1
        else:
            if not isinstance(message, LeaseRequest | Grant | tuple):
                self.on_other_message(message, source)
                return
            number = message.ledger if isinstance(message, LeaseRequest | Grant) else message[1]
            if (lock := self._locks.get(number)) is not None:
                self._handle(now, lock, message, source)

    def _handle(self, now: int, lock: WitnessLock, message: Message, source: Address) -> None:
        match message:
            case LeaseRequest():
                self._handle_request(now, lock, message, source)
                if lock.candidate.ledger is not None:
                    self._alarm.wake_at(lock.candidate.ledger.wake_at() or now)
            case Grant():
                lock.candidate.observe_term(now, message.term)
                if lock.holder.apply_grant(now, message):
                    self._wake()  # confirms at once what was returned
            case (Kind.TERM, _, term):
                self._apply_term(now, lock, term, source)
                self._wake_soon()
            case (Kind.VACATED, _, term):
                if term == lock.holder.term:
                    lock.candidate.observe_release(now)

    def _apply_term(self, now: int, lock: WitnessLock, term: Term, source: Address | None) -> None:
        lock.candidate.observe_term(now, term)
        if lock.holder.observe_term(now, term):
            if lock.owner_address != source or lock.owned != (source is None):
                lock.owner_address, lock.owned = source, source is None
                where = f"{source[0]}:{source[1]}" if source is not None else "this head"
                self._parts.note("fleet budgets: asks", ledger=lock.number, epoch=term.epoch, keeper=where)

    def _handle_request(
        self, now: int, lock: WitnessLock, request: LeaseRequest, source: Address | None
    ) -> None:
        candidate = lock.candidate
        candidate.check_expiry(now)
        ledger = candidate.ledger
        if not candidate.holds_term(now) or ledger is None:
            self.counts.unwanted += 1
            return
        if source is not None:
            lock.last_contact[source] = now
            lock.addresses[request.holder, request.instance] = source
        grant = ledger.handle_request(now, request)
        if grant is not None:
            self._grant(now, lock, grant)
        elif request.term != ledger.term and source is not None:
            self.send(source, (Kind.TERM, lock.number, ledger.term))

    def _grant(self, now: int, lock: WitnessLock, grant: Grant) -> None:
        if grant.instance == lock.holder.instance:
            lock.holder.apply_grant(now, grant)
        elif (address := lock.addresses.get((grant.holder, grant.instance))) is not None:
            self.send(address, grant)

    def send(self, address: Address, message: Message) -> None:
        """Send a message to another head."""
        data = topic_datagrams.encode(self._fleet, message)
        self.counts.sent += 1
        self.counts.sent_bytes += len(data)
        self._send_bytes(data, address)

    @property
    def decision_lock(self) -> WitnessLock:
        """Return the lock whose holder decides for the whole fleet."""
        return self._locks[DECISION_LOCK]

    @property
    def witness(self) -> WitnessClient:
        """Return the client of the witness."""
        return self._lock_manager.witness

    # -- time

    def _wake(self) -> None:
        if self._closed:
            return
        now, when = self._hub.now(), []
        for lock in self._locks.values():
            self._maintain_ledger(now, lock)
            requests = lock.holder.due_requests(now)
            if lock.holder.lapses > lock.lapses:
                lock.lapses = lock.holder.lapses
                self._parts.note("fleet budgets: lease over", ledger=lock.number, lapses=lock.lapses)
            for request in requests:
                if lock.owned:
                    self._handle_request(now, lock, request, None)
                elif lock.owner_address is not None:
                    self.send(lock.owner_address, request)
            when.append(lock.holder.wake_at())
            ledger = lock.candidate.ledger
            if ledger is not None:
                when += [ledger.wake_at(), lock.announced_at + self.shares.rules.lease_us]
                when.append(lock.candidate.valid_until)
        for node, number in self.shares.excess_links(now):
            self._close_links(node, number)
        due = [at for at in when if at is not None]
        if due:
            self._alarm.wake_at(max(min(due), now + 1_000))

    def _maintain_ledger(self, now: int, lock: WitnessLock) -> None:
        """Rebalance and announce the term of a ledger that this head holds."""
        candidate = lock.candidate
        candidate.check_expiry(now)
        ledger = candidate.ledger
        if ledger is None and lock.owned:
            self._end_term(lock)
        if not candidate.holds_term(now) or ledger is None:
            return
        self._apply_term(now, lock, ledger.term, None)
        for grant in ledger.rebalance(now):
            self._grant(now, lock, grant)
        if now >= lock.announced_at + self.shares.rules.lease_us:
            lock.announced_at = now
            lock.addresses = {
                holder: at for holder, at in lock.addresses.items() if holder in ledger.tenancies
            }
            for address in self.others():
                if lock.last_contact.get(address, 0) < now - self.shares.rules.lease_us:
                    self.send(address, (Kind.TERM, lock.number, ledger.term))
            lock.last_contact = {
                at: when for at, when in lock.last_contact.items() if when > now - 60_000_000
            }

    def others(self) -> list[Address]:
        """Return the addresses of the other members that are present."""
        rows = (self._swim.view.find(name) for name in self._swim.view.present if name != self._swim.me.name)
        return [row.record.address for row in rows if row is not None]

    def _end_term(self, lock: WitnessLock) -> None:
        lock.owned, lock.owner_address, lock.session = False, None, ""
        self._parts.note("fleet budgets: term over", ledger=lock.number)

    # -- the witness

    def leave(self) -> None:
        """Release the locks, so that another head need not wait for a session to expire."""
        self._lock_manager.leaving = True

    def _announce_release(self, lock: WitnessLock, term: Term) -> None:
        for address in self.others():
            self.send(address, (Kind.VACATED, lock.number, term))

    @property
    def released(self) -> bool:
        """Whether every lock is released and none will be acquired."""
        return all(lock.candidate.state is CandidateState.LEFT for lock in self._locks.values())

    # -- what operators see

    def document(self, now: int) -> BudgetsStatus:
        """Return this head's status of budgets."""
        counts = {name: getattr(self.counts, name) for name in Counts.__slots__}
        return status.budgets_status(now, list(self._locks.values()), self._swim.view.present, counts)
