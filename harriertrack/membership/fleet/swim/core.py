"""The interface of a member for its carrier: datagrams and time in, actions out."""

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

    The carrier calls `receive` for each datagram, `wake` at or after `wake_at`, and carries out the actions
    that `take_actions` returns.
    """

    def __init__(self, rules: Rules, me: Record, seeds: Iterable[Address] = (), seed: int = 0) -> None:
        member = self._member = Member(rules, me, seed)
        self.view, self.counts = member.view, member.counts
        self._suspects, self._notes, self._sender = SuspectTimers(member), Notes(member), Sender(member)
        self._updates = Updates(member, self._suspects, self._notes)
        others = [address for address in dict.fromkeys(seeds) if address != me.address]
        self._anti_entropy = AntiEntropy(member, self._sender, others)
        self._prober = Prober(member, self._sender, self._updates, self._anti_entropy)
        self._wake_at = 0

    @property
    def rules(self) -> Rules:
        """Return the protocol's current parameters."""
        return self._member.rules

    def update_rules(self, rules: Rules) -> None:
        """Replace the protocol's parameters; timers that are already set stay."""
        self._member.rules = rules

    @property
    def me(self) -> Record:
        """Return this member's own record."""
        return self._member.me

    @property
    def state(self) -> MembershipState:
        """Return the member's own state in its fleet."""
        return self._member.state

    @property
    def health_score(self) -> int:
        """Return Lifeguard's local health score; 0 is healthy."""
        return self._member.health_score

    def start(self, now: int) -> None:
        """Start to take part in the fleet."""
        member, rules = self._member, self.rules
        member.state = MembershipState.ALONE
        # A random offset, so that members that start together do not probe in step.
        offset = member.random.randrange(rules.probe_us)
        member.due = Due(now + offset, now + offset % rules.gossip_us, now + member.jitter(rules.sync_us),
                         now, now)  # fmt: skip
        self._anti_entropy.start(now)
        self._updates.apply(now, member.me)
        self._schedule()

    def receive(self, now: int, data: bytes, source: Address) -> None:
        """Handle a datagram; a malformed, foreign or unsupported one is only counted."""
        if self._member.state is MembershipState.NEW:
            return
        self._recover_from_pause(now)
        counts = self.counts
        counts.came += 1
        counts.came_bytes += len(data)
        try:
            datagram = decode(data)
        except MalformedDatagram:
            counts.garbage += 1
            return
        if datagram.fleet != self.rules.fleet:
            counts.strangers += 1
        elif datagram.reads > VERSION:
            counts.too_new += 1
        elif datagram.instance != self._member.me.instance:
            self._handle(now, datagram, source)
        self._schedule()

    def wake(self, now: int) -> None:
        """Run the tasks that are due."""
        member = self._member
        if member.state is MembershipState.NEW:
            return
        self._recover_from_pause(now)
        due = member.due
        if member.state is MembershipState.DISPLACED:
            if now >= due.reach:
                self._anti_entropy.observe(now)
            self._schedule()
            return
        self._prober.send_nacks(now)
        self._prober.wake(now)
        self._updates.declare_dead(now)
        if now >= due.gossip:
            due.gossip = now + self.rules.gossip_us
            self._sender.gossip(now, self.rules.fanout)
        if now >= due.sync and member.state is MembershipState.JOINED:
            self._anti_entropy.compare(now)
        if now >= due.reach:
            self._anti_entropy.contact_absent(now)
        self._schedule()

    def wake_at(self) -> int:
        """Return when `wake` should be called next."""
        return self._wake_at

    def set_note(self, now: int, payload: bytes) -> None:
        """Publish a note about this member in place of the last one; at most 256 bytes."""
        self._notes.publish(payload)

    def set_topic_note(self, topic: str, payload: bytes) -> None:
        """Publish a note on a topic in place of the last one; at most 256 bytes."""
        self._member.topics.set_note(self._member.me, topic, payload)

    def leave(self, now: int) -> None:
        """Announce that this member leaves; `leave_complete` is true once this was sent often enough."""
        member = self._member
        if member.state in (MembershipState.NEW, MembershipState.DISPLACED, MembershipState.LEAVING):
            return
        member.state = MembershipState.LEAVING
        self._updates.apply(now, member.updated_record(state=State.LEFT))
        self._sender.gossip(now, 3 * self.rules.fanout)
        self._schedule()

    @property
    def leave_complete(self) -> bool:
        """Whether there is nothing left to send before the process may stop."""
        member = self._member
        leaving = member.state is MembershipState.LEAVING
        return not leaving or member.me.name not in member.updates or not member.others()

    def take_actions(self) -> list[Action]:
        """Return the actions since the last call, and clear them."""
        actions, self._member.actions = self._member.actions, []
        return actions

    def _handle(self, now: int, datagram: Datagram, source: Address) -> None:
        member = self._member
        row = member.view.find(datagram.sender)
        process = ProcessInstance(datagram.started, datagram.instance)
        if row is not None and row.record.process == process:
            row.digest, row.last_contact = datagram.digest, now
        for record in datagram.records:
            self._updates.receive(now, record, datagram.kind is Kind.STATE)
        for note in datagram.notes:
            self._notes.receive(note)
        member.topics.receive(member.me.name, datagram.topics)
        if member.state is MembershipState.DISPLACED:
            return
        match datagram.kind:
            case Kind.PING if datagram.target == member.me.name:
                self._sender.send(source, Kind.ACK, datagram.number, member.me.name, to=datagram)
            case Kind.PING:
                self.counts.misdirected += 1
            case Kind.PING_REQ:
                self._prober.relay(now, datagram, source)
            case Kind.ACK:
                self._prober.receive_ack(now, datagram)
            case Kind.NACK:
                self._prober.receive_nack(datagram)
            case Kind.SYNC:
                self._anti_entropy.receive_sync(now, source, datagram.summary)
            case Kind.STATE if datagram.summary:
                self._anti_entropy.receive_state(now, source, datagram.summary)

    def _schedule(self) -> None:
        member, due = self._member, self._member.due
        if member.state is MembershipState.DISPLACED:
            self._wake_at = due.reach
            return
        times = [due.probe, due.reach, *self._prober.times()]
        if member.state is MembershipState.JOINED:
            times.append(due.sync)
        if member.updates or member.topics:
            times.append(due.gossip)
        if (suspicion_ends_at := self._suspects.next_at(due.probe)) is not None:
            times.append(suspicion_ends_at)
        self._wake_at = min(times)

    def _recover_from_pause(self, now: int) -> None:
        """Detect a pause of this process: answers missed during it are no evidence against other members."""
        member, late = self._member, now - self._wake_at
        member.topics.refill(now)
        if late < self.rules.probe_us:
            return
        self.counts.stood += 1
        member.actions.append(LogEvent("fleet: stood still", (("us", late),)))
        member.drop_probes()
        self._suspects.shift(late)
        member.adjust_health(1)
        due, soon = member.due, now + member.jitter(self.rules.answer_us)
        due.probe, due.gossip, due.sync, due.reach = soon, now, soon, max(due.reach, now)
        self._wake_at = now
