"""A member as its carrier calls it: datagrams and time in, actions out."""

from __future__ import annotations

from collections.abc import Iterable

from harriertrack.membership.fleet.messages import (
    VERSION,
    Address,
    Datagram,
    Kind,
    MalformedDatagram,
    ProcessInstance,
    Record,
    State,
    decode,
)
from harriertrack.membership.fleet.swim.actions import Action, LogEvent
from harriertrack.membership.fleet.swim.anti_entropy import AntiEntropy
from harriertrack.membership.fleet.swim.member import Due, Member
from harriertrack.membership.fleet.swim.notes import Notes
from harriertrack.membership.fleet.swim.prober import Prober
from harriertrack.membership.fleet.swim.rules import MembershipState, Rules
from harriertrack.membership.fleet.swim.sender import Sender
from harriertrack.membership.fleet.swim.suspects import SuspectTimers
from harriertrack.membership.fleet.swim.updates import Updates


class Swim:
    """One member.

    The carrier calls `receive` for each datagram, `wake` at or after `wake_at`, and does what `take_actions`
    returns.
    """

    def __init__(self, rules: Rules, me: Record, seeds: Iterable[Address] = (), seed: int = 0) -> None:
        member = self._member = Member(rules, me, seed)
        self.view, self.counts = member.view, member.counts
        self._suspects, self._notes, self._sending = SuspectTimers(member), Notes(member), Sender(member)
        self._words = Updates(member, self._suspects, self._notes)
        others = [one for one in dict.fromkeys(seeds) if one != me.address]
        self._comparing = AntiEntropy(member, self._sending, others)
        self._probing = Prober(member, self._sending, self._words, self._comparing)
        self._wake_at = 0

    @property
    def rules(self) -> Rules:
        """Return the protocol's figures, as it goes by them now."""
        return self._member.rules

    def update_rules(self, rules: Rules) -> None:
        """Go by other figures from now on; what is due already stays so."""
        self._member.rules = rules

    @property
    def me(self) -> Record:
        """Return the newest word on this member itself."""
        return self._member.me

    @property
    def state(self) -> MembershipState:
        """Return what the member is to its fleet."""
        return self._member.state

    @property
    def health_score(self) -> int:
        """Return how much the member doubts itself; 0: not at all."""
        return self._member.health_score

    def start(self, now: int) -> None:
        """Take part from now on."""
        member, rules = self._member, self.rules
        member.state = MembershipState.ALONE
        # Members that start together do not probe together.
        offset = member.random.randrange(rules.probe_us)
        member.due = Due(now + offset, now + offset % rules.gossip_us, now + member.spread(rules.sync_us),
                         now, now)  # fmt: skip
        self._comparing.start(now)
        self._words.take(now, member.me)
        self._plan()

    def receive(self, now: int, data: bytes, source: Address) -> None:
        """Take a datagram; whatever it is, it does no harm but what its words say."""
        if self._member.state is MembershipState.NEW:
            return
        self._recover_from_pause(now)
        counts = self.counts
        counts.came += 1
        counts.came_bytes += len(data)
        try:
            told = decode(data)
        except MalformedDatagram:
            counts.garbage += 1
            return
        if told.fleet != self.rules.fleet:
            counts.strangers += 1
        elif told.reads > VERSION:
            counts.too_new += 1
        elif told.instance != self._member.me.instance:
            self._understand(now, told, source)
        self._plan()

    def wake(self, now: int) -> None:
        """Do what is due."""
        member = self._member
        if member.state is MembershipState.NEW:
            return
        self._recover_from_pause(now)
        due = member.due
        if member.state is MembershipState.DISPLACED:
            if now >= due.reach:
                self._comparing.look_on(now)
            self._plan()
            return
        self._probing.tell_askers(now)
        self._probing.wake(now)
        self._words.run_out(now)
        if now >= due.gossip:
            due.gossip = now + self.rules.gossip_us
            self._sending.gossip(now, self.rules.fanout)
        if now >= due.sync and member.state is MembershipState.JOINED:
            self._comparing.compare(now)
        if now >= due.reach:
            self._comparing.reach(now)
        self._plan()

    def wake_at(self) -> int:
        """Return when `wake` is to be called."""
        return self._wake_at

    def set_note(self, now: int, about: bytes) -> None:
        """Say something of oneself to all; at most 256 bytes. What was said before does not hold any more."""
        self._notes.say(about)

    def set_topic_note(self, topic: str, about: bytes) -> None:
        """Say something on a topic to all, in place of what was said on it before; at most 256 bytes."""
        self._member.topics.set_note(self._member.me, topic, about)

    def leave(self, now: int) -> None:
        """Say goodbye. `left` tells when it has been said often enough."""
        member = self._member
        if member.state in (MembershipState.NEW, MembershipState.DISPLACED, MembershipState.LEAVING):
            return
        member.state = MembershipState.LEAVING
        self._words.take(now, member.updated_record(state=State.LEFT))
        self._sending.gossip(now, 3 * self.rules.fanout)
        self._plan()

    @property
    def leave_complete(self) -> bool:
        """Whether nothing is to be waited for any more."""
        member = self._member
        leaving = member.state is MembershipState.LEAVING
        return not leaving or member.me.name not in member.news or not member.others()

    def take_actions(self) -> list[Action]:
        """Return what is to be done since the last call."""
        actions, self._member.actions = self._member.actions, []
        return actions

    def _understand(self, now: int, told: Datagram, source: Address) -> None:
        member = self._member
        row = member.view.find(told.sender)
        life = ProcessInstance(told.started, told.instance)
        if row is not None and row.record.process == life:
            row.digest, row.last_contact = told.digest, now
        for record in told.records:
            self._words.hear(now, record, told.kind is Kind.STATE)
        for note in told.notes:
            self._notes.hear(note)
        member.topics.hear(member.me.name, told.topics)
        if member.state is MembershipState.DISPLACED:
            return
        match told.kind:
            case Kind.PING if told.target == member.me.name:
                self._sending.send(source, Kind.ACK, told.number, member.me.name, to=told)
            case Kind.PING:
                self.counts.misdirected += 1
            case Kind.PING_REQ:
                self._probing.relay(now, told, source)
            case Kind.ACK:
                self._probing.acked(now, told)
            case Kind.NACK:
                self._probing.nacked(told)
            case Kind.SYNC:
                self._comparing.asked(now, source, told.summary)
            case Kind.STATE if told.summary:
                self._comparing.answered(now, source, told.summary)

    def _plan(self) -> None:
        member, due = self._member, self._member.due
        if member.state is MembershipState.DISPLACED:
            self._wake_at = due.reach
            return
        when = [due.probe, due.reach, *self._probing.times()]
        if member.state is MembershipState.JOINED:
            when.append(due.sync)
        if member.news or member.topics:
            when.append(due.gossip)
        if (runs_out_at := self._suspects.next_at(due.probe)) is not None:
            when.append(runs_out_at)
        self._wake_at = min(when)

    def _recover_from_pause(self, now: int) -> None:
        """After a standstill: what was not heard meanwhile proves nothing against anybody."""
        member, late = self._member, now - self._wake_at
        member.topics.refill(now)
        if late < self.rules.probe_us:
            return
        self.counts.stood += 1
        member.actions.append(LogEvent("fleet: stood still", (("us", late),)))
        member.drop_probes()
        self._suspects.shift(late)
        member.adjust_health(1)
        due, soon = member.due, now + member.spread(self.rules.answer_us)
        due.probe, due.gossip, due.sync, due.reach = soon, now, soon, max(due.reach, now)
        self._wake_at = now
