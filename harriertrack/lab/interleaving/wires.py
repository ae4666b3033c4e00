"""In-memory networks of an explored world, with arbitrary delivery delay.

Transfers take no simulated time: each arrival is a separate step that the explorer schedules at any point.
Arrivals on one stream are delivered in order (`channel`); datagrams are delivered in any order.
"""

from __future__ import annotations

import errno
from collections.abc import Callable

from harriertrack.lab.interleaving.footprints import FootprintRecorder
from harriertrack.runtime.datagrams import Address, DatagramHandler, MemoryDatagrams, MemoryPort
from harriertrack.runtime.hub import Hub
from harriertrack.runtime.memory_streams import MemoryListener, MemoryNetwork, MemoryStream

Place = str


def place_name(group: object) -> Place:
    """Return the name of a task group's place; "" for no group."""
    return "" if group is None else str(group)


class Wire(MemoryStream):
    """One end of a stream, with the place that owns it."""

    def __init__(self, hub: Hub, peer: str, touched: FootprintRecorder, place: Place, name: str) -> None:
        super().__init__(hub, peer, 0)
        self.place, self.name, self._touched = place, name, touched

    def _taken(self, count: int) -> None:
        # Runs in the peer's step, which reads from this end: its owner only observes more room to write.
        self._touched.write(f"room of {self.name}")
        super()._taken(count)

    def drain(self, deadline: int | None = None) -> None:
        """Wait until under 1 MiB is buffered."""
        self._touched.read(f"room of {self.name}")
        super().drain(deadline)


class _IsolatingListener(MemoryListener):
    """A listener that gives each connection a place of its own."""

    def accept(self, deadline: int | None = None) -> MemoryStream:
        """Wait for the next stream; tasks that the caller starts next belong to that stream's place."""
        hub, owner = self._network.hub, self._owner
        hub.enter_group(owner)
        stream = super().accept(deadline)
        assert isinstance(stream, Wire)
        hub.enter_group(stream.place)
        return stream

    def __init__(self, network: MemoryNetwork, address: Address, owner: Place) -> None:
        super().__init__(network, address)
        self._owner = owner


class Wires(MemoryNetwork):
    """A stream network between places, which records the footprints of its operations."""

    def __init__(self, hub: Hub, touched: FootprintRecorder) -> None:
        super().__init__(hub, lambda _name, _address: 0)
        self._touched = touched
        self._owner: dict[Address, Place] = {}
        self._isolated: set[Place] = set()
        self._count: dict[Place, int] = {}
        self.ends: list[Wire] = []

    def listen(self, address: Address) -> MemoryListener:
        """Listen at a host and port; port 0 picks a free one."""
        listener, owner = super().listen(address), place_name(self.hub.current().group)
        if owner in self._isolated:
            listener = self.listeners[listener.address] = _IsolatingListener(self, listener.address, owner)
        self._owner[listener.address] = owner
        return listener

    def apart(self, owner: Place) -> None:
        """Make each connection to a place a place of its own.

        For a server whose tasks share no state but what they declare (`FootprintRecorder.write`).
        """
        self._isolated.add(owner)

    def connect(self, address: Address, deadline: int | None = None, name: str = "") -> MemoryStream:
        """Open a stream. Raises ConnectionRefusedError, at any later time, if there is no listener."""
        self.hub.sleep_until(self.hub.now())
        here, there = place_name(self.hub.current().group), self._owner.get(address, "")
        self._touched.write(there) if there else self._touched.mark_unknown()
        listener = self.listeners.get(address)
        if listener is None:
            raise ConnectionRefusedError(errno.ECONNREFUSED, f"nobody listens at {address[0]}:{address[1]}")
        number = self._count[here] = self._count.get(here, 0) + 1
        mine = Wire(self.hub, f"{address[0]}:{address[1]}", self._touched, here, f"{here}>{there}#{number}")
        served = f"{there}/{here}#{number}" if there in self._isolated else there
        other = Wire(self.hub, name, self._touched, served, f"{there}<{here}#{number}")
        mine.other, other.other = other, mine
        self.ends += (mine, other)
        listener.arrive(other)
        return mine

    def break_all(self, place: Place) -> None:
        """Close the streams of a killed process, as an OS does: sent bytes still arrive, then end of file."""
        for address, owner in self._owner.items():
            if owner == place and (listener := self.listeners.get(address)) is not None:
                listener.close()
        for end in self.ends:
            if end.place == place:
                end.watch_end(None)
                end.close()


class Posts(MemoryDatagrams):
    """Datagrams between places, delivered in any order; `fate` may drop or duplicate them."""

    def __init__(self, hub: Hub, touched: FootprintRecorder) -> None:
        super().__init__(hub, lambda _source, _target, _size: (0,))
        self._touched = touched

    def bind(self, address: Address, take: DatagramHandler, name: str = "") -> MemoryPort:
        """Bind an address."""
        port = super().bind(address, take, name)
        self._touched.write(f"port {port.address}")
        return port

    def carry(self, source: MemoryPort, data: bytes, address: Address) -> None:
        """Send a datagram to the port that is bound to the address when it arrives."""
        self._touched.read(f"port {address}")
        super().carry(source, data, address)

    def _arrive(self, data: bytes, source: Address, address: Address) -> None:
        self._touched.read(f"port {address}")
        super()._arrive(data, source, address)

    def break_all(self, place: Place) -> None:
        """Close the ports of a killed process, as an OS does."""
        for port in list(self.ports.values()):
            if place_name(port._group) == place:
                self._touched.write(f"port {port.address}")
                port.close()


def arrival(act: Callable[[], None]) -> tuple[str, Place, str] | None:
    """Return (event, place, channel) of a timer that delivers over a network; None for other timers.

    They are read from the callback's closure, so that the network classes need no change.
    """
    code = getattr(act, "__code__", None)
    if code is None or act.__closure__ is None:
        return None
    closure = dict(zip(code.co_freevars, (cell.cell_contents for cell in act.__closure__), strict=True))
    if isinstance(other := closure.get("other"), Wire):
        return ("bytes arrive" if "copy" in closure else "the end arrives"), other.place, other.name
    network, address = closure.get("self"), closure.get("address")
    if isinstance(network, Posts) and address is not None:
        port = network.ports.get(address)
        return "a datagram arrives", place_name(port._group) if port is not None else "nowhere", ""
    return None
