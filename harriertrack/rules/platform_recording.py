"""Recordings of runs of the platform's heads: what clients, storage nodes and discovery saw, as JSON lines.

Times are microseconds on the recorder's monotonic clock.
"""

from __future__ import annotations

from pathlib import Path

import msgspec

from harriertrack.rules.recording_file import read_records


class ClassFacts(msgspec.Struct, frozen=True):
    """A class of requests: `effect` is safe, keyed or unsafe; keyed repeats belong into `window_us`."""

    name: str
    effect: str
    window_us: int = 0


class LimitFacts(msgspec.Struct, frozen=True):
    """The limit of a volume over all heads: units a second, burst and slack in units."""

    volume: str
    rate: float
    burst: float
    slack: float


class RunFacts(msgspec.Struct, kw_only=True, tag="facts", tag_field="what"):
    """The parameters that a run is checked against; the first line of a recording."""

    seed: int
    classes: list[ClassFacts]
    limits: list[LimitFacts] = []
    pushed: bool  # what discovery has counts as announced at once
    crowd: bool  # idle clients fill the descriptors: new connections may be closed unread
    memory_bytes: int = 0  # the most that a head's process may hold; 0: not limited
    first_hostile_id: str = ""  # requests with ids from this on are hostile clients', and not recorded
    drain_grace_us: int
    max_attempts: int
    fall_us: int  # the period over which a cold node's requests are counted
    fall_multiple: float
    cold_share: float
    warm_us: int


class NodeChanged(msgspec.Struct, kw_only=True, tag="node", tag_field="what"):
    """Discovery has a node's new state. `rate`: if it restarted, its warm capacity in requests a second."""

    t: int
    node: str
    state: str
    rate: float = 0.0


class ListWritten(msgspec.Struct, kw_only=True, tag="written", tag_field="what"):
    """Discovery wrote an answer to a head: the states that it names."""

    t: int
    head: str
    version: int
    full: bool
    states: dict[str, str]


class OutageChanged(msgspec.Struct, kw_only=True, tag="outage", tag_field="what"):
    """Discovery can't be reached from now on, or can again."""

    t: int
    begins: bool


class WatchesSilenced(msgspec.Struct, kw_only=True, tag="silenced", tag_field="what"):
    """Nothing more is written on any open connection of discovery; they stay open."""

    t: int


class ProcessStarted(msgspec.Struct, kw_only=True, tag="started", tag_field="what"):
    """A process of a head was started, with the states of the saved list."""

    t: int
    head: str
    states: dict[str, str]


class ProcessSignalled(msgspec.Struct, kw_only=True, tag="signal", tag_field="what"):
    """A process was sent a signal."""

    t: int
    head: str
    signal: str


class ProcessEnded(msgspec.Struct, kw_only=True, tag="ended", tag_field="what"):
    """A process ended: its status, negative for a signal. `planned`: it had been asked to (SIGTERM)."""

    t: int
    head: str
    status: int
    planned: bool


class RequestSent(msgspec.Struct, kw_only=True, tag="request", tag_field="what"):
    """A client wrote a whole request to a connection; `fresh`: the first one on it.

    A request whose connection was closed before it was read is sent a second time, with the same id.
    """

    t: int
    head: str
    trace: str
    class_name: str
    wait_us: int
    volume: str
    units: float
    fresh: bool


class RequestReturned(msgspec.Struct, kw_only=True, tag="returned", tag_field="what"):
    """A client that had left its request sent it again, with the same id, at `t`; `status` 0: no answer."""

    t: int
    trace: str
    status: int


class MemorySampled(msgspec.Struct, kw_only=True, tag="memory", tag_field="what"):
    """What a head's process holds: its resident memory."""

    t: int
    head: str
    held_bytes: int


class RequestEnded(msgspec.Struct, kw_only=True, tag="answer", tag_field="what"):
    """What a client got: an HTTP status, or 0 and `how` it ended (closed, reset, silent, left, not taken)."""

    t: int
    trace: str
    status: int
    how: str = ""


class AttemptReceived(msgspec.Struct, kw_only=True, tag="attempt", tag_field="what"):
    """A node received a whole request; `serial` numbers the attempts of a run."""

    t: int
    serial: int
    node: str
    trace: str


class AttemptAnswered(msgspec.Struct, kw_only=True, tag="attempt-answer", tag_field="what"):
    """A node answered an attempt; `never_ran`: with the proof that it was not executed."""

    t: int
    serial: int
    node: str
    trace: str
    never_ran: bool


class RecorderDelayed(msgspec.Struct, kw_only=True, tag="delayed", tag_field="what"):
    """The recorder did not run for `us` microseconds from `t` on: what it noted then may be older."""

    t: int
    us: int


Record = (
    RunFacts
    | NodeChanged
    | ListWritten
    | OutageChanged
    | WatchesSilenced
    | ProcessStarted
    | ProcessSignalled
    | ProcessEnded
    | RequestSent
    | RequestEnded
    | RequestReturned
    | MemorySampled
    | AttemptReceived
    | AttemptAnswered
    | RecorderDelayed
)
_DECODER: msgspec.json.Decoder[Record] = msgspec.json.Decoder(Record)


def read(path: Path) -> list[Record]:
    """Read a recording. Raises RecordingError."""
    return read_records(path, _DECODER)
