"""Views compared: now and then, with seeds and the gone, and where two should agree and do not."""

from __future__ import annotations

from harriertrack.membership.fleet.messages import Address, Draft, Kind, State, encode_item
from harriertrack.membership.fleet.swim.member import Member
from harriertrack.membership.fleet.swim.rules import MembershipState
from harriertrack.membership.fleet.swim.sender import Sender


class AntiEntropy:
    """Whom a member asks for what it lacks, and what it answers."""

    def __init__(self, member: Member, sending: Sender, seeds: list[Address]) -> None:
        self._member, self._sending, self._seeds = member, sending, seeds
        self._gone: list[Address] = []  # who is tried next though gone, and seeds, from its end
        self._join_us = member.rules.join_us
        self._pages, self._pages_at = float(member.rules.pages), 0

    def start(self, now: int) -> None:
        """Answer others from now on."""
        self._pages_at = now

    def compare(self, now: int) -> None:
        """Forget who is gone for long, and compare views with somebody."""
        member = self._member
        member.due.sync = now + member.spread(member.rules.sync_us)
        self._forget(now)
        if others := member.others():
            self._ask(member.address(member.random.choice(others)))

    def mend(self, now: int, name: str) -> None:
        """Compare views with a member that should hold the same by now, and doesn't: something was lost."""
        member = self._member
        settled = 2 * member.rules.probe_us
        if member.news or now - member.view.changed_at <= settled or now < member.due.mend:
            return
        member.due.mend = now + settled
        self._ask(member.address(name))

    def reach(self, now: int) -> None:
        """Try somebody who is gone, or a seed that is not among those who are there."""
        member, rules = self._member, self._member.rules
        there = {member.address(name) for name in member.view.present}
        seeds = [address for address in self._seeds if address not in there]
        alone = member.state is MembershipState.ALONE
        if alone:
            member.due.reach = now + member.spread(self._join_us)
            self._join_us = min(2 * self._join_us, rules.reach_us)
        else:
            self._join_us = rules.join_us
            member.due.reach = now + member.spread(rules.reach_us)
        for _ in range(rules.fanout if alone else 1):
            if not self._gone:
                self._gone = [row.record.address for row in member.view.rows_with(State.DEAD)] + seeds
                member.random.shuffle(self._gone)
            if self._gone and (address := self._gone.pop()) not in there:
                self._ask(address)

    def look_on(self, now: int) -> None:
        """Ask somebody, as no member, whether the process that goes by this name is still there."""
        member = self._member
        member.due.reach = now + member.spread(member.rules.reach_us)
        addresses = [member.address(name) for name in member.others()] + self._seeds
        if addresses:
            self._ask(member.random.choice(addresses))

    def asked(self, now: int, source: Address, summary: tuple[int, ...]) -> None:
        """Send what differs from another's view; the last datagram asks for what is lacking here."""
        member = self._member
        self._answer(now, source, member.view.differing(summary), member.view.summary)

    def answered(self, now: int, source: Address, summary: tuple[int, ...]) -> None:
        """Send what still differs from the view of whoever answered."""
        member = self._member
        if differing := member.view.differing(summary):
            # There is more to compare before the next time that is due.
            member.due.sync = min(member.due.sync, now + member.spread(2 * member.rules.probe_us))
            self._answer(now, source, differing, ())

    def _ask(self, address: Address) -> None:
        member = self._member
        draft = self._sending.draft(Kind.SYNC, summary=member.view.summary)
        if member.state is not MembershipState.DISPLACED:
            draft.add(encode_item(member.me))
        self._sending.out(address, draft)

    def _answer(self, now: int, address: Address, buckets: frozenset[int], summary: tuple[int, ...]) -> None:
        """Send what is held in some buckets; a summary with it asks for what is lacking here."""
        member, rules = self._member, self._member.rules
        self._pages = min(rules.pages, self._pages + rules.pages * (now - self._pages_at) / 1e6)
        self._pages_at = now
        drafts: list[Draft] = []
        draft = self._sending.draft(Kind.STATE, summary=summary)
        for row in member.view.rows_in(buckets):
            record = encode_item(row.record)
            if not draft.add(record):
                drafts.append(draft)
                draft = self._sending.draft(Kind.STATE)
                draft.add(record)
        drafts.append(draft)
        drafts.append(drafts.pop(0))  # the one that asks goes last: by then what came before it is known
        for one in drafts:
            if self._pages < 1:
                member.counts.turned_down += 1
                return
            self._pages -= 1
            self._sending.out(address, one)

    def _forget(self, now: int) -> None:
        member = self._member
        for row in member.view.rows_with(State.DEAD, State.LEFT):
            if now - row.since >= member.rules.forget_us and row.record.name != member.me.name:
                member.topics.forget(row.record.name, row.topics)
                member.view.forget(row.record.name)
                member.notes.drop(row.record.name)
