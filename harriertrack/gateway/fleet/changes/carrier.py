"""A head follows the fleet's record of changes: it hears of it, fetches it, keeps it on disk, and takes it.

Notes of the view tell revisions; the record itself comes whole from the witness, or while that is dark from
another head's door. When to fetch, and what is to be taken, is decided by `Follower`; each thing's *user*
takes a version whole or turns it down whole.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

import msgspec

from harriertrack.config.settings import ChangesSettings
from harriertrack.decisions.fleet.changes.follower import Follower
from harriertrack.decisions.fleet.changes.record import Kind, Record, Version, kind_of
from harriertrack.gateway.fleet.changes import keeping
from harriertrack.gateway.fleet.decider import FleetDecider
from harriertrack.gateway.parts import HeadParts
from harriertrack.gateway.witness import FAILURES
from harriertrack.membership.fleet.change_record import DamagedRecord, decode, digest_of
from harriertrack.membership.fleet.messages import MAX_NOTE
from harriertrack.membership.fleet.status_document import (
    ActivityNote,
    ChangesStatus,
    ChangeStatus,
    MemberNote,
    parse_member_note,
)
from harriertrack.membership.fleet.swim import Swim
from harriertrack.runtime.hub import DeadlineExceeded
from harriertrack.storage.changes import ChangesCache

LEVEL = 1  # what this program understands of records, notes and durable state
LOOK_US = 50_000
DOOR_US = 2_000_000  # another head's document is waited for so long
MOST_DOCUMENT = 4 << 20  # bytes of it
TOPIC = "changes"  # who decides tells of a new revision at once; notes tell it again and again


class User(Protocol):
    """What a thing is for in a head."""

    def take(self, thing: str, version: Version | None) -> str:
        """Take a version whole, between two events; None: what the head was started with.

        Return "" if it is taken, otherwise why not: then nothing has changed.
        """
        ...


class _Revision(msgspec.Struct, array_like=True):
    revision: int


class _Document(msgspec.Struct):
    """What is read of another head's document."""

    record: ChangesStatus | None = None


class Changes:
    """This head's part."""

    def __init__(self, parts: HeadParts, settings: ChangesSettings, swim: Swim, deciding: FleetDecider,
                 tell: Callable[[], None], kept: ChangesCache | None = None) -> None:  # fmt: skip
        self._parts, self._hub, self._settings = parts, parts.hub, settings
        self._swim, self._deciding, self._tell = swim, deciding, tell
        self._follower = Follower(swim.me.name)
        self._cache = kept or ChangesCache(parts.settings.state_dir)
        self._users: dict[Kind, User] = {}
        self._data = b""
        self._looked_at = 0
        self.listeners: list[Callable[[], None]] = []
        deciding.on_ruling[TOPIC] = lambda now, _term, body: self._told(now, body)

    @property
    def record(self) -> Record:
        """Return the last good one, also while nobody can be asked."""
        return self._follower.record

    @property
    def kept(self) -> ChangesCache:
        """Return where this head keeps what it knows of changes."""
        return self._cache

    def use(self, kind: Kind, user: User) -> None:
        """Name who takes versions of things of a kind; before `start`."""
        self._users[kind] = user

    def start(self) -> None:
        """Take what was kept on disk, and follow from now on."""
        try:
            data = self._cache.read()
            if data is not None:
                self._have(decode(data), data, keep=False)
        except (OSError, DamagedRecord) as error:
            self._parts.note("fleet changes: copy on disk is of no use", why=str(error))
        self._parts.scope.spawn("fleet changes", self._run)

    # -- hearing

    def heard(self, about: MemberNote) -> None:
        """Hear what another member tells by its note."""
        if about.record:
            self._follower.observe_revision(self._fetch_from(), about.record)

    def _told(self, now: int, body: bytes) -> None:
        try:
            said = msgspec.msgpack.decode(body, type=_Revision)
        except msgspec.MsgspecError:
            return  # none of ours
        self._follower.observe_revision(self._fetch_from(), said.revision)

    def _fetch_from(self) -> int:
        """Return when to fetch: the heads of a fleet do not all ask the witness at once."""
        share = min(1.0, len(self._swim.view.present) / 100)
        return self._hub.now() + int(self._settings.spread_us * share * self._hub.random.random())

    def runs(self) -> Mapping[str, int]:
        """Return what this head runs, by thing; what was never changed is left out."""
        return self._follower.running_versions()

    # -- following

    def _run(self) -> None:
        """Fetch when there is something to fetch (a task)."""
        while True:
            now = self._hub.now()
            if self._follower.start_fetch(now):
                self._fetch()
            elif (
                self._deciding.deciding_term(now) is not None
                and now >= self._looked_at + self._settings.look_us
            ):
                self._look()
            self._hub.sleep(LOOK_US)

    def _fetch(self) -> None:
        data, found = b"", None
        try:
            kept = keeping.read(self._deciding.witness)
            data, found = kept.data, kept.record
        except FAILURES:
            data = self._ask_other()
            try:
                found = decode(data) if data else None
            except DamagedRecord as error:
                self._parts.note("fleet changes: another head's record is damaged", why=str(error))
        except DamagedRecord as error:
            self._parts.note("fleet changes: the witness's record is damaged", why=str(error))
        now = self._hub.now()
        if self._follower.finish_fetch(now, found, digest_of(data) if data else 0):
            self._took(data)

    def _look(self) -> None:
        """As who decides, see whether operators changed the record, and whether the witness lost it."""
        self._looked_at = self._hub.now()
        damaged = False
        try:
            try:
                found = keeping.read(self._deciding.witness)
            except DamagedRecord:
                damaged = True
            else:
                self._have(found.record, found.data)
            if (damaged or self._follower.witness_behind) and self.record.revision:
                back = keeping.put_back(self._deciding.witness, self.record)
                if back is not None:
                    self._parts.note("fleet changes: record put back", revision=back.record.revision)
                    self._have(back.record, back.data)
        except FAILURES:
            return  # what is in hand holds
        self._deciding.rule(TOPIC, msgspec.msgpack.encode(_Revision(self.record.revision)))

    def _ask_other(self) -> bytes:
        """Return the record of some head that tells of one as new as was heard of; b"" for none."""
        rows = [self._swim.view.find(name) for name in self._swim.view.present]
        told = []
        for row in rows:
            about = parse_member_note(row.note.payload) if row is not None and row.note is not None else None
            if row is not None and about is not None and about.record > self.record.revision:
                told.append(row.record.address)
        if not told:
            return b""
        deadline = self._hub.now() + DOOR_US
        try:
            stream = self._parts.network.connect(self._hub.random.choice(told), deadline, self._swim.me.name)
        except (OSError, DeadlineExceeded):
            return b""
        body = b""
        try:
            while (more := stream.read(deadline)) and len(body) < MOST_DOCUMENT:
                body += more
            document = msgspec.json.decode(body, type=_Document)
        except (OSError, DeadlineExceeded, msgspec.MsgspecError):
            return b""
        finally:
            stream.close()
        return document.record.record if document.record is not None else b""

    def _have(self, record: Record, data: bytes, keep: bool = True) -> None:
        if self._follower.finish_fetch(self._hub.now(), record, digest_of(data) if data else 0):
            self._took(data, keep)

    def _took(self, data: bytes, keep: bool = True) -> None:
        """Another record is in hand: keep it, act on it, and tell."""
        self._data = data
        if keep:
            try:
                self._cache.write(data)
            except OSError as error:
                self._parts.note("fleet changes: copy is not kept", why=str(error))
        record = self.record
        latest = {thing: record.versions_of(thing)[-1].number for thing in record.things()}
        self._parts.note("fleet changes", revision=record.revision, epoch=record.epoch,
                         digest=self._follower.digest, latest=latest)  # fmt: skip
        self._take()
        for listener in list(self.listeners):
            listener()
        self._tell()

    def _take(self) -> None:
        for thing, version in self._follower.pending_changes():
            number = version.number if version is not None else 0
            try:
                user = self._users.get(kind_of(thing))
            except ValueError:
                user = None  # of a later program
            why = user.take(thing, version) if user is not None else "this head has no use for it"
            if why:
                self._follower.mark_rejected(thing, number, why)
                self._parts.note("fleet change turned down", thing=thing, version=number, why=why)
            else:
                self._follower.mark_applied(thing, number)
                self._parts.note("fleet change taken", thing=thing, version=number)

    def took(self, thing: str, number: int) -> None:
        """Hear from a user that a version runs by now, or has since the head's start."""
        self._follower.mark_applied(thing, number)
        self._tell()

    def turned_down(self) -> Mapping[str, tuple[int, str]]:
        """Return what this head did not take, by thing: the version, and why."""
        return {
            thing: (one.rejected, one.reason) for thing, one in self._follower.applied.items() if one.reason
        }  # fmt: skip

    # -- writing

    def write(self, make: Callable[[Record], Record]) -> Record:
        """Change the record (from a task), and return it.

        Raises what `make` raises, Busy, DamagedRecord and `gateway.witness.FAILURES`.
        """
        found = keeping.write(self._deciding.witness, make)
        self._have(found.record, found.data)
        self._deciding.rule(TOPIC, msgspec.msgpack.encode(_Revision(found.record.revision)))
        return found.record

    # -- telling

    def about(self, about: ActivityNote) -> bytes:
        """Return a member's note with what is told of changes, as far as it has room."""
        runs = dict(self._follower.running_versions())
        while True:
            told = MemberNote(about.volumes, about.open, about.taken, about.refused, self.record.revision,
                           self._follower.digest, LEVEL, runs)  # fmt: skip
            data = msgspec.msgpack.encode(told)
            if len(data) <= MAX_NOTE or not runs:
                return data
            del runs[max(runs, key=len)]

    def document(self, _now: int) -> ChangesStatus:
        """Return what operators, and heads that reach no witness, are told."""
        record, follower = self.record, self._follower
        things = []
        for thing in record.things():
            holds, going, taken = (
                record.in_force(thing),
                record.in_progress(thing),
                follower.applied.get(thing),
            )
            last = going or holds or record.versions_of(thing)[-1]
            things.append(
                ChangeStatus(
                    thing, holds.number if holds is not None else 0,
                    taken.running if taken is not None else 0,
                    going.number if going is not None else 0, last.standing.value, last.stage,
                    list(last.heads), f"{last.why} ({last.by})", last.reason, last.since_ms / 1e3,
                    taken.rejected if taken is not None else 0, taken.reason if taken is not None else "",
                )
            )  # fmt: skip
        return ChangesStatus(record.revision, follower.digest, record.epoch, record.level,
                           follower.highest_seen, follower.witness_behind, things, self._data)  # fmt: skip
