"""Recordings: what clients, storage nodes and the list service sent and received, with times of one clock.

One JSON object a line. Nothing in a recording comes from a head: the rules are judged by what the sockets
carried. Times are microseconds of the recorder's clock, offsets and lengths bytes.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import IO, Literal

import msgspec


class ClassFacts(msgspec.Struct, kw_only=True):
    """What the rules need to know of a class of requests."""

    name: str
    deadline_us: int
    effect: str
    window_us: int = 0
    in_order: bool = False


class LimitFacts(msgspec.Struct, kw_only=True):
    """A volume's limit: units a second, units at once, units below zero."""

    volume: str
    rate: float
    burst: float
    slack: float


class Facts(msgspec.Struct, kw_only=True, tag="facts", tag_field="what"):
    """The figures that a run is judged by; the first line of a recording."""

    classes: list[ClassFacts]
    limits: list[LimitFacts] = []
    unit_bytes: int
    extent_bytes: int
    answer_slack_us: int  # how late a final answer still counts: the last hop to the client
    flight_us: int  # how long what was sent in time may be on its way to a node
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
    cell_of_volume: dict[str, str] = {}  # where the fleet is divided: a volume's cell
    cell_of_shard: dict[str, str] = {}
    regions: bool = False  # nodes also get copies of writes, and what a region catches up with


class HeadLifecycle(msgspec.Struct, kw_only=True, tag="head", tag_field="what"):
    """A head came up (`up`) or was killed; `number` is how it names itself to storage nodes."""

    t: int
    head: str
    number: int
    up: bool


class HeadPaused(msgspec.Struct, kw_only=True, tag="stood", tag_field="what"):
    """A head's machine stood still for `us`: while it does, it is no running head.

    `unread`: its process was stopped, and what clients sent filled its socket: the rest lay in theirs, and
    came only when the head read again, which can't know since when.
    """

    t: int
    head: str
    us: int
    unread: bool = False
    machine: bool = False  # so did all else on this machine, relays too: what was sent took longer on its way


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
    again: bool = False  # the client asks anew after a refusal or failure
    patience_us: int = 0  # a client that hears no hints gives up no earlier than after this


class FinalAnswer(msgspec.Struct, kw_only=True, tag="answer", tag_field="what"):
    """A client got a final answer: served, refused or failed."""

    t: int
    client: str
    request: int
    outcome: str
    data_ok: bool = True  # what was read is what the client's model allows
    hint_us: int = 0  # after which time a refusal says that trying again may help; 0: it does not say


class ClientLeft(msgspec.Struct, kw_only=True, tag="left", tag_field="what"):
    """A client closed its connection, or lost it: what was open is not owed an answer any more."""

    t: int
    client: str


class OperationCalled(msgspec.Struct, kw_only=True, tag="called", tag_field="what"):
    """A register client began an operation on a block: a write of `value`, or a read."""

    t: int
    client: str
    number: int
    volume: str
    block: int
    is_write: bool
    value: int = 0


class OperationReturned(msgspec.Struct, kw_only=True, tag="returned", tag_field="what"):
    """It ended: served (`certain`, with what a read brought), refused (nothing was done), or nobody knows."""

    t: int
    client: str
    number: int
    certain: bool
    refused: bool = False
    value: int = 0


class AttemptSent(msgspec.Struct, kw_only=True, tag="sent", tag_field="what"):
    """A head handed an attempt to its link: the sender's time stamp beside the receiver's (`Got`)."""

    t: int
    head: int
    key: int
    attempt: int
    node: str


class AttemptReceived(msgspec.Struct, kw_only=True, tag="got", tag_field="what"):
    """A node received a request. `head` and `key` are 0 where the extension was not negotiated."""

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
    """A node did what a request asks."""

    t: int
    node: str
    head: int
    key: int
    attempt: int


class AttemptAnswered(msgspec.Struct, kw_only=True, tag="said", tag_field="what"):
    """A node answered an attempt: done, repeat (dropped as one), unseen, error."""

    t: int
    node: str
    head: int
    key: int
    attempt: int
    result: str


class NodeListed(msgspec.Struct, kw_only=True, tag="told", tag_field="what"):
    """The list service sent a head a list that says this of a node."""

    t: int
    head: int
    node: str
    state: str
    started_us: int


class NodeLifecycle(msgspec.Struct, kw_only=True, tag="node", tag_field="what"):
    """A node started, fell over, or stopped.

    `rate` is units a second when warm; it starts at `cold_share` of it.
    """

    t: int
    node: str
    state: str
    rate: float = 0.0
    cold_share: float = 1.0
    warm_us: int = 0


class MemberLifecycle(msgspec.Struct, kw_only=True, tag="lived", tag_field="what"):
    """What became of a member of a fleet: started, killed, stopped, went on, leaving, or ended by itself."""

    t: int
    member: str
    how: Literal["started", "killed", "stopped", "went-on", "leaving", "ended"]


class ViewReported(msgspec.Struct, kw_only=True, tag="viewed", tag_field="what"):
    """A member told what it holds of one (`about`) from now on, and of how many in all by which digest."""

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
    """From now on there are so many faults between members, of which some part whom they strike wholly."""

    t: int
    faults: int


class AgreementCheck(msgspec.Struct, kw_only=True, tag="agreed", tag_field="what"):
    """These members were to agree within a time, and did, or not, `after_us`."""

    t: int
    members: list[str]
    within_us: int
    after_us: int
    reached: bool


class FaultsOver(msgspec.Struct, kw_only=True, tag="quiet", tag_field="what"):
    """From now on nothing is at fault: what has to come to pass by itself does, before the recording ends."""

    t: int


class BudgetFacts(msgspec.Struct, kw_only=True, tag="budget", tag_field="what"):
    """A budget that a fleet divides: units a second and at once, and how much of it moves between heads.

    `slack`: units past it that may arrive, for what the day does to heads between a decision and its socket.
    """

    t: int
    budget: str
    rate: float
    burst: float
    moving: float
    slack: float = 0.0


class ShareRequested(msgspec.Struct, kw_only=True, tag="asked-share", tag_field="what"):
    """A head's ask to a ledger left it; `applied`: the versions of its shares that it says to have."""

    t: int
    holder: str
    instance: int
    ledger: int
    term: tuple[int, int]
    tenure: int
    number: int
    applied: list[tuple[str, int]]


class ShareGranted(msgspec.Struct, kw_only=True, tag="granted-share", tag_field="what"):
    """A ledger's answer to an ask (`answers`), or its news (0), came to a head: budget, version, rate."""

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
    """A head keeps a ledger from now on, or does not any more."""

    t: int
    head: str
    ledger: int
    keeps: bool


class BudgetUsed(msgspec.Struct, kw_only=True, tag="drawn", tag_field="what"):
    """So many units of a budget arrived where it counts, through some head."""

    t: int
    budget: str
    holder: str
    units: float


class ZoneFacts(msgspec.Struct, kw_only=True, tag="zones", tag_field="what"):
    """The zones of a fleet's day, which of them may be left in it, and how fast heads may come back to one.

    A return begins with `first` of them, or `tries` heads where these are more; each `step_us` there may be
    `growth` times as many. Who starts while nobody uses a zone leaves it within `hears_us`; 0: not judged.
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
    """A head uses a zone from now on, or does not; `word`: as the fleet's word says, not for want of one."""

    t: int
    head: str
    zone: str
    used: bool
    word: bool = True


class VolumeMoveFacts(msgspec.Struct, kw_only=True, tag="moves", tag_field="what"):
    """Volumes of two regions: how many may change regions in a second, `burst` more at once, by all heads.

    `homes`: the region of each; `reserves`: what its plan reserves, by which volumes have their turns.
    """

    t: int
    rate: float
    burst: float
    homes: dict[str, str]
    reserves: dict[str, float]


class VolumeMoved(msgspec.Struct, kw_only=True, tag="volume-moved", tag_field="what"):
    """A head holds a volume of two regions from now on, or gave it to the other region."""

    t: int
    head: str
    volume: str
    region: str  # the head's
    held: bool


class VersionProposed(msgspec.Struct, kw_only=True, tag="proposed", tag_field="what"):
    """An operator proposed a version of a thing, or said what becomes of it."""

    t: int
    thing: str
    version: int
    standing: str


class ChangeRecordApplied(msgspec.Struct, kw_only=True, tag="went-by", tag_field="what"):
    """A head goes by this record of changes from now on."""

    t: int
    head: str
    revision: int
    digest: int
    epoch: int
    latest: dict[str, int] = {}  # of each thing that has versions


class VersionApplied(msgspec.Struct, kw_only=True, tag="took-version", tag_field="what"):
    """A head runs a version of a thing from now on (0: what it began with), or did not take it: `why`."""

    t: int
    head: str
    thing: str
    version: int
    why: str = ""


class CloseDue(msgspec.Struct, kw_only=True, tag="close-due", tag_field="what"):
    """A close is due at `at`, and within `bound_us` of it at every head: what it purges of which volume.

    A volume of several heads lies where it was allocated, any other where its head placed it.
    """

    t: int
    calendar: str
    at: int
    bound_us: int
    volumes: list[str]
    start: int = 0
    end: int = 0  # 0: the volume's end


class CloseDone(msgspec.Struct, kw_only=True, tag="closed-at", tag_field="what"):
    """A head told that close `number` of a calendar, which was at `at`, is done there."""

    t: int
    head: str
    calendar: str
    number: int
    at: int


class BlockOperation(msgspec.Struct, kw_only=True, tag="kept", tag_field="what"):
    """A client wrote `value` to a block, or read it: from `t` to `ended`, one operation a block at a time."""

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
    """What must hold of weights in a fleet's day; weights are powers of two, `rate` of these a second.

    `liars`: heads that say other than they think; `fresh_us`: what was said before has no vote any more;
    `sway`: powers of two that a weight may go to and fro in ten seconds; `notes_bytes`: of notes in a second
    that may leave a head; `broken`: scorers that are to lose their vote.
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
    """A head's weights as it tells them: what its module uses, and by scorer its own and the joined ones.

    A node that is not named has 0, an even share.
    """

    t: int
    head: str
    used: dict[str, float]
    own: dict[str, dict[str, float]]
    joined: dict[str, dict[str, float]]


class ScorerVote(msgspec.Struct, kw_only=True, tag="vote", tag_field="what"):
    """A scorer at a head lost its vote, or has it back."""

    t: int
    head: str
    scorer: str
    has: bool
    why: str = ""


class NotesSent(msgspec.Struct, kw_only=True, tag="notes-sent", tag_field="what"):
    """So many bytes of notes by topic left a head in a time that ended now."""

    t: int
    head: str
    us: int
    bytes: int


class LimitChanged(msgspec.Struct, kw_only=True, tag="limit-now", tag_field="what"):
    """From now on a volume's limit is another: units a second, units at once."""

    t: int
    volume: str
    rate: float
    burst: float


class StageFacts(msgspec.Struct, kw_only=True):
    """How many heads run a version by a stage's end: a number, or a part of each zone."""

    heads: int
    share: float


class RolloutFacts(msgspec.Struct, kw_only=True, tag="rollout-facts", tag_field="what"):
    """The fleet that a version is brought about in, and its plan, as an operator proposed it."""

    t: int
    thing: str
    version: int
    zones: dict[str, str]  # by head
    volumes: dict[str, list[str]]  # by head
    stages: list[StageFacts]
    away: int  # heads that may be away for it at once
    back_away: int
    missing: float  # the part of a stage's heads that need not be heard


class RolloutExpected(msgspec.Struct, kw_only=True, tag="rollout-end", tag_field="what"):
    """What all heads are to run at the day's end: 0 is what they were started with.

    `settled`: whatever was decided last, instead; then nothing is under way any more.
    """

    t: int
    thing: str
    version: int
    settled: bool = False


class RolloutStep(msgspec.Struct, kw_only=True, tag="rollout-step", tag_field="what"):
    """Who decides wrote in the record where a version stands from now on."""

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
    """A head was asked to end (`away`) so that another version runs in its place, or is back."""

    t: int
    head: str
    away: bool
    version: int  # that is to run, or runs


class HeadsPartitioned(msgspec.Struct, kw_only=True, tag="cut-off", tag_field="what"):
    """These heads reach no others, and no others them, from now on."""

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
_DECODER = msgspec.json.Decoder(Record)


class RecordingError(Exception):
    """A recording that can't be read; the text says file and line."""


class Recorder:
    """Gathers records in memory and, if asked, in a file as they come."""

    def __init__(self, path: str | None = None, at_once: bool = False) -> None:
        self.records: list[Record] = []
        # `at_once`: a kill of this process loses no record that came before it.
        self._file: IO[bytes] | None = open(path, "wb", buffering=0 if at_once else -1) if path else None

    def add(self, record: Record) -> None:
        """Take a record."""
        self.records.append(record)
        if self._file is not None:
            self._file.write(msgspec.json.encode(record) + b"\n")

    def close(self) -> None:
        """Finish the file."""
        if self._file is not None:
            self._file.close()


def read(path: str) -> list[Record]:
    """Read a recording. Raises RecordingError with file and line."""
    try:
        lines = Path(path).read_bytes().splitlines()
    except OSError as error:
        raise RecordingError(f"{path}: {error.strerror}") from error
    return list(_decode(path, lines))


def _decode(path: str, lines: Iterable[bytes]) -> Iterator[Record]:
    for number, line in enumerate(lines, start=1):
        try:
            yield _DECODER.decode(line)
        except msgspec.MsgspecError as error:
            raise RecordingError(f"{path}:{number}: {error}") from error
