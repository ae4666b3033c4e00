"""What members of a fleet tell each other: one kind of datagram, in MessagePack.

A datagram carries a question or an answer, and with it news of members and their notes as far as there is
room. Later parts of the fleet add notes, not datagrams. Fields are only ever appended: a reader passes over
what it does not know and takes the default of what is missing, so that two versions run side by side. A
writer whose datagrams an older reader would misunderstand raises `READS`, and the older one drops them.

Nothing is signed: whoever can send to a member's address can say anything (docs/operators/fleet.md).
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec

TOPIC_MARK = (
    b"\xc1"  # what other datagrams begin with at this address (topic_datagrams.py); MessagePack never uses it
)
VERSION = 1  # what this program writes
READS = 1  # the oldest version that understands it
MAX_DATAGRAM_BYTES = 1200  # of one datagram: passes any link unfragmented
MAX_NOTE = 256  # bytes of one member's note
MAX_TOPICS = 24  # notes of one member beside the one on itself
MAX_NOTE_BYTES_PER_DATAGRAM = (
    400  # bytes of notes that ride on one datagram: news goes first, and traffic stays even
)
BUCKETS = 32  # of a view's summary

Text = Annotated[str, msgspec.Meta(max_length=64)]
Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
PortNumber = Annotated[int, msgspec.Meta(ge=0, le=65535)]
Address = tuple[str, int]


class State(IntEnum):
    """What is held of a member. Of two words on one incarnation the greater one holds."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Kind(IntEnum):
    """What a datagram is for."""

    PING = 0  # is `target` there? answered by ACK
    PING_REQ = 1  # ask `target` at `host`, `port` for me; answered by ACK, or by NACK if it does not answer
    ACK = 2  # `target` is there
    NACK = 3  # I am there, `target` did not answer me
    GOSSIP = 4  # news alone
    SYNC = 5  # my view's summary: send me what differs
    STATE = 6  # news that you lack; a summary with it asks for what I lack


class ProcessInstance(msgspec.Struct, frozen=True, array_like=True, order=True):
    """One life of a process: when it started (ms since 1970, raised where needed), and a random number."""

    started: Number
    instance: Number


class Record(msgspec.Struct, frozen=True, array_like=True):
    """A word on a member: in which life and incarnation, what is held of it, and by whom if not by itself."""

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
        """Return which life it is about."""
        return ProcessInstance(self.started, self.instance)

    @property
    def address(self) -> Address:
        """Return where the member is reached."""
        return self.host, self.port

    @property
    def precedence(self) -> tuple[int, int, int, int]:
        """Return the key by which of two words on one member the newer is told. It is a total order."""
        return self.started, self.instance, self.incarnation, self.state

    @property
    def present(self) -> bool:
        """Whether the member counts as there: until it is held dead, a suspect does."""
        return self.state <= State.SUSPECT


class Note(msgspec.Struct, frozen=True, array_like=True):
    """What a member says of itself, for other parts of the program: bytes, numbered; the newest holds."""

    name: Text
    started: Number
    instance: Number
    version: Number
    payload: Annotated[bytes, msgspec.Meta(max_length=MAX_NOTE)]

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Return the key by which of two notes of one member the newer is told."""
        return self.started, self.instance, self.version


class TopicNote(msgspec.Struct, frozen=True, array_like=True):
    """One of a member's further notes: of each topic the newest holds."""

    name: Text
    started: Number
    instance: Number
    version: Number
    payload: Annotated[bytes, msgspec.Meta(max_length=MAX_NOTE)]
    topic: Annotated[str, msgspec.Meta(min_length=1, max_length=32)]

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Return the key by which of two notes of one member and topic the newer is told."""
        return self.started, self.instance, self.version

    @property
    def key(self) -> str:
        """Return by what it is passed on: a newer one takes its place."""
        return f"{self.name}\0{self.topic}"


class Datagram(msgspec.Struct, frozen=True, array_like=True):
    """One datagram as it is read."""

    reads: Number
    version: Number
    fleet: Text
    kind: Kind
    sender: Text  # "" for somebody who looks on and is no member
    started: Number
    instance: Number
    number: Number  # joins an answer to its question
    digest: Number  # who the sender holds to be there
    target: Text = ""
    host: Text = ""
    port: PortNumber = 0
    summary: Annotated[tuple[Number, ...], msgspec.Meta(max_length=BUCKETS)] = ()
    records: Annotated[list[Record], msgspec.Meta(max_length=64)] = []
    notes: Annotated[list[Note], msgspec.Meta(max_length=64)] = []
    topics: Annotated[list[TopicNote], msgspec.Meta(max_length=64)] = []  # a list of its own: older readers
    # pass over it, and would take one among the notes for the one on the member itself


class _Written(msgspec.Struct, array_like=True):
    """The same with records and notes that are bytes already."""

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


class _Further(_Written, array_like=True):
    """... and with notes by topic; without any not a byte tells of them."""

    topics: list[msgspec.Raw]


class MalformedDatagram(ValueError):
    """Bytes that are no datagram of this protocol."""


_DECODER = msgspec.msgpack.Decoder(Datagram)
_ENCODER = msgspec.msgpack.Encoder()


def encode_item(one: Record | Note | TopicNote) -> bytes:
    """Return a record's or note's bytes, to be put into many datagrams."""
    return _ENCODER.encode(one)


def decode(data: bytes) -> Datagram:
    """Read a datagram. Raises MalformedDatagram."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise MalformedDatagram("too long")
    try:
        return _DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedDatagram(str(error)) from error


class Draft:
    """A datagram that is being filled as far as it has room."""

    def __init__(self, fleet: str, kind: Kind, sender: str, life: ProcessInstance, number: int, digest: int,
                 target: str = "", address: Address = ("", 0),
                 summary: tuple[int, ...] = ()) -> None:  # fmt: skip
        self._written = _Written(
            READS, VERSION, fleet, kind, sender, life.started, life.instance, number, digest, target,
            address[0], address[1], summary, [], [],
        )  # fmt: skip
        # Lists of more than 15 elements take two bytes more each.
        self._left = MAX_DATAGRAM_BYTES - len(_ENCODER.encode(self._written)) - 4
        self._notes_left = MAX_NOTE_BYTES_PER_DATAGRAM
        self._topics: list[msgspec.Raw] = []

    def add(self, record: bytes) -> bool:
        """Add a packed record; return whether it had room."""
        if len(record) > self._left or len(self._written.records) >= 64:
            return False
        self._left -= len(record)
        self._written.records.append(msgspec.Raw(record))
        return True

    def add_note(self, note: bytes) -> bool:
        """Add a packed note; return whether it had room."""
        if len(note) > min(self._left, self._notes_left) or len(self._written.notes) >= 64:
            return False
        self._left -= len(note)
        self._notes_left -= len(note)
        self._written.notes.append(msgspec.Raw(note))
        return True

    def add_topic(self, note: bytes) -> bool:
        """Add a packed note by topic, in the same room as notes; return whether it had room."""
        begins = 0 if self._topics else 3  # the list itself
        if len(note) + begins > min(self._left, self._notes_left) or len(self._topics) >= 64:
            return False
        self._left -= len(note) + begins
        self._notes_left -= len(note) + begins
        self._topics.append(msgspec.Raw(note))
        return True

    def pack(self) -> bytes:
        """Return the datagram's bytes."""
        if not self._topics:
            return _ENCODER.encode(self._written)
        fields = {name: getattr(self._written, name) for name in _Written.__struct_fields__}
        return _ENCODER.encode(_Further(**fields, topics=self._topics))
