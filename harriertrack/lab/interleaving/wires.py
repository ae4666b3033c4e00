"""Memory networks of an explored world: what is sent may arrive at any time, in order on one connection.

Bytes and datagrams take no time of their own: their arrival is a step that the explorer puts wherever it
likes. A stream's arrivals keep their order (`channel`), datagrams come in any.
"""

from __future__ import annotations

import errno
from collections.abc import Callable

from harriertrack.lab.interleaving.footprints import FootprintRecorder
from harriertrack.runtime.datagrams import Address, DatagramHandler, MemoryDatagrams, MemoryPort
from harriertrack.runtime.hub import Hub
from harriertrack.runtime.streams import MemoryListener, MemoryNetwork, MemoryStream

Place = str


def place_name(group: object) -> Place:
    """Return how a group is called; "" for none, which is no place."""
    return "" if group is None else str(group)


class Wire(MemoryStream):
    """An end of a stream that knows whose it is."""

    def __init__(self, hub: Hub, peer: str, touched: FootprintRecorder, place: Place, name: str) -> None:
        super().__init__(hub, peer, 0)
        self.place, self.name, self._touched = place, name, touched

    def _taken(self, count: int) -> None:
        # The peer's step reads here: all that its owner can see of it is room to write.
        self._touched.write(f"room of {self.name}")
        super()._taken(count)

    def drain(self, deadline: int | None = None) -> None:
        """Wait until under 1 MiB is buffered."""
        self._touched.read(f"room of {self.name}")
        super().drain(deadline)


class _Apart(MemoryListener):
    """Hands each connection to a task in a place of its own."""

    def accept(self, deadline: int | None = None) -> MemoryStream:
        """Wait for the next stream; what the caller starts next belongs to that stream's place."""
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
    """Streams between places."""

    def __init__(self, hub: Hub, touched: FootprintRecorder) -> None:
        super().__init__(hub, lambda _name, _address: 0)
        self._touched = touched
        self._owner: dict[Address, Place] = {}
        self._apart: set[Place] = set()
        self._count: dict[Place, int] = {}
        self.ends: list[Wire] = []

    def listen(self, address: Address) -> MemoryListener:
        """Listen at a host and port; port 0 picks a free one."""
        listener, owner = super().listen(address), place_name(self.hub.current().group)
        if owner in self._apart:
            listener = self.listeners[listener.address] = _Apart(self, listener.address, owner)
        self._owner[listener.address] = owner
        return listener

    def apart(self, owner: Place) -> None:
        """Let each connection to a place be a place of its own.

        For a server whose tasks share nothing but what they name by themselves (`FootprintRecorder.write`).
        """
        self._apart.add(owner)

    def connect(self, address: Address, deadline: int | None = None, name: str = "") -> MemoryStream:
        """Open a stream, or find at any later time that nobody listens."""
        self.hub.sleep_until(self.hub.now())
        here, there = place_name(self.hub.current().group), self._owner.get(address, "")
        self._touched.write(there) if there else self._touched.mark_unknown()
        listener = self.listeners.get(address)
        if listener is None:
            raise ConnectionRefusedError(errno.ECONNREFUSED, f"nobody listens at {address[0]}:{address[1]}")
        number = self._count[here] = self._count.get(here, 0) + 1
        mine = Wire(self.hub, f"{address[0]}:{address[1]}", self._touched, here, f"{here}>{there}#{number}")
        served = f"{there}/{here}#{number}" if there in self._apart else there
        other = Wire(self.hub, name, self._touched, served, f"{there}<{here}#{number}")
        mine.other, other.other = other, mine
        self.ends += (mine, other)
        listener.arrive(other)
        return mine

    def break_all(self, place: Place) -> None:
        """The system closes what a dead process had open: what was sent still comes, then the end."""
        for address, owner in self._owner.items():
            if owner == place and (listener := self.listeners.get(address)) is not None:
                listener.close()
        for end in self.ends:
            if end.place == place:
                end.watch_end(None)
                end.close()


class Posts(MemoryDatagrams):
    """Datagrams between places; `fate` may lose or double them, and all come in any order."""

    def __init__(self, hub: Hub, touched: FootprintRecorder) -> None:
        super().__init__(hub, lambda _source, _target, _size: (0,))
        self._touched = touched

    def bind(self, address: Address, take: DatagramHandler, name: str = "") -> MemoryPort:
        """Bind an address."""
        port = super().bind(address, take, name)
        self._touched.write(f"port {port.address}")
        return port

    def carry(self, source: MemoryPort, data: bytes, address: Address) -> None:
        """Bring a datagram to whoever is bound there when it arrives."""
        self._touched.read(f"port {address}")
        super().carry(source, data, address)

    def _arrive(self, data: bytes, source: Address, address: Address) -> None:
        self._touched.read(f"port {address}")
        super()._arrive(data, source, address)

    def break_all(self, place: Place) -> None:
        """The system closes the ports of a dead process."""
        for port in list(self.ports.values()):
            if place_name(port._group) == place:
                self._touched.write(f"port {port.address}")
                port.close()


def arrival(act: Callable[[], None]) -> tuple[str, Place, str] | None:
    """Return (what, place, channel) of a timer that brings something over a network; None for others.

    What a callback refers to is read from its closure: the networks are used as they are.
    """
    code = getattr(act, "__code__", None)
    if code is None or act.__closure__ is None:
        return None
    held = dict(zip(code.co_freevars, (cell.cell_contents for cell in act.__closure__), strict=True))
    if isinstance(other := held.get("other"), Wire):
        return ("bytes arrive" if "copy" in held else "the end arrives"), other.place, other.name
    network, address = held.get("self"), held.get("address")
    if isinstance(network, Posts) and address is not None:
        port = network.ports.get(address)
        return "a datagram arrives", place_name(port._group) if port is not None else "nowhere", ""
    return None
