"""What a later version of the program would send: the same datagrams with a version more and fields appended.

For rehearsals of an upgrade in service, with heads of both versions side by side: the present program reads
these, and its own have no such fields for a later one to rely on.
"""

from __future__ import annotations

import msgspec

from harriertrack.membership.fleet.messages import MAX_DATAGRAM_BYTES
from harriertrack.membership.fleet.topic_datagrams import MARK
from harriertrack.runtime.datagrams import Address, DatagramHandler, DatagramNetwork, DatagramPort

MORE = ["later", 1]  # appended to everything that is a list of fields
LISTS = (13, 14)  # fields that are lists of such: records and notes, or claims and shares
TOPICS = 15  # the same of the view, though it may be left out
SHORT, REST = 17, ["", b""]  # what is of no topic is written without these two; a later field follows them


def as_later_version(data: bytes) -> bytes:
    """Return a datagram as a later version would write it; unchanged if it would not fit any more."""
    mark = data[:1] == MARK
    fields = msgspec.msgpack.decode(data[1:] if mark else data)
    fields[1] += 1
    for at in LISTS:
        fields[at] = [[*one, *MORE] for one in fields[at]]
    if mark and len(fields) == SHORT:
        fields += REST
    if not mark:
        fields[TOPICS:] = [[[*one, *MORE] for one in (fields[TOPICS] if len(fields) > TOPICS else [])]]
    written = (MARK if mark else b"") + msgspec.msgpack.encode([*fields, *MORE])
    return written if len(written) <= MAX_DATAGRAM_BYTES else data


class LaterPort:
    """A port whose datagrams are a later version's."""

    def __init__(self, port: DatagramPort) -> None:
        self._port, self.address, self.dropped = port, port.address, 0

    def send(self, data: bytes, address: Address) -> None:
        """Send a datagram; if that can't be done at once it is lost."""
        self._port.send(as_later_version(data), address)

    def close(self) -> None:
        """Take and send no more."""
        self._port.close()


class LaterDatagrams:
    """A network over which this process speaks as a later version."""

    def __init__(self, network: DatagramNetwork) -> None:
        self._network = network

    def bind(self, address: Address, take: DatagramHandler, name: str = "") -> DatagramPort:
        """Bind an address; `take` is called with each datagram and its source. Raises OSError."""
        return LaterPort(self._network.bind(address, take, name))
