"""What lies between any two processes: a weather of faults by rule, and relays that datagrams pass.

Every member of a fleet is told to others by the address of a relay. A datagram for it comes to that relay,
which knows the sender by the address it came from, and goes on from the sender's own relay: so both ends see
each other at the addresses that they know, and each pair can be struck by itself.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from harriertrack.runtime.datagrams import Address, DatagramNetwork, DatagramPort
from harriertrack.runtime.hub import Hub


@dataclass(frozen=True, slots=True)
class NetworkFault:
    """What befalls what goes from some parties to others; `both`: and back."""

    sources: frozenset[str]
    targets: frozenset[str]
    both_directions: bool = True
    cut: bool = False
    lost: float = 0.0  # share of datagrams
    duplicated: float = 0.0
    late_us: int = 0
    jitter_us: int = 0  # up to so much later still: later ones overtake
    min_bytes: int = 0  # smaller datagrams pass unharmed

    def applies_to(self, source: str, target: str) -> bool:
        """Whether it lies on this way."""
        if source in self.sources and target in self.targets:
            return True
        return self.both_directions and source in self.targets and target in self.sources


@dataclass(slots=True)
class TrafficCounts:
    """What passed, and what did not."""

    datagrams: int = 0
    bytes: int = 0
    lost: int = 0
    duplicated: int = 0
    unknown: int = 0  # of no member's address


class NetworkFaults:
    """The faults in force between all parties."""

    def __init__(self, seed: int = 0, delay_us: tuple[int, int] = (0, 0)) -> None:
        self._random = random.Random(seed)
        self._delay_us = delay_us
        self._faults: dict[int, NetworkFault] = {}
        self._number = 0
        self.traffic = TrafficCounts()

    def __len__(self) -> int:
        return len(self._faults)

    def add(self, fault: NetworkFault) -> int:
        """Let a fault begin; return the number by which it ends."""
        self._number += 1
        self._faults[self._number] = fault
        return self._number

    def remove(self, number: int) -> None:
        """Let a fault end, if it has not."""
        self._faults.pop(number, None)

    def clear(self) -> None:
        """Let all end."""
        self._faults.clear()

    def is_cut(self, source: str, target: str) -> bool:
        """Whether nothing passes this way."""
        return any(fault.cut and fault.applies_to(source, target) for fault in self._faults.values())

    def added_delay_us(self, source: str, target: str) -> int:
        """Return how much longer everything takes this way."""
        return sum(fault.late_us for fault in self._faults.values() if fault.applies_to(source, target))

    def draw_delays(self, source: str, target: str, size: int) -> Iterable[int]:
        """Return after how many microseconds a datagram arrives: never, once or twice."""
        carried, rng = self.traffic, self._random
        carried.datagrams += 1
        carried.bytes += size
        after, copies = self._draw(*self._delay_us), 1
        for fault in self._faults.values():
            if not fault.applies_to(source, target) or size < fault.min_bytes:
                continue
            if fault.cut or (fault.lost and rng.random() < fault.lost):
                carried.lost += 1
                return ()
            if fault.duplicated and rng.random() < fault.duplicated:
                copies += 1
                carried.duplicated += 1
            after += fault.late_us + self._draw(0, fault.jitter_us)
        return [after + self._draw(0, 1000 * copy) for copy in range(copies)]

    def _draw(self, least: int, most: int) -> int:
        return least if most <= least else self._random.randrange(least, most)


@dataclass(slots=True, eq=False)
class _Party:
    name: str
    front: DatagramPort | None = None
    inner: Address = ("", 0)


class MemberRelays:
    """The relays of all members of a fleet, on one hub."""

    def __init__(
        self, hub: Hub, network: DatagramNetwork, weather: NetworkFaults, host: str = "127.0.0.1"
    ) -> None:
        self._hub, self._network, self._weather, self._host = hub, network, weather, host
        # Hears of each datagram when it leaves its sender, and when it arrives: by whom, whether it arrives.
        self.tap: Callable[[str, bytes, bool], None] = lambda _name, _data, _arrives: None
        self._parties: dict[str, _Party] = {}
        self._at: dict[Address, _Party] = {}  # by the address that a member sends from

    def add_member(self, name: str, inner: Address) -> Address:
        """Put a relay before a member that listens at `inner`; return the address it is told by."""
        party = _Party(name, inner=inner)
        here = (self._host, 0)
        party.front = self._network.bind(here, lambda data, source: self._come(party, data, source))
        self._parties[name] = self._at[inner] = party
        return party.front.address

    def close(self) -> None:
        """End all relays."""
        for party in self._parties.values():
            if party.front is not None:
                party.front.close()

    def _come(self, target: _Party, data: bytes, source: Address) -> None:
        sender = self._at.get(source)
        if sender is None or sender.front is None:
            self._weather.traffic.unknown += 1
            return
        way = sender.front
        self.tap(sender.name, data, False)

        def bring() -> None:
            self.tap(target.name, data, True)
            way.send(data, target.inner)

        for after_us in self._weather.draw_delays(sender.name, target.name, len(data)):
            if after_us < 1000:
                bring()
            else:
                self._hub.at(self._hub.now() + after_us, bring)
