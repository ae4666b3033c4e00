"""A head's part in its fleet's budgets, on the hub: datagrams, the witness, and what operators see of them.

All of it is decided in decisions/fleet: who keeps a ledger (`Candidate`), what it grants (`Ledger`), and what
this head asks (`Holder`, within `Portions`).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from harriertrack.config.settings import BudgetsSettings, HeadSettings
from harriertrack.decisions.fleet.budgets import Ask, BudgetRules, Grant, Term
from harriertrack.decisions.fleet.holder import Holder
from harriertrack.decisions.fleet.ledger import Ledger
from harriertrack.decisions.fleet.portions import UNITS, Divided, Portions, Use
from harriertrack.decisions.fleet.terms import Call, Candidate, Held, Seat, Taken, rank
from harriertrack.gateway.fleet.figures import figures
from harriertrack.gateway.parts import HeadParts
from harriertrack.gateway.witness import FAILURES, WitnessClient
from harriertrack.membership.fleet import budgeting
from harriertrack.membership.fleet.budgeting import Kind, MalformedDatagram, Said, Seen, Told
from harriertrack.membership.fleet.swim import Swim
from harriertrack.membership.fleet.telling import (
    BudgetsTold,
    LedgerTold,
    PortionTold,
    SeatTold,
    SlipTold,
    digest_name,
)
from harriertrack.runtime.alarm import Alarm
from harriertrack.runtime.datagrams import Address
from harriertrack.runtime.hub import Hub

if TYPE_CHECKING:
    from harriertrack.gateway.fleet.zones import Zones

ZONES = 64  # the number after all ledgers
PATH = "/v1/kv/harriertrack/budgets/"  # at the witness, with the ledger's number
LOOK_US = 100_000  # how often it is looked who should keep a ledger
MOST_TOLD = 2_000  # portions, and slips, in one document


class Complaint(msgspec.Struct, frozen=True):
    """What a head leaves at the witness that hears nothing of a lock's holder: how many it sees."""

    epoch: int
    there: int


class Kept(msgspec.Struct, frozen=True):
    """What the witness keeps beside a ledger's lock."""

    holder: str
    lease_us: int  # the longest that the holder grants


@dataclass(slots=True)
class Counts:
    """What came and went."""

    sent: int = 0
    sent_bytes: int = 0
    came: int = 0
    came_bytes: int = 0
    garbage: int = 0
    strangers: int = 0
    too_new: int = 0
    unwanted: int = 0  # asks for a ledger that this head does not keep


@dataclass(slots=True)
class _Seat:
    """One ledger, as this head takes part in it."""

    number: int
    holder: Holder
    candidate: Candidate
    keeper: Address | None = None  # whom to ask; None: nobody, or this head itself
    mine: bool = False
    session: str = ""
    told_at: int = 0
    lapses: int = 0
    addresses: dict[tuple[str, int], Address] = field(default_factory=dict)
    contact: dict[Address, int] = field(default_factory=dict)  # when each asked last

    @property
    def path(self) -> str:
        return f"{PATH}{self.number}"


def rules_of(settings: BudgetsSettings) -> BudgetRules:
    """Return the figures of dividing."""
    return figures(BudgetRules, settings)


def portions_of(head: HeadSettings, hub: Hub) -> Portions:
    """Return what a head has of all budgets, at its start."""
    assert head.fleet is not None and head.fleet.budgets is not None
    settings = head.fleet.budgets
    divided = {Use(one.name.value): Divided(one.fixed, one.whole, one.burst) for one in settings.budgets}
    instance = hub.random.getrandbits(62)
    return Portions(rules_of(settings), settings.ledgers, head.fleet.name, instance, head.heads, divided,
                    hub.now())  # fmt: skip


class Budgets:
    """This head's part."""

    def __init__(self, parts: HeadParts, settings: BudgetsSettings, portions: Portions, fleet: str,
                 swim: Swim, send: Callable[[bytes, Address], None],
                 decides_zones: bool = False) -> None:  # fmt: skip
        hub = parts.hub
        self._parts, self._hub, self._settings, self._fleet = parts, hub, settings, fleet
        self.portions, self._swim, self._send_bytes = portions, swim, send
        self.counts = Counts()
        holders = list(portions.holders)
        if decides_zones:  # in a term of its own: heads that have no zones keep budgets too
            mine = holders[0]
            holders.append(Holder(ZONES, mine.name, mine.instance, portions.rules, hub.now()))
        self._seats = {
            holder.number: _Seat(
                holder.number, holder,
                Candidate(holder.number, portions.rules, hub.random.getrandbits(32), hub.now()),
            )
            for holder in holders
        }  # fmt: skip
        self.witness = WitnessClient(hub, parts.network, settings.witness, settings.timeout_us, swim.me.name)
        self._alarm = Alarm(hub, self._wake)
        self._leaving = self._closed = False
        self.zones: Zones | None = None
        self.shed: Callable[[str, int], None] = lambda _node, _number: None  # close so many links to a node

    def start(self) -> None:
        """Take part from now on."""
        self.portions.woken = self._soon
        for seat in self._seats.values():
            self._parts.scope.spawn(f"ledger {seat.number}", self._sit, seat)
        self._soon()

    def close(self) -> None:
        """Do nothing any more."""
        self._closed = True
        self._alarm.cancel()

    def _soon(self) -> None:
        self._alarm.wake_at(self._hub.now())

    # -- datagrams

    def receive(self, data: bytes, source: Address) -> None:
        """Take a datagram of budgets."""
        counts, now = self.counts, self._hub.now()
        counts.came += 1
        counts.came_bytes += len(data)
        try:
            said = budgeting.decode(self._fleet, data)
        except budgeting.Stranger:
            counts.strangers += 1
        except budgeting.TooNew:
            counts.too_new += 1
        except MalformedDatagram:
            counts.garbage += 1
        else:
            if isinstance(said, Seen | Told):
                self._heard_of_zones(now, said)
                return
            number = said.ledger if isinstance(said, Ask | Grant) else said[1]
            if (seat := self._seats.get(number)) is not None:
                self._take(now, seat, said, source)

    def _heard_of_zones(self, now: int, said: Seen | Told) -> None:
        if self.zones is not None and isinstance(said, Seen):
            self.zones.saw(now, said)
        elif self.zones is not None and isinstance(said, Told):
            self.zones.told(now, said)

    def _take(self, now: int, seat: _Seat, said: Said, source: Address) -> None:
        match said:
            case Ask():
                self._asked(now, seat, said, source)
                if seat.candidate.ledger is not None:
                    self._alarm.wake_at(seat.candidate.ledger.wake_at() or now)
            case Grant():
                seat.candidate.heard(now, said.term)
                if seat.holder.granted(now, said):
                    self._wake()  # what it has let go of is to be confirmed at once
            case (Kind.TERM, _, term):
                self._heard(now, seat, term, source)
                self._soon()
            case (Kind.VACATED, _, term):
                if term == seat.holder.term:
                    seat.candidate.vacated(now)

    def _heard(self, now: int, seat: _Seat, term: Term, source: Address | None) -> None:
        seat.candidate.heard(now, term)
        if seat.holder.hear(now, term):
            if seat.keeper != source or seat.mine != (source is None):
                seat.keeper, seat.mine = source, source is None
                where = f"{source[0]}:{source[1]}" if source is not None else "this head"
                self._parts.note("fleet budgets: asks", ledger=seat.number, epoch=term.epoch, keeper=where)

    def _asked(self, now: int, seat: _Seat, ask: Ask, source: Address | None) -> None:
        candidate = seat.candidate
        candidate.look(now)
        ledger = candidate.ledger
        if not candidate.valid(now) or ledger is None:
            self.counts.unwanted += 1
            return
        if source is not None:
            seat.contact[source] = now
            seat.addresses[ask.holder, ask.instance] = source
        grant = ledger.ask(now, ask)
        if grant is not None:
            self._grant(now, seat, grant)
        elif ask.term != ledger.term and source is not None:
            self._send(source, (Kind.TERM, seat.number, ledger.term))

    def _grant(self, now: int, seat: _Seat, grant: Grant) -> None:
        if grant.instance == seat.holder.instance:
            seat.holder.granted(now, grant)
        elif (address := seat.addresses.get((grant.holder, grant.instance))) is not None:
            self._send(address, grant)

    def _send(self, address: Address, said: Said) -> None:
        data = budgeting.encode(self._fleet, said)
        self.counts.sent += 1
        self.counts.sent_bytes += len(data)
        self._send_bytes(data, address)

    # -- what heads tell each other of zones, in terms as those of ledgers

    def keeps(self, now: int) -> Term | None:
        """Return the term in which this head decides on zones; None if it does not."""
        candidate = self._seats[ZONES].candidate
        return candidate.ledger.term if candidate.valid(now) and candidate.ledger is not None else None

    def follows(self, now: int, term: Term) -> bool:
        """Whether this is the term that this head goes by."""
        return self._seats[ZONES].holder.hear(now, term)

    def tell_keeper(self, said: Said) -> None:
        """Tell who decides on zones, if it is known and another head."""
        if (keeper := self._seats[ZONES].keeper) is not None:
            self._send(keeper, said)

    def tell_all(self, said: Said) -> None:
        """Tell all who are there."""
        for address in self._others():
            self._send(address, said)

    # -- time

    def _wake(self) -> None:
        if self._closed:
            return
        now, when = self._hub.now(), []
        for seat in self._seats.values():
            self._keep(now, seat)
            asks = seat.holder.asks(now)
            if seat.holder.lapses > seat.lapses:
                seat.lapses = seat.holder.lapses
                self._parts.note("fleet budgets: lease over", ledger=seat.number, lapses=seat.lapses)
            for ask in asks:
                if seat.mine:
                    self._asked(now, seat, ask, None)
                elif seat.keeper is not None:
                    self._send(seat.keeper, ask)
            when.append(seat.holder.wake_at())
            ledger = seat.candidate.ledger
            if ledger is not None:
                when += [ledger.wake_at(), seat.told_at + self.portions.rules.lease_us]
                when.append(seat.candidate.valid_until)
        for node, number in self.portions.links_over(now):
            self.shed(node, number)
        due = [at for at in when if at is not None]
        if due:
            self._alarm.wake_at(max(min(due), now + 1_000))

    def _keep(self, now: int, seat: _Seat) -> None:
        """Do what is due as who keeps a ledger."""
        candidate = seat.candidate
        candidate.look(now)
        ledger = candidate.ledger
        if ledger is None and seat.mine:
            self._ended(seat)
        if not candidate.valid(now) or ledger is None:
            return
        self._heard(now, seat, ledger.term, None)
        for grant in ledger.round(now):
            self._grant(now, seat, grant)
        if now >= seat.told_at + self.portions.rules.lease_us:
            seat.told_at = now
            seat.addresses = {holder: at for holder, at in seat.addresses.items() if holder in ledger.tenants}
            for address in self._others():
                if seat.contact.get(address, 0) < now - self.portions.rules.lease_us:
                    self._send(address, (Kind.TERM, seat.number, ledger.term))
            seat.contact = {at: when for at, when in seat.contact.items() if when > now - 60_000_000}

    def _others(self) -> list[Address]:
        rows = (self._swim.view.find(name) for name in self._swim.view.present if name != self._swim.me.name)
        return [row.record.address for row in rows if row is not None]

    def _ended(self, seat: _Seat) -> None:
        seat.mine, seat.keeper, seat.session = False, None, ""
        self._parts.note("fleet budgets: term over", ledger=seat.number)

    # -- the witness

    def _sit(self, seat: _Seat) -> None:
        """Try to keep a ledger when it is this head's turn, and keep it (a task)."""
        candidate = seat.candidate
        while not self._leaving:
            now = self._hub.now()
            view, me = self._swim.view, self._swim.me.name
            here = 0 if candidate.waits(now) else rank(seat.number, me, view.present)
            match candidate.step(now, here):
                case Call.TAKE:
                    self._try_take(seat, now)
                case Call.RENEW:
                    holds = self._renew(seat)
                    candidate.renewed(self._hub.now(), now, holds)
                    self._soon()
                case _:
                    until = candidate.wake_at(now, here)
                    self._hub.sleep(max(1_000, min(until - now, LOOK_US)))
        self._release(seat)

    def _try_take(self, seat: _Seat, asked_at: int) -> None:
        found: Taken | Held | None = None
        try:
            found = self._take_lock(seat)
            if isinstance(found, Held) and seat.candidate.complains(self._hub.now()):
                there = len(self._swim.view.present)
                self.witness.put(f"{seat.path}/silent", msgspec.json.encode(Complaint(found.epoch, there)))
                self._parts.note("fleet budgets: keeper is silent", ledger=seat.number, epoch=found.epoch,
                                 there=there)  # fmt: skip
        except FAILURES as error:
            why = str(error) or type(error).__name__
            self._parts.note("fleet budgets: no witness", ledger=seat.number, why=why)
        ledger = seat.candidate.taken(self._hub.now(), asked_at, found)
        if ledger is not None:
            seat.addresses.clear()
            seat.contact.clear()
            seat.told_at = 0
            opens_us = ledger.opens_at - self._hub.now()
            self._parts.note("fleet budgets: term begins", ledger=seat.number, epoch=ledger.term.epoch,
                             opens_us=opens_us)  # fmt: skip
            self._wake()

    def _take_lock(self, seat: _Seat) -> Taken | Held | None:
        key = self.witness.key(seat.path)
        if key is not None and key.session:
            return Held(key.epoch)
        session = self.witness.create(self._settings.term_us)
        value = msgspec.json.encode(Kept(self._swim.me.name, self._settings.lease_us))
        if not self.witness.change(seat.path, "lock", session, value, key.index if key is not None else 0):
            return None
        mine = self.witness.key(seat.path)
        if mine is None or mine.session != session:
            return None
        seat.session = session
        return Taken(mine.epoch, _lease_of(key.value) if key is not None else 0)

    def _renew(self, seat: _Seat) -> bool | None:
        ledger = seat.candidate.ledger
        try:
            if not self.witness.renew(seat.session):
                return False
            key, heard = self.witness.key(seat.path), self.witness.key(f"{seat.path}/silent")
        except FAILURES:
            return None
        if heard is not None and ledger is not None:
            self._heed(seat, ledger, heard.value)
        return key is not None and ledger is not None and (
            (key.session, key.epoch) == (seat.session, ledger.term.epoch)
        )

    def _heed(self, seat: _Seat, ledger: Ledger, value: bytes) -> None:
        """Hear how many heads somebody sees that hears nothing of this one."""
        try:
            told = msgspec.json.decode(value, type=Complaint)
        except msgspec.MsgspecError:
            return  # none of ours
        there = len(self._swim.view.present)
        if told.epoch == ledger.term.epoch and seat.candidate.outnumbered(self._hub.now(), told.there, there):
            self._parts.note("fleet budgets: outnumbered", ledger=seat.number, there=there, theirs=told.there)
            self._give_back(seat, ledger)

    def leave(self) -> None:
        """Give back what is kept: another head need not wait for a session to end."""
        self._leaving = True

    def _release(self, seat: _Seat) -> None:
        ledger = seat.candidate.ledger
        if seat.candidate.leave(self._hub.now()) and ledger is not None:
            self._give_back(seat, ledger)

    def _give_back(self, seat: _Seat, ledger: Ledger) -> None:
        try:
            key = self.witness.key(seat.path)
            if key is not None and key.session == seat.session:
                self.witness.change(seat.path, "unlock", seat.session, key.value, key.index)
        except FAILURES:
            pass  # its session ends by itself
        for address in self._others():
            self._send(address, (Kind.VACATED, seat.number, ledger.term))

    @property
    def released(self) -> bool:
        """Whether nothing is kept, or will be, any more."""
        return all(seat.candidate.seat is Seat.LEFT for seat in self._seats.values())

    # -- what operators see

    def told(self, now: int) -> BudgetsTold:
        """Return what this head tells of budgets."""
        portions = [
            PortionTold(
                name, UNITS[Use(name.partition("/")[0])], one.portion.whole.rate, one.portion.whole.burst,
                one.portion.whole.fixed * one.portion.whole.rate / one.portion.whole.hosts,
                one.portion.share if seat.holder.live(now) else 0.0, one.wanted, one.portion.level,
            )
            for seat in self._seats.values() for name, one in seat.holder.held.items()
        ]  # fmt: skip
        ledgers, more = [], max(0, len(portions) - MOST_TOLD)
        for seat in self._seats.values():
            if seat.candidate.valid(now) and seat.candidate.ledger is not None:
                told, left = self._ledger_told(now, seat, seat.candidate.ledger)
                ledgers.append(told)
                more += left
        seats = [
            SeatTold(
                seat.number, seat.candidate.seat.value,
                seat.holder.term.epoch if seat.holder.term is not None else None,
                "itself" if seat.mine else f"{seat.keeper[0]}:{seat.keeper[1]}" if seat.keeper else "",
                max(0, seat.holder.lease.until - now) / 1e6, seat.holder.lapses,
            )
            for seat in self._seats.values()
        ]  # fmt: skip
        counts = {name: getattr(self.counts, name) for name in Counts.__slots__}
        return BudgetsTold(seats, sorted(portions, key=lambda one: one.budget)[:MOST_TOLD], ledgers, counts,
                           more)  # fmt: skip

    def _ledger_told(self, now: int, seat: _Seat, ledger: Ledger) -> tuple[LedgerTold, int]:
        present = self._swim.view.present
        slips = [
            SlipTold(name, holder[0], digest_name(holder[1]), slip.rate, slip.counted, slip.wanted,
                     max(0, ledger.tenants[holder].until - now) / 1e6, holder[0] in present)
            for name, account in sorted(ledger.accounts.items()) for holder, slip in account.slips.items()
        ]  # fmt: skip
        told = LedgerTold(
            seat.number, ledger.term.epoch, max(0, ledger.opens_at - now) / 1e6,
            (seat.candidate.valid_until - now) / 1e6, len(ledger.tenants), ledger.moves,
            {name: account.whole for name, account in list(sorted(ledger.accounts.items()))[:MOST_TOLD]},
            slips[:MOST_TOLD],
        )  # fmt: skip
        return told, max(0, len(slips) - MOST_TOLD)


def _lease_of(value: bytes) -> int:
    """Return how long the leases of a key's last holder were; 0 if its value is none of ours."""
    try:
        return msgspec.json.decode(value, type=Kept).lease_us
    except msgspec.MsgspecError:
        return 0
