"""Clients' requests, their parts, and the attempts of these."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from harriertrack.decisions.lifecycle import AttemptState, PartState
from harriertrack.decisions.requests.inputs import ListedNode, VolumeFacts
from harriertrack.decisions.requests.rules import MODIFYING_KINDS, ClientPlacement
from harriertrack.decisions.retry_queue import LaneKey
from harriertrack.decisions.splitting import Kind, Outcome


@dataclass(slots=True, eq=False)
class Volume:
    """An export, and which of its shards got writes that no flush has covered."""

    settings: VolumeFacts
    dirty: dict[int, int] = field(default_factory=dict)  # shard: number of its latest write


class Origin(Enum):
    """Who asks: a client, or the other region's head for one (RELAY), or with a write of its own (COPY)."""

    CLIENT = "client"
    RELAY = "relay"
    COPY = "copy"


class Requester(Protocol):
    """Whom a request's answer is given to."""

    def answer(self, request: ClientRequest) -> None:
        """Take the one final answer."""


class _Nobody:
    """Asks for the head itself."""

    def answer(self, request: ClientRequest) -> None:
        """Take the one final answer."""


NO_REQUESTER = _Nobody()


@dataclass(slots=True, eq=False)
class ClientRequest:
    """What a client asked for.

    `token` is its front's own; offsets and lengths are bytes, times microseconds.
    """

    volume: Volume
    kind: Kind
    offset: int
    length: int
    data: bytes
    flags: int
    requester: Requester
    deadline: int = 0  # 0: its class says
    arrived_at: int = 0  # when it may have come at the earliest; 0: now
    patience_us: int = 0  # how long its client waits for a refused one to be offered again; 0: not at all
    background: bool = False  # of the class for catching up
    hint_us: int = 0
    parts: list[Part] = field(default_factory=list)
    pieces: list[bytes | int | Part] = field(default_factory=list)  # of a read, in order; numbers are holes
    open_parts: int = 0  # parts without a final state
    outcome: Outcome | None = None
    reason: str = ""  # of a refusal or failure, where there is more to say
    origin: Origin = Origin.CLIENT
    epoch: int = 0  # of a copy: the holder's
    moving: bool = False  # the head's own, for an extent that it holds; such a write is placed anew
    trim_shard: int = -1  # of a moving trim: where the extent was
    tick: int = 0  # of the other head's: the newest tick of ours that it had
    reader: object = None  # the connection over which the other head reads this for its copy
    generation: int = 0  # of such a reading: that of the bytes which the other head has

    def bytes_read(self) -> bytes:
        """Return what a served read brought; holes are zeroes."""
        return b"".join(one.data if isinstance(one, Part) else bytes(one) for one in self.pieces)


@dataclass(slots=True, eq=False)
class Part:
    """What of a request lies in one extent: the unit that the module decides on. Its number is its key."""

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
    may_have_run_since: int = 0  # when the first attempt that may have run was sent
    places_extent: bool = False  # it is the one that places its new extent
    queued_for_placement: bool = False  # it stands in the line for its extent's placement
    client_placement: ClientPlacement | None = None  # its client says where it lies
    module_deadline: int = 0  # when the module's time for it ends
    has_waited: bool = False  # it has waited on a hint
    hint_us: int = 0  # of its latest refusal
    data: bytes = b""

    @property
    def may_have_effect(self) -> bool:
        """Whether an attempt of it ran, may have run, or may run yet."""
        return self.may_have_run or any(
            attempt.state in (AttemptState.SENT, AttemptState.CALLED_OFF) for attempt in self.attempts
        )

    @property
    def lane(self) -> LaneKey:
        """Return the lane that it waits in."""
        return (self.request.volume.settings.name, self.shard, self.class_name)

    @property
    def may_be_answered(self) -> bool:
        """Whether an attempt that was called off may still be answered."""
        return any(one.state in (AttemptState.SENT, AttemptState.CALLED_OFF) for one in self.attempts)

    def body(self) -> bytes | memoryview:
        """Return the part's share of what the client writes."""
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
    left_at: int = 0  # when its last byte left, where its link says; until then the node had no part in it
    state: AttemptState = AttemptState.DIALING
    reported: bool = False  # the module has its outcome
    write_number: int = 0
    times_out_at: int = 0  # when the module stops waiting for it
    begin_before: int = 0  # its last byte leaves before this time, or never

    @property
    def answer_needed(self) -> bool:
        """Whether its answer is still of use: the module waits, or a client that waits for what may run."""
        request = self.part.request
        return not self.reported or (
            request.patience_us > 0 and request.kind in MODIFYING_KINDS and not self.part.state.is_final
        )

    @property
    def volume(self) -> str:
        """Return the name of the volume, which is the node's export."""
        return self.part.request.volume.settings.name
