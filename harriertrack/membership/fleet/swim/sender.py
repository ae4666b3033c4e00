"""Datagrams on their way out, and the news that rides on them."""

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
    """What a member sends."""

    def __init__(self, member: Member) -> None:
        self._member = member

    def draft(self, kind: Kind, number: int = 0, target: str = "", address: Address = ("", 0),
              summary: tuple[int, ...] = ()) -> Draft:  # fmt: skip
        """Return a datagram that has room for news."""
        member = self._member
        me, digest = member.me, member.view.digest
        sender = "" if member.state is MembershipState.DISPLACED else me.name
        return Draft(member.rules.fleet, kind, sender, me.process, number, digest, target, address, summary)

    def out(self, address: Address, draft: Draft) -> None:
        """Send a datagram as it is."""
        data, counts = draft.pack(), self._member.counts
        counts.sent += 1
        counts.sent_bytes += len(data)
        self._member.actions.append(Send(address, data))

    def send(self, address: Address, kind: Kind, number: int, target: str,
             about: Address = ("", 0), to: Datagram | None = None) -> None:  # fmt: skip
        """Send a question or an answer, with as much news as has room.

        Whoever is not held to be alive and well is told so first, so that it can object.
        """
        member = self._member
        draft = self.draft(kind, number, target, about)
        row = member.view.find(to.sender if to is not None else target)
        first = ""
        if row is not None and row.record.name != member.me.name:
            outdated = to is not None and row.record.process > ProcessInstance(to.started, to.instance)
            if row.record.state is not State.ALIVE or outdated:
                draft.add(encode_item(row.record))
                first = row.record.name
        most = transmit_limit(member.rules.repeats, len(member.view.present))
        member.news.fill(draft.add, most, skip=first)
        topics_first = member.counts.sent % 2 == 1  # in turn: where many say much neither waits for ever
        if topics_first:
            member.topics.fill(draft, most)
        member.notes.fill(draft.add_note, most)
        if not topics_first:
            member.topics.fill(draft, most)
        self.out(address, draft)

    def gossip(self, now: int, fanout: int) -> None:
        """Tell some members the news, while there is any."""
        member = self._member
        if not member.news:
            if member.topics and (others := member.others()):  # these have time: one member is told at a time
                name = member.random.choice(others)
                self.send(member.address(name), Kind.GOSSIP, 0, name)
            return
        recent = now - member.rules.recent_us
        names = member.others()
        names += [row.record.name for row in member.view.rows_with(State.DEAD) if row.since >= recent]
        for name in member.random.sample(names, min(len(names), fanout)):
            if not member.news:
                return
            self.send(member.address(name), Kind.GOSSIP, 0, name)
        if not names:
            member.news.clear()  # whoever comes asks for the whole view
