"""Datagrams as a later program version would send them: with a higher version number and appended fields.

Used to rehearse an upgrade in service, with heads of both versions: the present program must read
these datagrams, and its own lack the appended fields, so a later version can't rely on them.
"""

from __future__ import annotations

import msgspec

from harriertrack.membership.fleet.messages import MAX_DATAGRAM_BYTES
from harriertrack.membership.fleet.topic_datagrams import MARK
from harriertrack.runtime.datagrams import Address, DatagramHandler, DatagramNetwork, DatagramPort

EXTRA_FIELDS = ["later", 1]  # appended to every list of fields
LIST_FIELDS = (13, 14)  # fields that hold such lists: records and notes, or claims and shares
TOPICS = 15  # the field of a view's datagram that holds such lists too, but may be omitted
# Datagrams that belong to no topic omit the last two fields; they must be present before a later field.
LENGTH_WITHOUT_TOPIC, EMPTY_TOPIC_FIELDS = 17, ["", b""]


def as_later_version(data: bytes) -> bytes:
    """Return a datagram as a later version would encode it; unchanged if the result would be too large."""
    has_mark = data[:1] == MARK
    fields = msgspec.msgpack.decode(data[1:] if has_mark else data)
    fields[1] += 1
    for index in LIST_FIELDS:
        fields[index] = [[*entry, *EXTRA_FIELDS] for entry in fields[index]]
    if has_mark and len(fields) == LENGTH_WITHOUT_TOPIC:
        fields += EMPTY_TOPIC_FIELDS
    if not has_mark:
        fields[TOPICS:] = [
            [[*entry, *EXTRA_FIELDS] for entry in (fields[TOPICS] if len(fields) > TOPICS else [])]
        ]
    encoded = (MARK if has_mark else b"") + msgspec.msgpack.encode([*fields, *EXTRA_FIELDS])
    return encoded if len(encoded) <= MAX_DATAGRAM_BYTES else data


class LaterPort:
    """A port that sends datagrams as a later version would."""

    def __init__(self, port: DatagramPort) -> None:
        self._port, self.address, self.dropped = port, port.address, 0

    def send(self, data: bytes, address: Address) -> None:
        """Send a datagram; it is lost if the socket can't send at once."""
        self._port.send(as_later_version(data), address)

    def close(self) -> None:
        """Stop receiving and sending."""
        self._port.close()


class LaterDatagrams:
    """A network over which this process sends datagrams as a later version would."""

    def __init__(self, network: DatagramNetwork) -> None:
        self._network = network

    def bind(self, address: Address, take: DatagramHandler, name: str = "") -> DatagramPort:
        """Bind an address; `take` is called with each datagram and its source address. Raises OSError."""
        return LaterPort(self._network.bind(address, take, name))
