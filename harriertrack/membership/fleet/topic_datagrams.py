"""What heads tell each other of budgets, zones and other topics: datagrams of their own kind.

They are MessagePack behind a byte that MessagePack never uses, so that a member which knows of no budgets
counts them as garbage and passes on. Fields are only appended, as in messages.py; a writer that would be
misunderstood by an older reader raises `READS`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Annotated, Literal

import msgspec

from harriertrack.decisions.fleet.budgets import Claim, Grant, LeaseRequest, ShareUpdate, Term
from harriertrack.decisions.fleet.zones.evidence import ZoneObservation
from harriertrack.decisions.fleet.zones.zone_decision import ZoneDecision, ZoneStage
from harriertrack.membership.fleet import messages
from harriertrack.membership.fleet.messages import MAX_DATAGRAM_BYTES, MalformedDatagram, Number, Text

MARK = messages.TOPIC_MARK
VERSION = 1
READS = 1

MAX_TOPIC_BODY = 1000  # bytes of a report or ruling
MOST_REASONS = 300  # bytes of reasons in one datagram
Amount = Annotated[float, msgspec.Meta(ge=0, le=1e18)]
Zone = Annotated[str, msgspec.Meta(max_length=32)]
Budget = Annotated[str, msgspec.Meta(min_length=1, max_length=160)]


class Kind(IntEnum):
    """What a datagram says."""

    LEASE_REQUEST = 0
    GRANT = 1
    TERM = 2  # its sender keeps the ledger in this term
    VACATED = 3  # ... and does so no longer
    ZONE_OBSERVATIONS = 4  # what a head sees of zones, to who decides on them
    ZONE_DECISIONS = 5  # what that one decided
    REPORT = 6  # a head to who decides, on a topic
    RULING = 7  # who decides to all, on a topic


class _Claim(msgspec.Struct, array_like=True):
    budget: Budget
    whole: Amount
    wanted: Amount
    version: Number
    released: Amount


class _Share(msgspec.Struct, array_like=True):
    budget: Budget
    version: Number
    rate: Amount
    tokens: Amount


class _Sight(msgspec.Struct, array_like=True):
    zone: Zone
    good: Number
    bad: Number
    requests: Number
    served: Number = 0
    moved: Number = 0
    reserved: Number = 0
    wasted: Number = 0
    busy: Annotated[int, msgspec.Meta(ge=0, le=100)] = 0


class _Word(msgspec.Struct, array_like=True):
    zone: Zone
    stage: Literal["in", "out", "trying", "returning"]
    share: Amount
    turn: Number
    why: Annotated[str, msgspec.Meta(max_length=100)] = ""
    warm_us: Number = 0
    wished: bool = False
    left_us: Number = 0


class _Wire(msgspec.Struct, array_like=True):
    reads: Number
    version: Number
    fleet: Text
    kind: Kind
    ledger: Number
    epoch: Number
    nonce: Number
    holder: Text = ""
    instance: Number = 0
    tenure: Number = 0
    number: Number = 0  # of an ask; of a grant: which ask it answers
    lease_us: Number = 0
    weight: Amount = 1.0
    claims: Annotated[list[_Claim], msgspec.Meta(max_length=64)] = []
    shares: Annotated[list[_Share], msgspec.Meta(max_length=64)] = []
    sights: Annotated[list[_Sight], msgspec.Meta(max_length=64)] = []
    words: Annotated[list[_Word], msgspec.Meta(max_length=64)] = []


class _Topical(_Wire, array_like=True):
    """Reports and rulings; other datagrams are written without these fields."""

    topic: Text = ""
    body: Annotated[bytes, msgspec.Meta(max_length=MAX_TOPIC_BODY)] = b""


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Topical)


class UnsupportedVersion(MalformedDatagram):
    """A datagram of a version that this program can't read."""


class ForeignFleet(MalformedDatagram):
    """A datagram of another fleet."""


@dataclass(frozen=True, slots=True)
class ZoneObservations:
    """What a head sees of zones."""

    head: str
    observations: tuple[ZoneObservation, ...]


@dataclass(frozen=True, slots=True)
class ZoneDecisions:
    """The fleet's word on all zones that are not simply in use, and the term of who decided."""

    term: Term
    decisions: tuple[ZoneDecision, ...]


@dataclass(frozen=True, slots=True)
class Report:
    """What a head tells who decides, on a topic whose part of the program reads the body."""

    topic: str
    head: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Ruling:
    """What who decides tells all."""

    topic: str
    term: Term
    body: bytes


Message = LeaseRequest | Grant | ZoneObservations | ZoneDecisions | Report | Ruling | tuple[Kind, int, Term]


def encode(fleet: str, said: Message) -> bytes:
    """Write a datagram: an ask, a grant, or (TERM or VACATED, ledger, term)."""
    match said:
        case LeaseRequest():
            wire = _Wire(
                READS, VERSION, fleet, Kind.LEASE_REQUEST, said.ledger, said.term.epoch, said.term.nonce,
                said.holder, said.instance, said.tenure, said.sequence, said.lease_us, said.weight,
                [
                    _Claim(one.budget, one.movable, one.demand, one.version, one.released)
                    for one in said.claims
                ],
            )  # fmt: skip
        case Grant():
            wire = _Wire(
                READS, VERSION, fleet, Kind.GRANT, said.ledger, said.term.epoch, said.term.nonce, said.holder,
                said.instance, said.tenure, said.in_reply_to, said.lease_us, 1.0, [],
                [_Share(one.budget, one.version, one.rate, one.tokens) for one in said.shares],
            )  # fmt: skip
        case ZoneObservations():
            observations = [
                _Sight(one.zone, one.responding, one.silent, one.requests, one.served, one.movable,
                       one.reserved, one.wasted, one.busy)
                for one in said.observations
            ]  # fmt: skip
            wire = _Wire(
                READS, VERSION, fleet, Kind.ZONE_OBSERVATIONS, 0, 0, 0, said.head, sights=observations
            )
        case ZoneDecisions():
            # Reasons are for people: where there are many words, they give way to the words.
            room = MOST_REASONS // max(1, len(said.decisions)) if len(said.decisions) <= 8 else 0
            decisions = [
                _Word(
                    one.zone,
                    one.stage.value,
                    one.share,
                    one.trial_round,
                    one.reason[: min(100, room)],
                    one.warm_us,
                    one.by_operator,
                    one.left_us,
                )
                for one in said.decisions
            ]
            wire = _Wire(
                READS,
                VERSION,
                fleet,
                Kind.ZONE_DECISIONS,
                0,
                said.term.epoch,
                said.term.nonce,
                words=decisions,
            )
        case Report():
            wire = _Topical(READS, VERSION, fleet, Kind.REPORT, 0, 0, 0, said.head, topic=said.topic,
                            body=said.body)  # fmt: skip
        case Ruling():
            wire = _Topical(READS, VERSION, fleet, Kind.RULING, 0, said.term.epoch, said.term.nonce,
                            topic=said.topic, body=said.body)  # fmt: skip
        case (kind, ledger, term):
            wire = _Wire(READS, VERSION, fleet, kind, ledger, term.epoch, term.nonce)
    return MARK + _ENCODER.encode(wire)


def decode(fleet: str, data: bytes) -> Message:
    """Read a datagram. Raises MalformedDatagram, ForeignFleet, UnsupportedVersion."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise MalformedDatagram("too long")
    try:
        wire = _DECODER.decode(memoryview(data)[len(MARK) :])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedDatagram(str(error)) from error
    if wire.fleet != fleet:
        raise ForeignFleet(wire.fleet)
    if wire.reads > VERSION:
        raise UnsupportedVersion(str(wire.reads))
    term = Term(wire.epoch, wire.nonce)
    if wire.kind is Kind.LEASE_REQUEST:
        claims = tuple(Claim(*msgspec.structs.astuple(one)) for one in wire.claims)
        return LeaseRequest(wire.ledger, term, wire.holder, wire.instance, wire.tenure, wire.number,
                            wire.lease_us, wire.weight, claims)  # fmt: skip
    if wire.kind is Kind.GRANT:
        shares = tuple(ShareUpdate(*msgspec.structs.astuple(one)) for one in wire.shares)
        return Grant(wire.ledger, term, wire.holder, wire.instance, wire.tenure, wire.number, wire.lease_us,
                     shares)  # fmt: skip
    if wire.kind is Kind.ZONE_OBSERVATIONS:
        return ZoneObservations(
            wire.holder, tuple(ZoneObservation(*msgspec.structs.astuple(one)) for one in wire.sights)
        )
    if wire.kind is Kind.ZONE_DECISIONS:
        words = (
            ZoneDecision(zone, ZoneStage(stage), *rest)
            for zone, stage, *rest in (msgspec.structs.astuple(one) for one in wire.words)
        )
        return ZoneDecisions(term, tuple(words))
    if wire.kind is Kind.REPORT:
        return Report(wire.topic, wire.holder, wire.body)
    if wire.kind is Kind.RULING:
        return Ruling(wire.topic, term, wire.body)
    return wire.kind, wire.ledger, term
