"""One member of a fleet: who does it hold to be there? Pure: datagrams and time in, datagrams and news out.

Sources: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (DSN 2002) for probes in turn, probes through others, and news that rides on them; Dadgar, Phillips,
Currey, "Lifeguard" (DSN-W 2018) for a member that doubts itself, suspicions that shrink by agreement, and
telling a suspect first; HashiCorp's Serf documentation for contact with the dead, so that parts of a fleet
that were apart find together by themselves. Own: lives in place of bare incarnations, summaries in place of
whole views, and what is done after a standstill and about two processes of one name (docs/fleet.md).

The carrier calls `receive` for each datagram, `wake` at or after `wake_at`, and does what `take_actions`
returns.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

import msgspec

from harriertrack.membership.fleet import suspicion
from harriertrack.membership.fleet.messages import (
    MOST_NOTE,
    VERSION,
    Address,
    Datagram,
    Draft,
    Kind,
    Life,
    MalformedDatagram,
    Note,
    Record,
    State,
    decode,
    packed,
)
from harriertrack.membership.fleet.spreading import Spreading, sends_of
from harriertrack.membership.fleet.suspicion import Suspicion
from harriertrack.membership.fleet.view import Change, Row, View

RELAYED = 0.8  # of the time for an answer, after which a helper says that it got none (Lifeguard)


@dataclass(frozen=True, slots=True)
class Rules:
    """The protocol's figures; times in microseconds."""

    fleet: str = "fleet"
    probe_us: int = 1_000_000  # one member is probed in each such period
    answer_us: int = 500_000  # after which others are asked to try
    helpers: int = 3  # how many others
    suspicion: float = 5.0  # least suspicion, in periods times log10 of the members
    slack: float = 6.0  # most suspicion, in least ones
    confirmations: int = 3  # others' agreement after which a suspicion is as short as it gets
    gossip_us: int = 200_000  # how often news is sent beside probes, while there is any
    fanout: int = 3  # to how many
    repeats: float = 6.0  # times log10 of the members: how often news is passed on
    sync_us: int = 30_000_000  # whole views are compared with somebody so often
    reach_us: int = 10_000_000  # somebody gone, or a seed, is tried so often
    join_us: int = 500_000  # first pause between tries to join; grows to `reach_us`
    doubt: int = 8  # a member's doubt in itself is below this
    recent_us: int = 30_000_000  # the dead of this age still get news, so that they can object
    forget_us: int = 24 * 3600 * 1_000_000  # the gone are remembered, and tried, for so long
    members: int = 1024  # the most that are held
    pages: int = 64  # datagrams a second that answer comparisons, and at once


class Standing(Enum):
    """What a member is to its fleet."""

    NEW = "new"  # not started
    ALONE = "alone"  # it knows nobody else who is there
    IN = "in"
    LEAVING = "leaving"
    DISPLACED = "displaced"  # a process that started later goes by its name: it only looks on


@dataclass(frozen=True, slots=True)
class Send:
    """Send a datagram."""

    address: Address
    data: bytes


@dataclass(frozen=True, slots=True)
class Changed:
    """What is held of a member changed."""

    change: Change


@dataclass(frozen=True, slots=True)
class Noted:
    """A member's note is new."""

    note: Note


@dataclass(frozen=True, slots=True)
class Said:
    """Something that operators should read."""

    event: str
    fields: tuple[tuple[str, str | int], ...] = ()


Action = Send | Changed | Noted | Said


@dataclass(slots=True)
class Probe:
    """The probe under way."""

    target: str
    life: Life
    number: int
    ask_at: int  # when others are asked
    ends_at: int
    helped: int = -1  # how many were asked; -1: none yet
    nacks: int = 0
    answered: bool = False


@dataclass(slots=True)
class Relayed:
    """A probe for somebody else."""

    asker: Address
    number: int
    target: str
    nack_at: int


@dataclass(slots=True)
class Counts:
    """What came and went."""

    sent: int = 0
    sent_bytes: int = 0
    came: int = 0
    came_bytes: int = 0
    garbage: int = 0  # no datagrams of this protocol
    strangers: int = 0  # of other fleets
    too_new: int = 0  # of versions that this program can't read
    misdirected: int = 0  # meant for somebody else
    turned_down: int = 0  # members past the bound, or comparisons past the rate
    probes: int = 0
    failed_probes: int = 0
    suspected: int = 0
    declared: int = 0  # suspicions that this member itself let run out
    refuted: int = 0  # times that it objected to words on itself
    stood: int = 0  # standstills


@dataclass(slots=True)
class _Due:
    """When each thing is done next."""

    probe: int = 0
    gossip: int = 0
    sync: int = 0
    reach: int = 0
    mend: int = 0


class Swim:
    """One member."""

    def __init__(self, rules: Rules, me: Record, seeds: Iterable[Address] = (), seed: int = 0) -> None:
        self.rules, self.me = rules, me
        self.view = View()
        self.standing = Standing.NEW
        self.doubts = 0  # Lifeguard's local health multiplier, less 1
        self.counts = Counts()
        self._seeds = [one for one in dict.fromkeys(seeds) if one != me.address]
        self._random = random.Random(seed)
        self._actions: list[Action] = []
        self._news = Spreading()
        self._notes = Spreading()
        self._order: list[str] = []  # who is probed next, from its end
        self._gone: list[Address] = []  # who is tried next though gone, and seeds, from its end
        self._probe: Probe | None = None
        self._relayed: dict[int, Relayed] = {}
        self._suspects: dict[str, None] = {}
        self._suspicion_at: int | None = None  # when the first suspicion runs out; None: to be looked up
        self._joined_at = 0
        self._number = self._note_version = 0
        self._due = _Due()
        self._wake_at = 0
        self._join_us = rules.join_us
        self._pages, self._pages_at = float(rules.pages), 0
        self._last_note: bytes | None = None

    # -- what the carrier calls

    def start(self, now: int) -> None:
        """Take part from now on."""
        rules = self.rules
        self.standing = Standing.ALONE
        offset = self._random.randrange(rules.probe_us)  # members that start together do not probe together
        self._due = _Due(now + offset, now + offset % rules.gossip_us, now + self._spread(rules.sync_us),
                         now, now)  # fmt: skip
        self._pages_at = now
        self._take(now, self.me)
        self._plan()

    def receive(self, now: int, data: bytes, source: Address) -> None:
        """Take a datagram; whatever it is, it does no harm but what its words say."""
        if self.standing is Standing.NEW:
            return
        self._stood(now)
        self.counts.came += 1
        self.counts.came_bytes += len(data)
        try:
            told = decode(data)
        except MalformedDatagram:
            self.counts.garbage += 1
            return
        if told.fleet != self.rules.fleet:
            self.counts.strangers += 1
        elif told.reads > VERSION:
            self.counts.too_new += 1
        elif told.instance != self.me.instance:
            self._understand(now, told, source)
        self._plan()

    def wake(self, now: int) -> None:
        """Do what is due."""
        if self.standing is Standing.NEW:
            return
        self._stood(now)
        due = self._due
        if self.standing is Standing.DISPLACED:
            if now >= due.reach:
                due.reach = now + self._spread(self.rules.reach_us)
                self._look_on(now)
            self._plan()
            return
        self._relays(now)
        self._probing(now)
        self._suspicions(now)
        if now >= due.gossip:
            due.gossip = now + self.rules.gossip_us
            self._gossip(now, self.rules.fanout)
        if now >= due.sync and self.standing is Standing.IN:
            due.sync = now + self._spread(self.rules.sync_us)
            self._forget(now)
            if others := self._others():
                self._sync(now, self._address(self._random.choice(others)))
        if now >= due.reach:
            self._reach(now)
        self._plan()

    def wake_at(self) -> int:
        """Return when `wake` is to be called."""
        return self._wake_at

    def note(self, now: int, about: bytes) -> None:
        """Say something of oneself to all; at most 256 bytes. What was said before does not hold any more."""
        if len(about) > MOST_NOTE:
            raise ValueError(f"a note of {len(about)} bytes")
        if about == self._last_note:
            return
        self._last_note = about
        self._note_version += 1
        self._say_note(Note(self.me.name, self.me.started, self.me.instance, self._note_version, about))

    def leave(self, now: int) -> None:
        """Say goodbye. `left` tells when it has been said often enough."""
        if self.standing in (Standing.NEW, Standing.DISPLACED, Standing.LEAVING):
            return
        self.standing = Standing.LEAVING
        self._take(now, self._renamed(state=State.LEFT))
        self._gossip(now, 3 * self.rules.fanout)
        self._plan()

    @property
    def left(self) -> bool:
        """Whether nothing is to be waited for any more."""
        return self.standing is not Standing.LEAVING or self.me.name not in self._news or not self._others()

    def take_actions(self) -> list[Action]:
        """Return what is to be done since the last call."""
        actions, self._actions = self._actions, []
        return actions

    # -- time

    def _spread(self, us: int) -> int:
        return int(us * (0.75 + 0.5 * self._random.random()))

    def _plan(self) -> None:
        due = self._due
        if self.standing is Standing.DISPLACED:
            self._wake_at = due.reach
            return
        when = [due.probe, due.reach]
        if self.standing is Standing.IN:
            when.append(due.sync)
        if self._news:
            when.append(due.gossip)
        if (probe := self._probe) is not None and not probe.answered and probe.helped < 0:
            when.append(probe.ask_at)
        when.extend(one.nack_at for one in self._relayed.values())
        if self._suspects:
            if self._suspicion_at is None:
                self._suspicion_at = min((one.ends_at for one in self._suspected()), default=due.probe)
            when.append(self._suspicion_at)
        self._wake_at = min(when)

    def _suspected(self) -> list[Suspicion]:
        rows = (self.view.find(name) for name in self._suspects)
        return [row.suspicion for row in rows if row is not None and row.suspicion is not None]

    def _stood(self, now: int) -> None:
        """After a standstill: what was not heard meanwhile proves nothing against anybody."""
        late = now - self._wake_at
        if late < self.rules.probe_us:
            return
        self.counts.stood += 1
        self._actions.append(Said("fleet: stood still", (("us", late),)))
        self._probe = None
        self._relayed.clear()
        for suspected in self._suspected():
            suspected.shifted_us += late
        self._suspicion_at = None
        self._doubt(1)
        due, soon = self._due, now + self._spread(self.rules.answer_us)
        due.probe, due.gossip, due.sync, due.reach = soon, now, soon, max(due.reach, now)
        self._wake_at = now

    def _doubt(self, change: int) -> None:
        self.doubts = min(max(0, self.doubts + change), max(0, self.rules.doubt - 1))

    # -- probes

    def _probing(self, now: int) -> None:
        probe = self._probe
        if probe is not None:
            if not probe.answered and probe.helped < 0 and now >= probe.ask_at:
                self._ask_others(now, probe)
            if now < probe.ends_at:
                return
            self._probe = None
            if not probe.answered:
                self._probe_failed(now, probe)
        if now < self._due.probe:
            return
        scale, rules = 1 + self.doubts, self.rules
        self._due.probe = now + rules.probe_us * scale
        row = self._next_target()
        if row is None:
            return
        self._number += 1
        self.counts.probes += 1
        record = row.record
        answer_at, ends_at = now + rules.answer_us * scale, now + rules.probe_us * scale
        self._probe = Probe(record.name, record.life, self._number, answer_at, ends_at)
        self._send(now, record.address, Kind.PING, self._number, record.name)

    def _next_target(self) -> Row | None:
        """Return the next member in turn: each is probed once before any is probed again."""
        while True:
            while self._order:
                row = self.view.find(self._order.pop())
                if row is not None and row.record.present and row.record.name != self.me.name:
                    return row
            self._order = self._others()
            if not self._order:
                return None
            self._random.shuffle(self._order)

    def _ask_others(self, now: int, probe: Probe) -> None:
        others = [name for name in self._others() if name != probe.target and self._held(name) is State.ALIVE]
        helpers = self._random.sample(others, min(len(others), self.rules.helpers))
        probe.helped = len(helpers)
        target = self.view.find(probe.target)
        if target is None:
            return
        where = target.record.address
        for helper in helpers:
            self._send(now, self._address(helper), Kind.PING_REQ, probe.number, probe.target, where)

    def _probe_failed(self, now: int, probe: Probe) -> None:
        # Helpers that do not even say that they had no answer tell of trouble here rather than there.
        self.counts.failed_probes += 1
        self._doubt(probe.helped - probe.nacks if probe.helped > 0 else 1)
        row = self.view.find(probe.target)
        if row is not None and row.record.life == probe.life and row.record.present:
            self._suspect(now, row, self.me.name)

    def _relays(self, now: int) -> None:
        for number, one in list(self._relayed.items()):
            if now >= one.nack_at:
                del self._relayed[number]
                self._send(now, one.asker, Kind.NACK, one.number, one.target)

    # -- suspicions

    def _suspect(self, now: int, row: Row, by: str) -> None:
        record = row.record
        if row.suspicion is not None:
            if row.suspicion.confirm(by):
                self._suspicion_at = None
                self._news.add(record.name, packed(msgspec.structs.replace(record, by=by)))
            return
        self._take(now, msgspec.structs.replace(record, state=State.SUSPECT, by=by))

    def _suspicions(self, now: int) -> None:
        if self._suspicion_at is not None and now < self._suspicion_at:
            return
        self._suspicion_at = None
        for name in list(self._suspects):
            row = self.view.find(name)
            if row is None or row.suspicion is None:
                self._suspects.pop(name)
            elif now >= row.suspicion.ends_at:
                self.counts.declared += 1
                self._take(now, msgspec.structs.replace(row.record, state=State.DEAD, by=self.me.name))

    # -- words

    def _take(self, now: int, record: Record, pass_on: bool = True) -> None:
        """Take a word, tell of what it changed, and pass it on."""
        if record.name == self.me.name and record.instance == self.me.instance:
            self.me = record
        change = self.view.take(now, record)
        if change is None:
            return
        name, view = record.name, self.view
        if pass_on:
            self._news.add(name, packed(record))
        self._actions.append(Changed(change))
        if self._suspects.pop(name, self) is None:
            self._suspicion_at = None
        if record.state is State.SUSPECT:
            row, members, rules = view.find(name), len(view.present), self.rules
            assert row is not None
            least = suspicion.least_us(rules.probe_us, rules.suspicion, members)
            wanted = suspicion.most_confirmations(rules.confirmations, members)
            row.suspicion = Suspicion(now, least, int(least * rules.slack), wanted, [record.by])
            self._suspects[name] = None
            self._suspicion_at = None
            self.counts.suspected += 1
        if record.present and (change.before is None or not change.before.present) and name != self.me.name:
            # A newcomer is probed at a random place of the present turn.
            self._order.insert(self._random.randrange(len(self._order) + 1), name)
        if self.standing in (Standing.ALONE, Standing.IN):
            before, self.standing = self.standing, Standing.IN if len(view.present) > 1 else Standing.ALONE
            if before is Standing.ALONE:
                self._joined_at = now

    def _hear(self, now: int, record: Record, compared: bool) -> None:
        """Take a word that came from outside."""
        if record.name == self.me.name:
            self._of_me(now, record)
            return
        row = self.view.find(record.name)
        if row is None:
            # Who is gone, and was never known here, need not be known.
            if not record.present or not record.name:
                return
            if len(self.view) >= self.rules.members:
                self.counts.turned_down += 1
                return
        elif record.newness[:3] == row.record.newness[:3]:
            if record.state is State.SUSPECT and row.record.state is State.SUSPECT:
                self._suspect(now, row, record.by)
                return
            if compared and record.state is State.DEAD and row.record.present:
                # Another part of a fleet that was apart buried it: it gets the time of a suspicion to object.
                self._suspect(now, row, record.by)
                return
        # What a newcomer is told on joining is known to all but itself.
        joining = compared and now - self._joined_at < self.rules.probe_us
        self._take(now, record, pass_on=not joining)

    def _of_me(self, now: int, record: Record) -> None:
        """Somebody says something of this member's name."""
        me = self.me
        if record.life == me.life:
            if record.incarnation < me.incarnation:
                if record.state is not State.ALIVE:
                    self._news.add(me.name, packed(me))  # somebody missed the objection: it goes along again
                return
            if record.newness == me.newness or self.standing is Standing.LEAVING:
                return
            if record.state is State.ALIVE and record.incarnation == me.incarnation:
                return
            self.counts.refuted += 1
            self._doubt(1)
            held = record.state.name.lower()
            self._actions.append(Said("fleet: objected", (("by", record.by), ("held", held))))
            self._take(now, self._renamed(incarnation=record.incarnation + 1))
        elif record.life > me.life:
            # The place can't be another's while this process holds it: an earlier life with a clock ahead.
            if not record.present or record.address == me.address:
                self._return(now, record)
            else:
                self._displaced(now, record)

    def _renamed(self, **changes: object) -> Record:
        fresh = msgspec.structs.replace(self.me, by="")
        return msgspec.structs.replace(fresh, **changes)

    def _return(self, now: int, record: Record) -> None:
        """Go on as a later life than the one that was heard of."""
        if self.standing is Standing.DISPLACED:
            self.standing = Standing.ALONE
            self._due.probe = now + self._spread(self.rules.probe_us)
            for suspected in self._suspected():  # none was looked after meanwhile
                suspected.began, suspected.shifted_us = now, 0
            self._suspicion_at = None
        self._take(now, self._renamed(started=record.started + 1, incarnation=0, state=State.ALIVE))
        if self._last_note is not None:
            about, self._last_note = self._last_note, None
            self.note(now, about)

    def _displaced(self, now: int, record: Record) -> None:
        self.view.take(now, record)
        if self.standing is Standing.DISPLACED:
            return
        self.standing = Standing.DISPLACED
        self._probe = None
        self._relayed.clear()
        self._suspects.clear()
        self._news.clear()
        self._notes.clear()
        self._due.reach = now + self._spread(self.rules.reach_us)
        where = f"{record.host}:{record.port}"
        self._actions.append(Said("fleet: displaced by a later process of this name", (("address", where),)))

    # -- datagrams

    def _understand(self, now: int, told: Datagram, source: Address) -> None:
        row = self.view.find(told.sender)
        life = Life(told.started, told.instance)
        if row is not None and row.record.life == life:
            row.digest, row.heard_at = told.digest, now
        for record in told.records:
            self._hear(now, record, told.kind is Kind.STATE)
        for note in told.notes:
            if note.name != self.me.name and self.view.take_note(note):
                self._notes.add(note.name, packed(note))
                self._actions.append(Noted(note))
        if self.standing is Standing.DISPLACED:
            return
        match told.kind:
            case Kind.PING if told.target == self.me.name:
                self._send(now, source, Kind.ACK, told.number, self.me.name, to=told)
            case Kind.PING:
                self.counts.misdirected += 1
            case Kind.PING_REQ:
                self._relay(now, told, source)
            case Kind.ACK:
                self._acked(now, told)
            case Kind.NACK:
                if (probe := self._probe) is not None and probe.number == told.number:
                    probe.nacks += 1
            case Kind.SYNC:
                self._answer(now, source, self.view.differing(told.summary), ask=True)
            case Kind.STATE if told.summary:
                differing = self.view.differing(told.summary)
                if differing:  # there is more to compare before the next time that is due
                    self._due.sync = min(self._due.sync, now + self._spread(2 * self.rules.probe_us))
                    self._answer(now, source, differing, ask=False)

    def _relay(self, now: int, told: Datagram, source: Address) -> None:
        if len(self._relayed) >= self.rules.members:
            self.counts.turned_down += 1
            return
        self._number += 1
        nack_at = now + int(RELAYED * self.rules.answer_us)
        self._relayed[self._number] = Relayed(source, told.number, told.target, nack_at)
        self._send(now, (told.host, told.port), Kind.PING, self._number, told.target)

    def _acked(self, now: int, told: Datagram) -> None:
        relayed = self._relayed.get(told.number)
        if relayed is not None and relayed.target == told.target == told.sender:
            del self._relayed[told.number]
            self._send(now, relayed.asker, Kind.ACK, relayed.number, relayed.target)
            return
        probe = self._probe
        if probe is None or probe.number != told.number or probe.target != told.target or probe.answered:
            return
        probe.answered = True
        self._doubt(-1)
        quiet = not self._news and now - self.view.changed_at > 2 * self.rules.probe_us
        if told.sender == told.target and told.digest != self.view.digest and quiet and now >= self._due.mend:
            # Both should hold the same by now, and don't: something was lost.
            self._due.mend = now + 2 * self.rules.probe_us
            self._sync(now, self._address(told.sender))

    def _draft(self, kind: Kind, number: int = 0, target: str = "", address: Address = ("", 0),
               summary: tuple[int, ...] = ()) -> Draft:  # fmt: skip
        me = self.me
        sender = "" if self.standing is Standing.DISPLACED else me.name
        digest = self.view.digest
        return Draft(self.rules.fleet, kind, sender, me.life, number, digest, target, address, summary)

    def _send(self, now: int, address: Address, kind: Kind, number: int, target: str,
              about: Address = ("", 0), to: Datagram | None = None) -> None:  # fmt: skip
        """Send a question or an answer, with as much news as has room.

        Whoever is not held to be alive and well is told so first, so that it can object.
        """
        draft = self._draft(kind, number, target, about)
        row = self.view.find(to.sender if to is not None else target)
        first = ""
        if row is not None and row.record.name != self.me.name:
            outdated = to is not None and row.record.life > Life(to.started, to.instance)
            if row.record.state is not State.ALIVE or outdated:
                draft.add(packed(row.record))
                first = row.record.name
        members = len(self.view.present)
        self._news.fill(draft.add, sends_of(self.rules.repeats, members), skip=first)
        self._notes.fill(draft.add_note, sends_of(self.rules.repeats, members))
        self._out(address, draft)

    def _out(self, address: Address, draft: Draft) -> None:
        data = draft.pack()
        self.counts.sent += 1
        self.counts.sent_bytes += len(data)
        self._actions.append(Send(address, data))

    def _gossip(self, now: int, fanout: int) -> None:
        if not self._news:
            return
        recent = now - self.rules.recent_us
        names = self._others()
        names += [row.record.name for row in self.view.gone(State.DEAD) if row.since >= recent]
        for name in self._random.sample(names, min(len(names), fanout)):
            if not self._news:
                return
            self._send(now, self._address(name), Kind.WORD, 0, name)
        if not names:
            self._news.clear()  # whoever comes asks for the whole view

    # -- comparing views

    def _sync(self, now: int, address: Address) -> None:
        draft = self._draft(Kind.SYNC, summary=self.view.summary)
        if self.standing is not Standing.DISPLACED:
            draft.add(packed(self.me))
        self._out(address, draft)

    def _answer(self, now: int, address: Address, buckets: frozenset[int], ask: bool) -> None:
        """Send what is held in some buckets; with `ask`, the last datagram asks for what is lacking here."""
        rules = self.rules
        self._pages = min(rules.pages, self._pages + rules.pages * (now - self._pages_at) / 1e6)
        self._pages_at = now
        drafts: list[Draft] = []
        summary = self.view.summary if ask else ()
        draft = self._draft(Kind.STATE, summary=summary)
        for row in self.view.within(buckets):
            record = packed(row.record)
            if not draft.add(record):
                drafts.append(draft)
                draft = self._draft(Kind.STATE)
                draft.add(record)
        drafts.append(draft)
        drafts.append(drafts.pop(0))  # the one that asks goes last: by then what came before it is known
        for one in drafts:
            if self._pages < 1:
                self.counts.turned_down += 1
                return
            self._pages -= 1
            self._out(address, one)

    def _reach(self, now: int) -> None:
        """Try somebody who is gone, or a seed that is not among those who are there."""
        rules = self.rules
        there = {self._address(name) for name in self.view.present}
        seeds = [address for address in self._seeds if address not in there]
        alone = self.standing is Standing.ALONE
        if alone:
            self._due.reach = now + self._spread(self._join_us)
            self._join_us = min(2 * self._join_us, rules.reach_us)
        else:
            self._join_us = rules.join_us
            self._due.reach = now + self._spread(rules.reach_us)
        for _ in range(rules.fanout if alone else 1):
            if not self._gone:
                self._gone = [row.record.address for row in self.view.gone(State.DEAD)] + seeds
                self._random.shuffle(self._gone)
            if self._gone and (address := self._gone.pop()) not in there:
                self._sync(now, address)

    def _look_on(self, now: int) -> None:
        """Ask somebody, as no member, whether the process that goes by this name is still there."""
        names = [name for name in self.view.present if name != self.me.name]
        addresses = [self._address(name) for name in names] + self._seeds
        if addresses:
            self._sync(now, self._random.choice(addresses))

    def _forget(self, now: int) -> None:
        for row in self.view.gone(State.DEAD, State.LEFT):
            if now - row.since >= self.rules.forget_us and row.record.name != self.me.name:
                self.view.forget(row.record.name)
                self._notes.drop(row.record.name)

    # -- members

    def _others(self) -> list[str]:
        return [name for name in self.view.present if name != self.me.name]

    def _address(self, name: str) -> Address:
        row = self.view.find(name)
        assert row is not None
        return row.record.address

    def _held(self, name: str) -> State | None:
        row = self.view.find(name)
        return None if row is None else row.record.state

    def _say_note(self, note: Note) -> None:
        if self.view.take_note(note):
            self._notes.add(note.name, packed(note))
