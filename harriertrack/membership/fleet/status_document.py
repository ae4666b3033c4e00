"""A head's status for operators: one JSON document, which the command line reads.

Field names are the document's keys. "This head" is the head that writes the document.
"""

from __future__ import annotations

import msgspec

from harriertrack.membership.fleet.messages import Record, State
from harriertrack.membership.fleet.swim import Swim
from harriertrack.membership.fleet.view import Row


class ActivityNote(msgspec.Struct, frozen=True):
    """A member's note on what it serves and its load. A reader ignores unknown fields."""

    volumes: int = 0
    open: int = 0  # requests
    taken: int = 0  # requests accepted a second, recently
    refused: int = 0  # percentage of these


class MemberNote(ActivityNote, frozen=True):
    """The note of a member that follows the fleet's record of changes."""

    record: int = 0  # the revision in use; 0: none
    digest: int = 0  # of the record's bytes
    level: int = 0  # the latest feature level that its program supports
    runs: dict[str, int] = {}  # versions in use by thing, as many as fit


class StateChange(msgspec.Struct, frozen=True):
    """A change of a member's state, and how many seconds ago it was applied."""

    ago_s: float
    state: str
    incarnation: int
    by: str = ""


class MemberStatus(msgspec.Struct, frozen=True):
    """A member in this head's view."""

    name: str
    state: str
    since_s: float  # seconds since the state was applied
    host: str
    port: int
    region: str
    zone: str
    cell: str
    started: int  # ms since 1970
    instance: str
    incarnation: int
    heard_s: float | None  # seconds since its last datagram to this head; None: none yet
    agrees: bool  # the digest in its last datagram equals that of this head's view
    about: MemberNote | None = None
    suspected_by: list[str] = []
    dead_in_s: float | None = None  # until a suspect is declared dead unless it refutes
    history: list[StateChange] = []


class BudgetShareStatus(msgspec.Struct, frozen=True):
    """This head's share of a budget; rates a second."""

    budget: str
    unit: str
    whole: float
    burst: float
    fixed: float  # the head's part that is never reassigned
    share: float  # leased in addition
    wanted: float  # demand beyond the fixed part
    level: float  # tokens available now


class LeaseStatus(msgspec.Struct, frozen=True):
    """A ledger's entry for one head's lease on a share of a budget."""

    budget: str
    holder: str
    instance: str
    granted: float  # last rate granted, a second
    counted: float  # upper limit of the rate that the head may be using
    wanted: float
    ends_s: float  # until its lease expires unless renewed
    there: bool  # whether the head is present in the view


class LedgerStatus(msgspec.Struct, frozen=True):
    """A ledger that this head holds."""

    ledger: int
    epoch: int
    opens_s: float  # until the first grant is allowed; 0: open
    valid_s: float  # until its term ends unless renewed at the witness
    holders: int
    moves: int
    movable: dict[str, float]  # by budget: the part of the total that can be reassigned
    slips: list[LeaseStatus]


class LedgerHolderStatus(msgspec.Struct, frozen=True):
    """The holder of a ledger, from which this head requests its shares."""

    ledger: int
    seat: str
    epoch: int | None
    keeper: str  # HOST:PORT
    lease_s: float
    lapses: int


class BudgetsStatus(msgspec.Struct, frozen=True):
    """The status of budgets."""

    seats: list[LedgerHolderStatus]
    portions: list[BudgetShareStatus]
    ledgers: list[LedgerStatus]
    counts: dict[str, int]
    more: int = 0  # shares and leases omitted because of the document's limit


class ZoneLeaveCost(msgspec.Struct, frozen=True):
    """The cost of leaving a zone now, in requests a second, from the observations of all heads."""

    served: float  # in the zone
    stays: float  # of these, for data stored there: they would be refused
    moves: float  # ... for new objects, which would go elsewhere
    reserved: float  # of `moves`, those of plans with a reservation
    room: float  # estimated free capacity of the other zones
    borne: float
    borne_reserved: float
    refused: float


class ZoneStatus(msgspec.Struct, frozen=True):
    """The decision on a zone that this head follows, and observations of the zone."""

    zone: str
    stage: str
    share: float  # fraction of the heads that use it
    used: bool  # by this head
    why: str
    good: int  # nodes that respond to this head
    bad: int  # nodes that do not
    all_good: int | None  # the same for all heads together, if this head decides
    all_bad: int | None
    heads: int | None  # that report these
    wish: str  # the operator's request
    leaving: ZoneLeaveCost | None = None  # if this head decides


class ZonesStatus(msgspec.Struct, frozen=True):
    """The status of zones."""

    decides: bool
    heard_s: float | None  # since the last decisions were received
    zones: list[ZoneStatus]
    decider: str = ""  # address of the decider, if it is another head


class ChangeStatus(msgspec.Struct, frozen=True):
    """The versions of a thing under change control, as this head has them."""

    thing: str
    in_force: int  # 0: the version that each head was started with
    runs: int  # by this head
    under_way: int  # the version in progress; 0: none
    standing: str  # of the version in progress
    stage: int
    heads: list[str]  # that should run it
    why: str  # why and by whom it was proposed
    reason: str  # for its current state
    since_s: float  # since 1970
    turned_down: int  # version that this head rejected
    turned_down_why: str


class ChangesStatus(msgspec.Struct, frozen=True):
    """The status of the record of changes."""

    revision: int
    digest: int
    epoch: int
    level: int
    heard: int  # the highest revision that other heads reported
    lost: bool  # the witness has an older revision
    things: list[ChangeStatus]
    record: bytes  # complete, for readers that can not reach the witness


class CalendarStatus(msgspec.Struct, frozen=True):
    """A calendar at this head: the last close done, and the next close with what it would purge."""

    calendar: str
    done: int
    stance: str
    next: str  # local time of the market; "": none is known
    next_us: int  # UTC, since 1970
    would: int  # extents
    extents: int  # that the last close made unreadable, since this process started


class ClosingStatus(msgspec.Struct, frozen=True):
    """The status of closes."""

    decides: bool
    blind: bool  # closes may have occurred unknown to it: it refuses requests they could affect
    between_us: tuple[int, int] | None  # bounds of the current time
    clock_wrong: bool
    left: int  # extents to trim
    refused: int  # requests since it started
    fences: list[CalendarStatus]


class ScorerStatus(msgspec.Struct, frozen=True):
    """A scorer that this head runs."""

    name: str
    of: str  # kind, version and parameters
    namespace: str
    vote: str
    back_s: float  # until its vote is restored; 0: it has one
    why: str  # why it last lost its vote
    lost: int  # how often it lost it, recently
    voters: int  # heads whose weights are combined, including silent ones
    heard: int  # ... that sent weights


class NodeScore(msgspec.Struct, frozen=True):
    """A node's scores at this head; weights are factors, 1 is an even share."""

    node: str
    zone: str
    weight: float  # used by the decision module
    own: dict[str, float]  # by scorer: this head's weight
    joined: dict[str, float]  # by scorer: the heads' combined weight
    gain: float  # 1: the weight moves at its full rate; less: it kept changing direction
    latency_ms: float
    fill: float
    refused: float
    cold: bool
    evidence: float


class ScoresStatus(msgspec.Struct, frozen=True):
    """The status of scores."""

    scorers: list[ScorerStatus]
    nodes: list[NodeScore]
    garbage: int  # notes that were not valid pages of weights
    alone: bool  # this head shares no weights


class Document(msgspec.Struct, frozen=True):
    """A head's status."""

    fleet: str
    name: str
    standing: str
    digest: str  # of the present members: heads with equal digests agree
    there: int
    doubts: int
    changes: int
    counts: dict[str, int]
    members: list[MemberStatus]
    budgets: BudgetsStatus | None = None
    zones: ZonesStatus | None = None
    record: ChangesStatus | None = None
    closing: ClosingStatus | None = None
    scores: ScoresStatus | None = None
    rollouts: list[str] | None = None  # progress, a line each; None: another head decides


class MalformedDocument(ValueError):
    """Bytes that are not a status document."""


def state_name(state: State) -> str:
    """Return a state as documents show it."""
    return state.name.lower()


def digest_name(digest: int) -> str:
    """Return a digest as documents show it."""
    return f"{digest:016x}"


def parse_member_note(note: bytes) -> MemberNote | None:
    """Decode a member's note; None if it has another format."""
    try:
        return msgspec.msgpack.decode(note, type=MemberNote)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None


def _member_status(swim: Swim, row: Row, now: int) -> MemberStatus:
    record: Record = row.record
    is_self = record.name == swim.me.name
    suspicion = row.suspicion
    return MemberStatus(
        name=record.name, state=state_name(record.state), since_s=(now - row.since) / 1e6,
        host=record.host, port=record.port, region=record.region, zone=record.zone, cell=record.cell,
        started=record.started, instance=digest_name(record.instance), incarnation=record.incarnation,
        heard_s=(now - row.last_contact) / 1e6 if row.last_contact else None,
        agrees=is_self or row.digest == swim.view.digest,
        about=parse_member_note(row.note.payload) if row.note is not None else None,
        suspected_by=list(suspicion.by) if suspicion is not None else [],
        dead_in_s=max(0, suspicion.expires_at - now) / 1e6 if suspicion is not None else None,
        history=[
            StateChange((now - entry.received_at) / 1e6, state_name(entry.record.state),
                        entry.record.incarnation, entry.record.by)
            for entry in row.history
        ],
    )  # fmt: skip


def build_document(swim: Swim, now: int) -> Document:
    """Return a member's status; `now` in microseconds by its clock."""
    view, counts = swim.view, swim.counts
    return Document(
        fleet=swim.rules.fleet, name=swim.me.name, standing=swim.state.value,
        digest=digest_name(view.digest), there=len(view.present), doubts=swim.health_score,
        changes=view.changes, counts={name: getattr(counts, name) for name in counts.__slots__},
        members=[_member_status(swim, row, now) for row in sorted(view, key=lambda row: row.record.name)],
    )  # fmt: skip


def parse_document(body: bytes) -> Document:
    """Decode a document. Raises MalformedDocument."""
    try:
        return msgspec.json.decode(body, type=Document)
    except msgspec.MsgspecError as error:
        raise MalformedDocument(str(error)) from error
