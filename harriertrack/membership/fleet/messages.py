"""Datagrams between the members of a fleet, in MessagePack.

A datagram carries a request or a reply, with as many piggybacked records and notes as fit. Other functions of
the fleet add notes rather than new datagrams. Fields are only appended: a reader ignores unknown fields and
uses defaults for missing ones, so that two versions can run side by side. A writer whose datagrams an older
reader would misunderstand raises `READS`, and the older reader drops them.

Nothing is signed: any host that can send to a member's address can forge datagrams (docs/operators/fleet.md).
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec

TOPIC_MARK = b"\xc1"  # first byte of the datagrams of topic_datagrams.py; MessagePack never uses it
VERSION = 1  # written by this program
READS = 1  # the oldest version that can read them
MAX_DATAGRAM_BYTES = 1200  # small enough to pass any link unfragmented
MAX_NOTE = 256  # bytes of a note
MAX_TOPICS = 24  # topic notes of one member
MAX_NOTE_BYTES_PER_DATAGRAM = 400  # updates have precedence, and the traffic stays even
BUCKETS = 32  # of a view's summary

Text = Annotated[str, msgspec.Meta(max_length=64)]
Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
PortNumber = Annotated[int, msgspec.Meta(ge=0, le=65535)]
Address = tuple[str, int]


class State(IntEnum):
    """A member's state. Of two records of one incarnation, the one with the greater state is valid."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Kind(IntEnum):
    """The purpose of a datagram."""

    PING = 0  # answered by `target` with ACK
    PING_REQ = 1  # requests an indirect ping of `target` at `host`, `port`; answered by ACK or NACK
    ACK = 2  # `target` answered
    NACK = 3  # from a helper: `target` did not answer it
    GOSSIP = 4  # updates only
    SYNC = 5  # summary of the sender's view: requests what differs
    STATE = 6  # records that differ; with a summary it requests those that the sender lacks


class ProcessInstance(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A process of a member: its start (ms since 1970, raised where needed) and a random number."""

    started: Number
    instance: Number


class Record(msgspec.Struct, frozen=True, array_like=True):
    """A member's state in a process instance and incarnation; `by` names the reporter, if another member."""

    name: Text
    started: Number
    instance: Number
    incarnation: Number
    state: State
    host: Text
    port: PortNumber
    region: Text = ""
    zone: Text = ""
    cell: Text = ""
    by: Text = ""

    @property
    def process(self) -> ProcessInstance:
        """Return the process instance that the record is about."""
        return ProcessInstance(self.started, self.instance)

    @property
    def address(self) -> Address:
        """Return the member's address."""
        return self.host, self.port

    @property
    def precedence(self) -> tuple[int, int, int, int]:
        """Return the key that orders records of one member: the greatest is the newest. A total order."""
        return self.started, self.instance, self.incarnation, self.state

    @property
    def present(self) -> bool:
        """Whether the member counts as present: a suspect does, until it is declared dead."""
        return self.state <= State.SUSPECT


class Note(msgspec.Struct, frozen=True, array_like=True):
    """A versioned payload that a member publishes about itself; the newest is valid."""

    name: Text
    started: Number
    instance: Number
    version: Number
    payload: Annotated[bytes, msgspec.Meta(max_length=MAX_NOTE)]

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Return the key that orders notes of one member: the greatest is the newest."""
        return self.started, self.instance, self.version


class TopicNote(msgspec.Struct, frozen=True, array_like=True):
    """A member's note on a topic; of each topic the newest is valid."""

    name: Text
    started: Number
    instance: Number
    version: Number
    payload: Annotated[bytes, msgspec.Meta(max_length=MAX_NOTE)]
    topic: Annotated[str, msgspec.Meta(min_length=1, max_length=32)]

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Return the key that orders notes of one member and topic: the greatest is the newest."""
        return self.started, self.instance, self.version

    @property
    def key(self) -> str:
        """Return the key in the dissemination queue, where a newer note replaces an older one."""
        return f"{self.name}\0{self.topic}"


class Datagram(msgspec.Struct, frozen=True, array_like=True):
    """A datagram as it is decoded."""

    reads: Number
    version: Number
    fleet: Text
    kind: Kind
    sender: Text  # "" for an observer that is not a member
    started: Number
    instance: Number
    number: Number  # matches a reply to its request
    digest: Number  # of the present members in the sender's view
    target: Text = ""
    host: Text = ""
    port: PortNumber = 0
    summary: Annotated[tuple[Number, ...], msgspec.Meta(max_length=BUCKETS)] = ()
    records: Annotated[list[Record], msgspec.Meta(max_length=64)] = []
    notes: Annotated[list[Note], msgspec.Meta(max_length=64)] = []
    topics: Annotated[list[TopicNote], msgspec.Meta(max_length=64)] = []  # a separate list,
    # which older readers ignore: among `notes` they would read a topic note as the member's own


class _Written(msgspec.Struct, array_like=True):
    """A datagram to encode, whose records and notes are encoded already."""

    reads: int
    version: int
    fleet: str
    kind: Kind
    sender: str
    started: int
    instance: int
    number: int
    digest: int
    target: str
    host: str
    port: int
    summary: tuple[int, ...]
    records: list[msgspec.Raw]
    notes: list[msgspec.Raw]


class _WrittenWithTopics(_Written, array_like=True):
    """The same with topic notes; a datagram without any is written as `_Written`, and costs no byte more."""

    topics: list[msgspec.Raw]


class MalformedDatagram(ValueError):
    """Bytes that are not a datagram of this protocol."""


_DECODER = msgspec.msgpack.Decoder(Datagram)
_ENCODER = msgspec.msgpack.Encoder()


def encode_item(item: Record | Note | TopicNote) -> bytes:
    """Encode a record or note once, for many datagrams."""
    return _ENCODER.encode(item)


def decode(data: bytes) -> Datagram:
    """Decode a datagram. Raises MalformedDatagram."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise MalformedDatagram(f"datagram of {len(data)} bytes is larger than {MAX_DATAGRAM_BYTES}")
    try:
        return _DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedDatagram(str(error)) from error


class Draft:
    """A datagram to which items are added until it is full."""

    def __init__(self, fleet: str, kind: Kind, sender: str, life: ProcessInstance, number: int, digest: int,
                 target: str = "", address: Address = ("", 0),
                 summary: tuple[int, ...] = ()) -> None:  # fmt: skip
        self._written = _Written(
            READS, VERSION, fleet, kind, sender, life.started, life.instance, number, digest, target,
            address[0], address[1], summary, [], [],
        )  # fmt: skip
        # Lists of more than 15 elements take two bytes more each.
        self._free = MAX_DATAGRAM_BYTES - len(_ENCODER.encode(self._written)) - 4
        self._notes_free = MAX_NOTE_BYTES_PER_DATAGRAM
        self._topics: list[msgspec.Raw] = []

    def add(self, record: bytes) -> bool:
        """Add an encoded record; return whether it fit."""
        if len(record) > self._free or len(self._written.records) >= 64:
            return False
        self._free -= len(record)
        self._written.records.append(msgspec.Raw(record))
        return True

    def add_note(self, note: bytes) -> bool:
        """Add an encoded note; return whether it fit."""
        if len(note) > min(self._free, self._notes_free) or len(self._written.notes) >= 64:
            return False
        self._free -= len(note)
        self._notes_free -= len(note)
        self._written.notes.append(msgspec.Raw(note))
        return True

    def add_topic(self, note: bytes) -> bool:
        """Add an encoded topic note, within the byte limit of all notes; return whether it fit."""
        overhead = 0 if self._topics else 3  # the list's header
        if len(note) + overhead > min(self._free, self._notes_free) or len(self._topics) >= 64:
            return False
        self._free -= len(note) + overhead
        self._notes_free -= len(note) + overhead
        self._topics.append(msgspec.Raw(note))
        return True

    def pack(self) -> bytes:
        """Encode the datagram."""
        if not self._topics:
            return _ENCODER.encode(self._written)
        fields = {name: getattr(self._written, name) for name in _Written.__struct_fields__}
        return _ENCODER.encode(_WrittenWithTopics(**fields, topics=self._topics))
