"""Datagrams between heads on budgets, zones and other topics.

They are MessagePack after a byte that MessagePack never uses, so that a member without support for budgets
counts them as garbage and continues. Fields are only appended, as in messages.py; a writer whose datagrams an
older reader would misunderstand raises `READS`.
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
MAX_REASONS = 300  # bytes of reasons in one datagram
Amount = Annotated[float, msgspec.Meta(ge=0, le=1e18)]
Zone = Annotated[str, msgspec.Meta(max_length=32)]
Budget = Annotated[str, msgspec.Meta(min_length=1, max_length=160)]


class Kind(IntEnum):
    """The content of a datagram."""

    LEASE_REQUEST = 0
    GRANT = 1
    TERM = 2  # its sender holds the ledger in this term
    VACATED = 3  # ... and holds it no longer
    ZONE_OBSERVATIONS = 4  # from a head to the zone decider
    ZONE_DECISIONS = 5  # from the zone decider
    REPORT = 6  # from a head to a topic's decider
    RULING = 7  # from a topic's decider to all heads


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


class _Observation(msgspec.Struct, array_like=True):
    zone: Zone
    good: Number
    bad: Number
    requests: Number
    served: Number = 0
    moved: Number = 0
    reserved: Number = 0
    wasted: Number = 0
    busy: Annotated[int, msgspec.Meta(ge=0, le=100)] = 0


class _Decision(msgspec.Struct, array_like=True):
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
    number: Number = 0  # of a lease request; in a grant: of the request that it answers
    lease_us: Number = 0
    weight: Amount = 1.0
    claims: Annotated[list[_Claim], msgspec.Meta(max_length=64)] = []
    shares: Annotated[list[_Share], msgspec.Meta(max_length=64)] = []
    sights: Annotated[list[_Observation], msgspec.Meta(max_length=64)] = []
    words: Annotated[list[_Decision], msgspec.Meta(max_length=64)] = []


class _Topical(_Wire, array_like=True):
    """Reports and rulings; other datagrams are encoded without these fields."""

    topic: Text = ""
    body: Annotated[bytes, msgspec.Meta(max_length=MAX_TOPIC_BODY)] = b""


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Topical)


class UnsupportedVersion(MalformedDatagram):
    """A datagram of a version that this program does not support."""


class ForeignFleet(MalformedDatagram):
    """A datagram of another fleet."""


@dataclass(frozen=True, slots=True)
class ZoneObservations:
    """A head's observations of zones."""

    head: str
    observations: tuple[ZoneObservation, ...]


@dataclass(frozen=True, slots=True)
class ZoneDecisions:
    """The decisions on all zones that are not in normal use, and the decider's term."""

    term: Term
    decisions: tuple[ZoneDecision, ...]


@dataclass(frozen=True, slots=True)
class Report:
    """A head's report to the decider of a topic; the body is opaque here."""

    topic: str
    head: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Ruling:
    """A topic decider's message to all heads."""

    topic: str
    term: Term
    body: bytes


Message = LeaseRequest | Grant | ZoneObservations | ZoneDecisions | Report | Ruling | tuple[Kind, int, Term]


def encode(fleet: str, message: Message) -> bytes:
    """Encode a message; a tuple is (TERM or VACATED, ledger, term)."""
    match message:
        case LeaseRequest():
            wire = _Wire(
                READS, VERSION, fleet, Kind.LEASE_REQUEST, message.ledger, message.term.epoch,
                message.term.nonce, message.holder, message.instance, message.tenure, message.sequence,
                message.lease_us, message.weight,
                [
                    _Claim(one.budget, one.movable, one.demand, one.version, one.released)
                    for one in message.claims
                ],
            )  # fmt: skip
        case Grant():
            wire = _Wire(
                READS, VERSION, fleet, Kind.GRANT, message.ledger, message.term.epoch, message.term.nonce,
                message.holder, message.instance, message.tenure, message.in_reply_to, message.lease_us, 1.0,
                [],
                [_Share(one.budget, one.version, one.rate, one.tokens) for one in message.shares],
            )  # fmt: skip
        case ZoneObservations():
            observations = [
                _Observation(one.zone, one.responding, one.silent, one.requests, one.served, one.movable,
                       one.reserved, one.wasted, one.busy)
                for one in message.observations
            ]  # fmt: skip
            wire = _Wire(
                READS, VERSION, fleet, Kind.ZONE_OBSERVATIONS, 0, 0, 0, message.head, sights=observations
            )
        case ZoneDecisions():
            # Reasons are for operators only: with many decisions they are shortened or left out, so that
            # the decisions fit.
            reason_limit = MAX_REASONS // max(1, len(message.decisions)) if len(message.decisions) <= 8 else 0
            decisions = [
                _Decision(
                    one.zone,
                    one.stage.value,
                    one.share,
                    one.trial_round,
                    one.reason[: min(100, reason_limit)],
                    one.warm_us,
                    one.by_operator,
                    one.left_us,
                )
                for one in message.decisions
            ]
            wire = _Wire(
                READS,
                VERSION,
                fleet,
                Kind.ZONE_DECISIONS,
                0,
                message.term.epoch,
                message.term.nonce,
                words=decisions,
            )
        case Report():
            wire = _Topical(READS, VERSION, fleet, Kind.REPORT, 0, 0, 0, message.head, topic=message.topic,
                            body=message.body)  # fmt: skip
        case Ruling():
            wire = _Topical(READS, VERSION, fleet, Kind.RULING, 0, message.term.epoch, message.term.nonce,
                            topic=message.topic, body=message.body)  # fmt: skip
        case (kind, ledger, term):
            wire = _Wire(READS, VERSION, fleet, kind, ledger, term.epoch, term.nonce)
    return MARK + _ENCODER.encode(wire)


def decode(fleet: str, data: bytes) -> Message:
    """Decode a datagram. Raises MalformedDatagram, ForeignFleet, UnsupportedVersion."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise MalformedDatagram(f"datagram of {len(data)} bytes is larger than {MAX_DATAGRAM_BYTES}")
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
