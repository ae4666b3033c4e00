"""The head without its sockets: it takes clients' requests, tells the decision module, and does what that
says.

No I/O and no clock of its own: fronts and links hand events in with the time, and the core asks through
`Port` for what is to be done. Events of one moment gather until `flush`, where the module sees them together.
Each verdict is carried out; one that can't be (its request is over, or its extent lies elsewhere) comes back
to the module as MOOT, which proves that nothing was sent.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from harriertrack.decisions import interface as api
from harriertrack.decisions.life import (
    AttemptState,
    AttemptStep,
    PartState,
    PartStep,
    lost_result,
    step_attempt,
    step_part,
)  # fmt: skip
from harriertrack.decisions.patience import Patience, PatienceRules, Place, Waiting
from harriertrack.decisions.splitting import Kind, Outcome, class_of, cut, units_of, whole_outcome

CHANGING = frozenset((Kind.WRITE, Kind.TRIM, Kind.ZERO))
CLOSED = "a close may have come"
# A request that the module does not know yet is answered this many ticks before its time is up.
ANSWER_TICKS = 2
# A cookie has eight bits for an attempt's number: a part that had so many does not wait for more.
MOST_ATTEMPTS = 250
# An offer of what a rack drops repeats of lasts so many tenths of its window: the rest is for another one.
OFFER_PARTS = 6
SCOUT_US = 2_000_000  # nothing was heard of a shard for so long


@dataclass(frozen=True, slots=True)
class ClassRule:
    """Which requests belong to a class, and when their clients give up (microseconds)."""

    name: str
    kinds: frozenset[Kind]
    at_least_bytes: int
    deadline_us: int
    in_order: bool = False
    window_us: int = 0  # how long a rack drops repeats; 0: nothing of this class may run again


@dataclass(frozen=True, slots=True)
class Placed:
    """What a client itself says of its request's class and place: nothing is cut, placed or looked up."""

    class_name: str
    key: str
    shard: int  # -1: a new object
    units: float
    repeat: bool = False  # marked as asked again after a refusal or failure


@dataclass(frozen=True, slots=True)
class RequestRules:
    """What the core of a head is told at its start; sizes are bytes."""

    extent_bytes: int
    unit_bytes: int
    tick_us: int
    held: int  # the most parts that may be open at once
    classes: tuple[ClassRule, ...]
    patience: PatienceRules = PatienceRules()


class VolumeFacts(Protocol):
    """What the core needs to know of a volume."""

    @property
    def name(self) -> str:
        """Return its name, which is also its export's."""

    @property
    def plan(self) -> str:
        """Return its plan's name."""

    @property
    def hosts(self) -> int:
        """Return through how many heads its requests come."""

    @property
    def waiting(self) -> Waiting:
        """Return whose requests wait when the module refuses them."""

    @property
    def patience_us(self) -> int:
        """Return how long such a request is kept at most."""

    @property
    def shards(self) -> tuple[int, ...]:
        """Return the shards that its extents were allocated to beforehand, in turn.

        Empty if they are placed.
        """


class Listed(Protocol):
    """A node of the list, with whatever links need to reach it."""

    @property
    def entry(self) -> api.NodeEntry:
        """Return what the module knows of it."""


class Module(Protocol):
    """What decides: the scheduler, or one for each cell."""

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        """Take the events of one moment and return the actions, in order."""


class NodeBook(Protocol):
    """The node list in hand."""

    def find(self, node: str) -> Listed | None:
        """Return a node that a list has named."""


class Places(Protocol):
    """Where extents were placed, on disk."""

    def shard_of(self, volume: str, extent: int) -> int | None:
        """Return the shard that holds an extent; None if it was never placed."""

    def placed(self, volume: str) -> Iterator[tuple[int, int]]:
        """Yield (extent, shard) of a volume."""

    def place(self, placements: Iterable[tuple[str, int, int]]) -> None:
        """Record (volume, extent, shard); on disk when this returns."""

    def left(self, volume: str) -> list[tuple[int, int]]:
        """Return (extent, shard) where a volume's bytes were left behind."""

    def forgot(self, volume: str, extent: int, shard: int) -> None:
        """The bytes left there are gone; on disk when this returns."""


class Beside(Protocol):
    """What a node told beside an answer."""

    @property
    def used_percent(self) -> int:
        """Return the volume's meter."""

    @property
    def elsewhere(self) -> float:
        """Return what the node served the volume through other heads."""

    @property
    def load(self) -> tuple[float, ...]:
        """Return its load report."""


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


class Asker(Protocol):
    """Whom a request's answer is given to."""

    def answer(self, request: ClientRequest) -> None:
        """Take the one final answer."""


class _Nobody:
    """Asks for the head itself."""

    def answer(self, request: ClientRequest) -> None:
        """Take the one final answer."""


NOBODY = _Nobody()


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
    token: Asker
    deadline: int = 0  # 0: its class says
    came: int = 0  # when it may have come at the earliest; 0: now
    patience_us: int = 0  # how long its client waits for a refused one to be offered again; 0: not at all
    background: bool = False  # of the class for catching up
    hint_us: int = 0
    parts: list[Part] = field(default_factory=list)
    pieces: list[bytes | int | Part] = field(default_factory=list)  # of a read, in order; numbers are holes
    open: int = 0  # parts without a final state
    outcome: Outcome | None = None
    why: str = ""  # of a refusal or failure, where there is more to say
    origin: Origin = Origin.CLIENT
    epoch: int = 0  # of a copy: the holder's
    moving: bool = False  # the head's own, for an extent that it holds; such a write is placed anew
    at_shard: int = -1  # of a moving trim: where the extent was
    tick: int = 0  # of the other head's: the newest tick of ours that it had
    reader: object = None  # the connection over which the other head reads this for its copy

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
    state: PartState = PartState.WAITING
    attempts: list[Attempt] = field(default_factory=list)
    out: int = 0  # attempts without an outcome
    may_have_run: bool = False
    risky_at: int = 0  # when the first attempt that may have run was sent
    places: bool = False  # it is the one that places its new extent
    lined: bool = False  # it stands in the line for its extent's placement
    placed: Placed | None = None  # its client says where it lies
    until: int = 0  # when the module's time for it ends
    kept: bool = False  # it has waited on a hint
    hint_us: int = 0  # of its latest refusal
    data: bytes = b""

    @property
    def touched(self) -> bool:
        """Whether an attempt of it ran, may have run, or may run yet."""
        return self.may_have_run or any(
            attempt.state in (AttemptState.SENT, AttemptState.CALLED_OFF) for attempt in self.attempts
        )

    @property
    def place(self) -> Place:
        """Return the lane that it waits in."""
        return (self.request.volume.settings.name, self.shard, self.class_name)

    @property
    def listens(self) -> bool:
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
    member: Listed
    sent_at: int
    left_at: int = 0  # when its last byte left, where its link says; until then the node had no part in it
    state: AttemptState = AttemptState.DIALING
    told: bool = False  # the module has its outcome
    write_number: int = 0
    until: int = 0  # when the module stops waiting for it

    @property
    def awaited(self) -> bool:
        """Whether its answer is still of use: the module waits, or a client that waits for what may run."""
        request = self.part.request
        return not self.told or (
            request.patience_us > 0 and request.kind in CHANGING and not self.part.state.over
        )

    @property
    def volume(self) -> str:
        """Return the name of the volume, which is the node's export."""
        return self.part.request.volume.settings.name


class Holder(Protocol):
    """Who keeps an extent to itself for a while."""

    def held(self) -> None:
        """Take note that no earlier request for the extent is open any more."""


@dataclass(slots=True, eq=False)
class Hold:
    """An extent that is kept: later requests wait. `left` are the earlier ones that are still open."""

    holder: Holder
    left: set[int]
    purged: bool = False  # by a close: until what that left is trimmed


class Closings(Protocol):
    """What guards ranges that are purged at closes."""

    def refuses(self, request: ClientRequest) -> int | None:
        """Return the hint with which a request is refused now; None: it passes."""

    def placing(self, volume: str, extent: int, shard: int) -> None:
        """A first write to an extent is about to be sent to a shard."""

    def may_run(self, volume: str, extent: int) -> None:
        """What was sent for an extent may still run at its node, though nobody waits for it."""

    def awaited(self, volume: str, extent: int) -> None:
        """Somebody waits until an extent is trimmed."""


class _NobodyHolds:
    """Keeps an extent for nobody who would have to hear of it."""

    def held(self) -> None:
        """Take note that no earlier request for the extent is open any more."""


_NOBODY_HOLDS = _NobodyHolds()


class Port(Protocol):
    """What the core asks of its surroundings; none of these may call back into the core at once."""

    def send(self, attempt: Attempt) -> None:
        """Start an attempt; `Core.sent` follows when its bytes leave, and `Core.ended` when it is over."""

    def call_off(self, attempt: Attempt) -> None:
        """Tell the node that nobody waits for this attempt any more, as far as it understands that."""

    def answer(self, request: ClientRequest) -> None:
        """Give the client its one final answer."""

    def subscribe(self, on: bool) -> None:
        """Follow the node list from now on; each failure is told by `Core.list_failed`."""

    def wake_at(self, when: int) -> None:
        """Call `Core.flush` at a time or before; each flush that leaves something due asks again."""

    def soon(self) -> None:
        """Call `Core.flush` at the end of this round."""

    def note(self, text: str) -> None:
        """Log a line of the module."""


@dataclass(slots=True)
class Counts:
    """What became of requests, for operators.

    The rules are judged elsewhere, from what the sockets carried.
    """

    taken: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    left: int = 0
    sent: int = 0
    moot: int = 0
    kept: int = 0  # parts that waited on a hint


class Core:
    """One head."""

    def __init__(
        self,
        rules: RequestRules,
        module: Module,
        volumes: Iterable[VolumeFacts],
        port: Port,
        nodes: NodeBook,
        places: Places,
        restored: Iterable[api.NodeEntry] = (),
    ) -> None:
        self.rules = rules
        self.nodes = nodes
        self.places = places
        self.counts = Counts()
        self.volumes = {volume.name: Volume(volume) for volume in volumes}
        self._port = port
        self._module = module
        self._classes = [(one.name, one.kinds, one.at_least_bytes) for one in rules.classes]
        self._deadlines = {one.name: one.deadline_us for one in rules.classes}
        self._windows = {one.name: one.window_us for one in rules.classes}
        self._in_order = frozenset(one.name for one in rules.classes if one.in_order)
        self._patience: Patience[Part] = Patience(rules.patience)
        self._closing = ""
        self.closings: Closings | None = None  # of heads whose fleet has calendars
        self._heard: dict[int, int] = {}  # when a shard's node last answered
        self._scouted: dict[int, int] = {}
        # Of classes in order, by extent: what the module has, and where those wait that it refused.
        self._told_in_order: dict[tuple[str, int], dict[int, Part]] = {}
        self._kept_in_order: dict[tuple[str, int], dict[int, Place]] = {}
        self._events: list[api.Event] = []
        self._asked_soon = False
        self._parts: dict[int, Part] = {}
        self._placing: dict[tuple[str, int], deque[Part]] = {}  # the first of each places its extent
        self._holds: dict[tuple[str, int], Hold] = {}
        self._held: list[Hold] = []  # holds that have become so
        self._placements: list[tuple[str, int, int]] = []
        self._answers: list[ClientRequest] = []
        self._released: list[tuple[str, int]] = []
        self._retiring: list[Part] = []  # over; forgotten at the end of a flush, if no attempt is out
        self._due: list[tuple[int, int, Part | Attempt | str]] = []  # time-outs, and the module's timers
        self._serial = self._number = self._writes = 0
        for volume in self.volumes.values():  # what an earlier life wrote without a flush is not known
            name, fixed = volume.settings.name, volume.settings.shards
            volume.dirty = dict.fromkeys(fixed or {shard for _, shard in places.placed(name)}, 0)
        self._add(api.NodesChanged(api.ListKind.RESTORED, list(restored)))

    # -- what happens outside

    def retell(self, now: int, rules: RequestRules, settings: api.Settings) -> None:
        """Go by other deadlines and bounds for what is taken from now on, and let the module go by its own.

        Classes, and how requests are cut, stay.
        """
        self.rules = rules
        self._deadlines = {one.name: one.deadline_us for one in rules.classes}
        self._patience.retell(now, rules.patience)
        self._add(api.SettingsChanged(settings))

    def nodes_changed(self, news: api.NodesChanged | None) -> None:
        """Take news of the node list; None is none."""
        if news is not None:
            self._add(news)

    def list_failed(self) -> None:
        """The source can't be reached; the list in hand stays."""
        self._add(api.NodesChanged(api.ListKind.FAILED))

    @property
    def open_requests(self) -> int:
        """How many requests were taken and have no final answer yet."""
        counts = self.counts
        return counts.taken - counts.served - counts.refused - counts.failed - counts.left

    def deadline_of(self, now: int, kind: Kind, length: int) -> int:
        """Return when a client that asks now gives up."""
        return now + self._deadlines[class_of(self._classes, kind, length) or self._classes[0][0]]

    @property
    def open_parts(self) -> int:
        """How many parts are open, or have attempts out."""
        return len(self._parts)

    def full(self) -> bool:
        """Return whether as many parts are open as the settings allow."""
        return len(self._parts) >= self.rules.held

    def take(self, now: int, request: ClientRequest) -> None:
        """Take a request: from now on it is owed one final answer."""
        self.counts.taken += 1
        volume, kind = request.volume, request.kind
        own = Kind.OWN_READ if kind is Kind.READ else Kind.MOVE if request.moving else Kind.CATCH_UP
        asked = own if request.background else kind
        class_name = class_of(self._classes, asked, request.length) or self._classes[0][0]
        if not request.deadline:
            came = min(request.came or now, now)
            request.deadline = came + max(self._deadlines[class_name], request.patience_us)
        if self.closings is not None and (hint := self.closings.refuses(request)) is not None:
            request.hint_us, request.why = hint, CLOSED
            self._finish(request, Outcome.REFUSED)
            return
        if kind is Kind.FLUSH:
            for dirty in volume.dirty:
                self._part(request, class_name, -1, 0, 0, dirty)
        else:
            for extent, offset, length in cut(request.offset, request.length, self.rules.extent_bytes):
                shard = self.shard_of(volume, extent)
                if request.moving and kind is Kind.WRITE:
                    self._part(request, class_name, extent, offset, length, -1)
                elif request.at_shard >= 0:
                    self._part(request, class_name, extent, offset, length, request.at_shard)
                elif shard is not None:
                    request.pieces.append(self._part(request, class_name, extent, offset, length, shard))
                elif kind is Kind.WRITE:
                    self._part(request, class_name, extent, offset, length, -1)
                # Nothing was ever written there: it reads as zeroes, and there is nothing to zero or trim.
                else:
                    request.pieces.append(length)
        request.open = len(request.parts)
        if not request.parts:
            self._finish(request, Outcome.SERVED)
        for part in list(request.parts):
            if part.state is PartState.WAITING:  # else the one before ended the request
                self._admit(now, part)

    def take_placed(self, now: int, request: ClientRequest, placed: Placed) -> None:
        """Take a request that is one part and says itself where it lies; its deadline is set.

        Raises ValueError for one that would wait on hints: waiting goes by extents, which it has not.
        """
        if request.patience_us or not request.deadline:
            raise ValueError("a request that is placed by its client has a deadline and no patience")
        self.counts.taken += 1
        part = self._part(request, placed.class_name, -1, 0, request.length, placed.shard)
        part.placed = placed
        request.pieces.append(part)
        request.open = 1
        self._arrive(part, now)

    @property
    def waiting(self) -> int:
        """How many parts wait on a hint."""
        return len(self._patience)

    @property
    def offers(self) -> int:
        """How often a part that waited was offered to the module."""
        return self._patience.offered

    def kept_parts(self) -> Iterator[Part]:
        """Yield the open parts that wait, or have waited, on a hint."""
        return (part for part in self._parts.values() if part.kept and not part.state.over)

    def fail_open(self) -> None:
        """The head ends now: fail whatever is open, which is true of anything that may yet run."""
        for part in list(self._parts.values()):
            if not part.state.over:
                self._add(api.ClientGone(part.number))
                self._given_up(part, PartStep.FAIL)

    def close(self, why: str) -> None:
        """Let nothing wait on a hint any more: what does is refused."""
        self._closing = why
        for part in [part for part in self._parts.values() if part.state is PartState.KEPT]:
            if part.state is PartState.KEPT:  # else a sibling's refusal has dropped it
                part.request.why = why
                self._time_up(part)

    def client_gone(self, request: ClientRequest) -> None:
        """The client left: no answer is owed any more."""
        if request.outcome is None:
            request.outcome = Outcome.FAILED
            self.counts.left += 1
            self._drop_parts(request)

    def answer_outside(self, request: ClientRequest) -> None:
        """Give an answer that was decided around the core at the end of the next flush, as all are."""
        self._answers.append(request)
        self._soon()

    def hold_extent(self, volume: str, extent: int, holder: Holder) -> None:
        """Let later requests for an extent wait; `holder.held` follows once no earlier one is open.

        It ends with `free_extent`, or with the end of a `moving` write to the extent. Raises ValueError if it
        is held already, or was never placed.
        """
        key = (volume, extent)
        if key in self._holds or self.places.shard_of(*key) is None:
            raise ValueError(f"extent {extent} of {volume} is held already, or was never placed")
        left = {
            part.number for part in self._parts.values()
            if part.extent == extent and part.request.volume.settings.name == volume
            and part.state is not PartState.WAITING and not part.state.over
            and (part.state is not PartState.KEPT or part.touched)
        }  # fmt: skip
        self._holds[key] = hold = Hold(holder, left)
        if not left:
            self._held.append(hold)
        self._soon()

    def free_extent(self, volume: str, extent: int) -> None:
        """Let those that wait for an extent go on; not while a `moving` write to it is under way."""
        self._free((volume, extent), purged=False)

    def _free(self, key: tuple[str, int], purged: bool) -> None:
        hold = self._holds.get(key)
        if hold is not None and hold.purged is purged:
            del self._holds[key]
            self._released.append(key)
            self._soon()

    # -- closes

    def close_off(self, covers: Callable[[str, int, int], bool]) -> tuple[int, int]:
        """Give up what is open of the (volume, offset, length) that a close covers; put placements on disk.

        What may have run is failed, all else is refused. Returns how many parts were refused and failed.
        """
        refused = failed = 0
        for part in list(self._parts.values()):
            request = part.request
            if part.state.over or part.extent < 0 or request.at_shard >= 0:
                continue
            if not covers(request.volume.settings.name, part.offset, part.length):
                continue
            if part.state not in (PartState.WAITING, PartState.KEPT):
                self._add(api.ClientGone(part.number))
            ran = request.kind in CHANGING and part.touched
            if ran and self.closings is not None:
                self.closings.may_run(request.volume.settings.name, part.extent)
            refused, failed = refused + (not ran), failed + ran
            request.why = CLOSED
            self._given_up(part, PartStep.FAIL if ran else PartStep.REFUSE, 1)
        for request in self._answers:
            if covers(request.volume.settings.name, request.offset, request.length):
                refused += self._withdraw(request, 1)
        if self._placements:
            placements, self._placements = self._placements, []
            self.places.place(placements)
        return refused, failed

    def _withdraw(self, request: ClientRequest, hint: int) -> bool:
        """Refuse a read that was served and not answered."""
        if request.kind in CHANGING or request.outcome is not Outcome.SERVED:
            return False
        self.counts.served -= 1
        self.counts.refused += 1
        request.outcome, request.hint_us, request.why = Outcome.REFUSED, hint, CLOSED
        return True

    def keep_purged(self, places: Iterable[tuple[str, int]]) -> None:
        """Let requests for these (volume, extent) wait until `free_trimmed`; nothing of them is open."""
        for key in places:
            if (before := self._holds.get(key)) is not None and not before.purged:
                self._held.append(before)  # its holder finds that the extent is nowhere
                self._soon()
            self._holds[key] = Hold(_NOBODY_HOLDS, set(), purged=True)

    def free_trimmed(self, volume: str, extent: int) -> None:
        """Let those that wait for a purged extent go on."""
        self._free((volume, extent), purged=True)

    def sent(self, attempt: Attempt, at: int = 0) -> None:
        """The attempt's bytes were handed to its link; `at` tells when, where it was dialled first."""
        attempt.state = step_attempt(attempt.state, AttemptStep.SEND)
        attempt.left_at = at

    def ended(self, now: int, attempt: Attempt, result: api.Result, data: bytes = b"",
              report: Beside | None = None) -> None:  # fmt: skip
        """Take an attempt's outcome from its link; one that was called off has told the module already."""
        if attempt.state is AttemptState.ENDED:
            return
        if result in (api.Result.RESET, api.Result.TIMEOUT):
            result = lost_result(attempt.state, result)
        attempt.state = step_attempt(attempt.state, AttemptStep.END)
        part = attempt.part
        if attempt.told:
            if part.request.patience_us and not part.state.over:
                if result is api.Result.OK:
                    self._served_late(part, attempt, data)
                elif part.state is PartState.KEPT and part not in self._patience and not part.listens:
                    self._given_up(part, PartStep.FAIL)  # nothing will be heard of it any more
            return
        if result is api.Result.OK:
            self._heard[attempt.member.entry.shard] = now
            if not part.state.over:
                self._served(part, attempt, data)
        elif not result.never_ran:
            self._may_have_run(attempt)
        self._tell(now, attempt, result, report)

    def _may_have_run(self, attempt: Attempt) -> None:
        part = attempt.part
        part.risky_at = min(part.risky_at, attempt.sent_at) if part.may_have_run else attempt.sent_at
        part.may_have_run = True
        if self.closings is not None and part.request.kind in CHANGING:
            self.closings.may_run(part.request.volume.settings.name, part.extent)

    # -- parts

    def shard_of(self, volume: Volume, extent: int) -> int | None:
        """Return the shard that holds an extent; None if it was never written."""
        fixed = volume.settings.shards
        return fixed[extent % len(fixed)] if fixed else self.places.shard_of(volume.settings.name, extent)

    def _part(self, request: ClientRequest, class_name: str, extent: int, offset: int, length: int,
              shard: int) -> Part:  # fmt: skip
        self._number += 1
        part = Part(self._number, request, class_name, extent, offset, length, shard)
        self._parts[part.number] = part
        request.parts.append(part)
        return part

    # -- waiting on a hint

    def _admit(self, now: int, part: Part) -> None:
        """Tell the module of a new part, or let it wait behind those that wait already."""
        key = (part.request.volume.settings.name, part.extent)
        ahead = self._kept_in_order.get(key) if part.class_name in self._in_order else None
        place = next(iter(ahead.values())) if ahead else part.place
        if not part.request.patience_us:
            if ahead:  # it would overtake them
                self._given_up(part, PartStep.REFUSE, self.rules.patience.most_us)
            else:
                self._queue(part, now)
        elif ahead or self._patience.waiting(place):
            self._keep(now, part, None)
        else:
            self._queue(part, now)

    def _refused(self, now: int, part: Part, hint: int) -> None:
        """The module refuses a part: the client is told, or it waits if that client waits."""
        if part.state is PartState.KEPT:
            return  # called back in this same moment
        request = part.request
        if not self._waits(now, part) or (request.kind in CHANGING and part.touched):
            if self._closing:
                request.why = self._closing
            self._given_up(part, PartStep.REFUSE, hint)
            return
        placed = part.places
        self._keep(now, part, hint)
        self._scout(now, part)
        if placed:  # those that waited for its placement wait behind it now
            key = (request.volume.settings.name, part.extent)
            for later in list(self._placing.get(key, ())):
                if later.state is PartState.WAITING and later.request.patience_us:
                    self._keep(now, later, None)
        if part.class_name in self._in_order:
            # Later ones that the module still holds, or that wait for its placement, would be sent before it.
            key = (request.volume.settings.name, part.extent)
            for later in [*self._told_in_order.get(key, {}).values(), *self._placing.get(key, ())]:
                if later.number > part.number and later.state in (PartState.HELD, PartState.WAITING):
                    if later.state is PartState.HELD:
                        self._add(api.ClientGone(later.number))
                    if later.request.patience_us:
                        self._keep(now, later, None)
                    else:
                        self._given_up(later, PartStep.REFUSE, hint)

    def _waits(self, now: int, part: Part) -> bool:
        request = part.request
        last = request.deadline - ANSWER_TICKS * self.rules.tick_us
        waits = request.patience_us > 0 and not self._closing and now < last
        return waits and len(part.attempts) < MOST_ATTEMPTS

    def _scout(self, now: int, part: Part) -> None:
        """Ask for a flush where only writes wait and nothing was heard for long.

        The module tries whether a silent node is back with safe work alone. Where all clients write and wait
        there would never be any.
        """
        quiet = now - max(self._heard.get(part.shard, 0), self._scouted.get(part.shard, 0)) >= SCOUT_US
        if part.shard < 0 or not quiet or part.request.kind not in CHANGING:
            return
        self._scouted[part.shard] = now
        scout = ClientRequest(part.request.volume, Kind.FLUSH, 0, 0, b"", 0, NOBODY, open=1)
        class_name = class_of(self._classes, Kind.FLUSH, 0) or self._classes[0][0]
        scout.deadline = now + self._deadlines[class_name]
        self._arrive(self._part(scout, class_name, -1, 0, 0, part.shard), now)

    def _failed(self, now: int, part: Part) -> None:
        """The module gives up a part that may have run: it can't wait for an outcome.

        A client that waits can. While the rack drops repeats the part is offered again; later its attempts
        are listened to, as long as one of them may still be answered.
        """
        # Of a class in order the next one goes as soon as the module gave this one up.
        repeats = self._windows[part.class_name] > 0 and part.request.kind in CHANGING
        repeats = repeats and part.class_name not in self._in_order
        if repeats and self._waits(now, part):
            if part.shard < 0:  # the rack that may have run it is where its extent will lie
                part.shard = next(
                    one.member.entry.shard for one in part.attempts
                    if one.state in (AttemptState.SENT, AttemptState.CALLED_OFF)
                    or (part.may_have_run and one.sent_at == part.risky_at)
                )  # fmt: skip
            self._keep(now, part, 0)
        else:
            self._given_up(part, PartStep.FAIL)

    def _time_up(self, part: Part) -> None:
        """What waits can wait no longer."""
        touched = part.request.kind in CHANGING and part.touched
        self._given_up(part, PartStep.FAIL if touched else PartStep.REFUSE)

    def _served_late(self, part: Part, attempt: Attempt, data: bytes) -> None:
        """An attempt was answered that an earlier offer had called off: its answer is as good as any."""
        told = part.state in (PartState.HELD, PartState.OUT)
        self._served(part, attempt, data)
        if told:
            self._add(api.ClientGone(part.number))

    def _keep(self, now: int, part: Part, hint: int | None) -> None:
        """Let a part wait: refused with a hint, or None: behind others."""
        if not part.places or not part.touched:  # else its extent is placed where it may have run, or not yet
            self._leave_line(part)
        part.state = step_part(part.state, PartStep.KEEP)
        if not part.kept:
            part.kept = True
            self.counts.kept += 1
            self._push(part.request.deadline - ANSWER_TICKS * self.rules.tick_us, part)
        volume = part.request.volume.settings.name
        place, key = part.place, (volume, part.extent)
        if part.class_name in self._in_order:
            line = self._kept_in_order.setdefault(key, {})
            place = next(iter(line.values()), place)
            line[part.number] = place
        part.hint_us = hint or 0
        if not part.out:  # else an attempt could not be called off: it waits for that one's end
            self._patience.keep(now, part, part.number, place, hint)

    def _unkeep(self, part: Part) -> None:
        """A part that waited is offered again, or over."""
        self._patience.drop(part)
        key = (part.request.volume.settings.name, part.extent)
        if part.class_name in self._in_order and (line := self._kept_in_order.get(key)) is not None:
            line.pop(part.number, None)
            if not line:
                del self._kept_in_order[key]

    def _offer(self, now: int, part: Part) -> None:
        """Offer a part that waited to the module, as things are now: its extent may have moved meanwhile."""
        self._unkeep(part)
        if part.request.kind in CHANGING and part.touched:
            # It may run again only there, and no move of its extent begins before it is over.
            if now < part.risky_at + self._windows[part.class_name]:
                self._arrive(part, now)
            elif not part.listens:
                self._given_up(part, PartStep.FAIL)
            return
        if part.extent >= 0:
            shard = self.shard_of(part.request.volume, part.extent)
            part.shard = -1 if shard is None else shard
        self._queue(part, now)

    def _queue(self, part: Part, now: int) -> None:
        """Tell the module of a part, or let it wait while another one places the same new extent.

        Two first writes to one extent must not be placed on two shards; the second waits for the first's end.
        """
        key = (part.request.volume.settings.name, part.extent)
        held = key in self._holds
        if part.request.moving:
            if part.shard < 0:
                part.places = True
                part.lined = True
                self._placing.setdefault(key, deque()).appendleft(part)
        elif part.extent >= 0 and (part.shard < 0 or held or key in self._placing):
            part.shard = -1
            line = self._placing.setdefault(key, deque())
            line.append(part)
            part.lined = True
            if held or line[0] is not part or key in self._released:  # the one before may just have placed it
                if part.state is PartState.KEPT:
                    part.state = step_part(part.state, PartStep.PLACE)
                if held and self.closings is not None and self._holds[key].purged:
                    self.closings.awaited(*key)
                self._push(part.request.deadline - ANSWER_TICKS * self.rules.tick_us, part)
                return
            part.places = True
        self._arrive(part, now)

    def _arrive(self, part: Part, now: int) -> None:
        part.state = step_part(part.state, PartStep.TELL)
        request = part.request
        volume = request.volume.settings
        part.until = request.deadline
        if request.patience_us:  # one offer takes no longer than its class allows; then there may be another
            length = self._deadlines[part.class_name]
            window = self._windows[part.class_name]
            if window and part.class_name not in self._in_order:
                length = min(length, window * OFFER_PARTS // 10)
            part.until = min(part.until, now + length)
        if part.class_name in self._in_order:
            self._told_in_order.setdefault((volume.name, part.extent), {})[part.number] = part
        if (placed := part.placed) is not None:
            self._add(api.Arrived(
                part.number, part.class_name, volume.plan, volume.name, placed.key, part.shard, placed.units,
                part.until - now, volume.hosts, placed.repeat,
            ))  # fmt: skip
            return
        self._add(api.Arrived(
            part.number, part.class_name, volume.plan, volume.name,
            f"{volume.name}/{part.extent}" if part.extent >= 0 else "",
            part.shard, units_of(part.length, self.rules.unit_bytes), part.until - now, volume.hosts,
            further_part=part is not request.parts[0], kept=part.kept, tried=len(part.attempts),
            ran_us=now - part.risky_at if part.may_have_run and request.kind in CHANGING else -1,
        ))  # fmt: skip

    def _served(self, part: Part, attempt: Attempt, data: bytes) -> None:
        self._unkeep(part)
        part.state = step_part(part.state, PartStep.SERVE)
        part.data = data
        request, shard = part.request, attempt.member.entry.shard
        if part.places:
            self._placements.append((request.volume.settings.name, part.extent, shard))
        if request.kind in CHANGING:
            self._writes += 1
            request.volume.dirty[shard] = self._writes
        elif request.kind is Kind.FLUSH and request.volume.dirty.get(shard) == attempt.write_number:
            del request.volume.dirty[shard]  # nothing was written there since the flush was sent
        self._over(part)
        request.open -= 1
        if not request.open and request.outcome is None:
            self._finish(request, Outcome.SERVED)

    def _given_up(self, part: Part, step: PartStep, hint: int = 0) -> None:
        """The module gave a part up: its request is answered at once, and its other parts are dropped."""
        self._unkeep(part)
        part.state = step_part(part.state, step)
        self._over(part)
        request = part.request
        if request.outcome is None:
            request.hint_us = hint
            others = [(one.state, one.touched) for one in request.parts if one is not part]
            self._finish(request, whole_outcome(part.state, others, request.kind in CHANGING))
            self._drop_parts(request)

    def _drop_parts(self, request: ClientRequest) -> None:
        for part in request.parts:
            if not part.state.over:
                told = part.state not in (PartState.WAITING, PartState.KEPT)
                self._unkeep(part)
                part.state = step_part(part.state, PartStep.DROP)
                if told:
                    self._add(api.ClientGone(part.number))
                self._over(part)

    def _over(self, part: Part) -> None:
        """Nothing more is sent for a part: let who waits for its placement go on, and forget it in time."""
        self._retiring.append(part)
        self._leave_line(part)

    def _leave_line(self, part: Part) -> None:
        """The module has nothing of a part any more, or never had."""
        if part.class_name in self._in_order:
            key = (part.request.volume.settings.name, part.extent)
            told = self._told_in_order.get(key, {})
            told.pop(part.number, None)
            if not told:
                self._told_in_order.pop(key, None)
        hold = self._holds.get((part.request.volume.settings.name, part.extent)) if self._holds else None
        if hold is not None and part.number in hold.left and (part.state.over or not part.touched):
            hold.left.discard(part.number)
            if not hold.left:
                self._held.append(hold)
        if part.lined:
            key = (part.request.volume.settings.name, part.extent)
            self._placing[key].remove(part)
            part.lined = False
            if part.places:
                part.places = False
                self._holds.pop(key, None)
                self._released.append(key)

    def _release(self, now: int) -> None:
        """Let parts go on that waited for an extent's placement.

        To where it was placed, or one to place it.
        """
        released, self._released = self._released, []
        for key in released:
            if key in self._holds:  # held again in the meantime: those who wait go on waiting
                continue
            line = self._placing.get(key, deque())
            shard = self.places.shard_of(*key)
            while line:
                part = line[0]
                if shard is None:
                    part.places = True
                    self._arrive(part, now)
                    break
                part.shard = shard
                line.popleft()
                part.lined = False
                self._arrive(part, now)
            if not line:
                self._placing.pop(key, None)

    def _finish(self, request: ClientRequest, outcome: Outcome) -> None:
        request.outcome = outcome
        if request.token is NOBODY:
            return
        match outcome:
            case Outcome.SERVED:
                self.counts.served += 1
            case Outcome.REFUSED:
                self.counts.refused += 1
            case Outcome.FAILED:
                self.counts.failed += 1
        self._answers.append(request)
        self._soon()

    # -- the module

    def _add(self, event: api.Event) -> None:
        self._events.append(event)
        self._soon()

    def _soon(self) -> None:
        if not self._asked_soon:
            self._asked_soon = True
            self._port.soon()

    def _push(self, when: int, what: Part | Attempt | str) -> None:
        self._serial += 1
        heapq.heappush(self._due, (when, self._serial, what))

    def flush(self, now: int) -> None:
        """Hand the module what has happened, do what it says, and give the answers that are due."""
        while True:
            self._expire(now)
            if self._events:
                events, self._events = self._events, []
                for action in self._module.handle(now, events):
                    self._act(now, action)
            if self._placements:
                # On disk before any answer that promises them.
                placements, self._placements = self._placements, []
                self.places.place(placements)
            if self._released:
                self._release(now)
            for part in self._patience.due(now):
                if part.state is PartState.KEPT:  # else one before it in this list ended their request
                    self._offer(now, part)
            if not self._events:
                break
        self._asked_soon = False
        for part in self._retiring:
            if not part.out:
                self._parts.pop(part.number, None)
        self._retiring.clear()
        answers, self._answers = self._answers, []
        for request in answers:
            if self.closings is not None and (hint := self.closings.refuses(request)) is not None:
                self._withdraw(request, hint)
            self._port.answer(request)
        held, self._held = self._held, []
        for hold in held:
            hold.holder.held()
        times = [self._due[0][0]] if self._due else []
        if (next_at := self._patience.next_at(now)) is not None:
            times.append(next_at)
        if times:
            self._port.wake_at(min(times))

    def _expire(self, now: int) -> None:
        while self._due and self._due[0][0] <= now:
            what = heapq.heappop(self._due)[2]
            if isinstance(what, str):
                self._events.append(api.Woken(what))
            elif isinstance(what, Attempt):
                if not what.told:
                    self._call_off(now, what, api.Result.TIMEOUT)
            elif what.state in (PartState.WAITING, PartState.KEPT):
                self._time_up(what)

    def _act(self, now: int, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(now, action)
            case api.SetTimer():
                self._push(action.at_us, action.token)
            case api.Refuse():
                if not (part := self._parts[action.request]).state.over:
                    self._refused(now, part, action.retry_after_us)
            case api.Fail():
                if not (part := self._parts[action.request]).state.over:
                    self._failed(now, part)
            case api.Cancel():
                attempt = self._parts[action.request].attempts[action.attempt]
                if not attempt.told:
                    self._call_off(now, attempt, api.Result.CANCELLED)
            case api.Subscribe():
                self._port.subscribe(action.on)
            case api.Log():
                self._port.note(action.text)
            case api.Probe():
                raise RuntimeError("the module probes, though it was told that it may not")

    def _send(self, now: int, action: api.Send) -> None:
        part, member = self._parts[action.request], self.nodes.find(action.node)
        if member is None:
            raise RuntimeError(f"the module sends to {action.node}, which no list has named")
        request = part.request
        attempt = Attempt(part, len(part.attempts), member, now)
        part.attempts.append(attempt)
        part.out += 1
        elsewhere = part.shard >= 0 and member.entry.shard != part.shard
        if part.state.over or part.state is PartState.KEPT or elsewhere or now >= part.until:
            self.counts.moot += 1
            attempt.state = AttemptState.ENDED
            self._tell(now, attempt, api.Result.MOOT, None)
            return
        part.state = step_part(part.state, PartStep.SEND)
        self.counts.sent += 1
        if request.kind is Kind.FLUSH:
            attempt.write_number = request.volume.dirty.get(part.shard, 0)
        until = min(now + action.timeout_us, part.until) if action.timeout_us else part.until
        attempt.until = until
        self._push(until, attempt)
        if part.places and self.closings is not None:
            self.closings.placing(request.volume.settings.name, part.extent, member.entry.shard)
        self._port.send(attempt)

    def _call_off(self, now: int, attempt: Attempt, result: api.Result) -> None:
        """Stop waiting for an attempt; what its node still says of it is not listened to."""
        result = lost_result(attempt.state, result)
        attempt.state = step_attempt(attempt.state, AttemptStep.CALL_OFF)
        if not result.never_ran:
            self._may_have_run(attempt)
        self._port.call_off(attempt)
        self._tell(now, attempt, result, None)

    def _tell(self, now: int, attempt: Attempt, result: api.Result, report: Beside | None) -> None:
        """Tell the module an attempt's one outcome."""
        part = attempt.part
        attempt.told = True
        part.out -= 1
        if not part.out:
            if part.state.over:
                self._retiring.append(part)
            elif part.state is PartState.OUT:
                part.state = step_part(part.state, PartStep.LOST)
            elif part.state is PartState.KEPT and part not in self._patience:
                self._patience.keep(now, part, part.number, part.place, part.hint_us)
        self._add(api.Ended(
            part.number, attempt.number, attempt.member.entry.node, result,
            max(0, now - (attempt.left_at or attempt.sent_at)),
            part.state.over, *((report.used_percent, report.elsewhere, report.load) if report else ()),
        ))  # fmt: skip
