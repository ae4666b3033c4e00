"""Failure detection: a ping to one member at a time, then indirect pings; and indirect pings for others."""

from __future__ import annotations

from harriertrack.membership.fleet.messages import Address, Datagram, Kind, State
from harriertrack.membership.fleet.swim.anti_entropy import AntiEntropy
from harriertrack.membership.fleet.swim.member import Member, Probe, Relayed
from harriertrack.membership.fleet.swim.sender import Sender
from harriertrack.membership.fleet.swim.updates import Updates
from harriertrack.membership.fleet.view import Row

NACK_FRACTION = 0.8  # of the time for an ack, after which a helper sends a nack (Lifeguard)


class Prober:
    """A member's own probe, and the indirect pings that it makes for others."""

    def __init__(self, member: Member, sender: Sender, updates: Updates, anti_entropy: AntiEntropy) -> None:
        self._member, self._sender, self._updates, self._anti_entropy = member, sender, updates, anti_entropy
        self._number = 0

    def wake(self, now: int) -> None:
        """Request indirect pings, end the current probe and start the next one, as each is due."""
        member = self._member
        probe = member.probe
        if probe is not None:
            if not probe.acked and probe.helpers < 0 and now >= probe.indirect_at:
                self._request_indirect_pings(probe)
            if now < probe.ends_at:
                return
            member.probe = None
            if not probe.acked:
                self._handle_failure(now, probe)
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
        indirect_at, ends_at = now + rules.answer_us * scale, now + rules.probe_us * scale
        member.probe = Probe(record.name, record.process, self._number, indirect_at, ends_at)
        self._sender.send(record.address, Kind.PING, self._number, record.name)

    def times(self) -> list[int]:
        """Return when work is due, apart from the next probe."""
        probe = self._member.probe
        times = [probe.indirect_at] if probe is not None and not probe.acked and probe.helpers < 0 else []
        return times + [one.nack_at for one in self._member.relayed.values()]

    def _next_target(self) -> Row | None:
        """Return the next member of the round: each is probed once before any is probed again."""
        member = self._member
        while True:
            while member.probe_round:
                row = member.view.find(member.probe_round.pop())
                if row is not None and row.record.present and row.record.name != member.me.name:
                    return row
            member.probe_round = member.others()
            if not member.probe_round:
                return None
            member.random.shuffle(member.probe_round)

    def _request_indirect_pings(self, probe: Probe) -> None:
        member = self._member
        others = [
            name for name in member.others()
            if name != probe.target and member.state_of(name) is State.ALIVE
        ]  # fmt: skip
        helpers = member.random.sample(others, min(len(others), member.rules.helpers))
        probe.helpers = len(helpers)
        target = member.view.find(probe.target)
        if target is None:
            return
        address = target.record.address
        for helper in helpers:
            self._sender.send(member.address(helper), Kind.PING_REQ, probe.number, probe.target, address)

    def _handle_failure(self, now: int, probe: Probe) -> None:
        # Helpers that send not even a nack point to a fault of this member rather than of the target.
        member = self._member
        member.counts.failed_probes += 1
        member.adjust_health(probe.helpers - probe.nacks if probe.helpers > 0 else 1)
        row = member.view.find(probe.target)
        if row is not None and row.record.process == probe.process and row.record.present:
            self._updates.suspect(now, row, member.me.name)

    def relay(self, now: int, datagram: Datagram, source: Address) -> None:
        """Ping a member on behalf of another."""
        member = self._member
        if len(member.relayed) >= member.rules.members:
            member.counts.turned_down += 1
            return
        self._number += 1
        nack_at = now + int(NACK_FRACTION * member.rules.answer_us)
        member.relayed[self._number] = Relayed(source, datagram.number, datagram.target, nack_at)
        self._sender.send((datagram.host, datagram.port), Kind.PING, self._number, datagram.target)

    def send_nacks(self, now: int) -> None:
        """Send nacks for indirect pings that were not answered in time."""
        relayed = self._member.relayed
        for number, one in list(relayed.items()):
            if now >= one.nack_at:
                del relayed[number]
                self._sender.send(one.requester, Kind.NACK, one.number, one.target)

    def receive_nack(self, datagram: Datagram) -> None:
        """Count a helper's nack: the helper is reachable, and the target did not answer it."""
        probe = self._member.probe
        if probe is not None and probe.number == datagram.number:
            probe.nacks += 1

    def receive_ack(self, now: int, datagram: Datagram) -> None:
        """Handle an ack for the member's own probe, or for an indirect ping."""
        member = self._member
        relayed = member.relayed.get(datagram.number)
        if relayed is not None and relayed.target == datagram.target == datagram.sender:
            del member.relayed[datagram.number]
            self._sender.send(relayed.requester, Kind.ACK, relayed.number, relayed.target)
            return
        probe = member.probe
        if probe is None or probe.number != datagram.number or probe.target != datagram.target or probe.acked:
            return
        probe.acked = True
        member.adjust_health(-1)
        if datagram.sender == datagram.target and datagram.digest != member.view.digest:
            self._anti_entropy.repair(now, datagram.sender)
