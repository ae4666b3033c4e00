"""Datagrams over sockets, or in memory in simulated time. Sending never waits, and may fail silently."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable
from typing import Protocol

from harriertrack.runtime.hub import READ, FdHandler, Hub
from harriertrack.runtime.streams import close_socket

MOST_BYTES = 2048  # read of one datagram; longer ones are truncated
MOST_AT_ONCE = 64  # datagrams read in one round, so that the loop serves other descriptors in between
MOST_WAITING = 256  # datagrams that a port in memory holds while its task is frozen; more are dropped

Address = tuple[str, int]
DatagramHandler = Callable[[bytes, Address], None]


class DatagramPort(Protocol):
    """A bound address."""

    address: Address
    dropped: int  # datagrams that could not be sent: full buffer or no route

    def send(self, data: bytes, address: Address) -> None:
        """Send a datagram; if that can't be done at once it is lost."""

    def close(self) -> None:
        """Stop receiving and sending."""


class DatagramNetwork(Protocol):
    """Creates ports: by sockets, or in memory in simulated time."""

    def bind(self, address: Address, take: DatagramHandler, name: str = "") -> DatagramPort:
        """Bind an address; `take` is called with each datagram and its source. Raises OSError."""


class SocketPort:
    """A bound UDP socket."""

    def __init__(self, hub: Hub, address: Address, take: DatagramHandler) -> None:
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._hub, self._take, self.dropped = hub, take, 0
        self._sock = socket.socket(family, socket.SOCK_DGRAM)
        try:
            self._sock.setblocking(False)
            self._sock.bind(address)
        except OSError:
            close_socket(self._sock)
            raise
        self.address: Address = self._sock.getsockname()[:2]
        self._closed = False
        self._handler = FdHandler(self._sock.fileno(), READ, self._on_events)
        hub.add_handler(self._handler)

    def _on_events(self, _events: int) -> None:
        for _ in range(MOST_AT_ONCE):
            if self._closed:
                return
            try:
                data, source = self._sock.recvfrom(MOST_BYTES)
            except BlockingIOError:
                return
            except OSError:  # the error of an earlier send
                continue
            self._take(data, source[:2])

    def send(self, data: bytes, address: Address) -> None:
        """Send a datagram; if that can't be done at once it is lost."""
        try:
            self._sock.sendto(data, address)
        except OSError:
            self.dropped += 1

    def close(self) -> None:
        """Stop receiving and sending."""
        if not self._closed:
            self._closed = True
            self._hub.remove_handler(self._handler)
            close_socket(self._sock)


class SocketDatagrams:
    """UDP on this machine."""

    def __init__(self, hub: Hub) -> None:
        self._hub = hub

    def bind(self, address: Address, take: DatagramHandler, name: str = "") -> SocketPort:
        """Bind an address; `take` is called with each datagram and its source. Raises OSError."""
        return SocketPort(self._hub, address, take)


class MemoryPort:
    """A port of a `MemoryDatagrams`."""

    def __init__(self, network: MemoryDatagrams, address: Address, take: DatagramHandler, name: str) -> None:
        self._network, self.address, self.name, self.dropped = network, address, name, 0
        self._take, self._waiting = take, 0
        self._group = network.hub.current().group  # frozen together with the task that bound it

    def send(self, data: bytes, address: Address) -> None:
        """Send a datagram; if that can't be done at once it is lost."""
        self._network.carry(self, data, address)

    def arrive(self, data: bytes, source: Address) -> None:
        """Accept a datagram from the network into the port's buffer."""
        if self._waiting >= MOST_WAITING:
            return
        self._waiting += 1

        def read() -> None:
            self._waiting -= 1
            if self._network.ports.get(self.address) is self:
                self._take(data, source)

        self._network.hub.at_for(self._group, self._network.hub.now(), read)

    def close(self) -> None:
        """Stop receiving and sending."""
        if self._network.ports.get(self.address) is self:
            del self._network.ports[self.address]


class MemoryDatagrams:
    """Datagrams in memory in simulated time.

    `fate` returns, by the names of both ends and the size of a datagram, the delays in microseconds after
    which it arrives: none, one, or several.
    """

    def __init__(self, hub: Hub, fate: Callable[[str, str, int], Iterable[int]] | None = None) -> None:
        self.hub = hub
        self.ports: dict[Address, MemoryPort] = {}
        self._fate = fate or (lambda _source, _target, _size: (100,))
        self._number = 30_000
        # Called for each datagram when it is sent and when it arrives: name of that end, data, is arrival.
        self.tap: Callable[[str, bytes, bool], None] = lambda _name, _data, _arrives: None

    def bind(self, address: Address, take: DatagramHandler, name: str = "") -> MemoryPort:
        """Bind an address; `take` is called with each datagram and its source. Raises OSError."""
        if address[1] == 0:
            self._number += 1
            address = (address[0], self._number)
        if address in self.ports:
            raise OSError(f"{address[0]}:{address[1]} is taken")
        port = self.ports[address] = MemoryPort(self, address, take, name)
        return port

    def carry(self, source: MemoryPort, data: bytes, address: Address) -> None:
        """Deliver a datagram to the port bound at the address when it arrives."""
        target = self.ports.get(address)
        source_address, now = source.address, self.hub.now()
        self.tap(source.name, data, False)
        for after_us in self._fate(source.name, target.name if target is not None else "", len(data)):
            self.hub.at_outside(now + after_us, lambda: self._arrive(data, source_address, address))

    def _arrive(self, data: bytes, source: Address, address: Address) -> None:
        port = self.ports.get(address)
        if port is not None:
            self.tap(port.name, data, True)
            port.arrive(data, source)
