"""What a head tells operators of its fleet: one JSON document, which the command line reads."""

from __future__ import annotations

import msgspec

from harriertrack.membership.fleet.messages import Record, State
from harriertrack.membership.fleet.swim import Swim
from harriertrack.membership.fleet.view import Row


class ActivityNote(msgspec.Struct, frozen=True):
    """A member's note: what it serves and how busy it is. What a reader does not know it passes over."""

    volumes: int = 0
    open: int = 0  # requests
    taken: int = 0  # a second, lately
    refused: int = 0  # of these, in percent


class MemberNote(ActivityNote, frozen=True):
    """The note of a member that follows the fleet's record of changes."""

    record: int = 0  # the revision that it goes by; 0: it follows none
    digest: int = 0  # ... of its bytes
    level: int = 0  # the latest that its program understands
    runs: dict[str, int] = {}  # versions by thing, as far as there is room for them


class StateChange(msgspec.Struct, frozen=True):
    """A word that changed what is held of a member, so many seconds ago."""

    ago_s: float
    state: str
    incarnation: int
    by: str = ""


class MemberStatus(msgspec.Struct, frozen=True):
    """A member as the telling head holds it."""

    name: str
    state: str
    since_s: float  # for how many seconds that state is held
    host: str
    port: int
    region: str
    zone: str
    cell: str
    started: int  # ms since 1970
    instance: str
    incarnation: int
    heard_s: float | None  # seconds since it last said something itself to this head; None: never
    agrees: bool  # what it said last of who is there is what this head holds
    about: MemberNote | None = None
    suspected_by: list[str] = []
    dead_in_s: float | None = None  # a suspect that does not object is held dead then
    history: list[StateChange] = []


class BudgetShareStatus(msgspec.Struct, frozen=True):
    """What the telling head has of a budget; rates a second."""

    budget: str
    unit: str
    whole: float
    burst: float
    fixed: float  # the head's part that never moves
    share: float  # beyond that, while its lease lasts
    wanted: float  # beyond the fixed part
    level: float  # to be used at once


class LeaseStatus(msgspec.Struct, frozen=True):
    """What a ledger holds of one head's part of a budget."""

    budget: str
    holder: str
    instance: str
    granted: float  # a second, last
    counted: float  # the most that the head may have
    wanted: float
    ends_s: float  # its lease, unless it asks again
    there: bool  # whether the head is there by the view


class LedgerStatus(msgspec.Struct, frozen=True):
    """A ledger that the telling head keeps."""

    ledger: int
    epoch: int
    opens_s: float  # nothing is granted before; 0: open
    valid_s: float  # unless the witness renews it
    holders: int
    moves: int
    movable: dict[str, float]  # by budget: what may move of the whole
    slips: list[LeaseStatus]


class LedgerHolderStatus(msgspec.Struct, frozen=True):
    """Whom the telling head asks for its shares of a ledger."""

    ledger: int
    seat: str
    epoch: int | None
    keeper: str  # HOST:PORT
    lease_s: float
    lapses: int


class BudgetsStatus(msgspec.Struct, frozen=True):
    """What a head tells of budgets."""

    seats: list[LedgerHolderStatus]
    portions: list[BudgetShareStatus]
    ledgers: list[LedgerStatus]
    counts: dict[str, int]
    more: int = 0  # portions and slips beyond what one document names


class ZoneLeaveCost(msgspec.Struct, frozen=True):
    """What leaving a zone would cost now, in requests a second, as all heads see it."""

    served: float  # there
    stays: float  # of these, for data that lie there: they would be refused
    moves: float  # ... and new objects, that would go elsewhere
    reserved: float  # of what moves, of plans with a reservation
    room: float  # that the other zones have, about
    borne: float
    borne_reserved: float
    refused: float


class ZoneStatus(msgspec.Struct, frozen=True):
    """What holds of a zone for the telling head, and what is seen of it."""

    zone: str
    stage: str
    share: float  # of the heads that use it
    used: bool  # by the telling head
    why: str
    good: int  # nodes that answer it
    bad: int  # ... and that do not
    all_good: int | None  # the same, all heads together, if the telling one decides
    all_bad: int | None
    heads: int | None  # that say so
    wish: str  # an operator's
    leaving: ZoneLeaveCost | None = None  # if the telling head decides


class ZonesStatus(msgspec.Struct, frozen=True):
    """What a head tells of zones."""

    decides: bool
    heard_s: float | None  # since the fleet's word was heard last
    zones: list[ZoneStatus]
    decider: str = ""  # where who decides is asked, if that is another head


class ChangeStatus(msgspec.Struct, frozen=True):
    """What holds of a thing that can change, as the telling head knows it."""

    thing: str
    in_force: int  # 0: what each head was started with
    runs: int  # the telling head
    under_way: int  # 0: nothing is
    standing: str  # of what is under way
    stage: int
    heads: list[str]  # that are to run it
    why: str  # it was proposed, and by whom
    reason: str  # it stands there
    since_s: float  # since 1970
    turned_down: int  # by the telling head
    turned_down_why: str


class ChangesStatus(msgspec.Struct, frozen=True):
    """What a head tells of the record of changes."""

    revision: int
    digest: int
    epoch: int
    level: int
    heard: int  # the highest revision that others told of
    lost: bool  # the witness holds an older one
    things: list[ChangeStatus]
    record: bytes  # whole, for whoever can't ask the witness


class CalendarStatus(msgspec.Struct, frozen=True):
    """One calendar, as one head is with it: the last close done, and the next with what it would purge."""

    calendar: str
    done: int
    stance: str
    next: str  # by the market's clock; "": none is known
    next_us: int  # UTC, since 1970
    would: int  # extents
    extents: int  # that the last one made unreadable, in this life


class ClosingStatus(msgspec.Struct, frozen=True):
    """What a head tells of closes."""

    decides: bool
    blind: bool  # it can't say what closes there may have been, and refuses what they may touch
    between_us: tuple[int, int] | None  # between which instants it is now
    clock_wrong: bool
    left: int  # extents to trim
    refused: int  # requests, since it began
    fences: list[CalendarStatus]


class ScorerStatus(msgspec.Struct, frozen=True):
    """A scorer that the telling head runs."""

    name: str
    of: str  # kind, version and parameters
    namespace: str
    vote: str
    back_s: float  # until it has its vote again; 0: it has it
    why: str  # it lost it last
    lost: int  # how often, of late
    voters: int  # heads whose opinions are joined, the silent ones too
    heard: int  # ... of whom something was heard


class NodeScore(msgspec.Struct, frozen=True):
    """A node as the telling head's scorers see it; weights are factors, 1 is an even share."""

    node: str
    zone: str
    weight: float  # that its module uses
    own: dict[str, float]  # by scorer: what it says here
    joined: dict[str, float]  # by scorer: what the heads say together
    gain: float  # 1: it moves at its full rate; less: it turned again and again
    latency_ms: float
    fill: float
    refused: float
    cold: bool
    evidence: float


class ScoresStatus(msgspec.Struct, frozen=True):
    """What a head tells of scores."""

    scorers: list[ScorerStatus]
    nodes: list[NodeScore]
    garbage: int  # notes that were no pages of weights
    alone: bool  # nothing is shared


class Document(msgspec.Struct, frozen=True):
    """A head's view."""

    fleet: str
    name: str
    standing: str
    digest: str  # of who is there: heads whose digests are equal agree
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
    rollouts: list[str] | None = None  # where each stands, a line each; None: another head decides


class MalformedDocument(ValueError):
    """Bytes that are no such document."""


def state_name(state: State) -> str:
    """Return a state as it is told."""
    return state.name.lower()


def digest_name(digest: int) -> str:
    """Return a digest as it is told."""
    return f"{digest:016x}"


def parse_member_note(note: bytes) -> MemberNote | None:
    """Read a member's note; None if it is of another form."""
    try:
        return msgspec.msgpack.decode(note, type=MemberNote)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None


def _told(swim: Swim, row: Row, now: int) -> MemberStatus:
    record: Record = row.record
    mine = record.name == swim.me.name
    suspicion = row.suspicion
    return MemberStatus(
        name=record.name, state=state_name(record.state), since_s=(now - row.since) / 1e6,
        host=record.host, port=record.port, region=record.region, zone=record.zone, cell=record.cell,
        started=record.started, instance=digest_name(record.instance), incarnation=record.incarnation,
        heard_s=(now - row.last_contact) / 1e6 if row.last_contact else None,
        agrees=mine or row.digest == swim.view.digest,
        about=parse_member_note(row.note.payload) if row.note is not None else None,
        suspected_by=list(suspicion.by) if suspicion is not None else [],
        dead_in_s=max(0, suspicion.expires_at - now) / 1e6 if suspicion is not None else None,
        history=[
            StateChange((now - heard.at) / 1e6, state_name(heard.record.state), heard.record.incarnation,
                 heard.record.by)
            for heard in row.history
        ],
    )  # fmt: skip


def build_document(swim: Swim, now: int) -> Document:
    """Return what a member tells; `now` in microseconds by its clock."""
    view, counts = swim.view, swim.counts
    return Document(
        fleet=swim.rules.fleet, name=swim.me.name, standing=swim.state.value,
        digest=digest_name(view.digest), there=len(view.present), doubts=swim.health_score,
        changes=view.changes,
        counts={name: getattr(counts, name) for name in counts.__slots__},
        members=[_told(swim, row, now) for row in sorted(view, key=lambda row: row.record.name)],
    )  # fmt: skip


def parse_document(body: bytes) -> Document:
    """Read a document. Raises MalformedDocument."""
    try:
        return msgspec.json.decode(body, type=Document)
    except msgspec.MsgspecError as error:
        raise MalformedDocument(str(error)) from error
