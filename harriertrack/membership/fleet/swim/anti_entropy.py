"""Anti-entropy: view comparisons at intervals, with seeds and dead members, and when digests differ."""

from __future__ import annotations

from harriertrack.membership.fleet.messages import Address, Draft, Kind, State, encode_item
from harriertrack.membership.fleet.swim.member import Member
from harriertrack.membership.fleet.swim.rules import MembershipState
from harriertrack.membership.fleet.swim.sender import Sender


class AntiEntropy:
    """Requests the records that the member lacks, and answers such requests."""

    def __init__(self, member: Member, sender: Sender, seeds: list[Address]) -> None:
        self._member, self._sender, self._seeds = member, sender, seeds
        self._absent: list[Address] = []  # dead members and seeds to contact, last first
        self._join_us = member.rules.join_us
        self._tokens, self._refilled_at = float(member.rules.pages), 0

    def start(self, now: int) -> None:
        """Start to answer requests."""
        self._refilled_at = now

    def compare(self, now: int) -> None:
        """Forget members that are gone for long, and compare views with a random member."""
        member = self._member
        member.due.sync = now + member.jitter(member.rules.sync_us)
        self._forget(now)
        if others := member.others():
            self._request(member.address(member.random.choice(others)))

    def repair(self, now: int, name: str) -> None:
        """Compare views with a member whose digest differs after updates settled: an update was lost."""
        member = self._member
        settled = 2 * member.rules.probe_us
        if member.updates or now - member.view.changed_at <= settled or now < member.due.repair:
            return
        member.due.repair = now + settled
        self._request(member.address(name))

    def contact_absent(self, now: int) -> None:
        """Contact a dead member, or a seed that is not a present member."""
        member, rules = self._member, self._member.rules
        present = {member.address(name) for name in member.view.present}
        seeds = [address for address in self._seeds if address not in present]
        alone = member.state is MembershipState.ALONE
        if alone:
            member.due.reach = now + member.jitter(self._join_us)
            self._join_us = min(2 * self._join_us, rules.reach_us)
        else:
            self._join_us = rules.join_us
            member.due.reach = now + member.jitter(rules.reach_us)
        for _ in range(rules.fanout if alone else 1):
            if not self._absent:
                self._absent = [row.record.address for row in member.view.rows_with(State.DEAD)] + seeds
                member.random.shuffle(self._absent)
            if self._absent and (address := self._absent.pop()) not in present:
                self._request(address)

    def observe(self, now: int) -> None:
        """As a displaced process, ask a member whether the other process with this name is still present."""
        member = self._member
        member.due.reach = now + member.jitter(member.rules.reach_us)
        addresses = [member.address(name) for name in member.others()] + self._seeds
        if addresses:
            self._request(member.random.choice(addresses))

    def receive_sync(self, now: int, source: Address, summary: tuple[int, ...]) -> None:
        """Send the records that differ from another view; the last datagram requests those missing here."""
        member = self._member
        self._answer(now, source, member.view.differing(summary), member.view.summary)

    def receive_state(self, now: int, source: Address, summary: tuple[int, ...]) -> None:
        """Send the records that still differ from the view of the member that replied."""
        member = self._member
        if differing := member.view.differing(summary):
            # Views still differ: compare again sooner than the interval.
            member.due.sync = min(member.due.sync, now + member.jitter(2 * member.rules.probe_us))
            self._answer(now, source, differing, ())

    def _request(self, address: Address) -> None:
        member = self._member
        draft = self._sender.draft(Kind.SYNC, summary=member.view.summary)
        if member.state is not MembershipState.DISPLACED:
            draft.add(encode_item(member.me))
        self._sender.send_draft(address, draft)

    def _answer(self, now: int, address: Address, buckets: frozenset[int], summary: tuple[int, ...]) -> None:
        """Send the records of some buckets; a summary with them requests those missing here."""
        member, rules = self._member, self._member.rules
        self._tokens = min(rules.pages, self._tokens + rules.pages * (now - self._refilled_at) / 1e6)
        self._refilled_at = now
        drafts: list[Draft] = []
        draft = self._sender.draft(Kind.STATE, summary=summary)
        for row in member.view.rows_in(buckets):
            record = encode_item(row.record)
            if not draft.add(record):
                drafts.append(draft)
                draft = self._sender.draft(Kind.STATE)
                draft.add(record)
        drafts.append(draft)
        drafts.append(drafts.pop(0))  # the request goes last: the receiver has the other records by then
        for draft in drafts:
            if self._tokens < 1:
                member.counts.turned_down += 1
                return
            self._tokens -= 1
            self._sender.send_draft(address, draft)

    def _forget(self, now: int) -> None:
        member = self._member
        for row in member.view.rows_with(State.DEAD, State.LEFT):
            if now - row.since >= member.rules.forget_us and row.record.name != member.me.name:
                member.topics.forget(row.record.name, row.topics)
                member.view.forget(row.record.name)
                member.notes.drop(row.record.name)
