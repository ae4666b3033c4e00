"""Words on members: which are taken, which are passed on, and what is answered to those on oneself."""

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
    """What a member does with words."""

    def __init__(self, member: Member, suspects: SuspectTimers, notes: Notes) -> None:
        self._member, self._suspects, self._notes = member, suspects, notes

    def take(self, now: int, record: Record, pass_on: bool = True) -> None:
        """Take a word, tell of what it changed, and pass it on."""
        member, view, name = self._member, self._member.view, record.name
        if name == member.me.name and record.instance == member.me.instance:
            member.me = record
        change = view.apply(now, record)
        if change is None:
            return
        if pass_on:
            member.news.add(name, encode_item(record))
        member.actions.append(MemberChanged(change))
        self._suspects.end(name)
        if record.state is State.SUSPECT:
            self._suspects.begin(now, record)
        newcomer = record.present and (change.before is None or not change.before.present)
        if newcomer and name != member.me.name:
            # A newcomer is probed at a random place of the present turn.
            member.turn.insert(member.random.randrange(len(member.turn) + 1), name)
        if member.state in (MembershipState.ALONE, MembershipState.JOINED):
            before = member.state
            member.state = MembershipState.JOINED if len(view.present) > 1 else MembershipState.ALONE
            if before is MembershipState.ALONE:
                member.joined_at = now

    def suspect(self, now: int, row: Row, by: str) -> None:
        """Suspect a member, or agree with those who do already."""
        record = row.record
        if row.suspicion is None:
            self.take(now, msgspec.structs.replace(record, state=State.SUSPECT, by=by))
        elif self._suspects.confirm(row, by):
            self._member.news.add(record.name, encode_item(msgspec.structs.replace(record, by=by)))

    def run_out(self, now: int) -> None:
        """Hold those dead that were suspected for long enough."""
        for row in self._suspects.run_out(now):
            self._member.counts.declared += 1
            self.take(now, msgspec.structs.replace(row.record, state=State.DEAD, by=self._member.me.name))

    def hear(self, now: int, record: Record, compared: bool) -> None:
        """Take a word that came from outside; `compared`: as the answer to a comparison of views."""
        member = self._member
        if record.name == member.me.name:
            self._handle_own_record(now, record)
            return
        row = member.view.find(record.name)
        if row is None:
            # Who is gone, and was never known here, need not be known.
            if not record.present or not record.name:
                return
            if len(member.view) >= member.rules.members:
                member.counts.turned_down += 1
                return
        elif record.precedence[:3] == row.record.precedence[:3]:
            if record.state is State.SUSPECT and row.record.state is State.SUSPECT:
                self.suspect(now, row, record.by)
                return
            if compared and record.state is State.DEAD and row.record.present:
                # Another part of a fleet that was apart buried it: it gets the time of a suspicion to object.
                self.suspect(now, row, record.by)
                return
        # What a newcomer is told on joining is known to all but itself.
        joining = compared and now - member.joined_at < member.rules.probe_us
        self.take(now, record, pass_on=not joining)

    def _handle_own_record(self, now: int, record: Record) -> None:
        """Somebody says something of this member's name."""
        member, me = self._member, self._member.me
        if record.process == me.process:
            if record.incarnation < me.incarnation:
                if record.state is not State.ALIVE:
                    member.news.add(
                        me.name, encode_item(me)
                    )  # somebody missed the objection: it goes along again
                return
            if record.precedence == me.precedence or member.state is MembershipState.LEAVING:
                return
            if record.state is State.ALIVE and record.incarnation == me.incarnation:
                return
            member.counts.refuted += 1
            member.adjust_health(1)
            held = record.state.name.lower()
            member.actions.append(LogEvent("fleet: objected", (("by", record.by), ("held", held))))
            self.take(now, member.updated_record(incarnation=record.incarnation + 1))
        elif record.process > me.process:
            # The place can't be another's while this process holds it: an earlier life with a clock ahead.
            if not record.present or record.address == me.address:
                self._return(now, record)
            else:
                self._displaced(now, record)

    def _return(self, now: int, record: Record) -> None:
        """Go on as a later life than the one that was heard of."""
        member = self._member
        if member.state is MembershipState.DISPLACED:
            member.state = MembershipState.ALONE
            member.due.probe = now + member.spread(member.rules.probe_us)
            self._suspects.restart(now)
        self.take(now, member.updated_record(started=record.started + 1, incarnation=0, state=State.ALIVE))
        self._notes.say_again()
        member.topics.say_again(member.me)

    def _displaced(self, now: int, record: Record) -> None:
        member = self._member
        member.view.apply(now, record)
        if member.state is MembershipState.DISPLACED:
            return
        member.state = MembershipState.DISPLACED
        member.drop_probes()
        self._suspects.clear()
        member.news.clear()
        member.notes.clear()
        member.topics.clear()
        member.due.reach = now + member.spread(member.rules.reach_us)
        where = f"{record.host}:{record.port}"
        said = LogEvent("fleet: displaced by a later process of this name", (("address", where),))
        member.actions.append(said)
