"""Outgoing datagrams, and the updates piggybacked on them."""

from __future__ import annotations

from harriertrack.membership.fleet.dissemination import transmit_limit
from harriertrack.membership.fleet.messages import (
    Address,
    Datagram,
    Draft,
    Kind,
    ProcessInstance,
    State,
    encode_item,
)
from harriertrack.membership.fleet.swim.actions import Send
from harriertrack.membership.fleet.swim.member import Member
from harriertrack.membership.fleet.swim.rules import MembershipState


class Sender:
    """Builds and sends a member's datagrams."""

    def __init__(self, member: Member) -> None:
        self._member = member

    def draft(self, kind: Kind, number: int = 0, target: str = "", address: Address = ("", 0),
              summary: tuple[int, ...] = ()) -> Draft:  # fmt: skip
        """Return a datagram to which updates can be added."""
        member = self._member
        me, digest = member.me, member.view.digest
        sender = "" if member.state is MembershipState.DISPLACED else me.name
        return Draft(member.rules.fleet, kind, sender, me.process, number, digest, target, address, summary)

    def send_draft(self, address: Address, draft: Draft) -> None:
        """Send a datagram without adding updates."""
        data, counts = draft.pack(), self._member.counts
        counts.sent += 1
        counts.sent_bytes += len(data)
        self._member.actions.append(Send(address, data))

    def send(self, address: Address, kind: Kind, number: int, target: str,
             about: Address = ("", 0), to: Datagram | None = None) -> None:  # fmt: skip
        """Send a message with as many updates as fit.

        A receiver that is not ALIVE in this view, or sent from an older process instance, gets its own record
        first, so that it can refute it.
        """
        member = self._member
        draft = self.draft(kind, number, target, about)
        row = member.view.find(to.sender if to is not None else target)
        first = ""
        if row is not None and row.record.name != member.me.name:
            stale = to is not None and row.record.process > ProcessInstance(to.started, to.instance)
            if row.record.state is not State.ALIVE or stale:
                draft.add(encode_item(row.record))
                first = row.record.name
        limit = transmit_limit(member.rules.repeats, len(member.view.present))
        member.updates.fill(draft.add, limit, skip=first)
        topics_first = member.counts.sent % 2 == 1  # alternates, so that neither kind starves under load
        if topics_first:
            member.topics.fill(draft, limit)
        member.notes.fill(draft.add_note, limit)
        if not topics_first:
            member.topics.fill(draft, limit)
        self.send_draft(address, draft)

    def gossip(self, now: int, fanout: int) -> None:
        """Send queued updates to some members."""
        member = self._member
        if not member.updates:
            if member.topics and (others := member.others()):  # not urgent: one receiver
                name = member.random.choice(others)
                self.send(member.address(name), Kind.GOSSIP, 0, name)
            return
        recent = now - member.rules.recent_us
        names = member.others()
        names += [row.record.name for row in member.view.rows_with(State.DEAD) if row.since >= recent]
        for name in member.random.sample(names, min(len(names), fanout)):
            if not member.updates:
                return
            self.send(member.address(name), Kind.GOSSIP, 0, name)
        if not names:
            member.updates.clear()  # a member that joins later compares complete views
