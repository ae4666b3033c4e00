"""Network faults between the processes of a fleet, and relays that apply them to datagrams.

Each member of a fleet advertises the address of a relay instead of its own. A datagram for the member arrives
at that relay, which knows the sender by its source address and forwards the datagram from the sender's own
relay. So both ends see each other at the advertised addresses, and faults can apply to each pair separately.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from harriertrack.runtime.datagrams import Address, DatagramNetwork, DatagramPort
from harriertrack.runtime.hub import Hub


@dataclass(frozen=True, slots=True)
class NetworkFault:
    """A fault on traffic from some parties to others, and back with `both_directions`."""

    sources: frozenset[str]
    targets: frozenset[str]
    both_directions: bool = True
    cut: bool = False
    lost: float = 0.0  # share of datagrams
    duplicated: float = 0.0  # share of datagrams
    late_us: int = 0
    jitter_us: int = 0  # largest additional random delay; later datagrams can overtake
    min_bytes: int = 0  # smaller datagrams are not affected

    def applies_to(self, source: str, target: str) -> bool:
        """Whether it affects traffic from `source` to `target`."""
        if source in self.sources and target in self.targets:
            return True
        return self.both_directions and source in self.targets and target in self.sources


@dataclass(slots=True)
class TrafficCounts:
    """Counts of datagrams and their bytes, and of what faults did to them."""

    datagrams: int = 0
    bytes: int = 0
    lost: int = 0
    duplicated: int = 0
    unknown: int = 0  # from an address of no member


class NetworkFaults:
    """The faults in force between all parties."""

    def __init__(self, seed: int = 0, delay_us: tuple[int, int] = (0, 0)) -> None:
        self._random = random.Random(seed)
        self._delay_us = delay_us
        self._faults: dict[int, NetworkFault] = {}
        self._last_number = 0
        self.traffic = TrafficCounts()

    def __len__(self) -> int:
        return len(self._faults)

    def add(self, fault: NetworkFault) -> int:
        """Start a fault; return the number by which `remove` ends it."""
        self._last_number += 1
        self._faults[self._last_number] = fault
        return self._last_number

    def remove(self, number: int) -> None:
        """End a fault, if it is still in force."""
        self._faults.pop(number, None)

    def clear(self) -> None:
        """End all faults."""
        self._faults.clear()

    def is_cut(self, source: str, target: str) -> bool:
        """Whether no traffic passes from `source` to `target`."""
        return any(fault.cut and fault.applies_to(source, target) for fault in self._faults.values())

    def added_delay_us(self, source: str, target: str) -> int:
        """Return the sum of the faults' delays from `source` to `target`, without jitter."""
        return sum(fault.late_us for fault in self._faults.values() if fault.applies_to(source, target))

    def draw_delays(self, source: str, target: str, size: int) -> Iterable[int]:
        """Count a datagram and draw the delay in microseconds of each copy; return none if it is lost."""
        counts, rng = self.traffic, self._random
        counts.datagrams += 1
        counts.bytes += size
        delay_us, copies = self._draw(*self._delay_us), 1
        for fault in self._faults.values():
            if not fault.applies_to(source, target) or size < fault.min_bytes:
                continue
            if fault.cut or (fault.lost and rng.random() < fault.lost):
                counts.lost += 1
                return ()
            if fault.duplicated and rng.random() < fault.duplicated:
                copies += 1
                counts.duplicated += 1
            delay_us += fault.late_us + self._draw(0, fault.jitter_us)
        return [delay_us + self._draw(0, 1000 * copy) for copy in range(copies)]

    def _draw(self, least: int, most: int) -> int:
        return least if most <= least else self._random.randrange(least, most)


@dataclass(slots=True, eq=False)
class _Member:
    name: str
    relay: DatagramPort | None = None
    address: Address = ("", 0)  # the member's own address, behind its relay


class MemberRelays:
    """The relays of all members of a fleet, on one hub."""

    def __init__(
        self, hub: Hub, network: DatagramNetwork, faults: NetworkFaults, host: str = "127.0.0.1"
    ) -> None:
        self._hub, self._network, self._faults, self._host = hub, network, faults, host
        # Called with (sender, data, False) when a datagram is sent, and (target, data, True) when it arrives.
        self.tap: Callable[[str, bytes, bool], None] = lambda _name, _data, _arrives: None
        self._members: dict[str, _Member] = {}
        self._by_address: dict[Address, _Member] = {}  # by the address that a member sends from

    def add_member(self, name: str, inner: Address) -> Address:
        """Start a relay for a member that listens at `inner`; return the address to advertise."""
        member = _Member(name, address=inner)
        any_port = (self._host, 0)
        member.relay = self._network.bind(any_port, lambda data, source: self._forward(member, data, source))
        self._members[name] = self._by_address[inner] = member
        return member.relay.address

    def close(self) -> None:
        """Close all relays."""
        for member in self._members.values():
            if member.relay is not None:
                member.relay.close()

    def _forward(self, target: _Member, data: bytes, source: Address) -> None:
        sender = self._by_address.get(source)
        if sender is None or sender.relay is None:
            self._faults.traffic.unknown += 1
            return
        sender_relay = sender.relay
        self.tap(sender.name, data, False)

        def deliver() -> None:
            self.tap(target.name, data, True)
            sender_relay.send(data, target.address)

        for delay_us in self._faults.draw_delays(sender.name, target.name, len(data)):
            if delay_us < 1000:
                deliver()
            else:
                self._hub.at(self._hub.now() + delay_us, deliver)
