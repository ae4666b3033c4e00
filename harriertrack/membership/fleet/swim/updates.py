"""Records about members: which are applied, which are disseminated, and which this member refutes."""

from __future__ import annotations

import msgspec

from harriertrack.membership.fleet.messages import Record, State, encode_item
from harriertrack.membership.fleet.swim.actions import LogEvent, MemberChanged
from harriertrack.membership.fleet.swim.member import Member
from harriertrack.membership.fleet.swim.notes import Notes
from harriertrack.membership.fleet.swim.rules import MembershipState
from harriertrack.membership.fleet.swim.suspects import SuspectTimers
from harriertrack.membership.fleet.view import Row


class Updates:
    """Applies records about members to the view."""

    def __init__(self, member: Member, suspects: SuspectTimers, notes: Notes) -> None:
        self._member, self._suspects, self._notes = member, suspects, notes

    def apply(self, now: int, record: Record, disseminate: bool = True) -> None:
        """Apply a record if it is newer, report the change to the carrier, and disseminate the record."""
        member, view, name = self._member, self._member.view, record.name
        if name == member.me.name and record.instance == member.me.instance:
            member.me = record
        change = view.apply(now, record)
        if change is None:
            return
        if disseminate:
            member.updates.add(name, encode_item(record))
        member.actions.append(MemberChanged(change))
        self._suspects.end(name)
        if record.state is State.SUSPECT:
            self._suspects.begin(now, record)
        newcomer = record.present and (change.before is None or not change.before.present)
        if newcomer and name != member.me.name:
            # A new member goes to a random place in the current round of probes.
            member.probe_round.insert(member.random.randrange(len(member.probe_round) + 1), name)
        if member.state in (MembershipState.ALONE, MembershipState.JOINED):
            before = member.state
            member.state = MembershipState.JOINED if len(view.present) > 1 else MembershipState.ALONE
            if before is MembershipState.ALONE:
                member.joined_at = now

    def suspect(self, now: int, row: Row, by: str) -> None:
        """Suspect a member, or confirm an existing suspicion."""
        record = row.record
        if row.suspicion is None:
            self.apply(now, msgspec.structs.replace(record, state=State.SUSPECT, by=by))
        elif self._suspects.confirm(row, by):
            self._member.updates.add(record.name, encode_item(msgspec.structs.replace(record, by=by)))

    def declare_dead(self, now: int) -> None:
        """Declare members dead whose suspicion timed out."""
        for row in self._suspects.run_out(now):
            self._member.counts.declared += 1
            self.apply(now, msgspec.structs.replace(row.record, state=State.DEAD, by=self._member.me.name))

    def receive(self, now: int, record: Record, from_sync: bool) -> None:
        """Handle a record from a datagram; `from_sync`: the datagram is a reply to a view comparison."""
        member = self._member
        if record.name == member.me.name:
            self._handle_own_record(now, record)
            return
        row = member.view.find(record.name)
        if row is None:
            # A member that left or died before it was known here need not be added.
            if not record.present or not record.name:
                return
            if len(member.view) >= member.rules.members:
                member.counts.turned_down += 1
                return
        elif record.precedence[:3] == row.record.precedence[:3]:
            if record.state is State.SUSPECT and row.record.state is State.SUSPECT:
                self.suspect(now, row, record.by)
                return
            if from_sync and record.state is State.DEAD and row.record.present:
                # Declared dead in another part of a partitioned fleet: it gets a suspicion's time to refute.
                self.suspect(now, row, record.by)
                return
        # The other members already have the records that a joining member receives.
        joining = from_sync and now - member.joined_at < member.rules.probe_us
        self.apply(now, record, disseminate=not joining)

    def _handle_own_record(self, now: int, record: Record) -> None:
        """Handle a record under this member's own name."""
        member, me = self._member, self._member.me
        if record.process == me.process:
            if record.incarnation < me.incarnation:
                if record.state is not State.ALIVE:
                    # A member missed the refutation: send it again.
                    member.updates.add(me.name, encode_item(me))
                return
            if record.precedence == me.precedence or member.state is MembershipState.LEAVING:
                return
            if record.state is State.ALIVE and record.incarnation == me.incarnation:
                return
            member.counts.refuted += 1
            member.adjust_health(1)
            state = record.state.name.lower()
            member.actions.append(LogEvent("fleet: objected", (("by", record.by), ("held", state))))
            self.apply(now, member.updated_record(incarnation=record.incarnation + 1))
        elif record.process > me.process:
            # No other process can have this process's address: the record is of an earlier instance whose
            # clock was ahead.
            if not record.present or record.address == me.address:
                self._continue_as_later_instance(now, record)
            else:
                self._displaced(now, record)

    def _continue_as_later_instance(self, now: int, record: Record) -> None:
        """Continue under a start time later than that of the instance in the record."""
        member = self._member
        if member.state is MembershipState.DISPLACED:
            member.state = MembershipState.ALONE
            member.due.probe = now + member.jitter(member.rules.probe_us)
            self._suspects.restart(now)
        self.apply(now, member.updated_record(started=record.started + 1, incarnation=0, state=State.ALIVE))
        self._notes.republish()
        member.topics.republish(member.me)

    def _displaced(self, now: int, record: Record) -> None:
        member = self._member
        member.view.apply(now, record)
        if member.state is MembershipState.DISPLACED:
            return
        member.state = MembershipState.DISPLACED
        member.drop_probes()
        self._suspects.clear()
        member.updates.clear()
        member.notes.clear()
        member.topics.clear()
        member.due.reach = now + member.jitter(member.rules.reach_us)
        address = f"{record.host}:{record.port}"
        event = LogEvent("fleet: displaced by a later process of this name", (("address", address),))
        member.actions.append(event)
