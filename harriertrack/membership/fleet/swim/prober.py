"""Probes: one member at a time, in turn, through others where it does not answer; and probes for others."""

from __future__ import annotations

from harriertrack.membership.fleet.messages import Address, Datagram, Kind, State
from harriertrack.membership.fleet.swim.anti_entropy import AntiEntropy
from harriertrack.membership.fleet.swim.member import Member, Probe, Relayed
from harriertrack.membership.fleet.swim.sender import Sender
from harriertrack.membership.fleet.swim.updates import Updates
from harriertrack.membership.fleet.view import Row

RELAYED = 0.8  # of the time for an answer, after which a helper says that it got none (Lifeguard)


class Prober:
    """A member's own probe, and those that it makes for others."""

    def __init__(self, member: Member, sending: Sender, words: Updates, comparing: AntiEntropy) -> None:
        self._member, self._sending, self._words, self._comparing = member, sending, words, comparing
        self._number = 0

    def wake(self, now: int) -> None:
        """Ask others, end the probe under way, begin the next: as far as it is time."""
        member = self._member
        probe = member.probe
        if probe is not None:
            if not probe.answered and probe.helped < 0 and now >= probe.ask_at:
                self._request_indirect_pings(probe)
            if now < probe.ends_at:
                return
            member.probe = None
            if not probe.answered:
                self._failed(now, probe)
        if now < member.due.probe:
            return
        scale, rules = 1 + member.health_score, member.rules
        member.due.probe = now + rules.probe_us * scale
        row = self._next_target()
        if row is None:
            return
        self._number += 1
        member.counts.probes += 1
        record = row.record
        answer_at, ends_at = now + rules.answer_us * scale, now + rules.probe_us * scale
        member.probe = Probe(record.name, record.process, self._number, answer_at, ends_at)
        self._sending.send(record.address, Kind.PING, self._number, record.name)

    def times(self) -> list[int]:
        """Return when there is something to do, beside the next probe."""
        probe = self._member.probe
        asks = [probe.ask_at] if probe is not None and not probe.answered and probe.helped < 0 else []
        return asks + [one.nack_at for one in self._member.relayed.values()]

    def _next_target(self) -> Row | None:
        """Return the next member in turn: each is probed once before any is probed again."""
        member = self._member
        while True:
            while member.turn:
                row = member.view.find(member.turn.pop())
                if row is not None and row.record.present and row.record.name != member.me.name:
                    return row
            member.turn = member.others()
            if not member.turn:
                return None
            member.random.shuffle(member.turn)

    def _request_indirect_pings(self, probe: Probe) -> None:
        member = self._member
        others = [
            name for name in member.others()
            if name != probe.target and member.held(name) is State.ALIVE
        ]  # fmt: skip
        helpers = member.random.sample(others, min(len(others), member.rules.helpers))
        probe.helped = len(helpers)
        target = member.view.find(probe.target)
        if target is None:
            return
        where = target.record.address
        for helper in helpers:
            self._sending.send(member.address(helper), Kind.PING_REQ, probe.number, probe.target, where)

    def _failed(self, now: int, probe: Probe) -> None:
        # Helpers that do not even say that they had no answer tell of trouble here rather than there.
        member = self._member
        member.counts.failed_probes += 1
        member.adjust_health(probe.helped - probe.nacks if probe.helped > 0 else 1)
        row = member.view.find(probe.target)
        if row is not None and row.record.process == probe.life and row.record.present:
            self._words.suspect(now, row, member.me.name)

    def relay(self, now: int, told: Datagram, source: Address) -> None:
        """Probe a member for somebody else."""
        member = self._member
        if len(member.relayed) >= member.rules.members:
            member.counts.turned_down += 1
            return
        self._number += 1
        nack_at = now + int(RELAYED * member.rules.answer_us)
        member.relayed[self._number] = Relayed(source, told.number, told.target, nack_at)
        self._sending.send((told.host, told.port), Kind.PING, self._number, told.target)

    def tell_askers(self, now: int) -> None:
        """Tell those for whom a member was probed that it did not answer in time."""
        relayed = self._member.relayed
        for number, one in list(relayed.items()):
            if now >= one.nack_at:
                del relayed[number]
                self._sending.send(one.asker, Kind.NACK, one.number, one.target)

    def nacked(self, told: Datagram) -> None:
        """A helper says that it is there and the target did not answer it."""
        probe = self._member.probe
        if probe is not None and probe.number == told.number:
            probe.nacks += 1

    def acked(self, now: int, told: Datagram) -> None:
        """A target answered: a probe of one's own, or one for somebody else."""
        member = self._member
        relayed = member.relayed.get(told.number)
        if relayed is not None and relayed.target == told.target == told.sender:
            del member.relayed[told.number]
            self._sending.send(relayed.asker, Kind.ACK, relayed.number, relayed.target)
            return
        probe = member.probe
        if probe is None or probe.number != told.number or probe.target != told.target or probe.answered:
            return
        probe.answered = True
        member.adjust_health(-1)
        if told.sender == told.target and told.digest != member.view.digest:
            self._comparing.mend(now, told.sender)
