"""Client requests, the parts they are split into, and the attempts of each part."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from harriertrack.decisions.interface import NodeEntry
from harriertrack.decisions.lifecycle import AttemptState, PartState
from harriertrack.decisions.requests.inputs import ListedNode, VolumeFacts
from harriertrack.decisions.requests.rules import MODIFYING_KINDS, ClientPlacement
from harriertrack.decisions.retry_queue import LaneKey
from harriertrack.decisions.splitting import Kind, Outcome


@dataclass(slots=True, eq=False)
class Volume:
    """An export, and which of its shards have writes not yet covered by a flush."""

    settings: VolumeFacts
    dirty: dict[int, int] = field(default_factory=dict)  # shard: number of its latest write


class Origin(Enum):
    """The source of a request: a client, or the other region's head, which relays a client's request (RELAY)
    or copies a write of its own (COPY)."""

    CLIENT = "client"
    RELAY = "relay"
    COPY = "copy"


class Requester(Protocol):
    """Receives the answer to a request."""

    def answer(self, request: ClientRequest) -> None:
        """Receive the one final answer."""


class _NoRequester:
    """The requester of the head's internal requests; discards the answer."""

    def answer(self, request: ClientRequest) -> None:
        """Receive the one final answer."""


NO_REQUESTER = _NoRequester()


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A request of a client, or an internal one of the head.

    `requester` belongs to the front; offsets and lengths are bytes, times microseconds.
    """

    volume: Volume
    kind: Kind
    offset: int
    length: int
    data: bytes
    flags: int
    requester: Requester
    deadline: int = 0  # 0: given by its class
    arrived_at: int = 0  # the earliest time at which it may have arrived; 0: now
    patience_us: int = 0  # how long its client waits for resubmission after a refusal; 0: not at all
    background: bool = False  # belongs to the class for catching up
    hint_us: int = 0
    parts: list[Part] = field(default_factory=list)
    pieces: list[bytes | int | Part] = field(default_factory=list)  # of a read, in order; numbers are holes
    open_parts: int = 0  # parts without a final state
    outcome: Outcome | None = None
    reason: str = ""  # details of a refusal or failure, if any
    origin: Origin = Origin.CLIENT
    epoch: int = 0  # of a copy: the epoch of the volume's holder
    moving: bool = False  # internal, for an extent that the head holds; such a write places the extent again
    trim_shard: int = -1  # of a trim after a move: the extent's previous shard
    tick: int = 0  # of the other head's request: the newest of our ticks that it had received
    reader: object = None  # the connection over which the other head reads this for its copy
    generation: int = 0  # of such a read: the generation of the bytes that the other head has

    def release(self) -> None:
        """Let go of all bytes, once the request is over and its requester has no more use for the answer.

        An attempt that can't be called off keeps the request. Parts refer to their request: else the bytes
        of both would stay until the garbage collector comes to them, which counts objects and not bytes.
        """
        self.data, self.parts, self.pieces = b"", [], []

    def bytes_read(self) -> bytes:
        """Return the data of a served read; holes are zeroes."""
        return b"".join(one.data if isinstance(one, Part) else bytes(one) for one in self.pieces)


@dataclass(slots=True, eq=False)
class Part:
    """The share of a request that lies in one extent: the unit of the module's decisions, keyed by number."""

    number: int
    request: ClientRequest
    class_name: str
    extent: int
    offset: int
    length: int
    shard: int
    state: PartState = PartState.AWAITING_PLACEMENT
    attempts: list[Attempt] = field(default_factory=list)
    open_attempts: int = 0  # attempts without an outcome
    may_have_run: bool = False
    may_have_run_since: int = 0  # when the first attempt that may have run was sent ...
    may_have_run_on: NodeEntry | None = None  # ... and to which node
    places_extent: bool = False  # this part's write places its new extent
    queued_for_placement: bool = False  # it is in the placement queue of its extent
    client_placement: ClientPlacement | None = None  # set if the client names the shard
    module_deadline: int = 0  # when the module's time for this submission ends
    has_waited: bool = False  # it has waited for a retry hint to pass
    hint_us: int = 0  # of its latest refusal
    data: bytes = b""

    def release(self) -> None:
        """Let go of the attempts, once the part has left the core; one that was called off keeps the part."""
        self.may_have_run = self.may_have_effect
        self.attempts = []

    @property
    def may_have_effect(self) -> bool:
        """Whether one of its attempts ran, may have run, or may still run."""
        return self.may_have_run or any(
            attempt.state in (AttemptState.SENT, AttemptState.CALLED_OFF) for attempt in self.attempts
        )

    @property
    def lane(self) -> LaneKey:
        """Return the lane of the retry queue in which it waits."""
        return (self.request.volume.settings.name, self.shard, self.class_name)

    @property
    def may_be_answered(self) -> bool:
        """Whether an attempt, cancelled or not, may still be answered."""
        return any(one.state in (AttemptState.SENT, AttemptState.CALLED_OFF) for one in self.attempts)

    def body(self) -> bytes | memoryview:
        """Return the part's share of the data to write."""
        request = self.request
        if len(request.parts) == 1 or request.kind is not Kind.WRITE:
            return request.data
        at = self.offset - request.offset
        return memoryview(request.data)[at : at + self.length]


@dataclass(slots=True, eq=False)
class Attempt:
    """One sending of a part to a node."""

    part: Part
    number: int
    member: ListedNode
    sent_at: int
    left_at: int = (
        0  # when its last byte left, if the link reports it; the delay before that is not the node's
    )
    state: AttemptState = AttemptState.DIALING
    reported: bool = False  # its outcome was reported to the module
    write_number: int = 0
    times_out_at: int = 0  # when the module stops waiting for it
    begin_before: int = 0  # its last byte is sent before this time, or never
    carrier: object = None  # the connection that it was handed to: of use to that connection's owner alone

    @property
    def is_abandoned_change(self) -> bool:
        """Whether it may change data though its part is over: its connection must not deliver it any more."""
        return self.part.state.is_final and self.part.request.kind in MODIFYING_KINDS

    @property
    def answer_needed(self) -> bool:
        """Whether its answer is of use: to the module, or to a client that waits for a write's outcome."""
        request = self.part.request
        return not self.reported or (
            request.patience_us > 0 and request.kind in MODIFYING_KINDS and not self.part.state.is_final
        )

    @property
    def volume(self) -> str:
        """Return the name of the volume, which is also the name of the node's export."""
        return self.part.request.volume.settings.name
