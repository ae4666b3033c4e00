"""Recordings of what clients, storage nodes and the list service sent and received, timed by one clock.

A recording has one JSON object a line. The checks of requests use only what the sockets carried, never what a
head says of itself. Times are microseconds of the recorder's clock; offsets and lengths are bytes.
"""

from __future__ import annotations

from typing import IO, Literal

import msgspec

from harriertrack.rules.recording_file import encode_line, read_records


class ClassFacts(msgspec.Struct, kw_only=True):
    """The properties of a class of requests that the rules use."""

    name: str
    deadline_us: int
    effect: str
    window_us: int = 0
    in_order: bool = False


class LimitFacts(msgspec.Struct, kw_only=True):
    """A volume's rate limit: units a second, the burst, and how far below zero its token bucket may go."""

    volume: str
    rate: float
    burst: float
    slack: float


class Facts(msgspec.Struct, kw_only=True, tag="facts", tag_field="what"):
    """The parameters that a run is checked against; the first line of a recording."""

    classes: list[ClassFacts]
    limits: list[LimitFacts] = []
    unit_bytes: int
    extent_bytes: int
    answer_slack_us: int  # a final answer may be this late: the last hop to the client
    flight_us: int  # how long an attempt sent in time may take to reach a node
    drain_grace_us: int
    fall_multiple: float = 0.0
    fall_us: int = 0
    cold_units: float = 0.0
    budget_free: float = 0.0
    budget_share: float = 0.0
    budget_window_us: int = 0
    order_settle_us: int = 0
    seed: int = 0
    day: str = ""
    cell_of_volume: dict[str, str] = {}  # of a fleet divided into cells
    cell_of_shard: dict[str, str] = {}
    regions: bool = False  # nodes also receive replicated writes and the catch-up of a region


class HeadLifecycle(msgspec.Struct, kw_only=True, tag="head", tag_field="what"):
    """A head started listening (`up`) or was killed; `number` identifies it to storage nodes."""

    t: int
    head: str
    number: int
    up: bool


class HeadPaused(msgspec.Struct, kw_only=True, tag="stood", tag_field="what"):
    """A head did not run for `us` microseconds: its process was stopped, or its machine was.

    `unread`: the process was stopped and its receive buffers were full, so further requests waited in the
    clients' send buffers. The head reads them when it runs again and can't know how long they waited.
    """

    t: int
    head: str
    us: int
    unread: bool = False
    machine: bool = False  # everything on this machine paused, relays too, so messages took longer


class RequestSent(msgspec.Struct, kw_only=True, tag="take", tag_field="what"):
    """A client sent a request to a head."""

    t: int
    head: str
    client: str
    request: int
    volume: str
    kind: str
    class_name: str
    offset: int
    length: int
    again: bool = False  # the client retries after a refusal or failure
    patience_us: int = 0  # a client that ignores hints waits at least this long


class FinalAnswer(msgspec.Struct, kw_only=True, tag="answer", tag_field="what"):
    """A client received a final answer: served, refused or failed."""

    t: int
    client: str
    request: int
    outcome: str
    data_ok: bool = True  # the data read is data that the client's model of the volume allows
    hint_us: int = 0  # the retry delay that a refusal suggests; 0: none


class ClientLeft(msgspec.Struct, kw_only=True, tag="left", tag_field="what"):
    """A client closed or lost its connection: its open requests need no answer any more."""

    t: int
    client: str


class OperationCalled(msgspec.Struct, kw_only=True, tag="called", tag_field="what"):
    """A client that uses blocks as registers began an operation: a write of `value`, or a read."""

    t: int
    client: str
    number: int
    volume: str
    block: int
    is_write: bool
    value: int = 0


class OperationReturned(msgspec.Struct, kw_only=True, tag="returned", tag_field="what"):
    """A register operation ended: served (`certain`; `value`: the result of a read), refused, which means
    without effect, or with unknown outcome.
    """

    t: int
    client: str
    number: int
    certain: bool
    refused: bool = False
    value: int = 0


class AttemptSent(msgspec.Struct, kw_only=True, tag="sent", tag_field="what"):
    """A head passed an attempt to its link: the sender's time; `AttemptReceived` has the receiver's."""

    t: int
    head: int
    key: int
    attempt: int
    node: str


class AttemptReceived(msgspec.Struct, kw_only=True, tag="got", tag_field="what"):
    """A node received an attempt. `head` and `key` are 0 if the protocol extension was not negotiated."""

    t: int
    node: str
    shard: int
    head: int
    key: int
    attempt: int
    volume: str
    kind: str
    offset: int
    length: int


class AttemptExecuted(msgspec.Struct, kw_only=True, tag="ran", tag_field="what"):
    """A node executed an attempt."""

    t: int
    node: str
    head: int
    key: int
    attempt: int


class AttemptAnswered(msgspec.Struct, kw_only=True, tag="said", tag_field="what"):
    """A node answered an attempt: done, repeat (dropped as a duplicate), unseen (not executed), or error."""

    t: int
    node: str
    head: int
    key: int
    attempt: int
    result: str


class NodeListed(msgspec.Struct, kw_only=True, tag="told", tag_field="what"):
    """The list service sent a head a node list with this entry."""

    t: int
    head: int
    node: str
    state: str
    started_us: int


class NodeLifecycle(msgspec.Struct, kw_only=True, tag="node", tag_field="what"):
    """A node started, failed under its load (`fell`), or stopped.

    `rate` is in units a second when warm; a started node has `cold_share` of it, and all after `warm_us`.
    """

    t: int
    node: str
    state: str
    rate: float = 0.0
    cold_share: float = 1.0
    warm_us: int = 0


class MemberLifecycle(msgspec.Struct, kw_only=True, tag="lived", tag_field="what"):
    """A member of a fleet was started, killed, stopped (paused), resumed, is leaving, or ended itself."""

    t: int
    member: str
    how: Literal["started", "killed", "stopped", "went-on", "leaving", "ended"]


class ViewReported(msgspec.Struct, kw_only=True, tag="viewed", tag_field="what"):
    """A member reported a change of its view: the state of member `about`, how many members are present, and
    the digest of the whole view.
    """

    t: int
    member: str
    about: str
    state: str
    life: int
    incarnation: int
    there: int
    digest: str
    by: str = ""


class ActiveFaults(msgspec.Struct, kw_only=True, tag="weather", tag_field="what"):
    """From now on this many faults are active between members; some cut members off entirely."""

    t: int
    faults: int


class AgreementCheck(msgspec.Struct, kw_only=True, tag="agreed", tag_field="what"):
    """Whether these members' views became equal within `within_us`; `after_us`: how long it took."""

    t: int
    members: list[str]
    within_us: int
    after_us: int
    reached: bool


class FaultsOver(msgspec.Struct, kw_only=True, tag="quiet", tag_field="what"):
    """From now on no fault is active: the fleet must recover before the recording ends."""

    t: int


class BudgetFacts(msgspec.Struct, kw_only=True, tag="budget", tag_field="what"):
    """A budget that a fleet divides: units a second, burst, and `moving`, the rate that moves between heads.

    `slack`: units over the budget that may arrive because of delays between a head's decision and its socket.
    """

    t: int
    budget: str
    rate: float
    burst: float
    moving: float
    slack: float = 0.0


class ShareRequested(msgspec.Struct, kw_only=True, tag="asked-share", tag_field="what"):
    """A head sent a request for shares to a ledger; `applied`: the share versions that it states it uses."""

    t: int
    holder: str
    instance: int
    ledger: int
    term: tuple[int, int]
    tenure: int
    number: int
    applied: list[tuple[str, int]]


class ShareGranted(msgspec.Struct, kw_only=True, tag="granted-share", tag_field="what"):
    """A head received shares (budget, version, rate) from a ledger, in answer to request number `answers`, or
    unrequested (0).
    """

    t: int
    holder: str
    instance: int
    ledger: int
    term: tuple[int, int]
    tenure: int
    answers: int
    lease_us: int
    shares: list[tuple[str, int, float]]


class LedgerOwnership(msgspec.Struct, kw_only=True, tag="keeps", tag_field="what"):
    """A head runs a ledger from now on, or no longer does."""

    t: int
    head: str
    ledger: int
    keeps: bool


class BudgetUsed(msgspec.Struct, kw_only=True, tag="drawn", tag_field="what"):
    """Units of a budget that arrived through a head at the place where the budget is measured."""

    t: int
    budget: str
    holder: str
    units: float


class ZoneFacts(msgspec.Struct, kw_only=True, tag="zones", tag_field="what"):
    """The zones of a fleet's day, which of them heads may leave, and how fast heads may return to one.

    A return begins with the share `first` of all heads, or with `tries` heads if these are more; every
    `step_us` the share may grow by the factor `growth`. A head that starts while no other head uses a zone
    must leave it within `hears_us`; 0: not checked.
    """

    t: int
    zones: list[str]
    may_leave: list[str]
    tries: int = 0
    first: float = 1.0
    growth: float = 1.0
    step_us: int = 0
    hears_us: int = 0


class ZoneUse(msgspec.Struct, kw_only=True, tag="zone-use", tag_field="what"):
    """A head uses a zone from now on, or no longer; `word`: by the fleet's decision, not for lack of one."""

    t: int
    head: str
    zone: str
    used: bool
    word: bool = True


class VolumeMoveFacts(msgspec.Struct, kw_only=True, tag="moves", tag_field="what"):
    """Volumes of two regions: how many all heads may move in a second, and `burst` more at once.

    `homes`: the home region of each; `reserves`: what its plan reserves, which orders the moves.
    """

    t: int
    rate: float
    burst: float
    homes: dict[str, str]
    reserves: dict[str, float]


class VolumeMoved(msgspec.Struct, kw_only=True, tag="volume-moved", tag_field="what"):
    """A head took over a volume of two regions, or gave it to the other region."""

    t: int
    head: str
    volume: str
    region: str  # the head's region
    held: bool


class VersionProposed(msgspec.Struct, kw_only=True, tag="proposed", tag_field="what"):
    """An operator proposed a version of a configured thing, or changed its state (`standing`)."""

    t: int
    thing: str
    version: int
    standing: str


class ChangeRecordApplied(msgspec.Struct, kw_only=True, tag="went-by", tag_field="what"):
    """A head uses this revision of the change record from now on."""

    t: int
    head: str
    revision: int
    digest: int
    epoch: int
    latest: dict[str, int] = {}  # the latest version of each thing


class VersionApplied(msgspec.Struct, kw_only=True, tag="took-version", tag_field="what"):
    """A head runs a version of a thing from now on (0: what it started with), or rejected it: `why`."""

    t: int
    head: str
    thing: str
    version: int
    why: str = ""


class CloseDue(msgspec.Struct, kw_only=True, tag="close-due", tag_field="what"):
    """A close is due at `at`, and at every head within `bound_us` of it; it purges a range of `volumes`.

    A volume that several heads serve is stored where it was allocated, any other where its head placed it.
    """

    t: int
    calendar: str
    at: int
    bound_us: int
    volumes: list[str]
    start: int = 0
    end: int = 0  # 0: the end of the volume


class CloseDone(msgspec.Struct, kw_only=True, tag="closed-at", tag_field="what"):
    """A head reported that it has done close `number` of a calendar, which was due at `at`."""

    t: int
    head: str
    calendar: str
    number: int
    at: int


class BlockOperation(msgspec.Struct, kw_only=True, tag="kept", tag_field="what"):
    """A client wrote or read `value` at a block from `t` to `ended`; a block has one operation at a time."""

    t: int
    ended: int
    client: str
    head: str
    volume: str
    offset: int
    is_write: bool
    outcome: Literal["served", "refused", "failed", "lost"]
    value: int = 0


class WeightFacts(msgspec.Struct, kw_only=True, tag="weight-facts", tag_field="what"):
    """The bounds of node weights in a fleet's day. Weights are given as log2, `rate` as log2 a second.

    `most`: the largest absolute weight; `liars`: heads that report wrong weights; `fresh_us`: older reports
    have no vote; `sway`: how far a weight may oscillate in ten seconds; `notes_bytes`: bytes of weight notes
    that a head may send in a second; `broken`: scorers that must lose their vote.
    """

    t: int
    most: float
    rate: float
    fresh_us: int
    sway: float
    notes_bytes: float
    liars: list[str] = []
    broken: list[str] = []


class Weights(msgspec.Struct, kw_only=True, tag="weights", tag_field="what"):
    """The weights that a head reports: those in use, and by scorer its own and the aggregate (`joined`).

    A node that is not listed has weight 0 (log2), an even share.
    """

    t: int
    head: str
    used: dict[str, float]
    own: dict[str, dict[str, float]]
    joined: dict[str, dict[str, float]]


class ScorerVote(msgspec.Struct, kw_only=True, tag="vote", tag_field="what"):
    """A scorer at a head lost its vote or regained it."""

    t: int
    head: str
    scorer: str
    has: bool
    why: str = ""


class NotesSent(msgspec.Struct, kw_only=True, tag="notes-sent", tag_field="what"):
    """Bytes of topic notes that a head sent in the `us` microseconds before `t`."""

    t: int
    head: str
    us: int
    bytes: int


class LimitChanged(msgspec.Struct, kw_only=True, tag="limit-now", tag_field="what"):
    """A volume's limit changed: units a second and the burst."""

    t: int
    volume: str
    rate: float
    burst: float


class StageFacts(msgspec.Struct, kw_only=True):
    """How many heads run a version at a stage's end: a number, or a share of each zone."""

    heads: int
    share: float


class RolloutFacts(msgspec.Struct, kw_only=True, tag="rollout-facts", tag_field="what"):
    """The fleet in which a version is rolled out, and the rollout's plan as an operator proposed it."""

    t: int
    thing: str
    version: int
    zones: dict[str, str]  # by head
    volumes: dict[str, list[str]]  # by head
    stages: list[StageFacts]
    away: int  # heads that may be down for it at once
    back_away: int  # the same during a rollback
    missing: float  # the share of a stage's heads that need not confirm


class RolloutExpected(msgspec.Struct, kw_only=True, tag="rollout-end", tag_field="what"):
    """The version that all heads must run at the day's end; 0 is what they were started with.

    `settled`: any version will do, if all heads run the same and no rollout is in progress.
    """

    t: int
    thing: str
    version: int
    settled: bool = False


class RolloutStep(msgspec.Struct, kw_only=True, tag="rollout-step", tag_field="what"):
    """The rollout's decider wrote a new state of a version to the change record."""

    t: int
    by: str
    epoch: int
    thing: str
    version: int
    standing: str
    stage: int
    heads: list[str]
    why: str


class HeadHandover(msgspec.Struct, kw_only=True, tag="handed-over", tag_field="what"):
    """A head was told to end (`away`) so that another version replaces it, or the replacement runs."""

    t: int
    head: str
    away: bool
    version: int  # the version that replaces it


class HeadsPartitioned(msgspec.Struct, kw_only=True, tag="cut-off", tag_field="what"):
    """These heads are partitioned from all other heads from now on."""

    t: int
    heads: list[str]


Record = (
    Facts | HeadLifecycle | HeadPaused | RequestSent | FinalAnswer | ClientLeft | AttemptSent
    | AttemptReceived | AttemptExecuted | AttemptAnswered | NodeListed | NodeLifecycle | OperationCalled
    | OperationReturned | MemberLifecycle | ViewReported | ActiveFaults | AgreementCheck | BudgetFacts
    | ShareRequested | ShareGranted | BudgetUsed | ZoneFacts | ZoneUse | VolumeMoveFacts | VolumeMoved
    | VersionProposed | ChangeRecordApplied | VersionApplied | CloseDue | CloseDone | BlockOperation
    | WeightFacts | Weights | ScorerVote | NotesSent | LimitChanged | RolloutFacts | RolloutExpected
    | RolloutStep | HeadHandover | HeadsPartitioned | FaultsOver | LedgerOwnership
)  # fmt: skip
_DECODER: msgspec.json.Decoder[Record] = msgspec.json.Decoder(Record)


class Recorder:
    """Collects records in memory and, given a path, writes each to a file."""

    def __init__(self, path: str | None = None, at_once: bool = False) -> None:
        self.records: list[Record] = []
        # `at_once` (unbuffered): no record is lost if this process is killed.
        self._file: IO[bytes] | None = open(path, "wb", buffering=0 if at_once else -1) if path else None

    def add(self, record: Record) -> None:
        """Add a record."""
        self.records.append(record)
        if self._file is not None:
            self._file.write(encode_line(record))

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()


def read(path: str) -> list[Record]:
    """Read a recording. Raises RecordingError."""
    return read_records(path, _DECODER)
